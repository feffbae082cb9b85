//! How news gets from control daemons to edges in a land of several regions: at once, also where a daemon fails, and over
//! the dear way between regions no more often than needed.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use coordination::{
    Effect, Effects, Ms,
    control::{PUSH_ELIGIBILITY, PUSH_TIMEOUT, SPEC_KEY},
    edge_agent::{EdgeAgent, POLL_INTERVAL},
    timing::TICK_INTERVAL,
    wire::{Envelope, Message, Name, Node, encode},
};
use fleet::Fleet;
use googletest::prelude::*;

mod fleet;

/// Regions, and control daemons in them: two each, in zones of their own.
const REGIONS: usize = 3;
const DAEMONS: usize = 6;
/// Edges of each zone.
const EDGES: usize = 4;
/// ms of the way inside a region and between regions.
const NEAR: Ms = 1;
const FAR: Ms = 35;
/// Bytes of a long spec, and bytes that an edge's link takes in a ms: ten megabits a second.
const LONG: usize = 40_000;
const LINK: usize = 1_250;

fn region(zone: usize) -> String {
    format!("r{}", zone % REGIONS)
}
fn zone_of(name: &str) -> usize {
    name.split('.')
        .nth(3)
        .and_then(|d| d.split(':').next()?.parse::<usize>().ok())
        .map_or(0, |d| d - 1)
}

struct Edge {
    agent: EdgeAgent,
    zone: usize,
    /// When its link is free again.
    free: Ms,
    /// When it had the newest spec.
    had: Option<Ms>,
}

/// What is on its way: where to, from whom, at which address.
type Sent = (Name, Name, Name, Message);

struct Land {
    fleet: Fleet,
    edges: BTreeMap<Name, Edge>,
    /// What daemons sent to edges, taken off the fleet's own network.
    told: Rc<RefCell<Vec<(Name, Name, Message)>>>,
    way: BTreeMap<(Ms, u64), Sent>,
    seq: u64,
    /// Bytes from daemons to edges of other regions.
    far: usize,
    /// Links from a daemon to edges that lose everything, by the daemon's number.
    deaf: BTreeSet<usize>,
    /// A region that is cut off, and what waits on the way out of it and into it: channels break only after minutes.
    cut: Rc<Cell<Option<usize>>>,
    waits: Vec<Sent>,
}

impl Land {
    fn new(seed: u64) -> Self {
        let mut fleet = Fleet::bootstrapped(seed, DAEMONS, region);
        fleet.run(6_000);
        let told: Rc<RefCell<Vec<(Name, Name, Message)>>> = Rc::default();
        let cut: Rc<Cell<Option<usize>>> = Rc::default();
        let (log, sides) = (told.clone(), cut.clone());
        fleet.delivers = Box::new(move |from, to, m| {
            if to.starts_with('e') {
                log.borrow_mut().push((from.clone(), to.clone(), m.clone()));
                return true;
            }
            let inside = |n: &Name| sides.get().is_some_and(|r| zone_of(n) % REGIONS == r);
            inside(from) == inside(to)
        });
        let mut l = Land {
            fleet,
            edges: BTreeMap::new(),
            told,
            way: BTreeMap::new(),
            seq: 0,
            far: 0,
            deaf: BTreeSet::new(),
            cut,
            waits: vec![],
        };
        let regions: BTreeMap<String, String> =
            (0..DAEMONS).map(|z| (format!("z{z}"), region(z))).collect();
        for i in 0..DAEMONS * EDGES {
            let (zone, name): (usize, Name) = (i % DAEMONS, format!("e{i}").into());
            let at = format!("z{zone}");
            let me = Node {
                name: name.clone(),
                addr: name.clone(),
                role: 2,
                zone: at.as_str().into(),
                incarnation: 1,
                ..Node::default()
            };
            let mut agent = EdgeAgent::new(
                me,
                (0..3).map(fleet::addr).collect(),
                seed + i as u64,
                l.fleet.now,
            );
            agent.set_regions(regions.clone());
            agent.set_serve_when_partitioned(true);
            l.edges.insert(
                name,
                Edge {
                    agent,
                    zone,
                    free: 0,
                    had: None,
                },
            );
        }
        l.run(5_000);
        l
    }

