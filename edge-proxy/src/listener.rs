//! Requests by host and path as they come from clients.

use std::{sync::Arc, time::Duration};

use actix_web::{
    HttpRequest, HttpResponse,
    dev::Payload,
    web::{self, Payload as RawPayload},
};
use coordination::{
    Ms, events,
    exchange::{RequestHead, Sender},
    proxy::AdmittedRequest,
};
use daemon_parts::{
    clock,
    http_server::is_local_addr,
    limits::{NO_LANE_TIMEOUT, STARTUP_CHECK_INTERVAL},
    logging::event,
    request_body::ClientBody,
    request_memory::RequestMemory,
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, Uri, header};
use remote_calls::{DownstreamLimits, Fault, Outcome};

use crate::{
    exchange::{ClientRequest, Exchange},
    headers::is_hop_by_hop,
    protocol_adapter::ProtocolAdapter,
    rejection::{Rejection, abandoned, body_rejection, body_timed_out},
    request_body::RequestBody,
    response,
    shared::{SharedProxy, lock},
    shutdown::{OpenRequest, ShutdownGate, shutdown_rejection},
};

/// What the listener needs of the proxy.
#[derive(Clone)]
pub struct Listener {
    /// The proxy's state machine.
    pub proxy: SharedProxy,
    /// Reads and writes the platform's headers.
    pub adapter: Arc<dyn ProtocolAdapter>,
    /// The budget that bodies are drawn from.
    pub memory: RequestMemory,
    /// Whether this proxy stops.
    pub shutdown: Arc<ShutdownGate>,
    /// Address of the readiness check.
    pub readiness_addr: String,
    /// How long a request waits for a proxy that may not serve yet.
    pub startup_wait: Ms,
}

/// A request that goes to no replica, or to none any more.
struct RejectedRequest {
    rejection: Rejection,
    /// What the client still sends cannot be read: its connection is of no more use.
    closes_connection: bool,
}

/// The head of a request, and what follows from it.
struct ReceivedHead {
    admitted: Result<AdmittedRequest, Fault>,
    limits: DownstreamLimits,
    headers: HeaderMap,
    head: RequestHead,
    received_at: Ms,
    deadline: Ms,
}

/// Handles a request by host and path, from its head to the start of its response.
pub async fn handle_request(
    request: HttpRequest,
    payload: RawPayload,
    listener: web::Data<Listener>,
) -> HttpResponse {
    if listener.is_readiness_check(&request) {
        return listener.readiness_response();
    }
    let payload = payload.into_inner();
    let has_body = !matches!(payload, Payload::None);
    let open_request = OpenRequest::new(&listener.shutdown, &request, has_body);
    let body = ClientBody::new(&request, payload);
    let arrived_at = clock::now();
    listener.wait_until_ready().await;
    let mut exchange = match listener
        .receive(&request, body, &open_request, arrived_at)
        .await
    {
        Ok(exchange) => exchange,
        Err(rejected) => return listener.rejection_response(rejected),
    };
    let started = tokio::select! {
        biased;
        started = exchange.start() => started,
        () = listener.shutdown.grace_over() => Err(abandoned()),
    };
    let closes_connection = listener.shutdown.has_begun();
    match started {
        Ok(started) => response::forward(exchange, started, open_request, closes_connection),
        Err(rejection) => listener.rejection_response(RejectedRequest {
            rejection,
            closes_connection,
        }),
    }
}

impl Listener {
    // ---- readiness ----

    fn is_readiness_check(&self, request: &HttpRequest) -> bool {
        request.path() == self.adapter.readiness_path()
            && is_local_addr(request, &self.readiness_addr)
    }

    /// Whether this edge serves, for those who list it.
    fn readiness_response(&self) -> HttpResponse {
        let is_ready = !self.shutdown.has_begun() && lock(&self.proxy).is_ready(clock::now());
        if is_ready {
            HttpResponse::Ok().finish()
        } else {
            HttpResponse::ServiceUnavailable().finish()
        }
    }

