//! Runs a runbook: checked as a whole, step by step, stopping at the first failure with what was seen.

mod conditions;
mod runbook;
mod runner;

use std::{collections::BTreeMap, process::exit};

use clap::{Arg, ArgAction, ArgMatches, Command};
use daemon_parts::{
    logging,
    operator::Operator,
    params::{EXIT_FAILED, EXIT_PARAMS},
};
use runbook::Runbook;

fn command() -> Command {
    Command::new("runbook-runner")
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
}

fn values_of(arguments: &ArgMatches, name: &str) -> Vec<String> {
    let values = arguments.get_many::<String>(name).unwrap_or_default();
    values.cloned().collect()
}

fn read_runbook(arguments: &ArgMatches) -> Result<Runbook, String> {
    let mut values = BTreeMap::new();
    for setting in values_of(arguments, "set") {
        let Some((name, value)) = setting.split_once('=') else {
            return Err(format!("--set {setting}: must be NAME=VALUE"));
        };
        values.insert(name.to_string(), value.to_string());
    }
    let file = arguments
        .get_one::<String>("runbook")
        .cloned()
        .unwrap_or_default();
    let text = std::fs::read_to_string(&file).map_err(|error| format!("{file}: {error}"))?;
    runbook::read(&text, &values).map_err(|error| format!("{file}: {error}"))
}

#[actix_rt::main]
async fn main() {
    let arguments = command().get_matches();
    let runbook = match read_runbook(&arguments) {
        Ok(runbook) => runbook,
        Err(error) => {
            eprintln!("{error}");
            exit(EXIT_PARAMS)
        }
    };
    println!("{}", runbook.about);
    if arguments.get_flag("dry-run") {
        for (index, step) in runbook.steps.iter().enumerate() {
            println!("{}. {}: {}", index + 1, step.name, runner::describe(step));
        }
        return;
    }
    let _log = logging::start("info");
    let operator = Operator::new(values_of(&arguments, "control"));
    if runner::run(&operator, &runbook).await.is_err() {
        exit(EXIT_FAILED)
    }
}
