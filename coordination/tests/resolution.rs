//! Tests of the directory: callers get nearby edges that serve, without delay, while machines freeze, leave and return.

use std::collections::{BTreeMap, BTreeSet};

use coordination::{
    Effect, Effects, Ms,
    control::{
        Caller, Control, ControlConfig, FLEET_DISCOVERY_TIME, REMOTE_ROUTING_LOG_INTERVAL, SPEC_KEY,
    },
    edge_agent::{EdgeAgent, POLL_INTERVAL, RULE_DURATION},
    membership::SHUFFLE_INTERVAL,
    register::Expect,
    timing::{NODE_TIMEOUT, TICK_INTERVAL},
    wire::{Message, Name, Node, ProxyReport},
};
use googletest::prelude::*;
use serde_json::{Value, json};

/// Interval between reports of a proxy to its agent, in ms.
const PROXY_REPORT_INTERVAL: Ms = 200;
/// Time for which callers cache an answer, in ms; as in the platform's directory.
const ANSWER_TTL: Ms = 2_000;

/// One control daemon, and two edges in each of four zones in two regions; messages arrive without delay.
struct Topology {
    now: Ms,
    control: Control,
    agents: BTreeMap<Name, EdgeAgent>,
    /// Edge machines that neither run nor can be reached.
    frozen: BTreeSet<Name>,
    /// Edge machines on which only the proxy is down.
    silent_proxies: BTreeSet<Name>,
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

impl Topology {
    fn new() -> Self {
        let regions = ["a1", "a2", "b1", "b2"]
            .map(|z| (z.to_string(), z[..1].to_string()))
            .into_iter()
            .collect();
        let config = ControlConfig {
            name: "c".into(),
            zone: "a1".into(),
            addr: "c".into(),
            http_addr: "hc".into(),
            members: vec![],
            seeds: vec!["c".into()],
            bootstrap: true,
            regions,
            spec_parser: coordination::state_table::parse_native_spec,
            bounds: Default::default(),
        };
        let mut topology = Topology {
            now: 1_000,
            control: Control::new(config, 7, vec![], 7, 1_000),
            agents: BTreeMap::new(),
            frozen: BTreeSet::new(),
            silent_proxies: BTreeSet::new(),
        };
        for zone in ["a1", "a2", "b1", "b2"] {
            for i in 0..2 {
                topology.add(&format!("{zone}-{i}"), zone);
            }
        }
        topology
    }
    fn add(&mut self, name: &str, zone: &str) {
        let mut agent = EdgeAgent::new(
            node(name, zone, 2),
            vec!["c".into()],
            7 + self.agents.len() as u64,
            self.now,
        );
        agent.set_serve_when_partitioned(true);
        self.agents.insert(name.into(), agent);
    }
    fn deliver(&mut self, from: Name, out: Effects) {
        let mut all: Vec<(Name, Effect)> = out.into_iter().map(|e| (from.clone(), e)).collect();
        while let Some((from, effect)) = all.pop() {
            let (to, msg) = match effect {
                Effect::Send { to, msg } => (to, msg),
                // The disk syncs without delay.
                Effect::Persist { then, .. } => {
                    all.extend(then.into_iter().map(|e| (from.clone(), e)));
                    continue;
                }
                _ => continue,
            };
            let more = match (&*to, self.agents.get_mut(&to)) {
                ("c", _) => self.control.on_message(&from, &from, msg, self.now),
                (_, Some(agent)) if !self.frozen.contains(&to) => {
                    agent.on_message(&from, &from, msg, self.now)
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
            for name in names {
                let agent = self.agents.get_mut(&name).unwrap();
                if self.now.is_multiple_of(PROXY_REPORT_INTERVAL)
                    && !self.silent_proxies.contains(&name)
                {
                    let report = ProxyReport {
                        incarnation: 1,
                        http_addr: format!("h-{name}").as_str().into(),
                        ..ProxyReport::default()
                    };
                    let proxy: Name = format!("p-{name}").into();
                    let _ = agent.on_message(&proxy, &proxy, Message::from(report), self.now);
                }
                let out = agent.tick(self.now);
                self.deliver(name, out);
            }
        }
    }
    fn resolve(&mut self, host: &str, zone: &str, region: &str) -> Option<BTreeSet<String>> {
        let (answer, _) = self
            .control
            .resolve(Caller { host, zone, region }, self.now);
        Some(answer.ok()?.addresses.into_iter().collect())
    }
    fn edges_for(&mut self, zone: &str, region: &str) -> Vec<String> {
        self.edges_for_host("host", zone, region)
    }
    fn edges_for_host(&mut self, host: &str, zone: &str, region: &str) -> Vec<String> {
        self.resolve(host, zone, region)
            .unwrap_or_default()
            .into_iter()
            .map(|h| h[2..].to_string())
            .collect()
    }
    /// Writes a spec with the given lanes, each a host and its homes.
    fn write_spec(&mut self, lanes: &[(&str, &[&str])]) {
        let path = |(i, (host, homes)): (usize, &(&str, &[&str]))| {
            json!({"lane": format!("l{i}"), "host": host, "prefix": format!("/{i}/"), "kind": "once", "time_limit_ms": 1_000,
                "expected_ms": 100, "homes": homes, "split": []})
        };
        let paths: Vec<Value> = lanes.iter().enumerate().map(path).collect();
        let document = json!({"zones": [], "tiers": [], "services": [], "canary_percent": 10, "bake_ms": 0, "paths": paths});
        let (_, out) = self.control.write(
            SPEC_KEY,
            Expect::Any,
            document.to_string().into_bytes(),
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
fn callers_get_edges_of_their_zone_then_of_their_region_then_of_the_fleet() {
    let mut topology = Topology::new();
    expect_that!(topology.resolve("host", "a1", "a"), none());
    topology.run(2 * FLEET_DISCOVERY_TIME);
    topology.write_spec(&[("host", &[])]);
    expect_that!(topology.edges_for("a1", "a"), eq(&names(&["a1-0", "a1-1"])));
    expect_that!(topology.edges_for("b2", "b"), eq(&names(&["b2-0", "b2-1"])));
    expect_that!(
        topology.edges_for("nowhere", "b"),
        eq(&names(&["b1-0", "b1-1", "b2-0", "b2-1"]))
    );
    expect_that!(topology.edges_for("", "").len(), eq(8));
}

#[gtest]
fn frozen_or_stopped_edge_is_left_out_within_the_answer_ttl_and_returns() {
    let mut topology = Topology::new();
    topology.run(2 * FLEET_DISCOVERY_TIME);
    topology.frozen.insert("a1-0".into());
    topology.run(NODE_TIMEOUT + 2 * POLL_INTERVAL);
    // A single edge is too few for a zone: the other edges of its region are returned too, but not the frozen one.
    expect_that!(
        topology.edges_for("a1", "a"),
        eq(&names(&["a1-1", "a2-0", "a2-1"]))
    );
    topology.frozen.insert("a1-1".into());
    topology.run(NODE_TIMEOUT + 2 * POLL_INTERVAL);
    expect_that!(topology.edges_for("a1", "a"), eq(&names(&["a2-0", "a2-1"])));
    topology.frozen.clear();
    topology.run(ANSWER_TTL);
    expect_that!(topology.edges_for("a1", "a"), eq(&names(&["a1-0", "a1-1"])));
    // An edge is replaced by one with a new name.
    topology.agents.remove("b1-0");
    topology.add("b1-9", "b1");
    topology.run(NODE_TIMEOUT + 2 * POLL_INTERVAL);
    expect_that!(topology.edges_for("b1", "b"), eq(&names(&["b1-1", "b1-9"])));
}

// The body of a request must not leave the homes of its lane: callers of a region that has a single edge left must not
// be sent to arbitrary regions.
#[gtest]
fn caller_of_a_host_with_homes_gets_edges_of_its_own_region_and_of_the_homes() {
    let mut topology = Topology::new();
    topology.run(2 * FLEET_DISCOVERY_TIME);
    let freeze_only = |topology: &mut Topology, names: &[&str]| {
        topology.frozen = names.iter().map(|name| Name::from(*name)).collect();
        topology.run(NODE_TIMEOUT + 2 * POLL_INTERVAL);
    };
    topology.write_spec(&[
        ("b", &["b"]),
        ("ab", &["a", "b"]),
        ("c", &["c"]),
        ("two", &["a"]),
        ("two", &["a", "b"]),
    ]);
    freeze_only(&mut topology, &["a1-0", "a2-0", "a2-1"]);
    // Region a has one edge left.
    expect_that!(
        topology.edges_for_host("b", "a1", "a"),
        eq(&names(&["a1-1", "b1-0", "b1-1", "b2-0", "b2-1"]))
    );
    expect_that!(
        topology.edges_for_host("two", "a1", "a"),
        eq(&names(&["a1-1"]))
    );
    expect_that!(
        topology.edges_for_host("C", "a1", "a"),
        eq(&names(&["a1-1"]))
    );
    expect_that!(
        topology.edges_for_host("two:80", "b1", "b"),
        eq(&names(&["b1-0", "b1-1"]))
    );
    // A host without homes: all edges are better than one.
    expect_that!(topology.edges_for_host("free", "a1", "a").len(), eq(5));
    // Region a has no edge left, so only other homes of the host can serve it.
    freeze_only(&mut topology, &["a1-0", "a1-1", "a2-0", "a2-1"]);
    expect_that!(
        topology.edges_for_host("ab", "a1", "a"),
        eq(&names(&["b1-0", "b1-1", "b2-0", "b2-1"]))
    );
    expect_that!(topology.resolve("two", "a1", "a"), none());
}

#[gtest]
fn edge_whose_proxy_does_not_report_is_left_out_until_it_does() {
    let mut topology = Topology::new();
    topology.run(2 * FLEET_DISCOVERY_TIME);
    topology.silent_proxies.insert("a1-0".into());
    topology.run(RULE_DURATION + SHUFFLE_INTERVAL + 2 * POLL_INTERVAL);
    expect_that!(
        topology.edges_for("a1", "a"),
        eq(&names(&["a1-1", "a2-0", "a2-1"]))
    );
    topology.silent_proxies.clear();
    topology.run(ANSWER_TTL);
    expect_that!(topology.edges_for("a1", "a"), eq(&names(&["a1-0", "a1-1"])));
    // An edge that has just started is returned only once its proxy reports.
    topology.silent_proxies.insert("a1-7".into());
    topology.add("a1-7", "a1");
    topology.run(FLEET_DISCOVERY_TIME);
    expect_that!(topology.edges_for("a1", "a"), eq(&names(&["a1-0", "a1-1"])));
    topology.silent_proxies.clear();
    topology.run(ANSWER_TTL);
    expect_that!(
        topology.edges_for("a1", "a"),
        eq(&names(&["a1-0", "a1-1", "a1-7"]))
    );
}

#[gtest]
fn daemon_that_receives_few_polls_still_returns_known_edges() {
    let mut topology = Topology::new();
    topology.run(2 * FLEET_DISCOVERY_TIME);
    topology.write_spec(&[("host", &[])]);
    // More than half of the edges stop polling this daemon: the daemon itself is probably partitioned, and callers need
    // edges.
    let all: Vec<Name> = topology.agents.keys().cloned().collect();
    topology.frozen.extend(all[..5].iter().cloned());
    topology.run(NODE_TIMEOUT / 2);
    expect_that!(topology.edges_for("", "").len(), ge(3));
    topology.frozen.extend(all);
    topology.run(NODE_TIMEOUT / 2);
    expect_that!(topology.edges_for("", ""), not(is_empty()));
}

#[gtest]
fn answers_are_counted_by_reach_and_remote_ones_are_logged_at_intervals() {
    let mut topology = Topology::new();
    topology.run(2 * FLEET_DISCOVERY_TIME);
    topology.write_spec(&[("host", &[])]);
    let logged = |topology: &mut Topology, region: &str| {
        let (_, effects) = topology.control.resolve(
            Caller {
                host: "host",
                zone: "",
                region,
            },
            topology.now,
        );
        effects.len()
    };
    expect_that!(logged(&mut topology, "a"), eq(0));
    topology.frozen.extend(
        names(&["a1-0", "a2-0", "a2-1"])
            .iter()
            .map(|n| Name::from(n.as_str())),
    );
    topology.run(NODE_TIMEOUT + 2 * POLL_INTERVAL);
    expect_that!(logged(&mut topology, "a"), eq(1));
    expect_that!(logged(&mut topology, "a"), eq(0));
    topology.run(REMOTE_ROUTING_LOG_INTERVAL);
    expect_that!(logged(&mut topology, "a"), eq(1));
    // An unknown region name of a caller uses no memory and is not logged.
    expect_that!(logged(&mut topology, "nowhere"), eq(0));
    let counters = topology.control.counters(topology.now);
    let counter = |name| counters.iter().find(|c| c.0 == name).map(|c| c.1);
    expect_that!(counter("resolutions_region"), some(eq(1)));
    expect_that!(counter("resolutions_fleet"), some(eq(4)));
}

/// Freezes all edges except the given ones.
fn freeze_all_but(topology: &mut Topology, serving: &[&str]) {
    topology.frozen = topology
        .agents
        .keys()
        .filter(|n| !serving.contains(&&***n))
        .cloned()
        .collect();
    topology.run(NODE_TIMEOUT + 2 * POLL_INTERVAL);
}

// All edges of the homes restart at once while those of another region have just returned.
#[gtest]
fn bound_host_resolves_to_nothing_while_none_of_its_homes_has_an_edge() {
    let mut topology = Topology::new();
    topology.run(2 * FLEET_DISCOVERY_TIME);
    topology.write_spec(&[("bound", &["a"]), ("free", &[])]);
    freeze_all_but(&mut topology, &["b1-0", "b1-1", "b2-0"]);
    expect_that!(topology.resolve("bound", "a1", "a"), none());
    expect_that!(topology.resolve("bound", "nowhere", "nowhere"), none());
    // A caller may always use its own region, and a host without homes may use any region.
    expect_that!(
        topology.edges_for_host("bound", "b1", "b"),
        eq(&names(&["b1-0", "b1-1"]))
    );
    expect_that!(
        topology.edges_for_host("free", "a1", "a"),
        eq(&names(&["b1-0", "b1-1", "b2-0"]))
    );
    topology.frozen.clear();
    topology.run(ANSWER_TTL);
    expect_that!(
        topology.edges_for_host("bound", "a1", "a"),
        eq(&names(&["a1-0", "a1-1"]))
    );
}

#[gtest]
fn host_whose_routes_share_no_home_resolves_within_the_callers_region_only() {
    let mut topology = Topology::new();
    topology.run(2 * FLEET_DISCOVERY_TIME);
    topology.write_spec(&[("apart", &["a"]), ("apart", &["b"]), ("apart", &[])]);
    freeze_all_but(&mut topology, &["a1-1", "b1-0", "b1-1", "b2-0", "b2-1"]);
    expect_that!(
        topology.edges_for_host("apart", "a1", "a"),
        eq(&names(&["a1-1"]))
    );
    expect_that!(topology.resolve("apart", "nowhere", "nowhere"), none());
}

// A daemon with a new disk has no spec yet and therefore knows no homes.
#[gtest]
fn daemon_without_a_spec_sends_no_caller_out_of_its_region() {
    let mut topology = Topology::new();
    topology.run(2 * FLEET_DISCOVERY_TIME);
    freeze_all_but(&mut topology, &["a1-1", "b1-0", "b1-1", "b2-0", "b2-1"]);
    expect_that!(
        topology.edges_for_host("bound", "a1", "a"),
        eq(&names(&["a1-1"]))
    );
    expect_that!(
        topology.edges_for_host("bound", "b1", "b"),
        eq(&names(&["b1-0", "b1-1"]))
    );
    expect_that!(topology.resolve("bound", "nowhere", "nowhere"), none());
}
