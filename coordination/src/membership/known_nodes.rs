//! The other nodes that a node knows, and which of them count as alive: the failure detector.

use std::collections::BTreeMap;

use wire_messages::{Name, Node, NodeHeartbeat};
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64};

use crate::{
    Effects, Ms,
    effect::log_event,
    events,
    timing::{NODE_RETENTION, NODE_TIMEOUT},
};

/// For each node of which a recent heartbeat came. Heartbeats come round by samples of a fixed
/// size, so that those of one node get rarer as the fleet grows: from 12 nodes on they are given
/// more time, or live nodes would count as unreachable.
pub const NODE_TIMEOUT_PER_NODE: Ms = 170;
/// Unit of a heartbeat's age on the wire.
const HEARTBEAT_AGE_UNIT: Ms = 10;

/// Another node as this one knows it.
#[derive(Clone, Debug)]
pub(super) struct KnownNode {
    pub node: Node,
    /// Digest of its description.
    pub digest: u32,
    /// When its newest heartbeat was made, by this node's clock.
    heartbeat_at: Ms,
    pub is_live: bool,
}

impl KnownNode {
    /// Ms since it made the newest heartbeat that this node received.
    pub fn time_since_heartbeat(&self, now: Ms) -> Ms {
        now.saturating_sub(self.heartbeat_at)
    }

    /// Its newest heartbeat as it is passed on.
    pub fn heartbeat(&self, now: Ms) -> NodeHeartbeat {
        NodeHeartbeat {
            node_digest: self.digest,
            heartbeat: self.node.heartbeat,
            heartbeat_age: self.heartbeat_age(now),
        }
    }

    /// Its description as it is passed on.
    pub fn description(&self, now: Ms) -> Node {
        Node {
            heartbeat_age: self.heartbeat_age(now),
            ..self.node.clone()
        }
    }

    /// Rounded up, so that a heartbeat never gets younger on its way.
    fn heartbeat_age(&self, now: Ms) -> u16 {
        let age = self.time_since_heartbeat(now).div_ceil(HEARTBEAT_AGE_UNIT);
        u16::try_from(age).unwrap_or(u16::MAX)
    }

    /// Whether what is known is at least as new as a description. A later incarnation supersedes an
    /// earlier one's heartbeats; within an incarnation only a risen heartbeat is new. An
    /// incarnation that seems earlier counts only once the later one is unreachable: a machine's
    /// clock was set back.
    fn supersedes(&self, description: &Node, heartbeat_at: Ms) -> bool {
        let known = (self.node.incarnation, self.node.heartbeat);
        let clock_was_set_back = description.incarnation < self.node.incarnation
            && !self.is_live
            && heartbeat_at > self.heartbeat_at;
        (description.incarnation, description.heartbeat) <= known && !clock_was_set_back
    }
}

