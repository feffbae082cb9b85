//! Test bench with a control daemon, an agent and its proxy, in virtual time. Messages are lost, duplicated and delayed,
//! and processes restart.

use std::collections::BTreeMap;

use coordination::{
    Effect, Effects, Ms, Row,
    bounds::Bounds,
    control::{Control, ControlConfig, SPEC_KEY},
    edge_agent::EdgeAgent,
    exchange::{AttemptOutcome, RequestHead},
    proxy::{Admission, Assignment, Proxy},
    register::Expect,
    timing::TICK_INTERVAL,
};
use remote_calls::PlatformList;
use serde_json::json;
use wire_messages::{Envelope, Message, Name, Node, Poll, TenantUsage, encode};

use super::lone_control::{self, DISK_ID};

const LANE_COUNT: usize = 40;
const REPLICA_COUNT: usize = 6;
/// Interval between two reports of the proxy, in ms.
pub const REPORT_INTERVAL: Ms = 200;
/// Interval between two replica lists, in ms.
const LIST_INTERVAL: Ms = 300;
/// Names and addresses of the three processes.
pub const CONTROL: &str = lone_control::NAME;
pub const AGENT: &str = "a";
const PROXY: &str = "p";
/// Wall-clock time at which a bench starts, in ms since 1970; it lies in the middle of a window.
const WALL_START: u64 = 1_767_225_602_345;
/// Length of a usage window, in ms.
pub const USAGE_WINDOW: Ms = 5_000;
/// Maximum time to the first chunk of a request when usage is counted, in ms.
const MAX_FIRST_CHUNK_DELAY: Ms = 400;
/// One in this many requests fails before its first chunk when usage is counted.
const FAILURE_PERIOD: u64 = 10;

/// A message in flight.
struct InFlight {
    arrives_at: Ms,
    to: Name,
    from: Name,
    message: Message,
}

pub struct RunningRequest {
    ends_at: Ms,
    assignment: Assignment,
    tenant: Name,
    /// Arrival time of the first chunk; `None` after its arrival, if it never arrives, or if usage is not counted.
    first_chunk_at: Option<Ms>,
}

/// The first chunk of a request, which is the unit that usage counts.
pub struct FirstChunk {
    pub received_at: Ms,
    pub window: u64,
    pub tenant: Name,
}

/// Number of started requests by window and tenant.
pub type Usage = BTreeMap<u64, BTreeMap<Name, u64>>;

/// Totals over the polls of the agent.
#[derive(Default)]
pub struct PollTraffic {
    /// Counters and open streams in all polls, and in the longest one.
    pub entry_count: usize,
    pub longest_entry_count: usize,
    /// Usage counts in all polls, and in the longest one.
    pub usage_count: usize,
    pub longest_usage_count: usize,
    /// The oldest window of a usage count.
    pub oldest_usage_window: Option<u64>,
    /// Encoded size of all polls, in bytes.
    pub bytes: usize,
}

impl PollTraffic {
    fn observe_usage(&mut self, poll: &Poll) {
        let counts: Vec<&TenantUsage> = poll
            .usage
            .iter()
            .flat_map(|report| report.usage.iter())
            .collect();
        self.usage_count += counts.len();
        self.longest_usage_count = self.longest_usage_count.max(counts.len());
        let windows = counts.iter().map(|counted| counted.window);
        self.oldest_usage_window = windows.chain(self.oldest_usage_window).min();
    }
}

