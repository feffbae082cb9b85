//! A proxy's brain: what it may do, where a request goes, who waits and who is rejected, and what is
//! counted. It nominates for callers that ask where to go, and places requests that have come.

mod buffer;
mod counts;
mod news;
mod pass;
mod place;
mod reports;
pub use pass::SLOW_FACTOR;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use remote_calls::{Fault, GroupRole, ReplicaReport, RolloutRecord, Spec};
use wire_messages::{Name, Node, ProxyLease};

use crate::{
    Ms,
    bounds::Bounds,
    context::{LocalDemand, PromptChain},
    control::SPEC_KEY,
    edge_agent::{REJECT_ALL, STABLE_ONLY},
    pass::LaneIndex,
    placement::{Placement, RetryBudget},
    policy::{Mechanism, Policy},
    proxy::buffer::SECOND_ROUNDS_FREE,
    rendezvous::rendezvous_weight,
    state_table::{SpecParser, StateTable, parse_own_spec},
    version_health::VersionHealth,
};

/// ms. A place chosen longer ago is chosen again before a call: the process slept, leases may have lapsed.
const PLACE_OLD: Ms = 300;

/// Where a round goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    pub service: String,
    pub lane: String,
    pub version: String,
    pub replica: String,
    pub addr: String,
    pub role: GroupRole,
    pub cached: bool,
    pub assigned_at: Ms,
    /// Number of a round that came by host and path; 0 for others.
    pub attempt: u64,
}

impl Assignment {
    /// Whether it was chosen so long ago that the process must have slept since.
    pub fn is_stale(&self, now: Ms) -> bool {
        now.saturating_sub(self.assigned_at) > PLACE_OLD
    }
}

/// How a round ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeClass {
    Succeeded,
    /// Slower than the lane's expected time by far.
    Slow,
    /// The replica or its version is at fault.
    Failed,
    /// The caller went away: no verdict on the version.
    ClientGone,
    /// The replica had no place: it ran nothing.
    NotRun,
}

/// What to do with a request that wants a place.
#[derive(Clone, Debug)]
pub enum Admission {
    Assigned(Assignment),
    /// Every place is taken; wait for one if the buffer has room.
    NoFreeSlot,
    Rejected(Fault),
}

#[derive(Clone, Debug)]
struct Seen {
    report: ReplicaReport,
    at: Ms,
    /// Rounds of ours that this report cannot know of yet.
    since: u32,
    /// When each version was first seen ready in this life of the replica.
    ready: BTreeMap<String, Ms>,
}

/// A round under way that came by host and path.
#[derive(Clone, Debug)]
struct Flight {
    /// ms of reading, until its first piece has come.
    read_ms: Option<f64>,
    expected: f64,
    at: Ms,
    slow_ms: f64,
    slow: bool,
    /// Its shared context, where that was taken for ready.
    ready: Option<Ready>,
}

/// Shared context that a replica was taken to keep.
#[derive(Clone, Debug)]
struct Ready {
    chain: PromptChain,
    parts: Vec<u64>,
}

/// A request in the buffer.
#[derive(Clone, Debug)]
struct Waiting {
    token: u64,
    rank: u32,
    until: Ms,
}

/// A prefix's place: which replica was last sent it.
type Prefix = (String, String);

/// A request's service and prefixes.
type What<'a> = (&'a str, &'a [String]);

/// Service, version, lane, whether the cache was warm, group.
type TallyKey = (String, String, String, bool, u8);

/// Role, version and replicas of a group.
type Group = (GroupRole, String, Vec<String>);

