//! A fleet in virtual time: the daemons' own state machines over a network with delays, every message encoded and
//! decoded as on a channel, and hollow replicas that answer every request after a fixed time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    io::{Read, Write},
};

use coordination::{
    Effect, Effects, Ms, Row,
    bounds::Bounds,
    control::{Control, ControlConfig, SPEC_KEY},
    edge_agent::EdgeAgent,
    exchange::{AttemptOutcome, RequestHead, ResponseSignals},
    membership::NodeRole,
    proxy::{Admission, Assignment, Proxy},
    register::Expect,
    timing::TICK_INTERVAL,
};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use remote_calls::{PlatformList, Spec};
use serde_json::json;
use wire_messages::{Envelope, Message, Name, Node, decode, encode};

use crate::meter::{Meter, ROLES, Role, Way, cpu, held};

mod day;

/// Edges, replicas and requests a second of the whole fleet.
pub const WHOLE: (usize, usize, f64) = (352, 600, 2_600.0);
/// Daemons for control.
pub const CONTROLS: usize = 5;
/// Region, edges in a hundred, replicas in a hundred, of each zone: regions are unequal.
pub const ZONES: [(&str, usize); 10] = [
    ("r0", 16),
    ("r0", 16),
    ("r0", 16),
    ("r1", 11),
    ("r1", 11),
    ("r1", 10),
    ("r2", 7),
    ("r2", 7),
    ("r3", 3),
    ("r3", 3),
];
/// The zones of control daemons.
const SEATS: [usize; CONTROLS] = [0, 3, 6, 8, 1];
pub const SERVICES: usize = 9;
/// ms between replicas' lists.
const LIST_EVERY: Ms = 450;
/// ms between hellos of a proxy.
const HELLO_EVERY: Ms = 200;
/// ms to a first piece, and to the end: 423 tokens, 42 ms each.
const FIRST: Ms = 400;
const WHOLE_ANSWER: Ms = 18_000;

#[derive(Clone, Debug)]
pub struct Size {
    pub edges: usize,
    pub paths: usize,
    /// Paths that have traffic.
    pub busy: usize,
    /// Replicas to an edge; none: as many as the whole fleet has.
    pub each: Option<usize>,
    pub services: usize,
}

impl Size {
    pub fn replicas(&self) -> usize {
        self.each
            .map_or(WHOLE.1 * self.edges / WHOLE.0, |n| n * self.edges)
            .max(self.services)
    }
    fn rate(&self) -> f64 {
        WHOLE.2 * self.edges as f64 / WHOLE.0 as f64
    }
}

type Id = (Role, usize);

enum Ev {
    Deliver(Vec<u8>),
    Synced(Effects),
    Tick,
    List,
    First(Assignment),
    End(Assignment),
}

struct Daemon<T> {
    brain: Option<T>,
    name: Name,
    addr: Name,
    zone: usize,
}

#[derive(Default)]
struct Disk {
    buffer: Vec<(Vec<Row>, Effects)>,
    working: bool,
}

pub struct World {
    pub now: Ms,
    pub size: Size,
    controls: Vec<Daemon<Control>>,
    disks: Vec<Disk>,
    agents: Vec<Daemon<EdgeAgent>>,
    proxies: Vec<Daemon<Proxy>>,
    next_hello: Vec<Ms>,
    addrs: BTreeMap<Name, Id>,
    /// By time, then role: processor time is read when the role changes.
    queue: BinaryHeap<Reverse<(Ms, Role, u64, usize)>>,
    events: BTreeMap<u64, Ev>,
    seq: u64,
    rng: fastrand::Rng,
    pub meter: Meter,
    cut: Option<&'static str>,
    pub list: Vec<u8>,
    release: u64,
    /// Requests: passed, ended, not admitted.
    pub requests: (u64, u64, u64),
    pub faults: u64,
}

/// Packed, as the daemons' users keep theirs.
fn unpack(b: &[u8]) -> Option<Spec> {
    let mut v = Vec::new();
    DeflateDecoder::new(b).read_to_end(&mut v).ok()?;
    serde_json::from_slice(&v).ok()
}

pub fn zone_of(i: usize, n: usize) -> usize {
    let part = i * 100 / n.max(1);
    let mut sum = 0;
    ZONES
        .iter()
        .position(|z| {
            sum += z.1;
            part < sum
        })
        .unwrap_or(0)
}

