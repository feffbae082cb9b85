//! The limit on requests at a replica that warms up holds for the whole fleet: the sum over all proxies, whatever each
//! of them knows about the others.

mod support;

use coordination::{
    Ms,
    bounds::Bounds,
    exchange::RequestHead,
    proxy::{Admission, Proxy},
};
use googletest::prelude::*;
use remote_calls::PathSpec;
use serde_json::Value;
use support::edge_fleet::{
    EDGES, START, WARMUP, ZONES, lane, most_in_a_second_of, record, roster, warmup_limit,
};

/// Interval at which every edge wants to send a request, in ms.
const REQUEST_INTERVAL: Ms = 10;

fn proxy(index: usize, known_edges: impl Iterator<Item = usize>, roster: &Value) -> Proxy {
    support::edge_fleet::proxy(index, known_edges, roster, &record(true), Bounds::default())
}

/// Returns the most attempts that all proxies together send to the replica within a second of its warm-up, if each
/// wants to send one at every interval.
fn most_in_a_second(proxies: &mut [Proxy]) -> usize {
    let lane: PathSpec = serde_json::from_value(lane()).unwrap();
    let head = RequestHead::default();
    let mut sent: Vec<Ms> = vec![];
    for now in (START..START + WARMUP).step_by(REQUEST_INTERVAL as usize) {
        for proxy in proxies.iter_mut() {
            let admission = proxy.assign_by_path(&lane, &head, &[], Ms::MAX, now);
            if matches!(admission, Admission::Assigned(_)) {
                sent.push(now);
            }
        }
    }
    most_in_a_second_of(&sent)
}

/// Runs a fleet in which `known(i)` are the edges that edge `i` knows.
fn most_with_known_edges(known: impl Fn(usize) -> Vec<usize>) -> usize {
    let roster = roster(0..EDGES);
    let mut proxies: Vec<Proxy> = (0..EDGES)
        .map(|index| proxy(index, known(index).into_iter(), &roster))
        .collect();
    most_in_a_second(&mut proxies)
}

/// Least attempts in a second by which a fleet warms a replica up in reasonable time.
const LEAST: usize = 8;

#[gtest]
fn fleet_whose_edges_all_know_each_other_keeps_the_warmup_limit() {
    let most = most_with_known_edges(|_| (0..EDGES).collect());
    expect_that!(most, all![ge(LEAST), le(warmup_limit())]);
}

// Guards against the limit growing with the number of groups whose edges know only their own group, as after a partition.
#[gtest]
fn edges_that_know_only_part_of_the_fleet_keep_the_warmup_limit() {
    for groups in [2, 3, 6] {
        let own_group =
            |index: usize| -> Vec<usize> { (index % groups..EDGES).step_by(groups).collect() };
        let most = most_with_known_edges(own_group);
        expect_that!(most, all![ge(LEAST), le(warmup_limit())], "{groups} groups");
    }
}

// Guards against edges that have just started, and know few others, each taking a large share.
#[gtest]
fn edges_that_have_just_started_keep_the_warmup_limit() {
    for known_count in [1, 4, 24, 128] {
        let few = |index: usize| -> Vec<usize> {
            (0..known_count)
                .map(|step| (index + step) % EDGES)
                .collect()
        };
        let most = most_with_known_edges(few);
        expect_that!(most, le(warmup_limit()), "{known_count} known edges");
    }
}

// Guards against a restarted region whose edges know few others, beside regions that no longer count it.
#[gtest]
fn restarted_region_beside_regions_that_dropped_it_keeps_the_warmup_limit() {
    let is_restarted = |index: usize| ZONES[index % ZONES.len()].1 == "c";
    let known = |index: usize| -> Vec<usize> {
        if is_restarted(index) {
            vec![index, (index + 1) % EDGES]
        } else {
            (0..EDGES).filter(|other| !is_restarted(*other)).collect()
        }
    };
    expect_that!(most_with_known_edges(known), le(warmup_limit()));
}

// Guards against edges that are in the middle of receiving a new roster: the fleet grew or shrank by a zone or a region.
#[gtest]
fn edges_with_rosters_of_different_age_keep_the_warmup_limit() {
    let all = roster(0..EDGES);
    let zone_left = roster((0..EDGES).filter(|index| index % ZONES.len() != 2));
    let region_left = roster((0..EDGES).filter(|index| index % ZONES.len() % 3 != 2));
    for (other, what) in [(&zone_left, "zone"), (&region_left, "region")] {
        let mut proxies: Vec<Proxy> = (0..EDGES)
            .map(|index| {
                proxy(
                    index,
                    0..EDGES,
                    if index < EDGES / 2 { &all } else { other },
                )
            })
            .collect();
        expect_that!(
            most_in_a_second(&mut proxies),
            le(warmup_limit()),
            "a {what}"
        );
    }
}

// Guards against an edge that is not known to be one of those that share the limit, as one that has just joined.
#[gtest]
fn edges_outside_the_roster_send_nothing_to_a_replica_that_warms_up() {
    for roster in [roster(0..0), roster(EDGES..2 * EDGES)] {
        let mut proxies: Vec<Proxy> = (0..EDGES)
            .map(|index| proxy(index, 0..EDGES, &roster))
            .collect();
        expect_that!(most_in_a_second(&mut proxies), eq(0));
    }
}

// Guards against edges that have just started and read a record from before the replica turned cold.
#[gtest]
fn edges_that_have_just_started_keep_the_warmup_limit_at_a_replica_that_is_not_listed_as_cold() {
    let roster = roster(0..EDGES);
    let mut proxies: Vec<Proxy> = (0..EDGES)
        .map(|index| {
            let record = record(false);
            support::edge_fleet::proxy(index, 0..EDGES, &roster, &record, Bounds::default())
        })
        .collect();
    expect_that!(
        most_in_a_second(&mut proxies),
        all![ge(LEAST), le(warmup_limit())]
    );
}
