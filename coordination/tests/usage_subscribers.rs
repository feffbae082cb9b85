//! Which control daemons keep usage, and what they have after that changes: three daemons, and edges whose proxies report
//! by hand.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use coordination::{
    Effect, Effects, Ms, bounds::Bounds, control::COUNTER_RETENTION, edge_agent::EdgeAgent,
    timing::TICK_INTERVAL,
};
use fleet::Fleet;
use googletest::prelude::*;
use wire_messages::{List, Message, Name, Node, ProxyReport, TenantUsage};

mod fleet;

const DAEMONS: usize = 3;
const EDGES: usize = 6;
const USAGE_WINDOW: Ms = 5_000;
/// Between two reports of a proxy.
const REPORT_INTERVAL: Ms = 200;
const LATENCY: Ms = 5;

/// Usage by window and tenant.
type Usage = BTreeMap<u64, BTreeMap<Name, u64>>;
/// Sender, receiver and message.
type Transit = (Name, Name, Message);

struct Edge {
    name: Name,
    agent: EdgeAgent,
    /// What its proxy counted.
    usage: Usage,
}

struct Site {
    fleet: Fleet,
    edges: Vec<Edge>,
    sent_to_edges: Rc<RefCell<Vec<Transit>>>,
    in_transit: BTreeMap<(Ms, u64), Transit>,
    sequence: u64,
}

impl Site {
    fn new(seed: u64) -> Self {
        let mut fleet = Fleet::bootstrapped(seed, DAEMONS, |_| "r".into());
        for index in 0..DAEMONS {
            fleet.daemons[index].config.bounds = Bounds {
                usage_window: USAGE_WINDOW,
                usage_delay: 20_000,
                ..Bounds::default()
            };
            // What is counted is compared with the truth to the end, and not reported meanwhile.
            fleet.daemons[index].runs_platform_roles = false;
            fleet.start(index);
        }
        let sent_to_edges: Rc<RefCell<Vec<Transit>>> = Rc::default();
        let log = sent_to_edges.clone();
        fleet.delivers = Box::new(move |from, to, message| {
            let is_to_edge = to.starts_with('e');
            if is_to_edge {
                let transit = (from.clone(), to.clone(), message.clone());
                log.borrow_mut().push(transit);
            }
            !is_to_edge
        });
        let edges = (0..EDGES).map(|index| Edge::new(index, seed)).collect();
        let mut site = Site {
            fleet,
            edges,
            sent_to_edges,
            in_transit: BTreeMap::new(),
            sequence: 0,
        };
        site.run(8_000, 0);
        site
    }

    fn push(&mut self, from: Name, to: Name, message: Message) {
        self.sequence += 1;
        let key = (self.fleet.now + LATENCY, self.sequence);
        self.in_transit.insert(key, (from, to, message));
    }

    fn carry_out(&mut self, edge: usize, effects: Effects) {
        for effect in effects {
            if let Effect::Send { to, msg } = effect {
                self.push(self.edges[edge].name.clone(), to, msg);
            }
        }
    }

    fn deliver(&mut self, from: &Name, to: &Name, message: Message) {
        let is_cut = |addr| self.fleet.partitioned.contains(addr);
        if is_cut(from) || is_cut(to) {
            return;
        }
        let now = self.fleet.now;
        if let Some(edge) = self.edges.iter().position(|edge| edge.name == *to) {
            let daemon = self.fleet.daemons.iter();
            let sender = daemon.map(|daemon| &daemon.config);
            let from_name = sender
                .filter(|config| config.addr == *from)
                .map(|config| config.name.clone())
                .next()
                .unwrap_or(from.clone());
            let effects = self.edges[edge]
                .agent
                .on_message(&from_name, from, message, now);
            return self.carry_out(edge, effects);
        }
        let daemons = &mut self.fleet.daemons;
        let Some(index) = daemons.iter().position(|daemon| daemon.config.addr == *to) else {
            return;
        };
        if let Some(control) = daemons[index].control.as_mut() {
            let effects = control.on_message(from, from, message, now);
            self.fleet.carry_out(index, effects);
        }
    }

    /// Runs with so many requests a second at each edge.
    fn run(&mut self, duration: Ms, rate: u64) {
        let end = self.fleet.now + duration;
        while self.fleet.now < end {
            self.fleet.run(1);
            let now = self.fleet.now;
            for (from, to, message) in self.sent_to_edges.take() {
                self.push(from, to, message);
            }
            while let Some(next) = self.in_transit.first_entry().filter(|at| at.key().0 <= now) {
                let (from, to, message) = next.remove();
                self.deliver(&from, &to, message);
            }
            for index in 0..self.edges.len() {
                if self.fleet.rng.u64(..1_000) < rate {
                    let tenant = self.fleet.rng.u64(..4);
                    self.edges[index].count(tenant, now);
                }
                if (now + index as Ms).is_multiple_of(REPORT_INTERVAL) {
                    let report = self.edges[index].report(now);
                    let proxy: Name = "proxy".into();
                    let effects =
                        self.edges[index]
                            .agent
                            .on_message(&proxy, &proxy, report.into(), now);
                    self.carry_out(index, effects);
                }
                if (now + index as Ms).is_multiple_of(TICK_INTERVAL) {
                    let effects = self.edges[index].agent.tick(now);
                    self.carry_out(index, effects);
                }
            }
        }
    }

