//! Key registers. Each key has one owner under a rising epoch; the owner has a value synced on a
//! majority of the voters' disks before it answers. Keys of duties also carry a permit: voters let no
//! other daemon take such a key while its holder's permit runs.

use std::{
    borrow::Cow,
    collections::{BTreeMap, BTreeSet, VecDeque},
};

use wire_messages::{
    Accept, Accepted, Blob, Change, Commit, Held, List, Name, Prepare, Promise, Release, Renew, Renewed, Slot, Voter,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Effect, Effects, Ms, Row, WriteOutcome,
    board::{SpecReader, own_spec},
    effect::{note, send},
    events,
    limits::{BEAT_EVERY, PAST_VALUES, PERMIT_MARGIN, RENEW_EVERY, RESEND, WRITE_LIMIT, WRITES_WAITING},
    order::weight,
};

/// Keys of duties begin with this; their owner runs the rollout of the service named behind it.
pub const DUTY: &str = "rollout/";
/// Keys of services' copies of shared context. They come with the duty: the same daemon owns both, under permits alike.
pub const CONTEXT: &str = "context/";
/// The voters themselves are a key.
pub const MEMBERS: &str = "members";

/// The row that keeps the highest epoch this daemon may have taken anything under; it is no key.
const EPOCHS: &str = "epochs";

fn leased(key: &str) -> bool {
    key.starts_with(DUTY) || key.starts_with(CONTEXT)
}

/// Keys that operators write, and may write again without having heard of the first time.
fn remembered(key: &str) -> bool {
    !leased(key) && key != MEMBERS
}

/// The key by which the agreed order of a key's owners goes.
fn seat(key: &str) -> Cow<'_, str> {
    key.strip_prefix(CONTEXT).map_or(Cow::Borrowed(key), |s| format!("{DUTY}{s}").into())
}

/// What must stand for a write to count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Expect {
    #[default]
    Any,
    /// This version of the key; 0: no value yet.
    Version(u64),
    /// A spec of this release of the operator's; 0: none yet.
    Release(u64),
}

impl From<Option<u64>> for Expect {
    fn from(v: Option<u64>) -> Self {
        v.map_or(Expect::Any, Expect::Version)
    }
}

#[derive(Clone, Debug)]
struct Ask {
    token: u64,
    expect: Expect,
    /// None: the newest version is asked for.
    value: Option<Blob>,
    at: Ms,
}

#[derive(Clone, Debug)]
struct Write {
    version: u64,
    value: Blob,
    past: List<u64>,
    acks: BTreeSet<Name>,
    token: Option<u64>,
    expect: Expect,
    at: Ms,
    sent: Ms,
}

/// A write, or a reading where there is no value, whose key is no longer owned here.
#[derive(Clone, Debug)]
pub struct Moved {
    pub token: u64,
    pub key: Name,
    pub expect: Expect,
    pub value: Option<Blob>,
    pub at: Ms,
    /// The version that it was offered to disks as: it may stand, or come to stand.
    pub offered: Option<u64>,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Promises so far, and the newest accepted value among them.
    Asking {
        promises: BTreeSet<Name>,
        best: Slot,
        sent: Ms,
    },
    Holding {
        version: u64,
    },
}

/// This daemon's ownership of one key.
#[derive(Clone, Debug)]
struct Own {
    epoch: u64,
    phase: Phase,
    write: Option<Write>,
    waiting: VecDeque<Ask>,
    /// Not before then: somebody's permit still runs, or a rival was ahead.
    not_before: Ms,
    /// A voter has promised a higher epoch: this one cannot win any more.
    outbid: bool,
    /// When each voter's latest renewal was asked for.
    renewed: BTreeMap<Name, Ms>,
    /// When the voters were last asked whether the key is still this daemon's own.
    asked: Ms,
}

