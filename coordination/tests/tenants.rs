//! A proxy with many tenants: memory per path and per access key, allocations per request, and how a tenant's access
//! key, rank and home regions affect its requests.

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

/// Allocator that counts the bytes currently allocated and the total ever allocated.
struct CountingAllocator;
static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);
static TOTAL_ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);
/// Runs the tests one at a time, because all of them count on the same heap.
static SERIAL: Mutex<()> = Mutex::new(());

// SAFETY: every call is passed to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Relaxed);
        TOTAL_ALLOCATED_BYTES.fetch_add(layout.size(), Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}
#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const TENANT_COUNT: usize = 14_000;
/// Maximum memory per path in a proxy, in bytes; the index holds each path once.
const MAX_BYTES_PER_PATH: usize = 400;

/// Parser that returns a spec with many paths. It builds the spec itself, so that no document counts towards the proxy's
/// memory.
fn spec_with_paths(_: &[u8]) -> Option<Spec> {
    let path = |i: usize| {
        // Every fourth path is bound to a home region.
        let homes: Vec<&str> = if i.is_multiple_of(4) {
            vec!["r1"]
        } else {
            vec![]
        };
        json!({"lane": format!("lane-{i:05}"), "host": format!("Tenant-{}.example", i / 3), "prefix": format!("/v1/part-{}/", i % 3),
            "kind": "stream", "time_limit_ms": 60_000, "expected_ms": 1_500, "gap_ms": 42, "rank": i % 5, "rounds": 2,
            "affinity": true, "homes": homes, "split": [{"service": "model-1", "weight": 1}]})
    };
    let paths: Vec<_> = (0..3 * TENANT_COUNT).map(path).collect();
    serde_json::from_value(json!({"zones": [], "tiers": [], "services": [], "canary_percent": 8, "bake_ms": 0, "release": 1,
        "paths": paths}))
    .ok()
}
/// Parser that returns a spec with a service that has as many lanes as there are tenants.
fn spec_with_lanes(_: &[u8]) -> Option<Spec> {
    let lanes: Vec<_> = (0..TENANT_COUNT)
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

/// Access keys per tenant.
const KEYS_PER_TENANT: usize = 3;
/// Maximum memory per access key in a proxy, in bytes, including its part of the tenant.
const MAX_BYTES_PER_KEY: usize = 120;

fn key(tenant: usize, number: usize) -> String {
    format!("key-{tenant:05}-{number}-secret")
}

/// Parser that returns a spec with many tenants, an open lane and lanes that require an access key. Every thousandth
/// tenant overrides the lane's rank and is bound to a home region.
fn spec_with_tenants(_: &[u8]) -> Option<Spec> {
    let tenant = |number: usize| {
        let keys: Vec<String> = (0..KEYS_PER_TENANT)
            .map(|index| key(number, index))
            .collect();
        let is_special = number.is_multiple_of(1_000);
        let rank = is_special.then_some(0);
        let homes: Vec<&str> = if is_special { vec!["r1"] } else { vec![] };
        json!({"name": format!("tenant-{number}"), "keys": keys, "rank": rank, "homes": homes})
    };
    let path = |lane: &str, open: bool, homes: &[&str]| {
        json!({"lane": lane, "host": "h", "prefix": format!("/{lane}/"), "kind": "stream", "time_limit_ms": 60_000,
            "expected_ms": 1_500, "rank": 4, "open": open, "homes": homes, "split": [{"service": "s", "weight": 1}]})
    };
    let tenants: Vec<_> = (0..TENANT_COUNT).map(tenant).collect();
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

fn spec_update(version: u64) -> TableUpdate {
    let change = Change {
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
        changes: [change].into_iter().collect(),
        ..TableUpdate::default()
    }
}

fn proxy(parser: fn(&[u8]) -> Option<Spec>) -> Proxy {
    let mut proxy = Proxy::new("p".into(), "z".into(), "http".into(), 1, 1);
    proxy.set_spec_parser(parser);
    proxy.on_table_update(spec_update(1), 10);
    proxy
}

#[gtest]
fn paths_of_many_tenants_are_stored_once_and_found_by_host() {
    let _serial = SERIAL.lock().unwrap_or_else(|e| e.into_inner());
    let before = ALLOCATED_BYTES.load(Relaxed);
    let mut proxy = proxy(spec_with_paths);
    expect_that!(
        ALLOCATED_BYTES.load(Relaxed) - before,
        le(3 * TENANT_COUNT * MAX_BYTES_PER_PATH)
    );
    // A new spec replaces the previous one.
    proxy.on_table_update(spec_update(2), 20);
    expect_that!(
        ALLOCATED_BYTES.load(Relaxed) - before,
        le(3 * TENANT_COUNT * MAX_BYTES_PER_PATH)
    );
    let mut found = BTreeSet::new();
    for i in 0..3 * TENANT_COUNT {
        let lane = proxy
            .find_lane(
                &format!("tenant-{}.example", i / 3),
                &format!("/v1/part-{}/chat", i % 3),
                30,
            )
            .unwrap();
        expect_that!(lane.homes.is_empty(), eq(!i.is_multiple_of(4)));
        found.insert(lane.lane.clone());
    }
    expect_that!(found, len(eq(3 * TENANT_COUNT)));
}

#[gtest]
fn a_request_does_not_copy_the_spec() {
    let _serial = SERIAL.lock().unwrap_or_else(|e| e.into_inner());
    let mut proxy = proxy(spec_with_lanes);
    let request = NominateRequest {
        service: "s".into(),
        lane: "lane-13999".into(),
        tier: "t".into(),
        homes: vec!["z".into()],
        prefixes: vec![],
        time_left_ms: 2_000,
        run_once: false,
        key: None,
    };
    let before = TOTAL_ALLOCATED_BYTES.load(Relaxed);
    let fault = proxy.nominate(&request, 30).unwrap_err();
    expect_that!(fault.code, eq("full"));
    expect_that!(TOTAL_ALLOCATED_BYTES.load(Relaxed) - before, le(10_000));
}

/// Guards against running requests of unknown senders, and against attributing a request to the wrong tenant.
#[gtest]
fn the_access_key_determines_the_sender_of_a_request() {
    let _serial = SERIAL.lock().unwrap_or_else(|e| e.into_inner());
    let mut proxy = proxy(spec_with_tenants);
    let mut sender = |lane: &str, key: Option<&str>| {
        let admitted = proxy.admit(&request(lane, key), 30);
        admitted
            .map(|admitted| admitted.sender)
            .map_err(|fault| fault.code)
    };
    for number in [0, 7, TENANT_COUNT - 1] {
        for index in 0..KEYS_PER_TENANT {
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

/// Guards against a tenant's requests that run at another rank than its own or outside its home regions.
#[gtest]
fn a_tenants_rank_overrides_its_lanes_and_homes_of_both_apply() {
    let _serial = SERIAL.lock().unwrap_or_else(|e| e.into_inner());
    let mut proxy = proxy(spec_with_tenants);
    let mut lane = |lane: &str, tenant: usize| {
        let key = key(tenant, 0);
        let admitted = proxy.admit(&request(lane, Some(&key)), 30);
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

/// Guards against access keys that exhaust a proxy's memory, and against plain-text keys in its memory or logs.
#[gtest]
fn access_keys_of_many_tenants_are_stored_as_digests() {
    let _serial = SERIAL.lock().unwrap_or_else(|e| e.into_inner());
    let before = ALLOCATED_BYTES.load(Relaxed);
    let mut proxy = proxy(spec_with_tenants);
    let allocated = ALLOCATED_BYTES.load(Relaxed) - before;
    println!(
        "{allocated} bytes for {} keys",
        KEYS_PER_TENANT * TENANT_COUNT
    );
    expect_that!(
        allocated,
        le(KEYS_PER_TENANT * TENANT_COUNT * MAX_BYTES_PER_KEY)
    );
    // A new spec replaces the previous one.
    let started = std::time::Instant::now();
    proxy.on_table_update(spec_update(2), 20);
    println!("{:?} to parse and index a new spec", started.elapsed());
    expect_that!(
        ALLOCATED_BYTES.load(Relaxed) - before,
        le(KEYS_PER_TENANT * TENANT_COUNT * MAX_BYTES_PER_KEY)
    );
    let known = key(TENANT_COUNT - 1, 0);
    let request = request("closed", Some(&known));
    expect_that!(
        format!("{request:?}"),
        not(contains_substring(known.as_str()))
    );
    let total_before = TOTAL_ALLOCATED_BYTES.load(Relaxed);
    let started = std::time::Instant::now();
    for _ in 0..10_000 {
        expect_that!(proxy.admit(&request, 30).is_ok(), eq(true));
    }
    println!("{:?} for 10,000 look-ups", started.elapsed());
    expect_that!(
        TOTAL_ALLOCATED_BYTES.load(Relaxed) - total_before,
        le(10_000 * 200)
    );
}
