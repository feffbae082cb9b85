//! Callers whose requests come by host and path, and replicas that are engines: what a deployment with an `engine`
//! section has in place of the nominated requests of the others. Proxies choose as they do on a platform that places
//! versions; travel between regions takes the deployment's time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use coordination::{
    exchange::{AttemptOutcome, RequestHead, ResponseSignals as Heard},
    placement::{CONNECT_COST_MS, IDLE_CONNECTION_MAX_AGE, shared_prefix},
    proxy::{Admission, Assignment},
};
use remote_calls::PathSpec;

use super::{Ev, Guard, OPEN_LIMIT, TRAFFIC_FROM, To, World};
use crate::{
    deployment::{Class, Deployment, EngineSection, Shared},
    history::{Ms, Pass, Run},
};

mod model;

pub use model::EngineParams;
use model::{Engine, Job, Made};

/// The host of all requests.
const HOST: &str = "simulated.example";
/// The longest own part against its mean: what comes out longer is cut there.
const TAIL: f64 = 14.0;
/// ms. A grey replica drops a request so long after it took it.
const SPOILED: Ms = 20;

/// A request on its way.
pub(super) struct Way {
    seen: Pass,
    ask: RequestHead,
    lane: Option<Arc<PathSpec>>,
    edge: usize,
    life: u64,
    placed: Option<Assignment>,
    tried: Vec<String>,
    until: Ms,
    events: u64,
}

/// What engines and their callers have, beside the rest of a world.
#[derive(Default)]
pub(super) struct Engines {
    by: BTreeMap<String, (u64, Engine, bool)>,
    ways: BTreeMap<u64, Way>,
    next: u64,
    /// Shared parts that some replica has read.
    read: BTreeSet<u64>,
    section: Option<Arc<EngineSection>>,
    /// By edge and replica: when channels came to rest that may be taken again.
    channels: BTreeMap<(usize, String), Vec<Ms>>,
}

pub(super) enum EngineEv {
    Arrive {
        class: usize,
    },
    Take {
        way: u64,
    },
    Call {
        way: u64,
        round: usize,
    },
    Push {
        way: u64,
        round: usize,
        id: String,
    },
    Step {
        id: String,
        born: u64,
    },
    Event {
        way: u64,
        round: usize,
        n: u64,
        last: bool,
        load: (u32, u32, u32),
    },
    Ended {
        way: u64,
        round: usize,
        how: AttemptOutcome,
    },
    TimeUp {
        way: u64,
    },
}

/// The spec of a deployment with engines: each class has a path, all served by the one service.
pub(super) fn fit(d: &mut Deployment) {
    let Some(e) = d.engine.clone() else { return };
    let s = &mut d.spec.services[0];
    let path = |c: &Class| {
        serde_json::json!({"lane": c.lane, "host": HOST, "prefix": format!("/{}/", c.lane), "kind": c.kind,
            "time_limit_ms": c.time_limit_ms, "expected_ms": c.aim_ms, "gap_ms": 300, "rank": c.rank, "rounds": c.rounds,
            "affinity": true, "homes": c.homes, "split": [{"service": s.name, "weight": 100}]})
    };
    d.spec.paths = e
        .classes
        .iter()
        .filter_map(|c| serde_json::from_value(path(c)).ok())
        .collect();
    s.engine = serde_json::from_value(
        serde_json::json!({"slots": e.params.slots, "cache_tokens": e.params.cache_tokens,
        "channels": 360, "health_path": "/health", "cold_ms": e.cold_ms, "cold_rate": e.cold_rate}),
    )
    .ok();
    s.zones = e.zones.clone();
}

impl World {
    pub(super) fn section(&self) -> Option<Arc<EngineSection>> {
        self.engines.section.clone()
    }
    pub(super) fn engines_begin(&mut self) {
        self.engines.section = self.d.engine.clone().map(Arc::new);
        let Some(e) = self.section() else { return };
        self.h.once_lanes = e
            .classes
            .iter()
            .filter(|c| c.kind == "stream")
            .map(|c| c.lane.clone())
            .collect();
        for class in 0..e.classes.len() {
            self.after(TRAFFIC_FROM, Ev::Engine(EngineEv::Arrive { class }));
        }
    }
    pub(super) fn engine_ev(&mut self, ev: EngineEv) {
        match ev {
            EngineEv::Arrive { class } => self.engine_arrive(class),
            EngineEv::Take { way } => self.engine_take(way),
            EngineEv::Call { way, round } => self.engine_call(way, round),
            EngineEv::Push { way, round, id } => self.engine_push(way, round, &id),
            EngineEv::Step { id, born } => self.engine_step(&id, born),
            EngineEv::Event {
                way,
                round,
                n,
                last,
                load,
            } => self.engine_event(way, round, n, last, load),
            EngineEv::Ended { way, round, how } => self.engine_ended(way, round, how),
            EngineEv::TimeUp { way } => self.engine_over(way, "late"),
        }
    }

