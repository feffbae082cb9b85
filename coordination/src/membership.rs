//! Partial-view membership: each node keeps a few neighbours, shuffles views with them, and spreads
//! rising beats by which every node judges every other. A beat carries its age, so that it is as old at the last
//! node that hears of it as at the first; whoever was not heard of for long is asked itself before it counts as gone.

use std::collections::BTreeMap;

use wire_messages::{List, Name, Node, NodeHeartbeat, Shuffle};
use xxhash_rust::xxh3::Xxh3Default;

use crate::{
    Effects, Ms,
    effect::{log_event, send},
    events,
    regions::{Regions, region_of},
    timing::{NODE_RETENTION, NODE_TIMEOUT},
};

/// ms. Shuffle between neighbours.
pub const SHUFFLE_INTERVAL: Ms = 250;
/// Of so many shuffles one goes to a neighbour in any region, the others stay in the own one if it is large.
const REMOTE_SHUFFLE_PERIOD: u32 = 3;
/// Neighbours in a partial view: enough that a view of 5 in a fleet of 11 stays connected when four go.
pub const VIEW_SIZE: usize = 5;
/// Nodes up to which a fleet shuffles so often, and ms at most between two shuffles of a larger one: what it says to
/// neighbours is a part of its whole traffic that does not grow.
const SHUFFLE_INTERVAL_FLEET: Ms = 88;
/// Nodes up to which a fleet shuffles so often, and ms at most between two shuffles of a larger one: what it says to
/// neighbours is a part of its whole traffic that does not grow.
pub const MAX_SHUFFLE_INTERVAL: Ms = 1_000;
/// Beats in one shuffle, ten bytes each: all of a small fleet's.
const MAX_SHUFFLE_HEARTBEATS: usize = 24;
/// Descriptions in one shuffle at most, besides the sender's own: those that the other asked for.
const MAX_SHUFFLE_NODES: usize = 128;
/// Beats during which a node has just started: it asks seeds, and is told the beats of all whom they know.
const STARTUP_HEARTBEATS: u32 = 8;
/// ms. Unit of a beat's age on the wire.
const HEARTBEAT_AGE_UNIT: Ms = 10;
/// ms for each live node. A beat comes round by samples of a fixed size, so that news of each node gets rarer as the
/// fleet grows: from 12 nodes on they are given more time, or live ones would count as gone.
pub const NODE_TIMEOUT_PER_NODE: Ms = 170;

/// Roles of nodes, as on the wire.
pub const CONTROL_ROLE: u8 = 1;
pub const EDGE_ROLE: u8 = 2;

/// The message of an exchange that nobody answers: question, answer, and what each lacked of the other's.
const LAST_SHUFFLE_STEP: u8 = 3;

#[derive(Clone, Debug)]
struct KnownNode {
    node: Node,
    /// Digest of its description.
    digest: u32,
    /// When its beat was made, by this node's clock.
    heartbeat_at: Ms,
    live: bool,
}

impl KnownNode {
    fn age(&self, now: Ms) -> u16 {
        u16::try_from(
            now.saturating_sub(self.heartbeat_at)
                .div_ceil(HEARTBEAT_AGE_UNIT),
        )
        .unwrap_or(u16::MAX)
    }
    fn description(&self, now: Ms) -> Node {
        Node {
            heartbeat_age: self.age(now),
            ..self.node.clone()
        }
    }
}

/// Digest of what a node says of itself, but for its beat: who has heard it once needs only beats.
fn description_digest(n: &Node) -> u32 {
    let mut h = Xxh3Default::new();
    [&n.name, &n.zone, &n.addr, &n.http_addr]
        .iter()
        .for_each(|f| {
            h.update(f.as_bytes());
            h.update(&[0]);
        });
    h.update(&[n.role]);
    h.update(&n.incarnation.to_be_bytes());
    h.digest() as u32
}

/// When a beat of that age was made.
fn heartbeat_time(age: u16, now: Ms) -> Ms {
    now.saturating_sub(Ms::from(age) * HEARTBEAT_AGE_UNIT)
}

