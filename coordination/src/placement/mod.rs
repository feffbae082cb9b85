//! Chooses the replica for a request that was routed by host and path: the one with the least expected cost, in ms of
//! waiting time or an equivalent.
//!
//! [`Placement`] holds what one proxy knows about all replicas. [`Placement::choose`] filters the replicas of a service
//! (`selection`) and compares their costs (`cost`). Callers then report the outcome of each attempt (`events`) and the
//! reports received from other proxies (`peer_reports`).

mod cost;
mod edge_set;
mod events;
mod home_bound_demand;
mod network_latency;
mod peer_reports;
pub(crate) mod prefix_cache;
mod prefix_reuse;
mod prompt;
mod reachability;
mod replica_view;
mod retry_budget;
mod selection;
mod service_averages;
mod slow_start;
mod suspicion;
mod token_bucket;
mod unnoticed_warmup;
mod view_freshness;
mod warmup_share;

pub use cost::CONNECT_COST_MS;
pub use home_bound_demand::HomeBoundDemand;
pub use network_latency::NetworkLatency;
pub use prefix_cache::PrefixCache;
pub use prompt::{
    cross_region_cost_ms, prefill_ms, prefix_chain, repeated_prefill_cost_ms, shared_prefix,
    token_count,
};
pub use replica_view::{IDLE_CONNECTION_MAX_AGE, ReplicaView};
pub use retry_budget::RetryBudget;
pub use selection::{Candidate, PlacementRequest};
pub use service_averages::ServiceAverages;
pub use slow_start::{SlowStartAttempt, WarmupEvidence};
pub use token_bucket::TokenBucket;
pub use unnoticed_warmup::UnnoticedWarmup;
pub use warmup_share::WarmupShare;

pub(crate) use network_latency::CROSS_REGION_ROUND_TRIP_MS;
pub(crate) use prompt::{BYTES_PER_TOKEN, CROSS_REGION_MS_PER_BYTE};

use std::collections::{BTreeMap, BTreeSet};

use remote_calls::{ContextRecord, EngineSpec, PlacedReplica};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Ms,
    bounds::Bounds,
    context::PlacedContext,
    edge_roster::{EdgePlace, EdgeRoster},
    policy::{Mechanism, Policy},
};
use edge_set::EdgeSet;
use peer_reports::PeerReports;
use prefix_reuse::PrefixReuse;
use reachability::Reachability;
use view_freshness::ViewFreshness;

/// Minimum number of connections that one proxy may open to a replica, regardless of how many proxies share it.
const CONNECTIONS_MIN: usize = 2;

/// A replica of the current list.
#[derive(Clone, Debug)]
struct ReplicaEntry {
    service: String,
    addr: String,
    version: String,
    view: ReplicaView,
    /// This edge's place in the agreed order for the replica, once it was needed; outdated by a new roster.
    edge_place: Option<EdgePlace>,
}

/// What one proxy knows about the replicas, and the state by which it places requests.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    replicas: BTreeMap<String, ReplicaEntry>,
    /// Replica ids by the number of their incarnation.
    replica_ids: BTreeMap<u64, String>,
    engines: BTreeMap<String, EngineSpec>,
    averages_by_service: BTreeMap<String, ServiceAverages>,
    prefix_cache: PrefixCache,
    prefix_reuse: PrefixReuse,
    /// Copies of popular shared context that are available in this region.
    placed_context: PlacedContext,
    reachability: Reachability,
    edges: EdgeSet,
    peer_reports: PeerReports,
    freshness: ViewFreshness,
    /// Warm-ups to be logged that this proxy learned of late.
    unnoticed_warmups: Vec<UnnoticedWarmup>,
    /// Round-trip times to zones, as far as known.
    pub latency: NetworkLatency,
    /// Limits that placement observes.
    pub bounds: Bounds,
    /// Enabled mechanisms.
    pub policy: Policy,
    /// Regions that home-bound requests depend on.
    pub home_bound: HomeBoundDemand,
}

impl Placement {
    /// Creates an empty placement state. `own_name` is the name of the edge, `regions` maps each zone to its region.
    pub fn new(
        own_name: &str,
        zone: &str,
        regions: BTreeMap<String, String>,
        bounds: Bounds,
    ) -> Self {
        Placement {
            edges: EdgeSet::new(own_name),
            latency: NetworkLatency::new(zone, regions),
            bounds,
            ..Placement::default()
        }
    }

    // ---- configuration and membership ----

    /// Sets the number of live edges that the agent knows, including this one, and the name of this one.
    pub fn set_live_edges(&mut self, count: usize, own_name: &str) {
        if self.edges.own_name() != own_name {
            self.forget_edge_places();
        }
        self.edges.set_live(count, own_name);
    }

    /// Replaces the roster of the edges that share fleet-wide limits.
    pub fn set_edge_roster(&mut self, roster: EdgeRoster) {
        self.edges.set_roster(roster);
        self.forget_edge_places();
    }

    fn forget_edge_places(&mut self) {
        for entry in self.replicas.values_mut() {
            entry.edge_place = None;
        }
    }

    /// Returns the number of edges for pacing messages and weighing costs; at least one.
    pub fn edge_count(&self) -> usize {
        self.edges.count()
    }

    /// Returns the number of edges that share fleet-wide limits; `None` if this one has no share.
    pub fn sharing_edges(&self) -> Option<usize> {
        self.edges.sharing_edges()
    }

