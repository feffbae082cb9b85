//! The stand-in replica: loads versions, keeps a prefix cache, streams numbered pieces, and keeps its
//! own record of every run for the checkers.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use actix_web::{HttpResponse, web, web::Bytes};
use daemon_parts::{
    clock,
    http::{FaultResponse, json_config, no_such_path},
};
use fleet_simulator::wrong::{Spoiler, Wrong};
use remote_calls::{
    Fault, GenerateRequest, LoadedWeights, OrderAction, OrderAnswer, Outcome, ReplicaOrder,
    ReplicaReport, ReplicaRunRecord, ReplicaRuns, RunState, StreamEnd, StreamLine, StreamPiece,
    StreamStart, calls,
};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Prefixes the cache holds.
const CACHE: usize = 64;
/// Run records kept; far more than a test's traffic on one replica.
const RECORDS: usize = 200_000;

/// How a version behaves on this stand-in.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Behaviour {
    pub version: String,
    /// Every lane if none is named.
    #[serde(default)]
    pub lane: Option<String>,
    #[serde(default)]
    pub fail_percent: u32,
    #[serde(default)]
    pub slow_percent: u32,
    /// Streams that come wrong, and how many of them.
    #[serde(default)]
    pub wrong: Option<Wrong>,
    #[serde(default)]
    pub wrong_percent: u32,
}

#[derive(Clone, Debug)]
pub struct ReplicaParams {
    pub id: String,
    pub zone: String,
    pub service: String,
    pub version: String,
    pub slots: u32,
    pub load_ms: u64,
    /// ms of a whole warm answer and its pieces, by lane; other lanes take the first.
    pub lanes: Vec<(String, u64, u64)>,
}

#[derive(Clone)]
struct Run {
    record: ReplicaRunRecord,
    pieces: Vec<String>,
    warm: bool,
    spoiler: Spoiler,
    grown: watch::Sender<()>,
}

struct State {
    p: ReplicaParams,
    born: u64,
    epochs: BTreeMap<String, u64>,
    /// Version to when it is ready.
    loaded: BTreeMap<String, u64>,
    leaving: bool,
    runs: BTreeMap<String, Run>,
    busy: BTreeMap<String, u32>,
    cache: VecDeque<String>,
    behaviour: Vec<Behaviour>,
    next: u64,
}

/// One replica's state under its lock.
#[derive(Clone)]
pub struct Replica(Arc<Mutex<State>>);

type Reply = Result<HttpResponse, FaultResponse>;
type Shared = web::Data<Replica>;

