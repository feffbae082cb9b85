//! The product's own HTTP calls: nominations, health and counters; and the routes of all calls.

use actix::Addr;
use actix_web::{
    HttpResponse,
    guard::{GuardContext, fn_guard},
    middleware::from_fn,
    web,
};
use coordination::{Ms, events};
use daemon_parts::{
    clock,
    http::{FaultResponse, json_config, no_such_path},
    http_server::{CallBodies, read_call_body},
    inspect::Inspect,
    logging::event,
};
use remote_calls::{Counter, Counters, Fault, Health, NominateRequest, Outcome, calls};

use crate::{
    actor::ProxyActor,
    call_bodies,
    listener::{self, Listener},
    run_call::run,
    shared::lock,
};

/// The actor, as the calls get it.
pub(crate) type ActorData = web::Data<Addr<ProxyActor>>;
/// The response to a call.
pub(crate) type Reply = Result<HttpResponse, FaultResponse>;

/// The actor's mailbox is full.
pub(crate) fn overloaded<E>(_: E) -> FaultResponse {
    Fault::new("overload", "ask_owner", "the proxy's buffer is full")
        .retry(1_000)
        .outcome(Outcome::NotRun)
        .into()
}

/// Runs a function on the actor.
pub(crate) async fn ask_actor<T: Send + 'static>(
    actor: &ActorData,
    function: impl FnOnce(&mut ProxyActor, Ms) -> T + Send + 'static,
) -> Result<T, FaultResponse> {
    let look = Inspect(Box::new(function));
    actor
        .send(look)
        .await
        .map_err(overloaded)?
        .map_err(overloaded)
}

async fn nominate(actor: ActorData, request: web::Json<NominateRequest>) -> Reply {
    let request = request.into_inner();
    let mut nomination = ask_actor(&actor, move |actor, now| {
        lock(&actor.proxy).nominate(&request, now)
    })
    .await?;
    if let Err(fault) = &mut nomination {
        // Nothing was nominated: there is no request yet that could run or not.
        fault.outcome = None;
        event(events::REJECTED, "caller", &fault.to_string());
    }
    Ok(HttpResponse::Ok().json(nomination?))
}

async fn health(actor: ActorData) -> Reply {
    let (process, is_serving) = ask_actor(&actor, |actor, now| {
        let is_serving = lock(&actor.proxy).is_ready(now) && !actor.is_stopping;
        (actor.name.clone(), is_serving)
    })
    .await?;
    let (mut response, detail) = if is_serving {
        (HttpResponse::Ok(), "serves")
    } else {
        (HttpResponse::ServiceUnavailable(), "may not serve now")
    };
    Ok(response.json(Health {
        ok: is_serving,
        process,
        detail: detail.into(),
    }))
}

async fn counters(actor: ActorData, bodies: web::Data<CallBodies>) -> Reply {
    let mut counters = ask_actor(&actor, |actor, now| Counters {
        process: actor.name.clone(),
        counters: current_counters(actor, now),
    })
    .await?;
    counters.counters.extend(bodies.counters());
    Ok(HttpResponse::Ok().json(counters))
}

fn current_counters(actor: &ProxyActor, now: Ms) -> Vec<Counter> {
    let proxy = lock(&actor.proxy);
    let counter = |name: String, value: u64| Counter { name, value };
    let mut counters: Vec<Counter> = proxy
        .counters
        .iter()
        .map(|(name, value)| counter((*name).to_string(), *value))
        .collect();
    counters.push(counter("spec_version".into(), proxy.spec_version()));
    for cell in proxy.full_report(now).counters.0 {
        let cache = if cell.cached == 1 { "warm" } else { "cold" };
        let path = format!(
            "{}/{}/{}/{cache}/{}",
            cell.service, cell.version, cell.lane, cell.group
        );
        counters.extend([
            counter(format!("sent/{path}"), cell.sent),
            counter(format!("ok/{path}"), cell.succeeded),
            counter(format!("failed/{path}"), cell.failed),
            counter(format!("slow/{path}"), cell.slow),
        ]);
    }
    counters
}

// ---- routes ----

/// The product's own calls alone.
pub fn routes(config: &mut web::ServiceConfig) {
    own_calls(config);
    config.default_service(web::to(no_such_path));
}

fn own_calls(config: &mut web::ServiceConfig) {
    config
        .app_data(json_config())
        .route(calls::NOMINATE.1, web::post().to(nominate))
        .route(calls::RUN.1, web::post().to(run))
        .route(calls::HEALTH.1, web::get().to(health))
        .route(calls::COUNTERS.1, web::get().to(counters));
}

/// The product's own calls where no lane takes their path, and requests by host and path.
pub fn routes_and_lanes(config: &mut web::ServiceConfig, listener: Listener) {
    let proxy = listener.proxy.clone();
    let is_own_call = move |guard: &GuardContext| {
        let path = guard.head().uri.path();
        let is_own_path = [calls::NOMINATE, calls::RUN, calls::HEALTH, calls::COUNTERS]
            .iter()
            .any(|call| call.1 == path);
        let host = guard
            .head()
            .headers
            .get("host")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        is_own_path && lock(&proxy).find_lane(host, path, clock::now()).is_err()
    };
    config
        .app_data(web::Data::from(listener.shutdown.clone()))
        .app_data(web::Data::new(call_bodies(&listener.memory)))
        .app_data(web::Data::new(listener))
        .service(
            web::scope("")
                .guard(fn_guard(is_own_call))
                .wrap(from_fn(read_call_body))
                .configure(own_calls),
        )
        .default_service(web::to(listener::handle_request));
}
