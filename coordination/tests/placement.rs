//! What must hold over all proxies together, each deciding alone: cold ramps, budgets, homes, a prompt's one place.

use std::collections::{BTreeMap, BTreeSet};

use coordination::{
    bounds::Bounds,
    edge_roster::EdgeRoster,
    exchange::{RequestHead, ResponseSignals},
    placement::{HomeBoundDemand, Placement, PlacementRequest, RetryBudget},
    wire::Prefill,
};
use googletest::prelude::*;
use remote_calls::{EngineSpec, PathKind, PathSpec, PlacedReplica};

fn lane(homes: &[&str]) -> PathSpec {
    serde_json::from_value(serde_json::json!({"lane": "l", "host": "h", "prefix": "/p/", "kind": "stream", "time_limit_ms": 5000,
        "expected_ms": 600, "homes": homes, "split": [{"service": "s", "weight": 1}]}))
    .unwrap()
}
fn replica(id: &str, zone: &str, cold: bool) -> PlacedReplica {
    PlacedReplica {
        id: id.into(),
        zone: zone.into(),
        addr: id.into(),
        version: "v1".into(),
        slots: 64,
        cold,
    }
}
fn engine() -> EngineSpec {
    EngineSpec {
        slots: 64,
        cold_ms: 3_000,
        cold_rate: Some(26.0),
        ..EngineSpec::default()
    }
}
fn regions() -> BTreeMap<String, String> {
    [("a", "ra"), ("b", "rb"), ("c", "rc")]
        .map(|(z, r)| (z.to_string(), r.to_string()))
        .into()
}
fn roster(names: &[String]) -> EdgeRoster {
    let mut roster = EdgeRoster::default();
    for name in names {
        roster.insert(name, "a");
    }
    roster
}
/// Proxies of a fleet, spread over three zones, that all know the same replicas.
fn fleet(n: usize, all: &[PlacedReplica]) -> Vec<Placement> {
    let names: Vec<String> = (0..n).map(|i| format!("e{i}")).collect();
    let one = |i: usize| {
        let mut p = Placement::new(
            &names[i],
            ["a", "b", "c"][i % 3],
            regions(),
            Bounds::default(),
        );
        p.set_live_edges(n, &names[i]);
        p.set_edge_roster(roster(&names));
        p.set_engine("s", &engine());
        p.set_replicas("s", all, &BTreeSet::new(), 0);
        p
    };
    (0..n).map(one).collect()
}
fn ask(parts: &[(u64, u32)]) -> RequestHead {
    RequestHead {
        tokens: (parts.iter().map(|p| p.1).sum(), 40),
        prefix_blocks: parts.to_vec(),
        ..RequestHead::default()
    }
}
/// One request through a proxy; it is answered at once if `answered`.
fn go(
    p: &mut Placement,
    ids: &[String],
    lane: &PathSpec,
    a: &RequestHead,
    answered: bool,
    now: u64,
) -> Option<String> {
    let w = PlacementRequest {
        lane,
        head: a,
        tried: &[],
        evacuated_zones: &BTreeSet::new(),
    };
    let n = p.choose("s", ids.iter(), &w, now)?;
    p.on_sent(&n, a, now);
    if answered {
        p.on_response_head("s", &n.id, &ResponseSignals::default(), now);
        p.on_first_chunk(&n.id, n.prefill_ms, 0.0, now);
        p.on_attempt_ended(&n.id, None, false, now);
    }
    Some(n.id)
}

/// What a proxy tells others of, wherever it is read.
fn told(p: &mut Placement, now: u64) -> Vec<Prefill> {
    p.take_prefills(now).into_values().flatten().collect()
}

#[gtest]
fn a_cold_replica_bears_its_rate_over_all_proxies_in_every_second() {
    let b = Bounds::default();
    for n in [1, 2, 6, 11, 40, 88, 360] {
        // The cold one is all there is, so that everybody wants it, far more often than it bears.
        let all = [replica("cold", "a", true)];
        let ids = vec!["cold".to_string()];
        let (mut fleet, l) = (fleet(n, &all), lane(&[]));
        let mut sent: Vec<u64> = vec![];
        for now in (0..2_900).step_by(10) {
            for p in &mut fleet {
                sent.extend(go(p, &ids, &l, &ask(&[(1, 10)]), true, now).map(|_| now));
            }
        }
        let most = sent
            .iter()
            .map(|t| {
                sent.iter()
                    .filter(|s| **s >= *t && **s < *t + 1_000)
                    .count()
            })
            .max()
            .unwrap_or(0);
        expect_that!(
            most as f64,
            le(26.0 * b.cold_over + b.cold_slack),
            "{n} proxies"
        );
        expect_that!(most, ge(8), "{n} proxies warm it too slowly");
    }
}

