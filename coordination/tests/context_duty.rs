//! Only the lease holder of a service's singleton role places context copies: tests with real control daemons,
//! simulated network partitions and disks that sync.

mod fleet;

use coordination::{
    Ms,
    context::name_digest,
    register::{CONTEXT_PREFIX, ROLLOUT_PREFIX},
    rendezvous::rendezvous_weight,
    wire::{ChainDemand, ContextDemand, List, Message, Node, Poll},
};
use fleet::{Fleet, addr};
use googletest::prelude::*;
use remote_calls::{ContextRecord, PlatformList};
use serde_json::json;

/// Returns a service whose keys would have different owners if ownership followed the full key.
fn service() -> String {
    let first = |key: String| (0..3).max_by_key(|i| rendezvous_weight(&key, &format!("c{i}")));
    let differ =
        |s: &String| first(format!("{ROLLOUT_PREFIX}{s}")) != first(format!("{CONTEXT_PREFIX}{s}"));
    (0..)
        .map(|i| format!("s{i}"))
        .find(differ)
        .unwrap_or_default()
}
fn key() -> String {
    format!("{CONTEXT_PREFIX}{}", service())
}

fn spec(on: bool) -> Vec<u8> {
    let path = json!({"lane": "l", "host": "h", "prefix": "/p/", "kind": "stream", "time_limit_ms": 5000, "expected_ms": 600,
        "homes": [], "split": [{"service": service(), "weight": 1}]});
    let service = json!({"name": service(), "version": "", "mode": "placed", "lanes": [], "zones": [],
        "engine": {"slots": 64, "cache_tokens": 300_000}, "context": {"on": on, "share_percent": 20}});
    json!({"zones": [], "tiers": [], "services": [service], "canary_percent": 8, "bake_ms": 0, "paths": [path]})
        .to_string()
        .into_bytes()
}
fn replica_list() -> PlatformList {
    let one = |i: usize| {
        json!({"id": format!("r{i}"), "zone": format!("z{}", i % 3), "addr": format!("r{i}"), "service": service(), "version": "v1",
            "state": "running", "slots": 64, "loaded": true})
    };
    serde_json::from_value(json!({"replicas": (0..9).map(one).collect::<Vec<_>>()})).unwrap()
}
fn chain_demand(chain: u64, requests: u32) -> ChainDemand {
    ChainDemand {
        weights_version: name_digest("v1"),
        homes_digest: 0,
        chain,
        tokens: 13_300,
        requests: requests * 256,
        overcount: 0,
        cache_misses: 0,
    }
}

struct ContextFleet {
    fleet: Fleet,
    /// Chains that clients of every region request often.
    popular_chains: Vec<u64>,
    /// The suspended daemon with its state.
    suspended: Option<(usize, Box<coordination::control::Control>)>,
}

