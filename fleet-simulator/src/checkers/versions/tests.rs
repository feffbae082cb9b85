use googletest::prelude::*;

use super::*;
use crate::checkers::planted::caught;

/// A version that fails three times by 2,025, once more `at` ms later, and takes `n` times as much.
fn bad(h: &mut History, at: Ms, n: u64, lane: Option<&str>, slow: bool) {
    h.bad.push(Bad {
        at: 0,
        version: "b".into(),
        lane: lane.map(Into::into),
        zone: None,
    });
    for i in 0..4 * n {
        let mut r = h.runs[0].clone();
        let t = 2_000 + i * 10 + if i == 3 { at } else { 0 };
        (r.run, r.request, r.version) = (format!("b{i}"), format!("b{i}"), "b".into());
        (r.failed, r.slow, r.at_ms, r.end_ms) = (!slow, slow, t, t + 5);
        h.runs.push(r);
    }
}

#[gtest]
fn a_bad_version_is_caught_over_service_and_lane_failing_or_slow() {
    caught("bad_version", |h| bad(h, 6_000, 1, None, false));
    caught("bad_version", |h| bad(h, 6_000, 1, None, true));
    caught("bad_version", |h| bad(h, 0, 7, None, false));
    // A small lane may be flooded with it though the whole service has plenty.
    caught("bad_version", |h| {
        bad(h, 0, 4, Some("l"), false);
        for i in 0..400 {
            let mut r = h.runs[0].clone();
            (r.run, r.request, r.lane, r.at_ms) =
                (format!("g{i}"), format!("g{i}"), "m".into(), 2_010);
            h.runs.push(r);
        }
    });
    // Alone, it must at least be told.
    caught("bad_version", |h| {
        bad(h, 0, 1, None, false);
        h.only.push((0, "b".into()));
    });
}
