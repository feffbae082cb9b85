//! Requests routed by host and path: assigns a replica to each attempt and records the attempt's progress and outcome.

use std::{mem, sync::Arc};

use remote_calls::{DownstreamLimits, Fault, Outcome, PathSpec};
use wire_messages::Name;

use super::{
    Admission, Assignment, OutcomeClass, Proxy,
    context_demand::AssumedCached,
    groups::{Group, merged_by_version},
};
use crate::{
    Ms,
    exchange::{AttemptOutcome, RequestHead, ResponseSignals},
    placement::{Candidate, PlacementRequest, UnnoticedWarmup, prefill_ms},
    policy::Mechanism,
    version_health::log_ms,
};

/// Multiple of a lane's expected time above which a request counts as slow.
pub const SLOW_FACTOR: u64 = 4;
/// Fraction of a prefix chain's prefill time by which the first chunk must be late to count as a cache miss.
const CACHE_MISS_LAG_FRACTION: f64 = 0.8;

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(super) struct OpenAttempt {
    /// Tenant of the request, until the first chunk is received.
    tenant: Name,
    /// Prefill time in ms, until the first chunk is received.
    unfinished_prefill_ms: Option<f64>,
    expected_ms: f64,
    sent_at: Ms,
    slow_after_ms: f64,
    is_slow: bool,
    /// Shared context of the request, if assumed to be cached.
    assumed_cached: Option<AssumedCached>,
}

impl Proxy {
    /// Returns size, duration and idle limits for clients whose requests are routed by host and path.
    pub fn client_limits(&self) -> Option<&DownstreamLimits> {
        self.spec.as_ref()?.limits.as_ref()
    }

    /// Finds the lane of a request.
    ///
    /// # Errors
    /// Returns a rejection if this edge may not serve, or a fault if no lane matches the host and path.
    pub fn find_lane(&mut self, host: &str, path: &str, now: Ms) -> Result<Arc<PathSpec>, Fault> {
        self.serving_spec(now)?;
        self.lanes.find(host, path).ok_or_else(|| {
            Fault::new(
                "not_found",
                "find_lane",
                "no lane matches this host and path",
            )
            .outcome(Outcome::NotRun)
        })
    }

    /// Assigns a replica to a request. `tried` lists the replicas of earlier attempts.
    pub fn assign_by_path(
        &mut self,
        lane: &PathSpec,
        head: &RequestHead,
        tried: &[String],
        until: Ms,
        now: Ms,
    ) -> Admission {
        if now >= until {
            let message = "the request cannot finish in the time left";
            return Admission::Rejected(self.reject("no_time", "nominate", message));
        }
        for service in self.services_by_weight(lane) {
            if tried.is_empty() {
                self.retry_budgets
                    .entry(service.clone())
                    .or_default()
                    .count_first_attempt(&self.placement.bounds, now);
            }
            for group in merged_by_version(self.groups(&service, now)) {
                let request = PlacementRequest {
                    lane,
                    head,
                    tried,
                    evacuated_zones: &self.evacuated,
                };
                let draining = &self.draining;
                let replicas = group.replicas.iter().filter(|id| !draining.contains(*id));
                let chosen = self.placement.choose(&service, replicas, &request, now);
                if let Some(candidate) = chosen {
                    let assignment =
                        self.begin_attempt_by_path(lane, service, group, candidate, head, now);
                    return Admission::Assigned(assignment);
                }
            }
        }
        Admission::Rejected(self.reject(
            "no_replica",
            "nominate",
            "no replica can accept the request now",
        ))
    }

    /// Returns the services of a lane: first one drawn by weight, then the others as fallbacks if it has no replica.
    fn services_by_weight(&mut self, lane: &PathSpec) -> Vec<String> {
        let total_weight: u32 = lane.split.iter().map(|share| share.weight).sum();
        let mut draw = if total_weight > 0 {
            self.rng.u32(..total_weight)
        } else {
            0
        };
        let mut services: Vec<String> = vec![];
        for share in lane.split.iter().filter(|share| share.weight > 0) {
            let is_drawn = draw < share.weight;
            if !services.contains(&share.service) {
                let index = if is_drawn { 0 } else { services.len() };
                services.insert(index, share.service.clone());
            }
            draw = if is_drawn {
                u32::MAX
            } else {
                draw - share.weight
            };
        }
        services
    }

    /// Records that an attempt is sent to the candidate.
    fn begin_attempt_by_path(
        &mut self,
        lane: &PathSpec,
        service: String,
        group: Group,
        candidate: Candidate,
        head: &RequestHead,
        now: Ms,
    ) -> Assignment {
        let assumed_cached = self.count_context_request(lane, &service, &candidate, head, now);
        if self.placement.is_warming_up(&candidate.id, now) {
            self.count("slow_start_attempts");
        }
        let slow_start = self.placement.on_sent(&candidate, head, now);
        self.last_attempt += 1;
        self.open_attempts.insert(
            self.last_attempt,
            OpenAttempt {
                tenant: head.tenant.as_str().into(),
                unfinished_prefill_ms: Some(candidate.prefill_ms),
                expected_ms: candidate.expected_ms,
                sent_at: now,
                slow_after_ms: lane.expected_ms.max(1) as f64 * SLOW_FACTOR as f64,
                is_slow: false,
                assumed_cached,
            },
        );
        let assignment = Assignment {
            service,
            lane: lane.lane.clone(),
            version: group.version,
            replica: candidate.id,
            addr: candidate.addr,
            role: group.role,
            cached: candidate.cached,
            assigned_at: now,
            attempt: self.last_attempt,
            slow_start,
        };
        self.record_sent(&assignment);
        assignment
    }

