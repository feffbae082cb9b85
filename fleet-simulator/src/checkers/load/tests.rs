use googletest::prelude::*;

use crate::checkers::planted::caught;

#[gtest]
fn bursts_of_second_rounds_and_a_best_tier_left_waiting_are_caught() {
    caught("rounds", |h| h.calls = 50);
    // Few over the run, many at one proxy at one time.
    caught("rounds", |h| {
        (h.asked, h.calls, h.firsts) = (1_000, 1_010, 1_000);
        h.rounds
            .extend((0..1_000).map(|i| (i * 50, "p".to_string(), true)));
        h.rounds
            .extend((0..15).map(|i| (50_000 + i, "p".to_string(), false)));
    });
    caught("tiers", |h| {
        h.crowds.push((20_000, 30_000));
        (h.capacity.best_tier, h.capacity.short_lane) = ("t".into(), "l".into());
        (h.capacity.places, h.capacity.lanes) = (vec![("a".into(), 8)], vec![("l".into(), 400)]);
        for i in 0..60 {
            let mut t = h.told[0].clone();
            (t.request, t.tier, t.lane, t.at_ms) =
                (format!("t{i}"), "t".into(), "l".into(), 20_000 + i * 100);
            (t.run_once, t.outcome, t.code, t.retry_after_ms) =
                (false, "rejected".into(), "full".into(), Some(1));
            h.told.push(t);
        }
    });
}
