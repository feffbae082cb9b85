//! The blackboard: newest committed value of each key, merged by (epoch, version), never back.

use std::collections::BTreeMap;

use remote_calls::Spec;
use wire_messages::{Change, Name, RangeDigest};
use xxhash_rust::xxh3::xxh3_64;

use crate::compressed;

/// Ranges that keys are split into for repair.
const REPAIR_RANGES: u16 = 16;

/// Reads the operator's document, as it is kept under its key, into a spec.
pub type SpecParser = fn(&[u8]) -> Option<Spec>;

/// The reader of the product's own documents.
pub fn parse_own_spec(b: &[u8]) -> Option<Spec> {
    serde_json::from_slice(b).ok()
}

/// Order of two values of one key.
pub type VersionStamp = (u64, u64);

pub fn version_stamp(c: &Change) -> VersionStamp {
    (c.epoch, c.version)
}
fn range_of(key: &str) -> u16 {
    (xxh3_64(key.as_bytes()) % REPAIR_RANGES as u64) as u16
}

#[derive(Clone, Default, Debug)]
pub struct StateTable {
    entries: BTreeMap<Name, Change>,
}

impl StateTable {
    pub fn get(&self, key: &str) -> Option<&Change> {
        self.entries.get(key)
    }
    pub fn entries(&self) -> impl Iterator<Item = &Change> {
        self.entries.values()
    }
    /// The value of a key, as daemons write it; none if there is none or it was cleared.
    pub fn read<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<T> {
        let c = self.entries.get(key).filter(|c| !c.value.0.is_empty())?;
        compressed::decode(&c.value.0)
    }
    /// Values of all keys that begin with `head`, with the rest of the key.
    pub fn with_prefix<'a>(&'a self, head: &'a str) -> impl Iterator<Item = (&'a str, &'a Change)> {
        let from: Name = head.into();
        self.entries
            .range(from..)
            .take_while(move |(k, _)| k.starts_with(head))
            .filter(|(_, c)| !c.value.0.is_empty())
            .map(move |(k, c)| (&k[head.len()..], c))
    }
    /// Takes a value if it is newer; says whether it was.
    pub fn merge(&mut self, c: &Change) -> bool {
        // An equal or older stamp is never taken: that is how no copy ever goes back.
        if self
            .entries
            .get(&c.key)
            .is_some_and(|o| version_stamp(o) >= version_stamp(c))
        {
            return false;
        }
        self.entries.insert(c.key.clone(), c.clone());
        true
    }
    /// A digest for each range of keys.
    pub fn range_digests(&self) -> Vec<RangeDigest> {
        let mut d = vec![0u64; REPAIR_RANGES as usize];
        for c in self.entries.values() {
            let x = xxh3_64(format!("{} {} {}", c.key, c.epoch, c.version).as_bytes());
            d[range_of(&c.key) as usize] ^= x;
        }
        d.into_iter()
            .enumerate()
            .map(|(i, digest)| RangeDigest {
                index: i as u16,
                digest,
            })
            .collect()
    }
    /// Ranges in which another's digests differ.
    pub fn differing_ranges(&self, other: &[RangeDigest]) -> Vec<RangeDigest> {
        let mine = self.range_digests();
        other
            .iter()
            .filter(|r| {
                mine.get(r.index as usize)
                    .is_some_and(|m| m.digest != r.digest)
            })
            .cloned()
            .collect()
    }
    /// All values in the ranges.
    pub fn entries_in(&self, ranges: &[RangeDigest]) -> Vec<Change> {
        self.entries
            .values()
            .filter(|c| ranges.iter().any(|r| r.index == range_of(&c.key)))
            .cloned()
            .collect()
    }
    /// One digest over everything.
    pub fn digest(&self) -> u64 {
        self.range_digests()
            .iter()
            .fold(0, |a, r| a ^ r.digest.rotate_left(r.index as u32))
    }
}

#[cfg(test)]
mod tests;
