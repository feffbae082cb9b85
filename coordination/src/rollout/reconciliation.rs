//! Reconciliation of the replicas with the spec: missing ones are started, surplus ones drained, and those without
//! the wanted version load it.

use remote_calls::{
    OrderAction, PlatformReplica, PlatformReplicaState, RolloutPhase, RolloutRecord, ZoneCount,
};

use super::{Order, RolloutLoop, RolloutView, orders::LOAD_TIMEOUT};
use crate::Ms;

/// ms. Starts and drains in a zone are not repeated before: the platform's list shows their effect sooner.
const PLATFORM_ORDER_INTERVAL: Ms = LOAD_TIMEOUT / 3;

impl RolloutLoop {
    pub(super) fn reconcile_replicas(
        &mut self,
        record: &RolloutRecord,
        view: &RolloutView,
        orders: &mut Vec<Order>,
    ) {
        let shifts = matches!(record.phase, RolloutPhase::Shifting | RolloutPhase::Baking);
        let wanted = match &record.target {
            Some(target) if shifts => target,
            _ => &record.stable,
        };
        for zone in &view.inputs.service.zones {
            self.reconcile_zone(zone, wanted, record.phase, view, orders);
        }
        if shifts {
            return;
        }
        for replica in &view.usable {
            if view.report(&replica.id).is_some() && !view.has_loaded(&replica.id, wanted) {
                self.order_replica(view, &replica.id, OrderAction::Load, wanted, orders);
            }
        }
    }

    /// Starts what a zone lacks, or drains a replica that it has too many.
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
        // One at a time, the last by name, so that a shrunken spec never empties a zone.
        if let Some(surplus) = present.iter().max_by_key(|replica| &replica.id) {
            let id = surplus.id.clone();
            self.orders
                .push(Order::Drain { id }, PLATFORM_ORDER_INTERVAL, now, orders);
        }
    }
}

/// The service's replicas in a zone, but for those that are draining. Started ones count though they have not
/// reported yet: a late load is not a missing replica.
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
