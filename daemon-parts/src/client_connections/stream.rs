//! A client's connection as the HTTP server sees it: it gives the server no more bytes than it may hold.

use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use actix_web::rt::net::TcpStream;
use remote_calls::{Fault, Outcome};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};

use super::{ClientConnection, ConnectionState, OpenConnection, read_window::ReadPermission};
use crate::clock;

/// Bytes behind a head that was too large which are read and dropped, so that its client sees the response.
const DROPPED_BYTES_MAX: usize = 256 << 10;
/// Bytes that are dropped at once.
const DROPPED_AT_ONCE: usize = 4 << 10;

/// A client's connection.
pub struct ClientStream {
    io: Take<TcpStream>,
    connection: Rc<ClientConnection>,
    /// Bytes that were dropped behind a head that was too large.
    dropped_bytes: Option<usize>,
    _open: OpenConnection,
}

impl ClientStream {
    pub(super) fn new(
        stream: TcpStream,
        connection: Rc<ClientConnection>,
        open: OpenConnection,
    ) -> Self {
        ClientStream {
            io: stream.take(0),
            connection,
            dropped_bytes: None,
            _open: open,
        }
    }

    /// What handlers of its requests know of the connection.
    #[must_use]
    pub fn connection(&self) -> &Rc<ClientConnection> {
        &self.connection
    }

    fn poll_read_granted(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        bytes: usize,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        self.io.set_limit(bytes as u64);
        ready!(Pin::new(&mut self.io).poll_read(context, buffer))?;
        let read = buffer.filled().len() - filled_before;
        self.connection.window.on_read(read);
        if read > 0 {
            self.connection.received_at.set(clock::now());
        }
        Poll::Ready(Ok(()))
    }

    /// Refuses a head that is too large. Nothing else is under way on a connection that is new; on others the bytes of an
    /// earlier response may still wait to be written, and the connection just ends.
    fn refuse_head(&mut self) {
        self.dropped_bytes = Some(0);
        if matches!(self.connection.state.get(), ConnectionState::New(_)) {
            let _ = self.io.get_mut().try_write(&head_too_large());
        }
    }

    /// Reads what still comes, and ends.
    fn poll_drop_bytes(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut dropped = [0; DROPPED_AT_ONCE];
        while self
            .dropped_bytes
            .is_some_and(|bytes| bytes < DROPPED_BYTES_MAX)
        {
            let mut buffer = ReadBuf::new(&mut dropped);
            ready!(Pin::new(self.io.get_mut()).poll_read(context, &mut buffer))?;
            let read = buffer.filled().len();
            if read == 0 {
                break;
            }
            self.dropped_bytes = self.dropped_bytes.map(|bytes| bytes + read);
        }
        Poll::Ready(Ok(()))
    }
}

/// The response to a head that is too large to be read.
fn head_too_large() -> Vec<u8> {
    let message = "its head is larger than the configuration allows";
    let fault = Fault::new("too_large", "read_head", message).outcome(Outcome::NotRun);
    let body = serde_json::to_string(&fault).unwrap_or_default();
    format!(
        "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n\
        Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.dropped_bytes.is_some() {
            return self.poll_drop_bytes(context);
        }
        match self.connection.window.permission(context) {
            ReadPermission::Granted(bytes) => self.poll_read_granted(context, buffer, bytes),
            ReadPermission::Later => Poll::Pending,
            ReadPermission::HeadTooLarge => {
                self.refuse_head();
                self.poll_drop_bytes(context)
            }
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.io.get_mut()).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.io.get_mut()).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.io.get_mut()).poll_shutdown(context)
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        self.connection.fd.set(None);
    }
}
