//! Channels between processes: frames over TCP, one channel a direction, each with a bounded buffer.
//! What cannot be sent is dropped; the state machines above expect that and repeat themselves.

use std::collections::HashMap;

use actix::{Message, Recipient};
use coordination::events;
use error_stack::{Report, ResultExt};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};
use wire_messages::{Envelope, Msg, Name, decode, encode, read_length};

use crate::{
    limits::{CHANNEL_BUFFER, CHANNELS, CONNECT_LIMIT, IDLE_LIMIT, WRITE_LIMIT},
    logging::{StartFault, event},
};

/// A message that came in.
#[derive(Message)]
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
        Channels { name: name.into(), addr: addr.into(), inbox, out: HashMap::new() }
    }

    pub fn send(&mut self, to: &Name, msg: Msg) {
        let e = Envelope { from: self.name.clone(), addr: self.addr.clone(), msg };
        // Own messages take the same way into the mailbox as all others.
        if *to == self.addr {
            self.inbox.do_send(Incoming(e));
            return;
        }
        let kind = e.msg.name();
        let b = match encode(&e) {
            Ok(b) => b,
            Err(f) => return event(events::CHANNEL_BAD_FRAME, to, &format!("own {kind}: {f}")),
        };
        let s = self.out.entry(to.clone()).or_insert_with(|| {
            let (s, r) = mpsc::channel(CHANNEL_BUFFER);
            actix_rt::spawn(write_all(to.clone(), r));
            s
        });
        if s.try_send(b).is_err() {
            event(events::BUFFER_FULL, to, kind);
        }
    }
}

async fn write_all(to: Name, mut r: mpsc::Receiver<Vec<u8>>) {
    let mut open: Option<TcpStream> = None;
    while let Some(b) = r.recv().await {
        if open.is_none() {
            open = match timeout(CONNECT_LIMIT, TcpStream::connect(&*to)).await {
                Ok(Ok(s)) => {
                    let _ = s.set_nodelay(true);
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
            event(events::CHANNEL_LOST, &to, "while writing");
            open = None;
        }
    }
}

/// Binds the port and reads frames into the inbox.
pub async fn listen(addr: &str, inbox: Recipient<Incoming>) -> Result<(), Report<StartFault>> {
    let l =
        TcpListener::bind(addr).await.change_context(StartFault("bind the port for our processes")).attach(addr.to_string())?;
    let free = std::sync::Arc::new(tokio::sync::Semaphore::new(CHANNELS));
    actix_rt::spawn(async move {
        loop {
            let Ok((s, peer)) = l.accept().await else {
                tokio::time::sleep(CONNECT_LIMIT).await;
                continue;
            };
            // Over the limit a channel is closed at once, so that strangers cannot hold memory.
            let Ok(p) = free.clone().try_acquire_owned() else { continue };
            let inbox = inbox.clone();
            actix_rt::spawn(async move {
                if let Err(why) = read_frames(s, inbox).await {
                    event(events::CHANNEL_BAD_FRAME, &peer.to_string(), &why);
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
