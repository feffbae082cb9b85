//! Helpers for tests of edge agents that build nodes and messages and read effects.

use coordination::{
    Effect, Ms,
    edge_agent::EdgeAgent,
    membership::NodeRole,
    wire::{Blob, Change, List, Message, Name, Node, Shuffle},
};

/// Returns a node in the zone `z` that has `name` as its name and address.
pub fn node(name: &str, role: NodeRole) -> Node {
    Node {
        name: name.into(),
        addr: name.into(),
        role: role.to_byte(),
        zone: "z".into(),
        http_addr: "h".into(),
        incarnation: 1,
        heartbeat: 1,
        heartbeat_age: 0,
    }
}

/// Returns a change to a committed value of `bytes` bytes.
pub fn change(key: &str, version: u64, bytes: usize) -> Change {
    Change {
        key: key.into(),
        epoch: 1,
        version,
        value: Blob(vec![7; bytes]),
    }
}

/// Returns the second message of a shuffle, which describes `nodes`.
pub fn descriptions(nodes: impl IntoIterator<Item = Node>) -> Message {
    Shuffle {
        nodes: List(nodes.into_iter().collect()),
        step: 1,
        ..Shuffle::default()
    }
    .into()
}

/// Delivers a message from a process whose address equals its name.
pub fn deliver(
    agent: &mut EdgeAgent,
    from: &str,
    message: impl Into<Message>,
    now: Ms,
) -> Vec<Effect> {
    agent.on_message(&from.into(), &from.into(), message.into(), now)
}

/// Returns the messages among the effects, with their receivers.
pub fn sends(effects: Vec<Effect>) -> Vec<(Name, Message)> {
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Send { to, msg } => Some((to, msg)),
            _ => None,
        })
        .collect()
}
