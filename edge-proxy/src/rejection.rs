//! Responses of the proxy's own.

use coordination::Ms;
use daemon_parts::{
    http::FaultResponse, http_server::body_fault, limits::STOP_RETRY_AFTER, request_body::BodyError,
};
use http::{HeaderMap, StatusCode};
use remote_calls::{Fault, Outcome};

/// A response of the proxy's own, in place of a replica's.
pub type Rejection = (StatusCode, Fault);

/// A body over its limit never reached its end at any replica: none ran it.
fn body_too_large() -> Rejection {
    let message = "its body is larger than the configuration allows";
    let fault = Fault::new("too_large", "read_body", message).outcome(Outcome::NotRun);
    (StatusCode::PAYLOAD_TOO_LARGE, fault)
}

/// The response to a request whose body was not read to its end. No replica has got all of it, and none will: none ran it.
pub fn body_rejection(error: BodyError) -> Rejection {
    match error {
        BodyError::TooLarge => body_too_large(),
        BodyError::Incomplete | BodyError::OutOfMemory | BodyError::Shed => {
            let FaultResponse(status, fault) = body_fault(error);
            let status = StatusCode::from_u16(status.as_u16());
            (status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE), fault)
        }
    }
}

/// The response to a request whose time ran out before its body had come.
pub fn body_timed_out() -> Rejection {
    let message = "its body did not come in its time left";
    let fault = Fault::new("no_time", "read_body", message)
        .outcome(Outcome::NotRun)
        .retry(STOP_RETRY_AFTER);
    (StatusCode::REQUEST_TIMEOUT, fault)
}

/// This process ends while a replica may be running the request.
pub fn abandoned() -> Rejection {
    unknown_outcome("this edge ends before its replica has answered")
}

/// The request may have run.
pub fn unknown_outcome(message: &str) -> Rejection {
    let fault = Fault::new("replica_lost", "pass", message).outcome(Outcome::Unknown);
    (StatusCode::BAD_GATEWAY, fault)
}

/// When a replica asks a request to come back.
pub fn retry_after(headers: &HeaderMap) -> Option<Ms> {
    let value = headers.get(http::header::RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = value.trim().parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some((seconds * 1_000.0) as Ms)
}
