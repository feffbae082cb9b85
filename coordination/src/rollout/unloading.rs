//! The end of a rollout: baking, in which the stable version stays loaded without a share, and unloading of the
//! unwanted version after a completion or a revert.

use remote_calls::{GroupRole, OrderAction, RolloutPhase, RolloutRecord, ZoneCount};

use super::{Order, RolloutLoop, RolloutView, groups::group, orders::ORDER_REPEAT_INTERVAL};

impl RolloutLoop {
    /// Keeps the stable version loaded while the target receives all requests, so that a revert needs no load.
    pub(super) fn step_baking(&mut self, record: &mut RolloutRecord, view: &RolloutView) {
        let now = view.inputs.now;
        if self.reverts_bad_target(record, now) {
            return;
        }
        let Some(target) = record.target.clone() else {
            return;
        };
        let stable = record.stable.clone();
        record.retiring.clear();
        record.groups = vec![
            group(
                GroupRole::Stable,
                &target,
                100,
                view.ready_replicas(&target),
            ),
            group(GroupRole::Stable, &stable, 0, view.ready_replicas(&stable)),
        ];
        if now.saturating_sub(self.phase_since) >= view.inputs.spec.bake_ms {
            record.stable = target;
            record.target = Some(stable);
            self.enter_phase(record, RolloutPhase::Unloading, now);
        }
    }

    /// Unloads `target`, the unwanted version, once it serves no requests. Sets the flag that allows the unload, as the
    /// rollout was completed or reverted, and clears it when no replica reports the version.
    pub(super) fn step_unloading(
        &mut self,
        record: &mut RolloutRecord,
        view: &RolloutView,
        orders: &mut Vec<Order>,
    ) {
        let now = view.inputs.now;
        self.revert_completed_version(record, view);
        let Some(unwanted) = record.target.clone() else {
            return;
        };
        let stable = record.stable.clone();
        record.retiring.clear();
        let loaded = view.loaded_replicas(&unwanted);
        let phase_age = now.saturating_sub(self.phase_since);
        for id in &loaded {
            let is_drained = phase_age > ORDER_REPEAT_INTERVAL
                && view.open_streams(id, &unwanted) == 0
                || phase_age > view.drain_limit();
            // No unload while the stable version is not ready or streams are within their time limit.
            if is_drained && view.is_ready(id, &stable) {
                self.order_replica(view, id, OrderAction::Unload, &unwanted, orders);
            }
        }
        // The flag was committed in an earlier record before any unload was ordered under it.
        let is_done = loaded.is_empty() && phase_age > ORDER_REPEAT_INTERVAL;
        let mut unwanted_group = group(GroupRole::Stable, &unwanted, 0, loaded);
        unwanted_group.allow_unload = true;
        let ready = view.ready_replicas(&stable);
        record.groups = vec![
            group(GroupRole::Stable, &stable, 100, ready),
            unwanted_group,
        ];
        if is_done {
            record.target = None;
            record.groups.truncate(1);
            self.enter_phase(record, RolloutPhase::Steady, now);
        }
    }

    /// Reverts a completed version that starts to fail while the former one still has every zone's floor ready.
    fn revert_completed_version(&mut self, record: &mut RolloutRecord, view: &RolloutView) {
        let now = view.inputs.now;
        let Some(former) = record.target.clone() else {
            return;
        };
        if record.phase != RolloutPhase::Unloading || !self.health.is_failing(&record.stable, now) {
            return;
        }
        let remaining = view.ready_replicas(&former);
        let keeps_floor = |count: &ZoneCount| {
            let in_zone = remaining.iter().filter(|id| view.zone(id) == count.zone);
            in_zone.count() >= count.floor as usize
        };
        if !view.inputs.service.zones.iter().all(keeps_floor) {
            return;
        }
        let bad = std::mem::replace(&mut record.stable, former);
        record.target = Some(bad.clone());
        record.failed_plan = record.plan_version;
        self.bad_version = Some(bad);
        self.enter_phase(record, RolloutPhase::Reverting, now);
    }
}
