//! Inputs of one pass of the rollout loop.

use std::collections::{BTreeMap, BTreeSet};

use remote_calls::{PlatformReplica, ReleasePlan, ReplicaReport, ServiceSpec, Spec};

use crate::{Ms, bounds::Bounds};

/// A release plan and the version under which it was committed.
#[derive(Clone, Copy, Debug)]
pub struct VersionedPlan<'a> {
    /// Version of the plan's key; a repeated plan has a newer one.
    pub version: u64,
    /// The release plan.
    pub plan: &'a ReleasePlan,
}

/// Inputs of one pass of the rollout loop.
pub struct RolloutInputs<'a> {
    /// The current spec.
    pub spec: &'a Spec,
    /// The service's part of the spec.
    pub service: &'a ServiceSpec,
    /// The service's newest release plan.
    pub plan: Option<VersionedPlan<'a>>,
    /// Replicas of all services, as the platform lists them.
    pub replica_list: &'a [PlatformReplica],
    /// Newest report of each replica, and when it was requested.
    pub reports: &'a BTreeMap<String, (ReplicaReport, Ms)>,
    /// Replicas that the platform has announced it will stop.
    pub draining: &'a BTreeSet<String>,
    /// When the list was requested from the platform.
    pub list_requested_at: Ms,
    /// Streams that proxies have open on a replica's version; on all of its versions if the version is empty.
    pub open_streams: &'a dyn Fn(&str, &str) -> u64,
    /// Version of the current record.
    pub record_version: u64,
    /// Version of the newest record that every edge in contact has seen.
    pub oldest_seen_record: &'a dyn Fn() -> u64,
    /// The deployment's bounds.
    pub bounds: &'a Bounds,
    /// This daemon's monotonic time.
    pub now: Ms,
    /// Wall-clock time in seconds since 1970, compared with completion times.
    pub wall_clock_s: u64,
}
