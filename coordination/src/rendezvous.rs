//! Agreed orders: every node that knows the same names ranks them alike for a key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of `name` for `key`; the highest goes first.
pub fn rendezvous_weight(key: &str, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// The digest of a whole answer's text, as replicas tell it in their end mark.
pub fn text_digest(text: &str) -> String {
    format!("{:016x}", rendezvous_weight(text, ""))
}

/// `names` in the agreed order for `key`.
pub fn rendezvous_order<T>(key: &str, mut names: Vec<T>, by: fn(&T) -> &str) -> Vec<T> {
    names.sort_by_key(|n| std::cmp::Reverse(rendezvous_weight(key, by(n))));
    names
}

/// One number from two.
pub fn combine_hashes(a: u64, b: u64) -> u64 {
    xxh3_64_with_seed(&b.to_le_bytes(), a)
}
/// Weight of a number's `name`; the highest goes first.
pub fn rendezvous_weight_of(key: u64, name: u64) -> u64 {
    combine_hashes(key, name)
}
