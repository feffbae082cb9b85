//! The one owner of a control daemon's brain: works through its mailbox and carries effects out.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use actix::prelude::*;
use awc::Client;
use coordination::{
    Effect, Effects, Ms, WriteOutcome,
    control::{Control, ControlConfig},
    effect::log_event,
    events,
    register::Expect,
    rollout::Order,
    timing::{DISK_SYNC_TIMEOUT, REPORT_INTERVAL, TICK_INTERVAL},
};
use daemon_parts::{
    channels::{Channels, Incoming},
    clock, http,
    limits::{CALL_LIMIT, DISK_AGAIN, MAILBOX},
    logging::event,
    look::Look,
};
use remote_calls::{
    Fault, OrderAnswer, PlatformDrain, PlatformList, PlatformStart, PlatformStarted, ReplicaOrder,
    ReplicaReport, calls,
};
use tokio::sync::oneshot;

use crate::{
    disk::{Disk, Held},
    face::{ListCall, Pace, Replicas},
};

pub struct ControlActor {
    p: ControlConfig,
    platform: String,
    replicas: Replicas,
    disk: Disk,
    ch: Option<Channels>,
    /// None while the disk fails: nothing is said, taken or confirmed then.
    c: Option<Control>,
    waiting: HashMap<u64, oneshot::Sender<WriteOutcome>>,
    client: Client,
    next_report: Ms,
    /// A list call is under way: one that takes long must not put a later one's answer back.
    listing: bool,
    pace: Rc<Pace>,
    next_open: Ms,
    opening: bool,
    stopping: bool,
    /// When each sync that has not ended began, and how many there were.
    syncing: BTreeMap<u64, Ms>,
    syncs: u64,
    /// Counts the brains: each opening of the disk begins another.
    life: u64,
}

/// Writes a key.
#[derive(Message)]
#[rtype(result = "WriteOutcome")]
pub struct Write {
    pub key: String,
    pub expect: Expect,
    pub value: Vec<u8>,
}

/// Asks for the newest version of a key that any majority has taken.
#[derive(Message)]
#[rtype(result = "WriteOutcome")]
pub struct Newest(pub String);

impl ControlActor {
    pub fn new(p: ControlConfig, platform: String, replicas: Replicas, disk: Disk) -> Self {
        let client = Client::builder().disable_timeout().finish();
        let (waiting, c, ch) = (HashMap::new(), None, None);
        let (next_report, listing, next_open, opening, stopping) = (0, false, 0, false, false);
        let (syncing, syncs, life) = (BTreeMap::new(), 0, 0);
        ControlActor {
            p,
            platform,
            replicas,
            disk,
            ch,
            c,
            waiting,
            client,
            next_report,
            listing,
            pace: Rc::default(),
            next_open,
            opening,
            stopping,
            syncing,
            syncs,
            life,
        }
    }

    /// Carries out what was asked for and awaits its answer.
    fn answer(
        &mut self,
        (token, out): (u64, Effects),
        ctx: &mut Context<Self>,
    ) -> ResponseFuture<WriteOutcome> {
        let (s, r) = oneshot::channel();
        self.waiting.insert(token, s);
        self.carry(out, ctx);
        Box::pin(async move { r.await.unwrap_or(WriteOutcome::Unknown) })
    }

    fn carry(&mut self, effects: Effects, ctx: &mut Context<Self>) {
        for e in effects {
            match e {
                Effect::Send { to, msg } => {
                    if let Some(ch) = &mut self.ch {
                        ch.send(&to, msg);
                    }
                }
                Effect::Persist { rows, then } => self.persist(rows, then, ctx),
                Effect::WriteFinished { token, outcome } => {
                    if let Some(s) = self.waiting.remove(&token) {
                        let _ = s.send(outcome);
                    }
                }
                Effect::Order {
                    service,
                    epoch,
                    until,
                    order,
                } => self.order(service, epoch, until, order, ctx),
                Effect::Log {
                    event: e,
                    peer,
                    text,
                } => event(e, &peer, &text),
            }
        }
    }

    fn persist(&mut self, rows: Vec<coordination::Row>, then: Effects, ctx: &mut Context<Self>) {
        self.syncs += 1;
        let (n, life) = (self.syncs, self.life);
        self.syncing.insert(n, clock::now());
        let f = self
            .disk
            .sync(rows)
            .into_actor(self)
            .map(move |r, me, ctx| {
                me.syncing.remove(&n);
                match r {
                    // What an earlier life waited for is not this one's to say.
                    Ok(()) if me.life == life => me.carry(then, ctx),
                    Ok(()) => {}
                    Err(e) => me.disk_failed(&format!("{e:?}")),
                }
            });
        ctx.spawn(f);
    }

