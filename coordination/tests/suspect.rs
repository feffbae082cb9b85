//! Where a proxy sends what it may not send to a version that it suspects, or has no lease for.

use coordination::{
    Ms,
    edge_agent::SERVE_ALL,
    exchange::{AttemptOutcome, RequestHead},
    proxy::{Admission, Assignment, Proxy},
};
use googletest::prelude::*;
use remote_calls::PathSpec;
use serde_json::{Value, json};
use wire_messages::{Blob, Change, Lease, List, ProxyLease, TableUpdate};

const LEASE: Ms = 60_000;

struct Bench {
    proxy: Proxy,
    lane: PathSpec,
    written: u64,
    now: Ms,
}

fn change(key: &str, version: u64, value: &Value) -> Change {
    Change {
        key: key.into(),
        epoch: 1,
        version,
        value: Blob(value.to_string().into_bytes()),
    }
}

impl Bench {
    fn new() -> Self {
        let lane = json!({"lane": "l", "host": "h", "prefix": "/p/", "kind": "repeatable", "time_limit_ms": 10_000,
            "expected_ms": 500, "split": [{"service": "s", "weight": 1}]});
        let spec = json!({"zones": [{"name": "z"}], "tiers": [], "canary_percent": 8, "bake_ms": 0, "paths": [lane],
            "services": [{"name": "s", "version": "", "mode": "placed", "lanes": [], "zones": [], "engine": {"slots": 64}}]});
        let proxy = Proxy::new("p".into(), "z".into(), "h".into(), 1, 5);
        let mut b = Bench {
            proxy,
            lane: serde_json::from_value(lane).unwrap(),
            written: 0,
            now: 1_000,
        };
        b.told(change("spec", 1, &spec));
        b
    }
    fn told(&mut self, c: Change) {
        let version = c.version;
        let lent = Lease {
            service: "s".into(),
            epoch: 1,
            record_version: version,
            canary_share_percent: 8,
            ttl_ms: LEASE as u32,
        };
        let m = TableUpdate {
            proxy_incarnation: 1,
            counters_through: 0,
            serving_rule: SERVE_ALL,
            valid_until: Ms::MAX,
            is_snapshot: 1,
            changes: List(vec![c]),
            leases: List(vec![ProxyLease {
                lease: lent,
                expires_at: self.now + LEASE,
            }]),
            nodes: List::default(),
        };
        self.proxy.on_table_update(m, self.now);
    }
    /// The new version has `share`; the old side's flag stands or not.
    fn record(&mut self, phase: &str, share: u32, flag: bool) {
        self.written += 1;
        let row = |v: &str, i: u32| json!({"id": format!("{v}-{i}"), "zone": "z", "addr": "x", "version": v, "slots": 64});
        let rows: Vec<Value> = ["v1", "v2"]
            .into_iter()
            .flat_map(|v| (0..3).map(move |i| row(v, i)))
            .collect();
        let group = |v: &str, share: u32, flag: bool| {
            let ids: Vec<String> = (0..3).map(|i| format!("{v}-{i}")).collect();
            json!({"role": "stable", "version": v, "share_percent": share, "replicas": ids, "allow_unload": flag})
        };
        let r = json!({"service": "s", "phase": phase, "stable": "v1", "target": "v2", "plan_version": 1, "failed_plan": 0,
            "since_ms": 0, "retiring": [], "alerts": [], "replicas": rows,
            "groups": [group("v2", share, false), group("v1", 100 - share, flag)]});
        self.told(change("rollout/s", self.written, &r));
    }
    fn go(&mut self) -> Option<Assignment> {
        self.now += 20;
        match self.proxy.assign_by_path(
            &self.lane.clone(),
            &RequestHead::default(),
            &[],
            self.now + 10_000,
            self.now,
        ) {
            Admission::Assigned(p) => Some(p),
            _ => None,
        }
    }
    fn versions(&mut self) -> Vec<String> {
        let mut all: Vec<String> = (0..50)
            .map(|_| self.go().map_or("none".into(), |p| p.version))
            .collect();
        all.sort();
        all.dedup();
        all
    }
    /// Everything that goes to the new version fails, until this proxy sends nothing there.
    fn suspect(&mut self) {
        for _ in 0..200 {
            let Some(p) = self.go() else { continue };
            let end = if p.version == "v2" {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Completed
            };
            self.proxy.on_attempt_ended(&p, end, self.now + 10);
        }
    }
}

#[gtest]
fn a_suspected_version_gives_way_to_the_old_one_until_its_flag_stands() {
    let mut b = Bench::new();
    b.record("shifting", 50, false);
    b.suspect();
    expect_that!(b.versions(), eq(&["v1"]));
    // The old side has no share and is loaded: it is there to turn to.
    b.record("baking", 100, false);
    expect_that!(b.versions(), eq(&["v1"]));
    // It may be stopped at any moment.
    b.record("baking", 100, true);
    expect_that!(b.versions(), eq(&["v2"]));
    // A flag may be taken back.
    b.record("baking", 100, false);
    expect_that!(b.versions(), eq(&["v1"]));
}

#[gtest]
fn without_a_lease_nothing_goes_to_where_a_flag_stands() {
    let mut b = Bench::new();
    b.record("baking", 100, true);
    b.now += LEASE;
    expect_that!(b.versions(), eq(&["v2"]));
    b.record("shifting", 50, false);
    b.now += LEASE;
    expect_that!(b.versions(), eq(&["v1"]));
}
