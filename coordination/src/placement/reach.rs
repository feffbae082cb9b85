//! Which regions and zones give no sign of life: one that is cut off has many replicas, and each would be tried in its turn.

use std::collections::BTreeMap;

use crate::Ms;

/// ms, and rounds that went to another region since it last gave a sign of life: then it is left alone but for a look
/// so often. A channel opens in a tenth of it over any way.
const REGION_QUIET: Ms = 600;
/// ms, and rounds that went to another region since it last gave a sign of life: then it is left alone but for a look
/// so often. A channel opens in a tenth of it over any way.
const REGION_TRIES: u32 = 2;
/// Replicas of one zone in a row that cannot be reached, with no sign of life from the zone between: then it is the zone.
const ZONE_FAILURES: u32 = 2;
/// ms. It is looked at again after so long, doubled each time, at most so long: a channel opens in a tenth of the first.
const ZONE_LOOK_FIRST: Ms = 600;
/// ms. It is looked at again after so long, doubled each time, at most so long: a channel opens in a tenth of the first.
const ZONE_LOOK_MOST: Ms = 2_400;

#[derive(Clone, Debug, Default)]
struct Tries {
    /// Rounds that went there since the last sign of life, the first of them, and the last.
    count: u32,
    since: Ms,
    last: Ms,
}

/// Replicas of a zone that could not be reached since the last sign of life there.
#[derive(Clone, Debug, Default)]
struct Failures {
    count: u32,
    newest_replica: u64,
    /// When the last round went there, or failed.
    last: Ms,
}

impl Failures {
    fn is_quiet(&self) -> bool {
        self.count >= ZONE_FAILURES
    }
    /// ms until somebody looks again: longer each time.
    fn pause(&self) -> Ms {
        let doublings = (self.count - ZONE_FAILURES).min(8);
        (ZONE_LOOK_FIRST << doublings).min(ZONE_LOOK_MOST)
    }
}

#[derive(Clone, Debug, Default)]
pub struct Reach {
    regions: BTreeMap<String, Tries>,
    zones: BTreeMap<String, Failures>,
}

impl Reach {
    /// A round went to another region.
    pub fn tried(&mut self, region: &str, now: Ms) {
        let t = self.regions.entry(region.into()).or_default();
        if t.count == 0 {
            t.since = now;
        }
        (t.count, t.last) = (t.count + 1, now);
    }
    /// A round goes to a zone that may be looked at: others wait for what comes of it.
    pub fn looked(&mut self, zone: &str, now: Ms) {
        if let Some(f) = self.zones.get_mut(zone).filter(|f| f.is_quiet()) {
            f.last = now;
        }
    }
    /// A replica could not be reached. One that fails again and again is a replica's trouble, not a zone's.
    pub fn failed(&mut self, zone: &str, replica: u64, now: Ms) {
        let f = self.zones.entry(zone.into()).or_default();
        if f.newest_replica != replica || f.is_quiet() {
            f.count += 1;
        }
        (f.newest_replica, f.last) = (replica, now);
    }
    pub fn sign(&mut self, region: &str, zone: &str) {
        self.regions.remove(region);
        self.zones.remove(zone);
    }
    /// Whether a region may be tried: it gives signs of life, or it is time to look again.
    pub fn may_try(&self, region: &str, now: Ms) -> bool {
        let quiet =
            |t: &Tries| t.count >= REGION_TRIES && now.saturating_sub(t.since) > REGION_QUIET;
        self.regions
            .get(region)
            .is_none_or(|t| !quiet(t) || now.saturating_sub(t.last) > REGION_QUIET)
    }
    pub fn may_try_zone(&self, zone: &str, now: Ms) -> bool {
        self.zones
            .get(zone)
            .is_none_or(|f| !f.is_quiet() || now.saturating_sub(f.last) > f.pause())
    }
}
