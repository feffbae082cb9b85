//! Requests by host and path, through a proxy, to replicas that answer as each test says.

mod support;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use coordination::{
    bounds::Bounds,
    edge_agent::{REJECT_ALL, SERVE_ALL},
    shutdown::SERVE_AFTER_SIGTERM,
    wire::TableUpdate,
};
use daemon_parts::{
    clock,
    limits::{MAX_IDLE, STARTUP_WAIT},
};
use edge_proxy::shared::lock;
use googletest::prelude::*;
use support::*;
use tokio::sync::Notify;

fn run(f: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(f);
}

// ---- passing ----

#[gtest]
fn an_answer_returns_unchanged_and_the_request_arrives_unchanged() {
    run(async {
        let r = Replica::start(|_, g| {
            let h = "Content-Length: 5\r\nX-Any: 1\r\nX-Any: 2\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=3\r\n";
            vec![say(answer(g, "201 Created", h, "hello"))]
        })
        .await;
        let e = Edge::start(Lane::of("once", 1), &[r.addr]).await;
        let q = "PATCH /p/x//y/../z%2f?q=a%20b&&c= HTTP/1.1\r\nHost: h:80\r\nRound: a1\r\nLeft: 5000\r\nAuthorization: me\r\n\
            Connection: keep-alive, X-Mine\r\nX-Mine: 1\r\nTE: trailers\r\nContent-Length: 4\r\n\r\nbody";
        let a = ask(&e, q).await;
        expect_that!(
            (a.status, a.body.as_str(), a.whole),
            eq((201, "hello", true))
        );
        expect_that!(
            (a.header("seal"), a.header("x-hop"), a.header("keep-alive")),
            eq((Some("s1"), None, None))
        );
        expect_that!(a.head.to_lowercase().matches("x-any: ").count(), eq(2));
        let g = r.got(0);
        expect_that!(
            g.head,
            starts_with("PATCH /p/x//y/../z%2f?q=a%20b&&c= HTTP/1.1\r\n")
        );
        expect_that!(g.body, eq(b"body"));
        expect_that!(
            (
                g.header("host"),
                g.header("authorization"),
                g.header("round")
            ),
            eq((Some("h:80"), Some("me"), Some("a1")))
        );
        expect_that!(
            (g.header("x-mine"), g.header("te"), g.header("replica")),
            eq((None, None, Some("r0")))
        );
        expect_that!(
            g.header("left").unwrap().parse::<u64>().unwrap(),
            all!(gt(0), le(5_000))
        );
        expect_that!((e.open(), e.tallies()), eq((0, (1, 1, 0))));
    });
}

#[gtest]
fn connections_are_reused_on_both_sides() {
    run(async {
        let r = Replica::plain("x").await;
        let e = Edge::start(Lane::of("once", 1), &[r.addr]).await;
        let mut d = Downstream::to(e.addr).await;
        for i in 0..5 {
            d.send(request(&format!("a{i}"), "q")).await;
            expect_that!(d.answer().await.status, eq(200));
            e.rests().await;
        }
        expect_that!(
            r.seen
                .lock()
                .unwrap()
                .iter()
                .map(|g| g.connection)
                .collect::<Vec<_>>(),
            eq(&[0; 5])
        );
    });
}

#[gtest]
fn bodies_in_chunks_and_large_ones_arrive_whole() {
    run(async {
        let r = Replica::plain("x").await;
        let e = Edge::start(Lane::of("repeatable", 2), &[r.addr]).await;
        let head =
            "POST /p/x HTTP/1.1\r\nHost: h\r\nRound: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        expect_that!(
            ask(&e, format!("{head}{}{}0\r\n\r\n", chunk("ab"), chunk("c")))
                .await
                .status,
            eq(200)
        );
        expect_that!(r.got(0).body, eq(b"abc"));
        for length in [daemon_parts::limits::MAX_RETAINED_BODY_BYTES, 3 << 20] {
            let n = r.count();
            let big = "y".repeat(length);
            expect_that!(ask(&e, request("b", &big)).await.status, eq(200));
            expect_true!(r.got(n).body == big.as_bytes());
            expect_that!(
                ask(&e, format!("{head}{}0\r\n\r\n", chunk(&big)))
                    .await
                    .status,
                eq(200)
            );
            expect_true!(r.got(n + 1).body == big.as_bytes());
        }
    });
}