    fn true_usage(&self) -> Usage {
        let mut sum = Usage::new();
        for (window, tenants) in self.edges.iter().flat_map(|edge| &edge.usage) {
            for (tenant, count) in tenants {
                let counts = sum.entry(*window).or_default();
                *counts.entry(tenant.clone()).or_default() += count;
            }
        }
        sum
    }

    fn keeping(&self) -> Vec<usize> {
        let keeps = |index: &usize| {
            let control = self.fleet.control(*index);
            control.is_some_and(|control| control.keeps_usage())
        };
        (0..DAEMONS).filter(keeps).collect()
    }

    fn counted(&self, daemon: usize) -> Usage {
        let table = self.fleet.control(daemon).unwrap().usage();
        let windows = table.windows();
        windows
            .map(|window| (window, table.counts(window)))
            .collect()
    }
}

impl Edge {
    fn new(index: usize, seed: u64) -> Self {
        let name: Name = format!("e{index}").into();
        let node = Node {
            name: name.clone(),
            addr: name.clone(),
            zone: format!("z{}", index % DAEMONS).into(),
            incarnation: 1,
            ..Node::default()
        };
        let seeds = (0..DAEMONS).map(fleet::addr).collect();
        Edge {
            name,
            agent: EdgeAgent::new(node, seeds, seed + index as u64, 0),
            usage: Usage::new(),
        }
    }

    fn count(&mut self, tenant: u64, now: Ms) {
        let tenants = self.usage.entry(now / USAGE_WINDOW).or_default();
        *tenants.entry(format!("t{tenant}").into()).or_default() += 1;
    }

    /// Everything that its proxy counted.
    fn report(&self, now: Ms) -> ProxyReport {
        let windows = self.usage.iter();
        let usage = windows.flat_map(|(window, tenants)| {
            tenants.iter().map(|(tenant, count)| TenantUsage {
                window: *window,
                tenant: tenant.clone(),
                count: *count,
            })
        });
        ProxyReport {
            incarnation: 5,
            http_addr: "h".into(),
            through_change: now,
            usage: List(usage.collect()),
            ..ProxyReport::default()
        }
    }
}

/// Guards against every edge's counts going to every daemon.
#[gtest]
fn usage_goes_to_two_daemons_alone() {
    let mut site = Site::new(1);
    site.run(10_000, 20);
    site.run(1_500, 0);
    let keeping = site.keeping();
    expect_that!(keeping, len(eq(2)));
    let truth = site.true_usage();
    for index in 0..DAEMONS {
        let expected = if keeping.contains(&index) {
            truth.clone()
        } else {
            Usage::new()
        };
        expect_that!(site.counted(index), eq(&expected), "daemon {index}");
    }
}

/// Guards against a daemon that takes the role over without what was counted before, and against counts that come twice
/// by the way.
#[gtest]
fn a_daemon_that_begins_to_keep_usage_is_sent_all_of_it_once() {
    for seed in 0..6 {
        let mut site = Site::new(seed);
        site.run(10_000, 20);
        let keeping = site.keeping();
        let third = (0..DAEMONS).find(|index| !keeping.contains(index)).unwrap();
        site.fleet.kill(keeping[0]);
        site.run(5_000, 20);
        site.run(1_500, 0);
        expect_true!(site.keeping().contains(&third), "seed {seed}");
        expect_that!(site.counted(third), eq(&site.true_usage()), "seed {seed}");
        expect_that!(
            site.counted(keeping[1]),
            eq(&site.true_usage()),
            "seed {seed}"
        );
        site.fleet.start(keeping[0]);
        site.run(COUNTER_RETENTION + 5_000, 20);
        site.run(1_500, 0);
        expect_that!(site.keeping(), eq(&keeping), "seed {seed}");
        for index in keeping {
            expect_that!(site.counted(index), eq(&site.true_usage()), "seed {seed}");
        }
        expect_that!(site.counted(third), eq(&Usage::new()), "seed {seed}");
    }
}

/// Guards against counts of a healed partition that were counted on both sides of it.
#[gtest]
fn a_daemon_that_was_cut_off_has_everything_once_when_it_is_back() {
    for seed in 0..6 {
        let mut site = Site::new(seed);
        site.run(5_000, 20);
        let keeping = site.keeping();
        let addr = fleet::addr(keeping[0]);
        site.fleet.partitioned.insert(addr.clone());
        site.run(6_000, 20);
        site.fleet.partitioned.clear();
        site.run(COUNTER_RETENTION + 3_000, 20);
        site.run(1_500, 0);
        for index in site.keeping() {
            expect_that!(site.counted(index), eq(&site.true_usage()), "seed {seed}");
        }
    }
}
