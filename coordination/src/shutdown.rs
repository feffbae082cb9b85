//! A serving process from the moment it is asked to stop to its end: what it still takes, and when it ends.
//!
//! Callers keep lists of addresses and open connections, so a process that stops goes on serving for as long as a list
//! may be kept. Then it refuses what is new, so that what it took has the rest of the grace to end.

use crate::Ms;

/// ms. A process that is asked to stop serves on for so long: callers keep the directory's answers for two seconds, and
/// until the directory has left a stopping edge out some more pass. What is taken last has the rest of the grace.
pub const SERVE_AFTER_SIGTERM: Ms = 2_800;
/// ms before the end of the grace. What has no answer then gets one, and the process ends.
pub const FINAL_RESPONSE_MARGIN: Ms = 600;

/// What a process does at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It was not asked to stop.
    Serving,
    /// It takes requests, and says with each answer that the connection ends with it.
    Leaving,
    /// It refuses what is new; what was taken goes on.
    Refusing,
    /// Its grace is over: what has no answer yet gets one, and the process ends.
    Over,
}

/// When the phases begin.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    refuses: Ms,
    over: Ms,
}

/// Requests that are open, and the phase that decides what becomes of them.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    schedule: Option<Schedule>,
    open: usize,
    last_taken: Ms,
}

impl Shutdown {
    /// The process is asked to stop and will be killed after the grace. A second signal changes nothing.
    pub fn begin(&mut self, grace: Ms, now: Ms) {
        let over = grace.saturating_sub(FINAL_RESPONSE_MARGIN);
        // Whatever the grace, no more than half of it is spent on taking what then needs the other half to end.
        let refuses = SERVE_AFTER_SIGTERM.min(over / 2);
        self.schedule.get_or_insert(Schedule {
            refuses: now + refuses,
            over: now + over,
        });
    }

    pub fn phase(&self, now: Ms) -> Phase {
        match self.schedule {
            None => Phase::Serving,
            Some(s) if now < s.refuses => Phase::Leaving,
            Some(s) if now < s.over => Phase::Refusing,
            Some(_) => Phase::Over,
        }
    }

    pub fn is_begun(&self) -> bool {
        self.schedule.is_some()
    }

    /// A request has begun to come in, whatever becomes of it.
    pub fn opened(&mut self) {
        self.open += 1;
    }

    /// Its answer has ended, or its caller has left.
    pub fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    pub fn open(&self) -> usize {
        self.open
    }

    /// Whether a request that has come in whole is taken; otherwise it is to be refused at once.
    pub fn take(&mut self, now: Ms) -> bool {
        let taken = self.phase(now) < Phase::Refusing;
        if taken {
            self.last_taken = now;
        }
        taken
    }

    /// When a request was last taken.
    pub fn last_taken(&self) -> Ms {
        self.last_taken
    }

    /// Whether the process is to end: its grace is over, or nothing is open that it took.
    pub fn is_done(&self, now: Ms) -> bool {
        match self.phase(now) {
            Phase::Serving | Phase::Leaving => false,
            Phase::Refusing => self.open == 0,
            Phase::Over => true,
        }
    }
}
