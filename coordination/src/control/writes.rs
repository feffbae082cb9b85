//! Writes and reads of keys: how they come in here, and their outcomes on the way back to whoever asked. How they reach
//! the daemon that owns the key is in `forwarding`.

use std::collections::BTreeMap;

use wire_messages::{Blob, ForwardOutcome, Name};

use super::{
    Control, NO_CALLER,
    forwarding::{FORWARD_TIMEOUT, Forwarding, OwnerRequest, PendingRequest, WriteCondition},
};
use crate::{
    Effect, Effects, Ms, NotAcceptedReason, WriteOutcome,
    register::{DisplacedRequest, Expect},
};

/// ms. An unconditional write is tried again on what another write left, for so long from its arrival: its sender goes to
/// another daemon after a second without an answer, and may then order the opposite.
const UNCONDITIONAL_RETRY_TIME: Ms = 700;

/// A write that is compared with nothing, as it came to this daemon.
#[derive(Clone, Debug)]
struct UnconditionalWrite {
    key: Name,
    value: Blob,
    /// Until when it is tried again on what another write left.
    retried_until: Ms,
}

impl UnconditionalWrite {
    /// Whether an outcome of it may still come.
    fn is_awaited(&self, now: Ms) -> bool {
        now < self.retried_until + 2 * FORWARD_TIMEOUT
    }
}

/// Writes and reads whose outcome is awaited, by their tokens here.
#[derive(Clone, Debug)]
pub(super) struct PendingWrites {
    last_token: u64,
    unconditional: BTreeMap<u64, UnconditionalWrite>,
    /// Writes that an owner may have accepted before they went to another, and as which version, where that is known.
    uncertain: BTreeMap<u64, Option<u64>>,
    pub(super) forwarding: Forwarding,
}

impl PendingWrites {
    /// Tokens differ between incarnations, so that no answer to an earlier one is taken for an answer now.
    pub(super) fn new(incarnation: u64) -> Self {
        PendingWrites {
            last_token: incarnation << 20,
            unconditional: BTreeMap::new(),
            uncertain: BTreeMap::new(),
            forwarding: Forwarding::default(),
        }
    }

    pub(super) fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// A write may be, or come to be, committed as this version: the one after the one it expects, if it expects one.
    pub(super) fn mark_uncertain(&mut self, token: u64, version: Option<u64>) {
        // Offered under two versions, it may be committed under either.
        let known = self.uncertain.entry(token).or_insert(version);
        if *known != version {
            *known = None;
        }
    }

    /// The outcome of a write, less certain where an earlier owner may have accepted it.
    fn with_uncertainty(&mut self, token: u64, outcome: WriteOutcome) -> WriteOutcome {
        match (self.uncertain.remove(&token), outcome) {
            // Another value is committed under its very version: it never will be.
            (Some(Some(offered)), WriteOutcome::Conflict(current)) if offered == current => outcome,
            (Some(_), WriteOutcome::Conflict(_) | WriteOutcome::NotAccepted(_)) => {
                WriteOutcome::Unknown
            }
            _ => outcome,
        }
    }

    /// Forgets writes whose outcome nobody awaits any more.
    pub(super) fn expire(&mut self, now: Ms) {
        self.forwarding.expire(now);
        self.unconditional.retain(|_, write| write.is_awaited(now));
    }
}

impl Control {
    /// Writes a key; `Effect::WriteFinished` with the returned token follows. `expect`: what must be current for it.
    pub fn write(
        &mut self,
        key: &str,
        expect: impl Into<Expect>,
        value: Vec<u8>,
        now: Ms,
    ) -> (u64, Effects) {
        let mut out = Vec::new();
        let token = self.writes.next_token();
        self.submit(
            token,
            &key.into(),
            expect.into(),
            Blob(value),
            now,
            &mut out,
        );
        (token, self.finish(now, out))
    }

    /// Asks for the newest version of a key that any majority has accepted; `Effect::WriteFinished` with the returned
    /// token says it, and this daemon's state table has that version or soon will.
    pub fn read_newest(&mut self, key: &str, now: Ms) -> (u64, Effects) {
        let mut out = Vec::new();
        let token = self.writes.next_token();
        let read = PendingRequest::new(token, key.into(), OwnerRequest::Read, now);
        self.send_to_owner(read, now, &mut out);
        (token, self.finish(now, out))
    }

    /// Whether this daemon was suspended until just now: what it reads may have waited for long, and whoever sent it has
    /// gone to others since. A write that is compared with nothing would undo what was written meanwhile.
    pub fn was_suspended(&mut self, now: Ms) -> bool {
        self.suspension.was_suspended(now)
    }

