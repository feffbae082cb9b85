use googletest::prelude::*;

use crate::{checkers::planted::caught, history::Bad};

#[gtest]
fn what_a_bad_version_gets_beyond_its_bounds_is_caught() {
    let plant = |at: u64, n: u64, failed: bool| {
        move |h: &mut crate::history::History| {
            h.orders.push((2_000, 14_000, "b".into()));
            h.bad.push(Bad {
                at: 30_000,
                version: "b".into(),
                lane: None,
                zone: None,
            });
            for i in 0..n {
                let mut r = h.runs[0].clone();
                let t = if i + 1 == n { at } else { 3_000 + i };
                (r.run, r.request, r.version) = (format!("b{i}"), format!("b{i}"), "b".into());
                (r.at_ms, r.end_ms, r.failed, r.done) = (t, t + 5, failed, !failed);
                h.runs.push(r);
            }
        }
    };
    caught("exposure", plant(9_000, 70, false));
    caught("exposure", plant(9_000, 51, true));
    // Completed after its failures had shown, however few requests it gets from then on.
    caught("exposure", |h| {
        h.orders.push((2_000, 14_000, "b".into()));
        h.bad.push(Bad {
            at: 3_000,
            version: "b".into(),
            lane: None,
            zone: None,
        });
        h.standings.push((4_600, true));
        h.only.push((4_650, "b".into()));
        h.alerts.push((4_700, "stable_fails".into()));
        for i in 0..3 {
            let mut r = h.runs[0].clone();
            (r.run, r.request, r.version) = (format!("b{i}"), format!("b{i}"), "b".into());
            (r.at_ms, r.end_ms, r.failed, r.done) = (3_000 + i, 3_005 + i, true, false);
            h.runs.push(r);
        }
    });
}

#[gtest]
fn replicas_stopped_under_readers_and_orders_past_the_platform_are_caught() {
    caught("placing", |h| h.stopped.push((1, "r".into())));
    caught("placing", |h| h.misplaced = 1);
}
