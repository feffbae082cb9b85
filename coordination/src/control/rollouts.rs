//! The rollout loops of the duties that are held here.

use super::*;
use crate::{
    control::followers::FOLLOWER_TIMEOUT,
    events::Event,
    rollout::{Order, RolloutStep, VersionedPlan},
};

/// ms. The rollout loop's period.
const ROLLOUT_INTERVAL: Ms = 300;
/// ms. A loop that has not run for this long raises its alert; a handover takes a tenth of it.
pub(crate) const ROLLOUT_STALLED_AFTER: Ms = 60_000;

/// What all loops of one pass are run with.
struct RolloutPass<'a> {
    spec: &'a Spec,
    platform: &'a PlatformList,
    /// Replicas that were warned.
    draining: &'a BTreeSet<String>,
    now: Ms,
    /// s. The time of day.
    wall_clock_s: u64,
}

/// Streams by replica and version; those of a replica over all versions stand under no version.
type OpenStreams<'a> = BTreeMap<(&'a str, &'a str), u64>;

fn sum_open_streams<'a>(agents: impl Iterator<Item = &'a Follower>) -> OpenStreams<'a> {
    let mut all = OpenStreams::new();
    for ((replica, version), streams) in agents.flat_map(|a| &a.open_streams) {
        *all.entry((&**replica, &**version)).or_default() += u64::from(*streams);
        if !version.is_empty() {
            *all.entry((&**replica, "")).or_default() += u64::from(*streams);
        }
    }
    all
}

fn alert_event(alert: &str) -> Event {
    match alert {
        "stuck" => events::ROLLOUT_STUCK,
        "plan_late" => events::PLAN_OVERDUE,
        "stable_fails" => events::STABLE_UNHEALTHY,
        "plan_at_risk" => events::PLAN_AT_RISK,
        _ => events::UNLOAD_BLOCKED,
    }
}

/// Notes what a pass has changed in a service's record.
fn log_changes(service: &str, old: &RolloutRecord, next: &RolloutRecord, out: &mut Effects) {
    if next.phase != old.phase {
        out.push(log_event(
            events::ROLLOUT_PHASE,
            service,
            format!("{:?} to {:?}", old.phase, next.phase),
        ));
    }
    for alert in next.alerts.iter().filter(|a| !old.alerts.contains(a)) {
        out.push(log_event(alert_event(alert), service, alert.clone()));
    }
}

/// Whether an order may go: unloads go only under a flag that already stands on a majority of disks.
fn is_permitted(order: &Order, standing: &RolloutRecord) -> bool {
    let Order::Replica {
        action: OrderAction::Unload,
        version,
        ..
    } = order
    else {
        return true;
    };
    standing
        .groups
        .iter()
        .any(|g| g.allow_unload && g.version == *version)
}

impl Control {
    /// Runs the rollout loops of the duties held here.
    pub fn run_rollouts(&mut self, now: Ms, wall: u64) -> Effects {
        if now < self.next_loop || !self.is_settled || self.kill_switch_on() {
            return vec![];
        }
        self.next_loop = now + ROLLOUT_INTERVAL;
        // Whoever is next to take a duty keeps the evidence too, and judges by it at once.
        self.loops.values_mut().for_each(|l| l.health.tick(now));
        // Taken out and put back: it is large, and nothing below replaces it.
        let Some(spec) = self.spec() else {
            return vec![];
        };
        let Some(platform) = self.replica_list.take() else {
            return vec![];
        };
        let leaving: BTreeSet<String> = self
            .state_table
            .with_prefix(DRAINING_PREFIX)
            .map(|(r, _)| r.to_string())
            .collect();
        let mut out = Vec::new();
        let pass = RolloutPass {
            spec: &spec,
            platform: &platform,
            draining: &leaving,
            now,
            wall_clock_s: wall,
        };
        for service in &spec.services {
            self.run_rollout(service, &pass, &mut out);
        }
        self.decide_contexts(&spec, now, &mut out);
        let gone = self.drained_and_removed(&pass);
        self.replica_list = Some(platform);
        for key in gone {
            self.registers
                .propose(NO_CALLER, &key, None, Blob::default(), now, &mut out);
        }
        self.finish(now, out)
    }