#[gtest]
fn events_pass_as_they_come() {
    run(async {
        let go = Arc::new(Notify::new());
        let n = go.clone();
        let r = Replica::start(move |_, g| {
            let first = format!("{}{}", stream(g), chunk(&events(1..=1)));
            vec![
                say(first),
                Act::Wait(n.clone()),
                say(chunk(&events(2..=2)) + "0\r\n\r\n"),
            ]
        })
        .await;
        let e = Edge::start(Lane::of("stream", 1), &[r.addr]).await;
        let mut d = Downstream::to(e.addr).await;
        d.send(request("a", "")).await;
        // The second event is not made before the first has arrived.
        d.until("piece 1\n\n").await;
        go.notify_one();
        let a = d.answer().await;
        expect_that!((a.status, a.body, a.whole), eq(&(200, events(1..=2), true)));
        expect_that!(e.tallies(), eq((1, 1, 0)));
    });
}

#[gtest]
fn a_replicas_own_failure_returns_as_it_is_and_runs_once() {
    run(async {
        let r = Replica::start(|_, g| {
            vec![say(answer(
                g,
                "500 Internal Server Error",
                "Content-Length: 3\r\n",
                "bad",
            ))]
        })
        .await;
        let e = Edge::start(Lane::of("repeatable", 3), &[r.addr, r.addr]).await;
        let a = ask(&e, request("a", "q")).await;
        expect_that!((a.status, a.body.as_str(), r.count()), eq((500, "bad", 1)));
        expect_that!(e.tallies(), eq((1, 0, 1)));
    });
}

#[gtest]
fn an_empty_answer_and_an_answer_to_head_are_whole() {
    run(async {
        let r = Replica::start(|_, g| vec![say(answer(g, "200 OK", "Content-Length: 0\r\n", ""))])
            .await;
        let e = Edge::start(Lane::of("once", 1), &[r.addr]).await;
        for _ in 0..2 {
            let a = ask(&e, request("a", "q")).await;
            expect_that!((a.status, a.body.as_str(), a.whole), eq((200, "", true)));
            e.rests().await;
        }
        expect_that!(
            (e.open(), e.tallies(), r.got(1).connection),
            eq((0, (2, 2, 0), 0))
        );
        let r = Replica::start(|_, g| vec![say(answer(g, "200 OK", "Content-Length: 7\r\n", ""))])
            .await;
        let e = Edge::start(Lane::of("once", 1), &[r.addr]).await;
        let mut d = Downstream::to(e.addr).await;
        for _ in 0..2 {
            d.send("HEAD /p/x HTTP/1.1\r\nHost: h\r\nRound: a\r\n\r\n")
                .await;
            expect_that!(
                d.head().await.to_lowercase(),
                contains_substring("content-length: 7\r\n")
            );
            e.rests().await;
        }
        expect_that!((e.open(), r.got(1).connection), eq((0, 0)));
    });
}

// ---- nothing but our own answer ----

#[gtest]
fn paths_that_no_lane_has_are_not_found_and_leave_the_connection_usable() {
    run(async {
        let r = Replica::plain("x").await;
        let e = Edge::start(Lane::of("once", 1), &[r.addr]).await;
        let mut d = Downstream::to(e.addr).await;
        for (host, path) in [("other", "/p/x"), ("h", "/p"), ("h", "/q/p/")] {
            d.send(format!(
                "POST {path} HTTP/1.1\r\nHost: {host}\r\nRound: a\r\nContent-Length: 2\r\n\r\nxy"
            ))
            .await;
            let a = d.answer().await;
            expect_that!((a.status, a.body.contains("not_found")), eq((404, true)));
        }
        d.send(request("a", "q")).await;
        expect_that!((d.answer().await.status, r.count()), eq((200, 1)));
    });
}

#[gtest]
fn without_a_reachable_replica_it_is_rejected_at_once_with_a_time_to_come_back() {
    run(async {
        let e = Edge::start(Lane::of("once", 1), &[nowhere(), nowhere()]).await;
        let a = ask(&e, request("a", "q")).await;
        expect_that!((a.status, a.body.contains("not_run")), eq((503, true)));
        let after: f64 = a.header("retry-after").unwrap().parse().unwrap();
        expect_that!(after, all!(gt(0.0), lt(10.0)));
        expect_that!((e.open(), e.tallies().1), eq((0, 0)));
    });
}

