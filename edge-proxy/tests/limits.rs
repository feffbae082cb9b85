//! What downstreams may send, and how long they may take, rest and be held: by the spec, which changes while they are
//! connected.

mod support;

use std::sync::Arc;

use coordination::{Ms, bounds::Bounds};
use daemon_parts::client_connections::{CheckClock, CheckResult, ConnectionState};
use daemon_parts::limits::{
    CLIENT_CHECK_INTERVAL, CLIENT_CHECK_LATE, CLIENT_CHECK_SUSPENDED, CLIENT_HEAD_TIMEOUT,
    CLIENT_IDLE_TIMEOUT, LATE_RESPONSE_SLACK, MAX_RETAINED_BODY_BYTES, MAX_UNREACHED_REPLICAS,
};
use googletest::prelude::*;
use remote_calls::DownstreamLimits;
use support::*;
use tokio::sync::Notify;

fn run(f: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(f);
}
fn limits(header_bytes: u64, body_bytes: u64, header_ms: Ms, idle_ms: Ms) -> DownstreamLimits {
    DownstreamLimits {
        header_bytes,
        body_bytes,
        header_ms,
        idle_ms,
    }
}
/// Time enough that nothing ends by itself in a test.
const AMPLE: Ms = 3_600_000;
/// Time that runs out in a test, and is enough to reach a replica on a machine that is busy.
const RUNS_OUT: Ms = 1_500;

// ---- size ----

#[gtest]
fn a_head_over_its_limit_is_told_so_and_one_at_the_limit_passes() {
    run(async {
        let r = Replica::plain("x").await;
        let q = request("a", "");
        let l = limits(q.len() as u64, 0, 0, 0);
        let e = Edge::start(
            Lane {
                limits: l,
                ..Lane::of("once", 1)
            },
            &[r.addr],
        )
        .await;
        expect_that!(ask(&e, &q).await.status, eq(200));
        let a = ask(&e, q.replace("Round: a", "Round: ab")).await;
        expect_that!(
            (
                a.status,
                a.header("connection"),
                a.header("seal"),
                r.count()
            ),
            eq((431, Some("close"), None, 1))
        );
        expect_that!(a.body, contains_substring("too_large"));
    });
}

#[gtest]
fn a_body_over_its_limit_is_told_so_and_one_at_the_limit_passes() {
    run(async {
        let head =
            "POST /p/x HTTP/1.1\r\nHost: h\r\nRound: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        let chunked = |n: usize| {
            let parts: String = (0..n / 8).map(|_| chunk("12345678")).collect();
            format!(
                "{head}{parts}{}",
                if !n.is_multiple_of(8) {
                    chunk(&"9".repeat(n % 8))
                } else {
                    String::new()
                }
            )
        };
        // Kept whole, and flowing.
        for most in [64, MAX_RETAINED_BODY_BYTES + 64_000] {
            let r = Replica::plain("x").await;
            let l = limits(0, most as u64, 0, 0);
            let e = Edge::start(
                Lane {
                    limits: l,
                    ..Lane::of("repeatable", 3)
                },
                &[r.addr, r.addr],
            )
            .await;
            expect_that!(
                ask(&e, request("a", &"y".repeat(most))).await.status,
                eq(200)
            );
            expect_that!(ask(&e, chunked(most) + "0\r\n\r\n").await.status, eq(200));
            expect_that!((r.got(0).body.len(), r.got(1).body.len()), eq((most, most)));
            let a = ask(&e, request("b", &"y".repeat(most + 1))).await;
            expect_that!((a.status, a.header("seal")), eq((413, None)));
            // Its end is never sent: too much is too much before it.
            let a = ask(&e, chunked(most + 1)).await;
            expect_that!(
                (a.status, a.header("seal"), a.body.contains("not_run")),
                eq((413, None, true)),
                "{most}"
            );
            // What flowed was cut off at its replica, which is waited for; no replica has got a whole request of it.
            let flowed = usize::from(most > MAX_RETAINED_BODY_BYTES);
            e.until(|_| r.cut.lock().unwrap().len() == flowed).await;
            expect_that!((r.count(), e.open(), e.tallies().2), eq((2, 0, 0)));
        }
    });
}

// ---- time ----

