//! Leases for the singleton roles held by this daemon, which each update to the agents contains.

use remote_calls::{GroupRecord, GroupRole};
use wire_messages::{Change, Lease, List};

use super::Control;
use crate::{Ms, register::ROLLOUT_PREFIX};

impl Control {
    /// Returns leases for the roles held by this daemon. They expire no later than the role's own lease, because an
    /// agent counts their time to live from before it sent its poll.
    pub(super) fn current_leases(&self, now: Ms) -> List<Lease> {
        if !self.is_settled || self.kill_switch_on() {
            return List::default();
        }
        self.state_table
            .with_prefix(ROLLOUT_PREFIX)
            .filter_map(|(service, record)| self.lease_for(service, record, now))
            .collect()
    }

    fn lease_for(&self, service: &str, record: &Change, now: Ms) -> Option<Lease> {
        let (epoch, until) = self.registers.held_until(&record.key, now)?;
        let canary_share_percent = self.canary_share_percent(service)?;
        Some(Lease {
            service: service.into(),
            epoch,
            record_version: record.version,
            canary_share_percent,
            ttl_ms: (until - now).min(self.config.bounds.lease()) as u32,
        })
    }

    /// Returns the percentage of a service's requests that its canary may receive, capped at the spec's limit, or
    /// `None` without a record.
    fn canary_share_percent(&self, service: &str) -> Option<u32> {
        let record = self.parsed.record(service)?;
        let is_canary = |group: &&GroupRecord| {
            group.role == GroupRole::Canary && Some(&group.version) == record.target.as_ref()
        };
        let canary = record
            .groups
            .iter()
            .find(is_canary)
            .filter(|group| !group.replicas.is_empty());
        // A lease holder that does not know the replicas yet has no evidence to justify a canary share.
        let knows_replicas = self
            .rollouts
            .get(service)
            .is_some_and(|rollout| rollout.has_all_reports);
        let limit = self.parsed.spec().map_or(0, |spec| spec.canary_percent);
        let share = canary
            .filter(|_| knows_replicas)
            .map_or(0, |group| group.share_percent.min(limit));
        Some(share)
    }
}
