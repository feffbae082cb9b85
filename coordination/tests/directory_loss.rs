//! How long the directory names edges that are gone, and agents tell their proxies of them, at any size of the fleet and
//! any share of it that is lost, and whether either ever leaves a live one out. Prints a row a case; `SIZES=22,44,88,176,352` plays other sizes (`-- --nocapture`).

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
/// The region that is lost or cut off.
const LOST_REGION: &str = "c";
/// As many edges as a large deployment has, and a control daemon in each zone.
const LARGE_FLEET: usize = 88;
const CONTROLS_IN_EACH_ZONE: usize = 6;
/// ms. A daemon names no edge for longer than the contact bound and this, in contact or not.
const NAMED_BEYOND_CONTACT: Ms = 1_000;
/// ms. Network latency inside a region and between regions.
const LOCAL_LATENCY: Ms = 1;
const REMOTE_LATENCY: Ms = 35;
/// ms. Proxies report to their agents this often.
const PROXY_REPORT_INTERVAL: Ms = 200;
/// ms. All nodes of a fleet know each other by then, also of a large one.
const DISCOVERY_TIME: Ms = 25_000;
/// ms. Traffic begins so long after the processes of a recorded day have started, and half a second later edges are lost.
const TRAFFIC_START: Ms = 14_000;
/// ms. For so long each daemon is asked after the loss.
const OBSERVATION_TIME: Ms = 20_000;
/// ms between two questions.
const OBSERVATION_INTERVAL: Ms = 100;
/// ms. The bound on how long the directory of a daemon in contact, or an agent, names an edge after its last message.
const MAX_NAMED_AFTER_LOSS: Ms = 3_000;
/// ms. Agents tell their proxies of the live edges this often.
const PROXY_UPDATE_INTERVAL: Ms = 300;

/// What happens to one control daemon as the edges are lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ControlFault {
    None,
    /// Killed, and started again half a second later.
    Restarted,
    /// Gone for good; an empty machine with another name and address comes a second later.
    Replaced,
    /// Cut off from all other processes for eight seconds.
    Cut,
}

impl ControlFault {
    /// ms from the loss until the daemon runs and is connected again.
    fn recovers_after(self) -> Ms {
        match self {
            ControlFault::None => 0,
            ControlFault::Restarted => 500,
            ControlFault::Replaced => 1_000,
            ControlFault::Cut => 8_000,
        }
    }
}