    /// A size about its mean: most are smaller, a few far larger.
    fn size(&mut self, mean: f64, spread: f64) -> u32 {
        let (u, v) = (1.0 - self.rng.f64(), self.rng.f64());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        (mean * (spread * normal - spread * spread / 2.0).exp()).clamp(1.0, mean * TAIL) as u32
    }
    /// A shared part: of few that are asked for often, and always of the same size.
    fn shared_part(&mut self, class: usize, level: usize, s: &Shared) -> (u64, u32) {
        let nth = (s.things as f64 * self.rng.f64().powf(1.0 / (1.0 - s.skew))) as u64;
        let id = (class as u64 + 1) << 40 | (level as u64 + 1) << 32 | nth;
        let mut own = std::mem::replace(&mut self.rng, fastrand::Rng::with_seed(id));
        let tokens = self.size(s.tokens, s.spread);
        std::mem::swap(&mut self.rng, &mut own);
        (id, tokens)
    }

    fn engine_arrive(&mut self, class: usize) {
        let Some(e) = self.section() else { return };
        let c = &e.classes[class];
        let times = if self.crowd.1 > self.now {
            f64::from(self.crowd.0)
        } else {
            1.0
        };
        let gap = -(1.0 - self.rng.f64()).ln() * 1_000.0 / (c.per_s * times);
        self.after(
            (gap.round() as Ms).max(1),
            Ev::Engine(EngineEv::Arrive { class }),
        );
        let zone = self.rng.usize(..self.d.edges.len());
        let zone = self.d.edges[zone].zone.clone();
        let near: Vec<usize> = (0..self.edges.len())
            .filter(|i| self.edges[*i].zone == zone && self.edges[*i].proxy.is_some())
            .collect();
        // Where all edges are gone callers turn to another region's.
        let all: Vec<usize> = (0..self.edges.len())
            .filter(|i| self.edges[*i].proxy.is_some())
            .collect();
        let Some(edge) = self
            .rng
            .choice(if near.is_empty() { &all } else { &near })
            .copied()
        else {
            return;
        };
        self.engines.next += 1;
        let way = self.engines.next;
        let mut parts: Vec<(u64, u32)> = c
            .shared
            .iter()
            .enumerate()
            .map(|(i, s)| self.shared_part(class, i, s))
            .collect();
        parts.push((1 << 60 | way, self.size(c.own_tokens, c.own_spread)));
        let events = u64::from(self.size(c.events, c.event_spread));
        let tokens = (
            parts.iter().map(|p| p.1).sum(),
            (events * e.params.event_tokens) as u32,
        );
        let ask = RequestHead {
            host: HOST.into(),
            path: format!("/{}/x", c.lane),
            tokens,
            prefix_blocks: parts,
            ..RequestHead::default()
        };
        let seen = Pass {
            lane: c.lane.clone(),
            zone,
            at: self.now,
            aim: c.aim_ms,
            ..Pass::default()
        };
        let until = self.now + c.time_limit_ms;
        let w = Way {
            seen,
            ask,
            lane: None,
            edge,
            life: 0,
            placed: None,
            tried: vec![],
            until,
            events,
        };
        self.engines.ways.insert(way, w);
        self.after(e.client_ms, Ev::Engine(EngineEv::Take { way }));
        self.after(c.time_limit_ms, Ev::Engine(EngineEv::TimeUp { way }));
    }

