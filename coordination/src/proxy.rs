//! State machine of an edge proxy: enforces the serving permission, assigns replicas to requests, queues or rejects
//! requests, counts outcomes, and nominates an edge for clients that ask where to send a request.
//!
//! There are two kinds of requests. Those that name a service are checked (`request_checks`), may be nominated to
//! another edge (`nomination`), and are sent to replicas that report their slots (`by_name`, `replica_choice`). Those
//! routed by host and path (`by_path`) are sent to the replica with the lowest expected cost, see [`crate::placement`].

mod assignment;
mod attempt_counters;
mod by_name;
mod by_path;
mod canary_credits;
mod context_demand;
mod groups;
mod named_prefixes;
mod named_retries;
mod nomination;
mod outcomes;
mod queue;
mod replica_choice;
mod reported_replicas;
mod reports;
mod request_checks;
mod table_updates;
mod tenants;
mod tier_pressure;
mod usage;
mod version_guard;

pub use assignment::{Admission, Assignment, OutcomeClass};
pub use by_path::SLOW_FACTOR;
pub use tenants::{AdmittedRequest, TenantIndex};

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use remote_calls::{RolloutRecord, Spec};
use wire_messages::{Name, Node, ProxyLease};

use crate::{
    Ms,
    bounds::Bounds,
    control::SPEC_KEY,
    edge_agent::{REJECT_ALL, STABLE_ONLY},
    exchange::LaneIndex,
    placement::{Placement, RetryBudget},
    policy::{Mechanism, Policy},
    rendezvous::rendezvous_weight,
    state_table::{SpecParser, StateTable, VersionStamp, parse_native_spec},
    wall_clock::WallClock,
};
use attempt_counters::AttemptCounters;
use by_path::OpenAttempt;
use canary_credits::CanaryCredits;
use context_demand::ContextDemands;
use named_prefixes::NamedPrefixCache;
use named_retries::NamedRetryBudget;
use queue::SlotQueue;
use reported_replicas::ReportedReplicas;
use table_updates::TablePosition;
use tier_pressure::TierPressure;
use version_guard::VersionGuard;

/// Permission to serve, granted by the colocated agent.
#[derive(Clone, Copy, Debug)]
struct ServingPermission {
    rule: u8,
    valid_until: Ms,
    /// Whether this incarnation has received a snapshot of the agent's state table; changes alone are not enough.
    has_snapshot: bool,
}

/// Current rollout record of a service.
#[derive(Clone, Debug)]
struct RolloutEntry {
    epoch: u64,
    version: u64,
    record: RolloutRecord,
}

/// State machine of one edge proxy.
pub struct Proxy {
    name: Name,
    zone: Name,
    http_addr: Name,
    incarnation: u64,
    rng: fastrand::Rng,
    /// Counters exposed to operators, by name.
    pub counters: BTreeMap<&'static str, u64>,

    // Received from the agent.
    state_table: StateTable,
    table_position: TablePosition,
    permission: ServingPermission,
    leases: BTreeMap<String, ProxyLease>,
    edges: Vec<Node>,

    // Derived from the state table.
    parse_spec: SpecParser,
    spec_stamp: VersionStamp,
    roster_stamp: VersionStamp,
    spec: Option<Arc<Spec>>,
    lanes: LaneIndex,
    /// `None` if the spec defines no tenants.
    tenants: Option<TenantIndex>,
    rollouts: BTreeMap<String, RolloutEntry>,
    draining: BTreeSet<String>,
    evacuated: BTreeSet<String>,
    /// Version of each zone's state.
    zone_stamps: BTreeMap<String, VersionStamp>,

    // Requests that name a service.
    reported_replicas: ReportedReplicas,
    named_prefixes: NamedPrefixCache,
    named_retries: NamedRetryBudget,
    queue: SlotQueue,
    tier_pressure: TierPressure,

    // Requests routed by host and path.
    placement: Placement,
    retry_budgets: BTreeMap<String, RetryBudget>,
    open_attempts: BTreeMap<u64, OpenAttempt>,
    last_attempt: u64,
    context_demands: ContextDemands,

    // Outcomes of both kinds of requests.
    attempt_counters: AttemptCounters,
    canary_credits: CanaryCredits,
    version_guard: VersionGuard,

    wall_clock: WallClock,
}

impl Proxy {
    /// Creates a proxy without state or permission to serve. `seed` must come from a random source, because two proxies
    /// of a fleet must never mint the same request ids.
    pub fn new(name: Name, zone: Name, http_addr: Name, incarnation: u64, seed: u64) -> Self {
        Proxy {
            rng: fastrand::Rng::with_seed(rendezvous_weight(&name, &seed.to_string())),
            counters: BTreeMap::new(),
            state_table: StateTable::default(),
            table_position: TablePosition::default(),
            permission: ServingPermission {
                rule: REJECT_ALL,
                valid_until: 0,
                has_snapshot: false,
            },
            leases: BTreeMap::new(),
            edges: Vec::new(),
            parse_spec: parse_native_spec,
            spec_stamp: (0, 0),
            roster_stamp: (0, 0),
            spec: None,
            lanes: LaneIndex::default(),
            tenants: None,
            rollouts: BTreeMap::new(),
            draining: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            zone_stamps: BTreeMap::new(),
            reported_replicas: ReportedReplicas::default(),
            named_prefixes: NamedPrefixCache::default(),
            named_retries: NamedRetryBudget::default(),
            queue: SlotQueue::default(),
            tier_pressure: TierPressure::default(),
            placement: Placement::new(&name, &zone, BTreeMap::new(), Bounds::default()),
            retry_budgets: BTreeMap::new(),
            open_attempts: BTreeMap::new(),
            last_attempt: 0,
            context_demands: ContextDemands::default(),
            attempt_counters: AttemptCounters::default(),
            canary_credits: CanaryCredits::default(),
            version_guard: VersionGuard::default(),
            wall_clock: WallClock::default(),
            name,
            zone,
            http_addr,
            incarnation,
        }
    }

    /// Replaces the default parser of the spec document.
    pub fn set_spec_parser(&mut self, parser: SpecParser) {
        self.parse_spec = parser;
    }

    /// Sets the bounds and the region of each zone; must be called before anything is placed.
    pub fn set_bounds(&mut self, bounds: Bounds, regions: BTreeMap<String, String>) {
        let policy = self.placement.policy;
        self.placement = Placement::new(&self.name, &self.zone, regions, bounds);
        self.placement.policy = policy;
    }

    /// Sets which mechanisms are enabled; must be called before anything is placed.
    pub fn set_policy(&mut self, policy: Policy) {
        self.placement.policy = policy;
    }

    /// Returns whether a mechanism is enabled.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.placement.policy.is_enabled(mechanism)
    }

    /// Returns whether the proxy may serve requests now.
    pub fn is_ready(&self, now: Ms) -> bool {
        self.permission.rule >= STABLE_ONLY
            && now < self.permission.valid_until
            && self.permission.has_snapshot
            && self.spec.is_some()
    }

    /// Returns the version of the current spec; 0 if there is none.
    pub fn spec_version(&self) -> u64 {
        self.state_table
            .get(SPEC_KEY)
            .map_or(0, |change| change.version)
    }

    /// Returns the state table received from the agent.
    pub fn state_table(&self) -> &StateTable {
        &self.state_table
    }

    fn count(&mut self, counter: &'static str) {
        *self.counters.entry(counter).or_default() += 1;
    }
}

#[cfg(test)]
mod tests;
