//! Release plans: their observation by each daemon, their adoption by the lease holder, and the retired versions.

use remote_calls::{GroupRecord, GroupRole, PlatformReplica, RolloutPhase, RolloutRecord};

use super::super::{
    RolloutInputs, RolloutLoop, VersionedPlan,
    exposure::AcceptedPlan,
    groups::{group, is_in_progress, is_unload_allowed},
};
use crate::Ms;

/// Time that a version that is planned again waits for its former replicas to leave the list, in ms.
const REPLICA_REMOVAL_TIME: Ms = 10_000;

impl RolloutLoop {
    /// Records a plan, with or without the lease: its deadline and counts use this daemon's own clock, and earlier
    /// counts concern other replicas.
    pub fn observe_plan(&mut self, plan: Option<VersionedPlan>, now: Ms, wall_clock_s: u64) {
        // A plan that is present at the first observation may be old.
        let is_fresh = std::mem::replace(&mut self.placed.has_observed_plans, true);
        let Some(plan) = plan else {
            self.placed.accepted_plan = None;
            return;
        };
        let accepted = self.placed.accepted_plan.as_ref();
        if accepted.is_some_and(|accepted| accepted.version == plan.version) {
            return;
        }
        // A process that has just started received the counts of the last half minute, from the plan's own replicas.
        if is_fresh && accepted.is_none_or(|accepted| accepted.target != plan.plan.target) {
            self.health.restart(now);
        }
        self.placed.accepted_plan = Some(AcceptedPlan::new(
            plan,
            &self.health,
            is_fresh,
            now,
            wall_clock_s,
        ));
    }

    /// Returns groups that may be unloaded and whose replicas are still listed; they receive no requests in any phase.
    pub(super) fn retired_groups(
        &self,
        record: &RolloutRecord,
        listed: &[&PlatformReplica],
        inputs: &RolloutInputs,
    ) -> Vec<GroupRecord> {
        // The flag of a rollout that is not completed yet may have to be cleared.
        if record.phase == RolloutPhase::Baking {
            return vec![];
        }
        let is_planned_again = |version: &str| {
            inputs.plan.is_some_and(|plan| {
                plan.version != record.failed_plan && plan.plan.target == version
            })
        };
        let has_removal_time_passed = self.placed.accepted_plan.as_ref().is_some_and(|plan| {
            inputs.now.saturating_sub(plan.accepted_at) >= REPLICA_REMOVAL_TIME
        });
        let mut retired = vec![];
        for group in record.groups.iter().filter(|group| group.allow_unload) {
            let is_planned = is_planned_again(&group.version);
            // The new replicas of a version that is planned again differ from those that were about to stop.
            if is_planned && has_removal_time_passed {
                continue;
            }
            let replicas = remaining_replicas(group, is_planned, listed);
            if !replicas.is_empty() {
                retired.push(GroupRecord {
                    replicas,
                    ..group.clone()
                });
            }
        }
        retired
    }

    /// Adopts a new plan, or reverts the rollout of a replaced one.
    pub(super) fn adopt_placed_plan(
        &mut self,
        record: &mut RolloutRecord,
        previous: &RolloutRecord,
        usable: &[&PlatformReplica],
        retired: &[GroupRecord],
        inputs: &RolloutInputs,
    ) {
        if is_in_progress(record.phase) {
            return self.follow_plan_in_progress(record, inputs);
        }
        let Some(VersionedPlan { version, plan }) = inputs
            .plan
            .filter(|plan| plan.version != record.plan_version)
        else {
            return;
        };
        let has_reverted = record.phase != RolloutPhase::Reverting
            || record
                .target
                .as_ref()
                .is_none_or(|target| is_unload_allowed(previous, target));
        // Retired replicas must not be taken for replicas of the new plan.
        let is_retired = retired.iter().any(|group| group.version == plan.target);
        if !has_reverted || usable.is_empty() || is_retired {
            return;
        }
        record.target = Some(plan.target.clone());
        record.plan_version = version;
        self.placed.clear_drains();
        self.begin_placed_rollout(record, &plan.target, usable, inputs.now);
    }

    /// Continues if the accepted plan has the rollout's target; otherwise reverts the rollout first.
    fn follow_plan_in_progress(&mut self, record: &mut RolloutRecord, inputs: &RolloutInputs) {
        let current = inputs
            .plan
            .filter(|plan| Some(&plan.plan.target) == record.target.as_ref());
        if let Some(plan) = current {
            record.plan_version = plan.version;
            return;
        }
        self.enter_phase(record, RolloutPhase::Reverting, inputs.now);
        self.placed.share_changed_in = inputs.record_version + 1;
    }

    /// Enters the first phase of a rollout of `target`: none if all replicas have it, and no canary if it is the stable
    /// version.
    fn begin_placed_rollout(
        &mut self,
        record: &mut RolloutRecord,
        target: &str,
        usable: &[&PlatformReplica],
        now: Ms,
    ) {
        let on_target = usable
            .iter()
            .filter(|replica| replica.version == target && replica.loaded)
            .count();
        if on_target == usable.len() {
            // All replicas already have the target.
            record.stable = target.into();
            record.target = None;
            self.enter_phase(record, RolloutPhase::Steady, now);
        } else if record.stable == target && on_target > 0 {
            self.enter_phase(record, RolloutPhase::Shifting, now);
            let share = (on_target * 100 / usable.len()) as u32;
            record.groups = vec![group(GroupRole::Stable, target, share, vec![])];
        } else {
            self.enter_phase(record, RolloutPhase::Canary, now);
        }
    }
}

/// Returns the replicas of a retired group that are still listed: only the group's own if its version is planned again,
/// otherwise all of its version.
fn remaining_replicas(
    group: &GroupRecord,
    is_planned_again: bool,
    listed: &[&PlatformReplica],
) -> Vec<String> {
    if is_planned_again {
        let is_listed = |id: &&String| listed.iter().any(|replica| replica.id == **id);
        return group.replicas.iter().filter(is_listed).cloned().collect();
    }
    listed
        .iter()
        .filter(|replica| replica.version == group.version)
        .map(|replica| replica.id.clone())
        .collect()
}
