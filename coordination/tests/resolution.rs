//! Where callers are told to go: near edges that serve, at once, while machines freeze, leave and come back.

use std::collections::{BTreeMap, BTreeSet};

use coordination::{
    Effect, Effects, Ms,
    control::{
        Caller, Control, ControlConfig, DISTANT_LOG_INTERVAL, FLEET_DISCOVERY_TIME, SPEC_KEY,
    },
    edge_agent::{EdgeAgent, POLL_INTERVAL, RULE_DURATION},
    membership::SHUFFLE_INTERVAL,
    register::Expect,
    timing::{NODE_TIMEOUT, TICK_INTERVAL},
    wire::{Message, Name, Node, ProxyReport},
};
use googletest::prelude::*;
use serde_json::{Value, json};

/// ms. Proxies speak to their agents this often.
const HELLO: Ms = 200;
/// ms. How long callers keep an answer, as the platform's directory tells them.
const TTL: Ms = 2_000;

/// One control daemon and two edges in each of four zones, of two regions; messages arrive at once.
struct Land {
    now: Ms,
    control: Control,
    agents: BTreeMap<Name, EdgeAgent>,
    /// Machines that neither run nor are reached, and machines whose proxy alone is down.
    frozen: BTreeSet<Name>,
    silent: BTreeSet<Name>,
}

fn node(name: &str, zone: &str, role: u8) -> Node {
    Node {
        name: name.into(),
        addr: name.into(),
        role,
        zone: zone.into(),
        http_addr: "".into(),
        incarnation: 1,
        ..Node::default()
    }
}

impl Land {
    fn new() -> Self {
        let regions = ["a1", "a2", "b1", "b2"]
            .map(|z| (z.to_string(), z[..1].to_string()))
            .into_iter()
            .collect();
        let p = ControlConfig {
            name: "c".into(),
            zone: "a1".into(),
            addr: "c".into(),
            http_addr: "hc".into(),
            members: vec![],
            seeds: vec!["c".into()],
            bootstrap: true,
            regions,
            spec_parser: coordination::state_table::parse_own_spec,
            bounds: Default::default(),
        };
        let mut l = Land {
            now: 1_000,
            control: Control::new(p, 7, vec![], 7, 1_000),
            agents: BTreeMap::new(),
            frozen: BTreeSet::new(),
            silent: BTreeSet::new(),
        };
        for z in ["a1", "a2", "b1", "b2"] {
            (0..2).for_each(|i| l.add(&format!("{z}-{i}"), z));
        }
        l
    }
    fn add(&mut self, name: &str, zone: &str) {
        let mut a = EdgeAgent::new(
            node(name, zone, 2),
            vec!["c".into()],
            7 + self.agents.len() as u64,
            self.now,
        );
        a.set_serve_when_partitioned(true);
        self.agents.insert(name.into(), a);
    }
    fn deliver(&mut self, from: Name, out: Effects) {
        let mut all: Vec<(Name, Effect)> = out.into_iter().map(|e| (from.clone(), e)).collect();
        while let Some((from, e)) = all.pop() {
            let (to, msg) = match e {
                Effect::Send { to, msg } => (to, msg),
                // The disk takes everything at once.
                Effect::Persist { then, .. } => {
                    all.extend(then.into_iter().map(|e| (from.clone(), e)));
                    continue;
                }
                _ => continue,
            };
            let more = match (&*to, self.agents.get_mut(&to)) {
                ("c", _) => self.control.on_message(&from, &from, msg, self.now),
                (_, Some(a)) if !self.frozen.contains(&to) => {
                    a.on_message(&from, &from, msg, self.now)
                }
                _ => vec![],
            };
            all.extend(more.into_iter().map(|e| (to.clone(), e)));
        }
    }
    fn run(&mut self, ms: Ms) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_INTERVAL;
            let out = self.control.tick(self.now);
            self.deliver("c".into(), out);
            let names: Vec<Name> = self
                .agents
                .keys()
                .filter(|n| !self.frozen.contains(*n))
                .cloned()
                .collect();
            for n in names {
                let a = self.agents.get_mut(&n).unwrap();
                if self.now.is_multiple_of(HELLO) && !self.silent.contains(&n) {
                    let m = ProxyReport {
                        incarnation: 1,
                        http_addr: format!("h-{n}").as_str().into(),
                        ..ProxyReport::default()
                    };
                    let p: Name = format!("p-{n}").into();
                    let _ = a.on_message(&p, &p, Message::from(m), self.now);
                }
                let out = a.tick(self.now);
                self.deliver(n, out);
            }
        }
    }
    fn near(&mut self, host: &str, zone: &str, region: &str) -> Option<BTreeSet<String>> {
        let (answer, _) = self
            .control
            .resolve(Caller { host, zone, region }, self.now);
        Some(answer.ok()?.addresses.into_iter().collect())
    }
    fn told(&mut self, zone: &str, region: &str) -> Vec<String> {
        self.told_for("host", zone, region)
    }
    fn told_for(&mut self, host: &str, zone: &str, region: &str) -> Vec<String> {
        self.near(host, zone, region)
            .unwrap_or_default()
            .into_iter()
            .map(|h| h[2..].to_string())
            .collect()
    }
    /// A spec of lanes, each a host and its homes, as its owner learns it.
    fn spec(&mut self, lanes: &[(&str, &[&str])]) {
        let path = |(i, (host, homes)): (usize, &(&str, &[&str]))| {
            json!({"lane": format!("l{i}"), "host": host, "prefix": format!("/{i}/"), "kind": "once", "time_limit_ms": 1_000,
                "expected_ms": 100, "homes": homes, "split": []})
        };
        let paths: Vec<Value> = lanes.iter().enumerate().map(path).collect();
        let spec = json!({"zones": [], "tiers": [], "services": [], "canary_percent": 10, "bake_ms": 0, "paths": paths});
        let (_, out) = self.control.write(
            SPEC_KEY,
            Expect::Any,
            spec.to_string().into_bytes(),
            self.now,
        );
        self.deliver("c".into(), out);
        self.run(1_000);
        assert!(self.control.spec().is_some());
    }
}
fn names(all: &[&str]) -> Vec<String> {
    all.iter().map(|n| n.to_string()).collect()
}

