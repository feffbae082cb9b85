//! The proxy's own shutdown: counts the requests that are open and carries out what the shutdown's state machine decides.

use std::{
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use actix_web::{HttpRequest, dev::ServerHandle};
use coordination::{Ms, events, shutdown::Shutdown};
use daemon_parts::{
    client_connections::{BusyConnection, ClientConnection},
    clock,
    limits::{STOP_CHECK_INTERVAL, STOP_FLUSH_TIME, STOP_RETRY_AFTER},
    logging::event,
};
use remote_calls::{Fault, Outcome};
use tokio::sync::watch;

/// Whether this proxy shuts down, and how many requests it still has open.
#[derive(Default)]
pub struct ShutdownGate {
    state: Mutex<Shutdown>,
    is_grace_over: watch::Sender<bool>,
}

impl ShutdownGate {
    fn state(&self) -> MutexGuard<'_, Shutdown> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The proxy was asked to stop and is killed after the grace.
    pub fn begin(&self, grace: Ms, now: Ms) {
        self.state().begin(grace, now);
    }

    /// Whether the proxy was asked to stop.
    pub fn has_begun(&self) -> bool {
        self.state().has_begun()
    }

    /// Requests whose response has not ended.
    pub fn open_requests(&self) -> usize {
        self.state().open_requests()
    }

    /// Whether a request that was received to its end is accepted.
    pub fn try_accept(&self) -> bool {
        self.state().accept(clock::now())
    }

    /// Returns when the grace is over.
    pub async fn grace_over(&self) {
        // The sender lives as long as this.
        let mut receiver = self.is_grace_over.subscribe();
        let _ = receiver.wait_for(|is_over| *is_over).await;
    }
}

/// The answer to a request that comes too late.
pub fn shutdown_rejection() -> Fault {
    Fault::new("stopping", "take_request", "this edge stops")
        .outcome(Outcome::NotRun)
        .retry(STOP_RETRY_AFTER)
}

/// A request that is open, from its head to the end of its response.
pub struct OpenRequest {
    gate: Arc<ShutdownGate>,
    busy_connection: Option<BusyConnection>,
}

impl OpenRequest {
    /// Counts the request, and marks its connection as carrying one.
    pub fn new(gate: &Arc<ShutdownGate>, request: &HttpRequest, has_body: bool) -> Self {
        gate.state().on_request_opened();
        let connection = request.conn_data::<Rc<ClientConnection>>();
        OpenRequest {
            gate: gate.clone(),
            busy_connection: connection.map(|connection| BusyConnection::new(connection, has_body)),
        }
    }

    /// The request holds its connection until then at the most.
    pub fn set_deadline(&self, deadline: Ms) {
        if let Some(busy) = &self.busy_connection {
            busy.set_deadline(deadline);
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.gate.state().on_request_closed();
    }
}

/// Goes from SIGTERM to the moment at which the process is to end.
pub async fn shut_down(gate: &ShutdownGate, server: &ServerHandle, grace: Ms) {
    let begun_at = clock::now();
    gate.begin(grace, begun_at);
    while !gate.state().is_done(clock::now()) {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
    let open_requests = gate.open_requests();
    let last_accepted_at = gate.state().last_accepted_at();
    if open_requests > 0 {
        let text = format!(
            "open={open_requests} last_taken_ms={} now_ms={}",
            last_accepted_at.saturating_sub(begun_at),
            clock::now() - begun_at
        );
        event(events::REQUESTS_ABORTED, "", &text);
    }
    gate.is_grace_over.send_replace(true);
    server.pause().await;
    // A stop of the HTTP server would wait for streams and for idle connections; both end with the process.
    tokio::time::sleep(STOP_FLUSH_TIME).await;
    drop(server.stop(false));
}
