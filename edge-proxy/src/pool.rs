//! Connections to replicas: HTTP/1.1, one request at a time each, reused newest first. A connection that misbehaved is
//! closed: dropping it is enough.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    fmt::Display,
    io,
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
        CONNECT_ROUND_TRIPS, CONNECT_TIME_BASE, CONNECT_TIME_WEIGHT, CONNECTION_BUFFER_BYTES,
        IDLE_CLOSE_MARGIN, IDLE_SWEEP_INTERVAL, KEEPALIVE_INTERVAL, MAX_IDLE, MAX_REJECTION_BYTES,
        UNACKNOWLEDGED_TIMEOUT,
    },
};
use http::{HeaderMap, HeaderValue, Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpSocket, TcpStream},
    time::timeout,
};

use crate::request_body::RequestBody;

/// Why a request got no response's head.
pub enum SendError {
    /// Not a byte of it was written; here it is again.
    NotSent(Box<Request<RequestBody>>),
    /// It may have reached the replica.
    MaybeSent(String),
}

/// Why no connection was opened.
pub enum ConnectError {
    /// As many as this proxy may open are open.
    LimitReached,
    Failed(String),
    /// Nothing came back at all.
    TimedOut(String),
}

impl ConnectError {
    fn failed(addr: &str, error: impl Display) -> Self {
        ConnectError::Failed(format!("opening a channel to {addr}: {error}"))
    }
}

/// One connection to a replica.
pub struct Connection {
    sender: SendRequest<RequestBody>,
    io_task: JoinHandle<()>,
    /// Its socket, which the task owns.
    fd: RawFd,
    counted: CountedConnection,
    /// When its last response ended.
    idle_since: Ms,
    /// How long the replica lets it be idle.
    keep_alive: Ms,
    /// It has carried a request before.
    pub was_used: bool,
}

/// All connections to one address.
#[derive(Default)]
struct Peer {
    idle: RefCell<Vec<Connection>>,
    open_count: Cell<usize>,
    /// ms that connecting took of late.
    connect_ms: Cell<u64>,
}

impl Peer {
    fn record_connect_time(&self, took: Ms) {
        let average = (self.connect_ms.get() * (100 - CONNECT_TIME_WEIGHT)
            + took * CONNECT_TIME_WEIGHT)
            / 100;
        self.connect_ms.set(average);
    }

    /// Makes room for one more connection: one that was idle too long for this request is closed if need be.
    fn make_room(&self, connections_max: usize) -> Result<(), ConnectError> {
        if self.open_count.get() < connections_max {
            return Ok(());
        }
        let oldest = {
            let mut idle = self.idle.borrow_mut();
            (!idle.is_empty()).then(|| idle.remove(0))
        };
        oldest.map(drop).ok_or(ConnectError::LimitReached)
    }

    fn close_expired(&self, now: Ms) {
        self.idle.borrow_mut().retain(|connection| {
            !connection.sender.is_closed() && connection.may_be_reused(Ms::MAX, now)
        });
    }
}

/// Counts a connection from its opening to its end.
struct CountedConnection(Rc<Peer>);

impl CountedConnection {
    fn new(peer: Rc<Peer>) -> Self {
        peer.open_count.set(peer.open_count.get() + 1);
        CountedConnection(peer)
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        let open_count = &self.0.open_count;
        open_count.set(open_count.get().saturating_sub(1));
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // A replica stops work when its connection closes.
        self.io_task.abort();
    }
}

/// ms for which a replica says that an idle connection stays open.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Ms> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split([',', ';']).find_map(|parameter| {
        let seconds = parameter.trim().strip_prefix("timeout=")?;
        seconds.trim().parse::<u64>().ok()
    })?;
    Some(seconds.saturating_mul(1_000))
}

fn closes_connection(headers: &HeaderMap) -> bool {
    let says_close = |value: &HeaderValue| {
        value.to_str().is_ok_and(|value| {
            value
                .split(',')
                .any(|option| option.trim().eq_ignore_ascii_case("close"))
        })
    };
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .any(says_close)
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// Whether the request was certainly not sent, or may have been.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendError> {
        self.was_used = true;
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => Err(match error.take_message() {
                Some(request) => SendError::NotSent(Box::new(request)),
                None => SendError::MaybeSent(error.into_error().to_string()),
            }),
        }
    }

    /// Takes what the replica says of how long an idle connection stays open.
    pub fn read_keep_alive(&mut self, headers: &HeaderMap) {
        self.keep_alive = if closes_connection(headers) {
            0
        } else {
            keep_alive_timeout(headers).map_or(MAX_IDLE, |timeout| {
                timeout.saturating_sub(IDLE_CLOSE_MARGIN).min(MAX_IDLE)
            })
        };
    }

    /// Whether the peer has acknowledged all that was sent. A replica may respond before it reads a body: what is sent
    /// behind that waits until it is read, and is lost if it never is.
    fn is_all_acknowledged(&self) -> bool {
        if self.sender.is_closed() {
            return false;
        }
        let mut unsent_bytes: libc::c_int = 0;
        // SAFETY: the call only fills `unsent_bytes`. The socket is still open: its task runs on this thread, and has not
        // ended.
        let result = unsafe { libc::ioctl(self.fd, libc::TIOCOUTQ, &raw mut unsent_bytes) };
        result == 0 && unsent_bytes == 0
    }

    fn may_be_reused(&self, idle_max: Ms, now: Ms) -> bool {
        now.saturating_sub(self.idle_since) < self.keep_alive.min(idle_max)
    }
}

