//! Reads and checks an operator's spec. `schematic` reads it and finds what is wrong within a part;
//! `references` finds what is wrong between parts. A spec passes whole or not at all.

#![allow(dead_code, reason = "fields that only schematic's checks read")]

use std::collections::HashSet;

use schematic::{Config, ConfigError, ConfigLoader, ValidateError};

use crate::{Fault, Spec};

/// Most of a service a canary may ever take: the brief's tenth.
const CANARY_PERCENT_MAX: u32 = 10;
/// Most of a replica's cache that copies of shared context may take: running requests need the rest.
const CACHE_PERCENT_MAX: u32 = 50;
/// Longest time left a lane may grant; drains wait this long at most.
const TIME_LIMIT_MS_MAX: u64 = 120_000;
/// Most replicas of a service in a zone; keeps one frame of the fleet far below the frame limit.
const REPLICAS_MAX: u32 = 500;

type Check = Result<(), ValidateError>;

fn label<P, C>(s: &str, _: &P, _: &C, _: bool) -> Check {
    let ok = !s.is_empty()
        && s.len() <= 64
        && s.bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    if ok {
        Ok(())
    } else {
        Err(ValidateError::new(
            "must be 1 to 64 letters, digits, '-', '_' or '.'",
        ))
    }
}
fn some<T, P, C>(v: &[T], _: &P, _: &C, _: bool) -> Check {
    if v.is_empty() {
        Err(ValidateError::new("must not be empty"))
    } else {
        Ok(())
    }
}
fn percent<P, C>(v: &u32, _: &P, _: &C, _: bool) -> Check {
    if *v <= 90 {
        Ok(())
    } else {
        Err(ValidateError::new("must be at most 90"))
    }
}
fn canary<P, C>(v: &u32, _: &P, _: &C, _: bool) -> Check {
    let ok = (1..=CANARY_PERCENT_MAX).contains(v);
    if ok {
        Ok(())
    } else {
        Err(ValidateError::new(format!(
            "must be 1 to {CANARY_PERCENT_MAX}"
        )))
    }
}
fn limit<P, C>(v: &u64, _: &P, _: &C, _: bool) -> Check {
    let ok = (1..=TIME_LIMIT_MS_MAX).contains(v);
    if ok {
        Ok(())
    } else {
        Err(ValidateError::new(format!(
            "must be 1 to {TIME_LIMIT_MS_MAX}"
        )))
    }
}
fn mode<P, C>(v: &str, _: &P, _: &C, _: bool) -> Check {
    let ok = ["ignore", "read_only", "reconcile", "placed"].contains(&v);
    if ok {
        Ok(())
    } else {
        Err(ValidateError::new(
            "must be ignore, read_only, reconcile or placed",
        ))
    }
}
fn kind<P, C>(v: &str, _: &P, _: &C, _: bool) -> Check {
    let ok = ["once", "repeatable", "stream", "stream_resumable"].contains(&v);
    if ok {
        Ok(())
    } else {
        Err(ValidateError::new(
            "must be once, repeatable, stream or stream_resumable",
        ))
    }
}
fn prefix<P, C>(v: &str, _: &P, _: &C, _: bool) -> Check {
    let ok = v.starts_with('/') && v.ends_with('/');
    if ok {
        Ok(())
    } else {
        Err(ValidateError::new("must begin and end with a slash"))
    }
}
fn cache_share<P, C>(v: &u32, _: &P, _: &C, _: bool) -> Check {
    let ok = (1..=CACHE_PERCENT_MAX).contains(v);
    if ok {
        Ok(())
    } else {
        Err(ValidateError::new(format!(
            "must be 1 to {CACHE_PERCENT_MAX}"
        )))
    }
}
fn count<P, C>(v: &u32, _: &P, _: &C, _: bool) -> Check {
    if *v <= REPLICAS_MAX {
        Ok(())
    } else {
        Err(ValidateError::new(format!(
            "must be at most {REPLICAS_MAX}"
        )))
    }
}

#[derive(Config)]
struct ZoneFile {
    #[setting(validate = label)]
    name: String,
}
#[derive(Config)]
struct TierFile {
    #[setting(validate = label)]
    name: String,
    rank: u32,
    #[setting(validate = percent)]
    keep_free: u32,
}
#[derive(Config)]
struct LaneFile {
    #[setting(validate = label)]
    name: String,
    #[setting(validate = limit)]
    time_limit_ms: u64,
    #[setting(validate = limit)]
    expected_ms: u64,
}
#[derive(Config)]
struct CountFile {
    #[setting(validate = label)]
    zone: String,
    #[setting(validate = count)]
    replicas: u32,
    #[setting(validate = count)]
    floor: u32,
}
#[derive(Config)]
struct EngineFile {
    slots: u32,
    cache_tokens: u64,
    channels: u32,
    health_path: String,
    cold_ms: u64,
    cold_rate: f64,
}
#[derive(Config)]
struct ContextFile {
    on: bool,
    #[setting(default = 20, validate = cache_share)]
    share_percent: u32,
}
#[derive(Config)]
struct ShareFile {
    #[setting(validate = label)]
    service: String,
    weight: u32,
}
#[derive(Config)]
struct PathFile {
    #[setting(validate = label)]
    lane: String,
    host: String,
    #[setting(validate = prefix)]
    prefix: String,
    #[setting(validate = kind)]
    kind: String,
    #[setting(validate = limit)]
    time_limit_ms: u64,
    expected_ms: u64,
    gap_ms: u64,
    rank: u32,
    rounds: u32,
    affinity: bool,
    homes: Vec<String>,
    #[setting(nested, validate = some)]
    split: Vec<ShareFile>,
}
#[derive(Config)]
struct LimitsFile {
    header_bytes: u64,
    body_bytes: u64,
    header_ms: u64,
    idle_ms: u64,
}
#[derive(Config)]
struct ServiceFile {
    #[setting(validate = label)]
    name: String,
    #[setting(validate = label)]
    version: String,
    #[setting(validate = mode)]
    mode: String,
    #[setting(nested, validate = some)]
    lanes: Vec<LaneFile>,
    #[setting(nested, validate = some)]
    zones: Vec<CountFile>,
    #[setting(nested)]
    engine: Option<EngineFile>,
    #[setting(nested)]
    context: Option<ContextFile>,
}
#[derive(Config)]
struct SpecFile {
    #[setting(nested, validate = some)]
    zones: Vec<ZoneFile>,
    #[setting(nested, validate = some)]
    tiers: Vec<TierFile>,
    #[setting(nested, validate = some)]
    services: Vec<ServiceFile>,
    #[setting(validate = canary)]
    canary_percent: u32,
    #[setting(validate = limit)]
    bake_ms: u64,
    release: u64,
    #[setting(nested)]
    paths: Vec<PathFile>,
    #[setting(nested)]
    limits: Option<LimitsFile>,
}

