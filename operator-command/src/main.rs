//! The operators' command line: every operator call, readable or as JSON.

mod objects;

use std::process::exit;

use clap::{Arg, ArgAction, ArgMatches, Command};
use daemon_parts::{
    operator::Operator,
    params::{EXIT_FAILED, EXIT_PARAMS},
};
use objects::Wanted;
use remote_calls::{
    Accepted, Counters, Fault, Health, PlatformWarning, Spec, Status, WarnKind, calls, spec_check,
};
use serde::Serialize;

/// Exit code when the outcome of a write is not known.
const EXIT_UNKNOWN: i32 = 3;
/// Exit code when another write came first.
const EXIT_CONFLICT: i32 = 4;

fn command() -> Command {
    let arg = |n: &'static str, h: &'static str| Arg::new(n).required(true).help(h);
    let expect = Arg::new("expect")
        .long("expect")
        .value_parser(clap::value_parser!(u64))
        .help("Only if this version stands; without it the version read just before");
    let file = arg("file", "JSON file; - reads standard input");
    Command::new("operator-command")
        .about("Operates a landingslip fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg(
            Arg::new("control")
                .long("control")
                .action(ArgAction::Append)
                .global(true)
                .help("IP:port of a control daemon; give several and the next is asked when one is gone"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).global(true).help("Print the answer as JSON"))
        .subcommand(Command::new("status").about("Members, keys and their owners, duties, leases, edges, rollouts, zones"))
        .subcommand(Command::new("health").about("Whether the daemon asked serves"))
        .subcommand(Command::new("counters").about("The counters of the daemon asked"))
        .subcommand(Command::new("spec-get").about("The accepted spec"))
        .subcommand(Command::new("spec-put").about("Replace the spec").arg(file.clone()).arg(expect.clone()))
        .subcommand(Command::new("spec-check").about("Check a spec without sending it").arg(file))
        .subcommand(
            Command::new("apply")
                .about("Apply Kubernetes-style objects (kinds Fleet, ReleasePlan, Zone), one or a list")
                .arg(arg("file", "JSON file; - reads standard input")),
        )
        .subcommand(Command::new("plan-get").about("A service's release plan").arg(arg("service", "The service")))
        .subcommand(
            Command::new("plan-put")
                .about("Move a service to a version by a time")
                .arg(arg("service", "The service"))
                .arg(arg("target", "The version"))
                .arg(
                    Arg::new("within")
                        .long("within")
                        .default_value("3600")
                        .value_parser(clap::value_parser!(u64))
                        .help("Seconds from now"),
                )
                .arg(expect),
        )
        .subcommand(Command::new("evacuate").about("Take all requests off a zone").arg(arg("zone", "The zone")))
        .subcommand(Command::new("restore").about("Let a zone take requests again").arg(arg("zone", "The zone")))
        .subcommand(
            Command::new("kill-switch")
                .about("Stop or allow all rollout activity")
                .arg(arg("state", "on or off").value_parser(["on", "off"])),
        )
        .subcommand(Command::new("warn-replica").about("Say that a replica will be stopped").arg(arg("id", "The replica")))
}

fn read_file(m: &ArgMatches) -> Result<String, Fault> {
    let f = text(m, "file");
    let t = if f == "-" {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(&f)
    };
    t.map_err(|e| Fault::new("bad_spec", "read_file", e.to_string()).field(f))
}

fn read_spec(m: &ArgMatches) -> Result<Spec, Fault> {
    let bad =
        |e: serde_json::Error| Fault::new("bad_spec", "read_file", e.to_string()).field("file");
    let s: Spec = serde_json::from_str(&read_file(m)?).map_err(bad)?;
    spec_check::check(&s)?;
    Ok(s)
}

fn text(m: &ArgMatches, n: &str) -> String {
    m.get_one::<String>(n).cloned().unwrap_or_default()
}

/// Prints an answer: as JSON, or in the given words.
fn show<T: Serialize>(json: bool, v: &T, words: impl FnOnce(&T) -> String) {
    let s = if json {
        serde_json::to_string_pretty(v).unwrap_or_default()
    } else {
        words(v)
    };
    println!("{}", s.trim_end());
}

