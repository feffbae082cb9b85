//! Counts attempts and their outcomes, and caps versions that fail.

use std::collections::BTreeSet;

use remote_calls::{GroupRole, ServiceMode, ServiceSpec};
use wire_messages::{List, OutcomeCounters};

use super::{
    Assignment, OutcomeClass, Proxy,
    attempt_counters::{AttemptCounts, CounterKey},
    version_guard::{JudgedVersion, RecentOutcomes},
};
use crate::{Ms, version_health::replica_bit};

impl Proxy {
    /// Counts an attempt that is sent to its replica.
    pub(super) fn record_sent(&mut self, assignment: &Assignment) {
        self.attempt_counters.open(assignment);
        let share_percent = self.canary_share_percent(&assignment.service);
        self.canary_credits
            .count(&assignment.service, assignment.role, share_percent);
        self.attempt_counters
            .count(assignment, |counts| counts.sent += 1);
    }

    /// Returns the percentage of a service's requests that its canary may get; 0 if there is no canary.
    fn canary_share_percent(&self, service: &str) -> u32 {
        let has_canary = self.rollouts.get(service).is_some_and(|rollout| {
            let groups = &rollout.record.groups;
            groups.iter().any(|group| group.role == GroupRole::Canary)
        });
        if !has_canary {
            return 0;
        }
        self.leases
            .get(service)
            .map_or(0, |lease| lease.lease.canary_share_percent)
    }

    /// Records the outcome of an attempt. Returns the version that this proxy starts to cap, if any.
    pub fn record_outcome(
        &mut self,
        assignment: &Assignment,
        outcome: OutcomeClass,
        now: Ms,
    ) -> Option<String> {
        self.attempt_counters.close(assignment);
        self.reported_replicas.on_attempt_ended(&assignment.replica);
        // Placement already knows the outcome of attempts routed by host and path.
        if assignment.attempt == 0 {
            self.record_named_outcome(assignment, outcome, now);
        }
        self.count_outcome(assignment, outcome);
        self.judge_version(assignment, now)
    }

    fn record_named_outcome(&mut self, assignment: &Assignment, outcome: OutcomeClass, now: Ms) {
        match outcome {
            OutcomeClass::Succeeded => self.placement.on_success(&assignment.replica),
            OutcomeClass::Failed => {
                let elapsed = now.saturating_sub(assignment.assigned_at);
                self.placement.suspect(&assignment.replica, elapsed, now);
            }
            OutcomeClass::Slow | OutcomeClass::ClientGone | OutcomeClass::NotRun => {}
        }
    }

    fn count_outcome(&mut self, assignment: &Assignment, outcome: OutcomeClass) {
        match outcome {
            OutcomeClass::Succeeded => self
                .attempt_counters
                .count(assignment, |counts| counts.succeeded += 1),
            OutcomeClass::Slow => {
                self.attempt_counters
                    .count(assignment, |counts| counts.succeeded += 1);
                self.attempt_counters
                    .count(assignment, |counts| counts.slow += 1);
            }
            OutcomeClass::Failed => self.attempt_counters.count(assignment, |counts| {
                counts.failed += 1;
                counts.failed_replicas |= replica_bit(&assignment.replica);
            }),
            OutcomeClass::ClientGone | OutcomeClass::NotRun => {}
        }
    }

    /// Caps the attempt's version if this proxy's own counts show failures, before the control plane decides.
    fn judge_version(&mut self, assignment: &Assignment, now: Ms) -> Option<String> {
        let service = &assignment.service;
        let stable = self.rollouts.get(service)?.record.stable.clone();
        let changed = self.attempt_counters.take_unjudged(service);
        let counters = self.outcome_counters(changed.iter(), now);
        self.version_guard
            .add_counters(service, &self.name, self.incarnation, &counters.0, now);
        if assignment.version == stable {
            return None;
        }
        let is_placed =
            |spec: &ServiceSpec| spec.name == *service && spec.mode == ServiceMode::Placed;
        let judged = JudgedVersion {
            service,
            version: &assignment.version,
            stable: &stable,
            is_placed: self
                .spec
                .as_ref()
                .is_some_and(|spec| spec.services.iter().any(is_placed)),
        };
        self.version_guard
            .judge(&judged, now)
            .then(|| assignment.version.clone())
    }

    /// Returns the counters of these cells in wire format.
    pub(super) fn outcome_counters<'a>(
        &self,
        keys: impl Iterator<Item = &'a CounterKey>,
        now: Ms,
    ) -> List<OutcomeCounters> {
        let mut reported_cells = BTreeSet::new();
        keys.filter_map(|key| Some((key, self.attempt_counters.counts(key)?)))
            .map(|(key, counts)| {
                // Recent outcomes are kept across all groups, so only the first group of a cell reports them.
                let is_first_group =
                    reported_cells.insert((&key.service, &key.version, &key.lane, key.cached));
                let recent = if is_first_group {
                    self.version_guard.recent(
                        &key.service,
                        &key.version,
                        &key.lane,
                        key.cached,
                        now,
                    )
                } else {
                    RecentOutcomes::default()
                };
                wire_counters(key, counts, &recent)
            })
            .collect()
    }
}

/// Returns the counters of one cell in wire format.
fn wire_counters(
    key: &CounterKey,
    counts: &AttemptCounts,
    recent: &RecentOutcomes,
) -> OutcomeCounters {
    OutcomeCounters {
        service: key.service.as_str().into(),
        version: key.version.as_str().into(),
        lane: key.lane.as_str().into(),
        cached: key.cached.into(),
        group: key.role as u8,
        sent: counts.sent,
        succeeded: counts.succeeded,
        failed: counts.failed,
        slow: counts.slow,
        recent_ended: recent.ended,
        recent_failed: recent.failed,
        recent_slow: recent.slow,
        first_chunks: counts.first_chunks,
        first_chunk_log_sum: counts.first_chunk_log_sum,
        failed_replicas: counts.failed_replicas,
    }
}
