//! HTTP handlers for calls of operators and the platform.

use actix_web::{HttpResponse, web};
use coordination::control::{DRAINING_PREFIX, KILL_SWITCH_KEY, PLAN_PREFIX, SPEC_KEY, ZONE_PREFIX};
use daemon_parts::{
    clock,
    http::{FaultResponse, json_config, no_such_path},
    http_server::CallBodies,
    limits::MAX_VERSION_BYTES,
};
use remote_calls::{
    Accepted, Counter, Counters, Fault, KillSwitch, PlanPut, PlanState, PlatformWarning,
    ReleasePlan, Spec, SpecPut, SpecState, WarnKind, ZoneState, calls, spec_check,
};
use serde::Serialize;

use crate::actor::BeginShutdown;

mod control_access;
mod spec_lookup;

pub use control_access::{ControlHandle, read_newest, with_control, write_value};
pub use spec_lookup::{SpecLookup, has_service, look_up_in_spec};

use control_access::overload_fault;
use spec_lookup::{has_zone, not_in_spec, require};

/// The result of an HTTP handler.
pub type HandlerResult = Result<HttpResponse, FaultResponse>;

/// Writes a key as JSON and answers with its version.
async fn write_json(
    handle: &ControlHandle,
    key: String,
    expect_version: Option<u64>,
    value: &impl Serialize,
) -> HandlerResult {
    let value = serde_json::to_vec(value)
        .map_err(|error| Fault::new("bad_json", "write_value", error.to_string()))?;
    let version = write_value(handle, &key, expect_version.into(), value).await?;
    Ok(HttpResponse::Ok().json(Accepted { version }))
}

async fn put_spec(handle: ControlHandle, body: web::Json<SpecPut>) -> HandlerResult {
    spec_check::check(&body.spec)?;
    let expect_version = Some(body.expect_version);
    write_json(&handle, SPEC_KEY.into(), expect_version, &body.spec).await
}

async fn get_spec(handle: ControlHandle) -> HandlerResult {
    read_newest(&handle, SPEC_KEY).await?;
    let (version, spec) = with_control(&handle, |control, _| {
        let change = control.state_table().get(SPEC_KEY);
        (change.map_or(0, |change| change.version), control.spec())
    })
    .await?;
    // Cloned here and not in the actor, which would block the state machine.
    let spec = spec.map(|spec| Spec::clone(&spec));
    Ok(HttpResponse::Ok().json(SpecState { version, spec }))
}

async fn put_plan(
    handle: ControlHandle,
    service: web::Path<String>,
    body: web::Json<PlanPut>,
) -> HandlerResult {
    require(&handle, "service", &service, has_service).await?;
    check_plan(&body.plan, &service)?;
    let key = format!("{PLAN_PREFIX}{service}");
    write_json(&handle, key, Some(body.expect_version), &body.plan).await
}

fn check_plan(plan: &ReleasePlan, service: &str) -> Result<(), FaultResponse> {
    let invalid = |field: &str, message: &str| {
        let fault = Fault::new("bad_plan", "check_plan", message);
        Err(fault.field(format!("plan.{field}")).into())
    };
    if plan.service != service {
        return invalid("service", "differs from the service in the path");
    }
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if plan.target.is_empty()
        || plan.target.len() > MAX_VERSION_BYTES
        || !plan.target.bytes().all(is_allowed)
    {
        return invalid("target", "must be 1 to 64 letters, digits, '-', '_' or '.'");
    }
    if plan.complete_by <= clock::wall_s() {
        return invalid("complete_by", "has passed");
    }
    Ok(())
}

async fn get_plan(handle: ControlHandle, service: web::Path<String>) -> HandlerResult {
    require(&handle, "service", &service, has_service).await?;
    let key = format!("{PLAN_PREFIX}{service}");
    read_newest(&handle, &key).await?;
    let state = with_control(&handle, move |control, _| PlanState {
        version: control
            .state_table()
            .get(&key)
            .map_or(0, |change| change.version),
        plan: control.state_table().read::<ReleasePlan>(&key),
    })
    .await?;
    Ok(HttpResponse::Ok().json(state))
}

