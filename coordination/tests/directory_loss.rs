//! Tests how long the directory returns lost edges and agents report them to their proxies, for several fleet sizes and
//! shares of lost edges, and whether either omits a live edge. Prints one row per case; `SIZES=22,44,88,176,352` runs
//! other sizes (`-- --nocapture`).

use std::collections::{BTreeMap, BTreeSet};

use coordination::{
    Effect, Effects, Ms, Row,
    control::{Caller, Control, ControlConfig, FLEET_DISCOVERY_TIME},
    edge_agent::EdgeAgent,
    timing::TICK_INTERVAL,
    wire::{Message, Name, Node, ProxyReport},
};
use googletest::prelude::*;

/// Two zones in each of three regions.
const ZONES: [(&str, &str); 6] = [
    ("a1", "a"),
    ("b1", "b"),
    ("c1", "c"),
    ("a2", "a"),
    ("b2", "b"),
    ("c2", "c"),
];
const CONTROLS: usize = 5;
/// The region that is lost or partitioned.
const LOST_REGION: &str = "c";
/// Number of edges of a large deployment, which has a control daemon in each zone.
const LARGE_FLEET: usize = 88;
const CONTROLS_IN_EACH_ZONE: usize = 6;
/// Margin in ms: a daemon, in contact or not, returns a lost edge for at most the contact bound plus this.
const NAMED_BEYOND_CONTACT: Ms = 1_000;
/// Network latency within a region and between regions, in ms.
const LOCAL_LATENCY: Ms = 1;
const REMOTE_LATENCY: Ms = 35;
/// Interval between reports of a proxy to its agent, in ms.
const PROXY_REPORT_INTERVAL: Ms = 200;
/// Time after which all nodes know each other, even in a large fleet, in ms.
const DISCOVERY_TIME: Ms = 25_000;
/// Delay from the start of the processes to the start of traffic in a recorded day, in ms; edges are lost half a second
/// later.
const TRAFFIC_START: Ms = 14_000;
/// Time for which each daemon is queried after the loss, in ms.
const OBSERVATION_TIME: Ms = 20_000;
/// Interval between queries, in ms.
const OBSERVATION_INTERVAL: Ms = 100;
/// Bound on the time for which a daemon in contact, or an agent, still lists a lost edge, in ms after its last message.
const MAX_NAMED_AFTER_LOSS: Ms = 3_000;
/// Interval between table updates from an agent to its proxy, in ms.
const PROXY_UPDATE_INTERVAL: Ms = 300;

/// Fault of one control daemon at the time of the loss.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ControlFault {
    None,
    /// Killed, and restarted half a second later.
    Restarted,
    /// Lost permanently; an empty machine with a new name and address is added a second later.
    Replaced,
    /// Partitioned from all other processes for eight seconds.
    Cut,
}

impl ControlFault {
    /// Returns the time from the loss until the daemon runs and is connected again, in ms.
    fn recovers_after(self) -> Ms {
        match self {
            ControlFault::None => 0,
            ControlFault::Restarted => 500,
            ControlFault::Replaced => 1_000,
            ControlFault::Cut => 8_000,
        }
    }
}

/// Direction of the messages that a partition of region `c` from the others drops.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RegionCut {
    ToRegion,
    FromRegion,
    BothWays,
}

impl RegionCut {
    fn drops(self, from: &str, to: &str) -> bool {
        let enters = from != LOST_REGION && to == LOST_REGION;
        let leaves = from == LOST_REGION && to != LOST_REGION;
        match self {
            RegionCut::ToRegion => enters,
            RegionCut::FromRegion => leaves,
            RegionCut::BothWays => enters || leaves,
        }
    }
}

struct ControlHost {
    config: ControlConfig,
    control_state: Option<Control>,
    rows: BTreeMap<String, Row>,
}

struct EdgeHost {
    agent: EdgeAgent,
    zone: usize,
    next_tick: Ms,
}

struct Deployment {
    now: Ms,
    controls: BTreeMap<Name, ControlHost>,
    edges: BTreeMap<Name, EdgeHost>,
    gone: BTreeSet<Name>,
    cut: Option<Name>,
    region_cut: Option<RegionCut>,
    /// Suspended processes.
    suspended: BTreeSet<Name>,
    /// Messages (receiver, sender, message) that wait for suspended processes.
    waiting: Vec<(Name, Name, Message)>,
    queue: BTreeMap<(Ms, u64), (Name, Name, Message)>,
    sequence: u64,
    rng: fastrand::Rng,
    /// Edges in the last table update from each agent to its proxy.
    proxy_tables: BTreeMap<Name, BTreeSet<Name>>,
    /// Position of that update, which the proxy reports.
    proxy_positions: BTreeMap<Name, TablePosition>,
}

