//! The runtime of an edge agent: feeds messages and timer ticks to its state machine and executes
//! the effects.

mod actor;

use actix::prelude::{Actor, Addr};
use coordination::{edge_agent::EdgeAgent, events};
use daemon_parts::{
    channels, clock,
    inspect::Inspect,
    limits::{AGENT_STOP_MARGIN, PROXY_STOP_CHECK_INTERVAL},
    logging::{self, StartError, event},
    params::Params,
    stop::StopSignals,
};
use error_stack::Report;
use wire_messages::Node;

use crate::actor::AgentActor;

/// Runs an edge agent until the process receives a stop signal.
///
/// # Errors
/// Returns an error if logging, the signal handlers or the listener cannot be started.
pub async fn run(params: Params) -> Result<(), Report<StartError>> {
    let _log = logging::start(&params.log)?;
    let agent = new_agent(&params);
    let mut signals = StopSignals::listen()?;
    let actor = AgentActor::new(params.name.clone(), params.listen.clone(), agent).start();
    channels::listen(
        &params.bind,
        params.process_limits(),
        actor.clone().recipient(),
    )
    .await?;
    let text = format!("processes {}", params.listen);
    event(events::STARTED, &params.name, &text);
    signals.received(&params.name).await;
    wait_for_proxy(&actor, &params).await;
    event(events::STOPPED, &params.name, "");
    Ok(())
}

/// Creates the state machine of a new incarnation.
fn new_agent(params: &Params) -> EdgeAgent {
    let incarnation = clock::new_incarnation();
    let me = Node {
        name: params.name.as_str().into(),
        zone: params.zone.as_str().into(),
        addr: params.listen.as_str().into(),
        incarnation,
        ..Node::default()
    };
    let seeds = params
        .seeds
        .iter()
        .map(|seed| seed.as_str().into())
        .collect();
    let mut agent = EdgeAgent::new(me, seeds, incarnation, clock::now());
    agent.set_serve_when_partitioned(params.serve_on);
    agent.set_regions(params.regions.clone());
    agent
}

/// Waits while the proxy drains, up to the grace period: a proxy that is stopping too still serves
/// incoming requests and needs this agent's rule and updates.
async fn wait_for_proxy(actor: &Addr<AgentActor>, params: &Params) {
    let deadline = clock::now() + params.bounds.grace.saturating_sub(AGENT_STOP_MARGIN);
    tokio::time::sleep(PROXY_STOP_CHECK_INTERVAL).await;
    while clock::now() < deadline {
        let is_draining = Inspect(Box::new(|actor: &mut AgentActor, now| {
            actor.agent().proxy_is_draining(now)
        }));
        if !matches!(actor.send(is_draining).await, Ok(Ok(true))) {
            break;
        }
        tokio::time::sleep(PROXY_STOP_CHECK_INTERVAL).await;
    }
}
