//! The shifting phase if the platform places versions: the share moves in steps, and old replicas are withdrawn after
//! each.

use remote_calls::{GroupRole, PlatformReplica, RolloutPhase, RolloutRecord};

use super::{
    super::{
        RolloutLoop,
        groups::{group, version_share},
    },
    Sides,
    canary::MAX_SHORT_CANARY_PERCENT,
    sides::replica_ids,
};
use crate::Ms;

/// Fraction of the exposure limit that a good canary uses while it waits for its time to shift.
const EXPOSURE_WHILE_WAITING: f64 = 0.25;
/// Assumed duration of one shifting step if the platform places versions, in ms: a write, the edges' polls and a
/// second of streams.
pub(super) const DEFAULT_SHIFT_TIME: Ms = 2_000;
/// Minimum time that a step's share must be in effect before the next step, in ms.
const MIN_STEP_TIME: Ms = 900;
/// Requests that must have ended under a step's share before the next step.
const MIN_STEP_REQUESTS: u64 = 6;
/// Maximum time that a step waits for these requests, in ms.
const MAX_STEP_WAIT: Ms = 5_000;

impl RolloutLoop {
    pub(super) fn step_placed_shifting(&mut self, record: &mut RolloutRecord, sides: &Sides) {
        let now = sides.inputs.now;
        if self.reverts_bad_placed_target(record, sides) {
            return;
        }
        // Only warmed-up replicas take part in this phase.
        self.placed.comparable_since.get_or_insert(now);
        let warm = sides.warm_new_replicas();
        let awaits_streams = self.awaits_withdrawn_streams(record, sides);
        // The share moves before replicas are withdrawn, and never exceeds the new side's capacity or exposure limit.
        let share = version_share(sides.previous, &sides.target);
        let next_share = self.next_share(record, sides, &warm, awaits_streams);
        // Refers to the record that last moved the share, not to this one.
        let is_share_seen = self.is_share_seen(sides);
        if next_share != share {
            self.placed.share_changed_at = now;
            self.placed.share_changed_in = sides.inputs.record_version + 1;
        }
        // Replicas are withdrawn only after all edges have moved their share.
        let old_count = sides.old.len();
        let required = old_count - old_count * share.min(next_share) as usize / 100;
        self.restore_withdrawn(record, sides, required);
        if is_share_seen && !awaits_streams {
            self.withdraw_step(record, sides, required, share == 100);
        }
        let serving = serving_old_replicas(record, sides);
        let is_done = share == 100
            && next_share == 100
            && is_share_seen
            && !awaits_streams
            && serving.is_empty();
        assign_placed_shares(record, sides, next_share, &serving, &warm);
        if is_done {
            self.enter_phase(record, RolloutPhase::Baking, now);
            self.step_placed_baking(record, sides);
        }
    }

    /// Returns the share that this record assigns to the target.
    fn next_share(
        &mut self,
        record: &RolloutRecord,
        sides: &Sides,
        warm: &[&PlatformReplica],
        awaits_streams: bool,
    ) -> u32 {
        let now = sides.inputs.now;
        let share = version_share(sides.previous, &sides.target);
        let exposure_limit = self.exposure_limit(sides);
        let capacity = sides.share_capacity(warm);
        let max_share = exposure_limit.min(capacity);
        if share > exposure_limit + exposure_limit / 5 || share > capacity {
            // The number of replicas or the traffic has decreased: reduces the share to the limit.
            max_share
        } else if !self.is_time_to_shift(sides, exposure_limit) && record.retiring.is_empty() {
            // A good canary that is early uses little of its exposure limit, to leave more for the steps.
            self.stall_detector.mark_progress(now);
            let waiting_limit = (f64::from(exposure_limit) * EXPOSURE_WHILE_WAITING) as u32;
            share.min(waiting_limit.clamp(1, MAX_SHORT_CANARY_PERCENT) + 1)
        } else if !awaits_streams && self.has_step_taken_effect(sides) {
            let step_percent = (100 * sides.step_size()).div_ceil(sides.old.len().max(1)) as u32;
            let next_share = (share + step_percent).min(max_share).min(100);
            if next_share > share + 1 || next_share == 100 {
                next_share
            } else {
                share
            }
        } else {
            share
        }
    }

    /// Whether exposure no longer limits the share, or the steps need all the time to the deadline.
    fn is_time_to_shift(&self, sides: &Sides, exposure_limit: u32) -> bool {
        let steps = sides.old.len().div_ceil(sides.step_size()) as Ms;
        let shift_end = sides.inputs.now + steps * DEFAULT_SHIFT_TIME;
        exposure_limit == 100 || shift_end >= self.placed.deadline()
    }

    /// Whether every edge in contact has seen the record that last moved the share.
    pub(super) fn is_share_seen(&self, sides: &Sides) -> bool {
        sides.oldest_seen_record >= self.placed.share_changed_in
    }

    /// Whether the last step has been in effect long enough to show its effect.
    fn has_step_taken_effect(&self, sides: &Sides) -> bool {
        let (now, target) = (sides.inputs.now, &sides.target);
        let age = now.saturating_sub(self.placed.share_changed_at);
        let has_enough_requests =
            age >= MAX_STEP_WAIT || self.health.ended_in(target, age, now) >= MIN_STEP_REQUESTS;
        // A process that has just started has counted neither failures nor requests until edges report.
        self.is_share_seen(sides)
            && self.health.has_sources()
            && age >= MIN_STEP_TIME
            && has_enough_requests
            && (sides.is_proven() || !self.health.is_suspicious_placed(target, now))
    }
}

/// Returns old replicas that are not withdrawn.
fn serving_old_replicas<'a>(record: &RolloutRecord, sides: &Sides<'a>) -> Vec<&'a PlatformReplica> {
    sides
        .old
        .iter()
        .filter(|replica| !record.retiring.contains(&replica.id))
        .copied()
        .collect()
}

fn assign_placed_shares(
    record: &mut RolloutRecord,
    sides: &Sides,
    target_share: u32,
    old: &[&PlatformReplica],
    new: &[&PlatformReplica],
) {
    let (stable, target) = (&record.stable, &sides.target);
    record.groups = vec![
        group(
            GroupRole::Stable,
            stable,
            100 - target_share,
            replica_ids(old),
        ),
        group(GroupRole::Stable, target, target_share, replica_ids(new)),
    ];
}
