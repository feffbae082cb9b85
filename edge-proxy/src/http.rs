//! Callers' calls. A request passes stages: checked, claimed, placed, run, passed on piece by piece
//! through a bounded buffer.

use std::cell::OnceCell;

use actix::Addr;
use actix_web::{
    HttpRequest, HttpResponse, ResponseError,
    guard::{GuardContext, fn_guard},
    http::ConnectionType,
    web,
    web::Bytes,
};
use awc::Client;
use coordination::{
    Ms, claims, events,
    proxy::{Assignment, OutcomeClass, SLOW_FACTOR},
    request::{AttemptError, Request, Step, StepResult},
    stream::CheckedLine,
};
use daemon_parts::{
    clock,
    http::{Answer, json_config, no_such_path},
    limits::LINES,
    logging::event,
    look::Look,
};
use remote_calls::{Counter, Counters, Fault, Health, NominateRequest, Outcome, RunRequest, calls};
use tokio::sync::mpsc;

use crate::{
    actor::{AssignReplica, AttemptEnded, ClaimRun, ProxyActor},
    listener::{self, Listener},
    rejection::abandoned,
    replica_stream::{self, ReplicaStream},
    shared::lock,
    shutdown::{OpenRequest, ShutdownGate, shutdown_rejection},
};

type Brain = web::Data<Addr<ProxyActor>>;
type Reply = Result<HttpResponse, Answer>;
type Lines = mpsc::Sender<Result<Bytes, std::convert::Infallible>>;

thread_local! {
    /// One client a thread; its connections to replicas are reused.
    static CLIENT: OnceCell<Client> = const { OnceCell::new() };
}
fn client() -> Client {
    CLIENT.with(|c| {
        c.get_or_init(|| Client::builder().disable_timeout().finish())
            .clone()
    })
}

fn busy<E>(_: E) -> Answer {
    Fault::new("overload", "ask_owner", "the proxy's buffer is full")
        .retry(1_000)
        .outcome(Outcome::NotRun)
        .into()
}

async fn look<T: Send + 'static>(
    b: &Brain,
    f: impl FnOnce(&mut ProxyActor, Ms) -> T + Send + 'static,
) -> Result<T, Answer> {
    b.send(Look(Box::new(f))).await.map_err(busy)?.map_err(busy)
}

async fn nominate(b: Brain, q: web::Json<NominateRequest>) -> Reply {
    let q = q.into_inner();
    let mut r = look(&b, move |a, now| lock(&a.brain).nominate(&q, now)).await?;
    if let Err(f) = &mut r {
        // Nothing was nominated: there is no request yet that could run or not.
        f.outcome = None;
        event(events::REJECTED, "caller", &f.to_string());
    }
    Ok(HttpResponse::Ok().json(r?))
}

/// Does the steps of one request until it streams or its final answer is known.
async fn steps(
    b: &Brain,
    r: &mut Request,
    until: Ms,
) -> Result<(Assignment, ReplicaStream), Fault> {
    let mut step = Step::Check;
    let mut begun = None;
    loop {
        let got = match step {
            Step::Check => {
                let q = r.run_request.clone();
                let checked = look(b, move |a, now| lock(&a.brain).check_request(&q, now))
                    .await
                    .map_err(|a| a.1)?;
                if checked.is_ok() {
                    let _ = look(b, |a, _| lock(&a.brain).count_first_attempt()).await;
                }
                StepResult::Checked(checked)
            }
            Step::Claim { void } => {
                let (request, age) = r.claimed_name();
                let ask = ClaimRun {
                    request,
                    round: r.attempt_seed,
                    void,
                    age,
                };
                StepResult::Claimed(b.send(ask).await.unwrap_or(claims::ABSTAINED))
            }
            Step::Assign => StepResult::Assigned(place(b, r, until).await),
            Step::Call(p) if p.is_stale(clock::now()) => {
                let _ = b.send(AttemptEnded(p, OutcomeClass::ClientGone)).await;
                StepResult::Started(Err(AttemptError::StaleAssignment))
            }
            Step::Call(p) => {
                let x = replica_stream::call_replica(&client(), &r.run_request, &p, until).await;
                if let Err(e) = &x {
                    event(events::ATTEMPT_FAILED, &p.replica, &e.to_string());
                    let _ = b.send(AttemptEnded(p, e.outcome_class())).await;
                }
                StepResult::Started(x.map(|round| begun = Some(round)))
            }
            Step::DrawRetry => {
                StepResult::RetryDrawn(budget(b, r.rank, &r.run_request.request).await)
            }
            Step::Stream(p) => match begun.take() {
                Some(round) => return Ok((p, round)),
                None => {
                    return Err(Fault::new("overload", "begin", "the round was lost")
                        .outcome(Outcome::Unknown));
                }
            },
            Step::Reply(f) => return Err(f),
        };
        step = r.next(got);
    }
}