#[gtest]
fn what_comes_before_the_edge_may_serve_waits_a_moment_and_is_then_rejected() {
    run(async {
        let r = Replica::plain("x").await;
        // Time enough that it is served as soon as it may be, however busy the machine is.
        let e = Edge::of(Bounds::default(), 3_600_000, Lane::of("once", 1), &[r.addr]).await;
        let rule = |e: &Edge, rule, until| {
            lock(&e.brain).on_table_update(
                TableUpdate {
                    serving_rule: rule,
                    valid_until: until,
                    ..TableUpdate::default()
                },
                clock::now(),
            )
        };
        rule(&e, REJECT_ALL, 0);
        let mut d = Downstream::to(e.addr).await;
        d.send(request("a", "q")).await;
        e.until(|e| e.stopping.open_requests() == 1).await;
        rule(&e, SERVE_ALL, u64::MAX);
        expect_that!(d.answer().await.status, eq(200));
        let e = Edge::start(Lane::of("once", 1), &[r.addr]).await;
        rule(&e, REJECT_ALL, 0);
        let began = clock::now();
        let a = ask(&e, request("b", "q")).await;
        expect_that!(
            (a.status, a.header("retry-after").is_some(), r.count()),
            eq((503, true, 1))
        );
        expect_that!(clock::now() - began, ge(STARTUP_WAIT));
    });
}

#[gtest]
fn a_replica_out_of_reach_costs_no_round() {
    run(async {
        let r = Replica::plain("x").await;
        let e = Edge::start(Lane::of("once", 1), &[nowhere(), r.addr, nowhere()]).await;
        for i in 0..6 {
            expect_that!(
                ask(&e, request(&format!("a{i}"), "q")).await.status,
                eq(200)
            );
        }
        expect_that!((r.count(), e.open()), eq((6, 0)));
    });
}

#[gtest]
fn what_a_replica_did_not_run_goes_to_another_within_rounds_and_budget() {
    run(async {
        let full = |_: usize, g: &Got| {
            vec![say(answer(
                g,
                "429 Too Many",
                "Not-Run: 1\r\nRetry-After: 0.7\r\nContent-Length: 0\r\n",
                "",
            ))]
        };
        let other = |_: usize, g: &Got| {
            vec![say(answer(
                g,
                "421 Misdirected",
                "Content-Length: 0\r\n",
                "",
            ))]
        };
        for kind in ["once", "stream"] {
            let (f, o) = (Replica::start(full).await, Replica::start(other).await);
            let r = Replica::plain("x").await;
            let e = Edge::start(Lane::of(kind, 3), &[f.addr, o.addr, r.addr]).await;
            let a = ask(&e, request("a", "body")).await;
            expect_that!((a.status, a.body.as_str()), eq((200, "x")), "{kind}");
            expect_that!((r.got(0).body, r.count()), eq(&(b"body".to_vec(), 1)));
            // With one round it comes back to the downstream, with the replica's own word.
            let e = Edge::start(Lane::of(kind, 1), &[f.addr]).await;
            let a = ask(&e, request("a", "body")).await;
            expect_that!(
                (a.status, a.header("retry-after")),
                eq((429, Some("0.700"))),
                "{kind}"
            );
            expect_that!(e.open(), eq(0));
        }
    });
}

#[gtest]
fn further_rounds_end_with_the_budget() {
    run(async {
        let full = |_: usize, g: &Got| {
            vec![say(answer(
                g,
                "503 Full",
                "Not-Run: 1\r\nContent-Length: 0\r\n",
                "",
            ))]
        };
        let (a, b) = (Replica::start(full).await, Replica::start(full).await);
        let bounds = Bounds {
            retry_share: 0.2,
            retry_slack: 5.0,
            ..Bounds::default()
        };
        let e = Edge::within(bounds.clone(), Lane::of("repeatable", 2), &[a.addr, b.addr]).await;
        const ALL: usize = 60;
        for i in 0..ALL {
            expect_that!(
                ask(&e, request(&format!("a{i}"), "q")).await.status,
                eq(503)
            );
        }
        // The bounds' share of first rounds and their slack.
        let most = ALL as f64 * (1.0 + bounds.retry_share) + bounds.retry_slack;
        expect_that!(
            (a.count() + b.count()) as f64,
            all!(gt(ALL as f64), le(most))
        );
    });
}

#[gtest]
fn a_503_without_the_replicas_word_is_an_answer_and_no_rejection() {
    run(async {
        let r =
            Replica::start(|_, g| vec![say(answer(g, "503 Busy", "Content-Length: 1\r\n", "?"))])
                .await;
        let e = Edge::start(Lane::of("once", 3), &[r.addr, r.addr]).await;
        let a = ask(&e, request("a", "q")).await;
        expect_that!(
            (a.status, a.body.as_str(), a.header("seal"), r.count()),
            eq((503, "?", Some("s1"), 1))
        );
    });
}

