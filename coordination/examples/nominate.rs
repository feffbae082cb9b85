//! What one nomination costs: microseconds of this machine for each size of a service, over long and short prompts.
//!
//!     cargo run --release -p coordination --example nominate

use std::{
    collections::{BTreeMap, BTreeSet},
    hint::black_box,
    time::Instant,
};

use coordination::{
    bounds::Bounds,
    edge_roster::EdgeRoster,
    exchange::{RequestHead, ResponseSignals},
    placement::{Placement, PlacementRequest},
};
use remote_calls::{EngineSpec, PathSpec, PlacedReplica};

const EDGES: usize = 88;
const ROUNDS: u64 = 20_000;
/// One request in so many has a long prompt.
const LONG: u64 = 13;
/// Different shared parts.
const SHARED: u64 = 300;

fn lane() -> PathSpec {
    serde_json::from_value(serde_json::json!({"lane": "l", "host": "h", "prefix": "/p/", "kind": "stream", "time_limit_ms": 5000,
        "expected_ms": 600, "homes": [], "split": [{"service": "s", "weight": 1}]}))
    .expect("a lane")
}

fn proxy(replicas: usize) -> (Placement, Vec<String>) {
    let zones = ["a1", "a2", "b1", "b2"];
    let regions: BTreeMap<String, String> = zones
        .iter()
        .map(|z| (z.to_string(), z[..1].to_string()))
        .collect();
    let row = |i: usize| PlacedReplica {
        id: format!("i-{i:08x}"),
        zone: zones[i % zones.len()].into(),
        addr: format!("10.0.0.{i}:80"),
        version: "v1".into(),
        slots: 16,
        cold: false,
    };
    let all: Vec<PlacedReplica> = (0..replicas).map(row).collect();
    let names: Vec<String> = (0..EDGES).map(|i| format!("edge-{i}")).collect();
    let mut p = Placement::new("edge-0", "a1", regions, Bounds::default());
    p.set_live_edges(names.len(), "edge-0");
    let mut roster = EdgeRoster::default();
    for name in &names {
        roster.insert(name, "a1");
    }
    p.set_edge_roster(roster);
    p.set_engine(
        "s",
        &EngineSpec {
            slots: 16,
            cold_ms: 3_000,
            cold_rate: Some(24.0),
            ..EngineSpec::default()
        },
    );
    p.set_replicas("s", &all, &BTreeSet::new(), 0);
    (p, all.into_iter().map(|r| r.id).collect())
}

fn ask(n: u64) -> RequestHead {
    let parts = if n.is_multiple_of(LONG) {
        vec![(n % SHARED, 13_300), (n << 32, 3_720)]
    } else {
        vec![(n % 16, 92), (n << 32, 291)]
    };
    RequestHead {
        tokens: (parts.iter().map(|p| p.1).sum(), 45),
        prefix_blocks: parts,
        ..RequestHead::default()
    }
}

fn main() {
    let lane = lane();
    println!("replicas  us a nomination");
    for replicas in [18, 60, 110] {
        let (mut p, ids) = proxy(replicas);
        let mut spent = 0.0;
        for n in 0..ROUNDS {
            let now = 10_000 + n * 85;
            let a = ask(n);
            let w = PlacementRequest {
                lane: &lane,
                head: &a,
                tried: &[],
                evacuated_zones: &BTreeSet::new(),
            };
            let began = Instant::now();
            let to = black_box(p.choose("s", ids.iter(), &w, now));
            spent += began.elapsed().as_secs_f64();
            let Some(to) = to else { continue };
            p.on_sent(&to, &a, now);
            p.on_response_head("s", &to.id, &ResponseSignals::default(), now);
            p.on_first_chunk(&to.id, to.prefill_ms, 5.0, now);
            p.on_attempt_ended(&to.id, None, false, now);
        }
        println!("{replicas:8}  {:.1}", spent * 1e6 / ROUNDS as f64);
    }
}
