//! Updates of the placement state by the outcomes of this proxy's attempts and by reports of other proxies.

use std::collections::BTreeMap;

use wire_messages::{List, Name, Prefill};

use super::{
    Candidate, Placement, SlowStartAttempt, WarmupEvidence, selection::cacheable_blocks,
    shared_prefix,
};
use crate::{
    Ms,
    exchange::{RequestHead, ResponseSignals},
    policy::Mechanism,
};

/// Suspicion level from which on further failures are not reported, because the other proxies already know of them.
const SUSPICION_REPORTED_MAX: f64 = 1.5;
/// A replica that failed for this long has most likely restarted and is warming up.
const RESTART_AFTER: Ms = 400;
/// Placeholder replica number in the prefix cache, under which all requested prefixes are recorded.
const ANY_REPLICA: u64 = 0;

impl Placement {
    // ---- attempts of this proxy ----

    /// Records that an attempt was sent to the chosen replica. Returns how that begins this proxy's use of a replica
    /// that warms up, if it does.
    pub fn on_sent(
        &mut self,
        candidate: &Candidate,
        head: &RequestHead,
        now: Ms,
    ) -> Option<SlowStartAttempt> {
        let slow_start = self.first_slow_start_attempt(&candidate.id, now);
        let entry = self.replicas.get_mut(&candidate.id)?;
        entry.view.on_sent(candidate.prefill_ms, now);
        let number = entry.view.number;
        let zone = &entry.view.zone;
        self.reachability.on_sent_to_zone(zone, now);
        if self.latency.is_remote(zone) {
            self.reachability
                .on_sent_to_region(self.latency.region(zone), now);
        }
        let blocks: Vec<u64> = cacheable_blocks(shared_prefix(&head.prefix_blocks)).collect();
        self.record_cached(number, &blocks, now);
        // A short prefill delays no other request, and its blocks are either sent again soon or not worth reporting.
        if self.peer_reports.accepts_prefill(candidate.prefill_ms) {
            self.peer_reports.add_prefill(Prefill {
                replica_number: number,
                duration_ms: candidate.prefill_ms as u32,
                blocks: List(blocks),
            });
        }
        slow_start
    }

    fn record_cached(&mut self, replica_number: u64, blocks: &[u64], now: Ms) {
        for block in blocks {
            self.prefix_cache.insert(replica_number, *block, now);
        }
        // The last block identifies the whole chain, on any replica.
        if let Some(last) = blocks.last() {
            let is_new = self.prefix_cache.insert(ANY_REPLICA, *last, now);
            self.prefix_reuse.record(is_new);
        }
    }

    /// Records that a connection to a replica opened, and how long that took.
    pub fn on_connected(&mut self, id: &str, took: Ms) {
        let Some(entry) = self.replicas.get(id) else {
            return;
        };
        let zone = &entry.view.zone;
        self.latency.record(zone, took as f64);
        self.reachability
            .on_response(self.latency.region(zone), zone);
    }

    /// Records that a connection to a replica did not open in time.
    pub fn on_unreachable(&mut self, id: &str, now: Ms) {
        if let Some(entry) = self.replicas.get(id) {
            self.reachability
                .on_unreachable(&entry.view.zone, entry.view.number, now);
        }
    }

    /// Processes the head of a response.
    pub fn on_response_head(
        &mut self,
        service: &str,
        id: &str,
        signals: &ResponseSignals,
        now: Ms,
    ) {
        let slow_start_ms = self.engines.get(service).map_or(0, |engine| engine.cold_ms);
        let Some(entry) = self.replicas.get_mut(id) else {
            return;
        };
        let view = &mut entry.view;
        view.on_response_head(signals, now);
        self.reachability
            .on_response(self.latency.region(&view.zone), &view.zone);
        if let Some((running, waiting, _)) = signals.load {
            self.averages_by_service
                .entry(service.into())
                .or_default()
                .record_load(running + waiting);
        }
        let recovered_after = if signals.is_other_replica {
            None
        } else {
            view.on_recovered(now)
        };
        if let Some(left_ms) = signals.warmup_left_ms.filter(|left_ms| *left_ms > 0) {
            self.start_slow(id, now + left_ms, WarmupEvidence::Response, now);
        }
        if recovered_after.is_some_and(|failed_for| failed_for >= RESTART_AFTER) {
            self.start_slow(id, now + slow_start_ms, WarmupEvidence::Recovery, now);
        }
    }

    /// Records that the first chunk of an attempt arrived `late_ms` later than expected.
    pub fn on_first_chunk(&mut self, id: &str, prefill_ms: f64, late_ms: f64, now: Ms) {
        let Some(entry) = self.replicas.get_mut(id) else {
            return;
        };
        let averages = self
            .averages_by_service
            .entry(entry.service.clone())
            .or_default();
        averages.record_first_chunk_lag(late_ms);
        entry
            .view
            .on_first_chunk(prefill_ms, late_ms, averages, now);
    }

