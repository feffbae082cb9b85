//! State machine of a control daemon: consumes messages, ticks and calls with the current time and returns effects.
//!
//! [`Control`] composes the components in the submodules. Logic that spans several components is a method of `Control`
//! in the submodule of its topic.

use std::{collections::BTreeMap, sync::Arc};

use remote_calls::{Spec, ZoneState};
use wire_messages::{Message, Name, Node};

use crate::{
    Effect, Effects, Ms, Row,
    bounds::Bounds,
    effect::log_event,
    events,
    membership::{Membership, NodeRole},
    register::Registers,
    state_table::{SpecParser, StateTable},
    suspension::SuspensionDetector,
    wall_clock::WallClock,
};

mod change_feed;
mod context_placement;
mod counters;
mod directory;
mod edge_roster;
mod fleet_contact;
mod followers;
mod forwarding;
mod heartbeats;
mod leases;
mod liveness;
mod parsed_state;
mod peers;
mod replica_list;
mod rollouts;
mod state_comparison;
mod status;
mod unreachable_edges;
mod usage_log;
mod usage_reports;
mod usage_table;
mod voters;
mod writes;

pub use change_feed::{ASSUMED_BYTES_PER_MS, PUSH_ELIGIBILITY, PUSH_TIMEOUT};
pub use context_placement::CONTEXT_WRITE_INTERVAL;
pub use counters::COUNTER_RETENTION;
pub use directory::{
    Caller, FLEET_DISCOVERY_TIME, REMOTE_ROUTING_LOG_INTERVAL, Reach, Resolution, Unresolved,
};
pub use edge_roster::ROSTER_UPDATE_INTERVAL;
pub use forwarding::FORWARD_TIMEOUT;
pub use replica_list::call_rate_share;
pub use usage_log::{LATE_WINDOWS_MAX, UNACCEPTED_REPORTS_MAX, UsageLog};
pub use usage_reports::{CLOSING_MARGIN, MAX_RETRY_BACKOFF, MIN_RETRY_BACKOFF};
pub use usage_table::{USAGE_LATENCY, UsageTable};

use change_feed::ChangeFeed;
use context_placement::ContextRole;
use counters::CounterSelection;
use directory::ResolutionCounts;
use edge_roster::RosterRole;
use fleet_contact::FleetContact;
use followers::Followers;
use parsed_state::ParsedState;
use peers::Peers;
use replica_list::ReplicaList;
use rollouts::Rollouts;
use state_comparison::StateComparison;
use unreachable_edges::UnreachableEdgeReport;
use usage_reports::UsageReports;
use voters::VoterMembership;
use writes::PendingWrites;

/// Key of the operator's spec.
pub const SPEC_KEY: &str = "spec";
/// Prefix of the keys of release plans; the service name follows.
pub const PLAN_PREFIX: &str = "plan/";
/// Prefix of the keys of evacuated zones.
pub const ZONE_PREFIX: &str = "zone/";
/// Prefix of the keys of replicas whose termination was announced.
pub const DRAINING_PREFIX: &str = "leaving/";
/// Key of the kill switch.
pub const KILL_SWITCH_KEY: &str = "kill-switch";

/// Token of writes without a waiting caller.
const NO_CALLER: u64 = 0;

/// Configuration that a control daemon starts with.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// Persistent name of this daemon.
    pub name: Name,
    /// Zone that this daemon runs in.
    pub zone: Name,
    /// Address at which this daemon receives messages from other processes.
    pub addr: Name,
    /// Address of the HTTP interface.
    pub http_addr: Name,
    /// Persistent names of all control daemons, which must all be the first voters. If empty and `bootstrap` is set,
    /// the daemons at the seeds bootstrap the system.
    pub members: Vec<Name>,
    /// Addresses of the control daemons that are contacted first.
    pub seeds: Vec<Name>,
    /// Region of each zone; an unlisted zone is its own region.
    pub regions: BTreeMap<String, String>,
    /// Parser of the operator's spec.
    pub spec_parser: SpecParser,
    /// Whether the whole system starts for the first time, with empty disks.
    pub bootstrap: bool,
    /// Time bounds within which changes must take effect.
    pub bounds: Bounds,
}

impl ControlConfig {
    /// Returns this daemon's description for gossip.
    fn node(&self, incarnation: u64) -> Node {
        Node {
            name: self.name.clone(),
            role: NodeRole::Control.to_byte(),
            zone: self.zone.clone(),
            addr: self.addr.clone(),
            http_addr: self.http_addr.clone(),
            incarnation,
            heartbeat: 0,
            heartbeat_age: 0,
        }
    }

