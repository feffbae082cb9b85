//! The edge proxy: answers callers where to go, and passes their requests to replicas.

pub mod actor;
pub mod http;
pub mod round;

use actix::Actor;
use actix_web::{App, HttpServer, web};
use coordination::proxy::Proxy;
use daemon_parts::limits::WORKERS;
use daemon_parts::{
    channels, clock,
    limits::STOP_LIMIT,
    logging::{self, StartFault},
    look::Look,
    params::Params,
    stop,
};
use error_stack::{Report, ResultExt};

/// Runs until the process is asked to stop.
pub async fn run(p: Params) -> Result<(), Report<StartFault>> {
    let _log = logging::start(&p.log)?;
    let brain =
        Proxy::new(p.name.as_str().into(), p.zone.as_str().into(), p.http.as_str().into(), clock::born(), fastrand::u64(..));
    let a = actor::ProxyActor::new(&p.name, &p.listen, &p.agent, brain).start();
    channels::listen(&p.bind, a.clone().recipient()).await?;
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
        let _ = a.send(Look(Box::new(|a: &mut actor::ProxyActor, _| a.stopping = true))).await;
        // Others stop nominating this proxy before its port closes.
        tokio::time::sleep(http::FAREWELL).await;
    };
    stop::serve(server, &p.name, &format!("http {} processes {}", p.http, p.listen), farewell).await;
    Ok(())
}
