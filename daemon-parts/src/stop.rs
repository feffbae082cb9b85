//! Waiting for SIGTERM or SIGINT.

use actix_web::dev::Server;
use coordination::events;
use error_stack::{Report, ResultExt};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::logging::{StartError, event};

/// The signals that ask a process to stop. Listened to before the first port is served: until then a signal ends the
/// process at once, when it has accepted nothing yet.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Listens to both signals from now on.
    ///
    /// # Errors
    /// The handlers could not be installed.
    pub fn listen() -> Result<Self, Report<StartError>> {
        let listen = |kind| signal(kind).change_context(StartError("listen to signals"));
        Ok(StopSignals {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
        })
    }

    /// Returns when the process is asked to stop.
    pub async fn received(&mut self, name: &str) {
        tokio::select! {
            _ = self.terminate.recv() => (),
            _ = self.interrupt.recv() => (),
        }
        event(events::STOPPING, name, "");
    }
}

/// Runs a daemon's HTTP server until the process is asked to stop. Then `farewell` runs, and calls in flight may end.
pub async fn serve(
    server: Server,
    mut signals: StopSignals,
    name: &str,
    ports: &str,
    farewell: impl Future<Output = ()>,
) {
    let handle = server.handle();
    let served = actix_rt::spawn(server);
    event(events::STARTED, name, ports);
    signals.received(name).await;
    farewell.await;
    handle.stop(true).await;
    let _ = served.await;
    event(events::STOPPED, name, "");
}
