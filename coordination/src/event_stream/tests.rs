use std::borrow::Cow;

use googletest::prelude::*;

use super::{EVENT_BYTES_MAX, ResumableEvents};

fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}
fn events(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers.map(event).collect()
}
/// Feeds bytes in chunks of random sizes.
fn feed(events: &mut ResumableEvents, bytes: &[u8], rng: &mut fastrand::Rng) -> Vec<u8> {
    let mut out = vec![];
    let mut rest = bytes;
    while !rest.is_empty() {
        let (chunk, tail) = rest.split_at(rng.usize(1..=rest.len().min(40)));
        out.extend_from_slice(&events.pass_through(chunk));
        rest = tail;
    }
    out
}

#[gtest]
fn bytes_are_forwarded_unchanged_however_they_are_chunked() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let newline = if rng.bool() { "\r\n" } else { "\n" };
        let all = format!("x-v: 2\n: hello\n\n{}retry: 5", events(1..=9)).replace('\n', newline);
        let mut stream = ResumableEvents::default();
        let mut out = feed(&mut stream, all.as_bytes(), &mut rng);
        out.extend(stream.take_remainder());
        expect_that!(String::from_utf8(out).unwrap(), eq(&all));
        expect_that!(stream.last_event_id(), some(eq("9")));
    }
}

#[gtest]
fn complete_events_are_not_copied() {
    let bytes = events(1..=2);
    expect_true!(
        matches!(ResumableEvents::default().pass_through(bytes.as_bytes()), Cow::Borrowed(forwarded) if forwarded.len() == bytes.len())
    );
}

#[gtest]
fn after_any_interruption_the_runs_form_one_stream_without_truncated_missing_or_duplicate_events() {
    let all = events(1..=8);
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut stream = ResumableEvents::default();
        let cut = rng.usize(0..all.len());
        let mut out = feed(&mut stream, &all.as_bytes()[..cut], &mut rng);
        expect_true!(stream.is_resumable());
        stream.on_interrupted();
        // The next run starts after the last event id, or repeats that event.
        let last: u64 = stream.last_event_id().map_or(0, |id| id.parse().unwrap());
        let from = if rng.bool() { last + 1 } else { last.max(1) };
        out.extend(feed(&mut stream, events(from..=8).as_bytes(), &mut rng));
        out.extend(stream.take_remainder());
        expect_that!(String::from_utf8(out).unwrap(), eq(&all));
    }
}

#[gtest]
fn a_stream_cannot_be_resumed_after_an_event_without_an_id() {
    let mut stream = ResumableEvents::default();
    stream.pass_through(b"id: 1\ndata: a\n\n: nothing\n\n");
    expect_true!(stream.is_resumable());
    stream.pass_through(b"data: b\n\n");
    expect_false!(stream.is_resumable());
    stream.pass_through(b"id: 2\ndata: c\n\n");
    expect_true!(stream.is_resumable());
}

#[gtest]
fn a_stream_with_an_event_over_the_limit_is_not_resumable() {
    let mut stream = ResumableEvents::default();
    let bytes = vec![b'x'; EVENT_BYTES_MAX / 2 + 1];
    expect_that!(stream.pass_through(&bytes).len(), eq(0));
    expect_that!(stream.pass_through(&bytes).len(), eq(0));
    expect_false!(stream.is_resumable());
}