// ---- loss ----

#[gtest]
fn what_may_run_once_is_never_sent_again_after_a_byte_may_have_left() {
    run(async {
        let ends: [fn() -> Vec<Act>; 5] = [
            || vec![Act::Reset],
            || vec![Act::Close],
            || vec![say("HTTP/1.1 200 OK\r\nRou"), Act::Reset],
            || vec![say("no answer at all\r\n\r\n"), Act::Close],
            || {
                vec![say(
                    "HTTP/1.1 200 OK\r\nRound: another\r\nContent-Length: 1\r\n\r\nx",
                )]
            },
        ];
        for kind in ["once", "stream"] {
            for end in ends {
                let (a, b) = (
                    Replica::start(move |_, _| end()).await,
                    Replica::start(move |_, _| end()).await,
                );
                let e = Edge::start(Lane::of(kind, 3), &[a.addr, b.addr]).await;
                let got = ask(&e, request("a", "q")).await;
                expect_that!(
                    (got.status, got.header("retry-after")),
                    eq((502, None)),
                    "{kind}"
                );
                expect_that!(a.count() + b.count(), eq(1), "{kind}");
                expect_that!((e.open(), e.tallies()), eq((0, (1, 0, 1))));
            }
        }
    });
}

#[gtest]
fn what_is_repeatable_goes_to_another_replica_after_a_loss() {
    run(async {
        let ends: [fn(&Got) -> Vec<Act>; 3] = [
            |_| vec![Act::Reset],
            |_| vec![say("garbage")],
            |_| {
                vec![say(
                    "HTTP/1.1 200 OK\r\nRound: another\r\nContent-Length: 1\r\n\r\nx",
                )]
            },
        ];
        for (i, end) in ends.into_iter().enumerate() {
            let end = move |_: usize, g: &Got| {
                let mut v = end(g);
                v.push(Act::Close);
                v
            };
            let (lost, r) = (Replica::start(end).await, Replica::plain("x").await);
            let e = Edge::start(Lane::of("repeatable", 2), &[lost.addr, r.addr]).await;
            // Whichever is tried first, all are answered, and the lost one was tried by some.
            for n in 0..4 {
                expect_that!(
                    ask(&e, request(&format!("a{n}"), "body")).await.status,
                    eq(200),
                    "end {i}"
                );
            }
            expect_that!((r.count(), e.open()), eq((4, 0)));
            expect_that!(r.got(0).body, eq(b"body"));
        }
    });
}

#[gtest]
fn an_answer_that_is_cut_does_not_look_complete() {
    run(async {
        let cuts: [fn(&Got) -> Vec<Act>; 6] = [
            |g| {
                vec![
                    say(answer(g, "200 OK", "Content-Length: 9\r\n", "half")),
                    Act::Close,
                ]
            },
            |g| {
                vec![
                    say(answer(g, "200 OK", "Content-Length: 9\r\n", "half")),
                    Act::Reset,
                ]
            },
            |g| vec![say(stream(g) + &chunk("half")), Act::Close],
            |g| vec![say(stream(g) + &chunk("half")), Act::Reset],
            // Nothing tells this end from a cut.
            |g| vec![say(answer(g, "200 OK", "", "half")), Act::Close],
            |g| vec![say(answer(g, "200 OK", "", "half")), Act::Reset],
        ];
        for (i, cut) in cuts.into_iter().enumerate() {
            let r = Replica::start(move |_, g| cut(g)).await;
            for kind in ["once", "repeatable", "stream"] {
                let e = Edge::start(Lane::of(kind, 3), &[r.addr]).await;
                let a = ask(&e, request("a", "q")).await;
                expect_that!((a.status, a.whole), eq((200, false)), "cut {i} {kind}");
                expect_that!(
                    (e.open(), e.tallies()),
                    eq((0, (1, 0, 1))),
                    "cut {i} {kind}"
                );
            }
        }
    });
}

