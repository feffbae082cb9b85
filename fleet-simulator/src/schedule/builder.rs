//! What schedules are built from: draws of a seed, and the fleet that they are for.

use remote_calls::RolloutPhase;

use super::{FROM, Schedule};
use crate::{
    deployment::Deployment,
    faults::{Fault, How},
    history::Ms,
};

/// Makes a seed's draws differ from those of the run itself.
const SEED_MASK: u64 = 0x5eed;

/// Builds one schedule; times and victims come from the seed.
pub(super) struct ScheduleBuilder {
    pub(super) deployment: Deployment,
    pub(super) rng: fastrand::Rng,
    pub(super) control_count: usize,
    pub(super) edge_count: usize,
    pub(super) zones: Vec<String>,
    /// The control daemon, or the zone, that is struck first.
    pub(super) victim: usize,
    pub(super) faults: Schedule,
}

impl ScheduleBuilder {
    pub(super) fn new(seed: u64, deployment: &Deployment) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed ^ SEED_MASK);
        let control_count = deployment.control.len();
        let victim = rng.usize(..control_count);
        ScheduleBuilder {
            deployment: deployment.clone(),
            rng,
            control_count,
            edge_count: edge_count(deployment),
            zones: zone_names(deployment),
            victim,
            faults: vec![],
        }
    }

    /// The name of a control daemon, counted round.
    pub(super) fn control_name(&self, index: usize) -> String {
        format!("control-{}", index % self.control_count + 1)
    }
}

/// A time soon after faults may begin.
pub(super) fn start_time(rng: &mut fastrand::Rng) -> Ms {
    FROM + rng.u64(..3_000)
}

pub(super) fn edge_count(deployment: &Deployment) -> usize {
    deployment.edges.iter().map(|edges| edges.count).sum()
}

pub(super) fn zone_names(deployment: &Deployment) -> Vec<String> {
    let zones = deployment.spec.zones.iter();
    zones.map(|zone| zone.name.clone()).collect()
}

/// A plan to release a version.
pub(super) fn plan(version: &str) -> Fault {
    Fault::Plan {
        target: version.into(),
    }
}

/// A version that fails so many percent of its requests, on one lane or on all.
pub(super) fn bad(version: &str, lane: Option<String>, percent: u32) -> Fault {
    Fault::Bad {
        version: version.into(),
        lane,
        zone: None,
        percent,
        how: How::Fails,
    }
}

/// A fault that happens so long after a release has come to a phase.
pub(super) fn when(phase: RolloutPhase, wait: Ms, fault: Fault) -> Fault {
    Fault::When {
        phase,
        wait,
        then: Box::new(fault),
    }
}

pub(super) fn cut(a: &[&str], b: &[&str], ms: Ms, one_way: bool) -> Fault {
    let owned = |names: &[&str]| names.iter().map(ToString::to_string).collect();
    Fault::Cut {
        a: owned(a),
        b: owned(b),
        ms,
        one_way,
    }
}
