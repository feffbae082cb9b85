//! Requests that come by host and path.

use std::sync::Arc;

use remote_calls::{DownstreamLimits, Fault, GroupRole, Outcome, PathSpec};

use super::{Admission, Assignment, Flight, OutcomeClass, Proxy, pools};
use crate::{
    Ms,
    edge_agent::REJECT_ALL,
    pass::{AttemptOutcome, RequestHead, ResponseSignals},
    placement::{Candidate, PlacementRequest, prefill_ms},
    policy::Mechanism,
    version_health::log_ms,
};

/// Ended requests over a lane's expected time by this factor count as slow.
pub const SLOW_FACTOR: u64 = 4;
/// Part of a chain's reading by which a first piece must be late to tell that the chain was read again.
const MISSED_PART: f64 = 0.8;

impl Proxy {
    /// What a caller by host and path may send, and how long it may take or rest.
    pub fn client_limits(&self) -> Option<&DownstreamLimits> {
        self.spec.as_ref()?.limits.as_ref()
    }

    /// The lane of a request, if this edge may serve at all.
    pub fn find_lane(&mut self, host: &str, path: &str, now: Ms) -> Result<Arc<PathSpec>, Fault> {
        if self.rule == REJECT_ALL || now >= self.until {
            return Err(self.reject("no_rule", "check_rule", "this edge may not serve now"));
        }
        if !self.whole || self.spec.is_none() {
            return Err(self.reject("no_spec", "check_rule", "no spec is known yet"));
        }
        let none = || {
            Fault::new("not_found", "find_lane", "no lane has this host and path")
                .outcome(Outcome::NotRun)
        };
        self.paths.find(host, path).ok_or_else(none)
    }

    /// Nominates a replica for a request. `tried`: replicas that it went to before.
    pub fn assign_by_path(
        &mut self,
        lane: &PathSpec,
        ask: &RequestHead,
        tried: &[String],
        until: Ms,
        now: Ms,
    ) -> Admission {
        if now >= until {
            return Admission::Rejected(self.reject(
                "no_time",
                "nominate",
                "it could not end in its time left",
            ));
        }
        for service in self.by_weight(lane) {
            if tried.is_empty() {
                self.budgets
                    .entry(service.clone())
                    .or_default()
                    .count_first_attempt(&self.placement.bounds, now);
            }
            for (role, version, ids) in pools(self.groups(&service, now)) {
                let evacuated = std::mem::take(&mut self.evacuated);
                let leaving = &self.leaving;
                let open = ids.iter().filter(|id| !leaving.contains(*id));
                let w = PlacementRequest {
                    lane,
                    head: ask,
                    tried,
                    evacuated_zones: &evacuated,
                };
                let n = self.placement.choose(&service, open, &w, now);
                self.evacuated = evacuated;
                if let Some(n) = n {
                    return Admission::Assigned(
                        self.fly(lane, service, role, version, n, ask, now),
                    );
                }
            }
        }
        Admission::Rejected(self.reject("no_replica", "nominate", "no replica may take it now"))
    }

