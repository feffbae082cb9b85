//! Messages of a shuffle: one node sends a request, the peer responds, and each then sends the
//! descriptions that the other lacks.

use wire_messages::{List, Node, Shuffle};

use super::known_nodes::KnownNodes;
use crate::Ms;

/// Interval between shuffles with neighbours in a small fleet, in ms.
pub const SHUFFLE_INTERVAL: Ms = 250;
/// Maximum interval between shuffles in a fleet of any size, in ms.
pub const MAX_SHUFFLE_INTERVAL: Ms = 1_000;
/// Number of nodes up to which a fleet shuffles every [`SHUFFLE_INTERVAL`]. A larger fleet shuffles
/// less often, so that a node's traffic to neighbours does not grow with the fleet.
const SMALL_FLEET_NODE_COUNT: Ms = 88;
/// Maximum number of heartbeats in one shuffle, ten bytes each; enough for all of a small fleet.
pub(super) const MAX_HEARTBEAT_COUNT: usize = 24;
/// Maximum number of requested descriptions in one shuffle, not counting the sender's own.
pub(super) const MAX_DESCRIPTION_COUNT: usize = 128;
/// Number of heartbeats during which a node is starting: it contacts seeds and is sent all
/// heartbeats that they know.
pub(super) const STARTUP_HEARTBEATS: u32 = 8;

/// Step of the message that starts an exchange.
pub(super) const FIRST_STEP: u8 = 0;
/// The last step whose message carries heartbeats; later ones carry only requested descriptions.
const LAST_HEARTBEAT_STEP: u8 = 1;
/// Step of the message that gets no response. It follows a request, the response, and the
/// descriptions that the responder lacked.
pub(super) const LAST_STEP: u8 = 3;

/// Returns the time until the next shuffle of a node that knows this many live nodes, in ms.
pub(super) fn interval(live_node_count: usize) -> Ms {
    (SHUFFLE_INTERVAL * live_node_count as Ms / SMALL_FLEET_NODE_COUNT)
        .clamp(SHUFFLE_INTERVAL, MAX_SHUFFLE_INTERVAL)
}

/// Whether a message needs a response: a request always does, a later message only if either node
/// lacks descriptions.
pub(super) fn needs_response(message: &Shuffle, lacking: &[u32]) -> bool {
    let is_complete = lacking.is_empty() && message.wanted.is_empty();
    message.step == FIRST_STEP || message.step < LAST_STEP && !is_complete
}

/// Whether this is a request of a node that has just started, judged by the sender's own
/// description, which is the last one.
pub(super) fn is_from_starting_node(message: &Shuffle) -> bool {
    let sender = message.nodes.last();
    message.step == FIRST_STEP && sender.is_some_and(|node| node.heartbeat <= STARTUP_HEARTBEATS)
}

/// Content of a shuffle message other than the sender's own description.
pub(super) struct ShuffleContent<'a> {
    /// Position of the message in the exchange.
    pub step: u8,
    /// Digests of the descriptions that the peer requested.
    pub requested: &'a [u32],
    /// Digests of the descriptions that this node requests.
    pub wanted: Vec<u32>,
    pub max_heartbeat_count: usize,
}

impl ShuffleContent<'_> {
    /// Builds the message. Only heartbeats of live nodes are relayed, so that gossip about unreachable
    /// nodes ends everywhere at the same time.
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
