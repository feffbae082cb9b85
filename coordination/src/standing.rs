//! Where the newest order of a rollout stands, as its operator is told.

use remote_calls::{ReleasePlan, RolloutPhase, RolloutRecord};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing was ordered, or what was is under way.
    InService,
    /// The target carries everything; the old replicas may be stopped at once.
    Completed,
    /// The target carries nothing; its replicas may go.
    Reverted,
}

/// Whether an order is the one that stands, sent again: as long as that is under way or its time is not over.
/// The wall's clock alone would not do: where it is ahead, an order repeated there would begin anew, with all its counts.
pub fn repeats(record: Option<&RolloutRecord>, old: (u64, &ReleasePlan), new: &ReleasePlan, wall: u64) -> bool {
    old.1.target == new.target && (old.1.complete_by >= wall || standing(record, Some(old)).0 == Standing::InService)
}

/// `plan`: its version and itself. Gives the version asked for too.
pub fn standing(record: Option<&RolloutRecord>, plan: Option<(u64, &ReleasePlan)>) -> (Standing, String) {
    let Some((version, plan)) = plan else { return (Standing::InService, String::new()) };
    let at = |s: Standing| (s, plan.target.clone());
    // A record that is older or newer than the plan proves nothing of it: replicas are stopped on this word.
    let Some(r) = record.filter(|r| r.plan_version == version) else { return at(Standing::InService) };
    let rests = matches!(r.phase, RolloutPhase::Steady | RolloutPhase::Unloading);
    let flagged = r.groups.iter().any(|g| g.version == plan.target && g.allow_unload);
    at(match r.failed_plan == version {
        true if rests || flagged => Standing::Reverted,
        false if rests => Standing::Completed,
        _ => Standing::InService,
    })
}
