//! A request's body on its way to a replica.

use std::{
    cell::Cell,
    future::poll_fn,
    io, mem,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use actix_web::web::BytesMut;
use bytes::Bytes;
use daemon_parts::{
    limits::MAX_RETAINED_BODY_BYTES,
    request_body::{BodyError, BodyReader, ClientBody},
    request_memory::{RequestLease, RequestMemory},
};
use futures_util::Stream;
use http_body::{Body, Frame, SizeHint};

/// Bytes that a streaming body in chunks holds beside its beginning: what the server has read and the replica's connection
/// has not written.
const STREAMING_CHUNKED_BYTES: u64 = 128 << 10;
/// The same of a body with a length, which the server reads further ahead.
const STREAMING_BYTES: u64 = 320 << 10;
/// Bytes up to which small chunks are joined before they go to the replica's connection.
const JOINED_BYTES: usize = 8 << 10;

/// A body that is buffered if it is small, and else streamed.
pub enum RequestBody {
    /// All of it: small enough to be sent again.
    Buffered(Bytes),
    /// A large one, which can be sent once.
    Streaming(StreamingBody),
}

/// How far a streaming body has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UploadState {
    /// Its client still sends.
    #[default]
    Incoming,
    /// All of it has gone to the replica's connection.
    Whole,
    /// It ended before its end: no replica has got all of it, and none will.
    Broken(BodyError),
}

/// A streaming body as the exchange sees it that sends it.
#[derive(Clone)]
pub struct Upload {
    state: Rc<Cell<UploadState>>,
    lease: Rc<RequestLease>,
}

impl Upload {
    /// How far it has come.
    pub fn state(&self) -> UploadState {
        self.state.get()
    }

    /// Returns once the body is shed while its client still sends.
    pub async fn shed(&self) {
        poll_fn(|context| self.poll_shed(context)).await;
    }

    /// All of it has gone out: its client is not waited for any more.
    fn set_whole(&self) {
        self.state.set(UploadState::Whole);
        self.lease.complete();
    }

    fn poll_shed(&self, context: &mut Context<'_>) -> Poll<()> {
        if self.state() == UploadState::Whole {
            return Poll::Pending;
        }
        ready!(self.lease.poll_shed(context));
        self.state.set(UploadState::Broken(BodyError::Shed));
        Poll::Ready(())
    }
}

/// The beginning of a large body, and the rest as the client sends it.
pub struct StreamingBody {
    beginning: Bytes,
    rest: ClientBody,
    /// Bytes that are left of all, if the client gave a length.
    bytes_left: Option<u64>,
    /// Bytes that the rest may have.
    bytes_allowed: u64,
    upload: Upload,
    /// What came behind the bytes that were joined.
    next: Option<Option<io::Result<Bytes>>>,
}

impl RequestBody {
    /// Reads a small body completely; of a large one only so much that it is known to be large.
    /// `bytes_max`: bytes that it may have.
    ///
    /// # Errors
    /// If the client does not send all of it, or sends more than may be or than there is memory for.
    pub async fn read(
        body: ClientBody,
        length: Option<u64>,
        bytes_max: u64,
        memory: &RequestMemory,
    ) -> Result<Self, BodyError> {
        let mut reader = BodyReader::new(body, length, bytes_max, memory);
        if reader.read(MAX_RETAINED_BODY_BYTES as u64).await? {
            return Ok(RequestBody::Buffered(reader.into_bytes()));
        }
        let mut lease = memory.lease();
        let held = if length.is_some() {
            STREAMING_BYTES
        } else {
            STREAMING_CHUNKED_BYTES
        };
        lease.hold(held).await?;
        lease.set_streaming();
        let (beginning, rest) = reader.into_parts();
        if length.is_some() {
            rest.set_upload();
        }
        Ok(RequestBody::Streaming(StreamingBody {
            bytes_allowed: bytes_max.saturating_sub(beginning.len() as u64),
            beginning,
            rest,
            bytes_left: length,
            upload: Upload {
                state: Rc::default(),
                lease: Rc::new(lease),
            },
            next: None,
        }))
    }

