//! Checks requests before a replica is chosen, and creates rejections.

use std::{collections::BTreeSet, sync::Arc};

use remote_calls::{Fault, LaneSpec, Outcome, RunRequest, ServiceSpec, Spec};

use super::Proxy;
use crate::{Ms, claims, edge_agent::REJECT_ALL};

/// Lower bound of `Retry-After`, in ms.
const RETRY_AFTER_MIN: Ms = 500;
/// Upper bound of `Retry-After`, in ms. The jitter keeps rejected clients from retrying at the same time.
const RETRY_AFTER_MAX: Ms = 4_000;

/// Service, lane and tier that a request names.
#[derive(Clone, Copy, Debug)]
pub(super) struct NamedLane<'a> {
    pub service: &'a ServiceSpec,
    pub lane: &'a LaneSpec,
    pub rank: u32,
    /// Percentage of each replica's slots that the tier leaves to more urgent tiers.
    pub keep_free_percent: u32,
}

/// Creates the fault for an invalid request.
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
        return Err(bad_request(
            "request",
            "is not a request id issued by nominate",
        ));
    }
    if request.key.is_some() && !request.run_once {
        return Err(bad_request("key", "a key is only allowed with run_once"));
    }
    Ok(())
}

impl Proxy {
    /// Creates a rejection with a random `Retry-After`, so that clients do not retry at the same time.
    pub fn reject(&mut self, code: &str, step: &str, message: &str) -> Fault {
        self.count("rejected");
        let retry_after = self.rng.u64(RETRY_AFTER_MIN..RETRY_AFTER_MAX);
        Fault::new(code, step, message)
            .retry(retry_after)
            .outcome(Outcome::NotRun)
    }

    /// Returns the current spec if this edge may serve.
    ///
    /// # Errors
    /// Returns a rejection if the serving rule has expired or rejects all requests, or if no spec is known yet.
    pub(super) fn serving_spec(&mut self, now: Ms) -> Result<Arc<Spec>, Fault> {
        // The rule's expiry is checked per request, so that a process that was suspended finds it expired.
        if self.permission.rule == REJECT_ALL || now >= self.permission.valid_until {
            return Err(self.reject("no_rule", "check_rule", "this edge may not serve now"));
        }
        match self.spec.clone().filter(|_| self.permission.has_snapshot) {
            Some(spec) => Ok(spec),
            None => Err(self.reject("no_spec", "check_rule", "no spec is known yet")),
        }
    }

    /// Checks a request before its run-once claim is made. Returns the rank of its tier.
    ///
    /// # Errors
    /// Returns a fault if the request is invalid, or a rejection if it cannot be served now.
    pub fn check_request(&mut self, request: &RunRequest, now: Ms) -> Result<u32, Fault> {
        let spec = self.serving_spec(now)?;
        let named = find_named_lane(&spec, &request.service, &request.lane, &request.tier)?;
        check_claim(request)?;
        if !request.homes.iter().any(|home| **home == *self.zone) {
            let message = format!(
                "this edge is in zone {}, outside the request's home zones",
                self.zone
            );
            return Err(Fault::new("wrong_zone", "check_request", message)
                .field("homes")
                .outcome(Outcome::NotRun));
        }
        self.available_homes(named.service, &request.homes)?;
        self.check_time_left(named.lane, request.time_left_ms, "check_request")?;
        Ok(named.rank)
    }

    /// Checks that a request's remaining time is within the lane's bounds.
    pub(super) fn check_time_left(
        &mut self,
        lane: &LaneSpec,
        time_left_ms: Ms,
        step: &str,
    ) -> Result<(), Fault> {
        if time_left_ms > lane.time_limit_ms {
            let message = format!(
                "lane {} allows at most {} ms",
                lane.name, lane.time_limit_ms
            );
            return Err(bad_request("time_left_ms", message));
        }
        if time_left_ms < lane.expected_ms {
            return Err(self.reject(
                "no_time",
                step,
                "the request cannot finish in the time left",
            ));
        }
        Ok(())
    }

    /// Returns the home zones of a request that have replicas of the service and are not evacuated.
    pub(super) fn available_homes(
        &mut self,
        service: &ServiceSpec,
        homes: &[String],
    ) -> Result<BTreeSet<String>, Fault> {
        if homes.is_empty() {
            return Err(bad_request("homes", "names no home zone"));
        }
        let zones = self.spec.as_ref().map_or(&[][..], |spec| &spec.zones);
        let is_known = |home: &String| zones.iter().any(|zone| zone.name == *home);
        if let Some(unknown) = homes.iter().find(|home| !is_known(home)) {
            return Err(bad_request("homes", format!("no zone {unknown}")));
        }
        let has_replicas = |home: &String| service.zones.iter().any(|zone| zone.zone == *home);
        let served: BTreeSet<&String> = homes.iter().filter(|home| has_replicas(home)).collect();
        if served.is_empty() {
            let message = format!(
                "service {} has no replica in these home zones",
                service.name
            );
            return Err(bad_request("homes", message));
        }
        let available: BTreeSet<String> = served
            .into_iter()
            .filter(|home| !self.evacuated.contains(*home))
            .cloned()
            .collect();
        if available.is_empty() {
            return Err(self.reject("evacuated", "filter_homes", "all home zones are evacuated"));
        }
        Ok(available)
    }

    /// Returns the zones in the order in which they are tried: the proxy's own, then all home zones. Thus clients whose
    /// home zones differ still share the replica of a prefix in this zone.
    pub(super) fn zone_preferences(&self, homes: BTreeSet<String>) -> [BTreeSet<String>; 2] {
        let own_zone = homes
            .iter()
            .filter(|home| ***home == *self.zone)
            .cloned()
            .collect();
        [own_zone, homes]
    }
}