async fn place(b: &Brain, r: &Request, until: Ms) -> Result<Assignment, Fault> {
    if let Some(at) = &r.run_request.resume {
        let (q, id) = (r.run_request.clone(), at.replica.clone());
        let found = look(b, move |a, now| lock(&a.brain).assign_resumed(&q, &id, now))
            .await
            .map_err(|a| a.1)?;
        return found.ok_or_else(|| {
            Fault::new("replica_gone", "resume", "the replica of this run is gone")
        });
    }
    let time_left = until.saturating_sub(clock::now());
    let m = AssignReplica {
        q: r.run_request.clone(),
        rank: r.rank,
        time_left,
        tried: r.tried.clone(),
    };
    b.send(m).await.unwrap_or_else(|e| Err(busy(e).1))
}

async fn budget(b: &Brain, rank: u32, request: &str) -> Result<(), Fault> {
    let r = look(b, move |a, now| {
        let mut b = lock(&a.brain);
        if b.try_draw_named_retry(rank, now) {
            return Ok(());
        }
        Err(b.reject(
            "full",
            "second_round",
            "the replica took nothing and no second round is left",
        ))
    });
    let r = r.await.map_err(|a| a.1)?;
    let e = if r.is_ok() {
        events::RETRIED
    } else {
        events::RETRY_BUDGET_EXHAUSTED
    };
    event(e, "caller", request);
    r
}

/// Passes a begun round on until its end; whatever is not the end mark ends as unknown.
async fn pass_on(b: Brain, q: RunRequest, p: Assignment, mut r: ReplicaStream, out: Lines) {
    let expected = look(&b, move |a, _| {
        lock(&a.brain).expected_ms(&q.service, &q.lane)
    })
    .await
    .unwrap_or(0);
    let ended = loop {
        let (l, end) = match r.next().await {
            CheckedLine::Forward(l) => (l, None),
            CheckedLine::End(l) => {
                let slow = expected > 0
                    && clock::now().saturating_sub(p.assigned_at) > expected * SLOW_FACTOR;
                (
                    l,
                    Some(if slow {
                        OutcomeClass::Slow
                    } else {
                        OutcomeClass::Succeeded
                    }),
                )
            }
            CheckedLine::Broken(l) => {
                let f = l
                    .end
                    .as_ref()
                    .and_then(|e| e.fault.as_ref())
                    .map(|f| f.to_string());
                event(events::ATTEMPT_FAILED, &p.replica, &f.unwrap_or_default());
                (l, Some(OutcomeClass::Failed))
            }
        };
        let mut v = serde_json::to_vec(&l).unwrap_or_default();
        v.push(b'\n');
        // A caller that left leaves its replica too; nothing is said about the version.
        if out.send(Ok(Bytes::from(v))).await.is_err() {
            break end.unwrap_or(OutcomeClass::ClientGone);
        }
        if let Some(e) = end {
            break e;
        }
    };
    let _ = b.send(AttemptEnded(p, ended)).await;
}

