//! Outcome counters and open streams on their way from a proxy over its agent to a control daemon,
//! in virtual time. Each message carries only what has changed; messages are lost, duplicated and
//! late, and processes restart.

mod support;

use std::collections::BTreeMap;

use coordination::{
    Effect, Effects, Ms, Row,
    control::{Control, SPEC_KEY},
    edge_agent::EdgeAgent,
    exchange::{AttemptOutcome, RequestHead},
    proxy::{Admission, Assignment, Proxy},
    register::Expect,
    timing::TICK_INTERVAL,
};
use googletest::prelude::*;
use remote_calls::PlatformList;
use serde_json::json;
use support::lone_control::{self, DISK_ID};
use wire_messages::{Envelope, Message, Name, Node, encode};

const LANE_COUNT: usize = 40;
const REPLICA_COUNT: usize = 6;
/// Between two reports of the proxy.
const REPORT_INTERVAL: Ms = 200;
/// Between two replica lists.
const LIST_INTERVAL: Ms = 300;
/// Names and addresses of the three processes.
const CONTROL: &str = lone_control::NAME;
const AGENT: &str = "a";
const PROXY: &str = "p";

/// A message on its way.
struct InFlight {
    arrives_at: Ms,
    to: Name,
    from: Name,
    message: Message,
}

struct RunningRequest {
    ends_at: Ms,
    placed: Assignment,
}

/// What the agent's polls carried.
#[derive(Default)]
struct PollTraffic {
    /// Counters and open streams in all polls, and in the longest one.
    entry_count: usize,
    longest_entry_count: usize,
    /// On the wire.
    bytes: usize,
}

/// A control daemon, an agent and its proxy.
struct Bench {
    now: Ms,
    rng: fastrand::Rng,
    control: Control,
    control_disk: BTreeMap<String, Row>,
    agent: EdgeAgent,
    proxy: Proxy,
    loss_percent: u32,
    duplicate_percent: u32,
    in_flight: Vec<InFlight>,
    running: Vec<RunningRequest>,
    started_count: u64,
    polls: PollTraffic,
    /// The control daemon neither sends nor receives.
    is_partitioned: bool,
    /// Requests that run do not end.
    is_paused: bool,
}

fn spec() -> Vec<u8> {
    let paths = (0..LANE_COUNT).map(|lane| {
        json!({"lane": format!("l{lane}"), "host": "h", "prefix": format!("/{lane}/"), "kind": "repeatable", "time_limit_ms": 60_000,
            "expected_ms": 5_000, "split": [{"service": "s", "weight": 1}]})
    });
    json!({"zones": [{"name": "z"}], "tiers": [], "canary_percent": 8, "bake_ms": 0, "release": 1,
        "services": [{"name": "s", "version": "", "mode": "placed", "lanes": [], "zones": [],
            "engine": {"slots": 64, "channels": 400}}],
        "paths": paths.collect::<Vec<_>>()})
    .to_string()
    .into_bytes()
}