#[gtest]
fn second_rounds_hold_over_all_proxies_in_every_window() {
    let b = Bounds {
        retry_share: 0.2,
        retry_slack: 52.0,
        ..Bounds::default()
    };
    for n in [1, 6, 88] {
        let mut all = vec![RetryBudget::default(); n];
        let (mut first, mut second): (Vec<u64>, Vec<u64>) = (vec![], vec![]);
        // A quiet time, then everything fails: every first round wants as many second ones as it can get.
        for now in (0..40_000u64).step_by(20) {
            let p = &mut all[(now / 20) as usize % n];
            p.count_first_attempt(&b, now);
            first.push(now);
            for _ in 0..3 {
                if now > 15_000 && p.try_draw_retry(&b, n, now) {
                    second.push(now);
                }
            }
        }
        for end in (b.retry_window..40_000).step_by(100) {
            let within = |v: &[u64]| {
                v.iter()
                    .filter(|t| **t > end - b.retry_window && **t <= end)
                    .count() as f64
            };
            expect_that!(
                within(&second),
                le(b.retry_share * within(&first) + b.retry_slack),
                "{n} proxies at {end}"
            );
        }
        expect_that!(second, not(is_empty()));
    }
}

#[gtest]
fn a_long_shared_prompt_has_one_place_for_all_regions_and_a_short_one_stays_near() {
    let all: Vec<PlacedReplica> = (0..18)
        .map(|i| replica(&format!("r{i}"), ["a", "b", "c"][i % 3], false))
        .collect();
    let ids: Vec<String> = all.iter().map(|r| r.id.clone()).collect();
    let l = lane(&[]);
    for k in 0..50u64 {
        let mut fleet = fleet(6, &all);
        let long = ask(&[(k, 13_000), (1_000 + k, 3_000)]);
        let places: BTreeSet<String> = fleet
            .iter_mut()
            .filter_map(|p| go(p, &ids, &l, &long, true, 10))
            .collect();
        expect_that!(places, len(eq(1)), "prompt {k}");
        for (i, p) in fleet.iter_mut().enumerate() {
            let short = ask(&[(k, 55), (2_000 + k, 40), (i as u64, 290)]);
            let id = go(p, &ids, &l, &short, true, 20).unwrap();
            expect_that!(p.zone_of(&id).unwrap(), eq(["a", "b", "c"][i % 3]));
        }
    }
}

/// Long prompts, in each turn at some of six proxies in three regions that tell what they sent inside the regions;
/// gives how many were carried to another region in each turn, and how many copies of the shared parts there are.
fn carried(prompts: u64, turns: u64, proxies: usize) -> (Vec<usize>, usize) {
    let all: Vec<PlacedReplica> = (0..18)
        .map(|i| replica(&format!("r{i}"), ["a", "b", "c"][i % 3], false))
        .collect();
    let ids: Vec<String> = all.iter().map(|r| r.id.clone()).collect();
    let (mut fleet, l) = (fleet(6, &all), lane(&[]));
    let mut copies: BTreeSet<(u64, String)> = BTreeSet::new();
    let mut far = vec![0; turns as usize];
    for t in 0..turns {
        for k in 0..prompts {
            let now = t * 10_000 + k * 100;
            for i in (0..proxies).map(|i| (i + k as usize) % 6) {
                let a = ask(&[(k + 1, 13_000), (1_000 + now + i as u64, 3_000)]);
                let id = go(&mut fleet[i], &ids, &l, &a, true, now).unwrap();
                far[t as usize] +=
                    usize::from(fleet[i].zone_of(&id) != Some(["a", "b", "c"][i % 3]));
                copies.insert((k, id));
                for r in told(&mut fleet[i], now) {
                    fleet[(i + 3) % 6].on_peer_prefill(&r, now);
                }
            }
        }
    }
    (far, copies.len())
}

#[gtest]
fn a_long_prompt_that_is_asked_for_again_and_again_gets_a_place_in_each_region() {
    let (far, copies) = carried(60, 12, 6);
    // Two thirds would be carried each time if each prompt had one place.
    expect_that!(
        far[0],
        eq(60 * 4),
        "the first time none is worth a copy: {far:?}"
    );
    expect_that!(far[11], le(60 * 6 / 20), "{far:?}");
    expect_that!(copies, le(60 * 3 + 6), "and one copy a region is enough");
    // What is asked for seldom is not copied for it.
    let (_, copies) = carried(400, 1, 2);
    expect_that!(copies, eq(400));
}

#[gtest]
fn homes_and_evacuated_zones_are_kept_whatever_it_costs() {
    let all = [
        replica("ra", "a", false),
        replica("rb", "b", false),
        replica("rc", "c", false),
    ];
    let ids: Vec<String> = all.iter().map(|r| r.id.clone()).collect();
    let mut p = fleet(3, &all).remove(0);
    for _ in 0..200 {
        expect_that!(
            go(&mut p, &ids, &lane(&["rb"]), &ask(&[(1, 10)]), false, 10),
            some(eq("rb"))
        );
    }
    let gone: BTreeSet<String> = ["b".to_string()].into();
    let (l, a) = (lane(&["rb"]), ask(&[(1, 10)]));
    let w = PlacementRequest {
        lane: &l,
        head: &a,
        tried: &[],
        evacuated_zones: &gone,
    };
    expect_that!(p.choose("s", ids.iter(), &w, 10), none());
}

