//! Writes: taken to their keys' owners, passed on to other daemons, and what became of them.

use super::*;
use crate::timing::HEARTBEAT_INTERVAL;

/// ms. A daemon that passed a write on waits a little longer than the owner does.
pub const FORWARD_TIMEOUT: Ms = 2_500;
/// ms without a tick after which a daemon takes itself to have stood still: whoever asked it goes on to another after a
/// second of silence. And for how long from its waking it takes nothing that may have waited in its sockets.
pub(crate) const SUSPENSION_THRESHOLD: Ms = 1_000;
/// ms without a tick after which a daemon takes itself to have stood still: whoever asked it goes on to another after a
/// second of silence. And for how long from its waking it takes nothing that may have waited in its sockets.
const RESUME_GRACE: Ms = 500;
/// ms. An order that is compared with nothing is tried again on what another order left, for so long from its coming:
/// its sender goes to another daemon after a second without an answer, and may then give the opposite order.
const UNCONDITIONAL_RETRY_TIME: Ms = 700;

/// An order that is compared with nothing, as it came to this daemon.
#[derive(Clone, Debug)]
pub(super) struct UnconditionalWrite {
    key: Name,
    value: Blob,
    /// Until when it is tried again on what another order left.
    retried_until: Ms,
}

impl UnconditionalWrite {
    /// Whether an answer to it may still come.
    pub(super) fn is_awaited(&self, now: Ms) -> bool {
        now < self.retried_until + 2 * FORWARD_TIMEOUT
    }
}

/// What must stand for a write that is passed on. There is no `Any`: a write that is compared with nothing carries the
/// version that stood where it came in, so that wherever it is held up it does not undo what came after it.
#[derive(Clone, Copy, Debug)]
enum WriteCondition {
    Version(u64),
    UnchangedSince(u64),
    Release(u64),
}

impl WriteCondition {
    /// `stands`: the version of the key here.
    fn new(e: Expect, stands: u64) -> Self {
        match e {
            Expect::Any => WriteCondition::UnchangedSince(stands),
            Expect::Version(v) => WriteCondition::Version(v),
            Expect::UnchangedSince(v) => WriteCondition::UnchangedSince(v),
            Expect::Release(r) => WriteCondition::Release(r),
        }
    }

    /// The version as which a write under it may stand, where that is known.
    fn offered_version(self) -> Option<u64> {
        match self {
            WriteCondition::Version(v) | WriteCondition::UnchangedSince(v) => Some(v + 1),
            WriteCondition::Release(_) => None,
        }
    }
}

impl From<WriteCondition> for Expect {
    fn from(c: WriteCondition) -> Self {
        match c {
            WriteCondition::Version(v) => Expect::Version(v),
            WriteCondition::UnchangedSince(v) => Expect::UnchangedSince(v),
            WriteCondition::Release(r) => Expect::Release(r),
        }
    }
}

/// What is asked of a key's owner.
#[derive(Clone, Debug)]
enum OwnerRequest {
    /// The newest version.
    Read,
    Write(WriteCondition, Blob),
}

/// A write or a reading that went to the key's owner.
#[derive(Clone, Debug)]
pub(super) struct ForwardedRequest {
    /// Under which token its answer is awaited here.
    token: u64,
    key: Name,
    request: OwnerRequest,
    owner: Name,
    expires_at: Ms,
    /// The owner said that it is not the owner; it goes out again then.
    retry_at: Option<Ms>,
}

impl ForwardedRequest {
    fn new(token: u64, key: Name, request: OwnerRequest, now: Ms) -> Self {
        ForwardedRequest {
            token,
            key,
            request,
            owner: Name::default(),
            expires_at: now + FORWARD_TIMEOUT,
            retry_at: None,
        }
    }
}

