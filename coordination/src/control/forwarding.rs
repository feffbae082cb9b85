//! Forwarding of writes and reads to the daemon that owns the key: requests sent by this daemon and received by it.

use std::collections::BTreeMap;

use wire_messages::{Blob, ForwardOutcome, ForwardReply, ForwardRequest, Name, Precondition};

use super::Control;
use crate::{
    Effect, Effects, Ms, NotAcceptedReason, WriteOutcome, effect::send, register::Expect,
    timing::HEARTBEAT_INTERVAL,
};

/// Time in ms for which a daemon waits for a forwarded request, a little longer than the owner does.
pub const FORWARD_TIMEOUT: Ms = 2_500;

/// Precondition of a forwarded write. There is no `Any`: an unconditional write carries the version that was current on
/// the daemon that received it, so that a delayed one does not undo later writes.
#[derive(Clone, Copy, Debug)]
pub(super) enum WriteCondition {
    Version(u64),
    UnchangedSince(u64),
    Release(u64),
}

impl WriteCondition {
    /// Converts a precondition for forwarding. `local_version` is the key's version on this daemon.
    pub(super) fn new(expect: Expect, local_version: u64) -> Self {
        match expect {
            Expect::Any => WriteCondition::UnchangedSince(local_version),
            Expect::Version(version) => WriteCondition::Version(version),
            Expect::UnchangedSince(version) => WriteCondition::UnchangedSince(version),
            Expect::Release(release) => WriteCondition::Release(release),
        }
    }

    /// Returns the version as which a write with this condition may be committed, if known.
    fn offered_version(self) -> Option<u64> {
        match self {
            WriteCondition::Version(version) | WriteCondition::UnchangedSince(version) => {
                Some(version + 1)
            }
            WriteCondition::Release(_) => None,
        }
    }
}

impl From<WriteCondition> for Expect {
    fn from(condition: WriteCondition) -> Self {
        match condition {
            WriteCondition::Version(version) => Expect::Version(version),
            WriteCondition::UnchangedSince(version) => Expect::UnchangedSince(version),
            WriteCondition::Release(release) => Expect::Release(release),
        }
    }
}

/// A request to a key's owner.
#[derive(Clone, Debug)]
pub(super) enum OwnerRequest {
    /// Reads the newest version.
    Read,
    Write(WriteCondition, Blob),
}

impl OwnerRequest {
    fn to_wire(&self, token: u64, key: &Name) -> ForwardRequest {
        let (precondition, expected, value) = match self {
            OwnerRequest::Read => (Precondition::Read, 0, Blob::default()),
            OwnerRequest::Write(condition, value) => {
                let (precondition, expected) = match *condition {
                    WriteCondition::Version(version) => (Precondition::Version, version),
                    WriteCondition::UnchangedSince(version) => {
                        (Precondition::UnchangedSince, version)
                    }
                    WriteCondition::Release(release) => (Precondition::Release, release),
                };
                (precondition, expected, value.clone())
            }
        };
        ForwardRequest {
            token,
            key: key.clone(),
            expected,
            precondition,
            value,
        }
    }
}

/// A write or a read that the key's owner has not answered yet.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    /// The token under which its outcome is reported on this daemon.
    token: u64,
    key: Name,
    request: OwnerRequest,
    /// The daemon that it was forwarded to; empty until an owner is found.
    owner: Name,
    expires_at: Ms,
    /// When to send the request again, if that daemon replied that it is not the owner, or no owner was found yet.
    retry_at: Option<Ms>,
}

impl PendingRequest {
    pub(super) fn new(token: u64, key: Name, request: OwnerRequest, received_at: Ms) -> Self {
        PendingRequest {
            token,
            key,
            request,
            owner: Name::default(),
            expires_at: received_at + FORWARD_TIMEOUT,
            retry_at: None,
        }
    }

    /// Returns whether it has expired or must be sent again, because a retry is due or its owner is no longer live.
    fn is_due(&self, live: &dyn Fn(&str) -> bool, now: Ms) -> bool {
        let is_retried = match self.retry_at {
            Some(retry_at) => retry_at <= now,
            None => !live(&self.owner),
        };
        self.expires_at <= now || is_retried
    }
}

