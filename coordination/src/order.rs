//! Agreed orders: every node that knows the same names ranks them alike for a key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of `name` for `key`; the highest goes first.
pub fn weight(key: &str, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// The digest of a whole answer's text, as replicas tell it in their end mark.
pub fn digest(text: &str) -> String {
    format!("{:016x}", weight(text, ""))
}

/// `names` in the agreed order for `key`.
pub fn agreed<T>(key: &str, mut names: Vec<T>, by: fn(&T) -> &str) -> Vec<T> {
    names.sort_by_key(|n| std::cmp::Reverse(weight(key, by(n))));
    names
}

/// One number from two.
pub fn mix(a: u64, b: u64) -> u64 {
    xxh3_64_with_seed(&b.to_le_bytes(), a)
}
/// Weight of a number's `name`; the highest goes first.
pub fn weight_of(key: u64, name: u64) -> u64 {
    mix(key, name)
}
