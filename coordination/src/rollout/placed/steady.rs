//! No rollout is in progress: all replicas that stay are one group.

use std::collections::BTreeMap;

use remote_calls::{GroupRole, RolloutPhase, RolloutRecord};

use super::{
    super::{RolloutLoop, groups::group},
    Sides,
    sides::replica_ids,
};

impl RolloutLoop {
    /// `has_retired_all`: nothing that was retired is listed any more.
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

/// Where no replica has the stable version any more, the version of most becomes stable: releases of the platform's
/// own replace replicas one by one, without any plan.
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
