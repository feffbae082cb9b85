//! The edge proxy: answers callers where to go, and passes their requests to replicas.

pub mod actor;
mod answer;
pub mod dialect;
pub mod downstream;
pub mod front;
pub mod http;
mod pass;
mod pool;
pub mod round;
pub mod shared;
mod upload;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    time::Duration,
};

use actix::{Actor, Addr};
use actix_web::{
    App, HttpServer,
    dev::{Server, ServerHandle},
    http::KeepAlive,
    web,
};
use coordination::{board::SpecReader, events, proxy::Proxy};
use daemon_parts::{
    channels, clock,
    limits::{BACKLOG, NOT_YET, STOP_LAST, STOP_LIMIT, STOP_LOOK, STOP_TAKES, WORKERS},
    logging::{self, StartFault, event},
    look::Look,
    params::Params,
    stop,
};
use error_stack::{Report, ResultExt};
use socket2::{Domain, Socket, Type};

use crate::{
    actor::ProxyActor,
    dialect::Dialect,
    front::{Front, Stopping},
    shared::Shared,
};

fn brain(p: &Params, reader: SpecReader) -> Proxy {
    let mut b =
        Proxy::new(p.name.as_str().into(), p.zone.as_str().into(), p.http.as_str().into(), clock::born(), fastrand::u64(..));
    b.set_reader(reader);
    b.set_bounds(p.bounds.clone(), p.regions.clone());
    b
}

/// Runs until the process is asked to stop. With a dialect it also passes requests by host and path.
pub async fn run(p: Params, dialect: Option<Arc<dyn Dialect>>, reader: SpecReader) -> Result<(), Report<StartFault>> {
    let _log = logging::start(&p.log)?;
    let brain: Shared = Arc::new(Mutex::new(brain(&p, reader)));
    let a = ProxyActor::new(&p.name, &p.listen, &p.agent, brain.clone()).start();
    channels::listen(&p.bind, a.clone().recipient()).await?;
    match dialect {
        Some(d) => with_lanes(p, a, brain, d).await,
        None => own(p, a).await,
    }
}

/// The product's own calls alone.
async fn own(p: Params, a: Addr<ProxyActor>) -> Result<(), Report<StartFault>> {
    let b = web::Data::new(a.clone());
    let server = HttpServer::new(move || App::new().app_data(b.clone()).configure(http::routes))
        .workers(WORKERS)
        .disable_signals()
        .shutdown_timeout(STOP_LIMIT.as_secs())
        .bind(&p.http)
        .change_context(StartFault("bind the HTTP port"))
        .attach_with(|| p.http.clone())?
        .run();
    let farewell = async {
        let _ = a.send(Look(Box::new(|a: &mut ProxyActor, now| a.stop(now)))).await;
        // Others stop nominating this proxy before its port closes.
        tokio::time::sleep(http::FAREWELL).await;
    };
    stop::serve(server, &p.name, &format!("http {} processes {}", p.http, p.listen), farewell).await;
    Ok(())
}

/// Requests by host and path as well.
async fn with_lanes(p: Params, a: Addr<ProxyActor>, brain: Shared, dialect: Arc<dyn Dialect>) -> Result<(), Report<StartFault>> {
    let stopping = Arc::new(Stopping::default());
    let f = Front { brain, dialect, stopping: stopping.clone(), ready: p.readiness.clone(), not_yet: NOT_YET };
    let ports = [&p.http, &p.readiness].into_iter().filter(|a| !a.is_empty());
    let ports = ports.map(|a| listen(a).change_context(StartFault("bind an HTTP port")).attach_with(|| a.clone()));
    let ports = ports.collect::<Result<Vec<_>, _>>()?;
    let server = serve(f, a.clone(), ports).change_context(StartFault("serve the HTTP ports"))?;
    let h = server.handle();
    let served = actix_rt::spawn(server);
    event(events::STARTED, &p.name, &format!("http {} processes {}", p.http, p.listen));
    stop::asked(&p.name).await;
    let _ = a.send(Look(Box::new(|a: &mut ProxyActor, now| a.stop(now)))).await;
    wind_down(&stopping, &h, p.bounds.grace).await;
    let _ = tokio::time::timeout(STOP_LOOK, served).await;
    event(events::STOPPED, &p.name, "");
    Ok(())
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
pub fn serve(f: Front, a: Addr<ProxyActor>, ports: Vec<TcpListener>) -> io::Result<Server> {
    let (b, brain) = (web::Data::new(a), f.brain.clone());
    let server = HttpServer::new(move || {
        let f = f.clone();
        App::new().app_data(b.clone()).configure(|c| http::routes_and_lanes(c, f))
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
    .on_connect(move |io, ext| downstream::connected(&brain, io, ext))
    .shutdown_timeout(1);
    Ok(ports.into_iter().try_fold(server, |s, p| s.listen(p))?.run())
}

/// Serves what comes until the grace is nearly over, for callers keep their lists for a while; then lets open
/// requests end.
pub async fn wind_down(s: &Stopping, h: &ServerHandle, grace: u64) {
    let now = clock::now();
    let (takes, last) = (now + grace.saturating_sub(STOP_TAKES), now + grace.saturating_sub(STOP_LAST));
    s.begin(takes);
    while clock::now() < last && (clock::now() < takes || s.open() > 0) {
        tokio::time::sleep(STOP_LOOK).await;
    }
    if s.open() > 0 {
        let taken = s.last_taken().saturating_sub(now);
        event(events::REQUESTS_CUT, "", &format!("open={} last_taken_ms={taken} now_ms={}", s.open(), clock::now() - now));
    }
    let left = Duration::from_millis((last + STOP_LAST / 2).saturating_sub(clock::now()));
    // What was answered last still goes out; whatever does not end by then is cut by the process's end.
    let _ = tokio::time::timeout(left, h.stop(true)).await;
    h.stop(false).await;
}
