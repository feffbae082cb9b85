//! One request's way to replicas, up to the head of the answer that goes downstream.
//!
//! What may run only once is sent once: no round follows one of which a byte may have left, except by the replica's
//! own word that it did not run. A rejection promises that nothing ran, so it is given only while that is sure.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use coordination::{
    Ms, events,
    pass::{Ask, PassEnd, Told},
    proxy::Admit,
};
use daemon_parts::{
    clock,
    limits::{ONCE_IDLE, UNREACHED_MOST},
    logging::event,
};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use remote_calls::{Fault, Outcome, PathKind, PathSpec};
use tokio::time::timeout;

use crate::{
    dialect::Dialect,
    pool::{Channel, Pool, Unopened, Unsent},
    shared::{Flight, Shared, hold},
    upload::Upload,
};

/// An answer that has begun.
pub struct Begun {
    pub flight: Flight,
    pub channel: Channel,
    pub head: http::response::Parts,
    pub body: Incoming,
}

/// An answer of our own.
pub type Ending = (StatusCode, Fault);

/// A replica's word that it did not run the request: its status, and when to come back.
type Refusal = (StatusCode, Option<Ms>);

/// One request on its way.
pub struct Passage {
    pub brain: Shared,
    pub dialect: Arc<dyn Dialect>,
    pub pool: Rc<Pool>,
    pub lane: Arc<PathSpec>,
    pub ask: Ask,
    pub until: Ms,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    /// None: it went out and is not kept.
    pub upload: Option<Upload>,
    /// More of its body came than may: it never ended, so nobody ran it.
    pub over: Rc<Cell<bool>>,
    /// Replicas that it went to before.
    pub tried: Vec<String>,
    /// Rounds that a byte of may have left, to replicas that were the ones meant.
    pub rounds: u32,
    /// A byte of any round may have left: the next is drawn on the budget.
    pub sent: bool,
    /// The next round has been drawn on the budget.
    pub drawn: bool,
    pub unreached: u32,
    /// A round may have run.
    pub perhaps: bool,
    pub service: String,
    pub refusal: Option<Refusal>,
}

/// What came of one round.
enum Round {
    Begun(Box<Begun>),
    /// Another replica may be tried.
    Again,
    End(Ending),
}

impl Passage {
    pub fn repeatable(&self) -> bool {
        matches!(
            self.lane.kind,
            PathKind::Repeatable | PathKind::StreamResumable
        )
    }

    /// Sends it to replicas until the answer of one begins, or it ends without.
    pub async fn begin(&mut self) -> Result<Begun, Ending> {
        loop {
            if self.sent && !self.drawn {
                self.draw()?;
            }
            match self.round().await {
                Round::Begun(b) => return Ok(*b),
                Round::Again => {}
                Round::End(e) => return Err(e),
            }
        }
    }

    /// A further round needs the lane's leave, a body to send and a draw on the budget that all edges share.
    fn draw(&mut self) -> Result<(), Ending> {
        if self.rounds >= self.lane.rounds || self.upload.is_none() {
            return Err(self.give_up("no further round is allowed"));
        }
        if !hold(&self.brain).second_pass(&self.service, clock::now()) {
            event(events::RETRY_BUDGET_EXHAUSTED, "caller", &self.ask.round);
            return Err(self.give_up("the budget for further rounds is spent"));
        }
        event(events::RETRIED, "caller", &self.ask.round);
        self.drawn = true;
        Ok(())
    }

