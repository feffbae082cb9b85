//! Writes: taken to their keys' owners, passed on to other daemons, and what became of them.

use super::*;

/// An order that is compared with nothing, as it came to this daemon.
#[derive(Clone, Debug)]
pub(super) struct Order {
    key: Name,
    value: Blob,
    /// Until when it is tried again on what another order left.
    renewed_until: Ms,
}

impl Order {
    /// Whether an answer to it may still come.
    pub(super) fn is_awaited(&self, now: Ms) -> bool {
        now < self.renewed_until + 2 * FORWARD_LIMIT
    }
}

/// What must stand for a write that is passed on. There is no `Any`: a write that is compared with nothing carries the
/// version that stood where it came in, so that wherever it is held up it does not undo what came after it.
#[derive(Clone, Copy, Debug)]
enum Condition {
    Version(u64),
    Since(u64),
    Release(u64),
}

impl Condition {
    /// `stands`: the version of the key here.
    fn new(e: Expect, stands: u64) -> Self {
        match e {
            Expect::Any => Condition::Since(stands),
            Expect::Version(v) => Condition::Version(v),
            Expect::Since(v) => Condition::Since(v),
            Expect::Release(r) => Condition::Release(r),
        }
    }

    /// The version as which a write under it may stand, where that is known.
    fn offered(self) -> Option<u64> {
        match self {
            Condition::Version(v) | Condition::Since(v) => Some(v + 1),
            Condition::Release(_) => None,
        }
    }
}

impl From<Condition> for Expect {
    fn from(c: Condition) -> Self {
        match c {
            Condition::Version(v) => Expect::Version(v),
            Condition::Since(v) => Expect::Since(v),
            Condition::Release(r) => Expect::Release(r),
        }
    }
}

/// What is asked of a key's owner.
#[derive(Clone, Debug)]
enum Request {
    /// The newest version.
    Read,
    Write(Condition, Blob),
}

/// A write or a reading that went to the key's owner.
#[derive(Clone, Debug)]
pub(super) struct Passed {
    /// Under which token its answer is awaited here.
    token: u64,
    key: Name,
    request: Request,
    to: Name,
    until: Ms,
    /// The owner said that it is not the owner; it goes out again then.
    again: Option<Ms>,
}

impl Passed {
    fn new(token: u64, key: Name, request: Request, now: Ms) -> Self {
        Passed { token, key, request, to: Name::default(), until: now + FORWARD_LIMIT, again: None }
    }
}

impl Control {
    /// Writes a key; an `Answer` with the returned token follows. `expect`: only if this version stands.
    pub fn write(&mut self, key: &str, expect: impl Into<Expect>, value: Vec<u8>, now: Ms) -> (u64, Effects) {
        let mut out = Vec::new();
        self.token += 1;
        let t = self.token;
        self.offer(t, &key.into(), expect.into(), Blob(value), now, &mut out);
        (t, self.finish(now, out))
    }

    /// Asks for the newest version of a key that any majority has taken; an `Answer` with the returned token tells it,
    /// and this daemon's board has that version or soon will.
    pub fn newest(&mut self, key: &str, now: Ms) -> (u64, Effects) {
        let mut out = Vec::new();
        self.token += 1;
        let t = self.token;
        self.pass(Passed::new(t, key.into(), Request::Read, now), now, &mut out);
        (t, self.finish(now, out))
    }

    /// Whether this daemon stood still until just now: what it reads may have waited for long, and whoever sent it has
    /// gone to others since. A write that is compared with nothing would undo what was written meanwhile.
    pub fn stood_still(&mut self, now: Ms) -> bool {
        if now.saturating_sub(self.ticked) > STOOD_STILL {
            self.wakes = now + WAKES_FOR;
        }
        now < self.wakes
    }

    /// Takes a write to the key's owner.
    fn offer(&mut self, token: u64, key: &Name, expect: Expect, value: Blob, now: Ms, out: &mut Effects) {
        if expect == Expect::Any {
            if self.stood_still(now) {
                let outcome = WriteOutcome::NotAccepted("this daemon stood still until just now; ask again");
                return out.push(Effect::Answer { token, outcome });
            }
            let order = Order { key: key.clone(), value: value.clone(), renewed_until: now + ORDER_RENEWED };
            self.orders.insert(token, order);
        }
        let condition = Condition::new(expect, self.version_here(key));
        self.pass(Passed::new(token, key.clone(), Request::Write(condition, value), now), now, out);
    }

