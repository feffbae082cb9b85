//! Gossip membership with partial views. Each node has a few neighbours, shuffles its view with
//! them, and spreads rising heartbeats by which every node judges every other. A heartbeat carries
//! its age, so that it is as old at the last node that hears of it as at the first; a node that was
//! not heard from for long is asked itself before it counts as unreachable.

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

/// Of so many shuffles one goes to a neighbour in any region; the others stay in the own region if
/// it is large.
const REMOTE_SHUFFLE_PERIOD: u32 = 3;
/// Of so many shuffles one goes to a seed as well.
const SEED_SHUFFLE_PERIOD: u32 = 16;
/// Of so many shuffles one goes to an unreachable node as well.
const UNREACHABLE_SHUFFLE_PERIOD: u32 = 4;
/// A node with fewer neighbours asks a seed at each shuffle.
const MIN_VIEW_SIZE: usize = 2;

/// What a process does in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeRole {
    /// A control daemon.
    Control,
    /// An edge agent.
    Edge,
}

impl NodeRole {
    /// The byte on the wire.
    pub const fn to_byte(self) -> u8 {
        match self {
            NodeRole::Control => 1,
            NodeRole::Edge => 2,
        }
    }

    /// Whether a node has this role. A node with an unknown byte has none; it is a member all the
    /// same.
    pub fn is_role_of(self, node: &Node) -> bool {
        node.role == self.to_byte()
    }
}

/// One node's view of the fleet.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Node,
    seeds: Vec<Name>,
    regions: Regions,
    known: KnownNodes,
    view: PartialView,
    next_shuffle: Ms,
    /// What arrives when the process resumes may have waited in its sockets: no age includes that time.
    suspension: Option<SuspensionDetector>,
    rng: fastrand::Rng,
}

impl Membership {
    /// A node that knows only the addresses in `seeds`. `random_seed` sets all its random choices.
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

    /// This node's description.
    pub fn me(&self) -> &Node {
        &self.me
    }

    /// Sets the region of each zone.
    pub fn set_regions(&mut self, regions: Regions) {
        self.regions = regions;
    }

    /// Changes the address for HTTP in this node's description.
    pub fn set_http_addr(&mut self, http_addr: &str) {
        self.me.http_addr = http_addr.into();
    }

    /// Whether a node is in this one's region.
    pub fn is_same_region(&self, node: &Node) -> bool {
        region_of(&self.regions, &node.zone) == region_of(&self.regions, &self.me.zone)
    }

    /// The neighbours.
    pub fn view(&self) -> Vec<Node> {
        let neighbours = self
            .view
            .names()
            .filter_map(|name| self.known.get(name))
            .map(|known| known.node.clone());
        neighbours.collect()
    }

    /// Other nodes of a role that count as alive.
    pub fn live(&self, role: NodeRole) -> impl Iterator<Item = &Node> {
        self.known
            .live()
            .map(|known| &known.node)
            .filter(move |node| role.is_role_of(node))
    }

    /// Other nodes of a role, also those that are unreachable.
    pub fn known(&self, role: NodeRole) -> impl Iterator<Item = &Node> {
        self.known
            .all()
            .map(|known| &known.node)
            .filter(move |node| role.is_role_of(node))
    }

    /// Whether a node counts as alive.
    pub fn is_live(&self, name: &str) -> bool {
        self.known.get(name).is_some_and(|known| known.is_live)
    }

    /// Ms since a node made the newest heartbeat that this node received; none for a node that is
    /// not known.
    pub fn time_since_heartbeat(&self, name: &str, now: Ms) -> Option<Ms> {
        self.known
            .get(name)
            .map(|known| known.time_since_heartbeat(now))
    }

    /// The description of another node.
    pub fn get(&self, name: &str) -> Option<&Node> {
        self.known.get(name).map(|known| &known.node)
    }

    /// A message that describes this node to another, which does not respond to it.
    pub fn introduction(&self) -> Shuffle {
        Shuffle {
            nodes: List(vec![self.me.clone()]),
            step: shuffle::LAST_STEP,
            ..Shuffle::default()
        }
    }

    /// Takes another node's description.
    pub fn on_description(&mut self, node: &Node, now: Ms, out: &mut Effects) {
        let sent_at = self.earliest_sent(now);
        self.known.merge_description(node, sent_at, now, out);
    }

    /// The earliest time at which a message that arrives now may have been sent.
    fn earliest_sent(&mut self, now: Ms) -> Ms {
        let Some(suspension) = &mut self.suspension else {
            return now;
        };
        suspension.was_suspended(now);
        suspension.earliest_sent(now)
    }

    /// Takes a message of an exchange from the node at `addr`, and responds if the exchange goes
    /// on.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "handlers take the message that they were sent"
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
        // A node that has just started gets everybody's heartbeats: it serves nobody until it knows
        // them.
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

    /// Makes a heartbeat and shuffles if that is due; notices the unreachable.
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

    /// Addresses with which this node begins an exchange at this heartbeat.
    fn shuffle_targets(&mut self, failure_timeout: Ms, now: Ms) -> Vec<Name> {
        let mut targets: Vec<Name> = Vec::new();
        targets.extend(self.select_neighbour());
        targets.extend(self.select_seeds());
        // A node that counts as unreachable is asked now and then: after a partition nobody else
        // may know of it.
        if self.me.heartbeat.is_multiple_of(UNREACHABLE_SHUFFLE_PERIOD) {
            let unreachable: Vec<&KnownNode> =
                self.known.all().filter(|known| !known.is_live).collect();
            let selected = self.rng.choice(&unreachable);
            targets.extend(selected.map(|known| known.node.addr.clone()));
        }
        // A node that was not heard from for half of its timeout is asked itself: gossip misses
        // some at times.
        let unresponsive = self
            .known
            .live()
            .filter(|known| known.time_since_heartbeat(now) > failure_timeout / 2);
        let selected = self.rng.choose_multiple(unresponsive, 1);
        targets.extend(selected.into_iter().map(|known| known.node.addr.clone()));
        targets
    }

    /// The neighbour to shuffle with. Bytes to other regions are expensive: where this region alone
    /// has more nodes than a view holds, heartbeats go round inside it, and one of a few shuffles
    /// is enough to carry them across.
    fn select_neighbour(&mut self) -> Option<Name> {
        let mut neighbours = self.view();
        let region_size = self
            .known
            .live()
            .filter(|known| self.is_same_region(&known.node))
            .count();
        let may_cross = self.me.heartbeat.is_multiple_of(REMOTE_SHUFFLE_PERIOD);
        if region_size > VIEW_SIZE
            && !may_cross
            && neighbours.iter().any(|node| self.is_same_region(node))
        {
            neighbours.retain(|node| self.is_same_region(node));
        }
        self.rng.choice(neighbours).map(|node| node.addr)
    }

    /// The seeds to shuffle with: they bring a lonely node in, or join two halves that lost sight
    /// of each other. A node that has just started asks them all: it serves nobody until it is in
    /// contact with most control daemons.
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