#[gtest]
fn a_region_that_gives_no_sign_of_life_is_left_alone_as_a_whole() {
    // Most replicas are in the regions that will be cut off, and nearer ones are busy reading.
    let all: Vec<PlacedReplica> = (0..30)
        .map(|i| replica(&format!("r{i:02}"), ["a", "b", "b", "c", "c"][i % 5], false))
        .collect();
    let ids: Vec<String> = all.iter().map(|r| r.id.clone()).collect();
    let (mut p, l) = (fleet(3, &all).remove(0), lane(&[]));
    let busy = |p: &mut Placement, now| {
        for id in ids
            .iter()
            .filter(|id| p.zone_of(id) == Some("a"))
            .cloned()
            .collect::<Vec<_>>()
        {
            let n = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
            p.on_peer_prefill(
                &Prefill {
                    replica_number: n,
                    duration_ms: 400,
                    blocks: Default::default(),
                },
                now,
            );
        }
    };
    // Chats, ten a second; what goes to another region is answered until it is cut off.
    let far = |p: &mut Placement, from: u64, to: u64, cut: bool| {
        let mut n = 0;
        for now in (from..to).step_by(100) {
            if now % 400 == 0 {
                busy(p, now);
            }
            let a = ask(&[(now % 7, 55), (now, 290)]);
            let w = PlacementRequest {
                lane: &l,
                head: &a,
                tried: &[],
                evacuated_zones: &BTreeSet::new(),
            };
            let Some(x) = p.choose("s", ids.iter(), &w, now) else {
                continue;
            };
            let away = p.zone_of(&x.id) != Some("a");
            p.on_sent(&x, &a, now);
            n += usize::from(away);
            if away && cut {
                p.on_attempt_ended(&x.id, Some(x.prefill_ms), true, now);
                continue;
            }
            p.on_response_head("s", &x.id, &ResponseSignals::default(), now);
            p.on_first_chunk(&x.id, x.prefill_ms, 0.0, now);
            p.on_attempt_ended(&x.id, None, false, now);
        }
        n
    };
    expect_that!(
        far(&mut p, 1_000, 5_000, false),
        ge(10),
        "they are worth going to"
    );
    // Two regions of twelve replicas each, six seconds: the tries that tell, and a look each 600 ms.
    expect_that!(far(&mut p, 5_000, 11_000, true), le(2 * (7 + 10)));
    far(&mut p, 11_000, 12_000, false);
    expect_that!(
        far(&mut p, 12_000, 16_000, false),
        ge(10),
        "and are so again"
    );
}

#[gtest]
fn a_replica_that_fails_is_left_alone_and_comes_back_slowly() {
    let all = [replica("ra", "a", false), replica("rb", "a", false)];
    let ids: Vec<String> = all.iter().map(|r| r.id.clone()).collect();
    let mut p = fleet(3, &all).remove(0);
    let (l, a) = (lane(&[]), ask(&[(1, 10)]));
    let bad = go(&mut p, &ids, &l, &a, false, 1_000).unwrap();
    p.on_attempt_ended(&bad, Some(1.0), true, 1_000);
    (0..20).for_each(|i| {
        expect_that!(
            go(&mut p, &ids, &l, &a, true, 1_010 + i),
            some(not(eq(&bad)))
        )
    });
    // Later it is tried by one round at a time until that is heard.
    let tries: Vec<String> = (0..200)
        .filter_map(|i| go(&mut p, &ids, &l, &a, i > 150, 1_600 + i))
        .filter(|id| *id == bad)
        .collect();
    expect_that!(tries.len(), le(1));
}

#[gtest]
fn short_prompts_keep_clear_of_replicas_that_read_a_long_one_for_another_proxy() {
    let all: Vec<PlacedReplica> = (0..3)
        .map(|i| replica(&format!("r{i}"), "a", false))
        .collect();
    let ids: Vec<String> = all.iter().map(|r| r.id.clone()).collect();
    let l = lane(&[]);
    let mut fleet = fleet(6, &all);
    let long = ask(&[(7, 40_000), (8, 4_000)]);
    let reads = go(&mut fleet[0], &ids, &l, &long, false, 1_000).unwrap();
    let told = told(&mut fleet[0], 1_050);
    expect_that!(told, len(eq(1)));
    expect_that!(
        fleet[0].take_prefills(1_500),
        is_empty(),
        "not so soon again"
    );
    let p = &mut fleet[3];
    told.iter().for_each(|r| p.on_peer_prefill(r, 1_060));
    // A news of a replica that is not known here is no news.
    p.on_peer_prefill(
        &Prefill {
            replica_number: 1,
            duration_ms: 9,
            ..told[0].clone()
        },
        1_060,
    );
    // Prompts of every kind that are at home there by themselves too.
    for k in 0..40u64 {
        expect_that!(
            go(p, &ids, &l, &ask(&[(k, 55), (9, 200)]), true, 1_100 + k),
            some(not(eq(&reads)))
        );
    }
    let later: BTreeSet<_> = (0..40u64)
        .filter_map(|k| go(p, &ids, &l, &ask(&[(k, 55), (9, 200)]), true, 2_500 + k))
        .collect();
    expect_that!(later, contains(eq(&reads)), "it has been read by then");
}