    /// Records that an attempt ended. `unfinished_prefill_ms`: its prefill time, if no first chunk was received.
    /// `failed`: it failed through the replica's fault.
    pub fn on_attempt_ended(
        &mut self,
        id: &str,
        unfinished_prefill_ms: Option<f64>,
        failed: bool,
        now: Ms,
    ) {
        let Some(entry) = self.replicas.get_mut(id) else {
            return;
        };
        entry.view.on_attempt_ended(unfinished_prefill_ms);
        if failed {
            entry.view.on_failure(now);
            self.suspect(id, 0, now);
        } else if unfinished_prefill_ms.is_none() {
            entry.view.suspicion.on_success();
            entry.view.suspicion.on_own_attempt(false, now);
            entry.view.on_connection_idle(now);
        }
    }

    /// Suspects a replica that failed a request of this proxy after `took` ms, and queues a report to the region.
    pub fn suspect(&mut self, id: &str, took: Ms, now: Ms) {
        let Some(entry) = self.replicas.get_mut(id) else {
            return;
        };
        let suspicion = &mut entry.view.suspicion;
        if suspicion.level(now) < SUSPICION_REPORTED_MAX {
            self.peer_reports.add_failing(entry.view.number);
        }
        suspicion.on_failure_report(self.edges.own_name(), now);
        suspicion.on_own_attempt(true, now);
        suspicion.extend_for(took);
    }

    /// Records that a replica completed a request by named service.
    pub fn on_success(&mut self, id: &str) {
        if let Some(entry) = self.replicas.get_mut(id) {
            entry.view.suspicion.on_success();
        }
    }

    /// Removes blocks that a replica prefilled although they were assumed to be cached: they were evicted or never
    /// cached.
    pub fn on_prefix_missed(&mut self, id: &str, blocks: &[u64]) {
        let Some(entry) = self.replicas.get(id) else {
            return;
        };
        for block in blocks {
            self.prefix_cache.remove_block(entry.view.number, *block);
        }
    }

    /// Removes a replica whose address now serves another incarnation, even if the record still lists it.
    pub fn remove_replaced(&mut self, id: &str) {
        // Other proxies keep sending requests for it to the address until the record changes.
        if let Some(entry) = self.replicas.get(id) {
            self.peer_reports.add_failing(entry.view.number);
        }
        self.remove(id);
    }

    // ---- reports to and from other proxies ----

    /// Returns the prefills to report to other proxies now, by the region of the replicas.
    pub fn take_prefills(&mut self, now: Ms) -> BTreeMap<Name, Vec<Prefill>> {
        let is_enabled = self.policy.is_enabled(Mechanism::ToldReadings);
        let edge_count = self.edge_count();
        let mut by_region: BTreeMap<Name, Vec<Prefill>> = BTreeMap::new();
        for prefill in self.peer_reports.take_prefills(is_enabled, edge_count, now) {
            let zone = self
                .replica_ids
                .get(&prefill.replica_number)
                .and_then(|id| self.zone_of(id))
                .unwrap_or_default();
            by_region
                .entry(self.latency.region(zone).into())
                .or_default()
                .push(prefill);
        }
        by_region
    }

    /// Returns the failed replicas to report now to the other proxies of the region, which use the same network paths.
    pub fn take_failing(&mut self, now: Ms) -> Vec<u64> {
        let is_enabled = self.policy.is_enabled(Mechanism::Doubt);
        let edge_count = self.edge_count();
        self.peer_reports.take_failing(is_enabled, edge_count, now)
    }

    /// Records that a replica failed a request of another proxy, which is in `reporter_zone`.
    pub fn on_peer_failure(
        &mut self,
        replica_number: u64,
        reporter: &str,
        reporter_zone: &str,
        now: Ms,
    ) {
        // A failure seen from another region may be a network failure.
        if self.latency.is_remote(reporter_zone) {
            return;
        }
        if let Some(id) = self.replica_ids.get(&replica_number)
            && let Some(entry) = self.replicas.get_mut(id)
        {
            entry.view.suspicion.on_failure_report(reporter, now);
        }
    }

    /// Records that another proxy sent a long prompt.
    pub fn on_peer_prefill(&mut self, prefill: &Prefill, now: Ms) {
        let Some(id) = self.replica_ids.get(&prefill.replica_number) else {
            return;
        };
        let Some(entry) = self.replicas.get_mut(id) else {
            return;
        };
        entry
            .view
            .on_peer_prefill(f64::from(prefill.duration_ms), now);
        self.record_cached(prefill.replica_number, &prefill.blocks, now);
    }
}