#[gtest]
fn bytes_behind_a_whole_answer_reach_nobody() {
    run(async {
        // A surplus answer follows each answer, at once or after the next request.
        for late in [false, true] {
            let r = Replica::start(move |n, g| {
                let surplus = whole(g, "surplus");
                match (late, n % 2) {
                    (true, 0) => vec![say(whole(g, "mine")), say(surplus)],
                    (true, _) => vec![say(whole(g, "mine"))],
                    (false, _) => vec![say(whole(g, "mine") + &surplus)],
                }
            })
            .await;
            let e = Edge::start(Lane::of("repeatable", 2), &[r.addr, r.addr]).await;
            let mut d = Downstream::to(e.addr).await;
            for n in 0..8 {
                d.send(request(&format!("a{n}"), "q")).await;
                let a = d.answer().await;
                expect_that!(
                    (a.status, a.body.as_str()),
                    eq((200, "mine")),
                    "late: {late}"
                );
            }
        }
    });
}

#[gtest]
fn a_channel_that_its_replica_closed_costs_no_answer() {
    run(async {
        // It says that it closes, or just does.
        let ways: [fn(&Got) -> String; 2] = [
            |g| {
                answer(
                    g,
                    "200 OK",
                    "Content-Length: 1\r\nConnection: close\r\n",
                    "x",
                )
            },
            |g| whole(g, "x"),
        ];
        for way in ways {
            let left = Arc::new(Notify::new());
            let n = left.clone();
            let r =
                Replica::start(move |_, g| vec![say(way(g)), Act::CloseUntilLeft(n.clone())]).await;
            let e = Edge::start(Lane::of("once", 1), &[r.addr]).await;
            for i in 0..5 {
                expect_that!(
                    ask(&e, request(&format!("a{i}"), "q")).await.status,
                    eq(200)
                );
                // The close has arrived before the next request is sent.
                left.notified().await;
            }
            // None carries a second one. Where a place grew old while its channel was opened, that channel may wait and the
            // request take another, so they may come in another order than they were opened in.
            let used: BTreeSet<usize> = r
                .seen
                .lock()
                .unwrap()
                .iter()
                .map(|g| g.connection)
                .collect();
            expect_that!((r.count(), used.len()), eq((5, 5)));
        }
    });
}

#[gtest]
fn a_channel_is_not_kept_for_longer_than_its_replica_says() {
    run(async {
        let r = Replica::start(|_, g| {
            vec![say(answer(
                g,
                "200 OK",
                "Content-Length: 1\r\nKeep-Alive: timeout=0\r\n",
                "x",
            ))]
        })
        .await;
        let e = Edge::start(Lane::of("once", 1), &[r.addr]).await;
        for i in 0..3 {
            expect_that!(
                ask(&e, request(&format!("a{i}"), "q")).await.status,
                eq(200)
            );
        }
        expect_that!(
            r.seen
                .lock()
                .unwrap()
                .iter()
                .map(|g| g.connection)
                .collect::<Vec<_>>(),
            eq(&[0, 1, 2])
        );
    });
}

#[gtest]
fn an_idle_channel_is_closed_soon_even_for_what_may_be_repeated() {
    run(async {
        let r = Replica::plain("x").await;
        let e = Edge::start(Lane::of("repeatable", 1), &[r.addr]).await;
        for wait in [0, 0, MAX_IDLE + 100] {
            tokio::time::sleep(Duration::from_millis(wait)).await;
            expect_that!(ask(&e, request("a", "q")).await.status, eq(200));
            e.rests().await;
        }
        // On a machine that is busy one may be opened and given up again before the last.
        expect_that!(
            [0, 1, 2].map(|n| r.got(n).connection),
            elements_are![eq(0), eq(0), gt(0)]
        );
    });
}

#[gtest]
fn no_more_channels_are_opened_than_a_replica_lets_this_edge_have() {
    run(async {
        // One release for each request: they may reach the replica in either order.
        let releases = ["a0", "a1", "c"].map(|round| (round, Arc::new(Notify::new())));
        let release_of = {
            let releases = releases.clone();
            move |round: &str| releases.iter().find(|r| r.0 == round).unwrap().1.clone()
        };
        let release = release_of.clone();
        let r = Replica::start(move |_, g| {
            let round = g.header("round").unwrap();
            vec![Act::Wait(release_of(round)), say(whole(g, "x"))]
        })
        .await;
        let e = Edge::start(
            Lane {
                channels: 3,
                ..Lane::of("once", 1)
            },
            &[r.addr],
        )
        .await;
        let mut open = vec![];
        for round in ["a0", "a1"] {
            let mut d = Downstream::to(e.addr).await;
            d.send(request(round, "q")).await;
            open.push((round, d));
        }
        e.until(|_| r.count() == 2).await;
        let a = ask(&e, request("b", "q")).await;
        expect_that!((a.status, r.count()), eq((503, 2)));
        for (round, mut d) in open {
            release(round).notify_one();
            expect_that!(d.answer().await.status, eq(200));
        }
        // None is held against the replica: it takes the next at once.
        release("c").notify_one();
        expect_that!(
            (ask(&e, request("c", "q")).await.status, e.tallies().2),
            eq((200, 0))
        );
    });
}

