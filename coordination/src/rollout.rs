//! The rollout loop of one service: read what is desired and what is reported, compute the next
//! record, order only the difference. A pure function of its inputs and a little memory of timing.

use std::collections::{BTreeMap, BTreeSet};

use remote_calls::{
    GroupRecord, GroupRole, OrderAction, PlacedReplica, PlatformReplica, PlatformReplicaState,
    ReleasePlan, ReplicaReport, RolloutPhase, RolloutRecord, ServiceMode, ServiceSpec, Spec,
};

use crate::{
    Ms,
    bounds::Bounds,
    timing::{REPORT_MAX_AGE, SLOW_START_DURATION},
    version_health::{Verdict, VersionHealth},
};

mod exposure;
mod placed;

/// ms. A new duty holder waits so long for the reports of all replicas; some may be dark.
const REPORT_COLLECTION_TIME: Ms = 2_000;
/// Replicas that retire in one step, at least; the source's value.
const MIN_STEP_REPLICAS: usize = 3;
/// Percent of a service that retires in one step when that is more; the source's value.
const STEP_PERCENT: usize = 5;
/// ms. A canary takes at least this long, so that slow failures show.
const MIN_CANARY_TIME: Ms = 3_000;
/// Requests a canary must have ended before it can pass: at 10% that is a few hundred of the service.
const MIN_CANARY_REQUESTS: u64 = 20;
/// Requests that it must have ended on each lane that has any: of six on a lane that mostly fails one or more fail.
const MIN_CANARY_REQUESTS_PER_LANE: u64 = 6;
/// ms. A canary without enough requests passes after this long, if nothing failed and no lane has traffic that
/// the canary has not met: a quiet service must not block.
const QUIET_CANARY_TIME: Ms = 60_000;
/// ms. So does one that has met too little of a rare lane. The rarer lane of the smaller deployment ends nine in
/// it; in half of it it once ended one, and a version bad there went by.
const RARE_LANE_CANARY_TIME: Ms = 120_000;
/// ms. One step of loading, warming and retiring, where none has been seen yet: half of what either deployment
/// took in its first rollouts, and more than a warm-up.
const DEFAULT_STEP_TIME: Ms = 8_000;
/// ms. Unloading and clearing its flag.
const DEFAULT_UNLOAD_TIME: Ms = 2_000;
/// s. A forecast is written anew only when it has moved by more: each writing is a sync on a majority of disks.
const FORECAST_MIN_CHANGE_S: u64 = 10;
/// ms. A loop step that has not moved for this long raises the stuck alert.
const STUCK_ALERT_AFTER: Ms = 60_000;
/// ms. A loading replica that takes longer is counted late and its start is not repeated before.
const LOAD_TIMEOUT: Ms = 15_000;
/// ms. An evacuated or leaving place's work is let end for this long after the longest time left.
const DRAIN_MARGIN: Ms = 2_000;
/// ms. The same order to the same replica is not repeated before; replicas take orders at once and work on.
const ORDER_REPEAT_INTERVAL: Ms = 1_000;

#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Replica {
        id: String,
        addr: String,
        action: OrderAction,
        version: String,
    },
    Start {
        zone: String,
        version: String,
    },
    Drain {
        id: String,
    },
}

/// What the loop reads.
pub struct RolloutInputs<'a> {
    pub spec: &'a Spec,
    pub service: &'a ServiceSpec,
    pub plan: Option<(u64, &'a ReleasePlan)>,
    pub replica_list: &'a [PlatformReplica],
    pub reports: &'a BTreeMap<String, (ReplicaReport, Ms)>,
    pub draining: &'a BTreeSet<String>,
    /// When the platform was asked for the list.
    pub list_requested_at: Ms,
    /// Streams that proxies still have open on a replica's version; without one, on all of its versions.
    pub open_streams: &'a dyn Fn(&str, &str) -> u64,
    /// Version of the record that stands, and the newest that all edges which are heard have seen.
    pub record_version: u64,
    pub oldest_seen_record: &'a dyn Fn() -> u64,
    pub bounds: &'a Bounds,
    pub now: Ms,
    /// Seconds since 1970, to hold completion times against.
    pub wall_clock_s: u64,
}

