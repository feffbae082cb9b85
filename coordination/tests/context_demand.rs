//! Demand counts match the requests within the stated error, and placement keeps its bounds for any reported demand.

use std::collections::BTreeMap;

use coordination::{
    Ms,
    context::{
        CONTEXT_COPIES_MAX, DEMAND_HALF_LIFE, DEMAND_REPORT_INTERVAL_MIN, DEMAND_REPORT_MAX_AGE,
        DemandCount, FleetDemand, LocalDemand, PlacementInputs, PromptChain, REPORTED_CHAINS_MAX,
        TRACKED_CHAINS_MAX, homes_digest, name_digest, next_record,
    },
    wire::{ContextDemand as DemandMsg, List, Name, encode},
};
use googletest::prelude::*;
use remote_calls::{ContextRecord, ContextSpec, PlacedReplica};

fn chain(c: u64) -> PromptChain {
    PromptChain {
        version: name_digest("v1"),
        homes: 0,
        chain: c,
        tokens: 13_300,
    }
}
fn zipf(rng: &mut fastrand::Rng, sums: &[f64]) -> u64 {
    let x = rng.f64() * sums[sums.len() - 1];
    sums.partition_point(|s| *s < x) as u64
}

/// Exact request counts, which decay like the summaries.
#[derive(Default)]
struct Truth(BTreeMap<u64, (f64, Ms)>);
impl Truth {
    fn add(&mut self, c: u64, now: Ms) {
        let n = self.count(c, now);
        self.0.insert(c, (n + 1.0, now));
    }
    fn count(&self, c: u64, now: Ms) -> f64 {
        self.0.get(&c).map_or(0.0, |(n, at)| {
            n * 0.5f64.powf((now - at) as f64 / DEMAND_HALF_LIFE as f64)
        })
    }
}

#[gtest]
fn fleet_demand_stays_within_the_stated_error_and_includes_popular_chains() {
    for (edges, rate, chains) in [(6, 20.0, 400), (88, 90.0, 1_000), (88, 400.0, 20_000)] {
        let sums: Vec<f64> = (1..=chains)
            .scan(0.0, |s, i| {
                *s += 1.0 / f64::from(i);
                Some(*s)
            })
            .collect();
        let mut rng = fastrand::Rng::with_seed(3);
        let (mut all, mut sum, mut truth) = (
            vec![LocalDemand::default(); edges],
            FleetDemand::default(),
            Truth::default(),
        );
        let (mut bytes, mut now) = (0, 0);
        while now < 90_000 {
            now += (1_000.0 / rate) as Ms;
            let c = zipf(&mut rng, &sums);
            truth.add(c, now);
            let e = rng.usize(..edges);
            all[e].count_request(chain(c), now);
            if all[e].is_due(edges, now) {
                let parts = all[e].report(now);
                expect_that!(parts.len(), le(REPORTED_CHAINS_MAX));
                bytes += encode(&envelope(&parts)).map_or(0, |b| b.len());
                sum.merge_report(&Name(format!("e{e}")), parts, now);
            }
        }
        let totals = sum.totals(&|_| Some("r".into()), now);
        let count = |c: u64| {
            totals
                .get(&("r".to_string(), chain(c)))
                .map_or(0.0, |a| a.requests)
        };
        // Never above the true count, except for decay in steps of one second.
        let over = (0..chains as u64)
            .map(|c| count(c) - truth.count(c, now) * 1.05)
            .fold(0.0, f64::max);
        expect_that!(over, le(0.5), "{edges} edges");
        // Below the true count by the error of the summaries, truncated entries, and demand that is not yet reported.
        let recent: f64 = rate * DEMAND_HALF_LIFE as f64 / 1_000.0 / std::f64::consts::LN_2;
        let max_under = recent / TRACKED_CHAINS_MAX as f64 + recent * 0.15;
        let under = (0..20)
            .map(|c| truth.count(c, now) - count(c))
            .fold(0.0, f64::max);
        let rel: Vec<f64> = (0..10)
            .map(|c| 1.0 - count(c) / truth.count(c, now))
            .collect();
        println!(
            "{edges} edges, {rate}/s, {chains} chains: largest undercount {under:.1} of {recent:.0}; ten most popular undercounted by {rel:.2?}; {} B/s to the lease holder",
            bytes / 90
        );
        expect_that!(under, le(max_under));
        let known = (0..20).filter(|c| count(*c) > 0.0).count();
        expect_that!(known, ge(18), "of the twenty most popular");
        expect_that!(
            bytes / 90,
            le(60_000),
            "bytes per second to the lease holder"
        );
    }
}

