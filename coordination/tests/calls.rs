//! Calls to the platform: one bound for the whole fleet, also while a duty goes from one holder to another.

use coordination::{Ms, control::call_rate_share, placement::TokenBucket};
use googletest::prelude::*;

/// Most calls in any second, of callers who call whenever they may; each begins and ends at times of its own.
fn most(rate: f64, callers: &[(Ms, Ms)], share: f64) -> usize {
    let mut at: Vec<Ms> = vec![];
    for &(from, to) in callers {
        let mut b = TokenBucket::new(share, 1.0, from);
        at.extend((from..to).filter(|t| b.try_draw(*t)));
    }
    at.sort_unstable();
    assert!(rate > 0.0 && !at.is_empty());
    (0..at.len())
        .map(|i| at[i..].iter().take_while(|t| **t < at[i] + 1_000).count())
        .max()
        .unwrap()
}

#[gtest]
fn the_fleets_calls_keep_the_rate_while_duties_change_hands() {
    const END: Ms = 12_000;
    for rate in [2.0, 5.0, 10.0, 40.0] {
        for (voters, duties) in [(1, 1), (3, 1), (5, 1), (3, 2), (5, 2), (5, 7)] {
            let share = call_rate_share(rate, voters, duties);
            // Each duty has a holder and one that has not noticed yet that it lost it.
            let holders = voters.min(2 * duties);
            let callers: Vec<(Ms, Ms)> = (0..holders as Ms)
                .map(|i| {
                    if i % 2 == 0 {
                        (i * 37, 8_000 + i * 11)
                    } else {
                        (5_000 + i * 53, END)
                    }
                })
                .collect();
            expect_that!(
                most(rate, &callers, share) as f64,
                le(rate.max(holders as f64)),
                "{rate} a second, {voters} voters, {duties} duties"
            );
            // And one holder has enough of it to go on.
            expect_that!(share, ge(rate / (2 * holders) as f64));
        }
    }
}