    /// A proxy nominates a replica, and the request sets out.
    fn engine_take(&mut self, way: u64) {
        let Some(w) = self.engines.ways.get(&way) else {
            return;
        };
        let now = self.clock(To::Proxy(w.edge));
        let Some(w) = self.engines.ways.get_mut(&way) else {
            return;
        };
        let e = &mut self.edges[w.edge];
        w.life = e.life;
        let Some(p) = e.proxy.as_mut() else {
            return self.engine_over(way, "unreachable");
        };
        let lane = match p.find_lane(&w.ask.host, &w.ask.path, now) {
            Ok(l) => l,
            Err(x) => return self.engine_over(way, &x.code),
        };
        let left = w.until.saturating_sub(self.now);
        match p.assign_by_path(&lane, &w.ask, &w.tried, now + left, now) {
            Admission::Assigned(placed) => {
                w.lane = Some(lane);
                w.tried.push(placed.replica.clone());
                let there = self
                    .reps
                    .get(&placed.replica)
                    .map_or(e.zone.clone(), |r| r.r.zone.clone());
                w.seen.replica = placed.replica.clone();
                w.seen.near = self.d.region(&there) == self.d.region(&e.zone);
                let (round, here) = (w.tried.len(), e.zone.clone());
                w.placed = Some(placed);
                let opens = self.opens_channel(way);
                let ms = self.latency(&here, &there)
                    + if opens {
                        self.opening(&here, &there)
                    } else {
                        0
                    };
                self.after(ms, Ev::Engine(EngineEv::Call { way, round }));
            }
            Admission::Rejected(x) => self.engine_over(way, &x.code),
            Admission::NoFreeSlot => self.engine_over(way, "full"),
        }
    }

    /// Takes a channel that rests, if there is one; whether one must be opened.
    fn opens_channel(&mut self, way: u64) -> bool {
        let Some(w) = self.engines.ways.get(&way) else {
            return true;
        };
        let rests = self
            .engines
            .channels
            .entry((w.edge, w.seen.replica.clone()))
            .or_default();
        rests.retain(|t| self.now - t <= IDLE_CONNECTION_MAX_AGE);
        let opens = rests.pop().is_none();
        self.h.opened += u64::from(opens);
        opens
    }
    /// ms that opening a channel takes: the way there and back, and the replica's work on it.
    fn opening(&mut self, here: &str, there: &str) -> Ms {
        self.latency(here, there) + self.latency(here, there) + CONNECT_COST_MS as Ms
    }

    fn engine_call(&mut self, way: u64, round: usize) {
        let Some((edge, p)) = self
            .engines
            .ways
            .get(&way)
            .and_then(|w| Some((w.edge, w.placed.clone()?)))
        else {
            return;
        };
        let e = self.machine(To::Proxy(edge));
        let Some(r) = self.reps.get(&p.replica) else {
            return self.engine_ended(way, round, AttemptOutcome::ConnectRefused);
        };
        let (rep, up, dark) = (
            (p.replica.clone(), r.r.zone.clone()),
            r.up && r.r.addr == p.addr,
            r.dark > self.now,
        );
        let ms = self.latency(&rep.1, &e.1);
        if self.cut(&e, &rep) || self.cut(&rep, &e) {
            return self.after(
                OPEN_LIMIT,
                Ev::Engine(EngineEv::Ended {
                    way,
                    round,
                    how: AttemptOutcome::ConnectTimedOut,
                }),
            );
        }
        if !up {
            return self.after(
                ms,
                Ev::Engine(EngineEv::Ended {
                    way,
                    round,
                    how: AttemptOutcome::ConnectRefused,
                }),
            );
        }
        if dark {
            if self.reps[&p.replica].says_well > self.now {
                self.h.spoiled.push((self.now, p.replica));
            }
            return;
        }
        let first = self.section().map_or(0.0, |s| s.params.first_ms);
        self.after(
            first as Ms,
            Ev::Engine(EngineEv::Push {
                way,
                round,
                id: p.replica,
            }),
        );
    }

