//! Gossip membership with partial views. Each node shuffles its view with a few neighbours and
//! disseminates increasing heartbeats, from which every node decides which others are live. A
//! heartbeat carries its age, so that relaying does not make it look newer. A node without a recent
//! heartbeat is contacted directly before it is marked as unreachable.

mod known_nodes;
mod shuffle;
mod view;

use wire_messages::{List, Name, Node, Shuffle};

use self::{
    known_nodes::{KnownNode, KnownNodes, description_digest},
    shuffle::ShuffleContent,
    view::PartialView,
};
pub use self::{
    known_nodes::{NODE_TIMEOUT_PER_NODE, name_digest},
    shuffle::{MAX_SHUFFLE_INTERVAL, SHUFFLE_INTERVAL},
    view::VIEW_SIZE,
};
use crate::{
    Effects, Ms,
    effect::send,
    regions::{Regions, region_of},
    suspension::SuspensionDetector,
};

/// One in this many shuffles goes to a neighbour in any region; the others stay within the node's
/// region if it is large.
const REMOTE_SHUFFLE_PERIOD: u32 = 3;
/// One in this many shuffles also goes to a seed.
const SEED_SHUFFLE_PERIOD: u32 = 16;
/// One in this many shuffles also goes to an unreachable node.
const UNREACHABLE_SHUFFLE_PERIOD: u32 = 4;
/// A node with fewer neighbours than this contacts a seed at each shuffle.
const MIN_VIEW_SIZE: usize = 2;

/// Role of a node in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeRole {
    /// A control daemon.
    Control,
    /// An edge agent.
    Edge,
}

impl NodeRole {
    /// Returns the byte on the wire.
    pub const fn to_byte(self) -> u8 {
        match self {
            NodeRole::Control => 1,
            NodeRole::Edge => 2,
        }
    }

    /// Whether a node has this role. A node with an unknown role byte is a member without a role.
    pub fn is_role_of(self, node: &Node) -> bool {
        node.role == self.to_byte()
    }
}

/// One node's knowledge of the fleet.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Node,
    seeds: Vec<Name>,
    regions: Regions,
    known: KnownNodes,
    view: PartialView,
    next_shuffle: Ms,
    /// Corrects heartbeat ages after a suspension: messages that arrive then may have waited in the sockets for a time
    /// that their ages do not include.
    suspension: Option<SuspensionDetector>,
    rng: fastrand::Rng,
}

impl Membership {
    /// Creates a node that knows only the addresses in `seeds`. `random_seed` seeds all its random
    /// choices.
    pub fn new(me: Node, seeds: Vec<Name>, random_seed: u64) -> Self {
        Membership {
            known: KnownNodes::new(me.name.clone()),
            me,
            seeds,
            regions: Regions::new(),
            view: PartialView::default(),
            next_shuffle: 0,
            suspension: None,
            rng: fastrand::Rng::with_seed(random_seed),
        }
    }

    /// Returns this node's description.
    pub fn me(&self) -> &Node {
        &self.me
    }

    /// Sets the region of each zone.
    pub fn set_regions(&mut self, regions: Regions) {
        self.regions = regions;
    }

    /// Sets the HTTP address in this node's description.
    pub fn set_http_addr(&mut self, http_addr: &str) {
        self.me.http_addr = http_addr.into();
    }

    /// Whether a node is in this node's region.
    pub fn is_same_region(&self, node: &Node) -> bool {
        region_of(&self.regions, &node.zone) == region_of(&self.regions, &self.me.zone)
    }

    /// Returns the neighbours in the partial view.
    pub fn view(&self) -> Vec<Node> {
        let neighbours = self
            .view
            .names()
            .filter_map(|name| self.known.get(name))
            .map(|known| known.node.clone());
        neighbours.collect()
    }

    /// Returns the other nodes of a role that are live.
    pub fn live(&self, role: NodeRole) -> impl Iterator<Item = &Node> {
        self.known
            .live()
            .map(|known| &known.node)
            .filter(move |node| role.is_role_of(node))
    }

    /// Returns the other nodes of a role, including unreachable ones.
    pub fn known(&self, role: NodeRole) -> impl Iterator<Item = &Node> {
        self.known
            .all()
            .map(|known| &known.node)
            .filter(move |node| role.is_role_of(node))
    }

    /// Whether a node is live.
    pub fn is_live(&self, name: &str) -> bool {
        self.known.get(name).is_some_and(|known| known.is_live)
    }

    /// Returns the time since a node created the newest heartbeat that this node received, in ms;
    /// none for an unknown node.
    pub fn time_since_heartbeat(&self, name: &str, now: Ms) -> Option<Ms> {
        self.known
            .get(name)
            .map(|known| known.time_since_heartbeat(now))
    }

    /// Returns the description of another node.
    pub fn get(&self, name: &str) -> Option<&Node> {
        self.known.get(name).map(|known| &known.node)
    }

    /// Returns a message that describes this node to another and requests no response.
    pub fn introduction(&self) -> Shuffle {
        Shuffle {
            nodes: List(vec![self.me.clone()]),
            step: shuffle::LAST_STEP,
            ..Shuffle::default()
        }
    }

    /// Merges another node's description.
    pub fn on_description(&mut self, node: &Node, now: Ms, out: &mut Effects) {
        let sent_at = self.earliest_sent(now);
        self.known.merge_description(node, sent_at, now, out);
    }

    /// Returns the earliest time at which a message that arrives now may have been sent.
    fn earliest_sent(&mut self, now: Ms) -> Ms {
        let Some(suspension) = &mut self.suspension else {
            return now;
        };
        suspension.was_suspended(now);
        suspension.earliest_sent(now)
    }

