//! Selects the usable replica groups of a service and the order in which they are tried.

use remote_calls::{GroupRecord, GroupRole};
use wire_messages::ProxyLease;

use super::{Proxy, RolloutEntry};
use crate::{Ms, edge_agent::SERVE_ALL};

/// Replicas that serve one version of a service.
#[derive(Clone, Debug)]
pub(super) struct Group {
    pub role: GroupRole,
    pub version: String,
    pub replicas: Vec<String>,
}

/// Merges groups of the same version. A baseline is a separate group only for counting: a prompt that is cached there
/// must not be prefilled again elsewhere because of it.
pub(super) fn merged_by_version(groups: Vec<Group>) -> Vec<Group> {
    let mut merged: Vec<Group> = vec![];
    for group in groups {
        match merged
            .iter_mut()
            .find(|other| other.version == group.version)
        {
            Some(other) => other.replicas.extend(group.replicas),
            None => merged.push(group),
        }
    }
    merged
}

impl Proxy {
    /// Returns the groups in the order in which they are tried: by share, as far as leases allow.
    pub(super) fn groups(&mut self, service: &str, now: Ms) -> Vec<Group> {
        let Some(rollout) = self.rollouts.get(service) else {
            return vec![];
        };
        let record = &rollout.record;
        let lease = self
            .leases
            .get(service)
            .filter(|lease| lease.expires_at > now && self.permission.rule == SERVE_ALL);
        let canary_is_due = self.is_canary_due(service, rollout, lease);
        // Any version but the stable one needs a valid lease, and gets only its share.
        let is_excluded = |version: &str| {
            version != record.stable
                && (lease.is_none() || self.version_guard.is_capped(version, now))
        };
        let mut canaries = vec![];
        let mut others = vec![];
        for group in record.groups.iter().filter(|group| group.share_percent > 0) {
            match group.role {
                GroupRole::Canary if canary_is_due && !is_excluded(&group.version) => {
                    canaries.push(group);
                }
                GroupRole::Canary => {}
                _ if is_excluded(&group.version) => {}
                _ => others.push(group),
            }
        }
        draw_first_by_share(&mut others, &mut self.rng);
        if others.is_empty() {
            others = fallback_groups(&record.groups, &record.stable);
        }
        canaries
            .into_iter()
            .chain(others)
            .map(|group| Group {
                role: group.role,
                version: group.version.clone(),
                replicas: group.replicas.clone(),
            })
            .collect()
    }

    /// Returns whether the canary has a share and enough credit for the next request. Its lease must be for this record
    /// or a later one of the same holder.
    fn is_canary_due(
        &self,
        service: &str,
        rollout: &RolloutEntry,
        lease: Option<&ProxyLease>,
    ) -> bool {
        let has_share = lease.is_some_and(|lease| {
            lease.lease.epoch >= rollout.epoch
                && lease.lease.record_version >= rollout.version
                && lease.lease.canary_share_percent > 0
        });
        has_share && self.canary_credits.has_request(service)
    }
}

/// Draws a group at random, weighted by share, and moves it to the front.
fn draw_first_by_share(groups: &mut Vec<&GroupRecord>, rng: &mut fastrand::Rng) {
    let total_share: u32 = groups.iter().map(|group| group.share_percent).sum();
    let mut draw = if total_share > 0 {
        rng.u32(..total_share)
    } else {
        0
    };
    let drawn = groups.iter().position(|group| {
        let is_drawn = draw < group.share_percent;
        draw = draw.saturating_sub(group.share_percent);
        is_drawn
    });
    if let Some(index) = drawn {
        let group = groups.remove(index);
        groups.insert(0, group);
    }
}

/// Returns the groups to use while no other version is leased: all groups of the stable version, except those whose
/// replicas may be unloaded at any time, which is allowed only after the version that has the share passed its checks.
fn fallback_groups<'a>(groups: &'a [GroupRecord], stable: &str) -> Vec<&'a GroupRecord> {
    let stable_groups: Vec<&GroupRecord> = groups
        .iter()
        .filter(|group| group.version == stable && !group.allow_unload)
        .collect();
    if !stable_groups.is_empty() {
        return stable_groups;
    }
    groups
        .iter()
        .filter(|group| group.share_percent > 0 && group.role != GroupRole::Canary)
        .collect()
}