#[derive(Clone, Debug)]
pub struct Membership {
    me: Node,
    seeds: Vec<Name>,
    known: BTreeMap<Name, KnownNode>,
    /// Descriptions heard, also former ones of a node that is known.
    names_by_digest: BTreeMap<u32, Name>,
    view: Vec<Name>,
    next_shuffle: Ms,
    rng: fastrand::Rng,
    regions: Regions,
}

impl Membership {
    pub fn new(me: Node, seeds: Vec<Name>, seed: u64) -> Self {
        Membership {
            me,
            seeds,
            known: BTreeMap::new(),
            names_by_digest: BTreeMap::new(),
            view: Vec::new(),
            next_shuffle: 0,
            rng: fastrand::Rng::with_seed(seed),
            regions: Regions::new(),
        }
    }
    pub fn me(&self) -> &Node {
        &self.me
    }
    pub fn set_regions(&mut self, regions: Regions) {
        self.regions = regions;
    }
    /// Whether a node stands in this one's region.
    pub fn is_same_region(&self, n: &Node) -> bool {
        region_of(&self.regions, &n.zone) == region_of(&self.regions, &self.me.zone)
    }
    /// Changes what this node says of itself.
    pub fn set_http_addr(&mut self, http: &str) {
        self.me.http_addr = http.into();
    }
    pub fn view(&self) -> Vec<Node> {
        self.view
            .iter()
            .filter_map(|n| self.known.get(n))
            .map(|k| k.node.clone())
            .collect()
    }
    pub fn live(&self, role: u8) -> impl Iterator<Item = &Node> {
        self.known
            .values()
            .filter(move |k| k.live && k.node.role == role)
            .map(|k| &k.node)
    }
    pub fn known(&self, role: u8) -> impl Iterator<Item = &Node> {
        self.known
            .values()
            .filter(move |k| k.node.role == role)
            .map(|k| &k.node)
    }
    /// Whether gossip takes a node for alive.
    pub fn is_live(&self, name: &str) -> bool {
        self.known.get(name).is_some_and(|k| k.live)
    }
    /// How long ago a node made the newest beat that was heard of; none for a node that is not known.
    pub fn unheard_for(&self, name: &str, now: Ms) -> Option<Ms> {
        self.known
            .get(name)
            .map(|k| now.saturating_sub(k.heartbeat_at))
    }
    pub fn get(&self, name: &str) -> Option<&Node> {
        self.known.get(name).map(|k| &k.node)
    }

    /// Tells another of this node, who need not answer.
    pub fn introduction(&self) -> Shuffle {
        Shuffle {
            nodes: List(vec![self.me.clone()]),
            step: LAST_SHUFFLE_STEP,
            ..Shuffle::default()
        }
    }

    /// What a node says of itself.
    pub fn on_description(&mut self, n: &Node, now: Ms, out: &mut Effects) {
        self.merge_description(n, now, out);
    }

    /// Silence after which a node counts as gone. Beats come round by samples of a fixed size, so that a large fleet
    /// gives them more time; nodes that are long gone are no part of it.
    fn failure_timeout(&self, now: Ms) -> Ms {
        let most = NODE_TIMEOUT.max(NODE_TIMEOUT_PER_NODE * self.known.len() as Ms);
        let lately = self
            .known
            .values()
            .filter(|k| now.saturating_sub(k.heartbeat_at) <= most)
            .count();
        NODE_TIMEOUT.max(NODE_TIMEOUT_PER_NODE * lately as Ms)
    }

    fn merge_description(&mut self, n: &Node, now: Ms, out: &mut Effects) {
        if n.name == self.me.name {
            return;
        }
        let at = heartbeat_time(n.heartbeat_age, now);
        if let Some(k) = self.known.get(&n.name) {
            // A later life beats an earlier one's beats; within a life only a risen beat is news.
            // A life that seems earlier counts only once the later one is silent: a machine's clock was put back.
            let earlier = n.incarnation < k.node.incarnation && !k.live && at > k.heartbeat_at;
            if (n.incarnation, n.heartbeat) <= (k.node.incarnation, k.node.heartbeat) && !earlier {
                return;
            }
        }
        let id = description_digest(n);
        self.names_by_digest.insert(id, n.name.clone());
        let live = self.known.get(&n.name).map(|k| k.live);
        self.known.insert(
            n.name.clone(),
            KnownNode {
                node: n.clone(),
                digest: id,
                heartbeat_at: at,
                live: live.unwrap_or(false),
            },
        );
        self.revive(&n.name, live.is_none(), now, out);
    }

