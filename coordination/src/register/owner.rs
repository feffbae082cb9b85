//! What an owner does with a key: takes it, writes and tells one by one, and gives it up.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use wire_messages::{
    Accept, Accepted, Blob, Change, Commit, LeasesRenewed, List, Name, OwnedKey, Prepare, Promise, ReleaseLeases, RenewLeases,
    Slot,
};

use super::{Ask, EPOCHS, Expect, Moved, Ownership, Phase, Registers, Write, change, leased, repeats::Earlier};
use crate::{
    Effect, Effects, Ms, Row, WriteOutcome,
    effect::{note, send},
    events,
    limits::{RESEND, WRITES_WAITING},
};

impl Write {
    /// A value that may stand already, and that nobody waits for.
    fn again(s: &Slot, now: Ms) -> Self {
        let (acks, token, expect) = (BTreeSet::new(), None, Expect::Any);
        Write { version: s.version, value: s.value.clone(), past: s.replaced.clone(), acks, token, expect, at: now, sent: now }
    }
}

impl Registers {
    pub(super) fn spread(&self, m: impl Into<wire_messages::Message>, out: &mut Effects) {
        let m = m.into();
        out.extend(self.voters.iter().map(|v| send(&self.addr(v), m.clone())));
    }

    /// Starts to take a key.
    pub(super) fn take(&mut self, key: &Name, now: Ms, out: &mut Effects) {
        let epoch = self.next_epoch();
        let old = self.own.remove(key);
        let (waiting, not_before) = old.map_or((VecDeque::new(), 0), |o| (o.waiting, o.not_before));
        let phase = Phase::Asking { promises: BTreeSet::new(), best: Slot::default(), sent: now };
        let o = Ownership { epoch, phase, write: None, waiting, not_before, outbid: false, renewed: BTreeMap::new(), asked: 0 };
        self.own.insert(key.clone(), o);
        if now >= not_before {
            self.prepare(key, epoch, out);
        }
    }

    /// Asks for promises once the epoch is on this daemon's own disk: after a crash it would take the same one
    /// again, and two writes under one epoch and version could not be told apart.
    pub(super) fn prepare(&self, key: &Name, epoch: u64, out: &mut Effects) {
        let row = Slot { key: EPOCHS.into(), promised_epoch: self.highest, ..Slot::default() };
        let mut then = vec![];
        self.spread(Prepare { key: key.clone(), epoch, member_epoch: self.member_epoch }, &mut then);
        out.push(Effect::Persist { rows: vec![Row::Slot(row)], then });
    }

    /// Gives up a key: what was offered and what waited goes to the next owner. What was offered may stand by then; it
    /// is not left to what the next owner commits, who may never see it and have nothing to write.
    pub(super) fn give_up(&mut self, key: &Name, out: &mut Effects) {
        let Some(o) = self.own.remove(key) else { return };
        if let Some(w) = o.write
            && let Some(token) = w.token
        {
            let (value, offered) = (Some(w.value), Some(w.version));
            self.moved.push(Moved { token, key: key.clone(), expect: w.expect, value, at: w.at, offered });
        }
        if let (Phase::Holding { .. }, true) = (&o.phase, leased(key)) {
            self.spread(ReleaseLeases { keys: List(vec![OwnedKey { key: key.clone(), epoch: o.epoch }]) }, out);
        }
        let moved =
            |a: Ask| Moved { token: a.token, key: key.clone(), expect: a.expect, value: a.value, at: a.at, offered: None };
        self.moved.extend(o.waiting.into_iter().map(moved));
    }

    /// Offers a write to a key that this daemon owns or is taking.
    pub fn propose(&mut self, token: u64, key: &Name, expect: impl Into<Expect>, value: Blob, now: Ms, out: &mut Effects) {
        self.ask(Ask { token, expect: expect.into(), value: Some(value), at: now }, key, now, out);
    }
    /// Asks for the newest version of a key that this daemon owns or is taking.
    pub fn read(&mut self, token: u64, key: &Name, now: Ms, out: &mut Effects) {
        self.ask(Ask { token, expect: Expect::Any, value: None, at: now }, key, now, out);
    }

    fn ask(&mut self, a: Ask, key: &Name, now: Ms, out: &mut Effects) {
        let token = a.token;
        if !self.voting {
            out.push(Effect::Answer { token, outcome: WriteOutcome::NotAccepted("this daemon does not vote") });
            return;
        }
        if !self.own.contains_key(key) {
            self.take(key, now, out);
        }
        let Some(o) = self.own.get_mut(key) else { return };
        if o.waiting.len() >= WRITES_WAITING {
            out.push(Effect::Answer { token, outcome: WriteOutcome::NotAccepted("too many writes wait for this key") });
            return;
        }
        o.waiting.push_back(a);
        self.advance(key, now, out);
    }