    /// Creates the registers of this daemon from the rows on its disk.
    fn registers(&self, disk_id: u64, rows: Vec<Row>, now: Ms) -> Registers {
        let lease = self.bounds.lease();
        let mut registers = Registers::new(self.name.clone(), disk_id, rows, lease, now);
        registers.set_addr(&self.name, &self.addr);
        registers.spec_parser = self.spec_parser;
        registers
    }
}

/// State machine of a control daemon.
#[derive(Clone, Debug)]
pub struct Control {
    config: ControlConfig,
    started_at: Ms,
    incarnation: u64,
    /// Registers of all keys: what this daemon accepted, owns and knows to be committed.
    pub registers: Registers,
    /// All nodes of the fleet that are known by gossip.
    pub membership: Membership,
    state_table: StateTable,
    parsed: ParsedState,
    peers: Peers,
    comparison: StateComparison,
    voter_membership: VoterMembership,
    suspension: SuspensionDetector,
    fleet_contact: FleetContact,
    /// Whether this daemon did not vote or was quorum-connected at the last tick.
    was_quorum_connected: bool,
    unreachable_edges: UnreachableEdgeReport,
    writes: PendingWrites,
    change_feed: ChangeFeed,
    followers: Followers,
    counters: CounterSelection,
    usage: UsageTable,
    wall_clock: WallClock,
    replica_list: ReplicaList,
    rollouts: Rollouts,
    /// State of the context placement roles that this daemon holds, by service.
    context_roles: BTreeMap<String, ContextRole>,
    usage_reports: UsageReports,
    /// Set while this daemon maintains the roster of edges.
    roster_role: Option<RosterRole>,
    resolution_counts: ResolutionCounts,
    /// Whether graceful shutdown has begun, in which other daemons take over this daemon's keys.
    pub stopping: bool,
    /// Whether the disk accepts writes.
    pub disk_healthy: bool,
    is_settled: bool,
}

impl Control {
    /// Creates a daemon that starts at `now`. `disk_id`: id of the data folder; `rows`: rows stored in it;
    /// `incarnation`: differs between starts.
    pub fn new(
        config: ControlConfig,
        disk_id: u64,
        rows: Vec<Row>,
        incarnation: u64,
        now: Ms,
    ) -> Self {
        let node = config.node(incarnation);
        let mut membership = Membership::new(node, config.seeds.clone(), incarnation);
        membership.set_regions(config.regions.clone());
        let mut registers = config.registers(disk_id, rows, now);
        let started_blank = registers.members.member_epoch == 0;
        // The first voters are persisted, because a first voter that restarts is no longer configured to bootstrap, nor
        // with the names of the others.
        let bootstraps = started_blank
            && registers.members.voters.is_empty()
            && config.bootstrap
            && config.members.is_empty();
        if bootstraps {
            registers.set_bootstrap_addrs(&config.seeds);
        }
        let mut control = Control {
            started_at: now,
            incarnation,
            registers,
            membership,
            state_table: StateTable::default(),
            parsed: ParsedState::new(config.spec_parser),
            peers: Peers::default(),
            comparison: StateComparison::default(),
            voter_membership: VoterMembership::new(started_blank, bootstraps, now),
            suspension: SuspensionDetector::new(now),
            fleet_contact: FleetContact::new(now),
            was_quorum_connected: true,
            unreachable_edges: UnreachableEdgeReport::default(),
            writes: PendingWrites::new(incarnation),
            change_feed: ChangeFeed::default(),
            followers: Followers::default(),
            counters: CounterSelection::default(),
            usage: UsageTable::default(),
            wall_clock: WallClock::default(),
            replica_list: ReplicaList::default(),
            rollouts: Rollouts::default(),
            context_roles: BTreeMap::new(),
            usage_reports: UsageReports::default(),
            roster_role: None,
            resolution_counts: ResolutionCounts::default(),
            stopping: false,
            disk_healthy: true,
            is_settled: false,
            config,
        };
        control.publish(now, &mut Vec::new());
        control
    }

    /// Returns the newest committed value of each key, as far as this daemon knows.
    pub fn state_table(&self) -> &StateTable {
        &self.state_table
    }

    /// Returns the operator's spec, once one is committed.
    pub fn spec(&self) -> Option<Arc<Spec>> {
        self.parsed.spec().cloned()
    }