/// Memory of one loop, lost with its duty; everything that must last is in the record.
#[derive(Clone, Debug, Default)]
pub struct RolloutLoop {
    pub health: VersionHealth,
    /// Since when the duty is held here.
    lease_since: Ms,
    /// Every replica was heard or given up: what the loop decides is founded.
    pub has_all_reports: bool,
    phase_at: Ms,
    progressed_at: Ms,
    shape: Option<(RolloutPhase, usize, usize)>,
    ordered_at: BTreeMap<String, Ms>,
    /// When a replica's new version was first seen ready, and when its retirement began.
    ready_at: BTreeMap<String, Ms>,
    retire_at: BTreeMap<String, Ms>,
    canary_at: Option<Ms>,
    pub bad_version: Option<String>,
    placed: placed::Memory,
}

/// A step's next record and what to order.
pub type RolloutStep = (RolloutRecord, Vec<Order>);

/// The record of a service that has none yet.
pub fn initial_record(s: &ServiceSpec) -> RolloutRecord {
    RolloutRecord {
        service: s.name.clone(),
        phase: RolloutPhase::Steady,
        stable: s.version.clone(),
        target: None,
        plan_version: 0,
        failed_plan: 0,
        since_ms: 0,
        forecast: 0,
        groups: vec![],
        replicas: vec![],
        retiring: vec![],
        alerts: vec![],
    }
}

struct RolloutView<'a> {
    inputs: &'a RolloutInputs<'a>,
    /// Replicas that may be used: running, not leaving.
    usable: Vec<&'a PlatformReplica>,
}

impl RolloutView<'_> {
    fn report(&self, id: &str) -> Option<&ReplicaReport> {
        let (r, at) = self.inputs.reports.get(id)?;
        (self.inputs.now.saturating_sub(*at) <= REPORT_MAX_AGE).then_some(r)
    }
    fn has(&self, id: &str, version: &str) -> bool {
        let name = &self.inputs.service.name;
        self.report(id).is_some_and(|r| {
            r.loaded
                .iter()
                .any(|l| l.ready && l.version == version && l.service == *name)
        })
    }
    fn holds(&self, id: &str, version: &str) -> bool {
        self.report(id)
            .is_some_and(|r| r.loaded.iter().any(|l| l.version == version))
    }
    fn streams(&self, id: &str, version: &str) -> u64 {
        let own = self
            .report(id)
            .and_then(|r| r.loaded.iter().find(|l| l.version == version))
            .map_or(0, |l| l.streams as u64);
        own.max((self.inputs.open_streams)(id, version))
    }
    fn with(&self, version: &str) -> Vec<String> {
        self.usable
            .iter()
            .filter(|r| self.has(&r.id, version))
            .map(|r| r.id.clone())
            .collect()
    }
    /// How long streams on what retires may still run: the longest lane's time and a little more.
    fn drain_limit(&self) -> Ms {
        self.inputs
            .service
            .lanes
            .iter()
            .map(|l| l.time_limit_ms)
            .max()
            .unwrap_or(0)
            + DRAIN_MARGIN
    }
    /// Replicas that one step takes.
    fn step(&self) -> usize {
        MIN_STEP_REPLICAS.max(self.usable.len() * STEP_PERCENT / 100)
    }
    fn zone(&self, id: &str) -> &str {
        self.usable
            .iter()
            .find(|r| r.id == id)
            .map_or("", |r| r.zone.as_str())
    }
}

fn group(role: GroupRole, version: &str, share: u32, replicas: Vec<String>) -> GroupRecord {
    GroupRecord {
        role,
        version: version.into(),
        share_percent: share,
        replicas,
        allow_unload: false,
    }
}

/// Replicas of the group with this role and version.
pub fn group_replicas<'a>(r: &'a RolloutRecord, role: GroupRole, version: &str) -> &'a [String] {
    r.groups
        .iter()
        .find(|g| g.role == role && g.version == version)
        .map_or(&[], |g| &g.replicas)
}

/// A replica as edges are told of it.
fn told(p: &PlatformReplica) -> PlacedReplica {
    PlacedReplica {
        id: p.id.clone(),
        zone: p.zone.clone(),
        addr: p.addr.clone(),
        version: p.version.clone(),
        slots: p.slots,
        cold: p.cold_ms > 0,
    }
}

impl RolloutLoop {
    pub fn new(now: Ms) -> Self {
        let mut l = RolloutLoop {
            lease_since: now,
            phase_at: now,
            progressed_at: now,
            ..RolloutLoop::default()
        };
        l.health.restart(now);
        l
    }

