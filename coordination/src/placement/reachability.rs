//! Which regions and zones are unreachable as a whole. A place that is cut off has many replicas, and without this each
//! of them would be tried in its turn.

use std::collections::BTreeMap;

use crate::Ms;

/// A region is unresponsive when this long has passed since the first of the unanswered attempts; it is then tried once
/// in this time. A connection opens in a tenth of it over any distance.
const REGION_TIMEOUT: Ms = 600;
/// Unanswered attempts from which on a region may count as unresponsive.
const REGION_ATTEMPTS_MIN: u32 = 2;
/// Unreachable replicas of one zone in a row, with nothing heard from the zone between, that make the zone unreachable.
const ZONE_FAILURES_MIN: u32 = 2;
/// Backoff before an unreachable zone is tried again; it doubles. A connection opens in a tenth of it.
const ZONE_RETRY_BACKOFF_MIN: Ms = 600;
/// Longest backoff before an unreachable zone is tried again.
const ZONE_RETRY_BACKOFF_MAX: Ms = 2_400;
/// Doublings after which the backoff is at its longest for certain; bounds the shift.
const BACKOFF_DOUBLINGS_MAX: u32 = 8;

/// Attempts that went to a region since it was last heard from.
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

/// Replicas of a zone that could not be reached since the zone was last heard from.
#[derive(Clone, Debug, Default)]
struct ConnectFailures {
    count: u32,
    latest_replica: u64,
    /// When the last attempt went there, or failed.
    latest_at: Ms,
}

impl ConnectFailures {
    fn is_unreachable(&self) -> bool {
        self.count >= ZONE_FAILURES_MIN
    }

    /// How long nothing is sent before the next attempt.
    fn backoff(&self) -> Ms {
        let doublings = (self.count - ZONE_FAILURES_MIN).min(BACKOFF_DOUBLINGS_MAX);
        (ZONE_RETRY_BACKOFF_MIN << doublings).min(ZONE_RETRY_BACKOFF_MAX)
    }
}

/// What this proxy knows of the reachability of other regions and of all zones.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    regions: BTreeMap<String, UnansweredAttempts>,
    zones: BTreeMap<String, ConnectFailures>,
}

impl Reachability {
    /// An attempt went to another region.
    pub fn on_sent_to_region(&mut self, region: &str, now: Ms) {
        let attempts = self.regions.entry(region.into()).or_default();
        if attempts.count == 0 {
            attempts.first_at = now;
        }
        attempts.count += 1;
        attempts.last_at = now;
    }

    /// An attempt goes to a zone whose backoff is over: other requests wait for its outcome.
    pub fn on_sent_to_zone(&mut self, zone: &str, now: Ms) {
        if let Some(failures) = self
            .zones
            .get_mut(zone)
            .filter(|zone_failures| zone_failures.is_unreachable())
        {
            failures.latest_at = now;
        }
    }

    /// A replica could not be reached. One replica that fails again and again does not make its zone unreachable.
    pub fn on_unreachable(&mut self, zone: &str, replica_number: u64, now: Ms) {
        let failures = self.zones.entry(zone.into()).or_default();
        if failures.latest_replica != replica_number || failures.is_unreachable() {
            failures.count += 1;
        }
        failures.latest_replica = replica_number;
        failures.latest_at = now;
    }

    /// Something in the zone responded.
    pub fn on_response(&mut self, region: &str, zone: &str) {
        self.regions.remove(region);
        self.zones.remove(zone);
    }

    /// Whether a region may be tried: it responds, or it is time for another attempt.
    pub fn may_try_region(&self, region: &str, now: Ms) -> bool {
        self.regions.get(region).is_none_or(|attempts| {
            !attempts.is_unresponsive(now) || now.saturating_sub(attempts.last_at) > REGION_TIMEOUT
        })
    }

    /// Whether a zone may be tried: it responds, or its backoff is over.
    pub fn may_try_zone(&self, zone: &str, now: Ms) -> bool {
        self.zones.get(zone).is_none_or(|failures| {
            !failures.is_unreachable()
                || now.saturating_sub(failures.latest_at) > failures.backoff()
        })
    }
}