    async fn round(&mut self) -> Round {
        let admit =
            hold(&self.brain).pass(&self.lane, &self.ask, &self.tried, self.until, clock::now());
        let placed = match admit {
            Admit::Go(p) => p,
            Admit::Reject(f) => return Round::End(self.reject(f)),
            Admit::Full => return Round::End(self.give_up("every place is taken")),
        };
        self.service.clone_from(&placed.service);
        let mut flight = Flight::new(self.brain.clone(), placed);
        // What rested for long could have been dropped without notice: an answer of what runs once would be lost.
        let most = if self.repeatable() {
            Ms::MAX
        } else {
            ONCE_IDLE
        };
        let mut resting = self.pool.idle(&flight.placed.addr, most, clock::now());
        loop {
            let mut channel = match resting.take() {
                Some(c) => c,
                None => match self.open(&flight).await {
                    Ok(c) => c,
                    Err(why) => return self.unreached(flight, why),
                },
            };
            let now = clock::now();
            // The process slept since: what the place was chosen by may have lapsed.
            if flight.placed.stale(now) {
                self.pool.rest(channel, now);
                flight.end(PassEnd::Dropped);
                return Round::Again;
            }
            let left = self.until.saturating_sub(now);
            let Some(q) = self.request(&flight, left) else {
                return Round::End(self.give_up("its body is gone"));
            };
            let first = !channel.used;
            let sent = timeout(Duration::from_millis(left), channel.send(q)).await;
            if let Ok(Err(Unsent::Not(q))) = sent {
                // The channel had ended unnoticed: the same replica by another one, as if nothing had been.
                self.upload = Some(q.into_body());
                if first {
                    return self
                        .unreached(flight, Unopened::Lost("the channel ended at once".into()));
                }
                continue;
            }
            (self.rounds, self.sent, self.drawn) = (self.rounds + 1, true, false);
            return match sent {
                Ok(Ok(a)) => self.heard(flight, channel, a),
                Ok(Err(Unsent::Perhaps(why))) => self.lost(flight, &why),
                _ => self.silent(flight),
            };
        }
    }

    async fn open(&self, f: &Flight) -> Result<Channel, Unopened> {
        let p = &f.placed;
        let (most, way) = {
            let b = hold(&self.brain);
            (b.channels(&p.service), b.way(p))
        };
        let left = self.until.saturating_sub(clock::now());
        let (c, took) = self.pool.open(&p.addr, most, way, left).await?;
        hold(&self.brain).opened(p, took, clock::now());
        Ok(c)
    }

    fn request(&mut self, f: &Flight, left: Ms) -> Option<Request<Upload>> {
        let body = self.upload.take()?;
        self.upload = body.again();
        let mut q = Request::new(body);
        *q.method_mut() = self.method.clone();
        *q.uri_mut() = self.uri.clone();
        *q.headers_mut() = self.headers.clone();
        self.dialect
            .dress(q.headers_mut(), &self.lane, &f.placed, left);
        Some(q)
    }

    /// Nothing was sent: another replica may have it, and no budget is drawn on.
    fn unreached(&mut self, mut f: Flight, why: Unopened) -> Round {
        match why {
            // That is our own bound: the replica is none the worse for it.
            Unopened::Full => f.end(PassEnd::Full),
            Unopened::Lost(why) => {
                event(events::ATTEMPT_FAILED, &f.placed.replica, &why);
                f.end(PassEnd::Unreachable);
            }
            Unopened::Dark(why) => {
                event(events::ATTEMPT_FAILED, &f.placed.replica, &why);
                f.end(PassEnd::Dark);
            }
        }
        self.tried.push(f.placed.replica.clone());
        self.elsewhere()
    }

    /// The replica that was meant was not there.
    fn elsewhere(&mut self) -> Round {
        self.unreached += 1;
        if self.unreached > UNREACHED_MOST {
            return Round::End(self.give_up("no replica can be reached"));
        }
        Round::Again
    }

    /// It may have run.
    fn lost(&mut self, mut f: Flight, why: &str) -> Round {
        if self.over.get() {
            f.end(PassEnd::Dropped);
            return Round::End(too_large());
        }
        event(events::ATTEMPT_FAILED, &f.placed.replica, why);
        f.end(PassEnd::Failed);
        self.tried.push(f.placed.replica.clone());
        self.perhaps = true;
        if self.repeatable() {
            return Round::Again;
        }
        Round::End(self.give_up(why))
    }

