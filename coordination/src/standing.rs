//! Where the newest order of a rollout stands, as its operator is told.

use remote_calls::{ReleasePlan, RolloutPhase, RolloutRecord};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    InService,
    Completed,
    Reverted,
}

/// `plan`: its version and itself.
pub fn standing(record: Option<&RolloutRecord>, (version, plan): (u64, &ReleasePlan)) -> Standing {
    let Some(r) = record.filter(|r| r.phase == RolloutPhase::Steady) else { return Standing::InService };
    if r.failed_plan == version {
        return Standing::Reverted;
    }
    if r.stable == plan.target { Standing::Completed } else { Standing::InService }
}
