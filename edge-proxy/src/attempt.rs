//! One attempt at one replica.

use std::mem;

use coordination::{Ms, events, exchange::AttemptOutcome, proxy::Assignment};
use daemon_parts::{clock, logging::event};

use crate::shared::{SharedProxy, lock};

/// An attempt in flight. However its work ends, the proxy's state machine is told exactly once.
pub struct Attempt {
    proxy: SharedProxy,
    pub assignment: Assignment,
    has_first_chunk: bool,
    has_ended: bool,
}

impl Attempt {
    /// An attempt that goes where it was assigned.
    pub fn new(proxy: SharedProxy, assignment: Assignment) -> Self {
        Attempt {
            proxy,
            assignment,
            has_first_chunk: false,
            has_ended: false,
        }
    }

    /// Bytes of the response came; only the first time counts.
    pub fn on_chunk(&mut self, now: Ms) {
        if !mem::replace(&mut self.has_first_chunk, true) {
            lock(&self.proxy).on_first_chunk(&self.assignment, now);
        }
    }

    /// The attempt is over; only the first outcome counts.
    pub fn end(&mut self, outcome: AttemptOutcome) {
        if mem::replace(&mut self.has_ended, true) {
            return;
        }
        let capped = lock(&self.proxy).on_attempt_ended(&self.assignment, outcome, clock::now());
        if let Some(version) = capped {
            event(
                events::VERSION_SUSPECTED,
                &self.assignment.replica,
                &version,
            );
        }
    }
}

impl Drop for Attempt {
    /// The client left: nothing else was there any more to report the end.
    fn drop(&mut self) {
        self.end(AttemptOutcome::ClientGone);
    }
}