    fn silent(&mut self, mut f: Flight) -> Round {
        f.end(PassEnd::Silent);
        let m = Fault::new("no_time", "await_answer", "its time ran out")
            .peer(f.placed.replica.clone());
        Round::End((StatusCode::GATEWAY_TIMEOUT, m.outcome(Outcome::Unknown)))
    }

    fn heard(&mut self, mut f: Flight, mut c: Channel, a: Response<Incoming>) -> Round {
        let (head, body) = a.into_parts();
        let told = self.dialect.told(head.status.as_u16(), &head.headers);
        if !self.own(&told) {
            return self.lost(f, "the answer belongs to another request");
        }
        hold(&self.brain).heard(&f.placed, &told, clock::now());
        c.heed(&head.headers);
        if !told.not_run {
            return Round::Begun(Box::new(Begun {
                flight: f,
                channel: c,
                head,
                body,
            }));
        }
        event(
            events::ATTEMPT_FAILED,
            &f.placed.replica,
            "it did not run it",
        );
        f.end(if told.other {
            PassEnd::Other
        } else {
            PassEnd::Full
        });
        self.tried.push(f.placed.replica.clone());
        self.refusal = Some((head.status, retry_after(&head.headers)));
        // Another replica stands behind a channel that told so: nothing more goes there, and the one that was meant
        // is as good as out of reach, so the round is not spent.
        if told.other {
            self.rounds -= 1;
            return self.elsewhere();
        }
        self.pool.clone().read_off(c, body);
        Round::Again
    }

    /// Whether an answer is to this very request. One that names none is believed only where a doubt does no harm.
    fn own(&self, t: &Told) -> bool {
        match &t.round {
            Some(r) => *r == self.ask.round,
            None => self.ask.round.is_empty() || (t.not_run && self.repeatable()),
        }
    }

    // ---- endings ----

    /// No replica takes it.
    fn reject(&mut self, f: Fault) -> Ending {
        if self.perhaps {
            return self.unknown(&f.message);
        }
        let (mut s, mut f) = (daemon_parts::http::status(&f), f);
        if let Some((told, after)) = self.refusal {
            if told == StatusCode::TOO_MANY_REQUESTS {
                s = actix_web::http::StatusCode::TOO_MANY_REQUESTS;
            }
            f.retry_after_ms = after.or(f.retry_after_ms);
        }
        (
            StatusCode::from_u16(s.as_u16()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
            f,
        )
    }
    fn give_up(&mut self, why: &str) -> Ending {
        if self.perhaps {
            return self.unknown(why);
        }
        let f = hold(&self.brain).reject("no_replica", "pass", why);
        self.reject(f)
    }
    /// This process ends while a replica may be at work on it.
    pub fn abandoned() -> Ending {
        let f = Fault::new(
            "replica_lost",
            "pass",
            "this edge ends before its replica has answered",
        )
        .outcome(Outcome::Unknown);
        (StatusCode::BAD_GATEWAY, f)
    }
    fn unknown(&self, why: &str) -> Ending {
        let f = Fault::new("replica_lost", "pass", why).outcome(Outcome::Unknown);
        (StatusCode::BAD_GATEWAY, f)
    }
}

/// A body over its limit never ended at any replica: nobody ran it.
pub fn too_large() -> Ending {
    let f = Fault::new(
        "too_large",
        "read_body",
        "its body is larger than the configuration allows",
    )
    .outcome(Outcome::NotRun);
    (StatusCode::PAYLOAD_TOO_LARGE, f)
}

fn retry_after(h: &HeaderMap) -> Option<Ms> {
    let s: f64 = h
        .get(http::header::RETRY_AFTER)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()?;
    (s.is_finite() && s >= 0.0).then_some((s * 1_000.0) as Ms)
}
