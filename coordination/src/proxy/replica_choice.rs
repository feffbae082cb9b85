//! Selects a replica for a request that names a service.

use std::collections::BTreeSet;

use remote_calls::ReplicaReport;

use super::{Proxy, groups::Group, reported_replicas::ReportedReplica};
use crate::{Ms, rendezvous::rendezvous_weight};

/// Percentage of slots in use above which a prefix's preferred replica is skipped.
const AFFINITY_LOAD_MAX_PERCENT: u32 = 75;
/// KV cache fill level in percent above which a replica accepts only requests with a prefix cached there.
const KV_CACHE_FILL_MAX_PERCENT: u32 = 95;

/// Properties of a request that the choice of a replica depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct NamedRequest<'a> {
    pub service: &'a str,
    /// Longest first.
    pub prefixes: &'a [String],
    pub rank: u32,
    /// Percentage of each replica's slots that the request's tier leaves to more urgent tiers.
    pub keep_free_percent: u32,
}

/// A replica and a number of its slots: either all that it may use now, or those free for a request.
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
    /// Returns the id and address of each replica to poll for reports.
    pub fn replicas_to_poll(&self) -> Vec<(String, String)> {
        self.rollouts
            .values()
            .flat_map(|rollout| &rollout.record.replicas)
            // A replica whose slots are in the record needs no report.
            .filter(|replica| replica.slots == 0)
            .map(|replica| (replica.id.clone(), replica.addr.clone()))
            .collect()
    }

    /// Stores a replica's report.
    pub fn on_report(&mut self, report: ReplicaReport, now: Ms) {
        let id = report.replica.clone();
        if self.reported_replicas.on_report(report, now) {
            self.named_prefixes.remove_replica(&id);
        }
    }

    /// Returns whether this proxy may use the replica. A replica in slow start is used by at most as many proxies as it
    /// has slots, in the agreed order of its zone's edges; otherwise all proxies would send it a request at once.
    fn may_send_to(&self, replica: &ReportedReplica, version: &str, slots: u32, now: Ms) -> bool {
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
        // Requests that other proxies sent since the last report are unknown here: each proxy stays within its share of
        // the slots free in that report, and the remainder goes to the proxies first in the order.
        let free = slots.saturating_sub(replica.report.busy);
        let edge_count = zone_edges().count() as u32;
        let own_share = free / edge_count + u32::from(edges_ahead < free % edge_count);
        replica.sent_since_report < own_share
    }

    /// Returns the replicas of a group that may run the request, with all slots that they may use now.
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
            .filter(|usable| self.may_send_to(usable.replica, &group.version, usable.slots, now))
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
            // A full cache has no room for a new prefix, but requests with a cached prefix need none.
            && (report.kv_fill * 100.0 < f64::from(KV_CACHE_FILL_MAX_PERCENT) || has_prefix())
    }

    /// Returns the usable replicas with free slots within the tier's limit, and the number of these slots.
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
            // A tier's own limit leaves it at least one slot even on a small replica; tier pressure may leave it none.
            let own_limit = (slots * (100 - request.keep_free_percent.min(99)) / 100).max(1);
            usable.slots = own_limit
                .min(slots * (100 - pressure_percent) / 100)
                .saturating_sub(usable.replica.load());
        }
        free.retain(|usable| usable.slots > 0);
        // A replica may report to be healthy but fail its requests: it is skipped while others have free slots.
        let is_unsuspected = |usable: &ReplicaSlots| !self.placement.is_suspected(usable.id(), now);
        if free.iter().any(is_unsuspected) {
            free.retain(is_unsuspected);
        }
        free
    }

    /// Picks the replica for a prompt: the first in its longest prefix's order that is not too busy, else the one with
    /// the largest fraction of free slots.
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
