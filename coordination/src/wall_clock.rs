//! The time of day, as it follows from the monotonic clock.

use std::collections::VecDeque;

use crate::Ms;

/// ms. Between two samples of the time of day.
const SAMPLE_INTERVAL: Ms = 1_000;
/// Samples that are kept. A step of the time of day that is taken back within half as many intervals changes nothing.
const SAMPLE_COUNT: usize = 60;

/// One observation of both clocks.
#[derive(Clone, Copy, Debug)]
struct Sample {
    taken_at: Ms,
    /// ms. Time of day less monotonic time.
    offset_ms: i64,
}

/// Predicts the time of day from the monotonic clock, so that it does not follow a time of day that steps and steps
/// back.
///
/// The prediction is the monotonic time plus the median offset between the two clocks over the last 60 samples, one a
/// second. It follows a lasting step after half a minute. Where the rates of the clocks differ by a part `r`, it is wrong
/// by up to 30 s times `r`: 15 ms at 500 parts in a million. In its first seconds it knows no better than its few samples:
/// a process that starts during a step predicts by the stepped time until half its samples are right.
#[derive(Clone, Debug, Default)]
pub struct WallClock {
    samples: VecDeque<Sample>,
    median_offset_ms: Option<i64>,
}

impl WallClock {
    /// Observes the time of day, in ms since 1970. To be called at least once a second; more calls change nothing.
    pub fn observe(&mut self, now: Ms, wall_ms: u64) {
        let is_due = |last: &Sample| now >= last.taken_at.saturating_add(SAMPLE_INTERVAL);
        if !self.samples.back().is_none_or(is_due) {
            return;
        }
        if self.samples.len() == SAMPLE_COUNT {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            taken_at: now,
            offset_ms: wall_ms as i64 - now as i64,
        });
        self.median_offset_ms = Some(self.median_offset());
    }

    /// The time of day, in ms since 1970, at a time of the monotonic clock; none before the first observation.
    pub fn wall_ms(&self, at: Ms) -> Option<u64> {
        let offset_ms = self.median_offset_ms?;
        Some((at as i64).saturating_add(offset_ms).max(0) as u64)
    }

    fn median_offset(&self) -> i64 {
        let mut offsets: Vec<i64> = self.samples.iter().map(|sample| sample.offset_ms).collect();
        offsets.sort_unstable();
        offsets[(offsets.len() - 1) / 2]
    }
}