/// The idle connections of one thread.
#[derive(Default)]
pub struct ConnectionPool {
    peers: RefCell<HashMap<String, Rc<Peer>>>,
    swept_at: Cell<Ms>,
}

thread_local! {
    /// A worker's own: connections never move between threads.
    static POOL: Rc<ConnectionPool> = Rc::default();
}

impl ConnectionPool {
    /// The pool of the thread that calls.
    pub fn of_this_thread() -> Rc<ConnectionPool> {
        POOL.with(Rc::clone)
    }

    fn peer(&self, addr: &str) -> Rc<Peer> {
        if let Some(peer) = self.peers.borrow().get(addr) {
            return peer.clone();
        }
        self.peers
            .borrow_mut()
            .entry(addr.to_string())
            .or_default()
            .clone()
    }

    /// The newest idle connection that has not been idle for longer than `idle_max`.
    pub fn take_idle(&self, addr: &str, idle_max: Ms, now: Ms) -> Option<Connection> {
        let peer = self.peers.borrow().get(addr)?.clone();
        peer.close_expired(now);
        let mut idle = peer.idle.borrow_mut();
        let index = idle.iter().rposition(|connection| {
            connection.sender.is_ready()
                && connection.may_be_reused(idle_max, now)
                && connection.is_all_acknowledged()
        })?;
        Some(idle.remove(index))
    }

    /// Opens a connection, unless `connections_max` are open already. Gives the ms that it took, too.
    ///
    /// # Errors
    /// Why there is none.
    pub async fn connect(
        &self,
        addr: &str,
        connections_max: usize,
        round_trip_ms: Ms,
        time_left: Ms,
    ) -> Result<(Connection, Ms), ConnectError> {
        let peer = self.peer(addr);
        peer.make_room(connections_max)?;
        let target: SocketAddr = addr
            .parse()
            .map_err(|error| ConnectError::failed(addr, error))?;
        let socket = new_socket().map_err(|error| ConnectError::failed(addr, error))?;
        let expected_ms = peer.connect_ms.get().max(round_trip_ms);
        let limit = (CONNECT_TIME_BASE + CONNECT_ROUND_TRIPS * expected_ms).min(time_left);
        let begun_at = clock::now();
        let counted = CountedConnection::new(peer.clone());
        let connected = timeout(Duration::from_millis(limit), socket.connect(target)).await;
        let Ok(connected) = connected else {
            let message = format!("opening a channel to {addr}: nothing after {limit} ms");
            return Err(ConnectError::TimedOut(message));
        };
        let stream = connected.map_err(|error| ConnectError::failed(addr, error))?;
        let took = clock::now().saturating_sub(begun_at);
        peer.record_connect_time(took);
        let connection = start_http(stream, counted, begun_at + took)
            .await
            .map_err(|error| ConnectError::failed(addr, error))?;
        Ok((connection, took))
    }

    /// Takes back a connection whose response is complete.
    pub fn put_back(&self, mut connection: Connection, now: Ms) {
        if connection.sender.is_closed() || connection.keep_alive == 0 {
            return;
        }
        // One that has carried nothing yet may be idle just as long.
        connection.idle_since = now;
        let peer = connection.counted.0.clone();
        peer.idle.borrow_mut().push(connection);
        self.sweep(now);
    }

    /// Reads what little is left of a response that is not wanted, and takes the connection back.
    pub fn drain(self: Rc<Self>, connection: Connection, body: Incoming) {
        actix_rt::spawn(async move {
            let rest = Limited::new(body, MAX_REJECTION_BYTES as usize).collect();
            if matches!(timeout(UNACKNOWLEDGED_TIMEOUT, rest).await, Ok(Ok(_))) {
                self.put_back(connection, clock::now());
            }
        });
    }

    /// Replicas come and go: what is idle too long at any of them is closed.
    fn sweep(&self, now: Ms) {
        if now.saturating_sub(self.swept_at.get()) < IDLE_SWEEP_INTERVAL {
            return;
        }
        self.swept_at.set(now);
        self.peers.borrow_mut().retain(|_, peer| {
            peer.close_expired(now);
            peer.open_count.get() > 0
        });
    }
}

fn new_socket() -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    let _ = socket.set_nodelay(true);
    let options = SockRef::from(&socket);
    let _ = options.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    let _ = options.set_tcp_keepalive(&keepalive);
    Ok(socket)
}

async fn start_http(
    stream: TcpStream,
    counted: CountedConnection,
    now: Ms,
) -> hyper::Result<Connection> {
    let fd = stream.as_raw_fd();
    let (sender, io) = Builder::new()
        .max_buf_size(CONNECTION_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    let io_task = actix_rt::spawn(async move {
        // What goes wrong shows at the request that it goes wrong for.
        let _ = io.await;
    });
    Ok(Connection {
        sender,
        io_task,
        fd,
        counted,
        idle_since: now,
        keep_alive: MAX_IDLE,
        was_used: false,
    })
}
