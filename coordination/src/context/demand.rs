//! Counts how often shared chains are requested: on an edge in a decaying heavy-hitter summary (filtered space-saving)
//! of bounded memory; on the lease holder as totals of all edges' summaries by region.

use std::{cmp::Reverse, collections::BTreeMap};

use topk::FilteredSpaceSaving;
use wire_messages::{ChainDemand, Name};

use super::{DemandCount, PromptChain};
use crate::Ms;

/// Number of chains that an edge tracks: the error of a summary of this size is at most a 128th of the recent requests.
pub const TRACKED_CHAINS_MAX: usize = 128;
/// Counting units per request; counts decay as integers.
const REQUEST_UNITS: u64 = 256;
/// Half-life of a counted request, in ms: long enough to include several requests of a popular chain, and short
/// compared with daily changes of load.
pub const DEMAND_HALF_LIFE: Ms = 15_000;
/// Interval between decay steps, in ms.
const DECAY_INTERVAL: Ms = 1_000;
/// Minimum interval between two reports of an edge, in ms.
pub const DEMAND_REPORT_INTERVAL_MIN: Ms = 1_000;
/// Interval between two reports of an edge, in ms per edge of the fleet: with [`REPORTED_CHAINS_MAX`], the lease holder
/// receives at most 50 KB per second.
const DEMAND_REPORT_INTERVAL_PER_EDGE: Ms = 25;
/// Maximum number of chains in one report.
pub const REPORTED_CHAINS_MAX: usize = 32;
/// Age at which an edge's report is dropped, in ms: several report intervals of the largest fleets.
pub const DEMAND_REPORT_MAX_AGE: Ms = 30_000;

/// Returns the fraction of a count that remains after `elapsed` ms.
fn decay_factor(elapsed: Ms) -> f64 {
    0.5f64.powf(elapsed as f64 / DEMAND_HALF_LIFE as f64)
}

/// Demand that one edge counts for one service.
#[derive(Clone)]
pub struct LocalDemand {
    requests: FilteredSpaceSaving<PromptChain>,
    /// Chains that were assumed to be cached but were prefilled again; limited to as many as `requests`.
    cache_misses: BTreeMap<PromptChain, f64>,
    decayed_at: Ms,
    reported_at: Ms,
}

impl Default for LocalDemand {
    fn default() -> Self {
        LocalDemand {
            requests: FilteredSpaceSaving::new(TRACKED_CHAINS_MAX),
            cache_misses: BTreeMap::new(),
            decayed_at: 0,
            reported_at: 0,
        }
    }
}

/// A chain with its estimated number of requests and the error of the estimate, in counting units.
#[derive(Clone, Copy, Debug)]
struct EstimatedCount {
    chain: PromptChain,
    estimate: u64,
    overcount_max: u64,
}

impl LocalDemand {
    /// Counts a request for a chain.
    pub fn count_request(&mut self, chain: PromptChain, now: Ms) {
        self.decay(now);
        self.requests.insert(chain, REQUEST_UNITS);
    }

    /// Counts a chain that was assumed to be cached but was not.
    pub fn count_miss(&mut self, chain: PromptChain, now: Ms) {
        self.decay(now);
        *self.cache_misses.entry(chain).or_default() += REQUEST_UNITS as f64;
        if self.cache_misses.len() > TRACKED_CHAINS_MAX {
            self.remove_least_missed();
        }
    }

    fn remove_least_missed(&mut self) {
        let least = self
            .cache_misses
            .iter()
            .min_by(|a, b| a.1.total_cmp(b.1))
            .map(|(chain, _)| *chain);
        if let Some(chain) = least {
            self.cache_misses.remove(&chain);
        }
    }

    fn decay(&mut self, now: Ms) {
        let steps = now.saturating_sub(self.decayed_at) / DECAY_INTERVAL;
        if steps == 0 {
            return;
        }
        self.decayed_at += steps * DECAY_INTERVAL;
        let factor = decay_factor(steps * DECAY_INTERVAL);
        self.requests.decay(factor);
        for count in self.cache_misses.values_mut() {
            *count *= factor;
        }
        self.cache_misses.retain(|_, count| *count >= 1.0);
    }

