//! Regions on which more urgent, home-bound requests depend. Only replicas in their home regions may serve such
//! requests, so they wait behind long prompts that are prefilled there.

use std::collections::{BTreeMap, BTreeSet};

use remote_calls::PathSpec;

/// A kind of home-bound request: its home regions and its urgency.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HomeBoundLane {
    rank: u32,
    home_regions: Vec<String>,
}

/// Home-bound requests of each service, derived from the paths of the spec.
#[derive(Clone, Debug, Default)]
pub struct HomeBoundDemand {
    by_service: BTreeMap<String, BTreeSet<HomeBoundLane>>,
}

impl HomeBoundDemand {
    /// Collects the home-bound lanes of each service that receives their requests.
    pub fn new(lanes: &[PathSpec]) -> Self {
        let mut by_service: BTreeMap<String, BTreeSet<HomeBoundLane>> = BTreeMap::new();
        for lane in lanes.iter().filter(|lane| !lane.homes.is_empty()) {
            for share in lane.split.iter().filter(|share| share.weight > 0) {
                by_service
                    .entry(share.service.clone())
                    .or_default()
                    .insert(HomeBoundLane {
                        rank: lane.rank,
                        home_regions: lane.homes.clone(),
                    });
            }
        }
        HomeBoundDemand { by_service }
    }

    /// Returns whether requests more urgent than `rank` have this region among their home regions.
    pub fn has_more_urgent(&self, service: &str, rank: u32, region: &str) -> bool {
        let lanes = self.by_service.get(service).into_iter().flatten();
        lanes
            .filter(|lane| lane.rank < rank)
            .any(|lane| lane.home_regions.iter().any(|home| home == region))
    }
}