    fn version_here(&self, key: &Name) -> u64 {
        self.board.get(key).map_or(0, |c| c.version)
    }

    /// An order whose expectation another order overtook is tried again on what that one left, as long as its sender
    /// waits here. Gives the outcome to tell where it is not.
    pub(super) fn renew_order(&mut self, token: u64, outcome: WriteOutcome, now: Ms, out: &mut Effects) -> Option<WriteOutcome> {
        let Some(order) = self.orders.remove(&token) else { return Some(outcome) };
        let WriteOutcome::Conflict(version) = outcome else { return Some(outcome) };
        if now >= order.renewed_until {
            return Some(WriteOutcome::NotAccepted("other orders came first; ask again"));
        }
        let request = Request::Write(Condition::Since(version), order.value.clone());
        let passed = Passed::new(token, order.key.clone(), request, now);
        self.orders.insert(token, order);
        self.pass(passed, now, out);
        None
    }

    fn pass(&mut self, mut p: Passed, now: Ms, out: &mut Effects) {
        let live = self.live(now);
        let Some(v) = self.regs.first(&p.key, &live) else {
            out.push(Effect::Answer { token: p.token, outcome: WriteOutcome::NotAccepted("no voter is live") });
            return;
        };
        if v.name == self.p.name {
            return match p.request {
                Request::Write(condition, value) => self.regs.propose(p.token, &p.key, Expect::from(condition), value, now, out),
                Request::Read => self.regs.read(p.token, &p.key, now, out),
            };
        }
        let (compare, expect, value) = match &p.request {
            Request::Write(Condition::Version(v), value) => (Precondition::Version, *v, value.clone()),
            Request::Write(Condition::Since(v), value) => (Precondition::UnchangedSince, *v, value.clone()),
            Request::Write(Condition::Release(r), value) => (Precondition::Release, *r, value.clone()),
            Request::Read => (Precondition::Read, 0, Blob::default()),
        };
        // Each going has its own token, as an owner takes none twice.
        self.token += 1;
        let m = ForwardRequest { token: self.token, key: p.key.clone(), expected: expect, precondition: compare, value };
        out.push(send(&self.regs.addr(v), m));
        p.to = v.name.clone();
        self.passed.insert(self.token, p);
    }

    /// What waited for a key that has moved goes to its next owner; whoever passed it on here does so.
    pub(super) fn take_moved(&mut self, now: Ms, out: &mut Effects) {
        for m in std::mem::take(&mut self.regs.moved) {
            if let Some((to, token)) = self.foreign.remove(&m.token) {
                let (end, version) = m.offered.map_or((ForwardOutcome::NotOwner, 0), |v| (ForwardOutcome::Deposed, v));
                out.push(send(&to, ForwardReply { token, outcome: end, version, reason: Name::default() }));
                continue;
            }
            // A record is worked out anew by whoever holds its duty.
            if m.token == NOBODY || self.writing.contains_key(&m.token) {
                let outcome = WriteOutcome::NotAccepted("the key has moved");
                out.push(Effect::Answer { token: m.token, outcome });
                continue;
            }
            if m.offered.is_some() {
                self.doubt(m.token, m.offered);
            }
            let request = match m.value {
                Some(value) => Request::Write(Condition::new(m.expect, self.version_here(&m.key)), value),
                None => Request::Read,
            };
            self.token += 1;
            let again = Some(now + HEARTBEAT_EVERY / 2);
            self.passed.insert(self.token, Passed { again, ..Passed::new(m.token, m.key, request, m.at) });
        }
    }

    /// A write may stand, or come to stand, as this version: the one after the one it expects, if it expects one.
    fn doubt(&mut self, token: u64, version: Option<u64>) {
        // Offered under two versions, it may stand under either.
        let known = self.doubtful.entry(token).or_insert(version);
        if *known != version {
            *known = None;
        }
    }