/// The agent incarnation and position up to which a proxy has all changes.
#[derive(Clone, Copy, Debug, Default)]
struct TablePosition {
    source: u64,
    through: u64,
}

fn row_key(row: &Row) -> String {
    match row {
        Row::Slot(slot) => slot.key.to_string(),
        Row::Members { .. } => "\0members".into(),
    }
}

impl Deployment {
    fn new(edges: usize, seed: u64) -> Deployment {
        Deployment::with_controls(CONTROLS, edges, seed)
    }

    fn with_controls(controls: usize, edges: usize, seed: u64) -> Deployment {
        let mut deployment = Deployment {
            now: 1_000,
            controls: BTreeMap::new(),
            edges: BTreeMap::new(),
            gone: BTreeSet::new(),
            cut: None,
            region_cut: None,
            suspended: BTreeSet::new(),
            waiting: vec![],
            queue: BTreeMap::new(),
            sequence: 0,
            rng: fastrand::Rng::with_seed(seed),
            proxy_tables: BTreeMap::new(),
            proxy_positions: BTreeMap::new(),
        };
        for i in 0..controls {
            deployment.add_control(i, true);
        }
        for i in 0..edges {
            let (name, zone) = (Name::from(format!("e{i}").as_str()), i % ZONES.len());
            let node = Node {
                name: name.clone(),
                addr: name.clone(),
                zone: ZONES[zone].0.into(),
                incarnation: 1,
                ..Node::default()
            };
            let mut agent = EdgeAgent::new(node, seeds(), deployment.rng.u64(..), deployment.now);
            agent.set_regions(regions());
            agent.set_serve_when_partitioned(true);
            let next_tick = deployment.now + deployment.rng.u64(..TICK_INTERVAL);
            deployment.edges.insert(
                name,
                EdgeHost {
                    agent,
                    zone,
                    next_tick,
                },
            );
        }
        deployment
    }

    fn add_control(&mut self, i: usize, bootstrap: bool) {
        let name = Name::from(format!("c{i}").as_str());
        let config = ControlConfig {
            name: name.clone(),
            zone: ZONES[i % ZONES.len()].0.into(),
            addr: name.clone(),
            http_addr: format!("h-{name}").as_str().into(),
            members: vec![],
            seeds: seeds(),
            bootstrap,
            regions: regions(),
            spec_parser: coordination::state_table::parse_native_spec,
            bounds: Default::default(),
        };
        self.controls.insert(
            name.clone(),
            ControlHost {
                config,
                control_state: None,
                rows: BTreeMap::new(),
            },
        );
        self.start(&name);
    }

    fn start(&mut self, name: &Name) {
        let now = self.now;
        let Some(host) = self.controls.get_mut(name) else {
            return;
        };
        let disk = 1 + host.config.name.bytes().map(u64::from).sum::<u64>();
        host.control_state = Some(Control::new(
            host.config.clone(),
            disk,
            host.rows.values().cloned().collect(),
            now,
            now,
        ));
    }

    fn region(&self, name: &Name) -> &str {
        let zone = match self.edges.get(name) {
            Some(edge) => ZONES[edge.zone].0,
            None => self.controls.get(name).map_or("", |c| &c.config.zone),
        };
        zone.get(..1).unwrap_or_default()
    }