#[gtest]
fn a_caller_is_told_of_its_zone_then_of_its_region_then_of_all() {
    let mut l = Land::new();
    expect_that!(l.near("host", "a1", "a"), none());
    l.run(2 * FLEET_DISCOVERY_TIME);
    l.spec(&[("host", &[])]);
    expect_that!(l.told("a1", "a"), eq(&names(&["a1-0", "a1-1"])));
    expect_that!(l.told("b2", "b"), eq(&names(&["b2-0", "b2-1"])));
    expect_that!(
        l.told("nowhere", "b"),
        eq(&names(&["b1-0", "b1-1", "b2-0", "b2-1"]))
    );
    expect_that!(l.told("", "").len(), eq(8));
}

#[gtest]
fn an_edge_that_freezes_or_leaves_is_left_out_before_answers_end_and_comes_back() {
    let mut l = Land::new();
    l.run(2 * FLEET_DISCOVERY_TIME);
    l.frozen.insert("a1-0".into());
    l.run(NODE_TIMEOUT + 2 * POLL_INTERVAL);
    // One edge is no choice for a whole zone: its region's others are told too, the frozen one is not.
    expect_that!(l.told("a1", "a"), eq(&names(&["a1-1", "a2-0", "a2-1"])));
    l.frozen.insert("a1-1".into());
    l.run(NODE_TIMEOUT + 2 * POLL_INTERVAL);
    expect_that!(l.told("a1", "a"), eq(&names(&["a2-0", "a2-1"])));
    l.frozen.clear();
    l.run(TTL);
    expect_that!(l.told("a1", "a"), eq(&names(&["a1-0", "a1-1"])));
    // One that is replaced by another of a new name.
    l.agents.remove("b1-0");
    l.add("b1-9", "b1");
    l.run(NODE_TIMEOUT + 2 * POLL_INTERVAL);
    expect_that!(l.told("b1", "b"), eq(&names(&["b1-1", "b1-9"])));
}

