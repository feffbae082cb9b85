//! A program's params: a JSON file, flags over it, all faults named at once.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command};
use coordination::{
    bounds::Bounds,
    policy::{Mechanism, Policy},
};
use serde::Deserialize;

/// Exit code of a program whose params are not valid.
pub const EXIT_PARAMS: i32 = 2;
/// Exit code of a program that failed.
pub const EXIT_FAILED: i32 = 1;

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Params {
    /// This process's lasting name.
    pub name: String,
    pub zone: String,
    /// Where other processes of ours reach it.
    pub listen: String,
    /// Where it binds for them, if that is another address than they reach it at.
    pub bind: String,
    /// Where HTTP callers reach it.
    pub http: String,
    /// Addresses of three other processes.
    pub seeds: Vec<String>,
    /// Control daemons only: names of all of them.
    pub members: Vec<String>,
    /// Control daemons only: the data folder.
    pub data: Option<PathBuf>,
    /// Control daemons only: the platform's address.
    pub platform: String,
    /// Proxies only: the agent's address on this machine.
    pub agent: String,
    /// Proxies only: where a platform asks whether this proxy takes requests.
    pub readiness: String,
    /// Control daemons only: where callers ask for the edges' addresses.
    pub directory: String,
    /// Control daemons only: most bytes the database may grow to; 0 sets no bound.
    pub data_limit: u64,
    pub log: String,
    /// Region of each zone; a zone that is not named is its own region.
    pub regions: BTreeMap<String, String>,
    /// Control daemons only: the whole system starts for the first time and the seeds found it.
    pub founding: bool,
    /// Edges only: a daemon cut off from the control plane serves stable versions on by what it knew last.
    pub serve_on: bool,
    pub bounds: Bounds,
    /// Proxies only: which mechanisms of placement are in force.
    pub policy: Policy,
}

/// A field a program needs.
pub type Need = &'static str;

const FLAGS: [(&str, &str); 9] = [
    ("name", "This process's lasting name"),
    ("zone", "The zone this machine stands in"),
    ("listen", "IP:port where our other processes reach it"),
    ("bind", "IP:port to bind for them, if it is another"),
    ("http", "IP:port where HTTP callers reach it"),
    ("data", "The data folder"),
    ("platform", "IP:port of the platform"),
    ("agent", "IP:port of this machine's agent"),
    ("log", "Log level: error, warn, info, debug"),
];

/// The command line every daemon has.
pub fn command(name: &'static str, about: &'static str) -> Command {
    let flags = FLAGS.map(|(n, h)| Arg::new(n).long(n).help(h));
    Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("params")
                .long("params")
                .value_name("FILE")
                .help("Params file, JSON; flags go over it"),
        )
        .args(flags)
        .arg(
            Arg::new("seed")
                .long("seed")
                .action(ArgAction::Append)
                .help("IP:port of another process; give three"),
        )
        .arg(
            Arg::new("member")
                .long("member")
                .action(ArgAction::Append)
                .help("Name of a control daemon; give all"),
        )
        .arg(
            Arg::new("check-params")
                .long("check-params")
                .action(ArgAction::SetTrue)
                .help("Check the params and exit"),
        )
}

/// The flag of proxies that leaves mechanisms of placement out.
pub fn without_flag() -> Arg {
    let known: Vec<&str> = Mechanism::ALL.iter().map(|m| m.name()).collect();
    Arg::new("without")
        .long("without")
        .value_name("MECHANISM")
        .value_parser(clap::value_parser!(Mechanism))
        .value_delimiter(',')
        .action(ArgAction::Append)
        .help(format!(
            "Leaves mechanisms of placement out, to measure what they are worth: {}",
            known.join(", ")
        ))
}
/// The policy by the flag, if it was given.
pub fn policy_flag(m: &ArgMatches) -> Option<Policy> {
    let all = m.try_get_many::<Mechanism>("without").ok().flatten()?;
    Some(Policy::without(all.copied()))
}

