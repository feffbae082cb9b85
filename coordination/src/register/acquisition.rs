//! Acquiring and relinquishing the ownership of a key.

use std::collections::VecDeque;

use wire_messages::{List, Name, Prepare, Promise, ReleaseLeases, Slot};

use super::{
    Registers,
    keys::is_leased,
    ownership::{InFlightWrite, Ownership, OwnershipPhase, RESEND_INTERVAL, promise_order},
    slots::committed_change,
};
use crate::{Effect, Effects, Ms, effect::log_event, events};

/// Returns the newest of the slots if it is newer than `newest`.
fn newest_above<'a>(newest: &Slot, slots: impl Iterator<Item = &'a Slot>) -> Option<&'a Slot> {
    slots
        .max_by_key(|slot| promise_order(slot))
        .filter(|slot| promise_order(slot) > promise_order(newest))
}

impl Registers {
    /// Starts to acquire a key under an epoch above all known ones. Keeps the key's pending requests.
    pub(super) fn acquire(&mut self, key: &Name, now: Ms, out: &mut Effects) {
        let epoch = self
            .epochs
            .next(self.members.member_epoch, self.members.rank_of(&self.name));
        let (pending, not_before) = self
            .ownerships
            .remove(key)
            .map_or((VecDeque::new(), 0), |previous| {
                (previous.pending, previous.not_before)
            });
        let ownership = Ownership::preparing(epoch, pending, not_before, now);
        self.ownerships.insert(key.clone(), ownership);
        if now >= not_before {
            self.prepare(key, epoch, out);
        }
    }

    /// Requests promises once the epoch is synced to this daemon's disk. Otherwise a daemon that crashed could generate
    /// the same epoch again, and two writes with the same epoch and version could not be told apart.
    pub(super) fn prepare(&self, key: &Name, epoch: u64, out: &mut Effects) {
        let mut then = vec![];
        self.broadcast(
            Prepare {
                key: key.clone(),
                epoch,
                member_epoch: self.members.member_epoch,
            },
            &mut then,
        );
        out.push(Effect::Persist {
            rows: vec![self.epochs.row()],
            then,
        });
    }

    /// Counts a voter's promise. Once a majority has promised, this daemon owns the key.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "message handlers take their message by value"
    )]
    pub fn on_promise(&mut self, voter: &Name, promise: Promise, now: Ms, out: &mut Effects) {
        self.epochs.observe(promise.slot.promised_epoch);
        let key = promise.slot.key.clone();
        let is_counted =
            promise.member_epoch == self.members.member_epoch && self.members.has_voter(voter);
        let Some(ownership) = self
            .ownerships
            .get_mut(&key)
            .filter(|ownership| is_counted && ownership.epoch == promise.epoch)
        else {
            return;
        };
        let OwnershipPhase::Preparing {
            promised_by,
            newest,
            ..
        } = &mut ownership.phase
        else {
            return;
        };
        if promise.granted == 0 {
            ownership.superseded |= promise.slot.promised_epoch > ownership.epoch;
            let wait = u64::from(promise.retry_after_ms).max(RESEND_INTERVAL / 2);
            ownership.not_before = ownership.not_before.max(now + wait);
            return;
        }
        promised_by.insert(voter.clone());
        // Include this daemon's own slot now: its own promise may be the last to arrive.
        let own_slot = self.slots.get(&key);
        if let Some(newer) = newest_above(newest, own_slot.into_iter().chain([&promise.slot])) {
            *newest = newer.clone();
        }
        if promised_by.len() >= self.members.majority() {
            let newest = newest.clone();
            self.become_owner(&key, newest, now, out);
        }
    }

    /// Becomes the owner after a majority has promised. `newest` is the newest value that any of these voters has
    /// accepted.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "the slot is consumed by the write built from it"
    )]
    fn become_owner(&mut self, key: &Name, newest: Slot, now: Ms, out: &mut Effects) {
        let Some(ownership) = self.ownerships.get_mut(key) else {
            return;
        };
        let version = newest.version;
        ownership.phase = OwnershipPhase::Owning { version };
        out.push(log_event(
            events::KEY_OWNED,
            &self.name,
            format!("{key} epoch {} version {version}", ownership.epoch),
        ));
        // A committed value is already on a majority, where each later owner finds it.
        if newest.committed_version == version {
            if version > 0 {
                self.on_commit(&committed_change(&newest), &newest.replaced, out);
            }
            self.advance(key, now, out);
            return;
        }
        // It is uncertain whether any other value is committed: its owner may have crashed between two disks. It is
        // written again under this epoch before anything else, so that all daemons see one outcome.
        self.send_write(key, InFlightWrite::rewrite(&newest, now), out);
    }

    /// Relinquishes a key that this daemon owns or acquires under an epoch below `epoch`.
    pub(super) fn relinquish_below(&mut self, key: &Name, epoch: u64, out: &mut Effects) {
        if self
            .ownerships
            .get(key)
            .is_some_and(|ownership| ownership.epoch < epoch)
        {
            self.relinquish(key, out);
        }
    }

    /// Relinquishes a key owned under exactly this epoch; this daemon never acts under it again. If it is the preferred
    /// owner it acquires the key again, under a higher epoch and with promises of a majority.
    pub fn relinquish_epoch(&mut self, key: &Name, epoch: u64, out: &mut Effects) {
        if self
            .ownerships
            .get(key)
            .is_some_and(|ownership| ownership.epoch == epoch)
        {
            self.relinquish(key, out);
        }
    }

    /// Relinquishes a key. Displaces its write in flight and pending requests, which the next owner is to serve. The
    /// write may be committed by then; it is displaced nevertheless, as the next owner may not find it and then does
    /// not write it again.
    pub(super) fn relinquish(&mut self, key: &Name, out: &mut Effects) {
        let Some(ownership) = self.ownerships.remove(key) else {
            return;
        };
        if ownership.is_owning() && is_leased(key) {
            let release = ReleaseLeases {
                keys: List(vec![ownership.owned_key(key)]),
            };
            self.broadcast(release, out);
        }
        let in_flight = ownership
            .in_flight
            .and_then(|write| write.into_displaced(key));
        let pending = ownership
            .pending
            .into_iter()
            .map(|request| request.into_displaced(key));
        self.displaced.extend(in_flight.into_iter().chain(pending));
    }

    /// Relinquishes every key: the promises came from another set of voters.
    pub(super) fn relinquish_all(&mut self, out: &mut Effects) {
        let keys: Vec<Name> = self.ownerships.keys().cloned().collect();
        for key in &keys {
            self.relinquish(key, out);
        }
    }
}
