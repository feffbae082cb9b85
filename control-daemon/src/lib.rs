//! The control daemon: stores control state on disk, owns keys, and runs singleton roles and the rollout loop.

pub mod actor;
pub mod disk;
pub mod http;
pub mod platform_adapter;

use std::time::Duration;

use actix::{Actor, Addr};
use actix_web::{App, HttpServer, dev::Server, web};
use coordination::control::ControlConfig;
use daemon_parts::{
    channels,
    limits::{CONTROL_STOP_TIMEOUT, HTTP_WORKERS},
    logging::{self, StartError},
    params::Params,
    stop::{self, StopSignals},
};
use error_stack::{Report, ResultExt};

use crate::{
    actor::{BeginShutdown, ControlActor},
    disk::Disk,
    platform_adapter::PlatformAdapter,
};

/// Time for other daemons to receive the notice that this daemon stops, in ms: two heartbeats.
const SHUTDOWN_NOTICE_TIME: u64 = 2 * coordination::timing::HEARTBEAT_INTERVAL;

/// Runs until the process is asked to stop.
///
/// # Errors
/// If the log, the signals or a port cannot be set up.
pub async fn run(params: Params, adapter: PlatformAdapter) -> Result<(), Report<StartError>> {
    let _log = logging::start(&params.log)?;
    let signals = StopSignals::listen()?;
    let disk = Disk::start(params.data.clone().unwrap_or_default(), params.data_limit);
    let control = ControlActor::new(
        control_config(&params, &adapter),
        params.platform.clone(),
        adapter.replica_source,
        adapter.role_calls,
        disk,
    )
    .start();
    channels::listen(
        &params.bind,
        params.process_limits(),
        control.clone().recipient(),
    )
    .await?;
    let server = bind_http(&params, adapter, control.clone())?;
    let notify_peers = async {
        // The actor may already have stopped.
        let _ = control.send(BeginShutdown).await;
        tokio::time::sleep(Duration::from_millis(SHUTDOWN_NOTICE_TIME)).await;
    };
    let addresses = format!("http {} processes {}", params.http, params.listen);
    stop::serve(server, signals, &params.name, &addresses, notify_peers).await;
    Ok(())
}

fn control_config(params: &Params, adapter: &PlatformAdapter) -> ControlConfig {
    let names = |names: &[String]| names.iter().map(|name| name.as_str().into()).collect();
    ControlConfig {
        name: params.name.as_str().into(),
        zone: params.zone.as_str().into(),
        addr: params.listen.as_str().into(),
        http_addr: params.http.as_str().into(),
        members: names(&params.members),
        seeds: names(&params.seeds),
        regions: params.regions.clone(),
        spec_parser: adapter.spec_parser,
        bootstrap: params.founding,
        bounds: params.bounds.clone(),
    }
}

/// Binds a server for the product's and the platform's routes to each HTTP address.
fn bind_http(
    params: &Params,
    adapter: PlatformAdapter,
    control: Addr<ControlActor>,
) -> Result<Server, Report<StartError>> {
    let control = web::Data::new(control);
    let mut server = HttpServer::new(move || {
        App::new()
            .app_data(control.clone())
            .app_data(web::PayloadConfig::new(adapter.max_body_bytes))
            .configure(adapter.configure_routes)
            .configure(http::routes)
    })
    .workers(HTTP_WORKERS)
    .shutdown_timeout(CONTROL_STOP_TIMEOUT.as_secs())
    .disable_signals();
    let addresses = [&params.http, &params.directory];
    for address in addresses.into_iter().filter(|address| !address.is_empty()) {
        server = server
            .bind(address)
            .change_context(StartError("bind the HTTP port"))
            .attach_with(|| address.clone())?;
    }
    Ok(server.run())
}
