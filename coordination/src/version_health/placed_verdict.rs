//! Verdict on a version that runs beside others for a short time. An early verdict limits the requests that an
//! unhealthy version fails, but a crashed replica or a network partition must not count against the version.

use wire_messages::Name;

use super::{
    Verdict, VersionHealth,
    counts::{LOG_UNITS_PER_DOUBLING, OutcomeCounts, Rate},
    significance::fisher_p_value,
    windows::{CounterKey, HEALTH_WINDOWS, LONG_WINDOW, SINCE_RESTART},
};
use crate::Ms;

/// Standard deviations by which bad outcomes must exceed the others' rate: three bad outcomes where the others have
/// none.
const FAILURE_SIGMA: f64 = 3.0;
/// P-value from which on chance may explain the difference to the others, given what is known of their rate. It is this
/// low because the test is repeated often, on each lane and in each window.
const MAX_P_VALUE: f64 = 3e-5;
/// Standard deviations from which on a version is suspicious: it keeps its share, which is not increased.
const SUSPICION_SIGMA: f64 = 1.0;
/// P-value from which on chance explains a version's bad outcomes and it isn't suspicious: that of one standard
/// deviation.
const SUSPICION_P_VALUE: f64 = 0.16;
/// Windows in which a version must not be suspicious before its rollout completes, in ms.
const COMPLETION_WINDOWS: [Ms; 2] = [1_000, 2_000];
/// Percentage points by which the others' rate must also be exceeded, regardless of the number of requests.
const PLACED_MARGIN_PERCENT: u64 = 3;
/// Time within which failures may be due to one crash, in ms: its streams end at once, and edges report them within
/// this time.
const FAILURE_BURST: Ms = 800;
/// Number of bad outcomes expected by chance from which on some are expected in addition to a crash.
const RARE_FAILURES: f64 = 0.05;
/// Minimum failures of a burst: fewer failed streams of one replica would not make a version unhealthy either.
const MIN_BURST_FAILURES: u64 = 3;
/// Increase of the mean time to first chunk from which on a version is slow, in units of `log_ms`: 1.125 doublings or
/// 2.2 times, where unhealthy versions take several times as long.
const SLOW_DOUBLINGS: f64 = 1.125 * LOG_UNITS_PER_DOUBLING;
/// Standard deviations by which times must also exceed the others': the test is repeated often, and a few slow requests
/// among many fast ones double the mean of a small sample by chance.
const SLOW_SIGMA: f64 = 4.0;
/// First chunks required on both sides to compare times: the mean of 12 is accurate to a third of a doubling.
const MIN_FIRST_CHUNKS: u64 = 12;

/// Counters to compare: a version's with those of all others, on one lane or over all lanes.
#[derive(Clone, Copy)]
struct Comparison<'a> {
    version: &'a str,
    lane: Option<&'a Name>,
}

impl Comparison<'_> {
    fn is_on_lane(&self, key: &CounterKey) -> bool {
        self.lane.is_none_or(|lane| key.lane == *lane)
    }

    fn is_own(&self, key: &CounterKey) -> bool {
        key.has_version(self.version) && self.is_on_lane(key)
    }

    fn is_others(&self, key: &CounterKey) -> bool {
        !key.has_version(self.version) && self.is_on_lane(key)
    }
}

/// Counts of the version and of all others.
struct ComparedCounts {
    own: OutcomeCounts,
    others: OutcomeCounts,
}

/// Delay of a version's first chunks against the others'.
#[derive(Clone, Copy, Default)]
struct FirstChunkDelay {
    first_chunks: u64,
    /// Excess of the sum of `log_ms` over the sum expected from the others' mean.
    log_excess: f64,
    /// Variance of `log_excess` under the hypothesis that the version is like the others.
    variance: f64,
}

impl FirstChunkDelay {
    /// Computes the delay of a version's first chunks against the others' on one lane.
    fn of(own: &OutcomeCounts, others: &OutcomeCounts) -> Self {
        let (count, others_count) = (own.first_chunks as f64, others.first_chunks as f64);
        let others_mean = others.first_chunk_log_sum as f64 / others_count;
        // The fewer the others' first chunks, the less certain their mean.
        let variance = own.pooled_first_chunk_log_variance(others);
        FirstChunkDelay {
            first_chunks: own.first_chunks,
            log_excess: own.first_chunk_log_sum as f64 - others_mean * count,
            variance: variance * count * (1.0 + count / others_count),
        }
    }

    fn is_late(self) -> bool {
        self.first_chunks >= MIN_FIRST_CHUNKS
            && self.log_excess >= SLOW_DOUBLINGS * self.first_chunks as f64
            && self.log_excess >= SLOW_SIGMA * self.variance.sqrt()
    }
}

