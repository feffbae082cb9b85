//! How long the directory names edges that are gone, at any size of the fleet and any share of it that is lost, and whether
//! it ever leaves a live one out. Prints a row a case; `SIZES=22,44,88,176,352` plays other sizes (`-- --nocapture`).

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
/// ms of a message's way inside a region and beyond it.
const NEAR: Ms = 1;
const FAR: Ms = 35;
/// ms. Proxies speak to their agents this often.
const HELLO: Ms = 200;
/// ms. A fleet has found itself, also a large one.
const SETTLES: Ms = 25_000;
/// ms. For so long each daemon is asked after the loss, and how often.
const WATCHED: Ms = 20_000;
const ASKED_EVERY: Ms = 100;
/// ms. The bound on how long the directory of a daemon in touch names an edge after its last sign of life.
const NAMED_AT_MOST: Ms = 3_000;

/// What happens to one control daemon as the edges are lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Whole,
    /// Killed, and started again half a second later.
    Restarted,
    /// Gone for good; an empty machine with another name and address comes a second later.
    Replaced,
    /// Cut off from all other processes for eight seconds.
    Cut,
}

impl Trouble {
    /// ms from the loss until the daemon runs and is connected again.
    fn back_after(self) -> Ms {
        match self {
            Trouble::Whole => 0,
            Trouble::Restarted => 500,
            Trouble::Replaced => 1_000,
            Trouble::Cut => 8_000,
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

struct Plane {
    now: Ms,
    controls: BTreeMap<Name, ControlHost>,
    edges: BTreeMap<Name, EdgeHost>,
    gone: BTreeSet<Name>,
    cut: Option<Name>,
    queue: BTreeMap<(Ms, u64), (Name, Name, Message)>,
    sequence: u64,
    rng: fastrand::Rng,
}

fn row_key(row: &Row) -> String {
    match row {
        Row::Slot(s) => s.key.to_string(),
        Row::Members { .. } => "\0members".into(),
    }
}

impl Plane {
    fn new(edges: usize, seed: u64) -> Plane {
        let mut plane = Plane {
            now: 1_000,
            controls: BTreeMap::new(),
            edges: BTreeMap::new(),
            gone: BTreeSet::new(),
            cut: None,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: fastrand::Rng::with_seed(seed),
        };
        (0..CONTROLS).for_each(|i| plane.add_control(i, true));
        for i in 0..edges {
            let (name, zone) = (Name::from(format!("e{i}").as_str()), i % ZONES.len());
            let node = Node {
                name: name.clone(),
                addr: name.clone(),
                zone: ZONES[zone].0.into(),
                incarnation: 1,
                ..Node::default()
            };
            let mut agent = EdgeAgent::new(node, seeds(), plane.rng.u64(..), plane.now);
            agent.set_regions(regions());
            agent.set_serve_when_partitioned(true);
            let next_tick = plane.now + plane.rng.u64(..TICK_INTERVAL);
            plane.edges.insert(
                name,
                EdgeHost {
                    agent,
                    zone,
                    next_tick,
                },
            );
        }
        plane
    }

    fn add_control(&mut self, i: usize, founding: bool) {
        let name = Name::from(format!("c{i}").as_str());
        let params = ControlConfig {
            name: name.clone(),
            zone: ZONES[i % ZONES.len()].0.into(),
            addr: name.clone(),
            http_addr: format!("h-{name}").as_str().into(),
            members: vec![],
            seeds: seeds(),
            bootstrap: founding,
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
            Some(e) => ZONES[e.zone].0,
            None => self.controls.get(name).map_or("", |c| &c.params.zone),
        };
        zone.get(..1).unwrap_or_default()
    }

    fn carry(&mut self, from: &Name, effects: Effects) {
        for effect in effects {
            match effect {
                Effect::Send { to, msg } => {
                    let is_cut = to != *from
                        && self
                            .cut
                            .as_ref()
                            .is_some_and(|cut| to == *cut || from == cut);
                    if is_cut || self.gone.contains(&to) {
                        continue;
                    }
                    let way = if self.region(from) == self.region(&to) {
                        NEAR
                    } else {
                        FAR
                    };
                    self.sequence += 1;
                    self.queue
                        .insert((self.now + way, self.sequence), (to, from.clone(), msg));
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
        let now = self.now;
        let out = match (
            self.edges.get_mut(to),
            self.controls.get_mut(to).and_then(|c| c.brain.as_mut()),
        ) {
            (Some(e), _) if !self.gone.contains(to) => e.agent.on_message(from, from, msg, now),
            (None, Some(c)) => c.on_message(from, from, msg, now),
            _ => return,
        };
        self.carry(to, out);
    }

    fn tick_edge(&mut self, name: &Name) {
        let now = self.now;
        let Some(e) = self.edges.get_mut(name) else {
            return;
        };
        e.next_tick = now + TICK_INTERVAL;
        let mut out = vec![];
        if now % HELLO < TICK_INTERVAL {
            let hello = ProxyReport {
                incarnation: 1,
                http_addr: format!("h-{name}").as_str().into(),
                ..ProxyReport::default()
            };
            let proxy: Name = format!("p-{name}").into();
            out = e
                .agent
                .on_message(&proxy, &proxy, Message::from(hello), now);
        }
        out.extend(e.agent.tick(now));
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
                for name in self.controls.keys().cloned().collect::<Vec<_>>() {
                    let brain = self.controls.get_mut(&name).and_then(|c| c.brain.as_mut());
                    let out = brain.map(|c| c.tick(now)).unwrap_or_default();
                    self.carry(&name, out);
                }
            }
        }
    }

    /// Edges that a daemon names to callers of all zones; none if it names none.
    fn named(&mut self, control: &Name) -> Option<BTreeSet<Name>> {
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
        let named = answers.into_iter().flatten().flat_map(|r| r.addresses);
        Some(
            named
                .map(|a| Name::from(a.trim_start_matches("h-")))
                .collect(),
        )
    }

    fn lose(&mut self, percent: usize) {
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

/// What was seen of the directory after a loss.
#[derive(Debug, Default)]
struct Seen {
    /// ms from the loss to the last answer that names a gone edge: of daemons that were in touch all the time, and
    /// of the one in trouble, there from the moment at which it has been in touch for as long as rules ask.
    named_for: Ms,
    trouble_named_for: Ms,
    /// Live edges left out, summed over all answers; of the one in trouble once it has heard the fleet.
    left_out: usize,
    trouble_left_out: usize,
    /// Answers without any edge of the one in trouble, likewise.
    trouble_empty: usize,
}

fn play(edges: usize, percent: usize, trouble: Trouble) -> Seen {
    let mut plane = Plane::new(edges, 7);
    plane.run(SETTLES);
    let mut one = Name::from("c1");
    plane.lose(percent);
    let lost_at = plane.now;
    let live: BTreeSet<Name> = plane
        .edges
        .keys()
        .filter(|n| !plane.gone.contains(*n))
        .cloned()
        .collect();
    match trouble {
        Trouble::Whole => {}
        Trouble::Cut => plane.cut = Some(one.clone()),
        Trouble::Restarted | Trouble::Replaced => {
            plane.controls.get_mut(&one).unwrap().brain = None
        }
    }
    let mut seen = Seen::default();
    while plane.now < lost_at + WATCHED {
        plane.run(ASKED_EVERY);
        let after = plane.now - lost_at;
        if after == trouble.back_after() {
            match trouble {
                Trouble::Whole => {}
                Trouble::Restarted => plane.start(&one),
                Trouble::Replaced => {
                    plane.controls.remove(&one);
                    plane.add_control(CONTROLS, false);
                    one = Name::from(format!("c{CONTROLS}").as_str());
                }
                Trouble::Cut => plane.cut = None,
            }
        }
        let since = after.saturating_sub(trouble.back_after());
        for name in plane.controls.keys().cloned().collect::<Vec<_>>() {
            let Some(named) = plane.named(&name) else {
                continue;
            };
            let names_gone = named.iter().any(|n| plane.gone.contains(n));
            let left_out = live.difference(&named).count();
            if name == one && trouble != Trouble::Whole {
                let contact = plane.controls[&name].params.bounds.contact;
                if names_gone && since >= contact {
                    seen.trouble_named_for = after;
                }
                if since >= 2 * FLEET_DISCOVERY_TIME {
                    seen.trouble_left_out += left_out;
                    seen.trouble_empty += usize::from(named.is_empty());
                }
                continue;
            }
            seen.left_out += left_out;
            if names_gone {
                seen.named_for = after;
            }
        }
    }
    println!("{edges:4} edges, {percent:2}% lost, {trouble:?}: {seen:?}");
    seen
}

fn sizes(usual: &[usize]) -> Vec<usize> {
    let told = std::env::var("SIZES").ok();
    told.map_or(usual.to_vec(), |s| {
        s.split(',').map(|n| n.parse().expect("a number")).collect()
    })
}

#[gtest]
fn a_lost_edge_is_named_for_no_longer_than_3_s_and_no_live_one_is_left_out() {
    for edges in sizes(&[22, 88]) {
        for percent in [10, 30, 70] {
            let seen = play(edges, percent, Trouble::Whole);
            expect_that!(
                seen.named_for,
                le(NAMED_AT_MOST),
                "{edges} edges, {percent}% lost"
            );
            expect_that!(seen.left_out, eq(0), "{edges} edges, {percent}% lost");
        }
    }
}

#[gtest]
fn a_daemon_in_trouble_names_no_lost_edge_once_it_is_in_touch_and_no_live_one_is_left_out() {
    for edges in sizes(&[22, 88]) {
        for percent in [30, 70] {
            for trouble in [Trouble::Restarted, Trouble::Replaced, Trouble::Cut] {
                let seen = play(edges, percent, trouble);
                let case = format!("{edges} edges, {percent}% lost, {trouble:?}");
                expect_that!(seen.named_for, le(NAMED_AT_MOST), "{case}");
                expect_that!(seen.left_out, eq(0), "{case}");
                expect_that!(seen.trouble_named_for, eq(0), "{case}");
                expect_that!(seen.trouble_left_out, eq(0), "{case}");
                expect_that!(seen.trouble_empty, eq(0), "{case}");
            }
        }
    }
}
