//! The proxy's own stop: counts what is open and carries out what the state machine of a shutdown decides.

use std::{
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use actix_web::{HttpRequest, dev::ServerHandle};
use coordination::{Ms, events, shutdown::Shutdown};
use daemon_parts::{
    clock,
    limits::{STOP_FLUSH, STOP_LOOK, STOP_RETRY},
    logging::event,
};
use remote_calls::{Fault, Outcome};
use tokio::sync::watch;

use crate::downstream::{Downstream, Held};

/// Whether this proxy stops, and what it still has open.
#[derive(Default)]
pub struct ShutdownGate {
    state: Mutex<Shutdown>,
    over: watch::Sender<bool>,
}

impl ShutdownGate {
    fn state(&self) -> MutexGuard<'_, Shutdown> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// The proxy was asked to stop and is killed after the grace.
    pub fn begin(&self, grace: Ms, now: Ms) {
        self.state().begin(grace, now);
    }
    pub fn is_begun(&self) -> bool {
        self.state().is_begun()
    }
    pub fn open_requests(&self) -> usize {
        self.state().open()
    }
    /// Whether a request that has come in whole is taken.
    pub fn try_accept(&self) -> bool {
        self.state().take(clock::now())
    }
    /// Returns when the grace is over.
    pub async fn grace_over(&self) {
        // The sender lives as long as this.
        let _ = self.over.subscribe().wait_for(|over| *over).await;
    }
}

/// What a request is told that comes too late.
pub fn shutdown_rejection() -> Fault {
    Fault::new("stopping", "take_request", "this edge stops")
        .outcome(Outcome::NotRun)
        .retry(STOP_RETRY)
}

/// A request that is open, from its head to the end of its answer.
pub struct OpenRequest {
    stopping: Arc<ShutdownGate>,
    held: Option<Held>,
}

impl OpenRequest {
    pub fn new(s: &Arc<ShutdownGate>, r: &HttpRequest) -> Self {
        s.state().opened();
        OpenRequest {
            stopping: s.clone(),
            held: r.conn_data::<Rc<Downstream>>().map(Held::new),
        }
    }
    /// The request is held until then at the most.
    pub fn set_deadline(&self, t: Ms) {
        self.held.iter().for_each(|h| h.until(t));
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.stopping.state().closed();
    }
}

/// Goes from SIGTERM to the moment at which the process is to end.
pub async fn shut_down(s: &ShutdownGate, h: &ServerHandle, grace: Ms) {
    let asked = clock::now();
    s.begin(grace, asked);
    while !s.state().is_done(clock::now()) {
        tokio::time::sleep(STOP_LOOK).await;
    }
    let (open, taken) = (s.open_requests(), s.state().last_taken());
    if open > 0 {
        let text = format!(
            "open={open} last_taken_ms={} now_ms={}",
            taken.saturating_sub(asked),
            clock::now() - asked
        );
        event(events::REQUESTS_ABORTED, "", &text);
    }
    s.over.send_replace(true);
    h.pause().await;
    // A stop of the HTTP server would wait for streams and for connections that rest; both end with the process.
    tokio::time::sleep(STOP_FLUSH).await;
    drop(h.stop(false));
}