    /// Writes again what stands where another daemon has something newer that no majority took: an owner that died
    /// left it there, and the daemon takes nothing older in its stead.
    pub fn write_again(&mut self, have: &[Slot], now: Ms, out: &mut Effects) {
        for h in have.iter().filter(|h| h.committed_version != h.version) {
            let Some(s) =
                self.slots.get(&h.key).filter(|s| (h.accepted_epoch, h.version) > (s.accepted_epoch, s.version)).cloned()
            else {
                continue;
            };
            let member_epoch = self.member_epoch;
            let Some(o) = self.own.get_mut(&h.key).filter(|o| o.write.is_none() && o.epoch > h.accepted_epoch) else { continue };
            let Phase::Holding { version } = o.phase else { continue };
            if s.version != version || version == 0 {
                continue;
            }
            let epoch = o.epoch;
            o.write = Some(Write::again(&s, now));
            self.spread(Accept { key: s.key, epoch, version, value: s.value, replaced: s.replaced, member_epoch }, out);
        }
    }

    /// Works through what waits for a key, until a write is under way or the voters must be asked first.
    pub(super) fn advance(&mut self, key: &Name, now: Ms, out: &mut Effects) {
        loop {
            let Some(o) = self.own.get(key).filter(|o| o.write.is_none()) else { return };
            let (Phase::Holding { version }, Some(a)) = (&o.phase, o.waiting.front()) else { return };
            let (version, at, expect) = (*version, a.at, a.expect);
            let repeats = a.value.as_ref().is_some_and(|v| self.stands(key, version, expect, v));
            let reads = a.value.is_none();
            if !reads && !repeats && self.fits(key, version, expect) {
                return self.write_next(key, version, now, out);
            }
            // What stands is told only by an owner that a majority confirmed since it was asked: one that was deposed
            // without having heard of it would tell of an older value.
            let Some(o) = self.own.get(key) else { return };
            if self.confirmed(o).is_none_or(|t| t < at) {
                return self.confirm(key, at, now, out);
            }
            let Some(a) = self.own.get_mut(key).and_then(|o| o.waiting.pop_front()) else { return };
            let outcome = match a.value {
                Some(v) if !repeats => match self.earlier(key, version, expect, &v) {
                    Earlier::Accepted(was) => WriteOutcome::Accepted(was),
                    Earlier::Never => WriteOutcome::Conflict(version),
                    Earlier::Forgotten => WriteOutcome::Unknown,
                },
                _ => WriteOutcome::Accepted(version),
            };
            out.push(Effect::Answer { token: a.token, outcome });
        }
    }

    /// Whether what a write expects stands.
    fn fits(&mut self, key: &Name, version: u64, expect: Expect) -> bool {
        match expect {
            Expect::Any => true,
            Expect::Version(v) | Expect::Since(v) => v == version,
            Expect::Release(r) => self.release(key, version) == Some(r),
        }
    }

    /// Whether a write's value stands already, as what the write would have made of it. An operator that got no clear
    /// answer repeats its order, and a daemon a write whose owner went.
    fn stands(&self, key: &Name, version: u64, expect: Expect, value: &Blob) -> bool {
        let same = self.slots.get(key).is_some_and(|s| s.version == version && version > 0 && s.value == *value);
        same && if let Expect::Version(v) = expect { v + 1 == version } else { true }
    }

    /// Offers the first write that waits to the voters' disks.
    fn write_next(&mut self, key: &Name, version: u64, now: Ms, out: &mut Effects) {
        let past = self.past_of_next(key, version);
        let member_epoch = self.member_epoch;
        let Some(o) = self.own.get_mut(key) else { return };
        let Some(Ask { token, expect, value: Some(value), at }) = o.waiting.pop_front() else { return };
        let (acks, token) = (BTreeSet::new(), Some(token));
        let w = Write { version: version + 1, value, past, acks, token, expect, at, sent: now };
        let (value, past) = (w.value.clone(), w.past.clone());
        let m = Accept { key: key.clone(), epoch: o.epoch, version: w.version, value, replaced: past, member_epoch };
        o.write = Some(w);
        self.spread(m, out);
    }

