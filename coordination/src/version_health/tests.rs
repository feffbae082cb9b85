use googletest::prelude::*;
use wire_messages::OutcomeCounters;

use super::{Verdict, VersionHealth, log_ms};
use crate::Ms;

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
    expect_that!(verdict(&fine), eq(Verdict::Fine));
    let lane = [
        tally("v1", "a", true, 500, 0, 0),
        tally("v2", "a", true, 50, 0, 0),
        tally("v1", "b", true, 20, 0, 0),
        tally("v2", "b", true, 1, 3, 0),
    ];
    expect_that!(verdict(&lane), eq(Verdict::Bad));
    // The canary is slow only where its cache is cold, as the baseline's cold requests are too.
    let cold = [
        tally("v1", "a", true, 90, 0, 0),
        tally("v1", "a", false, 10, 0, 9),
        tally("v2", "a", false, 10, 0, 9),
    ];
    expect_that!(verdict(&cold), eq(Verdict::Fine));
    let slow = [
        tally("v1", "a", true, 90, 0, 1),
        tally("v2", "a", true, 10, 0, 6),
    ];
    expect_that!(verdict(&slow), eq(Verdict::Bad));
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
    expect_that!(h.judge("v2", "v1", 100), eq(Verdict::Bad));
    (0..400).for_each(|i| h.tick(i * 250));
    expect_that!(h.judge("v2", "v1", 100_000), eq(Verdict::Fine));
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
    expect_that!(beside(&mix), eq(Verdict::Fine));
    // One lane is slow.
    let lane = [
        mix[1].clone(),
        mix[2].clone(),
        firsts("v2", "long", false, 9, 400),
        firsts("v2", "short", false, 14, 270),
    ];
    expect_that!(beside(&lane), eq(Verdict::Bad));
    // All are, each with too few to tell by itself.
    let each = (0..6).flat_map(|l| {
        let ms = 50 << l;
        [
            firsts("v1", &format!("l{l}"), false, 12, ms),
            firsts("v2", &format!("l{l}"), false, 3, 4 * ms),
        ]
    });
    expect_that!(beside(&each.collect::<Vec<_>>()), eq(Verdict::Bad));
}

/// How the requests of both versions go.
#[derive(Clone, Copy)]
struct LikeBehaviour {
    /// Percent of the requests that fail.
    failing: u64,
    /// Percent of the requests whose first chunk takes 10 to 350 ms; all others take 2 ms.
    delayed: u64,
}

/// What became of a version on trial that behaves just like the other.
#[derive(Clone, Copy, Default)]
struct Trial {
    is_condemned: bool,
    /// ms. When it had shown what a canary must.
    passed_at: Option<Ms>,
    looks: u32,
    doubted_looks: u32,
}

const LANES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Requests a second of the service, and percent of them that the version on trial gets.
const TRIAL_RATE: u64 = 10;
const TRIAL_PERCENT: u64 = 8;
/// ms. How long a trial lasts, and how often the version is judged.
const TRIAL_TIME: Ms = 60_000;
const LOOK_INTERVAL: Ms = 300;
/// What a canary must have ended, over all and on each lane.
const CANARY_REQUESTS: u64 = 20;
const CANARY_REQUESTS_PER_LANE: u64 = 6;

fn play_trial(seed: u64, behaviour: LikeBehaviour) -> Trial {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut health = VersionHealth::default();
    health.restart(0);
    health.add_counters(&"e1".into(), 1, &[]);
    let mut rows: std::collections::BTreeMap<(&str, &str), OutcomeCounters> = Default::default();
    let mut trial = Trial::default();
    for now in (0..TRIAL_TIME).step_by(100) {
        // The old version has served before the trial begins.
        let requests = if now == 0 { 200 } else { TRIAL_RATE / 10 };
        for _ in 0..requests {
            let is_tried = now > 0 && rng.u64(0..100) < TRIAL_PERCENT;
            let version = if is_tried { "v2" } else { "v1" };
            let lane = LANES[rng.usize(..LANES.len())];
            let row = rows
                .entry((version, lane))
                .or_insert_with(|| tally(version, lane, true, 0, 0, 0));
            row.sent += 1;
            if rng.u64(0..100) < behaviour.failing {
                row.failed += 1;
                row.failed_replicas |= 1 << rng.u32(0..3);
                continue;
            }
            let is_delayed = rng.u64(0..100) < behaviour.delayed;
            let time = if is_delayed { rng.u64(10..350) } else { 2 };
            row.succeeded += 1;
            row.first_chunks += 1;
            row.first_chunk_log_sum += log_ms(time);
        }
        let reported: Vec<OutcomeCounters> = rows.values().cloned().collect();
        health.add_counters(&"e1".into(), 1, &reported);
        health.tick(now);
        if now > 0 && now.is_multiple_of(LOOK_INTERVAL) {
            trial.looks += 1;
            trial.doubted_looks += u32::from(health.is_suspicious_placed("v2", now));
            let has_shown_enough = health.ended("v2", now) >= CANARY_REQUESTS
                && health.has_tried_all_lanes("v2", CANARY_REQUESTS_PER_LANE, now)
                && !health.is_suspicious_placed("v2", now);
            trial.passed_at = trial.passed_at.or(has_shown_enough.then_some(now));
            trial.is_condemned |= health.judge_placed("v2", Some(0), now) == Verdict::Bad;
        }
    }
    trial
}

/// Of so many trials of a version that is like the other: how many condemn it, and the percent of looks that doubt it.
fn play_trials(behaviour: LikeBehaviour) -> (usize, u32) {
    let trials: Vec<Trial> = (1..=TRIALS)
        .map(|seed| play_trial(seed, behaviour))
        .collect();
    let condemned = trials.iter().filter(|trial| trial.is_condemned).count();
    let doubted: u32 = trials.iter().map(|trial| trial.doubted_looks).sum();
    let looks: u32 = trials.iter().map(|trial| trial.looks).sum();
    println!(
        "{}% fail, {}% are delayed: {condemned} of {TRIALS} condemned, doubted {}% of the time",
        behaviour.failing,
        behaviour.delayed,
        100 * doubted / looks
    );
    (condemned, 100 * doubted / looks)
}

const TRIALS: u64 = 200;

#[gtest]
fn a_version_that_is_like_the_other_is_seldom_condemned() {
    for (failing, delayed) in [(0, 0), (12, 0), (0, 30), (12, 30)] {
        let (condemned, _) = play_trials(LikeBehaviour { failing, delayed });
        expect_that!(condemned, le(2), "{failing}% fail, {delayed}% are delayed");
    }
}

/// A service with little traffic on many lanes takes its time, whatever its plan asks: a version may be bad on one lane.
#[gtest]
fn a_canary_of_a_quiet_service_with_five_lanes_takes_most_of_a_minute() {
    let behaviour = LikeBehaviour {
        failing: 12,
        delayed: 30,
    };
    let mut passed_after: Vec<Ms> = (1..=TRIALS)
        .map(|seed| play_trial(seed, behaviour).passed_at)
        .map(|passed_at| passed_at.unwrap_or(TRIAL_TIME))
        .collect();
    passed_after.sort_unstable();
    let median = passed_after[passed_after.len() / 2];
    println!("median {median} ms, least {} ms", passed_after[0]);
    expect_that!(median, all![ge(30_000), le(TRIAL_TIME)]);
}
