//! Repeated orders: whether one was accepted before, though another value is current by now.
//!
//! Each accepted value of an operator's key carries digests of what it replaced, up to [`REPLACED_VALUES_KEPT`] of them,
//! under the same majority as the value itself. An order that is older than that history is neither accepted nor refused.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};
use wire_messages::{Blob, List, Name, ReplacedValue, Slot};

use super::{Expect, Registers, keys::keeps_history, slots::AcceptedStamp};

/// Accepted values of an operator's key whose digests are kept beside the one that replaced them: an order that is
/// repeated late is known to have been accepted. Some 18 bytes each; at the quickest storm that was met, a change each
/// 80 ms, it reaches back twenty seconds, as long as a machine is cut off. What is older gets no clear answer.
pub const REPLACED_VALUES_KEPT: usize = 256;

/// What is known of an order whose expectation does not match what is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PriorOutcome {
    /// It was accepted as this version, which has been replaced since.
    Accepted(u64),
    /// It was never accepted.
    NotAccepted,
    /// It may have been accepted: it is older than the history.
    Unknown,
}

/// The first half of a value's SHA-256. Two documents that share it would be taken for one order, so it must be out of
/// reach of whoever writes documents.
fn value_digest(value: &Blob) -> u128 {
    let mut half = [0; 16];
    half.copy_from_slice(&Sha256::digest(&value.0)[..16]);
    u128::from_be_bytes(half)
}

/// The release that was read from a key's value.
#[derive(Clone, Copy, Debug)]
struct CachedRelease {
    /// Which value it was read from.
    read_from: AcceptedStamp,
    release: u64,
}

/// The release last read of each key: documents grow long, and each is parsed once.
#[derive(Clone, Debug, Default)]
pub(super) struct ReleaseCache {
    by_key: BTreeMap<Name, CachedRelease>,
}

impl ReleaseCache {
    /// The release of a slot's value; `parse` reads it where that was not done before.
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
    /// Whether an order that conflicts with `version` was accepted before. It has lost no race then: whoever repeats it
    /// did not receive the answer.
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
        // A slot of another version is a later owner's already, and its history says nothing of this one.
        let Some(slot) = self.slots.at_version(key, version) else {
            return PriorOutcome::Unknown;
        };
        match expect {
            Expect::Any | Expect::UnchangedSince(_) => PriorOutcome::NotAccepted,
            Expect::Version(expected) => outcome_by_version(slot, expected + 1, value),
            Expect::Release(_) => self.outcome_by_release(slot, value),
        }
    }

    /// An order on a release may have been accepted as any version; releases rise with each accepted document, so that
    /// whatever the history has lost is below all that it holds.
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

    /// What the version after `version` replaces. It goes with the value itself, under the same majority: a record of
    /// its own could be there without the value, or lack it.
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

    /// The release of the document that a version is; none where this daemon's slot holds another version already.
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

/// The oldest version that a slot's history holds, or its own version where it has none.
fn oldest_known_version(slot: &Slot) -> u64 {
    slot.version - slot.replaced.len() as u64
}

/// An order on a version can have been accepted as the next one only.
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
