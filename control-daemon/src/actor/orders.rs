//! Sends orders of the rollout loops to replicas and the platform.

use actix::prelude::*;
use awc::Client;
use coordination::{Ms, events, rollout::Order};
use daemon_parts::{clock, http, limits::CALL_TIMEOUT, logging::event};
use remote_calls::{
    Call, Fault, OrderAnswer, PlatformDrain, PlatformStart, PlatformStarted, ReplicaOrder, calls,
};
use serde::{Serialize, de::DeserializeOwned};

use super::ControlActor;

/// An order, and the lease under which it is sent.
pub(super) struct LeasedOrder {
    pub(super) service: String,
    /// The fencing token: receivers reject orders with a lower epoch.
    pub(super) epoch: u64,
    /// Expiry of the lease, by this daemon's clock.
    pub(super) lease_until: Ms,
    pub(super) order: Order,
}

impl ControlActor {
    pub(super) fn send_order(&mut self, leased: LeasedOrder, ctx: &mut Context<Self>) {
        // The process may have been suspended since the decision.
        if clock::now() >= leased.lease_until {
            event(
                events::LEASE_EXPIRED,
                &leased.service,
                "an order was dropped",
            );
            return;
        }
        let service = leased.service.clone();
        let text = format!("{:?}", leased.order);
        event(events::REPLICA_ORDER, &service, &text);
        let (client, platform_addr) = (self.client.clone(), self.platform_addr.clone());
        let sent = async move {
            if let Err(fault) = call_order(&client, &platform_addr, leased).await {
                let cause = format!("{text}: {fault}");
                event(events::REPLICA_ORDER_FAILED, &service, &cause);
            }
        };
        ctx.spawn(sent.into_actor(self));
    }
}

/// Makes the call that carries out an order.
async fn call_order(
    client: &Client,
    platform_addr: &str,
    leased: LeasedOrder,
) -> Result<(), Fault> {
    let LeasedOrder {
        service,
        epoch,
        order,
        ..
    } = leased;
    match order {
        Order::Replica {
            addr,
            action,
            version,
            ..
        } => {
            let body = ReplicaOrder {
                service,
                epoch,
                action,
                version,
            };
            post::<_, OrderAnswer>(client, &addr, calls::ORDER, &body).await
        }
        Order::Start { zone, version } => {
            let body = PlatformStart {
                service,
                zone,
                version,
                epoch,
            };
            post::<_, PlatformStarted>(client, platform_addr, calls::PLATFORM_START, &body).await
        }
        Order::Drain { id } => {
            let body = PlatformDrain {
                service,
                replica: id,
                epoch,
            };
            post::<_, OrderAnswer>(client, platform_addr, calls::PLATFORM_DRAIN, &body).await
        }
    }
}

/// Posts a body; the answer must be well-formed, but is discarded.
async fn post<Body: Serialize, Answer: DeserializeOwned>(
    client: &Client,
    addr: &str,
    call: Call,
    body: &Body,
) -> Result<(), Fault> {
    http::call::<_, Answer>(client, addr, call, Some(body), CALL_TIMEOUT)
        .await
        .map(drop)
}