    fn carry_out(&mut self, from: &Name, effects: Effects) {
        for effect in effects {
            match effect {
                Effect::Send {
                    msg: Message::TableUpdate(update),
                    ..
                } => {
                    let edges = update.nodes.iter().map(|node| node.name.clone());
                    self.proxy_tables.insert(from.clone(), edges.collect());
                    let position = TablePosition {
                        source: update.agent_incarnation,
                        through: update.through_position,
                    };
                    self.proxy_positions.insert(from.clone(), position);
                }
                Effect::Send { to, msg } => {
                    let is_cut = to != *from
                        && self
                            .cut
                            .as_ref()
                            .is_some_and(|cut| to == *cut || from == cut);
                    let regions = (self.region(from), self.region(&to));
                    let is_region_cut = self
                        .region_cut
                        .is_some_and(|cut| cut.drops(regions.0, regions.1));
                    if is_cut || is_region_cut || self.gone.contains(&to) {
                        continue;
                    }
                    let latency = if regions.0 == regions.1 {
                        LOCAL_LATENCY
                    } else {
                        REMOTE_LATENCY
                    };
                    self.sequence += 1;
                    self.queue
                        .insert((self.now + latency, self.sequence), (to, from.clone(), msg));
                }
                Effect::Persist { rows, then } => {
                    if let Some(host) = self.controls.get_mut(from) {
                        host.rows.extend(rows.into_iter().map(|r| (row_key(&r), r)));
                    }
                    self.carry_out(from, then);
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, to: &Name, from: &Name, msg: Message) {
        if self.suspended.contains(to) {
            return self.waiting.push((to.clone(), from.clone(), msg));
        }
        let now = self.now;
        let out = match (
            self.edges.get_mut(to),
            self.controls
                .get_mut(to)
                .and_then(|c| c.control_state.as_mut()),
        ) {
            (Some(edge), _) if !self.gone.contains(to) => {
                edge.agent.on_message(from, from, msg, now)
            }
            (None, Some(control)) => control.on_message(from, from, msg, now),
            _ => return,
        };
        self.carry_out(to, out);
    }

    fn tick_edge(&mut self, name: &Name) {
        let now = self.now;
        let Some(edge) = self.edges.get_mut(name) else {
            return;
        };
        edge.next_tick = now + TICK_INTERVAL;
        let mut out = vec![];
        if now % PROXY_REPORT_INTERVAL < TICK_INTERVAL {
            let position = self.proxy_positions.get(name).copied().unwrap_or_default();
            let report = ProxyReport {
                incarnation: 1,
                http_addr: format!("h-{name}").as_str().into(),
                table_source: position.source,
                table_position: position.through,
                ..ProxyReport::default()
            };
            let proxy: Name = format!("p-{name}").into();
            out = edge
                .agent
                .on_message(&proxy, &proxy, Message::from(report), now);
        }
        out.extend(edge.agent.tick(now));
        self.carry_out(name, out);
    }

    fn run(&mut self, ms: Ms) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
                let (to, from, msg) = entry.remove();
                self.deliver(&to, &from, msg);
            }
            let due = |(name, e): &(&Name, &EdgeHost)| {
                e.next_tick <= self.now
                    && !self.gone.contains(*name)
                    && !self.suspended.contains(*name)
            };
            for name in self
                .edges
                .iter()
                .filter(due)
                .map(|e| e.0.clone())
                .collect::<Vec<_>>()
            {
                self.tick_edge(&name);
            }
            if self.now.is_multiple_of(TICK_INTERVAL) {
                let now = self.now;
                let running = self
                    .controls
                    .keys()
                    .filter(|name| !self.suspended.contains(*name));
                for name in running.cloned().collect::<Vec<_>>() {
                    let control_state = self
                        .controls
                        .get_mut(&name)
                        .and_then(|c| c.control_state.as_mut());
                    let out = control_state.map(|c| c.tick(now)).unwrap_or_default();
                    self.carry_out(&name, out);
                }
            }
        }
    }

    /// Resumes the suspended processes and delivers all their waiting messages at once.
    fn resume(&mut self) {
        self.suspended.clear();
        for (to, from, msg) in std::mem::take(&mut self.waiting) {
            self.deliver(&to, &from, msg);
        }
    }

    /// Returns the edges that a daemon returns to callers of all zones, or `None` while its process is stopped.
    fn named_edges(&mut self, control: &Name) -> Option<BTreeSet<Name>> {
        let now = self.now;
        let control_state = self.controls.get_mut(control)?.control_state.as_mut()?;
        let answers = ZONES.map(|(zone, region)| {
            control_state
                .resolve(
                    Caller {
                        host: "host",
                        zone,
                        region,
                    },
                    now,
                )
                .0
        });
        let named_edges = answers.into_iter().flatten().flat_map(|r| r.addresses);
        Some(
            named_edges
                .map(|a| Name::from(a.trim_start_matches("h-")))
                .collect(),
        )
    }

    fn lose_edges(&mut self, percent: usize) {
        let all: Vec<Name> = self.edges.keys().cloned().collect();
        let lost = self
            .rng
            .choose_multiple(all, self.edges.len() * percent / 100);
        self.gone = lost.into_iter().collect();
    }
}