    /// A beat that is young enough makes its node live.
    fn revive(&mut self, name: &Name, new: bool, now: Ms, out: &mut Effects) {
        if self.known.get(name).is_none_or(|k| k.live) {
            return;
        }
        let gone = self.failure_timeout(now);
        let Some(k) = self.known.get_mut(name) else {
            return;
        };
        if now.saturating_sub(k.heartbeat_at) <= gone {
            k.live = true;
            out.push(log_event(
                events::NODE_REACHABLE,
                name,
                if new {
                    k.node.addr.to_string()
                } else {
                    "came back".into()
                },
            ));
        }
    }

    /// Takes a beat; false if it is of a description that this node lacks.
    fn merge_heartbeat(&mut self, h: &NodeHeartbeat, now: Ms, out: &mut Effects) -> bool {
        let Some(name) = self.names_by_digest.get(&h.node_digest).cloned() else {
            return false;
        };
        let Some(k) = self.known.get_mut(&name) else {
            return name == self.me.name;
        };
        if h.heartbeat <= k.node.heartbeat {
            return true;
        }
        if k.digest != h.node_digest {
            return false;
        }
        (k.node.heartbeat, k.heartbeat_at) = (h.heartbeat, heartbeat_time(h.heartbeat_age, now));
        self.revive(&name, false, now, out);
        true
    }

    /// A message of an exchange: what is wanted, some beats, and what this node says of itself.
    fn build_shuffle(
        &mut self,
        wanted: &[u32],
        wants: Vec<u32>,
        answer: u8,
        most: usize,
        now: Ms,
    ) -> Shuffle {
        let all = wanted
            .iter()
            .filter_map(|id| Some((id, self.known.get(self.names_by_digest.get(id)?)?)));
        let mut nodes: Vec<Node> = all
            .filter(|(id, k)| k.digest == **id)
            .map(|(_, k)| k.description(now))
            .collect();
        nodes.truncate(MAX_SHUFFLE_NODES);
        nodes.push(self.me.clone());
        // Only beats of the live are passed on: what is said of the gone comes to an end everywhere at once.
        let live = self.known.values().filter(|k| k.live && answer < 2);
        let beats = self.rng.choose_multiple(live, most).into_iter();
        let beats = beats
            .map(|k| NodeHeartbeat {
                node_digest: k.digest,
                heartbeat: k.node.heartbeat,
                heartbeat_age: k.age(now),
            })
            .collect();
        Shuffle {
            nodes: List(nodes),
            heartbeats: beats,
            wanted: List(wants),
            step: answer,
        }
    }

    /// Fills the view from live nodes; the dead leave it.
    fn refill_view(&mut self) {
        let known = &self.known;
        self.view.retain(|n| known.get(n).is_some_and(|k| k.live));
        let more = known
            .values()
            .filter(|k| k.live && !self.view.contains(&k.node.name))
            .map(|k| &k.node.name);
        let more: Vec<Name> = self
            .rng
            .choose_multiple(more, VIEW_SIZE)
            .into_iter()
            .cloned()
            .collect();
        // A random newcomer takes the oldest neighbour's place, so that views keep mixing.
        if self.view.len() >= VIEW_SIZE && !more.is_empty() {
            self.view.remove(0);
        }
        self.view.extend(
            more.into_iter()
                .take(VIEW_SIZE.saturating_sub(self.view.len())),
        );
    }

    pub fn on_shuffle(&mut self, from: &Name, m: Shuffle, now: Ms, out: &mut Effects) {
        for n in m.nodes.iter() {
            self.merge_description(n, now, out);
        }
        let mut lacks: Vec<u32> = m
            .heartbeats
            .iter()
            .filter(|h| !self.merge_heartbeat(h, now, out))
            .map(|h| h.node_digest)
            .collect();
        lacks.truncate(MAX_SHUFFLE_NODES);
        if m.step == 0 || m.step < LAST_SHUFFLE_STEP && !(lacks.is_empty() && m.wanted.is_empty()) {
            // One that has just started is told of everybody: it serves nobody until it knows them.
            let young = m.step == 0
                && m.nodes
                    .last()
                    .is_some_and(|n| n.heartbeat <= STARTUP_HEARTBEATS);
            let most = if young {
                self.known.len()
            } else {
                MAX_SHUFFLE_HEARTBEATS
            };
            let answer = self.build_shuffle(&m.wanted, lacks, m.step + 1, most, now);
            out.push(send(from, answer));
        }
    }