// A caller's body must not be carried where its lane has no home, so a region with one edge left is no reason to send
// its callers anywhere.
#[gtest]
fn a_caller_of_a_host_with_homes_is_told_of_its_own_region_and_of_those() {
    let mut l = Land::new();
    l.run(2 * FLEET_DISCOVERY_TIME);
    let gone = |l: &mut Land, n: &[&str]| {
        l.frozen = n.iter().map(|n| Name::from(*n)).collect();
        l.run(NODE_TIMEOUT + 2 * POLL_INTERVAL);
    };
    l.spec(&[
        ("b", &["b"]),
        ("ab", &["a", "b"]),
        ("c", &["c"]),
        ("two", &["a"]),
        ("two", &["a", "b"]),
    ]);
    gone(&mut l, &["a1-0", "a2-0", "a2-1"]);
    // One edge of region a is left.
    expect_that!(
        l.told_for("b", "a1", "a"),
        eq(&names(&["a1-1", "b1-0", "b1-1", "b2-0", "b2-1"]))
    );
    expect_that!(l.told_for("two", "a1", "a"), eq(&names(&["a1-1"])));
    expect_that!(l.told_for("C", "a1", "a"), eq(&names(&["a1-1"])));
    expect_that!(
        l.told_for("two:80", "b1", "b"),
        eq(&names(&["b1-0", "b1-1"]))
    );
    // Where nothing binds all are better than one.
    expect_that!(l.told_for("free", "a1", "a").len(), eq(5));
    // None is left where the host may be carried but elsewhere among its homes.
    gone(&mut l, &["a1-0", "a1-1", "a2-0", "a2-1"]);
    expect_that!(
        l.told_for("ab", "a1", "a"),
        eq(&names(&["b1-0", "b1-1", "b2-0", "b2-1"]))
    );
    expect_that!(l.near("two", "a1", "a"), none());
}

#[gtest]
fn an_edge_whose_proxy_is_silent_is_left_out_until_it_speaks() {
    let mut l = Land::new();
    l.run(2 * FLEET_DISCOVERY_TIME);
    l.silent.insert("a1-0".into());
    l.run(RULE_DURATION + SHUFFLE_INTERVAL + 2 * POLL_INTERVAL);
    expect_that!(l.told("a1", "a"), eq(&names(&["a1-1", "a2-0", "a2-1"])));
    l.silent.clear();
    l.run(TTL);
    expect_that!(l.told("a1", "a"), eq(&names(&["a1-0", "a1-1"])));
    // One that has just started is told of only once its proxy speaks.
    l.silent.insert("a1-7".into());
    l.add("a1-7", "a1");
    l.run(FLEET_DISCOVERY_TIME);
    expect_that!(l.told("a1", "a"), eq(&names(&["a1-0", "a1-1"])));
    l.silent.clear();
    l.run(TTL);
    expect_that!(l.told("a1", "a"), eq(&names(&["a1-0", "a1-1", "a1-7"])));
}

#[gtest]
fn a_daemon_that_hears_few_edges_still_tells_of_those_it_knows() {
    let mut l = Land::new();
    l.run(2 * FLEET_DISCOVERY_TIME);
    l.spec(&[("host", &[])]);
    // More than half stop asking this daemon: it is this daemon that is cut off, and callers need somebody.
    let all: Vec<Name> = l.agents.keys().cloned().collect();
    l.frozen.extend(all[..5].iter().cloned());
    l.run(NODE_TIMEOUT / 2);
    expect_that!(l.told("", "").len(), ge(3));
    l.frozen.extend(all);
    l.run(NODE_TIMEOUT / 2);
    expect_that!(l.told("", ""), not(is_empty()));
}

