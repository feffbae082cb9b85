//! Nominates the edge to which a client should send a request that names a service.

use std::collections::BTreeSet;

use remote_calls::{Fault, NominateRequest, Nomination};
use wire_messages::Node;

use super::{
    Proxy, queue::QUEUED_REQUESTS_MAX, replica_choice::NamedRequest,
    request_checks::find_named_lane,
};
use crate::{Ms, claims, rendezvous::rendezvous_weight};

/// Queued requests of a rank or a more urgent one at which clients are no longer sent to an edge to wait for a slot.
const QUEUED_BEFORE_NOMINATION_MAX: usize = QUEUED_REQUESTS_MAX / 4;

impl Proxy {
    /// Nominates an edge for a request and mints a request id.
    ///
    /// # Errors
    /// Returns a fault if the request is invalid, or a rejection if no replica can accept it.
    pub fn nominate(&mut self, request: &NominateRequest, now: Ms) -> Result<Nomination, Fault> {
        let spec = self.serving_spec(now)?;
        let lane = find_named_lane(&spec, &request.service, &request.lane, &request.tier)?;
        let homes = self.available_homes(lane.service, &request.homes)?;
        self.check_time_left(lane.lane, request.time_left_ms, "nominate")?;
        let named = NamedRequest {
            service: &request.service,
            prefixes: &request.prefixes,
            rank: lane.rank,
            keep_free_percent: lane.keep_free_percent,
        };
        let mut zone = self.zone_with_free_slot(&named, homes.clone(), now);
        if zone.is_none() {
            self.raise_tier_pressure(lane.rank, now);
            zone = self.zone_to_queue_in(&named, &homes, now);
        }
        let Some(zone) = zone else {
            let message = "no ready replica in these home zones has a free slot for this tier";
            return Err(self.reject("full", "nominate", message));
        };
        Ok(self.nominate_edge(&zone))
    }

    /// Returns the zone of the replica that the request would be assigned now.
    fn zone_with_free_slot(
        &mut self,
        request: &NamedRequest,
        homes: BTreeSet<String>,
        now: Ms,
    ) -> Option<String> {
        for zones in self.zone_preferences(homes) {
            for group in self.groups(request.service, now) {
                let mut free = self.replicas_with_free_slots(request, &group, &zones, now);
                // The request must be sent to an edge inside its home zones, so a zone without an edge cannot be used.
                free.retain(|candidate| self.has_edge(candidate.zone()));
                if let Some(replica) =
                    self.pick_replica(&free, request.prefixes, &group.version, now)
                {
                    return Some(replica.report.zone.clone());
                }
            }
        }
        None
    }

    /// Returns a zone where a request that finds no free slot may be queued. Only for tiers that have less urgent ones,
    /// which lose slots in the meantime, and only while few requests are queued here.
    fn zone_to_queue_in(
        &mut self,
        request: &NamedRequest,
        homes: &BTreeSet<String>,
        now: Ms,
    ) -> Option<String> {
        let has_less_urgent_tiers = self
            .spec
            .as_ref()
            .is_some_and(|spec| spec.tiers.iter().any(|tier| tier.rank > request.rank));
        if !has_less_urgent_tiers
            || self.queue.len_through_rank(request.rank) >= QUEUED_BEFORE_NOMINATION_MAX
        {
            return None;
        }
        // A zone is listed once per usable replica, so that the draw is weighted by replicas.
        let mut zones: Vec<String> = vec![];
        for group in self.groups(request.service, now) {
            let usable = self.usable_replicas(request, &group, homes, now);
            let reachable = usable
                .iter()
                .map(|candidate| candidate.zone())
                .filter(|zone| self.has_edge(zone));
            zones.extend(reachable.map(str::to_string));
        }
        self.rng.choice(&zones).cloned()
    }

    /// Nominates an edge of the zone, preferably this one. The zone must have an edge.
    fn nominate_edge(&mut self, zone: &str) -> Nomination {
        let random = self.rng.u64(..);
        let zone_edges: Vec<&Node> = self.serving_edges(zone).collect();
        let own_edge = zone_edges.iter().find(|edge| edge.name == self.name);
        let edge = own_edge.copied().unwrap_or_else(|| {
            let key = random.to_string();
            zone_edges
                .iter()
                .copied()
                .max_by_key(|edge| rendezvous_weight(&key, &edge.name))
                .unwrap_or(zone_edges[0])
        });
        let nomination = Nomination {
            proxy: edge.http_addr.to_string(),
            zone: edge.zone.to_string(),
            request: claims::mint_request_id(random, self.edges.clone()),
        };
        self.count("nominated");
        nomination
    }

    /// Returns the edges of a zone that serve clients.
    pub(super) fn serving_edges<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Node> {
        self.edges
            .iter()
            .filter(move |edge| *edge.zone == *zone && !edge.http_addr.is_empty())
    }

    fn has_edge(&self, zone: &str) -> bool {
        self.serving_edges(zone).next().is_some()
    }
}
