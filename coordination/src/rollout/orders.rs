//! Orders to replicas and to the platform, and the limit on how often each is repeated.

use std::collections::BTreeMap;

use remote_calls::OrderAction;

use super::{RolloutLoop, RolloutView};
use crate::Ms;

/// Time after which a load counts as late, in ms; the order to a replica that does not report is not repeated earlier.
pub(super) const LOAD_TIMEOUT: Ms = 15_000;
/// Minimum interval between equal orders to a replica, in ms; replicas accept orders at once and execute them later.
pub(super) const ORDER_REPEAT_INTERVAL: Ms = 1_000;
/// Number of times per load timeout that the order to a replica that reports but does not load is repeated.
const LOAD_REPEATS_PER_TIMEOUT: Ms = 5;

/// A command to a replica or to the platform, under the lease of the service's rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Orders a replica to load or unload a version.
    Replica {
        /// The replica's id.
        id: String,
        /// Address that accepts orders.
        addr: String,
        /// The action.
        action: OrderAction,
        /// The version to load or unload.
        version: String,
    },
    /// Asks the platform to start a replica.
    Start {
        /// Zone of the new replica.
        zone: String,
        /// The version that it loads first.
        version: String,
    },
    /// Asks the platform to drain and stop a replica.
    Drain {
        /// The replica's id.
        id: String,
    },
}

/// Suppresses repetitions of an order until a minimum interval has passed.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderLimiter {
    ordered_at: BTreeMap<String, Ms>,
}

impl OrderLimiter {
    /// Returns whether the order with this key is due, and if so records it as sent now.
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
        // A replica that reports it is loading has accepted the order, even if it becomes ready late.
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
