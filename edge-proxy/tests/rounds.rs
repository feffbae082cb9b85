//! What each round of a request is handed, and what may follow it.

mod support;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering::Relaxed},
};

use daemon_parts::{clock, limits::MAX_RETAINED_BODY_BYTES};
use googletest::prelude::*;
use support::*;
use tokio::sync::{Notify, watch};

fn run(f: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(f);
}
/// ms. Time that runs out in a test, and is enough to reach a replica on a machine that is busy.
const RUNS_OUT: u64 = 1_500;

/// Two replicas that do the same: `first` with the request that either gets first, `then` with the others.
async fn pair(
    first: impl Fn(&Got) -> Vec<Act> + Clone + 'static,
    then: fn(&Got) -> Vec<Act>,
) -> [Replica; 2] {
    let n = Arc::new(AtomicUsize::new(0));
    let script = move |_: usize, g: &Got| {
        if n.fetch_add(1, Relaxed) == 0 {
            first(g)
        } else {
            then(g)
        }
    };
    [
        Replica::start(script.clone()).await,
        Replica::start(script).await,
    ]
}
/// What both got, the first round first.
fn both([a, b]: &[Replica; 2]) -> [Got; 2] {
    assert_eq!((a.count(), b.count()), (1, 1));
    let (x, y) = (a.got(0), b.got(0));
    let left = |g: &Got| g.header("left").unwrap().parse::<u64>().unwrap();
    if left(&x) >= left(&y) { [x, y] } else { [y, x] }
}

// ---- what a round is handed ----

#[gtest]
fn a_further_round_has_no_more_time_than_is_left() {
    run(async {
        // ms that the first round takes, at least.
        const TOOK: u64 = 30;
        for (kind, told, most) in [
            ("repeatable", 5_000, 5_000),
            ("repeatable", 60_000, 15_000),
            ("stream_resumable", 5_000, 5_000),
        ] {
            let go = Arc::new(Notify::new());
            let n = go.clone();
            let first = move |g: &Got| match g.header("events") {
                Some(_) => vec![
                    say(stream(g) + &chunk(&events(1..=1))),
                    Act::Wait(n.clone()),
                    Act::Reset,
                ],
                None => vec![Act::Wait(n.clone()), Act::Reset],
            };
            let then = |g: &Got| match g.header("events") {
                Some(_) => vec![say(stream(g) + &chunk(&events(2..=2)) + "0\r\n\r\n")],
                None => vec![say(whole(g, "x"))],
            };
            let rs = pair(first, then).await;
            let e = Edge::start(Lane::of(kind, 2), &rs.each_ref().map(|r| r.addr)).await;
            let extra = if kind == "repeatable" {
                ""
            } else {
                "Events: 1\r\n"
            };
            let mut d = Downstream::to(e.addr).await;
            d.send(request("a", "q").replace("Round", &format!("Left: {told}\r\n{extra}Round")))
                .await;
            e.until(|_| rs.iter().map(Replica::count).sum::<usize>() == 1)
                .await;
            let at = clock::now();
            e.until(|_| clock::now() >= at + TOOK).await;
            go.notify_one();
            let a = d.answer().await;
            expect_that!((a.status, a.whole), eq((200, true)), "{kind}");
            let [x, y] = both(&rs).map(|g| g.header("left").unwrap().parse::<u64>().unwrap());
            expect_that!(
                (x, y + TOOK),
                all!((le(most), anything()), (anything(), le(x))),
                "{kind} {told}"
            );
        }
    });
}

