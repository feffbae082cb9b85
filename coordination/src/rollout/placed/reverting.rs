//! The reverting phase if the platform places versions: the old side receives all requests again while the target
//! drains.

use remote_calls::{GroupRole, RolloutPhase, RolloutRecord};

use super::{
    super::{RolloutLoop, groups::group},
    Sides,
    sides::replica_ids,
};

impl RolloutLoop {
    /// Assigns all requests to the old side again, including withdrawn replicas. The flag that allows the target's
    /// unload means that the target has neither a share nor a stream.
    pub(super) fn step_placed_reverting(&mut self, record: &mut RolloutRecord, sides: &Sides) {
        let now = sides.inputs.now;
        record.retiring.clear();
        let old = replica_ids(&sides.old);
        record.groups = vec![group(GroupRole::Stable, &record.stable, 100, old)];
        let is_late = now.saturating_sub(self.phase_since) > sides.drain_limit();
        let mut is_drained =
            sides.previous.phase == RolloutPhase::Reverting && self.is_share_seen(sides);
        for replica in &sides.new {
            is_drained &= self.placed.is_drained(&replica.id, sides) || is_late;
        }
        if !sides.new.is_empty() {
            let new = replica_ids(&sides.new);
            let mut target_group = group(GroupRole::Stable, &sides.target, 0, new);
            target_group.allow_unload = is_drained;
            record.groups.push(target_group);
        } else if is_drained {
            record.target = None;
            self.enter_phase(record, RolloutPhase::Steady, now);
        }
    }
}
