//! The shifting phase: in steps, replicas load the target next to the stable version, warm up, and retire from the
//! stable version once their zone keeps its floor without them.

use std::collections::BTreeSet;

use remote_calls::{GroupRole, OrderAction, RolloutPhase, RolloutRecord};

use super::{Order, RolloutLoop, RolloutView, groups::group, orders::ORDER_REPEAT_INTERVAL};
use crate::{Ms, timing::SLOW_START_DURATION};

/// Progress of the replicas from the stable version to the target.
struct ShiftProgress {
    target: String,
    /// Replicas that have the target ready.
    on_target: Vec<String>,
    /// Replicas that are loading the target.
    loading: Vec<String>,
    /// Replicas that have the stable version ready and are not retiring from it.
    on_stable: Vec<String>,
    /// Replicas that have both versions ready and are not retiring.
    on_both: Vec<String>,
    /// Number of retiring replicas that are not drained.
    draining_count: usize,
}

impl ShiftProgress {
    fn new(record: &RolloutRecord, view: &RolloutView, target: String, drained: usize) -> Self {
        let on_target = view.ready_replicas(&target);
        let mut on_stable = view.ready_replicas(&record.stable);
        on_stable.retain(|id| !record.retiring.contains(id));
        let on_both = on_target
            .iter()
            .filter(|id| on_stable.contains(id))
            .cloned()
            .collect();
        let loading = view
            .usable
            .iter()
            .map(|replica| &replica.id)
            .filter(|id| view.has_loaded(id, &target) && !on_target.contains(id))
            .cloned()
            .collect();
        ShiftProgress {
            target,
            on_target,
            loading,
            on_stable,
            on_both,
            draining_count: record.retiring.len() - drained,
        }
    }
}

impl RolloutLoop {
    pub(super) fn step_shifting(
        &mut self,
        record: &mut RolloutRecord,
        view: &RolloutView,
        orders: &mut Vec<Order>,
    ) {
        let now = view.inputs.now;
        if self.reverts_bad_target(record, now) {
            return self.step_unloading(record, view, orders);
        }
        let Some(target) = record.target.clone() else {
            return;
        };
        let drained = self.count_drained(record, view);
        let mut progress = ShiftProgress::new(record, view, target, drained);
        for id in &progress.on_target {
            self.ready_since.entry(id.clone()).or_insert(now);
        }
        self.load_next_step(&progress, view, orders);
        self.load_empty_replicas(record, &progress, view, orders);
        if progress.draining_count == 0 {
            self.retire_next_step(record, &progress, view);
        }
        progress
            .on_stable
            .retain(|id| !record.retiring.contains(id));
        let is_done = progress.on_stable.is_empty()
            && progress.draining_count == 0
            && !progress.on_target.is_empty()
            && progress.on_target.len() == view.usable.len();
        assign_shares(record, progress);
        if is_done {
            self.enter_phase(record, RolloutPhase::Baking, now);
        }
    }

    /// Counts retiring replicas whose streams on the stable version have ended or exceeded the drain limit.
    fn count_drained(&mut self, record: &mut RolloutRecord, view: &RolloutView) -> usize {
        let (now, limit) = (view.inputs.now, view.drain_limit());
        record
            .retiring
            .retain(|id| view.usable.iter().any(|replica| replica.id == *id));
        let mut drained = 0;
        for id in &record.retiring {
            let since = *self.retiring_since.entry(id.clone()).or_insert(now);
            let is_drained = view.open_streams(id, &record.stable) == 0
                && now > since + ORDER_REPEAT_INTERVAL
                || now.saturating_sub(since) > limit;
            drained += usize::from(is_drained);
        }
        drained
    }

    /// Loads the target next to the stable version, on replicas distributed evenly over the zones.
    fn load_next_step(
        &mut self,
        progress: &ShiftProgress,
        view: &RolloutView,
        orders: &mut Vec<Order>,
    ) {
        let in_transition =
            progress.loading.len() + progress.on_both.len() + progress.draining_count;
        let capacity = view.step_size().saturating_sub(in_transition);
        let mut candidates: Vec<&String> = progress
            .on_stable
            .iter()
            .filter(|id| !view.has_loaded(id, &progress.target))
            .collect();
        candidates.sort_by_key(|id| {
            let zone = view.zone(id);
            let started = progress.on_target.iter().chain(&progress.loading);
            let started_in_zone = started.filter(|other| view.zone(other) == zone).count();
            (started_in_zone, id.to_string())
        });
        for id in candidates.into_iter().take(capacity) {
            self.order_replica(view, id, OrderAction::Load, &progress.target, orders);
        }
    }

    /// Loads only the target on replicas that restarted without weights.
    fn load_empty_replicas(
        &mut self,
        record: &RolloutRecord,
        progress: &ShiftProgress,
        view: &RolloutView,
        orders: &mut Vec<Order>,
    ) {
        for replica in &view.usable {
            let id = &replica.id;
            let has_weights =
                view.has_loaded(id, &progress.target) || view.has_loaded(id, &record.stable);
            if !has_weights && view.report(id).is_some() {
                self.order_replica(view, id, OrderAction::Load, &progress.target, orders);
            }
        }
    }

    /// Retires replicas from the stable version, at most one step at a time and never below a zone's floor of warmed-up
    /// replicas.
    fn retire_next_step(
        &mut self,
        record: &mut RolloutRecord,
        progress: &ShiftProgress,
        view: &RolloutView,
    ) {
        let now = view.inputs.now;
        let mut remaining = view.step_size();
        let mut retired: BTreeSet<&String> = BTreeSet::new();
        for id in &progress.on_both {
            if remaining > 0
                && self.is_warmed_up(id, now)
                && self.keeps_floor_without(id, &retired, progress, view)
            {
                retired.insert(id);
                record.retiring.push(id.clone());
                self.retiring_since.insert(id.clone(), now);
                remaining -= 1;
            }
        }
    }

    /// Whether a replica's zone keeps its floor, and at least one replica, once this one retires too.
    fn keeps_floor_without(
        &self,
        id: &String,
        retired: &BTreeSet<&String>,
        progress: &ShiftProgress,
        view: &RolloutView,
    ) -> bool {
        let zone = view.zone(id);
        let zones = &view.inputs.service.zones;
        let floor = zones
            .iter()
            .find(|count| count.zone == zone)
            .map_or(0, |count| count.floor as usize);
        let on_stable = progress
            .on_stable
            .iter()
            .filter(|other| *other != id && !retired.contains(other) && view.zone(other) == zone);
        let warm_on_target = progress
            .on_target
            .iter()
            .filter(|other| view.zone(other) == zone && self.is_warmed_up(other, view.inputs.now));
        let kept: BTreeSet<&String> = on_stable.chain(warm_on_target).collect();
        kept.len() >= floor.max(1)
    }

    fn is_warmed_up(&self, id: &str, now: Ms) -> bool {
        self.ready_since
            .get(id)
            .is_some_and(|since| now.saturating_sub(*since) >= SLOW_START_DURATION)
    }
}

/// Assigns each version a share equal to its fraction of the serving replicas.
fn assign_shares(record: &mut RolloutRecord, progress: ShiftProgress) {
    let (stable, target) = (progress.on_stable, progress.on_target);
    let serving = (stable.len() + target.len()).max(1);
    let share = (target.len() * 100 / serving) as u32;
    record.groups = vec![
        group(GroupRole::Stable, &record.stable, 100 - share, stable),
        group(GroupRole::Stable, &progress.target, share, target),
    ];
}
