//! Operators' and the platform's calls.

use actix::Addr;
use actix_web::{HttpResponse, web};
use coordination::{
    Ms, WriteOutcome,
    control::{Control, DRAINING_PREFIX, KILL_SWITCH_KEY, PLAN_PREFIX, SPEC_KEY, ZONE_PREFIX},
    register::Expect,
    wire::Change,
};
use daemon_parts::{
    clock,
    http::{Answer, json_config, no_such_path},
    limits::{NEWS_EVERY, NEWS_TURNS, VERSION_MAX},
    look::Look,
};
use remote_calls::{
    Accepted, Counter, Counters, Fault, KillSwitch, PlanPut, PlanState, PlatformWarning,
    ReleasePlan, Spec, SpecPut, SpecState, WarnKind, ZoneState, calls, spec_check,
};
use serde::Serialize;

use crate::actor::{ControlActor, Newest, Stopping, Write, no_disk};

pub type Brain = web::Data<Addr<ControlActor>>;
pub type Reply = Result<HttpResponse, Answer>;

fn busy<E>(_: E) -> Answer {
    Fault::new("overload", "ask_owner", "the daemon's buffer is full")
        .retry(1_000)
        .into()
}

/// Looks at the brain in its own turn.
pub async fn look<T: Send + 'static>(
    b: &Brain,
    f: impl FnOnce(&mut Control, Ms) -> T + Send + 'static,
) -> Result<T, Answer> {
    let r = b.send(Look(Box::new(f))).await.map_err(busy)?;
    r.map_err(|()| no_disk().into())
}

async fn write(b: &Brain, key: String, expect: Option<u64>, v: &impl Serialize) -> Reply {
    let value =
        serde_json::to_vec(v).map_err(|e| Fault::new("bad_json", "write_value", e.to_string()))?;
    let version = put(b, &key, expect.into(), value).await?;
    Ok(HttpResponse::Ok().json(Accepted { version }))
}

/// Has a value synced on a majority; gives its version.
pub async fn put(b: &Brain, key: &str, expect: Expect, value: Vec<u8>) -> Result<u64, Answer> {
    let o = b
        .send(Write {
            key: key.into(),
            expect,
            value,
        })
        .await
        .map_err(busy)?;
    outcome(key, o)
}

/// The newest value of a key that any majority has taken; none if there never was one.
pub async fn newest(b: &Brain, key: &str) -> Result<Option<Change>, Answer> {
    let version = outcome(key, b.send(Newest(key.into())).await.map_err(busy)?)?;
    if version == 0 {
        return Ok(None);
    }
    // The owner has told it to all others by now; one who missed that is mended.
    for _ in 0..NEWS_TURNS {
        let k = key.to_string();
        let held = look(b, move |c, _| {
            c.state_table()
                .get(&k)
                .filter(|c| c.version >= version)
                .cloned()
        })
        .await?;
        if held.is_some() {
            return Ok(held);
        }
        actix_rt::time::sleep(NEWS_EVERY).await;
    }
    Err(Fault::new(
        "not_settled",
        "read_value",
        format!("version {version} of {key} has not come here yet"),
    )
    .retry(500)
    .into())
}

fn outcome(key: &str, o: WriteOutcome) -> Result<u64, Answer> {
    Err(match o {
        WriteOutcome::Accepted(version) => return Ok(version),
        WriteOutcome::Conflict(v) => {
            let m = format!("another write came first; version {v} of {key} stands");
            Fault::new("conflict", "compare_version", m)
                .field("expect_version")
                .version(v)
                .into()
        }
        WriteOutcome::NotAccepted(reason) => {
            Fault::new("not_accepted", "sync_majority", reason.as_str())
                .retry(1_000)
                .into()
        }
        WriteOutcome::Unknown => {
            let m = format!(
                "no majority confirmed {key} in time; it may still stand: read it to find out"
            );
            Fault::new("unknown", "sync_majority", m)
                .retry(1_000)
                .into()
        }
    })
}

async fn spec_put(b: Brain, q: web::Json<SpecPut>) -> Reply {
    spec_check::check(&q.spec)?;
    write(&b, SPEC_KEY.into(), Some(q.expect_version), &q.spec).await
}

async fn spec_get(b: Brain) -> Reply {
    newest(&b, SPEC_KEY).await?;
    let (version, spec) = look(&b, |c, _| {
        (
            c.state_table().get(SPEC_KEY).map_or(0, |c| c.version),
            c.spec(),
        )
    })
    .await?;
    Ok(HttpResponse::Ok().json(SpecState {
        version,
        spec: spec.map(|s| Spec::clone(&s)),
    }))
}

/// Whether the newest spec has something of a name; none before the first spec. A daemon that may have missed the newest
/// says no to nobody.
async fn find(b: &Brain, name: &str, has: fn(&Spec, &str) -> bool) -> Result<Option<bool>, Answer> {
    let held = async || look(b, |c, _| c.spec()).await;
    if held().await?.is_some_and(|s| has(&s, name)) {
        return Ok(Some(true));
    }
    newest(b, SPEC_KEY).await?;
    Ok(held().await?.map(|s| has(&s, name)))
}

/// Whether there is a spec that has something of a name.
pub async fn is_known(b: &Brain, name: &str, has: fn(&Spec, &str) -> bool) -> Result<bool, Answer> {
    Ok(find(b, name, has).await? == Some(true))
}

