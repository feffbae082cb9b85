//! The actor that owns the agent's state machine.

use std::time::Duration;

use actix::{
    Recipient,
    prelude::{Actor, AsyncContext, Context, Handler},
};
use coordination::{Effect, Effects, edge_agent::EdgeAgent, timing::TICK_INTERVAL};
use daemon_parts::{
    channels::{Channels, Incoming},
    clock,
    inspect::Inspect,
    limits::MAILBOX_CAPACITY,
    logging::event,
};

/// Owns the state machine, sends and receives its messages and executes its effects. The channels to
/// other processes are opened when the actor starts.
pub(crate) struct AgentActor {
    name: String,
    listen_addr: String,
    agent: EdgeAgent,
    channels: Option<Channels>,
}

impl AgentActor {
    /// Creates an actor whose messages carry `listen_addr` as the reply address.
    pub fn new(name: String, listen_addr: String, agent: EdgeAgent) -> Self {
        AgentActor {
            name,
            listen_addr,
            agent,
            channels: None,
        }
    }

    /// Returns the state machine.
    pub fn agent(&self) -> &EdgeAgent {
        &self.agent
    }

    fn tick(&mut self) {
        let effects = self.agent.tick(clock::now());
        self.execute(effects);
    }

    fn execute(&mut self, effects: Effects) {
        for effect in effects {
            match effect {
                Effect::Send { to, msg } => {
                    if let Some(channels) = &mut self.channels {
                        channels.send(&to, msg);
                    }
                }
                Effect::Log {
                    event: kind,
                    peer,
                    text,
                } => event(kind, &peer, &text),
                // An agent stores nothing on disk and holds no singleton role.
                Effect::Persist { .. }
                | Effect::WriteFinished { .. }
                | Effect::Order { .. }
                | Effect::PlatformCall(_) => {}
            }
        }
    }
}

impl Actor for AgentActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(MAILBOX_CAPACITY);
        let inbox: Recipient<Incoming> = context.address().recipient();
        self.channels = Some(Channels::new(&self.name, &self.listen_addr, inbox));
        let tick_interval = Duration::from_millis(TICK_INTERVAL);
        context.run_interval(tick_interval, |actor, _| actor.tick());
    }
}

impl Handler<Incoming> for AgentActor {
    type Result = ();

    fn handle(&mut self, incoming: Incoming, _: &mut Self::Context) {
        let envelope = incoming.0;
        let effects =
            self.agent
                .on_message(&envelope.from, &envelope.addr, envelope.msg, clock::now());
        self.execute(effects);
    }
}

impl<T: Send + 'static> Handler<Inspect<Self, T>> for AgentActor {
    type Result = Result<T, ()>;

    fn handle(&mut self, look: Inspect<Self, T>, _: &mut Self::Context) -> Self::Result {
        Ok((look.0)(self, clock::now()))
    }
}