impl Bench {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Bench {
            now: 0,
            control: control(vec![], 1, 0),
            control_disk: BTreeMap::new(),
            agent: agent(2, 0, rng.u64(..)),
            proxy: proxy(3, rng.u64(..)),
            rng,
            loss_percent: 0,
            duplicate_percent: 0,
            in_flight: vec![],
            running: vec![],
            started_count: 0,
            polls: PollTraffic::default(),
            is_partitioned: false,
            is_paused: false,
        }
    }

    /// One whose control daemon has settled, with a spec and a record, and whose proxy serves.
    fn ready(seed: u64) -> Self {
        let mut bench = Bench::new(seed);
        bench.run(1_000, 0);
        let (_, effects) = bench
            .control
            .write(SPEC_KEY, Expect::Any, spec(), bench.now);
        bench.carry_out(CONTROL, effects);
        bench.run(5_000, 0);
        assert!(bench.proxy.is_ready(bench.now));
        bench
    }

    fn carry_out(&mut self, from: &str, effects: Effects) {
        for effect in effects {
            match effect {
                Effect::Send { to, msg } => self.send(from, &to, msg),
                Effect::Persist { rows, then } => {
                    for row in rows {
                        let key = match &row {
                            Row::Slot(slot) => slot.key.to_string(),
                            Row::Members { .. } => "\0members".into(),
                        };
                        self.control_disk.insert(key, row);
                    }
                    self.carry_out(from, then);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: &str, to: &Name, message: Message) {
        if let Message::Poll(poll) = &message {
            let entry_count = poll.counters.len() + poll.open_streams.len();
            self.polls.entry_count += entry_count;
            self.polls.longest_entry_count = self.polls.longest_entry_count.max(entry_count);
            self.polls.bytes += frame_bytes(from, &message);
        }
        if from == &**to {
            self.push(0, from, to, message);
            return;
        }
        let is_cut = self.is_partitioned && (from == CONTROL || &**to == CONTROL);
        if self.rng.u32(..100) < self.loss_percent || is_cut {
            return;
        }
        if self.rng.u32(..100) < self.duplicate_percent {
            let delay = self.rng.u64(1..600);
            self.push(delay, from, to, message.clone());
        }
        let delay = self.rng.u64(1..20);
        self.push(delay, from, to, message);
    }

    fn push(&mut self, delay: Ms, from: &str, to: &Name, message: Message) {
        self.in_flight.push(InFlight {
            arrives_at: self.now + delay,
            to: to.clone(),
            from: from.into(),
            message,
        });
    }

    fn deliver(&mut self, arrived: InFlight) {
        let InFlight {
            to, from, message, ..
        } = arrived;
        match &*to {
            CONTROL => {
                let effects = self.control.on_message(&from, &from, message, self.now);
                self.carry_out(CONTROL, effects);
            }
            AGENT => {
                let effects = self.agent.on_message(&from, &from, message, self.now);
                self.carry_out(AGENT, effects);
            }
            _ => {
                if let Message::TableUpdate(update) = message {
                    self.proxy.on_table_update(update, self.now);
                }
            }
        }
    }

    /// Runs with so many requests a second.
    fn run(&mut self, duration: Ms, request_rate: u64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 1;
            let now = self.now;
            self.deliver_arrived();
            self.end_requests();
            if self.rng.u64(..1_000) < request_rate {
                self.start_request();
            }
            if now.is_multiple_of(TICK_INTERVAL) {
                let mut effects = self.control.tick(now);
                effects.extend(self.control.run_rollouts(now, now / 1_000));
                self.carry_out(CONTROL, effects);
                let effects = self.agent.tick(now);
                self.carry_out(AGENT, effects);
            }
            if now.is_multiple_of(LIST_INTERVAL) {
                self.list_replicas();
            }
            if now.is_multiple_of(REPORT_INTERVAL) {
                let report = self.proxy.changed_report(now);
                self.send(PROXY, &AGENT.into(), report.into());
            }
        }
    }

    fn deliver_arrived(&mut self) {
        let now = self.now;
        while let Some(index) = self
            .in_flight
            .iter()
            .position(|message| message.arrives_at <= now)
        {
            let arrived = self.in_flight.remove(index);
            self.deliver(arrived);
        }
    }

    fn end_requests(&mut self) {
        if self.is_paused {
            return;
        }
        let now = self.now;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|request| request.ends_at <= now);
        self.running = running;
        for request in ended {
            self.proxy
                .on_attempt_ended(&request.placed, AttemptOutcome::Completed, now);
        }
    }

    /// Runs until all that was counted must have come; nothing begins or ends.
    fn settle(&mut self) {
        self.is_paused = true;
        self.run(1_500, 0);
        self.is_paused = false;
    }

    fn list_replicas(&mut self) {
        let all = (0..REPLICA_COUNT).map(|index| {
            json!({"id": format!("r{index}"), "zone": "z", "addr": format!("r{index}"), "service": "s", "version": "v1",
                "state": "running", "slots": 64, "loaded": true})
        });
        let list: PlatformList =
            serde_json::from_value(json!({"replicas": all.collect::<Vec<_>>()})).unwrap();
        self.control.on_replica_list(list, self.now);
    }

    fn start_request(&mut self) {
        let now = self.now;
        let lane_index = self.rng.usize(..LANE_COUNT);
        let ask = RequestHead {
            host: "h".into(),
            path: format!("/{lane_index}/x"),
            attempt_id: lane_index.to_string(),
            ..RequestHead::default()
        };
        let Ok(lane) = self.proxy.find_lane("h", &ask.path, now) else {
            return;
        };
        if let Admission::Assigned(placed) =
            self.proxy
                .assign_by_path(&lane, &ask, &[], now + 60_000, now)
        {
            self.started_count += 1;
            let ends_at = now + self.rng.u64(50..3_000);
            self.running.push(RunningRequest { ends_at, placed });
        }
    }

    fn running_count(&self) -> u64 {
        self.running.len() as u64
    }

    /// Streams that the control daemon takes for open.
    fn open_stream_count(&self) -> u64 {
        self.control
            .status(self.now)
            .streams
            .iter()
            .map(|zone| zone.streams)
            .sum()
    }

    /// Requests that the control daemon has counted.
    fn counted(&self) -> u64 {
        self.control.requests_counted("s", "v1").0
    }
}

