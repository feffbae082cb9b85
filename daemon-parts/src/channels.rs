//! Channels between processes: frames over TCP, one connection per direction, each with a bounded queue.
//!
//! A message that cannot be sent is dropped: the state machines tolerate lost messages and resend.

use std::{collections::HashMap, io, sync::Arc, time::Duration};

use actix::Recipient;
use coordination::events;
use error_stack::{Report, ResultExt};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    time::timeout,
};
use wire_messages::{Envelope, Message, Name, decode, encode, read_length};

use crate::{
    limits::{
        CHANNEL_QUEUE_CAPACITY, CONNECT_TIMEOUT, FRAME_WRITE_TIMEOUT, KEEPALIVE_INTERVAL,
        KEEPALIVE_RETRIES, KEEPALIVE_TIME, MAX_CHANNELS, READER_IDLE_TIMEOUT,
        UNACKNOWLEDGED_TIMEOUT, WRITER_IDLE_TIMEOUT,
    },
    logging::{StartError, event},
    process_limits::ProcessLimits,
};
use frame_memory::FrameMemory;

mod frame_memory;

/// A received message.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct Incoming(pub Envelope);

/// Outgoing channels of this process.
pub struct Channels {
    name: Name,
    addr: Name,
    inbox: Recipient<Incoming>,
    writers: HashMap<Name, mpsc::Sender<Vec<u8>>>,
}

impl Channels {
    /// Creates the channels of process `name` at `addr`. `inbox` receives messages that the process sends to itself.
    pub fn new(name: &str, addr: &str, inbox: Recipient<Incoming>) -> Self {
        Channels {
            name: name.into(),
            addr: addr.into(),
            inbox,
            writers: HashMap::new(),
        }
    }

    /// Queues a message for the process at `to`, or drops it if the queue is full.
    pub fn send(&mut self, to: &Name, msg: Message) {
        let envelope = Envelope {
            from: self.name.clone(),
            addr: self.addr.clone(),
            msg,
        };
        // Messages to this process go through the mailbox like all others, which preserves their order.
        if *to == self.addr {
            self.inbox.do_send(Incoming(envelope));
            return;
        }
        let kind = envelope.msg.name();
        let frame = match encode(&envelope) {
            Ok(frame) => frame,
            Err(error) => {
                event(
                    events::INVALID_FRAME,
                    to,
                    &format!("outgoing {kind}: {error}"),
                );
                return;
            }
        };
        if self.writer(to).try_send(frame).is_err() {
            event(events::BUFFER_FULL, to, kind);
        }
    }

    /// Returns the queue of the writer to a process and starts a writer if none runs. Idle writers end, so that
    /// processes that have left the fleet use no resources.
    fn writer(&mut self, to: &Name) -> &mpsc::Sender<Vec<u8>> {
        if self.writers.get(to).is_none_or(mpsc::Sender::is_closed) {
            let (sender, receiver) = mpsc::channel(CHANNEL_QUEUE_CAPACITY);
            actix_rt::spawn(write_frames(to.clone(), receiver, WRITER_IDLE_TIMEOUT));
            self.writers.retain(|_, writer| !writer.is_closed());
            self.writers.insert(to.clone(), sender);
        }
        &self.writers[to]
    }
}

/// Configures a connection that this process writes to. After a network partition the kernel would retransmit at
/// increasing intervals, up to the duration of the partition; a reopened connection works at once.
fn configure_outgoing(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Configures a connection that this process reads from: keepalive closes it and frees its slot if the writer died
/// without closing it.
fn configure_incoming(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

async fn connect(to: &Name) -> Option<TcpStream> {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(&**to)).await;
    let Ok(Ok(stream)) = connected else {
        return None;
    };
    // Without these options the connection still works, but recovers later after a partition.
    let _ = configure_outgoing(&stream);
    Some(stream)
}

/// Writes queued frames until the queue has been empty for `idle`.
async fn write_frames(to: Name, mut queue: mpsc::Receiver<Vec<u8>>, idle: Duration) {
    let mut connection: Option<TcpStream> = None;
    while let Ok(Some(frame)) = timeout(idle, queue.recv()).await {
        if connection.is_none() {
            connection = connect(&to).await;
        }
        let Some(stream) = connection.as_mut() else {
            // Frames queued meanwhile are as stale as this one.
            while queue.try_recv().is_ok() {}
            continue;
        };
        let written = timeout(FRAME_WRITE_TIMEOUT, stream.write_all(&frame)).await;
        if !matches!(written, Ok(Ok(()))) {
            event(events::CONNECTION_LOST, &to, "while writing");
            connection = None;
        }
    }
}

/// Binds the port and starts to read frames into the inbox.
///
/// # Errors
/// The port could not be bound.
pub async fn listen(
    addr: &str,
    limits: ProcessLimits,
    inbox: Recipient<Incoming>,
) -> Result<(), Report<StartError>> {
    let listener = TcpListener::bind(addr)
        .await
        .change_context(StartError("bind the port for internal messages"))
        .attach(addr.to_string())?;
    actix_rt::spawn(accept_connections(listener, limits, inbox));
    Ok(())
}

async fn accept_connections(
    listener: TcpListener,
    limits: ProcessLimits,
    inbox: Recipient<Incoming>,
) {
    let slots = Arc::new(Semaphore::new(MAX_CHANNELS.min(limits.channels())));
    let memory = FrameMemory::new(limits);
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(CONNECT_TIMEOUT).await;
            continue;
        };
        // Connections above the limit are closed at once, so that unknown peers cannot occupy memory.
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            continue;
        };
        let (inbox, memory) = (inbox.clone(), memory.clone());
        let _ = configure_incoming(&stream);
        actix_rt::spawn(async move {
            if let Err(reason) = read_frames(stream, &memory, inbox).await {
                event(events::INVALID_FRAME, &peer.to_string(), &reason);
            }
            drop(slot);
        });
    }
}

/// Reads frames until the connection ends or idles too long. Returns an error if the bytes are not valid frames.
async fn read_frames(
    mut stream: TcpStream,
    memory: &FrameMemory,
    inbox: Recipient<Incoming>,
) -> Result<(), String> {
    loop {
        let mut prefix = [0; 4];
        let read = timeout(READER_IDLE_TIMEOUT, stream.read_exact(&mut prefix)).await;
        if !matches!(read, Ok(Ok(_))) {
            return Ok(());
        }
        let length = read_length(prefix).map_err(|error| error.to_string())?;
        let read = timeout(FRAME_WRITE_TIMEOUT, memory.read_frame(&mut stream, length)).await;
        let Ok(Some(frame)) = read else {
            return Err(format!("frame of {length} bytes was truncated"));
        };
        let envelope = decode(&frame.body).map_err(|error| error.to_string())?;
        let kind = envelope.msg.name();
        if inbox.try_send(Incoming(envelope)).is_err() {
            event(events::BUFFER_FULL, "inbox", kind);
        }
    }
}

#[cfg(test)]
mod tests;