fn seeds() -> Vec<Name> {
    ["c0", "c1", "c2"].map(Name::from).to_vec()
}

fn regions() -> BTreeMap<String, String> {
    ZONES
        .iter()
        .map(|(zone, region)| (zone.to_string(), region.to_string()))
        .collect()
}

/// Observations of the directory after a loss.
#[derive(Debug, Default)]
struct Observed {
    /// Time from the loss to the last answer with a lost edge, in ms, for daemons that were in contact all the time.
    named_for: Ms,
    /// The same for the faulty daemon, once it has been in contact for as long as the serving rules require.
    faulty_named_for: Ms,
    /// Live edges omitted, summed over all answers.
    left_out: usize,
    /// The same for the faulty daemon, once it has discovered the fleet.
    faulty_left_out: usize,
    /// Answers without any edge from the faulty daemon, once it has discovered the fleet.
    faulty_empty: usize,
}

fn run_case(edges: usize, percent: usize, fault: ControlFault) -> Observed {
    let mut deployment = Deployment::new(edges, 7);
    deployment.run(DISCOVERY_TIME);
    let mut faulty = Name::from("c1");
    deployment.lose_edges(percent);
    let lost_at = deployment.now;
    let live: BTreeSet<Name> = deployment
        .edges
        .keys()
        .filter(|n| !deployment.gone.contains(*n))
        .cloned()
        .collect();
    match fault {
        ControlFault::None => {}
        ControlFault::Cut => deployment.cut = Some(faulty.clone()),
        ControlFault::Restarted | ControlFault::Replaced => {
            deployment.controls.get_mut(&faulty).unwrap().control_state = None
        }
    }
    let mut observed = Observed::default();
    while deployment.now < lost_at + OBSERVATION_TIME {
        deployment.run(OBSERVATION_INTERVAL);
        let after = deployment.now - lost_at;
        if after == fault.recovers_after() {
            match fault {
                ControlFault::None => {}
                ControlFault::Restarted => deployment.start(&faulty),
                ControlFault::Replaced => {
                    deployment.controls.remove(&faulty);
                    deployment.add_control(CONTROLS, false);
                    faulty = Name::from(format!("c{CONTROLS}").as_str());
                }
                ControlFault::Cut => deployment.cut = None,
            }
        }
        let since = after.saturating_sub(fault.recovers_after());
        for name in deployment.controls.keys().cloned().collect::<Vec<_>>() {
            let Some(named_edges) = deployment.named_edges(&name) else {
                continue;
            };
            let names_gone = named_edges.iter().any(|n| deployment.gone.contains(n));
            let left_out = live.difference(&named_edges).count();
            if name == faulty && fault != ControlFault::None {
                let contact = deployment.controls[&name].config.bounds.contact;
                if names_gone && since >= contact {
                    observed.faulty_named_for = after;
                }
                if since >= 2 * FLEET_DISCOVERY_TIME {
                    observed.faulty_left_out += left_out;
                    observed.faulty_empty += usize::from(named_edges.is_empty());
                }
                continue;
            }
            observed.left_out += left_out;
            if names_gone {
                observed.named_for = after;
            }
        }
    }
    println!("{edges:4} edges, {percent:2}% lost, {fault:?}: {observed:?}");
    observed
}

fn sizes(usual: &[usize]) -> Vec<usize> {
    let requested_sizes = std::env::var("SIZES").ok();
    requested_sizes.map_or(usual.to_vec(), |s| {
        s.split(',')
            .map(|n| n.parse().expect("invalid SIZES"))
            .collect()
    })
}

#[gtest]
fn lost_edge_is_named_for_at_most_3_s_and_no_live_one_is_left_out() {
    for edges in sizes(&[22, 88]) {
        for percent in [10, 30, 70] {
            let observed = run_case(edges, percent, ControlFault::None);
            expect_that!(
                observed.named_for,
                le(MAX_NAMED_AFTER_LOSS),
                "{edges} edges, {percent}% lost"
            );
            expect_that!(observed.left_out, eq(0), "{edges} edges, {percent}% lost");
        }
    }
}

