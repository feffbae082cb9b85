//! Where the newest order of a rollout stands, as its operator is told.

use remote_calls::{ReleasePlan, RolloutPhase, RolloutRecord};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    InService,
    Completed,
    Reverted,
}

/// `plan`: its version and itself. Gives the version asked for too.
pub fn standing(record: Option<&RolloutRecord>, plan: Option<(u64, &ReleasePlan)>) -> (Standing, String) {
    let Some((version, plan)) = plan else { return (Standing::Completed, String::new()) };
    let at = |s: Standing| (s, plan.target.clone());
    let Some(r) = record.filter(|r| r.phase == RolloutPhase::Steady) else { return at(Standing::InService) };
    if r.failed_plan == version {
        return at(Standing::Reverted);
    }
    at(if r.stable == plan.target { Standing::Completed } else { Standing::InService })
}
