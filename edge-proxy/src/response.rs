//! A response on its way to the client: bytes are forwarded as they come. What a replica cuts off never looks complete, and
//! a stream that may be resumed goes on at another replica behind the last complete event.

use std::{borrow::Cow, io, pin::Pin, time::Duration};

use actix_web::{
    HttpResponse, HttpResponseBuilder,
    body::{BodyStream, SizedStream},
    http::header::{HeaderName, HeaderValue},
};
use bytes::Bytes;
use coordination::{event_stream::ResumableEvents, events, exchange::AttemptOutcome};
use daemon_parts::{clock, limits::LATE_RESPONSE_SLACK, logging::event};
use futures_util::{Stream, stream};
use http::{HeaderMap, StatusCode, header, response::Parts};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use remote_calls::PathKind;
use tokio::time::Sleep;

use crate::{
    attempt::Attempt,
    exchange::{Exchange, StartedResponse},
    headers::is_hop_by_hop,
    pool::Connection,
    shutdown::OpenRequest,
};

type Chunk = Result<Bytes, io::Error>;

/// How the end of a response is recognized, by its head.
#[derive(Clone, Copy, PartialEq)]
enum Length {
    Bytes(u64),
    Chunked,
    /// Only the end of the connection would end it: a cut could not be told from that.
    Unknown,
}

impl Length {
    fn of(headers: &HeaderMap, body: &Incoming) -> Self {
        match body.size_hint().exact() {
            Some(bytes) => Length::Bytes(bytes),
            None if headers.contains_key(header::TRANSFER_ENCODING) => Length::Chunked,
            None => Length::Unknown,
        }
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

/// Whether a response may be resumed at another replica if it is cut off.
fn may_resume(exchange: &Exchange, head: &Parts, length: Length) -> bool {
    exchange.lane.kind == PathKind::StreamResumable
        && head.status == StatusCode::OK
        && is_event_stream(&head.headers)
        && length == Length::Chunked
}

/// The response as the client gets it.
pub fn forward(
    mut exchange: Exchange,
    response: StartedResponse,
    open_request: OpenRequest,
    closes_connection: bool,
) -> HttpResponse {
    let StartedResponse {
        attempt,
        connection,
        head,
        body,
    } = response;
    let mut builder = response_builder(&head, closes_connection);
    let length = Length::of(&head.headers, &body);
    let events = may_resume(&exchange, &head, length).then(ResumableEvents::default);
    if events.is_none() {
        // Nothing can follow this attempt: what it was sent need not be buffered while it streams.
        exchange.drop_body();
    }
    let deadline = Box::pin(deadline_timer(&exchange));
    let mut relay = ResponseRelay {
        exchange,
        attempt,
        connection: Some(connection),
        body,
        status: head.status,
        length,
        events,
        deadline,
        is_over: false,
        _open_request: open_request,
    };
    match length {
        Length::Bytes(0) => {
            // Its body would never be polled.
            relay.complete();
            empty_response(builder, &head)
        }
        Length::Bytes(bytes) => builder.body(SizedStream::new(bytes, relay.into_stream())),
        _ => builder.body(BodyStream::new(relay.into_stream())),
    }
}

/// Ends when the response's time is over.
fn deadline_timer(exchange: &Exchange) -> Sleep {
    let time_left = exchange.deadline.saturating_sub(clock::now()) + LATE_RESPONSE_SLACK;
    tokio::time::sleep(Duration::from_millis(time_left))
}

/// The head of the response, with those of the replica's headers that are forwarded.
fn response_builder(head: &Parts, closes_connection: bool) -> HttpResponseBuilder {
    let status = actix_web::http::StatusCode::from_u16(head.status.as_u16()).unwrap_or_default();
    let mut builder = HttpResponse::build(status);
    for (name, value) in &head.headers {
        if is_hop_by_hop(name, &head.headers) || *name == header::CONTENT_LENGTH {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value.as_bytes())) {
            builder.append_header((name, value));
        }
    }
    if closes_connection {
        builder.force_close();
    }
    builder
}

/// A response without a body. One to HEAD gives a length all the same.
fn empty_response(mut builder: HttpResponseBuilder, head: &Parts) -> HttpResponse {
    let length = head
        .headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .unwrap_or(0);
    builder.body(SizedStream::new(length, stream::empty::<Chunk>()))
}

/// Forwards the body of a response.
struct ResponseRelay {
    exchange: Exchange,
    attempt: Attempt,
    /// Until the response is complete.
    connection: Option<Connection>,
    body: Incoming,
    status: StatusCode,
    length: Length,
    /// Where the response may be resumed.
    events: Option<ResumableEvents>,
    deadline: Pin<Box<Sleep>>,
    is_over: bool,
    _open_request: OpenRequest,
}

impl ResponseRelay {
    fn into_stream(self) -> Pin<Box<dyn Stream<Item = Chunk>>> {
        Box::pin(stream::unfold(self, |mut relay| async {
            relay.next_chunk().await.map(|chunk| (chunk, relay))
        }))
    }

