//! The call that runs a request by named service. It passes stages: checked, claimed, assigned, called, and forwarded chunk
//! by chunk through a bounded buffer.

use std::{cell::OnceCell, convert::Infallible};

use actix_web::{
    HttpRequest, HttpResponse, ResponseError,
    http::ConnectionType,
    web::{self, Bytes},
};
use awc::Client;
use coordination::{
    Ms,
    claims::ABSTAINED,
    events,
    proxy::{Assignment, OutcomeClass, SLOW_FACTOR},
    request::{AttemptError, Request, Step, StepResult},
    stream::CheckedLine,
};
use daemon_parts::{clock, http::FaultResponse, limits::LINE_QUEUE_CAPACITY, logging::event};
use futures_util::stream;
use remote_calls::{Fault, Outcome, RunRequest, StreamLine};
use tokio::sync::mpsc;

use crate::{
    actor::{AssignReplica, AttemptEnded, ClaimRun},
    http::{ActorData, Reply, ask_actor, overloaded},
    rejection::abandoned,
    replica_stream::{ReplicaStream, call_replica},
    shared::lock,
    shutdown::{OpenRequest, ShutdownGate, shutdown_rejection},
};

type LineSender = mpsc::Sender<Result<Bytes, Infallible>>;

thread_local! {
    /// One client a thread; its connections to replicas are reused.
    static CLIENT: OnceCell<Client> = const { OnceCell::new() };
}

fn client() -> Client {
    CLIENT.with(|client| {
        client
            .get_or_init(|| Client::builder().disable_timeout().finish())
            .clone()
    })
}

/// Handles the call.
pub(crate) async fn run(
    actor: ActorData,
    gate: web::Data<ShutdownGate>,
    http_request: HttpRequest,
    run_request: web::Json<RunRequest>,
) -> Reply {
    let open_request = OpenRequest::new(&gate, &http_request, false);
    if !gate.try_accept() {
        let mut rejection = FaultResponse::from(shutdown_rejection()).error_response();
        rejection
            .head_mut()
            .set_connection_type(ConnectionType::Close);
        return Ok(rejection);
    }
    let run_request = run_request.into_inner();
    let deadline = clock::now() + run_request.time_left_ms;
    let mut request = Request::new(run_request, fastrand::u64(1..));
    let started = tokio::select! {
        biased;
        started = start(&actor, &mut request, deadline) => started,
        () = gate.grace_over() => Err(abandoned().1),
    };
    let started = match started {
        Ok(started) => started,
        Err(fault) => {
            event(events::REJECTED, "caller", &fault.to_string());
            return Err(fault.into());
        }
    };
    let (sender, lines) = mpsc::channel(LINE_QUEUE_CAPACITY);
    actix_rt::spawn(forward(actor, request.run_request, started, sender));
    Ok(line_response(lines, open_request, gate.has_begun()))
}

/// The response that streams the lines. The request is open until its caller has the last one.
fn line_response(
    lines: mpsc::Receiver<Result<Bytes, Infallible>>,
    open_request: OpenRequest,
    closes_connection: bool,
) -> HttpResponse {
    let body = stream::unfold((lines, open_request), async |(mut lines, open_request)| {
        Some((lines.recv().await?, (lines, open_request)))
    });
    let mut response = HttpResponse::Ok();
    if closes_connection {
        response.force_close();
    }
    response
        .content_type("application/x-ndjson")
        .streaming(body)
}

/// An attempt whose response has started.
struct StartedStream {
    assignment: Assignment,
    stream: ReplicaStream,
}

/// Carries out the steps of one request until it streams or its final answer is known.
async fn start(
    actor: &ActorData,
    request: &mut Request,
    deadline: Ms,
) -> Result<StartedStream, Fault> {
    let mut step = Step::Check;
    let mut started = None;
    loop {
        let result = match step {
            Step::Check => StepResult::Checked(check(actor, request).await?),
            Step::Claim { void } => StepResult::Claimed(claim(actor, request, void).await),
            Step::Assign => StepResult::Assigned(assign(actor, request, deadline).await),
            Step::Call(assignment) => {
                let called = call(actor, request, assignment, deadline).await;
                StepResult::Started(called.map(|stream| started = Some(stream)))
            }
            Step::DrawRetry => StepResult::RetryDrawn(draw_retry(actor, request).await),
            Step::Stream(assignment) => {
                let lost = || {
                    Fault::new("overload", "begin", "the round was lost").outcome(Outcome::Unknown)
                };
                let stream = started.take().ok_or_else(lost)?;
                return Ok(StartedStream { assignment, stream });
            }
            Step::Reply(fault) => return Err(fault),
        };
        step = request.next(result);
    }
}

async fn check(actor: &ActorData, request: &Request) -> Result<Result<u32, Fault>, Fault> {
    let run_request = request.run_request.clone();
    let checked = ask_actor(actor, move |actor, now| {
        lock(&actor.proxy).check_request(&run_request, now)
    })
    .await
    .map_err(|answer| answer.1)?;
    if checked.is_ok() {
        let count = ask_actor(actor, |actor, _| lock(&actor.proxy).count_first_attempt());
        let _ = count.await;
    }
    Ok(checked)
}

