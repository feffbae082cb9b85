//! Clients' connections: how long each may be idle, take for a request's head, and be held by one request. One task checks
//! them all, for the spec that sets the limits changes while connections are open, and a client that reads nothing keeps its
//! own response from ever looking at the time.

use std::{
    any::Any,
    cell::{Cell, RefCell},
    mem,
    net::Shutdown,
    rc::{Rc, Weak},
    time::Duration,
};

use actix_web::{dev::Extensions, rt::net::TcpStream};
use coordination::Ms;
use daemon_parts::{
    clock,
    limits::{
        CLIENT_CHECK_INTERVAL, CLIENT_CHECK_LATE, CLIENT_CHECK_SUSPENDED, CLIENT_HEAD_TIMEOUT,
        CLIENT_IDLE_TIMEOUT, CLIENT_REUSE_FIFTHS, LATE_RESPONSE_SLACK,
    },
};
use remote_calls::DownstreamLimits;
use socket2::{SockRef, Socket};

use crate::shared::{SharedProxy, lock};

/// What a connection does, since or until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// It has carried nothing yet.
    New(Ms),
    /// No request is on it since this time.
    Idle(Ms),
    /// It carries a request until then at the most.
    Busy(Ms),
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
        }
    }

    /// The same after the whole process was suspended, while the client could not be heard.
    pub fn resumed(self, now: Ms) -> Self {
        match self {
            ConnectionState::New(_) => ConnectionState::New(now),
            ConnectionState::Idle(_) => ConnectionState::Idle(now),
            ConnectionState::Busy(_) => self,
        }
    }
}

/// One client's connection.
pub struct ClientConnection {
    socket: Socket,
    state: Cell<ConnectionState>,
    /// The last check found its time over.
    is_expired: Cell<bool>,
}

/// One request on a client's connection, until its response has ended.
pub struct BusyConnection(Rc<ClientConnection>);

impl BusyConnection {
    /// Marks the connection as carrying a request.
    pub fn new(connection: &Rc<ClientConnection>) -> Self {
        connection.state.set(ConnectionState::Busy(Ms::MAX));
        connection.is_expired.set(false);
        BusyConnection(connection.clone())
    }

    /// The request holds the connection until then at the most.
    pub fn set_deadline(&self, deadline: Ms) {
        self.0.state.set(ConnectionState::Busy(deadline));
    }
}

impl Drop for BusyConnection {
    fn drop(&mut self) {
        self.0.state.set(ConnectionState::Idle(clock::now()));
    }
}

/// The connections of one worker.
#[derive(Default)]
struct ConnectionRegistry {
    connections: RefCell<Vec<Weak<ClientConnection>>>,
    is_checking: Cell<bool>,
}

thread_local! {
    /// A worker's own connections.
    static REGISTRY: Rc<ConnectionRegistry> = Rc::default();
}

/// A client has opened a connection.
pub fn on_connected(proxy: &SharedProxy, io: &dyn Any, extensions: &mut Extensions) {
    let Some(stream) = io.downcast_ref::<TcpStream>() else {
        return;
    };
    // Without another handle on it the connection cannot be checked; it serves all the same.
    let Ok(socket) = SockRef::from(stream).try_clone() else {
        return;
    };
    let connection = Rc::new(ClientConnection {
        socket,
        state: Cell::new(ConnectionState::New(clock::now())),
        is_expired: Cell::new(false),
    });
    let registry = REGISTRY.with(Rc::clone);
    registry
        .connections
        .borrow_mut()
        .push(Rc::downgrade(&connection));
    extensions.insert(connection);
    if !registry.is_checking.replace(true) {
        actix_rt::spawn(check_connections(registry, proxy.clone()));
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
            let _ = self.socket.shutdown(Shutdown::Both);
        }
        !result.closes
    }
}

/// Checks connections for as long as there are any.
async fn check_connections(registry: Rc<ConnectionRegistry>, proxy: SharedProxy) {
    let mut check_clock = CheckClock::new(clock::now());
    while !registry.connections.borrow().is_empty() {
        tokio::time::sleep(Duration::from_millis(CLIENT_CHECK_INTERVAL)).await;
        check_clock.on_check(clock::now());
        let limits = lock(&proxy).client_limits().cloned().unwrap_or_default();
        let connections = mem::take(&mut *registry.connections.borrow_mut());
        let open = connections.into_iter().filter(|connection| {
            connection
                .upgrade()
                .is_some_and(|connection| connection.check(&check_clock, &limits))
        });
        registry.connections.borrow_mut().extend(open);
    }
    registry.is_checking.set(false);
}
