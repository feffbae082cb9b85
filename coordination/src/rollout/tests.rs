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

struct Bench {
    spec: Spec,
    platform: Vec<PlatformReplica>,
    reports: BTreeMap<String, (ReplicaReport, Ms)>,
    rollout_loop: RolloutLoop,
    record: RolloutRecord,
    now: Ms,
}

/// One zone of two replicas with a floor of one; a canary of a quiet service passes by time.
fn new_bench(mode: &str) -> Bench {
    let spec: Spec = serde_json::from_value(json!({"zones": [{"name": "a"}], "tiers": [], "canary_percent": 10, "bake_ms": 5000,
        "services": [{"name": "s", "version": "v1", "mode": mode, "lanes": [{"name": "l", "time_limit_ms": 1000, "expected_ms": 10}],
            "zones": [{"zone": "a", "replicas": 2, "floor": 1}]}]}))
    .unwrap();
    let platform: Vec<PlatformReplica> = serde_json::from_value(json!([
        {"id": "a-1", "zone": "a", "addr": "x", "service": "s", "version": "v1", "state": "running"},
        {"id": "a-2", "zone": "a", "addr": "y", "service": "s", "version": "v1", "state": "running"}]))
    .unwrap();
    let record = initial_record(&spec.services[0]);
    let mut bench = Bench {
        spec,
        platform,
        reports: BTreeMap::new(),
        rollout_loop: RolloutLoop::new(0),
        record,
        now: 0,
    };
    bench.load("a-1", &["v1"]);
    bench.load("a-2", &["v1"]);
    bench
}

impl Bench {
    fn load(&mut self, id: &str, versions: &[&str]) {
        let loaded: Vec<_> = versions
            .iter()
            .map(|v| json!({"service": "s", "version": v, "ready": true, "streams": 0}))
            .collect();
        let r = json!({"replica": id, "zone": "a", "born": 1, "loaded": loaded, "busy": 0, "slots": 8, "kv_fill": 0.0, "leaving": false});
        self.reports
            .insert(id.into(), (serde_json::from_value(r).unwrap(), self.now));
    }
    /// Has a replica carry an order out at once.
    fn obey(&mut self, order: &Order) {
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
    /// Passes of the loop until `ms` have gone by; replicas obey at once if `obey`. Gives all orders.
    fn run(&mut self, ms: Ms, plan: Option<&ReleasePlan>, obey: bool) -> Vec<Order> {
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
            assert!(serving(&self.record), "nobody serves: {:?}", self.record);
            if obey {
                for order in &orders {
                    self.obey(order);
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

/// A region with two replicas: the whole way, load before retire, never both retired at once before the new is warm.
#[gtest]
fn a_plan_is_carried_through_in_a_zone_of_two() {
    let mut bench = new_bench("reconcile");
    let orders = bench.run(120_000, Some(&plan(600)), true);
    expect_that!(
        (bench.record.phase, bench.record.stable.as_str()),
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
    expect_that!(bench.record.alerts, is_empty());
}

#[gtest]
fn modes_do_what_they_say_and_alerts_are_raised() {
    for mode in ["ignore", "read_only"] {
        let mut bench = new_bench(mode);
        let mut r = bench.record.clone();
        r.groups = vec![group(GroupRole::Stable, "v1", 100, vec!["a-1".into()])];
        bench.record = r.clone();
        expect_that!(bench.run(10_000, Some(&plan(600)), true), is_empty());
        expect_that!(bench.record, eq(&r));
    }
    // Half a minute is not enough: an alert is raised at the start, long before it has passed.
    let mut bench = new_bench("reconcile");
    bench.run(2_000, Some(&plan(30)), true);
    expect_that!(
        bench.record.alerts,
        container_eq(["plan_at_risk".to_string()])
    );
    expect_that!(bench.record.forecast, gt(30));
    // Replicas never load the new version: the loop is stuck, and the plan's time passes.
    let mut bench = new_bench("reconcile");
    bench.run(70_000, Some(&plan(30)), false);
    expect_that!(
        bench.record.alerts,
        container_eq(["stuck".to_string(), "plan_late".to_string()])
    );
    // A version nobody asked for waits for a flag: an alert is raised, and it is not unloaded.
    let mut bench = new_bench("reconcile");
    bench.load("a-1", &["v0", "v1"]);
    expect_that!(bench.run(5_000, None, true), is_empty());
    expect_that!(
        bench.record.alerts,
        container_eq(["unload_waits".to_string()])
    );
}
