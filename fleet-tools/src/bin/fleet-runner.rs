//! Starts a whole fleet of a deployment's size on loopback. For development only.

use std::{collections::BTreeSet, path::PathBuf, time::Duration};

use clap::{Arg, ArgAction, Command};
use daemon_parts::{clock, params::EXIT_PARAMS, stop::StopSignals};
use fleet_simulator::{
    checkers,
    history::{Bad, History, Loss, Told, ZoneWord},
    wrong::WRONGS,
};
use fleet_tools::{
    caller::{self, Want},
    deployment::Deployment,
    fleet::Fleet,
    link::Cut,
    replica::Behaviour,
};
use remote_calls::TierSpec;

/// Bound on the fleet's start; only trouble takes so long.
const START_LIMIT: Duration = Duration::from_secs(60);

/// What can be brought about on real processes.
const FAULTS: [(&str, &str); 16] = [
    (
        "kill",
        "control-1, edge-1 and proxy-1 are killed and started again after 3 s",
    ),
    (
        "freeze",
        "control-1, edge-2 and proxy-2 are stopped for 6 s and go on",
    ),
    ("wipe", "control-1 loses its disk"),
    (
        "replace",
        "control-2 is replaced by an empty machine at a new address",
    ),
    (
        "full-disk",
        "control-3 starts again with a disk that has no room, and gets room after 8 s",
    ),
    ("total-loss", "every daemon is killed and started again"),
    (
        "evacuate",
        "the last zone is evacuated, and restored after 8 s",
    ),
    ("bad-version", "a version that fails on 60% is rolled out"),
    (
        "slow-version",
        "a version that takes twelve times as long is rolled out",
    ),
    (
        "cut",
        "control-1 and edge-1 are cut off from all others for 8 s",
    ),
    (
        "one-way",
        "nothing reaches control-2 and edge-2 for 8 s, but they are heard",
    ),
    (
        "slow-link",
        "every frame between processes takes up to 300 ms for 10 s",
    ),
    (
        "kill-replicas",
        "three replicas are killed, one after the other",
    ),
    ("freeze-replicas", "two replicas stand still for 4 s"),
    (
        "wrong-streams",
        "a third of all streams come wrong, in each way in turn",
    ),
    (
        "replace-edge",
        "edge-1 is replaced by an empty machine of another name at a new address",
    ),
];

#[actix_rt::main]
async fn main() {
    let faults: String = FAULTS
        .iter()
        .map(|(n, h)| format!("  {n:12} {h}\n"))
        .collect();
    let m = Command::new("fleet-runner")
        .about("Starts a whole fleet on loopback, for development")
        .after_help(format!("Faults:\n{faults}"))
        .arg(
            Arg::new("deployment")
                .required(true)
                .value_parser(["dentaplan", "registry"]),
        )
        .arg(
            Arg::new("data")
                .long("data")
                .default_value("fleet-data")
                .help("Folder for data and logs"),
        )
        .arg(Arg::new("log").long("log").default_value("info"))
        .arg(
            Arg::new("load")
                .long("load")
                .default_value("0")
                .value_parser(clap::value_parser!(u64))
                .help("Seconds of callers' load, then end"),
        )
        .arg(
            Arg::new("fault")
                .long("fault")
                .action(ArgAction::Append)
                .value_parser(FAULTS.map(|f| f.0))
                .help("Bring this about a third into the load; may be given again"),
        )
        .arg(
            Arg::new("target")
                .long("target")
                .help("Release plan during the load: the version to move to"),
        )
        .get_matches();
    let Some(d) = m
        .get_one::<String>("deployment")
        .and_then(|n| Deployment::named(n))
    else {
        std::process::exit(EXIT_PARAMS)
    };
    let data =
        PathBuf::from(m.get_one::<String>("data").cloned().unwrap_or_default()).join(&d.name);
    let log = m.get_one::<String>("log").cloned().unwrap_or_default();
    let load = m.get_one::<u64>("load").copied().unwrap_or(0);
    let faults = m
        .get_many::<String>("fault")
        .unwrap_or_default()
        .cloned()
        .collect();
    if let Err(e) = run(
        d,
        data,
        &log,
        load,
        m.get_one::<String>("target").cloned(),
        faults,
    )
    .await
    {
        eprintln!("{e}");
        std::process::exit(1);
    }
}