#[gtest]
fn a_head_that_does_not_come_ends_its_channel() {
    run(async {
        let r = Replica::plain("x").await;
        let e = Edge::start(
            Lane {
                limits: limits(0, 0, 40, AMPLE),
                ..Lane::of("once", 1)
            },
            &[r.addr],
        )
        .await;
        for half in ["", "POST /p/x HTTP/1.1\r\nHost: h\r\nRou"] {
            let mut d = Downstream::to(e.addr).await;
            d.send(half).await;
            expect_that!(d.end().await, eq(""));
        }
        expect_that!(r.count(), eq(0));
    });
}

#[gtest]
fn a_resting_channel_ends_by_the_spec_of_now() {
    run(async {
        let r = Replica::plain("x").await;
        let lane = |ms| Lane {
            limits: limits(0, 0, ms, ms),
            ..Lane::of("once", 1)
        };
        let e = Edge::start(lane(AMPLE), &[r.addr]).await;
        let mut d = Downstream::to(e.addr).await;
        for round in ["a", "b"] {
            d.send(request(round, "q")).await;
            expect_that!(d.answer().await.status, eq(200));
        }
        e.set_spec(2, &lane(40));
        expect_that!(d.end().await, eq(""));
        // A machine that is busy may take longer than that over a head: others have their time again.
        e.set_spec(3, &lane(AMPLE));
        expect_that!(ask(&e, request("c", "q")).await.status, eq(200));
    });
}

#[gtest]
fn a_channel_is_kept_for_as_long_as_a_downstream_may_take_it_up() {
    for (head, idle) in [
        (3_000, 15_000),
        (3_000, 1_000),
        (0, 60_000),
        (500, 0),
        (0, 0),
    ] {
        let l = limits(0, 0, head, idle);
        let idle = if idle > 0 { idle } else { CLIENT_IDLE_TIMEOUT };
        let head = if head > 0 { head } else { CLIENT_HEAD_TIMEOUT };
        // A head that begins after four fifths of the rest comes whole; and the rest ends.
        let ends = ConnectionState::Idle(1_000).closes_at(&l);
        expect_that!(
            ends,
            all!(
                ge(1_000 + idle / 5 * 4 + head),
                ge(1_000 + idle),
                le(1_000 + idle + head)
            )
        );
        expect_that!(ConnectionState::New(1_000).closes_at(&l), eq(1_000 + head));
        expect_that!(
            ConnectionState::Busy(1_000).closes_at(&l),
            eq(1_000 + LATE_RESPONSE_SLACK)
        );
    }
    // What was sent while the process slept is still to be read.
    for s in [ConnectionState::New(1_000), ConnectionState::Idle(1_000)] {
        expect_that!(
            s.resumed(500_000).closes_at(&limits(0, 0, 100, 100)),
            gt(500_000)
        );
    }
    expect_that!(
        ConnectionState::Busy(1_000).resumed(500_000),
        eq(ConnectionState::Busy(1_000))
    );
}

/// What a check finds of a connection.
fn checked(is_expired: bool, closes: bool) -> CheckResult {
    CheckResult { is_expired, closes }
}

#[gtest]
fn a_process_that_was_kept_from_running_tells_an_end_before_it_closes() {
    let l = limits(0, 0, 100, 100);
    const ENDS: Ms = 1_000 + LATE_RESPONSE_SLACK;
    // A look at this time, so long after the one before.
    let check_after = |at: Ms, elapsed: Ms| {
        let mut check_clock = CheckClock::new(at - elapsed);
        check_clock.on_check(at);
        check_clock
    };
    let busy = ConnectionState::Busy(1_000);
    // Looks in time: closed once its time and the slack are over, and not before.
    expect_that!(
        check_after(ENDS - 1, CLIENT_CHECK_INTERVAL).check_connection(busy, &l, false),
        eq(checked(false, false))
    );
    expect_that!(
        check_after(ENDS, CLIENT_CHECK_INTERVAL).check_connection(busy, &l, false),
        eq(checked(true, true))
    );
    // Its time and the slack may have ended in one pause: whoever answers it has had no turn yet, but has one before
    // the next look, however late that comes.
    for elapsed in [
        CLIENT_CHECK_LATE + 1,
        2 * CLIENT_CHECK_INTERVAL,
        CLIENT_CHECK_SUSPENDED + 1,
        60_000,
    ] {
        let late = check_after(ENDS + elapsed, elapsed);
        expect_that!(
            late.check_connection(late.current_state(busy), &l, false),
            eq(checked(true, false)),
            "{elapsed}"
        );
        expect_that!(
            late.check_connection(late.current_state(busy), &l, true),
            eq(checked(true, true)),
            "{elapsed}"
        );
    }
    // Nor does what rests stay for ever where each look comes after a sleep.
    let mut check_clock = check_after(10_000, CLIENT_CHECK_SUSPENDED + 1);
    expect_that!(
        check_clock.current_state(ConnectionState::Idle(0)),
        eq(ConnectionState::Idle(10_000))
    );
    check_clock.on_check(10_000 + CLIENT_CHECK_SUSPENDED + 1);
    expect_that!(
        check_clock.current_state(ConnectionState::Idle(10_000)),
        eq(ConnectionState::Idle(10_000))
    );
    expect_that!(
        check_clock.check_connection(ConnectionState::Idle(10_000), &l, false),
        eq(checked(true, true))
    );
    // Who rests or has begun nothing is closed by the look itself: nobody else would answer.
    for state in [ConnectionState::New(0), ConnectionState::Idle(0)] {
        expect_that!(
            check_after(1_000, 2 * CLIENT_CHECK_INTERVAL).check_connection(state, &l, false),
            eq(checked(true, true))
        );
    }
}

