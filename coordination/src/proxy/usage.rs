//! Usage counted by this proxy: requests that started to run, by tenant and wall-clock window.

use std::ops::RangeInclusive;

use wire_messages::{List, MAX_NAME, Name, TenantUsage};

use super::Proxy;
use crate::{
    Ms,
    numbered_counts::NumberedCounts,
    usage::{MAX_COUNTS_PER_MESSAGE, kept_windows, window_at},
};

/// Key of the counter in which a request is counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct UsageCell {
    window: u64,
    tenant: Name,
}

/// Usage to be reported to the agent.
pub(super) struct UnreportedUsage {
    pub usage: List<TenantUsage>,
    /// Last change that `usage` covers, if it does not cover all changes.
    pub through_change: Option<u64>,
}

/// Cumulative usage of this incarnation in the retained windows.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageCounters {
    counts: NumberedCounts<UsageCell>,
    /// Oldest retained window.
    oldest_window: u64,
}

impl UsageCounters {
    /// Counts a request; `change` is the number of this change.
    pub fn count(&mut self, cell: UsageCell, change: u64) {
        let count = self.counts.get(&cell) + 1;
        self.counts.raise(cell, count, change);
    }

    /// Returns the usage that changed after a change, up to the size limit of a message.
    pub fn changed_after(&self, change: u64) -> UnreportedUsage {
        let changed = self.counts.changed_after(change, MAX_COUNTS_PER_MESSAGE);
        let usage = changed.counts.into_iter().map(|(cell, count)| TenantUsage {
            window: cell.window,
            tenant: cell.tenant.clone(),
            count,
        });
        UnreportedUsage {
            usage: usage.collect(),
            through_change: changed.through_change,
        }
    }

    /// Drops all other windows if the retained windows changed.
    fn keep_windows(&mut self, windows: &RangeInclusive<u64>) {
        if *windows.start() != self.oldest_window {
            self.oldest_window = *windows.start();
            self.counts.retain(|cell| windows.contains(&cell.window));
        }
    }
}

impl Proxy {
    /// Updates the wall clock, in ms since 1970; must be called at least once a second, and before anything is served.
    pub fn observe_wall_clock(&mut self, now: Ms, wall_ms: u64) {
        self.wall_clock.observe(now, wall_ms);
        if let Some(windows) = self.kept_usage_windows(now) {
            self.attempt_counters.usage.keep_windows(&windows);
        }
    }

    /// Returns the oldest window whose usage is retained; 0 if usage is not counted.
    pub(super) fn oldest_usage_window(&self, now: Ms) -> u64 {
        self.kept_usage_windows(now)
            .map_or(0, |windows| *windows.start())
    }

    fn kept_usage_windows(&self, now: Ms) -> Option<RangeInclusive<u64>> {
        kept_windows(&self.placement.bounds, self.wall_clock.wall_ms(now)?)
    }

    /// Counts a tenant's request that started to run. Names that do not fit into a message are not counted; a spec has
    /// none.
    pub(super) fn count_usage(&mut self, tenant: Name, now: Ms) {
        if tenant.is_empty() || tenant.len() > MAX_NAME {
            return;
        }
        let wall_ms = self.wall_clock.wall_ms(now);
        let window = wall_ms.and_then(|wall_ms| window_at(&self.placement.bounds, wall_ms));
        if let Some(window) = window {
            self.attempt_counters
                .count_usage(UsageCell { window, tenant });
        }
    }
}
