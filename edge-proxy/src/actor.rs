//! The actor that talks to the agent, polls replicas for their reports and owns the requests that wait for a slot.

use std::{collections::HashMap, time::Duration};

use actix::prelude::*;
use awc::Client;
use coordination::{
    Ms,
    claims::{ABSTAINED, CLAIM_TIMEOUT},
    events,
    proxy::{Admission, Assignment, OutcomeClass},
    timing::{REPORT_INTERVAL, TICK_INTERVAL},
};
use daemon_parts::{
    channels::{Channels, Incoming},
    clock, http,
    inspect::Inspect,
    limits::{CALL_TIMEOUT, MAILBOX_CAPACITY, PROXY_REPORT_INTERVAL},
    logging::event,
};
use remote_calls::{Fault, ReplicaReport, RunRequest, calls};
use tokio::sync::oneshot;
use wire_messages::{ClaimRequest, Message as WireMessage, Name};

use crate::shared::{SharedProxy, lock};

/// A request that waits for a slot.
struct Waiter {
    request: RunRequest,
    tried: Vec<String>,
    reply: oneshot::Sender<Result<Assignment, Fault>>,
}

/// The proxy's side of the channel to its agent.
pub struct ProxyActor {
    /// Name of this process.
    pub name: String,
    /// The proxy's state machine.
    pub proxy: SharedProxy,
    /// The proxy was asked to stop.
    pub is_stopping: bool,
    listen_addr: String,
    agent_addr: Name,
    channels: Option<Channels>,
    client: Client,
    claims: HashMap<u64, oneshot::Sender<u8>>,
    waiters: HashMap<u64, Waiter>,
    last_token: u64,
    next_poll_at: Ms,
    next_report_at: Ms,
}

impl ProxyActor {
    /// An actor that has not connected yet.
    pub fn new(name: &str, listen_addr: &str, agent_addr: &str, proxy: SharedProxy) -> Self {
        ProxyActor {
            name: name.into(),
            proxy,
            is_stopping: false,
            listen_addr: listen_addr.into(),
            agent_addr: agent_addr.into(),
            channels: None,
            client: Client::builder().disable_timeout().finish(),
            claims: HashMap::new(),
            waiters: HashMap::new(),
            last_token: 0,
            next_poll_at: 0,
            next_report_at: 0,
        }
    }

    fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    fn send_to_agent(&mut self, message: impl Into<WireMessage>) {
        if let Some(channels) = &mut self.channels {
            channels.send(&self.agent_addr, message.into());
        }
    }

    // ---- requests that wait for a slot ----

    /// Gives slots that came free to requests that wait, the most urgent first.
    fn assign_waiters(&mut self) {
        let now = clock::now();
        let (queued, expired) = lock(&self.proxy).poll_queue(now);
        for token in expired {
            self.reject_waiter(token);
        }
        for token in queued {
            self.assign_waiter(token, now);
        }
    }

    fn assign_waiter(&mut self, token: u64, now: Ms) {
        let Some(waiter) = self.waiters.get(&token) else {
            return;
        };
        let admission = lock(&self.proxy).assign_named(&waiter.request, &waiter.tried, now);
        let result = match admission {
            Admission::Assigned(assignment) => Ok(assignment),
            Admission::Rejected(fault) => Err(fault),
            Admission::NoFreeSlot => return,
        };
        lock(&self.proxy).dequeue(token);
        let Some(waiter) = self.waiters.remove(&token) else {
            return;
        };
        // A caller that left while it waited gives its slot back.
        if let Err(Ok(assignment)) = waiter.reply.send(result) {
            lock(&self.proxy).record_outcome(&assignment, OutcomeClass::ClientGone, now);
        }
    }

    fn reject_waiter(&mut self, token: u64) {
        let Some(waiter) = self.waiters.remove(&token) else {
            return;
        };
        let message = "no place came free soon enough";
        let fault = lock(&self.proxy).reject("full", "wait", message);
        let _ = waiter.reply.send(Err(fault));
    }