    /// Runs one service's loop, if its duty is held here.
    fn run_rollout(&mut self, service: &ServiceSpec, pass: &RolloutPass, out: &mut Effects) {
        let (now, name) = (pass.now, &service.name);
        let key = format!("{ROLLOUT_PREFIX}{name}");
        if service.mode == ServiceMode::Placed {
            let plan = self.plans.get(name).map(|(version, plan)| VersionedPlan {
                version: *version,
                plan,
            });
            self.loops
                .entry(name.clone())
                .or_insert_with(|| RolloutLoop::new(now))
                .observe_plan(plan, now, pass.wall_clock_s);
        }
        let Some((epoch, until)) = self.registers.held_until(&key, now) else {
            // Timings of a duty that is not held are worth nothing when it comes back.
            if let Some(l) = self.loops.get_mut(name) {
                l.on_lease_lost(now);
            }
            return;
        };
        // One write of a record at a time; orders follow only records that stand.
        if self.record_writes.values().any(|w| w == name) {
            return;
        }
        let old = self
            .records
            .get(name)
            .cloned()
            .unwrap_or_else(|| Arc::new(initial_record(service)));
        let stands = self.state_table.get(&key).map_or(0, |c| c.version);
        let (next, orders) = self.step_rollout(service, &key, (&old, stands), pass, out);
        self.loop_ran_at.insert(name.clone(), now);
        self.stalled_loops.remove(name);
        log_changes(name, &old, &next, out);
        let changed = next != *old || self.state_table.get(&key).is_none();
        if changed && let Some(value) = compressed::encode(&next) {
            self.last_token += 1;
            let token = self.last_token;
            self.record_writes.insert(token, name.clone());
            // Compared with the version it was computed from: another holder's record is never overwritten.
            self.registers.propose(
                token,
                &key.as_str().into(),
                Some(stands),
                Blob(value),
                now,
                out,
            );
        }
        let orders = orders.into_iter().filter(|o| is_permitted(o, &old));
        out.extend(orders.map(|order| Effect::Order {
            service: name.clone(),
            epoch,
            until,
            order,
        }));
    }

    /// One step of a service's loop over the record that stands and its version.
    fn step_rollout(
        &mut self,
        service: &ServiceSpec,
        key: &str,
        (old, stands): (&RolloutRecord, u64),
        pass: &RolloutPass,
        out: &mut Effects,
    ) -> (RolloutRecord, Vec<Order>) {
        let now = pass.now;
        let mut l = self
            .loops
            .remove(&service.name)
            .unwrap_or_else(|| RolloutLoop::new(now));
        let live = || {
            self.followers
                .values()
                .filter(|a| now.saturating_sub(a.polled_at) <= FOLLOWER_TIMEOUT)
        };
        let summed = OnceCell::new();
        let open = |id: &str, version: &str| -> u64 {
            let all: &OpenStreams = summed.get_or_init(|| sum_open_streams(live()));
            all.get(&(id, version)).copied().unwrap_or(0)
        };
        let has = |a: &Follower| {
            a.versions
                .iter()
                .find(|c| *c.key == *key)
                .map_or(0, |c| c.version)
        };
        let seen = || live().map(has).min().unwrap_or(stands);
        let inputs = RolloutInputs {
            spec: pass.spec,
            service,
            plan: self
                .plans
                .get(&service.name)
                .map(|(version, plan)| VersionedPlan {
                    version: *version,
                    plan,
                }),
            replica_list: &pass.platform.replicas,
            reports: &self.reports,
            draining: pass.draining,
            list_requested_at: self.list_requested_at,
            open_streams: &open,
            record_version: stands,
            oldest_seen_record: &seen,
            bounds: &self.config.bounds,
            now,
            wall_clock_s: pass.wall_clock_s,
        };
        let RolloutStep { record, orders } = l.step(old, &inputs);
        if let Some(version) = l.bad_version.take() {
            out.push(log_event(events::VERSION_UNHEALTHY, &service.name, version));
        }
        self.loops.insert(service.name.clone(), l);
        (record, orders)
    }

    /// Warnings of replicas that are gone: they are cleared by whoever owns them.
    fn drained_and_removed(&self, pass: &RolloutPass) -> Vec<Name> {
        let listed = |id: &String| pass.platform.replicas.iter().any(|p| p.id == *id);
        let keys = pass
            .draining
            .iter()
            .filter(|id| !listed(id))
            .map(|id| Name(format!("{DRAINING_PREFIX}{id}")));
        keys.filter(|key| self.registers.held_until(key, pass.now).is_some())
            .collect()
    }
}
