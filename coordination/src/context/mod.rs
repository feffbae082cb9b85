//! Popular shared context: how often shared parts of prompts are asked for, and where copies of them stand ready.

mod decide;
pub(crate) mod demand;
mod standing;
pub use decide::CONTEXT_COPIES_MAX;
pub use demand::{
    DEMAND_HALF_LIFE, DEMAND_REPORT_INTERVAL_MIN, DEMAND_REPORT_MAX_AGE, REPORTED_CHAINS_MAX,
    TRACKED_CHAINS_MAX,
};

pub use decide::{DemandCount, PlacementInputs, next_record};
pub use demand::{FleetDemand, LocalDemand};
pub use standing::PlacedContext;

use xxhash_rust::xxh3::xxh3_64;

/// What is counted: a shared chain for one version of weights, by requests of the same homes. A part is known by its
/// place in the chain, so a chain's number stands for all parts of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptChain {
    pub version: u64,
    pub homes: u64,
    pub chain: u64,
    pub tokens: u32,
}

/// Number of a name, as it goes on the wire.
pub fn name_digest(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
/// Number of a lane's homes; 0 where any region may serve.
pub fn homes_digest(all: &[String]) -> u64 {
    let mut all: Vec<&str> = all.iter().map(String::as_str).collect();
    all.sort_unstable();
    if all.is_empty() {
        0
    } else {
        name_digest(&all.join(" ")).max(1)
    }
}