    /// A proxy that has just started mostly serves within a moment. Requests wait that long for it, not longer, for a
    /// rejection that comes late is worth less than one at once.
    async fn wait_until_ready(&self) {
        let until = clock::now() + self.startup_wait;
        while !lock(&self.proxy).is_ready(clock::now()) && clock::now() < until {
            tokio::time::sleep(STARTUP_CHECK_INTERVAL).await;
        }
    }

    // ---- receiving a request ----

    /// Reads a request and checks whether it may be sent to a replica.
    async fn receive(
        &self,
        request: &HttpRequest,
        body: ClientBody,
        open_request: &OpenRequest,
        arrived_at: Ms,
    ) -> Result<Exchange, RejectedRequest> {
        let received = self.read_head(request, arrived_at)?;
        open_request.set_deadline(received.deadline);
        // Read before anything is answered, so that the connection can carry the next request whatever becomes of this.
        let body = self.read_body(body, &received).await?;
        let AdmittedRequest { lane, sender } = received
            .admitted
            .map_err(|fault| self.rejected(admission_rejection(fault)))?;
        if !self.shutdown.try_accept() {
            return Err(RejectedRequest {
                rejection: (StatusCode::SERVICE_UNAVAILABLE, shutdown_rejection()),
                closes_connection: true,
            });
        }
        let method = request.method().as_str().parse();
        let uri = path_and_query(request).parse::<Uri>();
        let (Ok(method), Ok(uri)) = (method, uri) else {
            let message = "its method or path is none";
            let fault = Fault::new("bad_request", "read_head", message).outcome(Outcome::NotRun);
            return Err(self.rejected((StatusCode::BAD_REQUEST, fault)));
        };
        let mut headers = received.headers;
        self.adapter.set_sender(&mut headers, &sender);
        let client_request = ClientRequest {
            lane,
            deadline: received.deadline,
            head: RequestHead {
                tenant: tenant_name(&sender),
                access_key: None,
                ..received.head
            },
            method,
            uri,
            headers,
            body,
            memory: self.memory.clone(),
        };
        let (proxy, adapter) = (self.proxy.clone(), self.adapter.clone());
        Ok(Exchange::new(proxy, adapter, client_request))
    }

