//! The transport of an attempt by named service: the call to a replica and the lines that come back.

use std::{fmt::Display, pin::Pin, time::Duration};

use actix_web::web::Bytes;
use awc::Client;
use coordination::{
    Ms,
    proxy::Assignment,
    request::AttemptError,
    stream::{CheckedLine, LineChecker},
};
use daemon_parts::{
    clock,
    limits::{MAX_LINE_BYTES, REPLICA_CONNECT_TIMEOUT},
};
use futures_util::{Stream, StreamExt};
use remote_calls::{Fault, GenerateRequest, Outcome, RunRequest, StreamLine, calls};
use tokio::{net::TcpStream, time::timeout};

type Body = Pin<Box<dyn Stream<Item = Result<Bytes, awc::error::PayloadError>>>>;

/// A response that has started: lines come one at a time.
pub struct ReplicaStream {
    checker: LineChecker,
    body: Body,
    buffer: Vec<u8>,
    deadline: Ms,
}

fn replica_fault(assignment: &Assignment, code: &str, message: impl Display) -> Fault {
    Fault::new(code, "call_replica", message.to_string()).peer(assignment.replica.clone())
}

/// Connecting on its own keeps "nothing was sent" provable for the commonest failure, a dead replica.
async fn check_connects(assignment: &Assignment, time_left: Ms) -> Result<(), AttemptError> {
    let connect_limit = Duration::from_millis(REPLICA_CONNECT_TIMEOUT.min(time_left));
    match timeout(connect_limit, TcpStream::connect(&*assignment.addr)).await {
        Ok(Ok(_)) => Ok(()),
        _ => Err(AttemptError::NotRun(replica_fault(
            assignment,
            "replica_gone",
            "no connection",
        ))),
    }
}

/// What a response that is no success means. Only the replica's own word that it did not run counts; after any other
/// failure it may have run.
fn response_error(assignment: &Assignment, status: impl Display, body: &[u8]) -> AttemptError {
    match serde_json::from_slice::<Fault>(body) {
        Ok(fault) if fault.outcome == Some(Outcome::NotRun) => {
            AttemptError::NotRun(fault.peer(assignment.replica.clone()))
        }
        Ok(fault) => AttemptError::Unknown(fault.peer(assignment.replica.clone())),
        Err(_) => {
            let message = format!("status {status}");
            AttemptError::Unknown(replica_fault(assignment, "replica_failed", message))
        }
    }
}

fn generate_request(
    request: &RunRequest,
    assignment: &Assignment,
    time_left: Ms,
) -> GenerateRequest {
    GenerateRequest {
        request: request.request.clone(),
        service: request.service.clone(),
        lane: request.lane.clone(),
        version: assignment.version.clone(),
        home: request.homes.clone(),
        prefixes: request.prefixes.clone(),
        prompt: request.prompt.clone(),
        time_left_ms: time_left,
        resume: request.resume.clone(),
    }
}

/// Calls a replica until its response starts.
///
/// # Errors
/// Whether it certainly did not run the request, or may have.
pub async fn call_replica(
    client: &Client,
    request: &RunRequest,
    assignment: &Assignment,
    deadline: Ms,
) -> Result<ReplicaStream, AttemptError> {
    let time_left = deadline.saturating_sub(clock::now());
    let generate = generate_request(request, assignment, time_left);
    check_connects(assignment, time_left).await?;
    let url = format!("http://{}{}", assignment.addr, calls::GENERATE.1);
    let mut response = client
        .post(url)
        .timeout(Duration::from_millis(time_left.max(1)))
        .send_json(&generate)
        .await
        .map_err(|error| AttemptError::Unknown(replica_fault(assignment, "replica_lost", error)))?;
    if !response.status().is_success() {
        let body = response
            .body()
            .limit(MAX_LINE_BYTES)
            .await
            .unwrap_or_default();
        return Err(response_error(assignment, response.status(), &body));
    }
    Ok(ReplicaStream {
        checker: LineChecker::new(
            &request.request,
            &assignment.replica,
            request.resume.as_ref(),
        ),
        body: Box::pin(response),
        buffer: vec![],
        deadline,
    })
}

impl ReplicaStream {
    /// The next line, checked.
    pub async fn next(&mut self) -> CheckedLine {
        loop {
            if let Some(line) = self.take_buffered_line() {
                return match serde_json::from_slice::<StreamLine>(&line) {
                    Ok(line) => self.checker.check(line),
                    Err(_) => self
                        .checker
                        .broken("bad_stream", "a line is no stream line"),
                };
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return self.checker.broken("bad_stream", "a line is too long");
            }
            let time_left = Duration::from_millis(self.deadline.saturating_sub(clock::now()));
            match timeout(time_left, self.body.next()).await {
                Ok(Some(Ok(bytes))) => self.buffer.extend_from_slice(&bytes),
                Ok(Some(Err(error))) => {
                    return self.checker.broken("replica_lost", error.to_string());
                }
                Ok(None) => {
                    let message = "the stream ended without its end mark";
                    return self.checker.broken("no_end_mark", message);
                }
                Err(_) => return self.checker.broken("no_time", "the time left ran out"),
            }
        }
    }

    fn take_buffered_line(&mut self) -> Option<Vec<u8>> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        Some(self.buffer.drain(..=end).collect())
    }
}
