//! Runs the rollout loops of the services whose singleton roles this daemon holds.

use std::{
    cell::OnceCell,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use remote_calls::{OrderAction, PlatformList, RolloutRecord, ServiceMode, ServiceSpec, Spec};
use wire_messages::{Blob, Name};

use super::{Control, DRAINING_PREFIX, NO_CALLER, followers::Follower};
use crate::{
    Effect, Effects, Ms, compressed,
    effect::log_event,
    events::{self, Event},
    register::{Expect, ROLLOUT_PREFIX},
    rollout::{Order, RolloutInputs, RolloutLoop, RolloutStep, initial_record},
    version_health::VersionHealth,
};

/// Interval between passes over all rollout loops, in ms.
const ROLLOUT_INTERVAL: Ms = 300;
/// Time without a run after which a loop raises its alert, in ms. A handover takes a tenth of it.
const ROLLOUT_STALLED_AFTER: Ms = 60_000;

/// The rollout loops by service, and the writes of their records that are in progress.
#[derive(Clone, Debug, Default)]
pub(super) struct Rollouts {
    loops: BTreeMap<String, RolloutLoop>,
    next_pass_at: Ms,
    /// When this daemon last ran each service's loop, or became responsible for running it.
    ran_at: BTreeMap<String, Ms>,
    /// Services whose loops have raised the alert that they are not running.
    stalled: BTreeSet<String>,
    /// Services whose records are being written, by the write's token.
    record_writes: BTreeMap<u64, String>,
}

impl Rollouts {
    pub(super) fn get(&self, service: &str) -> Option<&RolloutLoop> {
        self.loops.get(service)
    }

    /// Returns a service's loop, and starts one at `now` if there is none.
    pub(super) fn get_or_start(&mut self, service: &str, now: Ms) -> &mut RolloutLoop {
        self.loops
            .entry(service.to_string())
            .or_insert_with(|| RolloutLoop::new(now))
    }

    /// Drops a service's health counters.
    pub(super) fn reset_health(&mut self, service: &str) {
        if let Some(rollout) = self.loops.get_mut(service) {
            rollout.health = VersionHealth::default();
        }
    }

    /// Returns how many loops have raised the alert that they are not running.
    pub(super) fn stalled_count(&self) -> usize {
        self.stalled.len()
    }

    /// Returns whether the write with this token writes a rollout record.
    pub(super) fn is_record_write(&self, token: u64) -> bool {
        self.record_writes.contains_key(&token)
    }

    pub(super) fn on_write_finished(&mut self, token: u64) {
        self.record_writes.remove(&token);
    }

    fn is_record_being_written(&self, service: &str) -> bool {
        self.record_writes
            .values()
            .any(|written| written == service)
    }

    /// Returns whether a pass over all loops is due; if so, schedules the next one an interval later.
    fn start_pass_if_due(&mut self, now: Ms) -> bool {
        if now < self.next_pass_at {
            return false;
        }
        self.next_pass_at = now + ROLLOUT_INTERVAL;
        true
    }

    fn record_run(&mut self, service: &str, now: Ms) {
        self.ran_at.insert(service.to_string(), now);
        self.stalled.remove(service);
    }

    fn clear_run(&mut self, service: &str) {
        self.ran_at.remove(service);
        self.stalled.remove(service);
    }

    /// Returns how long a loop that this daemon should run has been idle, if that exceeds the limit and the alert is
    /// raised now.
    fn newly_stalled_for(&mut self, service: &str, now: Ms) -> Option<Ms> {
        let ran_at = *self.ran_at.entry(service.to_string()).or_insert(now);
        let idle = now.saturating_sub(ran_at);
        let is_new = idle > ROLLOUT_STALLED_AFTER && self.stalled.insert(service.to_string());
        is_new.then_some(idle)
    }
}

/// Inputs shared by all loops of one pass.
struct RolloutPass<'a> {
    spec: &'a Spec,
    platform: &'a PlatformList,
    /// Replicas whose termination was announced.
    draining: &'a BTreeSet<String>,
    now: Ms,
    /// Wall-clock time, in s.
    wall_clock_s: u64,
}

/// A service's newest committed record, or its initial one, and the version of the record's key.
struct CurrentRecord {
    record: Arc<RolloutRecord>,
    /// 0 if no record is committed.
    version: u64,
}