    /// The duty is not held here: all timing is forgotten, the evidence is kept.
    pub fn on_lease_lost(&mut self, now: Ms) {
        let placed = self.placed.without_duty();
        let health = std::mem::take(&mut self.health);
        *self = RolloutLoop {
            health,
            placed,
            lease_since: now,
            phase_at: now,
            progressed_at: now,
            ..RolloutLoop::default()
        };
    }

    fn enter(&mut self, r: &mut RolloutRecord, p: RolloutPhase, now: Ms) {
        r.phase = p;
        (self.phase_at, self.canary_at) = (now, None);
        self.ready_at.clear();
        self.retire_at.clear();
        // What the canary showed still counts while the version shifts and bakes.
        if !matches!(p, RolloutPhase::Shifting | RolloutPhase::Baking) {
            self.health.restart(now);
        }
    }

    /// Orders once, then again only when it has gone without effect for a while.
    fn order(&mut self, now: Ms, every: Ms, o: Order, out: &mut Vec<Order>) {
        let k = format!("{o:?}");
        if self
            .ordered_at
            .get(&k)
            .is_some_and(|t| now.saturating_sub(*t) < every)
        {
            return;
        }
        self.ordered_at.insert(k, now);
        out.push(o);
    }
    fn tell(
        &mut self,
        v: &RolloutView,
        id: &str,
        action: OrderAction,
        version: &str,
        out: &mut Vec<Order>,
    ) {
        let Some(r) = v.usable.iter().find(|r| r.id == id) else {
            return;
        };
        let every = if action == OrderAction::Load {
            LOAD_TIMEOUT
        } else {
            ORDER_REPEAT_INTERVAL
        };
        let o = Order::Replica {
            id: id.into(),
            addr: r.addr.clone(),
            action,
            version: version.into(),
        };
        // A replica that reports it is loading has taken the order, however late it gets ready.
        if action == OrderAction::Load && v.holds(id, version) {
            return;
        }
        self.order(
            v.inputs.now,
            if v.report(id).is_some() {
                ORDER_REPEAT_INTERVAL.max(every / 5)
            } else {
                every
            },
            o,
            out,
        );
    }

    /// One pass of the loop.
    pub fn step(&mut self, old: &RolloutRecord, i: &RolloutInputs) -> RolloutStep {
        let now = i.now;
        let mut r = old.clone();
        let mut out = Vec::new();
        self.health.tick(now);
        if i.service.mode == ServiceMode::Ignore {
            return (r, out);
        }
        if i.service.mode == ServiceMode::Placed {
            return self.placed(old, i);
        }
        let mine = |p: &&PlatformReplica| p.service == i.service.name;
        let up: Vec<_> = i
            .replica_list
            .iter()
            .filter(mine)
            .filter(|p| p.state == PlatformReplicaState::Running && !i.draining.contains(&p.id))
            .collect();
        let v = RolloutView {
            inputs: i,
            usable: up,
        };
        let plan = i
            .plan
            .filter(|(n, p)| *n != r.failed_plan && p.target != r.stable);
        // A new holder that has not heard every replica yet would take the unheard for lost. What the edges
        // counted it knows at once.
        if now.saturating_sub(self.lease_since) < REPORT_COLLECTION_TIME
            && v.usable.iter().any(|p| v.report(&p.id).is_none())
        {
            let at_work = matches!(
                r.phase,
                RolloutPhase::Canary | RolloutPhase::Shifting | RolloutPhase::Baking
            );
            if at_work && self.turned_back(&mut r, now) {
                r.groups
                    .iter_mut()
                    .filter(|g| g.version != old.stable)
                    .for_each(|g| g.share_percent = 0);
            }
            return (r, out);
        }
        self.has_all_reports = true;
        r.replicas = v.usable.iter().map(|p| told(p)).collect();
        r.alerts.clear();

        self.replan(&mut r, plan, now);
        match r.phase {
            RolloutPhase::Steady => self.steady(&mut r, &v),
            RolloutPhase::Canary => self.canary(&mut r, &v, &mut out),
            RolloutPhase::Shifting => self.shifting(&mut r, &v, &mut out),
            RolloutPhase::Baking => self.baking(&mut r, &v),
            RolloutPhase::Unloading | RolloutPhase::Reverting => self.unload(&mut r, &v, &mut out),
        }
        self.fill(&r, &v, &mut out);
        self.forecast(&mut r, &v);
        self.alerts(&mut r, plan, &v);
        // Read only: everything is computed and nothing is done.
        if i.service.mode == ServiceMode::ReadOnly {
            return (old.clone(), vec![]);
        }
        (r, out)
    }

