//! The HTTP server of a daemon. It differs from `actix_web::HttpServer` in that connections are capped and give the server
//! no more bytes than it may hold ([`crate::client_connections`]).

use std::{
    cell::OnceCell,
    fmt, io,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};

use actix_http::{Extensions, HttpService, KeepAlive, Request, Response, body::MessageBody};
use actix_server::{Server, ServerBuilder};
use actix_service::{
    IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt as _, fn_service, map_config,
};
use actix_web::{
    Error, HttpMessage, HttpRequest, HttpResponse,
    body::BoxBody,
    dev::{AppConfig, ServiceRequest, ServiceResponse},
    middleware::Next,
    rt::net::TcpStream,
    web,
};
use error_stack::{Report, ResultExt};
use remote_calls::{Counter, Fault, Outcome};
use socket2::{Domain, Socket, Type};

use crate::{
    client_connections::{
        BusyConnection, ClientConnection, ClientLimits, ClientStream, ConnectionFigures,
        ConnectionRegistry,
    },
    heap_trim::HeapTrimmer,
    http::FaultResponse,
    limits::{
        CALL_BODY_TIMEOUT, CLIENT_RECEIVE_BUFFER_BYTES, LISTEN_BACKLOG, NO_MEMORY_RETRY_AFTER,
    },
    logging::StartError,
    process_limits::ProcessLimits,
    request_body::{BodyError, BodyReader, ClientBody},
    request_memory::{RequestLease, RequestMemory},
};

/// Connections that a worker accepts beyond its limit, in one part of this many: they are open for the moment that
/// closing another takes.
const OVERFLOW_PART: usize = 16;
/// Time that the server allows a client to close its side.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How a server treats connections.
#[derive(Clone)]
pub struct ServerOptions {
    /// Threads.
    pub workers: usize,
    /// What the process may take of its machine.
    pub process_limits: ProcessLimits,
    /// The budget that requests are drawn from.
    pub memory: RequestMemory,
    /// The limits that are in force for clients.
    pub client_limits: ClientLimits,
    /// How long the server keeps idle connections.
    pub keep_alive: KeepAlive,
    /// Time-out of the first head on a connection; zero: none.
    pub head_timeout: Duration,
    /// Whether small writes go out at once.
    pub no_delay: bool,
    /// Whether a client that has closed its sending side is still answered.
    pub allows_half_closed: bool,
    /// Time for requests under way when the server stops.
    pub stop_timeout: Duration,
}

/// Binds the ports for clients that the settings name.
///
/// # Errors
/// If an address is none, or is taken.
pub fn listen_all<'a>(
    addrs: impl IntoIterator<Item = &'a String>,
) -> Result<Vec<TcpListener>, Report<StartError>> {
    addrs
        .into_iter()
        .filter(|addr| !addr.is_empty())
        .map(|addr| {
            listen(addr)
                .change_context(StartError("bind an HTTP port"))
                .attach_with(|| addr.clone())
        })
        .collect()
}

