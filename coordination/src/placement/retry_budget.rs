//! The retry budget of one service.
//!
//! The bound holds over all proxies in any window, although every proxy counts alone: each may retry a share of its own
//! first attempts, and has its part of the retries that are free.

use std::collections::VecDeque;

use crate::{Ms, bounds::Bounds};

/// Length of one interval of the budget's window.
const INTERVAL_LENGTH: Ms = 500;
/// Fraction of the budget that is spent. The rest covers daemons that restarted and forgot what they drew, and the
/// edges of the sliding window.
const USABLE_BUDGET_FRACTION: f64 = 0.7;

/// Attempts that began within one interval.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptInterval {
    start: Ms,
    first_attempts: u32,
    retries: u32,
}

/// First attempts and retries of one service within the window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// Oldest first.
    intervals: VecDeque<AttemptInterval>,
}

impl RetryBudget {
    /// Drops what has left the window and gives the interval of `now`.
    fn current_interval(&mut self, now: Ms, window: Ms) -> &mut AttemptInterval {
        let start = now - now % INTERVAL_LENGTH;
        // An interval counts until the whole of it has left the window.
        while self
            .intervals
            .front()
            .is_some_and(|oldest| oldest.start + window + INTERVAL_LENGTH < now)
        {
            self.intervals.pop_front();
        }
        if self
            .intervals
            .back()
            .is_none_or(|newest| newest.start < start)
        {
            self.intervals.push_back(AttemptInterval {
                start,
                ..AttemptInterval::default()
            });
        }
        let newest = self.intervals.len() - 1;
        &mut self.intervals[newest]
    }

    /// Counts a request's first attempt, which earns a share of a retry.
    pub fn count_first_attempt(&mut self, bounds: &Bounds, now: Ms) {
        self.current_interval(now, bounds.retry_window)
            .first_attempts += 1;
    }

    /// Draws one retry if the budget has one, and says whether it did. `edge_count`: proxies that share the free retries.
    pub fn try_draw_retry(&mut self, bounds: &Bounds, edge_count: usize, now: Ms) -> bool {
        self.current_interval(now, bounds.retry_window);
        let first_attempts: u32 = self.intervals.iter().map(|i| i.first_attempts).sum();
        let retries: u32 = self.intervals.iter().map(|i| i.retries).sum();
        let free = bounds.retry_slack / edge_count.max(1) as f64;
        let allowed =
            USABLE_BUDGET_FRACTION * (bounds.retry_share * f64::from(first_attempts) + free);
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.current_interval(now, bounds.retry_window).retries += 1;
        true
    }
}
