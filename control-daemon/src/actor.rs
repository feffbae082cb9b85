//! Actor that owns a control daemon's state machine, processes its mailbox and executes its effects.

use std::{collections::HashMap, time::Duration};

use actix::prelude::*;
use awc::Client;
use coordination::{
    Effects, NotAcceptedReason, WriteOutcome,
    control::{Control, ControlConfig},
    effect::log_event,
    events,
    register::Expect,
    timing::TICK_INTERVAL,
};
use daemon_parts::{
    channels::{Channels, Incoming},
    clock,
    inspect::Inspect,
    limits::{DISK_RETRY_INTERVAL, MAILBOX_CAPACITY},
};
use remote_calls::Fault;
use tokio::sync::oneshot;

mod effects;
mod lifecycle;
mod orders;
mod platform_calls;
mod polling;

use lifecycle::Lifecycle;
use platform_calls::RoleCaller;
use polling::ReplicaPolling;

use crate::{
    disk::Disk,
    platform_adapter::{ReplicaSource, RoleCalls},
};

/// Owns a control daemon's state machine.
pub struct ControlActor {
    config: ControlConfig,
    /// None while the disk fails: then the daemon sends nothing and accepts and confirms no writes.
    control: Option<Control>,
    lifecycle: Lifecycle,
    disk: Disk,
    /// None before the actor starts.
    channels: Option<Channels>,
    client: Client,
    platform_addr: String,
    polling: ReplicaPolling,
    role_caller: RoleCaller,
    /// Callers waiting for a write or a read, by token.
    pending_calls: HashMap<u64, oneshot::Sender<WriteOutcome>>,
    is_stopping: bool,
}

/// Writes a key.
#[derive(Message)]
#[rtype(result = "WriteOutcome")]
pub struct WriteKey {
    /// The key.
    pub key: String,
    /// The precondition of the write.
    pub expect: Expect,
    /// The new value, encoded as stored.
    pub value: Vec<u8>,
}

/// Requests the newest version of a key that any majority has accepted.
#[derive(Message)]
#[rtype(result = "WriteOutcome")]
pub struct ReadNewest(pub String);

/// Announces that the process will stop, so that leases and keys are handed over first.
#[derive(Message)]
#[rtype(result = "()")]
pub struct BeginShutdown;

impl ControlActor {
    /// Creates an actor that opens the disk when it starts.
    pub fn new(
        config: ControlConfig,
        platform_addr: String,
        replica_source: ReplicaSource,
        role_calls: Option<RoleCalls>,
        disk: Disk,
    ) -> Self {
        ControlActor {
            config,
            control: None,
            lifecycle: Lifecycle::default(),
            disk,
            channels: None,
            client: Client::builder().disable_timeout().finish(),
            platform_addr,
            polling: ReplicaPolling::new(replica_source),
            role_caller: RoleCaller::new(role_calls),
            pending_calls: HashMap::new(),
            is_stopping: false,
        }
    }

    /// Starts a call on the state machine and awaits its outcome.
    fn call(
        &mut self,
        start: impl FnOnce(&mut Control) -> (u64, Effects),
        ctx: &mut Context<Self>,
    ) -> ResponseFuture<WriteOutcome> {
        let Some(control) = &mut self.control else {
            return Box::pin(async { WriteOutcome::NotAccepted(NotAcceptedReason::DiskFailed) });
        };
        let (token, effects) = start(control);
        let (sender, outcome) = oneshot::channel();
        self.pending_calls.insert(token, sender);
        self.execute(effects, ctx);
        Box::pin(async move { outcome.await.unwrap_or(WriteOutcome::Unknown) })
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = clock::now();
        let Some(control) = &mut self.control else {
            return self.reopen(ctx);
        };
        control.stopping = self.is_stopping;
        control.observe_wall_clock(now, clock::wall_ms());
        self.lifecycle.check_syncs(control, &self.config.name, now);
        let mut effects = control.tick(now);
        effects.extend(control.run_rollouts(now, clock::wall_s()));
        if let Some(wall_ms) = control.wall_ms(now) {
            effects.extend(control.run_platform_roles(now, wall_ms));
        }
        self.execute(effects, ctx);
        self.poll_replicas(now, ctx);
    }
}

impl Actor for ControlActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
        self.channels = Some(Channels::new(
            &self.config.name,
            &self.config.addr,
            ctx.address().recipient(),
        ));
        self.reopen(ctx);
        ctx.run_interval(Duration::from_millis(TICK_INTERVAL), |actor, ctx| {
            actor.tick(ctx);
        });
    }
}

impl Handler<Incoming> for ControlActor {
    type Result = ();

    fn handle(&mut self, Incoming(frame): Incoming, ctx: &mut Self::Context) {
        let Some(control) = &mut self.control else {
            return;
        };
        let effects = control.on_message(&frame.from, &frame.addr, frame.msg, clock::now());
        self.execute(effects, ctx);
    }
}

impl Handler<WriteKey> for ControlActor {
    type Result = ResponseFuture<WriteOutcome>;

    fn handle(&mut self, write: WriteKey, ctx: &mut Self::Context) -> Self::Result {
        let WriteKey { key, expect, value } = write;
        self.call(
            |control| control.write(&key, expect, value, clock::now()),
            ctx,
        )
    }
}

impl Handler<ReadNewest> for ControlActor {
    type Result = ResponseFuture<WriteOutcome>;

    fn handle(&mut self, ReadNewest(key): ReadNewest, ctx: &mut Self::Context) -> Self::Result {
        self.call(|control| control.read_newest(&key, clock::now()), ctx)
    }
}

impl<T: Send + 'static> Handler<Inspect<Control, T>> for ControlActor {
    type Result = Result<T, ()>;

    fn handle(
        &mut self,
        Inspect(access): Inspect<Control, T>,
        _: &mut Self::Context,
    ) -> Self::Result {
        let now = clock::now();
        self.control
            .as_mut()
            .map(|control| access(control, now))
            .ok_or(())
    }
}

impl Handler<BeginShutdown> for ControlActor {
    type Result = ();

    fn handle(&mut self, _: BeginShutdown, ctx: &mut Self::Context) {
        self.is_stopping = true;
        let notice = log_event(
            events::STOPPING,
            &self.config.name,
            "handing over roles and keys",
        );
        self.execute(vec![notice], ctx);
        self.tick(ctx);
    }
}

/// Returns the fault for calls that arrive while the disk fails.
pub fn disk_failed_fault() -> Fault {
    Fault::new(
        "disk_failed",
        "look",
        "this daemon's disk does not accept writes",
    )
    .retry(DISK_RETRY_INTERVAL)
}