#[gtest]
fn faulty_daemon_names_no_lost_edge_once_in_contact_and_leaves_no_live_one_out() {
    for edges in sizes(&[22, 88]) {
        for percent in [30, 70] {
            for fault in [
                ControlFault::Restarted,
                ControlFault::Replaced,
                ControlFault::Cut,
            ] {
                let observed = run_case(edges, percent, fault);
                let case = format!("{edges} edges, {percent}% lost, {fault:?}");
                expect_that!(observed.named_for, le(MAX_NAMED_AFTER_LOSS), "{case}");
                expect_that!(observed.left_out, eq(0), "{case}");
                expect_that!(observed.faulty_named_for, eq(0), "{case}");
                expect_that!(observed.faulty_left_out, eq(0), "{case}");
                expect_that!(observed.faulty_empty, eq(0), "{case}");
            }
        }
    }
}

/// Messages that waited while a daemon was suspended may be as old as the suspension: those of an edge that was lost
/// meanwhile do not show that it is live.
#[gtest]
fn resumed_daemon_names_no_edge_that_was_lost_early_in_its_suspension() {
    const SUSPENSIONS: [Ms; 2] = [3_400, 3_200];
    for edges in sizes(&[22, 88]) {
        let mut deployment = Deployment::new(edges, 7);
        deployment.run(DISCOVERY_TIME);
        let resumed = Name::from("c1");
        deployment.suspended.insert(resumed.clone());
        deployment.run(300);
        deployment.lose_edges(50);
        deployment.run(SUSPENSIONS[0] - 300);
        // Runs for too short a time for its polls to be answered.
        deployment.resume();
        deployment.run(2);
        deployment.suspended.insert(resumed.clone());
        deployment.run(SUSPENSIONS[1]);
        deployment.resume();
        let mut named_lost = 0;
        let mut empty_for = 0;
        for after in (0..OBSERVATION_TIME).step_by(OBSERVATION_INTERVAL as usize) {
            let named_edges = deployment.named_edges(&resumed).unwrap_or_default();
            named_lost += named_edges.intersection(&deployment.gone).count();
            if named_edges.is_empty() {
                empty_for = after + OBSERVATION_INTERVAL;
            }
            deployment.run(OBSERVATION_INTERVAL);
        }
        println!(
            "{edges:4} edges, resumed: returned {named_lost} lost edges, none for {empty_for} ms"
        );
        expect_that!(named_lost, eq(0), "{edges} edges");
        expect_that!(empty_for, le(1_500), "{edges} edges");
    }
}

/// Observations of the agents after a loss.
#[derive(Debug, Default)]
struct ObservedAgents {
    /// Time from the loss until no proxy of a live agent has a lost edge in its last table update, in ms.
    told_for: Ms,
    /// Live edges omitted by live agents, summed over all queries.
    left_out: usize,
}

fn run_agents_case(edges: usize, percent: usize) -> ObservedAgents {
    let mut deployment = Deployment::new(edges, 7);
    deployment.run(DISCOVERY_TIME);
    deployment.lose_edges(percent);
    let lost_at = deployment.now;
    let all: BTreeSet<Name> = deployment.edges.keys().cloned().collect();
    let live: BTreeSet<Name> = all.difference(&deployment.gone).cloned().collect();
    let mut observed = ObservedAgents::default();
    while deployment.now < lost_at + OBSERVATION_TIME {
        deployment.run(OBSERVATION_INTERVAL);
        for agent in &live {
            let listed = &deployment.proxy_tables[agent];
            observed.left_out += live.difference(listed).count();
            if !listed.is_disjoint(&deployment.gone) {
                observed.told_for = deployment.now - lost_at;
            }
        }
    }
    println!("{edges:4} edges, {percent:2}% lost, agents: {observed:?}");
    observed
}

#[gtest]
fn lost_edge_counts_as_live_at_no_agent_for_over_3_s_and_no_live_one_is_left_out() {
    for edges in sizes(&[22, 88]) {
        for percent in [10, 30, 70] {
            let observed = run_agents_case(edges, percent);
            expect_that!(
                observed.told_for,
                le(MAX_NAMED_AFTER_LOSS + PROXY_UPDATE_INTERVAL),
                "{edges} edges, {percent}% lost"
            );
            expect_that!(observed.left_out, eq(0), "{edges} edges, {percent}% lost");
        }
    }
}

/// Times of the losses, in ms: the first from the start of the processes, the others each from the one before.
#[derive(Clone, Copy, Debug)]
struct LossTimes {
    /// Time at which a quarter of the edges is lost, across all zones.
    edges_at: Ms,
    /// Delay until the control daemons of a region and most of its edges are lost.
    region_after: Ms,
    /// Delay until the lost control daemons restart.
    back_after: Ms,
}

