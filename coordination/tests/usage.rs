//! Delivery of usage counts from a proxy through its agent to a control daemon, in virtual time: no count is lost or
//! counted twice under message loss, delays and restarts.

mod support;

use coordination::{
    Ms, control::USAGE_LATENCY, edge_agent::POLL_INTERVAL, exchange::RequestHead, proxy::Admission,
    timing::TICK_INTERVAL, usage::USAGE_RETENTION,
};
use googletest::prelude::*;
use support::edge_bench::{Bench, PollTraffic, REPORT_INTERVAL, USAGE_WINDOW, Usage};
use wire_messages::MAX_NAME;

const SEEDS: u64 = 20;
/// Number of tenants in most tests.
const TENANTS: u64 = 30;
/// Requests per second in most tests.
const RATE: u64 = 40;
/// Maximum latency of a message in the bench, in ms.
const LATENCY: Ms = 20;

fn total(usage: &Usage) -> u64 {
    usage.values().flat_map(|tenants| tenants.values()).sum()
}

fn expect_counted_exactly(bench: &Bench, context: &str) {
    let expected = bench.true_usage(bench.now);
    expect_that!(total(&expected), gt(100), "{context}");
    expect_that!(bench.counted_usage(), eq(&expected), "{context}");
}

/// Guards against counts that are lost with a lost poll or counted twice with a duplicated one.
#[gtest]
fn all_usage_arrives_once_despite_loss_and_delay() {
    for seed in 0..SEEDS {
        let mut bench = Bench::counting_usage(seed, TENANTS);
        bench.loss_percent = 25;
        bench.duplicate_percent = 25;
        bench.run(15_000, RATE);
        bench.loss_percent = 0;
        bench.duplicate_percent = 0;
        bench.run(4_000, RATE);
        bench.settle();
        expect_counted_exactly(&bench, &format!("seed {seed}"));
    }
}

/// Guards against counting requests that no replica started.
#[gtest]
fn an_attempt_that_ends_before_its_first_chunk_does_not_count() {
    let mut bench = Bench::counting_usage(1, TENANTS);
    bench.run(10_000, RATE);
    bench.settle();
    let started = total(&bench.counted_usage());
    expect_that!(started, lt(bench.started_count));
    expect_counted_exactly(&bench, "");
}

/// Guards against a restarted proxy whose counts replace those of its previous incarnation.
#[gtest]
fn a_proxy_that_restarts_adds_to_what_was_counted_before() {
    for seed in 0..SEEDS {
        let mut bench = Bench::counting_usage(seed, TENANTS);
        for _ in 0..3 {
            bench.run(2_500, RATE);
            bench.settle();
            bench.restart_proxy();
        }
        bench.run(2_500, RATE);
        bench.settle();
        expect_counted_exactly(&bench, &format!("seed {seed}"));
    }
}

/// Guards against an agent restart after which the counts of its proxy are lost or counted again.
#[gtest]
fn an_agent_restart_loses_and_duplicates_no_counts() {
    for seed in 0..SEEDS {
        let mut bench = Bench::counting_usage(seed, TENANTS);
        for _ in 0..3 {
            bench.run(3_000, RATE);
            bench.restart_agent();
        }
        bench.run(3_000, RATE);
        bench.settle();
        expect_counted_exactly(&bench, &format!("seed {seed}"));
    }
}

/// Guards against a restarted control daemon that receives only the counts that change after its restart.
#[gtest]
fn a_control_daemon_that_restarts_is_sent_all_windows_that_are_kept() {
    for seed in 0..SEEDS {
        let mut bench = Bench::counting_usage(seed, TENANTS);
        bench.run(3_000, RATE);
        bench.settle();
        // The agent also resends the counts of the proxy's previous incarnation.
        bench.restart_proxy();
        bench.run(7_000, RATE);
        bench.restart_control();
        bench.run(6_000, RATE);
        bench.settle();
        expect_counted_exactly(&bench, &format!("seed {seed}"));
    }
}

/// Returns the maximum and the actual loss of a kill: the number of requests that started within `max_age` before it,
/// and the number of uncounted requests.
fn losses(bench: &mut Bench, max_age: Ms, kill: impl Fn(&mut Bench)) -> (u64, u64) {
    let killed_at = bench.now;
    kill(bench);
    bench.run(3_000, 0);
    let started = total(&bench.true_usage(killed_at));
    let started_earlier = total(&bench.true_usage(killed_at - max_age));
    let lost = started - total(&bench.counted_usage());
    (started - started_earlier, lost)
}

/// Guards against losing more than the last report interval when a proxy is killed.
#[gtest]
fn a_killed_proxy_loses_at_most_one_report_interval() {
    let mut total_lost = 0;
    for seed in 0..SEEDS {
        let mut bench = Bench::counting_usage(seed, TENANTS);
        bench.run(6_000 + seed * 37, RATE);
        let max_age = REPORT_INTERVAL + LATENCY;
        let (max_lost, lost) = losses(&mut bench, max_age, Bench::restart_proxy);
        expect_that!(lost, le(max_lost), "seed {seed}");
        total_lost += lost;
    }
    expect_that!(total_lost, gt(0), "no run lost any count");
}

