//! Withdrawal of old replicas: a withdrawn replica has no share and drains while its streams may still run.

use std::collections::BTreeMap;

use remote_calls::RolloutRecord;

use super::{super::RolloutLoop, Sides};
use crate::Ms;

/// Minimum time that a step waits for streams that do not end, in ms, even if little time is left for the plan.
const MIN_STREAM_WAIT: Ms = 3_000;

/// Old replicas of a zone.
#[derive(Default)]
struct OldZone<'a> {
    total: usize,
    /// Replicas that are not withdrawn.
    serving: Vec<&'a str>,
}

impl OldZone<'_> {
    /// Returns the fraction of replicas that still serve, in thousandths.
    fn serving_permille(&self) -> usize {
        self.serving.len() * 1_000 / self.total
    }
}

impl RolloutLoop {
    /// Whether a step must wait for streams of withdrawn replicas, each for as long as the deadline and the time limits
    /// allow.
    pub(super) fn awaits_withdrawn_streams(
        &mut self,
        record: &mut RolloutRecord,
        sides: &Sides,
    ) -> bool {
        let now = sides.inputs.now;
        record
            .retiring
            .retain(|id| sides.old.iter().any(|replica| replica.id == *id));
        let max_wait = self.max_stream_wait(record, sides);
        let mut awaits_streams = false;
        for id in &record.retiring {
            let since = *self.retiring_since.entry(id.clone()).or_insert(now);
            let is_drained = self.placed.is_drained(id, sides);
            awaits_streams |= !is_drained && now.saturating_sub(since) <= max_wait;
        }
        awaits_streams
    }

    /// Returns how long a step may wait for streams, in ms: its part of the time to the deadline.
    fn max_stream_wait(&self, record: &RolloutRecord, sides: &Sides) -> Ms {
        let limit = sides.drain_limit();
        let time_left = self.placed.deadline().saturating_sub(sides.inputs.now);
        // A plan that is already late is not sped up, as that gains nothing.
        if time_left == 0 {
            return limit;
        }
        let remaining = sides.old.len() - record.retiring.len();
        let steps_left = remaining.div_ceil(sides.step_size()).max(1) as Ms;
        (time_left / steps_left).clamp(MIN_STREAM_WAIT.min(limit), limit)
    }

    /// Restores withdrawn replicas, the last first, until `required` old replicas serve.
    pub(super) fn restore_withdrawn(
        &mut self,
        record: &mut RolloutRecord,
        sides: &Sides,
        required: usize,
    ) {
        while sides.old.len() - record.retiring.len() < required {
            if let Some(id) = record.retiring.pop() {
                self.retiring_since.remove(&id);
            }
        }
    }

    /// Withdraws one step of old replicas, evenly over the zones, until `required` are left. `is_last`: the old side
    /// has no share; until then a zone keeps one replica, as home regions may send requests there.
    pub(super) fn withdraw_step(
        &mut self,
        record: &mut RolloutRecord,
        sides: &Sides,
        required: usize,
        is_last: bool,
    ) {
        let min_serving = usize::from(!is_last);
        let inputs = sides.inputs;
        for _ in 0..sides.step_size() {
            if sides.old.len() - record.retiring.len() <= required {
                return;
            }
            let Some(id) = next_to_withdraw(record, sides, min_serving) else {
                return;
            };
            self.retiring_since.insert(id.clone(), inputs.now);
            self.placed
                .begin_drain(&id, inputs.record_version + 1, inputs.now);
            record.retiring.push(id);
        }
    }
}

/// Returns the last replica of the zone with the largest fraction of its old replicas left.
fn next_to_withdraw(record: &RolloutRecord, sides: &Sides, min_serving: usize) -> Option<String> {
    let mut zones: BTreeMap<&str, OldZone> = BTreeMap::new();
    for replica in &sides.old {
        let zone = zones.entry(&replica.zone).or_default();
        zone.total += 1;
        if !record.retiring.contains(&replica.id) {
            zone.serving.push(&replica.id);
        }
    }
    let fullest = zones
        .values()
        .filter(|zone| zone.serving.len() > min_serving)
        .max_by_key(|zone| zone.serving_permille())?;
    fullest.serving.last().map(|id| id.to_string())
}