    /// Takes up a new plan, or turns back from one that was replaced.
    fn replan(&mut self, r: &mut RolloutRecord, plan: Option<(u64, &ReleasePlan)>, now: Ms) {
        let at_work = matches!(
            r.phase,
            RolloutPhase::Canary | RolloutPhase::Shifting | RolloutPhase::Baking
        );
        let same = plan.is_some_and(|(_, p)| Some(&p.target) == r.target.as_ref());
        // Two plans for one service: the accepted one stands, and what the other began is taken back first.
        if at_work && !same {
            return self.enter(r, RolloutPhase::Reverting, now);
        }
        if let (RolloutPhase::Steady, Some((n, p))) = (r.phase, plan) {
            (r.target, r.plan_version) = (Some(p.target.clone()), n);
            self.enter(r, RolloutPhase::Canary, now);
        }
    }

    fn steady(&mut self, r: &mut RolloutRecord, v: &RolloutView) {
        let s = r.stable.clone();
        r.retiring.clear();
        r.groups = vec![group(GroupRole::Stable, &s, 100, v.with(&s))];
    }

    /// Turns back at once if the new version is the worse one.
    fn turned_back(&mut self, r: &mut RolloutRecord, now: Ms) -> bool {
        let Some(t) = r.target.clone() else {
            return true;
        };
        if self.health.judge_all(&t, &r.stable, now) == Verdict::Fine {
            return false;
        }
        self.bad_version = Some(t);
        r.failed_plan = r.plan_version;
        self.enter(r, RolloutPhase::Reverting, now);
        true
    }

    fn canary(&mut self, r: &mut RolloutRecord, v: &RolloutView, out: &mut Vec<Order>) {
        let (now, s) = (v.inputs.now, r.stable.clone());
        if self.turned_back(r, now) {
            return self.unload(r, v, out);
        }
        let Some(t) = r.target.clone() else { return };
        let old = v.with(&s);
        // A canary in each zone: homes keep callers inside theirs, so one zone's canary never meets the others'.
        // Those already on the new version stay it.
        let mut by_zone: BTreeMap<&str, Vec<&String>> = BTreeMap::new();
        old.iter()
            .for_each(|id| by_zone.entry(v.zone(id)).or_default().push(id));
        if by_zone.is_empty() {
            return self.steady(r, v);
        }
        let (mut picks, mut base) = (vec![], vec![]);
        for ids in by_zone.into_values() {
            let n = (ids.len() * v.inputs.spec.canary_percent as usize / 100).max(1);
            let (new, rest): (Vec<&String>, Vec<&String>) =
                ids.into_iter().partition(|id| v.holds(id, &t));
            let mut all = new.into_iter().chain(rest).cloned();
            picks.extend(all.by_ref().take(n));
            base.extend(all.take(n));
        }
        picks
            .iter()
            .for_each(|id| self.tell(v, id, OrderAction::Load, &t, out));
        if !picks.iter().all(|id| v.has(id, &t)) {
            (self.canary_at, r.groups) = (None, vec![group(GroupRole::Stable, &s, 100, old)]);
            return;
        }
        // Canary and baseline start in the same record, so that they meet the same traffic.
        let began = *self.canary_at.get_or_insert(now);
        let c = v.inputs.spec.canary_percent;
        let rest = old
            .iter()
            .filter(|id| !base.contains(id))
            .cloned()
            .collect();
        r.groups = vec![
            group(GroupRole::Canary, &t, c, picks),
            group(GroupRole::Baseline, &s, c, base),
            group(GroupRole::Stable, &s, 100 - 2 * c, rest),
        ];
        let (age, h) = (now - began, &self.health);
        // A lane that only the stable version has met says nothing of the new one yet.
        let met = |l: &str| {
            h.ended_on(&t, l, now) >= MIN_CANARY_REQUESTS_PER_LANE || h.ended_on(&s, l, now) == 0
        };
        let lanes = v.inputs.service.lanes.iter().all(|l| met(&l.name));
        let quiet = h.failed(&t, now) == 0
            && (age >= QUIET_CANARY_TIME && lanes || age >= RARE_LANE_CANARY_TIME);
        let enough = age >= MIN_CANARY_TIME && h.ended(&t, now) >= MIN_CANARY_REQUESTS && lanes;
        if quiet || enough && !h.is_suspicious(&t, &s, now) {
            self.enter(r, RolloutPhase::Shifting, now);
        }
    }

