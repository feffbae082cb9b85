use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use remote_calls::{
    GroupRole, OrderAction, PlatformReplica, ReleasePlan, ReplicaReport, RolloutPhase,
    RolloutRecord, Spec,
};
use serde_json::json;

use super::{
    Order, RolloutInputs, RolloutLoop, RolloutStep, VersionedPlan, groups::group, initial_record,
};
use crate::{Ms, bounds::Bounds};

struct Fixture {
    spec: Spec,
    platform: Vec<PlatformReplica>,
    reports: BTreeMap<String, (ReplicaReport, Ms)>,
    rollout_loop: RolloutLoop,
    record: RolloutRecord,
    now: Ms,
}

/// One zone of two replicas with a floor of one. There is no traffic, so a canary passes by time.
fn new_fixture(mode: &str) -> Fixture {
    let spec: Spec = serde_json::from_value(json!({"zones": [{"name": "a"}], "tiers": [], "canary_percent": 10, "bake_ms": 5000,
        "services": [{"name": "s", "version": "v1", "mode": mode, "lanes": [{"name": "l", "time_limit_ms": 1000, "expected_ms": 10}],
            "zones": [{"zone": "a", "replicas": 2, "floor": 1}]}]}))
    .unwrap();
    let platform: Vec<PlatformReplica> = serde_json::from_value(json!([
        {"id": "a-1", "zone": "a", "addr": "x", "service": "s", "version": "v1", "state": "running"},
        {"id": "a-2", "zone": "a", "addr": "y", "service": "s", "version": "v1", "state": "running"}]))
    .unwrap();
    let record = initial_record(&spec.services[0]);
    let mut fixture = Fixture {
        spec,
        platform,
        reports: BTreeMap::new(),
        rollout_loop: RolloutLoop::new(0),
        record,
        now: 0,
    };
    fixture.load("a-1", &["v1"]);
    fixture.load("a-2", &["v1"]);
    fixture
}

impl Fixture {
    fn load(&mut self, id: &str, versions: &[&str]) {
        let loaded: Vec<_> = versions
            .iter()
            .map(|v| json!({"service": "s", "version": v, "ready": true, "streams": 0}))
            .collect();
        let r = json!({"replica": id, "zone": "a", "born": 1, "loaded": loaded, "busy": 0, "slots": 8, "kv_fill": 0.0, "leaving": false});
        self.reports
            .insert(id.into(), (serde_json::from_value(r).unwrap(), self.now));
    }
    /// Applies an order to its replica at once.
    fn apply_order(&mut self, order: &Order) {
        let Order::Replica {
            id,
            action,
            version,
            ..
        } = order
        else {
            return;
        };
        let loaded = self.reports[id].0.loaded.iter();
        let mut versions: Vec<String> = loaded.map(|loaded| loaded.version.clone()).collect();
        versions.retain(|loaded| loaded != version);
        if *action == OrderAction::Load {
            versions.push(version.clone());
        }
        let versions: Vec<&str> = versions.iter().map(String::as_str).collect();
        self.load(id, &versions);
    }
    /// Runs the loop for `ms` and returns all orders; replicas apply them at once if `apply_orders`.
    fn run(&mut self, ms: Ms, plan: Option<&ReleasePlan>, apply_orders: bool) -> Vec<Order> {
        let (mut all, until) = (vec![], self.now + ms);
        while self.now < until {
            self.now += 300;
            self.reports.values_mut().for_each(|r| r.1 = self.now);
            let (leaving, open) = (BTreeSet::new(), |_: &str, _: &str| 0);
            let i = RolloutInputs {
                spec: &self.spec,
                service: &self.spec.services[0],
                plan: plan.map(|plan| VersionedPlan { version: 1, plan }),
                replica_list: &self.platform,
                reports: &self.reports,
                draining: &leaving,
                list_requested_at: self.now,
                open_streams: &open,
                record_version: 0,
                oldest_seen_record: &|| 0,
                bounds: &Bounds::default(),
                now: self.now,
                wall_clock_s: self.now / 1_000,
            };
            let RolloutStep { record, orders } = self.rollout_loop.step(&self.record, &i);
            self.record = record;
            let serving = |r: &RolloutRecord| {
                r.groups
                    .iter()
                    .filter(|g| g.share_percent > 0)
                    .any(|g| !g.replicas.is_empty())
            };
            assert!(
                serving(&self.record),
                "no replica serves requests: {:?}",
                self.record
            );
            if apply_orders {
                for order in &orders {
                    self.apply_order(order);
                }
            }
            all.extend(orders);
        }
        all
    }
}

fn plan(by: u64) -> ReleasePlan {
    ReleasePlan {
        service: "s".into(),
        target: "v2".into(),
        complete_by: by,
        within_s: None,
    }
}

/// A full rollout in a zone with two replicas: replicas load the target before they retire, and never both retire
/// before the target has warmed up.
#[gtest]
fn a_plan_completes_in_a_zone_with_two_replicas() {
    let mut fixture = new_fixture("reconcile");
    let orders = fixture.run(120_000, Some(&plan(600)), true);
    expect_that!(
        (fixture.record.phase, fixture.record.stable.as_str()),
        eq((RolloutPhase::Steady, "v2"))
    );
    let of = |a: OrderAction| {
        orders
            .iter()
            .filter(|o| matches!(o, Order::Replica { action, .. } if *action == a))
            .count()
    };
    expect_that!((of(OrderAction::Load), of(OrderAction::Unload)), eq((2, 2)));
    let first = |a: OrderAction| {
        orders
            .iter()
            .position(|o| matches!(o, Order::Replica { action, .. } if *action == a))
    };
    expect_that!(first(OrderAction::Load), lt(first(OrderAction::Unload)));
    expect_that!(fixture.record.alerts, is_empty());
}

#[gtest]
fn passive_modes_change_nothing_and_alerts_are_raised() {
    for mode in ["ignore", "read_only"] {
        let mut fixture = new_fixture(mode);
        let mut r = fixture.record.clone();
        r.groups = vec![group(GroupRole::Stable, "v1", 100, vec!["a-1".into()])];
        fixture.record = r.clone();
        expect_that!(fixture.run(10_000, Some(&plan(600)), true), is_empty());
        expect_that!(fixture.record, eq(&r));
    }
    // Half a minute is too short for the rollout: an alert is raised at the start, long before the deadline.
    let mut fixture = new_fixture("reconcile");
    fixture.run(2_000, Some(&plan(30)), true);
    expect_that!(
        fixture.record.alerts,
        container_eq(["plan_at_risk".to_string()])
    );
    expect_that!(fixture.record.forecast, gt(30));
    // Replicas never load the new version: the loop is stuck and the plan's deadline passes.
    let mut fixture = new_fixture("reconcile");
    fixture.run(70_000, Some(&plan(30)), false);
    expect_that!(
        fixture.record.alerts,
        container_eq(["stuck".to_string(), "plan_late".to_string()])
    );
    // A version that is neither stable nor a target raises an alert, and is not unloaded without the flag.
    let mut fixture = new_fixture("reconcile");
    fixture.load("a-1", &["v0", "v1"]);
    expect_that!(fixture.run(5_000, None, true), is_empty());
    expect_that!(
        fixture.record.alerts,
        container_eq(["unload_waits".to_string()])
    );
}
