//! Slow start: a replica that warms up bears a low rate of requests, which the edges share.

use std::fmt;

use super::{Placement, PlacementRequest, TokenBucket, WarmupShare};
use crate::Ms;

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
    /// The replica's zone was evacuated until just now, and its replicas may have restarted meanwhile.
    ZoneRestored,
    /// This proxy has no contact with the control plane, or not for long enough to have learned of every warm-up.
    NoContact,
}

impl fmt::Display for WarmupEvidence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            WarmupEvidence::Record => "record",
            WarmupEvidence::Response => "response",
            WarmupEvidence::Recovery => "recovery",
            WarmupEvidence::ZoneRestored => "zone_restored",
            WarmupEvidence::NoContact => "no_contact",
        })
    }
}

/// What a proxy learned or must assume of a warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WarmupSign {
    pub evidence: WarmupEvidence,
    /// Since when the proxy has used its share only.
    pub since: Ms,
    /// When the warm-up is assumed to be complete.
    pub until: Ms,
}

/// One proxy's view of a warm-up.
#[derive(Clone, Debug)]
pub(super) struct Warmup {
    pub evidence: WarmupEvidence,
    /// Since when the bucket fills.
    since: Ms,
    /// When it is assumed to be complete.
    pub until: Ms,
    /// Whether this proxy has sent the replica an attempt since it began.
    pub is_used: bool,
    bucket: Option<TokenBucket>,
}

impl Warmup {
    /// `sent_at`: when this proxy last sent the replica an attempt.
    pub fn new(sign: WarmupSign, sent_at: Ms) -> Self {
        Warmup {
            evidence: sign.evidence,
            since: sign.since.max(sent_at),
            until: sign.until,
            is_used: false,
            bucket: None,
        }
    }

    /// Returns whether the replica may get another attempt from this proxy.
    pub fn allows(&mut self, share: &WarmupShare, now: Ms) -> bool {
        let bucket = self.bucket.get_or_insert_with(|| {
            let depth = SLOW_START_BUCKET_DEPTH;
            TokenBucket::partly_filled(share.rate, depth, share.phase, self.since)
        });
        bucket.set_rate(share.rate, now);
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

/// This proxy's first attempt at a replica during one warm-up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartAttempt {
    /// How the proxy learned of the warm-up.
    pub evidence: WarmupEvidence,
    /// Time until the proxy takes the warm-up for complete, in ms.
    pub left_ms: Ms,
    /// The proxy's share of the rate.
    pub share: WarmupShare,
}

impl fmt::Display for SlowStartAttempt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "known_by={} left_ms={} {}",
            self.evidence, self.left_ms, self.share
        )
    }
}

impl Placement {
    /// Starts slowly with a replica that this proxy learned to be warming up until `until`.
    pub(super) fn start_slow(&mut self, id: &str, until: Ms, evidence: WarmupEvidence, now: Ms) {
        let Some(entry) = self.replicas.get_mut(id) else {
            return;
        };
        let was_known = entry.view.is_warming_up(now);
        let sign = WarmupSign {
            evidence,
            since: now,
            until,
        };
        entry.view.start_slow(sign, now);
        if !was_known {
            self.note_unnoticed_warmup(id, evidence, now);
        }
    }

    /// Starts slowly with replicas that may have turned cold without this proxy having learned of it.
    fn start_slow_with_unconfirmed(&mut self, service: &str, ids: &[&String], now: Ms) {
        let warmup_time = self.engines.get(service).map_or(0, |engine| engine.cold_ms);
        // A fleet without a roster has just been set up, and nobody has a share yet.
        if self.edges.has_no_roster() || self.freshness.is_confirmed(warmup_time, now) {
            return;
        }
        for id in ids {
            let Some(entry) = self.replicas.get_mut(id.as_str()) else {
                continue;
            };
            let zone = &entry.view.zone;
            if let Some(sign) = self.freshness.assumed_warmup(zone, warmup_time, now) {
                entry.view.start_slow(sign, now);
            }
        }
    }

    /// Returns the replicas that are warming up and have used up this proxy's share of their slow-start rate.
    pub(super) fn held_back_by_slow_start<'a>(
        &mut self,
        service: &str,
        ids: &[&'a String],
        request: &PlacementRequest,
        now: Ms,
    ) -> Vec<&'a String> {
        self.start_slow_with_unconfirmed(service, ids, now);
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
            let Some(share) = self.warmup_share(service, id) else {
                continue;
            };
            if let Some(entry) = self.replicas.get_mut(id.as_str())
                && !entry.view.slow_start_allows(&share, now)
            {
                held_back.push(id);
            }
        }
        held_back
    }

    /// Returns how this proxy begins to use a replica that warms up; `None` unless its next attempt is its first one
    /// since the warm-up began.
    pub(super) fn first_slow_start_attempt(
        &mut self,
        replica_id: &str,
        now: Ms,
    ) -> Option<SlowStartAttempt> {
        let entry = self.replicas.get(replica_id)?;
        let warmup = entry.view.warmup(now).filter(|warmup| !warmup.is_used)?;
        let (evidence, until) = (warmup.evidence, warmup.until);
        let service = entry.service.clone();
        Some(SlowStartAttempt {
            evidence,
            left_ms: until.saturating_sub(now),
            share: self.warmup_share(&service, replica_id)?,
        })
    }
}
