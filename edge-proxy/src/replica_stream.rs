//! One round's transport: a request's call to a replica and the lines that come back.

use std::{pin::Pin, time::Duration};

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
    limits::{LINE_MAX, OPEN_LIMIT},
};
use futures_util::{Stream, StreamExt};
use remote_calls::{Fault, GenerateRequest, Outcome, RunRequest, StreamLine, calls};

type Body = Pin<Box<dyn Stream<Item = Result<Bytes, awc::error::PayloadError>>>>;

/// A begun round: lines come one at a time.
pub struct ReplicaStream {
    lines: LineChecker,
    body: Body,
    buffer: Vec<u8>,
    until: Ms,
}

/// Begins a round. Connecting is told apart from sending: before it nothing can have reached the replica.
pub async fn call_replica(
    c: &Client,
    q: &RunRequest,
    p: &Assignment,
    until: Ms,
) -> Result<ReplicaStream, AttemptError> {
    let left = until.saturating_sub(clock::now());
    let body = GenerateRequest {
        request: q.request.clone(),
        service: q.service.clone(),
        lane: q.lane.clone(),
        version: p.version.clone(),
        home: q.homes.clone(),
        prefixes: q.prefixes.clone(),
        prompt: q.prompt.clone(),
        time_left_ms: left,
        resume: q.resume.clone(),
    };
    // A probe of the connection keeps "nothing was sent" provable for the commonest failure, a dead replica.
    let open = tokio::time::timeout(
        Duration::from_millis(OPEN_LIMIT.min(left)),
        tokio::net::TcpStream::connect(&*p.addr),
    )
    .await;
    let fault = |code: &str, m: String| Fault::new(code, "call_replica", m).peer(p.replica.clone());
    if !matches!(open, Ok(Ok(_))) {
        return Err(AttemptError::NotRun(fault(
            "replica_gone",
            "no connection".into(),
        )));
    }
    let r = c
        .post(format!("http://{}{}", p.addr, calls::GENERATE.1))
        .timeout(Duration::from_millis(left.max(1)));
    let mut a = r
        .send_json(&body)
        .await
        .map_err(|e| AttemptError::Unknown(fault("replica_lost", e.to_string())))?;
    if !a.status().is_success() {
        let b = a.body().limit(LINE_MAX).await.unwrap_or_default();
        // Only the replica's own word that it did not run counts; any other failure may have run.
        return Err(match serde_json::from_slice::<Fault>(&b) {
            Ok(f) if f.outcome == Some(Outcome::NotRun) => {
                AttemptError::NotRun(f.peer(p.replica.clone()))
            }
            Ok(f) => AttemptError::Unknown(f.peer(p.replica.clone())),
            Err(_) => {
                AttemptError::Unknown(fault("replica_failed", format!("status {}", a.status())))
            }
        });
    }
    let lines = LineChecker::new(&q.request, &p.replica, q.resume.as_ref());
    Ok(ReplicaStream {
        lines,
        body: Box::pin(a),
        buffer: vec![],
        until,
    })
}

impl ReplicaStream {
    pub async fn next(&mut self) -> CheckedLine {
        loop {
            if let Some(i) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=i).collect();
                return match serde_json::from_slice::<StreamLine>(&line) {
                    Ok(l) => self.lines.check(l),
                    Err(_) => self.lines.broken("bad_stream", "a line is no stream line"),
                };
            }
            if self.buffer.len() > LINE_MAX {
                return self.lines.broken("bad_stream", "a line is too long");
            }
            let left = Duration::from_millis(self.until.saturating_sub(clock::now()));
            match tokio::time::timeout(left, self.body.next()).await {
                Ok(Some(Ok(b))) => self.buffer.extend_from_slice(&b),
                Ok(Some(Err(e))) => return self.lines.broken("replica_lost", e.to_string()),
                Ok(None) => {
                    return self
                        .lines
                        .broken("no_end_mark", "the stream ended without its end mark");
                }
                Err(_) => return self.lines.broken("no_time", "the time left ran out"),
            }
        }
    }
}
