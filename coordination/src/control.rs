//! A control daemon's brain: registers, beats, members, feed, agents' polls, and the duties it holds.

use std::{
    cell::OnceCell,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use remote_calls::{
    ContextRecord, EdgeStatus, GroupRecord, GroupRole, Health as HealthAnswer, KeyStatus, KeyVersion, MemberStatus, PlatformList,
    PlatformReplica, ReleasePlan, ReplicaReport, RolloutRecord, ServiceMode, Spec, Status, ZoneState, ZoneStreams,
};
use wire_messages::{
    Beat, Blob, Change, Demand, Forward, Forwarded, Genesis, List, Msg, Name, News, Node, Permit, Poll, Slots, SlotsAsk, Tally,
    Voter,
};

use crate::{
    Effect, Effects, Ms, Row, WriteOutcome,
    board::{Board, SpecReader, stamp},
    bounds::Bounds,
    context::{self, Demands, homes},
    effect::{note, send},
    events,
    health::Health,
    limits::{
        ADDRESSES, BEAT_EVERY, COUNTERS, COUNTS_LEFT, DEMAND_OLD, FOLLOWER_GONE, FORWARD_LIMIT, KNOWS_FLEET, LIST_CALM,
        LONG_VALUE, LOOP_EVERY, LOOP_RESTS, NEWCOMER, NODE_FORGOTTEN, NODE_GONE, PEER_GONE, PUSH_TAKES, PUSHED_TO, READING,
        STANDING_EVERY, STOOD_STILL, WAKES_FOR,
    },
    members as seats,
    membership::{CONTROL, EDGE, Membership},
    order::{agreed, weight},
    pass::host_name,
    regions,
    register::{CONTEXT, DUTY, Expect, MEMBERS, Registers},
    rollout::{Inputs, Loop, first_record},
};

/// Key of the operator's spec.
pub const SPEC: &str = "spec";
/// Keys of release plans, by service.
pub const PLAN: &str = "plan/";
/// Keys of evacuated zones.
pub const ZONE: &str = "zone/";
/// Keys of replicas that were warned.
pub const LEAVING: &str = "leaving/";
/// Key of the kill switch.
pub const KILL: &str = "kill-switch";

/// How a beat's sender stands: it votes, has a blank disk, has not caught up, is going, or has a blank disk and
/// takes part in the founding; or it has no place among the voters, as an empty machine that has just come or as one
/// that stands by.
const VOTES: u8 = 0;
const BLANK: u8 = 1;
const BEHIND: u8 = 2;
const GOING: u8 = 3;
const FOUNDING: u8 = 4;
const NEW: u8 = 5;
const STANDS_BY: u8 = 6;

/// Tokens of writes that nobody waits for.
const NOBODY: u64 = 0;

/// A write was passed on to a daemon that does not come first for its key, as on the wire; and to one that offered it to
/// disks and then lost the key.
const NOT_OWNER: u8 = 4;
const DEPOSED: u8 = 5;
/// What a write that was passed on is compared with, as on the wire.
const BY_VERSION: u8 = 0;
const BY_NOTHING: u8 = 1;
const BY_RELEASE: u8 = 2;
const READS: u8 = 3;

#[derive(Clone, Debug)]
pub struct ControlParams {
    pub name: Name,
    pub zone: Name,
    pub addr: Name,
    pub http: Name,
    /// Lasting names of all control daemons; the first voters must all be these. With none named the daemons at
    /// the seeds found the system, if they are told to.
    pub members: Vec<Name>,
    pub seeds: Vec<Name>,
    /// Region of each zone; a zone that is not named is its own region.
    pub regions: BTreeMap<String, String>,
    /// How the operator's document is read.
    pub reader: SpecReader,
    /// The whole system starts for the first time, with empty disks.
    pub founding: bool,
    pub bounds: Bounds,
}

#[derive(Clone, Debug)]
struct Peer {
    at: Ms,
    beat: Beat,
    addr: Name,
}

/// What an agent last said.
#[derive(Clone, Debug)]
struct Agent {
    node: Node,
    at: Ms,
    /// Since when it has spoken without a gap, and whether its last question came right behind the one before, though
    /// it had been sent long after it: both waited on the way, and what the first asked for is under way.
    since: Ms,
    waited: bool,
    sent: u64,
    after: u64,
    /// Its counts are here up to this one.
    count: u64,
    opens: Opens,
    seen: Vec<Change>,
}

/// Streams by replica and version.
type Opens = BTreeMap<(Name, Name), u32>;

/// A write or a reading that went to the key's owner.
#[derive(Clone, Debug)]
struct Passed {
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

#[derive(Clone, Debug)]
pub struct Control {
    p: ControlParams,
    disk: u64,
    /// This life began without a member epoch on disk.
    came_blank: bool,
    /// The mark of the founding is not on disk yet.
    unkept: bool,
    pub regs: Registers,
    pub mship: Membership,
    board: Board,
    /// The spec as last read.
    spec: Option<Arc<Spec>>,
    started: Ms,
    run: u64,
    seq: u64,
    /// The feed: each key's newest place in it, and since when. Older places are never needed again.
    feed: BTreeMap<Name, (u64, Ms)>,
    peers: BTreeMap<Name, Peer>,
    agents: BTreeMap<Name, Agent>,
    /// Writes passed on, by the token they went under.
    passed: BTreeMap<u64, Passed>,
    /// Writes that an owner may have taken before they went to another, and as which version, where that is known.
    doubtful: BTreeMap<u64, Option<u64>>,
    /// Writes taken for another daemon: where the answer goes, under which token.
    foreign: BTreeMap<u64, (Name, u64)>,
    /// Writes that others passed on, and when: one that comes twice is taken once.
    taken: BTreeMap<(Name, u64), Ms>,
    token: u64,
    /// Whom this daemon has compared its slots with since its start.
    met: BTreeSet<Name>,
    /// When each disk was last heard of.
    heard: BTreeMap<u64, Ms>,
    /// By peer: its digest and this daemon's own, as they last differed. News on its way differs once only.
    differed: BTreeMap<Name, (u64, u64)>,
    caught: BTreeSet<Name>,
    loops: BTreeMap<String, Loop>,
    /// Records and plans on the board, by service; plans with their versions.
    records: BTreeMap<String, Arc<RolloutRecord>>,
    plans: BTreeMap<String, (u64, ReleasePlan)>,
    platform: Option<PlatformList>,
    /// When the platform was asked for the list that stands.
    listed: Ms,
    /// When the list last differed from the one before.
    list_moved: Ms,
    reports: BTreeMap<String, (ReplicaReport, Ms)>,
    /// Services whose tallies are kept here and when that was last called for; how often they changed.
    counts: BTreeMap<Name, Ms>,
    choice: u32,
    pub going: bool,
    pub disk_ok: bool,
    settled: bool,
    next_beat: Ms,
    next_loop: Ms,
    /// When it last ticked, and until when it takes nothing that may have waited for it while it stood still.
    ticked: Ms,
    wakes: Ms,
    next_meet: Ms,
    /// The time of the last tick, and when the voters last changed.
    clock: Ms,
    changed: Ms,
    next_ask: Ms,
    next_seats: Ms,
    /// When this daemon last ran each service's loop, or first was the one to run it; and which alerts stand.
    ran: BTreeMap<String, Ms>,
    resting: BTreeSet<String>,
    /// Writes of rollout records under way, by service.
    writing: BTreeMap<u64, String>,
    /// By service whose copies of shared context are decided here.
    contexts: BTreeMap<String, ContextDuty>,
}

/// What is known for deciding a service's copies of shared context.
#[derive(Clone, Debug)]
struct ContextDuty {
    /// Since when the duty is held here, and when the record was last written.
    since: Ms,
    wrote: Ms,
    demands: Demands,
}

/// What one of `voters` may call for a second so that all who may hold one of `duties`, or held it last, stay within
/// `rate` in any second: each may have one call in hand besides.
pub fn calls_share(rate: f64, voters: usize, duties: usize) -> f64 {
    let part = rate / voters.min(2 * duties).max(1) as f64;
    // Below two calls a second the one in hand is half of it.
    (part - 1.0).max(part / 2.0)
}

impl Control {
    /// `disk`: the data folder's own number; `rows`: what it held; `born`: differs between lives.
    pub fn new(p: ControlParams, disk: u64, rows: Vec<Row>, born: u64, now: Ms) -> Self {
        let me = Node {
            name: p.name.clone(),
            role: CONTROL,
            zone: p.zone.clone(),
            addr: p.addr.clone(),
            http: p.http.clone(),
            born,
            beat: 0,
            age: 0,
        };
        let mut mship = Membership::new(me, p.seeds.clone(), born);
        mship.set_regions(p.regions.clone());
        let mut regs = Registers::new(p.name.clone(), rows, p.bounds.permit(), now);
        regs.set_addr(&p.name, &p.addr);
        regs.reader = p.reader;
        // Kept on disk: a founder that is started again is no longer told that it founds, nor with whom.
        let marked = regs.me == 0 && regs.voters.is_empty() && p.founding && p.members.is_empty();
        if marked {
            regs.found_with(&p.seeds);
        }
        let mut c = Control {
            p,
            disk,
            came_blank: regs.me == 0,
            unkept: marked,
            regs,
            mship,
            board: Board::default(),
            spec: None,
            started: now,
            run: born,
            seq: 0,
            feed: BTreeMap::new(),
            peers: BTreeMap::new(),
            agents: BTreeMap::new(),
            passed: BTreeMap::new(),
            doubtful: BTreeMap::new(),
            foreign: BTreeMap::new(),
            taken: BTreeMap::new(),
            token: born << 20,
            met: BTreeSet::new(),
            heard: BTreeMap::new(),
            differed: BTreeMap::new(),
            caught: BTreeSet::new(),
            loops: BTreeMap::new(),
            records: BTreeMap::new(),
            plans: BTreeMap::new(),
            platform: None,
            listed: 0,
            list_moved: 0,
            reports: BTreeMap::new(),
            counts: BTreeMap::new(),
            choice: 0,
            going: false,
            disk_ok: true,
            settled: false,
            next_beat: 0,
            next_loop: 0,
            ticked: now,
            wakes: 0,
            next_meet: 0,
            clock: now,
            changed: now,
            next_ask: 0,
            next_seats: 0,
            ran: BTreeMap::new(),
            resting: BTreeSet::new(),
            writing: BTreeMap::new(),
            contexts: BTreeMap::new(),
        };
        c.publish(now, &mut Vec::new());
        c
    }

    pub fn board(&self) -> &Board {
        &self.board
    }
    pub fn spec(&self) -> Option<Arc<Spec>> {
        self.spec.clone()
    }
    /// Reads the operator's document: once a change, as it may be long.
    fn read_spec(&mut self) {
        let Some(c) = self.board.get(SPEC).filter(|c| !c.value.0.is_empty()) else { return };
        self.spec = (self.p.reader)(&c.value.0).map(Arc::new);
    }
    /// Whether this very disk is a voter's.
    fn named(&self) -> bool {
        self.regs.voters.iter().any(|v| v.disk == self.disk)
    }
    pub fn settled(&self) -> bool {
        self.settled
    }
    fn live(&self, now: Ms) -> impl Fn(&str) -> bool + use<> {
        let mut names: BTreeSet<Name> = self
            .peers
            .iter()
            .filter(|(_, p)| now.saturating_sub(p.at) <= PEER_GONE && p.beat.blank == VOTES && p.beat.me == self.regs.me)
            .map(|(n, _)| n.clone())
            .collect();
        if !self.going && self.disk_ok {
            names.insert(self.p.name.clone());
        }
        move |n| names.contains(n)
    }

    // ---- writes ----

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
    fn woke(&mut self, now: Ms) -> bool {
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
    fn take_moved(&mut self, now: Ms, out: &mut Effects) {
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
    fn pass_again(&mut self, now: Ms, out: &mut Effects) {
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

    fn on_forward(&mut self, from: &Name, m: Forward, now: Ms, out: &mut Effects) {
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
    fn route(&mut self, token: u64, outcome: WriteOutcome) -> Option<Effect> {
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

    fn on_forwarded(&mut self, m: Forwarded, now: Ms, out: &mut Effects) {
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

    // ---- events ----

    pub fn on_msg(&mut self, from: &Name, addr: &Name, msg: Msg, now: Ms) -> Effects {
        self.woke(now);
        let mut out = Vec::new();
        match msg {
            Msg::Beat(m) => self.on_beat(from, addr, m, now, &mut out),
            Msg::Prepare(m) => self.regs.on_prepare(addr, m, now, &mut out),
            Msg::Promise(m) => self.regs.on_promise(from, m, now, &mut out),
            Msg::Accept(m) => self.regs.on_accept(addr, m, &mut out),
            Msg::Accepted(m) => self.regs.on_accepted(from, m, now, &mut out),
            Msg::Commit(m) => self.regs.on_commit(&m.change, &m.past, &mut out),
            Msg::Renew(m) => self.regs.on_renew(addr, m, now, &mut out),
            Msg::Renewed(m) => self.regs.on_renewed(from, m, now, &mut out),
            Msg::Forward(m) => self.on_forward(addr, m, now, &mut out),
            Msg::Forwarded(m) => self.on_forwarded(m, now, &mut out),
            Msg::Release(m) => self.regs.on_release(addr, m),
            Msg::Genesis(m) => self.on_genesis(m, &mut out),
            Msg::SlotsAsk(m) => self.on_slots_ask(addr, m, now, &mut out),
            Msg::Slots(m) => self.on_slots(from, m, now, &mut out),
            Msg::Poll(m) => self.on_poll(addr, m, now, &mut out),
            Msg::Demand(m) => self.on_demand(from, m, now),
            Msg::Shuffle(m) => self.mship.on_shuffle(addr, m, now, &mut out),
            _ => {}
        }
        self.finish(now, out)
    }

    fn on_beat(&mut self, from: &Name, addr: &Name, m: Beat, now: Ms, out: &mut Effects) {
        self.regs.set_addr(from, addr);
        self.heard.insert(m.disk, now);
        let blank = m.blank == BLANK || m.blank == FOUNDING;
        let same = m.digest == self.regs.digest();
        if m.blank == VOTES && m.me == self.regs.me && same {
            self.met.insert(from.clone());
        }
        let pair = (m.digest, self.regs.digest());
        // What is on its way to either differs in one beat; what was missed differs in the next one too.
        let missed = !same && (!self.met.contains(from) || self.differed.insert(from.clone(), pair) == Some(pair));
        let behind = m.me > self.regs.me || (m.blank == VOTES && missed);
        if behind && !blank && now >= self.next_ask {
            self.next_ask = now + BEAT_EVERY / 4;
            out.push(send(addr, SlotsAsk { me: self.regs.me, have: self.regs.have() }));
        }
        // The first voters are offered again to a member that was named among them but has not stored it.
        if blank && self.regs.me == 1 && self.regs.voters.iter().any(|v| v.disk == m.disk) {
            out.push(send(addr, Genesis { voters: List(self.regs.voters.clone()) }));
        }
        // Who is new, or was gone, learns of this daemon at once.
        if self.peers.get(from).is_none_or(|p| now.saturating_sub(p.at) > PEER_GONE || p.beat.disk != m.disk) {
            self.next_beat = now;
        }
        self.peers.insert(from.clone(), Peer { at: now, beat: m, addr: addr.clone() });
    }

    /// Tells its slots, once all that it has voted is on its disk: an earlier member epoch must not come back here
    /// after a newcomer has counted on it to be over.
    fn on_slots_ask(&mut self, addr: &Name, m: SlotsAsk, now: Ms, out: &mut Effects) {
        self.regs.write_again(&m.have, now, out);
        let r = &self.regs;
        let slots = r.slots_beyond(&m.have);
        let m = Slots {
            me: r.me,
            voting: if r.voting { 1 } else { u8::from(r.left) * 2 },
            before: r.before,
            voters: List(r.voters.clone()),
            slots,
        };
        out.push(Effect::Persist { rows: vec![], then: vec![send(addr, m)] });
    }

    fn on_genesis(&mut self, m: Genesis, out: &mut Effects) {
        // Only a disk that is blank and named takes it; a later blank disk has another number.
        if self.regs.me == 0 && m.voters.iter().any(|v| v.disk == self.disk) {
            self.begin(m.voters.0, out);
        }
    }
    fn begin(&mut self, voters: Vec<Voter>, out: &mut Effects) {
        self.regs.follow(1, 0, voters, out);
        // Nobody ever voted before: there is no permit to wait out.
        self.regs.no_permits_before();
        self.regs.voting = true;
        // Until others know that it votes they take its keys.
        self.next_beat = 0;
        out.push(note(events::GENESIS, &self.p.name, ""));
        out.push(Effect::Persist { rows: vec![self.regs.members_row()], then: vec![] });
    }

    fn on_slots(&mut self, from: &Name, m: Slots, now: Ms, out: &mut Effects) {
        self.regs.mend(&m.slots, out);
        self.follow_members(out);
        // The first voters stand under no key.
        if self.regs.me == 0 && m.me == 1 && m.voters.iter().any(|v| v.disk == self.disk) {
            self.begin(m.voters.0, out);
        } else if m.me > self.regs.me {
            self.follow(m.me, m.before, m.voters.0, out);
        }
        if m.me != self.regs.me {
            return;
        }
        if m.voting == 1 {
            self.met.insert(from.clone());
        }
        if self.regs.voting || !self.named() || m.voting == 0 {
            return;
        }
        let mut rows = self.regs.catch_up(&m.slots);
        self.caught.insert(from.clone());
        if self.caught.len() >= self.to_read() {
            self.regs.vote(now);
            self.next_beat = 0;
            out.push(note(events::VOTING, &self.p.name, format!("member epoch {}", self.regs.me)));
        }
        rows.push(self.regs.members_row());
        out.push(Effect::Persist { rows, then: vec![] });
    }

    /// How many voters that have closed the member epoch before must be read: a majority of its voters, so that nothing
    /// more can be taken under it, and whatever was taken stands with one of those. Who voted in it or has itself read
    /// so many counts. Where their number is not known, all others.
    fn to_read(&self) -> usize {
        match self.regs.before {
            0 => self.regs.voters.len() - 1,
            n => n as usize / 2 + 1,
        }
    }

    /// Adopts voters that were committed under the members' key.
    fn follow_members(&mut self, out: &mut Effects) {
        let Some(c) = self.regs.fresh.iter().filter(|c| &*c.key == MEMBERS).max_by_key(|c| c.version).cloned() else { return };
        let (Some((before, voters)), me) = (seats::of_bytes(&c.value.0), c.version as u32 + 1) else { return };
        self.follow(me, before, voters, out);
    }

    fn follow(&mut self, me: u32, before: u32, voters: Vec<Voter>, out: &mut Effects) {
        if me <= self.regs.me {
            return;
        }
        // Whoever lost its place and was given one again may lack what was taken in between.
        let kept = voters.iter().any(|v| v.disk == self.disk && v.since <= self.regs.me);
        let left = !kept && self.regs.voting && me == self.regs.me + 1;
        self.regs.follow(me, before, voters, out);
        self.regs.voting &= kept;
        self.regs.left = left;
        self.caught.clear();
        // Until others know that it counts the same votes it is not live to them.
        (self.next_meet, self.next_beat, self.changed) = (0, 0, self.clock);
        out.push(Effect::Persist { rows: vec![self.regs.members_row()], then: vec![] });
    }

    /// Gives lost voters' places to others, and adds voters where there are too few, if this daemon is the one to.
    fn mend_seats(&mut self, now: Ms, live: &dyn Fn(&str) -> bool, out: &mut Effects) {
        if now < self.next_seats || !self.regs.voting {
            return;
        }
        self.next_seats = now + 2 * BEAT_EVERY;
        self.heard.retain(|_, t| now.saturating_sub(*t) < NODE_FORGOTTEN);
        let mine = self.regs.first(MEMBERS, live).is_some_and(|v| v.name == self.p.name);
        // One that has just started has not heard the others yet.
        if !mine || now.saturating_sub(self.started) < 2 * PEER_GONE || self.regs.busy(MEMBERS) {
            return;
        }
        let fresh = || self.peers.iter().filter(|(_, p)| now.saturating_sub(p.at) <= PEER_GONE);
        let votes = |v: &Voter| v.name == self.p.name || live(&v.name);
        let me = self.regs.me;
        // A newcomer is still reading: another change would have it begin anew.
        let reads = |p: &Peer| p.beat.blank == BEHIND && self.regs.voters.iter().any(|v| v.disk == p.beat.disk && v.since == me);
        if now.saturating_sub(self.changed) < READING && fresh().any(|(_, p)| reads(p)) {
            return;
        }
        let free = |p: &Peer| {
            matches!(p.beat.blank, BLANK | FOUNDING | NEW | STANDS_BY) && !self.regs.voters.iter().any(|v| v.disk == p.beat.disk)
        };
        let candidates = fresh().filter(|(_, p)| free(p)).map(|(n, p)| {
            let v = Voter { name: n.clone(), disk: p.beat.disk, addr: p.addr.clone(), zone: p.beat.zone.clone(), since: me + 1 };
            (v, p.beat.blank != STANDS_BY)
        });
        let silent = |v: &Voter| match v.disk == self.disk {
            true => 0,
            false => now.saturating_sub(self.heard.get(&v.disk).copied().unwrap_or(self.started)),
        };
        let s = seats::Seats {
            voters: &self.regs.voters,
            silent: &silent,
            candidates: candidates.collect(),
            regions: &self.p.regions,
            bounds: &self.p.bounds,
            live: &votes,
        };
        let Some(next) = seats::next(&s) else { return };
        let names: Vec<&str> = next.iter().map(|v| &*v.name).collect();
        out.push(note(events::PLACE_GIVEN, &self.p.name, names.join(" ")));
        let value = seats::to_bytes(self.regs.voters.len() as u32, &next);
        self.regs.propose(NOBODY, &MEMBERS.into(), Expect::Version(u64::from(me) - 1), value, now, out);
    }

    fn on_poll(&mut self, addr: &Name, m: Poll, now: Ms, out: &mut Effects) {
        let name = m.node.name.clone();
        let mut old = self.agents.remove(&name);
        let same = old.as_ref().filter(|a| a.node.born == m.node.born);
        let count = same.map_or(0, |a| a.count);
        let since = same.filter(|a| now.saturating_sub(a.at) <= FOLLOWER_GONE).map_or(now, |a| a.since);
        let waited = same.is_some_and(|a| m.sent.saturating_sub(a.sent) > 2 * now.saturating_sub(a.at));
        // What changed since a count that an earlier life of this daemon had is not enough to know anything by; nor is
        // an agent's word before its proxy has spoken.
        let tells = m.life > 0 && (m.run, m.choice) == (self.run, self.choice) && m.since <= count && count <= m.count;
        let mut opens = old.as_mut().map_or_else(Opens::new, |a| std::mem::take(&mut a.opens));
        if tells {
            self.count(&name, m.life, m.tallies, now);
            if m.since == 0 {
                opens.clear();
            }
            for o in m.opens.0 {
                let at = (o.replica, o.version);
                if o.streams > 0 {
                    opens.insert(at, o.streams)
                } else {
                    opens.remove(&at)
                };
            }
        }
        // Told first hand: rumours of a large fleet take longer.
        self.mship.hear(&m.node, now, out);
        let full = m.run != self.run;
        let after = if full { 0 } else { m.after };
        let count = if tells { m.count } else { count };
        let seen = match old {
            Some(a) if m.news == 0 && a.node.born == m.node.born => a.seen,
            _ => m.seen.0,
        };
        let a = Agent { node: m.node, at: now, since, waited, sent: m.sent, after, count, opens, seen };
        let pushes = self.pushes(&a.node, &self.tellers(now));
        out.push(self.news(addr, &a, full, pushes, now));
        self.agents.insert(name, a);
    }

    /// Chooses whose tallies are kept: of services whose duty this daemon holds or is the next to take. Whoever takes a
    /// duty over so judges by evidence at once, and all others need not hear every edge's every count.
    fn choose(&mut self, now: Ms, live: &dyn Fn(&str) -> bool) {
        let Some(spec) = self.spec() else { return };
        let me = &self.p.name;
        let mut changed = false;
        for s in &spec.services {
            let key = format!("{DUTY}{}", s.name);
            // One that stands by may step in as a voter before the duty is free to take.
            let others = self.regs.voters.iter().filter(|v| v.name != *me && live(&v.name));
            let next = others.filter(|v| weight(&key, &v.name) > weight(&key, me)).count() < COUNTERS;
            if next || self.regs.holds(&key, now).is_some() {
                changed |= self.counts.insert(s.name.as_str().into(), now).is_none();
            }
        }
        // A voter that is silent for a moment changes nothing: a choice costs every edge's every count.
        let loops = &mut self.loops;
        self.counts.retain(|s, at| {
            let keep = now.saturating_sub(*at) < COUNTS_LEFT;
            if !keep {
                // What came in the meantime would seem to have come at once.
                loops.get_mut(&**s).into_iter().for_each(|l| l.health = Health::default());
            }
            changed |= !keep;
            keep
        });
        if changed {
            self.choice += 1;
            self.agents.values_mut().for_each(|a| a.count = 0);
        }
    }

    fn count(&mut self, source: &Name, life: u64, tallies: List<Tally>, now: Ms) {
        let mut by: BTreeMap<Name, Vec<Tally>> = BTreeMap::new();
        // Services without a count yet are told too: a source is known from its first word on.
        for s in self.counts.keys() {
            by.insert(s.clone(), vec![]);
        }
        let kept = tallies.0.into_iter().filter(|t| self.counts.contains_key(&t.service));
        kept.for_each(|t| by.entry(t.service.clone()).or_default().push(t));
        for (s, v) in by {
            self.loops.entry(s.to_string()).or_insert_with(|| Loop::new(now)).health.feed(source, life, &v);
        }
    }

    fn on_demand(&mut self, from: &Name, m: Demand, now: Ms) {
        if let Some(c) = self.contexts.get_mut(&*m.service) {
            c.demands.tell(from, m.parts.0, now);
        }
    }

    /// Decides where copies of popular shared context stand, for the services whose duty is held here.
    fn decide_contexts(&mut self, spec: &Spec, now: Ms, out: &mut Effects) {
        for s in &spec.services {
            let key: Name = format!("{CONTEXT}{}", s.name).into();
            let stands = self.board.get(&key).filter(|c| !c.value.0.is_empty());
            let on = s.context.as_ref().filter(|c| c.on);
            let held = self.regs.holds(&key, now).is_some() && self.regs.holds(&format!("{DUTY}{}", s.name), now).is_some();
            let (Some(on), true) = (on, held) else {
                self.contexts.remove(&s.name);
                // Switched off: nothing stands any more.
                if let Some(c) = stands.filter(|_| held && !self.regs.busy(&key)) {
                    let e = Expect::Version(c.version);
                    self.regs.propose(NOBODY, &key, e, Blob::default(), now, out);
                    out.push(note(events::CONTEXT_OFF, &s.name, ""));
                }
                continue;
            };
            let d = self.contexts.entry(s.name.clone()).or_insert_with(|| {
                out.push(note(events::CONTEXT_DUTY, &s.name, ""));
                ContextDuty { since: now, wrote: 0, demands: Demands::default() }
            });
            if now < d.wrote + STANDING_EVERY || self.regs.busy(&key) {
                continue;
            }
            let Some(r) = self.records.get(&s.name) else { continue };
            let region_of = |z: &str| self.p.regions.get(z).map_or(z, String::as_str).to_string();
            let edge = |n: &Name| self.agents.get(n).map(|a| region_of(&a.node.zone));
            let asked = d.demands.sums(&edge, now);
            let used: BTreeSet<&String> = r.groups.iter().flat_map(|g| &g.replicas).collect();
            let may = |p: &&remote_calls::PlacedReplica| {
                used.contains(&p.id)
                    && self.board.get(&format!("{LEAVING}{}", p.id)).is_none_or(|c| c.value.0.is_empty())
                    && !evacuated(&self.board, &p.zone)
            };
            let replicas: Vec<_> = r.replicas.iter().filter(may).cloned().collect();
            let lanes = spec.paths.iter().filter(|p| p.split.iter().any(|x| x.service == s.name));
            let homes: BTreeMap<u64, Vec<String>> = lanes.map(|p| (homes(&p.homes), p.homes.clone())).collect();
            let i = context::Inputs {
                spec: on,
                cache_tokens: s.engine.as_ref().map_or(0, |e| e.cache_tokens),
                version: &r.stable,
                replicas: &replicas,
                region: &region_of,
                homes: &homes,
                asked: &asked,
                young: now.saturating_sub(d.since) < DEMAND_OLD,
            };
            let old: Option<ContextRecord> = stands.and_then(|c| serde_json::from_slice(&c.value.0).ok());
            let none = || ContextRecord { service: s.name.clone(), version: r.stable.clone(), parts: vec![] };
            let next = context::decide(old.as_ref().unwrap_or(&none()), &i);
            let Some(v) = serde_json::to_vec(&next).ok().filter(|_| old.as_ref() != Some(&next)) else { continue };
            d.wrote = now;
            let (was, n) = (old.map_or(0, |o| o.parts.len()), next.parts.len());
            out.push(note(events::CONTEXT_MOVED, &s.name, format!("{was} to {n} copies")));
            let e = Expect::Version(self.board.get(&key).map_or(0, |c| c.version));
            self.regs.propose(NOBODY, &key, e, Blob(v), now, out);
        }
    }

    /// `pushes`: this daemon is one of those from which the agent has its news.
    fn news(&self, to: &Name, a: &Agent, full: bool, pushes: bool, now: Ms) -> Effect {
        let new = self.feed.iter().filter(|(_, (s, _))| *s > a.after).filter_map(|(k, at)| Some((self.board.get(k)?, *at)));
        // What it has by other ways is not sent again.
        let lacks = |c: &Change| a.seen.iter().find(|s| s.key == c.key).is_none_or(|s| stamp(s) < stamp(c));
        // Nor what is long and most likely on its way: as an answer to an earlier question, or from a daemon nearby, which
        // may have been cut off with the agent until just now.
        let far = regions::region(&self.p.regions, &a.node.zone) != regions::region(&self.p.regions, &self.p.zone);
        let lately = |at: Ms| now.saturating_sub(at) < PUSH_TAKES;
        let waits = !full && (a.waited || (far && lately(a.since)));
        let comes = |c: &Change, at: Ms| c.value.0.len() > LONG_VALUE && (waits || (!full && !pushes && lately(at)));
        let (mut upto, mut changes) = (self.seq, vec![]);
        for (c, (place, at)) in new.filter(|(c, _)| lacks(c)) {
            if comes(c, at) {
                upto = upto.min(place - 1);
            } else {
                changes.push(c.clone());
            }
        }
        send(
            to,
            News {
                sent: a.sent,
                run: self.run,
                upto,
                count: a.count,
                choice: self.choice,
                counts: self.counts.keys().cloned().collect(),
                full: full.into(),
                settled: self.settled.into(),
                voters: self.regs.voters.len() as u32,
                changes: List(changes),
                permits: self.permits(now),
            },
        )
    }

    /// Permits under the duties held here. They end no later than the duty's own permit, because an
    /// agent counts `ttl` from before its question was even sent.
    fn permits(&self, now: Ms) -> List<Permit> {
        if !self.settled || self.killed() {
            return List::default();
        }
        let rows = self.board.under(DUTY).filter_map(|(s, c)| {
            let (epoch, until) = self.regs.holds(&c.key, now)?;
            let r = self.records.get(s)?;
            let canary = |g: &&GroupRecord| g.role == GroupRole::Canary && Some(&g.version) == r.target.as_ref();
            let group = r.groups.iter().find(canary).filter(|g| !g.replicas.is_empty());
            // A holder that does not know the replicas yet has no ground to let a canary have anything.
            let heard = self.loops.get(s).is_some_and(|l| l.heard);
            let most = self.spec.as_ref().map_or(0, |s| s.canary_percent);
            let share = group.filter(|_| heard).map_or(0, |g| g.share_percent.min(most));
            let ttl = (until - now).min(self.p.bounds.permit()) as u32;
            Some(Permit { service: s.into(), epoch, version: c.version, canary_share: share, ttl })
        });
        rows.collect()
    }

    fn killed(&self) -> bool {
        self.board.read::<bool>(KILL).unwrap_or(false)
    }

    /// Reads records and plans once a change: they are looked at for every agent and every pass.
    fn read_rollout(&mut self, c: &Change) {
        if let Some(s) = c.key.strip_prefix(DUTY) {
            self.records.remove(s);
            self.records.extend(serde_json::from_slice(&c.value.0).ok().map(|r| (s.to_string(), Arc::new(r))));
        } else if let Some(s) = c.key.strip_prefix(PLAN) {
            self.plans.remove(s);
            self.plans.extend(serde_json::from_slice(&c.value.0).ok().map(|p| (s.to_string(), (c.version, p))));
        }
    }

    /// Puts what is newly committed on the board and the feed, and pushes it to the agents.
    fn publish(&mut self, now: Ms, out: &mut Effects) {
        let fresh = std::mem::take(&mut self.regs.fresh);
        let (mut new, mut read) = (false, false);
        for c in fresh {
            if self.board.merge(&c) {
                read |= &*c.key == SPEC;
                self.read_rollout(&c);
                if let Some(r) = c.key.strip_prefix(LEAVING).filter(|_| !c.value.0.is_empty()) {
                    out.push(note(events::LEAVING, r, ""));
                }
                self.seq += 1;
                self.feed.insert(c.key.clone(), (self.seq, now));
                new = true;
            }
        }
        if read {
            self.read_spec();
        }
        if !new {
            return;
        }
        let tellers = self.tellers(now);
        let mut agents = std::mem::take(&mut self.agents);
        for a in agents.values_mut().filter(|a| now.saturating_sub(a.at) <= PUSHED_TO && self.pushes(&a.node, &tellers)) {
            out.push(self.news(&a.node.addr, a, false, true, now));
            // Taken for arrived; where it is not, the agent's next question says so.
            a.after = self.seq;
        }
        self.agents = agents;
    }

    /// Whether this daemon pushes news to an agent: to those of its zone, and to those that come to it in the agreed order
    /// of the live daemons of their region, or of all where their region has none. All others have it from other daemons,
    /// or ask.
    fn pushes(&self, a: &Node, live: &[Name]) -> bool {
        let region = |zone| regions::region(&self.p.regions, zone);
        // The way between regions is dear.
        let near = |n: &&Name| {
            let zone = self.peers.get(*n).map_or(&self.p.zone, |p| &p.beat.zone);
            region(zone) == region(&a.zone)
        };
        let by = |n: &&Name| weight(&a.name, n);
        let first = live.iter().filter(near).max_by_key(by).or_else(|| live.iter().max_by_key(by));
        a.zone == self.p.zone || first.is_none_or(|n| *n == self.p.name)
    }
    /// Daemons that news may be had from.
    fn tellers(&self, now: Ms) -> Vec<Name> {
        let live = self.live(now);
        self.peers.keys().chain([&self.p.name]).filter(|n| live(n)).cloned().collect()
    }

    fn finish(&mut self, now: Ms, mut out: Effects) -> Effects {
        self.follow_members(&mut out);
        self.take_moved(now, &mut out);
        self.publish(now, &mut out);
        let routed = out.into_iter().filter_map(|e| match e {
            Effect::Answer { token, outcome } => self.route(token, outcome),
            e => Some(e),
        });
        routed.collect()
    }

    // ---- back ends ----

    /// `asked`: when the platform was asked for it; an answer that was overtaken is dropped.
    pub fn on_platform(&mut self, l: PlatformList, asked: Ms) {
        if self.listed > asked {
            return;
        }
        self.listed = asked;
        self.reports.retain(|id, _| l.replicas.iter().any(|r| r.id == *id));
        if self.platform.as_ref() != Some(&l) {
            self.list_moved = asked;
        }
        self.platform = Some(l);
    }
    /// Whether the list has not changed for a while, so that it may be asked for less often.
    pub fn list_calm(&self, now: Ms) -> bool {
        self.platform.is_some() && now.saturating_sub(self.list_moved) > LIST_CALM
    }
    pub fn on_report(&mut self, r: ReplicaReport, now: Ms) {
        self.reports.insert(r.replica.clone(), (r, now));
    }
    /// Replicas to ask for their reports: id and address.
    pub fn replicas(&self) -> Vec<(String, String)> {
        let Some(l) = &self.platform else { return vec![] };
        let placed = |r: &PlatformReplica| {
            let services = self.spec.iter().flat_map(|s| &s.services);
            services.into_iter().any(|s| s.name == r.service && s.mode == ServiceMode::Placed)
        };
        // The list tells all of a replica that the platform placed.
        l.replicas.iter().filter(|r| !placed(r)).map(|r| (r.id.clone(), r.addr.clone())).collect()
    }
    /// Whether any duty is held here, so that back ends need asking.
    pub fn on_duty(&self, now: Ms) -> bool {
        self.board.rows().any(|c| c.key.starts_with(DUTY) && self.regs.holds(&c.key, now).is_some())
            || self
                .spec
                .as_ref()
                .is_some_and(|s| s.services.iter().any(|v| self.regs.holds(&format!("{DUTY}{}", v.name), now).is_some()))
    }

    /// This daemon's part of what may be called for a second by all: the holder of each duty calls, a former one may
    /// not have noticed yet that another holds it, and no more daemons hold duties than there are voters.
    pub fn calls_share(&self, rate: f64) -> f64 {
        let duties = self.spec.as_ref().map_or(1, |s| s.services.len().max(1));
        calls_share(rate, self.regs.voters.len(), duties)
    }

    // ---- time ----

    pub fn tick(&mut self, now: Ms) -> Effects {
        self.woke(now);
        self.ticked = now;
        let mut out = Vec::new();
        self.clock = now;
        self.mship.tick(now, &mut out);
        for n in self.mship.known(CONTROL) {
            self.regs.set_addr(&n.name, &n.addr);
        }
        if std::mem::take(&mut self.unkept) {
            out.push(Effect::Persist { rows: vec![self.regs.members_row()], then: vec![] });
        }
        self.beat(now, &mut out);
        self.meet(now, &mut out);
        let wanted: Vec<Name> = match &self.spec {
            // Copies of shared context come with the duty, where they are switched on.
            Some(s) => s
                .services
                .iter()
                .flat_map(|v| {
                    let on = v.context.as_ref().is_some_and(|c| c.on);
                    [Some(format!("{DUTY}{}", v.name)), on.then(|| format!("{CONTEXT}{}", v.name))]
                })
                .flatten()
                .map(Name)
                .collect(),
            None => vec![],
        };
        let live = self.live(now);
        self.regs.tick(now, &live, &wanted, &mut out);
        self.choose(now, &live);
        self.mend_seats(now, &live, &mut out);
        self.watch_loops(now, &live, &mut out);
        self.taken.retain(|_, t| now.saturating_sub(*t) < 2 * FORWARD_LIMIT);
        self.pass_again(now, &mut out);
        let need = self.regs.voters.len() / 2;
        let was = self.settled;
        self.settled = self.regs.voting && self.met.len() >= need && self.regs.all_committed();
        // Once compared, a write under way does not unsettle: it is this life's own news.
        self.settled |= was && self.regs.voting;
        if self.settled && !was {
            out.push(note(events::SETTLED, &self.p.name, ""));
        }
        self.finish(now, out)
    }

    /// Raises the alert when a loop that this daemon should run has not run for long: no platform list, no
    /// permit, a kill switch left on.
    fn watch_loops(&mut self, now: Ms, live: &dyn Fn(&str) -> bool, out: &mut Effects) {
        let spec = self.spec();
        for s in spec.iter().flat_map(|s| &s.services) {
            let mine = self.regs.first(&format!("{DUTY}{}", s.name), live).is_some_and(|v| v.name == self.p.name);
            if !mine {
                self.ran.remove(&s.name);
                self.resting.remove(&s.name);
                continue;
            }
            let at = *self.ran.entry(s.name.clone()).or_insert(now);
            if now.saturating_sub(at) > LOOP_RESTS && self.resting.insert(s.name.clone()) {
                out.push(note(events::LOOP_RESTS, &s.name, format!("{} ms", now - at)));
            }
        }
    }

    fn beat(&mut self, now: Ms, out: &mut Effects) {
        if now < self.next_beat {
            return;
        }
        self.next_beat = now + BEAT_EVERY;
        let blank = match (self.regs.me, self.regs.voting) {
            _ if self.going => GOING,
            (0, _) if !self.regs.voters.is_empty() => FOUNDING,
            (0, _) => BLANK,
            (_, true) if self.disk_ok => VOTES,
            _ if self.named() => BEHIND,
            _ if self.came_blank && now.saturating_sub(self.started) < NEWCOMER => NEW,
            _ => STANDS_BY,
        };
        let zone = self.p.zone.clone();
        let b = Beat { me: self.regs.me, disk: self.disk, zone, blank, digest: self.regs.digest() };
        let fresh = || self.peers.iter().filter(|(_, p)| now.saturating_sub(p.at) <= NODE_GONE);
        let votes = |n: &Name| self.regs.voters.iter().any(|v| v.name == *n);
        let mut to: BTreeSet<Name> = self.regs.voters.iter().map(|v| self.regs.addr(v)).collect();
        // Daemons that stand by have nothing to tell each other.
        if self.regs.voting || self.regs.me == 0 {
            to.extend(self.mship.live(CONTROL).map(|n| n.addr.clone()));
            to.extend(fresh().map(|(_, p)| p.addr.clone()));
        }
        // Until it knows the voters, only its seeds lead there.
        if self.regs.me == 0 {
            to.extend(self.p.seeds.iter().cloned());
        }
        to.remove(&self.p.addr);
        out.extend(to.iter().map(|a| send(a, b.clone())));
        self.regs.followers = fresh().filter(|(n, _)| !votes(n)).map(|(_, p)| p.addr.clone()).collect();
    }

    /// What a daemon that does not vote yet does about it.
    fn meet(&mut self, now: Ms, out: &mut Effects) {
        if self.regs.voting || now < self.next_meet {
            return;
        }
        self.next_meet = now + BEAT_EVERY;
        if self.named() {
            let ask = SlotsAsk { me: self.regs.me, have: self.regs.have() };
            // Also those that have just lost their places: what they voted may stand with them alone.
            let mut to: BTreeMap<Name, Name> = self.regs.voters.iter().map(|v| (v.name.clone(), self.regs.addr(v))).collect();
            let fresh = self.peers.iter().filter(|(_, p)| now.saturating_sub(p.at) <= PEER_GONE);
            to.extend(fresh.map(|(n, p)| (n.clone(), p.addr.clone())));
            to.retain(|n, _| *n != self.p.name && !self.caught.contains(n));
            out.extend(to.values().map(|a| send(a, ask.clone())));
            return;
        }
        let fresh: Vec<(&Name, &Peer)> = self.peers.iter().filter(|(_, p)| now.saturating_sub(p.at) <= PEER_GONE).collect();
        if let Some(voters) = self.founders(&fresh) {
            // Others store it when this daemon's next beats tell them. Should it crash before it is synced here, it
            // learns it from them, or writes the same again: it takes nothing but the same disks.
            self.begin(voters, out);
        }
    }

    /// The first voters, once all of them are here with blank disks and this daemon is the one to write them down:
    /// the first by name where names are given, else the one at the first of the seeds.
    fn founders(&self, fresh: &[(&Name, &Peer)]) -> Option<Vec<Voter>> {
        if self.regs.me > 0 {
            return None;
        }
        let (name, addr, zone) = (self.p.name.clone(), self.p.addr.clone(), self.p.zone.clone());
        let me = Voter { name, disk: self.disk, addr, zone, since: 1 };
        let voter = |(n, p): &(&Name, &Peer)| Voter {
            name: (*n).clone(),
            disk: p.beat.disk,
            addr: p.addr.clone(),
            zone: p.beat.zone.clone(),
            since: 1,
        };
        let (own, places, state): (&Name, Vec<&Name>, u8) = match self.p.members.is_empty() {
            false => (&self.p.name, self.p.members.iter().collect(), BLANK),
            true => (&self.p.addr, self.regs.voters.iter().map(|v| &v.addr).collect(), FOUNDING),
        };
        if places.iter().min() != Some(&own) {
            return None;
        }
        let named = !self.p.members.is_empty();
        let others = places.iter().filter(|p| **p != own).map(|place| {
            let here = fresh.iter().find(|(n, p)| p.beat.blank == state && if named { n == place } else { p.addr == **place });
            here.map(voter)
        });
        let mut voters = others.collect::<Option<Vec<_>>>()?;
        voters.insert(0, me);
        Some(voters)
    }

    /// Runs the rollout loops of the duties held here.
    pub fn loops(&mut self, now: Ms, wall: u64) -> Effects {
        if now < self.next_loop || !self.settled || self.killed() {
            return vec![];
        }
        self.next_loop = now + LOOP_EVERY;
        // Whoever is next to take a duty keeps the evidence too, and judges by it at once.
        self.loops.values_mut().for_each(|l| l.health.tick(now));
        // Taken out and put back: it is large, and nothing below replaces it.
        let Some(spec) = self.spec() else { return vec![] };
        let Some(platform) = self.platform.take() else { return vec![] };
        let leaving: BTreeSet<String> = self.board.under(LEAVING).map(|(r, _)| r.to_string()).collect();
        let mut out = Vec::new();
        for s in &spec.services {
            let key = format!("{DUTY}{}", s.name);
            let plan = self.plans.get(&s.name).map(|(n, p)| (*n, p));
            if s.mode == ServiceMode::Placed {
                self.loops.entry(s.name.clone()).or_insert_with(|| Loop::new(now)).heed(plan, now, wall);
            }
            let Some((epoch, until)) = self.regs.holds(&key, now) else {
                // Timings of a duty that is not held are worth nothing when it comes back.
                if let Some(l) = self.loops.get_mut(&s.name) {
                    l.rest(now);
                }
                continue;
            };
            // One write of a record at a time; orders follow only records that stand.
            if self.writing.values().any(|w| *w == s.name) {
                continue;
            }
            let old = self.records.get(&s.name).cloned().unwrap_or_else(|| Arc::new(first_record(s)));
            let mut l = self.loops.remove(&s.name).unwrap_or_else(|| Loop::new(now));
            let live = || self.agents.values().filter(|a| now.saturating_sub(a.at) <= FOLLOWER_GONE);
            let summed = OnceCell::new();
            let open = |id: &str, v: &str| -> u64 {
                let all: &BTreeMap<(&str, &str), u64> = summed.get_or_init(|| {
                    let mut all = BTreeMap::new();
                    for ((replica, version), streams) in live().flat_map(|a| &a.opens) {
                        // By version, and over all versions of the replica.
                        *all.entry((&**replica, &**version)).or_default() += u64::from(*streams);
                        if !version.is_empty() {
                            *all.entry((&**replica, "")).or_default() += u64::from(*streams);
                        }
                    }
                    all
                });
                all.get(&(id, v)).copied().unwrap_or(0)
            };
            let stands = self.board.get(&key).map_or(0, |c| c.version);
            let has = |a: &Agent| a.seen.iter().find(|c| *c.key == *key).map_or(0, |c| c.version);
            let seen = || live().map(has).min().unwrap_or(stands);
            let (platform, reports) = (&platform.replicas, &self.reports);
            let listed = self.listed;
            let i = Inputs {
                spec: &spec,
                service: s,
                plan,
                platform,
                reports,
                leaving: &leaving,
                listed,
                open: &open,
                stands,
                seen: &seen,
                bounds: &self.p.bounds,
                now,
                wall,
            };
            let (next, orders) = l.step(&old, &i);
            self.ran.insert(s.name.clone(), now);
            self.resting.remove(&s.name);
            if let Some(v) = l.bad.take() {
                out.push(note(events::BAD_VERSION, &s.name, v));
            }
            self.loops.insert(s.name.clone(), l);
            if next.phase != old.phase {
                out.push(note(events::PHASE, &s.name, format!("{:?} to {:?}", old.phase, next.phase)));
            }
            for a in next.alerts.iter().filter(|a| !old.alerts.contains(a)) {
                let e = match a.as_str() {
                    "stuck" => events::STUCK,
                    "plan_late" => events::PLAN_LATE,
                    "stable_fails" => events::STABLE_FAILS,
                    "plan_at_risk" => events::PLAN_AT_RISK,
                    _ => events::UNLOAD_WAITS,
                };
                out.push(note(e, &s.name, a.clone()));
            }
            let changed = next != *old || self.board.get(&key).is_none();
            if changed && let Ok(v) = serde_json::to_vec(&next) {
                self.token += 1;
                let t = self.token;
                self.writing.insert(t, s.name.clone());
                // Compared with the version it was computed from: another holder's record is never overwritten.
                self.regs.propose(t, &key.as_str().into(), Some(stands), Blob(v), now, &mut out);
            }
            // Unloads go only under a flag that already stands on a majority of disks.
            let flagged = |v: &str| old.groups.iter().any(|g| g.allow_unload && g.version == v);
            for o in orders {
                if let crate::rollout::Order::Replica { action: remote_calls::OrderAction::Unload, version, .. } = &o
                    && !flagged(version)
                {
                    continue;
                }
                out.push(Effect::Order { service: s.name.clone(), epoch, until, order: o });
            }
        }
        self.decide_contexts(&spec, now, &mut out);
        // Warnings of replicas that are gone are cleared by whoever owns them.
        let gone: Vec<Name> = leaving
            .iter()
            .filter(|r| !platform.replicas.iter().any(|p| p.id == **r))
            .map(|r| Name(format!("{LEAVING}{r}")))
            .filter(|k| self.regs.holds(k, now).is_some())
            .collect();
        self.platform = Some(platform);
        for k in gone {
            self.regs.propose(NOBODY, &k, None, Blob::default(), now, &mut out);
        }
        self.finish(now, out)
    }

    // ---- looking ----

    /// Regions in which every lane of a host may be carried. None: all, as nothing binds or no region suits all lanes.
    fn homes(&self, host: &str) -> Option<BTreeSet<&str>> {
        let host = host_name(host);
        let lanes = self.spec.iter().flat_map(|s| &s.paths).filter(|p| p.host.eq_ignore_ascii_case(host) && !p.homes.is_empty());
        let homes = lanes.map(|p| p.homes.iter().map(String::as_str).collect::<BTreeSet<&str>>());
        homes.reduce(|a, b| a.intersection(&b).copied().collect()).filter(|h| !h.is_empty())
    }

    /// Addresses of edges for a caller of a host in a place: near ones first, but never only one of many, as that one
    /// may just have gone; beyond its region only where the host's lanes may be carried, if any edge is there. None: this
    /// daemon does not know the fleet yet, or nobody serves.
    pub fn edges_near(&self, host: &str, zone: &str, region: &str, now: Ms) -> Option<Vec<String>> {
        if now.saturating_sub(self.started) < KNOWS_FLEET {
            return None;
        }
        let all: Vec<&Node> = self.mship.live(EDGE).filter(|n| !n.http.is_empty()).collect();
        // Rumours of a large fleet are slow: who asks this daemon itself is known sooner to be gone. Where few do, it
        // is this daemon that is cut off.
        let asks = |n: &&&Node| self.agents.get(&n.name).is_some_and(|a| now.saturating_sub(a.at) <= NODE_GONE);
        let heard: Vec<&Node> = all.iter().filter(asks).copied().collect();
        let all = if heard.len() * 2 > all.len() { heard } else { all };
        let home = |n: &Node| regions::region(&self.p.regions, &n.zone) == region;
        let near: [Vec<&Node>; 2] =
            [all.iter().filter(|n| &*n.zone == zone).copied().collect(), all.iter().filter(|n| home(n)).copied().collect()];
        let some = near.into_iter().find(|v| v.len() > 1).unwrap_or_else(|| {
            // Its body is not carried where it has no home for the sake of a choice.
            let Some(homes) = self.homes(host) else { return all };
            let fits = |n: &&&Node| home(n) || homes.contains(regions::region(&self.p.regions, &n.zone));
            let some: Vec<&Node> = all.iter().filter(fits).copied().collect();
            if some.is_empty() { all } else { some }
        });
        let some = agreed(host, some, |n| &n.name).into_iter().take(ADDRESSES).map(|n| n.http.to_string());
        Some(some.collect()).filter(|v: &Vec<String>| !v.is_empty())
    }

    pub fn status(&self, now: Ms) -> Status {
        let live = self.live(now);
        let keys = self.regs.keys().map(|s| {
            let held = self.regs.holds(&s.key, now);
            KeyStatus {
                key: s.key.to_string(),
                owner: self.regs.first(&s.key, &live).map_or(String::new(), |v| v.name.to_string()),
                epoch: s.epoch,
                version: s.version,
                permit_ms: held.filter(|h| h.1 != Ms::MAX).map(|h| h.1 - now),
            }
        });
        let members = self.regs.voters.iter().map(|v| MemberStatus {
            name: v.name.to_string(),
            addr: self.regs.addr(v).to_string(),
            live: live(&v.name),
            voter: true,
        });
        let edges = self.agents.values().map(|a| EdgeStatus {
            edge: a.node.name.to_string(),
            zone: a.node.zone.to_string(),
            heard_ms_ago: now.saturating_sub(a.at),
            spec_version: a.seen.iter().find(|c| &*c.key == SPEC).map_or(0, |c| c.version),
            versions: a.seen.iter().map(|c| KeyVersion { key: c.key.to_string(), version: c.version }).collect(),
        });
        let contexts = self.board.under(CONTEXT).filter_map(|(_, c)| serde_json::from_slice(&c.value.0).ok());
        let rollouts = self.board.under(DUTY).filter_map(|(_, c)| serde_json::from_slice(&c.value.0).ok());
        let zones = self.spec.as_ref().map_or(vec![], |s| s.zones.clone());
        let heard = || self.agents.values().filter(|a| now.saturating_sub(a.at) <= FOLLOWER_GONE).flat_map(|a| &a.opens);
        let homes: BTreeMap<String, String> = self
            .board
            .under(DUTY)
            .filter_map(|(_, c)| serde_json::from_slice::<RolloutRecord>(&c.value.0).ok())
            .flat_map(|r| r.replicas)
            .map(|p| (p.id, p.zone))
            .collect();
        let streams = zones.iter().map(|z| ZoneStreams {
            zone: z.name.clone(),
            streams: heard().filter(|((r, _), _)| homes.get(&**r) == Some(&z.name)).map(|(_, n)| u64::from(*n)).sum(),
        });
        let streams = streams.collect();
        let zones = zones.into_iter().map(|z| ZoneState { evacuated: evacuated(&self.board, &z.name), zone: z.name });
        Status {
            daemon: self.p.name.to_string(),
            member_epoch: self.regs.me.into(),
            settled: self.settled,
            disk_ok: self.disk_ok,
            members: members.collect(),
            keys: keys.collect(),
            edges: edges.collect(),
            rollouts: rollouts.collect(),
            contexts: contexts.collect(),
            zones: zones.collect(),
            streams,
            kill_switch: self.killed(),
        }
    }
    pub fn health(&self) -> HealthAnswer {
        let stands_by = self.regs.me > 0 && !self.named();
        let detail = match (self.disk_ok, self.regs.voting, self.settled) {
            (false, ..) => "the disk does not take writes",
            _ if stands_by => "stands by without a vote",
            (_, false, _) => "does not vote yet",
            (.., false) => "has not settled yet",
            _ => "serves",
        };
        HealthAnswer { ok: (self.settled || stands_by) && self.disk_ok, process: self.p.name.to_string(), detail: detail.into() }
    }
    /// Whether the platform has this replica, as far as this daemon or the records tell.
    pub fn knows_replica(&self, id: &str) -> bool {
        let listed = self.platform.as_ref().is_some_and(|l| l.replicas.iter().any(|r| r.id == id));
        let mut rows = self.board.under(DUTY).filter_map(|(_, c)| serde_json::from_slice::<RolloutRecord>(&c.value.0).ok());
        listed || rows.any(|r| r.replicas.iter().any(|p| p.id == id))
    }
    /// Services whose tallies this daemon keeps.
    pub fn counts(&self) -> impl Iterator<Item = &str> {
        self.counts.keys().map(|s| &**s)
    }
    /// Requests sent that this daemon has counted: of a service, and of one of its versions.
    pub fn counted(&self, service: &str, version: &str) -> (u64, u64) {
        self.loops.get(service).map_or((0, 0), |l| l.health.sent(version))
    }
    pub fn counters(&self) -> Vec<(&'static str, u64)> {
        let copies = self.board.under(CONTEXT).filter_map(|(_, c)| serde_json::from_slice::<ContextRecord>(&c.value.0).ok());
        vec![
            ("context_copies", copies.map(|r| r.parts.len() as u64).sum()),
            ("feed_place", self.seq),
            ("keys", self.regs.keys().count() as u64),
            ("edges", self.agents.len() as u64),
            ("member_epoch", self.regs.me.into()),
            ("loops_resting", self.resting.len() as u64),
        ]
    }
}

/// Whether a zone is evacuated, by a board.
pub fn evacuated(b: &Board, zone: &str) -> bool {
    b.read::<ZoneState>(&format!("{ZONE}{zone}")).is_some_and(|z| z.evacuated)
}