    /// Passes writes on again whose owner has died, or was none; and gives up on those that took too long.
    pub(super) fn pass_again(&mut self, now: Ms, out: &mut Effects) {
        if self.passed.is_empty() {
            return;
        }
        let live = self.live(now);
        let due: Vec<u64> = self
            .passed
            .iter()
            .filter(|(_, p)| p.until <= now || p.again.map_or(!live(&p.to), |t| t <= now))
            .map(|(t, _)| *t)
            .collect();
        for t in due {
            let Some(mut p) = self.passed.remove(&t) else { continue };
            // What a former owner took may stand, or come to stand.
            if p.again.take().is_none()
                && let Request::Write(condition, _) = p.request
            {
                self.doubt(p.token, condition.offered());
            }
            if p.until <= now {
                out.push(Effect::Answer { token: p.token, outcome: WriteOutcome::Unknown });
                continue;
            }
            self.pass(p, now, out);
        }
    }

    pub(super) fn on_forward(&mut self, from: &Name, m: ForwardRequest, now: Ms, out: &mut Effects) {
        let not_owner = |why: &str| {
            send(from, ForwardReply { token: m.token, outcome: ForwardOutcome::NotOwner, version: 0, reason: why.into() })
        };
        // The second copy would lose against the first, and its asker be told of a conflict with itself.
        if self.taken.insert((from.clone(), m.token), now).is_some() {
            return;
        }
        let live = self.live(now);
        let mine = self.regs.first(&m.key, &live).is_some_and(|v| v.name == self.p.name);
        // Passing on a second time could go in circles; the asker looks again instead.
        if !mine {
            return out.push(not_owner("the daemon asked does not come first for this key"));
        }
        self.token += 1;
        self.foreign.insert(self.token, (from.clone(), m.token));
        let e = match m.precondition {
            Precondition::Read => return self.regs.read(self.token, &m.key, now, out),
            Precondition::Version => Expect::Version(m.expected),
            Precondition::UnchangedSince => Expect::Since(m.expected),
            Precondition::Release => Expect::Release(m.expected),
        };
        self.regs.propose(self.token, &m.key, e, m.value, now, out);
    }

    /// Routes answers of this daemon's own registers to whoever asked.
    pub(super) fn route(&mut self, token: u64, outcome: WriteOutcome, now: Ms, out: &mut Effects) {
        self.writing.remove(&token);
        if token == NOBODY {
            return;
        }
        let outcome = match (self.doubtful.remove(&token), outcome) {
            // Another value stands under its very version: it never will.
            (Some(Some(v)), WriteOutcome::Conflict(w)) if v == w => outcome,
            (Some(_), WriteOutcome::Conflict(_) | WriteOutcome::NotAccepted(_)) => WriteOutcome::Unknown,
            _ => outcome,
        };
        let Some((to, theirs)) = self.foreign.remove(&token) else {
            let told = self.renew_order(token, outcome, now, out);
            out.extend(told.map(|outcome| Effect::Answer { token, outcome }));
            return;
        };
        let (end, version, why) = match outcome {
            WriteOutcome::Accepted(v) => (ForwardOutcome::Accepted, v, ""),
            WriteOutcome::Conflict(v) => (ForwardOutcome::Conflict, v, ""),
            WriteOutcome::NotAccepted(w) => (ForwardOutcome::NotAccepted, 0, w),
            WriteOutcome::Unknown => (ForwardOutcome::Unknown, 0, ""),
        };
        out.push(send(&to, ForwardReply { token: theirs, outcome: end, version, reason: why.into() }));
    }

    pub(super) fn on_forwarded(&mut self, m: ForwardReply, now: Ms, out: &mut Effects) {
        let Some(mut p) = self.passed.remove(&m.token) else { return };
        if m.outcome == ForwardOutcome::Deposed {
            self.doubt(p.token, Some(m.version));
        }
        // The two daemons do not see the same ones live yet.
        if matches!(m.outcome, ForwardOutcome::NotOwner | ForwardOutcome::Deposed) && now + HEARTBEAT_EVERY < p.until {
            p.again = Some(now + HEARTBEAT_EVERY);
            self.passed.insert(m.token, p);
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
        out.push(Effect::Answer { token: p.token, outcome });
    }
}
