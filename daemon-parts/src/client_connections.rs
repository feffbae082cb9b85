//! Clients' connections: how many there may be, how long each may be idle, take for a request's head, and be held by one
//! request. One task checks the times of them all, for the spec that sets the limits changes while connections are open,
//! and a client that reads nothing keeps its own response from ever looking at the time.

mod read_window;
mod stream;

use std::{
    cell::{Cell, RefCell},
    mem,
    net::{Shutdown, SocketAddr},
    os::fd::{AsRawFd, BorrowedFd, RawFd},
    rc::{Rc, Weak},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use actix_web::rt::net::TcpStream;
use coordination::Ms;
use remote_calls::DownstreamLimits;
use socket2::SockRef;

use crate::{
    clock,
    heap_trim::HeapTrimmer,
    limits::{
        CLIENT_CHECK_INTERVAL, CLIENT_CHECK_LATE, CLIENT_CHECK_SUSPENDED, CLIENT_DISCARD_TIME,
        CLIENT_HEAD_TIMEOUT, CLIENT_IDLE_TIMEOUT, CLIENT_REUSE_FIFTHS, LATE_RESPONSE_SLACK,
        MAX_HEAD_BYTES,
    },
    process_limits::CONNECTION_BYTES,
    request_memory::{RequestMemory, STALLED_AFTER},
};
use read_window::ReadWindow;

pub use stream::ClientStream;

/// What a connection does, since or until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// It has carried nothing yet.
    New(Ms),
    /// No request is on it since this time.
    Idle(Ms),
    /// It carries a request until then at the most.
    Busy(Ms),
    /// What its client still sends of a request that was answered is read and dropped, until then at the most.
    Discarding(Ms),
}

/// A limit of the spec, where it sets one.
fn limit_or(limit: Ms, default: Ms) -> Ms {
    if limit > 0 { limit } else { default }
}

impl ConnectionState {
    /// When the connection is to be closed.
    pub fn closes_at(self, limits: &DownstreamLimits) -> Ms {
        let head = limit_or(limits.header_ms, CLIENT_HEAD_TIMEOUT);
        let idle = limit_or(limits.idle_ms, CLIENT_IDLE_TIMEOUT);
        match self {
            ConnectionState::New(since) => since.saturating_add(head),
            // A head that begins when the connection may still be reused has its whole time.
            ConnectionState::Idle(since) => {
                since.saturating_add(idle.max(idle / 5 * CLIENT_REUSE_FIFTHS + head))
            }
            ConnectionState::Busy(until) => until.saturating_add(LATE_RESPONSE_SLACK),
            ConnectionState::Discarding(until) => until,
        }
    }

    /// The same after the whole process was suspended, while the client could not be heard.
    pub fn resumed(self, now: Ms) -> Self {
        match self {
            ConnectionState::New(_) => ConnectionState::New(now),
            ConnectionState::Idle(_) => ConnectionState::Idle(now),
            ConnectionState::Busy(_) | ConnectionState::Discarding(_) => self,
        }
    }
}

/// One client's connection.
pub struct ClientConnection {
    /// Its socket, until its stream is dropped.
    fd: Cell<Option<RawFd>>,
    local_addr: Option<SocketAddr>,
    limits: ClientLimits,
    window: ReadWindow,
    state: Cell<ConnectionState>,
    /// The last check found its time over.
    is_expired: Cell<bool>,
    /// Parts of the program that hold the connection for a request.
    holders: Cell<u32>,
    /// The body of the request that it carries has not come to its end.
    is_body_open: Cell<bool>,
    /// When bytes last came.
    received_at: Cell<Ms>,
}

impl ClientConnection {
    fn new(stream: &TcpStream, limits: ClientLimits) -> Rc<Self> {
        let now = clock::now();
        let window = ReadWindow::new(head_bytes_max(&limits));
        Rc::new(ClientConnection {
            fd: Cell::new(Some(stream.as_raw_fd())),
            local_addr: stream.local_addr().ok(),
            limits,
            window,
            state: Cell::new(ConnectionState::New(now)),
            is_expired: Cell::new(false),
            holders: Cell::new(0),
            is_body_open: Cell::new(false),
            received_at: Cell::new(now),
        })
    }

    /// The address that the client has connected to.
    pub fn local_addr(&self) -> Option<SocketAddr> {
        self.local_addr
    }

    /// All that came of a body was taken.
    pub fn on_body_taken(&self) {
        self.window.open_for_body();
    }

    /// A body with a length goes on as it comes.
    pub fn on_upload(&self) {
        self.window.widen_for_upload();
    }

    /// The end of a body came.
    pub fn on_body_end(&self) {
        self.is_body_open.set(false);
    }

    fn on_request_begin(&self, has_body: bool) {
        self.holders.set(self.holders.get() + 1);
        if self.holders.get() > 1 {
            return;
        }
        self.state.set(ConnectionState::Busy(Ms::MAX));
        self.is_expired.set(false);
        self.is_body_open.set(has_body);
        self.window.begin_body();
    }

