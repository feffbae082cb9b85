//! Groups of a rollout record: the replicas that serve a version, and their share of the requests.

use remote_calls::{
    GroupRecord, GroupRole, PlacedReplica, PlatformReplica, RolloutPhase, RolloutRecord,
};

/// Creates a group whose version may not be unloaded.
pub(super) fn group(
    role: GroupRole,
    version: &str,
    share_percent: u32,
    replicas: Vec<String>,
) -> GroupRecord {
    GroupRecord {
        role,
        version: version.into(),
        share_percent,
        replicas,
        allow_unload: false,
    }
}

/// Returns the replicas of the group with this role and version.
pub fn group_replicas<'a>(
    record: &'a RolloutRecord,
    role: GroupRole,
    version: &str,
) -> &'a [String] {
    record
        .groups
        .iter()
        .find(|group| group.role == role && group.version == version)
        .map_or(&[], |group| &group.replicas)
}

/// Returns the total share of a version's groups, in percent of the service's requests.
pub(super) fn version_share(record: &RolloutRecord, version: &str) -> u32 {
    record
        .groups
        .iter()
        .filter(|group| group.version == version)
        .map(|group| group.share_percent)
        .sum()
}

/// Whether the record allows a version's unload.
pub(super) fn is_unload_allowed(record: &RolloutRecord, version: &str) -> bool {
    record
        .groups
        .iter()
        .any(|group| group.allow_unload && group.version == version)
}

/// Whether a rollout of a target is in progress.
pub(super) fn is_in_progress(phase: RolloutPhase) -> bool {
    matches!(
        phase,
        RolloutPhase::Canary | RolloutPhase::Shifting | RolloutPhase::Baking
    )
}

/// Converts a platform replica to its entry in the record, which edges read.
pub(super) fn placed_replica(replica: &PlatformReplica) -> PlacedReplica {
    PlacedReplica {
        id: replica.id.clone(),
        zone: replica.zone.clone(),
        addr: replica.addr.clone(),
        version: replica.version.clone(),
        slots: replica.slots,
        cold: replica.cold_ms > 0,
    }
}