impl Replica {
    pub fn new(p: ReplicaParams, behaviour: Vec<Behaviour>) -> Self {
        let loaded = [(p.version.clone(), clock::now() + p.load_ms)].into();
        Replica(Arc::new(Mutex::new(State {
            p,
            born: clock::new_incarnation(),
            epochs: BTreeMap::new(),
            loaded,
            leaving: false,
            runs: BTreeMap::new(),
            busy: BTreeMap::new(),
            cache: VecDeque::new(),
            behaviour,
            next: 0,
        })))
    }
    fn lock(&self) -> MutexGuard<'_, State> {
        // A panic elsewhere leaves counts that are still good enough for a stand-in.
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl State {
    fn busy(&self) -> u32 {
        self.busy.values().sum()
    }
    fn report(&self) -> ReplicaReport {
        let now = clock::now();
        let loaded = self.loaded.iter().map(|(v, at)| LoadedWeights {
            service: self.p.service.clone(),
            version: v.clone(),
            ready: *at <= now,
            streams: self.busy.get(v).copied().unwrap_or(0),
        });
        ReplicaReport {
            replica: self.p.id.clone(),
            zone: self.p.zone.clone(),
            born: self.born,
            loaded: loaded.collect(),
            busy: self.busy(),
            slots: self.p.slots,
            kv_fill: (self.cache.len() as f64 / CACHE as f64 * 0.5).min(1.0),
            leaving: self.leaving,
        }
    }
}

async fn report(r: Shared) -> HttpResponse {
    HttpResponse::Ok().json(r.lock().report())
}

async fn order(r: Shared, q: web::Json<ReplicaOrder>) -> Reply {
    let mut s = r.lock();
    let at = s.epochs.entry(q.service.clone()).or_insert(0);
    // A former duty holder's order must do nothing any more.
    if q.epoch < *at {
        let m = format!("epoch {} is behind {at}", q.epoch);
        return Err(Fault::new("stale_epoch", "fence", m).into());
    }
    *at = q.epoch;
    let now = clock::now();
    let done = match q.action {
        OrderAction::Load => {
            let ready = now + s.p.load_ms;
            *s.loaded.entry(q.version.clone()).or_insert(ready) <= now
        }
        OrderAction::Unload => {
            let free = s.busy.get(&q.version).copied().unwrap_or(0) == 0;
            if free {
                s.loaded.remove(&q.version);
            }
            free
        }
        OrderAction::Drain => {
            s.leaving = true;
            s.busy() == 0
        }
    };
    Ok(HttpResponse::Ok().json(OrderAnswer {
        epoch: q.epoch,
        done,
    }))
}

/// A piece's text: nobody else would write it, and it tells whose it is.
fn text(q: &GenerateRequest, run: &str, n: u64) -> String {
    let h = coordination::rendezvous::rendezvous_weight(&q.prompt, &format!("{run} {n}"));
    format!("{h:016x}")
}

async fn generate(r: Shared, q: web::Json<GenerateRequest>) -> Reply {
    let q = q.into_inner();
    if let Some(at) = &q.resume {
        return resume(&r, &q, &at.run, at.after);
    }
    let run = {
        let mut s = r.lock();
        let no = |code: &str, m: &str| {
            Err(Fault::new(code, "accept_run", m)
                .outcome(Outcome::NotRun)
                .into())
        };
        if s.leaving {
            return no("leaving", "this replica is leaving");
        }
        if s.loaded.get(&q.version).is_none_or(|t| *t > clock::now()) {
            return no("not_loaded", "this version is not loaded here");
        }
        // It can run somewhat more than it runs well, no more.
        if s.busy() >= s.p.slots + s.p.slots / 2 {
            return no("busy", "every place is taken");
        }
        s.next += 1;
        let id = format!("{}-{:x}-{}", s.p.id, s.born, s.next);
        let warm = q
            .prefixes
            .iter()
            .any(|p| s.cache.contains(&format!("{} {p}", q.version)));
        for p in &q.prefixes {
            let k = format!("{} {p}", q.version);
            s.cache.retain(|x| *x != k);
            s.cache.push_back(k);
        }
        while s.cache.len() > CACHE {
            s.cache.pop_front();
        }
        let record = ReplicaRunRecord {
            run: id.clone(),
            request: q.request.clone(),
            service: q.service.clone(),
            lane: q.lane.clone(),
            version: q.version.clone(),
            homes: q.home.clone(),
            state: RunState::Running,
            pieces: 0,
            digest: String::new(),
            at_ms: clock::now(),
        };
        *s.busy.entry(q.version.clone()).or_default() += 1;
        if s.runs.len() < RECORDS {
            let total =
                s.p.lanes
                    .iter()
                    .find(|l| l.0 == q.lane)
                    .or(s.p.lanes.first())
                    .map_or(4, |l| l.2);
            let b = s
                .behaviour
                .iter()
                .find(|b| b.version == q.version && fastrand::u32(0..100) < b.wrong_percent);
            let spoiler = Spoiler::new(b.and_then(|b| b.wrong), total);
            s.runs.insert(
                id.clone(),
                Run {
                    record,
                    pieces: vec![],
                    warm,
                    spoiler,
                    grown: watch::Sender::new(()),
                },
            );
        }
        id
    };
    actix_rt::spawn(work(r.clone(), q.clone(), run.clone()));
    resume(&r, &q, &run, 0)
}

/// Makes the pieces of a run, whoever reads them.
async fn work(r: Shared, q: GenerateRequest, id: String) {
    let (total, pieces, fails) = {
        let s = r.lock();
        let lane =
            s.p.lanes
                .iter()
                .find(|l| l.0 == q.lane)
                .or(s.p.lanes.first())
                .cloned();
        let (_, ms, n) = lane.unwrap_or((q.lane.clone(), 200, 4));
        let b = s
            .behaviour
            .iter()
            .find(|b| b.version == q.version && b.lane.as_ref().is_none_or(|l| *l == q.lane))
            .cloned();
        let warm = s.runs.get(&id).is_some_and(|x| x.warm) || q.prefixes.is_empty();
        // Reading a long prompt that is not in the cache doubles the time; a crowded replica is slower.
        let crowd =
            100 + 100 * u64::from(s.busy().saturating_sub(s.p.slots)) / u64::from(s.p.slots.max(1));
        let slow = 100 + u64::from(b.as_ref().map_or(0, |b| b.slow_percent));
        let fails = b.is_some_and(|b| fastrand::u32(0..100) < b.fail_percent);
        (
            ms * if warm { 1 } else { 2 } * crowd * slow / 10_000,
            n,
            fails,
        )
    };
    let at = fastrand::u64(0..pieces.max(1));
    let mut hash = String::new();
    for n in 1..=pieces {
        tokio::time::sleep(Duration::from_millis((total / pieces.max(1)).max(1))).await;
        if fails && n > at {
            break;
        }
        let t = text(&q, &id, n);
        hash += &t;
        if let Some(x) = r.lock().runs.get_mut(&id) {
            x.pieces.push(t);
            x.record.pieces = n;
            x.grown.send_replace(());
        }
    }
    let mut s = r.lock();
    if let Some(n) = s.busy.get_mut(&q.version) {
        *n = n.saturating_sub(1);
    }
    if let Some(x) = s.runs.get_mut(&id) {
        x.record.state = if fails {
            RunState::Failed
        } else {
            RunState::Done
        };
        x.record.digest = coordination::rendezvous::text_digest(&hash);
        x.grown.send_replace(());
    }
}

fn resume(r: &Shared, q: &GenerateRequest, run: &str, after: u64) -> Reply {
    let s = r.lock();
    let gone =
        || Fault::new("no_run", "resume", "this replica has no such run").outcome(Outcome::Unknown);
    // Nobody reads another request's run.
    let Some(x) = s.runs.get(run).filter(|x| x.record.request == q.request) else {
        return Err(gone().into());
    };
    if after > x.record.pieces {
        return Err(
            Fault::new("bad_request", "resume", "no such piece was sent")
                .field("resume.after")
                .outcome(Outcome::Unknown)
                .into(),
        );
    }
    let (tell, warm, version, spoiler) = (
        x.grown.subscribe(),
        x.warm,
        x.record.version.clone(),
        x.spoiler.clone(),
    );
    let start = StreamStart {
        request: q.request.clone(),
        run: run.into(),
        replica: s.p.id.clone(),
        version,
        warm,
    };
    drop(s);
    let first = StreamLine {
        start: Some(start),
        piece: None,
        end: None,
    };
    let st = (
        r.clone(),
        run.to_string(),
        after,
        tell,
        Some(first),
        false,
        spoiler,
    );
    let lines = futures_util::stream::unfold(
        st,
        |(r, id, at, mut tell, first, over, mut sp)| async move {
            if let Some(l) = first {
                return Some((bytes(&[l]), (r, id, at, tell, None, over, sp)));
            }
            if over || sp.closes(at) {
                return None;
            }
            loop {
                tell.borrow_and_update();
                let (l, over) = {
                    let s = r.lock();
                    let x = s.runs.get(&id)?;
                    match (x.pieces.get(at as usize), x.record.state) {
                        (Some(t), _) => (
                            Some(StreamLine {
                                start: None,
                                piece: Some(StreamPiece {
                                    n: at + 1,
                                    text: t.clone(),
                                }),
                                end: None,
                            }),
                            false,
                        ),
                        (None, RunState::Running) => (None, false),
                        (None, st) => {
                            let fault = (st == RunState::Failed).then(|| {
                                Fault::new("replica_failed", "generate", "the version failed")
                            });
                            let outcome = if fault.is_none() {
                                Outcome::Answered
                            } else {
                                Outcome::Unknown
                            };
                            (
                                Some(StreamLine {
                                    start: None,
                                    piece: None,
                                    end: Some(StreamEnd {
                                        outcome,
                                        pieces: x.record.pieces,
                                        digest: Some(x.record.digest.clone()),
                                        fault,
                                    }),
                                }),
                                true,
                            )
                        }
                    }
                };
                if let Some(l) = l {
                    let made = if over { at } else { at + 1 };
                    let sent = sp.lines(made, over, l);
                    return Some((bytes(&sent), (r, id, at + 1, tell, None, over, sp)));
                }
                if tell.changed().await.is_err() {
                    return None;
                }
            }
        },
    );
    Ok(HttpResponse::Ok()
        .content_type("application/x-ndjson")
        .streaming(Box::pin(lines)))
}

fn bytes(lines: &[StreamLine]) -> Result<Bytes, std::convert::Infallible> {
    let mut v = vec![];
    for l in lines {
        v.extend(serde_json::to_vec(l).unwrap_or_default());
        v.push(b'\n');
    }
    Ok(Bytes::from(v))
}

async fn runs(r: Shared) -> HttpResponse {
    let s = r.lock();
    let runs = s.runs.values().map(|x| x.record.clone()).collect();
    HttpResponse::Ok().json(ReplicaRuns {
        replica: s.p.id.clone(),
        zone: s.p.zone.clone(),
        runs,
    })
}

async fn behave(r: Shared, q: web::Json<Vec<Behaviour>>) -> HttpResponse {
    r.lock().behaviour = q.into_inner();
    HttpResponse::Ok().finish()
}

/// Path of the stand-in's own control, outside the schema.
pub const BEHAVE: &str = "/stand-in/behaviour";

/// Path of the stand-in platform's harming of its replicas, and what it takes.
pub const HARM: &str = "/stand-in/harm";

/// A signal to the nth of the platform's replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Harm {
    pub nth: usize,
    pub signal: i32,
}

pub fn routes(c: &mut web::ServiceConfig) {
    c.app_data(json_config())
        .route(calls::REPORT.1, web::get().to(report))
        .route(calls::ORDER.1, web::post().to(order))
        .route(calls::GENERATE.1, web::post().to(generate))
        .route(calls::RUNS.1, web::get().to(runs))
        .route(BEHAVE, web::put().to(behave))
        .default_service(web::to(no_such_path));
}
