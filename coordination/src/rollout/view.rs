//! View of the service's replicas, combined from the platform's list and the replicas' reports.

use remote_calls::{
    GroupRole, LoadedWeights, PlatformReplica, PlatformReplicaState, ReplicaReport, RolloutRecord,
};

use super::{DRAIN_MARGIN, MIN_STEP_REPLICAS, RolloutInputs, STEP_PERCENT, groups::group};
use crate::{Ms, timing::REPORT_MAX_AGE};

/// The inputs of one pass and the replicas that it may use.
pub(super) struct RolloutView<'a> {
    pub(super) inputs: &'a RolloutInputs<'a>,
    /// Running replicas of the service that are not draining.
    pub(super) usable: Vec<&'a PlatformReplica>,
}

impl<'a> RolloutView<'a> {
    pub(super) fn new(inputs: &'a RolloutInputs<'a>) -> Self {
        let usable = inputs
            .replica_list
            .iter()
            .filter(|replica| {
                replica.service == inputs.service.name
                    && replica.state == PlatformReplicaState::Running
                    && !inputs.draining.contains(&replica.id)
            })
            .collect();
        RolloutView { inputs, usable }
    }
}

impl RolloutView<'_> {
    /// Returns a replica's report unless it is too old.
    pub(super) fn report(&self, id: &str) -> Option<&ReplicaReport> {
        let (report, requested_at) = self.inputs.reports.get(id)?;
        (self.inputs.now.saturating_sub(*requested_at) <= REPORT_MAX_AGE).then_some(report)
    }

    fn loaded_version(&self, id: &str, version: &str) -> Option<&LoadedWeights> {
        self.report(id)?
            .loaded
            .iter()
            .find(|loaded| loaded.version == version)
    }

    /// Whether a replica reports a version of this service as ready.
    pub(super) fn is_ready(&self, id: &str, version: &str) -> bool {
        let service = &self.inputs.service.name;
        self.report(id).is_some_and(|report| {
            report.loaded.iter().any(|loaded| {
                loaded.ready && loaded.version == version && loaded.service == *service
            })
        })
    }

    /// Whether a replica reports a version as loaded or loading.
    pub(super) fn has_loaded(&self, id: &str, version: &str) -> bool {
        self.loaded_version(id, version).is_some()
    }

    /// Returns the open streams of a replica's version: the larger of the replica's and the proxies' counts.
    pub(super) fn open_streams(&self, id: &str, version: &str) -> u64 {
        let reported = self
            .loaded_version(id, version)
            .map_or(0, |loaded| loaded.streams as u64);
        reported.max((self.inputs.open_streams)(id, version))
    }

    /// Returns usable replicas that have a version ready.
    pub(super) fn ready_replicas(&self, version: &str) -> Vec<String> {
        self.usable
            .iter()
            .filter(|replica| self.is_ready(&replica.id, version))
            .map(|replica| replica.id.clone())
            .collect()
    }

    /// Returns usable replicas that have a version loaded or loading.
    pub(super) fn loaded_replicas(&self, version: &str) -> Vec<String> {
        self.usable
            .iter()
            .filter(|replica| self.has_loaded(&replica.id, version))
            .map(|replica| replica.id.clone())
            .collect()
    }

    /// Returns how long streams on retiring replicas may still run: the longest time limit of a lane, and a margin.
    pub(super) fn drain_limit(&self) -> Ms {
        let lanes = self.inputs.service.lanes.iter();
        lanes.map(|lane| lane.time_limit_ms).max().unwrap_or(0) + DRAIN_MARGIN
    }

    /// Returns the number of replicas in one step.
    pub(super) fn step_size(&self) -> usize {
        MIN_STEP_REPLICAS.max(self.usable.len() * STEP_PERCENT / 100)
    }

    /// Returns the zone of a usable replica; empty for any other.
    pub(super) fn zone(&self, id: &str) -> &str {
        self.usable
            .iter()
            .find(|replica| replica.id == id)
            .map_or("", |replica| replica.zone.as_str())
    }

    /// Assigns all requests to the stable version's replicas.
    pub(super) fn assign_all_to_stable(&self, record: &mut RolloutRecord) {
        let stable = record.stable.clone();
        record.retiring.clear();
        record.groups = vec![group(
            GroupRole::Stable,
            &stable,
            100,
            self.ready_replicas(&stable),
        )];
    }
}