async fn run(
    d: Deployment,
    data: PathBuf,
    log: &str,
    load: u64,
    target: Option<String>,
    faults: Vec<String>,
) -> Result<(), String> {
    let mut signals = StopSignals::listen().map_err(|e| e.to_string())?;
    let mut f = Fleet::start(d, &data, log).map_err(|e| e.to_string())?;
    let t = f
        .until("control daemons settle", START_LIMIT, async |f| {
            f.settled().await
        })
        .await?;
    println!("control settled after {t} ms");
    let v = f
        .operator()
        .put_spec(f.d.spec.clone(), None)
        .await
        .map_err(|e| e.to_string())?;
    let t = f
        .until("every proxy serves", START_LIMIT, async |f| {
            f.serves().await
        })
        .await?;
    println!(
        "spec version {} honoured at every edge after {t} ms",
        v.version
    );
    for p in f.processes.values() {
        println!(
            "{:12} {:10} http {:21} processes {}",
            p.name, p.zone, p.http, p.listen
        );
    }
    if load == 0 {
        println!("running; Ctrl-C ends it");
        signals.received("fleet-runner").await;
        return Ok(());
    }
    let service = f.d.spec.services[0].name.clone();
    if let Some(t) = &target {
        let v = f
            .operator()
            .put_plan(&service, t, 600, None)
            .await
            .map_err(|e| e.to_string())?;
        println!("release plan version {} accepted", v.version);
    }
    let callers = actix_rt::spawn(traffic(Callers::of(&f), Duration::from_secs(load)));
    tokio::time::sleep(Duration::from_secs(load / 3)).await;
    let mut seen = History::default();
    for x in &faults {
        println!("fault {x}");
        fault(&mut f, x, &mut seen)
            .await
            .map_err(|e| format!("{x}: {e}"))?;
    }
    let told = callers.await.map_err(|e| e.to_string())?;
    summary(&told);
    if let Ok(s) = f.operator().status().await {
        for r in s.rollouts {
            println!(
                "rollout {} phase {:?} stable {} alerts {:?}",
                r.service, r.phase, r.stable, r.alerts
            );
        }
    }
    let h = f.history(told).await.map_err(|e| e.to_string())?;
    // What a killed replica ran is known to nobody any more.
    let recorded: BTreeSet<&str> = h.runs.iter().map(|r| r.run.as_str()).collect();
    let lost = |t: &Told| seen.gone.contains(&t.replica) && !recorded.contains(t.run.as_str());
    let (unproved, told): (Vec<Told>, Vec<Told>) = h.told.iter().cloned().partition(lost);
    if !unproved.is_empty() {
        println!(
            "{} requests ran on replicas that were killed with their records: not checked",
            unproved.len()
        );
    }
    let found = checkers::check(&History {
        firsts: h.asked,
        told,
        runs: h.runs.clone(),
        asked: h.asked,
        end_ms: h.end_ms,
        ..seen
    });
    if found.is_empty() {
        println!("every checker is content");
        return Ok(());
    }
    Err(found.join("\n"))
}

