//! Places context copies for the services whose singleton role this daemon holds.

use std::collections::{BTreeMap, BTreeSet};

use remote_calls::{ContextRecord, ContextSpec, PlacedReplica, RolloutRecord, ServiceSpec, Spec};
use wire_messages::{Blob, ContextDemand, Name};

use super::{Control, DRAINING_PREFIX, NO_CALLER, evacuated};
use crate::{
    Effects, Ms, compressed,
    context::{self, DEMAND_REPORT_MAX_AGE, DemandCount, FleetDemand, PromptChain, homes_digest},
    effect::log_event,
    events, regions,
    register::{CONTEXT_PREFIX, EDGE_ROSTER_KEY, Expect, ROLLOUT_PREFIX, USAGE_KEY},
};

/// Minimum interval between writes of a service's context record, in ms: each write is synced to disk and sent to every
/// edge.
pub const CONTEXT_WRITE_INTERVAL: Ms = 3_000;

/// State for placing a service's context copies, kept while this daemon holds the singleton role.
#[derive(Clone, Debug)]
pub(super) struct ContextRole {
    held_since: Ms,
    written_at: Ms,
    demand: FleetDemand,
}

/// Demand for shared prompt chains by region.
type RegionalDemand = BTreeMap<(String, PromptChain), DemandCount>;

/// Inputs for a service's next context record.
struct ContextDecision<'a> {
    spec: &'a Spec,
    service: &'a ServiceSpec,
    context_spec: &'a ContextSpec,
    rollout: &'a RolloutRecord,
    demand: RegionalDemand,
    /// Whether the role was acquired too recently for all edges to have reported their demand.
    is_new_holder: bool,
}

impl Control {
    /// Returns the keys of the singleton roles that this daemon acquires where it is next in order: each service's
    /// rollout, its context placement if that is on, the roster of edges if there are services, and usage reporting if
    /// usage is counted.
    pub(super) fn wanted_roles(&self) -> Vec<Name> {
        let mut keys = vec![];
        let has_services = self
            .parsed
            .spec()
            .is_some_and(|spec| !spec.services.is_empty());
        if has_services {
            keys.push(EDGE_ROSTER_KEY.into());
        }
        if self.config.bounds.usage_window > 0 {
            keys.push(USAGE_KEY.into());
        }
        for service in self
            .parsed
            .spec()
            .into_iter()
            .flat_map(|spec| &spec.services)
        {
            keys.push(Name(format!("{ROLLOUT_PREFIX}{}", service.name)));
            if service.context.as_ref().is_some_and(|context| context.on) {
                keys.push(Name(format!("{CONTEXT_PREFIX}{}", service.name)));
            }
        }
        keys
    }

    /// Records an edge's demand for a service's shared chains, if this daemon places the service's context copies.
    pub(super) fn on_context_demand(&mut self, from: &Name, demand: ContextDemand, now: Ms) {
        if let Some(role) = self.context_roles.get_mut(&*demand.service) {
            role.demand.merge_report(from, demand.chains.0, now);
        }
    }

    /// Updates the placement of popular shared context for the services whose singleton role this daemon holds.
    pub(super) fn place_contexts(&mut self, spec: &Spec, now: Ms, out: &mut Effects) {
        for service in &spec.services {
            self.place_context(spec, service, now, out);
        }
    }

    fn place_context(&mut self, spec: &Spec, service: &ServiceSpec, now: Ms, out: &mut Effects) {
        let key = Name(format!("{CONTEXT_PREFIX}{}", service.name));
        let rollout_key = format!("{ROLLOUT_PREFIX}{}", service.name);
        let is_held = self.registers.held_until(&key, now).is_some()
            && self.registers.held_until(&rollout_key, now).is_some();
        let context_spec = service.context.as_ref().filter(|context| context.on);
        let (Some(context_spec), true) = (context_spec, is_held) else {
            self.context_roles.remove(&service.name);
            if is_held {
                self.disable_context(service, &key, now, out);
            }
            return;
        };
        let role = self.acquire_context_role(service, now, out);
        let is_due = now >= role.written_at + CONTEXT_WRITE_INTERVAL;
        if !is_due || self.registers.has_pending_writes(&key) {
            return;
        }
        let Some(rollout) = self.parsed.record(&service.name).cloned() else {
            return;
        };
        let Some((demand, is_new_holder)) = self.context_demand(&service.name, now) else {
            return;
        };
        let decision = ContextDecision {
            spec,
            service,
            context_spec,
            rollout: &rollout,
            demand,
            is_new_holder,
        };
        self.update_context(&decision, &key, now, out);
    }