// ---- time ----

#[gtest]
fn without_an_answer_its_time_ends_it_and_not_sooner() {
    run(async {
        let left = Arc::new(Notify::new());
        let n = left.clone();
        let r = Replica::start(move |_, _| vec![Act::UntilLeft(n.clone())]).await;
        // Enough to reach the replica on a machine that is busy.
        const LIMIT: u64 = 1_500;
        let e = Edge::start(
            Lane {
                time_limit: LIMIT,
                ..Lane::of("repeatable", 3)
            },
            &[r.addr, r.addr],
        )
        .await;
        let began = clock::now();
        let a = ask(&e, request("a", "q")).await;
        expect_that!((a.status, r.count()), eq((504, 1)));
        expect_that!(clock::now() - began, ge(LIMIT));
        // The replica's channel was closed, so that it stops work.
        left.notified().await;
        expect_that!((e.open(), e.tallies()), eq((0, (1, 0, 1))));
    });
}

#[gtest]
fn when_the_downstream_leaves_its_replica_is_left_too() {
    run(async {
        for (kind, began) in ["once", "repeatable", "stream", "stream_resumable"]
            .into_iter()
            .flat_map(|k| [(k, false), (k, true)])
        {
            let left = Arc::new(Notify::new());
            let n = left.clone();
            let r = Replica::start(move |_, g| {
                let head = say(stream(g) + &chunk(&events(1..=1)));
                let end = Act::UntilLeft(n.clone());
                if began { vec![head, end] } else { vec![end] }
            })
            .await;
            let e = Edge::start(Lane::of(kind, 3), &[r.addr, r.addr]).await;
            let mut d = Downstream::to(e.addr).await;
            d.send(request("a", "q")).await;
            match began {
                true => d.until("piece 1\n\n").await,
                false => e.until(|_| r.count() == 1).await,
            }
            drop(d);
            left.notified().await;
            e.rests().await;
            expect_that!(
                (r.count(), e.open(), e.tallies()),
                eq((1, 0, (1, 0, 0))),
                "{kind} {began}"
            );
        }
    });
}

// ---- streams that go on ----

#[gtest]
fn a_stream_goes_on_at_another_replica_behind_its_last_whole_event() {
    run(async {
        let torn = "id: 4\nda";
        let cuts: [fn(String) -> Vec<Act>; 3] = [
            |b| vec![say(b), Act::Reset],
            |b| vec![say(b), Act::Close],
            |b| vec![say(b + "zz\r\nno chunk"), Act::Close],
        ];
        for (i, cut) in cuts.into_iter().enumerate() {
            let answers = move |_: usize, g: &Got| match g.header("last-event-id") {
                None => cut(stream(g) + &chunk(&events(1..=3)) + &chunk(torn)),
                Some(id) => {
                    let from = id.parse::<u32>().unwrap() + 1;
                    vec![say(stream(g) + &chunk(&events(from..=6)) + "0\r\n\r\n")]
                }
            };
            let (a, b) = (Replica::start(answers).await, Replica::start(answers).await);
            let e = Edge::start(Lane::of("stream_resumable", 2), &[a.addr, b.addr]).await;
            let got = ask(&e, request("a", "body")).await;
            expect_that!(
                (got.status, got.body, got.whole),
                eq(&(200, events(1..=6), true)),
                "cut {i}"
            );
            expect_that!((a.count(), b.count()), eq((1, 1)), "each ran it once");
            let second = if a.got(0).header("last-event-id").is_some() {
                a.got(0)
            } else {
                b.got(0)
            };
            expect_that!(
                (second.header("last-event-id"), second.body.as_slice()),
                eq((Some("3"), b"body".as_slice()))
            );
            expect_that!((e.open(), e.tallies()), eq((0, (2, 1, 1))));
        }
    });
}