impl ContextFleet {
    fn new(seed: u64) -> Self {
        let mut fleet = Fleet::bootstrapped(seed, 3, |i| format!("reg{i}"));
        fleet.run(8_000);
        let mut contexts = ContextFleet {
            fleet,
            popular_chains: vec![],
            suspended: None,
        };
        expect_that!(
            contexts
                .fleet
                .write_until_accepted("spec", &spec(true), 10_000),
            some(anything())
        );
        contexts.run(6_000);
        contexts
    }
    fn lease_holder(&self, prefix: &str) -> Option<usize> {
        let key = format!("{prefix}{}", service());
        (0..3).find(|i| {
            self.fleet
                .control(*i)
                .is_some_and(|b| b.registers.held_until(&key, self.fleet.now).is_some())
        })
    }
    fn run_rollouts_at(&mut self, i: usize) {
        let now = self.fleet.now;
        let Some(control) = self.fleet.daemons[i].control.as_mut() else {
            return;
        };
        control.on_replica_list(replica_list(), now);
        let out = control.run_rollouts(now, now / 1_000);
        self.fleet.carry_out(i, out);
    }
    /// Lets every edge poll all daemons and report the demand of its clients to the lease holder.
    fn poll_from_edges(&mut self) {
        let (now, lease_holder) = (self.fleet.now, self.lease_holder(ROLLOUT_PREFIX));
        for edge in 0..3 {
            let name = format!("e{edge}");
            let node = Node {
                name: name.as_str().into(),
                role: 2,
                zone: format!("z{edge}").as_str().into(),
                addr: name.as_str().into(),
                http_addr: "h".into(),
                incarnation: 1,
                heartbeat: now as u32,
                heartbeat_age: 0,
            };
            for i in 0..3 {
                let poll = Poll {
                    node: node.clone(),
                    proxy_incarnation: 1,
                    sent_at: now,
                    source_incarnation: 0,
                    after_position: 0,
                    counters_since: 0,
                    counters_through: 1,
                    counters: List::default(),
                    open_streams: List::default(),
                    has_versions: 1,
                    versions: List::default(),
                    selection: 0,
                    unreachable_edges_version: 0,
                    report_age_ms: 0,
                    usage: List::default(),
                };
                self.deliver(i, &name, poll.into());
            }
            let parts: List<ChainDemand> = self
                .popular_chains
                .iter()
                .map(|c| chain_demand(*c, 20))
                .collect();
            if let Some(i) = lease_holder.filter(|_| !parts.is_empty()) {
                self.deliver(
                    i,
                    &name,
                    ContextDemand {
                        service: service().as_str().into(),
                        chains: parts,
                    }
                    .into(),
                );
            }
        }
    }
    fn deliver(&mut self, i: usize, from: &str, message: Message) {
        let now = self.fleet.now;
        let Some(control) = self.fleet.daemons[i].control.as_mut() else {
            return;
        };
        let out = control.on_message(&from.into(), &from.into(), message, now);
        self.fleet.carry_out(i, out);
    }
    fn run(&mut self, ms: Ms) {
        let end = self.fleet.now + ms;
        while self.fleet.now < end {
            if self.fleet.now % 900 < 100 {
                self.poll_from_edges();
            }
            for i in 0..3 {
                self.run_rollouts_at(i);
            }
            self.fleet.run(100);
        }
    }
    fn record(&self, i: usize) -> Option<ContextRecord> {
        self.fleet
            .value(i, &key())
            .and_then(|(_, v)| serde_json::from_slice(&v).ok())
    }
    /// Returns the number of copies in the record of each running daemon.
    fn copies(&self) -> Vec<usize> {
        let up = (0..3).filter(|i| self.fleet.control(*i).is_some());
        up.map(|i| self.record(i).map_or(0, |r| r.parts.len()))
            .collect()
    }
    fn suspend(&mut self, i: usize) {
        let control = self.fleet.daemons[i].control.take().map(Box::new);
        self.suspended = control.map(|control| (i, control));
    }
    fn resume(&mut self) {
        if let Some((i, control)) = self.suspended.take() {
            self.fleet.daemons[i].control = Some(*control);
        }
    }
}

#[gtest]
fn lease_holder_places_copies_and_its_successor_keeps_them() {
    for seed in 0..4 {
        let mut contexts = ContextFleet::new(seed);
        contexts.popular_chains = (1..=6).collect();
        contexts.run(10_000);
        let lease_holder = contexts.lease_holder(ROLLOUT_PREFIX);
        expect_that!(lease_holder, some(anything()));
        expect_that!(
            contexts.lease_holder(CONTEXT_PREFIX),
            eq(lease_holder),
            "seed {seed}"
        );
        // Each chain has one place and a copy in each of the two other regions.
        expect_that!(contexts.copies(), eq(&vec![12; 3]), "seed {seed}");
        // The lease holder is killed, and no edge reports demand to the next one.
        let old = lease_holder.unwrap_or_default();
        contexts.popular_chains.clear();
        contexts.fleet.kill(old);
        contexts.run(12_000);
        let next = contexts.lease_holder(ROLLOUT_PREFIX);
        expect_that!(next, some(not(eq(old))));
        expect_that!(contexts.lease_holder(CONTEXT_PREFIX), eq(next));
        expect_that!(
            contexts.copies(),
            eq(&vec![12; 2]),
            "seed {seed}: missing reports do not remove copies yet"
        );
        // Without demand, the next lease holder eventually removes all copies.
        contexts.run(60_000);
        expect_that!(contexts.copies(), eq(&vec![0; 2]), "seed {seed}");
    }
}

