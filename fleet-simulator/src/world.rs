//! A whole fleet in virtual time. Daemons' brains are the production state machines; replicas, the
//! platform, callers, disks and the network are models.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use coordination::{
    Effects, Row, claims,
    control::{Control, ControlConfig},
    edge_agent::EdgeAgent,
    policy::Policy,
    proxy::{Assignment, Proxy},
    request::{AttemptError, Request, StepResult},
    rollout::Order,
    state_table::VersionStamp,
    stream::LineChecker,
};
use remote_calls::{
    Fault as CallFault, Outcome, PlatformReplica, RunRequest, ServiceMode, Spec, StreamEnd,
    StreamLine,
};
use serde::Deserialize;
use wire_messages::{Message, Name};

mod callers;
mod daemons;
mod engine;
mod faults;
mod network;
mod operators;
mod placing;
mod replicas;
mod sick;

pub use engine::EngineParams;

use crate::{
    deployment::Deployment,
    effect_digest::EffectDigest,
    faults::{Fault, How},
    history::{Capacity, History, Ms, Told},
    wrong::{Spoiler, Wrong},
};

/// ms. Hello of proxies, as the shell sends it.
const HELLO_EVERY: Ms = 200;
/// ms. A connection that nobody answers is given up.
const OPEN_LIMIT: Ms = 300;
/// s. The time that an order has where the platform places versions.
const PLACED_IN: u64 = 30;
/// ms. It starts new replicas so long after an order, asks so often, and takes bad ones away so long after that.
const PLACED_AFTER: Ms = 700;
const ASKED_EVERY: Ms = 500;
const TAKEN_AWAY: Ms = 3_000;
/// ms. A released replica drains so long.
const RELEASED: Ms = 9_000;
/// ms. Loading a version.
const LOAD: Ms = 1_500;
/// Places of a replica.
const SLOTS: u32 = 8;
/// A slow version takes so many times as long.
const SLOW_TIMES: u64 = 8;
/// Prefixes a replica caches.
const CACHE: usize = 64;
/// ms. Sampling of what edges honour.
pub const SAMPLE: Ms = 50;
/// ms. Callers come from then on.
const TRAFFIC_FROM: Ms = 5_000;
/// ms. A caller gives up so long after its time left.
const PATIENCE: Ms = 2_000;
/// Percent of callers that go to an edge outside their homes.
const ASTRAY: u32 = 2;
/// Percent of repeats that come late, and how late they come at most.
const LATE_REPEATS: u32 = 30;
const LATE: Ms = 20_000;
/// Percent of run-once requests that are sent twice.
const REPEATS: u32 = 5;
/// Percent of run-once requests that come under a caller's key.
const KEYED: u32 = 20;
/// ms. An operator reads what became of an unknown write so long after it.
const READ_AFTER: Ms = 3_000;
/// ms. The platform repeats a warning that was not taken.
const WARN_AGAIN: Ms = 500;
/// ms. With the guard off a rejection is held back until so long before the end.
const HELD_BACK: Ms = 100;
/// ms. A fault that waits for a phase looks again.
const LOOK_AGAIN: Ms = 50;
/// ms. A caller goes on at the edge that broke off after so long.
const RESUME_SAME: Ms = 1_500;
/// Times that a caller comes back.
const COMES: u32 = 3;
/// Bytes from which on a value is long.
const LONG: usize = 16 << 10;
/// Lines of trace that are kept.
const TRACE: usize = 600;

/// Who a message or event goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum To {
    Control(usize),
    Agent(usize),
    Proxy(usize),
}

enum Ev {
    Tick(To),
    Deliver {
        to: Name,
        from: Name,
        addr: Name,
        msg: Message,
    },
    DiskDone {
        at: usize,
        life: u64,
        rows: Vec<Row>,
        then: Vec<Effects>,
    },
    Reopen {
        at: usize,
    },
    Start(To),
    Report {
        to: To,
        replica: String,
        addr: String,
        asked: Ms,
    },
    List {
        at: usize,
    },
    Order {
        from: usize,
        service: String,
        epoch: u64,
        order: Order,
    },
    ReplicaBack {
        id: String,
    },
    ReplicaReady {
        id: String,
        born: u64,
    },
    ReplicaGone {
        id: String,
    },
    Arrive,
    Nominate {
        flow: u64,
    },
    Run {
        flow: u64,
        edge: usize,
    },
    Call {
        flow: u64,
        life: u64,
        p: Assignment,
    },
    Begun {
        flow: u64,
        life: u64,
        got: Result<(), AttemptError>,
    },
    Produce {
        id: String,
        born: u64,
        run: usize,
    },
    Line {
        flow: u64,
        life: u64,
        line: StreamLine,
    },
    ClaimLate {
        flow: u64,
        token: u64,
    },
    TimeUp {
        flow: u64,
    },
    Fault(Fault),
    Engine(engine::EngineEv),
    FirstSpec,
    Read {
        mark: u64,
    },
    Warn {
        id: String,
    },
    Reply {
        flow: u64,
        fault: CallFault,
    },
    RegionBack {
        zone: String,
    },
    /// A replica that flaps goes down.
    Flap {
        id: String,
        down: Ms,
        up: Ms,
        until: Ms,
    },
    Loaded {
        id: String,
        born: u64,
        version: String,
    },
    Sample,
    /// The platform starts an order's replicas, and asks where it stands.
    StartPlaced {
        order: usize,
    },
    AskStanding {
        order: usize,
    },
}

