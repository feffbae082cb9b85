//! The baking phase if the platform places versions: the target receives all requests, the old side drains, and the
//! rollout is completed once the old replicas may be stopped.

use std::collections::BTreeSet;

use remote_calls::{GroupRole, PlatformReplica, RolloutPhase, RolloutRecord};

use super::{
    super::{
        RolloutLoop,
        groups::{group, is_unload_allowed},
    },
    Sides,
    sides::replica_ids,
};
use crate::Ms;

/// Maximum delay of a completion by recent failures, in ms: a version that starts to fail is judged bad sooner than
/// that, and the plan has a deadline.
const MAX_COMPLETION_DELAY: Ms = 4_000;

impl RolloutLoop {
    /// Sets the flag that allows the old versions' unload once the old side has no share and no stream, and completes
    /// the rollout only after the flag is committed: the platform then stops the old replicas at once.
    pub(super) fn step_placed_baking(&mut self, record: &mut RolloutRecord, sides: &Sides) {
        let now = sides.inputs.now;
        if self.reverts_bad_placed_target(record, sides) {
            return;
        }
        let warm = sides.warm_new_replicas();
        if warm.is_empty() {
            // No replica is left to serve the target: the old side serves again.
            record.retiring.clear();
            self.enter_phase(record, RolloutPhase::Shifting, now);
            return self.step_placed_shifting(record, sides);
        }
        let old_versions: BTreeSet<&str> =
            sides.old.iter().map(|old| old.version.as_str()).collect();
        let is_allowed = sides.previous.phase == RolloutPhase::Baking
            && old_versions
                .iter()
                .all(|version| is_unload_allowed(sides.previous, version));
        let is_drained = self.is_old_side_drained(sides, is_allowed);
        let is_completable = self.is_completable(sides, is_allowed || is_drained);
        assign_all_to_target(record, sides, &warm, old_versions, is_completable);
        // A flag set after the drain limit ends the requests to the old side, and the same limit applies again here:
        // one edge that never reports cannot delay the completion forever.
        let may_stop_old = is_drained
            || self
                .placed
                .unload_allowed_since
                .is_some_and(|since| now.saturating_sub(since) > sides.drain_limit());
        if is_allowed && is_completable && may_stop_old {
            record.stable = sides.target.clone();
            record.target = None;
            record.retiring.clear();
            self.enter_phase(record, RolloutPhase::Unloading, now);
        }
    }

    /// Whether no old replica has streams, according to the edges' reports. `is_allowed`: the flag is committed.
    fn is_old_side_drained(&mut self, sides: &Sides, is_allowed: bool) -> bool {
        let now = sides.inputs.now;
        let was_just_allowed = is_allowed && self.placed.unload_allowed_since.is_none();
        self.placed.unload_allowed_since =
            is_allowed.then(|| self.placed.unload_allowed_since.unwrap_or(now));
        let mut all_drained = true;
        for replica in &sides.old {
            let is_drained = self.placed.is_drained(&replica.id, sides);
            all_drained &= is_drained;
            // An edge that suspects the target sends requests to the old side until it sees the flag: the drain begins
            // when all edges have seen it.
            if was_just_allowed && !is_drained {
                self.placed
                    .begin_drain(&replica.id, sides.inputs.record_version, now);
            }
        }
        all_drained
    }

    /// Whether the target has baked long enough and has no recent failures to wait for. `may_unload`: the old side is
    /// drained, or the flag is committed.
    fn is_completable(&mut self, sides: &Sides, may_unload: bool) -> bool {
        let now = sides.inputs.now;
        let phase_age = now.saturating_sub(self.phase_since);
        let has_baked = (may_unload || phase_age > sides.drain_limit())
            && phase_age >= sides.inputs.spec.bake_ms;
        self.placed.completable_since =
            has_baked.then(|| self.placed.completable_since.unwrap_or(now));
        // After completion the platform stops the old replicas and a revert is impossible: a version that has just
        // begun to fail is observed a little longer.
        let has_waited = self
            .placed
            .completable_since
            .is_some_and(|since| now.saturating_sub(since) >= MAX_COMPLETION_DELAY);
        has_baked
            && (has_waited
                || sides.is_proven()
                || !self.health.has_excess_recent_failures(&sides.target, now))
    }
}

fn assign_all_to_target(
    record: &mut RolloutRecord,
    sides: &Sides,
    warm: &[&PlatformReplica],
    old_versions: BTreeSet<&str>,
    allow_unload: bool,
) {
    let target = group(GroupRole::Stable, &sides.target, 100, replica_ids(warm));
    record.groups = vec![target];
    for version in old_versions {
        let of_version = sides.old.iter().filter(|old| old.version == version);
        let replicas = of_version.map(|old| old.id.clone()).collect();
        let mut old_group = group(GroupRole::Stable, version, 0, replicas);
        old_group.allow_unload = allow_unload;
        record.groups.push(old_group);
    }
}
