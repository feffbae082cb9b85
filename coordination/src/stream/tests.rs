use googletest::prelude::*;
use remote_calls::{Outcome, ResumePoint, StreamEnd, StreamLine, StreamPiece, StreamStart};

use super::{CheckedLine, LineChecker};
use crate::rendezvous::text_digest;

fn start(request: &str) -> StreamLine {
    start_of(request, "u")
}
fn start_of(request: &str, run: &str) -> StreamLine {
    let start = StreamStart {
        request: request.into(),
        run: run.into(),
        replica: "r".into(),
        version: "v".into(),
        warm: true,
    };
    StreamLine {
        start: Some(start),
        piece: None,
        end: None,
    }
}
fn chunk(number: u64) -> StreamLine {
    StreamLine {
        start: None,
        piece: Some(StreamPiece {
            n: number,
            text: "x".into(),
        }),
        end: None,
    }
}
fn end(chunks: u64) -> StreamLine {
    StreamLine {
        start: None,
        piece: None,
        end: Some(StreamEnd {
            outcome: Outcome::Answered,
            pieces: chunks,
            digest: None,
            fault: None,
        }),
    }
}
/// Whether a stream is forwarded as a complete response.
fn is_complete(after: u64, lines: Vec<StreamLine>) -> bool {
    let resume = ResumePoint {
        run: "u".into(),
        replica: "r".into(),
        after,
    };
    let mut checker = LineChecker::new("q", "r", (after > 0).then_some(&resume));
    let mut has_ended = false;
    for line in lines {
        match checker.check(line) {
            CheckedLine::Forward(_) => {}
            CheckedLine::End(_) => has_ended = true,
            CheckedLine::Broken(_) => return false,
        }
    }
    has_ended
}

#[gtest]
fn only_a_complete_response_to_this_request_is_accepted() {
    expect_true!(is_complete(0, vec![start("q"), chunk(1), chunk(2), end(2)]));
    expect_true!(is_complete(2, vec![start("q"), chunk(3), end(3)]));
    let bad = [
        vec![start("other"), chunk(1), end(1)],
        vec![start("q"), chunk(1), chunk(3), end(2)],
        vec![start("q"), chunk(1), chunk(1), end(2)],
        vec![start("q"), chunk(1), end(2)],
        vec![start("q"), chunk(1), chunk(2)],
        vec![start("q"), chunk(1), end(1), chunk(2)],
        vec![chunk(1), end(1)],
        vec![start("q"), chunk(1), start("q"), chunk(2), end(2)],
    ];
    for lines in bad {
        expect_false!(is_complete(0, lines));
    }
    let end_with_digest_of = |text: &str| {
        let mut line = end(1);
        line.end.as_mut().unwrap().digest = Some(text_digest(text));
        line
    };
    expect_true!(is_complete(
        0,
        vec![start("q"), chunk(1), end_with_digest_of("x")]
    ));
    expect_false!(is_complete(
        0,
        vec![start("q"), chunk(1), end_with_digest_of("another")]
    ));
    expect_false!(is_complete(
        2,
        vec![start_of("q", "other"), chunk(3), end(3)]
    ));
}