async fn require(
    b: &Brain,
    what: &str,
    name: &str,
    has: fn(&Spec, &str) -> bool,
) -> Result<(), Answer> {
    match find(b, name, has).await? {
        Some(true) => Ok(()),
        Some(false) => Err(unknown(what, name)),
        None => Err(
            Fault::new("no_spec", "read_spec", "no spec has been accepted yet")
                .retry(1_000)
                .into(),
        ),
    }
}

/// Whether a spec has a service of this name.
pub fn has_service(s: &Spec, name: &str) -> bool {
    s.services.iter().any(|v| v.name == name)
}

fn has_zone(s: &Spec, name: &str) -> bool {
    s.zones.iter().any(|z| z.name == name)
}

fn unknown(what: &str, name: &str) -> Answer {
    Fault::new(
        "not_found",
        "check_request",
        format!("the spec has no {what} {name}"),
    )
    .field(what)
    .into()
}

async fn plan_put(b: Brain, at: web::Path<String>, q: web::Json<PlanPut>) -> Reply {
    let bad = |f: &str, m: &str| {
        Answer::from(Fault::new("bad_plan", "check_plan", m).field(format!("plan.{f}")))
    };
    let p = &q.plan;
    require(&b, "service", &at, has_service).await?;
    if p.service != *at {
        return Err(bad("service", "is not the service in the path"));
    }
    let named = |c: u8| c.is_ascii_alphanumeric() || b"-_.".contains(&c);
    if p.target.is_empty() || p.target.len() > VERSION_MAX || !p.target.bytes().all(named) {
        return Err(bad(
            "target",
            "must be 1 to 64 letters, digits, '-', '_' or '.'",
        ));
    }
    if p.complete_by <= clock::wall_s() {
        return Err(bad("complete_by", "has passed"));
    }
    write(&b, format!("{PLAN_PREFIX}{at}"), Some(q.expect_version), p).await
}

async fn plan_get(b: Brain, at: web::Path<String>) -> Reply {
    require(&b, "service", &at, has_service).await?;
    let key = format!("{PLAN_PREFIX}{at}");
    newest(&b, &key).await?;
    let (version, plan) = look(&b, move |c, _| {
        (
            c.state_table().get(&key).map_or(0, |c| c.version),
            c.state_table().read::<ReleasePlan>(&key),
        )
    })
    .await?;
    Ok(HttpResponse::Ok().json(PlanState { version, plan }))
}

async fn zone_put(b: Brain, at: web::Path<String>, q: web::Json<ZoneState>) -> Reply {
    require(&b, "zone", &at, has_zone).await?;
    if q.zone != *at {
        return Err(Fault::new(
            "bad_request",
            "check_request",
            "is not the zone in the path",
        )
        .field("zone")
        .into());
    }
    write(&b, format!("{ZONE_PREFIX}{at}"), None, &*q).await
}

async fn kill_switch_put(b: Brain, q: web::Json<KillSwitch>) -> Reply {
    write(&b, KILL_SWITCH_KEY.into(), None, &q.on).await
}

async fn warn(b: Brain, q: web::Json<PlatformWarning>) -> Reply {
    match q.kind {
        WarnKind::Replica => {
            let id = q.id.clone();
            let known = look(&b, move |c, _| c.knows_replica(&id)).await?;
            if !known {
                // One that is cut off may only not have heard of it.
                newest(&b, SPEC_KEY).await?;
                return Err(unknown("replica", &q.id));
            }
            write(&b, format!("{DRAINING_PREFIX}{}", q.id), None, &true).await
        }
        WarnKind::Daemon => {
            let name = look(&b, |c, _| c.membership.me().name.to_string()).await?;
            if q.id != name {
                return Err(Fault::new(
                    "not_found",
                    "check_request",
                    format!("this daemon is {name}"),
                )
                .field("id")
                .into());
            }
            b.send(Stopping).await.map_err(busy)?;
            Ok(HttpResponse::Ok().json(Accepted { version: 0 }))
        }
    }
}

async fn status(b: Brain) -> Reply {
    Ok(HttpResponse::Ok().json(look(&b, |c, now| c.status(now)).await?))
}

async fn health(b: Brain) -> Reply {
    let h = look(&b, |c, _| c.health()).await?;
    let mut r = if h.ok {
        HttpResponse::Ok()
    } else {
        HttpResponse::ServiceUnavailable()
    };
    Ok(r.json(h))
}

async fn counters(b: Brain) -> Reply {
    let c = look(&b, |c, now| {
        (c.membership.me().name.to_string(), c.counters(now))
    })
    .await?;
    let counters =
        c.1.into_iter()
            .map(|(n, value)| Counter {
                name: n.into(),
                value,
            })
            .collect();
    Ok(HttpResponse::Ok().json(Counters {
        process: c.0,
        counters,
    }))
}

pub fn routes(c: &mut web::ServiceConfig) {
    c.app_data(json_config())
        .route(calls::SPEC_PUT.1, web::put().to(spec_put))
        .route(calls::SPEC_GET.1, web::get().to(spec_get))
        .route(calls::PLAN_PUT.1, web::put().to(plan_put))
        .route(calls::PLAN_GET.1, web::get().to(plan_get))
        .route(calls::ZONE_PUT.1, web::put().to(zone_put))
        .route(calls::KILL_SWITCH_PUT.1, web::put().to(kill_switch_put))
        .route(calls::PLATFORM_WARN.1, web::post().to(warn))
        .route(calls::STATUS.1, web::get().to(status))
        .route(calls::HEALTH.1, web::get().to(health))
        .route(calls::COUNTERS.1, web::get().to(counters))
        .default_service(web::to(no_such_path));
}
