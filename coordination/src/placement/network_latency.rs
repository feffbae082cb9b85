//! Round trip times to zones, learned from how long connections take to open.

use std::collections::BTreeMap;

use crate::regions::{Regions, region_of};

/// Round trip within a zone before any connection was opened there.
const SAME_ZONE_ROUND_TRIP_MS: f64 = 1.0;
/// Round trip to another zone of the region before any connection was opened there.
const SAME_REGION_ROUND_TRIP_MS: f64 = 3.0;
/// Round trip to another region before any connection was opened there.
pub(crate) const CROSS_REGION_ROUND_TRIP_MS: f64 = 80.0;
/// Weight of a new sample that is no slower than the estimate.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Weight of a new sample that is slower. A slow opening is most often due to the replica and not to the network.
const SLOW_SAMPLE_WEIGHT: f64 = SAMPLE_WEIGHT / 4.0;

/// Estimated round trips from this proxy's zone to all others.
#[derive(Clone, Debug, Default)]
pub struct NetworkLatency {
    own_zone: String,
    regions: Regions,
    round_trip_ms_by_zone: BTreeMap<String, f64>,
}

impl NetworkLatency {
    /// `zone` is the proxy's own; `regions` gives the region of each zone.
    pub fn new(zone: &str, regions: Regions) -> Self {
        NetworkLatency {
            own_zone: zone.into(),
            regions,
            round_trip_ms_by_zone: BTreeMap::new(),
        }
    }

    /// The region of a zone.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        region_of(&self.regions, zone)
    }

    /// The region of the proxy.
    pub fn own_region(&self) -> &str {
        self.region(&self.own_zone)
    }

    /// Whether a zone is in another region than the proxy.
    pub fn is_remote(&self, zone: &str) -> bool {
        self.region(zone) != self.own_region()
    }

    /// Estimated round trip to a zone.
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

    /// Takes in how long a connection to a zone took to open.
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
