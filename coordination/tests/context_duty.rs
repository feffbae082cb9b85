//! Who decides where copies of shared context stand: the holder of the service's duty, one at a time, by real control
//! daemons over a network that is cut and disks that sync.

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

/// A service whose keys would have different owners if each went by its own name.
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
fn list() -> PlatformList {
    let one = |i: usize| {
        json!({"id": format!("r{i}"), "zone": format!("z{}", i % 3), "addr": format!("r{i}"), "service": service(), "version": "v1",
            "state": "running", "slots": 64, "loaded": true})
    };
    serde_json::from_value(json!({"replicas": (0..9).map(one).collect::<Vec<_>>()})).unwrap()
}
fn popular(chain: u64, asks: u32) -> ChainDemand {
    ChainDemand {
        weights_version: name_digest("v1"),
        homes_digest: 0,
        chain,
        tokens: 13_300,
        requests: asks * 256,
        overcount: 0,
        cache_misses: 0,
    }
}

struct Duty {
    f: Fleet,
    /// Chains that callers of every region ask for often.
    asked: Vec<u64>,
    /// The daemon that hangs, as it was.
    hangs: Option<(usize, Box<coordination::control::Control>)>,
}

impl Duty {
    fn new(seed: u64) -> Self {
        let mut f = Fleet::founded(seed, 3, |i| format!("reg{i}"));
        f.run(8_000);
        let mut d = Duty {
            f,
            asked: vec![],
            hangs: None,
        };
        expect_that!(d.f.put("spec", &spec(true), 10_000), some(anything()));
        d.run(6_000);
        d
    }
    fn holder(&self, prefix: &str) -> Option<usize> {
        let key = format!("{prefix}{}", service());
        (0..3).find(|i| {
            self.f
                .brain(*i)
                .is_some_and(|b| b.registers.held_until(&key, self.f.now).is_some())
        })
    }
    fn loops(&mut self, i: usize) {
        let now = self.f.now;
        let Some(b) = self.f.all[i].brain.as_mut() else {
            return;
        };
        b.on_replica_list(list(), now);
        let out = b.run_rollouts(now, now / 1_000);
        self.f.carry(i, out);
    }
    /// Every edge asks all daemons, and tells the holder what its callers ask for.
    fn edges(&mut self) {
        let (now, holder) = (self.f.now, self.holder(ROLLOUT_PREFIX));
        for e in 0..3 {
            let name = format!("e{e}");
            let node = Node {
                name: name.as_str().into(),
                role: 2,
                zone: format!("z{e}").as_str().into(),
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
                };
                self.tell(i, &name, poll.into());
            }
            let parts: List<ChainDemand> = self.asked.iter().map(|c| popular(*c, 20)).collect();
            if let Some(i) = holder.filter(|_| !parts.is_empty()) {
                self.tell(
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
    fn tell(&mut self, i: usize, from: &str, m: Message) {
        let now = self.f.now;
        let Some(b) = self.f.all[i].brain.as_mut() else {
            return;
        };
        let out = b.on_message(&from.into(), &from.into(), m, now);
        self.f.carry(i, out);
    }
    fn run(&mut self, ms: Ms) {
        let end = self.f.now + ms;
        while self.f.now < end {
            if self.f.now % 900 < 100 {
                self.edges();
            }
            (0..3).for_each(|i| self.loops(i));
            self.f.run(100);
        }
    }
    fn record(&self, i: usize) -> Option<ContextRecord> {
        self.f
            .held(i, &key())
            .and_then(|(_, v)| serde_json::from_slice(&v).ok())
    }
    /// Copies that each living daemon knows of.
    fn copies(&self) -> Vec<usize> {
        let up = (0..3).filter(|i| self.f.brain(*i).is_some());
        up.map(|i| self.record(i).map_or(0, |r| r.parts.len()))
            .collect()
    }
    fn freeze(&mut self, i: usize) {
        let b = self.f.all[i].brain.take().map(Box::new);
        self.hangs = b.map(|b| (i, b));
    }
    fn wake(&mut self) {
        if let Some((i, b)) = self.hangs.take() {
            self.f.all[i].brain = Some(*b);
        }
    }
}

#[gtest]
fn the_holder_of_the_duty_decides_and_the_next_one_keeps_what_stands() {
    for seed in 0..4 {
        let mut d = Duty::new(seed);
        d.asked = (1..=6).collect();
        d.run(10_000);
        let holder = d.holder(ROLLOUT_PREFIX);
        expect_that!(holder, some(anything()));
        expect_that!(d.holder(CONTEXT_PREFIX), eq(holder), "seed {seed}");
        // Each chain has one place and a copy in both other regions.
        expect_that!(d.copies(), eq(&vec![12; 3]), "seed {seed}");
        // The holder dies, and no edge has told the next one anything yet.
        let old = holder.unwrap_or_default();
        d.asked.clear();
        d.f.kill(old);
        d.run(12_000);
        let next = d.holder(ROLLOUT_PREFIX);
        expect_that!(next, some(not(eq(old))));
        expect_that!(d.holder(CONTEXT_PREFIX), eq(next));
        expect_that!(
            d.copies(),
            eq(&vec![12; 2]),
            "seed {seed}: silence is no cold yet"
        );
        // Nobody asks any more: the next holder gives all back in time.
        d.run(60_000);
        expect_that!(d.copies(), eq(&vec![0; 2]), "seed {seed}");
    }
}

#[gtest]
fn a_holder_that_wakes_writes_nothing_by_what_it_knew() {
    for seed in 10..14 {
        let mut d = Duty::new(seed);
        d.asked = (1..=6).collect();
        d.run(10_000);
        let old = d.holder(ROLLOUT_PREFIX).unwrap_or_default();
        d.freeze(old);
        // Meanwhile others are asked for, by another holder's decision.
        d.asked = (20..=25).collect();
        d.run(90_000);
        let stands = (0..3)
            .filter_map(|i| d.f.held(i, &key()))
            .max_by_key(|h| h.0);
        let chains = |r: &ContextRecord| r.parts.iter().all(|p| p.chain >= 20);
        let now = (0..3).find_map(|i| d.f.brain(i).and_then(|_| d.record(i)));
        expect_that!(
            now.as_ref().map(|r| (r.parts.len(), chains(r))),
            some(eq((12, true))),
            "seed {seed}"
        );
        d.wake();
        // At once, before it hears anybody.
        d.loops(old);
        d.run(5_000);
        for i in 0..3 {
            expect_that!(
                d.f.held(i, &key()).map(|h| h.0),
                eq(stands.as_ref().map(|s| s.0)),
                "seed {seed}, daemon {i}"
            );
        }
    }
}

#[gtest]
fn a_holder_that_is_cut_off_decides_no_more_once_its_lease_is_over() {
    for seed in 20..24 {
        let mut d = Duty::new(seed);
        d.asked = (1..=6).collect();
        d.run(10_000);
        let old = d.holder(ROLLOUT_PREFIX).unwrap_or_default();
        let before = d.f.held(old, &key()).map(|h| h.0);
        d.f.cut.insert(addr(old));
        d.run(4_000);
        // It still has the edges beside it, which ask for something else.
        for _ in 0..20 {
            d.tell(
                old,
                "e0",
                ContextDemand {
                    service: service().as_str().into(),
                    chains: List(vec![popular(77, 90)]),
                }
                .into(),
            );
            d.run(500);
        }
        expect_that!(
            d.f.held(old, &key()).map(|h| h.0),
            eq(before),
            "seed {seed}"
        );
        expect_that!(d.holder(CONTEXT_PREFIX), some(not(eq(old))));
        d.f.cut.clear();
        d.run(10_000);
        expect_true!(d.copies().iter().all(|n| *n == 12));
    }
}

#[gtest]
fn switching_it_off_takes_all_copies_back() {
    let mut d = Duty::new(30);
    d.asked = (1..=6).collect();
    d.run(10_000);
    expect_true!(d.copies().iter().all(|n| *n == 12));
    let status = d.f.brain(0).map(|b| b.status(d.f.now).contexts.len());
    expect_that!(status, some(eq(1)));
    expect_that!(d.f.put("spec", &spec(false), 10_000), some(anything()));
    d.run(5_000);
    expect_true!(d.copies().iter().all(|n| *n == 0));
    for i in 0..3 {
        expect_that!(d.f.held(i, &key()).map(|h| h.1), some(is_empty()));
        expect_that!(
            d.f.brain(i).map(|b| b.status(d.f.now).contexts.len()),
            some(eq(0))
        );
    }
    // And on again.
    expect_that!(d.f.put("spec", &spec(true), 10_000), some(anything()));
    d.run(10_000);
    expect_true!(d.copies().iter().all(|n| *n == 12));
}
