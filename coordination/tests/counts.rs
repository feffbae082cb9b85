//! Counts on their way from a proxy over its agent to a control daemon, in virtual time: each says only what has
//! changed, and messages are lost, come twice and come late, and processes start anew.

use std::collections::BTreeMap;

use coordination::{
    Effect, Effects, Ms, Row,
    control::{Control, ControlConfig, SPEC_KEY},
    edge_agent::EdgeAgent,
    exchange::{AttemptOutcome, RequestHead},
    proxy::{Admission, Assignment, Proxy},
    register::Expect,
    timing::TICK_INTERVAL,
};
use googletest::prelude::*;
use remote_calls::PlatformList;
use serde_json::json;
use wire_messages::{Envelope, Message, Name, Node, encode};

/// Lanes and replicas.
const LANES: usize = 40;
const REPLICAS: usize = 6;
const HELLO_EVERY: Ms = 200;

struct Bench {
    now: Ms,
    rng: fastrand::Rng,
    control: Control,
    rows: BTreeMap<String, Row>,
    agent: EdgeAgent,
    proxy: Proxy,
    /// Percent of messages lost, and that come again late.
    lost: u32,
    twice: u32,
    queue: Vec<(Ms, Name, Name, Message)>,
    running: Vec<(Ms, Assignment)>,
    passed: u64,
    /// Tallies and opens told in polls; the longest poll's.
    told: usize,
    longest: usize,
    /// Polls' bytes on the wire.
    polled: usize,
    cut: bool,
    /// Nothing ends: what is open stays so.
    held: bool,
}

fn params() -> ControlConfig {
    ControlConfig {
        name: "c".into(),
        zone: "z".into(),
        addr: "c".into(),
        http_addr: "".into(),
        members: vec!["c".into()],
        seeds: vec![],
        regions: Default::default(),
        spec_parser: coordination::state_table::parse_own_spec,
        bootstrap: false,
        bounds: Default::default(),
    }
}

