//! A runbook: named steps, each an operator call or a condition to wait for. Read and checked whole
//! before the first step.

use daemon_parts::limits::WITHIN_MAX;
use std::collections::BTreeMap;

use serde::Deserialize;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runbook {
    pub about: String,
    /// Names that `--set` must give; they stand in the steps as `{name}`.
    #[serde(default)]
    pub takes: Vec<String>,
    pub steps: Vec<Step>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    pub name: String,
    #[serde(default)]
    pub call: Option<Call>,
    #[serde(default)]
    pub wait: Option<Wait>,
    /// s. Bound on a wait.
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
    Evacuate {
        zone: String,
    },
    Restore {
        zone: String,
    },
    Plan {
        service: String,
        target: String,
        complete_within_s: u64,
    },
    KillSwitch {
        on: bool,
    },
    /// Puts the accepted spec again: proves that a majority of disks takes writes.
    TouchSpec {},
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Wait {
    /// The daemon asked has settled, and so many members are live.
    Members {
        live: usize,
    },
    /// The daemon asked hears a majority, and so many members are live, in its member epoch, and hold what it holds.
    CaughtUp {
        members: usize,
    },
    /// Every edge lately heard honours the accepted spec.
    Honoured {
        edges: usize,
    },
    Zone {
        zone: String,
        evacuated: bool,
    },
    /// No edge has a stream open on the zone's replicas any more.
    Empty {
        zone: String,
    },
    /// An edge of this name is heard and honours the accepted spec.
    Edge {
        edge: String,
    },
    /// The service is steady on this version.
    Stable {
        service: String,
        version: String,
        /// Alerts at which waiting on is of no use.
        #[serde(default)]
        stop_on: Vec<String>,
    },
    /// So many copies of a service's popular shared context stand at most; 0: none.
    Copies {
        service: String,
        most: usize,
    },
    /// The member epoch has risen above what it was when the runbook began.
    MembersChanged {},
}

/// Reads a runbook, with the line of what is wrong.
pub fn read(text: &str, set: &BTreeMap<String, String>) -> Result<Runbook, String> {
    let raw: Runbook = serde_json::from_str(text).map_err(|e| format!("line {}: {e}", e.line()))?;
    let line = |what: &str| {
        text.lines()
            .position(|l| l.contains(what))
            .map_or(1, |i| i + 1)
    };
    for n in &raw.takes {
        if !set.contains_key(n) {
            return Err(format!("line {}: needs --set {n}=...", line("\"takes\"")));
        }
    }
    if let Some(n) = set.keys().find(|n| !raw.takes.contains(n)) {
        return Err(format!("line {}: does not take {n}", line("\"takes\"")));
    }
    let mut filled = text.to_string();
    for (n, v) in set {
        // As JSON text without its quotes, so that a value cannot break out of its string.
        let v = serde_json::to_string(v).unwrap_or_default();
        filled = filled.replace(&format!("{{{n}}}"), v.trim_matches('"'));
    }
    let b: Runbook =
        serde_json::from_str(&filled).map_err(|e| format!("line {}: {e}", e.line()))?;
    if b.steps.is_empty() {
        return Err(format!("line {}: has no step", line("\"steps\"")));
    }
    for s in &b.steps {
        let quoted = serde_json::to_string(&s.name).unwrap_or_default();
        let at = filled
            .lines()
            .position(|l| l.contains("\"name\"") && l.contains(&quoted))
            .map_or(1, |i| i + 1);
        if s.otherwise.is_some() && s.wait.is_none() {
            return Err(format!(
                "line {at}: step {:?} calls; only waits have an otherwise",
                s.name
            ));
        }
        match (&s.call, &s.wait) {
            (Some(_), None) if s.within_s == 0 => {}
            (None, Some(_)) if (1..=WITHIN_MAX).contains(&s.within_s) => {}
            (None, Some(_)) => {
                return Err(format!(
                    "line {at}: step {:?} needs within_s of 1 to {WITHIN_MAX}",
                    s.name
                ));
            }
            (Some(_), None) => {
                return Err(format!(
                    "line {at}: step {:?} calls; only waits take within_s",
                    s.name
                ));
            }
            _ => {
                return Err(format!(
                    "line {at}: step {:?} must either call or wait",
                    s.name
                ));
            }
        }
    }
    Ok(b)
}

#[cfg(test)]
mod tests;