fn envelope(parts: &[coordination::wire::ChainDemand]) -> coordination::wire::Envelope {
    let msg = DemandMsg {
        service: "s".into(),
        chains: List(parts.to_vec()),
    }
    .into();
    coordination::wire::Envelope {
        from: "edge-1".into(),
        addr: "10.0.0.1:4000".into(),
        msg,
    }
}

#[gtest]
fn demand_decays_and_reports_of_a_removed_edge_expire() {
    let mut d = LocalDemand::default();
    (0..100).for_each(|i| d.count_request(chain(1), i * 10));
    let count = |p: &[coordination::wire::ChainDemand]| p.first().map_or(0, |p| p.requests / 256);
    expect_that!(count(&d.report(1_000)), ge(90));
    expect_that!(
        count(&d.report(1_000 + 2 * DEMAND_HALF_LIFE)),
        all![ge(20), le(26)]
    );
    expect_that!(d.report(1_000 + 20 * DEMAND_HALF_LIFE), is_empty());
    let mut all = FleetDemand::default();
    let mut d = LocalDemand::default();
    (0..100).for_each(|_| d.count_request(chain(1), 0));
    all.merge_report(&"e".into(), d.report(0), 0);
    // A duplicated report counts once.
    all.merge_report(&"e".into(), d.report(0), 0);
    let sum = |all: &mut FleetDemand, now| {
        all.totals(&|_| Some("r".into()), now)
            .values()
            .map(|a| a.requests)
            .sum::<f64>()
    };
    expect_that!(sum(&mut all, 0), near(100.0, 1.0));
    expect_that!(sum(&mut all, DEMAND_HALF_LIFE), near(50.0, 1.0));
    expect_that!(sum(&mut all, DEMAND_REPORT_MAX_AGE), eq(0.0));
    expect_that!(DEMAND_REPORT_INTERVAL_MIN * 3, lt(DEMAND_REPORT_MAX_AGE));
}

#[gtest]
fn a_flood_of_distinct_chains_does_not_displace_the_popular_one() {
    let mut d = LocalDemand::default();
    let mut rng = fastrand::Rng::with_seed(1);
    for i in 0..200_000u64 {
        // One in fifty requests is for the same chain; all others are for new chains.
        d.count_request(chain(if i % 50 == 0 { 1 } else { rng.u64(2..) }), i / 10);
    }
    let all = d.report(20_000);
    expect_that!(all.first().map(|p| p.chain), some(eq(1)));
    let sure = |p: &coordination::wire::ChainDemand| p.requests - p.overcount;
    expect_that!(
        all.iter().skip(1).map(sure).max().unwrap_or(0),
        lt(sure(&all[0]) / 20)
    );
}

// ---- placement ----

fn replica(id: &str, zone: &str) -> PlacedReplica {
    PlacedReplica {
        id: id.into(),
        zone: zone.into(),
        addr: id.into(),
        version: "v1".into(),
        slots: 64,
        cold: false,
    }
}
fn replicas() -> Vec<PlacedReplica> {
    (0..9)
        .map(|i| replica(&format!("r{i}"), ["a", "b", "c"][i % 3]))
        .collect()
}
struct Case {
    on: bool,
    share: u32,
    replicas: Vec<PlacedReplica>,
    homes: Vec<String>,
    is_incomplete: bool,
    demand: BTreeMap<(String, PromptChain), DemandCount>,
}
impl Case {
    fn new() -> Self {
        Case {
            on: true,
            share: 20,
            replicas: replicas(),
            homes: vec![],
            is_incomplete: false,
            demand: BTreeMap::new(),
        }
    }
    fn add(&mut self, zone: &str, c: u64, demand: f64) {
        let c = PromptChain {
            homes: homes_digest(&self.homes),
            ..chain(c)
        };
        self.demand.insert(
            (format!("r{zone}"), c),
            DemandCount {
                requests: demand,
                cache_misses: 0.0,
            },
        );
    }
    fn decide(&self, old: &ContextRecord) -> ContextRecord {
        next_record(
            old,
            &PlacementInputs {
                spec: &ContextSpec {
                    on: self.on,
                    share_percent: self.share,
                },
                cache_tokens: 300_000,
                version: "v1",
                replicas: &self.replicas,
                region: &|z| format!("r{z}"),
                homes: &[(homes_digest(&self.homes), self.homes.clone())].into(),
                demand: &self.demand,
                is_incomplete: self.is_incomplete,
            },
        )
    }
}
fn empty_record() -> ContextRecord {
    ContextRecord {
        service: "s".into(),
        version: "v1".into(),
        parts: vec![],
    }
}