#[gtest]
fn each_agent_passes_on_as_much_however_large_its_fleet() {
    let all = [replica("r", "a", false)];
    let (ids, l) = (vec!["r".to_string()], lane(&[]));
    for n in [6, 40, 360] {
        let p = &mut fleet(n, &all)[0];
        let mut tellings = 0;
        for now in (0..60_000u64).step_by(50) {
            go(
                p,
                &ids,
                &l,
                &ask(&[(now, 9_000), (now + 1, 3_000)]),
                true,
                now,
            );
            tellings += usize::from(!p.take_prefills(now).is_empty());
        }
        expect_that!(tellings * n, le(60 * 130), "{n} edges");
        expect_that!(tellings, ge(15), "{n} edges");
    }
}

#[gtest]
fn what_is_read_in_another_region_is_told_apart() {
    let all = [replica("ra", "a", false), replica("rb", "b", false)];
    let mut p = fleet(3, &all).remove(0);
    for (i, home) in ["ra", "rb", "rb"].into_iter().enumerate() {
        let ids = [home.to_string()];
        go(
            &mut p,
            &ids,
            &lane(&[]),
            &ask(&[(i as u64, 9_000), (90, 3_000)]),
            true,
            100,
        );
    }
    let told = p.take_prefills(1_000);
    expect_that!(
        told.iter()
            .map(|(r, v)| (r.to_string(), v.len()))
            .collect::<Vec<_>>(),
        elements_are![eq(&("ra".to_string(), 1)), eq(&("rb".to_string(), 2))]
    );
}

#[gtest]
fn a_replica_that_another_proxy_filled_goes_before_the_first_in_order() {
    let all: Vec<PlacedReplica> = (0..18)
        .map(|i| replica(&format!("r{i}"), ["a", "b", "c"][i % 3], false))
        .collect();
    let ids: Vec<String> = all.iter().map(|r| r.id.clone()).collect();
    let (l, long) = (lane(&[]), ask(&[(7, 13_000), (8, 3_000)]));
    let mut fleet = fleet(6, &all);
    let first = go(&mut fleet[1], &ids, &l, &long, true, 10).unwrap();
    // The first in order is not to be had at one proxy: another keeps the parts from then on.
    let others: Vec<String> = ids.iter().filter(|id| **id != first).cloned().collect();
    let kept = go(&mut fleet[0], &others, &l, &long, true, 20).unwrap();
    told(&mut fleet[0], 1_000)
        .iter()
        .for_each(|r| fleet[2].on_peer_prefill(r, 1_010));
    expect_that!(
        go(&mut fleet[2], &ids, &l, &long, true, 5_000),
        some(eq(&kept))
    );
    // Who has heard nothing follows the order.
    expect_that!(
        go(&mut fleet[3], &ids, &l, &long, true, 5_000),
        some(eq(&first))
    );
}

#[gtest]
fn a_prompt_waits_for_the_replica_that_keeps_its_parts_rather_than_have_them_read_again() {
    let all: Vec<PlacedReplica> = (0..18)
        .map(|i| replica(&format!("r{i}"), ["a", "b", "c"][i % 3], false))
        .collect();
    let ids: Vec<String> = all.iter().map(|r| r.id.clone()).collect();
    let (l, long) = (lane(&[]), ask(&[(7, 13_000), (8, 3_000)]));
    let mut fleet = fleet(6, &all);
    let first = go(&mut fleet[0], &ids, &l, &long, true, 10).unwrap();
    let told = told(&mut fleet[0], 1_000);
    let busy = |ms| Prefill {
        duration_ms: ms,
        blocks: Default::default(),
        ..told[0].clone()
    };
    for p in &mut fleet[1..] {
        told.iter().for_each(|r| p.on_peer_prefill(r, 1_010));
        p.on_peer_prefill(&busy(1_000), 2_000);
        expect_that!(go(p, &ids, &l, &long, true, 2_010), some(eq(&first)));
        p.on_peer_prefill(&busy(4_000), 3_000);
        expect_that!(
            go(p, &ids, &l, &long, true, 3_010),
            some(not(eq(&first))),
            "not for however long"
        );
    }
}

/// Says to each proxy of `to` what failed at the first.
fn tell(from: &mut Placement, name: &str, zone: &str, to: &mut [Placement], now: u64) {
    let failing = from.take_failing(now);
    to.iter_mut().for_each(|p| {
        failing
            .iter()
            .for_each(|n| p.on_peer_failure(*n, name, zone, now))
    });
}