    /// Clears the context record of a service whose context placement is off.
    fn disable_context(&mut self, service: &ServiceSpec, key: &Name, now: Ms, out: &mut Effects) {
        let committed = self
            .state_table
            .get(key)
            .filter(|change| !change.value.0.is_empty());
        if let Some(committed) = committed
            && !self.registers.has_pending_writes(key)
        {
            let expect = Expect::Version(committed.version);
            self.registers
                .propose(NO_CALLER, key, expect, Blob::default(), now, out);
            out.push(log_event(events::CONTEXT_DISABLED, &service.name, ""));
        }
    }

    fn acquire_context_role(
        &mut self,
        service: &ServiceSpec,
        now: Ms,
        out: &mut Effects,
    ) -> &ContextRole {
        let name = service.name.clone();
        self.context_roles.entry(name).or_insert_with(|| {
            out.push(log_event(events::CONTEXT_ROLE_ACQUIRED, &service.name, ""));
            ContextRole {
                held_since: now,
                written_at: 0,
                demand: FleetDemand::default(),
            }
        })
    }

    /// Returns the demand for a service's shared chains, and whether it is incomplete because the role was acquired
    /// recently.
    fn context_demand(&mut self, service: &str, now: Ms) -> Option<(RegionalDemand, bool)> {
        let role = self.context_roles.get_mut(service)?;
        let (followers, regions) = (&self.followers, &self.config.regions);
        let region_of_edge = |edge: &Name| {
            let zone = &followers.get(edge)?.node.zone;
            Some(regions::region_of(regions, zone).to_string())
        };
        let demand = role.demand.totals(&region_of_edge, now);
        Some((
            demand,
            now.saturating_sub(role.held_since) < DEMAND_REPORT_MAX_AGE,
        ))
    }

    /// Writes a service's next context record if it differs from the committed one.
    fn update_context(
        &mut self,
        decision: &ContextDecision,
        key: &Name,
        now: Ms,
        out: &mut Effects,
    ) {
        let service = &decision.service.name;
        let committed = self.state_table.get(key);
        let expect = Expect::Version(committed.map_or(0, |change| change.version));
        let old: Option<ContextRecord> = committed
            .filter(|change| !change.value.0.is_empty())
            .and_then(|change| compressed::decode(&change.value.0));
        let next = self.next_context_record(decision, old.as_ref());
        if old.as_ref() == Some(&next) {
            return;
        }
        let Some(value) = compressed::encode(&next) else {
            return;
        };
        if let Some(role) = self.context_roles.get_mut(service) {
            role.written_at = now;
        }
        let (before, after) = (old.map_or(0, |old| old.parts.len()), next.parts.len());
        let text = format!("{before} to {after} copies");
        out.push(log_event(events::CONTEXT_PLACEMENT_CHANGED, service, text));
        self.registers
            .propose(NO_CALLER, key, expect, Blob(value), now, out);
    }

    fn next_context_record(
        &self,
        decision: &ContextDecision,
        old: Option<&ContextRecord>,
    ) -> ContextRecord {
        let (service, rollout) = (decision.service, decision.rollout);
        let region_of = |zone: &str| regions::region_of(&self.config.regions, zone).to_string();
        let replicas = self.context_replicas(rollout);
        let homes_by_digest: BTreeMap<u64, Vec<String>> = decision
            .spec
            .paths
            .iter()
            .filter(|path| path.split.iter().any(|part| part.service == service.name))
            .map(|path| (homes_digest(&path.homes), path.homes.clone()))
            .collect();
        let inputs = context::PlacementInputs {
            spec: decision.context_spec,
            cache_tokens: service
                .engine
                .as_ref()
                .map_or(0, |engine| engine.cache_tokens),
            version: &rollout.stable,
            replicas: &replicas,
            region: &region_of,
            homes: &homes_by_digest,
            demand: &decision.demand,
            is_incomplete: decision.is_new_holder,
        };
        let empty = ContextRecord {
            service: service.name.clone(),
            version: rollout.stable.clone(),
            parts: vec![],
        };
        context::next_record(old.unwrap_or(&empty), &inputs)
    }

    /// Returns the replicas that may hold context copies: in use, not draining, and not in an evacuated zone.
    fn context_replicas(&self, rollout: &RolloutRecord) -> Vec<PlacedReplica> {
        let in_use: BTreeSet<&String> = rollout
            .groups
            .iter()
            .flat_map(|group| &group.replicas)
            .collect();
        let is_draining = |id: &str| {
            let key = format!("{DRAINING_PREFIX}{id}");
            let change = self.state_table.get(&key);
            change.is_some_and(|change| !change.value.0.is_empty())
        };
        let is_usable = |replica: &&PlacedReplica| {
            in_use.contains(&replica.id)
                && !is_draining(&replica.id)
                && !evacuated(&self.state_table, &replica.zone)
        };
        rollout.replicas.iter().filter(is_usable).cloned().collect()
    }
}
