//! Which regions more urgent requests depend on: those that are bound to homes have no other replicas to go to, and wait
//! behind the long prompts that are read there.

use std::collections::{BTreeMap, BTreeSet};

use remote_calls::PathSpec;

/// The homes of one kind of request, and how urgent it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Bound {
    rank: u32,
    homes: Vec<String>,
}

/// Home-bound requests of each service, as the spec's paths have them.
#[derive(Clone, Debug, Default)]
pub struct HomeBoundDemand {
    by_service: BTreeMap<String, BTreeSet<Bound>>,
}

impl HomeBoundDemand {
    pub fn new(paths: &[PathSpec]) -> Self {
        let mut by_service: BTreeMap<String, BTreeSet<Bound>> = BTreeMap::new();
        for p in paths.iter().filter(|p| !p.homes.is_empty()) {
            for share in p.split.iter().filter(|s| s.weight > 0) {
                let bound = Bound {
                    rank: p.rank,
                    homes: p.homes.clone(),
                };
                by_service
                    .entry(share.service.clone())
                    .or_default()
                    .insert(bound);
            }
        }
        HomeBoundDemand { by_service }
    }
    /// Whether requests more urgent than `rank` have only this region, and some others, to go to.
    pub fn by_more_urgent(&self, service: &str, rank: u32, region: &str) -> bool {
        let all = self.by_service.get(service).into_iter().flatten();
        all.filter(|b| b.rank < rank)
            .any(|b| b.homes.iter().any(|h| h == region))
    }
}
