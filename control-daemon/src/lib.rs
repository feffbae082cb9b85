//! The control daemon: control state on disk, key owners, duties, the rollout loop.

pub mod actor;
pub mod disk;
pub mod face;
pub mod http;

use actix::Actor;
use actix_web::{App, HttpServer, web};
use coordination::control::ControlConfig;
use daemon_parts::{
    channels,
    limits::{CONTROL_STOP, WORKERS},
    logging::{self, StartFault},
    params::Params,
    stop::{self, StopSignals},
};
use error_stack::{Report, ResultExt};

use crate::face::Face;

/// ms. Time for the others to hear that this daemon goes: two beats.
const FAREWELL: u64 = 2 * coordination::timing::HEARTBEAT_INTERVAL;

/// Runs until the process is asked to stop.
pub async fn run(p: Params, face: Face) -> Result<(), Report<StartFault>> {
    let _log = logging::start(&p.log)?;
    let names = |v: &[String]| v.iter().map(|s| s.as_str().into()).collect();
    let cp = ControlConfig {
        name: p.name.as_str().into(),
        zone: p.zone.as_str().into(),
        addr: p.listen.as_str().into(),
        http_addr: p.http.as_str().into(),
        members: names(&p.members),
        seeds: names(&p.seeds),
        regions: p.regions.clone(),
        spec_parser: face.reader,
        bootstrap: p.founding,
        bounds: p.bounds.clone(),
    };
    let signals = StopSignals::listen()?;
    let disk = disk::Disk::start(p.data.clone().unwrap_or_default(), p.data_limit);
    let brain = actor::ControlActor::new(cp, p.platform.clone(), face.replicas, disk).start();
    channels::listen(&p.bind, brain.clone().recipient()).await?;
    let b = web::Data::new(brain.clone());
    let mut server = HttpServer::new(move || {
        let limit = web::PayloadConfig::new(face.body_max);
        App::new()
            .app_data(b.clone())
            .app_data(limit)
            .configure(face.routes)
            .configure(http::routes)
    })
    .workers(WORKERS)
    .shutdown_timeout(CONTROL_STOP.as_secs())
    .disable_signals();
    for at in [&p.http, &p.directory]
        .into_iter()
        .filter(|a| !a.is_empty())
    {
        server = server
            .bind(at)
            .change_context(StartFault("bind the HTTP port"))
            .attach_with(|| at.clone())?;
    }
    let server = server.run();
    let farewell = async {
        let _ = brain.send(actor::Stopping).await;
        tokio::time::sleep(std::time::Duration::from_millis(FAREWELL)).await;
    };
    stop::serve(
        server,
        signals,
        &p.name,
        &format!("http {} processes {}", p.http, p.listen),
        farewell,
    )
    .await;
    Ok(())
}
