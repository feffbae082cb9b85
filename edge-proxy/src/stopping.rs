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
pub struct Stopping {
    state: Mutex<Shutdown>,
    over: watch::Sender<bool>,
}

impl Stopping {
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
    pub fn open(&self) -> usize {
        self.state().open_requests()
    }
    /// Whether a request that has come in whole is taken.
    pub fn take(&self) -> bool {
        self.state().accept(clock::now())
    }
    /// Returns when the grace is over.
    pub async fn over(&self) {
        // The sender lives as long as this.
        let _ = self.over.subscribe().wait_for(|over| *over).await;
    }
}

/// What a request is told that comes too late.
pub fn refusal() -> Fault {
    Fault::new("stopping", "take_request", "this edge stops")
        .outcome(Outcome::NotRun)
        .retry(STOP_RETRY)
}

/// A request that is open, from its head to the end of its answer.
pub struct Open {
    stopping: Arc<Stopping>,
    held: Option<Held>,
}

impl Open {
    pub fn new(s: &Arc<Stopping>, r: &HttpRequest) -> Self {
        s.state().on_request_opened();
        Open {
            stopping: s.clone(),
            held: r.conn_data::<Rc<Downstream>>().map(Held::new),
        }
    }
    /// The request is held until then at the most.
    pub fn until(&self, t: Ms) {
        self.held.iter().for_each(|h| h.until(t));
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.stopping.state().on_request_closed();
    }
}

/// Goes from SIGTERM to the moment at which the process is to end.
pub async fn wind_down(s: &Stopping, h: &ServerHandle, grace: Ms) {
    let asked = clock::now();
    s.begin(grace, asked);
    while !s.state().is_done(clock::now()) {
        tokio::time::sleep(STOP_LOOK).await;
    }
    let (open, taken) = (s.open(), s.state().last_accepted_at());
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
