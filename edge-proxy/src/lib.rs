//! The edge proxy: answers callers where to go, and passes their requests to replicas.

pub mod actor;
mod attempt;
pub mod downstream;
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
    limits::{BACKLOG, NOT_YET, STOP_LOOK, WORKERS},
    logging::{self, StartFault, event},
    look::Look,
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

fn brain(p: &Params, reader: SpecParser) -> Proxy {
    let mut b = Proxy::new(
        p.name.as_str().into(),
        p.zone.as_str().into(),
        p.http.as_str().into(),
        clock::born(),
        fastrand::u64(..),
    );
    b.set_spec_parser(reader);
    b.set_policy(p.policy);
    b.set_bounds(p.bounds.clone(), p.regions.clone());
    b
}

/// Runs until the process is asked to stop. With a dialect it also passes requests by host and path.
pub async fn run(
    p: Params,
    dialect: Option<Arc<dyn ProtocolAdapter>>,
    reader: SpecParser,
) -> Result<(), Report<StartFault>> {
    let _log = logging::start(&p.log)?;
    let signals = StopSignals::listen()?;
    let brain: SharedProxy = Arc::new(Mutex::new(brain(&p, reader)));
    let a = ProxyActor::new(&p.name, &p.listen, &p.agent, brain.clone()).start();
    channels::listen(&p.bind, a.clone().recipient()).await?;
    match dialect {
        Some(d) => with_lanes(p, signals, a, brain, d).await,
        None => own(p, signals, a).await,
    }
}

/// The product's own calls alone.
async fn own(
    p: Params,
    signals: StopSignals,
    a: Addr<ProxyActor>,
) -> Result<(), Report<StartFault>> {
    let b = web::Data::new(a.clone());
    let stopping = Arc::new(ShutdownGate::default());
    let s = web::Data::from(stopping.clone());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(b.clone())
            .app_data(s.clone())
            .configure(http::routes)
    })
    .workers(WORKERS)
    .disable_signals()
    .bind(&p.http)
    .change_context(StartFault("bind the HTTP port"))
    .attach_with(|| p.http.clone())?
    .run();
    run_until_stopped(&p, signals, &a, &stopping, server).await;
    Ok(())
}

/// Requests by host and path as well.
async fn with_lanes(
    p: Params,
    signals: StopSignals,
    a: Addr<ProxyActor>,
    brain: SharedProxy,
    dialect: Arc<dyn ProtocolAdapter>,
) -> Result<(), Report<StartFault>> {
    let stopping = Arc::new(ShutdownGate::default());
    let f = Listener {
        proxy: brain,
        adapter: dialect,
        shutdown: stopping.clone(),
        readiness_addr: p.readiness.clone(),
        startup_wait: NOT_YET,
    };
    let ports = [&p.http, &p.readiness]
        .into_iter()
        .filter(|a| !a.is_empty());
    let ports = ports.map(|a| {
        listen(a)
            .change_context(StartFault("bind an HTTP port"))
            .attach_with(|| a.clone())
    });
    let ports = ports.collect::<Result<Vec<_>, _>>()?;
    let server = serve(f, a.clone(), ports).change_context(StartFault("serve the HTTP ports"))?;
    run_until_stopped(&p, signals, &a, &stopping, server).await;
    Ok(())
}

/// Serves until the process is asked to stop, and on to its end.
async fn run_until_stopped(
    p: &Params,
    mut signals: StopSignals,
    a: &Addr<ProxyActor>,
    stopping: &ShutdownGate,
    server: Server,
) {
    let h = server.handle();
    let served = actix_rt::spawn(server);
    event(
        events::STARTED,
        &p.name,
        &format!("http {} processes {}", p.http, p.listen),
    );
    signals.asked(&p.name).await;
    let _ = a
        .send(Look(Box::new(|a: &mut ProxyActor, now| a.stop(now))))
        .await;
    shut_down(stopping, &h, p.bounds.grace).await;
    let _ = tokio::time::timeout(STOP_LOOK, served).await;
    event(events::STOPPED, &p.name, "");
}

fn listen(addr: &str) -> io::Result<TcpListener> {
    let to: SocketAddr = addr.parse().map_err(io::Error::other)?;
    let s = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
    s.set_reuse_address(true)?;
    s.bind(&to.into())?;
    s.listen(BACKLOG)?;
    Ok(s.into())
}

/// The HTTP server of the product's own calls and of lanes, at ports that are bound already.
pub fn serve(f: Listener, a: Addr<ProxyActor>, ports: Vec<TcpListener>) -> io::Result<Server> {
    let (b, brain) = (web::Data::new(a), f.proxy.clone());
    let server = HttpServer::new(move || {
        let f = f.clone();
        App::new()
            .app_data(b.clone())
            .configure(|c| http::routes_and_lanes(c, f))
    })
    // One thread: channels to replicas are shared by all requests, and the brain is under one lock anyway.
    .workers(1)
    .disable_signals()
    .tcp_nodelay(true)
    // A downstream that closes has left: its replica stops work.
    .h1_allow_half_closed(false)
    // How long downstreams may take and rest is the spec's to say, which changes while this runs.
    .keep_alive(KeepAlive::Os)
    .client_request_timeout(Duration::ZERO)
    .on_connect(move |io, ext| downstream::connected(&brain, io, ext));
    Ok(ports
        .into_iter()
        .try_fold(server, |s, p| s.listen(p))?
        .run())
}
