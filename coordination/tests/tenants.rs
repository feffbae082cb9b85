//! What many tenants' paths cost a proxy: memory by the path, and nothing by the request.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    collections::BTreeSet,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
};

use coordination::{control::SPEC_KEY, proxy::Proxy};
use googletest::prelude::*;
use remote_calls::{NominateRequest, Spec};
use serde_json::json;
use wire_messages::{Blob, Change, TableUpdate};

/// Counts bytes that are held and that were ever asked for.
struct Counting;
static HELD: AtomicUsize = AtomicUsize::new(0);
static ASKED: AtomicUsize = AtomicUsize::new(0);
/// Both tests count on the one heap.
static ALONE: Mutex<()> = Mutex::new(());

// SAFETY: every call goes on to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, l: Layout) -> *mut u8 {
        HELD.fetch_add(l.size(), Relaxed);
        ASKED.fetch_add(l.size(), Relaxed);
        unsafe { System.alloc(l) }
    }
    unsafe fn dealloc(&self, p: *mut u8, l: Layout) {
        HELD.fetch_sub(l.size(), Relaxed);
        unsafe { System.dealloc(p, l) }
    }
}
#[global_allocator]
static HEAP: Counting = Counting;

const TENANTS: usize = 14_000;
/// Bytes that a path may take in a proxy: the index holds each once.
const PATH_BYTES: usize = 400;

/// The document is made by its reader: its own bytes are none of the proxy's index.
fn tenants(_: &[u8]) -> Option<Spec> {
    let path = |i: usize| {
        // A quarter of the tenants is bound to its home.
        let homes: Vec<&str> = if i.is_multiple_of(4) {
            vec!["r1"]
        } else {
            vec![]
        };
        json!({"lane": format!("lane-{i:05}"), "host": format!("Tenant-{}.example", i / 3), "prefix": format!("/v1/part-{}/", i % 3),
            "kind": "stream", "time_limit_ms": 60_000, "expected_ms": 1_500, "gap_ms": 42, "rank": i % 5, "rounds": 2,
            "affinity": true, "homes": homes, "split": [{"service": "model-1", "weight": 1}]})
    };
    let paths: Vec<_> = (0..3 * TENANTS).map(path).collect();
    serde_json::from_value(json!({"zones": [], "tiers": [], "services": [], "canary_percent": 8, "bake_ms": 0, "release": 1,
        "paths": paths}))
    .ok()
}
/// A service with as many lanes as there are tenants.
fn lanes(_: &[u8]) -> Option<Spec> {
    let lanes: Vec<_> = (0..TENANTS)
        .map(
            |i| json!({"name": format!("lane-{i:05}"), "time_limit_ms": 2_000, "expected_ms": 400}),
        )
        .collect();
    serde_json::from_value(
        json!({"zones": [{"name": "z"}], "tiers": [{"name": "t", "rank": 0, "keep_free": 0}],
        "services": [{"name": "s", "version": "v1", "mode": "reconcile", "lanes": lanes,
            "zones": [{"zone": "z", "replicas": 1, "floor": 1}]}],
        "canary_percent": 8, "bake_ms": 0}),
    )
    .ok()
}

fn board(version: u64) -> TableUpdate {
    let c = Change {
        key: SPEC_KEY.into(),
        epoch: 1,
        version,
        value: Blob(b"spec".to_vec()),
    };
    TableUpdate {
        proxy_incarnation: 1,
        counters_through: 0,
        serving_rule: 2,
        valid_until: u64::MAX,
        is_snapshot: true.into(),
        changes: [c].into_iter().collect(),
        ..TableUpdate::default()
    }
}

fn proxy(reader: fn(&[u8]) -> Option<Spec>) -> Proxy {
    let mut p = Proxy::new("p".into(), "z".into(), "http".into(), 1, 1);
    p.set_spec_parser(reader);
    p.on_table_update(board(1), 10);
    p
}

#[gtest]
fn paths_of_many_tenants_are_held_once_and_found_by_host() {
    let _alone = ALONE.lock().unwrap_or_else(|e| e.into_inner());
    let before = HELD.load(Relaxed);
    let mut p = proxy(tenants);
    expect_that!(HELD.load(Relaxed) - before, le(3 * TENANTS * PATH_BYTES));
    // The next spec takes the place of the one before.
    p.on_table_update(board(2), 20);
    expect_that!(HELD.load(Relaxed) - before, le(3 * TENANTS * PATH_BYTES));
    let mut seen = BTreeSet::new();
    for i in 0..3 * TENANTS {
        let l = p
            .find_lane(
                &format!("tenant-{}.example", i / 3),
                &format!("/v1/part-{}/chat", i % 3),
                30,
            )
            .unwrap();
        expect_that!(l.homes.is_empty(), eq(!i.is_multiple_of(4)));
        seen.insert(l.lane.clone());
    }
    expect_that!(seen, len(eq(3 * TENANTS)));
}

#[gtest]
fn a_request_does_not_copy_the_spec() {
    let _alone = ALONE.lock().unwrap_or_else(|e| e.into_inner());
    let mut p = proxy(lanes);
    let q = NominateRequest {
        service: "s".into(),
        lane: "lane-13999".into(),
        tier: "t".into(),
        homes: vec!["z".into()],
        prefixes: vec![],
        time_left_ms: 2_000,
        run_once: false,
        key: None,
    };
    let before = ASKED.load(Relaxed);
    let said = p.nominate(&q, 30).unwrap_err();
    expect_that!(said.code, eq("full"));
    expect_that!(ASKED.load(Relaxed) - before, le(10_000));
}