impl Control {
    /// Writes a key; an `Answer` with the returned token follows. `expect`: only if this version stands.
    pub fn write(
        &mut self,
        key: &str,
        expect: impl Into<Expect>,
        value: Vec<u8>,
        now: Ms,
    ) -> (u64, Effects) {
        let mut out = Vec::new();
        self.last_token += 1;
        let t = self.last_token;
        self.submit(t, &key.into(), expect.into(), Blob(value), now, &mut out);
        (t, self.finish(now, out))
    }

    /// Asks for the newest version of a key that any majority has taken; an `Answer` with the returned token tells it,
    /// and this daemon's board has that version or soon will.
    pub fn read_newest(&mut self, key: &str, now: Ms) -> (u64, Effects) {
        let mut out = Vec::new();
        self.last_token += 1;
        let t = self.last_token;
        self.send_to_owner(
            ForwardedRequest::new(t, key.into(), OwnerRequest::Read, now),
            now,
            &mut out,
        );
        (t, self.finish(now, out))
    }

    /// Whether this daemon stood still until just now: what it reads may have waited for long, and whoever sent it has
    /// gone to others since. A write that is compared with nothing would undo what was written meanwhile.
    pub fn was_suspended(&mut self, now: Ms) -> bool {
        if now.saturating_sub(self.last_tick) > SUSPENSION_THRESHOLD {
            self.suspended_until = now + RESUME_GRACE;
        }
        now < self.suspended_until
    }

