//! Wall-clock time derived from the monotonic clock.

use std::collections::VecDeque;

use crate::Ms;

/// Interval between samples of the wall clock, in ms.
const SAMPLE_INTERVAL: Ms = 1_000;
/// Number of samples kept. A step of the wall clock that is reverted within half as many intervals has no effect.
const SAMPLE_COUNT: usize = 60;

/// One observation of both clocks.
#[derive(Clone, Copy, Debug)]
struct Sample {
    taken_at: Ms,
    /// Wall-clock time minus monotonic time, in ms.
    offset_ms: i64,
}

/// Predicts wall-clock time from the monotonic clock, so that temporary steps of the wall clock have no effect.
///
/// The prediction is the monotonic time plus the median offset between the two clocks over the last 60 samples, one a
/// second. It follows a lasting step after half a minute. If the rates of the clocks differ by a fraction `r`, its
/// error is up to 30 s times `r`: 15 ms at 500 parts per million. In the first seconds it relies on few samples: a
/// process that starts during a step predicts the stepped time until half its samples are correct.
#[derive(Clone, Debug, Default)]
pub struct WallClock {
    samples: VecDeque<Sample>,
    median_offset_ms: Option<i64>,
}

impl WallClock {
    /// Observes the wall clock, in ms since 1970. Must be called at least once a second; more frequent calls have no
    /// effect.
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

    /// Returns the wall-clock time, in ms since 1970, at a monotonic time; `None` before the first observation.
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
