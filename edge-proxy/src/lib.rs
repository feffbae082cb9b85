//! The edge proxy: answers callers where to go, and forwards their requests to replicas.
//!
//! A request by host and path can be followed from [`listener::handle_request`]: it is received, its `exchange` makes
//! attempts at replicas over connections of the `pool`, and `response` forwards what one of them answers. The product's own
//! calls are in [`http`] and `run_call`.

pub mod actor;
mod attempt;
pub mod client_connections;
mod exchange;
mod headers;
pub mod http;
pub mod listener;
mod pool;
pub mod protocol_adapter;
mod rejection;
pub mod replica_stream;
mod request_body;
mod response;
mod run_call;
pub mod shared;
pub mod shutdown;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    time::Duration,
};

use actix::{Actor, Addr};
use actix_web::{App, HttpServer, dev::Server, http::KeepAlive, web};
use coordination::{events, proxy::Proxy, state_table::SpecParser};
use daemon_parts::{
    channels, clock,
    inspect::Inspect,
    limits::{HTTP_WORKERS, LISTEN_BACKLOG, STARTUP_WAIT, STOP_CHECK_INTERVAL},
    logging::{self, StartError, event},
    params::Params,
    stop::StopSignals,
};
use error_stack::{Report, ResultExt};
use socket2::{Domain, Socket, Type};

use crate::{
    actor::ProxyActor,
    listener::Listener,
    protocol_adapter::ProtocolAdapter,
    shared::SharedProxy,
    shutdown::{ShutdownGate, shut_down},
};

fn new_proxy(params: &Params, parse_spec: SpecParser) -> Proxy {
    let mut proxy = Proxy::new(
        params.name.as_str().into(),
        params.zone.as_str().into(),
        params.http.as_str().into(),
        clock::new_incarnation(),
        fastrand::u64(..),
    );
    proxy.set_spec_parser(parse_spec);
    proxy.set_policy(params.policy);
    proxy.set_bounds(params.bounds.clone(), params.regions.clone());
    proxy
}

/// What runs until the process is asked to stop.
struct Daemon {
    params: Params,
    signals: StopSignals,
    actor: Addr<ProxyActor>,
    shutdown: Arc<ShutdownGate>,
}

/// Runs until the process is asked to stop. With an adapter it also forwards requests by host and path.
///
/// # Errors
/// If a port cannot be bound or the log cannot be written.
pub async fn run(
    params: Params,
    adapter: Option<Arc<dyn ProtocolAdapter>>,
    parse_spec: SpecParser,
) -> Result<(), Report<StartError>> {
    let _log = logging::start(&params.log)?;
    let signals = StopSignals::listen()?;
    let proxy: SharedProxy = Arc::new(Mutex::new(new_proxy(&params, parse_spec)));
    let actor = ProxyActor::new(&params.name, &params.listen, &params.agent, proxy.clone()).start();
    channels::listen(
        &params.bind,
        params.process_limits(),
        actor.clone().recipient(),
    )
    .await?;
    let daemon = Daemon {
        params,
        signals,
        actor,
        shutdown: Arc::default(),
    };
    let server = match adapter {
        Some(adapter) => daemon.serve_lanes(proxy, adapter)?,
        None => daemon.serve_own_calls()?,
    };
    daemon.run_until_stopped(server).await;
    Ok(())
}

impl Daemon {
    /// Serves the product's own calls alone.
    fn serve_own_calls(&self) -> Result<Server, Report<StartError>> {
        let actor = web::Data::new(self.actor.clone());
        let shutdown = web::Data::from(self.shutdown.clone());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(actor.clone())
                .app_data(shutdown.clone())
                .configure(http::routes)
        });
        let server = server
            .workers(HTTP_WORKERS)
            .disable_signals()
            .bind(&self.params.http)
            .change_context(StartError("bind the HTTP port"))
            .attach_with(|| self.params.http.clone())?;
        Ok(server.run())
    }

    /// Serves requests by host and path as well.
    fn serve_lanes(
        &self,
        proxy: SharedProxy,
        adapter: Arc<dyn ProtocolAdapter>,
    ) -> Result<Server, Report<StartError>> {
        let listener = Listener {
            proxy,
            adapter,
            shutdown: self.shutdown.clone(),
            readiness_addr: self.params.readiness.clone(),
            startup_wait: STARTUP_WAIT,
        };
        let ports = [&self.params.http, &self.params.readiness]
            .into_iter()
            .filter(|addr| !addr.is_empty())
            .map(|addr| {
                listen(addr)
                    .change_context(StartError("bind an HTTP port"))
                    .attach_with(|| addr.clone())
            })
            .collect::<Result<Vec<_>, _>>()?;
        serve(listener, self.actor.clone(), ports)
            .change_context(StartError("serve the HTTP ports"))
    }

    /// Serves until the process is asked to stop, and on to its end.
    async fn run_until_stopped(mut self, server: Server) {
        let handle = server.handle();
        let served = actix_rt::spawn(server);
        let params = &self.params;
        let text = format!("http {} processes {}", params.http, params.listen);
        event(events::STARTED, &params.name, &text);
        self.signals.received(&params.name).await;
        let stop = Inspect(Box::new(|actor: &mut ProxyActor, now| actor.stop(now)));
        let _ = self.actor.send(stop).await;
        shut_down(&self.shutdown, &handle, params.bounds.grace).await;
        let _ = tokio::time::timeout(STOP_CHECK_INTERVAL, served).await;
        event(events::STOPPED, &params.name, "");
    }
}

fn listen(addr: &str) -> io::Result<TcpListener> {
    let addr: SocketAddr = addr.parse().map_err(io::Error::other)?;
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// The HTTP server of the product's own calls and of lanes, at ports that are bound already.
///
/// # Errors
/// If a port cannot be listened on.
pub fn serve(
    listener: Listener,
    actor: Addr<ProxyActor>,
    ports: Vec<TcpListener>,
) -> io::Result<Server> {
    let actor = web::Data::new(actor);
    let proxy = listener.proxy.clone();
    let server = HttpServer::new(move || {
        let listener = listener.clone();
        App::new()
            .app_data(actor.clone())
            .configure(|config| http::routes_and_lanes(config, listener))
    })
    // One thread: connections to replicas are shared by all requests, and the state machine is under one lock anyway.
    .workers(1)
    .disable_signals()
    .tcp_nodelay(true)
    // A client that closes has left: its replica stops work.
    .h1_allow_half_closed(false)
    // How long clients may take and be idle is the spec's to say, which changes while this runs.
    .keep_alive(KeepAlive::Os)
    .client_request_timeout(Duration::ZERO)
    .on_connect(move |io, extensions| client_connections::on_connected(&proxy, io, extensions));
    Ok(ports
        .into_iter()
        .try_fold(server, |server, port| server.listen(port))?
        .run())
}