    /// What the disk holds is no longer known: this life ends, and another begins when it can be read.
    fn disk_failed(&mut self, why: &str) {
        if self.c.take().is_some() {
            event(events::DISK_FAILED, &self.p.name, &why.replace('\n', " "));
        }
        // Writes that wait may stand on other disks.
        self.waiting.drain().for_each(|(_, s)| {
            let _ = s.send(WriteOutcome::Unknown);
        });
        self.next_open = clock::now() + DISK_AGAIN;
    }

    fn reopen(&mut self, ctx: &mut Context<Self>) {
        if self.opening || clock::now() < self.next_open {
            return;
        }
        self.opening = true;
        let f = self.disk.open().into_actor(self).map(|r, me, _| {
            me.opening = false;
            match r {
                Ok(held) => me.begin(held),
                Err(e) => {
                    event(
                        events::DISK_FAILED,
                        &me.p.name,
                        &format!("{e:?}").replace('\n', " "),
                    );
                    me.next_open = clock::now() + DISK_AGAIN;
                }
            }
        });
        ctx.spawn(f);
    }

    fn begin(&mut self, (id, blank, rows): Held) {
        if blank {
            event(events::DISK_BLANK, &self.p.name, "");
        } else {
            event(
                events::DISK_RECOVERED,
                &self.p.name,
                &format!("{} rows", rows.len()),
            );
        }
        self.life += 1;
        self.c = Some(Control::new(
            self.p.clone(),
            id,
            rows,
            clock::born(),
            clock::now(),
        ));
    }

    fn order(
        &mut self,
        service: String,
        epoch: u64,
        until: Ms,
        order: Order,
        ctx: &mut Context<Self>,
    ) {
        // The process may have slept between the decision and here.
        if clock::now() >= until {
            event(events::LEASE_EXPIRED, &service, "an order was dropped");
            return;
        }
        let text = format!("{order:?}");
        event(events::REPLICA_ORDER, &service, &text);
        let (c, platform) = (self.client.clone(), self.platform.clone());
        let f = async move {
            let r = match order {
                Order::Replica {
                    addr,
                    action,
                    version,
                    ..
                } => {
                    let b = ReplicaOrder {
                        service: service.clone(),
                        epoch,
                        action,
                        version,
                    };
                    http::call::<_, OrderAnswer>(&c, &addr, calls::ORDER, Some(&b), CALL_LIMIT)
                        .await
                        .map(drop)
                }
                Order::Start { zone, version } => {
                    let b = PlatformStart {
                        service: service.clone(),
                        zone,
                        version,
                        epoch,
                    };
                    http::call::<_, PlatformStarted>(
                        &c,
                        &platform,
                        calls::PLATFORM_START,
                        Some(&b),
                        CALL_LIMIT,
                    )
                    .await
                    .map(drop)
                }
                Order::Drain { id } => {
                    let b = PlatformDrain {
                        service: service.clone(),
                        replica: id,
                        epoch,
                    };
                    http::call::<_, OrderAnswer>(
                        &c,
                        &platform,
                        calls::PLATFORM_DRAIN,
                        Some(&b),
                        CALL_LIMIT,
                    )
                    .await
                    .map(drop)
                }
            };
            if let Err(e) = r {
                event(
                    events::REPLICA_ORDER_FAILED,
                    &service,
                    &format!("{text}: {e}"),
                );
            }
        };
        ctx.spawn(f.into_actor(self));
    }

    /// Asks the platform and the replicas while a duty is held here.
    fn ask_back_ends(&mut self, now: Ms, ctx: &mut Context<Self>) {
        let Some(brain) = &self.c else { return };
        if now < self.next_report || !brain.holds_any_role(now) {
            return;
        }
        if let Replicas::Listed {
            call,
            every,
            calm,
            rate,
        } = self.replicas
        {
            // Calls are priced, and most of the time the list stays as it is.
            let every = if brain.is_list_stable(now) {
                calm
            } else {
                every
            };
            self.pace.set_rate(brain.call_rate_share(rate));
            return self.ask_list(call, now, every, ctx);
        }
        self.next_report = now + REPORT_INTERVAL;
        let (c, a) = (self.client.clone(), self.platform.clone());
        let f = async move {
            http::call::<(), PlatformList>(&c, &a, calls::PLATFORM_LIST, None, CALL_LIMIT).await
        };
        ctx.spawn(f.into_actor(self).map(move |r, me, _| {
            if let (Ok(l), Some(c)) = (r, &mut me.c) {
                c.on_replica_list(l, now);
            }
        }));
        for (_, addr) in brain.replicas_to_poll() {
            let c = self.client.clone();
            let f = async move {
                http::call::<(), ReplicaReport>(&c, &addr, calls::REPORT, None, CALL_LIMIT).await
            };
            ctx.spawn(f.into_actor(self).map(move |r, me, _| {
                if let (Ok(r), Some(c)) = (r, &mut me.c) {
                    // Stamped with the asking: an answer that took long is old.
                    c.on_report(r, now);
                }
            }));
        }
    }

