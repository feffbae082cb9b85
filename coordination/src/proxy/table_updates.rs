//! Applies state table updates from the colocated agent.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    sync::Arc,
};

use remote_calls::RolloutRecord;
use wire_messages::{ProxyLease, TableUpdate};

use super::{Proxy, RolloutEntry, ServingPermission, TenantIndex};
use crate::{
    Ms,
    control::{DRAINING_PREFIX, SPEC_KEY, ZONE_PREFIX, evacuated},
    edge_agent::SERVE_ALL,
    edge_roster::EDGE_ROSTER_KEY,
    exchange::LaneIndex,
    placement::HomeBoundDemand,
    register::ROLLOUT_PREFIX,
    state_table::{VersionStamp, version_stamp},
};

/// Stores a lease unless a newer one is present.
fn merge_lease(leases: &mut BTreeMap<String, ProxyLease>, lease: ProxyLease) {
    let service = lease.lease.service.to_string();
    let order = |lease: &ProxyLease| (lease.lease.epoch, lease.expires_at);
    if leases
        .get(&service)
        .is_none_or(|current| order(current) <= order(&lease))
    {
        leases.insert(service, lease);
    }
}

/// Position in an agent's changes up to which a proxy has all of them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TablePosition {
    /// Incarnation of the agent; 0 before its first snapshot.
    pub(super) source: u64,
    pub(super) through: u64,
}

impl TablePosition {
    /// Advances to the position of an update. Returns `false` if changes before the update are missing.
    fn advance(&mut self, update: &TableUpdate) -> bool {
        let is_same_source = update.agent_incarnation == self.source;
        if is_same_source && (update.is_snapshot != 0 || update.after_position <= self.through) {
            self.through = self.through.max(update.through_position);
            return true;
        }
        if update.is_snapshot == 0 {
            return false;
        }
        *self = TablePosition {
            source: update.agent_incarnation,
            through: update.through_position,
        };
        true
    }
}

impl ServingPermission {
    /// Takes over the permission of an update after which the table is complete.
    fn renew(&mut self, update: &TableUpdate) {
        self.rule = update.serving_rule;
        self.valid_until = update.valid_until;
        self.has_snapshot |= update.is_snapshot != 0;
    }

    /// Takes over what is stricter in an update before which changes are missing: the former permission expires unless
    /// they arrive, as an old table may not be served for longer.
    fn restrict(&mut self, update: &TableUpdate) {
        self.rule = self.rule.min(update.serving_rule);
        self.valid_until = self.valid_until.min(update.valid_until);
    }
}

impl Proxy {
    /// Applies the serving rule, nodes, leases and changes of an update.
    pub fn on_table_update(&mut self, update: TableUpdate, now: Ms) {
        if self.table_position.advance(&update) {
            self.permission.renew(&update);
        } else {
            self.permission.restrict(&update);
        }
        self.observe_control_contact(now);
        self.edges = update.nodes.0;
        self.attempt_counters
            .acknowledge(if update.proxy_incarnation == self.incarnation {
                update.counters_through
            } else {
                0
            });
        self.set_placement_edges();
        let mut has_changed = false;
        for change in &update.changes.0 {
            has_changed |= self.state_table.merge(change);
        }
        for lease in update.leases.0 {
            merge_lease(&mut self.leases, lease);
        }
        if has_changed {
            self.read_state_table(now);
        }
    }

    /// Tells the placement state whether the agent hears a majority of the control daemons.
    fn observe_control_contact(&mut self, now: Ms) {
        if self.permission.rule == SERVE_ALL {
            let until = self.permission.valid_until;
            self.placement.renew_control_contact(until, now);
        } else {
            self.placement.lose_control_contact(now);
        }
    }

    fn set_placement_edges(&mut self) {
        let serving = || self.edges.iter().filter(|edge| !edge.http_addr.is_empty());
        // Edges are named after their agents, so the proxy identifies its own by the address where it serves clients.
        let own_name = serving()
            .find(|edge| edge.http_addr == self.http_addr)
            .map_or(&self.name, |edge| &edge.name);
        self.placement.set_live_edges(serving().count(), own_name);
    }