/// Open streams by replica and version. The sum over all versions of a replica has the empty version.
type OpenStreamSums<'a> = BTreeMap<(&'a str, &'a str), u64>;

fn sum_open_streams<'a>(followers: impl Iterator<Item = &'a Follower>) -> OpenStreamSums<'a> {
    let mut sums = OpenStreamSums::new();
    for ((replica, version), streams) in followers.flat_map(|follower| &follower.open_streams) {
        *sums.entry((&**replica, &**version)).or_default() += u64::from(*streams);
        if !version.is_empty() {
            *sums.entry((&**replica, "")).or_default() += u64::from(*streams);
        }
    }
    sums
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

/// Logs the changes that a pass has made to a service's record.
fn log_changes(service: &str, old: &RolloutRecord, next: &RolloutRecord, out: &mut Effects) {
    if next.phase != old.phase {
        let text = format!("{:?} to {:?}", old.phase, next.phase);
        out.push(log_event(events::ROLLOUT_PHASE, service, text));
    }
    for alert in next
        .alerts
        .iter()
        .filter(|alert| !old.alerts.contains(alert))
    {
        out.push(log_event(alert_event(alert), service, alert.clone()));
    }
}

/// Returns whether an order may be sent: an unload needs a flag that is already synced on a majority of disks.
fn is_permitted(order: &Order, committed: &RolloutRecord) -> bool {
    let Order::Replica {
        action: OrderAction::Unload,
        version,
        ..
    } = order
    else {
        return true;
    };
    committed
        .groups
        .iter()
        .any(|group| group.allow_unload && group.version == *version)
}

impl Control {
    /// Runs the rollout loops of the singleton roles held by this daemon. `wall_clock_s`: wall-clock time, in s.
    pub fn run_rollouts(&mut self, now: Ms, wall_clock_s: u64) -> Effects {
        if !self.is_settled || self.kill_switch_on() || !self.rollouts.start_pass_if_due(now) {
            return vec![];
        }
        // The daemon that is next in order for a role also keeps health counters, so that it can judge versions as soon
        // as it acquires the role.
        for rollout in self.rollouts.loops.values_mut() {
            rollout.health.tick(now);
        }
        let (Some(spec), Some(platform)) = (self.spec(), self.replica_list.list().cloned()) else {
            return vec![];
        };
        let draining: BTreeSet<String> = self
            .state_table
            .with_prefix(DRAINING_PREFIX)
            .map(|(replica, _)| replica.to_string())
            .collect();
        let pass = RolloutPass {
            spec: &spec,
            platform: &platform,
            draining: &draining,
            now,
            wall_clock_s,
        };
        let mut out = Vec::new();
        for service in &spec.services {
            self.run_rollout(service, &pass, &mut out);
        }
        self.place_contexts(&spec, now, &mut out);
        for key in self.removed_draining_keys(&pass) {
            let expect = Expect::Version(self.local_version(&key));
            self.registers
                .propose(NO_CALLER, &key, expect, Blob::default(), now, &mut out);
        }
        self.finish(now, out)
    }

    /// Runs a service's loop if this daemon holds its singleton role.
    fn run_rollout(&mut self, service: &ServiceSpec, pass: &RolloutPass, out: &mut Effects) {
        let (now, name) = (pass.now, &service.name);
        let key = Name(format!("{ROLLOUT_PREFIX}{name}"));
        if service.mode == ServiceMode::Placed {
            let plan = self.parsed.plan(name);
            self.rollouts
                .get_or_start(name, now)
                .observe_plan(plan, now, pass.wall_clock_s);
        }
        let Some((epoch, until)) = self.registers.held_until(&key, now) else {
            // Timings from before the lease was lost are invalid when it is acquired again.
            if let Some(rollout) = self.rollouts.loops.get_mut(name) {
                rollout.on_lease_lost(now);
            }
            return;
        };
        // Only one write of a record is in progress at a time; orders follow only committed records.
        if self.rollouts.is_record_being_written(name) {
            return;
        }
        let current = self.current_record(service, &key);
        let RolloutStep {
            record: next,
            orders,
        } = self.step_rollout(service, &key, &current, pass, out);
        self.rollouts.record_run(name, now);
        log_changes(name, &current.record, &next, out);
        self.write_record(name, &key, &current, &next, now, out);
        let permitted = orders
            .into_iter()
            .filter(|order| is_permitted(order, &current.record));
        out.extend(permitted.map(|order| Effect::Order {
            service: name.clone(),
            epoch,
            until,
            order,
        }));
    }

