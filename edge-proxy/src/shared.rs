//! The brain, shared by the actor that talks to the agent and the HTTP worker: a hop through a mailbox for each
//! event of each stream would cost more than the lock does.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use coordination::{
    Ms, events,
    pass::AttemptOutcome,
    proxy::{Assignment, Proxy},
};
use daemon_parts::{clock, logging::event};

pub type Shared = Arc<Mutex<Proxy>>;

/// The brain for one decision; never held across an await.
pub fn hold(b: &Shared) -> MutexGuard<'_, Proxy> {
    // A decision that panicked left nothing half done that the next could not read.
    b.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One round at one replica. However its work ends, the brain hears of it exactly once.
pub struct Flight {
    brain: Shared,
    pub placed: Assignment,
    pieces: bool,
    ended: bool,
}

impl Flight {
    pub fn new(brain: Shared, placed: Assignment) -> Self {
        Flight {
            brain,
            placed,
            pieces: false,
            ended: false,
        }
    }
    pub fn first_piece(&mut self, now: Ms) {
        if !std::mem::replace(&mut self.pieces, true) {
            hold(&self.brain).on_first_chunk(&self.placed, now);
        }
    }
    pub fn end(&mut self, e: AttemptOutcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let suspect = hold(&self.brain).on_attempt_ended(&self.placed, e, clock::now());
        if let Some(v) = suspect {
            event(events::VERSION_SUSPECTED, &self.placed.replica, &v);
        }
    }
}

impl Drop for Flight {
    /// The downstream left: nobody was there any more to say how it ended.
    fn drop(&mut self) {
        self.end(AttemptOutcome::ClientGone);
    }
}
