//! Requests by host and path as they come from downstreams.

use std::{rc::Rc, sync::Arc, time::Duration};

use actix_web::{
    HttpRequest, HttpResponse,
    http::StatusCode,
    web::{self, Payload},
};
use coordination::{Ms, events};
use daemon_parts::{
    clock,
    limits::{NO_LANE_LIMIT, NOT_YET_LOOK, STOP_RETRY},
    logging::event,
};
use http::{HeaderMap, HeaderName, HeaderValue, Uri, header};
use remote_calls::{Fault, Outcome};

use crate::{
    answer,
    dialect::Dialect,
    pass::{Ending, Passage, too_large},
    pool::Pool,
    shared::{Shared, hold},
    stopping::{Open, Stopping, refusal},
    upload::{Unread, Upload},
};

/// What the front needs of the proxy.
#[derive(Clone)]
pub struct Front {
    pub brain: Shared,
    pub dialect: Arc<dyn Dialect>,
    pub stopping: Arc<Stopping>,
    /// Address at which it is asked whether this edge serves.
    pub ready: String,
    /// ms that a request waits for a proxy that may not serve yet.
    pub not_yet: Ms,
}

/// Whether a header concerns one channel only.
pub fn own_channel(n: &HeaderName, all: &HeaderMap) -> bool {
    const OWN: [&str; 8] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    ];
    if OWN.contains(&n.as_str()) {
        return true;
    }
    let named = |v: &HeaderValue| {
        v.to_str().is_ok_and(|v| {
            v.split(',')
                .any(|x| x.trim().eq_ignore_ascii_case(n.as_str()))
        })
    };
    all.get_all(header::CONNECTION).iter().any(named)
}

/// A downstream's headers that go along.
fn headers(r: &HttpRequest) -> HeaderMap {
    let mut all = HeaderMap::with_capacity(r.headers().len() + 4);
    for (n, v) in r.headers() {
        let name = HeaderName::from_bytes(n.as_str().as_bytes());
        if let (Ok(n), Ok(v)) = (name, HeaderValue::from_bytes(v.as_bytes())) {
            all.append(n, v);
        }
    }
    let own: Vec<HeaderName> = all
        .keys()
        .filter(|n| own_channel(n, &all))
        .cloned()
        .collect();
    own.iter().for_each(|n| {
        all.remove(n);
    });
    all
}

fn reply((s, f): Ending, close: bool) -> HttpResponse {
    event(events::REJECTED, "caller", &f.to_string());
    let mut r =
        HttpResponse::build(StatusCode::from_u16(s.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY));
    if let Some(ms) = f.retry_after_ms {
        // Callers by host and path read fractions of a second.
        r.insert_header(("Retry-After", format!("{}.{:03}", ms / 1_000, ms % 1_000)));
    }
    if close {
        r.force_close();
    }
    r.json(f)
}