    fn shifting(&mut self, r: &mut RolloutRecord, v: &RolloutView, out: &mut Vec<Order>) {
        let (now, s) = (v.inputs.now, r.stable.clone());
        if self.turned_back(r, now) {
            return self.unload(r, v, out);
        }
        let Some(t) = r.target.clone() else { return };
        let total = v.usable.len();
        let size = v.step();
        let new = v.with(&t);
        for id in &new {
            self.ready_at.entry(id.clone()).or_insert(now);
        }
        // A replica whose old version has ended its streams, or has had the longest time for it, is through.
        let limit = v.drain_limit();
        let mut retired: Vec<String> = vec![];
        r.retiring.retain(|id| v.usable.iter().any(|p| p.id == *id));
        for id in &r.retiring {
            let at = *self.retire_at.entry(id.clone()).or_insert(now);
            if v.streams(id, &s) == 0 && now > at + ORDER_REPEAT_INTERVAL
                || now.saturating_sub(at) > limit
            {
                retired.push(id.clone());
            }
        }
        let waits = r.retiring.len() - retired.len();
        let serving: Vec<String> = v
            .with(&s)
            .into_iter()
            .filter(|id| !r.retiring.contains(id))
            .collect();
        // The next step: load beside the old version first, on replicas chosen evenly over the zones.
        let loading: Vec<String> = v
            .usable
            .iter()
            .filter(|p| v.holds(&p.id, &t) && !new.contains(&p.id))
            .map(|p| p.id.clone())
            .collect();
        let pending: Vec<String> = new
            .iter()
            .filter(|id| serving.contains(id))
            .cloned()
            .collect();
        let room = size.saturating_sub(loading.len() + pending.len() + waits);
        let mut next: Vec<&String> = serving.iter().filter(|id| !v.holds(id, &t)).collect();
        next.sort_by_key(|id| {
            let z = v.zone(id);
            (
                new.iter()
                    .chain(&loading)
                    .filter(|n| v.zone(n) == z)
                    .count(),
                id.to_string(),
            )
        });
        for id in next.into_iter().take(room) {
            self.tell(v, id, OrderAction::Load, &t, out);
        }
        // Replicas that came back with nothing get the new version only.
        for p in v
            .usable
            .iter()
            .filter(|p| !v.holds(&p.id, &t) && !v.holds(&p.id, &s) && v.report(&p.id).is_some())
        {
            self.tell(v, &p.id, OrderAction::Load, &t, out);
        }
        // Then retire, at most a step at a time and never below a zone's floor of warm replicas.
        if waits == 0 {
            let mut left = size;
            let mut going: BTreeSet<String> = BTreeSet::new();
            for id in &pending {
                let warm = |n: &str| {
                    self.ready_at
                        .get(n)
                        .is_some_and(|t| now.saturating_sub(*t) >= SLOW_START_DURATION)
                };
                let z = v.zone(id);
                let floor = v
                    .inputs
                    .service
                    .zones
                    .iter()
                    .find(|c| c.zone == z)
                    .map_or(0, |c| c.floor as usize);
                let mut keep: BTreeSet<&String> = serving
                    .iter()
                    .filter(|n| *n != id && !going.contains(*n) && v.zone(n) == z)
                    .collect();
                keep.extend(new.iter().filter(|n| v.zone(n) == z && warm(n)));
                if left > 0 && warm(id) && keep.len() >= floor.max(1) {
                    going.insert(id.clone());
                    r.retiring.push(id.clone());
                    self.retire_at.insert(id.clone(), now);
                    left -= 1;
                }
            }
        }
        let serving: Vec<String> = serving
            .into_iter()
            .filter(|id| !r.retiring.contains(id))
            .collect();
        let all = (serving.len() + new.len()).max(1);
        let share = (new.len() * 100 / all) as u32;
        let done = serving.is_empty() && waits == 0 && !new.is_empty() && new.len() == total;
        r.groups = vec![
            group(GroupRole::Stable, &s, 100 - share, serving),
            group(GroupRole::Stable, &t, share, new),
        ];
        if done {
            self.enter(r, RolloutPhase::Baking, now);
        }
    }

