//! The one owner of a proxy's brain.

use std::{collections::HashMap, time::Duration};

use actix::prelude::*;
use awc::Client;
use coordination::{
    Ms,
    proxy::{Admission, Assignment, OutcomeClass},
    timing::{REPORT_INTERVAL, TICK_INTERVAL},
};
use daemon_parts::{
    channels::{Channels, Incoming},
    clock, http,
    limits::{CALL_LIMIT, HELLO_EVERY, MAILBOX},
    logging::event,
    look::Look,
};
use remote_calls::{Fault, ReplicaReport, RunRequest, calls};
use tokio::sync::oneshot;
use wire_messages::{ClaimRequest, Message, Name};

use crate::shared::{SharedProxy, lock};

/// A request that waits for a place.
struct Waiter {
    q: RunRequest,
    tried: Vec<String>,
    to: oneshot::Sender<Result<Assignment, Fault>>,
}

pub struct ProxyActor {
    pub name: String,
    pub listen: String,
    pub agent: Name,
    pub brain: SharedProxy,
    ch: Option<Channels>,
    client: Client,
    claims: HashMap<u64, oneshot::Sender<u8>>,
    waiting: HashMap<u64, Waiter>,
    token: u64,
    next_report: Ms,
    next_hello: Ms,
    pub stopping: bool,
}

impl ProxyActor {
    pub fn new(name: &str, listen: &str, agent: &str, brain: SharedProxy) -> Self {
        ProxyActor {
            name: name.into(),
            listen: listen.into(),
            agent: agent.into(),
            brain,
            ch: None,
            client: Client::builder().disable_timeout().finish(),
            claims: HashMap::new(),
            waiting: HashMap::new(),
            token: 0,
            next_report: 0,
            next_hello: 0,
            stopping: false,
        }
    }

    /// Gives places that came free to those who wait, best tier first.
    fn wake(&mut self) {
        let now = clock::now();
        let (tokens, late) = lock(&self.brain).poll_queue(now);
        if tokens.is_empty() && late.is_empty() {
            return;
        }
        for t in late {
            self.give_up(t);
        }
        for t in tokens {
            let Some(w) = self.waiting.get(&t) else {
                continue;
            };
            let admit = lock(&self.brain).assign_named(&w.q, &w.tried, now);
            let r = match admit {
                Admission::Assigned(p) => Ok(p),
                Admission::Rejected(f) => Err(f),
                Admission::NoFreeSlot => continue,
            };
            lock(&self.brain).dequeue(t);
            let Some(w) = self.waiting.remove(&t) else {
                continue;
            };
            // A caller that left while waiting gives its place back.
            if let Err(Ok(p)) = w.to.send(r) {
                lock(&self.brain).record_outcome(&p, OutcomeClass::ClientGone, now);
            }
        }
    }

    fn give_up(&mut self, token: u64) {
        let Some(w) = self.waiting.remove(&token) else {
            return;
        };
        let f = lock(&self.brain).reject("full", "wait", "no place came free soon enough");
        let _ = w.to.send(Err(f));
    }

    fn ask_replicas(&mut self, now: Ms, ctx: &mut Context<Self>) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
        let all = lock(&self.brain).replicas_to_poll();
        for (_, addr) in all {
            let c = self.client.clone();
            let f = async move {
                http::call::<(), ReplicaReport>(&c, &addr, calls::REPORT, None, CALL_LIMIT).await
            };
            ctx.spawn(f.into_actor(self).map(move |r, me, _| {
                if let Ok(r) = r {
                    lock(&me.brain).on_report(r, now);
                    me.wake();
                }
            }));
        }
    }

    /// Tells the agent at once that this proxy stops: others no longer send callers to it.
    pub fn stop(&mut self, now: Ms) {
        (self.stopping, self.next_hello) = (true, 0);
        self.say_hello(now);
    }

    fn say_hello(&mut self, now: Ms) {
        if now < self.next_hello {
            return;
        }
        self.next_hello = now + HELLO_EVERY;
        let mut m = lock(&self.brain).changed_report(now);
        // A proxy that stops is no longer nominated.
        if self.stopping {
            m.http_addr = Name::default();
        }
        if let Some(ch) = &mut self.ch {
            ch.send(&self.agent, m.into());
        }
    }
}

impl ProxyActor {
    /// Tells the holders of duties, by way of the agent, which shared context is often asked for.
    fn tell_demands(&mut self, now: Ms) {
        let all = lock(&self.brain).context_demands(now);
        if let Some(ch) = &mut self.ch {
            all.into_iter().for_each(|m| ch.send(&self.agent, m.into()));
        }
    }
    /// Tells other proxies, by way of the agents, which long prompts went where.
    fn tell_readings(&mut self, now: Ms) {
        let all: Vec<_> = lock(&self.brain).take_prefill_reports(now).collect();
        let Some(ch) = &mut self.ch else { return };
        all.into_iter().for_each(|m| ch.send(&self.agent, m.into()));
    }
}