async fn claim(actor: &ActorData, request: &Request, void: bool) -> u8 {
    let (name, key_age_ms) = request.claimed_name();
    let claim = ClaimRun {
        request: name,
        attempt_seed: request.attempt_seed,
        void,
        key_age_ms,
    };
    actor.send(claim).await.unwrap_or(ABSTAINED)
}

async fn assign(actor: &ActorData, request: &Request, deadline: Ms) -> Result<Assignment, Fault> {
    if let Some(resume) = &request.run_request.resume {
        let run_request = request.run_request.clone();
        let replica = resume.replica.clone();
        let assignment = ask_actor(actor, move |actor, now| {
            lock(&actor.proxy).assign_resumed(&run_request, &replica, now)
        })
        .await
        .map_err(|answer| answer.1)?;
        return assignment.ok_or_else(|| {
            Fault::new("replica_gone", "resume", "the replica of this run is gone")
        });
    }
    let wanted = AssignReplica {
        request: request.run_request.clone(),
        rank: request.rank,
        time_left: deadline.saturating_sub(clock::now()),
        tried: request.tried.clone(),
    };
    actor
        .send(wanted)
        .await
        .unwrap_or_else(|error| Err(overloaded(error).1))
}

async fn call(
    actor: &ActorData,
    request: &Request,
    assignment: Assignment,
    deadline: Ms,
) -> Result<ReplicaStream, AttemptError> {
    if assignment.is_stale(clock::now()) {
        report_end(actor, assignment, OutcomeClass::ClientGone).await;
        return Err(AttemptError::StaleAssignment);
    }
    let called = call_replica(&client(), &request.run_request, &assignment, deadline).await;
    if let Err(error) = &called {
        event(
            events::ATTEMPT_FAILED,
            &assignment.replica,
            &error.to_string(),
        );
        report_end(actor, assignment, error.outcome_class()).await;
    }
    called
}

async fn report_end(actor: &ActorData, assignment: Assignment, outcome: OutcomeClass) {
    let ended = AttemptEnded {
        assignment,
        outcome,
    };
    let _ = actor.send(ended).await;
}

async fn draw_retry(actor: &ActorData, request: &Request) -> Result<(), Fault> {
    let rank = request.rank;
    let drawn = ask_actor(actor, move |actor, now| {
        let mut proxy = lock(&actor.proxy);
        if proxy.try_draw_named_retry(rank, now) {
            return Ok(());
        }
        let message = "the replica took nothing and no second round is left";
        Err(proxy.reject("full", "second_round", message))
    })
    .await
    .map_err(|answer| answer.1)?;
    let drawn_event = if drawn.is_ok() {
        events::RETRIED
    } else {
        events::RETRY_BUDGET_EXHAUSTED
    };
    event(drawn_event, "caller", &request.run_request.request);
    drawn
}

/// Forwards a response until its end; whatever is not the end mark ends as unknown.
async fn forward(
    actor: ActorData,
    run_request: RunRequest,
    started: StartedStream,
    sender: LineSender,
) {
    let StartedStream {
        assignment,
        mut stream,
    } = started;
    let expected_ms = ask_actor(&actor, move |actor, _| {
        lock(&actor.proxy).expected_ms(&run_request.service, &run_request.lane)
    })
    .await
    .unwrap_or(0);
    let outcome = loop {
        let (line, outcome) = match stream.next().await {
            CheckedLine::Forward(line) => (line, None),
            CheckedLine::End(line) => (line, Some(completed_class(&assignment, expected_ms))),
            CheckedLine::Broken(line) => {
                let reason = fault_text(&line);
                event(events::ATTEMPT_FAILED, &assignment.replica, &reason);
                (line, Some(OutcomeClass::Failed))
            }
        };
        let mut bytes = serde_json::to_vec(&line).unwrap_or_default();
        bytes.push(b'\n');
        // A caller that left leaves its replica too; this says nothing about the version.
        if sender.send(Ok(Bytes::from(bytes))).await.is_err() {
            break outcome.unwrap_or(OutcomeClass::ClientGone);
        }
        if let Some(outcome) = outcome {
            break outcome;
        }
    };
    report_end(&actor, assignment, outcome).await;
}

fn completed_class(assignment: &Assignment, expected_ms: Ms) -> OutcomeClass {
    let took = clock::now().saturating_sub(assignment.assigned_at);
    if expected_ms > 0 && took > expected_ms * SLOW_FACTOR {
        OutcomeClass::Slow
    } else {
        OutcomeClass::Succeeded
    }
}

fn fault_text(line: &StreamLine) -> String {
    let fault = line.end.as_ref().and_then(|end| end.fault.as_ref());
    fault.map_or(String::new(), ToString::to_string)
}