#[gtest]
fn a_replica_that_failed_one_proxy_gets_less_from_all_of_the_region_and_is_tried_again_by_a_few() {
    let all: Vec<PlacedReplica> = (0..8)
        .map(|i| replica(&format!("r{i}"), "a", false))
        .collect();
    let ids: Vec<String> = all.iter().map(|r| r.id.clone()).collect();
    let (l, a) = (lane(&[]), ask(&[(1, 55), (2, 300)]));
    // Every third stands in the zone a; the second in b, another region.
    let mut fleet = fleet(30, &all);
    let dark = go(&mut fleet[0], &ids, &l, &a, true, 900).unwrap();
    let (mut tries, mut tries_far) = (vec![], 0);
    for now in (1_000..7_000u64).step_by(10) {
        let i = (now / 10) as usize % 30;
        let w = PlacementRequest {
            lane: &l,
            head: &a,
            tried: &[],
            evacuated_zones: &BTreeSet::new(),
        };
        let n = fleet[i].choose("s", ids.iter(), &w, now).unwrap();
        fleet[i].on_sent(&n, &a, now);
        if n.id != dark {
            fleet[i].on_first_chunk(&n.id, n.prefill_ms, 0.0, now);
            fleet[i].on_attempt_ended(&n.id, None, false, now);
            continue;
        }
        fleet[i].on_attempt_ended(&n.id, Some(n.prefill_ms), true, now);
        if i.is_multiple_of(3) {
            tries.push(now);
        }
        tries_far += usize::from(i % 3 == 1);
        let (name, zone) = (format!("e{i}"), ["a", "b", "c"][i % 3]);
        let mut p = fleet.remove(i);
        tell(&mut p, &name, zone, &mut fleet, now);
        fleet.insert(i, p);
    }
    // Alone, each of the ten would find it out for itself, again and again.
    expect_that!(tries.len(), all!(ge(2), le(10)), "{tries:?}");
    expect_that!(
        tries_far,
        ge(1),
        "who stands elsewhere goes by its own region's word"
    );
    // It is well again: soon it has its place back.
    let back = (9_000..14_000u64).step_by(10).filter(|now| {
        let i = (now / 10) as usize % 30;
        go(&mut fleet[i], &ids, &l, &a, true, *now).as_ref() == Some(&dark)
    });
    expect_that!(back.count(), ge(100));
}

#[gtest]
fn a_proxy_whose_own_link_is_bad_takes_little_from_a_replica() {
    let all = [replica("ra", "a", false), replica("rb", "b", false)];
    let ids: Vec<String> = all.iter().map(|r| r.id.clone()).collect();
    let (l, a) = (lane(&[]), ask(&[(1, 10)]));
    let mut fleet = fleet(6, &all);
    let number = |p: &mut Placement, id: &str| {
        let w = PlacementRequest {
            lane: &l,
            head: &a,
            tried: &[],
            evacuated_zones: &BTreeSet::new(),
        };
        let n = p.choose("s", [id.to_string()].iter(), &w, 10).unwrap();
        p.on_sent(&n, &a, 10);
        p.on_attempt_ended(id, Some(n.prefill_ms), true, 10);
        p.take_failing(1_000)[0]
    };
    let ra = number(&mut fleet[3], "ra");
    // The near one stays the better one, however often a single neighbour says that it failed.
    (0..50).for_each(|i| fleet[0].on_peer_failure(ra, "e3", "a", 2_000 + i));
    expect_that!(go(&mut fleet[0], &ids, &l, &a, true, 2_060), some(eq("ra")));
    // Others say so too: until their word fades it is left to those that must.
    ["e6", "e9", "e12"]
        .iter()
        .for_each(|e| fleet[0].on_peer_failure(ra, e, "a", 2_100));
    expect_that!(go(&mut fleet[0], &ids, &l, &a, true, 2_110), some(eq("rb")));
    expect_that!(go(&mut fleet[0], &ids, &l, &a, true, 8_000), some(eq("ra")));
    // The word of another region may be about the way.
    ["e1", "e4", "e7", "e10"]
        .iter()
        .for_each(|e| fleet[0].on_peer_failure(ra, e, "b", 9_000));
    expect_that!(go(&mut fleet[0], &ids, &l, &a, true, 9_010), some(eq("ra")));
}

#[gtest]
fn requests_that_must_go_far_keep_to_replicas_whose_channels_are_at_hand() {
    let all: Vec<PlacedReplica> = (0..40)
        .map(|i| replica(&format!("r{i}"), ["b", "c"][i % 2], false))
        .collect();
    let ids: Vec<String> = all.iter().map(|r| r.id.clone()).collect();
    let l = lane(&["rb", "rc"]);
    let mut p = fleet(6, &all).remove(0);
    let places = |p: &mut Placement, from: u64, every: u64| -> BTreeSet<String> {
        let one = |k: u64| {
            go(
                p,
                &ids,
                &l,
                &ask(&[(k, 55), (1_000 + k, 40), (5_000, 290)]),
                true,
                from + k * every,
            )
            .unwrap()
        };
        (0..40).map(one).collect()
    };
    expect_that!(places(&mut p, 10, 100).len(), le(3));
    // Where channels have rested for too long each prompt goes to its own place.
    expect_that!(places(&mut p, 10_000, 2_000).len(), ge(15));
    // One that has come to hold much is left for another.
    let busy = places(&mut p, 100_000, 100).pop_first().unwrap();
    p.on_response_head(
        "s",
        &busy,
        &ResponseSignals {
            load: Some((64, 30, 64)),
            ..ResponseSignals::default()
        },
        104_100,
    );
    expect_that!(places(&mut p, 104_110, 1), not(contains(eq(&busy))));
}

