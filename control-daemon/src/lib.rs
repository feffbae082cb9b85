//! The control daemon: stores control state on disk, owns keys, and runs singleton roles and the rollout loop.

pub mod actor;
pub mod disk;
pub mod http;
pub mod platform_adapter;

use std::{sync::Arc, time::Duration};

use actix::{Actor, Addr};
use actix_web::{App, dev::Server, http::KeepAlive, middleware::from_fn, web};
use coordination::control::ControlConfig;
use daemon_parts::{
    channels,
    http_server::{self, CallBodies, ServerOptions, listen_all, read_call_body},
    limits::{
        CALL_HEAD_TIMEOUT, CALL_KEEP_ALIVE, CONTROL_STOP_TIMEOUT, HTTP_WORKERS, MAX_BODY_BYTES,
        MAX_CALL_HEAD_BYTES,
    },
    logging::{self, StartError},
    params::Params,
    request_memory::RequestMemory,
    stop::{self, StopSignals},
};
use error_stack::{Report, ResultExt};
use remote_calls::DownstreamLimits;

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
    let memory = RequestMemory::new(params.process_limits());
    let bodies = web::Data::new(CallBodies {
        bytes_max: adapter.max_body_bytes.max(MAX_BODY_BYTES) as u64,
        memory: memory.clone(),
    });
    let app = move || {
        App::new()
            .app_data(control.clone())
            .app_data(bodies.clone())
            .app_data(web::PayloadConfig::new(adapter.max_body_bytes))
            .wrap(from_fn(read_call_body))
            .configure(adapter.configure_routes)
            .configure(http::routes)
    };
    let ports = listen_all([&params.http, &params.directory])?;
    http_server::serve(&server_options(params, memory), ports, app)
        .change_context(StartError("serve the HTTP ports"))
}

fn server_options(params: &Params, memory: RequestMemory) -> ServerOptions {
    ServerOptions {
        workers: HTTP_WORKERS,
        process_limits: params.process_limits(),
        memory,
        client_limits: Arc::new(|| DownstreamLimits {
            header_bytes: MAX_CALL_HEAD_BYTES,
            ..DownstreamLimits::default()
        }),
        keep_alive: KeepAlive::Timeout(CALL_KEEP_ALIVE),
        head_timeout: CALL_HEAD_TIMEOUT,
        no_delay: false,
        allows_half_closed: true,
        stop_timeout: CONTROL_STOP_TIMEOUT,
    }
}