    /// Handles a shuffle message from the node at `addr` and responds unless the exchange is
    /// complete.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "message handlers take ownership of the message"
    )]
    pub fn on_shuffle(&mut self, addr: &Name, message: Shuffle, now: Ms, out: &mut Effects) {
        let sent_at = self.earliest_sent(now);
        for node in message.nodes.iter() {
            self.known.merge_description(node, sent_at, now, out);
        }
        let mut lacking = Vec::new();
        for heartbeat in message.heartbeats.iter() {
            if !self.known.merge_heartbeat(heartbeat, sent_at, now, out) {
                lacking.push(heartbeat.node_digest);
            }
        }
        lacking.truncate(shuffle::MAX_DESCRIPTION_COUNT);
        if !shuffle::needs_response(&message, &lacking) {
            return;
        }
        // A node that has just started is sent all heartbeats, because it cannot serve before it
        // knows all nodes.
        let max_heartbeat_count = if shuffle::is_from_starting_node(&message) {
            self.known.count()
        } else {
            shuffle::MAX_HEARTBEAT_COUNT
        };
        let content = ShuffleContent {
            step: message.step + 1,
            requested: &message.wanted,
            wanted: lacking,
            max_heartbeat_count,
        };
        let response = content.message(&self.me, &self.known, &mut self.rng, now);
        out.push(send(addr, response));
    }

    /// If a shuffle is due, increments the heartbeat, expires unreachable nodes and starts exchanges.
    pub fn tick(&mut self, now: Ms, out: &mut Effects) {
        let suspension = self
            .suspension
            .get_or_insert_with(|| SuspensionDetector::new(now));
        suspension.was_suspended(now);
        suspension.on_tick(now);
        if now < self.next_shuffle {
            return;
        }
        self.next_shuffle = now + shuffle::interval(self.known.live().count());
        self.me.heartbeat += 1;
        let failure_timeout = self.known.failure_timeout(now);
        self.known.expire(failure_timeout, now, out);
        self.known.set_own_digest(description_digest(&self.me));
        self.view.refill(&self.known, &mut self.rng);
        for addr in self.shuffle_targets(failure_timeout, now) {
            let content = ShuffleContent {
                step: shuffle::FIRST_STEP,
                requested: &[],
                wanted: Vec::new(),
                max_heartbeat_count: shuffle::MAX_HEARTBEAT_COUNT,
            };
            let request = content.message(&self.me, &self.known, &mut self.rng, now);
            out.push(send(&addr, request));
        }
    }

    /// Returns the addresses with which this node starts an exchange at this heartbeat.
    fn shuffle_targets(&mut self, failure_timeout: Ms, now: Ms) -> Vec<Name> {
        let mut targets: Vec<Name> = Vec::new();
        targets.extend(self.select_neighbour());
        targets.extend(self.select_seeds());
        // An unreachable node is contacted from time to time, because after a partition no other node
        // may know it.
        if self.me.heartbeat.is_multiple_of(UNREACHABLE_SHUFFLE_PERIOD) {
            let unreachable: Vec<&KnownNode> =
                self.known.all().filter(|known| !known.is_live).collect();
            let selected = self.rng.choice(&unreachable);
            targets.extend(selected.map(|known| known.node.addr.clone()));
        }
        // A node without a heartbeat for half of the failure timeout is contacted directly, because
        // gossip sometimes misses a live node.
        let unresponsive = self
            .known
            .live()
            .filter(|known| known.time_since_heartbeat(now) > failure_timeout / 2);
        let selected = self.rng.choose_multiple(unresponsive, 1);
        targets.extend(selected.into_iter().map(|known| known.node.addr.clone()));
        targets
    }

    /// Selects the neighbour to shuffle with. Cross-region traffic is expensive: if this region has
    /// more nodes than a view holds, heartbeats spread within it and one in
    /// [`REMOTE_SHUFFLE_PERIOD`] shuffles suffices to pass them to other regions.
    fn select_neighbour(&mut self) -> Option<Name> {
        let mut neighbours = self.view();
        let region_size = self
            .known
            .live()
            .filter(|known| self.is_same_region(&known.node))
            .count();
        let may_leave_region = self.me.heartbeat.is_multiple_of(REMOTE_SHUFFLE_PERIOD);
        if region_size > VIEW_SIZE
            && !may_leave_region
            && neighbours.iter().any(|node| self.is_same_region(node))
        {
            neighbours.retain(|node| self.is_same_region(node));
        }
        self.rng.choice(neighbours).map(|node| node.addr)
    }

    /// Selects the seeds to shuffle with, which let an isolated node join and reconnect partitioned
    /// halves of a fleet. A node that has just started contacts all of them, because it cannot serve
    /// before it is in contact with most control daemons.
    fn select_seeds(&mut self) -> Vec<Name> {
        let is_other = |seed: &&Name| **seed != self.me.addr;
        if self.me.heartbeat == 1 {
            return self.seeds.iter().filter(is_other).cloned().collect();
        }
        let needs_seed = self.view.len() < MIN_VIEW_SIZE
            || self.me.heartbeat <= shuffle::STARTUP_HEARTBEATS
            || self.me.heartbeat.is_multiple_of(SEED_SHUFFLE_PERIOD);
        if !needs_seed {
            return Vec::new();
        }
        let selected = self.rng.choice(&self.seeds);
        selected.filter(is_other).cloned().into_iter().collect()
    }
}