    // ---- replicas ----

    fn poll_replicas(&mut self, now: Ms, context: &mut Context<Self>) {
        if now < self.next_poll_at {
            return;
        }
        self.next_poll_at = now + REPORT_INTERVAL;
        let replicas = lock(&self.proxy).replicas_to_poll();
        for (_, addr) in replicas {
            let client = self.client.clone();
            let call = async move {
                http::call::<(), ReplicaReport>(&client, &addr, calls::REPORT, None, CALL_TIMEOUT)
                    .await
            };
            context.spawn(call.into_actor(self).map(move |report, actor, _| {
                if let Ok(report) = report {
                    lock(&actor.proxy).on_report(report, now);
                    actor.assign_waiters();
                }
            }));
        }
    }

    // ---- reports to the agent ----

    /// Tells the agent at once that this proxy stops: other proxies no longer send callers to it.
    pub fn stop(&mut self, now: Ms) {
        self.is_stopping = true;
        self.next_report_at = 0;
        self.report_counters(now);
    }

    fn report_counters(&mut self, now: Ms) {
        if now < self.next_report_at {
            return;
        }
        self.next_report_at = now + PROXY_REPORT_INTERVAL;
        let mut report = lock(&self.proxy).changed_report(now);
        // A proxy that stops is no longer nominated.
        if self.is_stopping {
            report.http_addr = Name::default();
        }
        self.send_to_agent(report);
    }

    /// Reports to the lease holders, by way of the agent, which shared context is often requested.
    fn report_context_demand(&mut self, now: Ms) {
        let demands = lock(&self.proxy).context_demands(now);
        for demand in demands {
            self.send_to_agent(demand);
        }
    }

    /// Logs which replicas turned out to be warming up after they had been sent requests at the full rate.
    fn log_unnoticed_warmups(&self) {
        for warmup in lock(&self.proxy).take_unnoticed_warmups() {
            let text = warmup.to_string();
            event(events::UNNOTICED_WARMUP, &warmup.replica, &text);
        }
    }

    /// Reports to other proxies, by way of the agents, which long prompts went where.
    fn report_prefills(&mut self, now: Ms) {
        let reports: Vec<_> = lock(&self.proxy).take_prefill_reports(now).collect();
        for report in reports {
            self.send_to_agent(report);
        }
    }
}

impl Actor for ProxyActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(MAILBOX_CAPACITY);
        self.channels = Some(Channels::new(
            &self.name,
            &self.listen_addr,
            context.address().recipient(),
        ));
        let interval = Duration::from_millis(TICK_INTERVAL);
        context.run_interval(interval, |actor, context| {
            let now = clock::now();
            lock(&actor.proxy).observe_wall_clock(now, clock::wall_ms());
            actor.report_counters(now);
            actor.report_prefills(now);
            actor.report_context_demand(now);
            actor.log_unnoticed_warmups();
            actor.poll_replicas(now, context);
            actor.assign_waiters();
        });
    }
}

impl Handler<Incoming> for ProxyActor {
    type Result = ();

    fn handle(&mut self, incoming: Incoming, _: &mut Self::Context) {
        // Only the agent beside this proxy may send it anything.
        if incoming.0.addr != self.agent_addr {
            return event(
                events::INVALID_FRAME,
                &incoming.0.addr,
                "is not this proxy's agent",
            );
        }
        match incoming.0.msg {
            WireMessage::PrefillReport(report) => {
                lock(&self.proxy).on_prefill_report(report, clock::now());
            }
            WireMessage::TableUpdate(update) => {
                lock(&self.proxy).on_table_update(update, clock::now());
            }
            WireMessage::ClaimResult(result) => {
                if let Some(reply) = self.claims.remove(&result.token) {
                    let _ = reply.send(result.state);
                }
            }
            _ => {}
        }
    }
}

