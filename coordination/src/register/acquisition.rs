//! How this daemon becomes the owner of a key, and stops being it.

use std::collections::VecDeque;

use wire_messages::{List, Name, Prepare, Promise, ReleaseLeases, Slot};

use super::{
    Registers,
    keys::is_leased,
    ownership::{InFlightWrite, Ownership, OwnershipPhase, RESEND_INTERVAL, promise_order},
    slots::committed_change,
};
use crate::{Effect, Effects, Ms, effect::log_event, events};

/// The newest of the slots, if it is newer than `newest`.
fn newest_above<'a>(newest: &Slot, slots: impl Iterator<Item = &'a Slot>) -> Option<&'a Slot> {
    slots
        .max_by_key(|slot| promise_order(slot))
        .filter(|slot| promise_order(slot) > promise_order(newest))
}

impl Registers {
    /// Starts to acquire a key under an epoch above all that are known. Requests that wait for the key stay.
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

    /// Asks for promises once the epoch is on this daemon's own disk: after a crash it would make the same one again,
    /// and two writes under one epoch and version could not be told apart.
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

    /// Counts a voter's promise; with a majority of them the key is owned.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "handlers take the message that they were sent"
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
        // This daemon's own slot counts at once, though its own promise may be the last to arrive.
        let own_slot = self.slots.get(&key);
        if let Some(newer) = newest_above(newest, own_slot.into_iter().chain([&promise.slot])) {
            *newest = newer.clone();
        }
        if promised_by.len() >= self.members.majority() {
            let newest = newest.clone();
            self.become_owner(&key, newest, now, out);
        }
    }

    /// A majority has promised; `newest` is the newest value that any of it has accepted.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "the slot is consumed by the write that it becomes"
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
        // A committed value is on a majority already, where each later owner finds it.
        if newest.committed_version == version {
            if version > 0 {
                self.on_commit(&committed_change(&newest), &newest.replaced, out);
            }
            self.advance(key, now, out);
            return;
        }
        // Another may be committed or not: its owner may have died between two disks. It is written again under this
        // epoch before anything else, so that there is one outcome for everybody.
        let rewrite = InFlightWrite::rewrite(&newest, now);
        let accept = rewrite.accept_message(key, ownership.epoch, self.members.member_epoch);
        ownership.in_flight = Some(rewrite);
        self.broadcast(accept, out);
    }

    /// Relinquishes a key that this daemon owns, or acquires, under a lower epoch.
    pub(super) fn relinquish_below(&mut self, key: &Name, epoch: u64, out: &mut Effects) {
        if self
            .ownerships
            .get(key)
            .is_some_and(|ownership| ownership.epoch < epoch)
        {
            self.relinquish(key, out);
        }
    }

    /// Ends this daemon's ownership of a key under an epoch: it never acts under that epoch again. Where it comes first in
    /// the key's order it acquires the key again, under a higher epoch and with promises of a majority.
    pub fn relinquish_epoch(&mut self, key: &Name, epoch: u64, out: &mut Effects) {
        if self
            .ownerships
            .get(key)
            .is_some_and(|ownership| ownership.epoch == epoch)
        {
            self.relinquish(key, out);
        }
    }

    /// Stops owning a key. What was offered and what waited is for the next owner. What was offered may be committed by
    /// then; it is displaced all the same, as the next owner may never see it and have nothing to write again.
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

    /// Gives up every key: their votes were counted over other voters.
    pub(super) fn relinquish_all(&mut self, out: &mut Effects) {
        let keys: Vec<Name> = self.ownerships.keys().cloned().collect();
        for key in &keys {
            self.relinquish(key, out);
        }
    }
}