async fn run(
    b: Brain,
    stopping: web::Data<ShutdownGate>,
    r: HttpRequest,
    q: web::Json<RunRequest>,
) -> Reply {
    let q = q.into_inner();
    let open = OpenRequest::new(&stopping, &r);
    if !stopping.try_accept() {
        let mut refused = Answer::from(shutdown_rejection()).error_response();
        refused
            .head_mut()
            .set_connection_type(ConnectionType::Close);
        return Ok(refused);
    }
    let until = clock::now() + q.time_left_ms;
    let mut r = Request::new(q, fastrand::u64(1..));
    let begun = tokio::select! {
        biased;
        begun = steps(&b, &mut r, until) => begun,
        () = stopping.grace_over() => Err(abandoned().1),
    };
    let (p, round) = match begun {
        Ok(x) => x,
        Err(f) => {
            event(events::REJECTED, "caller", &f.to_string());
            return Err(f.into());
        }
    };
    let (s, lines) = mpsc::channel(LINES);
    actix_rt::spawn(pass_on(b, r.run_request, p, round, s));
    // The request is open until its caller has the last line.
    let body = futures_util::stream::unfold((lines, open), async |(mut lines, open)| {
        Some((lines.recv().await?, (lines, open)))
    });
    let mut answer = HttpResponse::Ok();
    if stopping.is_begun() {
        answer.force_close();
    }
    Ok(answer.content_type("application/x-ndjson").streaming(body))
}

async fn health(b: Brain) -> Reply {
    let (name, ok) = look(&b, |a, now| {
        (a.name.clone(), lock(&a.brain).is_ready(now) && !a.stopping)
    })
    .await?;
    let detail = if ok { "serves" } else { "may not serve now" }.into();
    let mut r = if ok {
        HttpResponse::Ok()
    } else {
        HttpResponse::ServiceUnavailable()
    };
    Ok(r.json(Health {
        ok,
        process: name,
        detail,
    }))
}

async fn counters(b: Brain) -> Reply {
    let (process, v) = look(&b, |a, now| {
        let b = lock(&a.brain);
        let mut v: Vec<(String, u64)> = b
            .counters
            .iter()
            .map(|(n, v)| (n.to_string(), *v))
            .collect();
        v.push(("spec_version".into(), b.spec_version()));
        for t in b.full_report(now).counters.0 {
            let at = format!(
                "{}/{}/{}/{}/{}",
                t.service,
                t.version,
                t.lane,
                if t.cached == 1 { "warm" } else { "cold" },
                t.group
            );
            v.extend([
                (format!("sent/{at}"), t.sent),
                (format!("ok/{at}"), t.succeeded),
                (format!("failed/{at}"), t.failed),
                (format!("slow/{at}"), t.slow),
            ]);
        }
        (a.name.clone(), v)
    })
    .await?;
    let counters = v
        .into_iter()
        .map(|(name, value)| Counter { name, value })
        .collect();
    Ok(HttpResponse::Ok().json(Counters { process, counters }))
}

pub fn routes(c: &mut web::ServiceConfig) {
    own(c);
    c.default_service(web::to(no_such_path));
}

/// The product's own calls.
fn own(c: &mut web::ServiceConfig) {
    c.app_data(json_config())
        .route(calls::NOMINATE.1, web::post().to(nominate))
        .route(calls::RUN.1, web::post().to(run))
        .route(calls::HEALTH.1, web::get().to(health))
        .route(calls::COUNTERS.1, web::get().to(counters));
}

/// The product's own calls where no lane takes their path, and requests by host and path.
pub fn routes_and_lanes(c: &mut web::ServiceConfig, f: Listener) {
    let brain = f.proxy.clone();
    let free = move |g: &GuardContext| {
        let path = g.head().uri.path();
        let ours = [calls::NOMINATE, calls::RUN, calls::HEALTH, calls::COUNTERS]
            .iter()
            .any(|c| c.1 == path);
        let host = g
            .head()
            .headers
            .get("host")
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default();
        ours && lock(&brain).find_lane(host, path, clock::now()).is_err()
    };
    c.app_data(web::Data::from(f.shutdown.clone()))
        .app_data(web::Data::new(f))
        .service(web::scope("").guard(fn_guard(free)).configure(own))
        .default_service(web::to(listener::handle_request));
}