    /// The same body for a further attempt, if all of it is buffered.
    pub fn clone_buffered(&self) -> Option<Self> {
        match self {
            RequestBody::Buffered(bytes) => Some(RequestBody::Buffered(bytes.clone())),
            RequestBody::Streaming(_) => None,
        }
    }

    /// The state of a streaming body.
    pub fn upload(&self) -> Option<Upload> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streaming(body) => Some(body.upload.clone()),
        }
    }
}

impl StreamingBody {
    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if self.upload.poll_shed(context).is_ready() {
            let error = io::Error::other("the client stopped sending");
            return Poll::Ready(Some(Err(error)));
        }
        if !self.beginning.is_empty() {
            let beginning = mem::take(&mut self.beginning);
            self.count_sent(&beginning);
            return Poll::Ready(Some(Ok(beginning)));
        }
        if let Some(next) = self.next.take() {
            return Poll::Ready(next);
        }
        match ready!(self.poll_rest(context)) {
            Some(Ok(chunk)) if chunk.len() < JOINED_BYTES => {
                Poll::Ready(Some(Ok(self.join(chunk, context))))
            }
            other => Poll::Ready(other),
        }
    }

    /// Joins a small chunk with those behind it that have come already: what a chunk costs on its way does not depend on
    /// its size.
    fn join(&mut self, first: Bytes, context: &mut Context<'_>) -> Bytes {
        let mut joined = BytesMut::new();
        while first.len() + joined.len() < JOINED_BYTES && self.next.is_none() {
            match self.poll_rest(context) {
                Poll::Pending => break,
                Poll::Ready(Some(Ok(chunk))) => {
                    if joined.is_empty() {
                        joined.extend_from_slice(&first);
                    }
                    joined.extend_from_slice(&chunk);
                }
                Poll::Ready(end) => self.next = Some(end),
            }
        }
        if joined.is_empty() {
            first
        } else {
            joined.freeze()
        }
    }

    /// The next chunk as the client sent it, if the body may have it.
    fn poll_rest(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let chunk = match ready!(Pin::new(&mut self.rest).poll_next(context)) {
            Some(Ok(chunk)) => chunk,
            Some(Err(error)) => {
                return Poll::Ready(Some(Err(
                    self.broken(BodyError::Incomplete, &error.to_string())
                )));
            }
            None => {
                self.upload.set_whole();
                return Poll::Ready(None);
            }
        };
        let bytes = chunk.len() as u64;
        let Some(bytes_allowed) = self.bytes_allowed.checked_sub(bytes) else {
            let error = self.broken(BodyError::TooLarge, "the body is over its limit");
            return Poll::Ready(Some(Err(error)));
        };
        self.bytes_allowed = bytes_allowed;
        self.upload.lease.on_received(bytes);
        self.count_sent(&chunk);
        Poll::Ready(Some(Ok(chunk)))
    }

    fn broken(&self, reason: BodyError, message: &str) -> io::Error {
        self.upload.state.set(UploadState::Broken(reason));
        io::Error::other(message.to_string())
    }

    /// Bytes go to the replica's connection.
    fn count_sent(&mut self, chunk: &Bytes) {
        let sent = chunk.len() as u64;
        self.bytes_left = self.bytes_left.map(|left| left.saturating_sub(sent));
        if self.bytes_left == Some(0) {
            self.upload.set_whole();
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let chunk = match &mut *self {
            RequestBody::Buffered(bytes) if bytes.is_empty() => None,
            RequestBody::Buffered(bytes) => Some(Ok(mem::take(bytes))),
            RequestBody::Streaming(body) => ready!(body.poll_chunk(context)),
        };
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, RequestBody::Buffered(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            RequestBody::Streaming(body) => body
                .bytes_left
                .map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}