/// Guards against losing more than one report interval and one poll interval when an edge is killed.
#[gtest]
fn a_killed_edge_loses_at_most_one_report_and_one_poll_interval() {
    let mut total_lost = 0;
    for seed in 0..SEEDS {
        let mut bench = Bench::counting_usage(seed, TENANTS);
        bench.run(6_000 + seed * 37, RATE);
        let max_age = REPORT_INTERVAL + POLL_INTERVAL + TICK_INTERVAL + 2 * LATENCY;
        let (max_lost, lost) = losses(&mut bench, max_age, |bench| {
            bench.restart_proxy();
            bench.restart_agent();
        });
        expect_that!(lost, le(max_lost), "seed {seed}");
        total_lost += lost;
    }
    expect_that!(total_lost, gt(0), "no run lost any count");
}

/// Guards against counts that are sent only at the end of their window.
#[gtest]
fn counts_go_out_at_every_poll() {
    let mut bench = Bench::counting_usage(1, TENANTS);
    for _ in 0..20 {
        bench.run(777, RATE);
        let max_age = REPORT_INTERVAL + POLL_INTERVAL + TICK_INTERVAL + 2 * LATENCY;
        let earlier = total(&bench.true_usage(bench.now - max_age));
        expect_that!(total(&bench.counted_usage()), ge(earlier));
    }
}

/// Guards against counts that move to other windows when the wall clock steps and steps back.
#[gtest]
fn a_wall_clock_step_moves_no_count() {
    for (seed, step) in [-5_000, -500, 500, 5_000].into_iter().enumerate() {
        let mut bench = Bench::counting_usage(seed as u64, TENANTS);
        bench.run(25_000, RATE);
        bench.proxy_clock_step = step;
        bench.run(9_000, RATE);
        bench.proxy_clock_step = 0;
        bench.control_clock_step = step;
        bench.run(3_000, RATE);
        bench.control_clock_step = 0;
        bench.run(9_000, RATE);
        bench.settle();
        expect_counted_exactly(&bench, &format!("{step}"));
    }
}

/// Guards against windows that a proxy, an agent or a control daemon never drops.
#[gtest]
fn windows_are_dropped_once_their_report_is_long_due() {
    let mut bench = Bench::counting_usage(1, TENANTS);
    bench.run(200_000, 5);
    let kept_for = bench.bounds.usage_delay + USAGE_RETENTION;
    let oldest_kept = (bench.wall_ms() - kept_for) / USAGE_WINDOW - 1;
    let at_control = bench.counted_usage();
    expect_that!(at_control.keys().next(), some(ge(&oldest_kept)));
    expect_that!(at_control.len() as u64, ge(kept_for / USAGE_WINDOW));
    let at_proxy = bench.proxy.full_report(bench.now);
    let oldest_at_proxy = at_proxy.usage.iter().map(|counted| counted.window).min();
    expect_that!(oldest_at_proxy, some(ge(oldest_kept)));
    // An agent sends all its counts to a restarted control daemon.
    bench.restart_control();
    bench.polls = PollTraffic::default();
    bench.run(8_000, 5);
    expect_that!(bench.polls.oldest_usage_window, some(ge(oldest_kept)));
    expect_that!(bench.counted_usage().len(), ge(at_control.len() - 2));
}

/// Guards against a table of all tenants at each edge, and against messages that exceed the frame size.
#[gtest]
fn an_edge_keeps_only_tenants_it_served_and_sends_them_in_parts() {
    const COUNTS_PER_MESSAGE: usize = 4_096;
    let mut bench = Bench::counting_usage(1, 14_000);
    bench.is_partitioned = true;
    bench.run(4_000, 0);
    bench.run(50_000, 200);
    let seen: usize = bench
        .true_usage(bench.now)
        .values()
        .map(|tenants| tenants.len())
        .sum();
    expect_that!(seen, gt(COUNTS_PER_MESSAGE));
    // The proxy also splits its reports to an agent that has no counts.
    bench.restart_agent();
    let full_report = bench.proxy.full_report(bench.now);
    expect_that!(full_report.usage.len(), le(COUNTS_PER_MESSAGE));
    bench.is_partitioned = false;
    bench.polls = PollTraffic::default();
    bench.run(6_000, 0);
    bench.settle();
    expect_that!(bench.polls.longest_usage_count, le(COUNTS_PER_MESSAGE));
    println!("{seen} counts, {} sent", bench.polls.usage_count);
    expect_counted_exactly(&bench, "");
}

