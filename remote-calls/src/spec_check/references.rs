//! Checks between the parts of a spec: repeated names, names of things that the spec does not have, and figures that
//! contradict each other.

use std::collections::HashSet;

use super::{
    document::{PathDocument, ServiceDocument, SpecDocument},
    invalid,
};
use crate::Fault;

pub(super) fn check(spec: &SpecDocument) -> Result<(), Fault> {
    let zones = unique("zones", spec.zones.iter().map(|zone| &zone.name))?;
    unique("tiers", spec.tiers.iter().map(|tier| &tier.name))?;
    unique(
        "services",
        spec.services.iter().map(|service| &service.name),
    )?;
    for (index, service) in spec.services.iter().enumerate() {
        check_service(&format!("services[{index}]"), service, &zones)?;
    }
    check_paths(spec)
}

/// The names, which must differ.
fn unique<'a>(
    field: &str,
    names: impl Iterator<Item = &'a String>,
) -> Result<HashSet<&'a str>, Fault> {
    let mut seen = HashSet::new();
    for (index, name) in names.enumerate() {
        if !seen.insert(name.as_str()) {
            return Err(invalid(
                format!("{field}[{index}]"),
                format!("{name} stands twice"),
            ));
        }
    }
    Ok(seen)
}

fn check_service(
    field: &str,
    service: &ServiceDocument,
    zones: &HashSet<&str>,
) -> Result<(), Fault> {
    unique(
        &format!("{field}.lanes"),
        service.lanes.iter().map(|lane| &lane.name),
    )?;
    unique(
        &format!("{field}.zones"),
        service.zones.iter().map(|zone| &zone.zone),
    )?;
    check_lanes(field, service)?;
    check_context(field, service)?;
    check_zones(field, service, zones)
}

fn check_lanes(field: &str, service: &ServiceDocument) -> Result<(), Fault> {
    for (index, lane) in service.lanes.iter().enumerate() {
        if lane.expected_ms > lane.time_limit_ms {
            return Err(invalid(
                format!("{field}.lanes[{index}].expected_ms"),
                "is over the lane's time limit",
            ));
        }
    }
    Ok(())
}

/// The bound on copies of shared context is a part of a replica's cache, whose size must then be known.
fn check_context(field: &str, service: &ServiceDocument) -> Result<(), Fault> {
    let is_on = service.context.as_ref().is_some_and(|context| context.on);
    let cache_unknown = service
        .engine
        .as_ref()
        .is_none_or(|engine| engine.cache_tokens == 0);
    if is_on && cache_unknown {
        return Err(invalid(
            format!("{field}.context.on"),
            "needs engine.cache_tokens, what a replica keeps",
        ));
    }
    Ok(())
}

fn check_zones(field: &str, service: &ServiceDocument, zones: &HashSet<&str>) -> Result<(), Fault> {
    for (index, zone) in service.zones.iter().enumerate() {
        let field = format!("{field}.zones[{index}]");
        if !zones.contains(zone.zone.as_str()) {
            return Err(invalid(
                format!("{field}.zone"),
                format!("no zone {}", zone.zone),
            ));
        }
        if zone.replicas == 0 {
            return Err(invalid(
                format!("{field}.replicas"),
                "leaves the service no replica in this home",
            ));
        }
        if zone.floor > zone.replicas {
            return Err(invalid(
                format!("{field}.floor"),
                "is over the count of replicas",
            ));
        }
    }
    Ok(())
}

/// Paths that cannot be told apart, lead nowhere, or name a service that the spec does not have.
fn check_paths(spec: &SpecDocument) -> Result<(), Fault> {
    let mut seen = HashSet::new();
    for (index, path) in spec.paths.iter().enumerate() {
        let field = format!("paths[{index}]");
        if !seen.insert((path.host.to_ascii_lowercase(), path.prefix.as_str())) {
            return Err(invalid(
                format!("{field}.prefix"),
                "stands twice for its host",
            ));
        }
        check_split(&field, path, spec)?;
    }
    Ok(())
}

fn check_split(field: &str, path: &PathDocument, spec: &SpecDocument) -> Result<(), Fault> {
    if path.split.iter().all(|share| share.weight == 0) {
        return Err(invalid(format!("{field}.split"), "its weights sum to 0"));
    }
    for (index, share) in path.split.iter().enumerate() {
        let is_known = spec
            .services
            .iter()
            .any(|service| service.name == share.service);
        if !is_known {
            return Err(invalid(
                format!("{field}.split[{index}].service"),
                format!("no service {}", share.service),
            ));
        }
    }
    Ok(())
}