impl Rate {
    /// Returns whether the bad outcomes exceed the number expected from the other's rate by `sigma` standard
    /// deviations.
    fn exceeds_by_sigma(self, other: Rate, sigma: f64) -> bool {
        let probability = other.bad as f64 / other.ended.max(1) as f64;
        let ended = self.ended as f64;
        // The fewer the other's requests, the less certain its rate.
        let uncertainty = 1.0 + ended / other.ended.max(1) as f64;
        // Adding 1 to the variance keeps a single bad outcome from deciding where nothing ever failed.
        let deviation = (ended * probability * (1.0 - probability) * uncertainty + 1.0).sqrt();
        (self.bad as f64 - ended * probability) / deviation >= sigma
            && self.exceeds(other, PLACED_MARGIN_PERCENT)
    }

    fn is_worse_than(self, other: Rate) -> bool {
        self.exceeds_by_sigma(other, FAILURE_SIGMA + self.extra_sigma(other))
    }

    /// Returns whether the bad outcomes are too many to increase the version's share, even if too few for a verdict.
    fn is_suspicious_against(self, other: Rate) -> bool {
        self.exceeds_by_sigma(other, SUSPICION_SIGMA + self.extra_sigma(other))
            && fisher_p_value(self, other) < SUSPICION_P_VALUE
    }

    /// Returns the additional standard deviations: where some requests always fail, chance differences are more
    /// frequent and tested more often.
    fn extra_sigma(self, other: Rate) -> f64 {
        self.expected_bad(other).min(1.0)
    }

    /// Returns whether chance can't explain this rate, given what is known of the other.
    fn differs_significantly_from(self, other: Rate) -> bool {
        fisher_p_value(self, other) < MAX_P_VALUE
    }

    /// Returns the bad outcomes expected from the other's rate among as many requests.
    fn expected_bad(self, other: Rate) -> f64 {
        self.ended as f64 * other.bad as f64 / other.ended.max(1) as f64
    }

    /// Returns the rate without `bad` of its bad outcomes.
    fn without(self, bad: u64) -> Rate {
        Rate {
            ended: self.ended - bad,
            bad: self.bad - bad,
        }
    }
}

impl VersionHealth {
    /// Judges a version against all others, over all lanes and on each. `comparable_since`: time at which its replicas
    /// had warmed up; request times before it are not compared.
    pub fn judge_placed(&self, version: &str, comparable_since: Option<Ms>, now: Ms) -> Verdict {
        let comparable_window =
            comparable_since.map(|since| now.saturating_sub(since).min(LONG_WINDOW));
        let lanes = self.windows.lanes_of(version).into_iter().map(Some);
        for lane in std::iter::once(None).chain(lanes) {
            let comparison = Comparison { version, lane };
            let is_slow =
                || comparable_window.is_some_and(|window| self.is_slow(comparison, window, now));
            if self.fails_more_than_others(comparison, now) || is_slow() {
                return Verdict::Unhealthy;
            }
        }
        let is_late = comparable_window.is_some_and(|window| {
            [true, false]
                .into_iter()
                .any(|cached| self.is_first_chunk_late(version, cached, window, now))
        });
        if is_late {
            Verdict::Unhealthy
        } else {
            Verdict::Healthy
        }
    }

    fn compare(
        &self,
        comparison: Comparison,
        cached: Option<bool>,
        window: Ms,
        now: Ms,
    ) -> ComparedCounts {
        let is_match = |key: &CounterKey| cached.is_none_or(|cached| key.cached == cached);
        ComparedCounts {
            own: self
                .windows
                .sum(now, window, |key| comparison.is_own(key) && is_match(key)),
            others: self.windows.sum(now, window, |key| {
                comparison.is_others(key) && is_match(key)
            }),
        }
    }

    fn others_failures(&self, comparison: Comparison, window: Ms, now: Ms) -> Rate {
        self.windows
            .sum(now, window, |key| comparison.is_others(key))
            .failures()
    }

    /// Returns the others' long-term failures, across restarts: they don't depend on the phase of a release.
    fn others_long_term_failures(&self, comparison: Comparison, now: Ms) -> Rate {
        self.windows
            .sum_across_restarts(now, LONG_WINDOW, |key| comparison.is_others(key))
            .failures()
    }

    fn own_failures(&self, comparison: Comparison, window: Ms, now: Ms) -> Rate {
        self.windows
            .sum(now, window, |key| comparison.is_own(key))
            .failures()
    }

    fn fails_more_than_others(&self, comparison: Comparison, now: Ms) -> bool {
        let others_long_term = self.others_long_term_failures(comparison, now);
        HEALTH_WINDOWS
            .into_iter()
            .any(|window| self.fails_more_in_window(comparison, others_long_term, window, now))
    }

