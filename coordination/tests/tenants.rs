//! What many tenants' paths and keys cost a proxy: memory by the path and the key, and nothing by the request.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    collections::BTreeSet,
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
};

use coordination::{
    control::SPEC_KEY,
    exchange::{RequestHead, Sender},
    proxy::Proxy,
};
use googletest::prelude::*;
use remote_calls::{NominateRequest, Spec};
use serde_json::json;
use wire_messages::{Blob, Change, TableUpdate};

/// Counts bytes that are held and that were ever asked for.
struct Counting;
static HELD: AtomicUsize = AtomicUsize::new(0);
static ASKED: AtomicUsize = AtomicUsize::new(0);
/// All tests count on the one heap.
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

/// Keys of each tenant.
const KEYS_EACH: usize = 3;
/// Bytes that a key may take in a proxy, with its part of its tenant.
const KEY_BYTES: usize = 120;

fn key(tenant: usize, number: usize) -> String {
    format!("key-{tenant:05}-{number}-secret")
}

/// One open lane, one that asks for a key, and many tenants. Every thousandth goes before the lane's rank, and is bound
/// to a home.
fn keys(_: &[u8]) -> Option<Spec> {
    let tenant = |number: usize| {
        let keys: Vec<String> = (0..KEYS_EACH).map(|index| key(number, index)).collect();
        let is_special = number.is_multiple_of(1_000);
        let rank = is_special.then_some(0);
        let homes: Vec<&str> = if is_special { vec!["r1"] } else { vec![] };
        json!({"name": format!("tenant-{number}"), "keys": keys, "rank": rank, "homes": homes})
    };
    let path = |lane: &str, open: bool, homes: &[&str]| {
        json!({"lane": lane, "host": "h", "prefix": format!("/{lane}/"), "kind": "stream", "time_limit_ms": 60_000,
            "expected_ms": 1_500, "rank": 4, "open": open, "homes": homes, "split": [{"service": "s", "weight": 1}]})
    };
    let tenants: Vec<_> = (0..TENANTS).map(tenant).collect();
    serde_json::from_value(json!({"zones": [], "tiers": [], "services": [], "canary_percent": 8, "bake_ms": 0, "release": 1,
        "paths": [path("closed", false, &[]), path("open", true, &[]), path("bound", false, &["r1", "r2"]), path("far", false, &["r2"])],
        "access": {"tenants": tenants}}))
    .ok()
}

fn request(lane: &str, key: Option<&str>) -> RequestHead {
    RequestHead {
        host: "h".into(),
        path: format!("/{lane}/x"),
        access_key: key.map(Into::into),
        ..RequestHead::default()
    }
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

/// Guards against requests of unknown senders that run, and against tenants that are taken for others.
#[gtest]
fn a_request_is_its_keys_tenants_or_nobodys() {
    let _alone = ALONE.lock().unwrap_or_else(|e| e.into_inner());
    let mut p = proxy(keys);
    let mut sender = |lane: &str, key: Option<&str>| {
        let admitted = p.admit(&request(lane, key), 30);
        admitted
            .map(|admitted| admitted.sender)
            .map_err(|fault| fault.code)
    };
    for number in [0, 7, TENANTS - 1] {
        for index in 0..KEYS_EACH {
            let tenant = Sender::Tenant(format!("tenant-{number}").into());
            let key = key(number, index);
            expect_that!(sender("closed", Some(&key)), ok(eq(&tenant)));
            expect_that!(sender("open", Some(&key)), ok(eq(&tenant)));
        }
    }
    for unknown in [None, Some("key-00007-3-secret"), Some("")] {
        expect_that!(sender("closed", unknown), err(eq("unauthorized")));
        expect_that!(sender("open", unknown), ok(eq(&Sender::Anonymous)));
        expect_that!(sender("nowhere", unknown), err(eq("not_found")));
    }
}

/// Guards against a tenant's requests at another rank than its own, and outside its homes.
#[gtest]
fn a_tenants_rank_goes_before_its_lanes_and_both_bind_to_homes() {
    let _alone = ALONE.lock().unwrap_or_else(|e| e.into_inner());
    let mut p = proxy(keys);
    let mut lane = |lane: &str, tenant: usize| {
        let key = key(tenant, 0);
        let admitted = p.admit(&request(lane, Some(&key)), 30);
        admitted
            .map(|admitted| (admitted.lane.rank, admitted.lane.homes.clone()))
            .map_err(|fault| fault.code)
    };
    let homes = |names: &[&str]| names.iter().map(ToString::to_string).collect::<Vec<_>>();
    expect_that!(lane("closed", 1), ok(eq(&(4, homes(&[])))));
    expect_that!(lane("bound", 1), ok(eq(&(4, homes(&["r1", "r2"])))));
    expect_that!(lane("closed", 1_000), ok(eq(&(0, homes(&["r1"])))));
    expect_that!(lane("bound", 1_000), ok(eq(&(0, homes(&["r1"])))));
    expect_that!(lane("far", 1_000), err(eq("no_home")));
}

/// Guards against a proxy that outgrows its machine by its tenants' keys, and against keys in its memory or its logs.
#[gtest]
fn keys_of_many_tenants_are_held_as_digests() {
    let _alone = ALONE.lock().unwrap_or_else(|e| e.into_inner());
    let before = HELD.load(Relaxed);
    let mut p = proxy(keys);
    let held = HELD.load(Relaxed) - before;
    println!("{held} bytes for {} keys", KEYS_EACH * TENANTS);
    expect_that!(held, le(KEYS_EACH * TENANTS * KEY_BYTES));
    // The next spec takes the place of the one before.
    let started = std::time::Instant::now();
    p.on_table_update(board(2), 20);
    println!("{:?} to read and index a new spec", started.elapsed());
    expect_that!(
        HELD.load(Relaxed) - before,
        le(KEYS_EACH * TENANTS * KEY_BYTES)
    );
    let known = key(TENANTS - 1, 0);
    let request = request("closed", Some(&known));
    expect_that!(
        format!("{request:?}"),
        not(contains_substring(known.as_str()))
    );
    let asked = ASKED.load(Relaxed);
    let started = std::time::Instant::now();
    for _ in 0..10_000 {
        expect_that!(p.admit(&request, 30).is_ok(), eq(true));
    }
    println!("{:?} for 10,000 look-ups", started.elapsed());
    expect_that!(ASKED.load(Relaxed) - asked, le(10_000 * 200));
}