/// Brings a fault about and waits until the fleet is whole again.
async fn fault(f: &mut Fleet, name: &str, seen: &mut History) -> Result<(), String> {
    let io = |e: std::io::Error| e.to_string();
    let pause = |s: u64| tokio::time::sleep(Duration::from_secs(s));
    let signal = |f: &Fleet, names: &[&str], s| {
        names
            .iter()
            .filter_map(|n| f.processes.get(*n))
            .for_each(|p| p.signal(s))
    };
    match name {
        "kill" => {
            let names = ["control-1", "edge-1", "proxy-1"];
            names
                .iter()
                .filter_map(|n| f.processes.get_mut(*n).map(|p| p.kill()))
                .for_each(drop);
            pause(3).await;
            names.iter().try_for_each(|n| f.restart(n)).map_err(io)?;
        }
        "freeze" => {
            let names = ["control-1", "edge-2", "proxy-2"];
            signal(f, &names, libc::SIGSTOP);
            let at = clock::now();
            pause(6).await;
            signal(f, &names, libc::SIGCONT);
            seen.stalls.push((at, clock::now()));
        }
        "wipe" => {
            if let Some(p) = f.processes.get_mut("control-1") {
                p.kill();
            }
            std::fs::remove_dir_all(f.folder.join("control-1")).map_err(io)?;
            f.restart("control-1").map_err(io)?;
        }
        "replace" => f.replace("control-2").map_err(io)?,
        "full-disk" => {
            f.limit("control-3", Some(4_096)).map_err(io)?;
            f.until("it is back", START_LIMIT, async |f| f.settled().await)
                .await?;
            // The bound holds the file at its size: a spec that needs more room is what it cannot take.
            let mut big = f.d.spec.clone();
            let more = (0..600).map(|i| TierSpec {
                name: format!("spare-{i}"),
                rank: 100 + i,
                keep_free: 90,
            });
            big.tiers.extend(more);
            let v = f
                .operator()
                .put_spec(big, None)
                .await
                .map_err(|e| e.to_string())?;
            println!("the others accepted a large spec as version {}", v.version);
            pause(8).await;
            let full = !f.settled().await;
            println!("control-3 confirms nothing: {full}");
            f.limit("control-3", None).map_err(io)?;
        }
        "total-loss" => {
            let from = clock::now();
            let names: Vec<String> = f
                .processes
                .keys()
                .filter(|n| *n != "platform")
                .cloned()
                .collect();
            names
                .iter()
                .filter_map(|n| f.processes.get_mut(n).map(|p| p.kill()))
                .for_each(drop);
            names.iter().try_for_each(|n| f.restart(n)).map_err(io)?;
            seen.losses.push(Loss {
                from,
                up: clock::now(),
            });
        }
        "cut" | "one-way" => {
            let some: Vec<String> = (if name == "cut" {
                ["control-1", "edge-1"]
            } else {
                ["control-2", "edge-2"]
            })
            .map(String::from)
            .into();
            let rest: Vec<String> = f
                .processes
                .keys()
                .filter(|n| !some.contains(n) && !n.starts_with("proxy"))
                .cloned()
                .collect();
            let cut = some.clone();
            let mut cuts = vec![Cut {
                from: rest.clone(),
                to: some.clone(),
            }];
            if name == "cut" {
                cuts.push(Cut {
                    from: some,
                    to: rest,
                });
            }
            f.link.rules().cuts = cuts;
            pause(1).await;
            let mut spec = f.d.spec.clone();
            spec.bake_ms += 1;
            // Asked of one that is not cut off; the other could only say that it does not know.
            let mut o = f.operator();
            o.control = f
                .control()
                .iter()
                .filter(|p| !cut.contains(&p.name))
                .map(|p| p.http.clone())
                .collect();
            let v = o.put_spec(spec, None).await.map_err(|e| e.to_string())?;
            println!("the others accepted spec version {}", v.version);
            pause(7).await;
            f.link.rules().cuts.clear();
        }
        "slow-link" => {
            f.link.rules().delay = 300;
            pause(10).await;
            f.link.rules().delay = 0;
        }
        "kill-replicas" => {
            for i in 0..3 {
                seen.gone.extend(f.harm(i * 5, libc::SIGKILL).await);
                pause(3).await;
            }
        }
        "freeze-replicas" => {
            for (s, ms) in [(libc::SIGSTOP, 4), (libc::SIGCONT, 0)] {
                f.harm(1, s).await;
                f.harm(4, s).await;
                pause(ms).await;
            }
        }
        "wrong-streams" => {
            let version = f.d.spec.services[0].version.clone();
            for w in WRONGS {
                let b = Behaviour {
                    version: version.clone(),
                    wrong: Some(w),
                    wrong_percent: 33,
                    ..Behaviour::default()
                };
                f.behave(&[b]).await;
                pause(1).await;
            }
            f.behave(&[]).await;
        }
        "replace-edge" => f
            .replace_edge(1, 1 + f.d.edges.iter().map(|e| e.count).sum::<usize>())
            .map_err(io)?,
        "evacuate" => {
            let zone =
                f.d.spec
                    .zones
                    .last()
                    .map_or(String::new(), |z| z.name.clone());
            let mut word = |evacuated| {
                seen.zones.push(ZoneWord {
                    at: clock::now(),
                    zone: zone.clone(),
                    evacuated,
                    version: None,
                });
            };
            f.operator()
                .put_zone(&zone, true)
                .await
                .map_err(|e| e.to_string())?;
            word(true);
            pause(8).await;
            word(false);
            f.operator()
                .put_zone(&zone, false)
                .await
                .map_err(|e| e.to_string())?;
        }
        _ => {
            let (v, service) = ("v9".to_string(), f.d.spec.services[0].name.clone());
            let (fail_percent, slow_percent) = if name == "bad-version" {
                (60, 0)
            } else {
                (0, 1_100)
            };
            f.behave(&[Behaviour {
                version: v.clone(),
                fail_percent,
                slow_percent,
                ..Behaviour::default()
            }])
            .await;
            seen.bad.push(Bad {
                at: clock::now(),
                version: v.clone(),
                ..Bad::default()
            });
            f.operator()
                .put_plan(&service, &v, 600, None)
                .await
                .map_err(|e| e.to_string())?;
        }
    }
    let t = f
        .until("the fleet is whole again", START_LIMIT, async |f| {
            f.settled().await && f.serves().await
        })
        .await?;
    println!("whole again after {t} ms");
    Ok(())
}

