//! Orders to replicas and to the platform, and the limit on how often each is repeated.

use std::collections::BTreeMap;

use remote_calls::OrderAction;

use super::{RolloutLoop, RolloutView};
use crate::Ms;

/// ms. A replica that takes longer to load counts as late, and its start is not repeated before.
pub(super) const LOAD_TIMEOUT: Ms = 15_000;
/// ms. The same order to the same replica is not repeated before; replicas take orders at once and work on.
pub(super) const ORDER_REPEAT_INTERVAL: Ms = 1_000;
/// Part of the load timeout after which a replica that reports, and does not load, is ordered again.
const LOAD_REPEATS_PER_TIMEOUT: Ms = 5;

/// A command to a replica or to the platform, under the lease of the service's rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Has a replica load or unload a version.
    Replica {
        /// The replica's id.
        id: String,
        /// Where it takes orders.
        addr: String,
        /// What to do.
        action: OrderAction,
        /// With which version.
        version: String,
    },
    /// Has the platform start a replica.
    Start {
        /// Where.
        zone: String,
        /// The version that it loads first.
        version: String,
    },
    /// Has the platform drain and stop a replica.
    Drain {
        /// The replica's id.
        id: String,
    },
}

/// Suppresses repetitions of an order until it has gone without effect for a while.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderLimiter {
    ordered_at: BTreeMap<String, Ms>,
}

impl OrderLimiter {
    /// Whether the order of this key is due; if so, it counts as given now.
    pub(super) fn admit(&mut self, key: String, interval: Ms, now: Ms) -> bool {
        let is_repetition = self
            .ordered_at
            .get(&key)
            .is_some_and(|at| now.saturating_sub(*at) < interval);
        if !is_repetition {
            self.ordered_at.insert(key, now);
        }
        !is_repetition
    }

    /// Appends an order unless it repeats one too early.
    pub(super) fn push(&mut self, order: Order, interval: Ms, now: Ms, orders: &mut Vec<Order>) {
        if self.admit(format!("{order:?}"), interval, now) {
            orders.push(order);
        }
    }
}

impl RolloutLoop {
    /// Orders a usable replica to load or unload a version.
    pub(super) fn order_replica(
        &mut self,
        view: &RolloutView,
        id: &str,
        action: OrderAction,
        version: &str,
        orders: &mut Vec<Order>,
    ) {
        let Some(replica) = view.usable.iter().find(|replica| replica.id == id) else {
            return;
        };
        // A replica that reports it is loading has taken the order, however late it gets ready.
        if action == OrderAction::Load && view.has_loaded(id, version) {
            return;
        }
        let order = Order::Replica {
            id: id.into(),
            addr: replica.addr.clone(),
            action,
            version: version.into(),
        };
        let interval = match (action, view.report(id)) {
            (OrderAction::Load, None) => LOAD_TIMEOUT,
            (OrderAction::Load, Some(_)) => LOAD_TIMEOUT / LOAD_REPEATS_PER_TIMEOUT,
            _ => ORDER_REPEAT_INTERVAL,
        };
        self.orders.push(order, interval, view.inputs.now, orders);
    }
}