fn status_words(s: &Status) -> String {
    let mut o = format!(
        "daemon {}  member epoch {}  settled {}  hears a majority {}  disk ok {}  kill switch {}\n",
        s.daemon,
        s.member_epoch,
        s.settled,
        s.quorum.unwrap_or_default(),
        s.disk_ok,
        s.kill_switch
    );
    o += "\nMEMBER       ADDRESS               LIVE   HEARD        EPOCH  SAME\n";
    for m in &s.members {
        let heard = m
            .heard_ms_ago
            .map_or("never".into(), |ms| format!("{ms} ms ago"));
        let epoch = m.member_epoch.map_or(String::new(), |e| e.to_string());
        let same = m.same.map_or("", |same| if same { "yes" } else { "no" });
        o += &format!(
            "{:12} {:21} {:<6} {heard:12} {epoch:<6} {same}\n",
            m.name, m.addr, m.live
        );
    }
    o += "\nKEY                      OWNER        EPOCH   VERSION  LEASE\n";
    for k in &s.keys {
        let p = k.permit_ms.map_or(String::new(), |p| format!("{p} ms"));
        o += &format!(
            "{:24} {:12} {:<7} {:<8} {p}\n",
            k.key, k.owner, k.epoch, k.version
        );
    }
    o += "\nEDGE         ZONE         HEARD       SPEC\n";
    s.edges.iter().for_each(|e| {
        o += &format!(
            "{:12} {:12} {:<11} {}\n",
            e.edge,
            e.zone,
            format!("{} ms ago", e.heard_ms_ago),
            e.spec_version
        )
    });
    o += "\nZONE         STATE\n";
    s.zones.iter().for_each(|z| {
        o += &format!(
            "{:12} {}\n",
            z.zone,
            if z.evacuated { "evacuated" } else { "open" }
        )
    });
    for r in &s.rollouts {
        let t = r
            .target
            .as_deref()
            .map_or(String::new(), |t| format!(" target {t}"));
        let by = if r.forecast > 0 {
            format!(" complete by {}", r.forecast)
        } else {
            String::new()
        };
        o += &format!(
            "\nROLLOUT {} phase {:?} stable {}{t}{by} alerts {:?}\n",
            r.service, r.phase, r.stable, r.alerts
        );
        for g in &r.groups {
            let f = if g.allow_unload { " may unload" } else { "" };
            o += &format!(
                "  {:9} {:12} {:>3}%  {} replicas{f}\n",
                format!("{:?}", g.role),
                g.version,
                g.share_percent,
                g.replicas.len()
            );
        }
    }
    for c in &s.contexts {
        o += &format!(
            "\nSHARED CONTEXT {} version {} {} copies\n",
            c.service,
            c.version,
            c.parts.len()
        );
        for p in &c.parts {
            o += &format!(
                "  {:016x} {:>7} tokens  {:12} {}\n",
                p.chain,
                p.tokens,
                p.region,
                p.replicas.join(" ")
            );
        }
    }
    o
}

async fn run(m: &ArgMatches) -> Result<(), Fault> {
    let json = m.get_flag("json");
    let control = m
        .get_many::<String>("control")
        .unwrap_or_default()
        .cloned()
        .collect();
    let a = Operator::new(control);
    let accepted = |v: &Accepted| format!("accepted as version {}", v.version);
    let Some((name, m)) = m.subcommand() else {
        return Ok(());
    };
    let expect = || m.get_one::<u64>("expect").copied();
    match name {
        "status" => show(json, &a.status().await?, status_words),
        "health" => show(json, &a.get::<Health>(calls::HEALTH).await?, |h| {
            format!(
                "{} {}: {}",
                h.process,
                if h.ok { "ok" } else { "not ok" },
                h.detail
            )
        }),
        "counters" => show(json, &a.get::<Counters>(calls::COUNTERS).await?, |c| {
            c.counters
                .iter()
                .map(|c| format!("{:40} {}\n", c.name, c.value))
                .collect()
        }),
        "spec-check" => {
            read_spec(m)?;
            println!("the spec is valid");
        }
        "spec-get" => show(json, &a.spec().await?, |s| {
            format!(
                "version {}\n{}",
                s.version,
                serde_json::to_string_pretty(&s.spec).unwrap_or_default()
            )
        }),
        "spec-put" => {
            let spec = read_spec(m)?;
            show(json, &a.put_spec(spec, expect()).await?, accepted);
        }
        "apply" => {
            // All objects are checked before the first call is made.
            for w in objects::read(&read_file(m)?)? {
                let r = match w {
                    Wanted::Spec(s) => a.put_spec(*s, None).await?,
                    Wanted::Plan(service, target, within) => {
                        a.put_plan(&service, &target, within, None).await?
                    }
                    Wanted::Zone(zone, evacuated) => a.put_zone(&zone, evacuated).await?,
                };
                show(json, &r, accepted);
            }
        }
        "plan-get" => {
            show(json, &a.plan(&text(m, "service")).await?, |s| {
                match &s.plan {
                    Some(p) => format!(
                        "version {}: {} to {} by {}",
                        s.version, p.service, p.target, p.complete_by
                    ),
                    None => "no plan".into(),
                }
            });
        }
        "plan-put" => {
            let (service, target) = (text(m, "service"), text(m, "target"));
            let within = m.get_one::<u64>("within").copied().unwrap_or(0);
            show(
                json,
                &a.put_plan(&service, &target, within, expect()).await?,
                accepted,
            );
        }
        "evacuate" | "restore" => {
            show(
                json,
                &a.put_zone(&text(m, "zone"), name == "evacuate").await?,
                accepted,
            );
        }
        "kill-switch" => show(
            json,
            &a.kill_switch(text(m, "state") == "on").await?,
            accepted,
        ),
        _ => {
            let q = PlatformWarning {
                kind: WarnKind::Replica,
                id: text(m, "id"),
                leaves_in_ms: 0,
            };
            show(
                json,
                &a.path::<_, Accepted>(calls::PLATFORM_WARN.0, calls::PLATFORM_WARN.1, Some(&q))
                    .await?,
                accepted,
            );
        }
    }
    Ok(())
}

#[actix_rt::main]
async fn main() {
    let m = command().get_matches();
    let Err(f) = run(&m).await else { return };
    if m.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&f).unwrap_or_default());
    }
    eprintln!("{f}");
    exit(match f.code.as_str() {
        "unknown" => EXIT_UNKNOWN,
        "conflict" => EXIT_CONFLICT,
        "bad_spec" | "bad_plan" | "bad_request" => EXIT_PARAMS,
        _ => EXIT_FAILED,
    })
}