    fn current_record(&self, service: &ServiceSpec, key: &Name) -> CurrentRecord {
        let committed = self.parsed.record(&service.name).cloned();
        CurrentRecord {
            record: committed.unwrap_or_else(|| Arc::new(initial_record(service))),
            version: self.local_version(key),
        }
    }

    /// Runs one step of a service's loop on its current record.
    fn step_rollout(
        &mut self,
        service: &ServiceSpec,
        key: &Name,
        current: &CurrentRecord,
        pass: &RolloutPass,
        out: &mut Effects,
    ) -> RolloutStep {
        let now = pass.now;
        let live = || self.followers.live(now);
        let sums = OnceCell::new();
        let open_streams = |id: &str, version: &str| -> u64 {
            let sums: &OpenStreamSums = sums.get_or_init(|| sum_open_streams(live()));
            sums.get(&(id, version)).copied().unwrap_or(0)
        };
        let oldest_seen_record = || {
            let seen = live().map(|follower| follower.seen_version(key));
            seen.min().unwrap_or(current.version)
        };
        let inputs = RolloutInputs {
            spec: pass.spec,
            service,
            plan: self.parsed.plan(&service.name),
            replica_list: &pass.platform.replicas,
            reports: self.replica_list.reports(),
            draining: pass.draining,
            list_requested_at: self.replica_list.requested_at(),
            open_streams: &open_streams,
            record_version: current.version,
            oldest_seen_record: &oldest_seen_record,
            bounds: &self.config.bounds,
            now,
            wall_clock_s: pass.wall_clock_s,
        };
        let rollout = self.rollouts.get_or_start(&service.name, now);
        let step = rollout.step(&current.record, &inputs);
        if let Some(version) = rollout.bad_version.take() {
            out.push(log_event(events::VERSION_UNHEALTHY, &service.name, version));
        }
        step
    }

    /// Writes a service's next record if it has changed. The write is conditional on the version from which the record
    /// was computed: another lease holder's record is never overwritten.
    fn write_record(
        &mut self,
        service: &str,
        key: &Name,
        current: &CurrentRecord,
        next: &RolloutRecord,
        now: Ms,
        out: &mut Effects,
    ) {
        let is_new = *next != *current.record || self.state_table.get(key).is_none();
        if is_new && let Some(value) = compressed::encode(next) {
            let token = self.writes.next_token();
            self.rollouts
                .record_writes
                .insert(token, service.to_string());
            let expect = Some(current.version);
            self.registers
                .propose(token, key, expect, Blob(value), now, out);
        }
    }

    /// Returns the keys of draining replicas that are no longer listed, as far as this daemon owns them: the caller
    /// clears them.
    fn removed_draining_keys(&self, pass: &RolloutPass) -> Vec<Name> {
        let is_listed = |id: &String| {
            pass.platform
                .replicas
                .iter()
                .any(|replica| replica.id == *id)
        };
        let removed = pass.draining.iter().filter(|id| !is_listed(id));
        removed
            .map(|id| Name(format!("{DRAINING_PREFIX}{id}")))
            .filter(|key| self.registers.held_until(key, pass.now).is_some())
            .collect()
    }

    /// Raises the alert if a loop that this daemon should run has not run for long: there is no replica list or no
    /// lease, or the kill switch was left on.
    pub(super) fn detect_stalled_loops(
        &mut self,
        now: Ms,
        live: &dyn Fn(&str) -> bool,
        out: &mut Effects,
    ) {
        let Some(spec) = self.spec() else { return };
        for service in &spec.services {
            let key = format!("{ROLLOUT_PREFIX}{}", service.name);
            let owner = self.registers.preferred_owner(&key, live);
            // If no voter can own the key, no daemon runs the loop.
            let runs_elsewhere = owner.is_some_and(|voter| voter.name != self.config.name);
            if runs_elsewhere || !self.registers.members.voting {
                self.rollouts.clear_run(&service.name);
            } else if let Some(idle) = self.rollouts.newly_stalled_for(&service.name, now) {
                let text = format!("{idle} ms");
                out.push(log_event(events::ROLLOUT_LOOP_STALLED, &service.name, text));
            }
        }
    }
}