/// Simulated control daemon, agent and proxy with the messages between them.
pub struct Bench {
    pub now: Ms,
    pub rng: fastrand::Rng,
    pub control: Control,
    pub control_disk: BTreeMap<String, Row>,
    pub agent: EdgeAgent,
    pub proxy: Proxy,
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    in_flight: Vec<InFlight>,
    pub running: Vec<RunningRequest>,
    pub started_count: u64,
    pub polls: PollTraffic,
    /// The control daemon neither sends nor receives.
    pub is_partitioned: bool,
    /// Running requests neither end nor receive their first chunk.
    pub is_paused: bool,
    pub bounds: Bounds,
    /// Number of tenants that send requests; 0: requests have no tenant, and usage is not counted.
    pub tenant_count: u64,
    /// The received first chunks, oldest first.
    pub first_chunks: Vec<FirstChunk>,
    /// Wall-clock errors of the proxy and of the control daemon, in ms.
    pub proxy_clock_step: i64,
    pub control_clock_step: i64,
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
    fn new(seed: u64, bounds: Bounds) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        Bench {
            now: 0,
            control: control(bounds.clone(), vec![], 1, 0),
            control_disk: BTreeMap::new(),
            agent: agent(2, 0, rng.u64(..)),
            proxy: proxy(bounds.clone(), 3, rng.u64(..)),
            rng,
            loss_percent: 0,
            duplicate_percent: 0,
            in_flight: vec![],
            running: vec![],
            started_count: 0,
            polls: PollTraffic::default(),
            is_partitioned: false,
            is_paused: false,
            bounds,
            tenant_count: 0,
            first_chunks: vec![],
            proxy_clock_step: 0,
            control_clock_step: 0,
        }
    }

    /// Returns a bench whose control daemon has settled with a spec and a record, and whose proxy is ready.
    pub fn ready(seed: u64) -> Self {
        Bench::ready_with(seed, Bounds::default())
    }

    /// Returns a bench like [`Bench::ready`] that counts the usage of `tenant_count` tenants.
    pub fn counting_usage(seed: u64, tenant_count: u64) -> Self {
        let bounds = Bounds {
            usage_window: USAGE_WINDOW,
            usage_delay: 20_000,
            ..Bounds::default()
        };
        let mut bench = Bench::ready_with(seed, bounds);
        bench.tenant_count = tenant_count;
        bench
    }

    fn ready_with(seed: u64, bounds: Bounds) -> Self {
        let mut bench = Bench::new(seed, bounds);
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
            self.polls.observe_usage(poll);
        }
        if from == &**to {
            self.push(0, from, to, message);
            return;
        }
        let crosses_partition = self.is_partitioned && (from == CONTROL || &**to == CONTROL);
        if self.rng.u32(..100) < self.loss_percent || crosses_partition {
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

    /// Runs for `duration` with `request_rate` requests per second.
    pub fn run(&mut self, duration: Ms, request_rate: u64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 1;
            let now = self.now;
            self.deliver_arrived();
            self.receive_first_chunks();
            self.end_requests();
            if self.rng.u64(..1_000) < request_rate {
                self.start_request();
            }
            if now.is_multiple_of(TICK_INTERVAL) {
                self.observe_wall_clocks();
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

    /// Returns the true wall-clock time, in ms since 1970.
    pub fn wall_ms(&self) -> u64 {
        WALL_START + self.now
    }

    fn observe_wall_clocks(&mut self) {
        let (now, wall_ms) = (self.now, self.wall_ms());
        let proxy_wall_ms = wall_ms.saturating_add_signed(self.proxy_clock_step);
        self.proxy.observe_wall_clock(now, proxy_wall_ms);
        let control_wall_ms = wall_ms.saturating_add_signed(self.control_clock_step);
        self.control.observe_wall_clock(now, control_wall_ms);
    }

    fn receive_first_chunks(&mut self) {
        if self.is_paused {
            return;
        }
        let now = self.now;
        let window = self.wall_ms() / USAGE_WINDOW;
        for request in &mut self.running {
            if request.first_chunk_at.take_if(|at| *at <= now).is_none() {
                continue;
            }
            self.proxy.on_first_chunk(&request.assignment, now);
            self.first_chunks.push(FirstChunk {
                received_at: now,
                window,
                tenant: request.tenant.clone(),
            });
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
                .on_attempt_ended(&request.assignment, AttemptOutcome::Completed, now);
        }
    }

    /// Runs until all counts must have arrived, while no request starts or ends.
    pub fn settle(&mut self) {
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
        let head = RequestHead {
            host: "h".into(),
            path: format!("/{lane_index}/x"),
            attempt_id: lane_index.to_string(),
            tenant: self.draw_tenant(),
            ..RequestHead::default()
        };
        let Ok(lane) = self.proxy.find_lane("h", &head.path, now) else {
            return;
        };
        if let Admission::Assigned(assignment) =
            self.proxy
                .assign_by_path(&lane, &head, &[], now + 60_000, now)
        {
            self.started_count += 1;
            let ends_at = now + self.rng.u64(50..3_000);
            let first_chunk_at = self.first_chunk_time(ends_at);
            self.running.push(RunningRequest {
                ends_at,
                assignment,
                tenant: head.tenant.as_str().into(),
                first_chunk_at,
            });
        }
    }

    /// Returns a random tenant for a request; lower numbers are more frequent.
    fn draw_tenant(&mut self) -> String {
        if self.tenant_count == 0 {
            return String::new();
        }
        let tenant_limit = self.rng.u64(1..=self.tenant_count);
        format!("tenant{:03}", self.rng.u64(..tenant_limit))
    }

    /// Returns the arrival time of the first chunk of a request that ends at `ends_at`, if it has one.
    fn first_chunk_time(&mut self, ends_at: Ms) -> Option<Ms> {
        if self.tenant_count == 0 || self.rng.u64(..FAILURE_PERIOD) == 0 {
            return None;
        }
        let first_chunk_at = self.now + self.rng.u64(..MAX_FIRST_CHUNK_DELAY);
        (first_chunk_at < ends_at).then_some(first_chunk_at)
    }

    /// Kills and restarts the proxy, which loses its requests.
    pub fn restart_proxy(&mut self) {
        self.running.clear();
        let seed = self.rng.u64(..);
        self.proxy = proxy(self.bounds.clone(), 100 + self.now, seed);
    }

    /// Kills and restarts the agent.
    pub fn restart_agent(&mut self) {
        let seed = self.rng.u64(..);
        self.agent = agent(100 + self.now, self.now, seed);
    }

    /// Kills the control daemon and restarts it with its disk.
    pub fn restart_control(&mut self) {
        let rows = self.control_disk.values().cloned().collect();
        self.control = control(self.bounds.clone(), rows, 100 + self.now, self.now);
    }

    /// Returns the usage that the control daemon has counted.
    pub fn counted_usage(&self) -> Usage {
        let table = self.control.usage();
        let windows = table.windows();
        windows
            .map(|window| (window, table.counts(window)))
            .collect()
    }

    /// Returns the exact usage of the requests that started at or before `through`.
    pub fn true_usage(&self, through: Ms) -> Usage {
        let mut usage = Usage::new();
        for first_chunk in &self.first_chunks {
            if first_chunk.received_at <= through {
                let tenants = usage.entry(first_chunk.window).or_default();
                *tenants.entry(first_chunk.tenant.clone()).or_default() += 1;
            }
        }
        usage
    }

    pub fn running_count(&self) -> u64 {
        self.running.len() as u64
    }

    /// Returns the number of streams that the control daemon considers open.
    pub fn open_stream_count(&self) -> u64 {
        self.control
            .status(self.now)
            .streams
            .iter()
            .map(|zone| zone.streams)
            .sum()
    }

    /// Returns the number of requests that the control daemon has counted.
    pub fn counted(&self) -> u64 {
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

pub fn control(bounds: Bounds, rows: Vec<Row>, incarnation: u64, now: Ms) -> Control {
    let config = ControlConfig {
        bounds,
        ..lone_control::config()
    };
    Control::new(config, DISK_ID, rows, incarnation, now)
}

pub fn agent(incarnation: u64, now: Ms, seed: u64) -> EdgeAgent {
    let me = Node {
        name: AGENT.into(),
        zone: "z".into(),
        addr: AGENT.into(),
        incarnation,
        ..Node::default()
    };
    EdgeAgent::new(me, vec![CONTROL.into()], seed, now)
}

pub fn proxy(bounds: Bounds, incarnation: u64, seed: u64) -> Proxy {
    let mut proxy = Proxy::new(PROXY.into(), "z".into(), "p:1".into(), incarnation, seed);
    proxy.set_bounds(bounds, BTreeMap::new());
    proxy
}
