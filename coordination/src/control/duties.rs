//! The rollout loops of the duties that are held here.

use super::*;

impl Control {
    /// Runs the rollout loops of the duties held here.
    pub fn loops(&mut self, now: Ms, wall: u64) -> Effects {
        if now < self.next_loop || !self.settled || self.killed() {
            return vec![];
        }
        self.next_loop = now + LOOP_EVERY;
        // Whoever is next to take a duty keeps the evidence too, and judges by it at once.
        self.loops.values_mut().for_each(|l| l.health.tick(now));
        // Taken out and put back: it is large, and nothing below replaces it.
        let Some(spec) = self.spec() else { return vec![] };
        let Some(platform) = self.platform.take() else { return vec![] };
        let leaving: BTreeSet<String> = self.board.under(LEAVING).map(|(r, _)| r.to_string()).collect();
        let mut out = Vec::new();
        for s in &spec.services {
            let key = format!("{DUTY}{}", s.name);
            let plan = self.plans.get(&s.name).map(|(n, p)| (*n, p));
            if s.mode == ServiceMode::Placed {
                self.loops.entry(s.name.clone()).or_insert_with(|| Loop::new(now)).heed(plan, now, wall);
            }
            let Some((epoch, until)) = self.regs.holds(&key, now) else {
                // Timings of a duty that is not held are worth nothing when it comes back.
                if let Some(l) = self.loops.get_mut(&s.name) {
                    l.rest(now);
                }
                continue;
            };
            // One write of a record at a time; orders follow only records that stand.
            if self.writing.values().any(|w| *w == s.name) {
                continue;
            }
            let old = self.records.get(&s.name).cloned().unwrap_or_else(|| Arc::new(first_record(s)));
            let mut l = self.loops.remove(&s.name).unwrap_or_else(|| Loop::new(now));
            let live = || self.agents.values().filter(|a| now.saturating_sub(a.at) <= FOLLOWER_GONE);
            let summed = OnceCell::new();
            let open = |id: &str, v: &str| -> u64 {
                let all: &BTreeMap<(&str, &str), u64> = summed.get_or_init(|| {
                    let mut all = BTreeMap::new();
                    for ((replica, version), streams) in live().flat_map(|a| &a.opens) {
                        // By version, and over all versions of the replica.
                        *all.entry((&**replica, &**version)).or_default() += u64::from(*streams);
                        if !version.is_empty() {
                            *all.entry((&**replica, "")).or_default() += u64::from(*streams);
                        }
                    }
                    all
                });
                all.get(&(id, v)).copied().unwrap_or(0)
            };
            let stands = self.board.get(&key).map_or(0, |c| c.version);
            let has = |a: &Agent| a.seen.iter().find(|c| *c.key == *key).map_or(0, |c| c.version);
            let seen = || live().map(has).min().unwrap_or(stands);
            let (platform, reports) = (&platform.replicas, &self.reports);
            let listed = self.listed;
            let i = Inputs {
                spec: &spec,
                service: s,
                plan,
                platform,
                reports,
                leaving: &leaving,
                listed,
                open: &open,
                stands,
                seen: &seen,
                bounds: &self.p.bounds,
                now,
                wall,
            };
            let (next, orders) = l.step(&old, &i);
            self.ran.insert(s.name.clone(), now);
            self.resting.remove(&s.name);
            if let Some(v) = l.bad.take() {
                out.push(note(events::BAD_VERSION, &s.name, v));
            }
            self.loops.insert(s.name.clone(), l);
            if next.phase != old.phase {
                out.push(note(events::PHASE, &s.name, format!("{:?} to {:?}", old.phase, next.phase)));
            }
            for a in next.alerts.iter().filter(|a| !old.alerts.contains(a)) {
                let e = match a.as_str() {
                    "stuck" => events::STUCK,
                    "plan_late" => events::PLAN_LATE,
                    "stable_fails" => events::STABLE_FAILS,
                    "plan_at_risk" => events::PLAN_AT_RISK,
                    _ => events::UNLOAD_WAITS,
                };
                out.push(note(e, &s.name, a.clone()));
            }
            let changed = next != *old || self.board.get(&key).is_none();
            if changed && let Some(v) = packed::to_bytes(&next) {
                self.token += 1;
                let t = self.token;
                self.writing.insert(t, s.name.clone());
                // Compared with the version it was computed from: another holder's record is never overwritten.
                self.regs.propose(t, &key.as_str().into(), Some(stands), Blob(v), now, &mut out);
            }
            // Unloads go only under a flag that already stands on a majority of disks.
            let flagged = |v: &str| old.groups.iter().any(|g| g.allow_unload && g.version == v);
            for o in orders {
                if let crate::rollout::Order::Replica { action: remote_calls::OrderAction::Unload, version, .. } = &o
                    && !flagged(version)
                {
                    continue;
                }
                out.push(Effect::Order { service: s.name.clone(), epoch, until, order: o });
            }
        }
        self.decide_contexts(&spec, now, &mut out);
        // Warnings of replicas that are gone are cleared by whoever owns them.
        let gone: Vec<Name> = leaving
            .iter()
            .filter(|r| !platform.replicas.iter().any(|p| p.id == **r))
            .map(|r| Name(format!("{LEAVING}{r}")))
            .filter(|k| self.regs.holds(k, now).is_some())
            .collect();
        self.platform = Some(platform);
        for k in gone {
            self.regs.propose(NOBODY, &k, None, Blob::default(), now, &mut out);
        }
        self.finish(now, out)
    }
}
