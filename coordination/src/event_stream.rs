//! Event streams that may be resumed at another replica. Only complete events are forwarded, so that after a cut the next
//! run follows the last of them, with none missing, torn or twice.

use std::{borrow::Cow, mem};

/// Bytes of one event of a stream that may be resumed; the largest seen are a hundredth of it.
pub(crate) const EVENT_BYTES_MAX: usize = 64 << 10;

/// The events of one response, over all runs that make it up.
#[derive(Clone, Debug, Default)]
pub struct ResumableEvents {
    /// Bytes of an event that is not complete yet.
    incomplete: Vec<u8>,
    /// Id of the last complete event that was forwarded.
    last_event_id: Option<String>,
    /// An event without an id was forwarded since: no run could be told to follow it.
    has_unnamed_event: bool,
    /// An event outgrew the bound: bytes are forwarded as they come, and nothing can follow a cut.
    is_unbounded: bool,
    /// This run follows another: what that one forwarded is left out.
    is_resumed: bool,
}

impl ResumableEvents {
    /// Takes bytes as they came; gives those that are forwarded now.
    pub fn pass_through<'a>(&mut self, bytes: &'a [u8]) -> Cow<'a, [u8]> {
        if self.is_unbounded {
            return Cow::Borrowed(bytes);
        }
        // The common case: bytes that are complete events are forwarded without a copy.
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

    /// The replica ended its response: what is left belongs to it too.
    pub fn take_remainder(&mut self) -> Vec<u8> {
        mem::take(&mut self.incomplete)
    }

    /// The run was cut; another will follow. Drops the torn event.
    pub fn on_interrupted(&mut self) {
        self.incomplete.clear();
        self.is_resumed = true;
    }

    /// Whether a run that follows can be told where to resume.
    pub fn is_resumable(&self) -> bool {
        !self.is_unbounded && !self.has_unnamed_event
    }

    /// Id of the last complete event that was forwarded, if any was.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }

    /// A stream that hides its events for so long cannot be resumed; memory is bounded.
    fn check_bound(&mut self) {
        self.is_unbounded = self.incomplete.len() > EVENT_BYTES_MAX && !self.is_resumed;
    }

    /// Records all complete events and says where they end.
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
                self.has_unnamed_event = false;
            }
            (None, true) => self.has_unnamed_event = true,
            (None, false) => {}
        }
    }

    /// Events of a run that follows another: only those behind what was forwarded.
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

    /// Whether an event's id is the last one that was forwarded, or a number not above it.
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

/// The complete events at the beginning of these bytes.
fn complete_events(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        let (event, behind) = rest.split_at(event_length(rest)?);
        rest = behind;
        Some(event)
    })
}

/// Bytes of all complete events.
fn complete_length(bytes: &[u8]) -> usize {
    complete_events(bytes).map(<[u8]>::len).sum()
}

/// Length of the event that begins here, with the empty line that ends it.
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
