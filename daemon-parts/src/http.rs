//! HTTP by `actix-web` and `awc`: faults as answers, JSON that is checked, calls as tools make them.

use std::time::Duration;

use actix_web::{HttpRequest, HttpResponse, ResponseError, http::StatusCode, web};
use remote_calls::{Call, Fault};
use serde::{Serialize, de::DeserializeOwned};

use crate::limits::BODY_MAX;

/// A fault with its status.
#[derive(Debug)]
pub struct Answer(pub StatusCode, pub Fault);

impl std::fmt::Display for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        self.1.fmt(f)
    }
}
impl ResponseError for Answer {
    fn status_code(&self) -> StatusCode {
        self.0
    }
    fn error_response(&self) -> HttpResponse {
        let mut r = HttpResponse::build(self.0);
        if let Some(ms) = self.1.retry_after_ms {
            // The header counts whole seconds; the body keeps the spread.
            r.insert_header(("Retry-After", ms.div_ceil(1_000).max(1).to_string()));
        }
        r.json(&self.1)
    }
}

/// The status of each code that a fault may have.
pub fn status(f: &Fault) -> StatusCode {
    match f.code.as_str() {
        "bad_request" | "bad_spec" | "bad_json" | "bad_plan" => StatusCode::BAD_REQUEST,
        "too_large" => StatusCode::PAYLOAD_TOO_LARGE,
        "not_found" => StatusCode::NOT_FOUND,
        "wrong_zone" => StatusCode::MISDIRECTED_REQUEST,
        "conflict" | "claimed" | "voided" | "stale_epoch" => StatusCode::CONFLICT,
        "full" | "overload" | "busy" => StatusCode::TOO_MANY_REQUESTS,
        "unknown" => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

impl From<Fault> for Answer {
    fn from(f: Fault) -> Self {
        Answer(status(&f), f)
    }
}

/// JSON bodies: limited, unknown fields rejected by the types, faults in the one shape.
pub fn json_config() -> web::JsonConfig {
    web::JsonConfig::default()
        .limit(BODY_MAX)
        .content_type_required(false)
        .error_handler(|e, _: &HttpRequest| {
            use actix_web::error::JsonPayloadError as J;
            let f = match &e {
                J::OverflowKnownLength { .. } | J::Overflow { .. } => {
                    Fault::new("too_large", "read_body", e.to_string())
                }
                // The first words of serde's message name the field.
                _ => {
                    let m = e.to_string();
                    let field = m.split('`').nth(1).map(str::to_string);
                    let f = Fault::new("bad_json", "read_body", m);
                    match field {
                        Some(x) => f.field(x),
                        None => f,
                    }
                }
            };
            Answer::from(f).into()
        })
}

/// The answer to a path nobody knows.
pub async fn no_such_path(r: HttpRequest) -> Result<HttpResponse, Answer> {
    Err(Fault::new(
        "not_found",
        "find_path",
        format!("no call {} {}", r.method(), r.path()),
    )
    .into())
}

/// Why a call gave no value: the peer's own fault, or ours of reaching it.
pub async fn call<B: Serialize, T: DeserializeOwned>(
    c: &awc::Client,
    addr: &str,
    (method, path): Call,
    body: Option<&B>,
    limit: Duration,
) -> Result<T, Fault> {
    call_path(c, addr, method, path, body, limit).await
}

/// As `call`, with the path's parameter filled in.
pub async fn call_path<B: Serialize, T: DeserializeOwned>(
    c: &awc::Client,
    addr: &str,
    method: &str,
    path: &str,
    body: Option<&B>,
    limit: Duration,
) -> Result<T, Fault> {
    let m = method.parse().unwrap_or(awc::http::Method::GET);
    let lost = |step: &str, e: String| Fault::new("unreachable", step, e).peer(addr);
    let r = c.request(m, format!("http://{addr}{path}")).timeout(limit);
    let sent = match body {
        Some(b) => r.send_json(b).await,
        None => r.send().await,
    };
    let mut a = sent.map_err(|e| lost("send_call", e.to_string()))?;
    let b = a
        .body()
        .limit(64 * BODY_MAX)
        .await
        .map_err(|e| lost("read_answer", e.to_string()))?;
    if !a.status().is_success() {
        let f = serde_json::from_slice::<Fault>(&b);
        return Err(f
            .unwrap_or_else(|_| lost("read_answer", format!("status {}", a.status())))
            .peer(addr));
    }
    serde_json::from_slice(&b).map_err(|e| lost("read_answer", e.to_string()))
}
