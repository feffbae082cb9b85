//! Reconciliation of the replicas with the spec: starts missing replicas, drains surplus ones, and loads the wanted
//! version where it is not loaded.

use remote_calls::{
    OrderAction, PlatformReplica, PlatformReplicaState, RolloutPhase, RolloutRecord, ZoneCount,
};

use super::{Order, RolloutLoop, RolloutView, orders::LOAD_TIMEOUT};
use crate::Ms;

/// Minimum interval between equal starts or drains in a zone, in ms: the platform's list shows their effect sooner.
const PLATFORM_ORDER_INTERVAL: Ms = LOAD_TIMEOUT / 3;

impl RolloutLoop {
    pub(super) fn reconcile_replicas(
        &mut self,
        record: &RolloutRecord,
        view: &RolloutView,
        orders: &mut Vec<Order>,
    ) {
        let is_target_wanted =
            matches!(record.phase, RolloutPhase::Shifting | RolloutPhase::Baking);
        let wanted = match &record.target {
            Some(target) if is_target_wanted => target,
            _ => &record.stable,
        };
        for zone in &view.inputs.service.zones {
            self.reconcile_zone(zone, wanted, record.phase, view, orders);
        }
        if is_target_wanted {
            return;
        }
        for replica in &view.usable {
            if view.report(&replica.id).is_some() && !view.has_loaded(&replica.id, wanted) {
                self.order_replica(view, &replica.id, OrderAction::Load, wanted, orders);
            }
        }
    }

    /// Starts missing replicas of a zone, or drains a surplus one.
    fn reconcile_zone(
        &mut self,
        zone: &ZoneCount,
        wanted: &str,
        phase: RolloutPhase,
        view: &RolloutView,
        orders: &mut Vec<Order>,
    ) {
        let now = view.inputs.now;
        let present = replicas_in_zone(view, &zone.zone);
        let required = zone.replicas as usize;
        for ordinal in present.len()..required {
            let key = format!("start {} {ordinal}", zone.zone);
            if self.orders.admit(key, PLATFORM_ORDER_INTERVAL, now) {
                orders.push(Order::Start {
                    zone: zone.zone.clone(),
                    version: wanted.into(),
                });
            }
        }
        if present.len() <= required || phase != RolloutPhase::Steady {
            return;
        }
        // Drains one at a time, the last by name, so that a reduced spec never empties a zone.
        if let Some(surplus) = present.iter().max_by_key(|replica| &replica.id) {
            let id = surplus.id.clone();
            self.orders
                .push(Order::Drain { id }, PLATFORM_ORDER_INTERVAL, now, orders);
        }
    }
}

/// Returns the service's replicas in a zone that are not draining. Started replicas count before their first report: a
/// late load is not a missing replica.
fn replicas_in_zone<'a>(view: &RolloutView<'a>, zone: &str) -> Vec<&'a PlatformReplica> {
    view.inputs
        .replica_list
        .iter()
        .filter(|replica| {
            replica.zone == zone
                && replica.service == view.inputs.service.name
                && replica.state != PlatformReplicaState::Draining
                && !view.inputs.draining.contains(&replica.id)
        })
        .collect()
}