#[derive(Clone, Debug)]
pub struct Registers {
    name: Name,
    pub me: u32,
    pub voters: Vec<Voter>,
    /// How many voters the member epoch before had; 0: not known.
    pub before: u32,
    pub voting: bool,
    /// It voted until this member epoch, which gave its place away: newcomers may still read it.
    pub left: bool,
    /// Control daemons that do not vote: they are told what is committed.
    pub followers: Vec<Name>,
    /// ms. Life of a permit.
    permit: Ms,
    addrs: BTreeMap<Name, Name>,
    slots: BTreeMap<Name, Slot>,
    own: BTreeMap<Name, Own>,
    /// Who may keep a duty, as this voter let it: the holder's address, its epoch, until.
    grants: BTreeMap<Name, (Name, u64, Ms)>,
    abstain_until: Ms,
    highest: u64,
    next_renew: Ms,
    next_look: Ms,
    /// Writes and readings that waited for keys which are no longer owned here.
    pub moved: Vec<Moved>,
    /// Values newly known to be committed, for the feed.
    pub fresh: Vec<Change>,
    /// How the operator's document is read, and the release last read from it: its version and the release.
    pub reader: SpecReader,
    release: (u64, u64),
}

impl Registers {
    /// `permit`: the life of one, in ms.
    pub fn new(name: Name, rows: Vec<Row>, permit: Ms, now: Ms) -> Self {
        let mut r = Registers {
            name,
            me: 0,
            voters: Vec::new(),
            before: 0,
            voting: false,
            left: false,
            followers: Vec::new(),
            permit,
            addrs: BTreeMap::new(),
            slots: BTreeMap::new(),
            own: BTreeMap::new(),
            grants: BTreeMap::new(),
            // A voter that has just started has forgotten whom it let keep a duty; it waits those permits out.
            abstain_until: now + permit,
            highest: 0,
            next_renew: 0,
            next_look: 0,
            moved: Vec::new(),
            fresh: Vec::new(),
            reader: own_spec,
            release: (0, 0),
        };
        for row in rows {
            match row {
                Row::Members { me, before, voters, voting, left } => {
                    (r.me, r.before, r.voters, r.voting, r.left) = (me, before, voters, voting, left);
                }
                Row::Slot(s) if &*s.key == EPOCHS => r.highest = r.highest.max(s.promised),
                Row::Slot(s) => {
                    r.highest = r.highest.max(s.promised);
                    if s.committed == s.version && s.version > 0 {
                        r.fresh.push(change(&s));
                    }
                    r.slots.insert(s.key.clone(), s);
                }
            }
        }
        r
    }

