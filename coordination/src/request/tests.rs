use googletest::prelude::*;

use super::*;

fn request(run_once: bool) -> Request {
    let q = serde_json::json!({"request": "0123456789abcdef~e1.1~e2.1~e3.1", "service": "s", "lane": "l", "tier": "t",
        "homes": ["z"], "time_left_ms": 100, "run_once": run_once, "prompt": ""});
    Request::new(serde_json::from_value(q).unwrap(), 1)
}
fn fault() -> Fault {
    Fault::new("lost", "x", "x")
}
fn placed() -> Assignment {
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
    }
}
fn outcome(s: Step) -> Option<Outcome> {
    let Step::Reply(f) = s else { return None };
    f.outcome
}

#[gtest]
fn run_once_is_never_called_again_after_a_byte_may_have_left() {
    let mut r = request(true);
    r.next(StepResult::Checked(Ok(0)));
    r.next(StepResult::Claimed(GRANTED));
    r.next(StepResult::Assigned(Ok(placed())));
    expect_that!(
        outcome(r.next(StepResult::Started(Err(AttemptError::Unknown(fault()))))),
        eq(Some(Outcome::Unknown))
    );
    // The same for what may run often ends in a second round, but never in "not run".
    let mut r = request(false);
    r.next(StepResult::Checked(Ok(0)));
    r.next(StepResult::Assigned(Ok(placed())));
    expect_that!(
        r.next(StepResult::Started(Err(AttemptError::Unknown(fault())))),
        eq(&Step::DrawRetry)
    );
    expect_that!(
        outcome(r.next(StepResult::RetryDrawn(Err(fault())))),
        eq(Some(Outcome::Unknown))
    );
}

#[gtest]
fn not_run_is_said_only_once_a_majority_has_voided_the_id() {
    for (state, said) in [
        (GRANTED, Outcome::NotRun),
        (VOIDED, Outcome::NotRun),
        (HELD_BY_OTHER, Outcome::Unknown),
        (3, Outcome::Unknown),
    ] {
        let mut r = request(true);
        expect_that!(
            r.next(StepResult::Checked(Err(fault()))),
            eq(&Step::Claim { void: true })
        );
        expect_that!(outcome(r.next(StepResult::Claimed(state))), eq(Some(said)));
    }
}