    async fn next_chunk(&mut self) -> Option<Chunk> {
        while !self.is_over {
            let frame = tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                () = &mut self.deadline => {
                    self.attempt.end(AttemptOutcome::BodyTimedOut);
                    return Some(Err(self.abort("its time ran out").await));
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    self.attempt.on_chunk(clock::now());
                    let bytes = self.complete_events(bytes);
                    if !bytes.is_empty() {
                        return Some(Ok(bytes));
                    }
                }
                None if self.length != Length::Unknown => {
                    self.complete();
                    return self.remainder().map(Ok);
                }
                None => {
                    if let Err(error) = self.on_cut("its end cannot be told from a cut").await {
                        return Some(Err(error));
                    }
                }
                Some(Err(error)) => {
                    if let Err(error) = self.on_cut(&error.to_string()).await {
                        return Some(Err(error));
                    }
                }
            }
        }
        None
    }

    /// What of these bytes is forwarded now: where the response may be resumed only complete events.
    fn complete_events(&mut self, bytes: Bytes) -> Bytes {
        let Some(events) = &mut self.events else {
            return bytes;
        };
        let length = match events.pass_through(&bytes) {
            Cow::Borrowed(complete) => complete.len(),
            Cow::Owned(complete) => return Bytes::from(complete),
        };
        bytes.slice(..length)
    }

    /// What is left behind the last complete event when the replica has ended its response.
    fn remainder(&mut self) -> Option<Bytes> {
        let events = self.events.as_mut()?;
        let remainder = Bytes::from(events.take_remainder());
        (!remainder.is_empty()).then_some(remainder)
    }

    /// The response is complete.
    fn complete(&mut self) {
        self.is_over = true;
        self.attempt.end(if self.status.is_server_error() {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Completed
        });
        if let Some(connection) = self.connection.take() {
            self.exchange.pool.put_back(connection, clock::now());
        }
    }

    /// The replica cut its response off: it is resumed, or aborted with the error that is given.
    async fn on_cut(&mut self, reason: &str) -> Result<(), io::Error> {
        match self.try_resume(reason).await {
            Ok(()) => Ok(()),
            Err(reason) => Err(self.abort(&reason).await),
        }
    }

    /// A resumable stream goes on at another replica, behind the last complete event.
    async fn try_resume(&mut self, reason: &str) -> Result<(), String> {
        let replica = self.attempt.assignment.replica.clone();
        event(events::ATTEMPT_FAILED, &replica, reason);
        self.attempt.end(AttemptOutcome::Failed);
        self.connection = None;
        let Some(events) = self.events.as_mut().filter(|events| events.is_resumable()) else {
            return Err(reason.to_string());
        };
        events.on_interrupted();
        let mut response = self
            .exchange
            .resume(&replica, events.last_event_id())
            .await
            .map_err(|(_, fault)| fault.to_string())?;
        let head = &response.head;
        if head.status != StatusCode::OK || !is_event_stream(&head.headers) {
            let message = format!("the run that follows answered {}", head.status);
            response.attempt.end(AttemptOutcome::Failed);
            return Err(message);
        }
        self.length = Length::of(&head.headers, &response.body);
        self.attempt = response.attempt;
        self.connection = Some(response.connection);
        self.body = response.body;
        Ok(())
    }

    /// Ends it so that it does not look complete; what came before is flushed first.
    async fn abort(&mut self, reason: &str) -> io::Error {
        self.is_over = true;
        self.connection = None;
        tokio::task::yield_now().await;
        io::Error::other(reason.to_string())
    }
}
