//! Which replicas may take a request that names a service, and the choice of one of them.

use std::collections::BTreeSet;

use remote_calls::ReplicaReport;

use super::{Proxy, groups::Group, reported_replicas::ReportedReplica};
use crate::{Ms, rendezvous::rendezvous_weight};

/// Percent of a replica's slots that may be taken before a prefix's first choice is passed over.
const AFFINITY_LOAD_MAX_PERCENT: u32 = 75;
/// A KV cache fuller than this takes a replica out for requests without a prefix there.
const KV_CACHE_FILL_MAX_PERCENT: u32 = 95;

/// What counts about a request when a replica is chosen for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct NamedRequest<'a> {
    pub service: &'a str,
    /// Longest first.
    pub prefixes: &'a [String],
    pub rank: u32,
    /// Percent of each replica's slots that its tier leaves to more urgent ones.
    pub keep_free_percent: u32,
}

/// A replica with the number of slots that are meant: all by now, or those that are free for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplicaSlots<'a> {
    pub replica: &'a ReportedReplica,
    pub slots: u32,
}

impl ReplicaSlots<'_> {
    pub fn zone(&self) -> &str {
        &self.replica.report.zone
    }

    pub fn id(&self) -> &str {
        &self.replica.report.replica
    }
}

impl Proxy {
    /// Replicas to ask for their reports: id and address.
    pub fn replicas_to_poll(&self) -> Vec<(String, String)> {
        self.rollouts
            .values()
            .flat_map(|rollout| &rollout.record.replicas)
            // What the record says of a replica's slots makes its report unnecessary.
            .filter(|replica| replica.slots == 0)
            .map(|replica| (replica.id.clone(), replica.addr.clone()))
            .collect()
    }

    /// Takes a replica's report.
    pub fn on_report(&mut self, report: ReplicaReport, now: Ms) {
        let id = report.replica.clone();
        if self.reported_replicas.on_report(report, now) {
            self.named_prefixes.remove_replica(&id);
        }
    }

    /// Whether this proxy is one of those that may use a replica that is still warming up: as many as it has slots, in
    /// the agreed order of the edges of its zone. Otherwise every proxy would give it a request at once.
    fn may_warm_up(&self, replica: &ReportedReplica, version: &str, slots: u32, now: Ms) -> bool {
        if !replica.is_warming_up(version, now) {
            return true;
        }
        let id = &replica.report.replica;
        let zone_edges = || self.serving_edges(&replica.report.zone);
        let Some(own) = zone_edges().find(|edge| edge.http_addr == self.http_addr) else {
            return zone_edges().next().is_none();
        };
        let own_weight = rendezvous_weight(id, &own.name);
        let edges_ahead = zone_edges()
            .filter(|edge| rendezvous_weight(id, &edge.name) > own_weight)
            .count() as u32;
        // What the others have sent since the last report is not known here: each keeps to its share of what that report
        // left free, and those ahead have the remainder.
        let free = slots.saturating_sub(replica.report.busy);
        let edge_count = zone_edges().count() as u32;
        let own_share = free / edge_count + u32::from(edges_ahead < free % edge_count);
        replica.sent_since_report < own_share
    }

    /// Replicas of a group that may take the request, with all their slots by now.
    pub(super) fn usable_replicas(
        &self,
        request: &NamedRequest,
        group: &Group,
        zones: &BTreeSet<String>,
        now: Ms,
    ) -> Vec<ReplicaSlots<'_>> {
        group
            .replicas
            .iter()
            .filter_map(|id| self.reported_replicas.get(id))
            .filter(|replica| self.is_usable(replica, request, &group.version, zones, now))
            .map(|replica| ReplicaSlots {
                replica,
                slots: replica.slots(&group.version, now),
            })
            .filter(|usable| self.may_warm_up(usable.replica, &group.version, usable.slots, now))
            .collect()
    }

    fn is_usable(
        &self,
        replica: &ReportedReplica,
        request: &NamedRequest,
        version: &str,
        zones: &BTreeSet<String>,
        now: Ms,
    ) -> bool {
        let report = &replica.report;
        let has_prefix = || {
            request.prefixes.iter().any(|prefix| {
                self.named_prefixes
                    .contains(&report.replica, version, prefix, now)
            })
        };
        replica.is_fresh(now)
            && !report.leaving
            && !self.draining.contains(&report.replica)
            && zones.contains(&report.zone)
            && replica.is_ready(request.service, version)
            // A full cache has no room for another prefix; one that is there needs none.
            && (report.kv_fill * 100.0 < f64::from(KV_CACHE_FILL_MAX_PERCENT) || has_prefix())
    }

    /// Usable replicas that have slots free within the tier's limit, with the number of these.
    pub(super) fn replicas_with_free_slots(
        &self,
        request: &NamedRequest,
        group: &Group,
        zones: &BTreeSet<String>,
        now: Ms,
    ) -> Vec<ReplicaSlots<'_>> {
        let pressure_percent = self.tier_pressure_percent(request.rank, now);
        let mut free: Vec<ReplicaSlots> = self.usable_replicas(request, group, zones, now);
        for usable in &mut free {
            let slots = usable.slots;
            // A tier's own limit leaves it one slot even on a small replica; the pressure of more urgent tiers does not.
            let own_limit = (slots * (100 - request.keep_free_percent.min(99)) / 100).max(1);
            usable.slots = own_limit
                .min(slots * (100 - pressure_percent) / 100)
                .saturating_sub(usable.replica.load());
        }
        free.retain(|usable| usable.slots > 0);
        // A replica may report that it is well and fail what it is sent: it is left alone while others have free slots.
        let is_unsuspected = |usable: &ReplicaSlots| !self.placement.is_suspected(usable.id(), now);
        if free.iter().any(is_unsuspected) {
            free.retain(is_unsuspected);
        }
        free
    }

    /// The replica for a prompt: the first in its longest prefix's order that is not too busy, else the one with most free.
    pub(super) fn pick_replica<'a>(
        &self,
        free: &[ReplicaSlots<'a>],
        prefixes: &[String],
        version: &str,
        now: Ms,
    ) -> Option<&'a ReportedReplica> {
        for prefix in prefixes {
            let has_room = |candidate: &&ReplicaSlots| {
                let all_slots = candidate.replica.slots(version, now);
                candidate.slots > 0
                    && (self
                        .named_prefixes
                        .contains(candidate.id(), version, prefix, now)
                        || candidate.replica.load() * 100 < all_slots * AFFINITY_LOAD_MAX_PERCENT)
            };
            let first_in_order = free
                .iter()
                .filter(has_room)
                .max_by_key(|candidate| rendezvous_weight(prefix, candidate.id()));
            if let Some(first) = first_in_order {
                return Some(first.replica);
            }
        }
        let most_free = free.iter().max_by_key(|candidate| {
            let all_slots = candidate.replica.report.slots.max(1);
            let free_per_mille = u64::from(candidate.slots) * 1000 / u64::from(all_slots);
            (
                free_per_mille,
                rendezvous_weight(&self.name, candidate.id()),
            )
        });
        most_free.map(|candidate| candidate.replica)
    }
}
