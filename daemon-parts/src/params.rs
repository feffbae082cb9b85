//! Settings of a program: a JSON file and flags that override it. All errors are reported at once.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command};
use coordination::{
    bounds::Bounds,
    policy::{Mechanism, Policy},
};
use serde::Deserialize;

use crate::process_limits::ProcessLimits;

/// Exit code of a program with invalid settings.
pub const EXIT_PARAMS: i32 = 2;
/// Exit code of a program that failed.
pub const EXIT_FAILED: i32 = 1;

/// Settings of a daemon; each program requires some of them.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Params {
    /// Name of this process, stable across restarts.
    pub name: String,
    /// Zone of its machine.
    pub zone: String,
    /// Address on which other processes of the system reach it.
    pub listen: String,
    /// Address that it binds for them, if different from `listen`.
    pub bind: String,
    /// Address of its HTTP interface.
    pub http: String,
    /// Addresses of three other processes.
    pub seeds: Vec<String>,
    /// Control daemons only: names of all of them.
    pub members: Vec<String>,
    /// Control daemons only: the data directory.
    pub data: Option<PathBuf>,
    /// Control daemons only: the platform's address.
    pub platform: String,
    /// Proxies only: the agent's address on this machine.
    pub agent: String,
    /// Proxies only: address at which a platform checks whether this proxy accepts requests.
    pub readiness: String,
    /// Control daemons only: address at which clients look up the edges' addresses.
    pub directory: String,
    /// Control daemons only: maximum size of the database, in bytes; 0: no limit.
    pub data_limit: u64,
    /// Memory that this process may take, in bytes; 0: 256 MiB.
    pub memory_limit: u64,
    /// Descriptors that this process may have open; 0: 1,024.
    pub descriptor_limit: u64,
    /// Log level: error, warn, info or debug.
    pub log: String,
    /// Region of each zone; a zone that is not named is its own region.
    pub regions: BTreeMap<String, String>,
    /// Control daemons only: the system starts for the first time and is bootstrapped by the daemons at the seeds.
    pub founding: bool,
    /// Edges only: an edge partitioned from the control plane continues to serve stable versions from its last state.
    pub serve_on: bool,
    /// Times and shares that operators guarantee to their clients.
    pub bounds: Bounds,
    /// Proxies only: placement mechanisms that are enabled.
    pub policy: Policy,
}

impl Params {
    /// What this process may take of its machine.
    #[must_use]
    pub fn process_limits(&self) -> ProcessLimits {
        ProcessLimits::new(self.memory_limit, self.descriptor_limit)
    }
}

/// Name of a setting that a program requires.
pub type RequiredField = &'static str;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Number of seeds per process.
const SEEDS: usize = 3;
/// Minimum number of control daemons.
const MIN_MEMBERS: usize = 3;

const FLAGS: [(&str, &str); 9] = [
    ("name", "Name of this process, stable across restarts"),
    ("zone", "Zone of this machine"),
    ("listen", "IP:port on which other processes reach it"),
    ("bind", "IP:port to bind for them, if different"),
    ("http", "IP:port of the HTTP interface"),
    ("data", "Data directory"),
    ("platform", "IP:port of the platform"),
    ("agent", "IP:port of this machine's agent"),
    ("log", "Log level: error, warn, info, debug"),
];

