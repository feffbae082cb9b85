//! Forwarding of writes and reads to the daemon that owns the key: going out from here, and arriving here from others.

use std::collections::BTreeMap;

use wire_messages::{Blob, ForwardOutcome, ForwardReply, ForwardRequest, Name, Precondition};

use super::Control;
use crate::{
    Effect, Effects, Ms, NotAcceptedReason, WriteOutcome, effect::send, register::Expect,
    timing::HEARTBEAT_INTERVAL,
};

/// ms. A daemon that forwarded a request waits a little longer than the owner does.
pub const FORWARD_TIMEOUT: Ms = 2_500;

/// What must be current for a write that is forwarded. There is no `Any`: a write that is compared with nothing carries
/// the version that was current where it came in, so that wherever it is delayed it does not undo what came after it.
#[derive(Clone, Copy, Debug)]
pub(super) enum WriteCondition {
    Version(u64),
    UnchangedSince(u64),
    Release(u64),
}

impl WriteCondition {
    /// `local_version`: the version of the key here.
    pub(super) fn new(expect: Expect, local_version: u64) -> Self {
        match expect {
            Expect::Any => WriteCondition::UnchangedSince(local_version),
            Expect::Version(version) => WriteCondition::Version(version),
            Expect::UnchangedSince(version) => WriteCondition::UnchangedSince(version),
            Expect::Release(release) => WriteCondition::Release(release),
        }
    }

    /// The version as which a write under it may be committed, where that is known.
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

/// What is asked of a key's owner.
#[derive(Clone, Debug)]
pub(super) enum OwnerRequest {
    /// The newest version.
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

/// A write or a read that goes to the key's owner.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    /// Under which token its outcome is awaited here.
    token: u64,
    key: Name,
    request: OwnerRequest,
    /// The daemon that it was forwarded to; empty where that is to be found yet.
    owner: Name,
    expires_at: Ms,
    /// That daemon said that it is not the owner, or none was asked yet: when the request goes out again.
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

    /// Whether it goes out again: its time has come, or its owner is not live any more.
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
pub(super) struct RemoteCaller {
    addr: Name,
    token: u64,
}

impl RemoteCaller {
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

/// Requests that were forwarded from here and to here.
#[derive(Clone, Debug, Default)]
pub(super) struct Forwarding {
    /// Requests forwarded to other daemons, by the token of the forwarding: an owner accepts none twice, so that each
    /// forwarding has a token of its own.
    outgoing: BTreeMap<u64, PendingRequest>,
    /// Requests accepted from other daemons, by their token here.
    incoming: BTreeMap<u64, RemoteCaller>,
    /// When a request of a daemon's address and its token there arrived: one that comes twice is accepted once.
    seen_at: BTreeMap<(Name, u64), Ms>,
}

impl Forwarding {
    /// Has a request go out at the end of half a heartbeat interval.
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

    /// The daemon that awaits the outcome of a request, if it was forwarded here.
    pub(super) fn take_remote_caller(&mut self, token: u64) -> Option<RemoteCaller> {
        self.incoming.remove(&token)
    }

    /// Returns whether this is the first time that the request arrives.
    fn is_first_arrival(&mut self, from: &Name, token: u64, now: Ms) -> bool {
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
    /// Hands a request to its key's owner, which may be this daemon itself.
    pub(super) fn send_to_owner(
        &mut self,
        mut pending: PendingRequest,
        now: Ms,
        out: &mut Effects,
    ) {
        let is_live = self.live_voters(now);
        let Some(owner) = self.registers.preferred_owner(&pending.key, &is_live) else {
            // A voter that is cut off may be connected again before the sender gives up.
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

    /// Forwards requests again whose owner has died, or was none; and gives up on those that took too long.
    pub(super) fn retry_forwarded(&mut self, now: Ms, out: &mut Effects) {
        if self.writes.forwarding.outgoing.is_empty() {
            return;
        }
        let is_live = self.live_voters(now);
        for mut pending in self.writes.forwarding.take_due(&is_live, now) {
            // What a former owner accepted may be, or come to be, committed.
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

    /// Accepts a request that another daemon forwarded here, if this daemon owns the key.
    pub(super) fn on_forward(
        &mut self,
        from: &Name,
        request: ForwardRequest,
        now: Ms,
        out: &mut Effects,
    ) {
        // The second copy would lose against the first, and its sender be answered with a conflict with itself.
        let forwarding = &mut self.writes.forwarding;
        if !forwarding.is_first_arrival(from, request.token, now) {
            return;
        }
        let caller = RemoteCaller {
            addr: from.clone(),
            token: request.token,
        };
        let is_live = self.live_voters(now);
        let owner = self.registers.preferred_owner(&request.key, &is_live);
        // Forwarding a second time could go in circles; the sender looks again instead.
        if owner.is_none_or(|voter| voter.name != self.config.name) {
            let reason = "the daemon asked does not come first for this key";
            out.push(caller.reply(ForwardOutcome::NotOwner, 0, reason));
            return;
        }
        let token = self.writes.next_token();
        self.writes.forwarding.incoming.insert(token, caller);
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

    /// Takes the outcome of a request that was forwarded from here.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "handlers take the message that they were sent"
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
            // The two daemons do not see the same ones live yet.
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
