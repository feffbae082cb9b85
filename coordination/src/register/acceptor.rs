//! The acceptor: a voter promises epochs, accepts values, stores committed values, and grants leases.
//!
//! Replies that count towards a majority are sent only after the slot is synced: they are in the `then` of an
//! [`Effect::Persist`].

use wire_messages::{
    Accept, Accepted, Change, LeasesRenewed, List, Name, OwnedKey, Prepare, Promise, ReleaseLeases,
    RenewLeases, ReplacedValue, Slot,
};

use super::{
    Registers,
    slots::{AcceptedStamp, committed_change},
};
use crate::{Effect, Effects, Ms, Row, effect::send};

/// Builds a promise to accept nothing below `epoch`.
fn granted_promise(epoch: u64, member_epoch: u32, slot: Slot) -> Promise {
    Promise {
        epoch,
        member_epoch,
        granted: 1,
        retry_after_ms: 0,
        slot,
    }
}

/// Builds a refusal to promise. `slot` holds the epoch that was promised instead, `lease_wait` the time until another
/// daemon's lease has expired.
fn refused_promise(epoch: u64, member_epoch: u32, slot: Slot, lease_wait: Ms) -> Promise {
    Promise {
        epoch,
        member_epoch,
        granted: 0,
        retry_after_ms: lease_wait as u32,
        slot,
    }
}

/// Stores an accepted value in its slot, with the promise that it implies. A delayed duplicate of an older write by the
/// same owner must not overwrite the newer one.
fn store_accepted(slot: &mut Slot, accept: Accept) {
    let proposed = AcceptedStamp {
        epoch: accept.epoch,
        version: accept.version,
    };
    if proposed < AcceptedStamp::of(slot) {
        return;
    }
    slot.promised_epoch = accept.epoch;
    slot.accepted_epoch = accept.epoch;
    slot.version = accept.version;
    slot.value = accept.value;
    slot.replaced = accept.replaced;
}

impl Registers {
    /// Handles the prepare of a proposer: promises its epoch or refuses.
    pub fn on_prepare(
        &mut self,
        proposer_addr: &Name,
        prepare: Prepare,
        now: Ms,
        out: &mut Effects,
    ) {
        let member_epoch = self.members.member_epoch;
        self.epochs.observe(prepare.epoch);
        if !self.members.votes_in(prepare.member_epoch) {
            // A proposer in an older member epoch learns from the refusal that there is a newer one.
            if prepare.member_epoch < member_epoch {
                let empty_slot = Slot {
                    key: prepare.key,
                    ..Slot::default()
                };
                let refusal = refused_promise(prepare.epoch, member_epoch, empty_slot, 0);
                out.push(send(proposer_addr, refusal));
            }
            return;
        }
        let lease_wait = self.lease_grants.wait(&prepare.key, proposer_addr, now);
        let slot = self.slots.entry(&prepare.key);
        if lease_wait > 0 || prepare.epoch < slot.promised_epoch {
            let refusal = refused_promise(prepare.epoch, member_epoch, slot.clone(), lease_wait);
            out.push(send(proposer_addr, refusal));
            return;
        }
        slot.promised_epoch = prepare.epoch;
        let slot = slot.clone();
        // With this promise a majority may have made the proposer the owner.
        self.relinquish_below(&prepare.key, prepare.epoch, out);
        let promise = granted_promise(prepare.epoch, member_epoch, slot.clone());
        out.push(Effect::Persist {
            rows: vec![Row::Slot(slot)],
            then: vec![send(proposer_addr, promise)],
        });
    }

    /// Handles an owner's accept: stores the value unless a higher epoch was promised.
    pub fn on_accept(&mut self, owner_addr: &Name, accept: Accept, out: &mut Effects) {
        let member_epoch = self.members.member_epoch;
        self.epochs.observe(accept.epoch);
        if !self.members.votes_in(accept.member_epoch) {
            return;
        }
        let slot = self.slots.entry(&accept.key);
        let mut reply = Accepted {
            key: accept.key.clone(),
            epoch: accept.epoch,
            version: accept.version,
            promised_epoch: slot.promised_epoch,
            member_epoch,
            accepted: 0,
        };
        // A commit may have stored a value of a higher epoch than the promised one. A value of a lower epoch does not
        // replace it, and a value that is not stored must not be acknowledged.
        let lowest_epoch = slot.promised_epoch.max(slot.accepted_epoch);
        if accept.epoch < lowest_epoch {
            reply.promised_epoch = lowest_epoch;
            out.push(send(owner_addr, reply));
            return;
        }
        reply.accepted = 1;
        store_accepted(slot, accept);
        let slot = slot.clone();
        // This version was already known to be committed, but a newer one that no majority accepted had replaced it
        // here.
        if slot.committed_version == slot.version && slot.accepted_epoch == reply.epoch {
            self.newly_committed.push(committed_change(&slot));
        }
        out.push(Effect::Persist {
            rows: vec![Row::Slot(slot)],
            then: vec![send(owner_addr, reply)],
        });
    }

