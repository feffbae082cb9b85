//! How far zones are, learned from how long channels take to open.

use std::collections::BTreeMap;

use crate::regions::{Regions, region_of};

/// ms there and back before any channel was opened: in a zone, in a region, between regions.
const ZONE_MS: f64 = 1.0;
/// ms there and back before any channel was opened: in a zone, in a region, between regions.
const NEAR_MS: f64 = 3.0;
/// ms there and back before any channel was opened: in a zone, in a region, between regions.
pub(crate) const FAR_MS: f64 = 80.0;
/// Weight of a new opening time against all before.
const TRAVEL_WEIGHT: f64 = 0.25;

#[derive(Clone, Debug, Default)]
pub struct NetworkLatency {
    zone: String,
    regions: Regions,
    /// ms there and back, by zone.
    took: BTreeMap<String, f64>,
}

impl NetworkLatency {
    pub fn new(zone: &str, regions: Regions) -> Self {
        NetworkLatency {
            zone: zone.into(),
            regions,
            took: BTreeMap::new(),
        }
    }
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        region_of(&self.regions, zone)
    }
    pub fn home(&self) -> &str {
        self.region(&self.zone)
    }
    pub fn far(&self, zone: &str) -> bool {
        self.region(zone) != self.home()
    }
    /// ms there and back.
    pub fn ms(&self, zone: &str) -> f64 {
        self.took.get(zone).copied().unwrap_or(match zone {
            z if z == self.zone => ZONE_MS,
            z if self.far(z) => FAR_MS,
            _ => NEAR_MS,
        })
    }
    pub fn took(&mut self, zone: &str, ms: f64) {
        let old = self.ms(zone);
        // A slow opening is most often the replica's, not the way's: it weighs less than a quick one.
        let w = if ms > old {
            TRAVEL_WEIGHT / 4.0
        } else {
            TRAVEL_WEIGHT
        };
        self.took.insert(zone.into(), old + (ms - old) * w);
    }
}
