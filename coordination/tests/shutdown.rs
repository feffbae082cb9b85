//! The life of a serving process from SIGTERM to its end.

use coordination::{
    Ms,
    shutdown::{FINAL_RESPONSE_MARGIN, Phase, SERVE_AFTER_SIGTERM, Shutdown},
};
use googletest::prelude::*;

const GRACE: Ms = 8_000;
const ASKED: Ms = 1_000_000;

fn asked() -> Shutdown {
    let mut s = Shutdown::default();
    s.begin(GRACE, ASKED);
    s
}

#[gtest]
fn each_phase_follows_the_one_before_and_none_comes_back() {
    let idle = Shutdown::default();
    expect_that!(
        (idle.phase(ASKED), idle.is_begun(), idle.is_done(Ms::MAX)),
        eq((Phase::Serving, false, false))
    );
    let s = asked();
    let at = |ms: Ms| s.phase(ASKED + ms);
    expect_that!(at(0), eq(Phase::Leaving));
    expect_that!(at(SERVE_AFTER_SIGTERM - 1), eq(Phase::Leaving));
    expect_that!(at(SERVE_AFTER_SIGTERM), eq(Phase::Refusing));
    expect_that!(at(GRACE - FINAL_RESPONSE_MARGIN - 1), eq(Phase::Refusing));
    expect_that!(at(GRACE - FINAL_RESPONSE_MARGIN), eq(Phase::Over));
    let phases: Vec<Phase> = (0..GRACE).map(at).collect();
    expect_true!(phases.is_sorted());
}

#[gtest]
fn a_second_signal_prolongs_nothing() {
    let mut s = asked();
    s.begin(GRACE, ASKED + 2_000);
    expect_that!(s.phase(ASKED + SERVE_AFTER_SIGTERM), eq(Phase::Refusing));
    expect_that!(s.phase(ASKED + GRACE), eq(Phase::Over));
}

#[gtest]
fn what_is_taken_last_has_more_than_half_of_the_grace_to_end() {
    for grace in [400, 1_000, 3_000, GRACE, 30_000, 600_000] {
        let mut s = Shutdown::default();
        s.begin(grace, ASKED);
        let taken = (0..grace).rfind(|ms| s.take(ASKED + ms));
        let over = (0..grace).find(|ms| s.phase(ASKED + ms) == Phase::Over);
        let ends = grace.saturating_sub(FINAL_RESPONSE_MARGIN);
        expect_that!(over, some(eq(ends)), "grace {grace}");
        // A grace that leaves no time refuses from the first moment.
        expect_that!(
            taken.map_or(0, |t| t + 1),
            eq(SERVE_AFTER_SIGTERM.min(ends / 2)),
            "grace {grace}"
        );
    }
}

#[gtest]
fn it_ends_with_the_last_request_it_took_and_not_before_it_refuses() {
    let mut s = asked();
    expect_true!(s.take(ASKED + 10));
    s.opened();
    s.opened();
    s.closed();
    expect_false!(s.is_done(ASKED + SERVE_AFTER_SIGTERM));
    // One that is refused keeps it until its refusal has gone out.
    s.opened();
    expect_false!(s.take(ASKED + SERVE_AFTER_SIGTERM));
    s.closed();
    expect_false!(s.is_done(ASKED + SERVE_AFTER_SIGTERM + 1));
    s.closed();
    expect_that!((s.open(), s.last_taken()), eq((0, ASKED + 10)));
    expect_false!(s.is_done(ASKED + SERVE_AFTER_SIGTERM - 1));
    expect_true!(s.is_done(ASKED + SERVE_AFTER_SIGTERM));
    // Whatever is still open, its grace is over some time.
    s.opened();
    expect_false!(s.is_done(ASKED + GRACE - FINAL_RESPONSE_MARGIN - 1));
    expect_true!(s.is_done(ASKED + GRACE - FINAL_RESPONSE_MARGIN));
}
