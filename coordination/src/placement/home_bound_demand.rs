//! Which regions more urgent requests depend on. Requests that are bound to home regions have no other replicas to go
//! to, and wait behind the long prompts that are prefilled there.

use std::collections::{BTreeMap, BTreeSet};

use remote_calls::PathSpec;

/// One kind of home-bound request: where it may go, and how urgent it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HomeBoundLane {
    rank: u32,
    home_regions: Vec<String>,
}

/// Home-bound requests of each service, as the spec's paths have them.
#[derive(Clone, Debug, Default)]
pub struct HomeBoundDemand {
    by_service: BTreeMap<String, BTreeSet<HomeBoundLane>>,
}

impl HomeBoundDemand {
    /// Reads the lanes that are bound to homes and send requests to a service.
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

    /// Whether requests more urgent than `rank` are bound to a set of homes that this region is one of.
    pub fn has_more_urgent(&self, service: &str, rank: u32, region: &str) -> bool {
        let lanes = self.by_service.get(service).into_iter().flatten();
        lanes
            .filter(|lane| lane.rank < rank)
            .any(|lane| lane.home_regions.iter().any(|home| home == region))
    }
}
