//! Repeated writes: whether a write was accepted before, although another value is current now.
//!
//! Each accepted value of an operator's key carries digests of the values that it replaced, at most
//! [`REPLACED_VALUES_KEPT`], stored on the same majority as the value itself. For a write older than this history the
//! outcome is unknown.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};
use wire_messages::{Blob, List, Name, ReplacedValue, Slot};

use super::{Expect, Registers, keys::keeps_history, slots::AcceptedStamp};

/// Number of replaced values of an operator's key whose digests are kept, so that a write repeated late is recognized
/// as accepted. Each takes some 18 bytes. At one change per 80 ms, the fastest observed, they cover twenty seconds,
/// which is how long a machine is partitioned. For an older write the outcome is unknown.
pub const REPLACED_VALUES_KEPT: usize = 256;

/// What is known about a write whose expectation does not match the current version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PriorOutcome {
    /// Accepted as this version, which has been replaced since.
    Accepted(u64),
    /// Never accepted.
    NotAccepted,
    /// May have been accepted: the write is older than the history.
    Unknown,
}

/// Returns the first half of a value's SHA-256. Two documents with the same digest would be taken for one write, so
/// authors of documents must not be able to construct a collision.
fn value_digest(value: &Blob) -> u128 {
    let mut half = [0; 16];
    half.copy_from_slice(&Sha256::digest(&value.0)[..16]);
    u128::from_be_bytes(half)
}

/// The release number of a key's value.
#[derive(Clone, Copy, Debug)]
struct CachedRelease {
    /// The value from which the release was parsed.
    read_from: AcceptedStamp,
    release: u64,
}

/// Caches the last release parsed for each key: documents can be long, and each is parsed only once.
#[derive(Clone, Debug, Default)]
pub(super) struct ReleaseCache {
    by_key: BTreeMap<Name, CachedRelease>,
}

impl ReleaseCache {
    /// Returns the release of a slot's value; parses it only if it is not cached.
    fn release_of(&mut self, slot: &Slot, parse: impl Fn(&Blob) -> u64) -> u64 {
        let read_from = AcceptedStamp::of(slot);
        if let Some(cached) = self
            .by_key
            .get(&slot.key)
            .filter(|cached| cached.read_from == read_from)
        {
            return cached.release;
        }
        let release = parse(&slot.value);
        self.by_key
            .insert(slot.key.clone(), CachedRelease { read_from, release });
        release
    }
}

impl Registers {
    /// Determines whether a write that conflicts with `version` was accepted before. If so it has lost no race: the
    /// sender repeats it because it did not receive the answer.
    pub(super) fn prior_outcome(
        &self,
        key: &Name,
        version: u64,
        expect: Expect,
        value: &Blob,
    ) -> PriorOutcome {
        if version == 0 {
            return PriorOutcome::NotAccepted;
        }
        // A slot with another version was written by a later owner; its history does not apply to this one.
        let Some(slot) = self.slots.at_version(key, version) else {
            return PriorOutcome::Unknown;
        };
        match expect {
            Expect::Any | Expect::UnchangedSince(_) => PriorOutcome::NotAccepted,
            Expect::Version(expected) => outcome_by_version(slot, expected + 1, value),
            Expect::Release(_) => self.outcome_by_release(slot, value),
        }
    }

    /// Determines the outcome of a write that expects a release. It may have been accepted as any version. Releases
    /// increase with each accepted document, so every release dropped from the history is lower than those in it.
    fn outcome_by_release(&self, slot: &Slot, value: &Blob) -> PriorOutcome {
        let oldest_version = oldest_known_version(slot);
        let digest = value_digest(value);
        if let Some(index) = slot
            .replaced
            .iter()
            .rposition(|replaced| replaced.digest == digest)
        {
            return PriorOutcome::Accepted(oldest_version + index as u64);
        }
        let lowest_release = slot
            .replaced
            .first()
            .map_or_else(|| self.parse_release(&slot.value), |oldest| oldest.release);
        if oldest_version > 1 && self.parse_release(value) < lowest_release {
            PriorOutcome::Unknown
        } else {
            PriorOutcome::NotAccepted
        }
    }

    /// Returns the history to store with the version after `version`. It is stored in the same slot as the value, on
    /// the same majority: a separate record could exist without the value, or the value without it.
    pub(super) fn replaced_by_next(&mut self, key: &Name, version: u64) -> List<ReplacedValue> {
        let release = self.release_at(key, version).unwrap_or(0);
        let Some(slot) = self
            .slots
            .at_version(key, version)
            .filter(|_| keeps_history(key) && version > 0)
        else {
            return List::default();
        };
        let mut replaced = slot.replaced.0.clone();
        replaced.push(ReplacedValue {
            release,
            digest: value_digest(&slot.value),
        });
        let excess = replaced.len().saturating_sub(REPLACED_VALUES_KEPT);
        replaced.drain(..excess);
        List(replaced)
    }

    /// Returns the release of the document in a version, or `None` if this daemon's slot already holds another version.
    pub(super) fn release_at(&mut self, key: &Name, version: u64) -> Option<u64> {
        if version == 0 {
            return Some(0);
        }
        let slot = self.slots.at_version(key, version)?;
        let parser = self.spec_parser;
        let parse = |value: &Blob| parser(&value.0).map_or(0, |spec| spec.release);
        Some(self.releases.release_of(slot, parse))
    }

    fn parse_release(&self, value: &Blob) -> u64 {
        (self.spec_parser)(&value.0).map_or(0, |spec| spec.release)
    }
}

/// Returns the oldest version in a slot's history, or the slot's own version if the history is empty.
fn oldest_known_version(slot: &Slot) -> u64 {
    slot.version - slot.replaced.len() as u64
}

/// Determines the outcome of a write that expects a version: it can only have been accepted as the next one.
fn outcome_by_version(slot: &Slot, accepted_version: u64, value: &Blob) -> PriorOutcome {
    let oldest_version = oldest_known_version(slot);
    if accepted_version >= slot.version {
        return PriorOutcome::NotAccepted;
    }
    if accepted_version < oldest_version {
        return PriorOutcome::Unknown;
    }
    let replaced = &slot.replaced[(accepted_version - oldest_version) as usize];
    if replaced.digest == value_digest(value) {
        PriorOutcome::Accepted(accepted_version)
    } else {
        PriorOutcome::NotAccepted
    }
}
