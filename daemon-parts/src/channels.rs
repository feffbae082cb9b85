//! Channels between processes: frames over TCP, one channel a direction, each with a bounded buffer.
//! What cannot be sent is dropped; the state machines above expect that and repeat themselves.

use std::{collections::HashMap, io, time::Duration};

use actix::Recipient;
use coordination::events;
use error_stack::{Report, ResultExt};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};
use wire_messages::{Envelope, Message, Name, decode, encode, read_length};

use crate::{
    limits::{
        CHANNEL_BUFFER, CHANNELS, CONNECT_LIMIT, IDLE_LIMIT, PEER_PROBES, PEER_QUIET, PROBE_EVERY,
        SENT_LIMIT, WRITE_LIMIT, WRITER_IDLE,
    },
    logging::{StartFault, event},
};

/// A message that came in.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct Incoming(pub Envelope);

/// This process's channels to others.
pub struct Channels {
    name: Name,
    addr: Name,
    inbox: Recipient<Incoming>,
    out: HashMap<Name, mpsc::Sender<Vec<u8>>>,
}

impl Channels {
    pub fn new(name: &str, addr: &str, inbox: Recipient<Incoming>) -> Self {
        Channels {
            name: name.into(),
            addr: addr.into(),
            inbox,
            out: HashMap::new(),
        }
    }

    pub fn send(&mut self, to: &Name, msg: Message) {
        let e = Envelope {
            from: self.name.clone(),
            addr: self.addr.clone(),
            msg,
        };
        // Ownership messages take the same way into the mailbox as all others.
        if *to == self.addr {
            self.inbox.do_send(Incoming(e));
            return;
        }
        let kind = e.msg.name();
        let b = match encode(&e) {
            Ok(b) => b,
            Err(f) => return event(events::INVALID_FRAME, to, &format!("own {kind}: {f}")),
        };
        // A writer that had nothing to write has ended: daemons come and go, and those that went cost nothing.
        if self.out.get(to).is_none_or(mpsc::Sender::is_closed) {
            let (s, r) = mpsc::channel(CHANNEL_BUFFER);
            actix_rt::spawn(write_all(to.clone(), r, WRITER_IDLE));
            self.out.retain(|_, s| !s.is_closed());
            self.out.insert(to.clone(), s);
        }
        if self.out[to].try_send(b).is_err() {
            event(events::BUFFER_FULL, to, kind);
        }
    }
}

/// Sets up a channel that this process writes. What a cut holds up the system would send again after ever longer
/// pauses, up to as long again as the cut was; a channel that is given up and opened anew works a moment after it.
fn outgoing(s: &TcpStream) -> io::Result<()> {
    s.set_nodelay(true)?;
    SockRef::from(s).set_tcp_user_timeout(Some(SENT_LIMIT))
}

/// Sets up a channel that this process reads: one whose writer is gone without a word ends soon, and its place is free.
fn incoming(s: &TcpStream) -> io::Result<()> {
    let k = TcpKeepalive::new()
        .with_time(PEER_QUIET)
        .with_interval(PROBE_EVERY)
        .with_retries(PEER_PROBES);
    SockRef::from(s).set_tcp_keepalive(&k)
}

async fn write_all(to: Name, mut r: mpsc::Receiver<Vec<u8>>, idle: Duration) {
    let mut open: Option<TcpStream> = None;
    while let Ok(Some(b)) = timeout(idle, r.recv()).await {
        if open.is_none() {
            open = match timeout(CONNECT_LIMIT, TcpStream::connect(&*to)).await {
                Ok(Ok(s)) => {
                    // A system that lacks an option serves all the same, only later after a cut.
                    let _ = outgoing(&s);
                    Some(s)
                }
                // What waited meanwhile is as stale as this one.
                _ => {
                    while r.try_recv().is_ok() {}
                    continue;
                }
            };
        }
        let Some(s) = open.as_mut() else { continue };
        if !matches!(timeout(WRITE_LIMIT, s.write_all(&b)).await, Ok(Ok(()))) {
            event(events::CONNECTION_LOST, &to, "while writing");
            open = None;
        }
    }
}

/// Binds the port and reads frames into the inbox.
pub async fn listen(addr: &str, inbox: Recipient<Incoming>) -> Result<(), Report<StartFault>> {
    let l = TcpListener::bind(addr)
        .await
        .change_context(StartFault("bind the port for our processes"))
        .attach(addr.to_string())?;
    let free = std::sync::Arc::new(tokio::sync::Semaphore::new(CHANNELS));
    actix_rt::spawn(async move {
        loop {
            let Ok((s, peer)) = l.accept().await else {
                tokio::time::sleep(CONNECT_LIMIT).await;
                continue;
            };
            // Over the limit a channel is closed at once, so that strangers cannot hold memory.
            let Ok(p) = free.clone().try_acquire_owned() else {
                continue;
            };
            let inbox = inbox.clone();
            let _ = incoming(&s);
            actix_rt::spawn(async move {
                if let Err(why) = read_frames(s, inbox).await {
                    event(events::INVALID_FRAME, &peer.to_string(), &why);
                }
                drop(p);
            });
        }
    });
    Ok(())
}

async fn read_frames(mut s: TcpStream, inbox: Recipient<Incoming>) -> Result<(), String> {
    loop {
        let mut head = [0; 4];
        match timeout(IDLE_LIMIT, s.read_exact(&mut head)).await {
            Ok(Ok(_)) => {}
            _ => return Ok(()),
        }
        let n = read_length(head).map_err(|f| f.to_string())?;
        let mut b = Vec::new();
        // Memory grows with what arrives, not with what the length claims.
        let got = timeout(WRITE_LIMIT, (&mut s).take(n as u64).read_to_end(&mut b)).await;
        if !matches!(got, Ok(Ok(m)) if m == n) {
            return Err(format!("frame of {n} bytes was cut short"));
        }
        let e = decode(&b).map_err(|f| f.to_string())?;
        let kind = e.msg.name();
        if inbox.try_send(Incoming(e)).is_err() {
            event(events::BUFFER_FULL, "inbox", kind);
        }
    }
}

#[cfg(test)]
mod tests;
