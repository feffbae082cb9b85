//! The canary phase: a few replicas of each zone load the target, next to a baseline of equal size that keeps the
//! stable version, until enough requests show that the target is no worse.

use std::collections::BTreeMap;

use remote_calls::{GroupRole, OrderAction, RolloutPhase, RolloutRecord};

use super::{Order, RolloutLoop, RolloutView, groups::group};
use crate::Ms;

/// Minimum duration of a canary, in ms, so that slow failures show.
pub(super) const MIN_CANARY_TIME: Ms = 3_000;
/// Requests that must have ended on a canary before it can pass; at 10%, a few hundred requests of the service.
pub(super) const MIN_CANARY_REQUESTS: u64 = 20;
/// Requests that must have ended on each lane with traffic: on a lane that mostly fails, at least one of six fails.
pub(super) const MIN_CANARY_REQUESTS_PER_LANE: u64 = 6;
/// Time after which a canary without enough requests passes, in ms, if no request failed and the canary has covered
/// every lane with traffic: a service with little traffic must not block.
pub(super) const QUIET_CANARY_TIME: Ms = 60_000;
/// Time after which a canary with too few requests of a rare lane passes, in ms. The rarer lane of the smaller
/// deployment ends nine requests in it; with half the time it once ended one, and a version bad on it passed.
pub(super) const RARE_LANE_CANARY_TIME: Ms = 120_000;

/// Replicas of the canary and of its baseline.
#[derive(Default)]
pub(super) struct CanaryReplicas {
    pub(super) canary: Vec<String>,
    pub(super) baseline: Vec<String>,
}

impl RolloutLoop {
    /// Loads the canary, assigns its share once it is ready, and enters the shifting phase once it has passed.
    pub(super) fn step_canary(
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
        let stable_replicas = view.ready_replicas(&record.stable);
        if stable_replicas.is_empty() {
            return view.assign_all_to_stable(record);
        }
        let chosen = choose_canary(view, &stable_replicas, &target);
        for id in &chosen.canary {
            self.order_replica(view, id, OrderAction::Load, &target, orders);
        }
        if !chosen.canary.iter().all(|id| view.is_ready(id, &target)) {
            self.canary_since = None;
            record.groups = vec![group(
                GroupRole::Stable,
                &record.stable,
                100,
                stable_replicas,
            )];
            return;
        }
        // Canary and baseline start in the same record so that they receive the same traffic.
        let started_at = *self.canary_since.get_or_insert(now);
        assign_canary_share(record, view, &target, chosen, &stable_replicas);
        if self.has_canary_passed(record, view, &target, now - started_at) {
            self.enter_phase(record, RolloutPhase::Shifting, now);
        }
    }

    /// Whether a canary of this age has ended enough requests, or waited long enough without traffic, to pass.
    fn has_canary_passed(
        &self,
        record: &RolloutRecord,
        view: &RolloutView,
        target: &str,
        age: Ms,
    ) -> bool {
        let (now, stable, health) = (view.inputs.now, &record.stable, &self.health);
        // A lane with requests on the stable version only gives no evidence about the target.
        let has_tried_lanes = view.inputs.service.lanes.iter().all(|lane| {
            health.ended_on(target, &lane.name, now) >= MIN_CANARY_REQUESTS_PER_LANE
                || health.ended_on(stable, &lane.name, now) == 0
        });
        let passes_by_age = health.failed(target, now) == 0
            && (age >= QUIET_CANARY_TIME && has_tried_lanes || age >= RARE_LANE_CANARY_TIME);
        let has_enough_requests = age >= MIN_CANARY_TIME
            && health.ended(target, now) >= MIN_CANARY_REQUESTS
            && has_tried_lanes;
        passes_by_age || has_enough_requests && !health.is_suspicious(target, stable, now)
    }
}

/// Chooses a canary in each zone: home regions keep clients inside their zones, so one zone's canary never serves the
/// clients of others. Replicas that already have the target are chosen first.
fn choose_canary(view: &RolloutView, stable_replicas: &[String], target: &str) -> CanaryReplicas {
    let mut by_zone: BTreeMap<&str, Vec<&String>> = BTreeMap::new();
    for id in stable_replicas {
        by_zone.entry(view.zone(id)).or_default().push(id);
    }
    let mut chosen = CanaryReplicas::default();
    for zone_replicas in by_zone.into_values() {
        let count = (zone_replicas.len() * view.inputs.spec.canary_percent as usize / 100).max(1);
        let (on_target, others): (Vec<&String>, Vec<&String>) = zone_replicas
            .into_iter()
            .partition(|id| view.has_loaded(id, target));
        let mut candidates = on_target.into_iter().chain(others).cloned();
        chosen.canary.extend(candidates.by_ref().take(count));
        chosen.baseline.extend(candidates.take(count));
    }
    chosen
}

/// Assigns equal shares to canary and baseline, and the rest to all other replicas.
fn assign_canary_share(
    record: &mut RolloutRecord,
    view: &RolloutView,
    target: &str,
    chosen: CanaryReplicas,
    stable_replicas: &[String],
) {
    let percent = view.inputs.spec.canary_percent;
    let rest = stable_replicas
        .iter()
        .filter(|id| !chosen.baseline.contains(id))
        .cloned()
        .collect();
    let stable = &record.stable;
    record.groups = vec![
        group(GroupRole::Canary, target, percent, chosen.canary),
        group(GroupRole::Baseline, stable, percent, chosen.baseline),
        group(GroupRole::Stable, stable, 100 - 2 * percent, rest),
    ];
}
