//! Periodic work: acquires and hands over keys, sends messages again, renews leases, and times out requests.

use std::{
    collections::{BTreeSet, VecDeque},
    mem,
};

use wire_messages::{List, Name};

use super::{
    Registers,
    keys::is_leased,
    ownership::{OwnershipPhase, PendingRequest, RESEND_INTERVAL},
    proposer::write_finished,
};
use crate::{
    Effects, Ms, NotAcceptedReason, WriteOutcome, effect::log_event, events,
    timing::HEARTBEAT_INTERVAL,
};

/// Interval between lease renewals, in ms: three fit within a lease duration.
const RENEW_INTERVAL: Ms = 700;
/// Time within which a request is answered as accepted, not accepted or unknown, in ms.
const WRITE_TIMEOUT: Ms = 2_000;

impl Registers {
    /// Moves each key to its preferred owner and advances the owned ones. `is_live` returns whether a daemon is live;
    /// `required_keys` are keys that must have an owner.
    pub fn tick(
        &mut self,
        now: Ms,
        is_live: &dyn Fn(&str) -> bool,
        required_keys: &[Name],
        out: &mut Effects,
    ) {
        if !self.members.voting {
            return;
        }
        let mut renewals = List::default();
        for key in self.keys_due(now, required_keys) {
            let is_preferred = self
                .preferred_owner(&key, is_live)
                .is_some_and(|voter| voter.name == self.name);
            let Some(ownership) = self.ownerships.get(&key) else {
                if is_preferred {
                    self.acquire(&key, now, out);
                }
                continue;
            };
            // Finish a write in flight first: only its owner can determine the outcome.
            if !is_preferred && ownership.in_flight.is_none() {
                self.relinquish(&key, out);
                continue;
            }
            self.time_out_requests(&key, now, out);
            self.resend(&key, now, out);
            if let Some(ownership) = self.ownerships.get(&key)
                && ownership.is_owning()
                && is_leased(&key)
                && is_preferred
            {
                renewals.0.push(ownership.owned_key(&key));
            }
        }
        if now >= self.next_renewal && !renewals.is_empty() {
            self.next_renewal = now + RENEW_INTERVAL;
            self.broadcast_renewal(renewals, now, out);
        }
    }

    /// Returns the keys to check in this tick. The preferred owner of a key changes with the set of live voters, which
    /// changes only with heartbeats. Between these checks only owned keys that are leased or have work are due.
    fn keys_due(&mut self, now: Ms, required_keys: &[Name]) -> BTreeSet<Name> {
        if now < self.next_ownership_check {
            return self
                .ownerships
                .iter()
                .filter(|(key, ownership)| is_leased(key) || ownership.is_busy())
                .map(|(key, _)| key.clone())
                .collect();
        }
        self.next_ownership_check = now + HEARTBEAT_INTERVAL / 2;
        self.slots
            .iter()
            .map(|slot| &slot.key)
            .chain(required_keys)
            .chain(self.ownerships.keys())
            .cloned()
            .collect()
    }

    /// Answers requests that have timed out. The outcome of a proposed write is unknown, as it may still be committed;
    /// a write that was not proposed is not accepted and never will be.
    fn time_out_requests(&mut self, key: &Name, now: Ms, out: &mut Effects) {
        let Some(ownership) = self.ownerships.get_mut(key) else {
            return;
        };
        let is_overdue = |received_at: Ms| now.saturating_sub(received_at) > WRITE_TIMEOUT;
        if let Some(write) = ownership
            .in_flight
            .as_mut()
            .filter(|write| is_overdue(write.received_at))
            && let Some(token) = write.token.take()
        {
            out.push(log_event(
                events::WRITE_UNKNOWN,
                &self.name,
                format!("{key} version {}", write.version),
            ));
            out.push(write_finished(token, WriteOutcome::Unknown));
        }
        let (overdue, pending): (VecDeque<PendingRequest>, VecDeque<PendingRequest>) =
            mem::take(&mut ownership.pending)
                .into_iter()
                .partition(|request| is_overdue(request.received_at));
        ownership.pending = pending;
        let outcome = WriteOutcome::NotAccepted(NotAcceptedReason::NoMajority);
        out.extend(
            overdue
                .into_iter()
                .map(|request| write_finished(request.token, outcome)),
        );
    }

    /// Resends messages that voters have not answered.
    fn resend(&mut self, key: &Name, now: Ms, out: &mut Effects) {
        let Some(ownership) = self.ownerships.get_mut(key) else {
            return;
        };
        if let OwnershipPhase::Preparing { sent_at, .. } = &mut ownership.phase {
            if now < ownership.not_before || now.saturating_sub(*sent_at) < RESEND_INTERVAL {
                return;
            }
            if ownership.superseded {
                self.acquire(key, now, out);
                return;
            }
            *sent_at = now;
            let epoch = ownership.epoch;
            self.prepare(key, epoch, out);
            return;
        }
        let Some(write) = &mut ownership.in_flight else {
            self.advance(key, now, out);
            return;
        };
        if now.saturating_sub(write.sent_at) < RESEND_INTERVAL {
            return;
        }
        write.sent_at = now;
        let accept = write.accept_message(key, ownership.epoch, self.members.member_epoch);
        self.broadcast(accept, out);
    }
}
