//! Popular shared context: how often shared prefixes of prompts are requested (`demand`), which regions keep copies of
//! them (`planner`), and the copies in a proxy's own region (`placed_context`).

pub(crate) mod demand;
mod placed_context;
mod planner;

pub use demand::{
    DEMAND_HALF_LIFE, DEMAND_REPORT_INTERVAL_MIN, DEMAND_REPORT_MAX_AGE, FleetDemand, LocalDemand,
    REPORTED_CHAINS_MAX, TRACKED_CHAINS_MAX,
};
pub use placed_context::{ChainCopies, PlacedContext};
pub use planner::{CONTEXT_COPIES_MAX, DemandCount, PlacementInputs, next_record};

use xxhash_rust::xxh3::xxh3_64;

/// The unit in which demand is counted: a shared chain for one version of the weights, requested with the same home
/// regions. A block's id depends on its position in the chain, so the chain's digest identifies all of its blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptChain {
    /// Digest of the version name.
    pub version: u64,
    /// Digest of the home regions, see [`homes_digest`].
    pub homes: u64,
    /// Digest of the chain's blocks.
    pub chain: u64,
    /// Total tokens of the blocks.
    pub tokens: u32,
}

/// Returns the digest of a name that is sent in messages.
pub fn name_digest(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the digest of a lane's home regions, regardless of their order; 0 if any region may serve the lane.
pub fn homes_digest(homes: &[String]) -> u64 {
    let mut sorted: Vec<&str> = homes.iter().map(String::as_str).collect();
    sorted.sort_unstable();
    if sorted.is_empty() {
        0
    } else {
        name_digest(&sorted.join(" ")).max(1)
    }
}