    fn fails_more_in_window(
        &self,
        comparison: Comparison,
        others_long_term: Rate,
        window: Ms,
        now: Ms,
    ) -> bool {
        let own_counts = self.windows.sum(now, window, |key| comparison.is_own(key));
        let own = own_counts.failures();
        if own.bad == 0 {
            return false;
        }
        let others = self.others_failures(comparison, window, now);
        // Failures that affect both sides in one window, or the others all the time, are not caused by this version.
        let is_worse = |rate: Rate| {
            rate.is_worse_than(others)
                && rate.is_worse_than(others_long_term)
                && rate.differs_significantly_from(others_long_term)
        };
        if !is_worse(own) {
            return false;
        }
        // One crash, which ends all streams of a replica at once, isn't caused by the version either. Failures of other
        // replicas, or at other times, show that it was more than a crash.
        let expected = own
            .expected_bad(others_long_term)
            .max(own.expected_bad(others));
        let expected_replicas = if expected > RARE_FAILURES {
            expected + 2.0 * expected.sqrt() + 2.0
        } else {
            0.0
        };
        if f64::from(own_counts.failed_replicas.count_ones()) - 1.0 > expected_replicas {
            return true;
        }
        is_worse(own.without(self.crash_failures(comparison, own, window, now)))
    }

    /// Returns the version's failures that may be due to one crash: the largest burst.
    fn crash_failures(&self, comparison: Comparison, own: Rate, window: Ms, now: Ms) -> u64 {
        let burst = self
            .windows
            .largest_burst(now, window, FAILURE_BURST, |key| comparison.is_own(key));
        if burst >= MIN_BURST_FAILURES {
            burst.min(own.bad)
        } else {
            0
        }
    }

    /// Returns whether more of a version's requests are slow than of the others', compared separately for cached and
    /// uncached requests.
    fn is_slow(&self, comparison: Comparison, window: Ms, now: Ms) -> bool {
        [true, false].into_iter().any(|cached| {
            let ComparedCounts { own, others } =
                self.compare(comparison, Some(cached), window, now);
            let (own_slowness, others_slowness) = (own.slowness(), others.slowness());
            others.ended >= MIN_FIRST_CHUNKS
                && own_slowness.is_worse_than(others_slowness)
                && own_slowness.differs_significantly_from(others_slowness)
        })
    }

    /// Returns whether a version's first chunks are late on a lane, or over all lanes. Times are compared only within a
    /// lane: new caches miss on other prompts than old ones, so the mix of lanes differs.
    fn is_first_chunk_late(&self, version: &str, cached: bool, window: Ms, now: Ms) -> bool {
        let mut all_lanes = FirstChunkDelay::default();
        for lane in self.windows.lanes_of(version) {
            let comparison = Comparison {
                version,
                lane: Some(lane),
            };
            let ComparedCounts { own, others } =
                self.compare(comparison, Some(cached), window, now);
            // Slowness can't be judged without requests of the same cache state on the other side.
            if own.first_chunks == 0 || others.first_chunks < MIN_FIRST_CHUNKS.min(own.first_chunks)
            {
                continue;
            }
            let delay = FirstChunkDelay::of(&own, &others);
            if others.first_chunks >= MIN_FIRST_CHUNKS && delay.is_late() {
                return true;
            }
            all_lanes.first_chunks += delay.first_chunks;
            all_lanes.log_excess += delay.log_excess;
            all_lanes.variance += delay.variance;
        }
        all_lanes.is_late()
    }

    /// Returns whether a version has failed too often to increase its share, even if too rarely for a verdict.
    pub fn is_suspicious_placed(&self, version: &str, now: Ms) -> bool {
        self.windows.lanes_of(version).into_iter().any(|lane| {
            let comparison = Comparison {
                version,
                lane: Some(lane),
            };
            let own = self.own_failures(comparison, LONG_WINDOW, now);
            let crash = if own.bad > 0 {
                self.crash_failures(comparison, own, LONG_WINDOW, now)
            } else {
                0
            };
            own.without(crash)
                .is_suspicious_against(self.others_long_term_failures(comparison, now))
        })
    }

    /// Returns whether a version has just failed more often than the others do. Possible crashes count too, as a
    /// version that has just become unhealthy looks the same.
    pub fn has_excess_recent_failures(&self, version: &str, now: Ms) -> bool {
        self.windows.lanes_of(version).into_iter().any(|lane| {
            let comparison = Comparison {
                version,
                lane: Some(lane),
            };
            let others = self.others_long_term_failures(comparison, now);
            COMPLETION_WINDOWS.into_iter().any(|window| {
                self.own_failures(comparison, window, now)
                    .is_suspicious_against(others)
            })
        })
    }

    /// Returns whether a version ended enough requests on each lane on which others ended any since the last restart.
    pub fn has_tried_all_lanes(&self, version: &str, min_requests: u64, now: Ms) -> bool {
        self.windows.all_lanes().into_iter().all(|lane| {
            let comparison = Comparison {
                version,
                lane: Some(lane),
            };
            let ComparedCounts { own, others } = self.compare(comparison, None, SINCE_RESTART, now);
            own.ended >= min_requests || others.ended == 0
        })
    }
}
