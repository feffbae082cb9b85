//! Event streams that may go on at another replica: only whole events are passed on, so that after a cut the next
//! run follows behind the last of them, with none missing, torn or twice.

use std::borrow::Cow;

/// Bytes of one event of a stream that may be resumed; the largest seen are a hundredth of it.
pub(crate) const EVENT_MAX: usize = 64 << 10;

/// One answer's events, over all runs that make it up.
#[derive(Clone, Debug, Default)]
pub struct ResumableEvents {
    /// Bytes of an event that is not whole yet.
    half: Vec<u8>,
    /// Id of the last whole event that was passed on.
    last: Option<String>,
    /// An event without an id was passed on since: no run could be told to go on behind it.
    unnamed: bool,
    /// An event outgrew the bound: bytes pass as they come, and nothing can follow a cut.
    plain: bool,
    /// This run follows another: what that one passed on is left out.
    behind: bool,
}

impl ResumableEvents {
    /// Takes bytes as they came; gives those that go on now.
    pub fn pass_through<'a>(&mut self, b: &'a [u8]) -> Cow<'a, [u8]> {
        if self.plain {
            return Cow::Borrowed(b);
        }
        // The common case: bytes that are whole events go on as they came.
        if self.half.is_empty() && !self.behind {
            let n = self.read(b);
            self.half.extend_from_slice(&b[n..]);
            self.bound();
            return Cow::Borrowed(&b[..n]);
        }
        self.half.extend_from_slice(b);
        let all = std::mem::take(&mut self.half);
        let n = if self.behind {
            all.len() - after_events(&all)
        } else {
            self.read(&all)
        };
        self.half = all[n..].to_vec();
        let mut out = all;
        out.truncate(n);
        if self.behind {
            out = self.leave_out(&out);
        }
        self.bound();
        Cow::Owned(out)
    }
    /// The replica ended its answer: what is left belongs to it too.
    pub fn take_remainder(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.half)
    }
    /// The run was cut; another will follow. Drops the torn event.
    pub fn on_cut(&mut self) {
        self.half.clear();
        self.behind = true;
    }
    /// Whether a run that follows can be told where to go on.
    pub fn is_resumable(&self) -> bool {
        !self.plain && !self.unnamed
    }
    /// Id of the last whole event passed on, if any was.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last.as_deref()
    }

    fn bound(&mut self) {
        // A stream that hides its events for so long is none that could be resumed; memory is bounded.
        self.plain = self.half.len() > EVENT_MAX && !self.behind;
    }
    /// Reads whole events and says where they end.
    fn read(&mut self, b: &[u8]) -> usize {
        let mut from = 0;
        while let Some(n) = event_end(&b[from..]) {
            self.pass(&b[from..from + n]);
            from += n;
        }
        from
    }
    fn pass(&mut self, e: &[u8]) {
        match (id(e), has_data(e)) {
            (Some(id), _) => (self.last, self.unnamed) = (Some(id.to_string()), false),
            (None, true) => self.unnamed = true,
            (None, false) => {}
        }
    }
    /// Events of a run that follows another: only those behind what was passed on.
    fn leave_out(&mut self, all: &[u8]) -> Vec<u8> {
        let mut out = Vec::with_capacity(all.len());
        let mut from = 0;
        while let Some(n) = event_end(&all[from..]) {
            let e = &all[from..from + n];
            from += n;
            let number = |s: &str| s.parse::<u64>().ok();
            let old = match (id(e), self.last_event_id()) {
                (Some(x), Some(l)) => {
                    x == l || number(x).zip(number(l)).is_some_and(|(x, l)| x <= l)
                }
                _ => false,
            };
            if !old {
                self.pass(e);
                out.extend_from_slice(e);
            }
        }
        out
    }
}

/// Bytes behind the last whole event.
fn after_events(b: &[u8]) -> usize {
    let mut from = 0;
    while let Some(n) = event_end(&b[from..]) {
        from += n;
    }
    b.len() - from
}
/// Length of the event that begins here, with the empty line that ends it.
fn event_end(b: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(n) = b[from..].iter().position(|c| *c == b'\n') {
        let line = &b[from..from + n];
        from += n + 1;
        if line.is_empty() || line == b"\r" {
            return Some(from);
        }
    }
    None
}
fn lines(e: &[u8]) -> impl Iterator<Item = &[u8]> {
    e.split(|c| *c == b'\n')
        .map(|l| l.strip_suffix(b"\r").unwrap_or(l))
}
fn id(e: &[u8]) -> Option<&str> {
    let l = lines(e).filter_map(|l| l.strip_prefix(b"id:")).last()?;
    std::str::from_utf8(l.strip_prefix(b" ").unwrap_or(l)).ok()
}
fn has_data(e: &[u8]) -> bool {
    lines(e).any(|l| l.starts_with(b"data"))
}

#[cfg(test)]
mod tests;
