//! What one pass of the loop reads.

use std::collections::{BTreeMap, BTreeSet};

use remote_calls::{PlatformReplica, ReleasePlan, ReplicaReport, ServiceSpec, Spec};

use crate::{Ms, bounds::Bounds};

/// A release plan and the version under which it was committed.
#[derive(Clone, Copy, Debug)]
pub struct VersionedPlan<'a> {
    /// Version of the plan's key; a plan that is ordered again has a newer one.
    pub version: u64,
    /// What was ordered.
    pub plan: &'a ReleasePlan,
}

/// What one pass of the loop reads.
pub struct RolloutInputs<'a> {
    /// The current spec.
    pub spec: &'a Spec,
    /// The service's part of the spec.
    pub service: &'a ServiceSpec,
    /// The service's newest release plan.
    pub plan: Option<VersionedPlan<'a>>,
    /// Replicas of all services, as the platform lists them.
    pub replica_list: &'a [PlatformReplica],
    /// Newest report of each replica, and when it was asked for.
    pub reports: &'a BTreeMap<String, (ReplicaReport, Ms)>,
    /// Replicas that the platform announced to stop.
    pub draining: &'a BTreeSet<String>,
    /// When the platform was asked for the list.
    pub list_requested_at: Ms,
    /// Streams that proxies still have open on a replica's version; without one, on all of its versions.
    pub open_streams: &'a dyn Fn(&str, &str) -> u64,
    /// Version of the current record.
    pub record_version: u64,
    /// Version of the newest record that every edge in contact has seen.
    pub oldest_seen_record: &'a dyn Fn() -> u64,
    /// The deployment's bounds.
    pub bounds: &'a Bounds,
    /// This daemon's monotonic time.
    pub now: Ms,
    /// Seconds since 1970, to compare completion times with.
    pub wall_clock_s: u64,
}