pub struct Proxy {
    name: Name,
    zone: Name,
    http: Name,
    born: u64,
    state_table: StateTable,
    spec: Option<Arc<Spec>>,
    records: BTreeMap<String, (u64, u64, RolloutRecord)>,
    leaving: BTreeSet<String>,
    evacuated: BTreeSet<String>,
    rule: u8,
    until: Ms,
    /// It has had its agent's whole board in this life; what changed since is not enough to serve by.
    whole: bool,
    leases: BTreeMap<String, ProxyLease>,
    nodes: Vec<Node>,
    seen: BTreeMap<String, Seen>,
    open: BTreeMap<(String, String), u32>,
    tallies: BTreeMap<TallyKey, [u64; 7]>,
    /// Counts changes of tallies and opens; the newest change that the agent has of them; and what changed since.
    change: u64,
    heard: u64,
    changed: BTreeMap<TallyKey, u64>,
    moved: BTreeMap<(String, String), u64>,
    /// Tallies that changed since this proxy last judged by them.
    unjudged: BTreeMap<String, BTreeSet<TallyKey>>,
    /// What a service's canary may take next, in hundredths of a request.
    shares: BTreeMap<String, u32>,
    /// Versions whose failures show here, and until when they are capped.
    suspects: BTreeMap<String, Ms>,
    health: BTreeMap<String, VersionHealth>,
    warm: BTreeMap<Prefix, Ms>,
    waiting: VecDeque<Waiting>,
    /// By rank: percent of each replica's places kept from tiers behind it, and when that was last raised.
    pressed: BTreeMap<u32, (u32, Ms)>,
    /// What is left for second rounds, in hundredths of one.
    budget: u64,
    rng: fastrand::Rng,
    pub counters: BTreeMap<&'static str, u64>,
    reader: SpecParser,
    /// Place of the spec on the board that was read last, and the index of its paths.
    read: (u64, u64),
    paths: LaneIndex,
    placement: Placement,
    budgets: BTreeMap<String, RetryBudget>,
    flights: BTreeMap<u64, Flight>,
    flight: u64,
    /// Places of the records of copies of shared context that were read last, and how often shared context is asked
    /// for; by service, and only where copies are kept.
    contexts: BTreeMap<String, (u64, u64)>,
    demand: BTreeMap<String, LocalDemand>,
}

/// Groups of one version as one pool: a baseline is told apart for counting, and a prompt that lies in its cache
/// is not to be read again elsewhere for it.
fn pools(groups: Vec<Group>) -> Vec<Group> {
    let mut all: Vec<Group> = vec![];
    for g in groups {
        match all.iter_mut().find(|a| a.1 == g.1) {
            Some(a) => a.2.extend(g.2),
            None => all.push(g),
        }
    }
    all
}

impl Proxy {
    /// `seed` is random from outside: two proxies of one fleet must never mint the same ids.
    pub fn new(name: Name, zone: Name, http: Name, born: u64, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(rendezvous_weight(&name, &seed.to_string()));
        let (me, at) = (name.clone(), zone.clone());
        Proxy {
            name,
            zone,
            http,
            born,
            state_table: StateTable::default(),
            spec: None,
            records: BTreeMap::new(),
            leaving: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            rule: REJECT_ALL,
            until: 0,
            whole: false,
            leases: BTreeMap::new(),
            nodes: Vec::new(),
            seen: BTreeMap::new(),
            open: BTreeMap::new(),
            tallies: BTreeMap::new(),
            change: 1,
            heard: 0,
            changed: BTreeMap::new(),
            moved: BTreeMap::new(),
            unjudged: BTreeMap::new(),
            shares: BTreeMap::new(),
            suspects: BTreeMap::new(),
            health: BTreeMap::new(),
            warm: BTreeMap::new(),
            waiting: VecDeque::new(),
            pressed: BTreeMap::new(),
            budget: SECOND_ROUNDS_FREE * 100,
            rng,
            counters: BTreeMap::new(),
            reader: parse_own_spec,
            read: (0, 0),
            paths: LaneIndex::default(),
            placement: Placement::new(&me, &at, BTreeMap::new(), Bounds::default()),
            budgets: BTreeMap::new(),
            flights: BTreeMap::new(),
            flight: 0,
            contexts: BTreeMap::new(),
            demand: BTreeMap::new(),
        }
    }
    /// Another spelling of the operator's document than the product's own.
    pub fn set_spec_parser(&mut self, r: SpecParser) {
        self.reader = r;
    }
    /// Bounds to keep and the region of each zone; before anything is placed.
    pub fn set_bounds(&mut self, b: Bounds, regions: BTreeMap<String, String>) {
        let policy = self.placement.policy;
        self.placement = Placement::new(&self.name, &self.zone, regions, b);
        self.placement.policy = policy;
    }
    /// Which mechanisms are in force; before anything is placed.
    pub fn set_policy(&mut self, p: Policy) {
        self.placement.policy = p;
    }
    pub fn has(&self, m: Mechanism) -> bool {
        self.placement.policy.is_enabled(m)
    }
    fn count(&mut self, what: &'static str) {
        *self.counters.entry(what).or_default() += 1;
    }
    pub fn is_ready(&self, now: Ms) -> bool {
        self.rule >= STABLE_ONLY && now < self.until && self.whole && self.spec.is_some()
    }
    pub fn spec_version(&self) -> u64 {
        self.state_table.get(SPEC_KEY).map_or(0, |c| c.version)
    }
    pub fn state_table(&self) -> &StateTable {
        &self.state_table
    }
}

#[cfg(test)]
mod tests;
