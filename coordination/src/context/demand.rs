//! How often shared chains are asked for: a heavy-hitter summary (filtered space-saving) that decays, in bounded memory,
//! and the sum of all edges' summaries by region.

use std::collections::BTreeMap;

use topk::FilteredSpaceSaving;
use wire_messages::{ChainDemand, Name};

use super::{DemandCount, PromptChain};
use crate::Ms;

/// Chains that an edge counts: a summary of so many errs by at most a 128th of what was asked for lately.
pub const TRACKED_CHAINS_MAX: usize = 128;
/// Units of one ask: counts decay as whole numbers.
const ASK_UNIT: u64 = 256;
/// ms. An ask counts half after so long: some asks of a popular chain lie within it, and busy hours move more slowly.
pub const DEMAND_HALF_LIFE: Ms = 15_000;
/// ms. Counts decay in steps of this.
const DECAY_EVERY: Ms = 1_000;
/// ms, at least and for each edge, between two tellings of what is asked for; and chains in one: the holder of the duty
/// hears 50 KB a second at most.
pub const DEMAND_REPORT_INTERVAL_MIN: Ms = 1_000;
/// ms, at least and for each edge, between two tellings of what is asked for; and chains in one: the holder of the duty
/// hears 50 KB a second at most.
const DEMAND_EVERY_EDGE: Ms = 25;
/// ms, at least and for each edge, between two tellings of what is asked for; and chains in one: the holder of the duty
/// hears 50 KB a second at most.
pub const REPORTED_CHAINS_MAX: usize = 32;
/// ms. What an edge told counts no more after so long, several tellings of the largest fleets.
pub const DEMAND_REPORT_MAX_AGE: Ms = 30_000;

/// What one edge counts.
#[derive(Clone)]
pub struct LocalDemand {
    asked: FilteredSpaceSaving<PromptChain>,
    /// Chains that were taken for ready and were read again; bounded, as each was asked for.
    missed: BTreeMap<PromptChain, f64>,
    decayed: Ms,
    told: Ms,
}

impl Default for LocalDemand {
    fn default() -> Self {
        LocalDemand {
            asked: FilteredSpaceSaving::new(TRACKED_CHAINS_MAX),
            missed: BTreeMap::new(),
            decayed: 0,
            told: 0,
        }
    }
}

impl LocalDemand {
    pub fn count_request(&mut self, c: PromptChain, now: Ms) {
        self.decay(now);
        self.asked.insert(c, ASK_UNIT);
    }
    /// A chain was taken for ready and was not.
    pub fn count_miss(&mut self, c: PromptChain, now: Ms) {
        self.decay(now);
        *self.missed.entry(c).or_default() += ASK_UNIT as f64;
        if self.missed.len() > TRACKED_CHAINS_MAX {
            let least = self
                .missed
                .iter()
                .min_by(|a, b| a.1.total_cmp(b.1))
                .map(|m| *m.0);
            least.map(|c| self.missed.remove(&c));
        }
    }
    fn decay(&mut self, now: Ms) {
        let past = now.saturating_sub(self.decayed) / DECAY_EVERY;
        if past == 0 {
            return;
        }
        self.decayed += past * DECAY_EVERY;
        let f = 0.5f64.powf((past * DECAY_EVERY) as f64 / DEMAND_HALF_LIFE as f64);
        self.asked.decay(f);
        self.missed.retain(|_, n| {
            *n *= f;
            *n >= 1.0
        });
    }
    /// Whether it is time to tell: each holder bears the same, however large its fleet.
    pub fn is_due(&self, edges: usize, now: Ms) -> bool {
        now >= self.told + DEMAND_REPORT_INTERVAL_MIN.max(DEMAND_EVERY_EDGE * edges as Ms)
    }
    /// The chains most asked for. What is told replaces what was told before: it may be lost or come twice.
    pub fn report(&mut self, now: Ms) -> Vec<ChainDemand> {
        self.told = now;
        self.decay(now);
        let mut all: Vec<(PromptChain, u64, u64)> = self
            .asked
            .iter()
            .map(|(c, e)| (*c, e.estimated_count(), e.associated_error()))
            .filter(|c| c.1 > c.2)
            .collect();
        // Of as many asks the lower number first, so that telling is the same everywhere.
        all.sort_unstable_by_key(|(c, n, e)| (std::cmp::Reverse(n - e), *c));
        all.truncate(REPORTED_CHAINS_MAX);
        let missed = |c: &PromptChain| self.missed.get(c).copied().unwrap_or(0.0) as u32;
        let one = |(c, n, e): (PromptChain, u64, u64)| ChainDemand {
            weights_version: c.version,
            homes_digest: c.homes,
            chain: c.chain,
            tokens: c.tokens,
            requests: n as u32,
            overcount: e as u32,
            cache_misses: missed(&c),
        };
        all.into_iter().map(one).collect()
    }
}

/// What all edges last told of one service.
#[derive(Clone, Debug, Default)]
pub struct FleetDemand {
    by: BTreeMap<Name, (Ms, Vec<ChainDemand>)>,
}

impl FleetDemand {
    pub fn merge_report(&mut self, edge: &Name, all: Vec<ChainDemand>, now: Ms) {
        self.by.insert(edge.clone(), (now, all));
    }
    /// Sums by region and chain. Only what is sure counts: an estimate's error never makes a copy.
    pub fn totals(
        &mut self,
        region: &dyn Fn(&Name) -> Option<String>,
        now: Ms,
    ) -> BTreeMap<(String, PromptChain), DemandCount> {
        self.by
            .retain(|_, t| now.saturating_sub(t.0) < DEMAND_REPORT_MAX_AGE);
        let mut sums: BTreeMap<(String, PromptChain), DemandCount> = BTreeMap::new();
        for (edge, (at, all)) in &self.by {
            let Some(r) = region(edge) else { continue };
            // What was told a while ago has decayed since.
            let f = 0.5f64.powf(now.saturating_sub(*at) as f64 / DEMAND_HALF_LIFE as f64)
                / ASK_UNIT as f64;
            for p in all {
                let c = PromptChain {
                    version: p.weights_version,
                    homes: p.homes_digest,
                    chain: p.chain,
                    tokens: p.tokens,
                };
                let s = sums.entry((r.clone(), c)).or_default();
                s.requests += f64::from(p.requests.saturating_sub(p.overcount)) * f;
                s.cache_misses += f64::from(p.cache_misses) * f;
            }
        }
        sums
    }
}