/// Returns the command line that all daemons have in common.
pub fn command(name: &'static str, about: &'static str) -> Command {
    let flags = FLAGS.map(|(name, help)| Arg::new(name).long(name).help(help));
    Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("params")
                .long("params")
                .value_name("FILE")
                .help("Settings file, JSON; flags override it"),
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

/// Returns the proxies' flag that disables placement mechanisms.
pub fn without_flag() -> Arg {
    let known: Vec<&str> = Mechanism::ALL
        .iter()
        .map(|mechanism| mechanism.name())
        .collect();
    Arg::new("without")
        .long("without")
        .value_name("MECHANISM")
        .value_parser(clap::value_parser!(Mechanism))
        .value_delimiter(',')
        .action(ArgAction::Append)
        .help(format!(
            "Disables placement mechanisms, to measure their effect: {}",
            known.join(", ")
        ))
}

/// Returns the policy set by the `--without` flag, if given.
pub fn policy_flag(matches: &ArgMatches) -> Option<Policy> {
    let disabled = matches
        .try_get_many::<Mechanism>("without")
        .ok()
        .flatten()?;
    Some(Policy::without(disabled.copied()))
}

fn from_file(matches: &ArgMatches) -> Result<Params, String> {
    let Some(file) = matches.get_one::<String>("params") else {
        return Ok(Params::default());
    };
    let text = std::fs::read_to_string(file).map_err(|error| format!("params: {file}: {error}"))?;
    serde_json::from_str(&text).map_err(|error| format!("params: {file}: {error}"))
}

/// Reads the file and the flags and validates the settings.
///
/// # Errors
/// All errors found.
pub fn read(matches: &ArgMatches, needs: &[RequiredField]) -> Result<Params, Vec<String>> {
    let mut params = from_file(matches).map_err(|error| vec![error])?;
    apply_flags(&mut params, matches);
    if params.bind.is_empty() {
        params.bind = params.listen.clone();
    }
    if params.log.is_empty() {
        params.log = "info".into();
    }
    let errors = check(&params, needs);
    if errors.is_empty() {
        Ok(params)
    } else {
        Err(errors)
    }
}

/// Overrides the file's settings with the given flags. The limit of the data directory is in the file only, because it
/// is a property of the disk, not of one start.
fn apply_flags(params: &mut Params, matches: &ArgMatches) {
    let text = |name: &str| matches.get_one::<String>(name).cloned();
    let list = |name: &str| {
        let values = matches.get_many::<String>(name)?;
        Some(values.cloned().collect::<Vec<_>>())
    };
    let fields = [
        (&mut params.name, "name"),
        (&mut params.zone, "zone"),
        (&mut params.listen, "listen"),
        (&mut params.bind, "bind"),
        (&mut params.http, "http"),
        (&mut params.platform, "platform"),
        (&mut params.agent, "agent"),
        (&mut params.log, "log"),
    ];
    for (field, name) in fields {
        if let Some(value) = text(name) {
            *field = value;
        }
    }
    if let Some(directory) = text("data") {
        params.data = Some(PathBuf::from(directory));
    }
    if let Some(seeds) = list("seed") {
        params.seeds = seeds;
    }
    if let Some(members) = list("member") {
        params.members = members;
    }
    if let Some(policy) = policy_flag(matches) {
        params.policy = policy;
    }
}

/// Returns all errors in the settings. A program that requires `founders` instead of `seeds` and `members` is
/// bootstrapped by the daemons at the seeds and needs no member names.
pub fn check(params: &Params, needs: &[RequiredField]) -> Vec<String> {
    let mut errors = Vec::new();
    errors.extend(check_name("name", &params.name, needs));
    errors.extend(check_name("zone", &params.zone, needs));
    errors.extend(check_address("listen", &params.listen, needs));
    errors.extend(check_address("http", &params.http, needs));
    errors.extend(check_address("platform", &params.platform, needs));
    errors.extend(check_address("agent", &params.agent, needs));
    if params.bind != params.listen && params.bind.parse::<SocketAddr>().is_err() {
        errors.push(format!("bind: {:?} is not an IP:port", params.bind));
    }
    errors.extend(check_seeds(params, needs));
    errors.extend(check_members(params, needs));
    if needs.contains(&"data") && params.data.is_none() {
        errors.push("data: the data directory is missing".into());
    }
    errors
}

fn check_name(field: &str, name: &str, needs: &[RequiredField]) -> Option<String> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
    let valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed);
    if valid || !needs.contains(&field) {
        return None;
    }
    Some(format!(
        "{field}: must be 1 to 64 letters, digits, '-' or '_'"
    ))
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>()
        .is_ok_and(|address| address.port() > 0)
}

fn check_address(field: &str, address: &str, needs: &[RequiredField]) -> Option<String> {
    if !needs.contains(&field) || is_address(address) {
        return None;
    }
    Some(format!("{field}: {address:?} is not an IP:port"))
}

fn check_seeds(params: &Params, needs: &[RequiredField]) -> Vec<String> {
    let bootstraps = needs.contains(&"founders");
    if !needs.contains(&"seeds") && !bootstraps {
        return Vec::new();
    }
    let mut errors = Vec::new();
    let count = params.seeds.len();
    // The daemons at the seeds bootstrap the system, and a small system has fewer than three of them.
    if count > SEEDS || count == 0 {
        errors.push(format!("seeds: give one to three, not {count}"));
    } else if count < SEEDS && !bootstraps {
        errors.push(format!("seeds: give three, not {count}"));
    }
    let invalid = params.seeds.iter().filter(|seed| !is_address(seed));
    errors.extend(invalid.map(|seed| format!("seeds: {seed:?} is not an IP:port")));
    errors
}

fn check_members(params: &Params, needs: &[RequiredField]) -> Vec<String> {
    if !needs.contains(&"members") {
        return Vec::new();
    }
    let mut errors = Vec::new();
    let count = params.members.len();
    if count < MIN_MEMBERS || count.is_multiple_of(2) {
        errors.push(format!(
            "members: give an odd count of at least three, not {count}"
        ));
    }
    if !params.members.contains(&params.name) {
        errors.push(format!(
            "members: must include this daemon's name {:?}",
            params.name
        ));
    }
    errors
}

/// Reads the settings. Exits if they are invalid, or after `--check-params`.
pub fn read_or_exit(command: Command, needs: &[RequiredField]) -> Params {
    let matches = command.get_matches();
    match read(&matches, needs) {
        Ok(_) if matches.get_flag("check-params") => {
            println!("params are valid");
            std::process::exit(0)
        }
        Ok(params) => params,
        Err(errors) => {
            let event = coordination::events::SETTINGS_INVALID;
            for error in errors {
                eprintln!("{} {} {error}", event.number, event.name);
            }
            std::process::exit(EXIT_PARAMS)
        }
    }
}

#[cfg(test)]
mod tests;