/// Guards against an agent that accepts no more windows after its proxy started with a wall clock hours ahead.
#[gtest]
fn a_wall_clock_hours_ahead_at_start_blocks_no_later_counts() {
    let mut bench = Bench::counting_usage(1, TENANTS);
    bench.run(2_000, RATE);
    bench.proxy_clock_step = 7_200_000;
    bench.restart_proxy();
    bench.run(2_000, 0);
    bench.proxy_clock_step = 0;
    bench.run(4_000, 0);
    let before = bench.first_chunks.len();
    bench.run(5_000, RATE);
    bench.settle();
    let started = bench.first_chunks.len() - before;
    let counted = total(&bench.counted_usage());
    expect_that!(started, gt(50));
    expect_that!(counted, ge(started as u64));
}

/// Guards against a tenant name that makes every report of its proxy too long to send.
#[gtest]
fn a_tenant_whose_name_exceeds_the_limit_is_not_counted() {
    let mut bench = Bench::counting_usage(1, TENANTS);
    for (length, counted) in [(MAX_NAME, 1), (MAX_NAME + 1, 0)] {
        let head = RequestHead {
            host: "h".into(),
            path: "/1/x".into(),
            tenant: "t".repeat(length),
            ..RequestHead::default()
        };
        let now = bench.now;
        let lane = bench.proxy.find_lane("h", &head.path, now).unwrap();
        let admission = bench
            .proxy
            .assign_by_path(&lane, &head, &[], now + 60_000, now);
        let Admission::Assigned(assignment) = admission else {
            panic!("no replica");
        };
        bench.proxy.on_first_chunk(&assignment, now);
        let report = bench.proxy.full_report(now);
        let counts = report.usage.iter();
        expect_that!(
            counts
                .filter(|counted| counted.tenant.len() == length)
                .count(),
            eq(counted)
        );
    }
}

/// Guards against a window that is closed while some of its counts are still in flight.
#[gtest]
fn usage_received_through_a_time_includes_all_earlier_requests() {
    for seed in 0..SEEDS {
        let mut bench = Bench::counting_usage(seed, TENANTS);
        for round in 0..30 {
            bench.loss_percent = if round % 3 == 0 { 30 } else { 0 };
            if round == 10 {
                bench.restart_control();
            }
            if round == 20 {
                bench.restart_agent();
            }
            bench.run(333, RATE);
            let received_through = bench.control.usage_received_through(bench.now);
            let received = bench.counted_usage();
            for (window, tenants) in bench.true_usage(received_through) {
                for (tenant, started) in tenants {
                    let counted = received.get(&window).and_then(|counts| counts.get(&tenant));
                    expect_that!(counted, some(ge(&started)), "seed {seed} round {round}");
                }
            }
        }
    }
}

/// Guards against a window that stays open until its deadline although all edges have reported, and against one that is
/// closed while an edge is partitioned that may reconnect in time.
#[gtest]
fn usage_received_through_follows_polls_and_waits_for_a_partitioned_edge() {
    let mut bench = Bench::counting_usage(1, TENANTS);
    bench.run(5_000, RATE);
    let lag = bench.now - bench.control.usage_received_through(bench.now);
    let longest_lag = USAGE_LATENCY + REPORT_INTERVAL + POLL_INTERVAL + TICK_INTERVAL + LATENCY;
    expect_that!(lag, all!(ge(USAGE_LATENCY), le(longest_lag)));
    bench.is_partitioned = true;
    bench.run(1_000, RATE);
    let at_cut = bench.control.usage_received_through(bench.now);
    bench.run(18_000, RATE);
    expect_that!(bench.control.usage_received_through(bench.now), eq(at_cut));
    bench.is_partitioned = false;
    bench.run(3_000, RATE);
    let lag = bench.now - bench.control.usage_received_through(bench.now);
    expect_that!(lag, le(longest_lag));
    bench.restart_control();
    expect_that!(bench.control.usage_received_through(bench.now), eq(0));
}

/// Guards against usage that exceeds its bandwidth target: 1 KB/s per edge and per control daemon that keeps usage.
#[gtest]
fn usage_of_88_edges_adds_few_bytes() {
    const EDGES: u64 = 88;
    const FLEET_RATE: u64 = 800;
    const DURATION_S: usize = 60;
    /// Maximum bytes per second from an edge to a control daemon.
    const MAX_BYTES_PER_SECOND: usize = 1_000;
    let poll_bytes = |usage_window: Ms| {
        let mut bench = Bench::counting_usage(1, 87);
        bench.bounds.usage_window = usage_window;
        bench.restart_proxy();
        bench.restart_control();
        bench.run(10_000, FLEET_RATE / EDGES);
        bench.polls = PollTraffic::default();
        bench.run(DURATION_S as Ms * 1_000, FLEET_RATE / EDGES);
        bench.polls.bytes / DURATION_S
    };
    let (with, without) = (poll_bytes(USAGE_WINDOW), poll_bytes(0));
    let added = with - without;
    println!(
        "polls from an edge to a daemon: {with} bytes/s with usage, {without} without; {} edges and 2 daemons: {} KB/s more",
        EDGES,
        added * 2 * EDGES as usize / 1_000
    );
    expect_that!(added, all!(gt(0), lt(MAX_BYTES_PER_SECOND)));
}