/// The daemon that forwarded a request here, and its token there.
#[derive(Clone, Debug)]
pub(super) struct ForwardOrigin {
    addr: Name,
    token: u64,
}

impl ForwardOrigin {
    pub(super) fn reply(&self, outcome: ForwardOutcome, version: u64, reason: &str) -> Effect {
        let reply = ForwardReply {
            token: self.token,
            outcome,
            version,
            reason: reason.into(),
        };
        send(&self.addr, reply)
    }

    pub(super) fn reply_outcome(&self, outcome: WriteOutcome) -> Effect {
        match outcome {
            WriteOutcome::Accepted(version) => self.reply(ForwardOutcome::Accepted, version, ""),
            WriteOutcome::Conflict(version) => self.reply(ForwardOutcome::Conflict, version, ""),
            WriteOutcome::NotAccepted(reason) => {
                self.reply(ForwardOutcome::NotAccepted, 0, reason.as_str())
            }
            WriteOutcome::Unknown => self.reply(ForwardOutcome::Unknown, 0, ""),
        }
    }
}

/// Requests that this daemon has forwarded, and those forwarded to it.
#[derive(Clone, Debug, Default)]
pub(super) struct Forwarding {
    /// Requests forwarded to other daemons, by forwarding token. Each forwarding has its own token, because an owner
    /// accepts a token only once.
    outgoing: BTreeMap<u64, PendingRequest>,
    /// Origins of the requests accepted from other daemons, by the request's token on this daemon.
    incoming: BTreeMap<u64, ForwardOrigin>,
    /// Arrival times of forwarded requests, by the sender's address and its token there, to drop duplicates.
    seen_at: BTreeMap<(Name, u64), Ms>,
}

impl Forwarding {
    /// Schedules a request to be sent in half a heartbeat interval.
    pub(super) fn retry_soon(&mut self, forward_token: u64, pending: PendingRequest, now: Ms) {
        let retry_at = Some(now + HEARTBEAT_INTERVAL / 2);
        self.outgoing.insert(
            forward_token,
            PendingRequest {
                retry_at,
                ..pending
            },
        );
    }

    /// Removes and returns the origin of a request, if another daemon forwarded it here.
    pub(super) fn take_forward_origin(&mut self, token: u64) -> Option<ForwardOrigin> {
        self.incoming.remove(&token)
    }

    /// Records that a request arrived and returns whether it is the first time.
    fn record_arrival(&mut self, from: &Name, token: u64, now: Ms) -> bool {
        self.seen_at.insert((from.clone(), token), now).is_none()
    }

    pub(super) fn expire(&mut self, now: Ms) {
        self.seen_at
            .retain(|_, seen_at| now.saturating_sub(*seen_at) < 2 * FORWARD_TIMEOUT);
    }

    fn take_due(&mut self, live: &dyn Fn(&str) -> bool, now: Ms) -> Vec<PendingRequest> {
        let due: Vec<u64> = self
            .outgoing
            .iter()
            .filter(|(_, pending)| pending.is_due(live, now))
            .map(|(token, _)| *token)
            .collect();
        due.iter()
            .filter_map(|token| self.outgoing.remove(token))
            .collect()
    }
}

impl Control {
    /// Sends a request to its key's owner, which may be this daemon itself.
    pub(super) fn send_to_owner(
        &mut self,
        mut pending: PendingRequest,
        now: Ms,
        out: &mut Effects,
    ) {
        let is_live = self.live_voters(now);
        let Some(owner) = self.registers.preferred_owner(&pending.key, &is_live) else {
            // A disconnected voter may be connected again before the request expires.
            if self.registers.members.voting
                && self.is_operational()
                && now + HEARTBEAT_INTERVAL < pending.expires_at
            {
                let forward_token = self.writes.next_token();
                self.writes
                    .forwarding
                    .retry_soon(forward_token, pending, now);
                return;
            }
            out.push(Effect::WriteFinished {
                token: pending.token,
                outcome: WriteOutcome::NotAccepted(NotAcceptedReason::NoLiveVoter),
            });
            return;
        };
        if owner.name == self.config.name {
            let (token, key) = (pending.token, &pending.key);
            match pending.request {
                OwnerRequest::Write(condition, value) => self
                    .registers
                    .propose(token, key, condition, value, now, out),
                OwnerRequest::Read => self.registers.read(token, key, now, out),
            }
            return;
        }
        let forward_token = self.writes.next_token();
        let request = pending.request.to_wire(forward_token, &pending.key);
        out.push(send(&self.registers.addr(owner), request));
        pending.owner = owner.name.clone();
        self.writes
            .forwarding
            .outgoing
            .insert(forward_token, pending);
    }