#[gtest]
fn a_body_that_does_not_come_in_time_is_told_so() {
    run(async {
        let r = Replica::plain("x").await;
        let e = Edge::start(
            Lane {
                time_limit: 60,
                ..Lane::of("once", 1)
            },
            &[r.addr],
        )
        .await;
        let mut d = Downstream::to(e.addr).await;
        d.send("POST /p/x HTTP/1.1\r\nHost: h\r\nRound: a\r\nContent-Length: 9\r\n\r\nhalf")
            .await;
        let a = d.answer().await;
        expect_that!(
            (
                a.status,
                a.header("connection"),
                a.header("retry-after").is_some()
            ),
            eq((408, Some("close"), true))
        );
        expect_that!((a.body.contains("not_run"), r.count()), eq((true, 0)));
    });
}

#[gtest]
fn a_slow_writer_in_time_is_served() {
    run(async {
        let r = Replica::plain("x").await;
        let e = Edge::start(Lane::of("once", 1), &[r.addr]).await;
        let mut d = Downstream::to(e.addr).await;
        for b in request("a", "slowly").bytes() {
            d.send([b]).await;
            tokio::task::yield_now().await;
        }
        expect_that!(
            (d.answer().await.status, r.got(0).body),
            eq(&(200, b"slowly".to_vec()))
        );
    });
}

#[gtest]
fn a_downstream_that_reads_nothing_holds_no_replica_past_its_time() {
    run(async {
        // More than all buffers on the way take.
        const MUCH: usize = 32 << 20;
        let much = Arc::new(chunk(&"id: 1\ndata: x\n\n".repeat(MUCH / 15)));
        for kind in ["once", "stream", "stream_resumable"] {
            let m = much.clone();
            let r = Replica::start(move |_, g| vec![say(stream(g)), say(&*m)]).await;
            let e = Edge::start(
                Lane {
                    time_limit: RUNS_OUT,
                    ..Lane::of(kind, 1)
                },
                &[r.addr],
            )
            .await;
            let mut d = Downstream::to(e.addr).await;
            d.send(request("a", "q")).await;
            e.until(|_| r.count() == 1).await;
            // It reads nothing, and its replica is let go all the same.
            e.until(|e| e.open() == 0 && e.stopping.open_requests() == 0)
                .await;
            drop(d);
        }
    });
}

#[gtest]
fn without_time_left_it_is_rejected_at_once_and_sent_nowhere() {
    run(async {
        let r = Replica::plain("x").await;
        let e = Edge::start(Lane::of("once", 1), &[r.addr]).await;
        let a = ask(&e, request("a", "q").replace("Round", "Left: 0\r\nRound")).await;
        expect_that!(
            (
                a.status,
                a.header("retry-after").is_some(),
                a.body.contains("not_run")
            ),
            eq((503, true, true))
        );
        expect_that!(r.count(), eq(0));
    });
}

// ---- replicas of one try ----

