use googletest::prelude::*;
use remote_calls::{StreamPiece, StreamStart};

use super::*;

fn start(request: &str) -> StreamLine {
    start_of(request, "u")
}
fn start_of(request: &str, run: &str) -> StreamLine {
    let s = StreamStart {
        request: request.into(),
        run: run.into(),
        replica: "r".into(),
        version: "v".into(),
        warm: true,
    };
    StreamLine {
        start: Some(s),
        piece: None,
        end: None,
    }
}
fn piece(n: u64) -> StreamLine {
    StreamLine {
        start: None,
        piece: Some(StreamPiece {
            n,
            text: "x".into(),
        }),
        end: None,
    }
}
fn end(pieces: u64) -> StreamLine {
    StreamLine {
        start: None,
        piece: None,
        end: Some(StreamEnd {
            outcome: Outcome::Answered,
            pieces,
            digest: None,
            fault: None,
        }),
    }
}
/// Whether a stream is passed on as a whole answer.
fn whole(after: u64, lines: Vec<StreamLine>) -> bool {
    let at = ResumePoint {
        run: "u".into(),
        replica: "r".into(),
        after,
    };
    let mut l = LineChecker::new("q", "r", (after > 0).then_some(&at));
    let mut ok = false;
    for x in lines {
        match l.check(x) {
            CheckedLine::Forward(_) => {}
            CheckedLine::End(_) => ok = true,
            CheckedLine::Broken(_) => return false,
        }
    }
    ok
}

#[gtest]
fn only_a_whole_answer_to_the_very_request_counts() {
    expect_true!(whole(0, vec![start("q"), piece(1), piece(2), end(2)]));
    expect_true!(whole(2, vec![start("q"), piece(3), end(3)]));
    let bad = [
        vec![start("other"), piece(1), end(1)],
        vec![start("q"), piece(1), piece(3), end(2)],
        vec![start("q"), piece(1), piece(1), end(2)],
        vec![start("q"), piece(1), end(2)],
        vec![start("q"), piece(1), piece(2)],
        vec![start("q"), piece(1), end(1), piece(2)],
        vec![piece(1), end(1)],
        vec![start("q"), piece(1), start("q"), piece(2), end(2)],
    ];
    for b in bad {
        expect_false!(whole(0, b));
    }
    let told = |text: &str| {
        let mut e = end(1);
        e.end.as_mut().unwrap().digest = Some(text_digest(text));
        e
    };
    expect_true!(whole(0, vec![start("q"), piece(1), told("x")]));
    expect_false!(whole(0, vec![start("q"), piece(1), told("another")]));
    expect_false!(whole(2, vec![start_of("q", "other"), piece(3), end(3)]));
}