#[gtest]
fn a_further_round_is_the_same_request() {
    run(async {
        let first = |g: &Got| match g.header("events") {
            Some(_) => vec![
                say(stream(g) + &chunk(&events(1..=2)) + &chunk("id: 3\nda")),
                Act::Reset,
            ],
            None => vec![Act::Reset],
        };
        let then = |g: &Got| match g.header("events") {
            Some(_) => vec![say(stream(g) + &chunk(&events(3..=3)) + "0\r\n\r\n")],
            None => vec![say(whole(g, "x"))],
        };
        let own = "Weights: m\r\nSizes: 1460,80\r\nParts: 5c1e07a2:800,91bd3f06:410\r\nParts: e4402b7d:250\r\nAccept-Encoding: identity\r\n";
        for (kind, extra) in [("repeatable", ""), ("stream_resumable", "Events: 1\r\n")] {
            let rs = pair(first, then).await;
            let e = Edge::start(Lane::of(kind, 2), &rs.each_ref().map(|r| r.addr)).await;
            let a = ask(
                &e,
                request("a", "body").replace("Round", &format!("{own}{extra}Left: 9000\r\nRound")),
            )
            .await;
            expect_that!(
                (a.status, a.whole, a.header("content-encoding")),
                eq((200, true, None)),
                "{kind}"
            );
            // Everything but what names the replica, the time left and the place in the stream.
            let same = |g: &Got| {
                let not = ["replica:", "left:", "last-event-id:"];
                let mut all: Vec<String> = g.head.lines().map(str::to_lowercase).collect();
                all.retain(|l| !not.iter().any(|n| l.starts_with(n)));
                (all, g.body.clone())
            };
            let [x, y] = both(&rs);
            expect_that!(same(&x), eq(&same(&y)), "{kind}");
            for line in own.to_lowercase().lines() {
                expect_true!(same(&x).0.iter().any(|l| l == line), "{line}");
            }
            let place = (kind == "stream_resumable").then_some("2");
            expect_that!(
                (x.header("last-event-id"), y.header("last-event-id")),
                eq((None, place))
            );
        }
    });
}

// ---- bodies that are read late ----

#[gtest]
fn a_replica_that_answers_before_it_reads_a_body_gets_that_body_and_nothing_else() {
    run(async {
        // Kept, and flowing; all of it is sent at once, or the end only after the answer.
        for (length, at_once) in [
            (MAX_RETAINED_BODY_BYTES / 2, true),
            (MAX_RETAINED_BODY_BYTES * 2, true),
            (MAX_RETAINED_BODY_BYTES * 2, false),
        ] {
            let (let_go, go) = watch::channel(false);
            let r = Replica::early(|g| whole(g, "x"), go).await;
            let e = Edge::start(Lane::of("once", 1), &[r.addr]).await;
            let body = "y".repeat(length);
            let q = request("a", &body);
            let sent = if at_once {
                q.len()
            } else {
                q.len() - MAX_RETAINED_BODY_BYTES / 2
            };
            let mut d = Downstream::to(e.addr).await;
            d.send(&q[..sent]).await;
            let a = d.answer().await;
            expect_that!(
                (a.status, a.body.as_str(), a.whole),
                eq((200, "x", true)),
                "{length} {at_once}"
            );
            // The next request does not stand where the rest of that body is due.
            let mut next = Downstream::to(e.addr).await;
            next.send(request("b", "q")).await;
            let_go.send(true).unwrap();
            expect_that!(next.answer().await.status, eq(200), "{length} {at_once}");
            drop(d);
            e.until(|_| r.count() + r.cut.lock().unwrap().len() == 2)
                .await;
            for g in r.seen.lock().unwrap().iter() {
                let due = if g.header("round") == Some("a") {
                    body.as_bytes()
                } else {
                    b"q"
                };
                expect_true!(g.body == due, "{length} {at_once}");
                expect_that!(g.head, starts_with("POST /p/x?"));
            }
            for g in r.cut.lock().unwrap().iter() {
                expect_that!((g.header("round"), at_once), eq((Some("a"), false)));
                expect_true!(body.as_bytes().starts_with(&g.body), "{length} {at_once}");
            }
        }
    });
}

