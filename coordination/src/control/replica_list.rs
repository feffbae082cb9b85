//! Reports of the platform and the replicas: the replica list, and each replica's last report.

use std::{collections::BTreeMap, sync::Arc};

use remote_calls::{PlatformList, PlatformReplica, ReplicaReport, RolloutRecord, ServiceMode};

use super::Control;
use crate::{Ms, register::ROLLOUT_PREFIX};

/// Time in ms without a change after which the replica list is stable: nothing is being placed, drained or removed.
const LIST_STABLE_AFTER: Ms = 5_000;

/// Returns the calls per second that each of `voters` may make so that all daemons that may hold one of `roles`, or
/// held it last, together stay within `rate` in any second. Each may also have one call saved up.
pub fn call_rate_share(rate: f64, voters: usize, roles: usize) -> f64 {
    let share = rate / voters.min(2 * roles).max(1) as f64;
    // Below two calls per second, the saved call is half of the share.
    (share - 1.0).max(share / 2.0)
}

/// The newest replica list and the reports of its replicas.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplicaList {
    list: Option<Arc<PlatformList>>,
    /// When the current list was requested from the platform.
    requested_at: Ms,
    /// When the list last differed from the previous one.
    changed_at: Ms,
    /// Reports and their arrival times, by replica.
    reports: BTreeMap<String, (ReplicaReport, Ms)>,
}

impl ReplicaList {
    pub(super) fn list(&self) -> Option<&Arc<PlatformList>> {
        self.list.as_ref()
    }

    pub(super) fn requested_at(&self) -> Ms {
        self.requested_at
    }

    pub(super) fn reports(&self) -> &BTreeMap<String, (ReplicaReport, Ms)> {
        &self.reports
    }

    /// Replaces the list, unless a later request was answered already.
    fn replace(&mut self, list: PlatformList, requested_at: Ms) {
        if self.requested_at > requested_at {
            return;
        }
        self.requested_at = requested_at;
        self.reports
            .retain(|id, _| list.replicas.iter().any(|replica| replica.id == *id));
        if self.list.as_deref() != Some(&list) {
            self.changed_at = requested_at;
        }
        self.list = Some(Arc::new(list));
    }

    fn is_stable(&self, now: Ms) -> bool {
        self.list.is_some() && now.saturating_sub(self.changed_at) > LIST_STABLE_AFTER
    }

    fn contains(&self, id: &str) -> bool {
        let mut replicas = self.list.iter().flat_map(|list| &list.replicas);
        replicas.any(|replica| replica.id == id)
    }
}

impl Control {
    /// Stores a replica list that was requested from the platform at `requested_at`. Drops it if a later request was
    /// answered already.
    pub fn on_replica_list(&mut self, list: PlatformList, requested_at: Ms) {
        self.replica_list.replace(list, requested_at);
    }

    /// Returns whether the list has not changed for a while, so that it may be requested less often.
    pub fn is_list_stable(&self, now: Ms) -> bool {
        self.replica_list.is_stable(now)
    }

    /// Stores a replica's report.
    pub fn on_report(&mut self, report: ReplicaReport, now: Ms) {
        self.replica_list
            .reports
            .insert(report.replica.clone(), (report, now));
    }

    /// Returns the id and address of each replica to request a report from.
    pub fn replicas_to_poll(&self) -> Vec<(String, String)> {
        let Some(list) = self.replica_list.list() else {
            return vec![];
        };
        // The list contains everything about a replica that the platform placed.
        list.replicas
            .iter()
            .filter(|replica| !self.is_placed(replica))
            .map(|replica| (replica.id.clone(), replica.addr.clone()))
            .collect()
    }

    fn is_placed(&self, replica: &PlatformReplica) -> bool {
        let mut services = self
            .parsed
            .spec()
            .into_iter()
            .flat_map(|spec| &spec.services);
        services
            .any(|service| service.name == replica.service && service.mode == ServiceMode::Placed)
    }

    /// Returns whether this daemon holds any singleton role, so that it must poll the platform and the replicas.
    pub fn holds_any_role(&self, now: Ms) -> bool {
        let is_held = |key: &str| self.registers.held_until(key, now).is_some();
        let mut records = self.state_table.with_prefix(ROLLOUT_PREFIX);
        let mut services = self
            .parsed
            .spec()
            .into_iter()
            .flat_map(|spec| &spec.services);
        records.any(|(_, record)| is_held(&record.key))
            || services.any(|service| is_held(&format!("{ROLLOUT_PREFIX}{}", service.name)))
    }

    /// Returns this daemon's share of the calls per second that all daemons may make. The lease holder of each
    /// singleton role calls, a former holder may not have noticed yet that another daemon holds the role, and no more
    /// daemons hold roles than there are voters.
    pub fn call_rate_share(&self, rate: f64) -> f64 {
        let roles = self
            .parsed
            .spec()
            .map_or(1, |spec| spec.services.len().max(1));
        call_rate_share(rate, self.registers.members.voters.len(), roles)
    }

    /// Returns this daemon's share of the calls per second that all daemons may make under the leases of singleton
    /// roles: those of the services and of the usage reports.
    pub fn role_call_rate_share(&self, rate: f64) -> f64 {
        let services = self.parsed.spec().map_or(0, |spec| spec.services.len());
        call_rate_share(rate, self.registers.members.voters.len(), services + 1)
    }

    /// Returns whether the platform has this replica, according to the replica list or the rollout records.
    pub fn knows_replica(&self, id: &str) -> bool {
        let mut records = self.decoded::<RolloutRecord>(ROLLOUT_PREFIX);
        self.replica_list.contains(id)
            || records.any(|record| record.replicas.iter().any(|replica| replica.id == id))
    }
}
