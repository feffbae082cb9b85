//! Callers' calls. A request passes stages: checked, claimed, placed, run, passed on piece by piece
//! through a bounded buffer.

use std::cell::OnceCell;

use actix::Addr;
use actix_web::{HttpResponse, web, web::Bytes};
use awc::Client;
use coordination::{
    Ms, claims, events,
    proxy::{Ended, Placed, SLOW_FACTOR},
};
use daemon_parts::{
    clock,
    http::{Answer, json_config, no_such_path},
    limits::CALL_LIMIT,
    logging::event,
    look::Look,
};
use remote_calls::{Counter, Counters, Fault, Health, NominateRequest, Outcome, RunRequest, StreamEnd, StreamLine, calls};
use tokio::sync::mpsc;

use crate::{
    actor::{AskClaim, Done, FindPlace, ProxyActor},
    round::{self, Next, NotBegun, Round},
};

type Brain = web::Data<Addr<ProxyActor>>;
type Reply = Result<HttpResponse, Answer>;
type Lines = mpsc::Sender<Result<Bytes, std::convert::Infallible>>;

/// Lines that wait for a slow caller before its replica is slowed too.
const LINES: usize = 32;

thread_local! {
    /// One client a thread; its connections to replicas are reused.
    static CLIENT: OnceCell<Client> = const { OnceCell::new() };
}
fn client() -> Client {
    CLIENT.with(|c| c.get_or_init(|| Client::builder().disable_timeout().finish()).clone())
}

fn busy<E>(_: E) -> Answer {
    Fault::new("overload", "ask_owner", "the proxy's buffer is full").retry(1_000).outcome(Outcome::NotRun).into()
}

async fn look<T: Send + 'static>(b: &Brain, f: impl FnOnce(&mut ProxyActor, Ms) -> T + Send + 'static) -> Result<T, Answer> {
    b.send(Look(Box::new(f))).await.map_err(busy)?.map_err(busy)
}

async fn nominate(b: Brain, q: web::Json<NominateRequest>) -> Reply {
    let q = q.into_inner();
    let mut r = look(&b, move |a, now| a.brain.nominate(&q, now)).await?;
    if let Err(f) = &mut r {
        // Nothing was nominated: there is no request yet that could run or not.
        f.outcome = None;
        event(events::REJECTED, "caller", &f.to_string());
    }
    Ok(HttpResponse::Ok().json(r?))
}

/// What is known of a request that will not be run here.
struct Run {
    b: Brain,
    q: RunRequest,
    round: u64,
    until: Ms,
    rank: u32,
}

impl Run {
    /// "Not run" must stay true: for a run-once request a majority voids the id before it is said.
    async fn not_run(&self, mut f: Fault) -> Fault {
        f.outcome = Some(Outcome::NotRun);
        if !self.q.run_once || claims::holders(&self.q.request).is_none() {
            return f;
        }
        let ask = AskClaim { request: self.q.request.clone(), round: self.round, void: true };
        match self.b.send(ask).await.unwrap_or(claims::ABSTAINS) {
            claims::GRANTED | claims::VOIDED => f,
            _ => {
                f.outcome = Some(Outcome::Unknown);
                f
            }
        }
    }

    async fn claim(&self) -> Result<(), Fault> {
        // A resume reads on in a run that was claimed when it began.
        if !self.q.run_once || self.q.resume.is_some() {
            return Ok(());
        }
        let ask = AskClaim { request: self.q.request.clone(), round: self.round, void: false };
        let f = |code: &str, m: &str| Fault::new(code, "claim", m);
        match self.b.send(ask).await.unwrap_or(claims::ABSTAINS) {
            claims::GRANTED => Ok(()),
            claims::VOIDED => Err(f("voided", "the request was given up before and never runs").outcome(Outcome::NotRun)),
            claims::TAKEN => {
                Err(f("claimed", "another round of this request may have run or may be running").outcome(Outcome::Unknown))
            }
            _ => Err(self.not_run(f("no_claim", "no majority of the claim's holders answered").retry(1_000)).await),
        }
    }

    async fn place(&self, tried: &[String]) -> Result<Placed, Fault> {
        if let Some(r) = &self.q.resume {
            let (q, id) = (self.q.clone(), r.replica.clone());
            let found = look(&self.b, move |a, now| a.brain.resume(&q, &id, now)).await.map_err(|a| a.1)?;
            return found.ok_or_else(|| {
                Fault::new("replica_gone", "resume", "the replica of this run is gone").outcome(Outcome::Unknown)
            });
        }
        let time_left = self.until.saturating_sub(clock::now());
        let m = FindPlace { q: self.q.clone(), rank: self.rank, time_left, tried: tried.to_vec() };
        self.b.send(m).await.unwrap_or_else(|e| Err(busy(e).1))
    }

