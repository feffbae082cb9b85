//! Slow start: a replica that warms up bears a low rate of requests, which the edges share.

use std::fmt;

use super::{Placement, PlacementRequest, TokenBucket};
use crate::{Ms, policy::Mechanism};

/// Fraction of the slow-start rate of a replica that all proxies together use; the rest covers proxies that have not
/// received the newest roster.
const SLOW_START_RATE_FRACTION: f64 = 0.9;
/// Fraction of the burst that a replica accepts above its slow-start rate, available to the proxies' first attempts
/// together; the rest covers proxies of other rosters.
const SLOW_START_BURST_FRACTION: f64 = 0.7;

/// Depth of the token bucket: attempts on a replica that is warming up never come in bursts.
const SLOW_START_BUCKET_DEPTH: f64 = 1.0;

/// How a proxy learned that a replica is warming up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmupEvidence {
    /// The service's record says so.
    Record,
    /// The replica's response said so.
    Response,
    /// The replica responds again after it failed for so long that it has most likely restarted.
    Recovery,
}

impl fmt::Display for WarmupEvidence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            WarmupEvidence::Record => "record",
            WarmupEvidence::Response => "response",
            WarmupEvidence::Recovery => "recovery",
        })
    }
}

/// One proxy's view of a warm-up.
#[derive(Clone, Debug)]
pub(super) struct Warmup {
    pub evidence: WarmupEvidence,
    /// When it is assumed to be complete.
    pub until: Ms,
    /// Whether this proxy has sent the replica an attempt since it began.
    pub is_used: bool,
    bucket: Option<TokenBucket>,
}

impl Warmup {
    pub fn new(evidence: WarmupEvidence, until: Ms) -> Self {
        Warmup {
            evidence,
            until,
            is_used: false,
            bucket: None,
        }
    }

    /// Returns whether the replica may get another attempt from this proxy, whose share is `rate` per second.
    pub fn allows(&mut self, rate: f64, now: Ms) -> bool {
        let bucket = self
            .bucket
            .get_or_insert_with(|| TokenBucket::new(rate, SLOW_START_BUCKET_DEPTH, now));
        bucket.set_rate(rate, now);
        bucket.has_token(now)
    }

    /// Records that an attempt was sent.
    pub fn on_sent(&mut self, now: Ms) {
        self.is_used = true;
        if let Some(bucket) = &mut self.bucket {
            bucket.try_draw(now);
        }
    }
}

/// One proxy's share of the slow-start rate of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartShare {
    /// Attempts per second; 0 if other proxies are to warm the replica up.
    pub rate: f64,
    /// Edges of the roster; 0 if this proxy's edge is not listed and so has no share.
    pub edges: usize,
    /// Edges that precede this proxy's in the agreed order for the replica.
    pub edges_ahead: usize,
}

/// This proxy's first attempt at a replica during one warm-up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartAttempt {
    /// How the proxy learned of the warm-up.
    pub evidence: WarmupEvidence,
    /// Time until the proxy takes the warm-up for complete, in ms.
    pub left_ms: Ms,
    /// The proxy's share of the rate.
    pub share: SlowStartShare,
}

impl fmt::Display for SlowStartAttempt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SlowStartShare {
            rate,
            edges,
            edges_ahead,
        } = self.share;
        write!(
            formatter,
            "known_by={} left_ms={} rate={rate:.2} edges={edges} ahead={edges_ahead}",
            self.evidence, self.left_ms
        )
    }
}

impl Placement {
    /// Returns the replicas that are warming up and have used up this proxy's share of their slow-start rate.
    pub(super) fn held_back_by_slow_start<'a>(
        &mut self,
        service: &str,
        ids: &[&'a String],
        request: &PlacementRequest,
        now: Ms,
    ) -> Vec<&'a String> {
        let warming_up: Vec<&String> = ids
            .iter()
            .copied()
            .filter(|id| {
                self.replicas.get(id.as_str()).is_some_and(|entry| {
                    entry.view.is_warming_up(now) && self.is_zone_allowed(&entry.view.zone, request)
                })
            })
            .collect();
        let mut held_back = vec![];
        for id in warming_up {
            let rate = self
                .slow_start_share(service, id)
                .map_or(f64::MAX, |share| share.rate);
            if let Some(entry) = self.replicas.get_mut(id.as_str())
                && !entry.view.slow_start_allows(rate, now)
            {
                held_back.push(id);
            }
        }
        held_back
    }

    /// Returns this proxy's share of a replica's slow-start rate; `None` if the rate is unlimited.
    fn slow_start_share(&self, service: &str, replica_id: &str) -> Option<SlowStartShare> {
        let engine_rate = self
            .engines
            .get(service)
            .and_then(|engine| engine.cold_rate)
            .filter(|_| self.policy.is_enabled(Mechanism::ColdRamp));
        let rate = engine_rate.filter(|rate| *rate > 0.0)?;
        // All proxies that warm the replica up may send an attempt at the same moment, so there are no more of them
        // than the attempts that the replica accepts above its rate.
        let burst = rate * (self.bounds.cold_over - 1.0).max(0.0) + self.bounds.cold_slack;
        let proxies_max = (burst * SLOW_START_BURST_FRACTION).max(1.0) as usize;
        let Some(edges) = self.edges.sharing_edges() else {
            return Some(SlowStartShare::default());
        };
        let proxies = edges.min(proxies_max);
        let edges_ahead = self.edges.edges_ahead(replica_id);
        Some(SlowStartShare {
            rate: if edges_ahead >= proxies {
                0.0
            } else {
                rate * SLOW_START_RATE_FRACTION / proxies as f64
            },
            edges,
            edges_ahead,
        })
    }

    /// Returns how this proxy begins to use a replica that warms up; `None` unless its next attempt is its first one
    /// since the warm-up began.
    pub(super) fn first_slow_start_attempt(
        &self,
        replica_id: &str,
        now: Ms,
    ) -> Option<SlowStartAttempt> {
        let entry = self.replicas.get(replica_id)?;
        let warmup = entry.view.warmup(now).filter(|warmup| !warmup.is_used)?;
        Some(SlowStartAttempt {
            evidence: warmup.evidence,
            left_ms: warmup.until.saturating_sub(now),
            share: self.slow_start_share(&entry.service, replica_id)?,
        })
    }
}