    fn baking(&mut self, r: &mut RolloutRecord, v: &RolloutView) {
        let (now, s) = (v.inputs.now, r.stable.clone());
        if self.turned_back(r, now) {
            return;
        }
        let Some(t) = r.target.clone() else { return };
        r.retiring.clear();
        // The old version stays loaded without a share: turning back needs no load.
        r.groups = vec![
            group(GroupRole::Stable, &t, 100, v.with(&t)),
            group(GroupRole::Stable, &s, 0, v.with(&s)),
        ];
        if now.saturating_sub(self.phase_at) >= v.inputs.spec.bake_ms {
            r.stable = t;
            r.target = Some(s);
            self.enter(r, RolloutPhase::Unloading, now);
        }
    }

    /// A completed version that turns bad while the old one can still carry every zone is taken back.
    fn undo(&mut self, r: &mut RolloutRecord, v: &RolloutView) {
        let (now, bad) = (v.inputs.now, r.stable.clone());
        let Some(old) = r
            .target
            .clone()
            .filter(|_| r.phase == RolloutPhase::Unloading)
        else {
            return;
        };
        if !self.health.fails(&bad, now) {
            return;
        }
        let left = v.with(&old);
        let carries = |z: &remote_calls::ZoneCount| {
            left.iter().filter(|id| v.zone(id) == z.zone).count() >= z.floor as usize
        };
        if !v.inputs.service.zones.iter().all(carries) {
            return;
        }
        (r.stable, r.target, r.failed_plan) = (old, Some(bad.clone()), r.plan_version);
        self.bad_version = Some(bad);
        self.enter(r, RolloutPhase::Reverting, now);
    }

    /// Unloads `target`, what is no longer wanted, once it carries nothing. The flag that leases it is
    /// set here, because the rollout was completed or reverted, and cleared when nothing reports it.
    fn unload(&mut self, r: &mut RolloutRecord, v: &RolloutView, out: &mut Vec<Order>) {
        let now = v.inputs.now;
        self.undo(r, v);
        let (s, Some(t)) = (r.stable.clone(), r.target.clone()) else {
            return;
        };
        r.retiring.clear();
        let gone: Vec<String> = v
            .usable
            .iter()
            .filter(|p| v.holds(&p.id, &t))
            .map(|p| p.id.clone())
            .collect();
        let mut old = group(GroupRole::Stable, &t, 0, gone.clone());
        old.allow_unload = true;
        let limit = v.drain_limit();
        for id in &gone {
            let ended =
                v.streams(id, &t) == 0 && now.saturating_sub(self.phase_at) > ORDER_REPEAT_INTERVAL;
            // Nothing is unloaded where the wanted version is not ready, or streams have time left.
            if (ended || now.saturating_sub(self.phase_at) > limit) && v.has(id, &s) {
                self.tell(v, id, OrderAction::Unload, &t, out);
            }
        }
        r.groups = vec![group(GroupRole::Stable, &s, 100, v.with(&s)), old];
        // The flag was written in an earlier record before anything could be unloaded under it.
        if gone.is_empty() && now.saturating_sub(self.phase_at) > ORDER_REPEAT_INTERVAL {
            r.target = None;
            r.groups.truncate(1);
            self.enter(r, RolloutPhase::Steady, now);
        }
    }

