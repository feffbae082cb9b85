//! Tests of the wall-clock time derived from the monotonic clock.

use coordination::{Ms, wall_clock::WallClock};
use googletest::prelude::*;

/// Wall-clock time at monotonic time 0, in ms since 1970.
const WALL_START: u64 = 1_767_225_602_345;
/// Interval between observations, in ms.
const TICK: Ms = 50;

/// Observes a wall clock that is off by `step` whenever `is_stepped` returns true, and returns the largest error of the
/// prediction from `checked_from` on.
fn worst_error(end: Ms, checked_from: Ms, step: i64, is_stepped: impl Fn(Ms) -> bool) -> u64 {
    let mut clock = WallClock::default();
    let mut worst = 0;
    for now in (0..end).step_by(TICK as usize) {
        let observed_step = if is_stepped(now) { step } else { 0 };
        clock.observe(now, (WALL_START + now).saturating_add_signed(observed_step));
        let predicted = clock.wall_ms(now).unwrap();
        if now >= checked_from {
            worst = worst.max(predicted.abs_diff(WALL_START + now));
        }
    }
    worst
}

/// Guards against counts that move to another window while the wall clock is wrong.
#[gtest]
fn a_time_of_day_that_steps_and_steps_back_is_not_followed() {
    for step in [-5_000, -500, 500, 5_000] {
        for duration in [3_000, 5_500, 9_000] {
            for began_at in (25_000..100_000).step_by(3_333) {
                let is_stepped = |now: Ms| (began_at..began_at + duration).contains(&now);
                let worst = worst_error(150_000, 0, step, is_stepped);
                expect_that!(worst, eq(0), "{step} for {duration} from {began_at}");
            }
        }
    }
}

/// Guards against a prediction that never follows a wall clock that was corrected.
#[gtest]
fn a_time_of_day_that_was_set_right_is_followed_within_half_a_minute() {
    let is_stepped = |now: Ms| now < 70_000;
    expect_that!(worst_error(200_000, 102_000, 5_000, is_stepped), eq(0));
    expect_that!(worst_error(200_000, 70_000, 5_000, is_stepped), eq(5_000));
}

/// Guards against a process that trusts one wrong sample after it was suspended for minutes.
#[gtest]
fn a_suspended_process_keeps_its_samples() {
    let mut clock = WallClock::default();
    for now in (0..30_000).step_by(TICK as usize) {
        clock.observe(now, WALL_START + now);
    }
    let resumed_at = 600_000;
    for now in (resumed_at..resumed_at + 9_000).step_by(TICK as usize) {
        clock.observe(now, WALL_START + now + 4_000);
        expect_that!(clock.wall_ms(now), some(eq(WALL_START + now)));
    }
}

/// Guards against counts in window 0 before the wall-clock time is known.
#[gtest]
fn nothing_is_predicted_before_the_first_observation() {
    let mut clock = WallClock::default();
    expect_that!(clock.wall_ms(1_000), none());
    clock.observe(1_000, WALL_START + 1_000);
    expect_that!(clock.wall_ms(400), some(eq(WALL_START + 400)));
}