/// Digest of a node's description without its heartbeat: whoever has the description needs only
/// heartbeats.
pub(super) fn description_digest(node: &Node) -> u32 {
    let mut hasher = Xxh3Default::new();
    for text in [&node.name, &node.zone, &node.addr, &node.http_addr] {
        hasher.update(text.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(&[node.role]);
    hasher.update(&node.incarnation.to_be_bytes());
    hasher.digest() as u32
}

/// Digest of a node's name.
pub fn name_digest(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// When a heartbeat was made that had that age when it was sent.
fn heartbeat_time(age: u16, sent_at: Ms) -> Ms {
    sent_at.saturating_sub(Ms::from(age) * HEARTBEAT_AGE_UNIT)
}

/// All nodes but this one.
#[derive(Clone, Debug)]
pub(super) struct KnownNodes {
    own_name: Name,
    by_name: BTreeMap<Name, KnownNode>,
    /// Descriptions that were received, also former ones of known nodes and this node's own.
    names_by_digest: BTreeMap<u32, Name>,
}

impl KnownNodes {
    pub fn new(own_name: Name) -> Self {
        KnownNodes {
            own_name,
            by_name: BTreeMap::new(),
            names_by_digest: BTreeMap::new(),
        }
    }

    pub fn get(&self, name: &str) -> Option<&KnownNode> {
        self.by_name.get(name)
    }

    pub fn count(&self) -> usize {
        self.by_name.len()
    }

    pub fn all(&self) -> impl Iterator<Item = &KnownNode> {
        self.by_name.values()
    }

    pub fn live(&self) -> impl Iterator<Item = &KnownNode> {
        self.all().filter(|known| known.is_live)
    }

    /// The node whose present description has this digest.
    pub fn described_by(&self, digest: u32) -> Option<&KnownNode> {
        let known = self.by_name.get(self.names_by_digest.get(&digest)?)?;
        (known.digest == digest).then_some(known)
    }

    /// Makes heartbeats of this node's own description known ones.
    pub fn set_own_digest(&mut self, digest: u32) {
        self.names_by_digest.insert(digest, self.own_name.clone());
    }

    /// How long a node may go unheard before it counts as unreachable. Heartbeats come round by
    /// samples of a fixed size, so that a large fleet gives them more time; nodes that are long
    /// gone are no part of it.
    pub fn failure_timeout(&self, now: Ms) -> Ms {
        let timeout =
            |node_count: usize| NODE_TIMEOUT.max(NODE_TIMEOUT_PER_NODE * node_count as Ms);
        let longest = timeout(self.count());
        let recent = self
            .all()
            .filter(|known| known.time_since_heartbeat(now) <= longest);
        timeout(recent.count())
    }

    /// Marks nodes that were not heard from in time as unreachable, and forgets those that are long
    /// gone.
    pub fn expire(&mut self, failure_timeout: Ms, now: Ms, out: &mut Effects) {
        for known in self.by_name.values_mut() {
            if known.is_live && known.time_since_heartbeat(now) > failure_timeout {
                known.is_live = false;
                out.push(log_event(events::NODE_UNREACHABLE, &known.node.name, ""));
            }
        }
        self.by_name
            .retain(|_, known| known.time_since_heartbeat(now) < NODE_RETENTION);
        let (by_name, own_name) = (&self.by_name, &self.own_name);
        self.names_by_digest
            .retain(|_, name| by_name.contains_key(name) || name == own_name);
    }

    /// Takes a node's description if it is newer than the known one. `sent_at`: the earliest time at which it may have
    /// been sent.
    pub fn merge_description(&mut self, node: &Node, sent_at: Ms, now: Ms, out: &mut Effects) {
        if node.name == self.own_name {
            return;
        }
        let heartbeat_at = heartbeat_time(node.heartbeat_age, sent_at);
        let former = self.by_name.get(&node.name);
        if former.is_some_and(|known| known.supersedes(node, heartbeat_at)) {
            return;
        }
        let is_new = former.is_none();
        let known = KnownNode {
            node: node.clone(),
            digest: description_digest(node),
            heartbeat_at,
            is_live: former.is_some_and(|known| known.is_live),
        };
        self.names_by_digest.insert(known.digest, node.name.clone());
        self.by_name.insert(node.name.clone(), known);
        self.revive(&node.name, is_new, now, out);
    }

    /// Takes a heartbeat; false if it is of a description that this node lacks. `sent_at`: the earliest time at which it may
    /// have been sent.
    pub fn merge_heartbeat(
        &mut self,
        heartbeat: &NodeHeartbeat,
        sent_at: Ms,
        now: Ms,
        out: &mut Effects,
    ) -> bool {
        let Some(name) = self.names_by_digest.get(&heartbeat.node_digest).cloned() else {
            return false;
        };
        let Some(known) = self.by_name.get_mut(&name) else {
            return name == self.own_name;
        };
        if heartbeat.heartbeat <= known.node.heartbeat {
            return true;
        }
        if known.digest != heartbeat.node_digest {
            return false;
        }
        known.node.heartbeat = heartbeat.heartbeat;
        known.heartbeat_at = heartbeat_time(heartbeat.heartbeat_age, sent_at);
        self.revive(&name, false, now, out);
        true
    }

    /// A heartbeat that is young enough makes its node live.
    fn revive(&mut self, name: &Name, is_new: bool, now: Ms, out: &mut Effects) {
        if self.by_name.get(name).is_none_or(|known| known.is_live) {
            return;
        }
        let failure_timeout = self.failure_timeout(now);
        let Some(known) = self.by_name.get_mut(name) else {
            return;
        };
        if known.time_since_heartbeat(now) <= failure_timeout {
            known.is_live = true;
            let text = if is_new {
                known.node.addr.to_string()
            } else {
                "came back".into()
            };
            out.push(log_event(events::NODE_REACHABLE, name, text));
        }
    }
}