#[gtest]
fn no_try_goes_to_more_replicas_than_its_lane_allows() {
    run(async {
        let full = |_: usize, g: &Got| {
            vec![say(answer(
                g,
                "503 Full",
                "Not-Run: 1\r\nContent-Length: 0\r\n",
                "",
            ))]
        };
        let lost = |_: usize, _: &Got| vec![Act::Reset];
        for (kind, rounds) in [
            ("once", 2),
            ("repeatable", 1),
            ("repeatable", 2),
            ("repeatable", 3),
            ("stream_resumable", 2),
        ] {
            let fulls = [
                Replica::start(full).await,
                Replica::start(full).await,
                Replica::start(full).await,
                Replica::start(full).await,
            ];
            let e = Edge::start(Lane::of(kind, rounds), &fulls.each_ref().map(|r| r.addr)).await;
            expect_that!(ask(&e, request("a", "q")).await.status, eq(503));
            expect_that!(
                fulls.iter().map(Replica::count).sum::<usize>(),
                eq(rounds as usize),
                "{kind} {rounds}"
            );
            let losts = [
                Replica::start(lost).await,
                Replica::start(lost).await,
                Replica::start(lost).await,
                Replica::start(lost).await,
            ];
            let e = Edge::start(Lane::of(kind, rounds), &losts.each_ref().map(|r| r.addr)).await;
            let a = ask(&e, request("a", "q")).await;
            expect_that!(
                (a.status, a.header("seal"), a.header("retry-after")),
                eq((502, None, None))
            );
            let most = if kind == "once" { 1 } else { rounds as usize };
            expect_that!(
                losts.iter().map(Replica::count).sum::<usize>(),
                eq(most),
                "{kind} {rounds}"
            );
        }
    });
}

#[gtest]
fn another_replica_in_its_place_costs_no_round_and_gets_nothing_more() {
    run(async {
        let another = |_: usize, g: &Got| {
            vec![say(answer(
                g,
                "421 Misdirected",
                "Content-Length: 0\r\n",
                "",
            ))]
        };
        for (kind, rounds) in [
            ("once", 1),
            ("once", 2),
            ("stream", 1),
            ("repeatable", 1),
            ("stream_resumable", 1),
        ] {
            let (other, r) = (Replica::start(another).await, Replica::plain("x").await);
            let e = Edge::start(Lane::of(kind, rounds), &[other.addr, r.addr]).await;
            for i in 0..8 {
                expect_that!(
                    ask(&e, request(&format!("a{i}"), "q")).await.status,
                    eq(200),
                    "{kind} {rounds}"
                );
            }
            expect_that!((other.count(), r.count()), eq((1, 8)), "{kind} {rounds}");
        }
        // What it costs is an arrival: it is drawn on the budget.
        let (other, r) = (Replica::start(another).await, Replica::plain("x").await);
        let none = Bounds {
            retry_share: 0.0,
            retry_slack: 0.0,
            ..Bounds::default()
        };
        let e = Edge::within(none, Lane::of("once", 1), &[other.addr, r.addr]).await;
        let a = ask(&e, request("a", "q")).await;
        expect_that!(
            (
                a.status,
                a.body.contains("not_run"),
                other.count(),
                r.count()
            ),
            eq((503, true, 1, 0))
        );
        // And it is not looked for without end.
        let mut others = vec![];
        for _ in 0..MAX_UNREACHED_REPLICAS + 3 {
            others.push(Replica::start(another).await);
        }
        let e = Edge::start(
            Lane::of("once", 1),
            &others.iter().map(|r| r.addr).collect::<Vec<_>>(),
        )
        .await;
        expect_that!(ask(&e, request("a", "q")).await.status, eq(503));
        expect_that!(
            others.iter().map(Replica::count).sum::<usize>(),
            eq(MAX_UNREACHED_REPLICAS as usize + 1)
        );
    });
}

// ---- whose word an answer is ----

#[gtest]
fn a_failure_of_our_own_bears_no_replicas_stamp() {
    run(async {
        let left = Arc::new(Notify::new());
        let n = left.clone();
        let silent = Replica::start(move |_, _| vec![Act::UntilLeft(n.clone())]).await;
        let foreign = Replica::start(|_, _| {
            vec![say(
                "HTTP/1.1 200 OK\r\nRound: another\r\nSeal: s1\r\nContent-Length: 1\r\n\r\nx",
            )]
        })
        .await;
        let full = Replica::start(|_, g| {
            vec![say(answer(
                g,
                "429 Full",
                "Not-Run: 1\r\nContent-Length: 0\r\n",
                "",
            ))]
        })
        .await;
        for (addr, status) in [
            (silent.addr, 504),
            (foreign.addr, 502),
            (full.addr, 429),
            (nowhere(), 503),
        ] {
            let e = Edge::start(
                Lane {
                    time_limit: RUNS_OUT,
                    ..Lane::of("once", 1)
                },
                &[addr],
            )
            .await;
            let a = ask(&e, request("a", "q")).await;
            expect_that!((a.status, a.header("seal")), eq((status, None)));
        }
    });
}
