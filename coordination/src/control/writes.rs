//! Writes: taken to their keys' owners, passed on to other daemons, and what became of them.

use super::*;

/// A write or a reading that went to the key's owner.
#[derive(Clone, Debug)]
pub(super) struct Passed {
    /// Under which token its answer is awaited here.
    token: u64,
    key: Name,
    expect: Option<Expect>,
    value: Blob,
    to: Name,
    until: Ms,
    /// The owner said that it is not the owner; it goes out again then.
    again: Option<Ms>,
}

impl Control {
    /// Writes a key; an `Answer` with the returned token follows. `expect`: only if this version stands.
    pub fn write(&mut self, key: &str, expect: impl Into<Expect>, value: Vec<u8>, now: Ms) -> (u64, Effects) {
        let mut out = Vec::new();
        self.token += 1;
        let t = self.token;
        self.offer(t, &key.into(), Some(expect.into()), Blob(value), now, &mut out);
        (t, self.finish(now, out))
    }

    /// Asks for the newest version of a key that any majority has taken; an `Answer` with the returned token tells it,
    /// and this daemon's board has that version or soon will.
    pub fn newest(&mut self, key: &str, now: Ms) -> (u64, Effects) {
        let mut out = Vec::new();
        self.token += 1;
        let t = self.token;
        self.offer(t, &key.into(), None, Blob::default(), now, &mut out);
        (t, self.finish(now, out))
    }

    /// Whether this daemon stood still until just now: what it reads may have waited for long, and whoever sent it has
    /// gone to others since. A write that is compared with nothing would undo what was written meanwhile.
    pub(super) fn woke(&mut self, now: Ms) -> bool {
        if now.saturating_sub(self.ticked) > STOOD_STILL {
            self.wakes = now + WAKES_FOR;
        }
        now < self.wakes
    }

    /// Takes a write, or a reading where nothing is expected, to the key's owner.
    fn offer(&mut self, token: u64, key: &Name, expect: Option<Expect>, value: Blob, now: Ms, out: &mut Effects) {
        if self.woke(now) && expect == Some(Expect::Any) {
            let outcome = WriteOutcome::NotAccepted("this daemon stood still until just now; ask again");
            return out.push(Effect::Answer { token, outcome });
        }
        let p = Passed { token, key: key.clone(), expect, value, to: Name::default(), until: now + FORWARD_LIMIT, again: None };
        self.pass(p, now, out);
    }

    fn pass(&mut self, mut p: Passed, now: Ms, out: &mut Effects) {
        let live = self.live(now);
        let Some(v) = self.regs.first(&p.key, &live) else {
            out.push(Effect::Answer { token: p.token, outcome: WriteOutcome::NotAccepted("no voter is live") });
            return;
        };
        if v.name == self.p.name {
            return match p.expect {
                Some(e) => self.regs.propose(p.token, &p.key, e, p.value, now, out),
                None => self.regs.read(p.token, &p.key, now, out),
            };
        }
        let (mode, expect) = match p.expect {
            Some(Expect::Version(v)) => (BY_VERSION, v),
            Some(Expect::Any) => (BY_NOTHING, 0),
            Some(Expect::Release(r)) => (BY_RELEASE, r),
            None => (READS, 0),
        };
        // Each going has its own token, as an owner takes none twice.
        self.token += 1;
        let m = Forward { token: self.token, key: p.key.clone(), expect, mode, value: p.value.clone() };
        out.push(send(&self.regs.addr(v), m));
        p.to = v.name.clone();
        self.passed.insert(self.token, p);
    }