    /// Services of a lane, one drawn by weight first; the others may serve it too if that one has nobody.
    fn by_weight(&mut self, lane: &PathSpec) -> Vec<String> {
        let total: u32 = lane.split.iter().map(|s| s.weight).sum();
        let mut x = if total > 0 { self.rng.u32(..total) } else { 0 };
        let mut names: Vec<String> = vec![];
        for s in lane.split.iter().filter(|s| s.weight > 0) {
            if x < s.weight && !names.contains(&s.service) {
                names.insert(0, s.service.clone());
            } else if !names.contains(&s.service) {
                names.push(s.service.clone());
            }
            x = if x < s.weight { u32::MAX } else { x - s.weight };
        }
        names
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one nomination's parts, put together in one place"
    )]
    fn fly(
        &mut self,
        lane: &PathSpec,
        service: String,
        role: GroupRole,
        version: String,
        n: Candidate,
        ask: &RequestHead,
        now: Ms,
    ) -> Assignment {
        let ready = self.ask_context(lane, &service, &n, ask, now);
        self.placement.on_sent(&n, ask, now);
        self.flight += 1;
        let slow = lane.expected_ms.max(1) as f64 * SLOW_FACTOR as f64;
        self.flights.insert(
            self.flight,
            Flight {
                read_ms: Some(n.prefill_ms),
                expected: n.expected_ms,
                at: now,
                slow_ms: slow,
                slow: false,
                ready,
            },
        );
        let p = Assignment {
            service,
            lane: lane.lane.clone(),
            version,
            replica: n.id,
            addr: n.addr,
            role,
            cached: n.cached,
            assigned_at: now,
            attempt: self.flight,
        };
        self.opens((p.replica.clone(), p.version.clone()));
        self.share_out(&p.service, role);
        self.tally(&p, 0);
        p
    }

    /// Draws a second round on the budget that holds over all proxies.
    pub fn try_draw_retry(&mut self, service: &str, now: Ms) -> bool {
        let edges = self.placement.edge_count();
        let b = self.budgets.entry(service.into()).or_default();
        let may = self.placement.policy.is_enabled(Mechanism::SecondRounds)
            && b.try_draw_retry(&self.placement.bounds, edges, now);
        self.count(if may {
            "second_rounds"
        } else {
            "second_rounds_denied"
        });
        may
    }

    /// Most channels this proxy may hold to each replica of a service.
    pub fn max_connections(&self, service: &str) -> usize {
        self.placement.max_connections(service)
    }

    /// ms there and back to a replica, as far as is known.
    pub fn round_trip_ms(&self, p: &Assignment) -> Ms {
        self.placement.round_trip_ms(&p.replica)
    }

    /// A channel was opened; it took so long.
    pub fn on_connected(&mut self, p: &Assignment, took: Ms, _now: Ms) {
        self.placement.on_connected(&p.replica, took);
    }

    /// An answer's head came.
    pub fn on_response_head(&mut self, p: &Assignment, t: &ResponseSignals, now: Ms) {
        self.placement
            .on_response_head(&p.service, &p.replica, t, now);
    }

    /// The first event or bytes of an answer came.
    pub fn on_first_chunk(&mut self, p: &Assignment, now: Ms) {
        let Some(f) = self.flights.get_mut(&p.attempt) else {
            return;
        };
        let Some(read) = f.read_ms.take() else { return };
        let took = now.saturating_sub(f.at) as f64;
        f.slow = took > f.slow_ms;
        let took_ms = now.saturating_sub(f.at);
        let late = (took - f.expected).max(0.0);
        let ready = f.ready.take();
        // Others' prompts make a replica late too: it must be late by most of what reading the shared parts takes, and
        // beyond what it lately was.
        let missed = ready.filter(|r| {
            late - self.placement.first_chunk_lag_ms(&p.replica, now)
                > prefill_ms(r.chain.tokens) * MISSED_PART
        });
        self.placement.on_first_chunk(&p.replica, read, late, now);
        if let Some(r) = missed {
            self.miss_context(p, r, now);
        }
        self.tally(p, 4);
        self.add(p, 5, log_ms(took_ms));
    }

    /// A round ended; said once for each. Gives the version that this proxy begins to cap, if it does.
    pub fn on_attempt_ended(
        &mut self,
        p: &Assignment,
        e: AttemptOutcome,
        now: Ms,
    ) -> Option<String> {
        let f = self.flights.remove(&p.attempt)?;
        let failed = matches!(
            e,
            AttemptOutcome::Failed
                | AttemptOutcome::ConnectRefused
                | AttemptOutcome::ConnectTimedOut
                | AttemptOutcome::ResponseTimedOut
        );
        self.placement
            .on_attempt_ended(&p.replica, f.read_ms, failed, now);
        if e == AttemptOutcome::ConnectTimedOut {
            self.placement.on_unreachable(&p.replica, now);
        }
        if e == AttemptOutcome::WrongReplica {
            self.placement.remove_replaced(&p.replica);
        }
        let ended = match e {
            AttemptOutcome::Completed if f.slow => OutcomeClass::Slow,
            AttemptOutcome::Completed => OutcomeClass::Succeeded,
            AttemptOutcome::Slow => OutcomeClass::Slow,
            AttemptOutcome::Failed | AttemptOutcome::ResponseTimedOut => OutcomeClass::Failed,
            AttemptOutcome::ConnectRefused
            | AttemptOutcome::ConnectTimedOut
            | AttemptOutcome::AtCapacity
            | AttemptOutcome::WrongReplica => OutcomeClass::NotRun,
            AttemptOutcome::ClientGone => OutcomeClass::ClientGone,
        };
        self.record_outcome(p, ended, now)
    }
}