/// What callers know of a fleet.
struct Callers {
    d: Deployment,
    edges: Vec<(String, String)>,
    client: awc::Client,
}

impl Callers {
    fn of(f: &Fleet) -> Self {
        let edges = f
            .proxies()
            .iter()
            .map(|p| (p.zone.clone(), p.http.clone()))
            .collect();
        Callers {
            d: f.d.clone(),
            edges,
            client: f.client.clone(),
        }
    }
}

/// The deployment's mix at its rate, from callers in every zone.
async fn traffic(f: Callers, long: Duration) -> Vec<Told> {
    let edges = f.edges;
    let parts: u64 = f.d.mix.iter().map(|m| m.parts).sum();
    let s = &f.d.spec.services[0];
    let mut rng = fastrand::Rng::with_seed(1);
    let mut all = Vec::new();
    let until = clock::now() + long.as_millis() as u64;
    while clock::now() < until {
        let (zone, edge) = edges[rng.usize(..edges.len())].clone();
        let mut x = rng.u64(..parts);
        let Some(m) = f.d.mix.iter().find(|m| {
            let hit = x < m.parts;
            x = x.saturating_sub(m.parts);
            hit
        }) else {
            continue;
        };
        let tier = f.d.spec.tiers[rng.usize(..f.d.spec.tiers.len())]
            .name
            .clone();
        let mut homes = vec![zone];
        // Some callers are allowed a second home.
        if rng.bool() {
            let z = f.d.spec.zones[rng.usize(..f.d.spec.zones.len())]
                .name
                .clone();
            if !homes.contains(&z) {
                homes.push(z);
            }
        }
        let prefixes = if m.prefixes > 0 {
            vec![format!("p{}", rng.u64(..m.prefixes))]
        } else {
            vec![]
        };
        let w = Want {
            service: s.name.clone(),
            lane: m.lane.clone(),
            tier,
            homes,
            prefixes,
            time_left_ms: m.time_left_ms,
            run_once: rng.bool(),
            prompt: format!("prompt {}", rng.u64(..)),
        };
        let c = f.client.clone();
        all.push(actix_rt::spawn(
            async move { caller::once(&c, &edge, &w).await },
        ));
        tokio::time::sleep(Duration::from_micros(1_000_000 / f.d.rate_per_s)).await;
    }
    let mut told = Vec::new();
    for t in all {
        told.extend(t.await);
    }
    told
}

fn summary(told: &[Told]) {
    let mut rows: std::collections::BTreeMap<(&str, &str), [u64; 5]> = Default::default();
    for t in told {
        let r = rows.entry((&t.lane, &t.tier)).or_default();
        r[0] += 1;
        r[1] += u64::from(t.in_time);
        r[2] += u64::from(t.outcome == "rejected" || t.outcome == "not_run");
        r[3] += u64::from(t.outcome == "unknown");
        r[4] += u64::from(t.warm);
    }
    println!(
        "{:14} {:11} {:>6} {:>8} {:>9} {:>8} {:>6}",
        "lane", "tier", "asked", "in time", "rejected", "unknown", "warm"
    );
    for ((l, t), r) in rows {
        println!(
            "{l:14} {t:11} {:>6} {:>8} {:>9} {:>8} {:>6}",
            r[0], r[1], r[2], r[3], r[4]
        );
    }
    let mut codes: std::collections::BTreeMap<(&str, &str), u64> = Default::default();
    told.iter()
        .filter(|t| t.outcome != "answered")
        .for_each(|t| *codes.entry((&t.outcome, &t.code)).or_default() += 1);
    codes
        .iter()
        .for_each(|((o, c), n)| println!("{o} {c}: {n}"));
    let mut versions: std::collections::BTreeMap<&str, u64> = Default::default();
    told.iter()
        .for_each(|t| *versions.entry(&t.version).or_default() += 1);
    println!("by version: {versions:?}");
}