    /// Votes from now on. It does not know whom others let keep a duty before they told it what they have.
    pub fn vote(&mut self, now: Ms) {
        self.voting = true;
        self.abstain_until = self.abstain_until.max(now + self.permit);
    }
    /// No voter has let anybody keep a duty in any life.
    pub fn no_permits_before(&mut self) {
        self.abstain_until = 0;
    }
    pub fn set_addr(&mut self, name: &Name, addr: &Name) {
        self.addrs.insert(name.clone(), addr.clone());
    }
    pub fn addr(&self, v: &Voter) -> Name {
        self.addrs.get(&v.name).unwrap_or(&v.addr).clone()
    }
    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
    fn rank(&self) -> u64 {
        let mut v: Vec<&Name> = self.voters.iter().map(|v| &v.name).collect();
        v.sort();
        v.iter().position(|n| **n == self.name).unwrap_or(255) as u64
    }
    /// Above all known ones, and no other daemon's: under each member epoch a rank is one voter's alone.
    fn next_epoch(&mut self) -> u64 {
        self.highest = (((self.highest >> 24) + 1) << 24) | u64::from(self.me & 0xffff) << 8 | self.rank();
        self.highest
    }
    pub fn keys(&self) -> impl Iterator<Item = &Slot> {
        self.slots.values()
    }
    /// What is had of each key, without the values.
    pub fn have(&self) -> List<Slot> {
        let bare = |s: &Slot| Slot { key: s.key.clone(), value: Blob::default(), past: List::default(), ..*s };
        self.slots.values().map(bare).collect()
    }
    /// Slots in which this daemon differs from one that has `have`.
    pub fn slots_beyond(&self, have: &[Slot]) -> List<Slot> {
        let stamp = |s: &Slot| (s.promised, s.epoch, s.version, s.committed);
        let had: BTreeMap<&str, _> = have.iter().map(|s| (&*s.key, stamp(s))).collect();
        self.slots.values().filter(|s| had.get(&*s.key) != Some(&stamp(s))).cloned().collect()
    }
    /// Whether nothing here waits to be known as committed.
    pub fn all_committed(&self) -> bool {
        self.slots.values().all(|s| s.committed == s.version)
    }
    /// Digest over what is committed, for mending between daemons.
    pub fn digest(&self) -> u64 {
        let done = self.slots.values().filter(|s| s.committed == s.version && s.version > 0);
        done.fold(0, |a, s| a ^ xxh3_64(format!("{} {} {}", s.key, s.epoch, s.version).as_bytes()))
    }
    /// The epoch under which this daemon owns a key, if it does; for a duty also until when.
    pub fn holds(&self, key: &str, now: Ms) -> Option<(u64, Ms)> {
        let o = self.own.get(key)?;
        let Phase::Holding { .. } = o.phase else { return None };
        if !leased(key) {
            return Some((o.epoch, Ms::MAX));
        }
        let until = self.permit_until(o);
        (until > now).then_some((o.epoch, until))
    }
    /// When a majority of voters was last asked, that has answered since, whether the key is still owned here.
    fn confirmed(&self, o: &Own) -> Option<Ms> {
        let mut at: Vec<Ms> = o.renewed.values().copied().collect();
        at.sort_unstable_by(|a, b| b.cmp(a));
        at.get(self.majority().wrapping_sub(1)).copied()
    }
    fn permit_until(&self, o: &Own) -> Ms {
        // A majority of voters keeps others out at least until then.
        self.confirmed(o).map_or(0, |t| t + self.permit - PERMIT_MARGIN)
    }
    /// The release of the standing spec.
    fn release(&mut self, key: &Name, version: u64) -> u64 {
        if version == 0 {
            return 0;
        }
        // Documents grow long: each is read once.
        if self.release.0 != version {
            let s = self.slots.get(key).and_then(|s| (self.reader)(&s.value.0));
            self.release = (version, s.map_or(0, |s| s.release));
        }
        self.release.1
    }
    /// The agreed first live voter for a key.
    pub fn first(&self, key: &str, live: &dyn Fn(&str) -> bool) -> Option<&Voter> {
        let seat = seat(key);
        self.voters.iter().filter(|v| live(&v.name)).max_by_key(|v| weight(&seat, &v.name))
    }
    /// Whether a write to the key is under way or waits here.
    pub fn busy(&self, key: &str) -> bool {
        self.own.get(key).is_some_and(|o| o.write.is_some() || !o.waiting.is_empty())
    }

    fn slot(&mut self, key: &Name) -> &mut Slot {
        self.slots.entry(key.clone()).or_insert_with(|| Slot { key: key.clone(), ..Slot::default() })
    }

    // ---- as a voter ----

    pub fn on_prepare(&mut self, to: &Name, m: Prepare, now: Ms, out: &mut Effects) {
        let me = self.me;
        self.highest = self.highest.max(m.epoch);
        // A disk that may lack what it once confirmed must not vote, and other member epochs count other votes.
        if !self.voting || m.me != me {
            if m.me < me {
                out.push(send(to, Promise { epoch: m.epoch, me, ok: 0, wait: 0, slot: Slot { key: m.key, ..Slot::default() } }));
            }
            return;
        }
        let wait = self.keeps_out(&m.key, to, now);
        let s = self.slot(&m.key);
        if wait > 0 || m.epoch < s.promised {
            let slot = s.clone();
            out.push(send(to, Promise { epoch: m.epoch, me, ok: 0, wait: wait as u32, slot }));
            return;
        }
        s.promised = m.epoch;
        let slot = s.clone();
        // Its own promise tells this daemon that the key is no longer its own.
        if self.own.get(&m.key).is_some_and(|o| o.epoch < m.epoch) {
            self.give_up(&m.key, out);
        }
        let then = vec![send(to, Promise { epoch: m.epoch, me, ok: 1, wait: 0, slot: slot.clone() })];
        out.push(Effect::Persist { rows: vec![Row::Slot(slot)], then });
    }

