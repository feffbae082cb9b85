//! Rendezvous hashing: all nodes that know the same names rank them identically for a key.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `name` for `key`; the highest weight comes first.
pub fn rendezvous_weight(key: &str, name: &str) -> u64 {
    let key_hash = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(name.as_bytes(), key_hash)
}

/// Returns the digest of a complete response text, as replicas send it in their end marker: 16 hexadecimal digits.
pub fn text_digest(text: &str) -> String {
    format!("{:016x}", rendezvous_weight(text, ""))
}

/// Returns `items` in rendezvous order for `key`, by the name of each.
pub fn rendezvous_order<T>(key: &str, mut items: Vec<T>, name_of: fn(&T) -> &str) -> Vec<T> {
    items.sort_by_key(|item| Reverse(rendezvous_weight(key, name_of(item))));
    items
}

/// Combines two hashes into one; their order matters.
pub fn combine_hashes(first: u64, second: u64) -> u64 {
    xxh3_64_with_seed(&second.to_le_bytes(), first)
}

/// Returns the weight of a name for a key, both given as hashes; the highest weight comes first.
pub fn rendezvous_weight_of(key_hash: u64, name_hash: u64) -> u64 {
    combine_hashes(key_hash, name_hash)
}
