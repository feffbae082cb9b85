//! Reads the bodies of clients' requests into memory that is drawn from the process's budget.

use std::{
    future::poll_fn,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use actix_web::{HttpRequest, dev::Payload, error::PayloadError, web::Bytes};
use futures_util::Stream;

use crate::{
    client_connections::ClientConnection,
    request_memory::{OutOfMemory, RequestLease, RequestMemory},
};

/// Smallest capacity that a buffer is given, in bytes.
const MIN_BUFFER_BYTES: usize = 4 << 10;
/// Bytes of a chunk's handle in the server's queue of what has come.
const CHUNK_HANDLE_BYTES: u64 = 32;
/// Chunks that come at once without being counted: their handles are within what a connection may take.
const FREE_CHUNKS: u64 = 64;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The client left, or sent what is no body.
    Incomplete,
    /// More came than may.
    TooLarge,
    /// The process has no memory left for it.
    OutOfMemory,
    /// Its client had stopped sending when the memory was needed by others.
    Shed,
}

impl From<OutOfMemory> for BodyError {
    fn from(_: OutOfMemory) -> Self {
        BodyError::OutOfMemory
    }
}

/// A body as it comes. Each time all that came was taken, the connection may read on.
pub struct ClientBody {
    payload: Payload,
    connection: Option<Rc<ClientConnection>>,
    /// Chunks that were taken since nothing was left to take.
    chunks_at_once: u64,
    most_chunks_at_once: u64,
}

impl ClientBody {
    /// The body of a request.
    #[must_use]
    pub fn new(request: &HttpRequest, payload: Payload) -> Self {
        ClientBody {
            payload,
            connection: request.conn_data::<Rc<ClientConnection>>().cloned(),
            chunks_at_once: 0,
            most_chunks_at_once: 0,
        }
    }

    /// The rest of the body, which has a length, goes on as it comes.
    pub fn set_upload(&self) {
        if let Some(connection) = &self.connection {
            connection.on_upload();
        }
    }

    /// Bytes that the server's queue takes for the most chunks that came at once; it does not shrink.
    #[must_use]
    pub fn queue_bytes(&self) -> u64 {
        if self.most_chunks_at_once <= FREE_CHUNKS {
            return 0;
        }
        self.most_chunks_at_once.next_power_of_two() * CHUNK_HANDLE_BYTES
    }

    fn on_chunk(&mut self) {
        self.chunks_at_once += 1;
        self.most_chunks_at_once = self.most_chunks_at_once.max(self.chunks_at_once);
    }
}

impl Stream for ClientBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let polled = Pin::new(&mut self.payload).poll_next(context);
        match &polled {
            Poll::Ready(Some(Ok(_))) => self.on_chunk(),
            Poll::Ready(None) => {
                if let Some(connection) = &self.connection {
                    connection.on_body_end();
                }
            }
            Poll::Ready(Some(Err(_))) => {}
            Poll::Pending => {
                self.chunks_at_once = 0;
                if let Some(connection) = &self.connection {
                    connection.on_body_taken();
                }
            }
        }
        polled
    }
}

/// Bytes that hold their part of the budget for as long as any copy of them lives.
struct LeasedBytes {
    bytes: Vec<u8>,
    _lease: RequestLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads one body.
pub struct BodyReader {
    body: ClientBody,
    buffer: Vec<u8>,
    lease: RequestLease,
    /// Bytes of all, if the client gave a length.
    length: Option<u64>,
    bytes_max: u64,
}

impl BodyReader {
    /// A reader of a body that may have `bytes_max` bytes.
    #[must_use]
    pub fn new(
        body: ClientBody,
        length: Option<u64>,
        bytes_max: u64,
        memory: &RequestMemory,
    ) -> Self {
        BodyReader {
            body,
            lease: memory.lease(),
            buffer: Vec::new(),
            length,
            bytes_max,
        }
    }

    /// Reads until the body ends or has more than `retained_max` bytes. Says whether it ended.
    ///
    /// # Errors
    /// Why the body was not read.
    pub async fn read(&mut self, retained_max: u64) -> Result<bool, BodyError> {
        if self.length.is_some_and(|length| length > self.bytes_max) {
            return Err(BodyError::TooLarge);
        }
        while let Some(chunk) = self.next_chunk().await? {
            self.push(&chunk).await?;
            if self.buffer.len() as u64 > retained_max {
                return Ok(false);
            }
        }
        self.lease.complete();
        Ok(true)
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, BodyError> {
        poll_fn(|context| {
            if self.lease.poll_shed(context).is_ready() {
                return Poll::Ready(Err(BodyError::Shed));
            }
            Pin::new(&mut self.body).poll_next(context).map(|chunk| {
                let chunk = chunk.transpose();
                chunk.map_err(|_| BodyError::Incomplete)
            })
        })
        .await
    }

    /// Memory grows with what arrives, not with what the length claims.
    async fn push(&mut self, chunk: &[u8]) -> Result<(), BodyError> {
        let needed = self.buffer.len() + chunk.len();
        if needed as u64 > self.bytes_max {
            return Err(BodyError::TooLarge);
        }
        self.lease.on_received(chunk.len() as u64);
        let capacity = self.capacity_for(needed);
        let held = capacity as u64 + self.body.queue_bytes();
        self.lease.hold(held).await?;
        self.buffer.reserve_exact(capacity - self.buffer.len());
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// The capacity of a buffer that is to take so many bytes.
    fn capacity_for(&self, needed: usize) -> usize {
        if needed <= self.buffer.capacity() {
            return self.buffer.capacity();
        }
        let doubled = (2 * self.buffer.capacity()).max(MIN_BUFFER_BYTES);
        let length = self.length.and_then(|length| usize::try_from(length).ok());
        length
            .map_or(doubled, |length| doubled.min(length))
            .max(needed)
    }

    /// What was read, which holds its part of the budget for as long as any copy of it lives.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        self.into_parts().0
    }

    /// What was read, as [`Self::into_bytes`], and what is left to be read.
    #[must_use]
    pub fn into_parts(self) -> (Bytes, ClientBody) {
        self.lease.complete();
        let bytes = if self.buffer.is_empty() {
            Bytes::new()
        } else {
            Bytes::from_owner(LeasedBytes {
                bytes: self.buffer,
                _lease: self.lease,
            })
        };
        (bytes, self.body)
    }

    /// What was read, and its part of the budget.
    #[must_use]
    pub fn into_leased(self) -> (Bytes, RequestLease) {
        (Bytes::from(self.buffer), self.lease)
    }
}
