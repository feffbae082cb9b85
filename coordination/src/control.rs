//! A control daemon's brain: registers, beats, members, feed, agents' polls, and the duties it holds.

use std::{
    cell::OnceCell,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use remote_calls::{
    ContextRecord, EdgeStatus, GroupRecord, GroupRole, Health as HealthAnswer, KeyStatus,
    KeyVersion, MemberStatus, OrderAction, PlatformList, PlatformReplica, ReleasePlan,
    ReplicaReport, RolloutRecord, ServiceMode, ServiceSpec, Spec, Status, ZoneState, ZoneStreams,
};
use wire_messages::{
    Blob, Bootstrap, Change, ContextDemand, ForwardOutcome, ForwardReply, ForwardRequest,
    Heartbeat, Lease, List, Message, Name, Node, OutcomeCounters, PeerState, Poll, Precondition,
    SlotsReply, SlotsRequest, Update, Voter,
};

use crate::{
    Effect, Effects, Ms, Row, WriteOutcome,
    bounds::Bounds,
    compressed,
    context::{self, FleetDemand, homes_digest},
    control::{rollouts::ROLLOUT_STALLED_AFTER, voters::JOINER_WINDOW},
    effect::{log_event, send},
    events,
    exchange::host_name,
    membership::{CONTROL_ROLE, EDGE_ROLE, Membership},
    regions,
    register::{CONTEXT_PREFIX, Expect, MEMBERS_KEY, ROLLOUT_PREFIX, Registers},
    rendezvous::{rendezvous_order, rendezvous_weight},
    rollout::{RolloutInputs, RolloutLoop, initial_record},
    state_table::{SpecParser, StateTable, version_stamp},
    timing::{HEARTBEAT_INTERVAL, NODE_TIMEOUT},
    version_health::VersionHealth,
    voter_placement,
};

mod change_feed;
mod context_placement;
mod directory;
mod fleet_contact;
mod followers;
mod replica_list;
mod rollouts;
mod status;
mod voters;
mod writes;
pub use change_feed::{ASSUMED_BYTES_PER_MS, PUSH_ELIGIBILITY, PUSH_TIMEOUT};
pub use context_placement::CONTEXT_WRITE_INTERVAL;
pub use directory::{DISTANT_LOG_INTERVAL, FLEET_DISCOVERY_TIME};
pub use followers::COUNTER_RETENTION;
pub use writes::FORWARD_TIMEOUT;

use change_feed::FeedEntry;
use context_placement::ContextRole;
use directory::ResolutionCounts;
pub use directory::{Caller, Reach, Resolution, Unresolved};
use fleet_contact::FleetContact;
pub use replica_list::call_rate_share;
use writes::{ForwardedRequest, UnconditionalWrite};

/// Key of the operator's spec.
pub const SPEC_KEY: &str = "spec";
/// Keys of release plans, by service.
pub const PLAN_PREFIX: &str = "plan/";
/// Keys of evacuated zones.
pub const ZONE_PREFIX: &str = "zone/";
/// Keys of replicas that were warned.
pub const DRAINING_PREFIX: &str = "leaving/";
/// Key of the kill switch.
pub const KILL_SWITCH_KEY: &str = "kill-switch";

/// Tokens of writes that nobody waits for.
const NO_CALLER: u64 = 0;

#[derive(Clone, Debug)]
pub struct ControlConfig {
    pub name: Name,
    pub zone: Name,
    pub addr: Name,
    pub http_addr: Name,
    /// Lasting names of all control daemons; the first voters must all be these. With none named the daemons at
    /// the seeds found the system, if they are told to.
    pub members: Vec<Name>,
    pub seeds: Vec<Name>,
    /// Region of each zone; a zone that is not named is its own region.
    pub regions: BTreeMap<String, String>,
    /// How the operator's document is read.
    pub spec_parser: SpecParser,
    /// The whole system starts for the first time, with empty disks.
    pub bootstrap: bool,
    pub bounds: Bounds,
}

#[derive(Clone, Debug)]
struct Peer {
    heard_at: Ms,
    heartbeat: Heartbeat,
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
    compared_at: Ms,
}

/// What an agent last said.
#[derive(Clone, Debug)]
struct Follower {
    node: Node,
    polled_at: Ms,
    /// Since when it has spoken without a gap, and whether its last question came right behind the one before, though
    /// it had been sent long after it: both waited on the way, and what the first asked for is under way.
    in_touch_since: Ms,
    was_delayed: bool,
    poll_sent_at: u64,
    after_position: u64,
    /// Its counts are here up to this one.
    counters_through: u64,
    open_streams: OpenStreamCounts,
    versions: Vec<Change>,
    /// Up to which place of the feed values are on their way to it, and until when they may take.
    in_flight: (u64, Ms),
}

/// Streams by replica and version.
type OpenStreamCounts = BTreeMap<(Name, Name), u32>;

#[derive(Clone, Debug)]
pub struct Control {
    config: ControlConfig,
    disk_id: u64,
    /// This life began without a member epoch on disk.
    started_blank: bool,
    /// The mark of the founding is not on disk yet.
    bootstrap_unsaved: bool,
    pub registers: Registers,
    pub membership: Membership,
    state_table: StateTable,
    /// The spec as last read.
    spec: Option<Arc<Spec>>,
    started_at: Ms,
    incarnation: u64,
    feed_position: u64,
    /// The feed: each key's newest place in it. Older places are never needed again.
    feed: BTreeMap<Name, FeedEntry>,
    peers: BTreeMap<Name, Peer>,
    followers: BTreeMap<Name, Follower>,
    /// Orders that are compared with nothing, by the token under which they came.
    unconditional_writes: BTreeMap<u64, UnconditionalWrite>,
    /// Writes passed on, by the token they went under.
    forwarded: BTreeMap<u64, ForwardedRequest>,
    /// Writes that an owner may have taken before they went to another, and as which version, where that is known.
    uncertain: BTreeMap<u64, Option<u64>>,
    /// Writes taken for another daemon: where the answer goes, under which token.
    forwarded_here: BTreeMap<u64, (Name, u64)>,
    /// Writes that others passed on, and when: one that comes twice is taken once.
    forwards_seen: BTreeMap<(Name, u64), Ms>,
    last_token: u64,
    /// Whom this daemon has compared its slots with since its start.
    compared_with: BTreeSet<Name>,
    /// When each disk was last heard of.
    disk_heard_at: BTreeMap<u64, Ms>,
    /// By peer whose digest differs from this daemon's own.
    differences: BTreeMap<Name, Difference>,
    caught_up_from: BTreeSet<Name>,
    loops: BTreeMap<String, RolloutLoop>,
    /// Records and plans on the board, by service; plans with their versions.
    records: BTreeMap<String, Arc<RolloutRecord>>,
    plans: BTreeMap<String, (u64, ReleasePlan)>,
    replica_list: Option<PlatformList>,
    /// When the platform was asked for the list that stands.
    list_requested_at: Ms,
    /// When the list last differed from the one before.
    list_changed_at: Ms,
    reports: BTreeMap<String, (ReplicaReport, Ms)>,
    /// Services whose tallies are kept here and when that was last called for; how often they changed.
    selected_services: BTreeMap<Name, Ms>,
    selection: u32,
    pub stopping: bool,
    pub disk_healthy: bool,
    is_settled: bool,
    next_heartbeat: Ms,
    next_loop: Ms,
    /// When it last ticked, and until when it takes nothing that may have waited for it while it stood still.
    last_tick: Ms,
    suspended_until: Ms,
    next_join: Ms,
    /// The time of the last tick, and when the voters last changed.
    tick_time: Ms,
    voters_changed_at: Ms,
    next_slots_request: Ms,
    next_voter_change: Ms,
    /// When this daemon last ran each service's loop, or first was the one to run it; and which alerts stand.
    loop_ran_at: BTreeMap<String, Ms>,
    stalled_loops: BTreeSet<String>,
    /// Writes of rollout records under way, by service.
    record_writes: BTreeMap<u64, String>,
    /// By service whose copies of shared context are decided here.
    context_roles: BTreeMap<String, ContextRole>,
    fleet_contact: FleetContact,
    resolution_counts: ResolutionCounts,
}

impl Control {
    /// `disk`: the data folder's own number; `rows`: what it held; `born`: differs between lives.
    pub fn new(p: ControlConfig, disk: u64, rows: Vec<Row>, born: u64, now: Ms) -> Self {
        let me = Node {
            name: p.name.clone(),
            role: CONTROL_ROLE,
            zone: p.zone.clone(),
            addr: p.addr.clone(),
            http_addr: p.http_addr.clone(),
            incarnation: born,
            heartbeat: 0,
            heartbeat_age: 0,
        };
        let mut membership = Membership::new(me, p.seeds.clone(), born);
        membership.set_regions(p.regions.clone());
        let mut regs = Registers::new(p.name.clone(), rows, p.bounds.lease(), now);
        regs.set_addr(&p.name, &p.addr);
        regs.spec_parser = p.spec_parser;
        // Kept on disk: a founder that is started again is no longer told that it founds, nor with whom.
        let marked =
            regs.member_epoch == 0 && regs.voters.is_empty() && p.bootstrap && p.members.is_empty();
        if marked {
            regs.bootstrap_with(&p.seeds);
        }
        let mut c = Control {
            config: p,
            disk_id: disk,
            started_blank: regs.member_epoch == 0,
            bootstrap_unsaved: marked,
            registers: regs,
            membership,
            state_table: StateTable::default(),
            spec: None,
            started_at: now,
            incarnation: born,
            feed_position: 0,
            feed: BTreeMap::new(),
            peers: BTreeMap::new(),
            followers: BTreeMap::new(),
            unconditional_writes: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            uncertain: BTreeMap::new(),
            forwarded_here: BTreeMap::new(),
            forwards_seen: BTreeMap::new(),
            last_token: born << 20,
            compared_with: BTreeSet::new(),
            disk_heard_at: BTreeMap::new(),
            differences: BTreeMap::new(),
            caught_up_from: BTreeSet::new(),
            loops: BTreeMap::new(),
            records: BTreeMap::new(),
            plans: BTreeMap::new(),
            replica_list: None,
            list_requested_at: 0,
            list_changed_at: 0,
            reports: BTreeMap::new(),
            selected_services: BTreeMap::new(),
            selection: 0,
            stopping: false,
            disk_healthy: true,
            is_settled: false,
            next_heartbeat: 0,
            next_loop: 0,
            last_tick: now,
            suspended_until: 0,
            next_join: 0,
            tick_time: now,
            voters_changed_at: now,
            next_slots_request: 0,
            next_voter_change: 0,
            loop_ran_at: BTreeMap::new(),
            stalled_loops: BTreeSet::new(),
            record_writes: BTreeMap::new(),
            context_roles: BTreeMap::new(),
            fleet_contact: FleetContact::new(now),
            resolution_counts: ResolutionCounts::default(),
        };
        c.publish(now, &mut Vec::new());
        c
    }

    pub fn state_table(&self) -> &StateTable {
        &self.state_table
    }

    pub fn spec(&self) -> Option<Arc<Spec>> {
        self.spec.clone()
    }

    /// Reads the operator's document: once a change, as it may be long.
    fn read_spec(&mut self) {
        let Some(c) = self
            .state_table
            .get(SPEC_KEY)
            .filter(|c| !c.value.0.is_empty())
        else {
            return;
        };
        self.spec = (self.config.spec_parser)(&c.value.0).map(Arc::new);
    }

    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    pub fn on_message(&mut self, from: &Name, addr: &Name, msg: Message, now: Ms) -> Effects {
        self.was_suspended(now);
        let mut out = Vec::new();
        match msg {
            Message::Heartbeat(m) => self.on_heartbeat(from, addr, m, now, &mut out),
            Message::Prepare(m) => self.registers.on_prepare(addr, m, now, &mut out),
            Message::Promise(m) => self.registers.on_promise(from, m, now, &mut out),
            Message::Accept(m) => self.registers.on_accept(addr, m, &mut out),
            Message::Accepted(m) => self.registers.on_accepted(from, m, now, &mut out),
            Message::Commit(m) => self.registers.on_commit(&m.change, &m.replaced, &mut out),
            Message::RenewLeases(m) => self.registers.on_renew(addr, m, now, &mut out),
            Message::LeasesRenewed(m) => self.registers.on_renewed(from, m, now, &mut out),
            Message::ForwardRequest(m) => self.on_forward(addr, m, now, &mut out),
            Message::ForwardReply(m) => self.on_forward_reply(m, now, &mut out),
            Message::ReleaseLeases(m) => self.registers.on_release(addr, m),
            Message::Bootstrap(m) => self.on_bootstrap(m, &mut out),
            Message::SlotsRequest(m) => self.on_slots_request(addr, m, now, &mut out),
            Message::SlotsReply(m) => self.on_slots_reply(from, m, now, &mut out),
            Message::Poll(m) => self.on_poll(addr, m, now, &mut out),
            Message::ContextDemand(m) => self.on_demand(from, m, now),
            Message::Shuffle(m) => self.membership.on_shuffle(addr, m, now, &mut out),
            _ => {}
        }
        self.finish(now, out)
    }

    fn kill_switch_on(&self) -> bool {
        self.state_table
            .read::<bool>(KILL_SWITCH_KEY)
            .unwrap_or(false)
    }

    /// Reads records and plans once a change: they are looked at for every agent and every pass.
    fn parse_rollout(&mut self, c: &Change) {
        if let Some(s) = c.key.strip_prefix(ROLLOUT_PREFIX) {
            self.records.remove(s);
            self.records
                .extend(compressed::decode(&c.value.0).map(|r| (s.to_string(), Arc::new(r))));
        } else if let Some(s) = c.key.strip_prefix(PLAN_PREFIX) {
            self.plans.remove(s);
            self.plans.extend(
                serde_json::from_slice(&c.value.0)
                    .ok()
                    .map(|p| (s.to_string(), (c.version, p))),
            );
        }
    }

    fn finish(&mut self, now: Ms, mut out: Effects) -> Effects {
        self.adopt_committed_voters(&mut out);
        self.reroute_displaced(now, &mut out);
        self.publish(now, &mut out);
        let mut done = Effects::new();
        for e in out {
            match e {
                Effect::WriteFinished { token, outcome } => {
                    self.route_outcome(token, outcome, now, &mut done)
                }
                e => done.push(e),
            }
        }
        done
    }

    pub fn tick(&mut self, now: Ms) -> Effects {
        let awake = !self.was_suspended(now);
        self.last_tick = now;
        self.fleet_contact
            .observe(awake && self.hears_voter_majority(now), now);
        let mut out = Vec::new();
        self.tick_time = now;
        self.membership.tick(now, &mut out);
        for n in self.membership.known(CONTROL_ROLE) {
            self.registers.set_addr(&n.name, &n.addr);
        }
        if std::mem::take(&mut self.bootstrap_unsaved) {
            out.push(Effect::Persist {
                rows: vec![self.registers.members_row()],
                then: vec![],
            });
        }
        self.send_heartbeats(now, &mut out);
        self.introduce(now, &mut out);
        self.request_missing_slots(now, &mut out);
        let wanted: Vec<Name> = match &self.spec {
            // Copies of shared context come with the duty, where they are switched on.
            Some(s) => s
                .services
                .iter()
                .flat_map(|v| {
                    let on = v.context.as_ref().is_some_and(|c| c.on);
                    [
                        Some(format!("{ROLLOUT_PREFIX}{}", v.name)),
                        on.then(|| format!("{CONTEXT_PREFIX}{}", v.name)),
                    ]
                })
                .flatten()
                .map(Name)
                .collect(),
            None => vec![],
        };
        let live = self.live_voters(now);
        self.registers.tick(now, &live, &wanted, &mut out);
        self.select_services(now, &live);
        self.change_voters(now, &live, &mut out);
        self.detect_stalled_loops(now, &live, &mut out);
        self.forwards_seen
            .retain(|_, t| now.saturating_sub(*t) < 2 * FORWARD_TIMEOUT);
        self.unconditional_writes.retain(|_, o| o.is_awaited(now));
        self.retry_forwarded(now, &mut out);
        let need = self.registers.voters.len() / 2;
        let was = self.is_settled;
        self.is_settled = self.registers.voting
            && self.compared_with.len() >= need
            && self.registers.all_committed();
        // Once compared, a write under way does not unsettle: it is this life's own news.
        self.is_settled |= was && self.registers.voting;
        if self.is_settled && !was {
            out.push(log_event(events::STATE_COMMITTED, &self.config.name, ""));
        }
        self.finish(now, out)
    }

    /// Raises the alert when a loop that this daemon should run has not run for long: no platform list, no
    /// lease, a kill switch left on.
    fn detect_stalled_loops(&mut self, now: Ms, live: &dyn Fn(&str) -> bool, out: &mut Effects) {
        let spec = self.spec();
        for s in spec.iter().flat_map(|s| &s.services) {
            let mine = self
                .registers
                .preferred_owner(&format!("{ROLLOUT_PREFIX}{}", s.name), live)
                .is_some_and(|v| v.name == self.config.name);
            if !mine {
                self.loop_ran_at.remove(&s.name);
                self.stalled_loops.remove(&s.name);
                continue;
            }
            let at = *self.loop_ran_at.entry(s.name.clone()).or_insert(now);
            if now.saturating_sub(at) > ROLLOUT_STALLED_AFTER
                && self.stalled_loops.insert(s.name.clone())
            {
                out.push(log_event(
                    events::ROLLOUT_LOOP_STALLED,
                    &s.name,
                    format!("{} ms", now - at),
                ));
            }
        }
    }

    fn send_heartbeats(&mut self, now: Ms, out: &mut Effects) {
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let state = match (self.registers.member_epoch, self.registers.voting) {
            _ if self.stopping => PeerState::Stopping,
            (0, _) if !self.registers.voters.is_empty() => PeerState::Bootstrapping,
            (0, _) => PeerState::Blank,
            (_, true) if self.disk_healthy => PeerState::Voter,
            _ if self.is_listed_voter() => PeerState::CatchingUp,
            _ if self.started_blank && now.saturating_sub(self.started_at) < JOINER_WINDOW => {
                PeerState::Joiner
            }
            _ => PeerState::Learner,
        };
        let zone = self.config.zone.clone();
        let b = Heartbeat {
            member_epoch: self.registers.member_epoch,
            disk_id: self.disk_id,
            zone,
            state,
            committed_digest: self.registers.committed_digest(),
        };
        let fresh = || {
            self.peers
                .iter()
                .filter(|(_, p)| now.saturating_sub(p.heard_at) <= NODE_TIMEOUT)
        };
        let votes = |n: &Name| self.registers.voters.iter().any(|v| v.name == *n);
        let mut to: BTreeSet<Name> = self
            .registers
            .voters
            .iter()
            .map(|v| self.registers.addr(v))
            .collect();
        // Daemons that stand by have nothing to tell each other.
        if self.registers.voting || self.registers.member_epoch == 0 {
            to.extend(self.membership.live(CONTROL_ROLE).map(|n| n.addr.clone()));
            to.extend(fresh().map(|(_, p)| p.addr.clone()));
        }
        // Until it knows the voters, only its seeds lead there.
        if self.registers.member_epoch == 0 {
            to.extend(self.config.seeds.iter().cloned());
        }
        to.remove(&self.config.addr);
        out.extend(to.iter().map(|a| send(a, b.clone())));
        self.registers.followers = fresh()
            .filter(|(n, _)| !votes(n))
            .map(|(_, p)| p.addr.clone())
            .collect();
    }
}

/// Whether a zone is evacuated, by a board.
pub fn evacuated(b: &StateTable, zone: &str) -> bool {
    b.read::<ZoneState>(&format!("{ZONE_PREFIX}{zone}"))
        .is_some_and(|z| z.evacuated)
}