fn listen(addr: &str) -> io::Result<TcpListener> {
    let addr: SocketAddr = addr.parse().map_err(io::Error::other)?;
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // Connections inherit it. Without it they work, but hold more.
    let _ = socket.set_recv_buffer_size(CLIENT_RECEIVE_BUFFER_BYTES);
    socket.bind(&addr.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// Starts a server at ports that are bound already.
///
/// # Errors
/// If a port cannot be listened on.
pub fn serve<F, I, S, B>(
    options: &ServerOptions,
    ports: Vec<TcpListener>,
    app: F,
) -> io::Result<Server>
where
    F: Fn() -> I + Send + Clone + 'static,
    I: IntoServiceFactory<S, Request>,
    S: ServiceFactory<Request, Config = AppConfig> + 'static,
    S::Error: Into<Error> + 'static,
    S::InitError: fmt::Debug,
    S::Response: Into<Response<B>> + 'static,
    <S::Service as Service<Request>>::Future: 'static,
    S::Service: 'static,
    B: MessageBody + 'static,
{
    let connections_max = options.process_limits.client_connections() / options.workers;
    let mut builder = ServerBuilder::default()
        .workers(options.workers)
        .max_concurrent_connections(connections_max)
        .shutdown_timeout(options.stop_timeout.as_secs())
        .disable_signals();
    for port in ports {
        let signal = builder.graceful_shutdown_signal();
        let (options, app) = (options.clone(), app.clone());
        let name = format!("http-{}", port.local_addr()?);
        builder = builder.listen(name, port, move || {
            let signal = signal.clone();
            let registry = worker_registry(&options, connections_max);
            let http = HttpService::build()
                .graceful_shutdown_signal(move || {
                    let signal = signal.clone();
                    async move { signal.notified().await }
                })
                .keep_alive(options.keep_alive)
                .client_request_timeout(options.head_timeout)
                .client_disconnect_timeout(DISCONNECT_TIMEOUT)
                .h1_allow_half_closed(options.allows_half_closed)
                .on_connect_ext(|stream: &ClientStream, extensions: &mut Extensions| {
                    extensions.insert(Rc::clone(stream.connection()));
                });
            let app = app()
                .into_factory()
                .map_err(|error| error.into().error_response());
            let no_delay = options.no_delay;
            fn_service(move |stream: TcpStream| {
                if no_delay {
                    let _ = stream.set_nodelay(true);
                }
                let peer = stream.peer_addr().ok();
                let stream = registry.accept(stream);
                async move { Ok((stream, peer)) }
            })
            .and_then(http.h1(map_config(app, |_| AppConfig::default())))
        })?;
    }
    Ok(builder.run())
}

thread_local! {
    /// The connections of a worker at all ports.
    static REGISTRY: OnceCell<Rc<ConnectionRegistry>> = const { OnceCell::new() };
}

fn worker_registry(options: &ServerOptions, connections_max: usize) -> Rc<ConnectionRegistry> {
    let new_registry = || {
        ConnectionRegistry::new(
            connections_max - connections_max / OVERFLOW_PART,
            options.client_limits.clone(),
            options.memory.clone(),
            HeapTrimmer::new(options.process_limits.trim_bytes()),
        )
    };
    REGISTRY.with(|registry| Rc::clone(registry.get_or_init(new_registry)))
}

/// Whether a request was sent to this address.
#[must_use]
pub fn is_local_addr(request: &HttpRequest, addr: &str) -> bool {
    let connection = request.conn_data::<Rc<ClientConnection>>();
    let local = connection.and_then(|connection| connection.local_addr());
    local.is_some_and(|local| local.to_string() == addr)
}

/// The largest body that calls may have, and the budget that it is drawn from.
#[derive(Clone)]
pub struct CallBodies {
    /// Bytes of the largest body.
    pub bytes_max: u64,
    /// The budget.
    pub memory: RequestMemory,
}

impl CallBodies {
    /// Counters of what clients hold of this process.
    #[must_use]
    pub fn counters(&self) -> Vec<Counter> {
        let memory = self.memory.figures();
        let connections = ConnectionFigures::current();
        let counters = [
            ("request_memory_bytes", memory.drawn),
            ("requests_refused_for_memory", memory.refused),
            ("requests_shed", memory.shed),
            ("client_connections", connections.open),
            ("client_connections_shed", connections.shed),
        ];
        let counter = |(name, value): (&str, u64)| Counter {
            name: name.into(),
            value,
        };
        counters.map(counter).into()
    }
}

/// Reads a call's body before its handler is called, which finds it as if it had come at once.
///
/// # Errors
/// Never: a body that is not read is answered.
pub async fn read_call_body(
    mut request: ServiceRequest,
    next: Next<BoxBody>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    let Some(bodies) = request.app_data::<web::Data<CallBodies>>().cloned() else {
        return next.call(request).await;
    };
    let payload = request.take_payload();
    let has_body = !matches!(payload, actix_http::Payload::None);
    let connection = request.conn_data::<Rc<ClientConnection>>();
    let _busy = connection.map(|connection| BusyConnection::new(connection, has_body));
    let lease = if has_body {
        let body = ClientBody::new(request.request(), payload);
        match read_whole(&request, body, &bodies).await {
            Ok((bytes, lease)) => {
                request.set_payload(bytes.into());
                Some(lease)
            }
            Err(error) => return Ok(request.into_response(body_rejection(error))),
        }
    } else {
        None
    };
    let response = next.call(request).await;
    drop(lease);
    response
}

async fn read_whole(
    request: &ServiceRequest,
    body: ClientBody,
    bodies: &CallBodies,
) -> Result<(web::Bytes, RequestLease), BodyError> {
    let length = request.headers().get("content-length");
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let mut reader = BodyReader::new(body, length, bodies.bytes_max, &bodies.memory);
    tokio::time::timeout(CALL_BODY_TIMEOUT, reader.read(u64::MAX))
        .await
        .unwrap_or(Err(BodyError::Shed))?;
    Ok(reader.into_leased())
}

/// What the caller of a call is told whose body was not read.
fn body_rejection(error: BodyError) -> HttpResponse {
    let mut response = actix_web::ResponseError::error_response(&body_fault(error));
    response
        .head_mut()
        .set_connection_type(actix_web::http::ConnectionType::Close);
    response
}

/// The fault of a body that was not read.
#[must_use]
pub fn body_fault(error: BodyError) -> FaultResponse {
    let fault =
        |code: &str, message: &str| Fault::new(code, "read_body", message).outcome(Outcome::NotRun);
    match error {
        BodyError::Incomplete => fault("bad_request", "its body did not come whole").into(),
        BodyError::TooLarge => fault("too_large", "its body is larger than bodies may be").into(),
        BodyError::OutOfMemory => {
            fault("no_memory", "this process has no memory left for its body")
                .retry(NO_MEMORY_RETRY_AFTER)
                .into()
        }
        BodyError::Shed => {
            let fault =
                fault("no_time", "its body did not come in time").retry(NO_MEMORY_RETRY_AFTER);
            FaultResponse(actix_web::http::StatusCode::REQUEST_TIMEOUT, fault)
        }
    }
}
