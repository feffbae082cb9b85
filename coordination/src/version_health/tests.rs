use googletest::prelude::*;
use wire_messages::OutcomeCounters;

use super::{Verdict, VersionHealth, log_ms};
use crate::Ms;

mod trials;

fn outcome_counters(
    version: &str,
    lane: &str,
    cached: bool,
    ok: u64,
    failed: u64,
    slow: u64,
) -> OutcomeCounters {
    OutcomeCounters {
        service: "s".into(),
        version: version.into(),
        lane: lane.into(),
        cached: cached.into(),
        sent: ok + failed,
        succeeded: ok,
        failed,
        slow,
        group: 0,
        ..OutcomeCounters::default()
    }
}

fn verdict(rows: &[OutcomeCounters]) -> Verdict {
    let mut health = VersionHealth::default();
    health.restart(0);
    health.add_counters(&"e1".into(), 1, &[]);
    health.add_counters(&"e1".into(), 1, rows);
    health.judge("v2", "v1", 1_000)
}

#[gtest]
fn one_bad_lane_makes_a_version_unhealthy_but_uncached_requests_alone_do_not() {
    let healthy = [
        outcome_counters("v1", "a", true, 100, 1, 0),
        outcome_counters("v2", "a", true, 10, 0, 0),
    ];
    expect_that!(verdict(&healthy), eq(Verdict::Healthy));
    let lane = [
        outcome_counters("v1", "a", true, 500, 0, 0),
        outcome_counters("v2", "a", true, 50, 0, 0),
        outcome_counters("v1", "b", true, 20, 0, 0),
        outcome_counters("v2", "b", true, 1, 3, 0),
    ];
    expect_that!(verdict(&lane), eq(Verdict::Unhealthy));
    // The canary is slow only on uncached requests, which are as slow on the baseline.
    let uncached = [
        outcome_counters("v1", "a", true, 90, 0, 0),
        outcome_counters("v1", "a", false, 10, 0, 9),
        outcome_counters("v2", "a", false, 10, 0, 9),
    ];
    expect_that!(verdict(&uncached), eq(Verdict::Healthy));
    let slow = [
        outcome_counters("v1", "a", true, 90, 0, 1),
        outcome_counters("v2", "a", true, 10, 0, 6),
    ];
    expect_that!(verdict(&slow), eq(Verdict::Unhealthy));
}

#[gtest]
fn a_restarted_source_is_not_counted_twice_and_old_failures_expire() {
    let mut health = VersionHealth::default();
    health.restart(0);
    health.add_counters(
        &"e1".into(),
        1,
        &[outcome_counters("v2", "a", true, 900, 0, 0)],
    );
    health.add_counters(
        &"e1".into(),
        1,
        &[outcome_counters("v2", "a", true, 910, 0, 0)],
    );
    health.add_counters(
        &"e1".into(),
        2,
        &[outcome_counters("v2", "a", true, 12, 0, 0)],
    );
    expect_that!(health.ended("v2", 10), eq(22));
    health.add_counters(
        &"e1".into(),
        2,
        &[outcome_counters("v2", "a", true, 12, 5, 0)],
    );
    expect_that!(health.judge("v2", "v1", 100), eq(Verdict::Unhealthy));
    (0..400).for_each(|i| health.tick(i * 250));
    expect_that!(health.judge("v2", "v1", 100_000), eq(Verdict::Healthy));
}

/// Counters of `n` first chunks on a lane, each after `ms`.
fn first_chunk_counters(
    version: &str,
    lane: &str,
    cached: bool,
    n: u64,
    ms: Ms,
) -> OutcomeCounters {
    OutcomeCounters {
        first_chunks: n,
        first_chunk_log_sum: n * log_ms(ms),
        ..outcome_counters(version, lane, cached, n, 0, 0)
    }
}

fn placed_verdict(rows: &[OutcomeCounters]) -> Verdict {
    let mut health = VersionHealth::default();
    health.restart(0);
    health.add_counters(&"e1".into(), 1, &[]);
    health.add_counters(&"e1".into(), 1, rows);
    health.judge_placed("v2", Some(0), 2_000)
}

#[gtest]
fn times_are_compared_per_lane_as_the_mix_of_uncached_requests_differs_between_versions() {
    // Long prompts are cached on the old version but not on the new one, whose uncached requests thus include them.
    let mix = [
        first_chunk_counters("v1", "long", true, 60, 60),
        first_chunk_counters("v1", "long", false, 6, 400),
        first_chunk_counters("v1", "short", false, 240, 90),
        first_chunk_counters("v2", "long", false, 9, 400),
        first_chunk_counters("v2", "short", false, 4, 90),
    ];
    expect_that!(placed_verdict(&mix), eq(Verdict::Healthy));
    // A single lane is slow.
    let lane = [
        mix[1].clone(),
        mix[2].clone(),
        first_chunk_counters("v2", "long", false, 9, 400),
        first_chunk_counters("v2", "short", false, 14, 270),
    ];
    expect_that!(placed_verdict(&lane), eq(Verdict::Unhealthy));
    // All lanes are slow, each with too few first chunks for a verdict of its own.
    let each = (0..6).flat_map(|l| {
        let ms = 50 << l;
        [
            first_chunk_counters("v1", &format!("l{l}"), false, 12, ms),
            first_chunk_counters("v2", &format!("l{l}"), false, 3, 4 * ms),
        ]
    });
    expect_that!(
        placed_verdict(&each.collect::<Vec<_>>()),
        eq(Verdict::Unhealthy)
    );
}
