//! The retry budget of one service.
//!
//! The limit holds for all proxies together in any window, although each proxy counts only its own attempts: it may
//! retry a fraction of its own first attempts and has a share of the free retries.

use std::collections::VecDeque;

use crate::{Ms, bounds::Bounds};

/// Length of one interval of the budget's window, in ms.
const INTERVAL_LENGTH: Ms = 500;
/// Fraction of the budget that is used. The rest covers daemons that lost their counts in a restart, and intervals that
/// are only partly within the sliding window.
const USABLE_BUDGET_FRACTION: f64 = 0.7;

/// Attempts that started within one interval.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptInterval {
    start: Ms,
    first_attempts: u32,
    retries: u32,
}

/// First attempts and retries of one service within the window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// Ordered from oldest to newest.
    intervals: VecDeque<AttemptInterval>,
}

impl RetryBudget {
    /// Drops intervals that have left the window and returns the interval of `now`.
    fn current_interval(&mut self, now: Ms, window: Ms) -> &mut AttemptInterval {
        let start = now - now % INTERVAL_LENGTH;
        // An interval counts until all of it has left the window.
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

    /// Counts a request's first attempt, which earns a fraction of a retry.
    pub fn count_first_attempt(&mut self, bounds: &Bounds, now: Ms) {
        self.current_interval(now, bounds.retry_window)
            .first_attempts += 1;
    }

    /// Draws one retry if the budget allows it, and returns whether it did. `edge_count`: proxies that share the free
    /// retries.
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