/// Which messages a partition of region `c` from the others drops.
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
    params: ControlConfig,
    brain: Option<Control>,
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
    /// Processes that do not run now, and the messages that wait for each.
    suspended: BTreeSet<Name>,
    waiting: Vec<(Name, Name, Message)>,
    queue: BTreeMap<(Ms, u64), (Name, Name, Message)>,
    sequence: u64,
    rng: fastrand::Rng,
    /// The edges that each agent last told its proxy of.
    told_proxies: BTreeMap<Name, BTreeSet<Name>>,
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
            told_proxies: BTreeMap::new(),
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
        let params = ControlConfig {
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
                params,
                brain: None,
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
        let disk = 1 + host.params.name.bytes().map(u64::from).sum::<u64>();
        host.brain = Some(Control::new(
            host.params.clone(),
            disk,
            host.rows.values().cloned().collect(),
            now,
            now,
        ));
    }

    fn region(&self, name: &Name) -> &str {
        let zone = match self.edges.get(name) {
            Some(edge) => ZONES[edge.zone].0,
            None => self.controls.get(name).map_or("", |c| &c.params.zone),
        };
        zone.get(..1).unwrap_or_default()
    }

    fn carry(&mut self, from: &Name, effects: Effects) {
        for effect in effects {
            match effect {
                Effect::Send {
                    msg: Message::TableUpdate(update),
                    ..
                } => {
                    let edges = update.nodes.iter().map(|node| node.name.clone());
                    self.told_proxies.insert(from.clone(), edges.collect());
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
                    self.carry(from, then);
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
            self.controls.get_mut(to).and_then(|c| c.brain.as_mut()),
        ) {
            (Some(edge), _) if !self.gone.contains(to) => {
                edge.agent.on_message(from, from, msg, now)
            }
            (None, Some(control)) => control.on_message(from, from, msg, now),
            _ => return,
        };
        self.carry(to, out);
    }

    fn tick_edge(&mut self, name: &Name) {
        let now = self.now;
        let Some(edge) = self.edges.get_mut(name) else {
            return;
        };
        edge.next_tick = now + TICK_INTERVAL;
        let mut out = vec![];
        if now % PROXY_REPORT_INTERVAL < TICK_INTERVAL {
            let report = ProxyReport {
                incarnation: 1,
                http_addr: format!("h-{name}").as_str().into(),
                ..ProxyReport::default()
            };
            let proxy: Name = format!("p-{name}").into();
            out = edge
                .agent
                .on_message(&proxy, &proxy, Message::from(report), now);
        }
        out.extend(edge.agent.tick(now));
        self.carry(name, out);
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
                    let brain = self.controls.get_mut(&name).and_then(|c| c.brain.as_mut());
                    let out = brain.map(|c| c.tick(now)).unwrap_or_default();
                    self.carry(&name, out);
                }
            }
        }
    }

    /// Lets the suspended processes run again: each takes what waited for it, all at once.
    fn resume(&mut self) {
        self.suspended.clear();
        for (to, from, msg) in std::mem::take(&mut self.waiting) {
            self.deliver(&to, &from, msg);
        }
    }

    /// Edges that a daemon names to callers of all zones; none if it names none.
    fn named_edges(&mut self, control: &Name) -> Option<BTreeSet<Name>> {
        let now = self.now;
        let brain = self.controls.get_mut(control)?.brain.as_mut()?;
        let answers = ZONES.map(|(zone, region)| {
            brain
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

/// What was observed of the directory after a loss.
#[derive(Debug, Default)]
struct Observed {
    /// ms from the loss to the last answer that names a lost edge, of daemons that were in contact all the time.
    named_for: Ms,
    /// Likewise of the faulty one, from the time at which it has been in contact for as long as serving rules ask.
    faulty_named_for: Ms,
    /// Live edges left out, summed over all answers.
    left_out: usize,
    /// Likewise of the faulty one, once it has heard the fleet.
    faulty_left_out: usize,
    /// Answers of the faulty one without any edge, likewise.
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
            deployment.controls.get_mut(&faulty).unwrap().brain = None
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
                let contact = deployment.controls[&name].params.bounds.contact;
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
    let asked = std::env::var("SIZES").ok();
    asked.map_or(usual.to_vec(), |s| {
        s.split(',').map(|n| n.parse().expect("a number")).collect()
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

/// Messages that waited while a daemon was suspended were sent at any time since: those of an edge that was lost
/// meanwhile are no sign of life.
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
        // Too short a run for its polls to be answered.
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
        println!("{edges:4} edges, resumed: named {named_lost} lost ones, none for {empty_for} ms");
        expect_that!(named_lost, eq(0), "{edges} edges");
        expect_that!(empty_for, le(1_500), "{edges} edges");
    }
}

/// What was observed of agents after a loss.
#[derive(Debug, Default)]
struct ObservedAgents {
    /// ms from the loss to the last time at which a live agent's proxy had been told that a lost edge lives.
    told_for: Ms,
    /// Live edges that a live agent left out, summed over all times of asking.
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
            let told = &deployment.told_proxies[agent];
            observed.left_out += live.difference(told).count();
            if !told.is_disjoint(&deployment.gone) {
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

/// When a fleet's troubles begin, in ms from the start of its processes, and from one loss to the next.
#[derive(Clone, Copy, Debug)]
struct LossTimes {
    /// A quarter of the edges is lost, in all zones.
    edges_at: Ms,
    /// Both control daemons of a region and most of its edges are lost so much later.
    region_after: Ms,
    /// So long after that all of them are back.
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
                host.brain = None;
            }
        }
        let mut lost_edges: Vec<Name> = self
            .edges
            .keys()
            .filter(|name| self.region(name) == LOST_REGION)
            .cloned()
            .collect();
        // A few stay, so that there are edges to name.
        lost_edges.truncate(lost_edges.len() * 3 / 4);
        self.gone.extend(lost_edges);
    }

    fn start_lost_controls(&mut self) {
        let lost: Vec<Name> = self
            .controls
            .iter()
            .filter(|(_, host)| host.brain.is_none())
            .map(|(name, _)| name.clone())
            .collect();
        for name in lost {
            self.start(&name);
        }
    }

    /// The longest time for which any of the edges that are gone, by when each was lost, is named now.
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

    /// Runs on, and returns for how long a lost edge was named at most and by which daemon.
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

/// For how long an edge is named at most that is gone, by any daemon, as edges are lost and then a region, whose control
/// daemons come back on their disks.
fn longest_named_as_region_follows(controls: usize, times: LossTimes) -> Option<(Ms, Name)> {
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

/// Whether no edge was named for longer than the contact bound and a second.
fn is_in_bound(longest: Option<&(Ms, Name)>) -> bool {
    longest.is_none_or(|(named_for, _)| *named_for <= contact_bound() + NAMED_BEYOND_CONTACT)
}

/// Edges lost half a second into the traffic and then a region: the directory named machines long gone, eight seconds on.
#[gtest]
fn lost_edges_are_not_named_beyond_the_contact_bound_as_a_region_follows() {
    for controls in [CONTROLS, CONTROLS_IN_EACH_ZONE] {
        for region_after in [5_000, 9_700] {
            let times = LossTimes {
                edges_at: TRAFFIC_START + 500,
                region_after,
                back_after: 6_000,
            };
            let longest = longest_named_as_region_follows(controls, times);
            expect_that!(
                is_in_bound(longest.as_ref()),
                eq(true),
                "{controls} controls, {times:?}: {longest:?}"
            );
        }
    }
}

/// A daemon in its own first seconds knows few edges by their polls: it may name those long gone by what others tell it.
#[gtest]
fn edges_lost_as_the_daemons_start_are_not_named_beyond_the_contact_bound() {
    for controls in [CONTROLS, CONTROLS_IN_EACH_ZONE] {
        for edges_at in [500, 1_500, 3_000, 5_000] {
            let times = LossTimes {
                edges_at,
                region_after: 9_700,
                back_after: 6_000,
            };
            let longest = longest_named_as_region_follows(controls, times);
            expect_that!(
                is_in_bound(longest.as_ref()),
                eq(true),
                "{controls} controls, {times:?}: {longest:?}"
            );
        }
    }
}

/// A region that is cut off in one direction hears, or is heard by, no majority: neither side may name edges long gone.
#[gtest]
fn lost_edges_are_not_named_beyond_the_contact_bound_while_a_region_is_cut_off() {
    const CUT_LASTS: Ms = 10_000;
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
            let during = deployment.observe_named(CUT_LASTS, &mut lost_at);
            deployment.region_cut = None;
            let after = deployment.observe_named(OBSERVATION_TIME, &mut lost_at);
            let longest = during.max(after);
            println!("{cut:?}, {cut_before_loss} ms before the loss: {longest:?}");
            expect_that!(
                is_in_bound(longest.as_ref()),
                eq(true),
                "{cut:?}, {cut_before_loss} ms before: {longest:?}"
            );
        }
    }
}

/// For how long an edge is named at most that is lost just after other processes were suspended, by any daemon that runs,
/// until these have run again for a while.
fn longest_named_as_others_resume(
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

/// Heartbeats that waited in a suspended edge are as old as its suspension is long: passed on as fresh ones, they bring lost
/// edges back at daemons that were in contact all the time.
#[gtest]
fn resumed_edges_bring_no_lost_edge_back_into_the_directory() {
    for (edge_count, seed) in [(1, 2), (1, 7), (12, 2), (12, 7)] {
        for suspension in [4_000, 7_000] {
            let suspended: BTreeSet<Name> = (0..edge_count)
                .map(|i| Name::from(format!("e{i}").as_str()))
                .collect();
            let longest = longest_named_as_others_resume(suspended, suspension, seed);
            let case = format!("{edge_count} edges, seed {seed}, {suspension} ms: {longest:?}");
            println!("{case}");
            expect_that!(is_in_bound(longest.as_ref()), eq(true), "{case}");
        }
    }
}

/// A control daemon that takes heartbeats that waited for no sign of life itself must not pass them on as such either.
#[gtest]
fn resumed_daemon_brings_no_lost_edge_back_into_the_directory_of_others() {
    for (control, seed) in [("c0", 7), ("c1", 7), ("c2", 2)] {
        for suspension in [4_000, 7_000] {
            let suspended = BTreeSet::from([Name::from(control)]);
            let longest = longest_named_as_others_resume(suspended, suspension, seed);
            let case = format!("{control}, seed {seed}, {suspension} ms: {longest:?}");
            println!("{case}");
            expect_that!(is_in_bound(longest.as_ref()), eq(true), "{case}");
        }
    }
}
