//! The edge proxy: answers callers where to go, and forwards their requests to replicas.
//!
//! A request by host and path can be followed from [`listener::handle_request`]: it is received, its `exchange` makes
//! attempts at replicas over connections of the `pool`, and `response` forwards what one of them answers. The product's own
//! calls are in [`http`] and `run_call`.

pub mod actor;
mod attempt;
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
    net::TcpListener,
    sync::{Arc, Mutex},
    time::Duration,
};

use actix::{Actor, Addr};
use actix_web::{App, dev::Server, http::KeepAlive, middleware::from_fn, web};
use coordination::{events, proxy::Proxy, state_table::SpecParser};
use daemon_parts::{
    channels, clock,
    http_server::{self, CallBodies, ServerOptions, listen_all, read_call_body},
    inspect::Inspect,
    limits::{MAX_BODY_BYTES, STARTUP_WAIT, STOP_CHECK_INTERVAL},
    logging::{self, StartError, event},
    params::Params,
    process_limits::ProcessLimits,
    request_memory::RequestMemory,
    stop::StopSignals,
};
use error_stack::{Report, ResultExt};

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
        None => daemon.serve_own_calls(&proxy)?,
    };
    daemon.run_until_stopped(server).await;
    Ok(())
}

impl Daemon {
    /// Serves the product's own calls alone.
    fn serve_own_calls(&self, proxy: &SharedProxy) -> Result<Server, Report<StartError>> {
        let actor = web::Data::new(self.actor.clone());
        let shutdown = web::Data::from(self.shutdown.clone());
        let limits = self.params.process_limits();
        let memory = RequestMemory::new(limits);
        let bodies = web::Data::new(call_bodies(&memory));
        let ports = listen_all([&self.params.http])?;
        let app = move || {
            App::new()
                .app_data(actor.clone())
                .app_data(shutdown.clone())
                .app_data(bodies.clone())
                .wrap(from_fn(read_call_body))
                .configure(http::routes)
        };
        http_server::serve(&server_options(limits, memory, proxy.clone()), ports, app)
            .change_context(StartError("serve the HTTP port"))
    }

    /// Serves requests by host and path as well.
    fn serve_lanes(
        &self,
        proxy: SharedProxy,
        adapter: Arc<dyn ProtocolAdapter>,
    ) -> Result<Server, Report<StartError>> {
        let limits = self.params.process_limits();
        let listener = Listener {
            proxy,
            adapter,
            memory: RequestMemory::new(limits),
            shutdown: self.shutdown.clone(),
            readiness_addr: self.params.readiness.clone(),
            startup_wait: STARTUP_WAIT,
        };
        let ports = listen_all([&self.params.http, &self.params.readiness])?;
        serve(listener, self.actor.clone(), limits, ports)
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

/// The budget and the largest body of the product's own calls.
fn call_bodies(memory: &RequestMemory) -> CallBodies {
    CallBodies {
        bytes_max: MAX_BODY_BYTES as u64,
        memory: memory.clone(),
    }
}

fn server_options(
    process_limits: ProcessLimits,
    memory: RequestMemory,
    proxy: SharedProxy,
) -> ServerOptions {
    ServerOptions {
        // One thread: connections to replicas are shared by all requests, and the state machine is under one lock anyway.
        workers: 1,
        process_limits,
        memory,
        client_limits: Arc::new(move || {
            let proxy = shared::lock(&proxy);
            proxy.client_limits().cloned().unwrap_or_default()
        }),
        // How long clients may take and be idle is the spec's to say, which changes while this runs.
        keep_alive: KeepAlive::Os,
        head_timeout: Duration::ZERO,
        no_delay: true,
        // A client that closes has left: its replica stops work.
        allows_half_closed: false,
        stop_timeout: Duration::ZERO,
    }
}

/// The HTTP server of the product's own calls and of lanes, at ports that are bound already.
///
/// # Errors
/// If a port cannot be listened on.
pub fn serve(
    listener: Listener,
    actor: Addr<ProxyActor>,
    limits: ProcessLimits,
    ports: Vec<TcpListener>,
) -> io::Result<Server> {
    let actor = web::Data::new(actor);
    let options = server_options(limits, listener.memory.clone(), listener.proxy.clone());
    let app = move || {
        let listener = listener.clone();
        App::new()
            .app_data(actor.clone())
            .configure(|config| http::routes_and_lanes(config, listener))
    };
    http_server::serve(&options, ports, app)
}
