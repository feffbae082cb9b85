//! Waiting for SIGTERM or SIGINT.

use actix_web::dev::Server;
use coordination::events;

use crate::logging::event;

/// Returns when the process is asked to stop.
pub async fn asked(name: &str) {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut t), Ok(mut i)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) else {
        return std::future::pending().await;
    };
    tokio::select! { _ = t.recv() => (), _ = i.recv() => () }
    event(events::STOPPING, name, "");
}

/// Runs a daemon's HTTP server until the process is asked to stop; after the farewell open calls are let end.
pub async fn serve(server: Server, name: &str, ports: &str, farewell: impl Future<Output = ()>) {
    let h = server.handle();
    let served = actix_rt::spawn(server);
    event(events::STARTED, name, ports);
    asked(name).await;
    farewell.await;
    h.stop(true).await;
    let _ = served.await;
    event(events::STOPPED, name, "");
}
