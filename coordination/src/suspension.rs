//! Detection of suspensions of this process. After a suspension a daemon reads messages that were queued for long, and
//! whose senders may have turned to other daemons since.

use crate::Ms;

/// Time without a tick after which a daemon considers itself suspended, in ms: a caller tries another daemon after one
/// second without an answer.
const SUSPENSION_THRESHOLD: Ms = 1_000;
/// Time after resuming, in ms, during which a daemon rejects whatever may have been queued in its sockets.
const RESUME_GRACE: Ms = 500;

/// Detects suspension by the gap between ticks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspensionDetector {
    last_tick: Ms,
    /// Last time at which the process ran before the newest suspension, or before a series of suspensions in close
    /// succession.
    suspended_since: Ms,
    /// When the grace period after that suspension ended.
    suspended_until: Ms,
}

impl SuspensionDetector {
    pub(crate) fn new(now: Ms) -> Self {
        SuspensionDetector {
            last_tick: now,
            suspended_since: 0,
            suspended_until: 0,
        }
    }

    pub(crate) fn on_tick(&mut self, now: Ms) {
        self.last_tick = now;
    }

    /// Returns the time of the last tick, or of the start.
    pub(crate) fn last_tick(&self) -> Ms {
        self.last_tick
    }

    /// Whether the process is running, which means that it ticked recently.
    pub(crate) fn ticked_recently(&self, now: Ms) -> bool {
        now.saturating_sub(self.last_tick) <= SUSPENSION_THRESHOLD
    }

    /// Whether the process was suspended until less than the grace period ago.
    pub(crate) fn was_suspended(&mut self, now: Ms) -> bool {
        if !self.ticked_recently(now) {
            // A run shorter than the grace period may leave messages in the sockets.
            if self.last_tick >= self.suspended_until {
                self.suspended_since = self.last_tick;
            }
            self.suspended_until = now + RESUME_GRACE;
        }
        now < self.suspended_until
    }

    /// Returns the earliest time at which a message received at `received_at` may have been sent: it may have been
    /// queued since the process was suspended.
    pub(crate) fn earliest_sent(&self, received_at: Ms) -> Ms {
        if (self.suspended_since..self.suspended_until).contains(&received_at) {
            self.suspended_since
        } else {
            received_at
        }
    }
}
