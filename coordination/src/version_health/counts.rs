//! Counts of outcomes, and rates that are compared.

use xxhash_rust::xxh3::xxh3_64;

use crate::Ms;

/// Parts of a doubling in a time's logarithm: a twentieth of a time is more than any comparison needs.
pub(super) const LOG_UNITS_PER_DOUBLING: f64 = 16.0;

/// Makes a set of counts that are added and subtracted field by field.
macro_rules! counts {
    ($($(#[$doc:meta])* $count:ident),* $(,)?) => {
        /// What was counted of requests of one kind.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct OutcomeCounts {
            $($(#[$doc])* pub $count: u64,)*
            /// Replicas that failed, by `replica_bit`.
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
    /// Requests that ended, well or not.
    ended,
    /// Requests that failed.
    failed,
    /// Requests that ended well but late.
    slow,
    /// First chunks received.
    first_chunks,
    /// Sum of `log_ms` of the times to the first chunks.
    first_chunk_log_sum,
    /// Reports that brought first chunks.
    first_chunk_reports,
    /// Over these reports the sum of the square of each one's sum of `log_ms`, divided by its first chunks.
    first_chunk_square_sum,
}

impl OutcomeCounts {
    /// What one report adds, with what its first chunks tell of the spread of all.
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

    /// Variance of `log_ms` of the times to the first chunks, as far as both sides together tell, each about its own
    /// mean: between reports, as the mean of few chunks spreads the more the fewer they are. A few reports of one side
    /// may happen to be alike. 0 where there are too few reports to tell.
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

/// How far values lie from their mean.
#[derive(Clone, Copy, Default)]
struct Deviation {
    /// Sum of the squares of their distances.
    square_sum: f64,
    /// How many of these are free.
    degrees_of_freedom: u64,
}

/// Requests sent to replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentCounts {
    /// Of all versions.
    pub all: u64,
    /// Of one version.
    pub version: u64,
}

/// Requests that ended, and how many of them were bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Rate {
    pub(super) ended: u64,
    pub(super) bad: u64,
}

impl Rate {
    /// Whether this rate exceeds the other's by more than so many percent of the requests.
    pub(super) fn exceeds(self, other: Rate, margin_percent: u64) -> bool {
        let other_ended = other.ended.max(1);
        self.bad * 100 * other_ended > (other.bad * 100 + margin_percent * other_ended) * self.ended
    }
}

/// The bit of a replica that failed. Replicas are distinguished only as far as it takes to see whether there is
/// more than one.
pub fn replica_bit(replica: &str) -> u64 {
    1 << (xxh3_64(replica.as_bytes()) % 64)
}

/// A time as its logarithm, in sixteenths of a doubling. Sums of these compare versions by geometric means, which
/// a few long prompts hardly move.
pub fn log_ms(ms: Ms) -> u64 {
    ((ms.max(1) as f64).log2() * LOG_UNITS_PER_DOUBLING).round() as u64
}
