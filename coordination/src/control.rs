//! A control daemon's brain: registers, beats, members, feed, agents' polls, and the duties it holds.

use std::{
    cell::OnceCell,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use remote_calls::{
    ContextRecord, EdgeStatus, GroupRecord, GroupRole, Health as HealthAnswer, KeyStatus, KeyVersion, MemberStatus, OrderAction,
    PlatformList, PlatformReplica, ReleasePlan, ReplicaReport, RolloutRecord, ServiceMode, ServiceSpec, Spec, Status, ZoneState,
    ZoneStreams,
};
use wire_messages::{
    Blob, Bootstrap, Change, ContextDemand, ForwardOutcome, ForwardReply, ForwardRequest, Heartbeat, Lease, List, Message, Name,
    Node, OutcomeCounters, PeerState, Poll, Precondition, SlotsReply, SlotsRequest, Update, Voter,
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
        ADDRESSES, BEHIND_AFTER, COUNTERS, COUNTS_LEFT, DEMAND_OLD, DIFFERS_LONG, FOLLOWER_GONE, FORWARD_LIMIT, HEARTBEAT_EVERY,
        IN_TOUCH_AFTER, INTRODUCE_EVERY, KNOWS_FLEET, LIST_CALM, LONG_VALUE, LOOP_EVERY, LOOP_RESTS, NEWCOMER, NEWS_PACE,
        NODE_FORGOTTEN, NODE_GONE, ORDER_RENEWED, PEER_GONE, PUSH_TAKES, PUSHED_TO, READING, RESOLUTION_LOGGED, SILENT_EDGE,
        SILENT_LOGGED, STANDING_EVERY, STOOD_STILL, WAKES_FOR,
    },
    members,
    membership::{CONTROL, EDGE, Membership},
    order::{agreed, weight},
    packed,
    pass::host_name,
    regions,
    register::{CONTEXT, DUTY, Expect, MEMBERS, Registers},
    rollout::{Inputs, Loop, first_record},
};

mod back_ends;
mod contact;
mod contexts;
mod duties;
mod feed;
mod polls;
mod resolution;
mod status;
mod voters;
mod writes;

pub use back_ends::calls_share;
use contact::Contact;
use contexts::ContextDuty;
use feed::Fed;
use resolution::ResolutionCounts;
pub use resolution::{Caller, Reach, Resolution, Unresolved};
use writes::{Order, Passed};

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

/// Tokens of writes that nobody waits for.
const NOBODY: u64 = 0;

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
    beat: Heartbeat,
    addr: Name,
}

/// A peer holds something else than this daemon does.
#[derive(Clone, Copy, Debug)]
struct Difference {
    /// Its digest and this daemon's own, as they last differed. News on its way differs once only.
    digests: (u64, u64),
    /// Since when they have differed without a break.
    since: Ms,
    /// When they were last compared, or began to differ: where what both hold keeps changing, no two differences are the
    /// same, and one of them may lack what changed before.
    compared: Ms,
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
    /// Up to which place of the feed values are on their way to it, and until when they may take.
    told: (u64, Ms),
}

/// Streams by replica and version.
type Opens = BTreeMap<(Name, Name), u32>;

#[derive(Clone, Debug)]
pub struct Control {
    p: ControlParams,
    disk: u64,
    /// This life began without a member epoch on disk.
    came_blank: bool,
    /// The mark of the founding is not on disk yet.
    unkept: bool,
    pub regs: Registers,
    pub membership: Membership,
    board: Board,
    /// The spec as last read.
    spec: Option<Arc<Spec>>,
    started: Ms,
    run: u64,
    seq: u64,
    /// The feed: each key's newest place in it. Older places are never needed again.
    feed: BTreeMap<Name, Fed>,
    peers: BTreeMap<Name, Peer>,
    agents: BTreeMap<Name, Agent>,
    /// Orders that are compared with nothing, by the token under which they came.
    orders: BTreeMap<u64, Order>,
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
    /// By peer whose digest differs from this daemon's own.
    differed: BTreeMap<Name, Difference>,
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
    next_join: Ms,
    /// The time of the last tick, and when the voters last changed.
    clock: Ms,
    changed: Ms,
    next_ask: Ms,
    next_voter_change: Ms,
    /// When this daemon last ran each service's loop, or first was the one to run it; and which alerts stand.
    ran: BTreeMap<String, Ms>,
    resting: BTreeSet<String>,
    /// Writes of rollout records under way, by service.
    writing: BTreeMap<u64, String>,
    /// By service whose copies of shared context are decided here.
    contexts: BTreeMap<String, ContextDuty>,
    contact: Contact,
    resolutions: ResolutionCounts,
}