#[gtest]
fn resumed_lease_holder_writes_nothing_from_stale_demand() {
    for seed in 10..14 {
        let mut contexts = ContextFleet::new(seed);
        contexts.popular_chains = (1..=6).collect();
        contexts.run(10_000);
        let old = contexts.lease_holder(ROLLOUT_PREFIX).unwrap_or_default();
        contexts.suspend(old);
        // Meanwhile other chains are requested, and another lease holder places copies.
        contexts.popular_chains = (20..=25).collect();
        contexts.run(90_000);
        let committed = (0..3)
            .filter_map(|i| contexts.fleet.value(i, &key()))
            .max_by_key(|h| h.0);
        let chains = |r: &ContextRecord| r.parts.iter().all(|p| p.chain >= 20);
        let now = (0..3).find_map(|i| contexts.fleet.control(i).and_then(|_| contexts.record(i)));
        expect_that!(
            now.as_ref().map(|r| (r.parts.len(), chains(r))),
            some(eq((12, true))),
            "seed {seed}"
        );
        contexts.resume();
        // Immediately, before it receives any message.
        contexts.run_rollouts_at(old);
        contexts.run(5_000);
        for i in 0..3 {
            expect_that!(
                contexts.fleet.value(i, &key()).map(|h| h.0),
                eq(committed.as_ref().map(|s| s.0)),
                "seed {seed}, daemon {i}"
            );
        }
    }
}

#[gtest]
fn partitioned_lease_holder_places_no_copies_after_its_lease_expires() {
    for seed in 20..24 {
        let mut contexts = ContextFleet::new(seed);
        contexts.popular_chains = (1..=6).collect();
        contexts.run(10_000);
        let old = contexts.lease_holder(ROLLOUT_PREFIX).unwrap_or_default();
        let before = contexts.fleet.value(old, &key()).map(|h| h.0);
        contexts.fleet.partitioned.insert(addr(old));
        contexts.run(4_000);
        // It still receives demand for another chain from the edges on its side of the partition.
        for _ in 0..20 {
            contexts.deliver(
                old,
                "e0",
                ContextDemand {
                    service: service().as_str().into(),
                    chains: List(vec![chain_demand(77, 90)]),
                }
                .into(),
            );
            contexts.run(500);
        }
        expect_that!(
            contexts.fleet.value(old, &key()).map(|h| h.0),
            eq(before),
            "seed {seed}"
        );
        expect_that!(contexts.lease_holder(CONTEXT_PREFIX), some(not(eq(old))));
        contexts.fleet.partitioned.clear();
        contexts.run(10_000);
        expect_true!(contexts.copies().iter().all(|n| *n == 12));
    }
}

#[gtest]
fn switching_contexts_off_removes_all_copies() {
    let mut contexts = ContextFleet::new(30);
    contexts.popular_chains = (1..=6).collect();
    contexts.run(10_000);
    expect_true!(contexts.copies().iter().all(|n| *n == 12));
    let status = contexts
        .fleet
        .control(0)
        .map(|b| b.status(contexts.fleet.now).contexts.len());
    expect_that!(status, some(eq(1)));
    expect_that!(
        contexts
            .fleet
            .write_until_accepted("spec", &spec(false), 10_000),
        some(anything())
    );
    contexts.run(5_000);
    expect_true!(contexts.copies().iter().all(|n| *n == 0));
    for i in 0..3 {
        expect_that!(
            contexts.fleet.value(i, &key()).map(|h| h.1),
            some(is_empty())
        );
        expect_that!(
            contexts
                .fleet
                .control(i)
                .map(|b| b.status(contexts.fleet.now).contexts.len()),
            some(eq(0))
        );
    }
    // Switched on again.
    expect_that!(
        contexts
            .fleet
            .write_until_accepted("spec", &spec(true), 10_000),
        some(anything())
    );
    contexts.run(10_000);
    expect_true!(contexts.copies().iter().all(|n| *n == 12));
}
