use googletest::prelude::*;
use wire_messages::OutcomeCounters;

use super::{Verdict, VersionHealth, log_ms};
use crate::Ms;

mod trials;

fn tally(v: &str, lane: &str, warm: bool, ok: u64, failed: u64, slow: u64) -> OutcomeCounters {
    OutcomeCounters {
        service: "s".into(),
        version: v.into(),
        lane: lane.into(),
        cached: warm.into(),
        sent: ok + failed,
        succeeded: ok,
        failed,
        slow,
        group: 0,
        ..OutcomeCounters::default()
    }
}

fn verdict(rows: &[OutcomeCounters]) -> Verdict {
    let mut h = VersionHealth::default();
    h.restart(0);
    h.add_counters(&"e1".into(), 1, &[]);
    h.add_counters(&"e1".into(), 1, rows);
    h.judge("v2", "v1", 1_000)
}

#[gtest]
fn one_bad_lane_is_enough_and_a_cold_cache_alone_is_not() {
    let fine = [
        tally("v1", "a", true, 100, 1, 0),
        tally("v2", "a", true, 10, 0, 0),
    ];
    expect_that!(verdict(&fine), eq(Verdict::Healthy));
    let lane = [
        tally("v1", "a", true, 500, 0, 0),
        tally("v2", "a", true, 50, 0, 0),
        tally("v1", "b", true, 20, 0, 0),
        tally("v2", "b", true, 1, 3, 0),
    ];
    expect_that!(verdict(&lane), eq(Verdict::Unhealthy));
    // The canary is slow only where its cache is cold, as the baseline's cold requests are too.
    let cold = [
        tally("v1", "a", true, 90, 0, 0),
        tally("v1", "a", false, 10, 0, 9),
        tally("v2", "a", false, 10, 0, 9),
    ];
    expect_that!(verdict(&cold), eq(Verdict::Healthy));
    let slow = [
        tally("v1", "a", true, 90, 0, 1),
        tally("v2", "a", true, 10, 0, 6),
    ];
    expect_that!(verdict(&slow), eq(Verdict::Unhealthy));
}

#[gtest]
fn a_restarted_source_is_not_counted_twice_and_old_failures_leave_the_window() {
    let mut h = VersionHealth::default();
    h.restart(0);
    h.add_counters(&"e1".into(), 1, &[tally("v2", "a", true, 900, 0, 0)]);
    h.add_counters(&"e1".into(), 1, &[tally("v2", "a", true, 910, 0, 0)]);
    h.add_counters(&"e1".into(), 2, &[tally("v2", "a", true, 12, 0, 0)]);
    expect_that!(h.ended("v2", 10), eq(22));
    h.add_counters(&"e1".into(), 2, &[tally("v2", "a", true, 12, 5, 0)]);
    expect_that!(h.judge("v2", "v1", 100), eq(Verdict::Unhealthy));
    (0..400).for_each(|i| h.tick(i * 250));
    expect_that!(h.judge("v2", "v1", 100_000), eq(Verdict::Healthy));
}

/// First pieces on a lane, each after so many ms.
fn firsts(v: &str, lane: &str, warm: bool, n: u64, ms: Ms) -> OutcomeCounters {
    OutcomeCounters {
        first_chunks: n,
        first_chunk_log_sum: n * log_ms(ms),
        ..tally(v, lane, warm, n, 0, 0)
    }
}

fn beside(rows: &[OutcomeCounters]) -> Verdict {
    let mut h = VersionHealth::default();
    h.restart(0);
    h.add_counters(&"e1".into(), 1, &[]);
    h.add_counters(&"e1".into(), 1, rows);
    h.judge_placed("v2", Some(0), 2_000)
}

#[gtest]
fn times_are_compared_lane_by_lane_though_a_new_version_meets_another_mix_with_cold_caches() {
    // What is kept on the old side is new to the new one: its cold requests are the long prompts too.
    let mix = [
        firsts("v1", "long", true, 60, 60),
        firsts("v1", "long", false, 6, 400),
        firsts("v1", "short", false, 240, 90),
        firsts("v2", "long", false, 9, 400),
        firsts("v2", "short", false, 4, 90),
    ];
    expect_that!(beside(&mix), eq(Verdict::Healthy));
    // One lane is slow.
    let lane = [
        mix[1].clone(),
        mix[2].clone(),
        firsts("v2", "long", false, 9, 400),
        firsts("v2", "short", false, 14, 270),
    ];
    expect_that!(beside(&lane), eq(Verdict::Unhealthy));
    // All are, each with too few to tell by itself.
    let each = (0..6).flat_map(|l| {
        let ms = 50 << l;
        [
            firsts("v1", &format!("l{l}"), false, 12, ms),
            firsts("v2", &format!("l{l}"), false, 3, 4 * ms),
        ]
    });
    expect_that!(beside(&each.collect::<Vec<_>>()), eq(Verdict::Unhealthy));
}