impl World {
    pub fn new(size: Size, seed: u64) -> Self {
        let regions: BTreeMap<String, String> = ZONES
            .iter()
            .enumerate()
            .map(|(i, z)| (format!("zone-{i}"), z.0.into()))
            .collect();
        let mut w = World {
            now: 0,
            controls: vec![],
            disks: vec![],
            agents: vec![],
            proxies: vec![],
            next_hello: vec![0; size.edges],
            addrs: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            seq: 0,
            rng: fastrand::Rng::with_seed(seed),
            meter: Meter::default(),
            cut: None,
            list: vec![],
            release: 0,
            requests: (0, 0, 0),
            faults: 0,
            size,
        };
        let seeds: Vec<Name> = (0..3).map(|i| format!("10.1.{i}.9:7300").into()).collect();
        for (i, z) in SEATS.into_iter().enumerate() {
            let (name, addr): (Name, Name) = (
                format!("core-zone-{z}-{i}").into(),
                format!("10.1.{i}.9:7300").into(),
            );
            let p = ControlConfig {
                name: name.clone(),
                zone: format!("zone-{z}").into(),
                addr: addr.clone(),
                http_addr: format!("10.1.{i}.9:8262").into(),
                members: vec![],
                seeds: seeds.clone(),
                regions: regions.clone(),
                spec_parser: unpack,
                bootstrap: true,
                bounds: Bounds::default(),
            };
            let c = Control::new(p, w.rng.u64(1..1 << 60), vec![], 1_000 + i as u64, 0);
            w.addrs.insert(addr.clone(), (Role::Control, i));
            w.controls.push(Daemon {
                brain: Some(c),
                name,
                addr,
                zone: z,
            });
            w.disks.push(Disk::default());
            let at = w.rng.u64(..TICK_INTERVAL);
            w.at(at, (Role::Control, i), Ev::Tick);
            w.at(at, (Role::Control, i), Ev::List);
        }
        for i in 0..w.size.edges {
            let z = zone_of(i, w.size.edges);
            let (name, zone): (Name, Name) = (
                format!("edge-zone-{z}-{i}").into(),
                format!("zone-{z}").into(),
            );
            let (addr, at): (Name, Name) = (
                format!("10.2.{i}.1:7300").into(),
                format!("10.2.{i}.1:7301").into(),
            );
            let me = Node {
                name: name.clone(),
                zone: zone.clone(),
                addr: addr.clone(),
                incarnation: 2_000,
                ..Node::default()
            };
            let mut a = EdgeAgent::new(me, seeds.clone(), w.rng.u64(..), 0);
            a.set_regions(regions.clone());
            w.addrs.insert(addr.clone(), (Role::Agent, i));
            w.addrs.insert(at.clone(), (Role::Proxy, i));
            let mut p = Proxy::new(
                format!("{name}/proxy").into(),
                zone,
                format!("10.2.{i}.1:8263").into(),
                2_000,
                w.rng.u64(..),
            );
            p.set_spec_parser(unpack);
            p.set_bounds(Bounds::default(), regions.clone());
            w.agents.push(Daemon {
                brain: Some(a),
                name: name.clone(),
                addr,
                zone: z,
            });
            w.proxies.push(Daemon {
                brain: Some(p),
                name: format!("{name}/proxy").into(),
                addr: at,
                zone: z,
            });
            for r in [Role::Agent, Role::Proxy] {
                let at = w.rng.u64(..TICK_INTERVAL);
                w.at(at, (r, i), Ev::Tick);
            }
        }
        w.set_list(&BTreeSet::new());
        w
    }

    fn at(&mut self, ms: Ms, to: Id, ev: Ev) {
        self.seq += 1;
        self.events.insert(self.seq, ev);
        self.queue
            .push(Reverse((self.now + ms, to.0, self.seq, to.1)));
    }

    /// The platform's list without some replicas.
    pub fn set_list(&mut self, without: &BTreeSet<usize>) {
        let n = self.size.replicas();
        let all = (0..n).filter(|i| !without.contains(i)).map(|i| {
            let z = zone_of(i, n);
            json!({"id": format!("replica-{i:04}"), "zone": format!("zone-{z}"), "addr": format!("10.3.{}.{}:9000", i / 250, i % 250),
                "service": format!("model-{}", i % self.size.services), "version": "v1", "state": "running", "slots": 128,
                "loaded": true})
        });
        self.list = json!({"replicas": all.collect::<Vec<_>>()})
            .to_string()
            .into_bytes();
    }

