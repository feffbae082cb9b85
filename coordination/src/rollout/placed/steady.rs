//! The steady phase if the platform places versions: all replicas that are not retired form one group.

use std::collections::BTreeMap;

use remote_calls::{GroupRole, RolloutPhase, RolloutRecord};

use super::{
    super::{RolloutLoop, groups::group},
    Sides,
    sides::replica_ids,
};

impl RolloutLoop {
    /// Assigns all requests to the old side. `has_retired_all`: no retired replica is listed any more.
    pub(super) fn step_placed_steady(
        &mut self,
        record: &mut RolloutRecord,
        sides: &Sides,
        has_retired_all: bool,
    ) {
        follow_platform_release(record, sides);
        record.retiring.clear();
        record.groups = vec![group(
            GroupRole::Stable,
            &record.stable,
            100,
            replica_ids(&sides.old),
        )];
        if record.phase != RolloutPhase::Steady && has_retired_all {
            self.enter_phase(record, RolloutPhase::Steady, sides.inputs.now);
        }
    }
}

/// Makes the most common version stable if no replica has the stable version any more: the platform's own releases
/// replace replicas one by one, without a plan.
fn follow_platform_release(record: &mut RolloutRecord, sides: &Sides) {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for replica in &sides.old {
        *counts.entry(&replica.version).or_default() += 1;
    }
    if counts.contains_key(record.stable.as_str()) {
        return;
    }
    if let Some((version, _)) = counts.into_iter().max_by_key(|(_, count)| *count) {
        record.stable = version.into();
    }
}
