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
/// ms. Network latency inside a region and between regions.
const LOCAL_LATENCY: Ms = 1;
const REMOTE_LATENCY: Ms = 35;
/// ms. Proxies report to their agents this often.
const PROXY_REPORT_INTERVAL: Ms = 200;
/// ms. All nodes of a fleet know each other by then, also of a large one.
const DISCOVERY_TIME: Ms = 25_000;
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
    /// A control daemon that does not run now, and the messages that wait for it.
    suspended: Option<Name>,
    waiting: Vec<(Name, Message)>,
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
        let mut deployment = Deployment {
            now: 1_000,
            controls: BTreeMap::new(),
            edges: BTreeMap::new(),
            gone: BTreeSet::new(),
            cut: None,
            suspended: None,
            waiting: vec![],
            queue: BTreeMap::new(),
            sequence: 0,
            rng: fastrand::Rng::with_seed(seed),
            told_proxies: BTreeMap::new(),
        };
        for i in 0..CONTROLS {
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
            spec_parser: coordination::state_table::parse_own_spec,
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
                    if is_cut || self.gone.contains(&to) {
                        continue;
                    }
                    let latency = if self.region(from) == self.region(&to) {
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
        if self.suspended.as_ref() == Some(to) {
            return self.waiting.push((from.clone(), msg));
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
                e.next_tick <= self.now && !self.gone.contains(*name)
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
                let suspended = self.suspended.clone();
                let running = self
                    .controls
                    .keys()
                    .filter(|c| Some(*c) != suspended.as_ref());
                for name in running.cloned().collect::<Vec<_>>() {
                    let brain = self.controls.get_mut(&name).and_then(|c| c.brain.as_mut());
                    let out = brain.map(|c| c.tick(now)).unwrap_or_default();
                    self.carry(&name, out);
                }
            }
        }
    }

    /// Lets the suspended daemon run again: it takes what waited, all at once.
    fn resume(&mut self) {
        let Some(resumed) = self.suspended.take() else {
            return;
        };
        for (from, msg) in std::mem::take(&mut self.waiting) {
            self.deliver(&resumed, &from, msg);
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
        deployment.suspended = Some(resumed.clone());
        deployment.run(300);
        deployment.lose_edges(50);
        deployment.run(SUSPENSIONS[0] - 300);
        // Too short a run for its polls to be answered.
        deployment.resume();
        deployment.run(2);
        deployment.suspended = Some(resumed.clone());
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
