//! Channels to replicas: HTTP/1.1 connections, one request at a time each, reused newest first. A channel that
//! misbehaved is closed: dropping it is enough.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    os::fd::{AsRawFd, RawFd},
    rc::Rc,
    time::Duration,
};

use actix_rt::task::JoinHandle;
use coordination::Ms;
use daemon_parts::{
    clock,
    limits::{
        CHANNEL_BYTES, IDLE_KEPT, IDLE_MARGIN, IDLE_SWEEP, OPEN_BASE, OPEN_FACTOR, OPEN_WEIGHT,
        PROBE_EVERY, REJECTION_MAX, SENT_LIMIT,
    },
};
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpSocket, time::timeout};

use crate::request_body::RequestBody;

/// Why a request got no answer's head.
pub enum SendError {
    /// Not a byte of it was written; here it is again.
    NotSent(Box<Request<RequestBody>>),
    /// It may have reached the replica.
    MaybeSent(String),
}

/// Why no channel was opened.
pub enum ConnectError {
    /// As many as this proxy may hold are open.
    LimitReached,
    Failed(String),
    /// Nothing came back at all.
    TimedOut(String),
}

/// One connection to a replica.
pub struct Connection {
    send: SendRequest<RequestBody>,
    io: JoinHandle<()>,
    /// Its socket, which `io` owns.
    fd: RawFd,
    counted: Counted,
    /// When its last answer ended.
    rested: Ms,
    /// How long the replica lets it rest.
    keep: Ms,
    /// It has carried a request before.
    pub was_used: bool,
}

/// All channels to one address.
#[derive(Default)]
struct Peer {
    idle: RefCell<Vec<Connection>>,
    open: Cell<usize>,
    /// ms that opening took of late.
    took: Cell<u64>,
}

/// Counts a channel from its opening to its end.
struct Counted(Rc<Peer>);

impl Counted {
    fn new(p: Rc<Peer>) -> Self {
        p.open.set(p.open.get() + 1);
        Counted(p)
    }
}
impl Drop for Counted {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // A replica stops work when its channel closes.
        self.io.abort();
    }
}

impl Connection {
    pub async fn send(&mut self, q: Request<RequestBody>) -> Result<Response<Incoming>, SendError> {
        self.was_used = true;
        match self.send.try_send_request(q).await {
            Ok(a) => Ok(a),
            Err(mut e) => Err(match e.take_message() {
                Some(q) => SendError::NotSent(Box::new(q)),
                None => SendError::MaybeSent(e.into_error().to_string()),
            }),
        }
    }
    /// Heeds what the replica says of how long an idle channel stays.
    pub fn read_keep_alive(&mut self, h: &http::HeaderMap) {
        let closes = |v: &http::HeaderValue| {
            v.to_str()
                .is_ok_and(|v| v.split(',').any(|x| x.trim().eq_ignore_ascii_case("close")))
        };
        if h.get_all(http::header::CONNECTION).iter().any(closes) {
            self.keep = 0;
            return;
        }
        let told = h.get("keep-alive").and_then(|v| v.to_str().ok());
        let told = told.and_then(|v| {
            v.split([',', ';']).find_map(|x| {
                x.trim()
                    .strip_prefix("timeout=")?
                    .trim()
                    .parse::<u64>()
                    .ok()
            })
        });
        self.keep = told.map_or(IDLE_KEPT, |s| {
            s.saturating_mul(1_000)
                .saturating_sub(IDLE_MARGIN)
                .min(IDLE_KEPT)
        });
    }
    /// Whether all that was sent has arrived. A replica may answer before it reads a body: what is sent behind that waits
    /// until it is read, and is lost if it never is.
    fn arrived(&self) -> bool {
        if self.send.is_closed() {
            return false;
        }
        let mut n: libc::c_int = 0;
        // SAFETY: the call only fills `n`. The socket is still open: its task runs on this thread, and has not ended.
        let told = unsafe { libc::ioctl(self.fd, libc::TIOCOUTQ, &raw mut n) };
        told == 0 && n == 0
    }
    fn rests(&self, most: Ms, now: Ms) -> bool {
        now.saturating_sub(self.rested) < self.keep.min(most)
    }
}

#[derive(Default)]
pub struct ConnectionPool {
    peers: RefCell<HashMap<String, Rc<Peer>>>,
    swept: Cell<Ms>,
}

thread_local! {
    /// A worker's own: channels never move between threads.
    static POOL: Rc<ConnectionPool> = Rc::default();
}

