//! Calls to the platform: one rate limit applies to the whole fleet, also while another daemon acquires a singleton
//! role.

use coordination::{Ms, control::call_rate_share, placement::TokenBucket};
use googletest::prelude::*;

/// A daemon that calls whenever its share of the rate limit allows it.
struct CallingDaemon {
    starts_at: Ms,
    ends_at: Ms,
}

/// Returns the maximum number of calls of all daemons in any second.
fn max_calls_per_second(daemons: &[CallingDaemon], share: f64) -> usize {
    let mut called_at: Vec<Ms> = vec![];
    for daemon in daemons {
        let mut bucket = TokenBucket::new(share, 1.0, daemon.starts_at);
        called_at.extend((daemon.starts_at..daemon.ends_at).filter(|now| bucket.try_draw(*now)));
    }
    called_at.sort_unstable();
    assert!(!called_at.is_empty());
    let calls_within_second = |first: usize| {
        called_at[first..]
            .iter()
            .take_while(|at| **at < called_at[first] + 1_000)
            .count()
    };
    (0..called_at.len()).map(calls_within_second).max().unwrap()
}

#[gtest]
fn the_fleets_calls_keep_the_rate_limit_while_roles_change_hands() {
    const END: Ms = 12_000;
    for rate_limit in [2.0, 5.0, 10.0, 40.0] {
        assert!(rate_limit > 0.0);
        for (voters, roles) in [(1, 1), (3, 1), (5, 1), (3, 2), (5, 2), (5, 7)] {
            let share = call_rate_share(rate_limit, voters, roles);
            // Each role has a lease holder and a former one that has not noticed yet that it lost the role.
            let holder_count = voters.min(2 * roles);
            let daemons: Vec<CallingDaemon> = (0..holder_count as Ms)
                .map(|index| {
                    let (starts_at, ends_at) = if index % 2 == 0 {
                        (index * 37, 8_000 + index * 11)
                    } else {
                        (5_000 + index * 53, END)
                    };
                    CallingDaemon { starts_at, ends_at }
                })
                .collect();
            expect_that!(
                max_calls_per_second(&daemons, share) as f64,
                le(rate_limit.max(holder_count as f64)),
                "{rate_limit} a second, {voters} voters, {roles} roles"
            );
            // One holder's share is enough to make progress.
            expect_that!(share, ge(rate_limit / (2 * holder_count) as f64));
        }
    }
}