    /// Finds a replica that begins the request: a second only if the first certainly ran nothing.
    async fn begin(&self) -> Result<(Placed, Round), Fault> {
        let mut tried = Vec::new();
        loop {
            let p = match self.place(&tried).await {
                Ok(p) => p,
                Err(f) if f.outcome == Some(Outcome::Unknown) => return Err(f),
                Err(f) => return Err(self.not_run(f).await),
            };
            let f = match round::begin(&client(), &self.q, &p, self.until).await {
                Ok(r) => return Ok((p, r)),
                Err(NotBegun::Unknown(f)) => {
                    event(events::ROUND_FAILED, &p.replica, &f.to_string());
                    let _ = self.b.send(Done(p, Ended::Failed)).await;
                    return Err(f.outcome(Outcome::Unknown));
                }
                Err(NotBegun::NotRun(f)) => f,
            };
            let ended = if f.code == "busy" { Ended::Busy } else { Ended::Dropped };
            event(events::ROUND_FAILED, &p.replica, &f.to_string());
            tried.push(p.replica.clone());
            let _ = self.b.send(Done(p, ended)).await;
            let again = self.q.resume.is_none() && look(&self.b, |a, _| a.brain.second_round()).await.unwrap_or(false);
            if !again {
                event(events::NO_BUDGET, "caller", &self.q.request);
                let f = match look(&self.b, |a, _| {
                    a.brain.reject("full", "second_round", "the replica took nothing and no second round is left")
                })
                .await
                {
                    Ok(r) => r,
                    Err(_) => f.retry(1_000),
                };
                return Err(self.not_run(f).await);
            }
            event(events::SECOND_ROUND, "caller", &self.q.request);
        }
    }

    /// Passes a begun round on until its end; whatever is not the end mark ends as unknown.
    async fn pass_on(self, p: Placed, mut r: Round, out: Lines) {
        let line = |l: &StreamLine| {
            let mut v = serde_json::to_vec(l).unwrap_or_default();
            v.push(b'\n');
            Ok(Bytes::from(v))
        };
        let expected = look(&self.b, {
            let (s, l) = (self.q.service.clone(), self.q.lane.clone());
            move |a, _| a.brain.expected(&s, &l)
        });
        let expected = expected.await.unwrap_or(0);
        let mut pieces = 0;
        let ended = loop {
            let (l, end) = match r.next().await {
                Next::Start(s) => (StreamLine { start: Some(s), piece: None, end: None }, None),
                Next::Line(l) => {
                    pieces += 1;
                    (l, None)
                }
                Next::End(l) => {
                    let slow = expected > 0 && clock::now().saturating_sub(p.at) > expected * SLOW_FACTOR;
                    (l, Some(if slow { Ended::Slow } else { Ended::Answered }))
                }
                Next::Broken(f) => {
                    event(events::ROUND_FAILED, &p.replica, &f.to_string());
                    let e = StreamEnd { outcome: Outcome::Unknown, pieces, fault: Some(f) };
                    (StreamLine { start: None, piece: None, end: Some(e) }, Some(Ended::Failed))
                }
            };
            // A caller that left leaves its replica too; nothing is said about the version.
            if out.send(line(&l)).await.is_err() {
                break end.unwrap_or(Ended::Dropped);
            }
            if let Some(e) = end {
                break e;
            }
        };
        let _ = self.b.send(Done(p, ended)).await;
    }
}

async fn run(b: Brain, q: web::Json<RunRequest>) -> Reply {
    let q = q.into_inner();
    let until = clock::now() + q.time_left_ms;
    let mut run = Run { b, round: fastrand::u64(1..), until, rank: 0, q };
    let begun = async {
        let q = run.q.clone();
        let checked = look(&run.b, move |a, now| a.brain.check(&q, now)).await.map_err(|a| a.1)?;
        run.rank = match checked {
            Ok(r) => r,
            Err(f) => return Err(run.not_run(f).await),
        };
        run.claim().await?;
        let _ = look(&run.b, |a, _| a.brain.first_round()).await;
        run.begin().await
    };
    let (p, r) = match begun.await {
        Ok(x) => x,
        Err(f) => {
            event(events::REJECTED, "caller", &f.to_string());
            return Err(f.into());
        }
    };
    let (s, lines) = mpsc::channel(LINES);
    actix_rt::spawn(run.pass_on(p, r, s));
    let body = futures_util::stream::unfold(lines, |mut r| async { r.recv().await.map(|x| (x, r)) });
    Ok(HttpResponse::Ok().content_type("application/x-ndjson").streaming(body))
}

async fn health(b: Brain) -> Reply {
    let (name, ok) = look(&b, |a, now| (a.name.clone(), a.brain.ready(now) && !a.stopping)).await?;
    let detail = if ok { "serves" } else { "may not serve now" }.into();
    let mut r = if ok { HttpResponse::Ok() } else { HttpResponse::ServiceUnavailable() };
    Ok(r.json(Health { ok, process: name, detail }))
}

async fn counters(b: Brain) -> Reply {
    let (process, v) = look(&b, |a, _| {
        let mut v: Vec<(String, u64)> = a.brain.counters.iter().map(|(n, v)| (n.to_string(), *v)).collect();
        v.push(("spec_version".into(), a.brain.spec_version()));
        for t in a.brain.hello().tallies.0 {
            let at = format!("{}/{}/{}/{}/{}", t.service, t.version, t.lane, if t.warm == 1 { "warm" } else { "cold" }, t.group);
            v.extend([
                (format!("sent/{at}"), t.sent),
                (format!("ok/{at}"), t.ok),
                (format!("failed/{at}"), t.failed),
                (format!("slow/{at}"), t.slow),
            ]);
        }
        (a.name.clone(), v)
    })
    .await?;
    let counters = v.into_iter().map(|(name, value)| Counter { name, value }).collect();
    Ok(HttpResponse::Ok().json(Counters { process, counters }))
}

pub fn routes(c: &mut web::ServiceConfig) {
    c.app_data(json_config())
        .route(calls::NOMINATE.1, web::post().to(nominate))
        .route(calls::RUN.1, web::post().to(run))
        .route(calls::HEALTH.1, web::get().to(health))
        .route(calls::COUNTERS.1, web::get().to(counters))
        .default_service(web::to(no_such_path));
}

/// How long a stopping proxy lets its last counts reach the agent.
pub const FAREWELL: std::time::Duration = CALL_LIMIT;