fn fault(field: impl Into<String>, message: impl Into<String>) -> Fault {
    Fault::new("bad_spec", "check_spec", message).field(field)
}

/// Repeated names, and names of things the spec does not have.
fn references(s: &SpecFile) -> Result<(), Fault> {
    fn unique<'a>(
        at: &str,
        names: impl Iterator<Item = &'a String>,
    ) -> Result<HashSet<&'a str>, Fault> {
        let mut seen = HashSet::new();
        for (i, n) in names.enumerate() {
            if !seen.insert(n.as_str()) {
                return Err(fault(format!("{at}[{i}]"), format!("{n} stands twice")));
            }
        }
        Ok(seen)
    }
    let zones = unique("zones", s.zones.iter().map(|z| &z.name))?;
    unique("tiers", s.tiers.iter().map(|t| &t.name))?;
    unique("services", s.services.iter().map(|t| &t.name))?;
    for (i, v) in s.services.iter().enumerate() {
        unique(
            &format!("services[{i}].lanes"),
            v.lanes.iter().map(|l| &l.name),
        )?;
        unique(
            &format!("services[{i}].zones"),
            v.zones.iter().map(|z| &z.zone),
        )?;
        for (j, l) in v.lanes.iter().enumerate() {
            if l.expected_ms > l.time_limit_ms {
                return Err(fault(
                    format!("services[{i}].lanes[{j}].expected_ms"),
                    "is over the lane's time limit",
                ));
            }
        }
        // The bound on copies is a part of what a replica keeps, which must then be told.
        if v.context.as_ref().is_some_and(|c| c.on)
            && v.engine.as_ref().is_none_or(|e| e.cache_tokens == 0)
        {
            return Err(fault(
                format!("services[{i}].context.on"),
                "needs engine.cache_tokens, what a replica keeps",
            ));
        }
        for (j, z) in v.zones.iter().enumerate() {
            if !zones.contains(z.zone.as_str()) {
                return Err(fault(
                    format!("services[{i}].zones[{j}].zone"),
                    format!("no zone {}", z.zone),
                ));
            }
            if z.replicas == 0 {
                return Err(fault(
                    format!("services[{i}].zones[{j}].replicas"),
                    "leaves the service no replica in this home",
                ));
            }
            if z.floor > z.replicas {
                return Err(fault(
                    format!("services[{i}].zones[{j}].floor"),
                    "is over the count of replicas",
                ));
            }
        }
    }
    paths(s)
}

/// Paths that cannot be told apart, lead nowhere, or name a service that the spec does not have.
fn paths(s: &SpecFile) -> Result<(), Fault> {
    let mut places = HashSet::new();
    for (i, p) in s.paths.iter().enumerate() {
        if !places.insert((p.host.to_ascii_lowercase(), p.prefix.as_str())) {
            return Err(fault(
                format!("paths[{i}].prefix"),
                "stands twice for its host",
            ));
        }
        if p.split.iter().all(|x| x.weight == 0) {
            return Err(fault(format!("paths[{i}].split"), "its weights sum to 0"));
        }
        for (j, x) in p.split.iter().enumerate() {
            if !s.services.iter().any(|v| v.name == x.service) {
                return Err(fault(
                    format!("paths[{i}].split[{j}].service"),
                    format!("no service {}", x.service),
                ));
            }
        }
    }
    Ok(())
}

/// Checks a spec; the fault names the field.
pub fn check(spec: &Spec) -> Result<(), Fault> {
    let text = serde_json::to_string(spec).map_err(|e| fault("spec", e.to_string()))?;
    let mut l = ConfigLoader::<SpecFile>::new();
    l.code(text, "spec.json")
        .map_err(|e| fault("spec", e.to_string()))?;
    match l.load() {
        Ok(r) => references(&r.config),
        Err(ConfigError::Validator { error, .. }) => {
            let Some(e) = error.errors.first() else {
                return Err(fault("spec", "is not valid"));
            };
            Err(fault(e.path.to_string(), e.message.clone()))
        }
        Err(e) => Err(fault("spec", e.to_string())),
    }
}

#[cfg(test)]
mod tests;