    /// A large fleet shuffles less often: each message already says what costs most to say.
    fn shuffle_interval(&self) -> Ms {
        let live = self.known.values().filter(|k| k.live).count() as Ms;
        (SHUFFLE_INTERVAL * live / SHUFFLE_INTERVAL_FLEET)
            .clamp(SHUFFLE_INTERVAL, MAX_SHUFFLE_INTERVAL)
    }

    /// The neighbour to shuffle with.
    fn shuffle_partner(&mut self) -> Option<Name> {
        let mut view = self.view();
        // Bytes to other regions are dear. Where this region alone has more than a view holds, beats go round inside it,
        // and every third shuffle is enough to have them cross.
        let crowd = self
            .known
            .values()
            .filter(|k| k.live && self.is_same_region(&k.node))
            .count()
            > VIEW_SIZE;
        if crowd
            && !self.me.heartbeat.is_multiple_of(REMOTE_SHUFFLE_PERIOD)
            && view.iter().any(|n| self.is_same_region(n))
        {
            view.retain(|n| self.is_same_region(n));
        }
        self.rng.choice(view).map(|n| n.addr)
    }

    pub fn tick(&mut self, now: Ms, out: &mut Effects) {
        if now < self.next_shuffle {
            return;
        }
        self.next_shuffle = now + self.shuffle_interval();
        self.me.heartbeat += 1;
        let gone = self.failure_timeout(now);
        for k in self
            .known
            .values_mut()
            .filter(|k| k.live && now.saturating_sub(k.heartbeat_at) > gone)
        {
            k.live = false;
            out.push(log_event(events::NODE_UNREACHABLE, &k.node.name, ""));
        }
        self.known
            .retain(|_, k| now.saturating_sub(k.heartbeat_at) < NODE_RETENTION);
        let (known, me) = (&self.known, &self.me.name);
        self.names_by_digest
            .retain(|_, n| known.contains_key(n) || n == me);
        self.names_by_digest
            .insert(description_digest(&self.me), self.me.name.clone());
        self.refill_view();
        let mut to: Vec<Name> = Vec::new();
        to.extend(self.shuffle_partner());
        // Seeds only bring a lonely node in, or join two halves that lost sight of each other. A node that has just
        // started asks them all: it serves nobody until it has heard most control daemons.
        if self.me.heartbeat == 1 {
            to.extend(self.seeds.iter().filter(|s| **s != self.me.addr).cloned());
        } else if (self.view.len() < 2
            || self.me.heartbeat <= STARTUP_HEARTBEATS
            || self.me.heartbeat.is_multiple_of(16))
            && let Some(s) = self.rng.choice(&self.seeds)
            && *s != self.me.addr
        {
            to.push(s.clone());
        }
        // A node given up for dead is knocked at now and then: after a cut nobody else may know of it.
        if self.me.heartbeat.is_multiple_of(4) {
            let dead: Vec<Name> = self
                .known
                .values()
                .filter(|k| !k.live)
                .map(|k| k.node.addr.clone())
                .collect();
            to.extend(self.rng.choice(&dead).cloned());
        }
        // Who was not heard of for half of the time that it is given is asked itself: rumours pass some by at times.
        let silent = self
            .known
            .values()
            .filter(|k| k.live && now.saturating_sub(k.heartbeat_at) > gone / 2);
        to.extend(
            self.rng
                .choose_multiple(silent, 1)
                .into_iter()
                .map(|k| k.node.addr.clone()),
        );
        for t in to {
            let m = self.build_shuffle(&[], Vec::new(), 0, MAX_SHUFFLE_HEARTBEATS, now);
            out.push(send(&t, m));
        }
    }
}