    fn spec(&mut self) -> Vec<u8> {
        self.release += 1;
        let kinds = ["stream", "stream_resumable", "repeatable", "once"];
        let paths: Vec<_> = (0..self.size.paths)
            .map(|i| {
                // A quarter is bound to its home.
                let homes: Vec<&str> = if i % 4 == 0 { vec![ZONES[i / 4 % ZONES.len()].0] } else { vec![] };
                json!({"lane": format!("lane-{i:05}"), "host": format!("tenant-{}.example", i / 3),
                    "prefix": format!("/v1/part-{}/", i % 3), "kind": kinds[i % 2], "time_limit_ms": 60_000,
                    "expected_ms": 1_500 + self.release % 2, "gap_ms": 42, "rank": i % 5, "rounds": 2, "affinity": i % 2 == 0,
                    "homes": homes, "split": [{"service": format!("model-{}", i % self.size.services), "weight": 1}]})
            })
            .collect();
        let services: Vec<_> = (0..self.size.services)
            .map(|i| {
                json!({"name": format!("model-{i}"), "version": "", "mode": "placed", "lanes": [], "zones": [],
                    "engine": {"slots": 128, "cache_tokens": 2_000_000, "channels": 400, "cold_ms": 3_000, "cold_rate": 26.0}})
            })
            .collect();
        let zones: Vec<_> = (0..ZONES.len())
            .map(|i| json!({"name": format!("zone-{i}")}))
            .collect();
        let v = json!({"zones": zones, "tiers": [], "services": services, "canary_percent": 8, "bake_ms": 0,
            "release": self.release, "paths": paths});
        let mut e = DeflateEncoder::new(Vec::new(), Compression::best());
        e.write_all(v.to_string().as_bytes())
            .and_then(|()| e.finish())
            .unwrap_or_default()
    }
    /// Writes the next spec at a control daemon; gives its bytes as kept.
    pub fn write_spec(&mut self) -> usize {
        let v = self.spec();
        let n = v.len();
        let (now, i) = (
            self.now,
            (0..CONTROLS)
                .find(|i| self.controls[*i].brain.is_some())
                .unwrap_or(0),
        );
        let out = self.controls[i]
            .brain
            .as_mut()
            .map(|b| b.write(SPEC_KEY, Expect::Any, v, now).1);
        self.carry((Role::Control, i), out.unwrap_or_default());
        n
    }

    fn zone(&self, (r, i): Id) -> usize {
        match r {
            Role::Control => self.controls[i].zone,
            Role::Agent => self.agents[i].zone,
            Role::Proxy => self.proxies[i].zone,
        }
    }
    fn label(&self, (r, i): Id) -> (Name, Name) {
        match r {
            Role::Control => (self.controls[i].name.clone(), self.controls[i].addr.clone()),
            Role::Agent => (self.agents[i].name.clone(), self.agents[i].addr.clone()),
            Role::Proxy => (self.proxies[i].name.clone(), self.proxies[i].addr.clone()),
        }
    }

    fn carry(&mut self, me: Id, out: Effects) {
        for e in out {
            match e {
                Effect::Send { to, msg } => self.post(me, &to, msg),
                Effect::Persist { rows, then } => {
                    self.disks[me.1].buffer.push((rows, then));
                    self.disk(me.1);
                }
                Effect::WriteFinished { .. }
                | Effect::Order { .. }
                | Effect::PlatformCall(_)
                | Effect::Log { .. } => {}
            }
        }
    }

    fn post(&mut self, me: Id, to: &Name, msg: Message) {
        let Some(there) = self.addrs.get(to).copied() else {
            return;
        };
        let kind = msg.name();
        let (from, addr) = self.label(me);
        let Ok(b) = encode(&Envelope { from, addr, msg }) else {
            self.faults += 1;
            return;
        };
        let (a, z) = (self.zone(me), self.zone(there));
        let (ra, rz) = (ZONES[a].0, ZONES[z].0);
        if there != me {
            let here = me.1 == there.1 && me.0 != Role::Control && there.0 != Role::Control;
            let way = match () {
                () if here => Way::Loopback,
                () if ra == rz => Way::Region,
                () => Way::Far,
            };
            self.meter.sent(me.0, there.0, kind, b.len(), way);
        }
        if self.cut.is_some_and(|c| (c == ra) != (c == rz)) {
            return;
        }
        let ms = match () {
            () if there == me
                || me.1 == there.1 && me.0 != Role::Control && there.0 != Role::Control =>
            {
                0
            }
            () if a == z => 1,
            () if ra == rz => 2,
            () => 35,
        };
        self.at(ms, there, Ev::Deliver(b));
    }

