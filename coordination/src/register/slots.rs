//! The acceptor's slots: the highest promise and newest accepted value of each key, as stored on disk.

use std::collections::BTreeMap;

use wire_messages::{Blob, Change, List, Name, Slot};
use xxhash_rust::xxh3::xxh3_64;

/// Orders the accepted values of a key by the epoch of the owner that proposed them, then by version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AcceptedStamp {
    pub(super) epoch: u64,
    pub(super) version: u64,
}

impl AcceptedStamp {
    pub(super) fn of(slot: &Slot) -> Self {
        AcceptedStamp {
            epoch: slot.accepted_epoch,
            version: slot.version,
        }
    }
}

/// Returns whether a slot's value is known to be committed.
pub(super) fn is_committed(slot: &Slot) -> bool {
    slot.committed_version == slot.version && slot.version > 0
}

/// Returns a slot's value as a committed change.
pub(super) fn committed_change(slot: &Slot) -> Change {
    Change {
        key: slot.key.clone(),
        epoch: slot.accepted_epoch,
        version: slot.version,
        value: slot.value.clone(),
    }
}

fn without_value(slot: &Slot) -> Slot {
    Slot {
        key: slot.key.clone(),
        value: Blob::default(),
        replaced: List::default(),
        ..*slot
    }
}

/// The part of a slot that two voters compare: all but the value, which the epoch and version determine.
#[derive(PartialEq, Eq)]
struct SlotState {
    promised_epoch: u64,
    accepted: AcceptedStamp,
    committed_version: u64,
}

impl SlotState {
    fn of(slot: &Slot) -> Self {
        SlotState {
            promised_epoch: slot.promised_epoch,
            accepted: AcceptedStamp::of(slot),
            committed_version: slot.committed_version,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Slots {
    pub(super) by_key: BTreeMap<Name, Slot>,
}

impl Slots {
    pub(super) fn get(&self, key: &str) -> Option<&Slot> {
        self.by_key.get(key)
    }

    /// Returns the slot of a key if it holds exactly this version.
    pub(super) fn at_version(&self, key: &str, version: u64) -> Option<&Slot> {
        self.get(key).filter(|slot| slot.version == version)
    }

    /// Returns the slot of a key; inserts an empty one if there is none.
    pub(super) fn entry(&mut self, key: &Name) -> &mut Slot {
        self.by_key.entry(key.clone()).or_insert_with(|| Slot {
            key: key.clone(),
            ..Slot::default()
        })
    }

    pub(super) fn insert(&mut self, slot: Slot) {
        self.by_key.insert(slot.key.clone(), slot);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Slot> {
        self.by_key.values()
    }

    /// Returns the epoch promised for a key; 0 if there is none.
    pub(super) fn promised_epoch(&self, key: &str) -> u64 {
        self.get(key).map_or(0, |slot| slot.promised_epoch)
    }

    pub(super) fn metadata(&self) -> List<Slot> {
        self.iter().map(without_value).collect()
    }

    /// Returns the slots that differ from those of another voter.
    pub(super) fn differing_from(&self, others: &[Slot]) -> List<Slot> {
        let others: BTreeMap<&str, SlotState> = others
            .iter()
            .map(|slot| (&*slot.key, SlotState::of(slot)))
            .collect();
        self.iter()
            .filter(|slot| others.get(&*slot.key) != Some(&SlotState::of(slot)))
            .cloned()
            .collect()
    }

    /// Returns whether every accepted value is known to be committed.
    pub(super) fn all_committed(&self) -> bool {
        self.iter()
            .all(|slot| slot.committed_version == slot.version)
    }

    /// Returns a digest of the key, epoch and version of all committed values.
    pub(super) fn committed_digest(&self) -> u64 {
        self.iter()
            .filter(|slot| is_committed(slot))
            .map(|slot| format!("{} {} {}", slot.key, slot.accepted_epoch, slot.version))
            .fold(0, |digest, stamp| digest ^ xxh3_64(stamp.as_bytes()))
    }
}
