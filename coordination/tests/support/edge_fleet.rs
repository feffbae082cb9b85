//! The proxies of a large fleet at one replica, each with what its agent knows.

use std::collections::BTreeMap;

use coordination::{
    Ms,
    bounds::Bounds,
    edge_agent::{SERVE_ALL, STABLE_ONLY},
    proxy::Proxy,
    wire::{Blob, Change, List, Node, TableUpdate},
};
use serde_json::{Value, json};

/// Edges of the largest deployment.
pub const EDGES: usize = 294;
/// Two zones in each of three regions.
pub const ZONES: [(&str, &str); 6] = [
    ("a1", "a"),
    ("b1", "b"),
    ("c1", "c"),
    ("a2", "a"),
    ("b2", "b"),
    ("c2", "c"),
];
/// Zone of the replica.
const REPLICA_ZONE: &str = "c1";
/// Requests per second that the replica bears while it warms up, and the duration of that, in ms.
const WARMUP_RATE: f64 = 26.0;
pub const WARMUP: Ms = 3_000;
/// Connections that the replica accepts.
pub const CONNECTIONS: usize = 1_900;
/// When the proxies learn of the replica, in ms.
pub const START: Ms = 1_000;

/// Length of the windows in which attempts are counted, in ms.
const WINDOW: Ms = 1_000;

/// Returns how many requests a replica may get in one second while it warms up.
pub fn warmup_limit() -> usize {
    let bounds = Bounds::default();
    (WARMUP_RATE * bounds.cold_over + bounds.cold_slack) as usize
}

/// Returns the most times that lie within one second. `times` ascend.
pub fn most_in_a_second_of(times: &[Ms]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, at) in times.iter().enumerate() {
        while at - times[first] >= WINDOW {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

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

pub fn lane() -> Value {
    json!({"lane": "l", "host": "h", "prefix": "/p/", "kind": "stream", "time_limit_ms": 5_000, "expected_ms": 600,
        "split": [{"service": "s", "weight": 1}]})
}

fn spec() -> Value {
    json!({"zones": ZONES.map(|zone| json!({"name": zone.0})), "tiers": [], "canary_percent": 8, "bake_ms": 0,
        "paths": [lane()], "services": [{"name": "s", "version": "v1", "mode": "placed", "lanes": [], "zones": [],
            "engine": {"slots": 64, "cold_ms": WARMUP, "cold_rate": WARMUP_RATE, "channels": CONNECTIONS}}]})
}

/// The service's record with one replica. `cold`: whether it is listed as warming up.
pub fn record(cold: bool) -> Value {
    record_of(&[("r".into(), REPLICA_ZONE)], cold)
}

/// The service's record with these replicas, each with its zone. `cold`: whether they are listed as warming up.
pub fn record_of(replicas: &[(String, &str)], cold: bool) -> Value {
    let listed: Vec<Value> = replicas
        .iter()
        .map(|(id, zone)| {
            json!({"id": id, "zone": zone, "addr": id, "version": "v1", "slots": 64, "cold": cold})
        })
        .collect();
    let ids: Vec<&String> = replicas.iter().map(|(id, _)| id).collect();
    json!({"service": "s", "phase": "steady", "stable": "v1", "plan_version": 0, "failed_plan": 0, "since_ms": 0,
        "retiring": [], "alerts": [],
        "replicas": listed,
        "groups": [{"role": "stable", "version": "v1", "share_percent": 100, "replicas": ids, "allow_unload": false}]})
}

/// The committed roster of the fleet's edges, by zone.
pub fn roster(edges: impl Iterator<Item = usize>) -> Value {
    let mut by_zone: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for node in edges.map(edge) {
        let names = by_zone.entry(node.zone.to_string()).or_default();
        names.push(node.name.to_string());
    }
    json!({ "edges_by_zone": by_zone })
}

/// The zone of the replica, and its state from the given version on.
pub fn replica_zone(version: u64, is_evacuated: bool) -> Change {
    let state = json!({"zone": REPLICA_ZONE, "evacuated": is_evacuated});
    change(&format!("zone/{REPLICA_ZONE}"), version, &state)
}

/// The service's record from the given version on.
pub fn record_change(version: u64, cold: bool) -> Change {
    change("rollout/s", version, &record(cold))
}

/// Sends a proxy whose agent hears a majority of the control daemons what it has learned.
pub fn tell(proxy: &mut Proxy, changes: Vec<Change>, now: Ms) {
    proxy.on_table_update(table_update(changes, vec![]), now);
}

/// Tells a proxy that its agent no longer hears a majority of the control daemons.
pub fn lose_contact(proxy: &mut Proxy, now: Ms) {
    let update = TableUpdate {
        serving_rule: STABLE_ONLY,
        ..table_update(vec![], vec![])
    };
    proxy.on_table_update(update, now);
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
        ..TableUpdate::default()
    }
}

/// A proxy whose agent has found `known_edges` so far, with the committed values that every agent reads before it serves.
pub fn proxy(
    index: usize,
    known_edges: impl Iterator<Item = usize>,
    roster: &Value,
    record: &Value,
    bounds: Bounds,
) -> Proxy {
    let own = edge(index);
    let regions = ZONES.map(|(zone, region)| (zone.to_string(), region.to_string()));
    let mut proxy = Proxy::new(own.name, own.zone, own.http_addr, 1, index as u64);
    proxy.set_bounds(bounds, regions.into());
    let changes = vec![
        change("spec", 1, &spec()),
        change("edges", 1, roster),
        change("rollout/s", 1, record),
    ];
    proxy.on_table_update(
        table_update(changes, known_edges.map(edge).collect()),
        START,
    );
    proxy
}
