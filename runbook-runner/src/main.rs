//! Runs a runbook: checked whole, step by step, stopping at the first failure with what was seen.

mod runbook;

use std::{collections::BTreeMap, process::exit};

use clap::{Arg, ArgAction, Command};
use coordination::events;
use daemon_parts::{
    clock,
    limits::{EDGE_HEARD, LOOK_EVERY},
    logging,
    operator::Operator,
    params::{EXIT_FAILED, EXIT_PARAMS},
};
use remote_calls::{MemberStatus, RolloutPhase, Status};
use runbook::{Call, Step, Wait};

#[actix_rt::main]
async fn main() {
    let m = Command::new("runbook-runner")
        .about("Runs a checked runbook against a fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("runbook")
                .required(true)
                .help("The runbook's file"),
        )
        .arg(
            Arg::new("control")
                .long("control")
                .action(ArgAction::Append)
                .help("IP:port of a control daemon; give all"),
        )
        .arg(
            Arg::new("set")
                .long("set")
                .action(ArgAction::Append)
                .help("NAME=VALUE for a name that the runbook takes"),
        )
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Check it and print the steps only"),
        )
        .get_matches();
    let bad = |e: String| -> ! {
        eprintln!("{e}");
        exit(EXIT_PARAMS)
    };
    let many = |n: &str| {
        m.get_many::<String>(n)
            .unwrap_or_default()
            .cloned()
            .collect::<Vec<_>>()
    };
    let mut set = BTreeMap::new();
    for s in many("set") {
        let Some((n, v)) = s.split_once('=') else {
            bad(format!("--set {s}: must be NAME=VALUE"))
        };
        set.insert(n.to_string(), v.to_string());
    }
    let file = m.get_one::<String>("runbook").cloned().unwrap_or_default();
    let text = std::fs::read_to_string(&file).unwrap_or_else(|e| bad(format!("{file}: {e}")));
    let book = runbook::read(&text, &set).unwrap_or_else(|e| bad(format!("{file}: {e}")));
    println!("{}", book.about);
    if m.get_flag("dry-run") {
        book.steps
            .iter()
            .enumerate()
            .for_each(|(i, s)| println!("{}. {}: {}", i + 1, s.name, describe(s)));
        return;
    }
    let _log = logging::start("info");
    let o = Operator::new(many("control"));
    let began = o.status().await.map(|s| s.member_epoch).unwrap_or(0);
    for (i, s) in book.steps.iter().enumerate() {
        match step(&o, s, began).await {
            Ok(seen) => {
                println!("{}. {}: {seen}", i + 1, s.name);
                logging::event(events::RUNBOOK_STEP, &s.name, &seen);
            }
            Err(seen) => {
                println!("{}. {}: FAILED: {seen}", i + 1, s.name);
                if let Some(c) = &s.otherwise {
                    let back = call(&o, c)
                        .await
                        .unwrap_or_else(|e| format!("failed as well: {e}"));
                    println!("   otherwise {c:?}: {back}");
                }
                logging::event(events::RUNBOOK_STOPPED, &s.name, &seen);
                exit(EXIT_FAILED)
            }
        }
    }
}

fn describe(s: &Step) -> String {
    match (&s.call, &s.wait) {
        (Some(c), _) => format!("call {c:?}"),
        (_, Some(w)) => format!("wait up to {} s for {w:?}", s.within_s),
        _ => String::new(),
    }
}

