//! The limit on requests at a replica that warms up holds for the whole fleet: the sum over all proxies, whatever each
//! of them knows about the others.

use std::collections::BTreeMap;

use coordination::{
    Ms,
    bounds::Bounds,
    edge_agent::SERVE_ALL,
    exchange::RequestHead,
    proxy::{Admission, Proxy},
};
use googletest::prelude::*;
use remote_calls::PathSpec;
use serde_json::{Value, json};
use wire_messages::{Blob, Change, List, Node, TableUpdate};

/// Edges of the largest deployment.
const EDGES: usize = 294;
const ZONES: [(&str, &str); 6] = [
    ("a1", "a"),
    ("b1", "b"),
    ("c1", "c"),
    ("a2", "a"),
    ("b2", "b"),
    ("c2", "c"),
];
/// Requests per second that a replica bears while it warms up, and the duration of that, in ms.
const WARMUP_RATE: f64 = 26.0;
const WARMUP: Ms = 3_000;
/// Length of the windows in which attempts are counted, in ms.
const WINDOW: Ms = 1_000;
/// Interval at which every edge wants to send a request, in ms.
const REQUEST_INTERVAL: Ms = 10;
/// When the proxies learn of the replica, in ms.
const START: Ms = 1_000;

fn edge(index: usize) -> Node {
    Node {
        name: format!("edge-{index}").into(),
        zone: ZONES[index % ZONES.len()].0.into(),
        addr: format!("agent-{index}").into(),
        http_addr: format!("http-{index}").into(),
        ..Node::default()
    }
}

fn change(key: &str, version: u64, value: &Value) -> Change {
    Change {
        key: key.into(),
        epoch: 1,
        version,
        value: Blob(value.to_string().into_bytes()),
    }
}

fn lane() -> Value {
    json!({"lane": "l", "host": "h", "prefix": "/p/", "kind": "stream", "time_limit_ms": 5_000, "expected_ms": 600,
        "split": [{"service": "s", "weight": 1}]})
}

fn spec() -> Value {
    json!({"zones": ZONES.map(|zone| json!({"name": zone.0})), "tiers": [], "canary_percent": 8, "bake_ms": 0,
        "paths": [lane()], "services": [{"name": "s", "version": "v1", "mode": "placed", "lanes": [], "zones": [],
            "engine": {"slots": 64, "cold_ms": WARMUP, "cold_rate": WARMUP_RATE}}]})
}

/// The service's record with one replica, which warms up.
fn record() -> Value {
    json!({"service": "s", "phase": "steady", "stable": "v1", "plan_version": 0, "failed_plan": 0, "since_ms": 0,
        "retiring": [], "alerts": [],
        "replicas": [{"id": "r", "zone": "c1", "addr": "r", "version": "v1", "slots": 64, "cold": true}],
        "groups": [{"role": "stable", "version": "v1", "share_percent": 100, "replicas": ["r"], "allow_unload": false}]})
}

/// The committed roster of the fleet's edges, by zone.
fn roster(edges: impl Iterator<Item = usize>) -> Value {
    let mut by_zone: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for node in edges.map(edge) {
        let names = by_zone.entry(node.zone.to_string()).or_default();
        names.push(node.name.to_string());
    }
    json!({ "edges_by_zone": by_zone })
}

fn table_update(changes: Vec<Change>, known_edges: Vec<Node>) -> TableUpdate {
    TableUpdate {
        proxy_incarnation: 1,
        counters_through: 0,
        serving_rule: SERVE_ALL,
        valid_until: Ms::MAX,
        is_snapshot: 1,
        changes: List(changes),
        leases: List::default(),
        nodes: List(known_edges),
    }
}

/// A proxy whose agent has found `known_edges` so far, with the committed values that every agent reads before it serves.
fn proxy(index: usize, known_edges: impl Iterator<Item = usize>, roster: &Value) -> Proxy {
    let own = edge(index);
    let regions = ZONES.map(|(zone, region)| (zone.to_string(), region.to_string()));
    let mut proxy = Proxy::new(own.name, own.zone, own.http_addr, 1, index as u64);
    proxy.set_bounds(Bounds::default(), regions.into());
    let changes = vec![
        change("spec", 1, &spec()),
        change("edges", 1, roster),
        change("rollout/s", 1, &record()),
    ];
    proxy.on_table_update(
        table_update(changes, known_edges.map(edge).collect()),
        START,
    );
    proxy
}

