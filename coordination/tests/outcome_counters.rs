//! Delivery of outcome counters and open streams from a proxy through its agent to a control daemon,
//! in virtual time. Each message carries only changes; messages are lost, duplicated and delayed,
//! and processes restart.

mod support;

use coordination::bounds::Bounds;
use googletest::prelude::*;
use remote_calls::PlatformList;
use serde_json::json;
use support::edge_bench::{Bench, PollTraffic, agent, control, proxy};

#[gtest]
fn all_counts_arrive_once_despite_loss_and_delay() {
    for seed in 0..20 {
        let mut bench = Bench::ready(seed);
        bench.loss_percent = 25;
        bench.duplicate_percent = 25;
        bench.run(15_000, 40);
        bench.loss_percent = 0;
        bench.duplicate_percent = 0;
        bench.run(4_000, 40);
        bench.settle();
        expect_that!(bench.started_count, gt(500), "seed {seed}");
        expect_that!(bench.counted(), eq(bench.started_count), "seed {seed}");
        expect_that!(
            bench.open_stream_count(),
            eq(bench.running_count()),
            "seed {seed}"
        );
        bench.run(4_500, 0);
        expect_that!(
            (bench.open_stream_count(), bench.running_count()),
            eq((0, 0)),
            "seed {seed}"
        );
    }
}

#[gtest]
fn an_agent_restart_duplicates_no_counts() {
    for seed in 0..20 {
        let mut bench = Bench::ready(seed);
        bench.run(6_000, 40);
        bench.agent = agent(100 + bench.now, bench.now, seed);
        bench.run(4_000, 40);
        // The open streams stay known: a poll that the agent sends before its proxy has reported
        // ends no stream.
        expect_that!(bench.open_stream_count(), gt(0), "seed {seed}");
        bench.settle();
        expect_that!(bench.counted(), eq(bench.started_count), "seed {seed}");
        expect_that!(
            bench.open_stream_count(),
            eq(bench.running_count()),
            "seed {seed}"
        );
    }
}

#[gtest]
fn counts_of_a_restarted_proxy_add_to_the_earlier_ones() {
    for seed in 0..20 {
        let mut bench = Bench::ready(seed);
        bench.run(6_000, 40);
        // All counts have arrived by then.
        bench.settle();
        bench.running.clear();
        bench.proxy = proxy(Bounds::default(), 100 + bench.now, seed);
        bench.run(6_000, 40);
        bench.settle();
        expect_that!(bench.counted(), eq(bench.started_count), "seed {seed}");
        expect_that!(
            bench.open_stream_count(),
            eq(bench.running_count()),
            "seed {seed}"
        );
    }
}

#[gtest]
fn a_restarted_control_daemon_recovers_the_last_half_minute_and_all_streams_and_versions() {
    for seed in 0..20 {
        let mut bench = Bench::ready(seed);
        bench.run(5_000, 40);
        // Some messages to its previous incarnation are still in flight and reach the next one.
        let rows = bench.control_disk.values().cloned().collect();
        bench.control = control(Bounds::default(), rows, 100 + bench.now, bench.now);
        bench.run(5_000, 40);
        bench.settle();
        expect_that!(
            bench.open_stream_count(),
            eq(bench.running_count()),
            "seed {seed}"
        );
        // Attempts that were already running when it first received them are not counted.
        expect_that!(
            bench.counted(),
            all!(le(bench.started_count), ge(bench.started_count * 8 / 10)),
            "seed {seed}"
        );
        let status = bench.control.status(bench.now);
        expect_that!(status.edges.len(), eq(1));
        expect_that!(
            status.edges[0].spec_version,
            eq(1),
            "seed {seed}: spec version of the edge"
        );
    }
}

#[gtest]
fn an_unresponsive_daemon_is_sent_nothing_until_it_answers_and_then_everything() {
    let mut bench = Bench::ready(1);
    bench.run(5_000, 40);
    bench.is_partitioned = true;
    bench.run(3_000, 0);
    bench.polls = PollTraffic::default();
    // Longer than ended streams are retained.
    bench.run(130_000, 0);
    expect_that!(bench.polls.entry_count, eq(0));
    bench.is_partitioned = false;
    bench.run(5_000, 40);
    bench.run(4_500, 0);
    expect_that!(
        (bench.counted(), bench.open_stream_count()),
        eq((bench.started_count, 0))
    );
}

#[gtest]
fn an_idle_lane_sends_no_entries() {
    let mut bench = Bench::ready(1);
    bench.run(20_000, 40);
    bench.run(4_500, 0);
    bench.polls = PollTraffic::default();
    bench.run(10_000, 2);
    // Each of two requests per second changes a counter and a stream twice; each change is sent
    // until it is acknowledged.
    expect_that!(bench.polls.longest_entry_count, le(20));
    expect_that!(bench.polls.entry_count, le(160));
}

#[gtest]
fn polls_of_an_idle_fleet_take_few_bytes_and_each_request_few_more() {
    for (request_rate, max_bytes) in [(0, 180), (2, 345), (20, 1_200)] {
        let mut bench = Bench::ready(1);
        bench.run(20_000, 40);
        bench.run(4_500, 0);
        bench.polls = PollTraffic::default();
        bench.run(20_000, request_rate);
        expect_that!(
            bench.polls.bytes / 20,
            le(max_bytes),
            "bytes per second at {request_rate} requests per second"
        );
    }
}

#[gtest]
fn a_replica_list_that_has_not_changed_for_a_while_is_stable() {
    let list = |state: &str| -> PlatformList {
        let replica = json!({"id": "r", "zone": "z", "addr": "r", "service": "s", "version": "v1", "state": state, "slots": 64,
            "loaded": true});
        serde_json::from_value(json!({"replicas": [replica]})).unwrap()
    };
    let mut control = control(Bounds::default(), vec![], 1, 0);
    expect_false!(control.is_list_stable(60_000), "no list received yet");
    for at in (10_000..20_000).step_by(500) {
        control.on_replica_list(list("running"), at);
        expect_that!(control.is_list_stable(at), eq(at > 15_000), "at {at}");
    }
    control.on_replica_list(list("draining"), 20_000);
    expect_false!(control.is_list_stable(20_000));
    expect_false!(control.is_list_stable(24_000));
    expect_true!(control.is_list_stable(26_000));
}