async fn step(o: &Operator, s: &Step, began: u64) -> Result<String, String> {
    if let Some(c) = &s.call {
        return call(o, c).await;
    }
    let Some(w) = &s.wait else {
        return Ok("nothing to do".into());
    };
    let until = clock::now() + s.within_s * 1_000;
    loop {
        let seen = match o.status().await {
            Ok(st) if alarmed(w, &st).is_some() => return Err(alarmed(w, &st).unwrap_or_default()),
            Ok(st) => match met(o, w, &st, began).await {
                Ok(seen) => return Ok(seen),
                Err(seen) => seen,
            },
            Err(f) => f.to_string(),
        };
        if clock::now() >= until {
            return Err(format!("not within {} s; last seen: {seen}", s.within_s));
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

async fn call(o: &Operator, c: &Call) -> Result<String, String> {
    let r = match c {
        Call::Evacuate { zone } => o.put_zone(zone, true).await,
        Call::Restore { zone } => o.put_zone(zone, false).await,
        Call::KillSwitch { on } => o.kill_switch(*on).await,
        Call::TouchSpec {} => {
            let s = o.spec().await.map_err(|f| f.to_string())?;
            let Some(spec) = s.spec else {
                return Err("no spec has been accepted yet".into());
            };
            o.put_spec(spec, Some(s.version)).await
        }
        Call::Plan {
            service,
            target,
            complete_within_s,
        } => {
            // Run again: a plan that already stands is not put a second time.
            let now = o.plan(service).await.map_err(|f| f.to_string())?;
            if now
                .plan
                .as_ref()
                .is_some_and(|p| p.target == *target && p.complete_by > clock::wall_s())
            {
                return Ok(format!("already accepted as version {}", now.version));
            }
            o.put_plan(service, target, *complete_within_s, Some(now.version))
                .await
        }
    };
    r.map(|a| format!("accepted as version {}", a.version))
        .map_err(|f| f.to_string())
}

/// The alert that ends a wait for a service, if one stands.
fn alarmed(w: &Wait, s: &Status) -> Option<String> {
    let Wait::Stable {
        service, stop_on, ..
    } = w
    else {
        return None;
    };
    let r = s.rollouts.iter().find(|r| r.service == *service)?;
    r.alerts
        .iter()
        .find(|a| stop_on.contains(a))
        .map(|a| format!("alert {a} in {:?} on {}", r.phase, r.stable))
}

/// Whether a condition holds, and what was seen.
async fn met(o: &Operator, w: &Wait, s: &Status, began: u64) -> Result<String, String> {
    let (ok, seen) = match w {
        Wait::Members { live } => {
            let n = s.members.iter().filter(|m| m.live).count();
            (
                s.settled && s.disk_ok && n >= *live,
                format!(
                    "{n} members live, settled {}, disk ok {}",
                    s.settled, s.disk_ok
                ),
            )
        }
        Wait::CaughtUp { members } => {
            let whole = |m: &&MemberStatus| {
                m.live && m.same == Some(true) && m.member_epoch == Some(s.member_epoch)
            };
            let n = s.members.iter().filter(whole).count();
            let quorum = s.quorum == Some(true);
            (
                quorum && n >= *members,
                format!(
                    "{n} of {} members have caught up, majority heard {quorum}",
                    s.members.len()
                ),
            )
        }
        Wait::Honoured { edges } => {
            let v = o.spec().await.map_err(|f| f.to_string())?.version;
            let near = s.edges.iter().filter(|e| e.heard_ms_ago <= EDGE_HEARD);
            let (all, good) = (
                near.clone().count(),
                near.filter(|e| e.spec_version == v).count(),
            );
            (
                good == all && good >= *edges,
                format!("spec {v} honoured at {good} of {all} edges"),
            )
        }
        Wait::Zone { zone, evacuated } => {
            let z = s.zones.iter().find(|z| z.zone == *zone);
            (
                z.is_some_and(|z| z.evacuated == *evacuated),
                format!("{zone}: {:?}", z.map(|z| z.evacuated)),
            )
        }
        Wait::Empty { zone } => {
            let n = s
                .streams
                .iter()
                .find(|z| z.zone == *zone)
                .map(|z| z.streams);
            (n == Some(0), format!("{zone}: {n:?} streams open"))
        }
        Wait::Edge { edge } => {
            let v = o.spec().await.map_err(|f| f.to_string())?.version;
            let e = s
                .edges
                .iter()
                .find(|e| e.edge == *edge && e.heard_ms_ago <= EDGE_HEARD);
            (
                e.is_some_and(|e| e.spec_version == v),
                format!("{edge}: {:?}, spec {v}", e.map(|e| e.spec_version)),
            )
        }
        Wait::Stable {
            service, version, ..
        } => {
            let r = s.rollouts.iter().find(|r| r.service == *service);
            let ok = r.is_some_and(|r| r.phase == RolloutPhase::Steady && r.stable == *version);
            (
                ok,
                r.map_or("no rollout record".into(), |r| {
                    format!("{:?} on {} alerts {:?}", r.phase, r.stable, r.alerts)
                }),
            )
        }
        Wait::Copies { service, most } => {
            let n = s
                .contexts
                .iter()
                .find(|c| c.service == *service)
                .map_or(0, |c| c.parts.len());
            (
                n <= *most,
                format!("{n} copies of shared context of {service}"),
            )
        }
        Wait::MembersChanged {} => (
            s.member_epoch > began,
            format!("member epoch {} was {began}", s.member_epoch),
        ),
    };
    if ok { Ok(seen) } else { Err(seen) }
}