    /// Stores a committed value and the digests of the values that it replaced. Ignores values older than the slot's.
    pub fn on_commit(&mut self, change: &Change, replaced: &[ReplacedValue], out: &mut Effects) {
        self.epochs.observe(change.epoch);
        let slot = self.slots.entry(&change.key);
        let committed = AcceptedStamp {
            epoch: change.epoch,
            version: change.version,
        };
        let accepted = AcceptedStamp::of(slot);
        let already_known = accepted == committed && slot.committed_version == change.version;
        if committed < accepted || already_known {
            return;
        }
        slot.accepted_epoch = change.epoch;
        slot.version = change.version;
        slot.committed_version = change.version;
        slot.value = change.value.clone();
        slot.replaced = List(replaced.to_vec());
        out.push(Effect::Persist {
            rows: vec![Row::Slot(slot.clone())],
            then: vec![],
        });
        self.newly_committed.push(change.clone());
    }

    /// Confirms the ownership of an owner's keys, and grants leases for the leased ones.
    pub fn on_renew(
        &mut self,
        owner_addr: &Name,
        renewal: RenewLeases,
        now: Ms,
        out: &mut Effects,
    ) {
        if !self.members.votes_in(renewal.member_epoch) {
            return;
        }
        let mut confirmed = List::default();
        let mut rows = vec![];
        for owned in renewal.keys {
            if self.confirm(owner_addr, &owned, now, &mut rows, out) {
                let OwnedKey { key, epoch } = &owned;
                self.lease_grants.grant(key, owner_addr, *epoch, now);
                confirmed.0.push(owned);
            }
        }
        let reply = send(
            owner_addr,
            LeasesRenewed {
                keys: confirmed,
                request_sent_at: renewal.sent_at,
                member_epoch: self.members.member_epoch,
            },
        );
        if rows.is_empty() {
            out.push(reply);
            return;
        }
        out.push(Effect::Persist {
            rows,
            then: vec![reply],
        });
    }

    /// Confirms a daemon as the owner of a key; returns `false` if it is not. Adds a promise implied by the
    /// confirmation to `rows`.
    fn confirm(
        &mut self,
        owner_addr: &Name,
        owned: &OwnedKey,
        now: Ms,
        rows: &mut Vec<Row>,
        out: &mut Effects,
    ) -> bool {
        let promised_epoch = self.slots.promised_epoch(&owned.key);
        // Tell a former owner at once that it was superseded. Otherwise it would keep a key that no voter renews for it
        // and no other daemon acquires.
        if promised_epoch > owned.epoch {
            let refusal = Accepted {
                key: owned.key.clone(),
                epoch: owned.epoch,
                version: 0,
                promised_epoch,
                member_epoch: self.members.member_epoch,
                accepted: 0,
            };
            out.push(send(owner_addr, refusal));
            return false;
        }
        // The owner's promises came from other voters. If one of them fails, the majority may depend on this voter, so
        // the confirmation must bind like a promise.
        if promised_epoch < owned.epoch {
            if self.lease_grants.wait(&owned.key, owner_addr, now) > 0 {
                return false;
            }
            self.epochs.observe(owned.epoch);
            self.relinquish_below(&owned.key, owned.epoch, out);
            let slot = self.slots.entry(&owned.key);
            slot.promised_epoch = owned.epoch;
            rows.push(Row::Slot(slot.clone()));
        }
        true
    }

    /// Removes the leases of keys that their holder has relinquished, so that other daemons need not wait for them to
    /// expire.
    pub fn on_release(&mut self, holder_addr: &Name, release: ReleaseLeases) {
        for owned in release.keys {
            self.lease_grants
                .release(&owned.key, holder_addr, owned.epoch);
        }
    }
}