#[gtest]
fn a_stream_that_cannot_go_on_does_not_look_complete() {
    run(async {
        let cut = |_: usize, g: &Got| {
            vec![
                say(stream(g) + &chunk(&events(1..=2)) + &chunk("id: 3\n")),
                Act::Reset,
            ]
        };
        // No second round is allowed; the other is out of reach; the other cuts too; the other fails.
        let failing = |_: usize, g: &Got| match g.header("last-event-id") {
            None => vec![
                say(stream(g) + &chunk(&events(1..=2)) + &chunk("id: 3\n")),
                Act::Reset,
            ],
            Some(_) => vec![say(answer(g, "500 Bad", "Content-Length: 0\r\n", ""))],
        };
        for (rounds, both) in [(1, true), (2, false), (2, true)] {
            let (a, b) = (Replica::start(cut).await, Replica::start(cut).await);
            let second = if both { b.addr } else { nowhere() };
            let e = Edge::start(Lane::of("stream_resumable", rounds), &[a.addr, second]).await;
            let got = ask(&e, request("a", "q")).await;
            expect_that!((got.status, got.whole), eq((200, false)), "{rounds} rounds");
            expect_that!(
                events(1..=2),
                starts_with(got.body.as_str()),
                "nothing torn, nothing twice"
            );
            expect_that!(e.open(), eq(0));
        }
        let (a, b) = (Replica::start(failing).await, Replica::start(failing).await);
        let e = Edge::start(Lane::of("stream_resumable", 2), &[a.addr, b.addr]).await;
        let got = ask(&e, request("a", "q")).await;
        expect_that!((got.body, got.whole), eq(&(events(1..=2), false)));
    });
}

#[gtest]
fn a_stream_that_may_run_once_does_not_go_on() {
    run(async {
        let cut = |_: usize, g: &Got| vec![say(stream(g) + &chunk(&events(1..=2))), Act::Close];
        let (a, b) = (Replica::start(cut).await, Replica::start(cut).await);
        let e = Edge::start(Lane::of("stream", 3), &[a.addr, b.addr]).await;
        let got = ask(&e, request("a", "q")).await;
        expect_that!((got.whole, a.count() + b.count()), eq((false, 1)));
    });
}

#[gtest]
fn the_downstreams_own_place_in_a_stream_goes_along() {
    run(async {
        let r = Replica::start(|_, g| vec![say(stream(g) + &chunk(&events(8..=9)) + "0\r\n\r\n")])
            .await;
        let e = Edge::start(Lane::of("stream_resumable", 2), &[r.addr]).await;
        let q = "POST /p/x HTTP/1.1\r\nHost: h\r\nRound: a\r\nLast-Event-Id: 7\r\nContent-Length: 0\r\n\r\n";
        expect_that!(ask(&e, q).await.body, eq(&events(8..=9)));
        expect_that!(r.got(0).header("last-event-id"), some(eq("7")));
    });
}

// ---- readiness ----

#[gtest]
fn an_edge_is_ready_only_while_its_rule_holds() {
    run(async {
        let r = Replica::plain("x").await;
        let e = Edge::start(Lane::of("once", 1), &[r.addr]).await;
        let ready = async |rule, until| {
            lock(&e.brain).on_table_update(
                TableUpdate {
                    serving_rule: rule,
                    valid_until: until,
                    ..TableUpdate::default()
                },
                clock::now(),
            );
            let mut d = Downstream::to(e.ready).await;
            d.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").await;
            d.answer().await.status
        };
        expect_that!(ready(SERVE_ALL, u64::MAX).await, eq(200));
        // Its machine slept, and the rule lapsed meanwhile; the agent renews it.
        expect_that!(ready(SERVE_ALL, clock::now()).await, eq(503));
        expect_that!(ready(SERVE_ALL, u64::MAX).await, eq(200));
        expect_that!(ready(REJECT_ALL, u64::MAX).await, eq(503));
        expect_that!(r.count(), eq(0));
    });
}

// ---- stopping ----

/// ms. Longer than any test.
const LONG: u64 = 3_600_000;

async fn readiness(e: &Edge) -> u16 {
    let mut d = Downstream::to(e.ready).await;
    d.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").await;
    d.answer().await.status
}

/// A stream that is open at the edge until its replica is let go on.
async fn open_stream(go: &Arc<Notify>) -> (Edge, Replica, Downstream) {
    let n = go.clone();
    let r = Replica::start(move |n_th, g| match n_th {
        0 => vec![
            say(stream(g) + &chunk(&events(1..=1))),
            Act::Wait(n.clone()),
            say(chunk(&events(2..=2)) + "0\r\n\r\n"),
        ],
        _ => vec![say(whole(g, "x"))],
    })
    .await;
    let e = Edge::start(Lane::of("stream", 1), &[r.addr]).await;
    let mut open = Downstream::to(e.addr).await;
    open.send(request("a", "q")).await;
    open.until("piece 1\n\n").await;
    (e, r, open)
}