    /// What waited for a key that has moved goes to its next owner; whoever passed it on here does so.
    pub(super) fn take_moved(&mut self, now: Ms, out: &mut Effects) {
        for m in std::mem::take(&mut self.regs.moved) {
            if let Some((to, token)) = self.foreign.remove(&m.token) {
                let (code, version) = m.offered.map_or((NOT_OWNER, 0), |v| (DEPOSED, v));
                out.push(send(&to, Forwarded { token, code, version, why: Name::default() }));
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
            let (expect, value) = (m.value.is_some().then_some(m.expect), m.value.unwrap_or_default());
            let (to, until, again) = (Name::default(), m.at + FORWARD_LIMIT, Some(now + BEAT_EVERY / 2));
            self.token += 1;
            self.passed.insert(self.token, Passed { token: m.token, key: m.key, expect, value, to, until, again });
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
                && let Some(e) = p.expect
            {
                self.doubt(p.token, if let Expect::Version(v) = e { Some(v + 1) } else { None });
            }
            if p.until <= now {
                out.push(Effect::Answer { token: p.token, outcome: WriteOutcome::Unknown });
                continue;
            }
            self.pass(p, now, out);
        }
    }

    pub(super) fn on_forward(&mut self, from: &Name, m: Forward, now: Ms, out: &mut Effects) {
        if self.woke(now) && m.mode == BY_NOTHING {
            let why = "the daemon asked stood still until just now".into();
            return out.push(send(from, Forwarded { token: m.token, code: NOT_OWNER, version: 0, why }));
        }
        // The second copy would lose against the first, and its asker be told of a conflict with itself.
        if self.taken.insert((from.clone(), m.token), now).is_some() {
            return;
        }
        let live = self.live(now);
        let mine = self.regs.first(&m.key, &live).is_some_and(|v| v.name == self.p.name);
        // Passing on a second time could go in circles; the asker looks again instead.
        if !mine {
            let why = "the daemon asked does not come first for this key".into();
            out.push(send(from, Forwarded { token: m.token, code: NOT_OWNER, version: 0, why }));
            return;
        }
        self.token += 1;
        self.foreign.insert(self.token, (from.clone(), m.token));
        let e = match m.mode {
            READS => return self.regs.read(self.token, &m.key, now, out),
            BY_VERSION => Expect::Version(m.expect),
            BY_RELEASE => Expect::Release(m.expect),
            _ => Expect::Any,
        };
        self.regs.propose(self.token, &m.key, e, m.value, now, out);
    }

    /// Routes answers of this daemon's own registers to whoever asked.
    pub(super) fn route(&mut self, token: u64, outcome: WriteOutcome) -> Option<Effect> {
        self.writing.remove(&token);
        if token == NOBODY {
            return None;
        }
        let outcome = match (self.doubtful.remove(&token), outcome) {
            // Another value stands under its very version: it never will.
            (Some(Some(v)), WriteOutcome::Conflict(w)) if v == w => outcome,
            (Some(_), WriteOutcome::Conflict(_) | WriteOutcome::NotAccepted(_)) => WriteOutcome::Unknown,
            _ => outcome,
        };
        let Some((to, theirs)) = self.foreign.remove(&token) else {
            return Some(Effect::Answer { token, outcome });
        };
        let (code, version, why) = match outcome {
            WriteOutcome::Accepted(v) => (0, v, ""),
            WriteOutcome::Conflict(v) => (1, v, ""),
            WriteOutcome::NotAccepted(w) => (2, 0, w),
            WriteOutcome::Unknown => (3, 0, ""),
        };
        Some(send(&to, Forwarded { token: theirs, code, version, why: why.into() }))
    }

    pub(super) fn on_forwarded(&mut self, m: Forwarded, now: Ms, out: &mut Effects) {
        let Some(mut p) = self.passed.remove(&m.token) else { return };
        if m.code == DEPOSED {
            self.doubt(p.token, Some(m.version));
        }
        // The two daemons do not see the same ones live yet.
        if matches!(m.code, NOT_OWNER | DEPOSED) && now + BEAT_EVERY < p.until {
            p.again = Some(now + BEAT_EVERY);
            self.passed.insert(m.token, p);
            return;
        }
        let outcome = match m.code {
            0 => WriteOutcome::Accepted(m.version),
            1 => WriteOutcome::Conflict(m.version),
            2 | NOT_OWNER | DEPOSED => WriteOutcome::NotAccepted("the key's owner did not take it; ask again"),
            _ => WriteOutcome::Unknown,
        };
        out.push(Effect::Answer { token: p.token, outcome });
    }
}
