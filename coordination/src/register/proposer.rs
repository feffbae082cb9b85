//! The proposer: an owner serves its key's requests in sequence, and has each value accepted by a majority.

use wire_messages::{Accepted, Blob, Commit, Name, Slot};

use super::{
    Expect, Registers,
    ownership::{InFlightWrite, Ownership, OwnershipPhase, PendingRequest},
    prior_writes::PriorOutcome,
    slots::AcceptedStamp,
};
use crate::{
    Effect, Effects, Ms, NotAcceptedReason, WriteOutcome,
    effect::{log_event, send},
    events,
};

/// Maximum number of pending requests per key; only a handful of operators write concurrently.
const MAX_PENDING_REQUESTS: usize = 32;

/// Returns the effect that answers a request.
pub(super) fn write_finished(token: u64, outcome: WriteOutcome) -> Effect {
    Effect::WriteFinished { token, outcome }
}

impl Registers {
    /// Submits a write to a key that this daemon owns or acquires. The write ends in an [`Effect::WriteFinished`] with
    /// this token, or in `displaced`.
    pub fn propose(
        &mut self,
        token: u64,
        key: &Name,
        expect: impl Into<Expect>,
        value: Blob,
        now: Ms,
        out: &mut Effects,
    ) {
        let request = PendingRequest {
            token,
            expect: expect.into(),
            value: Some(value),
            received_at: now,
        };
        self.enqueue(request, key, now, out);
    }

    /// Reads the newest version of a key that this daemon owns or acquires. A read ends like a write.
    pub fn read(&mut self, token: u64, key: &Name, now: Ms, out: &mut Effects) {
        let request = PendingRequest {
            token,
            expect: Expect::Any,
            value: None,
            received_at: now,
        };
        self.enqueue(request, key, now, out);
    }

    fn enqueue(&mut self, request: PendingRequest, key: &Name, now: Ms, out: &mut Effects) {
        if !self.members.voting {
            let outcome = WriteOutcome::NotAccepted(NotAcceptedReason::NotVoting);
            out.push(write_finished(request.token, outcome));
            return;
        }
        if !self.ownerships.contains_key(key) {
            self.acquire(key, now, out);
        }
        let Some(ownership) = self.ownerships.get_mut(key) else {
            return;
        };
        if ownership.pending.len() >= MAX_PENDING_REQUESTS {
            let outcome = WriteOutcome::NotAccepted(NotAcceptedReason::TooManyPending);
            out.push(write_finished(request.token, outcome));
            return;
        }
        ownership.pending.push_back(request);
        self.advance(key, now, out);
    }

    /// Processes a key's pending requests until a write is in flight or the ownership must first be confirmed by the
    /// voters.
    pub(super) fn advance(&mut self, key: &Name, now: Ms, out: &mut Effects) {
        while let Some((version, request)) = self.next_request(key) {
            let (received_at, expect) = (request.received_at, request.expect);
            let is_read = request.value.is_none();
            let has_same_value = request
                .value
                .as_ref()
                .is_some_and(|value| self.has_value(key, version, value));
            let is_repeated = has_same_value && expect.recognizes_repeat_at(version);
            let is_expected = has_same_value && expect.is_unconditional()
                || self.matches_expectation(key, version, expect);
            if !is_read && !is_repeated && is_expected {
                self.write_next(key, version, now, out);
                return;
            }
            // A value of an earlier epoch does not bind yet: a voter may hold a newer one that its owner left behind
            // uncommitted, and that a later owner would adopt. Raft's leaders commit in their own term for this reason.
            if self.is_from_earlier_epoch(key, version) {
                self.rewrite(key, version, now, out);
                return;
            }
            // Only an owner confirmed by a majority since the request was received may report the current version: an
            // owner that was superseded without knowing would return an older value.
            if !self.is_confirmed_since(key, received_at) {
                self.confirm_ownership(key, received_at, now, out);
                return;
            }
            let Some(request) = self.pop_request(key) else {
                return;
            };
            let outcome = match request.value {
                Some(value) if !is_repeated => {
                    match self.prior_outcome(key, version, expect, &value) {
                        PriorOutcome::Accepted(prior_version) => {
                            WriteOutcome::Accepted(prior_version)
                        }
                        PriorOutcome::NotAccepted => WriteOutcome::Conflict(version),
                        PriorOutcome::Unknown => WriteOutcome::Unknown,
                    }
                }
                _ => WriteOutcome::Accepted(version),
            };
            out.push(write_finished(request.token, outcome));
        }
    }

    /// Returns the first pending request of a key with the key's version, if the key is owned and no write is in
    /// flight.
    fn next_request(&self, key: &Name) -> Option<(u64, &PendingRequest)> {
        let ownership = self.ownerships.get(key)?;
        match (&ownership.phase, &ownership.in_flight) {
            (OwnershipPhase::Owning { version }, None) => {
                Some((*version, ownership.pending.front()?))
            }
            _ => None,
        }
    }

    fn pop_request(&mut self, key: &Name) -> Option<PendingRequest> {
        self.ownerships.get_mut(key)?.pending.pop_front()
    }

    fn is_confirmed_since(&self, key: &Name, since: Ms) -> bool {
        self.ownerships
            .get(key)
            .and_then(|ownership| self.confirmed_at(ownership))
            .is_some_and(|confirmed_at| confirmed_at >= since)
    }

    /// Returns whether a write's expectation matches the current version.
    fn matches_expectation(&mut self, key: &Name, version: u64, expect: Expect) -> bool {
        match expect {
            Expect::Any => true,
            Expect::Version(expected) | Expect::UnchangedSince(expected) => expected == version,
            Expect::Release(expected) => self.release_at(key, version) == Some(expected),
        }
    }

