//! HTTP with `actix-web` and `awc`: fault responses, validated JSON bodies, and calls by daemons and tools.

use std::time::Duration;

use actix_web::{
    HttpRequest, HttpResponse, ResponseError, error::JsonPayloadError, http::StatusCode, web,
};
use remote_calls::{Call, Fault};
use serde::{Serialize, de::DeserializeOwned};

use crate::limits::MAX_BODY_BYTES;

/// Ratio of the maximum response size to the maximum request body: the status of a whole fleet is that large.
const RESPONSE_FACTOR: usize = 64;

/// An HTTP response that reports a fault, with its status.
#[derive(Debug)]
pub struct FaultResponse(pub StatusCode, pub Fault);

impl std::fmt::Display for FaultResponse {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        self.1.fmt(formatter)
    }
}

impl ResponseError for FaultResponse {
    fn status_code(&self) -> StatusCode {
        self.0
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.0);
        if let Some(ms) = self.1.retry_after_ms {
            // The header has whole seconds; the body keeps the exact, jittered value in ms.
            let seconds = ms.div_ceil(1_000).max(1);
            response.insert_header(("Retry-After", seconds.to_string()));
        }
        response.json(&self.1)
    }
}

/// Returns the HTTP status for the code of a fault.
pub fn status(fault: &Fault) -> StatusCode {
    match fault.code.as_str() {
        "bad_request" | "bad_spec" | "bad_json" | "bad_plan" => StatusCode::BAD_REQUEST,
        "too_large" => StatusCode::PAYLOAD_TOO_LARGE,
        "unauthorized" => StatusCode::UNAUTHORIZED,
        "not_found" => StatusCode::NOT_FOUND,
        "wrong_zone" => StatusCode::MISDIRECTED_REQUEST,
        "conflict" | "claimed" | "voided" | "stale_epoch" => StatusCode::CONFLICT,
        "full" | "overload" | "busy" => StatusCode::TOO_MANY_REQUESTS,
        "unknown" => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

impl From<Fault> for FaultResponse {
    fn from(fault: Fault) -> Self {
        FaultResponse(status(&fault), fault)
    }
}

/// Returns the configuration for JSON bodies: limited size, errors reported as faults. The types reject unknown fields.
pub fn json_config() -> web::JsonConfig {
    web::JsonConfig::default()
        .limit(MAX_BODY_BYTES)
        .content_type_required(false)
        .error_handler(|error, _: &HttpRequest| FaultResponse::from(body_fault(&error)).into())
}

/// Removes the quoted text from an error message of serde, because it may be a tenant's key.
fn without_quoted_text(message: &str) -> String {
    match (message.find('"'), message.rfind('"')) {
        (Some(first), Some(last)) if first < last => {
            format!("{}...{}", &message[..=first], &message[last..])
        }
        _ => message.to_string(),
    }
}

fn body_fault(error: &JsonPayloadError) -> Fault {
    let message = without_quoted_text(&error.to_string());
    match error {
        JsonPayloadError::OverflowKnownLength { .. } | JsonPayloadError::Overflow { .. } => {
            Fault::new("too_large", "read_body", message)
        }
        _ => {
            // The first word in backticks in serde's message is the field.
            let field = message.split('`').nth(1).map(str::to_string);
            let fault = Fault::new("bad_json", "read_body", message);
            match field {
                Some(field) => fault.field(field),
                None => fault,
            }
        }
    }
}

/// Responds to an unknown path.
///
/// # Errors
/// Always: a fault with code `not_found`.
pub async fn no_such_path(request: HttpRequest) -> Result<HttpResponse, FaultResponse> {
    let message = format!("no such call: {} {}", request.method(), request.path());
    Err(Fault::new("not_found", "find_path", message).into())
}

/// Makes a call and decodes its response.
///
/// # Errors
/// The fault that the peer returned, or one with code `unreachable` if it returned none.
pub async fn call<B: Serialize, T: DeserializeOwned>(
    client: &awc::Client,
    addr: &str,
    (method, path): Call,
    body: Option<&B>,
    timeout: Duration,
) -> Result<T, Fault> {
    call_path(client, addr, method, path, body, timeout).await
}

/// Makes a call like [`call`], with the path's parameter filled in.
///
/// # Errors
/// As [`call`].
pub async fn call_path<B: Serialize, T: DeserializeOwned>(
    client: &awc::Client,
    addr: &str,
    method: &str,
    path: &str,
    body: Option<&B>,
    timeout: Duration,
) -> Result<T, Fault> {
    let unreachable =
        |step: &str, reason: String| Fault::new("unreachable", step, reason).peer(addr);
    let method = method.parse().unwrap_or(awc::http::Method::GET);
    let request = client
        .request(method, format!("http://{addr}{path}"))
        .timeout(timeout);
    let sent = match body {
        Some(body) => request.send_json(body).await,
        None => request.send().await,
    };
    let mut response = sent.map_err(|error| unreachable("send_call", error.to_string()))?;
    let bytes = response
        .body()
        .limit(RESPONSE_FACTOR * MAX_BODY_BYTES)
        .await
        .map_err(|error| unreachable("read_answer", error.to_string()))?;
    if !response.status().is_success() {
        let fault = serde_json::from_slice::<Fault>(&bytes).unwrap_or_else(|_| {
            unreachable("read_answer", format!("status {}", response.status()))
        });
        return Err(fault.peer(addr));
    }
    serde_json::from_slice(&bytes).map_err(|error| unreachable("read_answer", error.to_string()))
}
