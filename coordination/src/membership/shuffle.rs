//! Messages of a shuffle. One node sends a request, the other responds, and each then sends
//! descriptions that the other lacks.

use wire_messages::{List, Node, Shuffle};

use super::known_nodes::KnownNodes;
use crate::Ms;

/// Between two shuffles with neighbours in a small fleet.
pub const SHUFFLE_INTERVAL: Ms = 250;
/// Between two shuffles in a fleet of any size, at most.
pub const MAX_SHUFFLE_INTERVAL: Ms = 1_000;
/// Nodes up to which a fleet shuffles each [`SHUFFLE_INTERVAL`]. A larger one shuffles less often:
/// what it sends to neighbours is a part of its total traffic that does not grow.
const SMALL_FLEET_NODE_COUNT: Ms = 88;
/// Heartbeats in one shuffle, ten bytes each: all of a small fleet's.
pub(super) const MAX_HEARTBEAT_COUNT: usize = 24;
/// Descriptions in one shuffle, besides the sender's own: those that the other asked for.
pub(super) const MAX_DESCRIPTION_COUNT: usize = 128;
/// Heartbeats during which a node has just started: it asks seeds, and gets the heartbeats of all
/// whom they know.
pub(super) const STARTUP_HEARTBEATS: u32 = 8;

/// The message that opens an exchange.
pub(super) const FIRST_STEP: u8 = 0;
/// The last message that carries heartbeats; those after it only bring what was wanted.
const LAST_HEARTBEAT_STEP: u8 = 1;
/// The message that gets no response: it follows a request, its response, and what the one lacked
/// of the other's.
pub(super) const LAST_STEP: u8 = 3;

/// Ms until the next shuffle of a node that knows so many live ones.
pub(super) fn interval(live_node_count: usize) -> Ms {
    (SHUFFLE_INTERVAL * live_node_count as Ms / SMALL_FLEET_NODE_COUNT)
        .clamp(SHUFFLE_INTERVAL, MAX_SHUFFLE_INTERVAL)
}

/// Whether the exchange goes on: a request always gets a response, a response only if one of both
/// lacks descriptions.
pub(super) fn needs_response(message: &Shuffle, lacking: &[u32]) -> bool {
    let is_complete = lacking.is_empty() && message.wanted.is_empty();
    message.step == FIRST_STEP || message.step < LAST_STEP && !is_complete
}

/// Whether this is a request of a node that has just started; the sender's own description comes
/// last.
pub(super) fn is_from_starting_node(message: &Shuffle) -> bool {
    let sender = message.nodes.last();
    message.step == FIRST_STEP && sender.is_some_and(|node| node.heartbeat <= STARTUP_HEARTBEATS)
}

/// What a message of an exchange carries besides the sender's own description.
pub(super) struct ShuffleContent<'a> {
    /// Which message of the exchange it is.
    pub step: u8,
    /// Digests of the descriptions that the other wants.
    pub requested: &'a [u32],
    /// Digests of the descriptions that this node wants.
    pub wanted: Vec<u32>,
    pub max_heartbeat_count: usize,
}

impl ShuffleContent<'_> {
    /// The message. Only heartbeats of live nodes are passed on: gossip of the gone ends everywhere
    /// at once.
    pub fn message(
        self,
        me: &Node,
        known: &KnownNodes,
        rng: &mut fastrand::Rng,
        now: Ms,
    ) -> Shuffle {
        let mut nodes: Vec<Node> = self
            .requested
            .iter()
            .filter_map(|digest| known.described_by(*digest))
            .map(|known| known.description(now))
            .collect();
        nodes.truncate(MAX_DESCRIPTION_COUNT);
        nodes.push(me.clone());
        let heartbeats = if self.step <= LAST_HEARTBEAT_STEP {
            rng.choose_multiple(known.live(), self.max_heartbeat_count)
                .into_iter()
                .map(|known| known.heartbeat(now))
                .collect()
        } else {
            List::default()
        };
        Shuffle {
            nodes: List(nodes),
            heartbeats,
            wanted: List(self.wanted),
            step: self.step,
        }
    }
}
