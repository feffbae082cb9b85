//! Writes and reads of keys: submits them and returns their outcomes to the requester. Forwarding to the daemon that
//! owns the key is in `forwarding`.

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

/// Time in ms, from its arrival, for which an unconditional write is retried after a conflict. Its sender turns to
/// another daemon after a second without an answer, and may then write the opposite.
const UNCONDITIONAL_RETRY_TIME: Ms = 700;

/// A write without a precondition, as this daemon received it.
#[derive(Clone, Debug)]
struct UnconditionalWrite {
    key: Name,
    value: Blob,
    /// When retries after conflicts end.
    retry_until: Ms,
}

impl UnconditionalWrite {
    /// Returns whether its outcome may still arrive.
    fn is_awaited(&self, now: Ms) -> bool {
        now < self.retry_until + 2 * FORWARD_TIMEOUT
    }
}

/// Writes and reads whose outcomes are pending, by their tokens on this daemon.
#[derive(Clone, Debug)]
pub(super) struct PendingWrites {
    last_token: u64,
    unconditional: BTreeMap<u64, UnconditionalWrite>,
    /// Writes that an earlier owner may have accepted, with the version that it would have given them, if known.
    uncertain: BTreeMap<u64, Option<u64>>,
    pub(super) forwarding: Forwarding,
}

impl PendingWrites {
    /// Creates an empty table. Tokens differ between incarnations, so that a reply to an earlier incarnation matches no
    /// current request.
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

    /// Marks a write as possibly committed, now or later, as `version`: the one after the version that it expects, if
    /// any.
    pub(super) fn mark_uncertain(&mut self, token: u64, version: Option<u64>) {
        // A write offered as two versions may be committed as either.
        let known = self.uncertain.entry(token).or_insert(version);
        if *known != version {
            *known = None;
        }
    }

    /// Returns the outcome of a write; a failure becomes `Unknown` where an earlier owner may have accepted the write.
    fn with_uncertainty(&mut self, token: u64, outcome: WriteOutcome) -> WriteOutcome {
        match (self.uncertain.remove(&token), outcome) {
            // Another value is committed as the offered version, so this one never will be.
            (Some(Some(offered)), WriteOutcome::Conflict(current)) if offered == current => outcome,
            (Some(_), WriteOutcome::Conflict(_) | WriteOutcome::NotAccepted(_)) => {
                WriteOutcome::Unknown
            }
            _ => outcome,
        }
    }

    /// Drops writes whose outcomes can no longer arrive.
    pub(super) fn expire(&mut self, now: Ms) {
        self.forwarding.expire(now);
        self.unconditional.retain(|_, write| write.is_awaited(now));
    }
}

impl Control {
    /// Writes a key if `expect` holds for its current value. `Effect::WriteFinished` with the returned token reports
    /// the outcome.
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

    /// Reads the newest version of a key that any majority has accepted. `Effect::WriteFinished` with the returned
    /// token reports it; this daemon's state table contains that version then or soon after.
    pub fn read_newest(&mut self, key: &str, now: Ms) -> (u64, Effects) {
        let mut out = Vec::new();
        let token = self.writes.next_token();
        let read = PendingRequest::new(token, key.into(), OwnerRequest::Read, now);
        self.send_to_owner(read, now, &mut out);
        (token, self.finish(now, out))
    }

    /// Returns whether this daemon was suspended until just now. The requests that it reads then may be old, and their
    /// senders have turned to other daemons since: an unconditional write would undo what was written meanwhile.
    pub fn was_suspended(&mut self, now: Ms) -> bool {
        self.suspension.was_suspended(now)
    }

    /// Sends a write to the key's owner.
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
                retry_until: now + UNCONDITIONAL_RETRY_TIME,
            };
            self.writes.unconditional.insert(token, write);
        }
        let condition = WriteCondition::new(expect, self.local_version(key));
        let request = OwnerRequest::Write(condition, value);
        let write = PendingRequest::new(token, key.clone(), request, now);
        self.send_to_owner(write, now, out);
    }

    /// Returns the version of a key in this daemon's state table, 0 if the key is missing.
    pub(super) fn local_version(&self, key: &Name) -> u64 {
        self.state_table.get(key).map_or(0, |change| change.version)
    }

    /// Handles requests that were pending here when another daemon acquired their key.
    pub(super) fn reroute_displaced(&mut self, now: Ms, out: &mut Effects) {
        for displaced in std::mem::take(&mut self.registers.displaced) {
            let token = displaced.token;
            if let Some(origin) = self.writes.forwarding.take_forward_origin(token) {
                let (outcome, version) = match displaced.proposed_version {
                    Some(version) => (ForwardOutcome::Deposed, version),
                    None => (ForwardOutcome::NotOwner, 0),
                };
                out.push(origin.reply(outcome, version, ""));
            } else if token == NO_CALLER || self.is_role_write(token) {
                // The role's lease holder computes the record anew.
                let outcome = WriteOutcome::NotAccepted(NotAcceptedReason::KeyMoved);
                out.push(Effect::WriteFinished { token, outcome });
            } else {
                self.reroute(displaced, now);
            }
        }
    }

    /// Returns whether a write is to a singleton role's own record.
    fn is_role_write(&self, token: u64) -> bool {
        self.rollouts.is_record_write(token) || self.usage_reports.is_log_write(token)
    }

    /// Schedules a displaced request to be sent to the key's next owner.
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

    /// Returns an outcome, from this daemon's own registers or of a forwarded request, to the requester.
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
        if let Some(origin) = self.writes.forwarding.take_forward_origin(token) {
            out.push(origin.reply_outcome(outcome));
        } else if let Some(outcome) = self.retry_unconditional(token, outcome, now, out) {
            out.push(Effect::WriteFinished { token, outcome });
        }
    }

    /// Retries an unconditional write that conflicted with another write, on top of that write, as long as its sender
    /// waits for this daemon. Returns the outcome to report if it is not retried.
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
        if now >= write.retry_until {
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