    fn engine_push(&mut self, way: u64, round: usize, id: &str) {
        let Some(r) = self.reps.get(id).filter(|r| r.up) else {
            return self.engine_ended(way, round, AttemptOutcome::Failed);
        };
        let (born, zone) = (r.born, r.r.zone.clone());
        let Some(params) = self.section().map(|s| s.params.clone()) else {
            return;
        };
        let now = self.now;
        let Some(w) = self
            .engines
            .ways
            .get_mut(&way)
            .filter(|w| w.tried.len() == round)
        else {
            return;
        };
        let old = self.engines.by.get(id).is_none_or(|e| e.0 != born);
        if old {
            self.engines
                .by
                .insert(id.into(), (born, Engine::new(params), false));
        }
        let Some((_, e, busy)) = self.engines.by.get_mut(id) else {
            return;
        };
        let rank = w.lane.as_ref().map_or(5, |l| l.rank);
        if !e.push(Job {
            id: way,
            rank,
            parts: w.ask.prefix_blocks.clone(),
            events: w.events,
        }) {
            return self.after(
                1,
                Ev::Engine(EngineEv::Ended {
                    way,
                    round,
                    how: AttemptOutcome::AtCapacity,
                }),
            );
        }
        let rests = !std::mem::replace(busy, true);
        let (request, lane, version) = (
            format!("way-{way}"),
            w.seen.lane.clone(),
            w.placed
                .as_ref()
                .map_or(String::new(), |p| p.version.clone()),
        );
        // A path is bound to regions; where each zone is one, to zones.
        let of = w.lane.as_ref().map_or(vec![], |l| l.homes.clone());
        let zones = self.d.spec.zones.iter().map(|z| z.name.clone());
        let homes = zones
            .filter(|z| of.is_empty() || of.iter().any(|h| h == self.d.region(z)))
            .collect();
        let run = format!("{id}-{way}-{round}");
        self.h.runs.push(Run {
            run,
            request,
            replica: id.into(),
            zone,
            lane,
            version,
            homes,
            at_ms: now,
            end_ms: Ms::MAX,
            ..Run::default()
        });
        if rests {
            self.after(
                0,
                Ev::Engine(EngineEv::Step {
                    id: id.into(),
                    born,
                }),
            );
        }
        if self.spoils(id) {
            self.after(
                SPOILED,
                Ev::Engine(EngineEv::Ended {
                    way,
                    round,
                    how: AttemptOutcome::Failed,
                }),
            );
        }
    }

    fn engine_step(&mut self, id: &str, born: u64) {
        let Some(r) = self.reps.get(id).filter(|r| r.up && r.born == born) else {
            return;
        };
        if r.dark > self.now {
            let ms = r.dark - self.now;
            return self.after(
                ms,
                Ev::Engine(EngineEv::Step {
                    id: id.into(),
                    born,
                }),
            );
        }
        let zone = r.r.zone.clone();
        let Some((_, e, busy)) = self.engines.by.get_mut(id) else {
            return;
        };
        if e.idle() {
            *busy = false;
            return;
        }
        let (ms, made) = e.step();
        let load = e.load();
        // Virtual time has whole ms: what is over is drawn by chance, so that long times stay true.
        let ms = ms as Ms + Ms::from(self.rng.f64() < ms.fract());
        for m in made {
            match m {
                Made::Read { chain, tokens } => {
                    let first = self.engines.read.insert(chain);
                    let (new, again) = (
                        if first { tokens } else { 0 },
                        if first { 0 } else { tokens },
                    );
                    (self.h.shared_read, self.h.shared_again) =
                        (self.h.shared_read + new, self.h.shared_again + again);
                }
                Made::Event { id: way, n, last } => {
                    let Some(w) = self.engines.ways.get(&way) else {
                        continue;
                    };
                    let (round, edge, to) =
                        (w.tried.len(), w.edge, self.edges[w.edge].zone.clone());
                    let e = self.machine(To::Proxy(edge));
                    if self.cut(&(id.into(), zone.clone()), &e) {
                        continue;
                    }
                    let back = self.latency(&zone, &to);
                    self.after(
                        ms + back,
                        Ev::Engine(EngineEv::Event {
                            way,
                            round,
                            n,
                            last,
                            load,
                        }),
                    );
                }
            }
        }
        self.after(
            ms.max(1),
            Ev::Engine(EngineEv::Step {
                id: id.into(),
                born,
            }),
        );
    }

    fn engine_event(&mut self, way: u64, round: usize, n: u64, last: bool, load: (u32, u32, u32)) {
        let Some(w) = self
            .engines
            .ways
            .get_mut(&way)
            .filter(|w| w.tried.len() == round)
        else {
            return;
        };
        let edge = w.edge;
        if w.life != self.edges[edge].life {
            return;
        }
        let client = self.d.engine.as_ref().map_or(0, |e| e.client_ms);
        if w.seen.first.is_none() {
            w.seen.first = Some(self.now + client - w.seen.at);
        }
        let placed = w.placed.clone();
        let now = self.clock(To::Proxy(edge));
        if let (Some(p), Some(b), 1) = (&placed, self.edges[edge].proxy.as_mut(), n) {
            b.on_response_head(
                p,
                &Heard {
                    load: Some(load),
                    ..Heard::default()
                },
                now,
            );
            b.on_first_chunk(p, now);
        }
        if last {
            self.engine_ended(way, round, AttemptOutcome::Completed);
        }
    }