    /// Returns whether a key's value in this version is `value`.
    fn has_value(&self, key: &Name, version: u64, value: &Blob) -> bool {
        version > 0
            && self
                .slots
                .at_version(key, version)
                .is_some_and(|slot| slot.value == *value)
    }

    /// Proposes the first pending write to the voters, as the version after `version`.
    fn write_next(&mut self, key: &Name, version: u64, now: Ms, out: &mut Effects) {
        let replaced = self.replaced_by_next(key, version);
        let Some(mut request) = self.pop_request(key) else {
            return;
        };
        let Some(value) = request.value.take() else {
            return;
        };
        let write = InFlightWrite::new(request, value, version + 1, replaced, now);
        self.send_write(key, write, out);
    }

    /// Writes the current value again under the owner's epoch, if this daemon's slot holds it.
    fn rewrite(&mut self, key: &Name, version: u64, now: Ms, out: &mut Effects) {
        if let Some(slot) = self.slots.at_version(key, version).filter(|_| version > 0) {
            let rewrite = InFlightWrite::rewrite(slot, now);
            self.send_write(key, rewrite, out);
        }
    }

    /// Proposes a write to the voters, as the key's write in flight.
    pub(super) fn send_write(&mut self, key: &Name, write: InFlightWrite, out: &mut Effects) {
        let Some(ownership) = self.ownerships.get_mut(key) else {
            return;
        };
        let accept = write.accept_message(key, ownership.epoch, self.members.member_epoch);
        ownership.in_flight = Some(write);
        self.broadcast(accept, out);
    }

    /// Returns whether the current value was last written under an earlier epoch than this owner's.
    fn is_from_earlier_epoch(&self, key: &Name, version: u64) -> bool {
        let Some(ownership) = self.ownerships.get(key) else {
            return false;
        };
        version > 0
            && self
                .slots
                .at_version(key, version)
                .is_some_and(|slot| slot.accepted_epoch < ownership.epoch)
    }

    /// Counts a voter's acceptance; once a majority has accepted, the write is committed. A refusal with a higher epoch
    /// ends the ownership.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "message handlers take their message by value"
    )]
    pub fn on_accepted(&mut self, voter: &Name, reply: Accepted, now: Ms, out: &mut Effects) {
        self.epochs.observe(reply.promised_epoch);
        let is_counted =
            reply.member_epoch == self.members.member_epoch && self.members.has_voter(voter);
        let Some(ownership) = self
            .ownerships
            .get_mut(&reply.key)
            .filter(|ownership| is_counted && ownership.epoch == reply.epoch)
        else {
            return;
        };
        if reply.accepted == 0 {
            if reply.promised_epoch > ownership.epoch {
                out.push(log_event(
                    events::OWNERSHIP_LOST,
                    voter,
                    format!("{} epoch {}", reply.key, ownership.epoch),
                ));
                self.relinquish(&reply.key, out);
            }
            return;
        }
        let majority = self.members.majority();
        if let Some(write) = take_if_accepted(ownership, voter, reply.version, majority) {
            let epoch = ownership.epoch;
            ownership.phase = OwnershipPhase::Owning {
                version: write.version,
            };
            self.commit(&reply.key, epoch, write, out);
            self.advance(&reply.key, now, out);
        }
    }

    /// Commits a write that a majority has synced: answers its request and notifies the other daemons.
    fn commit(&mut self, key: &Name, epoch: u64, write: InFlightWrite, out: &mut Effects) {
        if let Some(token) = write.token {
            out.push(log_event(
                events::WRITE_COMMITTED,
                &self.name,
                format!("{key} version {}", write.version),
            ));
            out.push(write_finished(token, WriteOutcome::Accepted(write.version)));
        }
        let commit = Commit {
            change: write.committed_change(key, epoch),
            replaced: write.replaced,
        };
        self.on_commit(&commit.change, &commit.replaced, out);
        for voter in &self.members.voters {
            if voter.name != self.name {
                out.push(send(&self.addr(voter), commit.clone()));
            }
        }
        out.extend(self.followers.iter().map(|addr| send(addr, commit.clone())));
    }

    /// Writes committed values again if another voter has accepted a newer value that is not committed. Such a value
    /// was left by an owner that failed, and the voter accepts nothing older in its place.
    pub fn rewrite_uncommitted(&mut self, voter_slots: &[Slot], now: Ms, out: &mut Effects) {
        let uncommitted = voter_slots
            .iter()
            .filter(|slot| slot.committed_version != slot.version);
        for voter_slot in uncommitted {
            self.rewrite_over(voter_slot, now, out);
        }
    }

    fn rewrite_over(&mut self, voter_slot: &Slot, now: Ms, out: &mut Effects) {
        let key = &voter_slot.key;
        let is_newer_than_own = self
            .slots
            .get(key)
            .is_some_and(|own_slot| AcceptedStamp::of(voter_slot) > AcceptedStamp::of(own_slot));
        let Some(ownership) = self.ownerships.get(key).filter(|ownership| {
            ownership.in_flight.is_none() && ownership.epoch > voter_slot.accepted_epoch
        }) else {
            return;
        };
        if let OwnershipPhase::Owning { version } = ownership.phase
            && is_newer_than_own
        {
            self.rewrite(key, version, now, out);
        }
    }
}

/// Records that a voter has synced a version. Removes and returns the write in flight once a majority has.
fn take_if_accepted(
    ownership: &mut Ownership,
    voter: &Name,
    version: u64,
    majority: usize,
) -> Option<InFlightWrite> {
    let write = ownership
        .in_flight
        .as_mut()
        .filter(|write| write.version == version)?;
    write.accepted_by.insert(voter.clone());
    if write.accepted_by.len() < majority {
        return None;
    }
    ownership.in_flight.take()
}