    /// Reads a request's body, or the beginning of a large one.
    async fn read_body(
        &self,
        body: ClientBody,
        received: &ReceivedHead,
    ) -> Result<RequestBody, RejectedRequest> {
        let length = received
            .headers
            .get(header::CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let bytes_max = match received.limits.body_bytes {
            0 => u64::MAX,
            bytes => bytes,
        };
        let read = RequestBody::read(body, length, bytes_max, &self.memory);
        let time_left = received.deadline.saturating_sub(received.received_at);
        let rejection = match tokio::time::timeout(Duration::from_millis(time_left), read).await {
            Ok(Ok(body)) => return Ok(body),
            Ok(Err(error)) => body_rejection(error),
            Err(_) => body_timed_out(),
        };
        Err(RejectedRequest {
            rejection,
            closes_connection: true,
        })
    }

    fn rejection_response(&self, rejected: RejectedRequest) -> HttpResponse {
        let (status, fault) = rejected.rejection;
        event(events::REJECTED, "caller", &fault.to_string());
        let status = actix_web::http::StatusCode::from_u16(status.as_u16())
            .unwrap_or(actix_web::http::StatusCode::BAD_GATEWAY);
        let mut response = HttpResponse::build(status);
        if let Some(ms) = fault.retry_after_ms {
            // Clients by host and path read fractions of a second.
            let seconds = format!("{}.{:03}", ms / 1_000, ms % 1_000);
            response.insert_header(("Retry-After", seconds));
        }
        if let Some(challenge) = self.adapter.challenge()
            && status == actix_web::http::StatusCode::UNAUTHORIZED
        {
            response.insert_header(("WWW-Authenticate", challenge));
        }
        if rejected.closes_connection {
            response.force_close();
        }
        response.json(fault)
    }

    /// A rejection of a request that was read to its end.
    fn rejected(&self, rejection: Rejection) -> RejectedRequest {
        RejectedRequest {
            rejection,
            closes_connection: self.shutdown.has_begun(),
        }
    }

    fn read_head(
        &self,
        request: &HttpRequest,
        arrived_at: Ms,
    ) -> Result<ReceivedHead, RejectedRequest> {
        let received_at = clock::now();
        let host = host_of(request);
        let path = request.uri().path();
        let headers = end_to_end_headers(request);
        let head = self.adapter.request_head(host, path, &headers);
        let (admitted, limits) = {
            let mut proxy = lock(&self.proxy);
            let admitted = proxy.admit(&head, received_at);
            (admitted, proxy.client_limits().cloned().unwrap_or_default())
        };
        check_head_size(request, &limits)?;
        let time_limit = admitted
            .as_ref()
            .map_or(NO_LANE_TIMEOUT, |admitted| admitted.lane.time_limit_ms);
        let time_left = head
            .time_left_ms
            .map_or(time_limit, |time_left| time_left.min(time_limit));
        Ok(ReceivedHead {
            admitted,
            limits,
            headers,
            head,
            received_at,
            deadline: arrived_at + time_left,
        })
    }
}

/// The name under which a sender's requests are counted.
fn tenant_name(sender: &Sender) -> String {
    match sender {
        Sender::Tenant(name) => name.to_string(),
        Sender::Untenanted | Sender::Anonymous => String::new(),
    }
}

fn check_head_size(
    request: &HttpRequest,
    limits: &DownstreamLimits,
) -> Result<(), RejectedRequest> {
    if limits.header_bytes == 0 || head_bytes(request) <= limits.header_bytes {
        return Ok(());
    }
    let message = "its head is larger than the configuration allows";
    let fault = Fault::new("too_large", "read_head", message).outcome(Outcome::NotRun);
    Err(RejectedRequest {
        rejection: (StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, fault),
        closes_connection: true,
    })
}

fn host_of(request: &HttpRequest) -> &str {
    request
        .headers()
        .get("host")
        .and_then(|value| value.to_str().ok())
        .or_else(|| request.uri().host())
        .unwrap_or_default()
}

fn path_and_query(request: &HttpRequest) -> &str {
    request
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str())
}

/// A client's headers that are forwarded.
fn end_to_end_headers(request: &HttpRequest) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(request.headers().len() + 4);
    for (name, value) in request.headers() {
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value.as_bytes())) {
            headers.append(name, value);
        }
    }
    let hop_by_hop: Vec<HeaderName> = headers
        .keys()
        .filter(|name| is_hop_by_hop(name, &headers))
        .cloned()
        .collect();
    for name in &hop_by_hop {
        headers.remove(name);
    }
    headers
}

/// Bytes of a request's head as it is written in full.
fn head_bytes(request: &HttpRequest) -> u64 {
    // Around and behind the request line: two spaces, the protocol's name and a line end.
    const REQUEST_LINE_OVERHEAD: usize = 14;
    // Around each header: ": " and a line end.
    const HEADER_OVERHEAD: usize = 4;
    let target_bytes = request
        .uri()
        .path_and_query()
        .map_or(1, |target| target.as_str().len());
    let request_line = request.method().as_str().len() + target_bytes + REQUEST_LINE_OVERHEAD;
    request
        .headers()
        .iter()
        .fold(request_line, |bytes, (name, value)| {
            bytes + name.as_str().len() + value.len() + HEADER_OVERHEAD
        }) as u64
}

// ---- rejections ----

fn admission_rejection(fault: Fault) -> Rejection {
    let status = daemon_parts::http::status(&fault).as_u16();
    (StatusCode::from_u16(status).unwrap_or_default(), fault)
}
