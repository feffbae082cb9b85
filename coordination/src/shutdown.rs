//! Graceful shutdown of a serving process: which requests it accepts after SIGTERM, and when it exits.
//!
//! Clients cache address lists and keep connections open, so a stopping process continues to serve while a list may be
//! cached. Then it rejects new requests; accepted ones have the rest of the grace period to complete.

use crate::Ms;

/// Time for which a process continues to serve after SIGTERM, in ms. Clients cache the directory's answers for two
/// seconds, and the directory takes some more time to omit a stopping edge. Requests accepted last have the rest of the
/// grace period.
pub const SERVE_AFTER_SIGTERM: Ms = 2_800;
/// Time before the end of the grace period, in ms, at which requests without a response get one and the process exits.
pub const FINAL_RESPONSE_MARGIN: Ms = 600;

/// A phase of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The process was not asked to stop.
    Serving,
    /// It accepts requests, and each response announces that the connection will be closed.
    Draining,
    /// It rejects new requests; accepted ones continue.
    Rejecting,
    /// The grace period is over: requests without a response get one, and the process exits.
    Expired,
}

/// Start times of the last two phases.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    rejecting_at: Ms,
    expired_at: Ms,
}

/// The shutdown phase of a process and its open requests.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    schedule: Option<Schedule>,
    open_requests: usize,
    last_accepted_at: Ms,
}

impl Shutdown {
    /// Starts the shutdown of a process that will be killed after the grace period. A second signal changes nothing.
    pub fn begin(&mut self, grace: Ms, now: Ms) {
        let expires_after = grace.saturating_sub(FINAL_RESPONSE_MARGIN);
        // At most half of the grace period is spent on accepting requests, which need the other half to complete.
        let rejects_after = SERVE_AFTER_SIGTERM.min(expires_after / 2);
        self.schedule.get_or_insert(Schedule {
            rejecting_at: now + rejects_after,
            expired_at: now + expires_after,
        });
    }

    /// Returns the current phase.
    pub fn phase(&self, now: Ms) -> Phase {
        match self.schedule {
            None => Phase::Serving,
            Some(schedule) if now < schedule.rejecting_at => Phase::Draining,
            Some(schedule) if now < schedule.expired_at => Phase::Rejecting,
            Some(_) => Phase::Expired,
        }
    }

    /// Whether the process was asked to stop.
    pub fn has_begun(&self) -> bool {
        self.schedule.is_some()
    }

    /// Counts a request from its first byte on, also if it is rejected later.
    pub fn on_request_opened(&mut self) {
        self.open_requests += 1;
    }

    /// Counts the end of a request: its response has ended, or its client has disconnected.
    pub fn on_request_closed(&mut self) {
        self.open_requests = self.open_requests.saturating_sub(1);
    }

    /// Returns the number of requests that have started to arrive and have not ended.
    pub fn open_requests(&self) -> usize {
        self.open_requests
    }

    /// Returns whether a completely received request is accepted; otherwise the caller must reject it at once.
    pub fn accept(&mut self, now: Ms) -> bool {
        let is_accepted = self.phase(now) < Phase::Rejecting;
        if is_accepted {
            self.last_accepted_at = now;
        }
        is_accepted
    }

    /// Returns when a request was last accepted.
    pub fn last_accepted_at(&self) -> Ms {
        self.last_accepted_at
    }

    /// Whether the process must exit: its grace period is over, or it rejects new requests and none is open.
    pub fn is_done(&self, now: Ms) -> bool {
        match self.phase(now) {
            Phase::Serving | Phase::Draining => false,
            Phase::Rejecting => self.open_requests == 0,
            Phase::Expired => true,
        }
    }
}
