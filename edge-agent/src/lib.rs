//! The edge agent: knows the fleet, follows the control daemons, feeds the proxy beside it.

use std::time::Duration;

use actix::prelude::*;
use coordination::{Effect, Effects, edge_agent::EdgeAgent, events, timing::TICK_INTERVAL};
use daemon_parts::{
    channels::{self, Channels, Incoming},
    clock,
    limits::{AGENT_LAST, FAREWELL, MAILBOX},
    logging::{self, StartFault, event},
    look::Look,
    params::Params,
    stop::StopSignals,
};
use error_stack::Report;
use wire_messages::Node;

/// The one owner of the agent's brain.
struct AgentActor {
    name: String,
    listen: String,
    brain: EdgeAgent,
    ch: Option<Channels>,
}

impl AgentActor {
    fn carry(&mut self, effects: Effects) {
        for e in effects {
            match e {
                Effect::Send { to, msg } => {
                    if let Some(ch) = &mut self.ch {
                        ch.send(&to, msg);
                    }
                }
                Effect::Log {
                    event: e,
                    peer,
                    text,
                } => event(e, &peer, &text),
                // An agent keeps nothing on disk and holds no duty.
                Effect::Persist { .. } | Effect::WriteFinished { .. } | Effect::Order { .. } => {}
            }
        }
    }
}

impl Actor for AgentActor {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX);
        self.ch = Some(Channels::new(
            &self.name,
            &self.listen,
            ctx.address().recipient(),
        ));
        ctx.run_interval(Duration::from_millis(TICK_INTERVAL), |me, _| {
            let out = me.brain.tick(clock::now());
            me.carry(out);
        });
    }
}

impl Handler<Incoming> for AgentActor {
    type Result = ();
    fn handle(&mut self, m: Incoming, _: &mut Self::Context) {
        let out = self
            .brain
            .on_message(&m.0.from, &m.0.addr, m.0.msg, clock::now());
        self.carry(out);
    }
}

impl<T: Send + 'static> Handler<Look<Self, T>> for AgentActor {
    type Result = Result<T, ()>;
    fn handle(&mut self, m: Look<Self, T>, _: &mut Self::Context) -> Self::Result {
        Ok((m.0)(self, clock::now()))
    }
}

/// Runs until the process is asked to stop.
pub async fn run(p: Params) -> Result<(), Report<StartFault>> {
    let _log = logging::start(&p.log)?;
    let born = clock::born();
    let me = Node {
        name: p.name.as_str().into(),
        zone: p.zone.as_str().into(),
        addr: p.listen.as_str().into(),
        incarnation: born,
        ..Node::default()
    };
    let seeds = p.seeds.iter().map(|s| s.as_str().into()).collect();
    let mut brain = EdgeAgent::new(me, seeds, born, clock::now());
    brain.set_serve_when_partitioned(p.serve_on);
    brain.set_regions(p.regions.clone());
    let mut signals = StopSignals::listen()?;
    let a = AgentActor {
        name: p.name.clone(),
        listen: p.listen.clone(),
        brain,
        ch: None,
    }
    .start();
    channels::listen(&p.bind, a.clone().recipient()).await?;
    event(events::STARTED, &p.name, &format!("processes {}", p.listen));
    signals.asked(&p.name).await;
    // A proxy that was asked to stop as well still serves what comes, by this agent's rule and news.
    let last = clock::now() + p.bounds.grace.saturating_sub(AGENT_LAST);
    tokio::time::sleep(FAREWELL).await;
    while clock::now() < last {
        let goes = a
            .send(Look(Box::new(|a: &mut AgentActor, now| {
                a.brain.proxy_is_draining(now)
            })))
            .await;
        if !matches!(goes, Ok(Ok(true))) {
            break;
        }
        tokio::time::sleep(FAREWELL).await;
    }
    event(events::STOPPED, &p.name, "");
    Ok(())
}