    /// Hands a write to the key's owner.
    fn submit(
        &mut self,
        token: u64,
        key: &Name,
        expect: Expect,
        value: Blob,
        now: Ms,
        out: &mut Effects,
    ) {
        if expect == Expect::Any {
            if self.was_suspended(now) {
                let outcome = WriteOutcome::NotAccepted(NotAcceptedReason::Suspended);
                out.push(Effect::WriteFinished { token, outcome });
                return;
            }
            let write = UnconditionalWrite {
                key: key.clone(),
                value: value.clone(),
                retried_until: now + UNCONDITIONAL_RETRY_TIME,
            };
            self.writes.unconditional.insert(token, write);
        }
        let condition = WriteCondition::new(expect, self.local_version(key));
        let request = OwnerRequest::Write(condition, value);
        let write = PendingRequest::new(token, key.clone(), request, now);
        self.send_to_owner(write, now, out);
    }

    /// The version of a key in this daemon's state table, 0 for none.
    pub(super) fn local_version(&self, key: &Name) -> u64 {
        self.state_table.get(key).map_or(0, |change| change.version)
    }

    /// Handles requests that waited here for a key that another daemon owns now.
    pub(super) fn reroute_displaced(&mut self, now: Ms, out: &mut Effects) {
        for displaced in std::mem::take(&mut self.registers.displaced) {
            let token = displaced.token;
            if let Some(caller) = self.writes.forwarding.take_remote_caller(token) {
                let (outcome, version) = match displaced.proposed_version {
                    Some(version) => (ForwardOutcome::Deposed, version),
                    None => (ForwardOutcome::NotOwner, 0),
                };
                out.push(caller.reply(outcome, version, ""));
            } else if token == NO_CALLER || self.is_role_write(token) {
                // A record is computed anew by whoever holds its role.
                let outcome = WriteOutcome::NotAccepted(NotAcceptedReason::KeyMoved);
                out.push(Effect::WriteFinished { token, outcome });
            } else {
                self.reroute(displaced, now);
            }
        }
    }

    /// Whether a write is one of a singleton role's own record.
    fn is_role_write(&self, token: u64) -> bool {
        self.rollouts.is_record_write(token) || self.usage_reports.is_log_write(token)
    }

    /// Has a displaced request go to the key's next owner.
    fn reroute(&mut self, displaced: DisplacedRequest, now: Ms) {
        if displaced.proposed_version.is_some() {
            self.writes
                .mark_uncertain(displaced.token, displaced.proposed_version);
        }
        let request = match displaced.value {
            Some(value) => {
                let local_version = self.local_version(&displaced.key);
                OwnerRequest::Write(WriteCondition::new(displaced.expect, local_version), value)
            }
            None => OwnerRequest::Read,
        };
        let received_at = displaced.received_at;
        let pending = PendingRequest::new(displaced.token, displaced.key, request, received_at);
        let forward_token = self.writes.next_token();
        self.writes
            .forwarding
            .retry_soon(forward_token, pending, now);
    }

    /// Brings an outcome of this daemon's own registers, or of a forwarded request, to whoever asked.
    pub(super) fn route_outcome(
        &mut self,
        token: u64,
        outcome: WriteOutcome,
        now: Ms,
        out: &mut Effects,
    ) {
        self.rollouts.on_write_finished(token);
        self.usage_reports.on_write_finished(token);
        if token == NO_CALLER {
            return;
        }
        let outcome = self.writes.with_uncertainty(token, outcome);
        if let Some(caller) = self.writes.forwarding.take_remote_caller(token) {
            out.push(caller.reply_outcome(outcome));
        } else if let Some(outcome) = self.retry_unconditional(token, outcome, now, out) {
            out.push(Effect::WriteFinished { token, outcome });
        }
    }

    /// Tries an unconditional write that another write overtook again on what that one left, as long as its sender waits
    /// here. Returns the outcome to report where it is not tried again.
    fn retry_unconditional(
        &mut self,
        token: u64,
        outcome: WriteOutcome,
        now: Ms,
        out: &mut Effects,
    ) -> Option<WriteOutcome> {
        let Some(write) = self.writes.unconditional.remove(&token) else {
            return Some(outcome);
        };
        let WriteOutcome::Conflict(version) = outcome else {
            return Some(outcome);
        };
        if now >= write.retried_until {
            return Some(WriteOutcome::NotAccepted(NotAcceptedReason::Overtaken));
        }
        let condition = WriteCondition::UnchangedSince(version);
        let request = OwnerRequest::Write(condition, write.value.clone());
        let pending = PendingRequest::new(token, write.key.clone(), request, now);
        self.writes.unconditional.insert(token, write);
        self.send_to_owner(pending, now, out);
        None
    }
}