impl Actor for ProxyActor {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX);
        self.ch = Some(Channels::new(
            &self.name,
            &self.listen,
            ctx.address().recipient(),
        ));
        ctx.run_interval(Duration::from_millis(TICK_INTERVAL), |me, ctx| {
            let now = clock::now();
            me.say_hello(now);
            me.tell_readings(now);
            me.tell_demands(now);
            me.ask_replicas(now, ctx);
            me.wake();
        });
    }
}

impl Handler<Incoming> for ProxyActor {
    type Result = ();
    fn handle(&mut self, m: Incoming, _: &mut Self::Context) {
        // Only the agent beside this proxy tells it anything.
        if m.0.addr != self.agent {
            return event(
                coordination::events::INVALID_FRAME,
                &m.0.addr,
                "is not this proxy's agent",
            );
        }
        match m.0.msg {
            Message::PrefillReport(r) => lock(&self.brain).on_prefill_report(r, clock::now()),
            Message::TableUpdate(b) => lock(&self.brain).on_table_update(b, clock::now()),
            Message::ClaimResult(t) => {
                if let Some(s) = self.claims.remove(&t.token) {
                    let _ = s.send(t.state);
                }
            }
            _ => {}
        }
    }
}

impl<T: Send + 'static> Handler<Look<Self, T>> for ProxyActor {
    type Result = Result<T, ()>;
    fn handle(&mut self, m: Look<Self, T>, _: &mut Self::Context) -> Self::Result {
        Ok((m.0)(self, clock::now()))
    }
}

/// Claims a request for a round, or voids it.
#[derive(Message)]
#[rtype(result = "u8")]
pub struct ClaimRun {
    pub request: String,
    pub round: u64,
    pub void: bool,
    /// ms since a caller's key was first used.
    pub age: u64,
}
impl Handler<ClaimRun> for ProxyActor {
    type Result = ResponseFuture<u8>;
    fn handle(&mut self, m: ClaimRun, _: &mut Self::Context) -> Self::Result {
        self.token += 1;
        let (s, r) = oneshot::channel();
        self.claims.insert(self.token, s);
        let ask = ClaimRequest {
            token: self.token,
            request: m.request.into(),
            attempt: m.round,
            void: m.void.into(),
            key_age_ms: m.age,
        };
        if let Some(ch) = &mut self.ch {
            ch.send(&self.agent, ask.into());
        }
        // An agent that has died answers nothing: no majority was heard.
        let limit = Duration::from_millis(2 * coordination::claims::CLAIM_TIMEOUT);
        Box::pin(async move {
            match tokio::time::timeout(limit, r).await {
                Ok(Ok(state)) => state,
                _ => coordination::claims::ABSTAINED,
            }
        })
    }
}

/// Finds a place, waiting in the buffer if all are taken.
#[derive(Message)]
#[rtype(result = "Result<Assignment, Fault>")]
pub struct AssignReplica {
    pub q: RunRequest,
    pub rank: u32,
    pub time_left: Ms,
    pub tried: Vec<String>,
}
impl Handler<AssignReplica> for ProxyActor {
    type Result = ResponseFuture<Result<Assignment, Fault>>;
    fn handle(&mut self, m: AssignReplica, _: &mut Self::Context) -> Self::Result {
        let now = clock::now();
        let admit = lock(&self.brain).assign_named(&m.q, &m.tried, now);
        match admit {
            Admission::Assigned(p) => return Box::pin(async { Ok(p) }),
            Admission::Rejected(f) => return Box::pin(async { Err(f) }),
            Admission::NoFreeSlot => {}
        }
        self.token += 1;
        let t = self.token;
        let (to, r) = oneshot::channel();
        self.waiting.insert(
            t,
            Waiter {
                q: m.q,
                tried: m.tried,
                to,
            },
        );
        let worst = lock(&self.brain).enqueue(t, m.rank, m.time_left, now);
        for worst in worst {
            self.give_up(worst);
        }
        Box::pin(async move {
            r.await.unwrap_or_else(|_| {
                Err(Fault::new("overload", "wait", "the buffer was dropped").retry(1_000))
            })
        })
    }
}

/// A round ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AttemptEnded(pub Assignment, pub OutcomeClass);
impl Handler<AttemptEnded> for ProxyActor {
    type Result = ();
    fn handle(&mut self, m: AttemptEnded, _: &mut Self::Context) {
        let suspect = lock(&self.brain).record_outcome(&m.0, m.1, clock::now());
        if let Some(v) = suspect {
            event(coordination::events::VERSION_SUSPECTED, &m.0.replica, &v);
        }
        self.wake();
    }
}
