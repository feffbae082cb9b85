//! The edge agent: knows the fleet, follows the control daemons, feeds the proxy beside it.

use std::time::Duration;

use actix::prelude::*;
use coordination::{Effect, Effects, agent::Agent, events, limits::TICK};
use daemon_parts::{
    channels::{self, Channels, Incoming},
    clock,
    limits::MAILBOX,
    logging::{self, StartFault, event},
    params::Params,
    stop,
};
use error_stack::Report;
use wire_messages::Node;

/// The one owner of the agent's brain.
struct AgentActor {
    name: String,
    listen: String,
    brain: Agent,
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
                Effect::Note { event: e, peer, text } => event(e, &peer, &text),
                // An agent keeps nothing on disk and holds no duty.
                Effect::Persist { .. } | Effect::Answer { .. } | Effect::Order { .. } => {}
            }
        }
    }
}

impl Actor for AgentActor {
    type Context = Context<Self>;
    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX);
        self.ch = Some(Channels::new(&self.name, &self.listen, ctx.address().recipient()));
        ctx.run_interval(Duration::from_millis(TICK), |me, _| {
            let out = me.brain.tick(clock::now());
            me.carry(out);
        });
    }
}

impl Handler<Incoming> for AgentActor {
    type Result = ();
    fn handle(&mut self, m: Incoming, _: &mut Self::Context) {
        let out = self.brain.on_msg(&m.0.from, &m.0.addr, m.0.msg, clock::now());
        self.carry(out);
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
        born,
        ..Node::default()
    };
    let seeds = p.seeds.iter().map(|s| s.as_str().into()).collect();
    let brain = Agent::new(me, seeds, born, clock::now());
    let a = AgentActor { name: p.name.clone(), listen: p.listen.clone(), brain, ch: None }.start();
    channels::listen(&p.bind, a.recipient()).await?;
    event(events::STARTED, &p.name, &format!("processes {}", p.listen));
    stop::asked(&p.name).await;
    event(events::STOPPED, &p.name, "");
    Ok(())
}