fn spec() -> Vec<u8> {
    let paths = (0..LANES).map(|i| {
        json!({"lane": format!("l{i}"), "host": "h", "prefix": format!("/{i}/"), "kind": "repeatable", "time_limit_ms": 60_000,
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
            control: Control::new(params(), 7, vec![], 1, 0),
            rows: BTreeMap::new(),
            agent: agent(2, 0, rng.u64(..)),
            proxy: proxy(3, rng.u64(..)),
            rng,
            lost: 0,
            twice: 0,
            queue: vec![],
            running: vec![],
            passed: 0,
            told: 0,
            longest: 0,
            polled: 0,
            cut: false,
            held: false,
        }
    }
    /// One whose control daemon has settled, with a spec and a record, and whose proxy serves.
    fn ready(seed: u64) -> Self {
        let mut b = Bench::new(seed);
        b.run(1_000, 0);
        let out = b.control.write(SPEC_KEY, Expect::Any, spec(), b.now).1;
        b.carry("c", out);
        b.run(5_000, 0);
        assert!(b.proxy.is_ready(b.now));
        b
    }

    fn carry(&mut self, from: &str, out: Effects) {
        for e in out {
            match e {
                Effect::Send { to, msg } => self.post(from, &to, msg),
                Effect::Persist { rows, then } => {
                    for r in rows {
                        let k = if let Row::Slot(s) = &r {
                            s.key.to_string()
                        } else {
                            "\0members".into()
                        };
                        self.rows.insert(k, r);
                    }
                    self.carry(from, then);
                }
                _ => {}
            }
        }
    }
    fn post(&mut self, from: &str, to: &Name, msg: Message) {
        if let Message::Poll(m) = &msg {
            let n = m.counters.len() + m.open_streams.len();
            (self.told, self.longest) = (self.told + n, self.longest.max(n));
            let (from, addr) = (Name::from(from), Name::from(from));
            self.polled += encode(&Envelope {
                from,
                addr,
                msg: msg.clone(),
            })
            .map_or(0, |b| b.len());
        }
        let own = from == &**to;
        if !own && (self.rng.u32(..100) < self.lost || (self.cut && (from == "c" || &**to == "c")))
        {
            return;
        }
        if !own && self.rng.u32(..100) < self.twice {
            let late = self.now + self.rng.u64(1..600);
            self.queue
                .push((late, to.clone(), from.into(), msg.clone()));
        }
        let at = self.now + if own { 0 } else { self.rng.u64(1..20) };
        self.queue.push((at, to.clone(), from.into(), msg));
    }
    fn deliver(&mut self, to: &str, from: &Name, msg: Message) {
        let now = self.now;
        match to {
            "c" => {
                let out = self.control.on_message(from, from, msg, now);
                self.carry("c", out);
            }
            "a" => {
                let out = self.agent.on_message(from, from, msg, now);
                self.carry("a", out);
            }
            _ => {
                if let Message::TableUpdate(m) = msg {
                    self.proxy.on_table_update(m, now);
                }
            }
        }
    }

    /// Runs with so many requests a second.
    fn run(&mut self, ms: Ms, rate: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            let now = self.now;
            while let Some(i) = self.queue.iter().position(|m| m.0 <= now) {
                let (_, to, from, msg) = self.queue.remove(i);
                self.deliver(&to, &from, msg);
            }
            let (ended, left) = std::mem::take(&mut self.running)
                .into_iter()
                .partition(|r| r.0 <= now && !self.held);
            self.running = left;
            for (_, p) in ended {
                self.proxy
                    .on_attempt_ended(&p, AttemptOutcome::Completed, now);
            }
            if self.rng.u64(..1_000) < rate {
                self.request();
            }
            if now.is_multiple_of(TICK_INTERVAL) {
                let mut out = self.control.tick(now);
                out.extend(self.control.run_rollouts(now, now / 1_000));
                self.carry("c", out);
                let out = self.agent.tick(now);
                self.carry("a", out);
            }
            if now.is_multiple_of(300) {
                self.list();
            }
            if now.is_multiple_of(HELLO_EVERY) {
                let hello = self.proxy.changed_report(now);
                self.post("p", &"a".into(), hello.into());
            }
        }
    }
    /// Runs until all that was counted must have come; nothing begins or ends.
    fn rest(&mut self) {
        self.held = true;
        self.run(1_500, 0);
        self.held = false;
    }
    fn list(&mut self) {
        let all = (0..REPLICAS).map(|i| {
            json!({"id": format!("r{i}"), "zone": "z", "addr": format!("r{i}"), "service": "s", "version": "v1",
                "state": "running", "slots": 64, "loaded": true})
        });
        let l: PlatformList =
            serde_json::from_value(json!({"replicas": all.collect::<Vec<_>>()})).unwrap();
        self.control.on_replica_list(l, self.now);
    }
    fn request(&mut self) {
        let (now, n) = (self.now, self.rng.usize(..LANES));
        let ask = RequestHead {
            host: "h".into(),
            path: format!("/{n}/x"),
            attempt_id: n.to_string(),
            ..RequestHead::default()
        };
        let Ok(lane) = self.proxy.find_lane("h", &ask.path, now) else {
            return;
        };
        if let Admission::Assigned(p) =
            self.proxy
                .assign_by_path(&lane, &ask, &[], now + 60_000, now)
        {
            self.passed += 1;
            self.running.push((now + self.rng.u64(50..3_000), p));
        }
    }

    /// Streams that the control daemon takes for open.
    fn open(&self) -> u64 {
        self.control
            .status(self.now)
            .streams
            .iter()
            .map(|z| z.streams)
            .sum()
    }
    fn counted(&self) -> u64 {
        self.control.requests_counted("s", "v1").0
    }
}

fn agent(born: u64, now: Ms, seed: u64) -> EdgeAgent {
    let me = Node {
        name: "a".into(),
        zone: "z".into(),
        addr: "a".into(),
        incarnation: born,
        ..Node::default()
    };
    EdgeAgent::new(me, vec!["c".into()], seed, now)
}
fn proxy(born: u64, seed: u64) -> Proxy {
    let mut p = Proxy::new("p".into(), "z".into(), "p:1".into(), born, seed);
    p.set_bounds(Default::default(), BTreeMap::new());
    p
}

#[gtest]
fn whatever_is_lost_or_late_all_counts_arrive_once() {
    for seed in 0..20 {
        let mut b = Bench::ready(seed);
        (b.lost, b.twice) = (25, 25);
        b.run(15_000, 40);
        (b.lost, b.twice) = (0, 0);
        b.run(4_000, 40);
        b.rest();
        expect_that!(b.passed, gt(500), "seed {seed}");
        expect_that!(b.counted(), eq(b.passed), "seed {seed}");
        expect_that!(b.open(), eq(b.running.len() as u64), "seed {seed}");
        b.run(4_500, 0);
        expect_that!((b.open(), b.running.len()), eq((0, 0)), "seed {seed}");
    }
}

#[gtest]
fn an_agent_that_starts_again_has_nothing_counted_twice() {
    for seed in 0..20 {
        let mut b = Bench::ready(seed);
        b.run(6_000, 40);
        b.agent = agent(100 + b.now, b.now, seed);
        b.run(4_000, 40);
        // What runs is still known at once: an agent's word before its proxy has spoken ends no stream.
        expect_that!(b.open(), gt(0), "seed {seed}");
        b.rest();
        expect_that!(b.counted(), eq(b.passed), "seed {seed}");
        expect_that!(b.open(), eq(b.running.len() as u64), "seed {seed}");
    }
}

#[gtest]
fn a_proxy_that_starts_again_counts_from_nought_on_top() {
    for seed in 0..20 {
        let mut b = Bench::ready(seed);
        b.run(6_000, 40);
        // All that was counted has come by then.
        b.rest();
        b.running.clear();
        b.proxy = proxy(100 + b.now, seed);
        b.run(6_000, 40);
        b.rest();
        expect_that!(b.counted(), eq(b.passed), "seed {seed}");
        expect_that!(b.open(), eq(b.running.len() as u64), "seed {seed}");
    }
}

#[gtest]
fn a_control_daemon_that_starts_again_has_the_last_half_minute_and_all_streams_and_places() {
    for seed in 0..20 {
        let mut b = Bench::ready(seed);
        b.run(5_000, 40);
        // Some of what its former run was told is still on its way to that run, and reaches the next.
        let born = 100 + b.now;
        b.control = Control::new(params(), 7, b.rows.values().cloned().collect(), born, b.now);
        b.run(5_000, 40);
        b.rest();
        expect_that!(b.open(), eq(b.running.len() as u64), "seed {seed}");
        // Rounds that had begun but not ended when it first heard of them are no evidence.
        expect_that!(
            b.counted(),
            all!(le(b.passed), ge(b.passed * 8 / 10)),
            "seed {seed}"
        );
        let s = b.control.status(b.now);
        expect_that!(s.edges.len(), eq(1));
        expect_that!(
            s.edges[0].spec_version,
            eq(1),
            "seed {seed}: it knows what its edge has"
        );
    }
}

#[gtest]
fn a_daemon_that_does_not_answer_is_told_nothing_and_then_everything() {
    let mut b = Bench::ready(1);
    b.run(5_000, 40);
    b.cut = true;
    b.run(3_000, 0);
    b.told = 0;
    // Longer than ended streams are remembered.
    b.run(130_000, 0);
    expect_that!(b.told, eq(0));
    b.cut = false;
    b.run(5_000, 40);
    b.run(4_500, 0);
    expect_that!((b.counted(), b.open()), eq((b.passed, 0)));
}

#[gtest]
fn a_quiet_lane_costs_nothing() {
    let mut b = Bench::ready(1);
    b.run(20_000, 40);
    b.run(4_500, 0);
    (b.told, b.longest) = (0, 0);
    b.run(10_000, 2);
    // Two requests a second change a tally and a stream each, twice; each is told until it is answered.
    expect_that!(b.longest, le(20));
    expect_that!(b.told, le(160));
}

#[gtest]
fn polls_of_a_daemon_in_calm_take_few_bytes_and_each_request_few_more() {
    for (rate, most) in [(0, 180), (2, 345), (20, 1_200)] {
        let mut b = Bench::ready(1);
        b.run(20_000, 40);
        b.run(4_500, 0);
        b.polled = 0;
        b.run(20_000, rate);
        expect_that!(
            b.polled / 20,
            le(most),
            "bytes a second at {rate} requests a second"
        );
    }
}

#[gtest]
fn a_list_that_has_not_changed_for_a_while_is_calm() {
    let list = |state: &str| -> PlatformList {
        let one = json!({"id": "r", "zone": "z", "addr": "r", "service": "s", "version": "v1", "state": state, "slots": 64,
            "loaded": true});
        serde_json::from_value(json!({"replicas": [one]})).unwrap()
    };
    let mut c = Control::new(params(), 7, vec![], 1, 0);
    expect_false!(c.is_list_stable(60_000), "nothing is known yet");
    for at in (10_000..20_000).step_by(500) {
        c.on_replica_list(list("running"), at);
        expect_that!(c.is_list_stable(at), eq(at > 15_000), "at {at}");
    }
    c.on_replica_list(list("draining"), 20_000);
    expect_false!(c.is_list_stable(20_000));
    expect_false!(c.is_list_stable(24_000));
    expect_true!(c.is_list_stable(26_000));
}