/// Whether this edge serves, for those who list it.
fn ready(f: &Front) -> HttpResponse {
    let ok = !f.stopping.is_begun() && hold(&f.brain).is_ready(clock::now());
    if ok {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

/// A proxy that has just started serves within a moment most often: what comes waits that long for it, not longer,
/// for a rejection that comes late is worth less than one at once.
async fn begun(f: &Front) {
    let until = clock::now() + f.not_yet;
    while !hold(&f.brain).is_ready(clock::now()) && clock::now() < until {
        tokio::time::sleep(NOT_YET_LOOK).await;
    }
}

/// Bytes of a request's head as it is written in full.
fn head_bytes(r: &HttpRequest) -> u64 {
    // Around a request's line and behind it: two spaces, the protocol's name and an end; around each header: ": " and an end.
    const LINE: usize = 14;
    const HEADER: usize = 4;
    let line =
        r.method().as_str().len() + r.uri().path_and_query().map_or(1, |p| p.as_str().len()) + LINE;
    r.headers()
        .iter()
        .fold(line, |n, (k, v)| n + k.as_str().len() + v.len() + HEADER) as u64
}

/// A request by host and path.
pub async fn pass(r: HttpRequest, p: Payload, f: web::Data<Front>) -> HttpResponse {
    if r.path() == f.dialect.ready_path() && r.app_config().local_addr().to_string() == f.ready {
        return ready(&f);
    }
    let open = Open::new(&f.stopping, &r);
    let came = clock::now();
    begun(&f).await;
    let now = clock::now();
    let host = r
        .headers()
        .get("host")
        .and_then(|v| v.to_str().ok())
        .or_else(|| r.uri().host())
        .unwrap_or_default();
    let target = r.uri().path_and_query().map_or("/", |p| p.as_str());
    let (lane, limits) = {
        let mut b = hold(&f.brain);
        (
            b.find_lane(host, r.uri().path(), now),
            b.client_limits().cloned().unwrap_or_default(),
        )
    };
    let headers = headers(&r);
    if limits.header_bytes > 0 && head_bytes(&r) > limits.header_bytes {
        let m = Fault::new(
            "too_large",
            "read_head",
            "its head is larger than the configuration allows",
        )
        .outcome(Outcome::NotRun);
        return reply((http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, m), true);
    }
    let ask = f.dialect.ask(host, r.uri().path(), &headers);
    let longest = lane.as_ref().map_or(NO_LANE_LIMIT, |l| l.time_limit_ms);
    let until = came + ask.time_left_ms.map_or(longest, |l| l.min(longest));
    open.until(until);
    let length = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|v| v.to_str().ok()?.parse().ok());
    let (most, over) = (
        if limits.body_bytes > 0 {
            limits.body_bytes
        } else {
            u64::MAX
        },
        Rc::default(),
    );
    // Read before anything is answered, so that the channel can carry the next request whatever becomes of this.
    let read = Upload::read(p.into_inner(), length, most, Rc::clone(&over));
    let left = Duration::from_millis(until.saturating_sub(now));
    let upload = match tokio::time::timeout(left, read).await {
        Ok(Ok(u)) => u,
        Ok(Err(Unread::TooLarge)) => return reply(too_large(), true),
        Ok(Err(Unread::Cut)) => {
            let m = Fault::new("bad_request", "read_body", "its body did not come whole")
                .outcome(Outcome::NotRun);
            return reply((http::StatusCode::BAD_REQUEST, m), true);
        }
        Err(_) => {
            let m = Fault::new(
                "no_time",
                "read_body",
                "its body did not come in its time left",
            )
            .outcome(Outcome::NotRun);
            return reply(
                (http::StatusCode::REQUEST_TIMEOUT, m.retry(STOP_RETRY)),
                true,
            );
        }
    };
    let close = || f.stopping.is_begun();
    let lane = match lane {
        Ok(l) => l,
        Err(e) => {
            let s = daemon_parts::http::status(&e).as_u16();
            return reply(
                (http::StatusCode::from_u16(s).unwrap_or_default(), e),
                close(),
            );
        }
    };
    if !f.stopping.take() {
        return reply((http::StatusCode::SERVICE_UNAVAILABLE, refusal()), true);
    }
    let (Ok(method), Ok(uri)) = (r.method().as_str().parse(), target.parse::<Uri>()) else {
        let m = Fault::new("bad_request", "read_head", "its method or path is none")
            .outcome(Outcome::NotRun);
        return reply((http::StatusCode::BAD_REQUEST, m), close());
    };
    let mut p = Passage {
        brain: f.brain.clone(),
        dialect: f.dialect.clone(),
        pool: Pool::here(),
        lane,
        ask,
        until,
        method,
        uri,
        headers,
        upload: Some(upload),
        over,
        tried: vec![],
        rounds: 0,
        sent: false,
        drawn: false,
        unreached: 0,
        perhaps: false,
        service: String::new(),
        refusal: None,
    };
    let begun = tokio::select! {
        biased;
        b = p.begin() => b,
        () = f.stopping.over() => Err(Passage::abandoned()),
    };
    match begun {
        Ok(b) => answer::pass_on(p, b, open, close()),
        Err(e) => reply(e, close()),
    }
}
