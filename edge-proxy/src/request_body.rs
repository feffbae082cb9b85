//! A request's body on its way to a replica.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use actix_web::{dev::Payload, web::BytesMut};
use bytes::Bytes;
use daemon_parts::limits::UPLOAD_KEPT;
use futures_util::{Stream, StreamExt};
use http_body::{Body, Frame, SizeHint};

pub enum RequestBody {
    /// All of it: small enough to be sent again.
    Buffered(Bytes),
    /// Its beginning, and the rest as the downstream sends it; `left` of all, if its length was told, and `room` for
    /// what may still come.
    Streaming {
        head: Bytes,
        rest: Payload,
        left: Option<u64>,
        room: u64,
        over: Rc<Cell<bool>>,
    },
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    Incomplete,
    TooLarge,
}

impl RequestBody {
    /// Reads a small body whole; of a large one only so much that it is known to be large.
    /// `most`: bytes that it may have; `over` is set once more than these come, if that is only seen while it flows.
    pub async fn read(
        mut p: Payload,
        length: Option<u64>,
        most: u64,
        over: Rc<Cell<bool>>,
    ) -> Result<Self, BodyError> {
        if length.is_some_and(|n| n > most) {
            return Err(BodyError::TooLarge);
        }
        // Memory grows with what arrives, not with what the length claims.
        let mut b = BytesMut::new();
        while let Some(x) = p.next().await {
            let x = x.map_err(|_| BodyError::Incomplete)?;
            b.extend_from_slice(&x);
            let Some(room) = most.checked_sub(b.len() as u64) else {
                return Err(BodyError::TooLarge);
            };
            if b.len() > UPLOAD_KEPT {
                return Ok(RequestBody::Streaming {
                    head: b.freeze(),
                    rest: p,
                    left: length,
                    room,
                    over,
                });
            }
        }
        Ok(RequestBody::Buffered(b.freeze()))
    }
    /// The same body for a further round, if all of it is kept.
    pub fn clone_buffered(&self) -> Option<Self> {
        match self {
            RequestBody::Buffered(b) => Some(RequestBody::Buffered(b.clone())),
            RequestBody::Streaming { .. } => None,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let piece = match &mut *self {
            RequestBody::Buffered(b) if b.is_empty() => return Poll::Ready(None),
            RequestBody::Buffered(b) => std::mem::take(b),
            RequestBody::Streaming {
                head,
                rest,
                left,
                room,
                over,
            } => {
                let b = match head.is_empty() {
                    false => std::mem::take(head),
                    true => match std::task::ready!(Pin::new(rest).poll_next(cx)) {
                        Some(Ok(b)) if b.len() as u64 > *room => {
                            over.set(true);
                            return Poll::Ready(Some(Err(io::Error::other(
                                "the body is over its limit",
                            ))));
                        }
                        Some(Ok(b)) => {
                            *room -= b.len() as u64;
                            b
                        }
                        Some(Err(e)) => return Poll::Ready(Some(Err(io::Error::other(e)))),
                        None => return Poll::Ready(None),
                    },
                };
                *left = left.map(|l| l.saturating_sub(b.len() as u64));
                b
            }
        };
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }
    fn is_end_stream(&self) -> bool {
        matches!(self, RequestBody::Buffered(b) if b.is_empty())
    }
    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Buffered(b) => SizeHint::with_exact(b.len() as u64),
            RequestBody::Streaming { left: Some(n), .. } => SizeHint::with_exact(*n),
            RequestBody::Streaming { .. } => SizeHint::new(),
        }
    }
}
