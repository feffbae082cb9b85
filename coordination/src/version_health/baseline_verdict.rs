//! Verdict on a version against one other version that serves the same requests concurrently, and on a version alone.

use wire_messages::Name;

use super::{
    Verdict, VersionHealth,
    counts::{OutcomeCounts, Rate},
    windows::{HEALTH_WINDOWS, LONG_WINDOW, SINCE_RESTART},
};
use crate::Ms;

/// Failures required before a version can be unhealthy: two can be chance.
const MIN_FAILURES: u64 = 3;
/// Percentage points by which a version's failure rate must exceed the other's.
const FAILURE_MARGIN_PERCENT: u64 = 10;
/// Percentage of failed requests from which a version is unhealthy when there is no other version to compare it with.
const FAILURE_PERCENT_ALONE: u64 = 20;

/// Versions to compare, on one lane or over all lanes.
struct Comparison<'a> {
    new: &'a str,
    old: &'a str,
    lane: Option<&'a Name>,
}

impl VersionHealth {
    /// Judges `new` against `old`, lane by lane. Failures are compared over cached and uncached requests together, as
    /// an empty cache causes no failures; slowness is compared separately for each.
    pub fn judge(&self, new: &str, old: &str, now: Ms) -> Verdict {
        self.judge_with_window(None, new, old, now)
    }

    /// Same as [`VersionHealth::judge`], but also over the time since the last restart, for callers that restart the
    /// counts with each rollout.
    pub fn judge_since_restart(&self, new: &str, old: &str, now: Ms) -> Verdict {
        self.judge_with_window(Some(SINCE_RESTART), new, old, now)
    }

    /// Judges over all windows and `extra_window`.
    fn judge_with_window(
        &self,
        extra_window: Option<Ms>,
        new: &str,
        old: &str,
        now: Ms,
    ) -> Verdict {
        // A few failures on each of several lanes show only in the sum, failures on a single lane only on that lane.
        let lanes = std::iter::once(None).chain(self.windows.lanes_of(new).into_iter().map(Some));
        for lane in lanes {
            let comparison = Comparison { new, old, lane };
            if self.fails_more(&comparison, extra_window, now) || self.is_slower(&comparison, now) {
                return Verdict::Unhealthy;
            }
        }
        Verdict::Healthy
    }

    fn fails_more(&self, comparison: &Comparison, extra_window: Option<Ms>, now: Ms) -> bool {
        let failures = |version: &str, window: Ms| {
            self.sum_on(version, comparison.lane, None, window, now)
                .failures()
        };
        let old_long_term = failures(comparison.old, LONG_WINDOW);
        HEALTH_WINDOWS
            .into_iter()
            .chain(extra_window)
            .any(|window| {
                let new = failures(comparison.new, window);
                let old = failures(comparison.old, window);
                // Failures that affect both versions in one window, or the old version all the time, are not caused by
                // the new one.
                is_worse(new, old) && is_worse(new, old_long_term)
            })
    }

    fn is_slower(&self, comparison: &Comparison, now: Ms) -> bool {
        [true, false].into_iter().any(|cached| {
            let slowness = |version: &str| {
                self.sum_on(version, comparison.lane, Some(cached), LONG_WINDOW, now)
                    .slowness()
            };
            let (new, old) = (slowness(comparison.new), slowness(comparison.old));
            // Slowness can't be judged without requests of the same cache state on the old version.
            old.ended >= MIN_FAILURES && is_worse(new, old)
        })
    }

    /// Sums a version's counts, on one lane or all, for cached, uncached or all requests.
    fn sum_on(
        &self,
        version: &str,
        lane: Option<&Name>,
        cached: Option<bool>,
        window: Ms,
        now: Ms,
    ) -> OutcomeCounts {
        self.windows.sum(now, window, |key| {
            key.has_version(version)
                && lane.is_none_or(|lane| key.lane == *lane)
                && cached.is_none_or(|cached| key.cached == cached)
        })
    }

    /// Returns whether a version fails too often, over all lanes or on one, without comparing it to another version.
    pub fn is_failing(&self, version: &str, now: Ms) -> bool {
        let is_bad = |counts: &OutcomeCounts| {
            counts.failed >= MIN_FAILURES
                && counts.failed * 100 >= counts.ended * FAILURE_PERCENT_ALONE
        };
        HEALTH_WINDOWS.iter().any(|window| {
            let lanes = self.windows.sums_by_lane(now, *window, version);
            let all = lanes
                .values()
                .copied()
                .fold(OutcomeCounts::default(), OutcomeCounts::plus);
            is_bad(&all) || lanes.values().any(is_bad)
        })
    }

    /// Returns whether the failure rate of `new` on any lane exceeds that of `old` since the last restart, even with
    /// too few failures for a verdict.
    pub fn is_suspicious(&self, new: &str, old: &str, now: Ms) -> bool {
        self.windows.lanes_of(new).into_iter().any(|lane| {
            let failures = |version: &str| {
                self.sum_on(version, Some(lane), None, SINCE_RESTART, now)
                    .failures()
            };
            let (new, old) = (failures(new), failures(old));
            new.bad > 0 && new.exceeds(old, FAILURE_MARGIN_PERCENT)
        })
    }
}

/// Returns whether `new` has enough bad outcomes and exceeds `old` by the margin.
fn is_worse(new: Rate, old: Rate) -> bool {
    new.bad >= MIN_FAILURES && new.exceeds(old, FAILURE_MARGIN_PERCENT)
}