    /// Returns whether this daemon votes, has compared its slots with a majority and has at some time known everything
    /// that it accepted to be committed.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    fn kill_switch_on(&self) -> bool {
        self.state_table
            .read::<bool>(KILL_SWITCH_KEY)
            .unwrap_or(false)
    }

    /// Handles a message from another process.
    pub fn on_message(&mut self, from: &Name, addr: &Name, message: Message, now: Ms) -> Effects {
        self.was_suspended(now);
        let mut out = Vec::new();
        match message {
            Message::Heartbeat(heartbeat) => {
                self.on_heartbeat(from, addr, heartbeat, now, &mut out);
            }
            Message::Prepare(prepare) => {
                self.registers.on_prepare(addr, prepare, now, &mut out);
            }
            Message::Promise(promise) => {
                self.registers.on_promise(from, promise, now, &mut out);
            }
            Message::Accept(accept) => self.registers.on_accept(addr, accept, &mut out),
            Message::Accepted(accepted) => {
                self.registers.on_accepted(from, accepted, now, &mut out);
            }
            Message::Commit(commit) => {
                let (change, replaced) = (&commit.change, &commit.replaced);
                self.registers.on_commit(change, replaced, &mut out);
            }
            Message::RenewLeases(renewal) => {
                self.registers.on_renew(addr, renewal, now, &mut out);
            }
            Message::LeasesRenewed(renewed) => {
                self.registers.on_renewed(from, renewed, now, &mut out);
            }
            Message::ReleaseLeases(release) => self.registers.on_release(addr, release),
            Message::ForwardRequest(request) => self.on_forward(addr, request, now, &mut out),
            Message::ForwardReply(reply) => self.on_forward_reply(reply, now, &mut out),
            Message::Bootstrap(bootstrap) => self.on_bootstrap(bootstrap, &mut out),
            Message::SlotsRequest(request) => {
                self.registers
                    .on_slots_request(addr, request, now, &mut out);
            }
            Message::SlotsReply(reply) => self.on_slots_reply(from, reply, now, &mut out),
            Message::Poll(poll) => self.on_poll(addr, poll, now, &mut out),
            Message::ContextDemand(demand) => self.on_context_demand(from, demand, now),
            Message::Shuffle(shuffle) => {
                self.membership.on_shuffle(addr, shuffle, now, &mut out);
            }
            _ => {}
        }
        self.finish(now, out)
    }

    /// Performs the work that is due at `now`.
    pub fn tick(&mut self, now: Ms) -> Effects {
        let mut out = Vec::new();
        let is_running = !self.was_suspended(now);
        self.suspension.on_tick(now);
        let is_majority_reachable = is_running && self.is_voter_majority_reachable(now);
        self.fleet_contact.observe(is_majority_reachable, now);
        self.membership.tick(now, &mut out);
        for node in self.membership.known(NodeRole::Control) {
            self.registers.set_addr(&node.name, &node.addr);
        }
        self.persist_bootstrap(&mut out);
        self.observe_quorum_connection(now, &mut out);
        self.send_heartbeats(now, &mut out);
        self.introduce(now, &mut out);
        self.check_unreachable_edges(now);
        self.request_missing_slots(now, &mut out);
        let is_live = self.live_voters(now);
        let wanted_roles = self.wanted_roles();
        self.registers.tick(now, &is_live, &wanted_roles, &mut out);
        self.select_counters(now, &is_live);
        self.change_voters(now, &is_live, &mut out);
        self.detect_stalled_loops(now, &is_live, &mut out);
        self.maintain_edge_roster(now, &mut out);
        self.writes.expire(now);
        self.retry_forwarded(now, &mut out);
        self.update_settled(&mut out);
        self.finish(now, out)
    }

    fn update_settled(&mut self, out: &mut Effects) {
        let was_settled = self.is_settled;
        let others_needed = self.registers.members.voters.len() / 2;
        let is_compared = self.comparison.compared_count() >= others_needed;
        // A write in progress does not end the settled state, because the write began in this incarnation.
        self.is_settled = self.registers.members.voting
            && (was_settled || (is_compared && self.registers.all_committed()));
        if self.is_settled && !was_settled {
            out.push(log_event(events::STATE_COMMITTED, &self.config.name, ""));
        }
    }

    /// Completes a step: publishes newly committed values and routes the outcomes of writes to their callers.
    fn finish(&mut self, now: Ms, mut out: Effects) -> Effects {
        self.adopt_committed_voters(&mut out);
        self.reroute_displaced(now, &mut out);
        self.publish(now, &mut out);
        let mut finished = Effects::new();
        for effect in out {
            match effect {
                Effect::WriteFinished { token, outcome } => {
                    self.route_outcome(token, outcome, now, &mut finished);
                }
                other => finished.push(other),
            }
        }
        finished
    }
}

/// Returns whether a zone is evacuated according to a state table.
pub fn evacuated(state_table: &StateTable, zone: &str) -> bool {
    state_table
        .read::<ZoneState>(&format!("{ZONE_PREFIX}{zone}"))
        .is_some_and(|state| state.evacuated)
}
