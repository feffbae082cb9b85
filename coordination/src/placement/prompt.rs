//! A prompt's prefix blocks and what it costs to prefill or carry them.

use crate::{
    exchange::{PrefixBlock, RequestHead},
    rendezvous::combine_hashes,
};

/// Prompt tokens that a replica prefills in a ms: what today's engines do while they decode for others.
const PREFILL_TOKENS_PER_MS: f64 = 35.0;
/// A repeated prefill of shared blocks costs so many times its duration: other requests wait for it, and accelerators
/// are dear.
const REPEATED_PREFILL_WEIGHT: f64 = 4.2;
/// Fixed cost of any repeated prefill: keeps small prefixes together where little speaks against it.
const REPEATED_PREFILL_BASE_MS: f64 = 8.0;
/// Bytes that a token takes on the network.
pub(crate) const BYTES_PER_TOKEN: f64 = 2.0;
/// What a byte between regions is worth in ms of waiting.
pub(crate) const CROSS_REGION_MS_PER_BYTE: f64 = 0.006;

/// The blocks of a prompt that other prompts may share: all but the last, which is the request's or its session's own.
pub fn shared_prefix(blocks: &[PrefixBlock]) -> &[PrefixBlock] {
    blocks.split_last().map_or(&[], |(_, shared)| shared)
}

/// Tokens of all blocks together.
pub fn token_count(blocks: &[PrefixBlock]) -> u32 {
    blocks
        .iter()
        .fold(0u32, |sum, (_, tokens)| sum.saturating_add(*tokens))
}

/// ms that it takes to prefill so many tokens.
pub fn prefill_ms(tokens: u32) -> f64 {
    f64::from(tokens) / PREFILL_TOKENS_PER_MS
}

/// Cost in ms of prefilling shared blocks again: the duration, and the work that others wait for.
pub fn repeated_prefill_cost_ms(tokens: u32) -> f64 {
    if tokens == 0 {
        0.0
    } else {
        REPEATED_PREFILL_BASE_MS + prefill_ms(tokens) * REPEATED_PREFILL_WEIGHT
    }
}

/// Cost in ms of carrying a request to another region, besides the round trip.
pub fn cross_region_cost_ms(head: &RequestHead) -> f64 {
    let (prompt_tokens, max_output_tokens) = head.tokens;
    f64::from(prompt_tokens.saturating_add(max_output_tokens))
        * BYTES_PER_TOKEN
        * CROSS_REGION_MS_PER_BYTE
}

/// The key by which replicas are ranked for a prompt: the digest of its longest shared chain.
pub fn prefix_chain(blocks: &[PrefixBlock]) -> Option<u64> {
    shared_prefix(blocks)
        .iter()
        .map(|(id, _)| *id)
        .reduce(combine_hashes)
}