    fn read_state_table(&mut self, now: Ms) {
        self.read_spec();
        self.read_edge_roster();
        self.draining = self
            .state_table
            .with_prefix(DRAINING_PREFIX)
            .map(|(replica, _)| replica.to_string())
            .collect();
        self.read_rollouts(now);
        self.read_context_records();
        self.read_zones(now);
    }

    fn read_zones(&mut self, now: Ms) {
        let zones = self.spec.as_ref().map_or(&[][..], |spec| &spec.zones);
        self.evacuated.clear();
        for zone in zones {
            let is_evacuated = evacuated(&self.state_table, &zone.name);
            if is_evacuated {
                self.evacuated.insert(zone.name.clone());
            }
            let key = format!("{ZONE_PREFIX}{}", zone.name);
            let Some(stamp) = self.state_table.get(&key).map(version_stamp) else {
                continue;
            };
            let former_stamp = self.zone_stamps.insert(zone.name.clone(), stamp);
            // An evacuation may have begun and ended since the former state.
            if former_stamp != Some(stamp) && !is_evacuated {
                self.placement.on_zone_restored(&zone.name, now);
            }
        }
    }

    /// Parses the spec only if it changed: specs are long, and other records change often.
    fn read_spec(&mut self) {
        let Some(change) = self
            .state_table
            .get(SPEC_KEY)
            .filter(|change| !change.value.0.is_empty())
        else {
            return;
        };
        let stamp = version_stamp(change);
        if stamp == self.spec_stamp {
            return;
        }
        let mut spec = (self.parse_spec)(&change.value.0);
        self.spec_stamp = stamp;
        // Tenants may add tens of thousands of lanes, so only the index holds them.
        let lanes = spec
            .as_mut()
            .map_or(vec![], |spec| mem::take(&mut spec.paths));
        self.placement.home_bound = HomeBoundDemand::new(&lanes);
        self.lanes = LaneIndex::new(lanes);
        // Only the index holds the tenants, and it has no access key in plain text.
        let access = spec.as_mut().and_then(|spec| spec.access.take());
        self.tenants = access.map(|access| TenantIndex::new(&access.tenants));
        for service in spec.iter().flat_map(|spec| &spec.services) {
            if let Some(engine) = &service.engine {
                self.placement.set_engine(&service.name, engine);
            }
        }
        self.spec = spec.map(Arc::new);
    }

    fn read_edge_roster(&mut self) {
        let stamp = self
            .state_table
            .get(EDGE_ROSTER_KEY)
            .map_or((0, 0), version_stamp);
        if stamp == self.roster_stamp {
            return;
        }
        self.roster_stamp = stamp;
        let roster = self.state_table.read(EDGE_ROSTER_KEY).unwrap_or_default();
        self.placement.set_edge_roster(roster);
    }

    fn read_rollouts(&mut self, now: Ms) {
        let changed: Vec<(String, VersionStamp)> = self
            .state_table
            .with_prefix(ROLLOUT_PREFIX)
            .map(|(service, change)| (service.to_string(), version_stamp(change)))
            .filter(|(service, stamp)| {
                self.rollouts
                    .get(service)
                    .is_none_or(|rollout| (rollout.epoch, rollout.version) != *stamp)
            })
            .collect();
        for (service, (epoch, version)) in changed {
            let key = format!("{ROLLOUT_PREFIX}{service}");
            let Some(record) = self.state_table.read::<RolloutRecord>(&key) else {
                continue;
            };
            let previous = self.rollouts.get(&service).into_iter();
            let previous_ids: BTreeSet<String> = previous
                .flat_map(|rollout| &rollout.record.replicas)
                .map(|replica| replica.id.clone())
                .collect();
            self.placement
                .set_replicas(&service, &record.replicas, &previous_ids, now);
            let rollout = RolloutEntry {
                epoch,
                version,
                record,
            };
            self.rollouts.insert(service, rollout);
        }
    }
}
