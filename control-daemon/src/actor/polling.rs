//! Polls the platform for its replicas, and the replicas for reports, while this daemon holds the lease of a rollout.

use std::{rc::Rc, time::Duration};

use actix::prelude::*;
use coordination::{Ms, events, timing::REPORT_INTERVAL};
use daemon_parts::{http, limits::CALL_TIMEOUT, logging::event};
use remote_calls::{PlatformList, ReplicaReport, calls};

use super::ControlActor;
use crate::platform_adapter::{CallRateLimiter, ListCall, ReplicaSource};

/// Schedules the polling of replicas.
pub(super) struct ReplicaPolling {
    source: ReplicaSource,
    next_poll_at: Ms,
    /// A list call is in flight. Only one at a time, so that a slow answer cannot overwrite a newer one.
    is_list_in_flight: bool,
    rate_limiter: Rc<CallRateLimiter>,
}

impl ReplicaPolling {
    pub(super) fn new(source: ReplicaSource) -> Self {
        ReplicaPolling {
            source,
            next_poll_at: 0,
            is_list_in_flight: false,
            rate_limiter: Rc::default(),
        }
    }
}

impl ControlActor {
    pub(super) fn poll_replicas(&mut self, now: Ms, ctx: &mut Context<Self>) {
        let Some(control) = &self.control else {
            return;
        };
        if now < self.polling.next_poll_at || !control.holds_any_role(now) {
            return;
        }
        match self.polling.source {
            ReplicaSource::Polled => self.poll_platform_and_replicas(now, ctx),
            ReplicaSource::Listed {
                call,
                interval,
                stable_interval,
                rate_limit,
            } => {
                // Calls cost money, and the list rarely changes.
                let interval = if control.is_list_stable(now) {
                    stable_interval
                } else {
                    interval
                };
                let rate = control.call_rate_share(rate_limit);
                self.polling.rate_limiter.set_rate(rate);
                self.request_list(call, now, interval, ctx);
            }
        }
    }

    fn poll_platform_and_replicas(&mut self, now: Ms, ctx: &mut Context<Self>) {
        self.polling.next_poll_at = now + REPORT_INTERVAL;
        let (client, addr) = (self.client.clone(), self.platform_addr.clone());
        let listed = async move {
            let call = calls::PLATFORM_LIST;
            http::call::<(), PlatformList>(&client, &addr, call, None, CALL_TIMEOUT).await
        };
        ctx.spawn(listed.into_actor(self).map(move |result, actor, _| {
            if let (Ok(list), Some(control)) = (result, &mut actor.control) {
                control.on_replica_list(list, now);
            }
        }));
        let replicas = self
            .control
            .iter()
            .flat_map(|control| control.replicas_to_poll());
        for (_, addr) in replicas {
            let client = self.client.clone();
            let reported = async move {
                http::call::<(), ReplicaReport>(&client, &addr, calls::REPORT, None, CALL_TIMEOUT)
                    .await
            };
            ctx.spawn(reported.into_actor(self).map(move |result, actor, _| {
                if let (Ok(report), Some(control)) = (result, &mut actor.control) {
                    // Stamped with the time of the request: a slow answer is outdated.
                    control.on_report(report, now);
                }
            }));
        }
    }

    /// Requests the complete list; a failed request leaves the current list in place.
    fn request_list(
        &mut self,
        call: ListCall,
        now: Ms,
        interval: Duration,
        ctx: &mut Context<Self>,
    ) {
        if self.polling.is_list_in_flight {
            return;
        }
        self.polling.is_list_in_flight = true;
        self.polling.next_poll_at = now + interval.as_millis() as Ms;
        let listed = call(
            self.client.clone(),
            self.platform_addr.clone(),
            self.polling.rate_limiter.clone(),
        );
        ctx.spawn(listed.into_actor(self).map(move |result, actor, _| {
            actor.polling.is_list_in_flight = false;
            match (result, &mut actor.control) {
                (Ok(list), Some(control)) => control.on_replica_list(list, now),
                (Ok(_), None) => {}
                (Err(fault), _) => event(
                    events::REPLICA_LIST_FAILED,
                    &actor.platform_addr,
                    &fault.to_string(),
                ),
            }
        }));
    }
}
