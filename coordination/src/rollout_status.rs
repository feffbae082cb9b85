//! Status of a service's newest release plan, as reported to operators.

use remote_calls::{ReleasePlan, RolloutPhase, RolloutRecord};

use crate::rollout::VersionedPlan;

/// The status of a release plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStatus {
    /// There is no plan, or its rollout is in progress.
    InService,
    /// The target receives all requests; the old replicas may be stopped at once.
    Completed,
    /// The target receives no requests; its replicas may be stopped.
    Reverted,
}

/// Whether `new` repeats the current plan while that is in progress or its deadline has not passed. The wall clock
/// alone is not enough: if it is ahead, a repeated plan would start again and reset its counts.
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

/// Returns the status of a service's newest plan, as derived from the rollout record.
pub fn rollout_status(
    record: Option<&RolloutRecord>,
    plan: Option<VersionedPlan>,
) -> RolloutStatus {
    let Some(VersionedPlan { version, plan }) = plan else {
        return RolloutStatus::InService;
    };
    // A record of an older or newer plan proves nothing about this one, and replicas are stopped by this status.
    let Some(record) = record.filter(|record| record.plan_version == version) else {
        return RolloutStatus::InService;
    };
    let is_idle = matches!(record.phase, RolloutPhase::Steady | RolloutPhase::Unloading);
    let is_unload_allowed = record
        .groups
        .iter()
        .any(|group| group.version == plan.target && group.allow_unload);
    match record.failed_plan == version {
        true if is_idle || is_unload_allowed => RolloutStatus::Reverted,
        false if is_idle => RolloutStatus::Completed,
        _ => RolloutStatus::InService,
    }
}
