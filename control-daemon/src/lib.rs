//! The control daemon: control state on disk, key owners, duties, the rollout loop.

pub mod actor;
pub mod disk;
pub mod http;

use actix::Actor;
use actix_web::{App, HttpServer, web};
use coordination::control::ControlParams;
use daemon_parts::limits::WORKERS;
use daemon_parts::{
    channels,
    limits::BODY_MAX,
    logging::{self, StartFault},
    params::Params,
    stop,
};
use error_stack::{Report, ResultExt};

/// ms. Time for the others to hear that this daemon goes: two beats.
const FAREWELL: u64 = 2 * coordination::limits::BEAT_EVERY;

/// Runs until the process is asked to stop.
pub async fn run(p: Params) -> Result<(), Report<StartFault>> {
    let _log = logging::start(&p.log)?;
    let names = |v: &[String]| v.iter().map(|s| s.as_str().into()).collect();
    let cp = ControlParams {
        name: p.name.as_str().into(),
        zone: p.zone.as_str().into(),
        addr: p.listen.as_str().into(),
        http: p.http.as_str().into(),
        members: names(&p.members),
        seeds: names(&p.seeds),
        founding: p.founding,
        regions: p.regions.iter().map(|(z, r)| (z.as_str().into(), r.as_str().into())).collect(),
        bounds: p.bounds.clone(),
    };
    let disk = disk::Disk::start(p.data.clone().unwrap_or_default(), p.data_limit);
    let brain = actor::ControlActor::new(cp, p.platform.clone(), disk).start();
    channels::listen(&p.bind, brain.clone().recipient()).await?;
    let b = web::Data::new(brain.clone());
    let server = HttpServer::new(move || {
        App::new().app_data(b.clone()).app_data(web::PayloadConfig::new(BODY_MAX)).configure(http::routes)
    })
    .workers(WORKERS)
    .disable_signals()
    .bind(&p.http)
    .change_context(StartFault("bind the HTTP port"))
    .attach_with(|| p.http.clone())?
    .run();
    let farewell = async {
        let _ = brain.send(actor::Stopping).await;
        tokio::time::sleep(std::time::Duration::from_millis(FAREWELL)).await;
    };
    stop::serve(server, &p.name, &format!("http {} processes {}", p.http, p.listen), farewell).await;
    Ok(())
}
