//! The two sides of a rollout: the target's replicas (new side) and all others (old side).

use std::collections::BTreeSet;

use remote_calls::{PlatformReplica, RolloutRecord};

use super::super::{DRAIN_MARGIN, MIN_STEP_REPLICAS, RolloutInputs, STEP_PERCENT};
use crate::Ms;

/// Percentage of a side's slots that may be in use before its share must not grow.
const MAX_SIDE_LOAD_PERCENT: u64 = 70;

/// Both sides of a rollout, and the record that the pass starts from.
pub(super) struct Sides<'a> {
    pub(super) inputs: &'a RolloutInputs<'a>,
    pub(super) previous: &'a RolloutRecord,
    /// The target version; empty without one.
    pub(super) target: String,
    /// Replicas of the target.
    pub(super) new: Vec<&'a PlatformReplica>,
    /// Replicas of all versions but the target and the target of a pending plan.
    pub(super) old: Vec<&'a PlatformReplica>,
    pub(super) warming_up: BTreeSet<&'a str>,
    /// Version of the newest record that every edge in contact has seen.
    pub(super) oldest_seen_record: u64,
}

impl<'a> Sides<'a> {
    /// Returns the number of streams that proxies have open on a replica.
    pub(super) fn open_streams(&self, id: &str) -> u64 {
        (self.inputs.open_streams)(id, "")
    }

    pub(super) fn is_warming_up(&self, id: &str) -> bool {
        self.warming_up.contains(id)
    }

    /// Returns loaded replicas of the target that are not warming up.
    pub(super) fn warm_new_replicas(&self) -> Vec<&'a PlatformReplica> {
        self.new
            .iter()
            .filter(|replica| replica.loaded && !self.is_warming_up(&replica.id))
            .copied()
            .collect()
    }

    /// Returns how long streams on withdrawn replicas may still run: the longest time limit of a lane or a path, and a
    /// margin.
    pub(super) fn drain_limit(&self) -> Ms {
        let service = self.inputs.service;
        let paths = self.inputs.spec.paths.iter();
        let path_limits = paths
            .filter(|path| path.split.iter().any(|part| part.service == service.name))
            .map(|path| path.time_limit_ms);
        let lane_limits = service.lanes.iter().map(|lane| lane.time_limit_ms);
        path_limits.chain(lane_limits).max().unwrap_or(0) + DRAIN_MARGIN
    }

    /// Returns the number of replicas that one step withdraws.
    pub(super) fn step_size(&self) -> usize {
        MIN_STEP_REPLICAS.max(self.old.len() * STEP_PERCENT / 100)
    }

    /// Whether the target needs no canary because it is the stable version.
    pub(super) fn is_proven(&self) -> bool {
        self.target == self.previous.stable
    }

    /// Returns the share in percent that the target's warmed-up replicas can serve: their slots relative to the old
    /// side's, or more if the load leaves them free slots.
    pub(super) fn share_capacity(&self, warm: &[&PlatformReplica]) -> u32 {
        let old_zones: BTreeSet<&str> = self.old.iter().map(|old| old.zone.as_str()).collect();
        // Computed per zone, as home regions may keep a zone's requests in it. Zones without new replicas are served by
        // other zones.
        let shared_zones = old_zones
            .into_iter()
            .filter(|zone| self.new.iter().any(|new| new.zone == *zone));
        shared_zones
            .map(|zone| self.share_capacity_in(warm, Some(zone)))
            .chain([self.share_capacity_in(warm, None)])
            .min()
            .unwrap_or(0)
    }

    /// Returns the share capacity of one zone, or of all zones together.
    fn share_capacity_in(&self, warm: &[&PlatformReplica], zone: Option<&str>) -> u32 {
        let is_in_zone = |replica: &&&PlatformReplica| zone.is_none_or(|zone| replica.zone == zone);
        let warm_slots = count_slots(warm.iter().filter(is_in_zone));
        if warm_slots == 0 {
            return 0;
        }
        let old = self.old.iter().filter(is_in_zone);
        let old_slots = count_slots(old.clone());
        let open_streams: u64 = old
            .chain(self.new.iter().filter(is_in_zone))
            .map(|replica| self.open_streams(&replica.id))
            .sum();
        let by_slots = warm_slots * 100 / old_slots.max(1);
        let by_load = (warm_slots * MAX_SIDE_LOAD_PERCENT)
            .checked_div(open_streams)
            .unwrap_or(100);
        by_slots.max(by_load).min(100) as u32
    }
}

/// Returns the number of requests that replicas run concurrently; at least one on each.
fn count_slots<'a>(replicas: impl Iterator<Item = &'a &'a PlatformReplica>) -> u64 {
    replicas
        .map(|replica| u64::from(replica.slots.max(1)))
        .sum()
}

/// Returns the replicas' ids.
pub(super) fn replica_ids(replicas: &[&PlatformReplica]) -> Vec<String> {
    replicas.iter().map(|replica| replica.id.clone()).collect()
}
