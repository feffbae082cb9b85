//! The command line: every call that operators may make.

use clap::{Arg, ArgAction, Command};

/// Seconds that a plan may take where the command line does not say.
const DEFAULT_PLAN_SECONDS: &str = "3600";

/// The command line with all its subcommands.
pub fn command() -> Command {
    let reads = [
        Command::new("status")
            .about("Members, keys and their owners, leases, edges, rollouts, zones"),
        Command::new("health").about("Whether the daemon asked serves"),
        Command::new("counters").about("The counters of the daemon asked"),
    ];
    Command::new("operator-command")
        .about("Operates a landingslip fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg(control_flag())
        .arg(json_flag())
        .subcommands(reads)
        .subcommands(spec_commands())
        .subcommand(apply_command())
        .subcommands(plan_commands())
        .subcommands(zone_commands())
        .subcommands(fleet_commands())
}

fn control_flag() -> Arg {
    Arg::new("control")
        .long("control")
        .action(ArgAction::Append)
        .global(true)
        .help("IP:port of a control daemon; give several and the next is asked when one is gone")
}

fn json_flag() -> Arg {
    Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .global(true)
        .help("Print the answer as JSON")
}

fn required(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).help(help)
}

fn file() -> Arg {
    required("file", "JSON file; - reads standard input")
}

fn expected_version() -> Arg {
    Arg::new("expect")
        .long("expect")
        .value_parser(clap::value_parser!(u64))
        .help("Only if this version stands; without it the version read just before")
}

fn spec_commands() -> [Command; 3] {
    [
        Command::new("spec-get").about("The accepted spec"),
        Command::new("spec-put")
            .about("Replace the spec")
            .arg(file())
            .arg(expected_version()),
        Command::new("spec-check")
            .about("Check a spec without sending it")
            .arg(file()),
    ]
}

fn apply_command() -> Command {
    Command::new("apply")
        .about("Apply Kubernetes-style objects (kinds Fleet, ReleasePlan, Zone), one or a list")
        .arg(file())
}

fn plan_commands() -> [Command; 2] {
    let within = Arg::new("within")
        .long("within")
        .default_value(DEFAULT_PLAN_SECONDS)
        .value_parser(clap::value_parser!(u64))
        .help("Seconds from now");
    [
        Command::new("plan-get")
            .about("A service's release plan")
            .arg(required("service", "The service")),
        Command::new("plan-put")
            .about("Move a service to a version by a time")
            .arg(required("service", "The service"))
            .arg(required("target", "The version"))
            .arg(within)
            .arg(expected_version()),
    ]
}

fn zone_commands() -> [Command; 2] {
    [
        Command::new("evacuate")
            .about("Take all requests off a zone")
            .arg(required("zone", "The zone")),
        Command::new("restore")
            .about("Let a zone take requests again")
            .arg(required("zone", "The zone")),
    ]
}

fn fleet_commands() -> [Command; 2] {
    [
        Command::new("kill-switch")
            .about("Stop or allow all rollout activity")
            .arg(required("state", "on or off").value_parser(["on", "off"])),
        Command::new("warn-replica")
            .about("Say that a replica will be stopped")
            .arg(required("id", "The replica")),
    ]
}