#[gtest]
fn that_a_life_is_over_is_told_to_the_region() {
    let all: Vec<PlacedReplica> = (0..3)
        .map(|i| replica(&format!("r{i}"), "a", false))
        .collect();
    let ids: Vec<String> = all.iter().map(|r| r.id.clone()).collect();
    let (l, a) = (lane(&[]), ask(&[(1, 55), (2, 300)]));
    let mut fleet = fleet(6, &all);
    let first = go(&mut fleet[0], &ids, &l, &a, true, 10).unwrap();
    let mut p = fleet.remove(3);
    p.remove_replaced(&first);
    tell(&mut p, "e3", "a", &mut fleet, 1_000);
    expect_that!(
        go(&mut fleet[0], &ids, &l, &a, true, 1_010),
        some(not(eq(&first)))
    );
}

/// The record of a platform that does not tell places has none of them; a replica that comes back is new to the proxies.
#[gtest]
fn a_replica_of_untold_places_is_no_full_one() {
    let all: Vec<PlacedReplica> = ["r0", "r1", "r2"]
        .map(|id| PlacedReplica {
            slots: 0,
            ..replica(id, "a", false)
        })
        .to_vec();
    let ids: Vec<String> = all.iter().map(|r| r.id.clone()).collect();
    let mut p = fleet(1, &all).remove(0);
    // Two of them have told theirs, and that they are well filled.
    for id in ["r0", "r1"] {
        for now in 0..20 {
            p.on_response_head(
                "s",
                id,
                &ResponseSignals {
                    load: Some((30, 0, 64)),
                    ..ResponseSignals::default()
                },
                now,
            );
        }
    }
    let l = lane(&[]);
    let got: BTreeSet<String> = (0..60u64)
        .filter_map(|i| go(&mut p, &ids, &l, &ask(&[(i, 300)]), false, 30 + i))
        .collect();
    expect_that!(got, contains(eq("r2")));
}

/// One that fails what is nominated there is left alone by the proxies of its region for a while, longer if it was silent.
#[gtest]
fn one_that_fails_what_it_is_sent_is_shunned_for_a_while() {
    let all = [replica("r0", "a", false), replica("r1", "a", false)];
    let mut p = fleet(1, &all).remove(0);
    expect_that!(p.is_suspected("r0", 1_000), eq(false));
    p.suspect("r0", 0, 1_000);
    expect_that!(p.is_suspected("r0", 1_800), eq(true));
    expect_that!(p.is_suspected("r1", 1_800), eq(false));
    expect_that!(p.is_suspected("r0", 2_500), eq(false));
    p.suspect("r0", 2_500, 5_000);
    expect_that!(p.is_suspected("r0", 7_400), eq(true));
    expect_that!(p.is_suspected("r0", 9_000), eq(false));
    // It answers again: trust comes back sooner than by waiting.
    p.suspect("r0", 0, 20_000);
    p.on_success("r0");
    p.on_success("r0");
    expect_that!(p.is_suspected("r0", 20_010), eq(false));
}

/// What a failure costs counts, not a few ms: reading parts anew is cheaper than failing again and again.
#[gtest]
fn a_long_prompt_is_read_anew_elsewhere_if_the_replica_that_keeps_it_fails_again_and_again() {
    let all: Vec<PlacedReplica> = (0..3)
        .map(|i| replica(&format!("r{i}"), "a", false))
        .collect();
    let ids: Vec<String> = all.iter().map(|r| r.id.clone()).collect();
    let l = PathSpec {
        kind: PathKind::StreamResumable,
        rounds: 2,
        ..lane(&[])
    };
    let long = ask(&[(7, 13_000), (8, 3_000)]);
    let mut p = fleet(1, &all).remove(0);
    let first = go(&mut p, &ids, &l, &long, true, 10).unwrap();
    p.suspect(&first, 0, 1_000);
    expect_that!(
        go(&mut p.clone(), &ids, &l, &long, true, 1_010),
        some(eq(&first)),
        "one failure"
    );
    (0..10).for_each(|i| p.suspect(&first, 0, 1_050 + i * 50));
    expect_that!(
        go(&mut p.clone(), &ids, &l, &long, true, 1_510),
        some(not(eq(&first)))
    );
    expect_that!(
        go(&mut p, &ids, &l, &long, true, 4_000),
        some(eq(&first)),
        "later it is tried again"
    );
}

