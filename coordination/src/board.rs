//! The blackboard: newest committed value of each key, merged by (epoch, version), never back.

use std::collections::BTreeMap;

use remote_calls::Spec;
use wire_messages::{Change, Name, RangeDigest};
use xxhash_rust::xxh3::xxh3_64;

use crate::{limits::RANGES, packed};

/// Reads the operator's document, as it is kept under its key, into a spec.
pub type SpecReader = fn(&[u8]) -> Option<Spec>;

/// The reader of the product's own documents.
pub fn own_spec(b: &[u8]) -> Option<Spec> {
    serde_json::from_slice(b).ok()
}

/// Order of two values of one key.
pub type Stamp = (u64, u64);

pub fn stamp(c: &Change) -> Stamp {
    (c.epoch, c.version)
}
fn range(key: &str) -> u16 {
    (xxh3_64(key.as_bytes()) % RANGES as u64) as u16
}

#[derive(Clone, Default, Debug)]
pub struct Board {
    rows: BTreeMap<Name, Change>,
}

impl Board {
    pub fn get(&self, key: &str) -> Option<&Change> {
        self.rows.get(key)
    }
    pub fn rows(&self) -> impl Iterator<Item = &Change> {
        self.rows.values()
    }
    /// The value of a key, as daemons write it; none if there is none or it was cleared.
    pub fn read<T: serde::de::DeserializeOwned>(&self, key: &str) -> Option<T> {
        let c = self.rows.get(key).filter(|c| !c.value.0.is_empty())?;
        packed::of_bytes(&c.value.0)
    }
    /// Values of all keys that begin with `head`, with the rest of the key.
    pub fn under<'a>(&'a self, head: &'a str) -> impl Iterator<Item = (&'a str, &'a Change)> {
        let from: Name = head.into();
        self.rows
            .range(from..)
            .take_while(move |(k, _)| k.starts_with(head))
            .filter(|(_, c)| !c.value.0.is_empty())
            .map(move |(k, c)| (&k[head.len()..], c))
    }
    /// Takes a value if it is newer; says whether it was.
    pub fn merge(&mut self, c: &Change) -> bool {
        // An equal or older stamp is never taken: that is how no copy ever goes back.
        if self.rows.get(&c.key).is_some_and(|o| stamp(o) >= stamp(c)) {
            return false;
        }
        self.rows.insert(c.key.clone(), c.clone());
        true
    }
    /// A digest for each range of keys.
    pub fn digests(&self) -> Vec<RangeDigest> {
        let mut d = vec![0u64; RANGES as usize];
        for c in self.rows.values() {
            let x = xxh3_64(format!("{} {} {}", c.key, c.epoch, c.version).as_bytes());
            d[range(&c.key) as usize] ^= x;
        }
        d.into_iter().enumerate().map(|(i, digest)| RangeDigest { index: i as u16, digest }).collect()
    }
    /// Ranges in which another's digests differ.
    pub fn differ(&self, other: &[RangeDigest]) -> Vec<RangeDigest> {
        let mine = self.digests();
        other.iter().filter(|r| mine.get(r.index as usize).is_some_and(|m| m.digest != r.digest)).cloned().collect()
    }
    /// All values in the ranges.
    pub fn within(&self, ranges: &[RangeDigest]) -> Vec<Change> {
        self.rows.values().filter(|c| ranges.iter().any(|r| r.index == range(&c.key))).cloned().collect()
    }
    /// One digest over everything.
    pub fn digest(&self) -> u64 {
        self.digests().iter().fold(0, |a, r| a ^ r.digest.rotate_left(r.index as u32))
    }
}

#[cfg(test)]
mod tests;
