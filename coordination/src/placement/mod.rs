//! Where a request that came by host and path goes: the replica with the least expected cost, in milliseconds of
//! waiting or what is worth as much.

mod averages;
mod bucket;
mod budget;
mod kept;
mod needed;
mod nominate;
mod reach;
mod reuse;
mod site;
mod travel;

pub use averages::Averages;
pub use bucket::Bucket;
pub use budget::Budget;
pub use kept::Kept;
pub use needed::Needed;
use reach::Reach;
use reuse::Reuse;

pub use nominate::{Nominee, Placement, Want};
pub use site::Site;
pub use travel::Travel;

use crate::{
    limits::{CROSS_REGION_BYTE_MS, READ_AGAIN_WEIGHT, READ_TOKENS_A_MS, SHARED_PART_MS, TOKEN_BYTES},
    pass::{Ask, Part},
    rendezvous::combine_hashes,
};

/// The parts of a prompt that others may share: all but the last, which is the request's or its session's own.
pub fn shared(parts: &[Part]) -> &[Part] {
    parts.split_last().map_or(&[], |(_, s)| s)
}
pub fn tokens(parts: &[Part]) -> u32 {
    parts.iter().fold(0u32, |a, p| a.saturating_add(p.1))
}
/// ms to read so many tokens.
pub fn read_ms(tokens: u32) -> f64 {
    f64::from(tokens) / READ_TOKENS_A_MS
}
/// What it costs to read shared parts again: the time, and the work that others wait for.
pub fn again_ms(tokens: u32) -> f64 {
    if tokens == 0 { 0.0 } else { SHARED_PART_MS + read_ms(tokens) * READ_AGAIN_WEIGHT }
}
/// What it costs to carry a request to another region besides the time.
pub fn carry_ms(ask: &Ask) -> f64 {
    f64::from(ask.tokens.0.saturating_add(ask.tokens.1)) * TOKEN_BYTES * CROSS_REGION_BYTE_MS
}
/// The key whose agreed order of replicas a prompt follows: its longest shared chain.
pub fn chain(parts: &[Part]) -> Option<u64> {
    shared(parts).iter().map(|p| p.0).reduce(combine_hashes)
}