async fn put_zone(
    handle: ControlHandle,
    zone: web::Path<String>,
    body: web::Json<ZoneState>,
) -> HandlerResult {
    require(&handle, "zone", &zone, has_zone).await?;
    if body.zone != *zone {
        return Err(Fault::new(
            "bad_request",
            "check_request",
            "differs from the zone in the path",
        )
        .field("zone")
        .into());
    }
    write_json(&handle, format!("{ZONE_PREFIX}{zone}"), None, &*body).await
}

async fn put_kill_switch(handle: ControlHandle, body: web::Json<KillSwitch>) -> HandlerResult {
    write_json(&handle, KILL_SWITCH_KEY.into(), None, &body.on).await
}

async fn post_warning(handle: ControlHandle, body: web::Json<PlatformWarning>) -> HandlerResult {
    match body.kind {
        WarnKind::Replica => drain_replica(&handle, &body.id).await,
        WarnKind::Daemon => begin_shutdown(&handle, &body.id).await,
    }
}

async fn drain_replica(handle: &ControlHandle, id: &str) -> HandlerResult {
    let replica = id.to_string();
    let is_known = with_control(handle, move |control, _| control.knows_replica(&replica)).await?;
    if !is_known {
        // A daemon without a quorum may merely not have received the replica: it returns an error instead.
        read_newest(handle, SPEC_KEY).await?;
        return Err(not_in_spec("replica", id));
    }
    write_json(handle, format!("{DRAINING_PREFIX}{id}"), None, &true).await
}

async fn begin_shutdown(handle: &ControlHandle, id: &str) -> HandlerResult {
    let name = own_name(handle).await?;
    if id != name {
        return Err(Fault::new(
            "not_found",
            "check_request",
            format!("this daemon is {name}"),
        )
        .field("id")
        .into());
    }
    handle.send(BeginShutdown).await.map_err(overload_fault)?;
    Ok(HttpResponse::Ok().json(Accepted { version: 0 }))
}

async fn own_name(handle: &ControlHandle) -> Result<String, FaultResponse> {
    with_control(handle, |control, _| {
        control.membership.me().name.to_string()
    })
    .await
}

async fn get_status(handle: ControlHandle) -> HandlerResult {
    let status = with_control(&handle, |control, now| control.status(now)).await?;
    Ok(HttpResponse::Ok().json(status))
}

async fn get_health(handle: ControlHandle) -> HandlerResult {
    let health = with_control(&handle, |control, _| control.health()).await?;
    let mut response = if health.ok {
        HttpResponse::Ok()
    } else {
        HttpResponse::ServiceUnavailable()
    };
    Ok(response.json(health))
}

async fn get_counters(handle: ControlHandle, bodies: web::Data<CallBodies>) -> HandlerResult {
    let mut counters = with_control(&handle, |control, now| Counters {
        process: control.membership.me().name.to_string(),
        counters: control
            .counters(now)
            .into_iter()
            .map(|(name, value)| Counter {
                name: name.into(),
                value,
            })
            .collect(),
    })
    .await?;
    counters.counters.extend(bodies.counters());
    Ok(HttpResponse::Ok().json(counters))
}

/// Registers the product's own routes.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .app_data(json_config())
        .route(calls::SPEC_PUT.1, web::put().to(put_spec))
        .route(calls::SPEC_GET.1, web::get().to(get_spec))
        .route(calls::PLAN_PUT.1, web::put().to(put_plan))
        .route(calls::PLAN_GET.1, web::get().to(get_plan))
        .route(calls::ZONE_PUT.1, web::put().to(put_zone))
        .route(calls::KILL_SWITCH_PUT.1, web::put().to(put_kill_switch))
        .route(calls::PLATFORM_WARN.1, web::post().to(post_warning))
        .route(calls::STATUS.1, web::get().to(get_status))
        .route(calls::HEALTH.1, web::get().to(get_health))
        .route(calls::COUNTERS.1, web::get().to(get_counters))
        .default_service(web::to(no_such_path));
}
