//! The verdict on a version that runs beside others for a short time: the sooner it falls the fewer requests it fails,
//! and yet a replica that crashes, or a partition, is no version's fault.

use wire_messages::Name;

use super::{
    Verdict, VersionHealth,
    counts::{LOG_UNITS_PER_DOUBLING, OutcomeCounts, Rate},
    significance::chance_of_as_many_bad,
    windows::{CounterKey, HEALTH_WINDOWS, LONG_WINDOW, SINCE_RESTART},
};
use crate::Ms;

/// Standard deviations by which bad ends must exceed the others' rate: three where the others have none at all.
const FAILURE_SIGMA: f64 = 3.0;
/// Probability from which on chance could have made both sides differ so, as far as the others' rate is known: verdicts
/// are looked for again and again, on each lane and in each window.
const MAX_CHANCE: f64 = 3e-5;
/// Standard deviations from which on a version is doubted: it may stay and gets no more.
const SUSPICION_SIGMA: f64 = 1.0;
/// Probability from which on chance explains what a version would be doubted for: that of one standard deviation.
const SUSPICION_CHANCE: f64 = 0.16;
/// ms. Windows in which a version that is about to be completed may not be doubted.
const COMPLETION_WINDOWS: [Ms; 2] = [1_000, 2_000];
/// Percent besides by which that rate must be exceeded, on however many requests.
const PLACED_MARGIN_PERCENT: u64 = 3;
/// ms. Bad ends so close together may be one crash: streams end at once, edges report it within this.
const FAILURE_BURST: Ms = 800;
/// Bad ends by chance from which on some are expected beside a crash.
const RARE_FAILURES: f64 = 0.05;
/// Fewer bad ends than these are no burst: so few streams of one replica would not condemn a version either.
const MIN_BURST_FAILURES: u64 = 3;
/// Doublings of the mean time to a first chunk that make a version slow: 2.2 times, where bad ones take several.
const SLOW_DOUBLINGS: f64 = 1.125 * LOG_UNITS_PER_DOUBLING;
/// Standard deviations by which times must exceed the others' besides: they are looked at again and again, and a few
/// slow ones among many quick ones double a mean of few by chance.
const SLOW_SIGMA: f64 = 4.0;
/// First chunks on both sides before times are compared: a mean of so many is within a third of a doubling.
const MIN_FIRST_CHUNKS: u64 = 12;

/// Which counters are compared: a version's with those of all others, on one lane or over all.
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
        key.is_of(self.version) && self.is_on_lane(key)
    }

    fn is_others(&self, key: &CounterKey) -> bool {
        !key.is_of(self.version) && self.is_on_lane(key)
    }
}

/// The version's counts and the others'.
struct Compared {
    own: OutcomeCounts,
    others: OutcomeCounts,
}

/// How late first chunks come.
#[derive(Clone, Copy, Default)]
struct FirstChunkDelay {
    first_chunks: u64,
    /// By how much the sum of logarithms exceeds the others' mean.
    log_excess: f64,
    /// Variance of that excess, were the version like the others.
    variance: f64,
}

impl FirstChunkDelay {
    /// The delay of a version's first chunks against the others' on one lane.
    fn of(own: &OutcomeCounts, others: &OutcomeCounts) -> Self {
        let (count, others_count) = (own.first_chunks as f64, others.first_chunks as f64);
        let others_mean = others.first_chunk_log_sum as f64 / others_count;
        // The others' mean is known the less surely the fewer they are.
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
    /// Whether the bad ends are more than chance makes of the other's rate, by so many standard deviations.
    fn exceeds_chance(self, other: Rate, sigma: f64) -> bool {
        let probability = other.bad as f64 / other.ended.max(1) as f64;
        let ended = self.ended as f64;
        // The other's rate is known the less surely the fewer it is known from.
        let uncertainty = 1.0 + ended / other.ended.max(1) as f64;
        // The one in the root lets no single end decide where nothing ever failed.
        let deviation = (ended * probability * (1.0 - probability) * uncertainty + 1.0).sqrt();
        (self.bad as f64 - ended * probability) / deviation >= sigma
            && self.exceeds(other, PLACED_MARGIN_PERCENT)
    }

    fn is_worse_than(self, other: Rate) -> bool {
        self.exceeds_chance(other, FAILURE_SIGMA + self.extra_sigma(other))
    }

    /// Whether the bad ends are too many to trust and too few to condemn.
    fn is_doubtful_beside(self, other: Rate) -> bool {
        self.exceeds_chance(other, SUSPICION_SIGMA + self.extra_sigma(other))
            && chance_of_as_many_bad(self, other) < SUSPICION_CHANCE
    }

    /// Standard deviations more: where some fail always, chance has more ways and is looked at more often.
    fn extra_sigma(self, other: Rate) -> f64 {
        self.expected_bad(other).min(1.0)
    }

    /// Whether chance can't have made this rate of what is known of the other.
    fn differs_beyond_chance(self, other: Rate) -> bool {
        chance_of_as_many_bad(self, other) < MAX_CHANCE
    }

    /// Bad ends that the other's rate alone makes among as many requests.
    fn expected_bad(self, other: Rate) -> f64 {
        self.ended as f64 * other.bad as f64 / other.ended.max(1) as f64
    }

    /// Without so many bad ends.
    fn without(self, bad: u64) -> Rate {
        Rate {
            ended: self.ended - bad,
            bad: self.bad - bad,
        }
    }
}

impl VersionHealth {
    /// Judges a version against all others, over all lanes and on each. `comparable_since`: since when its replicas are
    /// as warm as the others'; times before that say nothing.
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
    ) -> Compared {
        let is_alike = |key: &CounterKey| cached.is_none_or(|cached| key.cached == cached);
        Compared {
            own: self
                .windows
                .sum(now, window, |key| comparison.is_own(key) && is_alike(key)),
            others: self.windows.sum(now, window, |key| {
                comparison.is_others(key) && is_alike(key)
            }),
        }
    }

