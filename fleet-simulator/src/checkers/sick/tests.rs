use googletest::prelude::*;

use crate::{
    checkers::planted::{again, caught},
    history::{History, Sick},
};

/// Two other replicas of the zone work evenly.
fn beside(h: &mut History) {
    for i in 0..400 {
        again(h, |_| ());
        if let Some(r) = h.runs.last_mut() {
            (r.at_ms, r.end_ms, r.request) = (10_000 + i * 50, 10_100 + i * 50, format!("q-{i}"));
            r.replica = format!("other-{}", i % 2);
        }
    }
}

#[gtest]
fn a_sick_replica_that_goes_on_spoiling_is_caught() {
    caught("sick", |h| {
        beside(h);
        h.sick.push(Sick {
            replica: "r".into(),
            zone: "a".into(),
            from: 10_000,
            to: 28_000,
            percent: 50,
            silent: false,
        });
        h.spoiled
            .extend((0..200).map(|i| (10_000 + i * 90, "r".into())));
    });
}

#[gtest]
fn one_that_is_well_again_and_gets_nothing_is_caught() {
    caught("well_again", |h| {
        beside(h);
        h.well_again.push((12_000, "r".into()));
    });
}
