//! Reports of replicas, used for requests that name a service.

use std::collections::BTreeMap;

use remote_calls::ReplicaReport;

use crate::{
    Ms,
    timing::{REPORT_MAX_AGE, SLOW_START_DURATION},
};

/// Slots of a replica at the beginning of its slow start.
const INITIAL_SLOTS: u32 = 1;
/// Time without reports after which a replica is assumed to have restarted, so that its slow start begins again.
const RESTART_ASSUMED_AFTER: Ms = 5 * REPORT_MAX_AGE;

/// Newest report of one replica.
#[derive(Clone, Debug)]
pub(super) struct ReportedReplica {
    pub report: ReplicaReport,
    received_at: Ms,
    /// Attempts sent by this proxy since the report, so not included in it.
    pub sent_since_report: u32,
    /// Time at which each version was first reported ready in this incarnation of the replica.
    ready_since: BTreeMap<String, Ms>,
}

impl ReportedReplica {
    /// Returns whether the report is recent enough to be used.
    pub fn is_fresh(&self, now: Ms) -> bool {
        now.saturating_sub(self.received_at) <= REPORT_MAX_AGE
    }

    /// Returns whether a service's version is ready.
    pub fn is_ready(&self, service: &str, version: &str) -> bool {
        self.report
            .loaded
            .iter()
            .any(|loaded| loaded.ready && loaded.version == version && loaded.service == service)
    }

    /// Returns the estimated number of requests that run on the replica.
    pub fn load(&self) -> u32 {
        self.report.busy + self.sent_since_report
    }

    /// Returns the slots that a version may use now: a replica starts with one and gains the others during slow start.
    pub fn slots(&self, version: &str, now: Ms) -> u32 {
        let slots = self.report.slots;
        let Some(ready_since) = self.ready_since.get(version) else {
            return 0;
        };
        let age = now.saturating_sub(*ready_since).min(SLOW_START_DURATION);
        let available = u64::from(INITIAL_SLOTS)
            + u64::from(slots.saturating_sub(INITIAL_SLOTS)) * age / SLOW_START_DURATION;
        (available as u32).min(slots)
    }

    /// Returns whether a ready version is still in slow start.
    pub fn is_warming_up(&self, version: &str, now: Ms) -> bool {
        self.ready_since
            .get(version)
            .is_some_and(|since| now.saturating_sub(*since) < SLOW_START_DURATION)
    }
}

/// Newest reports of all replicas.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportedReplicas {
    by_id: BTreeMap<String, ReportedReplica>,
}

impl ReportedReplicas {
    /// Returns the newest report of a replica.
    pub fn get(&self, id: &str) -> Option<&ReportedReplica> {
        self.by_id.get(id)
    }

    /// Stores a report. Returns whether the replica restarted since the previous report, or did not report for so long
    /// that it may have restarted.
    pub fn on_report(&mut self, report: ReplicaReport, now: Ms) -> bool {
        let previous = self.by_id.remove(&report.replica);
        let mut has_restarted = false;
        let mut ready_since = match previous {
            Some(previous)
                if previous.report.born == report.born
                    && now.saturating_sub(previous.received_at) < RESTART_ASSUMED_AFTER =>
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

    /// Records that an attempt is sent to a replica.
    pub fn on_sent(&mut self, id: &str) {
        if let Some(replica) = self.by_id.get_mut(id) {
            replica.sent_since_report += 1;
        }
    }

    /// Records that an attempt at a replica ended.
    pub fn on_attempt_ended(&mut self, id: &str) {
        if let Some(replica) = self.by_id.get_mut(id) {
            replica.sent_since_report = replica.sent_since_report.saturating_sub(1);
        }
    }
}