    /// Sets the limits of the engine that runs a service's replicas.
    pub fn set_engine(&mut self, service: &str, engine: &EngineSpec) {
        self.engines.insert(service.into(), engine.clone());
    }

    /// Applies the replicas of a service's record. `previous_ids`: the replicas of the previous record.
    pub fn set_replicas(
        &mut self,
        service: &str,
        replicas: &[PlacedReplica],
        previous_ids: &BTreeSet<String>,
        now: Ms,
    ) {
        let listed: BTreeSet<&String> = replicas.iter().map(|replica| &replica.id).collect();
        for id in previous_ids.iter().filter(|id| !listed.contains(id)) {
            self.remove(id);
        }
        for replica in replicas {
            self.set_replica(service, replica, now);
        }
        self.freshness.on_record(service, now);
    }

    /// Records contact with the control plane that lasts until `until`.
    pub fn renew_control_contact(&mut self, until: Ms, now: Ms) {
        self.freshness.renew_contact(until, now);
    }

    /// Records that contact with the control plane is lost.
    pub fn lose_control_contact(&mut self, now: Ms) {
        self.freshness.lose_contact(now);
    }

    /// Records that operators have ended the evacuation of a zone.
    pub fn on_zone_restored(&mut self, zone: &str, now: Ms) {
        self.freshness.on_zone_restored(zone, now);
    }

    fn set_replica(&mut self, service: &str, replica: &PlacedReplica, now: Ms) {
        let (slow_start_ms, engine_slots) = self
            .engines
            .get(service)
            .map_or((0, 0), |engine| (engine.cold_ms, engine.slots));
        // A replica with an unknown number of slots gets the service's default; 0 slots would count as full.
        let slots = if replica.slots > 0 {
            replica.slots
        } else {
            engine_slots
        };
        let number = xxh3_64(replica.id.as_bytes());
        let entry = self
            .replicas
            .entry(replica.id.clone())
            .or_insert_with(|| ReplicaEntry {
                service: service.into(),
                addr: replica.addr.clone(),
                version: replica.version.clone(),
                view: ReplicaView::new(number, &replica.zone, slots),
                edge_place: None,
            });
        // The cache contents of another version of the weights are of no use.
        if entry.version != replica.version {
            self.prefix_cache.remove_replica(number);
        }
        entry.addr.clone_from(&replica.addr);
        entry.version.clone_from(&replica.version);
        self.replica_ids.insert(number, replica.id.clone());
        if replica.cold {
            let until = now + slow_start_ms.max(1);
            self.start_slow(&replica.id, until, WarmupEvidence::Record, now);
        }
    }

    fn remove(&mut self, id: &str) {
        if let Some(entry) = self.replicas.remove(id) {
            self.prefix_cache.remove_replica(entry.view.number);
            self.replica_ids.remove(&entry.view.number);
        }
    }

    /// Sets a service's copies of shared context; `None` if they are disabled.
    pub fn set_context(&mut self, service: &str, record: Option<&ContextRecord>) {
        match record.filter(|_| self.policy.is_enabled(Mechanism::ContextCopies)) {
            Some(record) => self.placed_context.set(record, self.latency.own_region()),
            None => self.placed_context.remove(service),
        }
    }

    // ---- queries ----

    /// Returns whether copies of a service's popular shared context are kept in the regions that request it.
    pub fn has_context(&self, service: &str) -> bool {
        self.placed_context.is_enabled(service)
    }

    /// Returns the recent delay of a replica's first chunks, in ms.
    pub fn first_chunk_lag_ms(&self, id: &str, now: Ms) -> f64 {
        self.replicas.get(id).map_or(0.0, |entry| {
            entry
                .view
                .first_chunk_lag_ms(&self.averages(&entry.service), now)
        })
    }

    /// Returns whether a replica is known to be warming up.
    pub fn is_warming_up(&self, id: &str, now: Ms) -> bool {
        self.replicas
            .get(id)
            .is_some_and(|entry| entry.view.is_warming_up(now))
    }

    /// Returns the zone of a replica, if known.
    pub fn zone_of(&self, id: &str) -> Option<&str> {
        self.replicas.get(id).map(|entry| entry.view.zone.as_str())
    }

    /// Returns the round-trip time to a replica in whole ms, as far as known.
    pub fn round_trip_ms(&self, id: &str) -> Ms {
        self.zone_of(id)
            .map_or(0, |zone| self.latency.round_trip_ms(zone).ceil() as Ms)
    }

    /// Returns the maximum number of connections from this proxy to one replica: its share of the replica's limit.
    pub fn max_connections(&self, service: &str) -> usize {
        let accepted = self
            .engines
            .get(service)
            .map_or(0, |engine| engine.channels as usize);
        if accepted == 0 {
            return usize::MAX;
        }
        // A fifth is reserved for proxies that have not received the newest roster.
        let share = self
            .sharing_edges()
            .map_or(0, |edges| accepted * 4 / 5 / edges.max(1));
        share.max(CONNECTIONS_MIN)
    }

    /// Returns whether a replica recently failed requests of the region.
    pub fn is_suspected(&self, id: &str, now: Ms) -> bool {
        self.replicas.get(id).is_some_and(|entry| {
            entry.view.suspicion.level(now) >= suspicion::SUSPICION_AVOID_THRESHOLD
        })
    }

    fn averages(&self, service: &str) -> ServiceAverages {
        self.averages_by_service
            .get(service)
            .copied()
            .unwrap_or_default()
    }
}
