//! Prefix blocks of prompts, and the cost of prefilling or transferring them.

use crate::{
    exchange::{PrefixBlock, RequestHead},
    rendezvous::combine_hashes,
};

/// Prompt tokens that a replica prefills per ms: typical of current engines while they also decode for other requests.
const PREFILL_TOKENS_PER_MS: f64 = 35.0;
/// Cost of a repeated prefill of shared blocks relative to its duration: other requests wait for it, and accelerators
/// are expensive.
const REPEATED_PREFILL_WEIGHT: f64 = 4.2;
/// Fixed cost of any repeated prefill, in ms: keeps small prefixes on one replica when the cost differences are small.
const REPEATED_PREFILL_BASE_MS: f64 = 8.0;
/// Bytes per token on the network.
pub(crate) const BYTES_PER_TOKEN: f64 = 2.0;
/// Cost of transferring a byte between regions, in ms of waiting time.
pub(crate) const CROSS_REGION_MS_PER_BYTE: f64 = 0.006;

/// Returns the blocks of a prompt that other prompts may share: all but the last, which belongs to its request or
/// session.
pub fn shared_prefix(blocks: &[PrefixBlock]) -> &[PrefixBlock] {
    blocks.split_last().map_or(&[], |(_, shared)| shared)
}

/// Returns the total number of tokens of the blocks.
pub fn token_count(blocks: &[PrefixBlock]) -> u32 {
    blocks
        .iter()
        .fold(0u32, |sum, (_, tokens)| sum.saturating_add(*tokens))
}

/// Returns the time to prefill a number of tokens, in ms.
pub fn prefill_ms(tokens: u32) -> f64 {
    f64::from(tokens) / PREFILL_TOKENS_PER_MS
}

/// Returns the cost of prefilling shared blocks again, in ms: its duration, and the delay of other requests.
pub fn repeated_prefill_cost_ms(tokens: u32) -> f64 {
    if tokens == 0 {
        0.0
    } else {
        REPEATED_PREFILL_BASE_MS + prefill_ms(tokens) * REPEATED_PREFILL_WEIGHT
    }
}

/// Returns the cost of transferring a request to another region without the round trip, in ms.
pub fn cross_region_cost_ms(head: &RequestHead) -> f64 {
    let (prompt_tokens, max_output_tokens) = head.tokens;
    f64::from(prompt_tokens.saturating_add(max_output_tokens))
        * BYTES_PER_TOKEN
        * CROSS_REGION_MS_PER_BYTE
}

/// Returns the key by which replicas are ranked for a prompt: the digest of its longest shared chain.
pub fn prefix_chain(blocks: &[PrefixBlock]) -> Option<u64> {
    shared_prefix(blocks)
        .iter()
        .map(|(id, _)| *id)
        .reduce(combine_hashes)
}