    /// Takes a write to the key's owner.
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
                let outcome =
                    WriteOutcome::NotAccepted("this daemon stood still until just now; ask again");
                return out.push(Effect::WriteFinished { token, outcome });
            }
            let order = UnconditionalWrite {
                key: key.clone(),
                value: value.clone(),
                retried_until: now + UNCONDITIONAL_RETRY_TIME,
            };
            self.unconditional_writes.insert(token, order);
        }
        let condition = WriteCondition::new(expect, self.local_version(key));
        self.send_to_owner(
            ForwardedRequest::new(
                token,
                key.clone(),
                OwnerRequest::Write(condition, value),
                now,
            ),
            now,
            out,
        );
    }

    fn local_version(&self, key: &Name) -> u64 {
        self.state_table.get(key).map_or(0, |c| c.version)
    }

    /// An order whose expectation another order overtook is tried again on what that one left, as long as its sender
    /// waits here. Gives the outcome to tell where it is not.
    pub(super) fn retry_unconditional(
        &mut self,
        token: u64,
        outcome: WriteOutcome,
        now: Ms,
        out: &mut Effects,
    ) -> Option<WriteOutcome> {
        let Some(order) = self.unconditional_writes.remove(&token) else {
            return Some(outcome);
        };
        let WriteOutcome::Conflict(version) = outcome else {
            return Some(outcome);
        };
        if now >= order.retried_until {
            return Some(WriteOutcome::NotAccepted(
                "other orders came first; ask again",
            ));
        }
        let request =
            OwnerRequest::Write(WriteCondition::UnchangedSince(version), order.value.clone());
        let passed = ForwardedRequest::new(token, order.key.clone(), request, now);
        self.unconditional_writes.insert(token, order);
        self.send_to_owner(passed, now, out);
        None
    }

    fn send_to_owner(&mut self, mut p: ForwardedRequest, now: Ms, out: &mut Effects) {
        let live = self.live_voters(now);
        let Some(v) = self.registers.preferred_owner(&p.key, &live) else {
            out.push(Effect::WriteFinished {
                token: p.token,
                outcome: WriteOutcome::NotAccepted("no voter is live"),
            });
            return;
        };
        if v.name == self.config.name {
            return match p.request {
                OwnerRequest::Write(condition, value) => self.registers.propose(
                    p.token,
                    &p.key,
                    Expect::from(condition),
                    value,
                    now,
                    out,
                ),
                OwnerRequest::Read => self.registers.read(p.token, &p.key, now, out),
            };
        }
        let (compare, expect, value) = match &p.request {
            OwnerRequest::Write(WriteCondition::Version(v), value) => {
                (Precondition::Version, *v, value.clone())
            }
            OwnerRequest::Write(WriteCondition::UnchangedSince(v), value) => {
                (Precondition::UnchangedSince, *v, value.clone())
            }
            OwnerRequest::Write(WriteCondition::Release(r), value) => {
                (Precondition::Release, *r, value.clone())
            }
            OwnerRequest::Read => (Precondition::Read, 0, Blob::default()),
        };
        // Each going has its own token, as an owner takes none twice.
        self.last_token += 1;
        let m = ForwardRequest {
            token: self.last_token,
            key: p.key.clone(),
            expected: expect,
            precondition: compare,
            value,
        };
        out.push(send(&self.registers.addr(v), m));
        p.owner = v.name.clone();
        self.forwarded.insert(self.last_token, p);
    }

    /// What waited for a key that has moved goes to its next owner; whoever passed it on here does so.
    pub(super) fn reroute_displaced(&mut self, now: Ms, out: &mut Effects) {
        for m in std::mem::take(&mut self.registers.displaced) {
            if let Some((to, token)) = self.forwarded_here.remove(&m.token) {
                let (end, version) = m
                    .offered_version
                    .map_or((ForwardOutcome::NotOwner, 0), |v| {
                        (ForwardOutcome::Deposed, v)
                    });
                out.push(send(
                    &to,
                    ForwardReply {
                        token,
                        outcome: end,
                        version,
                        reason: Name::default(),
                    },
                ));
                continue;
            }
            // A record is worked out anew by whoever holds its duty.
            if m.token == NO_CALLER || self.record_writes.contains_key(&m.token) {
                let outcome = WriteOutcome::NotAccepted("the key has moved");
                out.push(Effect::WriteFinished {
                    token: m.token,
                    outcome,
                });
                continue;
            }
            if m.offered_version.is_some() {
                self.mark_uncertain(m.token, m.offered_version);
            }
            let request = match m.value {
                Some(value) => OwnerRequest::Write(
                    WriteCondition::new(m.expect, self.local_version(&m.key)),
                    value,
                ),
                None => OwnerRequest::Read,
            };
            self.last_token += 1;
            let again = Some(now + HEARTBEAT_INTERVAL / 2);
            self.forwarded.insert(
                self.last_token,
                ForwardedRequest {
                    retry_at: again,
                    ..ForwardedRequest::new(m.token, m.key, request, m.received_at)
                },
            );
        }
    }

    /// A write may stand, or come to stand, as this version: the one after the one it expects, if it expects one.
    fn mark_uncertain(&mut self, token: u64, version: Option<u64>) {
        // Offered under two versions, it may stand under either.
        let known = self.uncertain.entry(token).or_insert(version);
        if *known != version {
            *known = None;
        }
    }

    /// Passes writes on again whose owner has died, or was none; and gives up on those that took too long.
    pub(super) fn retry_forwarded(&mut self, now: Ms, out: &mut Effects) {
        if self.forwarded.is_empty() {
            return;
        }
        let live = self.live_voters(now);
        let due: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(_, p)| {
                p.expires_at <= now || p.retry_at.map_or(!live(&p.owner), |t| t <= now)
            })
            .map(|(t, _)| *t)
            .collect();
        for t in due {
            let Some(mut p) = self.forwarded.remove(&t) else {
                continue;
            };
            // What a former owner took may stand, or come to stand.
            if p.retry_at.take().is_none()
                && let OwnerRequest::Write(condition, _) = p.request
            {
                self.mark_uncertain(p.token, condition.offered_version());
            }
            if p.expires_at <= now {
                out.push(Effect::WriteFinished {
                    token: p.token,
                    outcome: WriteOutcome::Unknown,
                });
                continue;
            }
            self.send_to_owner(p, now, out);
        }
    }

    pub(super) fn on_forward(
        &mut self,
        from: &Name,
        m: ForwardRequest,
        now: Ms,
        out: &mut Effects,
    ) {
        let not_owner = |why: &str| {
            send(
                from,
                ForwardReply {
                    token: m.token,
                    outcome: ForwardOutcome::NotOwner,
                    version: 0,
                    reason: why.into(),
                },
            )
        };
        // The second copy would lose against the first, and its asker be told of a conflict with itself.
        if self
            .forwards_seen
            .insert((from.clone(), m.token), now)
            .is_some()
        {
            return;
        }
        let live = self.live_voters(now);
        let mine = self
            .registers
            .preferred_owner(&m.key, &live)
            .is_some_and(|v| v.name == self.config.name);
        // Passing on a second time could go in circles; the asker looks again instead.
        if !mine {
            return out.push(not_owner(
                "the daemon asked does not come first for this key",
            ));
        }
        self.last_token += 1;
        self.forwarded_here
            .insert(self.last_token, (from.clone(), m.token));
        let e = match m.precondition {
            Precondition::Read => return self.registers.read(self.last_token, &m.key, now, out),
            Precondition::Version => Expect::Version(m.expected),
            Precondition::UnchangedSince => Expect::UnchangedSince(m.expected),
            Precondition::Release => Expect::Release(m.expected),
        };
        self.registers
            .propose(self.last_token, &m.key, e, m.value, now, out);
    }

    /// Routes answers of this daemon's own registers to whoever asked.
    pub(super) fn route_outcome(
        &mut self,
        token: u64,
        outcome: WriteOutcome,
        now: Ms,
        out: &mut Effects,
    ) {
        self.record_writes.remove(&token);
        if token == NO_CALLER {
            return;
        }
        let outcome = match (self.uncertain.remove(&token), outcome) {
            // Another value stands under its very version: it never will.
            (Some(Some(v)), WriteOutcome::Conflict(w)) if v == w => outcome,
            (Some(_), WriteOutcome::Conflict(_) | WriteOutcome::NotAccepted(_)) => {
                WriteOutcome::Unknown
            }
            _ => outcome,
        };
        let Some((to, theirs)) = self.forwarded_here.remove(&token) else {
            let told = self.retry_unconditional(token, outcome, now, out);
            out.extend(told.map(|outcome| Effect::WriteFinished { token, outcome }));
            return;
        };
        let (end, version, why) = match outcome {
            WriteOutcome::Accepted(v) => (ForwardOutcome::Accepted, v, ""),
            WriteOutcome::Conflict(v) => (ForwardOutcome::Conflict, v, ""),
            WriteOutcome::NotAccepted(w) => (ForwardOutcome::NotAccepted, 0, w),
            WriteOutcome::Unknown => (ForwardOutcome::Unknown, 0, ""),
        };
        out.push(send(
            &to,
            ForwardReply {
                token: theirs,
                outcome: end,
                version,
                reason: why.into(),
            },
        ));
    }

    pub(super) fn on_forward_reply(&mut self, m: ForwardReply, now: Ms, out: &mut Effects) {
        let Some(mut p) = self.forwarded.remove(&m.token) else {
            return;
        };
        if m.outcome == ForwardOutcome::Deposed {
            self.mark_uncertain(p.token, Some(m.version));
        }
        // The two daemons do not see the same ones live yet.
        if matches!(
            m.outcome,
            ForwardOutcome::NotOwner | ForwardOutcome::Deposed
        ) && now + HEARTBEAT_INTERVAL < p.expires_at
        {
            p.retry_at = Some(now + HEARTBEAT_INTERVAL);
            self.forwarded.insert(m.token, p);
            return;
        }
        let outcome = match m.outcome {
            ForwardOutcome::Accepted => WriteOutcome::Accepted(m.version),
            ForwardOutcome::Conflict => WriteOutcome::Conflict(m.version),
            ForwardOutcome::NotAccepted | ForwardOutcome::NotOwner | ForwardOutcome::Deposed => {
                WriteOutcome::NotAccepted("the key's owner did not take it; ask again")
            }
            ForwardOutcome::Unknown => WriteOutcome::Unknown,
        };
        out.push(Effect::WriteFinished {
            token: p.token,
            outcome,
        });
    }
}
