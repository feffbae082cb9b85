//! The verdict on a version against one other that serves the same requests beside it, and on a version alone.

use wire_messages::Name;

use super::{
    Verdict, VersionHealth,
    counts::{OutcomeCounts, Rate},
    windows::{HEALTH_WINDOWS, LONG_WINDOW, SINCE_RESTART},
};
use crate::Ms;

/// Failures of a version before it may be called bad: two can be chance.
const MIN_FAILURES: u64 = 3;
/// Percent by which a version's failure rate must exceed the other's.
const FAILURE_MARGIN_PERCENT: u64 = 10;
/// Percent of ended requests that a version may fail on when there is no other to compare it with.
const FAILURE_PERCENT_ALONE: u64 = 20;

/// The versions that are compared, on one lane or over all.
struct Comparison<'a> {
    new: &'a str,
    old: &'a str,
    lane: Option<&'a Name>,
}

impl VersionHealth {
    /// Judges `new` against `old`, lane by lane. Failures are compared over all caches, as a cold cache
    /// makes nothing fail; slowness only between caches of like warmth.
    pub fn judge(&self, new: &str, old: &str, now: Ms) -> Verdict {
        self.judge_over(None, new, old, now)
    }

    /// The same over all since the last restart too, for whoever restarts it with each rollout.
    pub fn judge_since_restart(&self, new: &str, old: &str, now: Ms) -> Verdict {
        self.judge_over(Some(SINCE_RESTART), new, old, now)
    }

    /// Judges over all windows and one more.
    fn judge_over(&self, extra_window: Option<Ms>, new: &str, old: &str, now: Ms) -> Verdict {
        // Few failures on each of several lanes are many together; all on one lane are many there.
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
        let old_over_long = failures(comparison.old, LONG_WINDOW);
        HEALTH_WINDOWS
            .into_iter()
            .chain(extra_window)
            .any(|window| {
                let new = failures(comparison.new, window);
                let old = failures(comparison.old, window);
                // What befalls both versions in one window is no fault of the new one, nor is what the old one always has.
                is_worse(new, old) && is_worse(new, old_over_long)
            })
    }

    fn is_slower(&self, comparison: &Comparison, now: Ms) -> bool {
        [true, false].into_iter().any(|cached| {
            let slowness = |version: &str| {
                self.sum_on(version, comparison.lane, Some(cached), LONG_WINDOW, now)
                    .slowness()
            };
            let (new, old) = (slowness(comparison.new), slowness(comparison.old));
            // Without a like cache on the other side nothing can be said about slowness.
            old.ended >= MIN_FAILURES && is_worse(new, old)
        })
    }

    /// What a version counted, on one lane or all, with one cache warmth or any.
    fn sum_on(
        &self,
        version: &str,
        lane: Option<&Name>,
        cached: Option<bool>,
        window: Ms,
        now: Ms,
    ) -> OutcomeCounts {
        self.windows.sum(now, window, |key| {
            key.is_of(version)
                && lane.is_none_or(|lane| key.lane == *lane)
                && cached.is_none_or(|cached| key.cached == cached)
        })
    }

    /// Whether a version fails by itself, over all lanes or on one, with nothing to compare it with.
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

    /// Whether what failed of `new` since the last restart is too little to judge it by and too much to trust it.
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

/// Whether a rate exceeds the other's by the margin, on enough bad ends.
fn is_worse(new: Rate, old: Rate) -> bool {
    new.bad >= MIN_FAILURES && new.exceeds(old, FAILURE_MARGIN_PERCENT)
}
