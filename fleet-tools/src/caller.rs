//! A stand-in caller: asks where to go, streams from there, and writes down what it was told.

use std::time::Duration;

use awc::Client;
use daemon_parts::{clock, http::call, limits::CALL_TIMEOUT};
use fleet_simulator::history::Told;
use futures_util::StreamExt;
use remote_calls::{
    Fault, NominateRequest, Nomination, Outcome, ResumePoint, RunRequest, StreamLine, calls,
};

use coordination::rendezvous::text_digest;

/// What a caller wants.
#[derive(Clone, Debug)]
pub struct Want {
    pub service: String,
    pub lane: String,
    pub tier: String,
    pub homes: Vec<String>,
    pub prefixes: Vec<String>,
    pub time_left_ms: u64,
    pub run_once: bool,
    pub prompt: String,
}

impl Want {
    pub fn nominate(&self) -> NominateRequest {
        NominateRequest {
            service: self.service.clone(),
            lane: self.lane.clone(),
            tier: self.tier.clone(),
            homes: self.homes.clone(),
            prefixes: self.prefixes.clone(),
            time_left_ms: self.time_left_ms,
            run_once: self.run_once,
            key: None,
        }
    }
    pub fn run(&self, request: String, time_left_ms: u64) -> RunRequest {
        let n = self.nominate();
        RunRequest {
            request,
            service: n.service,
            lane: n.lane,
            tier: n.tier,
            homes: n.homes,
            prefixes: n.prefixes,
            time_left_ms,
            run_once: n.run_once,
            key: n.key,
            prompt: self.prompt.clone(),
            resume: None,
        }
    }
}

fn told_fault(t: &mut Told, f: Fault) {
    t.outcome = match f.outcome {
        Some(Outcome::Answered) => "answered",
        Some(Outcome::NotRun) => "not_run",
        Some(Outcome::Unknown) => "unknown",
        None => "rejected",
    }
    .into();
    (t.code, t.retry_after_ms) = (f.code, f.retry_after_ms);
}

/// One request from asking to its end.
pub async fn once(c: &Client, edge: &str, w: &Want) -> Told {
    let at = clock::now();
    let mut t = Told {
        lane: w.lane.clone(),
        tier: w.tier.clone(),
        homes: w.homes.clone(),
        run_once: w.run_once,
        at_ms: at,
        ..Told::default()
    };
    let n = w.nominate();
    match call::<_, Nomination>(c, edge, calls::NOMINATE, Some(&n), CALL_TIMEOUT).await {
        Ok(n) => run(c, w, n, &mut t).await,
        Err(f) => {
            // No answer at all is no rejection: nothing was nominated, so nothing can run.
            told_fault(&mut t, f);
        }
    }
    t.ms = clock::now() - at;
    t.in_time = t.outcome == "answered" && t.ms <= w.time_left_ms;
    t
}

/// Runs a nominated request.
pub async fn run(c: &Client, w: &Want, n: Nomination, t: &mut Told) {
    let at = t.at_ms;
    let left = w.time_left_ms.saturating_sub(clock::now() - at);
    (t.request, t.proxy_zone) = (n.request.clone(), n.zone);
    let q = w.run(n.request, left);
    stream(c, &n.proxy, &q, t, &mut String::new()).await;
}

/// Streams and checks what comes; `all` gathers the answer.
pub async fn stream(c: &Client, proxy: &str, q: &RunRequest, t: &mut Told, all: &mut String) {
    let limit = Duration::from_millis(q.time_left_ms + 2_000);
    t.outcome = "unknown".into();
    let sent = c
        .post(format!("http://{proxy}{}", calls::RUN.1))
        .timeout(limit)
        .send_json(q)
        .await;
    let mut a = match sent {
        Ok(a) => a,
        Err(e) => return t.code = format!("lost: {e}"),
    };
    if !a.status().is_success() {
        let b = a.body().await.unwrap_or_default();
        if let Ok(f) = serde_json::from_slice::<Fault>(&b) {
            told_fault(t, f);
        }
        return;
    }
    let mut buffer = Vec::new();
    while let Some(Ok(b)) = a.next().await {
        buffer.extend_from_slice(&b);
        while let Some(i) = buffer.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = buffer.drain(..=i).collect();
            let Ok(l) = serde_json::from_slice::<StreamLine>(&line) else {
                return t.code = "bad_line".into();
            };
            if let Some(s) = l.start {
                if !t.runs.contains(&s.run) {
                    t.runs.push(s.run.clone());
                }
                (t.replica, t.run, t.version, t.warm) = (s.replica, s.run, s.version, s.warm);
            }
            if let Some(p) = l.piece {
                if t.first_ms == 0 {
                    t.first_ms = clock::now() - t.at_ms;
                }
                t.pieces.push(p.n);
                all.push_str(&p.text);
            }
            if let Some(e) = l.end {
                t.digest = text_digest(all);
                // A stream that was resumed is whole only if all its pieces are what the replica says it sent.
                let own = e.digest.is_none_or(|d| d == t.digest);
                t.outcome = if e.outcome == Outcome::Answered && own {
                    "answered"
                } else {
                    "unknown"
                }
                .into();
                t.code = e.fault.map_or(String::new(), |f| f.code);
                return;
            }
        }
    }
}

/// Goes on with a stream that broke off, from the last piece received.
pub async fn go_on(c: &Client, proxy: &str, q: &RunRequest, t: &mut Told, all: &mut String) {
    let mut q = q.clone();
    q.resume = Some(ResumePoint {
        run: t.run.clone(),
        replica: t.replica.clone(),
        after: t.pieces.len() as u64,
    });
    stream(c, proxy, &q, t, all).await;
}