#[gtest]
fn a_leaving_edge_serves_on_and_says_so() {
    run(async {
        let go = Arc::new(Notify::new());
        let (e, r, mut open) = open_stream(&go).await;
        expect_that!(readiness(&e).await, eq(200));
        e.stopping.begin(LONG, clock::now() + LONG);
        expect_that!(readiness(&e).await, eq(503));
        // What comes is still served, and told to come on another connection next time.
        let a = ask(&e, request("b", "q")).await;
        expect_that!((a.status, a.header("connection")), eq((200, Some("close"))));
        go.notify_one();
        let a = open.answer().await;
        expect_that!((a.body, a.whole), eq(&(events(1..=2), true)));
        expect_that!(r.count(), eq(2));
    });
}

#[gtest]
fn an_edge_that_refuses_ends_with_its_last_answer() {
    run(async {
        let go = Arc::new(Notify::new());
        let (e, r, mut open) = open_stream(&go).await;
        e.stopping.begin(LONG, clock::now() - SERVE_AFTER_SIGTERM);
        expect_that!(readiness(&e).await, eq(503));
        // Nothing new is taken; what is open goes on.
        let a = ask(&e, request("c", "q")).await;
        expect_that!(
            (a.status, a.header("connection"), a.header("retry-after")),
            eq((503, Some("close"), Some("0.050")))
        );
        let (stopping, handle) = (e.stopping.clone(), e.handle.clone());
        let ended = actix_rt::spawn(async move {
            edge_proxy::shutdown::shut_down(&stopping, &handle, LONG).await
        });
        go.notify_one();
        let a = open.answer().await;
        expect_that!((a.body, a.whole), eq(&(events(1..=2), true)));
        ended.await.unwrap();
        expect_that!((e.stopping.open_requests(), r.count()), eq((0, 1)));
    });
}

#[gtest]
fn a_request_without_an_answer_gets_one_when_the_grace_is_over() {
    run(async {
        let go = Arc::new(Notify::new());
        let n = go.clone();
        let r = Replica::start(move |_, g| vec![Act::Wait(n.clone()), say(whole(g, "x"))]).await;
        let e = Edge::start(Lane::of("once", 1), &[r.addr]).await;
        let mut open = Downstream::to(e.addr).await;
        open.send(request("a", "q")).await;
        e.until(|_| r.count() == 1).await;
        e.stopping.begin(0, clock::now());
        edge_proxy::shutdown::shut_down(&e.stopping, &e.handle, LONG).await;
        let a = open.answer().await;
        // A replica is at work on it: nobody may say that it has not run.
        expect_that!(
            (a.status, a.header("connection"), a.header("retry-after")),
            eq((502, Some("close"), None))
        );
        expect_that!(a.body, contains_substring("unknown"));
    });
}

#[gtest]
fn the_products_own_runs_are_refused_too_when_an_edge_refuses() {
    run(async {
        let r = Replica::plain("x").await;
        let e = Edge::start(Lane::of("once", 1), &[r.addr]).await;
        let body = r#"{"request":"q1","service":"s","lane":"l","tier":"t","homes":["z"],"prompt":"p","time_left_ms":1000,"run_once":false}"#;
        let q = format!(
            "POST /v1/run HTTP/1.1\r\nHost: edge\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let before = ask(&e, q.as_str()).await;
        expect_that!(before.body, not(contains_substring("stopping")));
        e.stopping.begin(LONG, clock::now() - SERVE_AFTER_SIGTERM);
        let a = ask(&e, q.as_str()).await;
        expect_that!(
            (a.status, a.header("connection")),
            eq((503, Some("close"))),
            "{a:?}"
        );
        expect_that!(a.header("retry-after"), some(anything()));
        expect_that!(a.body, contains_substring("not_run"));
        e.rests().await;
        expect_that!(r.count(), eq(0));
    });
}

#[gtest]
fn the_products_own_calls_stand_beside_lanes_and_give_way_to_them() {
    run(async {
        let r = Replica::plain("x").await;
        let e = Edge::start(Lane::of("once", 1), &[r.addr]).await;
        let get = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: h\r\nRound: a\r\n\r\n");
        expect_that!(
            ask(&e, get("/v1/health")).await.body,
            contains_substring("edge-1")
        );
        expect_that!(ask(&e, get("/v1/counters")).await.status, eq(200));
        expect_that!(ask(&e, get("/ready")).await.status, eq(404));
        expect_that!(r.count(), eq(0));
    });
}
