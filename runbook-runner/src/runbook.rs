//! A runbook: named steps, each an operator call or a condition to wait for. It is read and checked as a whole before
//! the first step.

use std::collections::BTreeMap;

use daemon_parts::limits::MAX_WITHIN_S;
use serde::Deserialize;

/// A runbook as its file has it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runbook {
    /// What it does, for people.
    pub about: String,
    /// Names that `--set` must give; they stand in the steps as `{name}`.
    #[serde(default, rename = "takes")]
    pub parameters: Vec<String>,
    /// The steps, in order.
    pub steps: Vec<Step>,
}

/// One step: either a call or a wait.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Its name, for people and the log.
    pub name: String,
    /// The call to make.
    #[serde(default)]
    pub call: Option<Call>,
    /// The condition to wait for.
    #[serde(default)]
    pub wait: Option<Condition>,
    /// Bound on a wait, in seconds.
    #[serde(default)]
    pub within_s: u64,
    /// Made when the wait fails, before the runbook stops: the way back.
    #[serde(default)]
    pub otherwise: Option<Call>,
}

/// Operator calls. Each may be made again without harm.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Call {
    /// Takes all requests off a zone.
    Evacuate { zone: String },
    /// Lets a zone take requests again.
    Restore { zone: String },
    /// Moves a service to a version.
    Plan {
        service: String,
        target: String,
        complete_within_s: u64,
    },
    /// Stops or allows all rollout activity.
    KillSwitch { on: bool },
    /// Puts the accepted spec again: proves that a majority of disks takes writes.
    TouchSpec {},
}

/// What a step waits for.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Condition {
    /// The daemon asked has settled, and so many members are live.
    Members { live: usize },
    /// The daemon asked hears a majority, and so many members are live, in its member epoch, and have committed what it
    /// has.
    CaughtUp { members: usize },
    /// Every edge lately heard from honours the accepted spec.
    Honoured { edges: usize },
    /// The zone is evacuated, or is not.
    Zone { zone: String, evacuated: bool },
    /// No edge has a stream open on the zone's replicas any more.
    Empty { zone: String },
    /// An edge of this name is heard from and honours the accepted spec.
    Edge { edge: String },
    /// The service is steady on this version.
    Stable {
        service: String,
        version: String,
        /// Alerts at which waiting on is of no use.
        #[serde(default)]
        stop_on: Vec<String>,
    },
    /// At most so many copies of a service's popular shared context are placed; 0: none.
    Copies { service: String, most: usize },
    /// The member epoch has risen above what it was when the runbook began.
    MembersChanged {},
}

/// Reads a runbook and replaces its parameters by the values given.
///
/// # Errors
/// The line of what is wrong, and why.
pub fn read(text: &str, values: &BTreeMap<String, String>) -> Result<Runbook, String> {
    check_parameters(&parse(text)?, text, values)?;
    let filled = fill(text, values);
    let runbook = parse(&filled)?;
    if runbook.steps.is_empty() {
        let line = line_of(text, "\"steps\"");
        return Err(format!("line {line}: has no step"));
    }
    for step in &runbook.steps {
        check_step(step, &filled)?;
    }
    Ok(runbook)
}

fn parse(text: &str) -> Result<Runbook, String> {
    serde_json::from_str(text).map_err(|error| format!("line {}: {error}", error.line()))
}

/// Number of the first line that contains a text, 1 if none does.
fn line_of(text: &str, wanted: &str) -> usize {
    text.lines()
        .position(|line| line.contains(wanted))
        .map_or(1, |index| index + 1)
}

fn check_parameters(
    runbook: &Runbook,
    text: &str,
    values: &BTreeMap<String, String>,
) -> Result<(), String> {
    let line = line_of(text, "\"takes\"");
    for name in &runbook.parameters {
        if !values.contains_key(name) {
            return Err(format!("line {line}: needs --set {name}=..."));
        }
    }
    match values
        .keys()
        .find(|name| !runbook.parameters.contains(name))
    {
        Some(name) => Err(format!("line {line}: does not take {name}")),
        None => Ok(()),
    }
}

fn fill(text: &str, values: &BTreeMap<String, String>) -> String {
    let mut filled = text.to_string();
    for (name, value) in values {
        // As JSON text without its quotes, so that a value cannot break out of its string.
        let value = serde_json::to_string(value).unwrap_or_default();
        filled = filled.replace(&format!("{{{name}}}"), value.trim_matches('"'));
    }
    filled
}

fn check_step(step: &Step, text: &str) -> Result<(), String> {
    let invalid = |reason: String| {
        let line = line_of_step(step, text);
        Err(format!("line {line}: step {:?} {reason}", step.name))
    };
    if step.otherwise.is_some() && step.wait.is_none() {
        return invalid("calls; only waits have an otherwise".into());
    }
    match (&step.call, &step.wait) {
        (Some(_), None) if step.within_s == 0 => Ok(()),
        (None, Some(_)) if (1..=MAX_WITHIN_S).contains(&step.within_s) => Ok(()),
        (None, Some(_)) => invalid(format!("needs within_s of 1 to {MAX_WITHIN_S}")),
        (Some(_), None) => invalid("calls; only waits take within_s".into()),
        _ => invalid("must either call or wait".into()),
    }
}

fn line_of_step(step: &Step, text: &str) -> usize {
    let quoted = serde_json::to_string(&step.name).unwrap_or_default();
    text.lines()
        .position(|line| line.contains("\"name\"") && line.contains(&quoted))
        .map_or(1, |index| index + 1)
}

#[cfg(test)]
mod tests;