#[gtest]
fn only_popular_chains_are_copied_and_small_changes_move_no_copies() {
    let mut k = Case::new();
    for c in 0..30 {
        ["a", "b", "c"].iter().for_each(|z| k.add(z, c, 20.0));
        ["a", "b", "c"].iter().for_each(|z| k.add(z, 100 + c, 1.0));
    }
    let r = k.decide(&empty_record());
    // Each popular chain has its single place and two copies as far as capacity allows; other chains have none.
    expect_true!(r.parts.iter().all(|p| p.chain < 30));
    expect_that!(r.parts.len(), ge(30));
    expect_that!(k.decide(&r), eq(&r));
    // Half as many requests, or half as many more, do not move existing copies.
    k.demand.values_mut().for_each(|a| a.requests *= 0.5);
    expect_that!(k.decide(&r), eq(&r));
    k.demand.values_mut().for_each(|a| a.requests *= 3.0);
    let more = k.decide(&r);
    expect_true!(r.parts.iter().all(|p| more.parts.contains(p)));
    // Copies without demand are removed, but not while demand reports are incomplete.
    k.demand.clear();
    k.is_incomplete = true;
    expect_that!(k.decide(&r), eq(&r));
    k.is_incomplete = false;
    expect_that!(k.decide(&r).parts, is_empty());
}

#[gtest]
fn the_bound_on_each_replica_and_on_the_record_holds() {
    let mut k = Case::new();
    k.replicas = (0..300)
        .map(|i| replica(&format!("r{i}"), ["a", "b", "c"][i % 3]))
        .collect();
    for c in 0..500 {
        ["a", "b", "c"]
            .iter()
            .for_each(|z| k.add(z, c, 30.0 + c as f64));
    }
    let r = k.decide(&empty_record());
    expect_that!(r.parts.len(), eq(CONTEXT_COPIES_MAX));
    // The most popular chains are placed first.
    expect_that!(r.parts.iter().map(|p| p.chain).min(), some(ge(400)));
    expect_that!(
        serde_json::to_vec(&r)
            .map(|v| v.len())
            .unwrap_or(usize::MAX),
        le(24_000)
    );
    let mut used: BTreeMap<&str, u64> = BTreeMap::new();
    for p in &r.parts {
        p.replicas
            .iter()
            .for_each(|i| *used.entry(i).or_default() += u64::from(p.tokens));
    }
    expect_that!(used.values().max().copied().unwrap_or(0), le(60_000));
}

#[gtest]
fn changed_homes_versions_replicas_or_the_switch_remove_copies_at_once() {
    let mut k = Case::new();
    k.homes = vec!["ra".into(), "rb".into()];
    (0..20).for_each(|c| ["a", "b", "c"].iter().for_each(|z| k.add(z, c, 20.0)));
    let r = k.decide(&empty_record());
    expect_that!(r.parts, not(is_empty()));
    expect_true!(r.parts.iter().all(|p| p.region != "rc"));
    // Requests with homes that no lane has any more get no copies.
    k.homes = vec!["ra".into()];
    expect_that!(k.decide(&r).parts, is_empty());
    k.homes = vec!["ra".into(), "rb".into()];
    // A removed replica holds no copies; they move to another replica of the region.
    let gone = r.parts[0].replicas[0].clone();
    k.replicas.retain(|x| x.id != gone);
    expect_true!(
        k.decide(&r)
            .parts
            .iter()
            .all(|p| !p.replicas.contains(&gone) && !p.replicas.is_empty())
    );
    // After a version change, no copies of the other version remain.
    let other = ContextRecord {
        version: "v0".into(),
        ..r.clone()
    };
    k.demand.clear();
    k.is_incomplete = true;
    expect_that!(k.decide(&other).parts, is_empty());
    k.on = false;
    expect_that!(k.decide(&r).parts, is_empty());
}

#[gtest]
fn a_copy_with_many_cache_misses_is_removed() {
    let mut k = Case::new();
    (0..20).for_each(|c| ["a", "b", "c"].iter().for_each(|z| k.add(z, c, 20.0)));
    let r = k.decide(&empty_record());
    k.demand
        .values_mut()
        .for_each(|a| a.cache_misses = a.requests / 2.0);
    expect_that!(k.decide(&r).parts, is_empty());
}