/// Long prompts leave one that fails, though it keeps their parts and another
/// must read them, but not for one proxy's bad luck; and it is soon used again.
#[gtest]
fn long_prompts_leave_the_replica_that_keeps_them_while_it_fails() {
    let all: Vec<PlacedReplica> = (0..3)
        .map(|i| replica(&format!("r{i}"), "a", false))
        .collect();
    let ids: Vec<String> = all.iter().map(|r| r.id.clone()).collect();
    let l = PathSpec {
        kind: PathKind::StreamResumable,
        rounds: 2,
        ..lane(&[])
    };
    let long = |k: u64| ask(&[(k % 30, 13_000), (1_000 + k, 3_000)]);
    let mut fleet = fleet(4, &all);
    // Which of three replicas keeps which of thirty parts.
    let kept: Vec<String> = (0..30)
        .filter_map(|k| go(&mut fleet[0], &ids, &l, &long(k), true, 10 + k * 130))
        .collect();
    let keeps = kept.iter().filter(|id| **id == "r0").count();
    let mut other = fleet[0].clone();
    other.suspect("r0", 0, 4_000);
    let number = other.take_failing(10_000)[0];
    let mut neighbour = fleet[0].clone();
    (0..50).for_each(|i| neighbour.on_peer_failure(number, "e3", "a", 4_000 + i));
    let same = |p: &mut Placement| {
        (0..30)
            .filter(|k| {
                go(p, &ids, &l, &long(*k), true, 4_060).as_ref() == Some(&kept[*k as usize])
            })
            .count()
    };
    expect_that!(
        same(&mut neighbour),
        eq(30),
        "one neighbour alone says so, however often"
    );
    expect_that!(same(&mut other), eq(30), "one failure");
    // It fails six in ten, long prompts and short ones.
    let p = &mut fleet[0];
    let (mut longs, mut spoiled, mut n) = (0, 0, 0);
    for k in 0..600u64 {
        let now = 5_000 + k * 22;
        let a = if k % 6 == 0 {
            long(k / 6)
        } else {
            ask(&[(100 + k % 20, 55), (200 + k % 500, 42), (9_000 + k, 290)])
        };
        let w = PlacementRequest {
            lane: &l,
            head: &a,
            tried: &[],
            evacuated_zones: &BTreeSet::new(),
        };
        let to = p.choose("s", ids.iter(), &w, now).unwrap();
        p.on_sent(&to, &a, now);
        n += usize::from(to.id == "r0");
        let fails = to.id == "r0" && n % 5 < 3;
        longs += usize::from(k % 6 == 0 && to.id == "r0");
        spoiled += usize::from(fails);
        if !fails {
            p.on_response_head("s", &to.id, &ResponseSignals::default(), now);
            p.on_first_chunk(&to.id, to.prefill_ms, 0.0, now);
        }
        p.on_attempt_ended(&to.id, fails.then_some(to.prefill_ms), fails, now);
    }
    // A hundred long prompts, of which it keeps a part.
    expect_that!(
        longs * 30,
        all!(ge(1), le(keeps * 100 / 2)),
        "{longs}, it kept {keeps} of 30"
    );
    expect_that!(spoiled, le(60), "an even share would be 120");
    // It is well again: before long it is used.
    let mut back = (18_200..30_000u64).step_by(22).filter(|t| {
        let short = ask(&[(100 + t % 20, 55), (10_000 + t, 42), (9_000 + t, 290)]);
        go(p, &ids, &l, &short, true, *t).is_some_and(|id| id == "r0")
    });
    expect_that!(back.nth(20), some(le(26_000)));
}

/// What was late at others lately says nothing of one that nobody has used yet: it is taken to be like them, not better.
#[gtest]
fn a_replica_that_is_new_to_all_proxies_draws_no_crowd() {
    const PROXIES: usize = 88;
    let names: Vec<String> = (0..30).map(|i| format!("r{i}")).collect();
    let known: Vec<PlacedReplica> = names.iter().map(|n| replica(n, "a", false)).collect();
    let (mut fleet, l) = (fleet(PROXIES, &known), lane(&[]));
    let short = |n: u64| ask(&[(n, 90), (n << 32, 290)]);
    let late = |fleet: &mut [Placement], ids: &[String], n: u64, now: u64| {
        let p = &mut fleet[n as usize % PROXIES];
        let a = short(n);
        let w = PlacementRequest {
            lane: &l,
            head: &a,
            tried: &[],
            evacuated_zones: &BTreeSet::new(),
        };
        let to = p.choose("s", ids.iter(), &w, now).unwrap();
        p.on_sent(&to, &a, now);
        p.on_response_head("s", &to.id, &ResponseSignals::default(), now);
        p.on_first_chunk(&to.id, to.prefill_ms, 20.0 + (n % 50) as f64, now);
        p.on_attempt_ended(&to.id, None, false, now);
        to.id
    };
    for n in 0..10_000 {
        late(&mut fleet, &names, n, 10_000 + n * 2);
    }
    let ids: Vec<String> = names.into_iter().chain(["new".to_string()]).collect();
    let all: Vec<PlacedReplica> = ids.iter().map(|n| replica(n, "a", false)).collect();
    let old: BTreeSet<String> = ids.iter().cloned().collect();
    fleet
        .iter_mut()
        .for_each(|p| p.set_replicas("s", &all, &old, 30_000));
    let sent = (10_000..10_500)
        .filter(|n| late(&mut fleet, &ids, *n, 10_000 + n * 2) == "new")
        .count();
    // A second's requests, 500 for 31 replicas: a fair part is 16.
    expect_that!(sent, le(3 * 16));
}

