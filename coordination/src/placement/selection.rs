//! Filters the replicas that may take a request and chooses one of them.

use std::collections::BTreeSet;

use remote_calls::PathSpec;

use super::{Placement, PrefixCache, ReplicaEntry};
use crate::{
    Ms,
    exchange::{PrefixBlock, RequestHead},
    policy::Mechanism,
};

/// Minimum size of a shared block that is tracked, in tokens.
const CACHED_BLOCK_TOKENS_MIN: u32 = 200;

/// The replica chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Id of the replica.
    pub id: String,
    /// IP:port of the replica.
    pub addr: String,
    /// Version that the replica serves.
    pub version: String,
    /// Whether the prompt's shared prefix is assumed to be in the replica's cache.
    pub cached: bool,
    /// Time to prefill the prompt on the replica, in ms.
    pub prefill_ms: f64,
    /// Expected time to the first chunk, in ms.
    pub expected_ms: f64,
}

/// The request for which a replica is chosen.
pub struct PlacementRequest<'a> {
    /// Lane of the request.
    pub lane: &'a PathSpec,
    /// Head of the request.
    pub head: &'a RequestHead,
    /// Replicas that were already tried.
    pub tried: &'a [String],
    /// Zones that operators have evacuated.
    pub evacuated_zones: &'a BTreeSet<String>,
}

/// Properties of a zone for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ZoneView<'a> {
    name: &'a str,
    pub round_trip_ms: f64,
    /// Whether the zone is in another region.
    pub is_remote: bool,
    /// Whether home regions and evacuations permit the zone.
    is_allowed: bool,
    /// Whether more urgent, home-bound requests depend on the zone.
    pub is_contended: bool,
    /// Whether the zone responds or another attempt is due.
    is_reachable: bool,
}

/// A replica that may take a request, and its cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScoredReplica<'a> {
    id: &'a str,
    pub entry: &'a ReplicaEntry,
    pub zone: ZoneView<'a>,
    /// Whether the replica is assumed to have the prompt's shared prefix cached.
    pub is_cached: bool,
    /// Whether a context copy of the prefix is planned on the replica.
    pub has_placed_copy: bool,
    /// Expected cost in ms of waiting time or an equivalent.
    pub cost_ms: f64,
}

/// Retains only the replicas that satisfy the condition, or all of them if none does.
fn retain_if_any<'a>(
    replicas: &mut Vec<ScoredReplica<'a>>,
    condition: impl Fn(&ScoredReplica<'a>) -> bool,
) {
    if replicas.iter().any(&condition) {
        replicas.retain(condition);
    }
}

/// Returns the ids of the blocks that are large enough to track.
pub(super) fn cacheable_blocks(blocks: &[PrefixBlock]) -> impl Iterator<Item = u64> {
    blocks
        .iter()
        .filter(|(_, tokens)| *tokens >= CACHED_BLOCK_TOKENS_MIN)
        .map(|(id, _)| *id)
}

/// Returns whether a replica is assumed to have cached all blocks that are large enough to track, and there is such a
/// block.
pub(super) fn caches_prefix(
    cache: &PrefixCache,
    replica_number: u64,
    blocks: &[PrefixBlock],
    now: Ms,
) -> bool {
    cacheable_blocks(blocks).all(|id| cache.contains(replica_number, id, now))
        && cacheable_blocks(blocks).next().is_some()
}

impl Placement {
    /// Chooses the replica with the least expected cost from those of `replica_ids` that may take the request.
    pub fn choose<'a>(
        &mut self,
        service: &str,
        replica_ids: impl Iterator<Item = &'a String>,
        request: &PlacementRequest,
        now: Ms,
    ) -> Option<Candidate> {
        let mut untried: Vec<&String> = replica_ids
            .filter(|id| !request.tried.contains(id))
            .collect();
        let held_back = self.held_back_by_slow_start(service, &untried, request, now);
        untried.retain(|id| !held_back.contains(id));
        let mut replicas = self.allowed_replicas(service, &untried, request, now);
        // Failing replicas are used only if there are no others.
        retain_if_any(&mut replicas, |replica| {
            replica.entry.view.is_available(now)
        });
        // An unreachable region or zone is retried after a backoff, not at each of its replicas.
        retain_if_any(&mut replicas, |replica| replica.zone.is_reachable);
        self.score(service, &mut replicas, request, now);
        let best = replicas
            .iter()
            .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))?;
        Some(Self::candidate(best, request, now))
    }

    fn candidate(replica: &ScoredReplica, request: &PlacementRequest, now: Ms) -> Candidate {
        let prefill_ms = Self::prefill_ms_at(replica, request);
        let entry = replica.entry;
        Candidate {
            id: replica.id.into(),
            addr: entry.addr.clone(),
            version: entry.version.clone(),
            cached: replica.is_cached,
            prefill_ms,
            expected_ms: replica.zone.round_trip_ms
                + entry.view.pending_prefill_ms(now)
                + prefill_ms,
        }
    }

    /// Returns the known replicas in zones that are permitted for the request.
    fn allowed_replicas<'a>(
        &'a self,
        service: &str,
        ids: &[&'a String],
        request: &PlacementRequest,
        now: Ms,
    ) -> Vec<ScoredReplica<'a>> {
        let mut zones: Vec<ZoneView> = vec![];
        let mut allowed: Vec<ScoredReplica> = vec![];
        for id in ids {
            let Some(entry) = self.replicas.get(id.as_str()) else {
                continue;
            };
            let zone = self.zone_view(service, &mut zones, &entry.view.zone, request, now);
            if zone.is_allowed {
                allowed.push(ScoredReplica {
                    id,
                    entry,
                    zone,
                    is_cached: false,
                    has_placed_copy: false,
                    cost_ms: 0.0,
                });
            }
        }
        allowed
    }

    // ---- zones ----

    /// Returns whether home regions and evacuations permit a zone for a request.
    pub(super) fn is_zone_allowed(&self, zone: &str, request: &PlacementRequest) -> bool {
        let region = self.latency.region(zone);
        let homes = &request.lane.homes;
        let is_home = homes.is_empty() || homes.iter().any(|home| home == region);
        is_home && !request.evacuated_zones.contains(zone)
    }

    /// Returns the properties of a zone for this request, computed once for all its replicas.
    fn zone_view<'a>(
        &'a self,
        service: &str,
        known: &mut Vec<ZoneView<'a>>,
        zone: &'a str,
        request: &PlacementRequest,
        now: Ms,
    ) -> ZoneView<'a> {
        if let Some(view) = known.iter().find(|view| view.name == zone) {
            return *view;
        }
        let region = self.latency.region(zone);
        let view = ZoneView {
            name: zone,
            round_trip_ms: self.latency.round_trip_ms(zone),
            is_remote: self.latency.is_remote(zone),
            is_allowed: self.is_zone_allowed(zone, request),
            is_contended: self.policy.is_enabled(Mechanism::NeededRegions)
                && self
                    .home_bound
                    .has_more_urgent(service, request.lane.rank, region),
            is_reachable: self.is_zone_reachable(zone, now),
        };
        known.push(view);
        view
    }

    fn is_zone_reachable(&self, zone: &str, now: Ms) -> bool {
        let region = self.latency.region(zone);
        let checks_zone = self.policy.is_enabled(Mechanism::ZoneReach);
        let checks_region =
            self.policy.is_enabled(Mechanism::RegionReach) && self.latency.is_remote(zone);
        (!checks_zone || self.reachability.may_try_zone(zone, now))
            && (!checks_region || self.reachability.may_try_region(region, now))
    }
}
