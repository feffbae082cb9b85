//! Copies of shared context, for the services whose duty is held here.

use super::*;
use crate::context::demand::DEMAND_REPORT_MAX_AGE;

/// ms. A record of copies is not written again before: each writing is a sync and a message to every edge.
pub const CONTEXT_WRITE_INTERVAL: Ms = 3_000;

/// What is known for deciding a service's copies of shared context.
#[derive(Clone, Debug)]
pub(super) struct ContextRole {
    /// Since when the duty is held here, and when the record was last written.
    held_since: Ms,
    written_at: Ms,
    demand: FleetDemand,
}

impl Control {
    pub(super) fn on_demand(&mut self, from: &Name, m: ContextDemand, now: Ms) {
        if let Some(c) = self.context_roles.get_mut(&*m.service) {
            c.demand.merge_report(from, m.chains.0, now);
        }
    }

    /// Decides where copies of popular shared context stand, for the services whose duty is held here.
    pub(super) fn decide_contexts(&mut self, spec: &Spec, now: Ms, out: &mut Effects) {
        for s in &spec.services {
            let key: Name = format!("{CONTEXT_PREFIX}{}", s.name).into();
            let stands = self.state_table.get(&key).filter(|c| !c.value.0.is_empty());
            let on = s.context.as_ref().filter(|c| c.on);
            let held = self.registers.held_until(&key, now).is_some()
                && self
                    .registers
                    .held_until(&format!("{ROLLOUT_PREFIX}{}", s.name), now)
                    .is_some();
            let (Some(on), true) = (on, held) else {
                self.context_roles.remove(&s.name);
                // Switched off: nothing stands any more.
                if let Some(c) = stands.filter(|_| held && !self.registers.has_pending_writes(&key))
                {
                    let e = Expect::Version(c.version);
                    self.registers
                        .propose(NO_CALLER, &key, e, Blob::default(), now, out);
                    out.push(log_event(events::CONTEXT_DISABLED, &s.name, ""));
                }
                continue;
            };
            let d = self.context_roles.entry(s.name.clone()).or_insert_with(|| {
                out.push(log_event(events::CONTEXT_ROLE_ACQUIRED, &s.name, ""));
                ContextRole {
                    held_since: now,
                    written_at: 0,
                    demand: FleetDemand::default(),
                }
            });
            if now < d.written_at + CONTEXT_WRITE_INTERVAL
                || self.registers.has_pending_writes(&key)
            {
                continue;
            }
            let Some(r) = self.records.get(&s.name) else {
                continue;
            };
            let region_of = |z: &str| regions::region_of(&self.config.regions, z).to_string();
            let edge = |n: &Name| self.followers.get(n).map(|a| region_of(&a.node.zone));
            let asked = d.demand.totals(&edge, now);
            let used: BTreeSet<&String> = r.groups.iter().flat_map(|g| &g.replicas).collect();
            let may = |p: &&remote_calls::PlacedReplica| {
                used.contains(&p.id)
                    && self
                        .state_table
                        .get(&format!("{DRAINING_PREFIX}{}", p.id))
                        .is_none_or(|c| c.value.0.is_empty())
                    && !evacuated(&self.state_table, &p.zone)
            };
            let replicas: Vec<_> = r.replicas.iter().filter(may).cloned().collect();
            let lanes = spec
                .paths
                .iter()
                .filter(|p| p.split.iter().any(|x| x.service == s.name));
            let homes: BTreeMap<u64, Vec<String>> = lanes
                .map(|p| (homes_digest(&p.homes), p.homes.clone()))
                .collect();
            let i = context::PlacementInputs {
                spec: on,
                cache_tokens: s.engine.as_ref().map_or(0, |e| e.cache_tokens),
                version: &r.stable,
                replicas: &replicas,
                region: &region_of,
                homes: &homes,
                demand: &asked,
                is_incomplete: now.saturating_sub(d.held_since) < DEMAND_REPORT_MAX_AGE,
            };
            let old: Option<ContextRecord> = stands.and_then(|c| compressed::decode(&c.value.0));
            let none = || ContextRecord {
                service: s.name.clone(),
                version: r.stable.clone(),
                parts: vec![],
            };
            let next = context::next_record(old.as_ref().unwrap_or(&none()), &i);
            let Some(v) = compressed::encode(&next).filter(|_| old.as_ref() != Some(&next)) else {
                continue;
            };
            d.written_at = now;
            let (was, n) = (old.map_or(0, |o| o.parts.len()), next.parts.len());
            out.push(log_event(
                events::CONTEXT_PLACEMENT_CHANGED,
                &s.name,
                format!("{was} to {n} copies"),
            ));
            let e = Expect::Version(self.state_table.get(&key).map_or(0, |c| c.version));
            self.registers
                .propose(NO_CALLER, &key, e, Blob(v), now, out);
        }
    }
}