/// A zone that is cut off has many replicas: it is found out by two of them and looked at by one request now and then.
#[gtest]
fn a_zone_that_cannot_be_reached_is_left_alone_as_a_whole_and_used_again_when_it_is_back() {
    const BACK: u64 = 7_000;
    let zone = |i: usize| ["dark", "lit"][i % 2];
    let all: Vec<PlacedReplica> = (0..24)
        .map(|i| replica(&format!("r{i}"), zone(i), false))
        .collect();
    let ids: Vec<String> = all.iter().map(|r| r.id.clone()).collect();
    let regions = ["dark", "lit"]
        .map(|z| (z.to_string(), "one".to_string()))
        .into();
    let mut p = Placement::new("me", "lit", regions, Bounds::default());
    p.set_live_edges(1, "me");
    p.set_edge_roster(roster(&["me".into()]));
    p.set_engine("s", &engine());
    p.set_replicas("s", &all, &BTreeSet::new(), 0);
    let l = lane(&[]);
    let (mut dark, mut lit_again) = (vec![], 0);
    // A request each 20 ms; opening a channel to what is dark is given up 150 ms later.
    let mut opening: Vec<(u64, String, f64)> = vec![];
    for now in (1_000..12_000u64).step_by(20) {
        for (_, id, read) in opening.extract_if(.., |o| o.0 <= now) {
            p.on_unreachable(&id, now);
            p.on_attempt_ended(&id, Some(read), true, now);
        }
        let a = ask(&[(now, 55), (now << 32, 300)]);
        let w = PlacementRequest {
            lane: &l,
            head: &a,
            tried: &[],
            evacuated_zones: &BTreeSet::new(),
        };
        let n = p.choose("s", ids.iter(), &w, now).unwrap();
        p.on_sent(&n, &a, now);
        let is_dark = ids
            .iter()
            .position(|i| *i == n.id)
            .is_some_and(|i| zone(i) == "dark");
        if is_dark && now < BACK {
            dark.push(now);
            opening.push((now + 150, n.id, n.prefill_ms));
            continue;
        }
        lit_again += usize::from(is_dark && now > BACK + 3_000);
        p.on_connected(&n.id, 1);
        p.on_first_chunk(&n.id, n.prefill_ms, 0.0, now);
        p.on_attempt_ended(&n.id, None, false, now);
    }
    let first = dark.iter().filter(|t| **t < 1_600).count();
    let looks = dark.len() - first;
    expect_that!(
        first,
        le(8),
        "what was under way when the first failures showed: {dark:?}"
    );
    expect_that!(looks, all!(ge(2), le(6)), "{dark:?}");
    expect_that!(
        lit_again,
        ge(30),
        "of the 100 requests that come later than 3 s after the zone is back"
    );
}

/// What is long to read keeps off the replicas that more urgent requests have nowhere else to go to; all proxies agree.
#[gtest]
fn long_prompts_keep_off_regions_that_home_bound_requests_depend_on() {
    const PROMPTS: u64 = 600;
    let all: Vec<PlacedReplica> = (0..30)
        .map(|i| replica(&format!("r{i}"), ["a", "a", "b"][i % 3], false))
        .collect();
    let ids: Vec<String> = all.iter().map(|r| r.id.clone()).collect();
    let long = PathSpec {
        rank: 1,
        ..lane(&[])
    };
    let placed = |bound_rank: u32, homes: &[&str]| {
        let mut fleet = fleet(6, &all);
        let short = PathSpec {
            rank: bound_rank,
            ..lane(homes)
        };
        fleet
            .iter_mut()
            .for_each(|p| p.home_bound = HomeBoundDemand::new(&[short.clone(), long.clone()]));
        let first = |n: u64| ask(&[(n, 13_000), (n << 32, 3_000)]);
        (0..PROMPTS)
            .filter(|n| {
                let to: BTreeSet<String> = fleet
                    .iter_mut()
                    .filter_map(|p| go(&mut p.clone(), &ids, &long, &first(*n), true, 10))
                    .collect();
                expect_that!(to, len(eq(1)), "proxies disagree about {n}");
                to.iter().any(|id| fleet[0].zone_of(id) == Some("b"))
            })
            .count()
    };
    // A third of the replicas stand in the region that is free: half of the prompts go there.
    expect_that!(placed(0, &["ra"]), all!(ge(260), le(340)));
    expect_that!(
        placed(2, &["ra"]),
        all!(ge(160), le(240)),
        "less urgent ones do not count"
    );
    expect_that!(
        placed(0, &["ra", "rb", "rc"]),
        all!(ge(160), le(240)),
        "nor do those that may go anywhere"
    );
}
