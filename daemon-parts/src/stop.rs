//! Waiting for SIGTERM or SIGINT.

use coordination::events;

/// Returns when the process is asked to stop.
pub async fn asked(name: &str) {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut t), Ok(mut i)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) else {
        return std::future::pending().await;
    };
    tokio::select! { _ = t.recv() => (), _ = i.recv() => () }
    crate::logging::event(events::STOPPING, name, "");
}