impl Control {
    /// `disk`: the data folder's own number; `rows`: what it held; `born`: differs between lives.
    pub fn new(p: ControlParams, disk: u64, rows: Vec<Row>, born: u64, now: Ms) -> Self {
        let me = Node {
            name: p.name.clone(),
            role: CONTROL,
            zone: p.zone.clone(),
            addr: p.addr.clone(),
            http_addr: p.http.clone(),
            incarnation: born,
            heartbeat: 0,
            heartbeat_age: 0,
        };
        let mut membership = Membership::new(me, p.seeds.clone(), born);
        membership.set_regions(p.regions.clone());
        let mut regs = Registers::new(p.name.clone(), rows, p.bounds.lease(), now);
        regs.set_addr(&p.name, &p.addr);
        regs.reader = p.reader;
        // Kept on disk: a founder that is started again is no longer told that it founds, nor with whom.
        let marked = regs.member_epoch == 0 && regs.voters.is_empty() && p.founding && p.members.is_empty();
        if marked {
            regs.found_with(&p.seeds);
        }
        let mut c = Control {
            p,
            disk,
            came_blank: regs.member_epoch == 0,
            unkept: marked,
            regs,
            membership,
            board: Board::default(),
            spec: None,
            started: now,
            run: born,
            seq: 0,
            feed: BTreeMap::new(),
            peers: BTreeMap::new(),
            agents: BTreeMap::new(),
            orders: BTreeMap::new(),
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
            next_join: 0,
            clock: now,
            changed: now,
            next_ask: 0,
            next_voter_change: 0,
            ran: BTreeMap::new(),
            resting: BTreeSet::new(),
            writing: BTreeMap::new(),
            contexts: BTreeMap::new(),
            contact: Contact::new(now),
            resolutions: ResolutionCounts::default(),
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

    pub fn settled(&self) -> bool {
        self.settled
    }

    pub fn on_msg(&mut self, from: &Name, addr: &Name, msg: Message, now: Ms) -> Effects {
        self.stood_still(now);
        let mut out = Vec::new();
        match msg {
            Message::Heartbeat(m) => self.on_heartbeat(from, addr, m, now, &mut out),
            Message::Prepare(m) => self.regs.on_prepare(addr, m, now, &mut out),
            Message::Promise(m) => self.regs.on_promise(from, m, now, &mut out),
            Message::Accept(m) => self.regs.on_accept(addr, m, &mut out),
            Message::Accepted(m) => self.regs.on_accepted(from, m, now, &mut out),
            Message::Commit(m) => self.regs.on_commit(&m.change, &m.replaced, &mut out),
            Message::RenewLeases(m) => self.regs.on_renew(addr, m, now, &mut out),
            Message::LeasesRenewed(m) => self.regs.on_renewed(from, m, now, &mut out),
            Message::ForwardRequest(m) => self.on_forward(addr, m, now, &mut out),
            Message::ForwardReply(m) => self.on_forwarded(m, now, &mut out),
            Message::ReleaseLeases(m) => self.regs.on_release(addr, m),
            Message::Bootstrap(m) => self.on_genesis(m, &mut out),
            Message::SlotsRequest(m) => self.on_slots_ask(addr, m, now, &mut out),
            Message::SlotsReply(m) => self.on_slots(from, m, now, &mut out),
            Message::Poll(m) => self.on_poll(addr, m, now, &mut out),
            Message::ContextDemand(m) => self.on_demand(from, m, now),
            Message::Shuffle(m) => self.membership.on_shuffle(addr, m, now, &mut out),
            _ => {}
        }
        self.finish(now, out)
    }

    fn killed(&self) -> bool {
        self.board.read::<bool>(KILL).unwrap_or(false)
    }

    /// Reads records and plans once a change: they are looked at for every agent and every pass.
    fn read_rollout(&mut self, c: &Change) {
        if let Some(s) = c.key.strip_prefix(DUTY) {
            self.records.remove(s);
            self.records.extend(packed::of_bytes(&c.value.0).map(|r| (s.to_string(), Arc::new(r))));
        } else if let Some(s) = c.key.strip_prefix(PLAN) {
            self.plans.remove(s);
            self.plans.extend(serde_json::from_slice(&c.value.0).ok().map(|p| (s.to_string(), (c.version, p))));
        }
    }

    fn finish(&mut self, now: Ms, mut out: Effects) -> Effects {
        self.follow_members(&mut out);
        self.take_moved(now, &mut out);
        self.publish(now, &mut out);
        let mut done = Effects::new();
        for e in out {
            match e {
                Effect::Answer { token, outcome } => self.route(token, outcome, now, &mut done),
                e => done.push(e),
            }
        }
        done
    }

    pub fn tick(&mut self, now: Ms) -> Effects {
        let awake = !self.stood_still(now);
        self.ticked = now;
        self.contact.observe(awake && self.hears_voters(now), now);
        let mut out = Vec::new();
        self.clock = now;
        self.membership.tick(now, &mut out);
        for n in self.membership.known(CONTROL) {
            self.regs.set_addr(&n.name, &n.addr);
        }
        if std::mem::take(&mut self.unkept) {
            out.push(Effect::Persist { rows: vec![self.regs.members_row()], then: vec![] });
        }
        self.beat(now, &mut out);
        self.introduce(now, &mut out);
        self.join(now, &mut out);
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
        self.change_voters(now, &live, &mut out);
        self.watch_loops(now, &live, &mut out);
        self.taken.retain(|_, t| now.saturating_sub(*t) < 2 * FORWARD_LIMIT);
        self.orders.retain(|_, o| o.is_awaited(now));
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
    /// lease, a kill switch left on.
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
        self.next_beat = now + HEARTBEAT_EVERY;
        let state = match (self.regs.member_epoch, self.regs.voting) {
            _ if self.going => PeerState::Stopping,
            (0, _) if !self.regs.voters.is_empty() => PeerState::Bootstrapping,
            (0, _) => PeerState::Blank,
            (_, true) if self.disk_ok => PeerState::Voter,
            _ if self.named() => PeerState::CatchingUp,
            _ if self.came_blank && now.saturating_sub(self.started) < NEWCOMER => PeerState::Joiner,
            _ => PeerState::Learner,
        };
        let zone = self.p.zone.clone();
        let b = Heartbeat {
            member_epoch: self.regs.member_epoch,
            disk_id: self.disk,
            zone,
            state,
            committed_digest: self.regs.digest(),
        };
        let fresh = || self.peers.iter().filter(|(_, p)| now.saturating_sub(p.at) <= NODE_GONE);
        let votes = |n: &Name| self.regs.voters.iter().any(|v| v.name == *n);
        let mut to: BTreeSet<Name> = self.regs.voters.iter().map(|v| self.regs.addr(v)).collect();
        // Daemons that stand by have nothing to tell each other.
        if self.regs.voting || self.regs.member_epoch == 0 {
            to.extend(self.membership.live(CONTROL).map(|n| n.addr.clone()));
            to.extend(fresh().map(|(_, p)| p.addr.clone()));
        }
        // Until it knows the voters, only its seeds lead there.
        if self.regs.member_epoch == 0 {
            to.extend(self.p.seeds.iter().cloned());
        }
        to.remove(&self.p.addr);
        out.extend(to.iter().map(|a| send(a, b.clone())));
        self.regs.followers = fresh().filter(|(n, _)| !votes(n)).map(|(_, p)| p.addr.clone()).collect();
    }
}

/// Whether a zone is evacuated, by a board.
pub fn evacuated(b: &Board, zone: &str) -> bool {
    b.read::<ZoneState>(&format!("{ZONE}{zone}")).is_some_and(|z| z.evacuated)
}
