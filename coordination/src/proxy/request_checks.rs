//! Checks of a request before a replica is chosen for it, and rejections.

use std::{collections::BTreeSet, sync::Arc};

use remote_calls::{Fault, LaneSpec, Outcome, RunRequest, ServiceSpec, Spec};

use super::Proxy;
use crate::{Ms, claims, edge_agent::REJECT_ALL};

/// Shortest `Retry-After`.
const RETRY_AFTER_MIN: Ms = 500;
/// Upper bound of `Retry-After`; the spread keeps rejected callers from returning together.
const RETRY_AFTER_MAX: Ms = 4_000;

/// A request's service, lane and tier.
#[derive(Clone, Copy, Debug)]
pub(super) struct NamedLane<'a> {
    pub service: &'a ServiceSpec,
    pub lane: &'a LaneSpec,
    pub rank: u32,
    /// Percent of each replica's slots that the tier leaves to more urgent ones.
    pub keep_free_percent: u32,
}

/// A fault of the request itself.
fn bad_request(field: &str, message: impl Into<String>) -> Fault {
    Fault::new("bad_request", "check_request", message)
        .field(field)
        .outcome(Outcome::NotRun)
}

/// Finds the service, lane and tier that a request names.
pub(super) fn find_named_lane<'a>(
    spec: &'a Spec,
    service_name: &str,
    lane_name: &str,
    tier_name: &str,
) -> Result<NamedLane<'a>, Fault> {
    let Some(service) = spec
        .services
        .iter()
        .find(|service| service.name == service_name)
    else {
        return Err(bad_request("service", format!("no service {service_name}")));
    };
    let Some(lane) = service.lanes.iter().find(|lane| lane.name == lane_name) else {
        let message = format!("service {service_name} has no lane {lane_name}");
        return Err(bad_request("lane", message));
    };
    let Some(tier) = spec.tiers.iter().find(|tier| tier.name == tier_name) else {
        return Err(bad_request("tier", format!("no tier {tier_name}")));
    };
    Ok(NamedLane {
        service,
        lane,
        rank: tier.rank,
        keep_free_percent: tier.keep_free,
    })
}

fn check_claim(request: &RunRequest) -> Result<(), Fault> {
    if claims::holders(&request.request).is_none() {
        return Err(bad_request("request", "is no id that nominate gave"));
    }
    if request.key.is_some() && !request.run_once {
        return Err(bad_request("key", "a key is for what may run only once"));
    }
    Ok(())
}

impl Proxy {
    /// A rejection with a time to come back, spread so that callers do not return together.
    pub fn reject(&mut self, code: &str, step: &str, message: &str) -> Fault {
        self.count("rejected");
        let retry_after = self.rng.u64(RETRY_AFTER_MIN..RETRY_AFTER_MAX);
        Fault::new(code, step, message)
            .retry(retry_after)
            .outcome(Outcome::NotRun)
    }

    /// The current spec, if this edge may serve at all.
    ///
    /// # Errors
    /// A rejection where the serving rule has lapsed or allows nothing, or no spec is known yet.
    pub(super) fn serving_spec(&mut self, now: Ms) -> Result<Arc<Spec>, Fault> {
        // The rule is compared with the clock at hand: a process that was suspended finds it lapsed.
        if self.permission.rule == REJECT_ALL || now >= self.permission.valid_until {
            return Err(self.reject("no_rule", "check_rule", "this edge may not serve now"));
        }
        match self.spec.clone().filter(|_| self.permission.has_snapshot) {
            Some(spec) => Ok(spec),
            None => Err(self.reject("no_spec", "check_rule", "no spec is known yet")),
        }
    }

    /// Checks a request that has come to run, before anything is claimed for it. Gives the rank of its tier.
    ///
    /// # Errors
    /// A fault of the request, or a rejection where it cannot be served now.
    pub fn check_request(&mut self, request: &RunRequest, now: Ms) -> Result<u32, Fault> {
        let spec = self.serving_spec(now)?;
        let named = find_named_lane(&spec, &request.service, &request.lane, &request.tier)?;
        check_claim(request)?;
        if !request.homes.iter().any(|home| **home == *self.zone) {
            let message = format!(
                "this edge is in zone {}, outside the request's homes",
                self.zone
            );
            return Err(Fault::new("wrong_zone", "check_request", message)
                .field("homes")
                .outcome(Outcome::NotRun));
        }
        self.open_homes(named.service, &request.homes)?;
        self.check_time_left(named.lane, request.time_left_ms, "check_request")?;
        Ok(named.rank)
    }

    /// Checks that a request's time left is within the lane's bounds.
    pub(super) fn check_time_left(
        &mut self,
        lane: &LaneSpec,
        time_left_ms: Ms,
        step: &str,
    ) -> Result<(), Fault> {
        if time_left_ms > lane.time_limit_ms {
            let message = format!(
                "lane {} grants at most {} ms",
                lane.name, lane.time_limit_ms
            );
            return Err(bad_request("time_left_ms", message));
        }
        if time_left_ms < lane.expected_ms {
            return Err(self.reject("no_time", step, "it could not end in its time left"));
        }
        Ok(())
    }

    /// Home zones of a request that take requests now.
    pub(super) fn open_homes(
        &mut self,
        service: &ServiceSpec,
        homes: &[String],
    ) -> Result<BTreeSet<String>, Fault> {
        if homes.is_empty() {
            return Err(bad_request("homes", "names no home"));
        }
        let zones = self.spec.as_ref().map_or(&[][..], |spec| &spec.zones);
        let is_known = |home: &String| zones.iter().any(|zone| zone.name == *home);
        if let Some(unknown) = homes.iter().find(|home| !is_known(home)) {
            return Err(bad_request("homes", format!("no zone {unknown}")));
        }
        let has_replicas = |home: &String| service.zones.iter().any(|zone| zone.zone == *home);
        let served: BTreeSet<&String> = homes.iter().filter(|home| has_replicas(home)).collect();
        if served.is_empty() {
            let message = format!("service {} has no replica in these homes", service.name);
            return Err(bad_request("homes", message));
        }
        let open: BTreeSet<String> = served
            .into_iter()
            .filter(|home| !self.evacuated.contains(*home))
            .cloned()
            .collect();
        if open.is_empty() {
            return Err(self.reject("evacuated", "filter_homes", "every home is evacuated"));
        }
        Ok(open)
    }

    /// Zones in the order in which they are tried: the proxy's own, then all homes. Callers with other second homes share
    /// a prefix's replica in their first.
    pub(super) fn zone_preferences(&self, homes: BTreeSet<String>) -> [BTreeSet<String>; 2] {
        let own_zone = homes
            .iter()
            .filter(|home| ***home == *self.zone)
            .cloned()
            .collect();
        [own_zone, homes]
    }
}
