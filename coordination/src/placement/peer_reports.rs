//! What other proxies are to be told: long prompts that were sent, and replicas that failed. Both go out at intervals
//! that grow with the fleet, so that each agent forwards the same however large its fleet.

use std::{collections::BTreeSet, mem};

use wire_messages::Prefill;

use crate::Ms;

/// Interval between two failure reports, for each edge. Failures are few, and each that is not reported costs another
/// request.
const FAILURE_REPORT_INTERVAL_PER_EDGE: Ms = 2;
/// Interval between two prefill reports, for each edge.
const PREFILL_REPORT_INTERVAL_PER_EDGE: Ms = 8;
/// Shortest prefill that is reported, in ms: a shorter one makes nobody late.
const REPORTED_PREFILL_MIN_MS: f64 = 30.0;
/// Prompts in one report; a proxy's share of long ones in a second is a tenth of it.
const REPORTED_PREFILLS_MAX: usize = 64;

/// Reports that were not sent yet.
#[derive(Clone, Debug, Default)]
pub struct PeerReports {
    prefills: Vec<Prefill>,
    prefills_taken_at: Ms,
    failing_replicas: BTreeSet<u64>,
    failures_taken_at: Ms,
}

impl PeerReports {
    /// Whether a prompt that takes so long to prefill is worth a report, and there is room for one.
    pub fn accepts_prefill(&self, prefill_ms: f64) -> bool {
        prefill_ms >= REPORTED_PREFILL_MIN_MS && self.prefills.len() < REPORTED_PREFILLS_MAX
    }

    /// Adds a prompt that was sent.
    pub fn add_prefill(&mut self, prefill: Prefill) {
        self.prefills.push(prefill);
    }

    /// Adds a replica that failed.
    pub fn add_failing(&mut self, replica_number: u64) {
        self.failing_replicas.insert(replica_number);
    }

    /// Prompts to report now; none before the interval is over. Where reports are disabled they are dropped.
    pub fn take_prefills(&mut self, is_enabled: bool, edge_count: usize, now: Ms) -> Vec<Prefill> {
        if now < self.prefills_taken_at + PREFILL_REPORT_INTERVAL_PER_EDGE * edge_count as Ms {
            return vec![];
        }
        self.prefills_taken_at = now;
        if !is_enabled {
            self.prefills.clear();
        }
        mem::take(&mut self.prefills)
    }

    /// Failing replicas to report now; none before the interval is over. Where reports are disabled they are dropped.
    pub fn take_failing(&mut self, is_enabled: bool, edge_count: usize, now: Ms) -> Vec<u64> {
        if now < self.failures_taken_at + FAILURE_REPORT_INTERVAL_PER_EDGE * edge_count as Ms {
            return vec![];
        }
        self.failures_taken_at = now;
        if !is_enabled {
            self.failing_replicas.clear();
        }
        mem::take(&mut self.failing_replicas).into_iter().collect()
    }
}