    fn on_request_end(&self) {
        self.holders.set(self.holders.get().saturating_sub(1));
        if self.holders.get() > 0 {
            return;
        }
        let now = clock::now();
        if self.is_body_open.replace(false) {
            // A client that sends on would not see a response behind which its connection was reset.
            self.state
                .set(ConnectionState::Discarding(now + CLIENT_DISCARD_TIME));
            self.window.open_for_discarding();
        } else {
            self.state.set(ConnectionState::Idle(now));
            self.window.open_for_head(head_bytes_max(&self.limits));
        }
    }

    /// Closes the connection, whatever it does.
    fn close(&self) {
        let Some(fd) = self.fd.get() else { return };
        // SAFETY: the stream clears `fd` before it closes the socket, so the descriptor is still this socket's.
        let socket = unsafe { BorrowedFd::borrow_raw(fd) };
        let _ = SockRef::from(&socket).shutdown(Shutdown::Both);
        // The server sees the end only if it reads.
        self.window.open_for_discarding();
    }

    /// How well the connection can be spared, the best first; none if it cannot.
    fn spare_order(&self, now: Ms) -> Option<(SpareClass, Ms)> {
        let is_slow = now.saturating_sub(self.received_at.get()) >= STALLED_AFTER;
        match self.state.get() {
            ConnectionState::Idle(since) | ConnectionState::Discarding(since) => {
                Some((SpareClass::Idle, since))
            }
            ConnectionState::New(since) if is_slow => Some((SpareClass::Stalled, since)),
            ConnectionState::New(since) => Some((SpareClass::Incoming, since)),
            ConnectionState::Busy(_) if !self.is_body_open.get() => None,
            ConnectionState::Busy(_) if is_slow => {
                Some((SpareClass::Stalled, self.received_at.get()))
            }
            ConnectionState::Busy(_) => Some((SpareClass::Incoming, self.received_at.get())),
        }
    }
}

/// How well a connection can be spared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SpareClass {
    /// It carries no request.
    Idle,
    /// Its client has stopped in the middle of a request.
    Stalled,
    /// Its client sends a request.
    Incoming,
}

/// Bytes that a request's head may have.
fn head_bytes_max(limits: &ClientLimits) -> usize {
    match limits().header_bytes {
        0 => MAX_HEAD_BYTES,
        bytes => usize::try_from(bytes).unwrap_or(MAX_HEAD_BYTES),
    }
}

/// One request on a client's connection, until its response has ended.
pub struct BusyConnection(Rc<ClientConnection>);

impl BusyConnection {
    /// Marks the connection as carrying a request.
    pub fn new(connection: &Rc<ClientConnection>, has_body: bool) -> Self {
        connection.on_request_begin(has_body);
        BusyConnection(connection.clone())
    }

    /// The request holds the connection until then at the most.
    pub fn set_deadline(&self, deadline: Ms) {
        self.0.state.set(ConnectionState::Busy(deadline));
    }
}

impl Drop for BusyConnection {
    fn drop(&mut self) {
        self.0.on_request_end();
    }
}

/// The limits that are in force for clients.
pub type ClientLimits = Arc<dyn Fn() -> DownstreamLimits + Send + Sync>;

/// Connections of clients that are open, at all workers of this process.
static OPEN_CONNECTIONS: AtomicU64 = AtomicU64::new(0);
/// Connections that were closed to make room for others.
static SHED_CONNECTIONS: AtomicU64 = AtomicU64::new(0);

/// Figures of the connections of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionFigures {
    /// Connections that are open.
    pub open: u64,
    /// Connections that were closed to make room for others.
    pub shed: u64,
}

impl ConnectionFigures {
    /// The figures of this process.
    #[must_use]
    pub fn current() -> Self {
        ConnectionFigures {
            open: OPEN_CONNECTIONS.load(Ordering::Relaxed),
            shed: SHED_CONNECTIONS.load(Ordering::Relaxed),
        }
    }
}