impl Deployment {
    fn lose_region(&mut self) {
        let lost_controls: Vec<Name> = self
            .controls
            .keys()
            .filter(|name| self.region(name) == LOST_REGION)
            .cloned()
            .collect();
        for name in lost_controls {
            if let Some(host) = self.controls.get_mut(&name) {
                host.control_state = None;
            }
        }
        let mut lost_edges: Vec<Name> = self
            .edges
            .keys()
            .filter(|name| self.region(name) == LOST_REGION)
            .cloned()
            .collect();
        // Keeps a few edges, so that the directory has edges to return.
        lost_edges.truncate(lost_edges.len() * 3 / 4);
        self.gone.extend(lost_edges);
    }

    fn start_lost_controls(&mut self) {
        let lost: Vec<Name> = self
            .controls
            .iter()
            .filter(|(_, host)| host.control_state.is_none())
            .map(|(name, _)| name.clone())
            .collect();
        for name in lost {
            self.start(&name);
        }
    }

    /// Returns the longest time since the loss of an edge that a running daemon still returns, and that daemon.
    /// `lost_at` is the time of loss of each edge.
    fn longest_named(&mut self, lost_at: &BTreeMap<Name, Ms>) -> Option<(Ms, Name)> {
        let running = |name: &&Name| !self.suspended.contains(*name);
        let names: Vec<Name> = self.controls.keys().filter(running).cloned().collect();
        let mut longest = None;
        for control in names {
            let named_edges = self.named_edges(&control).unwrap_or_default();
            let named_for = named_edges
                .iter()
                .filter_map(|edge| lost_at.get(edge))
                .map(|at| self.now - at)
                .max();
            longest = longest.max(named_for.map(|named_for| (named_for, control)));
        }
        longest
    }

    /// Runs for `ms`; returns the longest time for which a lost edge was returned, and by which daemon.
    fn observe_named(&mut self, ms: Ms, lost_at: &mut BTreeMap<Name, Ms>) -> Option<(Ms, Name)> {
        for lost in &self.gone {
            lost_at.entry(lost.clone()).or_insert(self.now);
        }
        let end = self.now + ms;
        let mut longest = None;
        while self.now < end {
            self.run(OBSERVATION_INTERVAL);
            longest = longest.max(self.longest_named(lost_at));
        }
        longest
    }
}

/// Loses edges and then a region, whose control daemons restart with their disks; returns the longest time for which
/// any daemon returned a lost edge.
fn longest_named_with_region_loss(controls: usize, times: LossTimes) -> Option<(Ms, Name)> {
    let mut deployment = Deployment::with_controls(controls, LARGE_FLEET, 7);
    deployment.run(times.edges_at);
    deployment.lose_edges(25);
    let mut lost_at = BTreeMap::new();
    let after_edges = deployment.observe_named(times.region_after, &mut lost_at);
    deployment.lose_region();
    let after_region = deployment.observe_named(times.back_after, &mut lost_at);
    deployment.start_lost_controls();
    let after_return = deployment.observe_named(OBSERVATION_TIME, &mut lost_at);
    let longest = after_edges.max(after_region).max(after_return);
    println!("{controls} controls, {times:?}: {longest:?}");
    longest
}

fn contact_bound() -> Ms {
    coordination::bounds::Bounds::default().contact
}

/// Returns whether no lost edge was returned for longer than the contact bound plus a second.
fn is_within_bound(longest: Option<&(Ms, Name)>) -> bool {
    longest.is_none_or(|(named_for, _)| *named_for <= contact_bound() + NAMED_BEYOND_CONTACT)
}

/// Edges are lost half a second after the start of traffic, and then a region: the directory still returned machines
/// that had been lost eight seconds before.
#[gtest]
fn lost_edges_are_not_named_beyond_the_contact_bound_as_a_region_follows() {
    for controls in [CONTROLS, CONTROLS_IN_EACH_ZONE] {
        for region_after in [5_000, 9_700] {
            let times = LossTimes {
                edges_at: TRAFFIC_START + 500,
                region_after,
                back_after: 6_000,
            };
            let longest = longest_named_with_region_loss(controls, times);
            expect_that!(
                is_within_bound(longest.as_ref()),
                eq(true),
                "{controls} controls, {times:?}: {longest:?}"
            );
        }
    }
}

