//! Tests which version a proxy sends requests to when it suspects a version or its lease has expired.

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

const LEASE_TTL: Ms = 60_000;

struct ProxyFixture {
    proxy: Proxy,
    lane: PathSpec,
    record_version: u64,
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

impl ProxyFixture {
    fn new() -> Self {
        let lane = json!({"lane": "l", "host": "h", "prefix": "/p/", "kind": "repeatable", "time_limit_ms": 10_000,
            "expected_ms": 500, "split": [{"service": "s", "weight": 1}]});
        let spec = json!({"zones": [{"name": "z"}], "tiers": [], "canary_percent": 8, "bake_ms": 0, "paths": [lane],
            "services": [{"name": "s", "version": "", "mode": "placed", "lanes": [], "zones": [], "engine": {"slots": 64}}]});
        let proxy = Proxy::new("p".into(), "z".into(), "h".into(), 1, 5);
        let mut fixture = ProxyFixture {
            proxy,
            lane: serde_json::from_value(lane).unwrap(),
            record_version: 0,
            now: 1_000,
        };
        fixture.apply_change(change("spec", 1, &spec));
        fixture
    }
    fn apply_change(&mut self, change: Change) {
        let version = change.version;
        let granted = Lease {
            service: "s".into(),
            epoch: 1,
            record_version: version,
            canary_share_percent: 8,
            ttl_ms: LEASE_TTL as u32,
        };
        let update = TableUpdate {
            proxy_incarnation: 1,
            counters_through: 0,
            serving_rule: SERVE_ALL,
            valid_until: Ms::MAX,
            is_snapshot: 1,
            changes: List(vec![change]),
            leases: List(vec![ProxyLease {
                lease: granted,
                expires_at: self.now + LEASE_TTL,
            }]),
            nodes: List::default(),
            ..TableUpdate::default()
        };
        self.proxy.on_table_update(update, self.now);
    }
    /// Writes a rollout record in which v2 has `share` percent; `allow_unload` permits unloading the old side.
    fn record(&mut self, phase: &str, share: u32, allow_unload: bool) {
        self.record_version += 1;
        let replica = |v: &str, i: u32| json!({"id": format!("{v}-{i}"), "zone": "z", "addr": "x", "version": v, "slots": 64});
        let replicas: Vec<Value> = ["v1", "v2"]
            .into_iter()
            .flat_map(|v| (0..3).map(move |i| replica(v, i)))
            .collect();
        let group = |v: &str, share: u32, allow_unload: bool| {
            let ids: Vec<String> = (0..3).map(|i| format!("{v}-{i}")).collect();
            json!({"role": "stable", "version": v, "share_percent": share, "replicas": ids, "allow_unload": allow_unload})
        };
        let record = json!({"service": "s", "phase": phase, "stable": "v1", "target": "v2", "plan_version": 1, "failed_plan": 0,
            "since_ms": 0, "retiring": [], "alerts": [], "replicas": replicas,
            "groups": [group("v2", share, false), group("v1", 100 - share, allow_unload)]});
        self.apply_change(change("rollout/s", self.record_version, &record));
    }
    fn assign(&mut self) -> Option<Assignment> {
        self.now += 20;
        match self.proxy.assign_by_path(
            &self.lane.clone(),
            &RequestHead::default(),
            &[],
            self.now + 10_000,
            self.now,
        ) {
            Admission::Assigned(assignment) => Some(assignment),
            _ => None,
        }
    }
    fn versions(&mut self) -> Vec<String> {
        let mut all: Vec<String> = (0..50)
            .map(|_| self.assign().map_or("none".into(), |a| a.version))
            .collect();
        all.sort();
        all.dedup();
        all
    }
    /// Fails all attempts on the new version until the proxy sends nothing there.
    fn suspect(&mut self) {
        for _ in 0..200 {
            let Some(sent) = self.assign() else { continue };
            let outcome = if sent.version == "v2" {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Completed
            };
            self.proxy.on_attempt_ended(&sent, outcome, self.now + 10);
        }
    }
}

#[gtest]
fn requests_avoid_a_suspected_version_until_the_old_version_may_be_unloaded() {
    let mut fixture = ProxyFixture::new();
    fixture.record("shifting", 50, false);
    fixture.suspect();
    expect_that!(fixture.versions(), eq(&["v1"]));
    // The old side has no share but is still loaded, so it can serve the requests.
    fixture.record("baking", 100, false);
    expect_that!(fixture.versions(), eq(&["v1"]));
    // The old side may now be unloaded at any moment.
    fixture.record("baking", 100, true);
    expect_that!(fixture.versions(), eq(&["v2"]));
    // The permission to unload may be withdrawn.
    fixture.record("baking", 100, false);
    expect_that!(fixture.versions(), eq(&["v1"]));
}

#[gtest]
fn without_a_lease_requests_avoid_a_side_that_may_be_unloaded() {
    let mut fixture = ProxyFixture::new();
    fixture.record("baking", 100, true);
    fixture.now += LEASE_TTL;
    expect_that!(fixture.versions(), eq(&["v2"]));
    fixture.record("shifting", 50, false);
    fixture.now += LEASE_TTL;
    expect_that!(fixture.versions(), eq(&["v1"]));
}
