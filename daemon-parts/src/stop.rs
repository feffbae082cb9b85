//! Shutdown on SIGTERM or SIGINT.

use actix_web::dev::Server;
use coordination::events;
use error_stack::{Report, ResultExt};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::logging::{StartError, event};

/// The signals that stop a process. Their handlers are installed before the first port is served: until then a signal
/// ends the process at once, which has accepted no requests yet.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs handlers for both signals.
    ///
    /// # Errors
    /// The handlers could not be installed.
    pub fn listen() -> Result<Self, Report<StartError>> {
        let listen = |kind| signal(kind).change_context(StartError("install the signal handlers"));
        Ok(StopSignals {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
        })
    }

    /// Waits for a signal to stop.
    pub async fn received(&mut self, name: &str) {
        tokio::select! {
            _ = self.terminate.recv() => (),
            _ = self.interrupt.recv() => (),
        }
        event(events::STOPPING, name, "");
    }
}

/// Runs a daemon's HTTP server until a signal to stop. Then runs `before_stop` and lets calls in flight complete.
pub async fn serve(
    server: Server,
    mut signals: StopSignals,
    name: &str,
    ports: &str,
    before_stop: impl Future<Output = ()>,
) {
    let handle = server.handle();
    let served = actix_rt::spawn(server);
    event(events::STARTED, name, ports);
    signals.received(name).await;
    before_stop.await;
    handle.stop(true).await;
    let _ = served.await;
    event(events::STOPPED, name, "");
}