    fn disk(&mut self, i: usize) {
        let d = &mut self.disks[i];
        if d.working || d.buffer.is_empty() {
            return;
        }
        d.working = true;
        // Nobody starts again from these disks: only the time that they take counts.
        let then = std::mem::take(&mut d.buffer)
            .into_iter()
            .flat_map(|b| b.1)
            .collect();
        self.at(3, (Role::Control, i), Ev::Synced(then));
    }

    fn handle(&mut self, me: Id, ev: Ev) {
        let now = self.now;
        match (me.0, ev) {
            (_, Ev::Deliver(b)) => {
                let Ok(e) = decode(&b[4..]) else {
                    return self.faults += 1;
                };
                let out = match me.0 {
                    Role::Control => self.controls[me.1]
                        .brain
                        .as_mut()
                        .map(|c| c.on_message(&e.from, &e.addr, e.msg, now)),
                    Role::Agent => self.agents[me.1]
                        .brain
                        .as_mut()
                        .map(|a| a.on_message(&e.from, &e.addr, e.msg, now)),
                    Role::Proxy => {
                        if let (Message::TableUpdate(m), Some(p)) =
                            (e.msg, &mut self.proxies[me.1].brain)
                        {
                            p.on_table_update(m, now);
                        }
                        None
                    }
                };
                self.carry(me, out.unwrap_or_default());
            }
            (_, Ev::Synced(then)) => {
                self.disks[me.1].working = false;
                if self.controls[me.1].brain.is_some() {
                    self.carry(me, then);
                    self.disk(me.1);
                }
            }
            (Role::Control, Ev::List) => {
                let Some(c) = &mut self.controls[me.1].brain else {
                    return;
                };
                if c.holds_any_role(now) {
                    let n = self.list.len();
                    *self.meter.came.entry(Role::Control).or_default() += n as u64;
                    if let Ok(l) = serde_json::from_slice::<PlatformList>(&self.list) {
                        c.on_replica_list(l, now);
                    }
                }
                self.at(LIST_EVERY, me, Ev::List);
            }
            (Role::Control, Ev::Tick) => {
                let Some(c) = &mut self.controls[me.1].brain else {
                    return;
                };
                let mut out = c.tick(now);
                out.extend(c.run_rollouts(now, now / 1_000));
                self.carry(me, out);
                self.at(TICK_INTERVAL, me, Ev::Tick);
            }
            (Role::Agent, Ev::Tick) => {
                let out = self.agents[me.1].brain.as_mut().map(|a| a.tick(now));
                self.carry(me, out.unwrap_or_default());
                self.at(TICK_INTERVAL, me, Ev::Tick);
            }
            (Role::Proxy, Ev::Tick) => {
                if now >= self.next_hello[me.1] {
                    self.next_hello[me.1] = now + HELLO_EVERY;
                    let hello = self.proxies[me.1]
                        .brain
                        .as_ref()
                        .map(|p| p.changed_report(now));
                    let agent = self.agents[me.1].addr.clone();
                    hello
                        .into_iter()
                        .for_each(|h| self.post(me, &agent, h.into()));
                }
                let mean =
                    self.size.rate() / self.size.edges as f64 * TICK_INTERVAL as f64 / 1_000.0;
                if self.size.busy > 0 && self.rng.f64() < mean {
                    self.request(me.1);
                }
                self.at(TICK_INTERVAL, me, Ev::Tick);
            }
            (_, Ev::First(p)) => {
                if let Some(b) = &mut self.proxies[me.1].brain {
                    b.on_response_head(
                        &p,
                        &ResponseSignals {
                            load: Some((20, 0, 128)),
                            ..ResponseSignals::default()
                        },
                        now,
                    );
                    b.on_first_chunk(&p, now);
                }
                self.at(WHOLE_ANSWER - FIRST, me, Ev::End(p));
            }
            (_, Ev::End(p)) => {
                self.requests.1 += 1;
                if let Some(b) = &mut self.proxies[me.1].brain {
                    b.on_attempt_ended(&p, AttemptOutcome::Completed, now);
                }
            }
            _ => {}
        }
    }