/// Counts a connection for as long as it is open.
struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    fn new(open_count: &Rc<Cell<usize>>) -> Self {
        open_count.set(open_count.get() + 1);
        OPEN_CONNECTIONS.fetch_add(1, Ordering::Relaxed);
        OpenConnection(Rc::clone(open_count))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
        OPEN_CONNECTIONS.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The connections of one worker.
pub struct ConnectionRegistry {
    connections: RefCell<Vec<Weak<ClientConnection>>>,
    is_checking: Cell<bool>,
    open_count: Rc<Cell<usize>>,
    connections_max: usize,
    limits: ClientLimits,
    memory: RequestMemory,
    trimmer: RefCell<HeapTrimmer>,
}

impl ConnectionRegistry {
    /// A worker that may have `connections_max` connections, whose requests draw on `memory`.
    #[must_use]
    pub fn new(
        connections_max: usize,
        limits: ClientLimits,
        memory: RequestMemory,
        trimmer: HeapTrimmer,
    ) -> Rc<Self> {
        Rc::new(ConnectionRegistry {
            connections: RefCell::default(),
            is_checking: Cell::new(false),
            open_count: Rc::default(),
            connections_max,
            limits,
            memory,
            trimmer: RefCell::new(trimmer),
        })
    }

    /// A client has connected. At the limit, the connection that can be spared best is closed.
    pub fn accept(self: &Rc<Self>, stream: TcpStream) -> ClientStream {
        if self.open_count.get() >= self.connections_max {
            self.make_room();
        }
        let connection = ClientConnection::new(&stream, self.limits.clone());
        self.connections
            .borrow_mut()
            .push(Rc::downgrade(&connection));
        if !self.is_checking.replace(true) {
            actix_rt::spawn(check_connections(self.clone()));
        }
        ClientStream::new(stream, connection, OpenConnection::new(&self.open_count))
    }

    /// Returns memory to the system if much less is held than was.
    fn trim_heap(&self) {
        let connections = ConnectionFigures::current().open * CONNECTION_BYTES;
        let mut trimmer = self.trimmer.borrow_mut();
        trimmer.observe(connections + self.memory.take_peak());
        trimmer.observe(connections + self.memory.figures().drawn);
    }

    fn make_room(&self) {
        let now = clock::now();
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        let spared = connections
            .iter()
            .filter_map(Weak::upgrade)
            .filter(|connection| connection.fd.get().is_some())
            .filter_map(|connection| Some((connection.spare_order(now)?, connection)))
            .min_by_key(|(order, _)| *order);
        if let Some((_, connection)) = spared {
            SHED_CONNECTIONS.fetch_add(1, Ordering::Relaxed);
            connection.close();
            connection.fd.set(None);
        }
    }
}

/// What a check found of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckResult {
    /// Its time is over.
    pub is_expired: bool,
    /// It is to be closed.
    pub closes: bool,
}

/// The periodic checks of clients' connections, by when each came.
#[derive(Clone, Copy, Debug)]
pub struct CheckClock {
    checked_at: Ms,
    is_late: bool,
    was_suspended: bool,
}

impl CheckClock {
    /// Before the first check.
    pub fn new(now: Ms) -> Self {
        CheckClock {
            checked_at: now,
            is_late: false,
            was_suspended: false,
        }
    }

    /// A check comes now.
    pub fn on_check(&mut self, now: Ms) {
        let elapsed = now.saturating_sub(mem::replace(&mut self.checked_at, now));
        self.is_late = elapsed > CLIENT_CHECK_LATE;
        // Never twice in a row: what was sent during the first suspension has been read by now, and a machine that is slow
        // for long still closes what is idle.
        self.was_suspended = elapsed > CLIENT_CHECK_SUSPENDED && !self.was_suspended;
    }

    /// What a connection does now that this process runs again.
    pub fn current_state(&self, state: ConnectionState) -> ConnectionState {
        if self.was_suspended {
            state.resumed(self.checked_at)
        } else {
            state
        }
    }

    /// Whether a connection's time is over, and whether it is to be closed; `was_expired`: the last check found its time
    /// over too.
    pub fn check_connection(
        &self,
        state: ConnectionState,
        limits: &DownstreamLimits,
        was_expired: bool,
    ) -> CheckResult {
        let is_expired = self.checked_at >= state.closes_at(limits);
        // A check that comes late comes with timers that were due since: a request whose time ran out still says so.
        let is_spared = self.is_late && !was_expired && matches!(state, ConnectionState::Busy(_));
        CheckResult {
            is_expired,
            closes: is_expired && !is_spared,
        }
    }
}

impl ClientConnection {
    /// Checks the connection and closes it if its time is over. Says whether it stays open.
    fn check(&self, clock: &CheckClock, limits: &DownstreamLimits) -> bool {
        self.state.set(clock.current_state(self.state.get()));
        let result = clock.check_connection(self.state.get(), limits, self.is_expired.get());
        self.is_expired.set(result.is_expired);
        if result.closes {
            self.close();
        }
        !result.closes
    }
}

/// Checks connections for as long as there are any.
async fn check_connections(registry: Rc<ConnectionRegistry>) {
    let mut check_clock = CheckClock::new(clock::now());
    while !registry.connections.borrow().is_empty() || registry.trimmer.borrow().is_settling() {
        tokio::time::sleep(Duration::from_millis(CLIENT_CHECK_INTERVAL)).await;
        check_clock.on_check(clock::now());
        let limits = (registry.limits)();
        let connections = mem::take(&mut *registry.connections.borrow_mut());
        let open = connections.into_iter().filter(|connection| {
            connection
                .upgrade()
                .is_some_and(|connection| connection.check(&check_clock, &limits))
        });
        registry.connections.borrow_mut().extend(open);
        registry.trim_heap();
    }
    registry.is_checking.set(false);
}
