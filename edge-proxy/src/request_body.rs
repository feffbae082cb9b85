//! A request's body on its way to a replica.

use std::{
    cell::Cell,
    io, mem,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use actix_web::{dev::Payload, web::BytesMut};
use bytes::Bytes;
use daemon_parts::limits::MAX_RETAINED_BODY_BYTES;
use futures_util::{Stream, StreamExt};
use http_body::{Body, Frame, SizeHint};

/// A body that is buffered if it is small, and else streamed.
pub enum RequestBody {
    /// All of it: small enough to be sent again.
    Buffered(Bytes),
    /// A large one, which can be sent once.
    Streaming(StreamingBody),
}

/// The beginning of a large body, and the rest as the client sends it.
pub struct StreamingBody {
    beginning: Bytes,
    rest: Payload,
    /// Bytes that are left of all, if the client gave a length.
    bytes_left: Option<u64>,
    /// Bytes that the rest may have.
    bytes_allowed: u64,
    /// Set once more bytes come than may.
    is_over_limit: Rc<Cell<bool>>,
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    Incomplete,
    TooLarge,
}

impl RequestBody {
    /// Reads a small body completely; of a large one only so much that it is known to be large.
    /// `bytes_max`: bytes that it may have; `is_over_limit` is set once more come, if that is only seen while it streams.
    ///
    /// # Errors
    /// If the client does not send all of it, or sends more than `bytes_max`.
    pub async fn read(
        mut payload: Payload,
        length: Option<u64>,
        bytes_max: u64,
        is_over_limit: Rc<Cell<bool>>,
    ) -> Result<Self, BodyError> {
        if length.is_some_and(|length| length > bytes_max) {
            return Err(BodyError::TooLarge);
        }
        // Memory grows with what arrives, not with what the length claims.
        let mut buffer = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| BodyError::Incomplete)?;
            buffer.extend_from_slice(&chunk);
            let Some(bytes_allowed) = bytes_max.checked_sub(buffer.len() as u64) else {
                return Err(BodyError::TooLarge);
            };
            if buffer.len() > MAX_RETAINED_BODY_BYTES {
                return Ok(RequestBody::Streaming(StreamingBody {
                    beginning: buffer.freeze(),
                    rest: payload,
                    bytes_left: length,
                    bytes_allowed,
                    is_over_limit,
                }));
            }
        }
        Ok(RequestBody::Buffered(buffer.freeze()))
    }

    /// The same body for a further attempt, if all of it is buffered.
    pub fn clone_buffered(&self) -> Option<Self> {
        match self {
            RequestBody::Buffered(bytes) => Some(RequestBody::Buffered(bytes.clone())),
            RequestBody::Streaming(_) => None,
        }
    }
}

impl StreamingBody {
    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let chunk = if self.beginning.is_empty() {
            match ready!(Pin::new(&mut self.rest).poll_next(context)) {
                Some(Ok(chunk)) if chunk.len() as u64 > self.bytes_allowed => {
                    self.is_over_limit.set(true);
                    let error = io::Error::other("the body is over its limit");
                    return Poll::Ready(Some(Err(error)));
                }
                Some(Ok(chunk)) => {
                    self.bytes_allowed -= chunk.len() as u64;
                    chunk
                }
                Some(Err(error)) => return Poll::Ready(Some(Err(io::Error::other(error)))),
                None => return Poll::Ready(None),
            }
        } else {
            mem::take(&mut self.beginning)
        };
        self.bytes_left = self
            .bytes_left
            .map(|left| left.saturating_sub(chunk.len() as u64));
        Poll::Ready(Some(Ok(chunk)))
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