    fn request(&mut self, i: usize) {
        let (now, n) = (self.now, self.rng.usize(..self.size.busy));
        let ask = RequestHead {
            host: format!("tenant-{}.example", n / 3),
            path: format!("/v1/part-{}/chat", n % 3),
            attempt_id: format!("{:016x}", self.rng.u64(..)),
            tokens: (2_000, 423),
            prefix_blocks: vec![(n as u64 + 1, 1_400), (self.rng.u64(..), 600)],
            ..RequestHead::default()
        };
        let Some(p) = &mut self.proxies[i].brain else {
            return;
        };
        self.requests.0 += 1;
        let Ok(lane) = p.find_lane(&ask.host, &ask.path, now) else {
            return self.requests.2 += 1;
        };
        match p.assign_by_path(&lane, &ask, &[], now + lane.time_limit_ms, now) {
            Admission::Assigned(placed) => self.at(FIRST, (Role::Proxy, i), Ev::First(placed)),
            _ => self.requests.2 += 1,
        }
    }

    pub fn run(&mut self, ms: Ms) {
        let end = self.now + ms;
        let (mut role, mut since) = (Role::Control, cpu());
        while let Some(Reverse((at, r, n, i))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if r != role {
                let t = cpu();
                *self.meter.cpu.entry(role).or_default() += t - since;
                (role, since) = (r, t);
            }
            let Some(ev) = self.events.remove(&n) else {
                continue;
            };
            self.handle((r, i), ev);
        }
        *self.meter.cpu.entry(role).or_default() += cpu() - since;
        self.now = end;
    }

    /// A control daemon is gone for good.
    pub fn lose(&mut self, i: usize) {
        self.controls[i].brain = None;
        self.disks[i].buffer.clear();
    }
    pub fn set_cut(&mut self, region: Option<&'static str>) {
        self.cut = region;
    }
    /// Edges that serve.
    pub fn ready(&self) -> usize {
        self.proxies
            .iter()
            .flatten_brains()
            .filter(|p| p.is_ready(self.now))
            .count()
    }
    /// Percent of the other edges that an agent takes for live, on the average.
    pub fn seen_live(&self) -> f64 {
        let all = self
            .agents
            .iter()
            .flatten_brains()
            .map(|a| a.membership().live(NodeRole::Edge).count())
            .sum::<usize>();
        let n = self.size.edges;
        all as f64 * 100.0 / (n * (n - 1)).max(1) as f64
    }
    pub fn reached(&self, version: u64) -> usize {
        self.proxies
            .iter()
            .flatten_brains()
            .filter(|p| p.spec_version() >= version)
            .count()
    }
    pub fn version(&self) -> u64 {
        self.controls
            .iter()
            .flatten_brains()
            .filter_map(|c| c.state_table().get(SPEC_KEY))
            .map(|c| c.version)
            .max()
            .unwrap_or(0)
    }
    pub fn voters(&self) -> usize {
        self.controls
            .iter()
            .flatten_brains()
            .filter(|c| c.registers.members.voting)
            .count()
    }

    /// Bytes of the longest value besides the spec's.
    pub fn longest_value(&self) -> usize {
        let rows = self
            .controls
            .iter()
            .flatten_brains()
            .flat_map(|c| c.state_table().entries());
        rows.filter(|c| &*c.key != SPEC_KEY)
            .map(|c| c.value.0.len())
            .max()
            .unwrap_or(0)
    }

    /// Mean bytes on the heap of one daemon of each role: what is free once it is gone.
    pub fn weigh(&mut self) -> [usize; 3] {
        let mut sums = [(0, 0); 3];
        let mut weigh = |r: usize, f: &mut dyn FnMut() -> bool| {
            let before = held();
            if f() {
                sums[r] = (sums[r].0 + before - held(), sums[r].1 + 1);
            }
        };
        self.controls
            .iter_mut()
            .for_each(|d| weigh(0, &mut || d.brain.take().is_some()));
        self.agents
            .iter_mut()
            .for_each(|d| weigh(1, &mut || d.brain.take().is_some()));
        self.proxies
            .iter_mut()
            .for_each(|d| weigh(2, &mut || d.brain.take().is_some()));
        debug_assert_eq!(ROLES.len(), sums.len());
        sums.map(|(b, n)| b / n.max(1))
    }
}

trait Brains<'a, T: 'a> {
    fn flatten_brains(self) -> impl Iterator<Item = &'a T>;
}
impl<'a, T: 'a, I: Iterator<Item = &'a Daemon<T>>> Brains<'a, T> for I {
    fn flatten_brains(self) -> impl Iterator<Item = &'a T> {
        self.filter_map(|d| d.brain.as_ref())
    }
}