#[gtest]
fn answers_are_counted_by_reach_and_far_ones_are_logged_now_and_then() {
    let mut l = Land::new();
    l.run(2 * FLEET_DISCOVERY_TIME);
    l.spec(&[("host", &[])]);
    let far = |l: &mut Land, region: &str| {
        let (_, effects) = l.control.resolve(
            Caller {
                host: "host",
                zone: "",
                region,
            },
            l.now,
        );
        effects.len()
    };
    expect_that!(far(&mut l, "a"), eq(0));
    l.frozen.extend(
        names(&["a1-0", "a2-0", "a2-1"])
            .iter()
            .map(|n| Name::from(n.as_str())),
    );
    l.run(NODE_TIMEOUT + 2 * POLL_INTERVAL);
    expect_that!(far(&mut l, "a"), eq(1));
    expect_that!(far(&mut l, "a"), eq(0));
    l.run(DISTANT_LOG_INTERVAL);
    expect_that!(far(&mut l, "a"), eq(1));
    // Whatever a caller calls its region, it fills no memory and no log.
    expect_that!(far(&mut l, "nowhere"), eq(0));
    let counters = l.control.counters(l.now);
    let of = |name| counters.iter().find(|c| c.0 == name).map(|c| c.1);
    expect_that!(of("resolutions_region"), some(eq(1)));
    expect_that!(of("resolutions_fleet"), some(eq(4)));
}

/// Leaves the named edges of eight alone to serve.
fn leave_only(l: &mut Land, serving: &[&str]) {
    l.frozen = l
        .agents
        .keys()
        .filter(|n| !serving.contains(&&***n))
        .cloned()
        .collect();
    l.run(NODE_TIMEOUT + 2 * POLL_INTERVAL);
}

// All edges of the homes restart at once while those of another region are just back.
#[gtest]
fn a_bound_host_is_led_nowhere_while_none_of_its_homes_has_an_edge() {
    let mut l = Land::new();
    l.run(2 * FLEET_DISCOVERY_TIME);
    l.spec(&[("bound", &["a"]), ("free", &[])]);
    leave_only(&mut l, &["b1-0", "b1-1", "b2-0"]);
    expect_that!(l.near("bound", "a1", "a"), none());
    expect_that!(l.near("bound", "nowhere", "nowhere"), none());
    // Its own region is always a caller's to go to, and what is not bound goes where it can.
    expect_that!(
        l.told_for("bound", "b1", "b"),
        eq(&names(&["b1-0", "b1-1"]))
    );
    expect_that!(
        l.told_for("free", "a1", "a"),
        eq(&names(&["b1-0", "b1-1", "b2-0"]))
    );
    l.frozen.clear();
    l.run(TTL);
    expect_that!(
        l.told_for("bound", "a1", "a"),
        eq(&names(&["a1-0", "a1-1"]))
    );
}

#[gtest]
fn a_host_whose_routes_have_no_home_in_common_is_led_no_further_than_the_callers_region() {
    let mut l = Land::new();
    l.run(2 * FLEET_DISCOVERY_TIME);
    l.spec(&[("apart", &["a"]), ("apart", &["b"]), ("apart", &[])]);
    leave_only(&mut l, &["a1-1", "b1-0", "b1-1", "b2-0", "b2-1"]);
    expect_that!(l.told_for("apart", "a1", "a"), eq(&names(&["a1-1"])));
    expect_that!(l.near("apart", "nowhere", "nowhere"), none());
}

// A daemon with a new disk knows no homes yet.
#[gtest]
fn a_daemon_without_a_spec_leads_nobody_out_of_his_region() {
    let mut l = Land::new();
    l.run(2 * FLEET_DISCOVERY_TIME);
    leave_only(&mut l, &["a1-1", "b1-0", "b1-1", "b2-0", "b2-1"]);
    expect_that!(l.told_for("bound", "a1", "a"), eq(&names(&["a1-1"])));
    expect_that!(
        l.told_for("bound", "b1", "b"),
        eq(&names(&["b1-0", "b1-1"]))
    );
    expect_that!(l.near("bound", "nowhere", "nowhere"), none());
}
