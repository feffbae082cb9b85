use crate::pass_stream::EVENT_MAX;
use googletest::prelude::*;

use super::*;

fn event(n: u64) -> String {
    format!("id: {n}\ndata: piece {n}\n\n")
}
fn events(r: std::ops::RangeInclusive<u64>) -> String {
    r.map(event).collect()
}
/// Feeds bytes in pieces of random sizes.
fn feed(e: &mut ResumableEvents, all: &[u8], rng: &mut fastrand::Rng) -> Vec<u8> {
    let mut out = vec![];
    let mut rest = all;
    while !rest.is_empty() {
        let (a, b) = rest.split_at(rng.usize(1..=rest.len().min(40)));
        out.extend_from_slice(&e.pass_through(a));
        rest = b;
    }
    out
}

#[gtest]
fn bytes_pass_unchanged_however_they_are_cut_into_pieces() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let nl = if rng.bool() { "\r\n" } else { "\n" };
        let all = format!("x-v: 2\n: hello\n\n{}retry: 5", events(1..=9)).replace('\n', nl);
        let mut e = ResumableEvents::default();
        let mut out = feed(&mut e, all.as_bytes(), &mut rng);
        out.extend(e.take_remainder());
        expect_that!(String::from_utf8(out).unwrap(), eq(&all));
        expect_that!(e.last_event_id(), some(eq("9")));
    }
}

#[gtest]
fn whole_events_are_not_copied() {
    let b = events(1..=2);
    expect_true!(
        matches!(ResumableEvents::default().pass_through(b.as_bytes()), Cow::Borrowed(x) if x.len() == b.len())
    );
}

#[gtest]
fn after_any_cut_the_runs_make_one_stream_without_a_torn_missing_or_doubled_event() {
    let all = events(1..=8);
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut e = ResumableEvents::default();
        let cut = rng.usize(0..all.len());
        let mut out = feed(&mut e, &all.as_bytes()[..cut], &mut rng);
        expect_true!(e.is_resumable());
        e.on_cut();
        // A run that honours the id, or one that begins a little earlier.
        let last: u64 = e.last_event_id().map_or(0, |l| l.parse().unwrap());
        let from = if rng.bool() { last + 1 } else { last.max(1) };
        out.extend(feed(&mut e, events(from..=8).as_bytes(), &mut rng));
        out.extend(e.take_remainder());
        expect_that!(String::from_utf8(out).unwrap(), eq(&all));
    }
}

#[gtest]
fn what_no_id_tells_of_cannot_be_resumed() {
    let mut e = ResumableEvents::default();
    e.pass_through(b"id: 1\ndata: a\n\n: nothing\n\n");
    expect_true!(e.is_resumable());
    e.pass_through(b"data: b\n\n");
    expect_false!(e.is_resumable());
    e.pass_through(b"id: 2\ndata: c\n\n");
    expect_true!(e.is_resumable());
}

#[gtest]
fn an_endless_event_holds_no_endless_memory() {
    let mut e = ResumableEvents::default();
    let b = vec![b'x'; EVENT_MAX / 2 + 1];
    expect_that!(e.pass_through(&b).len(), eq(0));
    expect_that!(e.pass_through(&b).len(), eq(0));
    expect_false!(e.is_resumable());
}