struct Disk {
    id: u64,
    rows: BTreeMap<String, Row>,
    slow: (Ms, Ms),
    full_until: Ms,
    buffer: Vec<(Vec<Row>, Effects)>,
    working: bool,
}

struct Ctl {
    p: ControlConfig,
    zone: String,
    brain: Option<Control>,
    disk: Disk,
    life: u64,
    frozen: Ms,
    next_report: Ms,
    /// Lose the disk as soon as the next spec is confirmed here, and stay down so long.
    wipe: Option<Ms>,
}

struct Edge {
    name: String,
    /// What its addresses end in.
    place: String,
    zone: String,
    agent: Option<EdgeAgent>,
    proxy: Option<Proxy>,
    life: u64,
    frozen: Ms,
    next_hello: Ms,
    next_report: Ms,
}

#[derive(Clone)]
struct Work {
    total: u64,
    made: u64,
    each: Ms,
    fail_at: Option<u64>,
    readers: Vec<(u64, u64, Ms)>,
    text: String,
    spoiler: Spoiler,
}

struct Rep {
    r: PlatformReplica,
    born: u64,
    up: bool,
    dark: Ms,
    /// Percent of requests that it spoils, until when; until when it says falsely that it is well, or that it is not.
    grey: (u32, Ms),
    says_well: Ms,
    says_ill: Ms,
    leaving: bool,
    loaded: BTreeMap<String, Ms>,
    busy: BTreeMap<String, u32>,
    cache: VecDeque<String>,
    epoch: u64,
    work: BTreeMap<usize, Work>,
}

struct Flow {
    q: RunRequest,
    told: Told,
    edge: usize,
    life: u64,
    req: Option<Request>,
    placed: Option<Assignment>,
    lines: Option<LineChecker>,
    until: Ms,
    token: u64,
    text: String,
    streaming: bool,
    resumes: u32,
    /// How often this caller has come back.
    comes: u32,
}

/// What an operator, or the platform, waits for under which key.
struct Op {
    key: String,
    what: What,
}

#[derive(Clone)]
enum What {
    /// The mark of a spec.
    Spec(u64),
    /// Where its word stands in the history's.
    Zone(usize),
    /// The platform goes on warning until it is heard.
    Warned(String),
    /// An order: its target and time.
    Plan(String, Ms),
    Other,
}

/// How the network is, until when.
#[derive(Default)]
struct Net {
    extra: Ms,
    lost: u32,
    twice: u32,
    until: Ms,
}

/// How a version is bad.
#[derive(Clone)]
struct Badness {
    version: String,
    lane: Option<String>,
    zone: Option<String>,
    percent: u32,
    how: How,
}

struct Cut {
    a: Vec<String>,
    b: Vec<String>,
    until: Ms,
    one_way: bool,
}