    /// A round has ended; a request goes on elsewhere if its lane and the budget let it.
    fn engine_ended(&mut self, way: u64, round: usize, how: AttemptOutcome) {
        let Some(w) = self
            .engines
            .ways
            .get_mut(&way)
            .filter(|w| w.tried.len() == round)
        else {
            return;
        };
        let (edge, placed) = (w.edge, w.placed.take());
        if w.life != self.edges[edge].life {
            return self.engine_over(way, "edge_lost");
        }
        let now = self.clock(To::Proxy(edge));
        let Some(b) = self.edges[edge].proxy.as_mut() else {
            return self.engine_over(way, "edge_lost");
        };
        let service = placed.as_ref().map_or(String::new(), |p| p.service.clone());
        if let Some(p) = &placed {
            let spared = self.off == Some(Guard::Doubt) && how != AttemptOutcome::AtCapacity;
            b.on_attempt_ended(
                p,
                if spared {
                    AttemptOutcome::Completed
                } else {
                    how
                },
                now,
            );
        }
        if how == AttemptOutcome::Completed {
            let rests = (edge, placed.map_or(String::new(), |p| p.replica));
            self.engines
                .channels
                .entry(rests)
                .or_default()
                .push(self.now);
            return self.engine_over(way, "answered");
        }
        let Some(w) = self.engines.ways.get_mut(&way) else {
            return;
        };
        let safe = how != AttemptOutcome::Failed
            || self.off == Some(Guard::Once)
            || w.lane
                .as_ref()
                .is_some_and(|l| l.kind == remote_calls::PathKind::StreamResumable);
        let forced = self.off == Some(Guard::Once) && round < 3;
        let more = forced
            || w.lane.as_ref().is_some_and(|l| round < l.rounds as usize)
            || matches!(
                how,
                AttemptOutcome::ConnectRefused | AttemptOutcome::ConnectTimedOut
            ) && round < 3;
        if safe && more && b.try_draw_retry(&service, now) {
            return self.engine_take(way);
        }
        self.engine_over(
            way,
            match how {
                AttemptOutcome::AtCapacity => "full",
                AttemptOutcome::ConnectRefused | AttemptOutcome::ConnectTimedOut => "unreachable",
                _ => "failed",
            },
        );
    }

    fn engine_over(&mut self, way: u64, how: &str) {
        let Some(mut w) = self.engines.ways.remove(&way) else {
            return;
        };
        let now = self.clock(To::Proxy(w.edge));
        let e = &mut self.edges[w.edge];
        let same = w.life == e.life;
        if let (Some(p), Some(b), true) = (w.placed.take(), e.proxy.as_mut(), same) {
            let spared = self.off == Some(Guard::Doubt);
            b.on_attempt_ended(
                &p,
                if spared {
                    AttemptOutcome::Completed
                } else {
                    AttemptOutcome::ResponseTimedOut
                },
                now,
            );
        }
        if let Some((_, e, _)) = w.tried.last().and_then(|id| self.engines.by.get_mut(id)) {
            e.cancel(way);
        }
        w.seen.tokens = w.ask.tokens.0;
        w.seen.shared_tokens = shared_prefix(&w.ask.prefix_blocks)
            .iter()
            .map(|p| p.1)
            .sum();
        (w.seen.end, w.seen.how) = (self.now, how.into());
        self.h.passes.push(w.seen);
    }

    /// A replica ended, and with it all that it ran and kept.
    pub(super) fn engine_down(&mut self, id: &str) {
        self.engines.by.remove(id);
        self.engines.channels.retain(|k, _| k.1 != id);
        let lost = self
            .engines
            .ways
            .iter()
            .filter(|(_, w)| w.seen.replica == id && w.placed.is_some());
        let lost: Vec<(u64, usize)> = lost.map(|(n, w)| (*n, w.tried.len())).collect();
        for (way, round) in lost {
            self.after(
                2,
                Ev::Engine(EngineEv::Ended {
                    way,
                    round,
                    how: AttemptOutcome::Failed,
                }),
            );
        }
    }
    /// A proxy ended: its callers know at once.
    pub(super) fn engine_edge_down(&mut self, at: usize) {
        self.engines.channels.retain(|k, _| k.0 != at);
        let all: Vec<u64> = self
            .engines
            .ways
            .iter()
            .filter(|(_, w)| w.edge == at)
            .map(|(n, _)| *n)
            .collect();
        all.into_iter()
            .for_each(|w| self.engine_over(w, "edge_lost"));
    }
    /// Notes what engines keep, once at the end.
    pub(super) fn engines_end(&mut self) {
        self.h.kept_tokens = self
            .engines
            .by
            .values()
            .map(|e| e.1.kept_tokens())
            .collect();
        self.h.put_back = self.engines.by.values().map(|e| e.1.put_back).sum();
    }
}
