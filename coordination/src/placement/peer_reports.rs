//! Reports to other proxies: long prompts that were sent, and replicas that failed. Both are sent at intervals that are
//! proportional to the number of edges, so that the load on each agent does not depend on the size of the fleet.

use std::{collections::BTreeSet, mem};

use wire_messages::Prefill;

use crate::Ms;

/// Interval between two failure reports, in ms per edge. Failures are rare, and each unreported one makes another
/// request fail.
const FAILURE_REPORT_INTERVAL_PER_EDGE: Ms = 2;
/// Interval between two prefill reports, in ms per edge.
const PREFILL_REPORT_INTERVAL_PER_EDGE: Ms = 8;
/// Minimum duration of a reported prefill, in ms; shorter ones delay no other request.
const REPORTED_PREFILL_MIN_MS: f64 = 30.0;
/// Maximum number of prompts in one report, ten times the number of long prompts that a proxy sends per second.
const REPORTED_PREFILLS_MAX: usize = 64;

/// Pending reports.
#[derive(Clone, Debug, Default)]
pub struct PeerReports {
    prefills: Vec<Prefill>,
    prefills_taken_at: Ms,
    failing_replicas: BTreeSet<u64>,
    failures_taken_at: Ms,
}

impl PeerReports {
    /// Returns whether a prefill of this duration is worth a report and the report has space for it.
    pub fn accepts_prefill(&self, prefill_ms: f64) -> bool {
        prefill_ms >= REPORTED_PREFILL_MIN_MS && self.prefills.len() < REPORTED_PREFILLS_MAX
    }

    /// Queues a report of a prompt that was sent.
    pub fn add_prefill(&mut self, prefill: Prefill) {
        self.prefills.push(prefill);
    }

    /// Queues a report of a replica that failed.
    pub fn add_failing(&mut self, replica_number: u64) {
        self.failing_replicas.insert(replica_number);
    }

    /// Returns the prompts to report now; none before the interval has passed. Drops them if reports are disabled.
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

    /// Returns the failing replicas to report now; none before the interval has passed. Drops them if reports are
    /// disabled.
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
