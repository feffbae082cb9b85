//! The replicated state table: the newest committed value of each key. Tables merge values by (epoch, version), so that
//! they converge regardless of the order in which values arrive, and never return to an older value.

use std::collections::BTreeMap;

use remote_calls::Spec;
use serde::de::DeserializeOwned;
use wire_messages::{Change, Name, RangeDigest};
use xxhash_rust::xxh3::xxh3_64;

use crate::compressed;

/// Number of hash ranges into which keys are divided for repair.
const REPAIR_RANGES: u16 = 16;

/// Parses the operator's spec document as stored under its key.
pub type SpecParser = fn(&[u8]) -> Option<Spec>;

/// Parses a spec document in landingslip's native JSON format.
pub fn parse_native_spec(document: &[u8]) -> Option<Spec> {
    serde_json::from_slice(document).ok()
}

/// Orders the values of one key by epoch, then by version.
pub type VersionStamp = (u64, u64);

/// Returns the position of a value in the order of its key's values.
pub fn version_stamp(change: &Change) -> VersionStamp {
    (change.epoch, change.version)
}

fn range_of(key: &str) -> u16 {
    (xxh3_64(key.as_bytes()) % u64::from(REPAIR_RANGES)) as u16
}

fn is_cleared(change: &Change) -> bool {
    change.value.0.is_empty()
}

/// One process's state table.
#[derive(Clone, Default, Debug)]
pub struct StateTable {
    entries: BTreeMap<Name, Change>,
}

impl StateTable {
    /// Returns the newest value of a key, including a cleared one.
    pub fn get(&self, key: &str) -> Option<&Change> {
        self.entries.get(key)
    }

    /// Iterates over the newest values of all keys, including cleared ones.
    pub fn entries(&self) -> impl Iterator<Item = &Change> {
        self.entries.values()
    }

    /// Decodes the value of a key that daemons write. Returns `None` if it is missing, cleared or not decodable.
    pub fn read<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        let change = self.get(key).filter(|change| !is_cleared(change))?;
        compressed::decode(&change.value.0)
    }

    /// Iterates over all values that are not cleared and whose key begins with `prefix`, each with the rest of its key.
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

    /// Stores a value if it is newer than the current one, and returns whether it was.
    pub fn merge(&mut self, change: &Change) -> bool {
        // Values with an equal or older stamp are dropped, so a table never returns to an older value.
        if self
            .get(&change.key)
            .is_some_and(|current| version_stamp(current) >= version_stamp(change))
        {
            return false;
        }
        self.entries.insert(change.key.clone(), change.clone());
        true
    }

    /// Returns a digest of each range over the key, epoch and version of all values in the range.
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

    /// Returns the ranges in which the digests of another table differ from this one's.
    pub fn differing_ranges(&self, others: &[RangeDigest]) -> Vec<RangeDigest> {
        let own = self.range_digests();
        let differs = |other: &&RangeDigest| {
            own.get(usize::from(other.index))
                .is_some_and(|range| range.digest != other.digest)
        };
        others.iter().filter(differs).cloned().collect()
    }

    /// Returns all values in the given ranges.
    pub fn entries_in(&self, ranges: &[RangeDigest]) -> Vec<Change> {
        let is_in_ranges = |change: &&Change| {
            let index = range_of(&change.key);
            ranges.iter().any(|range| range.index == index)
        };
        self.entries().filter(is_in_ranges).cloned().collect()
    }

    /// Returns a digest of the whole table.
    pub fn digest(&self) -> u64 {
        self.range_digests().iter().fold(0, |digest, range| {
            digest ^ range.digest.rotate_left(u32::from(range.index))
        })
    }
}

#[cfg(test)]
mod tests;
