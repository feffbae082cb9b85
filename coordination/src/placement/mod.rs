//! Where a request that came by host and path goes: the replica with the least expected cost, in milliseconds of
//! waiting or what is worth as much.

mod averages;
mod bucket;
mod budget;
pub(crate) mod kept;
mod needed;
mod nominate;
mod reach;
mod reuse;
mod site;
pub(crate) mod travel;
pub use nominate::CONNECT_COST_MS;
pub use site::IDLE_CONNECTION_MAX_AGE;

pub use averages::Averages;
pub use bucket::TokenBucket;
pub use budget::RetryBudget;
pub use kept::Kept;
pub use needed::HomeBoundDemand;
use reach::Reach;
use reuse::Reuse;

pub use nominate::{Candidate, Placement, PlacementRequest};
pub use site::ReplicaView;
pub use travel::NetworkLatency;

use crate::{
    pass::{PrefixBlock, RequestHead},
    rendezvous::combine_hashes,
};

/// Tokens of a prompt that a replica reads in a ms: what today's engines do between the tokens of others.
const READ_TOKENS_A_MS: f64 = 35.0;
/// Shared parts that are read again cost so many times their reading: others wait for it, and accelerators are dear.
const READ_AGAIN_WEIGHT: f64 = 4.2;
/// ms. What any shared part read again costs besides: keeps small ones together where little speaks against it.
const SHARED_PART_MS: f64 = 8.0;
/// Bytes that a token takes on the way.
pub(crate) const TOKEN_BYTES: f64 = 2.0;
/// ms. What a byte between regions is worth in waiting.
pub(crate) const CROSS_REGION_BYTE_MS: f64 = 0.006;

/// The parts of a prompt that others may share: all but the last, which is the request's or its session's own.
pub fn shared_prefix(parts: &[PrefixBlock]) -> &[PrefixBlock] {
    parts.split_last().map_or(&[], |(_, s)| s)
}
pub fn token_count(parts: &[PrefixBlock]) -> u32 {
    parts.iter().fold(0u32, |a, p| a.saturating_add(p.1))
}
/// ms to read so many tokens.
pub fn prefill_ms(tokens: u32) -> f64 {
    f64::from(tokens) / READ_TOKENS_A_MS
}
/// What it costs to read shared parts again: the time, and the work that others wait for.
pub fn repeated_prefill_cost_ms(tokens: u32) -> f64 {
    if tokens == 0 {
        0.0
    } else {
        SHARED_PART_MS + prefill_ms(tokens) * READ_AGAIN_WEIGHT
    }
}
/// What it costs to carry a request to another region besides the time.
pub fn cross_region_cost_ms(ask: &RequestHead) -> f64 {
    f64::from(ask.tokens.0.saturating_add(ask.tokens.1)) * TOKEN_BYTES * CROSS_REGION_BYTE_MS
}
/// The key whose agreed order of replicas a prompt follows: its longest shared chain.
pub fn prefix_chain(parts: &[PrefixBlock]) -> Option<u64> {
    shared_prefix(parts)
        .iter()
        .map(|p| p.0)
        .reduce(combine_hashes)
}