    /// Returns whether a report is due. The load on each lease holder does not depend on the size of its fleet.
    pub fn is_due(&self, edge_count: usize, now: Ms) -> bool {
        let interval =
            DEMAND_REPORT_INTERVAL_MIN.max(DEMAND_REPORT_INTERVAL_PER_EDGE * edge_count as Ms);
        now >= self.reported_at + interval
    }

    /// Returns the most requested chains. A report replaces the previous one, so it may be lost or delivered twice.
    pub fn report(&mut self, now: Ms) -> Vec<ChainDemand> {
        self.reported_at = now;
        self.decay(now);
        let mut counts: Vec<EstimatedCount> = self
            .requests
            .iter()
            .map(|(chain, entry)| EstimatedCount {
                chain: *chain,
                estimate: entry.estimated_count(),
                overcount_max: entry.associated_error(),
            })
            .filter(|count| count.estimate > count.overcount_max)
            .collect();
        // The lower chain goes first among equal counts, so that every process reports the same order.
        counts.sort_unstable_by_key(|count| {
            (Reverse(count.estimate - count.overcount_max), count.chain)
        });
        counts.truncate(REPORTED_CHAINS_MAX);
        counts
            .iter()
            .map(|count| self.chain_demand(count))
            .collect()
    }

    fn chain_demand(&self, count: &EstimatedCount) -> ChainDemand {
        let chain = count.chain;
        ChainDemand {
            weights_version: chain.version,
            homes_digest: chain.homes,
            chain: chain.chain,
            tokens: chain.tokens,
            requests: count.estimate as u32,
            overcount: count.overcount_max as u32,
            cache_misses: self.cache_misses.get(&chain).copied().unwrap_or(0.0) as u32,
        }
    }
}

/// The newest report of one edge.
#[derive(Clone, Debug)]
struct EdgeReport {
    received_at: Ms,
    chains: Vec<ChainDemand>,
}

/// The newest reports of all edges for one service.
#[derive(Clone, Debug, Default)]
pub struct FleetDemand {
    by_edge: BTreeMap<Name, EdgeReport>,
}

impl FleetDemand {
    /// Replaces the newest report of an edge.
    pub fn merge_report(&mut self, edge: &Name, chains: Vec<ChainDemand>, now: Ms) {
        self.by_edge.insert(
            edge.clone(),
            EdgeReport {
                received_at: now,
                chains,
            },
        );
    }

    /// Returns the totals by region and chain. Counts only the guaranteed part of an estimate, so that its error never
    /// causes a copy.
    pub fn totals(
        &mut self,
        region_of_edge: &dyn Fn(&Name) -> Option<String>,
        now: Ms,
    ) -> BTreeMap<(String, PromptChain), DemandCount> {
        self.by_edge
            .retain(|_, report| now.saturating_sub(report.received_at) < DEMAND_REPORT_MAX_AGE);
        let mut totals: BTreeMap<(String, PromptChain), DemandCount> = BTreeMap::new();
        for (edge, report) in &self.by_edge {
            let Some(region) = region_of_edge(edge) else {
                continue;
            };
            // The counts have decayed since the report was received.
            let requests_per_unit =
                decay_factor(now.saturating_sub(report.received_at)) / REQUEST_UNITS as f64;
            for demand in &report.chains {
                let chain = PromptChain {
                    version: demand.weights_version,
                    homes: demand.homes_digest,
                    chain: demand.chain,
                    tokens: demand.tokens,
                };
                let total = totals.entry((region.clone(), chain)).or_default();
                total.requests +=
                    f64::from(demand.requests.saturating_sub(demand.overcount)) * requests_per_unit;
                total.cache_misses += f64::from(demand.cache_misses) * requests_per_unit;
            }
        }
        totals
    }
}