    /// Drift: missing replicas are started, replicas without weights are loaded, surplus ones drained.
    fn fill(&mut self, r: &RolloutRecord, v: &RolloutView, out: &mut Vec<Order>) {
        let now = v.inputs.now;
        let new = matches!(r.phase, RolloutPhase::Shifting | RolloutPhase::Baking);
        let want = if new {
            r.target.as_ref().unwrap_or(&r.stable)
        } else {
            &r.stable
        };
        for z in &v.inputs.service.zones {
            let here =
                |p: &&PlatformReplica| p.zone == z.zone && p.service == v.inputs.service.name;
            // Started ones count though they have not reported yet: a late load is not a missing replica.
            let have = v.inputs.replica_list.iter().filter(here).filter(|p| {
                p.state != PlatformReplicaState::Draining && !v.inputs.draining.contains(&p.id)
            });
            let have: Vec<_> = have.collect();
            let need = z.replicas as usize;
            for n in have.len()..need {
                let o = Order::Start {
                    zone: z.zone.clone(),
                    version: want.clone(),
                };
                let k = format!("start {} {n}", z.zone);
                if self
                    .ordered_at
                    .get(&k)
                    .is_none_or(|t| now.saturating_sub(*t) >= LOAD_TIMEOUT / 3)
                {
                    self.ordered_at.insert(k, now);
                    out.push(o);
                }
            }
            if have.len() > need && r.phase == RolloutPhase::Steady {
                // One at a time, the last by name, so that a shrunken spec never empties a zone.
                if let Some(p) = have.iter().max_by_key(|p| &p.id) {
                    self.order(
                        now,
                        LOAD_TIMEOUT / 3,
                        Order::Drain { id: p.id.clone() },
                        out,
                    );
                }
            }
        }
        if new {
            return;
        }
        for p in &v.usable {
            if v.report(&p.id).is_some() && !v.holds(&p.id, want) {
                self.tell(v, &p.id, OrderAction::Load, want, out);
            }
        }
    }

    /// When the rollout will be complete, by the steps that this phase has taken so far.
    fn forecast(&self, r: &mut RolloutRecord, v: &RolloutView) {
        let now = v.inputs.now;
        let (total, age) = (v.usable.len(), now.saturating_sub(self.phase_at));
        let steps = |n: usize| n.div_ceil(v.step()) as Ms;
        let after = v.inputs.spec.bake_ms + DEFAULT_UNLOAD_TIME;
        let left = match r.phase {
            RolloutPhase::Steady | RolloutPhase::Reverting => {
                r.forecast = 0;
                return;
            }
            RolloutPhase::Canary => {
                let waited = self.canary_at.map_or(0, |t| now.saturating_sub(t));
                QUIET_CANARY_TIME.saturating_sub(waited) + steps(total) * DEFAULT_STEP_TIME + after
            }
            RolloutPhase::Shifting => {
                let old = group_replicas(r, GroupRole::Stable, &r.stable).len() + r.retiring.len();
                let done = steps(total.saturating_sub(old));
                let each = age.checked_div(done).unwrap_or(DEFAULT_STEP_TIME.max(age));
                steps(old) * each + after
            }
            RolloutPhase::Baking => after.saturating_sub(age),
            RolloutPhase::Unloading => DEFAULT_UNLOAD_TIME,
        };
        let at = if r.target.is_none() {
            0
        } else {
            v.inputs.wall_clock_s + left.div_ceil(1_000)
        };
        if at.abs_diff(r.forecast) > FORECAST_MIN_CHANGE_S {
            r.forecast = at;
        }
    }

    fn alerts(
        &mut self,
        r: &mut RolloutRecord,
        plan: Option<(u64, &ReleasePlan)>,
        v: &RolloutView,
    ) {
        let now = v.inputs.now;
        let shape = Some((
            r.phase,
            r.retiring.len(),
            r.groups.last().map_or(0, |g| g.replicas.len()),
        ));
        // A canary that waits for requests is not stuck; one that waits for its weights is.
        if shape != self.shape || r.phase == RolloutPhase::Steady || self.canary_at.is_some() {
            (self.shape, self.progressed_at) = (shape, now);
        }
        if now.saturating_sub(self.progressed_at) > STUCK_ALERT_AFTER {
            r.alerts.push("stuck".into());
        }
        if plan.is_some_and(|(_, p)| v.inputs.wall_clock_s > p.complete_by) {
            r.alerts.push("plan_late".into());
        } else if plan.is_some_and(|(_, p)| r.forecast > p.complete_by) {
            // Before the time has passed, so that operators can still choose: no step is hurried for it.
            r.alerts.push("plan_at_risk".into());
        }
        // Nothing is there to turn to, or it is for operators to decide: they must know at once.
        if self.health.fails(&r.stable, now) {
            r.alerts.push("stable_fails".into());
        }
        // A version nobody wants and no rollout accounts for: it stays until a flag leases its unload.
        let wanted = |x: &str| x == r.stable || Some(x) == r.target.as_deref();
        let stray = v
            .usable
            .iter()
            .filter_map(|p| v.report(&p.id))
            .flat_map(|p| &p.loaded)
            .any(|l| !wanted(&l.version));
        if stray {
            r.alerts.push("unload_waits".into());
        }
        r.since_ms = 0;
    }
}

#[cfg(test)]
mod tests;
