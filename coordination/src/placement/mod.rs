//! Where a request that came by host and path goes: to the replica with the least expected cost, in ms of waiting or
//! what is worth as much.
//!
//! [`Placement`] is what one proxy knows of all replicas. [`Placement::choose`] narrows the replicas of a service down to
//! those that may take a request (`selection`) and weighs them (`cost`); callers then report what became of each
//! attempt (`events`), and what other proxies reported of theirs (`peer_reports`).

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
mod suspicion;
mod token_bucket;

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
pub use token_bucket::TokenBucket;

pub(crate) use network_latency::CROSS_REGION_ROUND_TRIP_MS;
pub(crate) use prompt::{BYTES_PER_TOKEN, CROSS_REGION_MS_PER_BYTE};

use std::collections::{BTreeMap, BTreeSet};

use remote_calls::{ContextRecord, EngineSpec, PlacedReplica};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Ms,
    bounds::Bounds,
    context::PlacedContext,
    policy::{Mechanism, Policy},
};
use edge_set::EdgeSet;
use peer_reports::PeerReports;
use prefix_reuse::PrefixReuse;
use reachability::Reachability;

/// Connections that one proxy may open to a replica at least, however many proxies share it.
const CONNECTIONS_MIN: usize = 2;

/// One replica of the current list.
#[derive(Clone, Debug)]
struct ReplicaEntry {
    service: String,
    addr: String,
    version: String,
    view: ReplicaView,
}

/// What one proxy knows of the replicas, and by which it places requests.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    replicas: BTreeMap<String, ReplicaEntry>,
    /// Ids of replicas by the numbers of their incarnations.
    replica_ids: BTreeMap<u64, String>,
    engines: BTreeMap<String, EngineSpec>,
    averages_by_service: BTreeMap<String, ServiceAverages>,
    prefix_cache: PrefixCache,
    prefix_reuse: PrefixReuse,
    /// Copies of popular shared context that are ready in this region.
    placed_context: PlacedContext,
    reachability: Reachability,
    edges: EdgeSet,
    peer_reports: PeerReports,
    /// Round trips to zones, as far as they are known.
    pub latency: NetworkLatency,
    /// Bounds that placement keeps to.
    pub bounds: Bounds,
    /// Mechanisms that are in force.
    pub policy: Policy,
    /// Regions that home-bound requests depend on.
    pub home_bound: HomeBoundDemand,
}

impl Placement {
    /// `own_name` is the edge's, `regions` gives the region of each zone.
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

    /// Takes the names of all edges that serve callers, this one's among them.
    pub fn set_edges(&mut self, names: Vec<String>, own_name: &str, now: Ms) {
        self.edges.set(names, own_name, now);
    }

    /// Edges that share what is bounded over all of them; at least one.
    pub fn edge_count(&self) -> usize {
        self.edges.count()
    }

    /// Takes what the engine of a service's replicas can bear.
    pub fn set_engine(&mut self, service: &str, engine: &EngineSpec) {
        self.engines.insert(service.into(), engine.clone());
    }

    /// Takes the replicas of a service as its record has them. `previous_ids`: those of the record before.
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
    }

    fn set_replica(&mut self, service: &str, replica: &PlacedReplica, now: Ms) {
        let (slow_start_ms, engine_slots) = self
            .engines
            .get(service)
            .map_or((0, 0), |engine| (engine.cold_ms, engine.slots));
        // A replica whose slots nobody told is like its service's others, not full.
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
            });
        // What other weights had cached is of no use to these.
        if entry.version != replica.version {
            self.prefix_cache.remove_replica(number);
        }
        entry.addr.clone_from(&replica.addr);
        entry.version.clone_from(&replica.version);
        if replica.cold {
            entry.view.start_slow(now + slow_start_ms.max(1), now);
        }
        self.replica_ids.insert(number, replica.id.clone());
    }

    fn remove(&mut self, id: &str) {
        if let Some(entry) = self.replicas.remove(id) {
            self.prefix_cache.remove_replica(entry.view.number);
            self.replica_ids.remove(&entry.view.number);
        }
    }

    /// Takes a service's copies of shared context; `None` where they are switched off.
    pub fn set_context(&mut self, service: &str, record: Option<&ContextRecord>) {
        match record.filter(|_| self.policy.is_enabled(Mechanism::ContextCopies)) {
            Some(record) => self.placed_context.set(record, self.latency.own_region()),
            None => self.placed_context.remove(service),
        }
    }

    // ---- queries ----

    /// Whether a service's popular shared context is kept ready in regions that request it.
    pub fn has_context(&self, service: &str) -> bool {
        self.placed_context.is_enabled(service)
    }

    /// ms by which a replica's first chunks lately arrive late.
    pub fn first_chunk_lag_ms(&self, id: &str, now: Ms) -> f64 {
        self.replicas.get(id).map_or(0.0, |entry| {
            entry
                .view
                .first_chunk_lag_ms(&self.averages(&entry.service), now)
        })
    }

    /// The zone of a replica, if it is known.
    pub fn zone_of(&self, id: &str) -> Option<&str> {
        self.replicas.get(id).map(|entry| entry.view.zone.as_str())
    }

    /// Round trip to a replica in whole ms, as far as is known.
    pub fn round_trip_ms(&self, id: &str) -> Ms {
        self.zone_of(id)
            .map_or(0, |zone| self.latency.round_trip_ms(zone).ceil() as Ms)
    }

    /// Connections that this proxy may open to one replica: its share of what the replica accepts from all.
    pub fn max_connections(&self, service: &str) -> usize {
        let accepted = self
            .engines
            .get(service)
            .map_or(0, |engine| engine.channels as usize);
        if accepted == 0 {
            usize::MAX
        } else {
            // A fifth is left to proxies that do not know of each other yet.
            (accepted * 4 / 5 / self.edge_count()).max(CONNECTIONS_MIN)
        }
    }

    /// Whether a replica lately failed requests of the region.
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
