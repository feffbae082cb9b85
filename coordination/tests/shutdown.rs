//! Tests of the graceful shutdown of a serving process.

use coordination::{
    Ms,
    shutdown::{FINAL_RESPONSE_MARGIN, Phase, SERVE_AFTER_SIGTERM, Shutdown},
};
use googletest::prelude::*;

const GRACE: Ms = 8_000;
const STOPPED_AT: Ms = 1_000_000;

fn stopping() -> Shutdown {
    let mut shutdown = Shutdown::default();
    shutdown.begin(GRACE, STOPPED_AT);
    shutdown
}

#[gtest]
fn phases_follow_in_order_and_never_repeat() {
    let idle = Shutdown::default();
    expect_that!(
        (
            idle.phase(STOPPED_AT),
            idle.has_begun(),
            idle.is_done(Ms::MAX)
        ),
        eq((Phase::Serving, false, false))
    );
    let shutdown = stopping();
    let at = |ms: Ms| shutdown.phase(STOPPED_AT + ms);
    expect_that!(at(0), eq(Phase::Draining));
    expect_that!(at(SERVE_AFTER_SIGTERM - 1), eq(Phase::Draining));
    expect_that!(at(SERVE_AFTER_SIGTERM), eq(Phase::Rejecting));
    expect_that!(at(GRACE - FINAL_RESPONSE_MARGIN - 1), eq(Phase::Rejecting));
    expect_that!(at(GRACE - FINAL_RESPONSE_MARGIN), eq(Phase::Expired));
    let phases: Vec<Phase> = (0..GRACE).map(at).collect();
    expect_true!(phases.is_sorted());
}

#[gtest]
fn a_second_signal_does_not_extend_the_shutdown() {
    let mut shutdown = stopping();
    shutdown.begin(GRACE, STOPPED_AT + 2_000);
    expect_that!(
        shutdown.phase(STOPPED_AT + SERVE_AFTER_SIGTERM),
        eq(Phase::Rejecting)
    );
    expect_that!(shutdown.phase(STOPPED_AT + GRACE), eq(Phase::Expired));
}

#[gtest]
fn the_last_accepted_request_has_more_than_half_of_the_grace_period() {
    for grace in [400, 1_000, 3_000, GRACE, 30_000, 600_000] {
        let mut shutdown = Shutdown::default();
        shutdown.begin(grace, STOPPED_AT);
        let last_accepted = (0..grace).rfind(|ms| shutdown.accept(STOPPED_AT + ms));
        let expired = (0..grace).find(|ms| shutdown.phase(STOPPED_AT + ms) == Phase::Expired);
        let expires = grace.saturating_sub(FINAL_RESPONSE_MARGIN);
        expect_that!(expired, some(eq(expires)), "grace {grace}");
        // With a grace period that is too short, requests are rejected at once.
        expect_that!(
            last_accepted.map_or(0, |t| t + 1),
            eq(SERVE_AFTER_SIGTERM.min(expires / 2)),
            "grace {grace}"
        );
    }
}

#[gtest]
fn process_exits_when_it_rejects_requests_and_none_is_open() {
    let mut shutdown = stopping();
    expect_true!(shutdown.accept(STOPPED_AT + 10));
    shutdown.on_request_opened();
    shutdown.on_request_opened();
    shutdown.on_request_closed();
    expect_false!(shutdown.is_done(STOPPED_AT + SERVE_AFTER_SIGTERM));
    // A rejected request delays the exit until its response has been sent.
    shutdown.on_request_opened();
    expect_false!(shutdown.accept(STOPPED_AT + SERVE_AFTER_SIGTERM));
    shutdown.on_request_closed();
    expect_false!(shutdown.is_done(STOPPED_AT + SERVE_AFTER_SIGTERM + 1));
    shutdown.on_request_closed();
    expect_that!(
        (shutdown.open_requests(), shutdown.last_accepted_at()),
        eq((0, STOPPED_AT + 10))
    );
    expect_false!(shutdown.is_done(STOPPED_AT + SERVE_AFTER_SIGTERM - 1));
    expect_true!(shutdown.is_done(STOPPED_AT + SERVE_AFTER_SIGTERM));
    // At the end of the grace period the process exits even with open requests.
    shutdown.on_request_opened();
    expect_false!(shutdown.is_done(STOPPED_AT + GRACE - FINAL_RESPONSE_MARGIN - 1));
    expect_true!(shutdown.is_done(STOPPED_AT + GRACE - FINAL_RESPONSE_MARGIN));
}
