//! Graceful shutdown of a serving process: what it still accepts from the moment it is asked to stop, and when it ends.
//!
//! Clients keep lists of addresses and open connections, so a process that stops goes on serving for as long as a list
//! may be kept. Then it rejects what is new, so that what it accepted has the rest of the grace period to end.

use crate::Ms;

/// ms. A process that is asked to stop serves on for so long: clients keep the directory's answers for two seconds, and
/// until the directory has left a stopping edge out some more pass. What is accepted last has the rest of the grace
/// period.
pub const SERVE_AFTER_SIGTERM: Ms = 2_800;
/// ms before the end of the grace period. What has no response then gets one, and the process ends.
pub const FINAL_RESPONSE_MARGIN: Ms = 600;

/// What a process does at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It was not asked to stop.
    Serving,
    /// It accepts requests, and says with each response that the connection ends with it.
    Draining,
    /// It rejects what is new; what was accepted goes on.
    Rejecting,
    /// Its grace period is over: what has no response yet gets one, and the process ends.
    Expired,
}

/// When the phases begin.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    rejecting_at: Ms,
    expired_at: Ms,
}

/// Requests that are open, and the phase that decides what becomes of them.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    schedule: Option<Schedule>,
    open_requests: usize,
    last_accepted_at: Ms,
}

impl Shutdown {
    /// The process is asked to stop and will be killed after the grace period. A second signal changes nothing.
    pub fn begin(&mut self, grace: Ms, now: Ms) {
        let expires_after = grace.saturating_sub(FINAL_RESPONSE_MARGIN);
        // However long the grace period, no more than half of it is spent on accepting what then needs the other half
        // to end.
        let rejects_after = SERVE_AFTER_SIGTERM.min(expires_after / 2);
        self.schedule.get_or_insert(Schedule {
            rejecting_at: now + rejects_after,
            expired_at: now + expires_after,
        });
    }

    /// What the process does now.
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

    /// A request has begun to come in, whatever becomes of it.
    pub fn on_request_opened(&mut self) {
        self.open_requests += 1;
    }

    /// Its response has ended, or its client has left.
    pub fn on_request_closed(&mut self) {
        self.open_requests = self.open_requests.saturating_sub(1);
    }

    /// Requests that have begun to come in and have not ended.
    pub fn open_requests(&self) -> usize {
        self.open_requests
    }

    /// Whether a request that was received completely is accepted; otherwise it is to be rejected at once.
    pub fn accept(&mut self, now: Ms) -> bool {
        let is_accepted = self.phase(now) < Phase::Rejecting;
        if is_accepted {
            self.last_accepted_at = now;
        }
        is_accepted
    }

    /// When a request was last accepted.
    pub fn last_accepted_at(&self) -> Ms {
        self.last_accepted_at
    }

    /// Whether the process is to end: its grace period is over, or nothing is open that it accepted.
    pub fn is_done(&self, now: Ms) -> bool {
        match self.phase(now) {
            Phase::Serving | Phase::Draining => false,
            Phase::Rejecting => self.open_requests == 0,
            Phase::Expired => true,
        }
    }
}