    /// ms. For how long nobody but the holder may take the key, as this voter let it keep a duty or may have.
    fn keeps_out(&self, key: &Name, from: &Name, now: Ms) -> Ms {
        if !leased(key) {
            return 0;
        }
        let granted = self.grants.get(key).filter(|g| g.0 != *from).map_or(0, |g| g.2);
        granted.max(self.abstain_until).saturating_sub(now)
    }

    pub fn on_accept(&mut self, to: &Name, m: Accept, out: &mut Effects) {
        let me = self.me;
        self.highest = self.highest.max(m.epoch);
        if !self.voting || m.me != me {
            return;
        }
        let s = self.slot(&m.key);
        let mut a = Accepted { key: m.key.clone(), epoch: m.epoch, version: m.version, promised: s.promised, me, ok: 0 };
        if m.epoch < s.promised {
            out.push(send(to, a));
            return;
        }
        a.ok = 1;
        // A delayed copy of an older write of the same owner must not put the newer one back.
        if (m.epoch, m.version) >= (s.epoch, s.version) {
            (s.promised, s.epoch, s.version, s.value, s.past) = (m.epoch, m.epoch, m.version, m.value, m.past);
        }
        let slot = s.clone();
        // This version was known to be committed before something newer, which no majority took, stood in its place.
        if slot.committed == slot.version && slot.epoch == m.epoch {
            self.fresh.push(change(&slot));
        }
        out.push(Effect::Persist { rows: vec![Row::Slot(slot)], then: vec![send(to, a)] });
    }

    /// Learns a committed value.
    pub fn on_commit(&mut self, c: &Change, past: &[u64], out: &mut Effects) {
        self.highest = self.highest.max(c.epoch);
        let s = self.slot(&c.key);
        if (c.epoch, c.version) < (s.epoch, s.version) || (s.epoch, s.version, s.committed) == (c.epoch, c.version, c.version) {
            return;
        }
        (s.epoch, s.version, s.committed, s.value) = (c.epoch, c.version, c.version, c.value.clone());
        s.past = List(past.to_vec());
        let slot = s.clone();
        out.push(Effect::Persist { rows: vec![Row::Slot(slot)], then: vec![] });
        self.fresh.push(c.clone());
    }

    pub fn on_renew(&mut self, to: &Name, m: Renew, now: Ms, out: &mut Effects) {
        if !self.voting || m.me != self.me {
            return;
        }
        let (mut keys, mut rows) = (List::default(), vec![]);
        for h in m.keys {
            let promised = self.slots.get(&h.key).map_or(0, |s| s.promised);
            // Told at once: a holder whom nobody renews any more must not rest on a key that nobody else takes.
            if promised > h.epoch {
                out.push(send(to, Accepted { key: h.key, epoch: h.epoch, version: 0, promised, me: self.me, ok: 0 }));
                continue;
            }
            // An owner that others made one without this voter: it may need its word once one of those is gone.
            if promised < h.epoch {
                if self.keeps_out(&h.key, to, now) > 0 {
                    continue;
                }
                self.highest = self.highest.max(h.epoch);
                if self.own.get(&h.key).is_some_and(|o| o.epoch < h.epoch) {
                    self.give_up(&h.key, out);
                }
                let s = self.slot(&h.key);
                s.promised = h.epoch;
                rows.push(Row::Slot(s.clone()));
            }
            self.grants.insert(h.key.clone(), (to.clone(), h.epoch, now + self.permit));
            keys.0.push(h);
        }
        let told = send(to, Renewed { keys, sent: m.sent, me: self.me });
        if rows.is_empty() {
            return out.push(told);
        }
        out.push(Effect::Persist { rows, then: vec![told] });
    }

    /// A holder has given its duties up: nobody need wait its permits out.
    pub fn on_release(&mut self, from: &Name, m: Release) {
        for h in m.keys {
            // A renewal of a later ownership stands.
            if self.grants.get(&h.key).is_some_and(|g| g.0 == *from && g.1 <= h.epoch) {
                self.grants.remove(&h.key);
            }
        }
    }