/// A daemon that has just started has received few polls: it may return edges that were lost long ago because of gossip
/// from other daemons.
#[gtest]
fn edges_lost_as_the_daemons_start_are_not_named_beyond_the_contact_bound() {
    for controls in [CONTROLS, CONTROLS_IN_EACH_ZONE] {
        for edges_at in [500, 1_500, 3_000, 5_000] {
            let times = LossTimes {
                edges_at,
                region_after: 9_700,
                back_after: 6_000,
            };
            let longest = longest_named_with_region_loss(controls, times);
            expect_that!(
                is_within_bound(longest.as_ref()),
                eq(true),
                "{controls} controls, {times:?}: {longest:?}"
            );
        }
    }
}

/// With a one-way partition a region receives messages from no majority or reaches none: neither side may return edges
/// that were lost long ago.
#[gtest]
fn lost_edges_are_not_named_beyond_the_contact_bound_while_a_region_is_cut_off() {
    const PARTITION_DURATION: Ms = 10_000;
    for cut in [
        RegionCut::ToRegion,
        RegionCut::FromRegion,
        RegionCut::BothWays,
    ] {
        for cut_before_loss in [0, 3_000, 6_000] {
            let mut deployment = Deployment::with_controls(CONTROLS_IN_EACH_ZONE, LARGE_FLEET, 7);
            deployment.run(TRAFFIC_START);
            deployment.region_cut = Some(cut);
            deployment.run(cut_before_loss);
            deployment.lose_edges(25);
            let mut lost_at = BTreeMap::new();
            let during = deployment.observe_named(PARTITION_DURATION, &mut lost_at);
            deployment.region_cut = None;
            let after = deployment.observe_named(OBSERVATION_TIME, &mut lost_at);
            let longest = during.max(after);
            println!("{cut:?}, {cut_before_loss} ms before the loss: {longest:?}");
            expect_that!(
                is_within_bound(longest.as_ref()),
                eq(true),
                "{cut:?}, {cut_before_loss} ms before: {longest:?}"
            );
        }
    }
}

/// Loses edges just after other processes were suspended, and resumes these later; returns the longest time for which
/// any running daemon returned a lost edge, until a while after the resumption.
fn longest_named_with_suspension(
    suspended: BTreeSet<Name>,
    suspension: Ms,
    seed: u64,
) -> Option<(Ms, Name)> {
    const LOSS_AFTER_SUSPENSION: Ms = 300;
    let mut deployment = Deployment::with_controls(CONTROLS_IN_EACH_ZONE, LARGE_FLEET, seed);
    deployment.run(TRAFFIC_START);
    deployment.suspended = suspended;
    deployment.run(LOSS_AFTER_SUSPENSION);
    deployment.lose_edges(25);
    let mut lost_at = BTreeMap::new();
    let during = deployment.observe_named(suspension, &mut lost_at);
    deployment.resume();
    let after = deployment.observe_named(OBSERVATION_TIME, &mut lost_at);
    during.max(after)
}

/// Heartbeats that waited in a suspended edge may be as old as the suspension: forwarded as fresh, they would restore
/// lost edges at daemons that were in contact all the time.
#[gtest]
fn resumed_edges_bring_no_lost_edge_back_into_the_directory() {
    for (edge_count, seed) in [(1, 2), (1, 7), (12, 2), (12, 7)] {
        for suspension in [4_000, 7_000] {
            let suspended: BTreeSet<Name> = (0..edge_count)
                .map(|i| Name::from(format!("e{i}").as_str()))
                .collect();
            let longest = longest_named_with_suspension(suspended, suspension, seed);
            let case = format!("{edge_count} edges, seed {seed}, {suspension} ms: {longest:?}");
            println!("{case}");
            expect_that!(is_within_bound(longest.as_ref()), eq(true), "{case}");
        }
    }
}

/// A control daemon that does not count waiting heartbeats as fresh must not forward them as fresh either.
#[gtest]
fn resumed_daemon_brings_no_lost_edge_back_into_the_directory_of_others() {
    for (control, seed) in [("c0", 7), ("c1", 7), ("c2", 2)] {
        for suspension in [4_000, 7_000] {
            let suspended = BTreeSet::from([Name::from(control)]);
            let longest = longest_named_with_suspension(suspended, suspension, seed);
            let case = format!("{control}, seed {seed}, {suspension} ms: {longest:?}");
            println!("{case}");
            expect_that!(is_within_bound(longest.as_ref()), eq(true), "{case}");
        }
    }
}
