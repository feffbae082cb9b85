//! Makes calls to the platform under the leases of singleton roles, and returns their outcomes to the state machine.

use std::{rc::Rc, time::Duration};

use actix::prelude::*;
use awc::Client;
use coordination::{
    Ms, events,
    platform_call::{CallOutcome, LeasedCall},
};
use daemon_parts::{clock, limits::CALL_TIMEOUT, logging::event};

use super::ControlActor;
use crate::platform_adapter::{CallRateLimiter, RoleCallRequest, RoleCalls};

/// Makes calls under leases, within this daemon's share of their rate limit.
pub(super) struct RoleCaller {
    role_calls: Option<RoleCalls>,
    rate_limiter: Rc<CallRateLimiter>,
}

impl RoleCaller {
    pub(super) fn new(role_calls: Option<RoleCalls>) -> Self {
        RoleCaller {
            role_calls,
            rate_limiter: Rc::default(),
        }
    }
}

impl ControlActor {
    pub(super) fn send_platform_call(&mut self, leased: LeasedCall, ctx: &mut Context<Self>) {
        let id = leased.id;
        let role_calls = self.role_caller.role_calls;
        let Some(role_calls) = role_calls.filter(|calls| calls.accepts(&leased.call)) else {
            self.finish_platform_call(id, CallOutcome::Failed, ctx);
            return;
        };
        if let Some(control) = &self.control {
            let rate = control.role_call_rate_share(role_calls.rate_limit);
            self.role_caller.rate_limiter.set_rate(rate);
        }
        let pending = PendingCall {
            role_calls,
            rate_limiter: self.role_caller.rate_limiter.clone(),
            client: self.client.clone(),
            platform_addr: self.platform_addr.clone(),
            holder: self.config.name.to_string(),
            leased,
        };
        let made = pending.make().into_actor(self);
        ctx.spawn(made.map(move |outcome, actor, ctx| {
            actor.finish_platform_call(id, outcome, ctx);
        }));
    }

    fn finish_platform_call(&mut self, id: u64, outcome: CallOutcome, ctx: &mut Context<Self>) {
        if let Some(control) = &mut self.control {
            let effects = control.on_platform_call_finished(id, outcome, clock::now());
            self.execute(effects, ctx);
        }
    }
}

/// A call that waits for the rate limiter.
struct PendingCall {
    role_calls: RoleCalls,
    rate_limiter: Rc<CallRateLimiter>,
    client: Client,
    platform_addr: String,
    holder: String,
    leased: LeasedCall,
}

impl PendingCall {
    async fn make(self) -> CallOutcome {
        let outcome = self.send_rate_limited().await;
        if !matches!(outcome, CallOutcome::Accepted) {
            let text = format!("epoch {}: {outcome:?}", self.leased.epoch);
            event(events::PLATFORM_CALL_FAILED, &self.platform_addr, &text);
        }
        outcome
    }

    async fn send_rate_limited(&self) -> CallOutcome {
        let lease_until = self.leased.until;
        let permit = self.rate_limiter.acquire();
        let acquired = tokio::time::timeout(time_left(lease_until), permit).await;
        // The process may have been suspended since the decision.
        let time_limit = time_left(lease_until).min(CALL_TIMEOUT);
        if acquired.is_err() || time_limit.is_zero() {
            event(
                events::LEASE_EXPIRED,
                &self.holder,
                "a call to the platform was dropped",
            );
            return CallOutcome::Failed;
        }
        let request = RoleCallRequest {
            platform_addr: self.platform_addr.clone(),
            holder: self.holder.clone(),
            epoch: self.leased.epoch,
            call: self.leased.call.clone(),
            time_limit,
        };
        (self.role_calls.call)(self.client.clone(), request).await
    }
}

/// Returns the time until a lease expires at `lease_until`.
fn time_left(lease_until: Ms) -> Duration {
    Duration::from_millis(lease_until.saturating_sub(clock::now()))
}