fn from_file(m: &ArgMatches) -> Result<Params, String> {
    let Some(f) = m.get_one::<String>("params") else {
        return Ok(Params::default());
    };
    let text = std::fs::read_to_string(f).map_err(|e| format!("params: {f}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("params: {f}: {e}"))
}

/// Reads and checks; all faults come back together.
pub fn read(m: &ArgMatches, needs: &[Need]) -> Result<Params, Vec<String>> {
    let mut p = from_file(m).map_err(|e| vec![e])?;
    let text = |n: &str| m.get_one::<String>(n).cloned();
    let over = |to: &mut String, n: &str| {
        if let Some(v) = text(n) {
            *to = v;
        }
    };
    over(&mut p.name, "name");
    over(&mut p.zone, "zone");
    over(&mut p.listen, "listen");
    over(&mut p.bind, "bind");
    over(&mut p.http, "http");
    over(&mut p.platform, "platform");
    over(&mut p.agent, "agent");
    over(&mut p.log, "log");
    // The bound is only in the file: it belongs to the disk, not to one start.
    p.data = text("data").map(PathBuf::from).or(p.data);
    let many = |n: &str| {
        m.get_many::<String>(n)
            .map(|v| v.cloned().collect::<Vec<_>>())
    };
    p.seeds = many("seed").unwrap_or(p.seeds);
    p.members = many("member").unwrap_or(p.members);
    p.policy = policy_flag(m).unwrap_or(p.policy);
    if p.bind.is_empty() {
        p.bind = p.listen.clone();
    }
    if p.log.is_empty() {
        p.log = "info".into();
    }
    let faults = check(&p, needs);
    if faults.is_empty() {
        Ok(p)
    } else {
        Err(faults)
    }
}

/// Every fault of the params. Needing `founders` instead of `seeds` and `members`, the daemons at the seeds found
/// the system, and no names are given.
pub fn check(p: &Params, needs: &[Need]) -> Vec<String> {
    let mut bad = Vec::new();
    let mut label = |n: &str, v: &str| {
        let ok = !v.is_empty()
            && v.len() <= 64
            && v.bytes()
                .all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b));
        if needs.contains(&n) && !ok {
            bad.push(format!("{n}: must be 1 to 64 letters, digits, '-' or '_'"));
        }
    };
    label("name", &p.name);
    label("zone", &p.zone);
    let addr = |n: &str, v: &str| match v.parse::<SocketAddr>() {
        _ if !needs.contains(&n) => None,
        Ok(a) if a.port() > 0 => None,
        _ => Some(format!("{n}: {v:?} is no IP:port")),
    };
    let all = [
        ("listen", &p.listen),
        ("http", &p.http),
        ("platform", &p.platform),
        ("agent", &p.agent),
    ];
    bad.extend(all.iter().filter_map(|(n, v)| addr(n, v)));
    if p.bind != p.listen && p.bind.parse::<SocketAddr>().is_err() {
        bad.push(format!("bind: {:?} is no IP:port", p.bind));
    }
    if needs.contains(&"seeds") || needs.contains(&"founders") {
        // Founders stand at the seeds, and a small system has fewer than three of them.
        if p.seeds.len() > 3 || p.seeds.is_empty() {
            bad.push(format!("seeds: give one to three, not {}", p.seeds.len()));
        } else if p.seeds.len() < 3 && !needs.contains(&"founders") {
            bad.push(format!("seeds: give three, not {}", p.seeds.len()));
        }
        let no_addr = p
            .seeds
            .iter()
            .filter(|s| !s.parse::<SocketAddr>().is_ok_and(|a| a.port() > 0));
        bad.extend(no_addr.map(|s| format!("seeds: {s:?} is no IP:port")));
    }
    if needs.contains(&"members") {
        if p.members.len() < 3 || p.members.len().is_multiple_of(2) {
            bad.push(format!(
                "members: give an odd count of at least three, not {}",
                p.members.len()
            ));
        }
        if !p.members.contains(&p.name) {
            bad.push(format!("members: do not name this daemon {:?}", p.name));
        }
    }
    if needs.contains(&"data") && p.data.is_none() {
        bad.push("data: name the data folder".into());
    }
    bad
}

/// Reads the params or ends the program: with the faults, or after `--check-params`.
pub fn read_or_exit(c: Command, needs: &[Need]) -> Params {
    let m = c.get_matches();
    match read(&m, needs) {
        Ok(_) if m.get_flag("check-params") => {
            println!("params are valid");
            std::process::exit(0)
        }
        Ok(p) => p,
        Err(faults) => {
            let e = coordination::events::SETTINGS_INVALID;
            faults
                .iter()
                .for_each(|f| eprintln!("{} {} {f}", e.number, e.name));
            std::process::exit(EXIT_PARAMS)
        }
    }
}

#[cfg(test)]
mod tests;
