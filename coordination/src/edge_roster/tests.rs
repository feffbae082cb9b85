use googletest::prelude::*;

use super::{EdgePlace, EdgeRoster};

fn roster(names: &[&str]) -> EdgeRoster {
    let mut roster = EdgeRoster::default();
    for name in names {
        roster.insert(name, "zone");
    }
    roster
}

#[gtest]
fn edges_of_a_roster_have_distinct_places_in_the_order_for_a_replica() {
    let names = ["e1", "e2", "e3", "e4"];
    let roster = roster(&names);
    let mut places: Vec<usize> = names
        .iter()
        .map(|name| roster.place(name, "r", |_| true).unwrap().edges_ahead)
        .collect();
    places.sort_unstable();
    expect_that!(places, eq(&vec![0, 1, 2, 3]));
    expect_that!(roster.place("e5", "r", |_| true), none());
}

#[gtest]
fn near_and_far_edges_have_an_order_of_their_own() {
    let mut roster = EdgeRoster::default();
    for (name, zone) in [("e1", "a"), ("e2", "a"), ("e3", "b"), ("e4", "b")] {
        roster.insert(name, zone);
    }
    let place = |name: &str| roster.place(name, "r", |zone| zone == "a").unwrap();
    let mut near = [place("e1"), place("e2")];
    near.sort_unstable_by_key(|place| place.edges_ahead);
    let expected = |is_near: bool, edges_ahead: usize| EdgePlace {
        is_near,
        near_edges: 2,
        far_edges: 2,
        edges_ahead,
    };
    expect_that!(near, eq([expected(true, 0), expected(true, 1)]));
    let mut far = [place("e3"), place("e4")];
    far.sort_unstable_by_key(|place| place.edges_ahead);
    expect_that!(far, eq([expected(false, 0), expected(false, 1)]));
}

#[gtest]
fn zone_without_edges_is_dropped() {
    let mut roster = roster(&["e1"]);
    roster.insert("e2", "other");
    roster.retain(|name| name == "e2");
    expect_that!(roster.len(), eq(1));
    expect_that!(roster.contains("e1"), eq(false));
    roster.retain(|_| false);
    expect_that!(roster, eq(&EdgeRoster::default()));
}