/// Returns the most attempts that all proxies together send to the replica within a second of its warm-up, if each
/// wants to send one at every interval.
fn most_in_a_second(proxies: &mut [Proxy]) -> usize {
    let lane: PathSpec = serde_json::from_value(lane()).unwrap();
    let head = RequestHead::default();
    let mut sent: Vec<Ms> = vec![];
    for now in (START..START + WARMUP).step_by(REQUEST_INTERVAL as usize) {
        for proxy in proxies.iter_mut() {
            let admission = proxy.assign_by_path(&lane, &head, &[], Ms::MAX, now);
            if matches!(admission, Admission::Assigned(_)) {
                sent.push(now);
            }
        }
    }
    let in_window = |from: &Ms| {
        sent.iter()
            .filter(|at| (*from..from + WINDOW).contains(at))
            .count()
    };
    sent.iter().map(in_window).max().unwrap_or(0)
}

/// Runs a fleet in which `known(i)` are the edges that edge `i` knows.
fn most_with_known_edges(known: impl Fn(usize) -> Vec<usize>) -> usize {
    let roster = roster(0..EDGES);
    let mut proxies: Vec<Proxy> = (0..EDGES)
        .map(|index| proxy(index, known(index).into_iter(), &roster))
        .collect();
    most_in_a_second(&mut proxies)
}

fn limit() -> usize {
    let bounds = Bounds::default();
    (WARMUP_RATE * bounds.cold_over + bounds.cold_slack) as usize
}

/// Least attempts in a second by which a fleet warms a replica up in reasonable time.
const LEAST: usize = 8;

#[gtest]
fn fleet_whose_edges_all_know_each_other_keeps_the_warmup_limit() {
    let most = most_with_known_edges(|_| (0..EDGES).collect());
    expect_that!(most, all![ge(LEAST), le(limit())]);
}

// Guards against the limit growing with the number of groups whose edges know only their own group, as after a partition.
#[gtest]
fn edges_that_know_only_part_of_the_fleet_keep_the_warmup_limit() {
    for groups in [2, 3, 6] {
        let own_group =
            |index: usize| -> Vec<usize> { (index % groups..EDGES).step_by(groups).collect() };
        let most = most_with_known_edges(own_group);
        expect_that!(most, all![ge(LEAST), le(limit())], "{groups} groups");
    }
}

// Guards against edges that have just started, and know few others, each taking a large share.
#[gtest]
fn edges_that_have_just_started_keep_the_warmup_limit() {
    for known_count in [1, 4, 24, 128] {
        let few = |index: usize| -> Vec<usize> {
            (0..known_count)
                .map(|step| (index + step) % EDGES)
                .collect()
        };
        let most = most_with_known_edges(few);
        expect_that!(most, le(limit()), "{known_count} known edges");
    }
}

// Guards against a restarted region whose edges know few others, beside regions that no longer count it.
#[gtest]
fn restarted_region_beside_regions_that_dropped_it_keeps_the_warmup_limit() {
    let is_restarted = |index: usize| ZONES[index % ZONES.len()].1 == "c";
    let known = |index: usize| -> Vec<usize> {
        if is_restarted(index) {
            vec![index, (index + 1) % EDGES]
        } else {
            (0..EDGES).filter(|other| !is_restarted(*other)).collect()
        }
    };
    expect_that!(most_with_known_edges(known), le(limit()));
}

// Guards against edges that are in the middle of receiving a new roster: the fleet grew or shrank by a zone or a region.
#[gtest]
fn edges_with_rosters_of_different_age_keep_the_warmup_limit() {
    let all = roster(0..EDGES);
    let zone_left = roster((0..EDGES).filter(|index| index % ZONES.len() != 2));
    let region_left = roster((0..EDGES).filter(|index| index % ZONES.len() % 3 != 2));
    for (other, what) in [(&zone_left, "zone"), (&region_left, "region")] {
        let mut proxies: Vec<Proxy> = (0..EDGES)
            .map(|index| {
                proxy(
                    index,
                    0..EDGES,
                    if index < EDGES / 2 { &all } else { other },
                )
            })
            .collect();
        expect_that!(most_in_a_second(&mut proxies), le(limit()), "a {what}");
    }
}

// Guards against an edge that is not known to be one of those that share the limit, as one that has just joined.
#[gtest]
fn edges_outside_the_roster_send_nothing_to_a_replica_that_warms_up() {
    for roster in [roster(0..0), roster(EDGES..2 * EDGES)] {
        let mut proxies: Vec<Proxy> = (0..EDGES)
            .map(|index| proxy(index, 0..EDGES, &roster))
            .collect();
        expect_that!(most_in_a_second(&mut proxies), eq(0));
    }
}
