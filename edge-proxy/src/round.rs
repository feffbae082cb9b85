//! One round: a request's call to a replica, read line by line and checked before anything is passed on.

use std::{pin::Pin, time::Duration};

use actix_web::web::Bytes;
use awc::Client;
use coordination::{Ms, proxy::Placed};
use daemon_parts::clock;
use futures_util::{Stream, StreamExt};
use remote_calls::{Fault, GenerateRequest, Outcome, RunRequest, StreamLine, StreamStart, calls};

/// Longest line a replica may send, in bytes.
const LINE_MAX: usize = 256 << 10;
/// ms. Opening a connection to a replica.
const OPEN_LIMIT: Ms = 400;

type Body = Pin<Box<dyn Stream<Item = Result<Bytes, awc::error::PayloadError>>>>;

/// Why a round could not be begun.
#[derive(Debug)]
pub enum NotBegun {
    /// The replica said that it runs nothing of it, or no connection was opened: certainly not run.
    NotRun(Fault),
    /// A byte may have reached the replica.
    Unknown(Fault),
}

/// A begun round: lines come one at a time.
pub struct Round {
    request: String,
    replica: String,
    body: Body,
    buffer: Vec<u8>,
    next: u64,
    until: Ms,
    over: bool,
}

/// What a round gave next.
#[derive(Debug)]
pub enum Next {
    Start(StreamStart),
    Line(StreamLine),
    /// The end mark, whole.
    End(StreamLine),
    /// No whole answer will come.
    Broken(Fault),
}

/// Begins a round. Connecting is told apart from sending: before it nothing can have reached the replica.
pub async fn begin(c: &Client, q: &RunRequest, p: &Placed, until: Ms) -> Result<Round, NotBegun> {
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
    let open = tokio::time::timeout(Duration::from_millis(OPEN_LIMIT.min(left)), tokio::net::TcpStream::connect(&*p.addr)).await;
    let fault = |code: &str, m: String| Fault::new(code, "call_replica", m).peer(p.replica.clone());
    if !matches!(open, Ok(Ok(_))) {
        return Err(NotBegun::NotRun(fault("replica_gone", "no connection".into())));
    }
    let r = c.post(format!("http://{}{}", p.addr, calls::GENERATE.1)).timeout(Duration::from_millis(left.max(1)));
    let a = r.send_json(&body).await.map_err(|e| NotBegun::Unknown(fault("replica_lost", e.to_string())))?;
    let mut a = a;
    if !a.status().is_success() {
        let b = a.body().limit(LINE_MAX).await.unwrap_or_default();
        let f = serde_json::from_slice::<Fault>(&b).map(|f| f.peer(p.replica.clone()));
        // Only the replica's own word that it did not run counts; any other failure may have run.
        return Err(match f {
            Ok(f) if f.outcome == Some(Outcome::NotRun) => NotBegun::NotRun(f),
            Ok(f) => NotBegun::Unknown(f),
            Err(_) => NotBegun::Unknown(fault("replica_failed", format!("status {}", a.status()))),
        });
    }
    let next = q.resume.as_ref().map_or(1, |r| r.after + 1);
    let (request, replica) = (q.request.clone(), p.replica.clone());
    Ok(Round { request, replica, body: Box::pin(a), buffer: vec![], next, until, over: false })
}

impl Round {
    fn broken(&mut self, code: &str, m: impl Into<String>) -> Next {
        self.over = true;
        Next::Broken(Fault::new(code, "read_stream", m).peer(self.replica.clone()).outcome(Outcome::Unknown))
    }

    pub async fn next(&mut self) -> Next {
        if self.over {
            return self.broken("over", "the round has ended");
        }
        loop {
            if let Some(i) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=i).collect();
                return self.take(&line);
            }
            if self.buffer.len() > LINE_MAX {
                return self.broken("bad_stream", "a line is too long");
            }
            let left = Duration::from_millis(self.until.saturating_sub(clock::now()));
            match tokio::time::timeout(left, self.body.next()).await {
                Ok(Some(Ok(b))) => self.buffer.extend_from_slice(&b),
                Ok(Some(Err(e))) => return self.broken("replica_lost", e.to_string()),
                Ok(None) => return self.broken("no_end_mark", "the stream ended without its end mark"),
                Err(_) => return self.broken("no_time", "the time left ran out"),
            }
        }
    }

    /// Checks one line: its own request, the very next number, an end that counts what came.
    fn take(&mut self, b: &[u8]) -> Next {
        let Ok(l) = serde_json::from_slice::<StreamLine>(b) else {
            return self.broken("bad_stream", "a line is no stream line");
        };
        match (&l.start, &l.piece, &l.end) {
            (Some(s), None, None) if s.request == self.request && s.replica == self.replica => Next::Start(s.clone()),
            (Some(_), None, None) => self.broken("bad_stream", "the answer is to another request"),
            (None, Some(p), None) if p.n == self.next => {
                self.next += 1;
                Next::Line(l)
            }
            (None, Some(p), None) => {
                let m = format!("piece {} came where {} was due", p.n, self.next);
                self.broken("bad_stream", m)
            }
            (None, None, Some(e)) if e.outcome == Outcome::Answered && e.pieces + 1 == self.next => {
                self.over = true;
                Next::End(l)
            }
            (None, None, Some(e)) if e.outcome != Outcome::Answered => {
                let f = e.fault.clone().unwrap_or_else(|| Fault::new("replica_failed", "read_stream", "the replica gave up"));
                self.over = true;
                Next::Broken(f.peer(self.replica.clone()).outcome(Outcome::Unknown))
            }
            _ => self.broken("bad_stream", "the end mark does not count what came"),
        }
    }
}
