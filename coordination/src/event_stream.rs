//! Event streams that can be resumed at another replica. Only complete events are forwarded, so that after an
//! interruption the next run continues after the last of them without missing, truncated or duplicate events.

use std::{borrow::Cow, mem};

/// Maximum size of an event in a resumable stream, in bytes; the largest events seen are a hundredth of it.
pub(crate) const EVENT_BYTES_MAX: usize = 64 << 10;

/// The events of one response, across all runs that contribute to it.
#[derive(Clone, Debug, Default)]
pub struct ResumableEvents {
    /// Bytes of an incomplete event.
    incomplete: Vec<u8>,
    /// Id of the last complete event that was forwarded.
    last_event_id: Option<String>,
    /// Whether an event without an id was forwarded since: no run can be asked to continue after it.
    has_event_without_id: bool,
    /// Whether an event exceeded the limit: bytes are forwarded as they arrive, and the stream cannot be resumed.
    is_oversized: bool,
    /// Whether this run follows another one, whose forwarded events must be skipped.
    is_resumed: bool,
}

impl ResumableEvents {
    /// Processes received bytes and returns those to forward now.
    pub fn pass_through<'a>(&mut self, bytes: &'a [u8]) -> Cow<'a, [u8]> {
        if self.is_oversized {
            return Cow::Borrowed(bytes);
        }
        // Common case: complete events are forwarded without copying them.
        if self.incomplete.is_empty() && !self.is_resumed {
            let end = self.record_events(bytes);
            self.incomplete.extend_from_slice(&bytes[end..]);
            self.check_bound();
            return Cow::Borrowed(&bytes[..end]);
        }
        self.incomplete.extend_from_slice(bytes);
        let mut complete = mem::take(&mut self.incomplete);
        let end = if self.is_resumed {
            complete_length(&complete)
        } else {
            self.record_events(&complete)
        };
        self.incomplete = complete[end..].to_vec();
        complete.truncate(end);
        if self.is_resumed {
            complete = self.without_forwarded(&complete);
        }
        self.check_bound();
        Cow::Owned(complete)
    }

    /// Returns the buffered rest of the stream after the replica ended its response.
    pub fn take_remainder(&mut self) -> Vec<u8> {
        mem::take(&mut self.incomplete)
    }

    /// Drops the incomplete event after the run was interrupted; another run will follow.
    pub fn on_interrupted(&mut self) {
        self.incomplete.clear();
        self.is_resumed = true;
    }

    /// Whether a following run can be told where to resume.
    pub fn is_resumable(&self) -> bool {
        !self.is_oversized && !self.has_event_without_id
    }

    /// Returns the id of the last complete event that was forwarded, if any.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }

    /// Marks the stream as not resumable if its incomplete event exceeds the limit, which bounds the memory used.
    fn check_bound(&mut self) {
        self.is_oversized = self.incomplete.len() > EVENT_BYTES_MAX && !self.is_resumed;
    }

    /// Records all complete events and returns the offset at which they end.
    fn record_events(&mut self, bytes: &[u8]) -> usize {
        let mut end = 0;
        for event in complete_events(bytes) {
            self.record(event);
            end += event.len();
        }
        end
    }

    fn record(&mut self, event: &[u8]) {
        match (event_id(event), has_data(event)) {
            (Some(id), _) => {
                self.last_event_id = Some(id.to_string());
                self.has_event_without_id = false;
            }
            (None, true) => self.has_event_without_id = true,
            (None, false) => {}
        }
    }

    /// Returns and records the events that an earlier run has not forwarded.
    fn without_forwarded(&mut self, bytes: &[u8]) -> Vec<u8> {
        let mut new_events = Vec::with_capacity(bytes.len());
        for event in complete_events(bytes) {
            if !self.was_forwarded(event) {
                self.record(event);
                new_events.extend_from_slice(event);
            }
        }
        new_events
    }

    /// Whether the event's id equals the last forwarded one or, as a number, is lower.
    fn was_forwarded(&self, event: &[u8]) -> bool {
        let (Some(id), Some(last_id)) = (event_id(event), self.last_event_id()) else {
            return false;
        };
        let number = |id: &str| id.parse::<u64>().ok();
        id == last_id
            || number(id)
                .zip(number(last_id))
                .is_some_and(|(number, last_number)| number <= last_number)
    }
}

/// Iterates over the complete events at the beginning of the bytes.
fn complete_events(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        let (event, tail) = rest.split_at(event_length(rest)?);
        rest = tail;
        Some(event)
    })
}

/// Returns the total length of the complete events at the beginning of the bytes.
fn complete_length(bytes: &[u8]) -> usize {
    complete_events(bytes).map(<[u8]>::len).sum()
}

/// Returns the length of the first event including the empty line that ends it, if it is complete.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    while let Some(length) = bytes[line_start..].iter().position(|byte| *byte == b'\n') {
        let line = &bytes[line_start..line_start + length];
        line_start += length + 1;
        if line.is_empty() || line == b"\r" {
            return Some(line_start);
        }
    }
    None
}

fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event
        .split(|byte| *byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn event_id(event: &[u8]) -> Option<&str> {
    let value = lines(event)
        .filter_map(|line| line.strip_prefix(b"id:"))
        .last()?;
    std::str::from_utf8(value.strip_prefix(b" ").unwrap_or(value)).ok()
}

fn has_data(event: &[u8]) -> bool {
    lines(event).any(|line| line.starts_with(b"data"))
}

#[cfg(test)]
mod tests;
