use googletest::prelude::*;

use crate::{
    checkers::planted::{again, caught},
    history::{Cached, Cold, History, Ms, ZoneWord},
};

fn word(h: &mut History, at: Ms, evacuated: bool, version: Option<u64>) {
    h.zones.push(ZoneWord {
        at,
        zone: "a".into(),
        evacuated,
        version,
    });
}

#[gtest]
fn work_in_the_wrong_place_is_caught() {
    caught("leaving", |h| {
        h.leaving.push((1_000, "r".into()));
        again(h, |r| (r.request, r.at_ms) = ("p".into(), 5_600));
    });
    caught("evacuated", |h| {
        word(h, 1_000, true, Some(1));
        again(h, |r| (r.request, r.at_ms) = ("p".into(), 6_100));
    });
    // A restoring that lost the race ends nothing, though it was asked for later.
    caught("evacuated", |h| {
        word(h, 1_000, true, Some(2));
        word(h, 1_001, false, Some(1));
        again(h, |r| (r.request, r.at_ms) = ("p".into(), 6_100));
    });
    caught("homes: served", |h| h.runs[0].homes = vec!["b".into()]);
    caught("homes: carried", |h| h.told[0].proxy_zone = "b".into());
    caught("homes: cached", |h| {
        h.cached.push(Cached {
            zone: "b".into(),
            prefix: "p".into(),
            homes: vec!["a".into()],
        });
    });
}

#[gtest]
fn a_flood_is_caught_over_the_whole_warm_up() {
    let flood = |h: &mut History, at: Ms, n: usize, version: Option<&str>| {
        h.cold.push(Cold {
            at: 1_000,
            replica: "r".into(),
            version: version.map(Into::into),
            places: 4,
            per_s: None,
        });
        (0..n).for_each(|_| again(h, |r| r.request = "p".into()));
        h.runs
            .iter_mut()
            .skip(1)
            .for_each(|r| (r.at_ms, r.end_ms) = (at, at + 300));
    };
    caught("cold", |h| flood(h, 1_000, 3, None));
    // Half-way through half of the places and the first two are allowed.
    caught("cold", |h| flood(h, 3_000, 5, None));
    caught("cold", |h| flood(h, 3_000, 5, Some("v")));
}