pub struct World {
    pub now: Ms,
    pub h: History,
    pub trace: VecDeque<String>,
    /// Of everything that the daemons asked for so far; none unless builds are compared, as it takes a good part of a run.
    pub effect_digest: Option<EffectDigest>,
    rng: fastrand::Rng,
    seq: u64,
    queue: BTreeMap<(Ms, u64), Ev>,
    d: Deployment,
    engines: engine::Engines,
    ctl: Vec<Ctl>,
    edges: Vec<Edge>,
    reps: BTreeMap<String, Rep>,
    platform_epoch: u64,
    next_rep: u64,
    addrs: BTreeMap<Name, To>,
    cuts: Vec<Cut>,
    flows: BTreeMap<u64, Flow>,
    next_flow: u64,
    claims: BTreeMap<u64, u64>,
    ops: BTreeMap<(usize, u64), Op>,
    bad: Vec<Badness>,
    /// What each edge was last seen to hold of each key.
    /// The spec that operators put, but for its mark.
    spec: Spec,
    held: BTreeMap<(String, Name), u64>,
    /// The spec that an edge's proxy was last seen with: its life, stamp and mark.
    marks: BTreeMap<usize, (u64, VersionStamp, u64)>,
    net: Net,
    /// By machine: since when its clock runs otherwise, how far it was off then, thousandths.
    clocks: BTreeMap<String, (Ms, i64, i64)>,
    wrong: Option<(Wrong, u32, Ms)>,
    /// Bytes a ms of an edge's and of a control machine's link, and when each machine's is free; no bound if none.
    links: Option<(u64, u64)>,
    link_free: BTreeMap<String, Ms>,
    /// Until when the platform is silent, or tells what it last told.
    silent: Ms,
    stale: (Ms, Vec<PlatformReplica>),
    /// Percent of orders lost, how late they come, until when.
    orders: (u32, Ms, Ms),
    load: (Ms, Ms),
    lost_zones: BTreeSet<String>,
    next_edge: usize,
    crowd: (u32, Ms),
    swing: Ms,
    /// Until when rejected callers come back.
    back: Ms,
    moved: Option<(usize, usize, Ms)>,
    mark: u64,
    /// The platform places versions.
    places: bool,
    /// Versions that its orders were accepted as.
    orders_taken: Vec<u64>,
    end: Ms,
    /// Switches a guard off, so that a test sees its failure happen.
    pub off: Option<Guard>,
    /// Which mechanisms of placement the proxies have in force.
    pub policy: Policy,
}

/// Guards that can be switched off to see what they are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Guard {
    /// Claims are granted without asking anybody.
    Claims,
    /// A disk that was lost votes at once.
    BlankDisk,
    /// Proxies forget that they may not serve.
    Rule,
    /// Failures of versions are counted as answers.
    Health,
    /// Proxies serve in every zone, whatever the homes.
    Homes,
    /// Proxies carry requests whose homes their own zone is not among.
    Carried,
    /// Lines of replicas are passed on unchecked.
    Lines,
    /// A resume takes whatever run the replica goes on with.
    SameRun,
    /// Rejections are held back to near the end of the time left.
    AtOnce,
    /// All tiers are of one rank.
    Press,
    /// Two of three control daemons do not start again after a loss.
    Restart,
    /// Clocks run further apart than leases allow for.
    Clocks,
    /// The end of a connection passes for the end of an answer.
    Stream,
    /// Disks confirm before they have synced.
    Sync,
    /// Cold replicas get all their places at once.
    Ramp,
    /// Warnings are not passed on.
    Leaving,
    /// Evacuations are not passed on.
    Evacuation,
    /// Second rounds have no budget.
    Budget,
    /// Streams that may not be repeated are sent again when they fail.
    Once,
    /// A replica's failures are not held against it.
    Doubt,
    /// A replica that once said it was not well is asked no more.
    LookAgain,
    /// Specs that have grown long are not passed on.
    LongNews,
    /// "Not run" is said without a void.
    Void,
}

fn row_key(r: &Row) -> String {
    match r {
        Row::Slot(s) => s.key.to_string(),
        Row::Members { .. } => "\0members".into(),
    }
}

impl Edge {
    /// Its agent's (a), its proxy's (x) or its proxy's HTTP address (p).
    fn addr(&self, kind: char) -> Name {
        format!("{kind}{}", self.place).into()
    }
}