    // ---- as an owner ----

    fn spread(&self, m: impl Into<wire_messages::Msg>, out: &mut Effects) {
        let m = m.into();
        out.extend(self.voters.iter().map(|v| send(&self.addr(v), m.clone())));
    }

    /// Starts to take a key.
    fn take(&mut self, key: &Name, now: Ms, out: &mut Effects) {
        let epoch = self.next_epoch();
        let old = self.own.remove(key);
        let (waiting, not_before) = old.map_or((VecDeque::new(), 0), |o| (o.waiting, o.not_before));
        let phase = Phase::Asking { promises: BTreeSet::new(), best: Slot::default(), sent: now };
        let o = Own { epoch, phase, write: None, waiting, not_before, outbid: false, renewed: BTreeMap::new(), asked: 0 };
        self.own.insert(key.clone(), o);
        if now >= not_before {
            self.prepare(key, epoch, out);
        }
    }

    /// Asks for promises once the epoch is on this daemon's own disk: after a crash it would take the same one
    /// again, and two writes under one epoch and version could not be told apart.
    fn prepare(&self, key: &Name, epoch: u64, out: &mut Effects) {
        let row = Slot { key: EPOCHS.into(), promised: self.highest, ..Slot::default() };
        let mut then = vec![];
        self.spread(Prepare { key: key.clone(), epoch, me: self.me }, &mut then);
        out.push(Effect::Persist { rows: vec![Row::Slot(row)], then });
    }