impl ConnectionPool {
    pub fn of_this_thread() -> Rc<ConnectionPool> {
        POOL.with(Rc::clone)
    }
    fn peer(&self, addr: &str) -> Rc<Peer> {
        if let Some(p) = self.peers.borrow().get(addr) {
            return p.clone();
        }
        self.peers
            .borrow_mut()
            .entry(addr.to_string())
            .or_default()
            .clone()
    }

    /// The newest idle channel that has not rested for longer than `most`.
    pub fn take_idle(&self, addr: &str, most: Ms, now: Ms) -> Option<Connection> {
        let p = self.peers.borrow().get(addr)?.clone();
        let mut idle = p.idle.borrow_mut();
        idle.retain(|c| !c.send.is_closed() && c.rests(Ms::MAX, now));
        let i = idle
            .iter()
            .rposition(|c| c.send.is_ready() && c.rests(most, now) && c.arrived())?;
        Some(idle.remove(i))
    }

    /// Opens a channel, unless `most` are open already. `way`: ms there and back.
    pub async fn connect(
        &self,
        addr: &str,
        most: usize,
        way: Ms,
        left: Ms,
    ) -> Result<(Connection, Ms), ConnectError> {
        let peer = self.peer(addr);
        if peer.open.get() >= most {
            // Those that rest too long for this request make room.
            let oldest = {
                let mut idle = peer.idle.borrow_mut();
                (!idle.is_empty()).then(|| idle.remove(0))
            };
            if oldest.is_none() {
                return Err(ConnectError::LimitReached);
            }
        }
        let lost = |e: &dyn std::fmt::Display| {
            ConnectError::Failed(format!("opening a channel to {addr}: {e}"))
        };
        let to: SocketAddr = addr.parse().map_err(|e| lost(&e))?;
        let s = TcpSocket::new_v4().map_err(|e| lost(&e))?;
        let _ = s.set_nodelay(true);
        let raw = SockRef::from(&s);
        let _ = raw.set_tcp_user_timeout(Some(SENT_LIMIT));
        let _ = raw.set_tcp_keepalive(
            &TcpKeepalive::new()
                .with_time(PROBE_EVERY)
                .with_interval(PROBE_EVERY),
        );
        let limit = (OPEN_BASE + OPEN_FACTOR * peer.took.get().max(way)).min(left);
        let at = clock::now();
        let counted = Counted::new(peer.clone());
        let s = match timeout(Duration::from_millis(limit), s.connect(to)).await {
            Ok(Ok(s)) => s,
            Ok(Err(e)) => return Err(lost(&e)),
            Err(_) => {
                return Err(ConnectError::TimedOut(format!(
                    "opening a channel to {addr}: nothing after {limit} ms"
                )));
            }
        };
        let took = clock::now().saturating_sub(at);
        peer.took
            .set((peer.took.get() * (100 - OPEN_WEIGHT) + took * OPEN_WEIGHT) / 100);
        let fd = s.as_raw_fd();
        let made = Builder::new()
            .max_buf_size(CHANNEL_BYTES)
            .handshake(TokioIo::new(s))
            .await;
        let (send, io) = made.map_err(|e| lost(&e))?;
        let io = actix_rt::spawn(async move {
            // What goes wrong shows at the request that it goes wrong for.
            let _ = io.await;
        });
        Ok((
            Connection {
                send,
                io,
                fd,
                counted,
                rested: at + took,
                keep: IDLE_KEPT,
                was_used: false,
            },
            took,
        ))
    }

    /// Takes back a channel whose answer came whole.
    pub fn put_back(&self, mut c: Connection, now: Ms) {
        if c.send.is_closed() || c.keep == 0 {
            return;
        }
        // One that has carried nothing yet may wait just as long.
        c.rested = now;
        let peer = c.counted.0.clone();
        peer.idle.borrow_mut().push(c);
        self.sweep(now);
    }
    /// Reads what little is left of an answer that nobody wants, and takes the channel back.
    pub fn drain(self: Rc<Self>, c: Connection, body: Incoming) {
        actix_rt::spawn(async move {
            let whole = timeout(
                SENT_LIMIT,
                Limited::new(body, REJECTION_MAX as usize).collect(),
            )
            .await;
            if matches!(whole, Ok(Ok(_))) {
                self.put_back(c, clock::now());
            }
        });
    }
    /// Replicas come and go: what rests too long at any of them is closed.
    fn sweep(&self, now: Ms) {
        if now.saturating_sub(self.swept.get()) < IDLE_SWEEP {
            return;
        }
        self.swept.set(now);
        self.peers.borrow_mut().retain(|_, p| {
            p.idle
                .borrow_mut()
                .retain(|c| !c.send.is_closed() && c.rests(Ms::MAX, now));
            p.open.get() > 0
        });
    }
}
