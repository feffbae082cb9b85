//! The status of the newest release plan of a service, as operators see it.

use remote_calls::{ReleasePlan, RolloutPhase, RolloutRecord};

use crate::rollout::VersionedPlan;

/// The status of a release plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStatus {
    /// Nothing was planned, or what was is in progress.
    InService,
    /// The target carries everything; the old replicas may be stopped at once.
    Completed,
    /// The target carries nothing; its replicas may go.
    Reverted,
}

/// Whether `new` repeats the current plan: as long as that is in progress or its deadline has not passed. The wall
/// clock alone would not do: where it is ahead, a plan repeated there would begin anew, with all its counts.
pub fn is_repeated_plan(
    record: Option<&RolloutRecord>,
    current: VersionedPlan,
    new: &ReleasePlan,
    wall_clock_s: u64,
) -> bool {
    current.plan.target == new.target
        && (current.plan.complete_by >= wall_clock_s
            || rollout_status(record, Some(current)) == RolloutStatus::InService)
}

/// The status of the newest plan of a service by its rollout record.
pub fn rollout_status(
    record: Option<&RolloutRecord>,
    plan: Option<VersionedPlan>,
) -> RolloutStatus {
    let Some(VersionedPlan { version, plan }) = plan else {
        return RolloutStatus::InService;
    };
    // A record that is older or newer than the plan proves nothing of it: replicas are stopped on this word.
    let Some(record) = record.filter(|record| record.plan_version == version) else {
        return RolloutStatus::InService;
    };
    let is_at_rest = matches!(record.phase, RolloutPhase::Steady | RolloutPhase::Unloading);
    let is_unload_allowed = record
        .groups
        .iter()
        .any(|group| group.version == plan.target && group.allow_unload);
    match record.failed_plan == version {
        true if is_at_rest || is_unload_allowed => RolloutStatus::Reverted,
        false if is_at_rest => RolloutStatus::Completed,
        _ => RolloutStatus::InService,
    }
}