    /// Gives up a key: what was offered and what waited goes to the next owner. What was offered may stand by then; it
    /// is not left to what the next owner commits, who may never see it and have nothing to write.
    fn give_up(&mut self, key: &Name, out: &mut Effects) {
        let Some(o) = self.own.remove(key) else { return };
        if let Some(w) = o.write
            && let Some(token) = w.token
        {
            let (value, offered) = (Some(w.value), Some(w.version));
            self.moved.push(Moved { token, key: key.clone(), expect: w.expect, value, at: w.at, offered });
        }
        if let (Phase::Holding { .. }, true) = (&o.phase, leased(key)) {
            self.spread(Release { keys: List(vec![Held { key: key.clone(), epoch: o.epoch }]) }, out);
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
        for h in have.iter().filter(|h| h.committed != h.version) {
            let Some(s) = self.slots.get(&h.key).filter(|s| (h.epoch, h.version) > (s.epoch, s.version)).cloned() else {
                continue;
            };
            let me = self.me;
            let Some(o) = self.own.get_mut(&h.key).filter(|o| o.write.is_none() && o.epoch > h.epoch) else { continue };
            let Phase::Holding { version } = o.phase else { continue };
            if s.version != version || version == 0 {
                continue;
            }
            let (value, past) = (s.value.clone(), s.past.clone());
            let m = Accept { key: h.key.clone(), epoch: o.epoch, version, value, past, me };
            o.write = Some(Write {
                version,
                value: s.value,
                past: s.past,
                acks: BTreeSet::new(),
                token: None,
                expect: Expect::Any,
                at: now,
                sent: now,
            });
            self.spread(m, out);
        }
    }

    /// Works through what waits for a key, until a write is under way or the voters must be asked first.
    fn advance(&mut self, key: &Name, now: Ms, out: &mut Effects) {
        let me = self.me;
        loop {
            let Some(o) = self.own.get(key).filter(|o| o.write.is_none()) else { return };
            let (Phase::Holding { version }, Some(a)) = (&o.phase, o.waiting.front()) else { return };
            let (version, epoch, at, expect) = (*version, o.epoch, a.at, a.expect);
            let fits = match expect {
                Expect::Any => true,
                Expect::Version(v) => v == version,
                Expect::Release(r) => r == self.release(key, version),
            };
            let value = self.own.get(key).and_then(|o| o.waiting.front()).and_then(|a| a.value.as_ref());
            let reads = value.is_none();
            // An operator that got no clear answer repeats its order, and a daemon a write whose owner went: that it
            // stands already is what was asked for.
            let stands = self.slots.get(key).is_some_and(|s| s.version == version && version > 0 && value == Some(&s.value));
            let repeats = stands && if let Expect::Version(v) = expect { v + 1 == version } else { true };
            let stood = value.and_then(|v| self.stood(key, version, expect, v));
            if fits && !reads && !repeats && stood.is_none() {
                let past = self.past_of_next(key, version);
                let Some(o) = self.own.get_mut(key) else { return };
                let Some(Ask { token, value: Some(value), .. }) = o.waiting.pop_front() else { return };
                let (acks, token) = (BTreeSet::new(), Some(token));
                let w = Write { version: version + 1, value, past, acks, token, expect, at, sent: now };
                let (value, past) = (w.value.clone(), w.past.clone());
                let m = Accept { key: key.clone(), epoch, version: w.version, value, past, me };
                o.write = Some(w);
                return self.spread(m, out);
            }
            // What stands is told only by an owner that a majority confirmed since it was asked: one that was deposed
            // without having heard of it would tell of an older value.
            let confirmed = self.own.get(key).and_then(|o| self.confirmed(o));
            if confirmed.is_none_or(|t| t < at) {
                return self.confirm(key, at, now, out);
            }
            let Some(a) = self.own.get_mut(key).and_then(|o| o.waiting.pop_front()) else { return };
            let outcome = match stood {
                _ if reads || repeats => WriteOutcome::Accepted(version),
                Some(v) => WriteOutcome::Accepted(v),
                None => WriteOutcome::Conflict(version),
            };
            out.push(Effect::Answer { token: a.token, outcome });
        }
    }

    /// As which version a value stood that has been replaced since. It has lost no race: whoever sends it again did not
    /// hear that it was accepted. What is compared with nothing is an order of its own each time.
    fn stood(&self, key: &Name, version: u64, expect: Expect, value: &Blob) -> Option<u64> {
        // Long documents are not read through where there is nothing to compare with.
        let past = &self.slots.get(key).filter(|s| s.version == version && !s.past.is_empty() && expect != Expect::Any)?.past;
        let digest = xxh3_64(&value.0);
        let back = past.iter().rev().position(|d| *d == digest)? as u64 + 1;
        let was = version.checked_sub(back)?;
        match expect {
            Expect::Any => None,
            Expect::Version(v) => (v + 1 == was).then_some(was),
            Expect::Release(_) => Some(was),
        }
    }
    /// What stood before the version after the one that stands. It goes with the value itself, under the same majority:
    /// a record of its own could be there without the value, or lack it.
    fn past_of_next(&self, key: &Name, version: u64) -> List<u64> {
        let kept = |s: &&Slot| remembered(key) && s.version == version && version > 0;
        let Some(s) = self.slots.get(key).filter(kept) else { return List::default() };
        let mut past = s.past.0.clone();
        past.push(xxh3_64(&s.value.0));
        past.drain(..past.len().saturating_sub(PAST_VALUES));
        List(past)
    }

    /// Asks the voters whether a key is still this daemon's own.
    fn confirm(&mut self, key: &Name, since: Ms, now: Ms, out: &mut Effects) {
        let Some(o) = self.own.get_mut(key) else { return };
        if o.asked >= since && now.saturating_sub(o.asked) < RESEND {
            return;
        }
        o.asked = now;
        let keys = List(vec![Held { key: key.clone(), epoch: o.epoch }]);
        self.spread(Renew { keys, sent: now, me: self.me }, out);
    }

    pub fn on_promise(&mut self, from: &Name, m: Promise, now: Ms, out: &mut Effects) {
        self.highest = self.highest.max(m.slot.promised);
        let (key, need, me) = (m.slot.key.clone(), self.majority(), self.me);
        let known = self.voters.iter().any(|v| v.name == *from);
        let own = self.slots.get(&key);
        let Some(o) = self.own.get_mut(&key) else { return };
        if m.epoch != o.epoch || m.me != me || !known {
            return;
        }
        let Phase::Asking { promises, best, .. } = &mut o.phase else { return };
        if m.ok == 0 {
            o.outbid |= m.slot.promised > o.epoch;
            o.not_before = o.not_before.max(now + u64::from(m.wait).max(RESEND / 2));
            return;
        }
        promises.insert(from.clone());
        // What this daemon has itself counts though its own promise may be the last to come: it compares with that.
        let rank = |s: &Slot| (s.epoch, s.version, s.committed);
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
        if best.committed == best.version {
            if best.version > 0 {
                self.on_commit(&change(&best), &best.past, out);
            }
            self.advance(&key, now, out);
            return;
        }
        // Whatever a majority may have taken is written again under the new epoch before anything else:
        // a write whose owner died between two disks ends here, one way for everybody.
        let (value, past) = (best.value.clone(), best.past.clone());
        let m = Accept { key: key.clone(), epoch: o.epoch, version: best.version, value, past, me };
        o.write = Some(Write {
            version: best.version,
            value: best.value,
            past: best.past,
            acks: BTreeSet::new(),
            token: None,
            expect: Expect::Any,
            at: now,
            sent: now,
        });
        self.spread(m, out);
    }

    pub fn on_accepted(&mut self, from: &Name, m: Accepted, now: Ms, out: &mut Effects) {
        self.highest = self.highest.max(m.promised);
        let need = self.majority();
        let known = self.voters.iter().any(|v| v.name == *from);
        let Some(o) = self.own.get_mut(&m.key) else { return };
        if m.epoch != o.epoch || m.me != self.me || !known {
            return;
        }
        if m.ok == 0 {
            if m.promised > o.epoch {
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
        let news = Commit { change: c, past: w.past };
        for v in self.voters.iter().filter(|v| v.name != self.name) {
            out.push(send(&self.addr(v), news.clone()));
        }
        out.extend(self.followers.iter().map(|a| send(a, news.clone())));
        self.advance(&m.key, now, out);
    }

    pub fn on_renewed(&mut self, from: &Name, m: Renewed, now: Ms, out: &mut Effects) {
        if m.me != self.me || !self.voters.iter().any(|v| v.name == *from) {
            return;
        }
        for h in m.keys {
            let Some(o) = self.own.get_mut(&h.key).filter(|o| o.epoch == h.epoch) else { continue };
            let t = o.renewed.entry(from.clone()).or_insert(0);
            *t = (*t).max(m.sent);
            self.advance(&h.key, now, out);
        }
    }

    // ---- members ----

    /// Marks a blank disk as one of those that found the system: under member epoch 0 the voters are the places of
    /// those who will, with disks that nobody knows yet.
    pub fn found_with(&mut self, places: &[Name]) {
        let mut places = places.to_vec();
        places.sort();
        places.dedup();
        self.voters = places.into_iter().map(|addr| Voter { addr, ..Voter::default() }).collect();
    }

    /// Follows a member epoch. Everything owned is given up: its votes were counted over other voters.
    pub fn follow(&mut self, me: u32, before: u32, voters: Vec<Voter>, out: &mut Effects) {
        if me <= self.me {
            return;
        }
        let keys: Vec<Name> = self.own.keys().cloned().collect();
        keys.iter().for_each(|k| self.give_up(k, out));
        (self.me, self.before, self.voters) = (me, before, voters);
        out.push(note(events::MEMBERS, &self.name, format!("epoch {me}")));
    }
    pub fn members_row(&self) -> Row {
        Row::Members { me: self.me, before: self.before, voters: self.voters.clone(), voting: self.voting, left: self.left }
    }
    /// Takes over another voter's slots: the newest accepted value and the highest promise of each key.
    pub fn catch_up(&mut self, slots: &[Slot]) -> Vec<Row> {
        for s in slots {
            self.highest = self.highest.max(s.promised);
            let m = self.slot(&s.key);
            m.promised = m.promised.max(s.promised);
            if (s.epoch, s.version) > (m.epoch, m.version) {
                (m.epoch, m.version, m.value, m.committed) = (s.epoch, s.version, s.value.clone(), s.committed);
                m.past = s.past.clone();
                if s.committed == s.version {
                    let c = change(s);
                    self.fresh.push(c);
                }
            }
        }
        self.slots.values().cloned().map(Row::Slot).collect()
    }
    /// Learns what another daemon knows to be committed.
    pub fn mend(&mut self, slots: &[Slot], out: &mut Effects) {
        for s in slots.iter().filter(|s| s.committed == s.version && s.version > 0) {
            self.on_commit(&change(s), &s.past, out);
        }
    }

    // ---- time ----

    /// Takes, hands over, resends, renews and times out. `wanted`: keys that must have an owner.
    pub fn tick(&mut self, now: Ms, live: &dyn Fn(&str) -> bool, wanted: &[Name], out: &mut Effects) {
        if !self.voting {
            return;
        }
        // Whose a key is changes with the voters that live, which beats tell; what is owned here is seen to each time.
        let look = now >= self.next_look;
        let keys: BTreeSet<Name> = if look {
            self.next_look = now + BEAT_EVERY / 2;
            self.slots.keys().chain(wanted).chain(self.own.keys()).cloned().collect()
        } else {
            let at_work = |o: &Own| o.write.is_some() || !o.waiting.is_empty() || matches!(o.phase, Phase::Asking { .. });
            self.own.iter().filter(|(k, o)| leased(k) || at_work(o)).map(|(k, _)| k.clone()).collect()
        };
        let mut renew = List::default();
        for key in keys {
            let mine = self.first(&key, live).is_some_and(|v| v.name == self.name);
            let Some(o) = self.own.get_mut(&key) else {
                if mine {
                    self.take(&key, now, out);
                }
                continue;
            };
            if !mine && o.write.is_none() {
                self.give_up(&key, out);
                continue;
            }
            self.time_out(&key, now, out);
            self.resend(&key, now, out);
            if let Some(o) = self.own.get(&key)
                && let Phase::Holding { .. } = o.phase
                && leased(&key)
            {
                renew.0.push(Held { key, epoch: o.epoch });
            }
        }
        if now >= self.next_renew && !renew.is_empty() {
            self.next_renew = now + RENEW_EVERY;
            self.spread(Renew { keys: renew, sent: now, me: self.me }, out);
        }
    }

    fn time_out(&mut self, key: &Name, now: Ms, out: &mut Effects) {
        let Some(o) = self.own.get_mut(key) else { return };
        if let Some(w) = o.write.as_mut().filter(|w| now.saturating_sub(w.at) > WRITE_LIMIT)
            && let Some(token) = w.token.take()
        {
            out.push(note(events::WRITE_UNKNOWN, &self.name, format!("{key} version {}", w.version)));
            out.push(Effect::Answer { token, outcome: WriteOutcome::Unknown });
        }
        let no = WriteOutcome::NotAccepted("no majority of disks answered in time");
        o.waiting.retain(|a| {
            let keep = now.saturating_sub(a.at) <= WRITE_LIMIT;
            if !keep {
                out.push(Effect::Answer { token: a.token, outcome: no });
            }
            keep
        });
    }

    fn resend(&mut self, key: &Name, now: Ms, out: &mut Effects) {
        let me = self.me;
        let Some(o) = self.own.get_mut(key) else { return };
        if let Phase::Asking { sent, .. } = &o.phase {
            if now < o.not_before || now.saturating_sub(*sent) < RESEND {
                return;
            }
            if o.outbid {
                return self.take(key, now, out);
            }
            let epoch = o.epoch;
            if let Phase::Asking { sent, .. } = &mut o.phase {
                *sent = now;
            }
            return self.prepare(key, epoch, out);
        }
        if o.write.is_none() && !o.waiting.is_empty() {
            return self.advance(key, now, out);
        }
        let Some(w) = o.write.as_mut().filter(|w| now.saturating_sub(w.sent) >= RESEND) else { return };
        w.sent = now;
        let (value, past) = (w.value.clone(), w.past.clone());
        let m = Accept { key: key.clone(), epoch: o.epoch, version: w.version, value, past, me };
        self.spread(m, out);
    }
}

fn change(s: &Slot) -> Change {
    Change { key: s.key.clone(), epoch: s.epoch, version: s.version, value: s.value.clone() }
}

#[cfg(test)]
mod tests;
