//! Round-trip times to zones, estimated from the time that connections take to open.

use std::collections::BTreeMap;

use crate::regions::{Regions, region_of};

/// Assumed round trip within the zone before any connection was opened there, in ms.
const SAME_ZONE_ROUND_TRIP_MS: f64 = 1.0;
/// Assumed round trip to another zone of the region before any connection was opened there, in ms.
const SAME_REGION_ROUND_TRIP_MS: f64 = 3.0;
/// Assumed round trip to another region before any connection was opened there, in ms.
pub(crate) const CROSS_REGION_ROUND_TRIP_MS: f64 = 80.0;
/// Weight of a new sample that is no slower than the estimate.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Weight of a new sample that is slower. A slow connection is most often caused by the replica, not by the network.
const SLOW_SAMPLE_WEIGHT: f64 = SAMPLE_WEIGHT / 4.0;

/// Estimated round-trip times from this proxy's zone to all others.
#[derive(Clone, Debug, Default)]
pub struct NetworkLatency {
    own_zone: String,
    regions: Regions,
    round_trip_ms_by_zone: BTreeMap<String, f64>,
}

impl NetworkLatency {
    /// Creates estimates without samples. `zone` is the proxy's own zone; `regions` maps each zone to its region.
    pub fn new(zone: &str, regions: Regions) -> Self {
        NetworkLatency {
            own_zone: zone.into(),
            regions,
            round_trip_ms_by_zone: BTreeMap::new(),
        }
    }

    /// Returns the region of a zone.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        region_of(&self.regions, zone)
    }

    /// Returns the region of the proxy.
    pub fn own_region(&self) -> &str {
        self.region(&self.own_zone)
    }

    /// Returns whether a zone is in another region than the proxy.
    pub fn is_remote(&self, zone: &str) -> bool {
        self.region(zone) != self.own_region()
    }

    /// Returns the estimated round trip to a zone.
    pub fn round_trip_ms(&self, zone: &str) -> f64 {
        self.round_trip_ms_by_zone
            .get(zone)
            .copied()
            .unwrap_or_else(|| self.assumed_round_trip_ms(zone))
    }

    fn assumed_round_trip_ms(&self, zone: &str) -> f64 {
        if zone == self.own_zone {
            SAME_ZONE_ROUND_TRIP_MS
        } else if self.is_remote(zone) {
            CROSS_REGION_ROUND_TRIP_MS
        } else {
            SAME_REGION_ROUND_TRIP_MS
        }
    }

    /// Records how long a connection to a zone took to open.
    pub fn record(&mut self, zone: &str, took_ms: f64) {
        let estimate = self.round_trip_ms(zone);
        let weight = if took_ms > estimate {
            SLOW_SAMPLE_WEIGHT
        } else {
            SAMPLE_WEIGHT
        };
        self.round_trip_ms_by_zone
            .insert(zone.into(), estimate + (took_ms - estimate) * weight);
    }
}
