//! The operators' command line: every operator call, readable or as JSON.

mod command;
mod objects;
mod status;

use std::process::exit;

use clap::ArgMatches;
use daemon_parts::{
    operator::Operator,
    params::{EXIT_FAILED, EXIT_PARAMS},
};
use objects::Object;
use remote_calls::{
    Accepted, Counters, Fault, Health, PlanState, PlatformWarning, Spec, SpecState, WarnKind,
    calls, spec_check,
};
use serde::Serialize;

/// Exit code when the outcome of a write is not known.
const EXIT_UNKNOWN: i32 = 3;
/// Exit code when another write came first.
const EXIT_CONFLICT: i32 = 4;

/// One run of the program: what was asked for, and how to print the answer.
struct Invocation<'a> {
    operator: Operator,
    arguments: &'a ArgMatches,
    as_json: bool,
}

impl Invocation<'_> {
    fn text(&self, name: &str) -> String {
        self.arguments
            .get_one::<String>(name)
            .cloned()
            .unwrap_or_default()
    }

    fn expected_version(&self) -> Option<u64> {
        self.arguments.get_one::<u64>("expect").copied()
    }

    /// Prints an answer: as JSON, or as `render` has it.
    fn print<T: Serialize>(&self, answer: &T, render: impl FnOnce(&T) -> String) {
        let text = if self.as_json {
            serde_json::to_string_pretty(answer).unwrap_or_default()
        } else {
            render(answer)
        };
        println!("{}", text.trim_end());
    }

    fn print_accepted(&self, accepted: &Accepted) {
        self.print(accepted, |accepted| {
            format!("accepted as version {}", accepted.version)
        });
    }

    fn read_file(&self) -> Result<String, Fault> {
        let file = self.text("file");
        let text = if file == "-" {
            std::io::read_to_string(std::io::stdin())
        } else {
            std::fs::read_to_string(&file)
        };
        text.map_err(|error| Fault::new("bad_spec", "read_file", error.to_string()).field(file))
    }

    fn read_spec(&self) -> Result<Spec, Fault> {
        let spec: Spec = serde_json::from_str(&self.read_file()?).map_err(|error| {
            Fault::new("bad_spec", "read_file", error.to_string()).field("file")
        })?;
        spec_check::check(&spec)?;
        Ok(spec)
    }

    async fn run(&self, subcommand: &str) -> Result<(), Fault> {
        match subcommand {
            "status" => self.print(&self.operator.status().await?, status::render),
            "health" => self.print(
                &self.operator.get::<Health>(calls::HEALTH).await?,
                render_health,
            ),
            "counters" => self.print(
                &self.operator.get::<Counters>(calls::COUNTERS).await?,
                render_counters,
            ),
            "spec-check" => {
                self.read_spec()?;
                println!("the spec is valid");
            }
            "spec-get" => self.print(&self.operator.spec().await?, render_spec),
            "spec-put" => {
                let spec = self.read_spec()?;
                let accepted = self
                    .operator
                    .put_spec(spec, self.expected_version())
                    .await?;
                self.print_accepted(&accepted);
            }
            "apply" => self.apply().await?,
            "plan-get" => {
                let plan = self.operator.plan(&self.text("service")).await?;
                self.print(&plan, render_plan);
            }
            "plan-put" => self.put_plan().await?,
            "evacuate" | "restore" => {
                let evacuated = subcommand == "evacuate";
                let accepted = self
                    .operator
                    .put_zone(&self.text("zone"), evacuated)
                    .await?;
                self.print_accepted(&accepted);
            }
            "kill-switch" => {
                let on = self.text("state") == "on";
                self.print_accepted(&self.operator.kill_switch(on).await?);
            }
            _ => self.warn_replica().await?,
        }
        Ok(())
    }

    /// Applies objects from a file. All are checked before the first call is made.
    async fn apply(&self) -> Result<(), Fault> {
        for object in objects::read(&self.read_file()?)? {
            let accepted = match object {
                Object::Spec(spec) => self.operator.put_spec(*spec, None).await?,
                Object::Plan {
                    service,
                    target,
                    within_s,
                } => {
                    self.operator
                        .put_plan(&service, &target, within_s, None)
                        .await?
                }
                Object::Zone { zone, evacuated } => {
                    self.operator.put_zone(&zone, evacuated).await?
                }
            };
            self.print_accepted(&accepted);
        }
        Ok(())
    }

    async fn put_plan(&self) -> Result<(), Fault> {
        let within_s = self
            .arguments
            .get_one::<u64>("within")
            .copied()
            .unwrap_or(0);
        let accepted = self
            .operator
            .put_plan(
                &self.text("service"),
                &self.text("target"),
                within_s,
                self.expected_version(),
            )
            .await?;
        self.print_accepted(&accepted);
        Ok(())
    }

    async fn warn_replica(&self) -> Result<(), Fault> {
        let warning = PlatformWarning {
            kind: WarnKind::Replica,
            id: self.text("id"),
            leaves_in_ms: 0,
        };
        let (method, path) = calls::PLATFORM_WARN;
        let accepted: Accepted = self.operator.request(method, path, Some(&warning)).await?;
        self.print_accepted(&accepted);
        Ok(())
    }
}

fn render_health(health: &Health) -> String {
    let state = if health.ok { "ok" } else { "not ok" };
    format!("{} {state}: {}", health.process, health.detail)
}

fn render_counters(counters: &Counters) -> String {
    counters
        .counters
        .iter()
        .map(|counter| format!("{:40} {}\n", counter.name, counter.value))
        .collect()
}

fn render_spec(state: &SpecState) -> String {
    let spec = serde_json::to_string_pretty(&state.spec).unwrap_or_default();
    format!("version {}\n{spec}", state.version)
}

fn render_plan(state: &PlanState) -> String {
    match &state.plan {
        Some(plan) => format!(
            "version {}: {} to {} by {}",
            state.version, plan.service, plan.target, plan.complete_by
        ),
        None => "no plan".into(),
    }
}

async fn run(matches: &ArgMatches) -> Result<(), Fault> {
    let control = matches.get_many::<String>("control").unwrap_or_default();
    let Some((subcommand, arguments)) = matches.subcommand() else {
        return Ok(());
    };
    let invocation = Invocation {
        operator: Operator::new(control.cloned().collect()),
        arguments,
        as_json: matches.get_flag("json"),
    };
    invocation.run(subcommand).await
}

#[actix_rt::main]
async fn main() {
    let matches = command::command().get_matches();
    let Err(fault) = run(&matches).await else {
        return;
    };
    if matches.get_flag("json") {
        println!(
            "{}",
            serde_json::to_string_pretty(&fault).unwrap_or_default()
        );
    }
    eprintln!("{fault}");
    exit(exit_code(&fault))
}

fn exit_code(fault: &Fault) -> i32 {
    match fault.code.as_str() {
        "unknown" => EXIT_UNKNOWN,
        "conflict" => EXIT_CONFLICT,
        "bad_spec" | "bad_plan" | "bad_request" => EXIT_PARAMS,
        _ => EXIT_FAILED,
    }
}
