use googletest::prelude::*;
use remote_calls::{Fault, Outcome};

use super::{AttemptError, Request, Step, StepResult};
use crate::{
    claims::{GRANTED, HELD_BY_OTHER, VOIDED},
    proxy::Assignment,
};

fn request_of(run_once: bool) -> Request {
    let run_request = serde_json::json!({"request": "0123456789abcdef~e1.1~e2.1~e3.1", "service": "s", "lane": "l", "tier": "t",
        "homes": ["z"], "time_left_ms": 100, "run_once": run_once, "prompt": ""});
    Request::new(serde_json::from_value(run_request).unwrap(), 1)
}
fn fault() -> Fault {
    Fault::new("lost", "x", "x")
}
fn assignment() -> Assignment {
    Assignment {
        service: "s".into(),
        lane: "l".into(),
        version: "v".into(),
        replica: "r".into(),
        addr: "a".into(),
        role: remote_calls::GroupRole::Stable,
        cached: false,
        assigned_at: 0,
        attempt: 0,
        slow_start: None,
    }
}
fn outcome(step: Step) -> Option<Outcome> {
    let Step::Reply(fault) = step else {
        return None;
    };
    fault.outcome
}

#[gtest]
fn run_once_request_is_not_retried_after_a_byte_may_have_been_sent() {
    let mut request = request_of(true);
    request.next(StepResult::Checked(Ok(0)));
    request.next(StepResult::Claimed(GRANTED));
    request.next(StepResult::Assigned(Ok(assignment())));
    expect_that!(
        outcome(request.next(StepResult::Started(Err(AttemptError::Unknown(fault()))))),
        eq(Some(Outcome::Unknown))
    );
    // A request that may run repeatedly is retried in that case, but never reported as "not run".
    let mut request = request_of(false);
    request.next(StepResult::Checked(Ok(0)));
    request.next(StepResult::Assigned(Ok(assignment())));
    expect_that!(
        request.next(StepResult::Started(Err(AttemptError::Unknown(fault())))),
        eq(&Step::DrawRetry)
    );
    expect_that!(
        outcome(request.next(StepResult::RetryDrawn(Err(fault())))),
        eq(Some(Outcome::Unknown))
    );
}

#[gtest]
fn not_run_is_reported_only_after_a_majority_voided_the_id() {
    for (state, reported) in [
        (GRANTED, Outcome::NotRun),
        (VOIDED, Outcome::NotRun),
        (HELD_BY_OTHER, Outcome::Unknown),
        (3, Outcome::Unknown),
    ] {
        let mut request = request_of(true);
        expect_that!(
            request.next(StepResult::Checked(Err(fault()))),
            eq(&Step::Claim { void: true })
        );
        expect_that!(
            outcome(request.next(StepResult::Claimed(state))),
            eq(Some(reported))
        );
    }
}
