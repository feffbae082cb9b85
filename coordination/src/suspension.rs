//! Whether this process was suspended: a daemon that did not run for a while reads messages that waited for long, and
//! their senders have gone to other daemons since.

use crate::Ms;

/// ms without a tick after which a daemon takes itself to have been suspended: a client goes on to another daemon after a
/// second without an answer.
const SUSPENSION_THRESHOLD: Ms = 1_000;
/// ms from its resumption for which a daemon accepts nothing that may have waited in its sockets.
const RESUME_GRACE: Ms = 500;

/// Detects suspension by the gap between ticks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspensionDetector {
    last_tick: Ms,
    /// When the process last ran before the newest suspension, or before several that followed each other closely.
    suspended_since: Ms,
    /// When the grace after it ended.
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

    /// The time of the last tick, or of the start.
    pub(crate) fn last_tick(&self) -> Ms {
        self.last_tick
    }

    /// Whether the process runs: it ticked lately.
    pub(crate) fn ticked_recently(&self, now: Ms) -> bool {
        now.saturating_sub(self.last_tick) <= SUSPENSION_THRESHOLD
    }

    /// Whether the process was suspended until just now.
    pub(crate) fn was_suspended(&mut self, now: Ms) -> bool {
        if !self.ticked_recently(now) {
            // A short run may leave messages in the sockets.
            if self.last_tick >= self.suspended_until {
                self.suspended_since = self.last_tick;
            }
            self.suspended_until = now + RESUME_GRACE;
        }
        now < self.suspended_until
    }

    /// The earliest time at which what was received then may have been sent: it may have waited since the process was
    /// suspended.
    pub(crate) fn earliest_sent(&self, received_at: Ms) -> Ms {
        if (self.suspended_since..self.suspended_until).contains(&received_at) {
            self.suspended_since
        } else {
            received_at
        }
    }
}
