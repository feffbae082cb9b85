use googletest::prelude::*;

use crate::checkers::planted::{again, caught};

#[gtest]
fn what_callers_are_told_is_checked() {
    caught("served", |h| h.told.clear());
    caught("run_once", |h| again(h, |_| ()));
    caught("run_once", |h| {
        h.told[0].key = "mine".into();
        let mut t = h.told[0].clone();
        t.request = "p".into();
        t.outcome = "unknown".into();
        h.told.push(t);
        again(h, |r| r.request = "p".into());
    });
    caught("not_run", |h| {
        let mut t = h.told[0].clone();
        t.outcome = "not_run".into();
        h.told.push(t);
    });
    caught("whole_answer", |h| h.told[0].digest = "x".into());
    caught("whole_answer", |h| h.runs[0].request = "other".into());
    caught("stream", |h| h.told[0].pieces = vec![1, 3]);
    caught("stream", |h| h.told[0].pieces = vec![1, 2, 2]);
    caught("stream", |h| h.told[0].runs.push("r-9".into()));
    caught("at_once", |h| {
        let mut t = h.told[0].clone();
        (t.request, t.outcome, t.code, t.retry_after_ms, t.ms) = (
            "p".into(),
            "not_run".into(),
            "no_rule".into(),
            Some(9),
            1_900,
        );
        h.told.push(t);
    });
    // Every code but those that are for good says when to come back.
    for code in ["full", "no_claim", "anything"] {
        caught("at_once", |h| {
            let mut t = h.told[0].clone();
            (t.request, t.outcome, t.code) = ("p".into(), "rejected".into(), code.into());
            h.told.push(t);
        });
    }
    caught("pass_once", |h| {
        h.once_lanes.push("l".into());
        again(h, |_| ());
        h.told[0].run_once = false;
    });
}