fn frame_bytes(from: &str, message: &Message) -> usize {
    let envelope = Envelope {
        from: from.into(),
        addr: from.into(),
        msg: message.clone(),
    };
    encode(&envelope).map_or(0, |frame| frame.len())
}

fn control(rows: Vec<Row>, incarnation: u64, now: Ms) -> Control {
    Control::new(lone_control::config(), DISK_ID, rows, incarnation, now)
}

fn agent(incarnation: u64, now: Ms, seed: u64) -> EdgeAgent {
    let me = Node {
        name: AGENT.into(),
        zone: "z".into(),
        addr: AGENT.into(),
        incarnation,
        ..Node::default()
    };
    EdgeAgent::new(me, vec![CONTROL.into()], seed, now)
}

fn proxy(incarnation: u64, seed: u64) -> Proxy {
    let mut proxy = Proxy::new(PROXY.into(), "z".into(), "p:1".into(), incarnation, seed);
    proxy.set_bounds(Default::default(), BTreeMap::new());
    proxy
}

#[gtest]
fn all_counts_arrive_once_whatever_is_lost_or_late() {
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
fn an_agent_that_restarts_has_nothing_counted_twice() {
    for seed in 0..20 {
        let mut bench = Bench::ready(seed);
        bench.run(6_000, 40);
        bench.agent = agent(100 + bench.now, bench.now, seed);
        bench.run(4_000, 40);
        // What runs is still known at once: an agent's poll before its proxy has reported ends no
        // stream.
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
fn a_proxy_that_restarts_counts_from_zero_on_top() {
    for seed in 0..20 {
        let mut bench = Bench::ready(seed);
        bench.run(6_000, 40);
        // All that was counted has come by then.
        bench.settle();
        bench.running.clear();
        bench.proxy = proxy(100 + bench.now, seed);
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
fn a_control_daemon_that_restarts_has_the_last_half_minute_and_all_streams_and_versions() {
    for seed in 0..20 {
        let mut bench = Bench::ready(seed);
        bench.run(5_000, 40);
        // Some of what its former incarnation was sent is still on its way, and reaches the next.
        let rows = bench.control_disk.values().cloned().collect();
        bench.control = control(rows, 100 + bench.now, bench.now);
        bench.run(5_000, 40);
        bench.settle();
        expect_that!(
            bench.open_stream_count(),
            eq(bench.running_count()),
            "seed {seed}"
        );
        // Attempts that had begun but not ended when it first heard of them are no evidence.
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
            "seed {seed}: it knows what its edge has"
        );
    }
}

#[gtest]
fn a_daemon_that_does_not_answer_is_sent_nothing_and_then_everything() {
    let mut bench = Bench::ready(1);
    bench.run(5_000, 40);
    bench.is_partitioned = true;
    bench.run(3_000, 0);
    bench.polls = PollTraffic::default();
    // Longer than ended streams are remembered.
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
fn an_idle_lane_costs_nothing() {
    let mut bench = Bench::ready(1);
    bench.run(20_000, 40);
    bench.run(4_500, 0);
    bench.polls = PollTraffic::default();
    bench.run(10_000, 2);
    // Two requests a second change a counter and a stream each, twice; each is sent until it is
    // answered.
    expect_that!(bench.polls.longest_entry_count, le(20));
    expect_that!(bench.polls.entry_count, le(160));
}

#[gtest]
fn polls_of_an_idle_fleet_take_few_bytes_and_each_request_few_more() {
    for (request_rate, most) in [(0, 180), (2, 345), (20, 1_200)] {
        let mut bench = Bench::ready(1);
        bench.run(20_000, 40);
        bench.run(4_500, 0);
        bench.polls = PollTraffic::default();
        bench.run(20_000, request_rate);
        expect_that!(
            bench.polls.bytes / 20,
            le(most),
            "bytes a second at {request_rate} requests a second"
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
    let mut control = control(vec![], 1, 0);
    expect_false!(control.is_list_stable(60_000), "nothing is known yet");
    for at in (10_000..20_000).step_by(500) {
        control.on_replica_list(list("running"), at);
        expect_that!(control.is_list_stable(at), eq(at > 15_000), "at {at}");
    }
    control.on_replica_list(list("draining"), 20_000);
    expect_false!(control.is_list_stable(20_000));
    expect_false!(control.is_list_stable(24_000));
    expect_true!(control.is_list_stable(26_000));
}
