//! Copies of shared context, for the services whose duty is held here.

use super::*;

/// What is known for deciding a service's copies of shared context.
#[derive(Clone, Debug)]
pub(super) struct ContextDuty {
    /// Since when the duty is held here, and when the record was last written.
    since: Ms,
    wrote: Ms,
    demands: Demands,
}

impl Control {
    pub(super) fn on_demand(&mut self, from: &Name, m: ContextDemand, now: Ms) {
        if let Some(c) = self.contexts.get_mut(&*m.service) {
            c.demands.tell(from, m.chains.0, now);
        }
    }

    /// Decides where copies of popular shared context stand, for the services whose duty is held here.
    pub(super) fn decide_contexts(&mut self, spec: &Spec, now: Ms, out: &mut Effects) {
        for s in &spec.services {
            let key: Name = format!("{CONTEXT}{}", s.name).into();
            let stands = self.board.get(&key).filter(|c| !c.value.0.is_empty());
            let on = s.context.as_ref().filter(|c| c.on);
            let held = self.regs.holds(&key, now).is_some() && self.regs.holds(&format!("{DUTY}{}", s.name), now).is_some();
            let (Some(on), true) = (on, held) else {
                self.contexts.remove(&s.name);
                // Switched off: nothing stands any more.
                if let Some(c) = stands.filter(|_| held && !self.regs.busy(&key)) {
                    let e = Expect::Version(c.version);
                    self.regs.propose(NOBODY, &key, e, Blob::default(), now, out);
                    out.push(note(events::CONTEXT_OFF, &s.name, ""));
                }
                continue;
            };
            let d = self.contexts.entry(s.name.clone()).or_insert_with(|| {
                out.push(note(events::CONTEXT_DUTY, &s.name, ""));
                ContextDuty { since: now, wrote: 0, demands: Demands::default() }
            });
            if now < d.wrote + STANDING_EVERY || self.regs.busy(&key) {
                continue;
            }
            let Some(r) = self.records.get(&s.name) else { continue };
            let region_of = |z: &str| regions::region(&self.p.regions, z).to_string();
            let edge = |n: &Name| self.agents.get(n).map(|a| region_of(&a.node.zone));
            let asked = d.demands.sums(&edge, now);
            let used: BTreeSet<&String> = r.groups.iter().flat_map(|g| &g.replicas).collect();
            let may = |p: &&remote_calls::PlacedReplica| {
                used.contains(&p.id)
                    && self.board.get(&format!("{LEAVING}{}", p.id)).is_none_or(|c| c.value.0.is_empty())
                    && !evacuated(&self.board, &p.zone)
            };
            let replicas: Vec<_> = r.replicas.iter().filter(may).cloned().collect();
            let lanes = spec.paths.iter().filter(|p| p.split.iter().any(|x| x.service == s.name));
            let homes: BTreeMap<u64, Vec<String>> = lanes.map(|p| (homes(&p.homes), p.homes.clone())).collect();
            let i = context::Inputs {
                spec: on,
                cache_tokens: s.engine.as_ref().map_or(0, |e| e.cache_tokens),
                version: &r.stable,
                replicas: &replicas,
                region: &region_of,
                homes: &homes,
                asked: &asked,
                young: now.saturating_sub(d.since) < DEMAND_OLD,
            };
            let old: Option<ContextRecord> = stands.and_then(|c| packed::of_bytes(&c.value.0));
            let none = || ContextRecord { service: s.name.clone(), version: r.stable.clone(), parts: vec![] };
            let next = context::decide(old.as_ref().unwrap_or(&none()), &i);
            let Some(v) = packed::to_bytes(&next).filter(|_| old.as_ref() != Some(&next)) else { continue };
            d.wrote = now;
            let (was, n) = (old.map_or(0, |o| o.parts.len()), next.parts.len());
            out.push(note(events::CONTEXT_MOVED, &s.name, format!("{was} to {n} copies")));
            let e = Expect::Version(self.board.get(&key).map_or(0, |c| c.version));
            self.regs.propose(NOBODY, &key, e, Blob(v), now, out);
        }
    }
}
