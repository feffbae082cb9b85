//! The replicated state table: the newest committed value of each key. Copies merge by (epoch, version), so that they
//! converge whatever the order in which values arrive, and never go back.

use std::collections::BTreeMap;

use remote_calls::Spec;
use serde::de::DeserializeOwned;
use wire_messages::{Change, Name, RangeDigest};
use xxhash_rust::xxh3::xxh3_64;

use crate::compressed;

/// Ranges that keys are split into for repair.
const REPAIR_RANGES: u16 = 16;

/// Reads the operator's document, as it is stored under its key, into a spec.
pub type SpecParser = fn(&[u8]) -> Option<Spec>;

/// The parser of the product's own documents.
pub fn parse_native_spec(document: &[u8]) -> Option<Spec> {
    serde_json::from_slice(document).ok()
}

/// Orders the values of one key: epoch, then version.
pub type VersionStamp = (u64, u64);

/// Where a value is in the order of its key's values.
pub fn version_stamp(change: &Change) -> VersionStamp {
    (change.epoch, change.version)
}

fn range_of(key: &str) -> u16 {
    (xxh3_64(key.as_bytes()) % u64::from(REPAIR_RANGES)) as u16
}

fn is_cleared(change: &Change) -> bool {
    change.value.0.is_empty()
}

/// A copy of the state table.
#[derive(Clone, Default, Debug)]
pub struct StateTable {
    entries: BTreeMap<Name, Change>,
}

impl StateTable {
    /// The newest value of a key, cleared or not.
    pub fn get(&self, key: &str) -> Option<&Change> {
        self.entries.get(key)
    }

    /// The newest values of all keys.
    pub fn entries(&self) -> impl Iterator<Item = &Change> {
        self.entries.values()
    }

    /// The value of a key, as daemons write it; none if there is none, it was cleared, or it cannot be read.
    pub fn read<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        let change = self.get(key).filter(|change| !is_cleared(change))?;
        compressed::decode(&change.value.0)
    }

    /// The values of all keys that begin with `prefix`, with the rest of the key. Cleared ones are left out.
    pub fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Change)> {
        let first: Name = prefix.into();
        self.entries
            .range(first..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .filter(|(_, change)| !is_cleared(change))
            .map(move |(key, change)| (&key[prefix.len()..], change))
    }

    /// Takes a value if it is newer; returns whether it was.
    pub fn merge(&mut self, change: &Change) -> bool {
        // An equal or older stamp is never taken: that is how no copy ever goes back.
        if self
            .get(&change.key)
            .is_some_and(|current| version_stamp(current) >= version_stamp(change))
        {
            return false;
        }
        self.entries.insert(change.key.clone(), change.clone());
        true
    }

    /// A digest over key, epoch and version of all values in each range of keys.
    pub fn range_digests(&self) -> Vec<RangeDigest> {
        let mut digests: Vec<RangeDigest> = (0..REPAIR_RANGES)
            .map(|index| RangeDigest { index, digest: 0 })
            .collect();
        for change in self.entries() {
            let stamp = format!("{} {} {}", change.key, change.epoch, change.version);
            digests[usize::from(range_of(&change.key))].digest ^= xxh3_64(stamp.as_bytes());
        }
        digests
    }

    /// The ranges in which another copy's digests differ.
    pub fn differing_ranges(&self, others: &[RangeDigest]) -> Vec<RangeDigest> {
        let own = self.range_digests();
        let differs = |other: &&RangeDigest| {
            own.get(usize::from(other.index))
                .is_some_and(|range| range.digest != other.digest)
        };
        others.iter().filter(differs).cloned().collect()
    }

    /// All values in the ranges.
    pub fn entries_in(&self, ranges: &[RangeDigest]) -> Vec<Change> {
        let is_in_ranges = |change: &&Change| {
            let index = range_of(&change.key);
            ranges.iter().any(|range| range.index == index)
        };
        self.entries().filter(is_in_ranges).cloned().collect()
    }

    /// One digest over everything.
    pub fn digest(&self) -> u64 {
        self.range_digests().iter().fold(0, |digest, range| {
            digest ^ range.digest.rotate_left(u32::from(range.index))
        })
    }
}

#[cfg(test)]
mod tests;