impl World {
    pub fn new(d: Deployment, seed: u64, end: Ms, schedule: Vec<(Ms, Fault)>) -> World {
        let rng = fastrand::Rng::with_seed(seed);
        let mut d = d;
        // Engines are placed by their platform, whose versions the proxies only choose among.
        let places = d.engine.is_some() || schedule.iter().any(|s| s.1 == Fault::Places);
        engine::fit(&mut d);
        if places {
            d.spec
                .services
                .iter_mut()
                .for_each(|s| s.mode = ServiceMode::Placed);
        }
        let mut w = World {
            now: 0,
            h: History {
                end_ms: end,
                ..History::default()
            },
            trace: VecDeque::new(),
            effect_digest: None,
            rng,
            seq: 0,
            queue: BTreeMap::new(),
            ctl: vec![],
            edges: vec![],
            reps: BTreeMap::new(),
            platform_epoch: 0,
            next_rep: 0,
            addrs: BTreeMap::new(),
            cuts: vec![],
            flows: BTreeMap::new(),
            next_flow: 0,
            claims: BTreeMap::new(),
            ops: BTreeMap::new(),
            spec: d.spec.clone(),
            held: BTreeMap::new(),
            net: Net::default(),
            clocks: BTreeMap::new(),
            wrong: None,
            links: None,
            link_free: BTreeMap::new(),
            marks: BTreeMap::new(),
            silent: 0,
            stale: (0, vec![]),
            orders: (0, 0, 0),
            load: (LOAD, 0),
            lost_zones: BTreeSet::new(),
            next_edge: 0,
            bad: vec![],
            crowd: (1, 0),
            swing: 0,
            back: 0,
            moved: None,
            mark: 0,
            places,
            orders_taken: vec![],
            end,
            engines: engine::Engines::default(),
            off: None,
            policy: Policy::default(),
            d,
        };
        let members: Vec<Name> = (0..w.d.control.len())
            .map(|i| Name(format!("control-{}", i + 1)))
            .collect();
        for (i, z) in w.d.control.clone().into_iter().enumerate() {
            // Half of the fleets name their members, and half are founded by the daemons at the seeds.
            let founding = seed % 2 == 1;
            let p = ControlConfig {
                name: members[i].clone(),
                zone: z.as_str().into(),
                addr: format!("c{}", i + 1).into(),
                http_addr: format!("h{}", i + 1).into(),
                members: if founding { vec![] } else { members.clone() },
                seeds: vec!["c1".into(), "c2".into(), "c3".into()],
                regions: w.d.regions.clone(),
                spec_parser: coordination::state_table::parse_native_spec,
                bootstrap: founding,
                bounds: Default::default(),
            };
            let id = w.rng.u64(1..1 << 60);
            let disk = Disk {
                id,
                rows: BTreeMap::new(),
                slow: (0, 0),
                full_until: 0,
                buffer: vec![],
                working: false,
            };
            w.ctl.push(Ctl {
                p,
                zone: z,
                brain: None,
                disk,
                life: 0,
                frozen: 0,
                next_report: 0,
                wipe: None,
            });
            w.after(i as Ms * 20, Ev::Start(To::Control(i)));
        }
        let zones: Vec<String> =
            w.d.edges
                .iter()
                .flat_map(|e| std::iter::repeat_n(e.zone.clone(), e.count))
                .collect();
        for (i, zone) in zones.into_iter().enumerate() {
            let name = format!("edge-{}", i + 1);
            w.next_edge = i + 2;
            w.edges.push(Edge {
                name,
                zone,
                place: (i + 1).to_string(),
                agent: None,
                proxy: None,
                life: 0,
                frozen: 0,
                next_hello: 0,
                next_report: 0,
            });
            w.after(100 + i as Ms * 10, Ev::Start(To::Agent(i)));
            w.after(120 + i as Ms * 10, Ev::Start(To::Proxy(i)));
        }
        w.h.capacity = w.capacity();
        w.h.processes = (w.ctl.len() + w.edges.len()) as u64;
        for s in w.d.spec.services.clone() {
            for z in &s.zones {
                for _ in 0..z.replicas {
                    w.start_replica(&s.name, &z.zone, &s.version, false);
                }
            }
        }
        w.after(1_500, Ev::FirstSpec);
        if w.d.engine.is_none() {
            w.after(TRAFFIC_FROM, Ev::Arrive);
        }
        w.engines_begin();
        w.after(SAMPLE, Ev::Sample);
        for (t, f) in schedule {
            w.after(t, Ev::Fault(f));
        }
        w
    }

    /// What the fleet can hold, as its operators know it.
    fn capacity(&self) -> Capacity {
        let (s, tiers) = (&self.d.spec.services[0], &self.d.spec.tiers);
        Capacity {
            places: s
                .zones
                .iter()
                .map(|z| (z.zone.clone(), u64::from(z.replicas) * u64::from(SLOTS)))
                .collect(),
            // A cold cache doubles the time.
            lanes: s
                .lanes
                .iter()
                .map(|l| (l.name.clone(), l.expected_ms * 3 / 2))
                .collect(),
            best_tier: tiers
                .iter()
                .min_by_key(|t| t.rank)
                .map_or(String::new(), |t| t.name.clone()),
            short_lane: s
                .lanes
                .iter()
                .min_by_key(|l| l.time_limit_ms)
                .map_or(String::new(), |l| l.name.clone()),
        }
    }

    /// Runs to the end and gives what was observed.
    pub fn run(&mut self) -> &History {
        while let Some(((t, _), ev)) = self.queue.pop_first() {
            if t > self.end {
                break;
            }
            self.now = t;
            self.handle(ev);
        }
        self.engines_end();
        let open: Vec<u64> = self.flows.keys().copied().collect();
        for f in open {
            if let Some(f) = self.flows.get_mut(&f) {
                f.told.cut_short = true;
            }
            self.lost(f);
        }
        &self.h
    }