    /// Asks for a list that tells everything; one that fails changes nothing.
    fn ask_list(&mut self, call: ListCall, now: Ms, every: Duration, ctx: &mut Context<Self>) {
        if self.listing {
            return;
        }
        (self.listing, self.next_report) = (true, now + every.as_millis() as Ms);
        let f = call(
            self.client.clone(),
            self.platform.clone(),
            self.pace.clone(),
        )
        .into_actor(self)
        .map(move |r, me, _| {
            me.listing = false;
            match (r, &mut me.c) {
                (Ok(l), Some(c)) => c.on_replica_list(l, now),
                (Err(e), _) => event(events::REPLICA_LIST_FAILED, &me.platform, &e.to_string()),
                _ => {}
            }
        });
        ctx.spawn(f);
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = clock::now();
        let Some(c) = &mut self.c else {
            return self.reopen(ctx);
        };
        c.stopping = self.stopping;
        // A disk that hangs says nothing; others must not wait for it, and take over what is owned here.
        let ok = self
            .syncing
            .values()
            .next()
            .is_none_or(|t| now.saturating_sub(*t) <= DISK_SYNC_TIMEOUT);
        if c.disk_healthy != ok {
            c.disk_healthy = ok;
            let e = if ok {
                events::DISK_RECOVERED
            } else {
                events::DISK_FAILED
            };
            event(
                e,
                &self.p.name,
                if ok {
                    "it syncs again"
                } else {
                    "a sync takes too long"
                },
            );
        }
        let mut out = c.tick(now);
        out.extend(c.run_rollouts(now, clock::wall_s()));
        self.carry(out, ctx);
        self.ask_back_ends(now, ctx);
    }
}

impl Actor for ControlActor {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX);
        self.ch = Some(Channels::new(
            &self.p.name,
            &self.p.addr,
            ctx.address().recipient(),
        ));
        self.reopen(ctx);
        ctx.run_interval(Duration::from_millis(TICK_INTERVAL), |me, ctx| me.tick(ctx));
    }
}

impl Handler<Incoming> for ControlActor {
    type Result = ();
    fn handle(&mut self, m: Incoming, ctx: &mut Self::Context) {
        let Some(c) = &mut self.c else { return };
        let out = c.on_message(&m.0.from, &m.0.addr, m.0.msg, clock::now());
        self.carry(out, ctx);
    }
}

impl Handler<Write> for ControlActor {
    type Result = ResponseFuture<WriteOutcome>;
    fn handle(&mut self, m: Write, ctx: &mut Self::Context) -> Self::Result {
        let Some(c) = &mut self.c else {
            return Box::pin(async {
                WriteOutcome::NotAccepted("this daemon's disk does not work")
            });
        };
        let asked = c.write(&m.key, m.expect, m.value, clock::now());
        self.answer(asked, ctx)
    }
}

impl Handler<Newest> for ControlActor {
    type Result = ResponseFuture<WriteOutcome>;
    fn handle(&mut self, m: Newest, ctx: &mut Self::Context) -> Self::Result {
        let Some(c) = &mut self.c else {
            return Box::pin(async {
                WriteOutcome::NotAccepted("this daemon's disk does not work")
            });
        };
        let asked = c.read_newest(&m.0, clock::now());
        self.answer(asked, ctx)
    }
}

impl<T: Send + 'static> Handler<Look<Control, T>> for ControlActor {
    type Result = Result<T, ()>;
    fn handle(&mut self, m: Look<Control, T>, _: &mut Self::Context) -> Self::Result {
        let now = clock::now();
        self.c.as_mut().map(|c| (m.0)(c, now)).ok_or(())
    }
}

/// The process will stop: duties and keys go to others first.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Stopping;
impl Handler<Stopping> for ControlActor {
    type Result = ();
    fn handle(&mut self, _: Stopping, ctx: &mut Self::Context) {
        self.stopping = true;
        let n = log_event(events::STOPPING, &self.p.name, "duties are handed over");
        self.carry(vec![n], ctx);
        self.tick(ctx);
    }
}

/// Why the brain could not be looked at.
pub fn no_disk() -> Fault {
    Fault::new(
        "disk_failed",
        "look",
        "this daemon's disk does not take writes",
    )
    .retry(DISK_AGAIN)
}