    /// Resends requests whose owner is no longer live or was not found yet, and times out expired ones.
    pub(super) fn retry_forwarded(&mut self, now: Ms, out: &mut Effects) {
        if self.writes.forwarding.outgoing.is_empty() {
            return;
        }
        let is_live = self.live_voters(now);
        for mut pending in self.writes.forwarding.take_due(&is_live, now) {
            // A write that the former owner accepted may be committed, now or later.
            if pending.retry_at.take().is_none()
                && let OwnerRequest::Write(condition, _) = pending.request
            {
                self.writes
                    .mark_uncertain(pending.token, condition.offered_version());
            }
            if pending.expires_at > now {
                self.send_to_owner(pending, now, out);
                continue;
            }
            out.push(Effect::WriteFinished {
                token: pending.token,
                outcome: WriteOutcome::Unknown,
            });
        }
    }

    /// Accepts a request forwarded by another daemon if this daemon owns the key.
    pub(super) fn on_forward(
        &mut self,
        from: &Name,
        request: ForwardRequest,
        now: Ms,
        out: &mut Effects,
    ) {
        // A duplicate would conflict with the first copy, and the sender would receive a conflict with its own
        // write.
        let forwarding = &mut self.writes.forwarding;
        if !forwarding.record_arrival(from, request.token, now) {
            return;
        }
        let origin = ForwardOrigin {
            addr: from.clone(),
            token: request.token,
        };
        let is_live = self.live_voters(now);
        let owner = self.registers.preferred_owner(&request.key, &is_live);
        // Forwarding again could loop; the sender looks up the owner again instead.
        if owner.is_none_or(|voter| voter.name != self.config.name) {
            let reason = "the daemon asked does not come first for this key";
            out.push(origin.reply(ForwardOutcome::NotOwner, 0, reason));
            return;
        }
        let token = self.writes.next_token();
        self.writes.forwarding.incoming.insert(token, origin);
        let expect = match request.precondition {
            Precondition::Read => {
                self.registers.read(token, &request.key, now, out);
                return;
            }
            Precondition::Version => Expect::Version(request.expected),
            Precondition::UnchangedSince => Expect::UnchangedSince(request.expected),
            Precondition::Release => Expect::Release(request.expected),
        };
        self.registers
            .propose(token, &request.key, expect, request.value, now, out);
    }

    /// Handles the reply to a request that this daemon forwarded.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "handlers take ownership of the received message"
    )]
    pub(super) fn on_forward_reply(&mut self, reply: ForwardReply, now: Ms, out: &mut Effects) {
        let Some(mut pending) = self.writes.forwarding.outgoing.remove(&reply.token) else {
            return;
        };
        let token = pending.token;
        if reply.outcome == ForwardOutcome::Deposed {
            self.writes.mark_uncertain(token, Some(reply.version));
        }
        let outcome = match reply.outcome {
            // The two daemons do not agree yet on which voters are live.
            ForwardOutcome::NotOwner | ForwardOutcome::Deposed
                if now + HEARTBEAT_INTERVAL < pending.expires_at =>
            {
                pending.retry_at = Some(now + HEARTBEAT_INTERVAL);
                self.writes.forwarding.outgoing.insert(reply.token, pending);
                return;
            }
            ForwardOutcome::Accepted => WriteOutcome::Accepted(reply.version),
            ForwardOutcome::Conflict => WriteOutcome::Conflict(reply.version),
            ForwardOutcome::NotAccepted | ForwardOutcome::NotOwner | ForwardOutcome::Deposed => {
                WriteOutcome::NotAccepted(NotAcceptedReason::RejectedByOwner)
            }
            ForwardOutcome::Unknown => WriteOutcome::Unknown,
        };
        out.push(Effect::WriteFinished { token, outcome });
    }
}