    fn after(&mut self, ms: Ms, ev: Ev) {
        self.seq += 1;
        self.queue.insert((self.now + ms, self.seq), ev);
    }
    fn say(&mut self, who: &str, text: &str) {
        if self.trace.len() >= TRACE {
            self.trace.pop_front();
        }
        self.trace
            .push_back(format!("{:>7} {who}: {text}", self.now));
    }

    fn handle(&mut self, ev: Ev) {
        // A frozen machine does nothing; what reached it waits in its sockets until it wakes.
        let holder = match &ev {
            Ev::Tick(t) | Ev::Report { to: t, .. } => Some(*t),
            Ev::Deliver { to, .. } => self.addrs.get(to).copied(),
            Ev::DiskDone { at, .. } | Ev::Reopen { at } | Ev::List { at } => Some(To::Control(*at)),
            Ev::Run { edge, .. } => Some(To::Proxy(*edge)),
            Ev::Nominate { flow }
            | Ev::Begun { flow, .. }
            | Ev::Line { flow, .. }
            | Ev::ClaimLate { flow, .. } => self.flows.get(flow).map(|f| To::Proxy(f.edge)),
            _ => None,
        };
        if let Some(t) = holder
            && self.frozen(t) > self.now
        {
            let ms = self.frozen(t) - self.now;
            return self.after(ms, ev);
        }
        match ev {
            Ev::Tick(t) => self.tick(t),
            Ev::Deliver {
                to,
                from,
                addr,
                msg,
            } => self.deliver(to, from, addr, msg),
            Ev::DiskDone {
                at,
                life,
                rows,
                then,
            } => self.disk_done(at, life, rows, then),
            Ev::Reopen { at } => self.open(at),
            Ev::Start(t) => self.start(t),
            Ev::Report {
                to,
                replica,
                addr,
                asked,
            } => self.report(to, &replica, &addr, asked),
            Ev::List { at } => self.list(at),
            Ev::Order {
                from,
                service,
                epoch,
                order,
            } => self.take_order(from, &service, epoch, order),
            Ev::ReplicaBack { id } => self.replica_back(&id),
            Ev::ReplicaReady { id, born } => self.replica_ready(&id, born),
            Ev::ReplicaGone { id } => self.replica_down(&id, None),
            Ev::Arrive => self.arrive(),
            Ev::Nominate { flow } => self.nominate(flow),
            Ev::Run { flow, edge } => self.begin_run(flow, edge),
            Ev::Call { flow, life, p } => self.call(flow, life, p),
            Ev::Begun { flow, life, got } => self.begun(flow, life, got),
            Ev::Produce { id, born, run } => self.produce(&id, born, run),
            Ev::Line { flow, life, line } => self.line(flow, life, line),
            Ev::ClaimLate { flow, token } => {
                if self.claims.remove(&token).is_some() {
                    self.drive(flow, StepResult::Claimed(claims::ABSTAINED));
                }
            }
            Ev::TimeUp { flow } => self.lost(flow),
            Ev::Fault(f) => self.fault(f),
            Ev::Engine(e) => self.engine_ev(e),
            Ev::FirstSpec => self.first_spec(),
            Ev::Read { mark } => self.read(mark),
            Ev::Warn { id } => self.warn(&id),
            Ev::Reply { flow, fault } => self.reply(flow, fault),
            Ev::RegionBack { zone } => self.region_back(&zone),
            Ev::Flap {
                id,
                down,
                up,
                until,
            } => self.flap(&id, down, up, until),
            Ev::Loaded { id, born, version } => self.version_loaded(&id, born, version),
            Ev::Sample => self.sample(),
            Ev::StartPlaced { order } => self.start_placed(order),
            Ev::AskStanding { order } => self.ask_standing(order),
        }
    }

    /// What the daemons hold in the end, for looking at a run.
    pub fn rollout(&self) -> Option<remote_calls::RolloutRecord> {
        let b = self.ctl.iter().find_map(|c| c.brain.as_ref())?;
        b.status(self.now).rollouts.into_iter().next()
    }
}

fn lost_line(code: &str) -> StreamLine {
    let f = CallFault::new(code, "read_stream", "the connection ended");
    StreamLine {
        start: None,
        piece: None,
        end: Some(StreamEnd {
            outcome: Outcome::Unknown,
            pieces: 0,
            digest: None,
            fault: Some(f),
        }),
    }
}
