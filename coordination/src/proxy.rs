//! A proxy's state machine: what it may do, where a request goes, which requests wait and which are rejected, and what is
//! counted. It answers callers that ask where to go, and assigns replicas to requests that have come.
//!
//! Requests come in two ways. Those that name a service are checked (`request_checks`), may be nominated elsewhere
//! (`nomination`), and go to replicas that report their slots (`by_name`, `replica_choice`). Those that come by host and
//! path (`by_path`) go to the replica with the least expected cost, see [`crate::placement`].

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
    state_table::{SpecParser, StateTable, VersionStamp, parse_own_spec},
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
use tier_pressure::TierPressure;
use version_guard::VersionGuard;

/// What the agent lets this proxy serve.
#[derive(Clone, Copy, Debug)]
struct ServingPermission {
    rule: u8,
    valid_until: Ms,
    /// This incarnation has had its agent's whole state table; what changed since is not enough to serve by.
    has_snapshot: bool,
}

/// The current rollout record of a service.
#[derive(Clone, Debug)]
struct RolloutEntry {
    epoch: u64,
    version: u64,
    record: RolloutRecord,
}

/// The state machine of one proxy.
pub struct Proxy {
    name: Name,
    zone: Name,
    http_addr: Name,
    incarnation: u64,
    rng: fastrand::Rng,
    /// Counters that operators see, by name.
    pub counters: BTreeMap<&'static str, u64>,

    // What the agent sent.
    state_table: StateTable,
    permission: ServingPermission,
    leases: BTreeMap<String, ProxyLease>,
    edges: Vec<Node>,

    // What was read from the state table.
    parse_spec: SpecParser,
    spec_stamp: VersionStamp,
    spec: Option<Arc<Spec>>,
    lanes: LaneIndex,
    /// None where the spec knows no tenants.
    tenants: Option<TenantIndex>,
    rollouts: BTreeMap<String, RolloutEntry>,
    draining: BTreeSet<String>,
    evacuated: BTreeSet<String>,

    // Requests that name a service.
    reported_replicas: ReportedReplicas,
    named_prefixes: NamedPrefixCache,
    named_retries: NamedRetryBudget,
    queue: SlotQueue,
    tier_pressure: TierPressure,

    // Requests by host and path.
    placement: Placement,
    retry_budgets: BTreeMap<String, RetryBudget>,
    open_attempts: BTreeMap<u64, OpenAttempt>,
    last_attempt: u64,
    context_demands: ContextDemands,

    // Outcomes of both.
    attempt_counters: AttemptCounters,
    canary_credits: CanaryCredits,
    version_guard: VersionGuard,

    wall_clock: WallClock,
}

impl Proxy {
    /// A proxy that knows nothing yet and may serve nothing. `seed` is random from outside: two proxies of one fleet must
    /// never mint the same ids.
    pub fn new(name: Name, zone: Name, http_addr: Name, incarnation: u64, seed: u64) -> Self {
        Proxy {
            rng: fastrand::Rng::with_seed(rendezvous_weight(&name, &seed.to_string())),
            counters: BTreeMap::new(),
            state_table: StateTable::default(),
            permission: ServingPermission {
                rule: REJECT_ALL,
                valid_until: 0,
                has_snapshot: false,
            },
            leases: BTreeMap::new(),
            edges: Vec::new(),
            parse_spec: parse_own_spec,
            spec_stamp: (0, 0),
            spec: None,
            lanes: LaneIndex::default(),
            tenants: None,
            rollouts: BTreeMap::new(),
            draining: BTreeSet::new(),
            evacuated: BTreeSet::new(),
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

    /// Another parser of the operator's document than the product's own.
    pub fn set_spec_parser(&mut self, parser: SpecParser) {
        self.parse_spec = parser;
    }

    /// Bounds to keep and the region of each zone; before anything is placed.
    pub fn set_bounds(&mut self, bounds: Bounds, regions: BTreeMap<String, String>) {
        let policy = self.placement.policy;
        self.placement = Placement::new(&self.name, &self.zone, regions, bounds);
        self.placement.policy = policy;
    }

    /// Which mechanisms are in force; before anything is placed.
    pub fn set_policy(&mut self, policy: Policy) {
        self.placement.policy = policy;
    }

    /// Whether a mechanism is in force.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.placement.policy.is_enabled(mechanism)
    }

    /// Whether it may serve now.
    pub fn is_ready(&self, now: Ms) -> bool {
        self.permission.rule >= STABLE_ONLY
            && now < self.permission.valid_until
            && self.permission.has_snapshot
            && self.spec.is_some()
    }

    /// Version of the spec that it has; 0 if it has none.
    pub fn spec_version(&self) -> u64 {
        self.state_table
            .get(SPEC_KEY)
            .map_or(0, |change| change.version)
    }

    /// The state that its agent sent.
    pub fn state_table(&self) -> &StateTable {
        &self.state_table
    }

    fn count(&mut self, counter: &'static str) {
        *self.counters.entry(counter).or_default() += 1;
    }
}

#[cfg(test)]
mod tests;