    fn others_failures(&self, comparison: Comparison, window: Ms, now: Ms) -> Rate {
        self.windows
            .sum(now, window, |key| comparison.is_others(key))
            .failures()
    }

    /// What the others always have: it doesn't change with the phase of a release.
    fn others_usual_failures(&self, comparison: Comparison, now: Ms) -> Rate {
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
        let others_over_long = self.others_usual_failures(comparison, now);
        HEALTH_WINDOWS
            .into_iter()
            .any(|window| self.fails_more_in_window(comparison, others_over_long, window, now))
    }

    fn fails_more_in_window(
        &self,
        comparison: Comparison,
        others_over_long: Rate,
        window: Ms,
        now: Ms,
    ) -> bool {
        let own_counts = self.windows.sum(now, window, |key| comparison.is_own(key));
        let own = own_counts.failures();
        if own.bad == 0 {
            return false;
        }
        let others = self.others_failures(comparison, window, now);
        // What befalls both in one window is no fault of the new one, nor is what the others always have.
        let is_worse = |rate: Rate| {
            rate.is_worse_than(others)
                && rate.is_worse_than(others_over_long)
                && rate.differs_beyond_chance(others_over_long)
        };
        if !is_worse(own) {
            return false;
        }
        // Nor is one crash, which ends all of a replica's streams together. Others that fail beside it tell,
        // or what failed at other times.
        let expected = own
            .expected_bad(others_over_long)
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

    /// Failures among a version's own that may be one crash: the worst burst.
    fn crash_failures(&self, comparison: Comparison, own: Rate, window: Ms, now: Ms) -> u64 {
        let burst = self
            .windows
            .worst_burst(now, window, FAILURE_BURST, |key| comparison.is_own(key));
        if burst >= MIN_BURST_FAILURES {
            burst.min(own.bad)
        } else {
            0
        }
    }

    /// Whether more of a version's requests are slow than of the others', with caches of like warmth.
    fn is_slow(&self, comparison: Comparison, window: Ms, now: Ms) -> bool {
        [true, false].into_iter().any(|cached| {
            let Compared { own, others } = self.compare(comparison, Some(cached), window, now);
            let (own_slowness, others_slowness) = (own.slowness(), others.slowness());
            others.ended >= MIN_FIRST_CHUNKS
                && own_slowness.is_worse_than(others_slowness)
                && own_slowness.differs_beyond_chance(others_slowness)
        })
    }

    /// Whether a version's first chunks come late on a lane, or over all lanes. Each time is compared with those of its
    /// own lane: caches that are new are cold for other prompts than those that are old, so that mixes of lanes differ.
    fn is_first_chunk_late(&self, version: &str, cached: bool, window: Ms, now: Ms) -> bool {
        let mut all_lanes = FirstChunkDelay::default();
        for lane in self.windows.lanes_of(version) {
            let comparison = Comparison {
                version,
                lane: Some(lane),
            };
            let Compared { own, others } = self.compare(comparison, Some(cached), window, now);
            // Without a like cache on the other side nothing can be said about slowness.
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

    /// Whether too little of a version has failed to condemn it and too much to trust it.
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
                .is_doubtful_beside(self.others_usual_failures(comparison, now))
        })
    }

    /// Whether a version has failed just now more than the others do. What may be a crash counts too: a version that
    /// has just turned bad looks like one.
    pub fn has_excess_recent_failures(&self, version: &str, now: Ms) -> bool {
        self.windows.lanes_of(version).into_iter().any(|lane| {
            let comparison = Comparison {
                version,
                lane: Some(lane),
            };
            let others = self.others_usual_failures(comparison, now);
            COMPLETION_WINDOWS.into_iter().any(|window| {
                self.own_failures(comparison, window, now)
                    .is_doubtful_beside(others)
            })
        })
    }

    /// Whether a version ended enough requests on each lane on which others ended any since the last restart.
    pub fn has_tried_all_lanes(&self, version: &str, min_requests: u64, now: Ms) -> bool {
        self.windows.all_lanes().into_iter().all(|lane| {
            let comparison = Comparison {
                version,
                lane: Some(lane),
            };
            let Compared { own, others } = self.compare(comparison, None, SINCE_RESTART, now);
            own.ended >= min_requests || others.ended == 0
        })
    }
}
