//! Outcome counts, and rates to compare.

use xxhash_rust::xxh3::xxh3_64;

use crate::Ms;

/// Units of `log_ms` per doubling. One unit is about a twentieth of the time, more precise than any comparison needs.
pub(super) const LOG_UNITS_PER_DOUBLING: f64 = 16.0;

/// Defines `OutcomeCounts`, whose fields are added and subtracted one by one.
macro_rules! counts {
    ($($(#[$doc:meta])* $count:ident),* $(,)?) => {
        /// Outcome counts of a set of requests.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct OutcomeCounts {
            $($(#[$doc])* pub $count: u64,)*
            /// Bit set of the replicas that failed, by `replica_bit`.
            pub failed_replicas: u64,
        }

        impl OutcomeCounts {
            pub(super) fn minus(self, other: OutcomeCounts) -> OutcomeCounts {
                OutcomeCounts {
                    $($count: self.$count.saturating_sub(other.$count),)*
                    failed_replicas: self.failed_replicas & !other.failed_replicas,
                }
            }

            pub(super) fn plus(self, other: OutcomeCounts) -> OutcomeCounts {
                OutcomeCounts {
                    $($count: self.$count + other.$count,)*
                    failed_replicas: self.failed_replicas | other.failed_replicas,
                }
            }
        }
    };
}

counts! {
    /// Requests sent to replicas.
    sent,
    /// Requests that succeeded or failed.
    ended,
    /// Requests that failed.
    failed,
    /// Requests that succeeded but were slow.
    slow,
    /// First chunks received.
    first_chunks,
    /// Sum of `log_ms` of the times to first chunk.
    first_chunk_log_sum,
    /// Reports that included first chunks.
    first_chunk_reports,
    /// Sum over these reports of the squared sum of `log_ms`, divided by the report's first chunks.
    first_chunk_square_sum,
}

impl OutcomeCounts {
    /// Treats these counts as one report and fills in the fields for the variance between reports.
    pub(super) fn as_report(self) -> OutcomeCounts {
        if self.first_chunks == 0 {
            return self;
        }
        OutcomeCounts {
            first_chunk_reports: 1,
            first_chunk_square_sum: self.first_chunk_log_sum * self.first_chunk_log_sum
                / self.first_chunks,
            ..self
        }
    }

    /// Estimates the variance of `log_ms` of the times to first chunk, pooled over both sides, each about its own mean.
    /// It is derived from the variance between reports, weighted by their chunks: the fewer the chunks, the more their
    /// mean varies. Both sides are pooled because a few reports of one side may be alike by chance. Returns 0 if there
    /// are too few reports.
    pub(super) fn pooled_first_chunk_log_variance(&self, other: &OutcomeCounts) -> f64 {
        let sides = [self, other].map(OutcomeCounts::first_chunk_log_deviation);
        let degrees: u64 = sides.iter().map(|side| side.degrees_of_freedom).sum();
        let squares: f64 = sides.iter().map(|side| side.square_sum).sum();
        if degrees == 0 {
            return 0.0;
        }
        squares / degrees as f64
    }

    fn first_chunk_log_deviation(&self) -> Deviation {
        if self.first_chunk_reports < 2 {
            return Deviation::default();
        }
        let sum = self.first_chunk_log_sum as f64;
        let square_sum = self.first_chunk_square_sum as f64 - sum * sum / self.first_chunks as f64;
        Deviation {
            square_sum: square_sum.max(0.0),
            degrees_of_freedom: self.first_chunk_reports - 1,
        }
    }

    pub(super) fn failures(&self) -> Rate {
        Rate {
            ended: self.ended,
            bad: self.failed,
        }
    }

    pub(super) fn slowness(&self) -> Rate {
        Rate {
            ended: self.ended,
            bad: self.slow,
        }
    }
}

/// Deviation of values from their mean.
#[derive(Clone, Copy, Default)]
struct Deviation {
    /// Sum of squared deviations.
    square_sum: f64,
    /// Degrees of freedom of that sum.
    degrees_of_freedom: u64,
}

/// Requests sent to replicas of all versions and of one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentCounts {
    /// Requests sent to all versions.
    pub all: u64,
    /// Requests sent to the one version.
    pub version: u64,
}

/// Ended requests, and how many of them had a bad outcome (failed or slow).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Rate {
    pub(super) ended: u64,
    pub(super) bad: u64,
}

impl Rate {
    /// Returns whether this rate exceeds the other by more than `margin_percent` percentage points.
    pub(super) fn exceeds(self, other: Rate, margin_percent: u64) -> bool {
        let other_ended = other.ended.max(1);
        self.bad * 100 * other_ended > (other.bad * 100 + margin_percent * other_ended) * self.ended
    }
}

/// Returns the bit of a replica in `failed_replicas`. Replicas may share a bit: the set only has to show whether more
/// than one replica failed.
pub fn replica_bit(replica: &str) -> u64 {
    1 << (xxh3_64(replica.as_bytes()) % 64)
}

/// Returns the logarithm of a time in sixteenths of a doubling. Sums of these compare versions by geometric mean,
/// which a few long prompts hardly change.
pub fn log_ms(ms: Ms) -> u64 {
    ((ms.max(1) as f64).log2() * LOG_UNITS_PER_DOUBLING).round() as u64
}
