//! The failure detector: the other nodes that a node knows, and which of them are live.

use std::collections::BTreeMap;

use wire_messages::{Name, Node, NodeHeartbeat};
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64};

use crate::{
    Effects, Ms,
    effect::log_event,
    events,
    timing::{NODE_RETENTION, NODE_TIMEOUT},
};

/// Failure timeout per node with a recent heartbeat, in ms. Shuffles carry heartbeat samples of a
/// fixed size, so that those of one node become rarer as the fleet grows: from 12 nodes on the
/// timeout increases, or live nodes would be marked as unreachable.
pub const NODE_TIMEOUT_PER_NODE: Ms = 170;
/// Unit of a heartbeat's age on the wire, in ms.
const HEARTBEAT_AGE_UNIT: Ms = 10;

/// Last known state of another node.
#[derive(Clone, Debug)]
pub(super) struct KnownNode {
    pub node: Node,
    /// Digest of its description.
    pub digest: u32,
    /// When its newest heartbeat was created, by this node's clock.
    heartbeat_at: Ms,
    pub is_live: bool,
}

impl KnownNode {
    /// Returns the time since the node created its newest received heartbeat, in ms.
    pub fn time_since_heartbeat(&self, now: Ms) -> Ms {
        now.saturating_sub(self.heartbeat_at)
    }

    /// Returns its newest heartbeat with the current age, to be relayed.
    pub fn heartbeat(&self, now: Ms) -> NodeHeartbeat {
        NodeHeartbeat {
            node_digest: self.digest,
            heartbeat: self.node.heartbeat,
            heartbeat_age: self.heartbeat_age(now),
        }
    }

    /// Returns its description with the current heartbeat age, to be relayed.
    pub fn description(&self, now: Ms) -> Node {
        Node {
            heartbeat_age: self.heartbeat_age(now),
            ..self.node.clone()
        }
    }

    /// Returns the heartbeat's age for the wire, rounded up so that relaying never makes it newer.
    fn heartbeat_age(&self, now: Ms) -> u16 {
        let age = self.time_since_heartbeat(now).div_ceil(HEARTBEAT_AGE_UNIT);
        u16::try_from(age).unwrap_or(u16::MAX)
    }

    /// Whether the known state is at least as new as a description. A later incarnation supersedes
    /// the heartbeats of an earlier one; within an incarnation only a higher heartbeat is newer. An
    /// apparently earlier incarnation is accepted only once the later one is unreachable: the
    /// machine's clock was set back.
    fn supersedes(&self, description: &Node, heartbeat_at: Ms) -> bool {
        let known = (self.node.incarnation, self.node.heartbeat);
        let clock_was_set_back = description.incarnation < self.node.incarnation
            && !self.is_live
            && heartbeat_at > self.heartbeat_at;
        (description.incarnation, description.heartbeat) <= known && !clock_was_set_back
    }
}

/// Returns the digest of a node's description without its heartbeat, by which heartbeats refer to a
/// description that the receiver already has.
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

/// Returns the digest of a node's name.
pub fn name_digest(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Returns the creation time of a heartbeat that had the given age when it was sent.
fn heartbeat_time(age: u16, sent_at: Ms) -> Ms {
    sent_at.saturating_sub(Ms::from(age) * HEARTBEAT_AGE_UNIT)
}

/// All known nodes except this one.
#[derive(Clone, Debug)]
pub(super) struct KnownNodes {
    own_name: Name,
    by_name: BTreeMap<Name, KnownNode>,
    /// Names by digests of received descriptions, including former ones of known nodes and this
    /// node's own.
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

    /// Returns the node whose current description has this digest.
    pub fn described_by(&self, digest: u32) -> Option<&KnownNode> {
        let known = self.by_name.get(self.names_by_digest.get(&digest)?)?;
        (known.digest == digest).then_some(known)
    }

    /// Registers the digest of this node's own description, so that heartbeats with it are not
    /// reported as unknown.
    pub fn set_own_digest(&mut self, digest: u32) {
        self.names_by_digest.insert(digest, self.own_name.clone());
    }

    /// Returns the time without a heartbeat after which a node is marked as unreachable. It grows
    /// with the fleet because shuffles carry heartbeat samples of a fixed size; nodes that have been
    /// gone for long are not counted.
    pub fn failure_timeout(&self, now: Ms) -> Ms {
        let timeout =
            |node_count: usize| NODE_TIMEOUT.max(NODE_TIMEOUT_PER_NODE * node_count as Ms);
        let longest = timeout(self.count());
        let recent = self
            .all()
            .filter(|known| known.time_since_heartbeat(now) <= longest);
        timeout(recent.count())
    }

    /// Marks nodes without a heartbeat within the timeout as unreachable, and removes those
    /// without one for [`NODE_RETENTION`].
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

    /// Merges a node's description if it is newer than the known one. `sent_at` is the earliest time at which it may
    /// have been sent.
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
        self.mark_live_if_recent(&node.name, is_new, now, out);
    }

    /// Merges a heartbeat. Returns false if this node lacks the description that it refers to.
    /// `sent_at` is the earliest time at which it may have been sent.
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
        self.mark_live_if_recent(&name, false, now, out);
        true
    }

    /// Marks a node as live if its newest heartbeat is within the failure timeout.
    fn mark_live_if_recent(&mut self, name: &Name, is_new: bool, now: Ms, out: &mut Effects) {
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
                "reachable again".into()
            };
            out.push(log_event(events::NODE_REACHABLE, name, text));
        }
    }
}