impl<T: Send + 'static> Handler<Inspect<Self, T>> for ProxyActor {
    type Result = Result<T, ()>;

    fn handle(&mut self, look: Inspect<Self, T>, _: &mut Self::Context) -> Self::Result {
        Ok((look.0)(self, clock::now()))
    }
}

/// Claims a request for a run, or voids it.
#[derive(Message)]
#[rtype(result = "u8")]
pub struct ClaimRun {
    /// Id of the request, or the caller's key.
    pub request: String,
    /// Tells this attempt from every other.
    pub attempt_seed: u64,
    /// Void the id instead, so that it never runs.
    pub void: bool,
    /// ms since a caller's key was first used.
    pub key_age_ms: u64,
}

impl Handler<ClaimRun> for ProxyActor {
    type Result = ResponseFuture<u8>;

    fn handle(&mut self, claim: ClaimRun, _: &mut Self::Context) -> Self::Result {
        let token = self.next_token();
        let (reply, result) = oneshot::channel();
        self.claims.insert(token, reply);
        self.send_to_agent(ClaimRequest {
            token,
            request: claim.request.into(),
            attempt: claim.attempt_seed,
            void: claim.void.into(),
            key_age_ms: claim.key_age_ms,
        });
        // An agent that has died answers nothing: no majority was heard.
        let limit = Duration::from_millis(2 * CLAIM_TIMEOUT);
        Box::pin(async move {
            match tokio::time::timeout(limit, result).await {
                Ok(Ok(state)) => state,
                _ => ABSTAINED,
            }
        })
    }
}

/// Assigns a replica, waiting in the queue if no slot is free.
#[derive(Message)]
#[rtype(result = "Result<Assignment, Fault>")]
pub struct AssignReplica {
    /// The request.
    pub request: RunRequest,
    /// Rank of its tier.
    pub rank: u32,
    /// How long its caller still waits, in ms.
    pub time_left: Ms,
    /// Replicas that it was sent to before.
    pub tried: Vec<String>,
}

impl Handler<AssignReplica> for ProxyActor {
    type Result = ResponseFuture<Result<Assignment, Fault>>;

    fn handle(&mut self, wanted: AssignReplica, _: &mut Self::Context) -> Self::Result {
        let now = clock::now();
        let admission = lock(&self.proxy).assign_named(&wanted.request, &wanted.tried, now);
        match admission {
            Admission::Assigned(assignment) => return Box::pin(async { Ok(assignment) }),
            Admission::Rejected(fault) => return Box::pin(async { Err(fault) }),
            Admission::NoFreeSlot => {}
        }
        let token = self.next_token();
        let (reply, result) = oneshot::channel();
        let waiter = Waiter {
            request: wanted.request,
            tried: wanted.tried,
            reply,
        };
        self.waiters.insert(token, waiter);
        let displaced = lock(&self.proxy).enqueue(token, wanted.rank, wanted.time_left, now);
        for token in displaced {
            self.reject_waiter(token);
        }
        Box::pin(async move {
            result.await.unwrap_or_else(|_| {
                Err(Fault::new("overload", "wait", "the buffer was dropped").retry(1_000))
            })
        })
    }
}

/// An attempt by named service is over.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AttemptEnded {
    /// The attempt.
    pub assignment: Assignment,
    /// How it ended.
    pub outcome: OutcomeClass,
}

impl Handler<AttemptEnded> for ProxyActor {
    type Result = ();

    fn handle(&mut self, ended: AttemptEnded, _: &mut Self::Context) {
        let capped =
            lock(&self.proxy).record_outcome(&ended.assignment, ended.outcome, clock::now());
        if let Some(version) = capped {
            event(
                events::VERSION_SUSPECTED,
                &ended.assignment.replica,
                &version,
            );
        }
        self.assign_waiters();
    }
}
