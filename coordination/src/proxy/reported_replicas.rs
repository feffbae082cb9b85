//! Replicas by their own reports, for callers that name a service.

use std::collections::BTreeMap;

use remote_calls::ReplicaReport;

use crate::{
    Ms,
    timing::{REPORT_MAX_AGE, SLOW_START_DURATION},
};

/// Slots with which a cold replica starts.
const COLD_SLOTS: u32 = 1;
/// A replica that did not report for longer counts as cold again.
const RESTARTED_AFTER: Ms = 5 * REPORT_MAX_AGE;

/// The newest report of one replica.
#[derive(Clone, Debug)]
pub(super) struct ReportedReplica {
    pub report: ReplicaReport,
    received_at: Ms,
    /// Attempts of this proxy that this report cannot know of yet.
    pub sent_since_report: u32,
    /// When each version was first reported ready in this incarnation of the replica.
    ready_since: BTreeMap<String, Ms>,
}

impl ReportedReplica {
    /// Whether the report is recent enough to rely on.
    pub fn is_fresh(&self, now: Ms) -> bool {
        now.saturating_sub(self.received_at) <= REPORT_MAX_AGE
    }

    /// Whether a service's version is ready.
    pub fn is_ready(&self, service: &str, version: &str) -> bool {
        self.report
            .loaded
            .iter()
            .any(|loaded| loaded.ready && loaded.version == version && loaded.service == service)
    }

    /// Requests that run there, as far as is known.
    pub fn load(&self) -> u32 {
        self.report.busy + self.sent_since_report
    }

    /// Slots that a version may use now: a cold replica starts with one and gains the rest as it warms up.
    pub fn slots(&self, version: &str, now: Ms) -> u32 {
        let slots = self.report.slots;
        let Some(ready_since) = self.ready_since.get(version) else {
            return 0;
        };
        let age = now.saturating_sub(*ready_since).min(SLOW_START_DURATION);
        let ramp = u64::from(COLD_SLOTS)
            + u64::from(slots.saturating_sub(COLD_SLOTS)) * age / SLOW_START_DURATION;
        (ramp as u32).min(slots)
    }

    /// Whether a version that is ready has not reached all its slots.
    pub fn is_warming_up(&self, version: &str, now: Ms) -> bool {
        self.ready_since
            .get(version)
            .is_some_and(|since| now.saturating_sub(*since) < SLOW_START_DURATION)
    }
}

/// The newest reports of all replicas.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportedReplicas {
    by_id: BTreeMap<String, ReportedReplica>,
}

impl ReportedReplicas {
    /// The newest report of a replica.
    pub fn get(&self, id: &str) -> Option<&ReportedReplica> {
        self.by_id.get(id)
    }

    /// Takes a report. Says whether the replica restarted since the one before, or was silent for so long that it may
    /// have.
    pub fn on_report(&mut self, report: ReplicaReport, now: Ms) -> bool {
        let previous = self.by_id.remove(&report.replica);
        let mut has_restarted = false;
        let mut ready_since = match previous {
            Some(previous)
                if previous.report.born == report.born
                    && now.saturating_sub(previous.received_at) < RESTARTED_AFTER =>
            {
                previous.ready_since
            }
            Some(_) => {
                has_restarted = true;
                BTreeMap::new()
            }
            None => BTreeMap::new(),
        };
        ready_since.retain(|version, _| {
            let mut ready = report.loaded.iter().filter(|loaded| loaded.ready);
            ready.any(|loaded| loaded.version == *version)
        });
        for loaded in report.loaded.iter().filter(|loaded| loaded.ready) {
            ready_since.entry(loaded.version.clone()).or_insert(now);
        }
        self.by_id.insert(
            report.replica.clone(),
            ReportedReplica {
                report,
                received_at: now,
                sent_since_report: 0,
                ready_since,
            },
        );
        has_restarted
    }

    /// An attempt goes to a replica.
    pub fn on_sent(&mut self, id: &str) {
        if let Some(replica) = self.by_id.get_mut(id) {
            replica.sent_since_report += 1;
        }
    }

    /// An attempt at a replica is over.
    pub fn on_attempt_ended(&mut self, id: &str) {
        if let Some(replica) = self.by_id.get_mut(id) {
            replica.sent_since_report = replica.sent_since_report.saturating_sub(1);
        }
    }
}