    /// Asks the voters whether a key is still this daemon's own.
    fn confirm(&mut self, key: &Name, since: Ms, now: Ms, out: &mut Effects) {
        let Some(o) = self.own.get_mut(key) else { return };
        if o.asked >= since && now.saturating_sub(o.asked) < RESEND {
            return;
        }
        o.asked = now;
        let keys = List(vec![OwnedKey { key: key.clone(), epoch: o.epoch }]);
        self.spread(RenewLeases { keys, sent_at: now, member_epoch: self.member_epoch }, out);
    }

    pub fn on_promise(&mut self, from: &Name, m: Promise, now: Ms, out: &mut Effects) {
        self.highest = self.highest.max(m.slot.promised_epoch);
        let (key, need, member_epoch) = (m.slot.key.clone(), self.majority(), self.member_epoch);
        let known = self.voters.iter().any(|v| v.name == *from);
        let own = self.slots.get(&key);
        let Some(o) = self.own.get_mut(&key) else { return };
        if m.epoch != o.epoch || m.member_epoch != member_epoch || !known {
            return;
        }
        let Phase::Asking { promises, best, .. } = &mut o.phase else { return };
        if m.granted == 0 {
            o.outbid |= m.slot.promised_epoch > o.epoch;
            o.not_before = o.not_before.max(now + u64::from(m.retry_after_ms).max(RESEND / 2));
            return;
        }
        promises.insert(from.clone());
        // What this daemon has itself counts though its own promise may be the last to come: it compares with that.
        let rank = |s: &Slot| (s.accepted_epoch, s.version, s.committed_version);
        if let Some(s) = own.into_iter().chain([&m.slot]).max_by_key(|s| rank(s)).filter(|s| rank(s) > rank(best)) {
            *best = s.clone();
        }
        if promises.len() < need {
            return;
        }
        let best = best.clone();
        o.phase = Phase::Holding { version: best.version };
        out.push(note(events::OWNER, &self.name, format!("{key} epoch {} version {}", o.epoch, best.version)));
        // What is known to be committed stands on a majority already; each later owner meets it there.
        if best.committed_version == best.version {
            if best.version > 0 {
                self.on_commit(&change(&best), &best.replaced, out);
            }
            self.advance(&key, now, out);
            return;
        }
        // Whatever a majority may have taken is written again under the new epoch before anything else:
        // a write whose owner died between two disks ends here, one way for everybody.
        let epoch = o.epoch;
        o.write = Some(Write::again(&best, now));
        self.spread(Accept { key, epoch, version: best.version, value: best.value, replaced: best.replaced, member_epoch }, out);
    }

    pub fn on_accepted(&mut self, from: &Name, m: Accepted, now: Ms, out: &mut Effects) {
        self.highest = self.highest.max(m.promised_epoch);
        let need = self.majority();
        let known = self.voters.iter().any(|v| v.name == *from);
        let Some(o) = self.own.get_mut(&m.key) else { return };
        if m.epoch != o.epoch || m.member_epoch != self.member_epoch || !known {
            return;
        }
        if m.accepted == 0 {
            if m.promised_epoch > o.epoch {
                out.push(note(events::DEPOSED, from, format!("{} epoch {}", m.key, o.epoch)));
                self.give_up(&m.key, out);
            }
            return;
        }
        let Some(w) = o.write.as_mut().filter(|w| w.version == m.version) else { return };
        w.acks.insert(from.clone());
        if w.acks.len() < need {
            return;
        }
        let Some(w) = o.write.take() else { return };
        o.phase = Phase::Holding { version: w.version };
        let c = Change { key: m.key.clone(), epoch: o.epoch, version: w.version, value: w.value };
        if let Some(token) = w.token {
            out.push(note(events::ACCEPTED, &self.name, format!("{} version {}", m.key, w.version)));
            out.push(Effect::Answer { token, outcome: WriteOutcome::Accepted(w.version) });
        }
        self.on_commit(&c, &w.past, out);
        let news = Commit { change: c, replaced: w.past };
        for v in self.voters.iter().filter(|v| v.name != self.name) {
            out.push(send(&self.addr(v), news.clone()));
        }
        out.extend(self.followers.iter().map(|a| send(a, news.clone())));
        self.advance(&m.key, now, out);
    }

    pub fn on_renewed(&mut self, from: &Name, m: LeasesRenewed, now: Ms, out: &mut Effects) {
        if m.member_epoch != self.member_epoch || !self.voters.iter().any(|v| v.name == *from) {
            return;
        }
        for h in m.keys {
            let Some(o) = self.own.get_mut(&h.key).filter(|o| o.epoch == h.epoch) else { continue };
            let t = o.renewed.entry(from.clone()).or_insert(0);
            *t = (*t).max(m.request_sent_at);
            self.advance(&h.key, now, out);
        }
    }
}
