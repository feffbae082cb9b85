//! The platform, for development: lists, starts and drains stand-in replicas, each its own process.

use std::{
    collections::BTreeMap,
    process::{Child, Command as Process},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use actix_web::{App, HttpResponse, HttpServer, web};
use clap::{Arg, ArgAction, Command};
use daemon_parts::http::{FaultResponse, call, json_config, no_such_path};
use fleet_tools::replica::{BEHAVE, Behaviour, HARM, Harm};
use remote_calls::{
    Fault, OrderAction, OrderAnswer, PlatformDrain, PlatformList, PlatformReplica,
    PlatformReplicaState, PlatformStart, PlatformStarted, ReplicaOrder, ReplicaReport, calls,
};

/// How often replicas are looked after.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Replicas a zone may hold of one service.
const ZONE_MAX: usize = 600;

struct State {
    replicas: BTreeMap<String, (PlatformReplica, Child)>,
    epochs: BTreeMap<String, u64>,
    behaviour: Vec<Behaviour>,
    lanes: Vec<String>,
    load_ms: String,
    next: BTreeMap<String, usize>,
}

#[derive(Clone)]
struct Platform(Arc<Mutex<State>>);
type Shared = web::Data<Platform>;
type Reply = Result<HttpResponse, FaultResponse>;

impl Platform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl State {
    fn fence(&mut self, service: &str, epoch: u64) -> Result<(), Fault> {
        let at = self.epochs.entry(service.into()).or_insert(0);
        if epoch < *at {
            return Err(Fault::new(
                "stale_epoch",
                "fence",
                format!("epoch {epoch} is behind {at}"),
            ));
        }
        *at = epoch;
        Ok(())
    }
    fn start(&mut self, q: &PlatformStart) -> Result<String, Fault> {
        let fault = |m: String| Fault::new("start_failed", "start_replica", m);
        let n = self.next.entry(q.zone.clone()).or_insert(0);
        *n += 1;
        let id = format!("{}-{}", q.zone, n);
        let addr = fleet_tools::fleet::free().map_err(|e| fault(e.to_string()))?;
        let exe = std::env::current_exe()
            .map_err(|e| fault(e.to_string()))?
            .with_file_name("stand-in-replica");
        let b = serde_json::to_string(&self.behaviour).unwrap_or_default();
        let mut c = Process::new(exe);
        c.args([
            "--id",
            &id,
            "--zone",
            &q.zone,
            "--http",
            &addr,
            "--service",
            &q.service,
            "--version",
            &q.version,
        ]);
        c.args(["--load-ms", &self.load_ms, "--behaviour", &b]);
        self.lanes.iter().for_each(|l| {
            c.args(["--lane", l]);
        });
        let child = c.spawn().map_err(|e| fault(e.to_string()))?;
        let state = PlatformReplicaState::Starting;
        let r = PlatformReplica {
            id: id.clone(),
            zone: q.zone.clone(),
            addr,
            service: q.service.clone(),
            version: q.version.clone(),
            state,
            slots: 0,
            cold_ms: 0,
            left_ms: 0,
            loaded: true,
        };
        self.replicas.insert(id.clone(), (r, child));
        Ok(id)
    }
}

async fn list(p: Shared) -> HttpResponse {
    let replicas = p.lock().replicas.values().map(|r| r.0.clone()).collect();
    HttpResponse::Ok().json(PlatformList { replicas })
}

async fn start(p: Shared, q: web::Json<PlatformStart>) -> Reply {
    let mut s = p.lock();
    s.fence(&q.service, q.epoch)?;
    if s.replicas
        .values()
        .filter(|r| r.0.zone == q.zone && r.0.service == q.service)
        .count()
        >= ZONE_MAX
    {
        return Err(Fault::new("full", "start_replica", "the zone has no room").into());
    }
    let id = s.start(&q)?;
    Ok(HttpResponse::Ok().json(PlatformStarted { id }))
}

async fn drain(p: Shared, q: web::Json<PlatformDrain>) -> Reply {
    let mut s = p.lock();
    s.fence(&q.service, q.epoch)?;
    let Some(r) = s.replicas.get_mut(&q.replica) else {
        return Err(Fault::new("not_found", "drain", "no such replica")
            .field("replica")
            .into());
    };
    r.0.state = PlatformReplicaState::Draining;
    Ok(HttpResponse::Ok().json(OrderAnswer {
        epoch: q.epoch,
        done: false,
    }))
}

async fn behave(p: Shared, q: web::Json<Vec<Behaviour>>) -> HttpResponse {
    let all: Vec<String> = {
        let mut s = p.lock();
        s.behaviour = q.into_inner();
        s.replicas.values().map(|r| r.0.addr.clone()).collect()
    };
    let b = p.lock().behaviour.clone();
    for a in all {
        let _ = awc::Client::default()
            .put(format!("http://{a}{BEHAVE}"))
            .send_json(&b)
            .await;
    }
    HttpResponse::Ok().finish()
}

/// Harms one of the platform's own replicas from outside.
async fn harm(p: Shared, q: web::Json<Harm>) -> Reply {
    let s = p.lock();
    let all: Vec<_> = s.replicas.values().collect();
    let Some((r, child)) = all.get(q.nth % all.len().max(1)) else {
        return Err(Fault::new("not_found", "harm", "there is no replica").into());
    };
    // SAFETY: the id is of a child that has not been waited for, so it is still that child's.
    unsafe { libc::kill(child.id() as i32, q.signal) };
    Ok(HttpResponse::Ok().json(&r.id))
}

/// Looks after replicas: which answer, which have died, which have ended their draining.
async fn look(p: Platform) {
    let c = awc::Client::default();
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let all: Vec<PlatformReplica> = {
            let mut s = p.lock();
            s.replicas
                .retain(|_, (_, child)| matches!(child.try_wait(), Ok(None)));
            s.replicas.values().map(|r| r.0.clone()).collect()
        };
        for r in all {
            let report =
                call::<(), ReplicaReport>(&c, &r.addr, calls::REPORT, None, LOOK_EVERY).await;
            if r.state == PlatformReplicaState::Starting
                && report.is_ok()
                && let Some(x) = p.lock().replicas.get_mut(&r.id)
            {
                x.0.state = PlatformReplicaState::Running;
            }
            if r.state != PlatformReplicaState::Draining {
                continue;
            }
            // Its own word to the replica carries the highest epoch it knows.
            let epoch = p.lock().epochs.get(&r.service).copied().unwrap_or(0);
            let o = ReplicaOrder {
                service: r.service.clone(),
                epoch,
                action: OrderAction::Drain,
                version: r.version.clone(),
            };
            let _ = call::<_, OrderAnswer>(&c, &r.addr, calls::ORDER, Some(&o), LOOK_EVERY).await;
            if report.is_ok_and(|x| x.leaving && x.busy == 0)
                && let Some((_, mut child)) = p.lock().replicas.remove(&r.id)
            {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let m = Command::new("stand-in-platform")
        .about("Stands in for the platform")
        .arg(Arg::new("http").long("http").required(true))
        .arg(Arg::new("load-ms").long("load-ms").default_value("800"))
        .arg(
            Arg::new("start")
                .long("start")
                .action(ArgAction::Append)
                .help("SERVICE:ZONE:VERSION:COUNT to begin with"),
        )
        .arg(
            Arg::new("lane")
                .long("lane")
                .action(ArgAction::Append)
                .help("NAME:MS:PIECES, passed to replicas"),
        )
        .get_matches();
    let many = |n: &str| {
        m.get_many::<String>(n)
            .unwrap_or_default()
            .cloned()
            .collect::<Vec<_>>()
    };
    let load_ms = m.get_one::<String>("load-ms").cloned().unwrap_or_default();
    let (replicas, epochs, next) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
    let mut s = State {
        replicas,
        epochs,
        behaviour: vec![],
        lanes: many("lane"),
        load_ms,
        next,
    };
    for x in many("start") {
        let v: Vec<&str> = x.split(':').collect();
        let [service, zone, version, n] = v[..] else {
            eprintln!("start: SERVICE:ZONE:VERSION:COUNT");
            std::process::exit(daemon_parts::params::EXIT_PARAMS)
        };
        for _ in 0..n.parse().unwrap_or(0) {
            let q = PlatformStart {
                service: service.into(),
                zone: zone.into(),
                version: version.into(),
                epoch: 0,
            };
            if let Err(e) = s.start(&q) {
                eprintln!("{e}");
            }
        }
    }
    let p = Platform(Arc::new(Mutex::new(s)));
    actix_rt::spawn(look(p.clone()));
    let d = web::Data::new(p.clone());
    let http = m.get_one::<String>("http").cloned().unwrap_or_default();
    let r = HttpServer::new(move || {
        App::new()
            .app_data(d.clone())
            .app_data(json_config())
            .route(calls::PLATFORM_LIST.1, web::get().to(list))
            .route(calls::PLATFORM_START.1, web::post().to(start))
            .route(calls::PLATFORM_DRAIN.1, web::post().to(drain))
            .route(BEHAVE, web::put().to(behave))
            .route(HARM, web::post().to(harm))
            .default_service(web::to(no_such_path))
    })
    .workers(1)
    .shutdown_timeout(1)
    .bind(http)?
    .run()
    .await;
    // The replicas are its own children: they end with it.
    for (_, (_, mut c)) in std::mem::take(&mut p.lock().replicas) {
        let _ = c.kill();
        let _ = c.wait();
    }
    r
}