#[gtest]
fn nothing_is_sent_behind_a_body_that_its_replica_has_not_read() {
    run(async {
        let full: fn(&Got) -> String =
            |g| answer(g, "503 Full", "Not-Run: 1\r\nContent-Length: 0\r\n", "");
        for (said, status) in [(full, 503), (|g| whole(g, "x"), 200)] {
            let (let_go, go) = watch::channel(false);
            let r = Replica::early(said, go).await;
            let e = Edge::start(Lane::of("once", 1), &[r.addr]).await;
            for i in 0..3 {
                expect_that!(
                    ask(
                        &e,
                        request(&format!("a{i}"), &"y".repeat(MAX_RETAINED_BODY_BYTES))
                    )
                    .await
                    .status,
                    eq(status),
                    "{i}"
                );
            }
            let_go.send(true).unwrap();
        }
    });
}

#[gtest]
fn a_rejection_before_the_body_was_read_sends_the_whole_of_it_elsewhere() {
    run(async {
        let (let_go, go) = watch::channel(false);
        let full = Replica::early(
            |g| answer(g, "503 Full", "Not-Run: 1\r\nContent-Length: 0\r\n", ""),
            go,
        )
        .await;
        let r = Replica::plain("x").await;
        let e = Edge::start(Lane::of("once", 2), &[full.addr, r.addr]).await;
        let body = "y".repeat(MAX_RETAINED_BODY_BYTES / 2);
        for i in 0..4 {
            expect_that!(
                ask(&e, request(&format!("a{i}"), &body)).await.status,
                eq(200)
            );
        }
        let_go.send(true).unwrap();
        expect_that!(r.count(), eq(4));
        expect_true!(
            r.seen
                .lock()
                .unwrap()
                .iter()
                .all(|g| g.body == body.as_bytes())
        );
    });
}

// ---- what ends a request ----

#[gtest]
fn an_answer_that_outlasts_its_time_ends_then_and_goes_on_nowhere() {
    run(async {
        for kind in ["once", "stream", "stream_resumable"] {
            let left = Arc::new(Notify::new());
            let n = left.clone();
            let r = Replica::start(move |_, g| {
                vec![
                    say(stream(g) + &chunk(&events(1..=1))),
                    Act::UntilLeft(n.clone()),
                ]
            })
            .await;
            let e = Edge::start(
                Lane {
                    time_limit: RUNS_OUT,
                    ..Lane::of(kind, 3)
                },
                &[r.addr, r.addr],
            )
            .await;
            let began = clock::now();
            let a = ask(&e, request("a", "q")).await;
            expect_that!(
                (a.status, a.body, a.whole),
                eq(&(200, events(1..=1), false)),
                "{kind}"
            );
            expect_that!(clock::now() - began, ge(RUNS_OUT));
            left.notified().await;
            e.rests().await;
            expect_that!((r.count(), e.open()), eq((1, 0)), "{kind}");
        }
    });
}

#[gtest]
fn what_is_under_way_outlives_a_change_of_its_lane() {
    run(async {
        for kind in ["once", "stream"] {
            let go = Arc::new(Notify::new());
            let n = go.clone();
            let r = Replica::start(move |_, g| {
                vec![
                    say(stream(g) + &chunk(&events(1..=1))),
                    Act::Wait(n.clone()),
                    say(chunk(&events(2..=2)) + "0\r\n\r\n"),
                ]
            })
            .await;
            let e = Edge::start(Lane::of(kind, 1), &[r.addr]).await;
            let mut d = Downstream::to(e.addr).await;
            d.send(request("a", "q")).await;
            d.until("piece 1\n\n").await;
            e.set_spec(
                2,
                &Lane {
                    time_limit: 1,
                    ..Lane::of("repeatable", 3)
                },
            );
            go.notify_one();
            let a = d.answer().await;
            expect_that!(
                (a.status, a.body, a.whole),
                eq(&(200, events(1..=2), true)),
                "{kind}"
            );
            // Another one has the lane as it is now.
            let a = ask(&e, request("b", "q")).await;
            expect_false!(a.status == 200 && a.whole, "{kind}");
        }
    });
}
