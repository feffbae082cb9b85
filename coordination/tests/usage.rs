//! Usage counts on their way from a proxy over its agent to a control daemon, in virtual time: none is lost or counted
//! twice, whatever is lost, late or restarts.

mod support;

use coordination::{
    Ms, control::USAGE_LATENCY, edge_agent::POLL_INTERVAL, exchange::RequestHead, proxy::Admission,
    timing::TICK_INTERVAL, usage::USAGE_RETENTION,
};
use googletest::prelude::*;
use support::edge_bench::{Bench, PollTraffic, REPORT_INTERVAL, USAGE_WINDOW, Usage};
use wire_messages::MAX_NAME;

const SEEDS: u64 = 20;
/// Tenants and requests a second of most tests.
const TENANTS: u64 = 30;
const RATE: u64 = 40;
/// ms. Longest latency of a message in the bench.
const LATENCY: Ms = 20;

fn total(usage: &Usage) -> u64 {
    usage.values().flat_map(|tenants| tenants.values()).sum()
}

fn expect_counted_exactly(bench: &Bench, context: &str) {
    let truth = bench.true_usage(bench.now);
    expect_that!(total(&truth), gt(100), "{context}");
    expect_that!(bench.counted_usage(), eq(&truth), "{context}");
}

/// Guards against counts that a lost poll takes along, and that a repeated one counts again.
#[gtest]
fn all_usage_arrives_once_whatever_is_lost_or_late() {
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

/// Guards against requests that count though no replica began them.
#[gtest]
fn an_attempt_that_ends_before_its_first_chunk_does_not_count() {
    let mut bench = Bench::counting_usage(1, TENANTS);
    bench.run(10_000, RATE);
    bench.settle();
    let begun = total(&bench.counted_usage());
    expect_that!(begun, lt(bench.started_count));
    expect_counted_exactly(&bench, "");
}

/// Guards against a restarted proxy whose counts replace those of the one before.
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

/// Guards against a restarted agent by which all that its proxy counted is counted again, or lost.
#[gtest]
fn an_agent_that_restarts_has_nothing_lost_or_counted_twice() {
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

/// Guards against a restarted control daemon that hears only of what changes from then on.
#[gtest]
fn a_control_daemon_that_restarts_is_sent_all_windows_that_are_kept() {
    for seed in 0..SEEDS {
        let mut bench = Bench::counting_usage(seed, TENANTS);
        bench.run(3_000, RATE);
        bench.settle();
        // The agent also resends what a proxy counted that is gone.
        bench.restart_proxy();
        bench.run(7_000, RATE);
        bench.restart_control();
        bench.run(6_000, RATE);
        bench.settle();
        expect_counted_exactly(&bench, &format!("seed {seed}"));
    }
}

/// What a kill may lose, and what it lost: requests that began within `reach` before it, and requests not counted.
fn losses(bench: &mut Bench, reach: Ms, kill: impl Fn(&mut Bench)) -> (u64, u64) {
    let killed_at = bench.now;
    kill(bench);
    bench.run(3_000, 0);
    let began = total(&bench.true_usage(killed_at));
    let began_long_before = total(&bench.true_usage(killed_at - reach));
    let lost = began - total(&bench.counted_usage());
    (began - began_long_before, lost)
}

/// Guards against a killed proxy that takes along more than its last report interval.
#[gtest]
fn a_killed_proxy_loses_at_most_one_report_interval() {
    let mut lost_ever = 0;
    for seed in 0..SEEDS {
        let mut bench = Bench::counting_usage(seed, TENANTS);
        bench.run(6_000 + seed * 37, RATE);
        let reach = REPORT_INTERVAL + LATENCY;
        let (most, lost) = losses(&mut bench, reach, Bench::restart_proxy);
        expect_that!(lost, le(most), "seed {seed}");
        lost_ever += lost;
    }
    expect_that!(lost_ever, gt(0), "the bound is not reached by chance");
}

/// Guards against a killed edge that takes along more than one report interval and one poll interval.
#[gtest]
fn a_killed_edge_loses_at_most_one_report_and_one_poll_interval() {
    let mut lost_ever = 0;
    for seed in 0..SEEDS {
        let mut bench = Bench::counting_usage(seed, TENANTS);
        bench.run(6_000 + seed * 37, RATE);
        let reach = REPORT_INTERVAL + POLL_INTERVAL + TICK_INTERVAL + 2 * LATENCY;
        let (most, lost) = losses(&mut bench, reach, |bench| {
            bench.restart_proxy();
            bench.restart_agent();
        });
        expect_that!(lost, le(most), "seed {seed}");
        lost_ever += lost;
    }
    expect_that!(lost_ever, gt(0), "the bound is not reached by chance");
}

/// Guards against counts that wait for the end of their window.
#[gtest]
fn counts_go_out_at_every_poll() {
    let mut bench = Bench::counting_usage(1, TENANTS);
    for _ in 0..20 {
        bench.run(777, RATE);
        let reach = REPORT_INTERVAL + POLL_INTERVAL + TICK_INTERVAL + 2 * LATENCY;
        let earlier = total(&bench.true_usage(bench.now - reach));
        expect_that!(total(&bench.counted_usage()), ge(earlier));
    }
}

/// Guards against a time of day that steps and steps back, by which counts move to other windows.
#[gtest]
fn a_time_of_day_that_steps_moves_no_count() {
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

/// Guards against windows that are kept for ever, by a proxy, an agent or a control daemon.
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
    // An agent sends all that it has to a control daemon that restarted.
    bench.restart_control();
    bench.polls = PollTraffic::default();
    bench.run(8_000, 5);
    expect_that!(bench.polls.oldest_usage_window, some(ge(oldest_kept)));
    expect_that!(bench.counted_usage().len(), ge(at_control.len() - 2));
}

/// Guards against a table of all tenants at each edge, and against messages that are longer than a frame takes.
#[gtest]
fn of_many_tenants_an_edge_keeps_those_that_it_saw_and_sends_them_in_parts() {
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
    // The proxy's own reports are in parts too, to an agent that knows nothing.
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

/// Guards against a proxy that starts with a time of day hours ahead, after which its agent takes no window any more.
#[gtest]
fn a_time_of_day_that_was_hours_ahead_at_the_start_blocks_nothing_later() {
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
    let began = bench.first_chunks.len() - before;
    let counted = total(&bench.counted_usage());
    expect_that!(began, gt(50));
    expect_that!(counted, ge(began as u64));
}

/// Guards against a tenant's name that makes every report of its proxy too long to be sent.
#[gtest]
fn a_tenant_whose_name_no_message_carries_is_not_counted() {
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

/// Guards against a window that is closed while counts of it are still on their way.
#[gtest]
fn what_was_heard_through_a_time_is_all_that_began_before_it() {
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
            let heard_through = bench.control.usage_received_through(bench.now);
            let heard = bench.counted_usage();
            for (window, tenants) in bench.true_usage(heard_through) {
                for (tenant, began) in tenants {
                    let counted = heard.get(&window).and_then(|counts| counts.get(&tenant));
                    expect_that!(counted, some(ge(&began)), "seed {seed} round {round}");
                }
            }
        }
    }
}

/// Guards against a window that waits until its deadline though all edges were heard, and against one that is closed
/// although an edge was cut off that may be back in time.
#[gtest]
fn the_time_heard_through_follows_the_polls_and_waits_for_an_edge_that_is_cut_off() {
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

/// Guards against usage that costs more bytes than the aim: 1 KB/s for each edge and each control daemon that keeps it.
#[gtest]
fn usage_of_88_edges_adds_few_bytes() {
    const EDGES: u64 = 88;
    const FLEET_RATE: u64 = 800;
    const DURATION_S: usize = 60;
    /// Bytes a second of an edge to a control daemon.
    const AIM: usize = 1_000;
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
        "an edge's polls to a daemon: {with} bytes/s with usage, {without} without; {} edges and 2 daemons: {} KB/s more",
        EDGES,
        added * 2 * EDGES as usize / 1_000
    );
    expect_that!(added, all!(gt(0), lt(AIM)));
}
