use googletest::prelude::*;

use super::*;
use crate::checkers::planted::caught;

fn ask(h: &mut History, at: Ms, lane: &str, zone: &str, outcome: &str) {
    let mut t = h.told[0].clone();
    (t.request, t.run_once, t.at_ms, t.ms) = (format!("{lane}{zone}{at}"), false, at, 100);
    (t.lane, t.homes, t.outcome, t.code, t.retry_after_ms) = (
        lane.into(),
        vec![zone.into()],
        outcome.into(),
        "full".into(),
        Some(1),
    );
    if outcome == "answered" {
        let mut r = h.runs[0].clone();
        (r.run, r.request, r.zone, r.homes) = (
            t.request.clone(),
            t.request.clone(),
            zone.into(),
            t.homes.clone(),
        );
        (t.run, t.runs, t.proxy_zone) = (r.run.clone(), vec![r.run.clone()], zone.into());
        h.runs.push(r);
    }
    h.told.push(t);
}

#[gtest]
fn older_state_and_late_news_are_caught() {
    caught("spec", |h| {
        h.seen
            .extend([(1, "e".into(), 2, 7), (2, "e".into(), 1, 6)])
    });
    caught("spec", |h| {
        h.specs.push((1_000, 2, 7));
        h.seen.push((4_100, "e".into(), 1, 6));
    });
    caught("spec", |h| h.specs.extend([(1_000, 2, 7), (1_001, 2, 8)]));
    caught("spec", |h| {
        h.refused.push(7);
        h.seen.push((1, "e".into(), 2, 7));
    });
    caught("one_holder", |h| {
        h.holders.push((1, vec!["a".into(), "b".into()]))
    });
    caught("keys", |h| {
        h.held.extend([
            (1, "e".into(), "zone/a".into(), 2),
            (9, "e".into(), "zone/a".into(), 1),
        ])
    });
    caught("keys", |h| {
        h.accepted.push((1_000, "plan/s".into(), 3));
        h.held.push((1_500, "e".into(), "plan/s".into(), 2));
        h.seen.push((4_200, "e".into(), 0, 0));
    });
}

#[gtest]
fn one_answer_anywhere_is_no_return() {
    caught("returns", |h| {
        h.losses.push(Loss {
            from: 9_000,
            up: 10_000,
        })
    });
    // One zone, or one lane, that stays away is caught however much the others answer.
    for (lane, zone) in [("a", "x"), ("b", "y")] {
        caught("returns", |h| {
            for (t, ok) in [(21_000, true), (43_000, false)] {
                for i in 0..10 {
                    for (l, z) in [("a", "x"), ("b", "y")] {
                        let away = !ok && l == lane && z == zone;
                        ask(
                            h,
                            t + i * 100,
                            l,
                            z,
                            if away { "rejected" } else { "answered" },
                        );
                    }
                }
            }
            (0..3).for_each(|i| ask(h, 31_000 + i, "a", "x", "answered"));
            h.losses.push(Loss {
                from: 30_000,
                up: 31_000,
            });
        });
    }
}