    /// Draws a retry from the fleet-wide budget; returns whether one was available.
    pub fn try_draw_retry(&mut self, service: &str, now: Ms) -> bool {
        let edge_count = self.placement.edge_count();
        let budget = self.retry_budgets.entry(service.into()).or_default();
        let is_drawn = self.placement.policy.is_enabled(Mechanism::SecondRounds)
            && budget.try_draw_retry(&self.placement.bounds, edge_count, now);
        self.count(if is_drawn {
            "second_rounds"
        } else {
            "second_rounds_denied"
        });
        is_drawn
    }

    /// Returns the warm-ups of which this proxy learned late since the last call, and counts their attempts.
    pub fn take_unnoticed_warmups(&mut self) -> Vec<UnnoticedWarmup> {
        let warmups = self.placement.take_unnoticed_warmups();
        let attempts: usize = warmups.iter().map(|warmup| warmup.attempts).sum();
        if attempts > 0 {
            *self
                .counters
                .entry("attempts_before_warmup_known")
                .or_default() += attempts as u64;
        }
        warmups
    }

    /// Returns the maximum number of connections from this proxy to each replica of a service.
    pub fn max_connections(&self, service: &str) -> usize {
        self.placement.max_connections(service)
    }

    /// Returns the estimated round trip to the assigned replica.
    pub fn round_trip_ms(&self, assignment: &Assignment) -> Ms {
        self.placement.round_trip_ms(&assignment.replica)
    }

    /// Records the time that opening a connection took.
    pub fn on_connected(&mut self, assignment: &Assignment, elapsed: Ms, _now: Ms) {
        self.placement.on_connected(&assignment.replica, elapsed);
    }

    /// Records the load signals of a response head.
    pub fn on_response_head(
        &mut self,
        assignment: &Assignment,
        signals: &ResponseSignals,
        now: Ms,
    ) {
        self.placement
            .on_response_head(&assignment.service, &assignment.replica, signals, now);
    }

    /// Records the arrival of a response's first event or bytes.
    pub fn on_first_chunk(&mut self, assignment: &Assignment, now: Ms) {
        let Some(attempt) = self.open_attempts.get_mut(&assignment.attempt) else {
            return;
        };
        let Some(prefill) = attempt.unfinished_prefill_ms.take() else {
            return;
        };
        let tenant = mem::take(&mut attempt.tenant);
        let elapsed = now.saturating_sub(attempt.sent_at);
        attempt.is_slow = elapsed as f64 > attempt.slow_after_ms;
        let late_ms = (elapsed as f64 - attempt.expected_ms).max(0.0);
        let assumed_cached = attempt.assumed_cached.take();
        // Other prompts also delay a replica. A cache miss is assumed only if the first chunk is late by most of the
        // chain's prefill time, in addition to the replica's recent lag.
        let missed = assumed_cached.filter(|assumed| {
            late_ms - self.placement.first_chunk_lag_ms(&assignment.replica, now)
                > prefill_ms(assumed.chain.tokens) * CACHE_MISS_LAG_FRACTION
        });
        self.placement
            .on_first_chunk(&assignment.replica, prefill, late_ms, now);
        if let Some(missed) = missed {
            self.count_context_miss(assignment, &missed, now);
        }
        self.attempt_counters
            .count(assignment, |counts| counts.first_chunks += 1);
        self.attempt_counters.count(assignment, |counts| {
            counts.first_chunk_log_sum += log_ms(elapsed);
        });
        self.count_usage(tenant, now);
    }

    /// Records that an attempt ended; to be called once per attempt. Returns the version that this proxy starts to cap,
    /// if any.
    pub fn on_attempt_ended(
        &mut self,
        assignment: &Assignment,
        outcome: AttemptOutcome,
        now: Ms,
    ) -> Option<String> {
        let attempt = self.open_attempts.remove(&assignment.attempt)?;
        let replica = &assignment.replica;
        self.placement.on_attempt_ended(
            replica,
            attempt.unfinished_prefill_ms,
            outcome.is_replica_fault(),
            now,
        );
        if outcome == AttemptOutcome::ConnectTimedOut {
            self.placement.on_unreachable(replica, now);
        }
        if outcome == AttemptOutcome::WrongReplica {
            self.placement.remove_replaced(replica);
        }
        let class = outcome_class(outcome, attempt.is_slow);
        self.record_outcome(assignment, class, now)
    }
}

/// Returns the class in which an outcome is counted for its version.
fn outcome_class(outcome: AttemptOutcome, is_slow: bool) -> OutcomeClass {
    match outcome {
        AttemptOutcome::Completed if is_slow => OutcomeClass::Slow,
        AttemptOutcome::Completed => OutcomeClass::Succeeded,
        AttemptOutcome::BodyTimedOut => OutcomeClass::Slow,
        AttemptOutcome::Failed | AttemptOutcome::ResponseTimedOut => OutcomeClass::Failed,
        AttemptOutcome::ConnectRefused
        | AttemptOutcome::ConnectTimedOut
        | AttemptOutcome::AtCapacity
        | AttemptOutcome::WrongReplica => OutcomeClass::NotRun,
        AttemptOutcome::ClientGone => OutcomeClass::ClientGone,
    }
}
