//! An answer on its way downstream: bytes go on as they come. What a replica cuts off never looks complete, and a
//! stream that may be resumed goes on at another replica behind the last whole event.

use std::{io, pin::Pin, time::Duration};

use actix_web::{
    HttpResponse,
    body::{BodyStream, SizedStream},
    http::header::{HeaderName, HeaderValue},
};
use bytes::Bytes;
use coordination::{events, pass::AttemptOutcome, pass_stream::ResumableEvents};
use daemon_parts::{clock, limits::LATE_SLACK, logging::event};
use futures_util::{Stream, stream::unfold};
use http::{HeaderMap, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use remote_calls::PathKind;
use tokio::time::Sleep;

use crate::{
    front::own_channel,
    pass::{Begun, Passage},
    pool::Channel,
    shared::Flight,
    stopping::Open,
};

type Piece = Result<Bytes, io::Error>;

/// How much of an answer there is to come, as its head tells.
#[derive(Clone, Copy, PartialEq)]
enum Length {
    Bytes(u64),
    Chunks,
    /// Nothing but the channel's end would end it: a cut could not be told from that.
    Unknown,
}

struct Flow {
    passage: Passage,
    flight: Flight,
    /// Until the answer came whole.
    channel: Option<Channel>,
    body: Incoming,
    status: StatusCode,
    length: Length,
    events: Option<ResumableEvents>,
    time: Pin<Box<Sleep>>,
    over: bool,
    _open: Open,
}

fn length(h: &HeaderMap, b: &Incoming) -> Length {
    match b.size_hint().exact() {
        Some(n) => Length::Bytes(n),
        None if h.contains_key(header::TRANSFER_ENCODING) => Length::Chunks,
        None => Length::Unknown,
    }
}
fn is_stream(h: &HeaderMap) -> bool {
    h.get(header::CONTENT_TYPE)
        .is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"))
}

/// The answer as the downstream gets it.
pub fn pass_on(mut passage: Passage, b: Begun, open: Open, close: bool) -> HttpResponse {
    let Begun {
        flight,
        channel,
        head,
        body,
    } = b;
    let status = actix_web::http::StatusCode::from_u16(head.status.as_u16()).unwrap_or_default();
    let mut r = HttpResponse::build(status);
    for (n, v) in head
        .headers
        .iter()
        .filter(|(n, _)| !own_channel(n, &head.headers) && *n != header::CONTENT_LENGTH)
    {
        let name = HeaderName::from_bytes(n.as_str().as_bytes());
        if let (Ok(n), Ok(v)) = (name, HeaderValue::from_bytes(v.as_bytes())) {
            r.append_header((n, v));
        }
    }
    if close {
        r.force_close();
    }
    let length = length(&head.headers, &body);
    let resumes = passage.lane.kind == PathKind::StreamResumable
        && head.status == StatusCode::OK
        && is_stream(&head.headers);
    let events = (resumes && length == Length::Chunks).then(ResumableEvents::default);
    if events.is_none() {
        // Nothing can follow this round: what it was sent need not be kept while it streams.
        passage.upload = None;
    }
    let left = passage.until.saturating_sub(clock::now()) + LATE_SLACK;
    let mut f = Flow {
        passage,
        flight,
        channel: Some(channel),
        body,
        status: head.status,
        length,
        events,
        time: Box::pin(tokio::time::sleep(Duration::from_millis(left))),
        over: false,
        _open: open,
    };
    if length == Length::Bytes(0) {
        // Nothing of it would ever be asked for. An answer to HEAD tells a length and has no body.
        f.whole();
        let told = head
            .headers
            .get(header::CONTENT_LENGTH)
            .and_then(|v| v.to_str().ok()?.parse().ok());
        return r.body(SizedStream::new(
            told.unwrap_or(0),
            futures_util::stream::empty::<Piece>(),
        ));
    }
    match length {
        Length::Bytes(n) => r.body(SizedStream::new(n, f.pieces())),
        _ => r.body(BodyStream::new(f.pieces())),
    }
}

impl Flow {
    fn pieces(self) -> Pin<Box<dyn Stream<Item = Piece>>> {
        Box::pin(unfold(self, |mut f| async {
            f.next().await.map(|p| (p, f))
        }))
    }

    async fn next(&mut self) -> Option<Piece> {
        while !self.over {
            let got = tokio::select! {
                biased;
                f = self.body.frame() => f,
                () = &mut self.time => {
                    self.flight.end(AttemptOutcome::Slow);
                    return Some(Err(self.broken("its time ran out").await));
                }
            };
            match got {
                Some(Ok(f)) => {
                    let Ok(b) = f.into_data() else { continue };
                    self.flight.first_piece(clock::now());
                    let b = self.whole_events(b);
                    if !b.is_empty() {
                        return Some(Ok(b));
                    }
                }
                None if self.length != Length::Unknown => {
                    self.whole();
                    return self
                        .events
                        .as_mut()
                        .map(|e| Bytes::from(e.take_remainder()))
                        .filter(|b| !b.is_empty())
                        .map(Ok);
                }
                cut => {
                    let why = cut
                        .and_then(|r| r.err())
                        .map_or("its end cannot be told from a cut".into(), |e| {
                            e.to_string()
                        });
                    if let Err(why) = self.cut(why).await {
                        return Some(Err(self.broken(&why).await));
                    }
                }
            }
        }
        None
    }

    fn whole_events(&mut self, b: Bytes) -> Bytes {
        let Some(e) = &mut self.events else { return b };
        let n = match e.pass_through(&b) {
            std::borrow::Cow::Borrowed(x) => x.len(),
            std::borrow::Cow::Owned(x) => return Bytes::from(x),
        };
        b.slice(..n)
    }

    /// The answer came whole.
    fn whole(&mut self) {
        self.over = true;
        self.flight.end(if self.status.is_server_error() {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Completed
        });
        if let Some(c) = self.channel.take() {
            self.passage.pool.rest(c, clock::now());
        }
    }

    /// The replica cut its answer off. A stream goes on at another, behind the last whole event.
    async fn cut(&mut self, why: String) -> Result<(), String> {
        event(events::ATTEMPT_FAILED, &self.flight.placed.replica, &why);
        self.flight.end(AttemptOutcome::Failed);
        self.channel = None;
        let Some(e) = self.events.as_mut().filter(|e| e.is_resumable()) else {
            return Err(why);
        };
        e.on_cut();
        let p = &mut self.passage;
        p.perhaps = true;
        p.tried.push(self.flight.placed.replica.clone());
        if let Some(v) = e
            .last_event_id()
            .and_then(|l| http::HeaderValue::from_str(l).ok())
        {
            p.headers.insert(LAST_EVENT_ID, v);
            p.ask.last_event_id = e.last_event_id().map(str::to_string);
        }
        let mut b = p.begin().await.map_err(|(_, f)| f.to_string())?;
        if b.head.status != StatusCode::OK || !is_stream(&b.head.headers) {
            b.flight.end(AttemptOutcome::Failed);
            return Err(format!("the run that follows answered {}", b.head.status));
        }
        self.length = length(&b.head.headers, &b.body);
        (self.flight, self.channel, self.body) = (b.flight, Some(b.channel), b.body);
        Ok(())
    }

    /// Ends it so that it does not look complete; what came before goes out first.
    async fn broken(&mut self, why: &str) -> io::Error {
        self.over = true;
        self.channel = None;
        tokio::task::yield_now().await;
        io::Error::other(why.to_string())
    }
}

const LAST_EVENT_ID: header::HeaderName = header::HeaderName::from_static("last-event-id");
