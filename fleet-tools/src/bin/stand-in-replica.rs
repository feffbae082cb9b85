//! A replica of the back end, for development: speaks the schema's replica calls.

use actix_web::{App, HttpServer, web};
use clap::{Arg, ArgAction, Command};
use fleet_tools::replica::{Behaviour, Replica, ReplicaParams, routes};

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let arg = |n: &'static str| Arg::new(n).long(n).required(true);
    let m = Command::new("stand-in-replica")
        .about("Stands in for a replica")
        .args(["id", "zone", "http", "service", "version"].map(arg))
        .arg(
            Arg::new("slots")
                .long("slots")
                .default_value("8")
                .value_parser(clap::value_parser!(u32).range(1..1000)),
        )
        .arg(
            Arg::new("load-ms")
                .long("load-ms")
                .default_value("800")
                .value_parser(clap::value_parser!(u64)),
        )
        .arg(
            Arg::new("behaviour")
                .long("behaviour")
                .default_value("[]")
                .help("JSON list of behaviours"),
        )
        .arg(
            Arg::new("lane")
                .long("lane")
                .action(ArgAction::Append)
                .help("NAME:MS:PIECES of a warm answer"),
        )
        .get_matches();
    let text = |n: &str| m.get_one::<String>(n).cloned().unwrap_or_default();
    let bad = |e: String| -> ! {
        eprintln!("{e}");
        std::process::exit(daemon_parts::params::EXIT_PARAMS)
    };
    let lane = |s: &String| {
        let v: Vec<&str> = s.split(':').collect();
        let [n, ms, k] = v[..] else { return None };
        Some((n.to_string(), ms.parse().ok()?, k.parse().ok()?))
    };
    let lanes = m
        .get_many::<String>("lane")
        .unwrap_or_default()
        .map(lane)
        .collect::<Option<Vec<_>>>();
    let Some(lanes) = lanes else {
        bad("lane: NAME:MS:PIECES".into())
    };
    let b: Vec<Behaviour> =
        serde_json::from_str(&text("behaviour")).unwrap_or_else(|e| bad(format!("behaviour: {e}")));
    let p = ReplicaParams {
        id: text("id"),
        zone: text("zone"),
        service: text("service"),
        version: text("version"),
        slots: m.get_one("slots").copied().unwrap_or(8),
        load_ms: m.get_one("load-ms").copied().unwrap_or(800),
        lanes,
    };
    let r = web::Data::new(Replica::new(p, b));
    HttpServer::new(move || App::new().app_data(r.clone()).configure(routes))
        .workers(1)
        .shutdown_timeout(1)
        .bind(text("http"))?
        .run()
        .await
}
