//! Where the newest order of a rollout stands, as its operator is told.

use remote_calls::{ReleasePlan, RolloutPhase, RolloutRecord};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStatus {
    /// Nothing was ordered, or what was is under way.
    InService,
    /// The target carries everything; the old replicas may be stopped at once.
    Completed,
    /// The target carries nothing; its replicas may go.
    Reverted,
}

/// Whether an order is the one that stands, sent again: as long as that is under way or its time is not over.
/// The wall's clock alone would not do: where it is ahead, an order repeated there would begin anew, with all its counts.
pub fn is_repeated_plan(
    record: Option<&RolloutRecord>,
    old: (u64, &ReleasePlan),
    new: &ReleasePlan,
    wall: u64,
) -> bool {
    old.1.target == new.target
        && (old.1.complete_by >= wall
            || rollout_status(record, Some(old)).0 == RolloutStatus::InService)
}

/// `plan`: its version and itself. Gives the version asked for too.
pub fn rollout_status(
    record: Option<&RolloutRecord>,
    plan: Option<(u64, &ReleasePlan)>,
) -> (RolloutStatus, String) {
    let Some((version, plan)) = plan else {
        return (RolloutStatus::InService, String::new());
    };
    let at = |s: RolloutStatus| (s, plan.target.clone());
    // A record that is older or newer than the plan proves nothing of it: replicas are stopped on this word.
    let Some(r) = record.filter(|r| r.plan_version == version) else {
        return at(RolloutStatus::InService);
    };
    let rests = matches!(r.phase, RolloutPhase::Steady | RolloutPhase::Unloading);
    let flagged = r
        .groups
        .iter()
        .any(|g| g.version == plan.target && g.allow_unload);
    at(match r.failed_plan == version {
        true if rests || flagged => RolloutStatus::Reverted,
        false if rests => RolloutStatus::Completed,
        _ => RolloutStatus::InService,
    })
}
