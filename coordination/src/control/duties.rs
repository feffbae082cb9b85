//! The rollout loops of the duties that are held here.

use super::*;
use crate::{events::Event, rollout::Order};

/// What all loops of one pass are run with.
struct Pass<'a> {
    spec: &'a Spec,
    platform: &'a PlatformList,
    /// Replicas that were warned.
    leaving: &'a BTreeSet<String>,
    now: Ms,
    /// s. The time of day.
    wall: u64,
}

/// Streams by replica and version; those of a replica over all versions stand under no version.
type OpenStreams<'a> = BTreeMap<(&'a str, &'a str), u64>;

fn sum_open<'a>(agents: impl Iterator<Item = &'a Agent>) -> OpenStreams<'a> {
    let mut all = OpenStreams::new();
    for ((replica, version), streams) in agents.flat_map(|a| &a.opens) {
        *all.entry((&**replica, &**version)).or_default() += u64::from(*streams);
        if !version.is_empty() {
            *all.entry((&**replica, "")).or_default() += u64::from(*streams);
        }
    }
    all
}

fn alert_event(alert: &str) -> Event {
    match alert {
        "stuck" => events::STUCK,
        "plan_late" => events::PLAN_LATE,
        "stable_fails" => events::STABLE_FAILS,
        "plan_at_risk" => events::PLAN_AT_RISK,
        _ => events::UNLOAD_WAITS,
    }
}

/// Notes what a pass has changed in a service's record.
fn note_changes(service: &str, old: &RolloutRecord, next: &RolloutRecord, out: &mut Effects) {
    if next.phase != old.phase {
        out.push(note(events::PHASE, service, format!("{:?} to {:?}", old.phase, next.phase)));
    }
    for alert in next.alerts.iter().filter(|a| !old.alerts.contains(a)) {
        out.push(note(alert_event(alert), service, alert.clone()));
    }
}

/// Whether an order may go: unloads go only under a flag that already stands on a majority of disks.
fn may_go(order: &Order, standing: &RolloutRecord) -> bool {
    let Order::Replica { action: OrderAction::Unload, version, .. } = order else { return true };
    standing.groups.iter().any(|g| g.allow_unload && g.version == *version)
}

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
        let pass = Pass { spec: &spec, platform: &platform, leaving: &leaving, now, wall };
        for service in &spec.services {
            self.run_loop(service, &pass, &mut out);
        }
        self.decide_contexts(&spec, now, &mut out);
        let gone = self.warned_and_gone(&pass);
        self.platform = Some(platform);
        for key in gone {
            self.regs.propose(NOBODY, &key, None, Blob::default(), now, &mut out);
        }
        self.finish(now, out)
    }

    /// Runs one service's loop, if its duty is held here.
    fn run_loop(&mut self, service: &ServiceSpec, pass: &Pass, out: &mut Effects) {
        let (now, name) = (pass.now, &service.name);
        let key = format!("{DUTY}{name}");
        if service.mode == ServiceMode::Placed {
            let plan = self.plans.get(name).map(|(n, p)| (*n, p));
            self.loops.entry(name.clone()).or_insert_with(|| Loop::new(now)).heed(plan, now, pass.wall);
        }
        let Some((epoch, until)) = self.regs.holds(&key, now) else {
            // Timings of a duty that is not held are worth nothing when it comes back.
            if let Some(l) = self.loops.get_mut(name) {
                l.rest(now);
            }
            return;
        };
        // One write of a record at a time; orders follow only records that stand.
        if self.writing.values().any(|w| w == name) {
            return;
        }
        let old = self.records.get(name).cloned().unwrap_or_else(|| Arc::new(first_record(service)));
        let stands = self.board.get(&key).map_or(0, |c| c.version);
        let (next, orders) = self.step_loop(service, &key, (&old, stands), pass, out);
        self.ran.insert(name.clone(), now);
        self.resting.remove(name);
        note_changes(name, &old, &next, out);
        let changed = next != *old || self.board.get(&key).is_none();
        if changed && let Some(value) = packed::to_bytes(&next) {
            self.token += 1;
            let token = self.token;
            self.writing.insert(token, name.clone());
            // Compared with the version it was computed from: another holder's record is never overwritten.
            self.regs.propose(token, &key.as_str().into(), Some(stands), Blob(value), now, out);
        }
        let orders = orders.into_iter().filter(|o| may_go(o, &old));
        out.extend(orders.map(|order| Effect::Order { service: name.clone(), epoch, until, order }));
    }

    /// One step of a service's loop over the record that stands and its version.
    fn step_loop(
        &mut self,
        service: &ServiceSpec,
        key: &str,
        (old, stands): (&RolloutRecord, u64),
        pass: &Pass,
        out: &mut Effects,
    ) -> (RolloutRecord, Vec<Order>) {
        let now = pass.now;
        let mut l = self.loops.remove(&service.name).unwrap_or_else(|| Loop::new(now));
        let live = || self.agents.values().filter(|a| now.saturating_sub(a.at) <= FOLLOWER_GONE);
        let summed = OnceCell::new();
        let open = |id: &str, version: &str| -> u64 {
            let all: &OpenStreams = summed.get_or_init(|| sum_open(live()));
            all.get(&(id, version)).copied().unwrap_or(0)
        };
        let has = |a: &Agent| a.seen.iter().find(|c| *c.key == *key).map_or(0, |c| c.version);
        let seen = || live().map(has).min().unwrap_or(stands);
        let inputs = Inputs {
            spec: pass.spec,
            service,
            plan: self.plans.get(&service.name).map(|(n, p)| (*n, p)),
            platform: &pass.platform.replicas,
            reports: &self.reports,
            leaving: pass.leaving,
            listed: self.listed,
            open: &open,
            stands,
            seen: &seen,
            bounds: &self.p.bounds,
            now,
            wall: pass.wall,
        };
        let stepped = l.step(old, &inputs);
        if let Some(version) = l.bad.take() {
            out.push(note(events::BAD_VERSION, &service.name, version));
        }
        self.loops.insert(service.name.clone(), l);
        stepped
    }

    /// Warnings of replicas that are gone: they are cleared by whoever owns them.
    fn warned_and_gone(&self, pass: &Pass) -> Vec<Name> {
        let listed = |id: &String| pass.platform.replicas.iter().any(|p| p.id == *id);
        let keys = pass.leaving.iter().filter(|id| !listed(id)).map(|id| Name(format!("{LEAVING}{id}")));
        keys.filter(|key| self.regs.holds(key, pass.now).is_some()).collect()
    }
}