    fn post(&mut self, from: &Name, addr: &Name, to: Name, msg: Message) {
        let zone = |n: &Name| self.edges.get(n).map_or_else(|| zone_of(n), |e| e.zone);
        let far = region(zone(addr)) != region(zone(&to));
        let inside = |n: &Name| self.cut.get().is_some_and(|r| zone(n) % REGIONS == r);
        if inside(addr) != inside(&to) {
            return self.waits.push((to, from.clone(), addr.clone(), msg));
        }
        let mut at = self.fleet.now + if far { FAR } else { NEAR };
        if let Some(e) = self.edges.get_mut(&to) {
            let bytes = encode(&Envelope {
                from: from.clone(),
                addr: addr.clone(),
                msg: msg.clone(),
            })
            .map_or(0, |b| b.len());
            self.far += if far && !addr.starts_with('e') {
                bytes
            } else {
                0
            };
            at = at.max(e.free) + (bytes / LINK) as Ms;
            e.free = at;
        }
        self.seq += 1;
        self.way
            .insert((at, self.seq), (to, from.clone(), addr.clone(), msg));
    }
    fn carry(&mut self, edge: &Name, out: Effects) {
        for e in out {
            let Effect::Send { to, msg } = e else {
                continue;
            };
            self.post(edge, edge, to, msg);
        }
    }
    fn run(&mut self, ms: Ms) {
        let end = self.fleet.now + ms;
        while self.fleet.now < end {
            self.fleet.run(1);
            let now = self.fleet.now;
            let told = std::mem::take(&mut *self.told.borrow_mut());
            for (from, to, m) in told {
                let i = self
                    .fleet
                    .daemons
                    .iter()
                    .position(|d| d.config.addr == from)
                    .unwrap();
                if !self.deaf.contains(&i) {
                    let name = self.fleet.daemons[i].config.name.clone();
                    self.post(&name, &from, to, m);
                }
            }
            while let Some(e) = self.way.first_entry().filter(|e| e.key().0 <= now) {
                let (to, from, addr, m) = e.remove();
                if let Some(x) = self.edges.get_mut(&to) {
                    let out = x.agent.on_message(&from, &addr, m, now);
                    self.carry(&to, out);
                } else if let Some(i) = self
                    .fleet
                    .daemons
                    .iter()
                    .position(|d| d.config.addr == to && d.control.is_some())
                {
                    let out = self.fleet.daemons[i]
                        .control
                        .as_mut()
                        .map_or(vec![], |b| b.on_message(&from, &addr, m, now));
                    self.fleet.carry_out(i, out);
                }
            }
            let due: Vec<Name> = self
                .edges
                .keys()
                .enumerate()
                .filter(|(i, _)| (now + *i as Ms * 7).is_multiple_of(TICK_INTERVAL))
                .map(|(_, n)| n.clone())
                .collect();
            for n in due {
                let out = self.edges.get_mut(&n).map_or(vec![], |e| e.agent.tick(now));
                self.carry(&n, out);
            }
            for e in self.edges.values_mut().filter(|e| e.had.is_none()) {
                e.had = e
                    .agent
                    .state_table()
                    .get(SPEC_KEY)
                    .is_some_and(|c| c.value.0.len() >= LONG)
                    .then_some(now);
            }
        }
    }
    /// Ends the cut: all that waited sets out.
    fn heal(&mut self) {
        self.cut.set(None);
        self.far = 0;
        for (to, from, addr, m) in std::mem::take(&mut self.waits) {
            self.post(&from, &addr, to, m);
        }
    }
    /// Puts a long spec; gives when it was accepted.
    fn put(&mut self) -> Ms {
        self.edges.values_mut().for_each(|e| e.had = None);
        self.far = 0;
        let value: Vec<u8> = (0..LONG).map(|_| self.fleet.rng.u8(..)).collect();
        let w = self.fleet.write(0, SPEC_KEY, None, &value).unwrap();
        for _ in 0..2_000 {
            self.run(1);
            if let Some((at, _)) = self.fleet.write_outcomes.get(&w) {
                return *at;
            }
        }
        panic!("no answer to a write");
    }
    /// The longest that an edge lacked the spec since then.
    fn last(&self, since: Ms) -> Ms {
        self.edges
            .values()
            .map(|e| e.had.map_or(Ms::MAX, |t| t.saturating_sub(since)))
            .max()
            .unwrap_or(0)
    }
}

#[gtest]
fn a_long_spec_comes_to_edges_from_their_own_region_and_at_once() {
    for seed in 0..3 {
        let mut l = Land::new(seed);
        let at = l.put();
        l.run(3_000);
        expect_that!(l.last(at), le(400), "seed {seed}");
        // Four copies' worth for all edges, short news included; each had most of them from elsewhere once.
        expect_that!(l.far, le(LONG * 4), "seed {seed}: {} edges", l.edges.len());
    }
}

#[gtest]
fn edges_whose_daemons_nearby_do_not_reach_them_have_a_long_spec_from_others_in_time() {
    for seed in 0..3 {
        let mut l = Land::new(seed);
        l.deaf = [0, REGIONS].into();
        let at = l.put();
        l.run(4_000);
        expect_that!(
            l.last(at),
            le(PUSH_TIMEOUT + 3 * POLL_INTERVAL),
            "seed {seed}"
        );
    }
}

#[gtest]
fn a_region_that_was_cut_off_is_not_flooded_when_it_comes_back() {
    for seed in 0..3 {
        let mut l = Land::new(seed);
        l.cut.set(Some(2));
        l.run(PUSH_ELIGIBILITY + 200);
        // Two operators' changes, neither of which the region hears of.
        l.put();
        l.run(500);
        l.put();
        l.run(4_500);
        let cut_off: Vec<bool> = l.edges.values().map(|e| e.had.is_none()).collect();
        expect_that!(
            cut_off.iter().filter(|c| **c).count(),
            eq(2 * EDGES),
            "seed {seed}"
        );
        let at = l.fleet.now;
        l.heal();
        l.run(5_000);
        expect_that!(l.last(at), le(3_000), "seed {seed}");
        expect_that!(
            l.far,
            le(2 * EDGES * LONG),
            "seed {seed}: at most one copy each comes from afar"
        );
    }
}

#[gtest]
fn questions_that_waited_on_their_way_are_answered_at_length_once() {
    for seed in 0..3 {
        let mut l = Land::new(seed);
        // So short that daemons take the edges for followers all along.
        l.cut.set(Some(2));
        l.run(PUSH_ELIGIBILITY + 100);
        l.put();
        l.run(1_200);
        l.heal();
        l.run(5_000);
        // Each of the four daemons elsewhere once, though two or three questions of each edge had waited at each.
        expect_that!(l.far, le(4 * 2 * EDGES * LONG * 11 / 10), "seed {seed}");
        expect_true!(l.edges.values().all(|e| e.had.is_some()), "seed {seed}");
    }
}
