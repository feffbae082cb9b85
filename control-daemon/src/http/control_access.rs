//! Access of HTTP handlers to the state machine: reads on the actor, and writes that wait for a majority.

use actix::Addr;
use actix_web::web;
use coordination::{Ms, WriteOutcome, control::Control, register::Expect, wire::Change};
use daemon_parts::{
    http::FaultResponse,
    inspect::Inspect,
    limits::{MAX_NEWEST_VERSION_POLLS, NEWEST_VERSION_POLL_INTERVAL},
};
use remote_calls::Fault;

use crate::actor::{ControlActor, ReadNewest, WriteKey, disk_failed_fault};

/// The address of the actor that owns the state machine, as handlers receive it.
pub type ControlHandle = web::Data<Addr<ControlActor>>;

/// Returns the answer for a full mailbox of the actor.
pub(super) fn overload_fault<E>(_: E) -> FaultResponse {
    Fault::new("overload", "ask_owner", "the daemon's mailbox is full")
        .retry(1_000)
        .into()
}

/// Runs a function on the state machine, between two messages of its actor.
///
/// # Errors
/// If the daemon is overloaded or its disk fails.
pub async fn with_control<T: Send + 'static>(
    handle: &ControlHandle,
    access: impl FnOnce(&mut Control, Ms) -> T + Send + 'static,
) -> Result<T, FaultResponse> {
    handle
        .send(Inspect(Box::new(access)))
        .await
        .map_err(overload_fault)?
        .map_err(|()| disk_failed_fault().into())
}

/// Writes a value that a majority syncs; returns its version.
///
/// # Errors
/// If another write came first, no majority confirmed it, or the daemon accepts no writes.
pub async fn write_value(
    handle: &ControlHandle,
    key: &str,
    expect: Expect,
    value: Vec<u8>,
) -> Result<u64, FaultResponse> {
    let write = WriteKey {
        key: key.into(),
        expect,
        value,
    };
    let outcome = handle.send(write).await.map_err(overload_fault)?;
    committed_version(key, outcome)
}

/// Returns the newest value of a key that any majority has accepted; none if the key was never written.
///
/// # Errors
/// If no majority answers, or this daemon does not receive the value in time.
pub async fn read_newest(
    handle: &ControlHandle,
    key: &str,
) -> Result<Option<Change>, FaultResponse> {
    let read = ReadNewest(key.into());
    let outcome = handle.send(read).await.map_err(overload_fault)?;
    let version = committed_version(key, outcome)?;
    if version == 0 {
        return Ok(None);
    }
    // The owner has already sent it to all daemons; a daemon that missed it is repaired.
    for _ in 0..MAX_NEWEST_VERSION_POLLS {
        let key = key.to_string();
        let current = with_control(handle, move |control, _| {
            control
                .state_table()
                .get(&key)
                .filter(|change| change.version >= version)
                .cloned()
        })
        .await?;
        if current.is_some() {
            return Ok(current);
        }
        actix_rt::time::sleep(NEWEST_VERSION_POLL_INTERVAL).await;
    }
    Err(Fault::new(
        "not_settled",
        "read_value",
        format!("this daemon has not yet received version {version} of {key}"),
    )
    .retry(500)
    .into())
}

fn committed_version(key: &str, outcome: WriteOutcome) -> Result<u64, FaultResponse> {
    let fault = match outcome {
        WriteOutcome::Accepted(version) => return Ok(version),
        WriteOutcome::Conflict(version) => {
            let message =
                format!("another write came first; version {version} of {key} is current");
            Fault::new("conflict", "compare_version", message)
                .field("expect_version")
                .version(version)
        }
        WriteOutcome::NotAccepted(reason) => {
            Fault::new("not_accepted", "sync_majority", reason.as_str()).retry(1_000)
        }
        WriteOutcome::Unknown => {
            let message = format!(
                "no majority confirmed {key} in time; the write may still be committed: read the key to find out"
            );
            Fault::new("unknown", "sync_majority", message).retry(1_000)
        }
    };
    Err(fault.into())
}
