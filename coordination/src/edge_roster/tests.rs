use googletest::prelude::*;

use super::EdgeRoster;

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
        .map(|name| roster.edges_ahead(name, "r"))
        .collect();
    places.sort_unstable();
    expect_that!(places, eq(&vec![0, 1, 2, 3]));
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
