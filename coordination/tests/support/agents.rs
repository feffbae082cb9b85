//! Nodes, messages and effects as tests of edge agents write and read them.

use coordination::{
    Effect, Ms,
    edge_agent::EdgeAgent,
    membership::NodeRole,
    wire::{Blob, Change, List, Message, Name, Node, Shuffle},
};

/// A node in the zone `z` with this name, which is its address too.
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

/// A committed value of so many bytes.
pub fn change(key: &str, version: u64, bytes: usize) -> Change {
    Change {
        key: key.into(),
        epoch: 1,
        version,
        value: Blob(vec![7; bytes]),
    }
}

/// The second message of a shuffle, which describes these nodes.
pub fn descriptions(nodes: impl IntoIterator<Item = Node>) -> Message {
    Shuffle {
        nodes: List(nodes.into_iter().collect()),
        step: 1,
        ..Shuffle::default()
    }
    .into()
}

/// Delivers a message of a process whose name is its address.
pub fn deliver(
    agent: &mut EdgeAgent,
    from: &str,
    message: impl Into<Message>,
    now: Ms,
) -> Vec<Effect> {
    agent.on_message(&from.into(), &from.into(), message.into(), now)
}

/// The messages among the effects, with their receivers.
pub fn sends(effects: Vec<Effect>) -> Vec<(Name, Message)> {
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Send { to, msg } => Some((to, msg)),
            _ => None,
        })
        .collect()
}
