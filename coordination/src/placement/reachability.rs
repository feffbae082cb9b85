//! Detects regions and zones that are unreachable as a whole. Otherwise requests would try each of the many replicas of
//! an unreachable zone or region in turn.

use std::collections::BTreeMap;

use crate::Ms;

/// Time since the first unanswered attempt after which a region counts as unresponsive, in ms; from then on it gets one
/// attempt per such interval. A connection opens within a tenth of it over any distance.
const REGION_TIMEOUT: Ms = 600;
/// Minimum number of unanswered attempts for a region to count as unresponsive.
const REGION_ATTEMPTS_MIN: u32 = 2;
/// Minimum number of consecutive connection failures, with no response from the zone in between, for the zone to count
/// as unreachable.
const ZONE_FAILURES_MIN: u32 = 2;
/// First backoff before an unreachable zone is tried again, in ms; it doubles each time. A connection opens within a
/// tenth of it.
const ZONE_RETRY_BACKOFF_MIN: Ms = 600;
/// Maximum backoff before an unreachable zone is tried again, in ms.
const ZONE_RETRY_BACKOFF_MAX: Ms = 2_400;
/// Maximum number of doublings, at which the backoff has reached its maximum; bounds the shift.
const BACKOFF_DOUBLINGS_MAX: u32 = 8;

/// Attempts sent to a region since its last response.
#[derive(Clone, Debug, Default)]
struct UnansweredAttempts {
    count: u32,
    first_at: Ms,
    last_at: Ms,
}

impl UnansweredAttempts {
    fn is_unresponsive(&self, now: Ms) -> bool {
        self.count >= REGION_ATTEMPTS_MIN && now.saturating_sub(self.first_at) > REGION_TIMEOUT
    }
}

/// Connection failures of a zone since its last response.
#[derive(Clone, Debug, Default)]
struct ConnectFailures {
    count: u32,
    latest_replica: u64,
    /// Time of the last attempt or of its failure.
    latest_at: Ms,
}

impl ConnectFailures {
    fn is_unreachable(&self) -> bool {
        self.count >= ZONE_FAILURES_MIN
    }

    /// Returns the time without attempts before the next one, in ms.
    fn backoff(&self) -> Ms {
        let doublings = (self.count - ZONE_FAILURES_MIN).min(BACKOFF_DOUBLINGS_MAX);
        (ZONE_RETRY_BACKOFF_MIN << doublings).min(ZONE_RETRY_BACKOFF_MAX)
    }
}

/// What this proxy knows about the reachability of other regions and of all zones.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    regions: BTreeMap<String, UnansweredAttempts>,
    zones: BTreeMap<String, ConnectFailures>,
}

impl Reachability {
    /// Records that an attempt was sent to another region.
    pub fn on_sent_to_region(&mut self, region: &str, now: Ms) {
        let attempts = self.regions.entry(region.into()).or_default();
        if attempts.count == 0 {
            attempts.first_at = now;
        }
        attempts.count += 1;
        attempts.last_at = now;
    }

    /// Records that an attempt was sent to a zone whose backoff is over; other requests wait for its outcome.
    pub fn on_sent_to_zone(&mut self, zone: &str, now: Ms) {
        if let Some(failures) = self
            .zones
            .get_mut(zone)
            .filter(|zone_failures| zone_failures.is_unreachable())
        {
            failures.latest_at = now;
        }
    }

    /// Records that a replica could not be reached. Repeated failures of one replica do not make its zone unreachable.
    pub fn on_unreachable(&mut self, zone: &str, replica_number: u64, now: Ms) {
        let failures = self.zones.entry(zone.into()).or_default();
        if failures.latest_replica != replica_number || failures.is_unreachable() {
            failures.count += 1;
        }
        failures.latest_replica = replica_number;
        failures.latest_at = now;
    }

    /// Records a response from a zone.
    pub fn on_response(&mut self, region: &str, zone: &str) {
        self.regions.remove(region);
        self.zones.remove(zone);
    }

    /// Returns whether a region may be tried: it responds, or another attempt is due.
    pub fn may_try_region(&self, region: &str, now: Ms) -> bool {
        self.regions.get(region).is_none_or(|attempts| {
            !attempts.is_unresponsive(now) || now.saturating_sub(attempts.last_at) > REGION_TIMEOUT
        })
    }

    /// Returns whether a zone may be tried: it responds, or its backoff is over.
    pub fn may_try_zone(&self, zone: &str, now: Ms) -> bool {
        self.zones.get(zone).is_none_or(|failures| {
            !failures.is_unreachable()
                || now.saturating_sub(failures.latest_at) > failures.backoff()
        })
    }
}
