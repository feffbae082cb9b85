//! The loop of a service whose versions the platform places: it starts new replicas beside old ones and stops
//! them, this loop moves shares and withdraws replicas. The platform's list is all it reads of replicas.

use super::{exposure::AcceptedPlan, *};
use crate::rollout::exposure::REQUEST_RATE_WINDOW;

/// ms. Windows in which a version that is about to be completed may not be doubted, and for how long doubt may hold
/// it back: what has just turned bad is condemned sooner, and an order has its time.
const MAX_COMPLETION_DELAY: Ms = 4_000;
/// Percent of a service that a canary may take at most where its time is short.
const MAX_SHORT_CANARY_PERCENT: u32 = 8;
/// Part of what may still be exposed that is spent while a good canary waits for its time to shift.
const EXPOSURE_WHILE_WAITING: f64 = 0.25;
/// ms. One step of shifting where the platform places versions, before any was seen: a write, edges' polls and
/// a second of streams.
const DEFAULT_SHIFT_TIME: Ms = 2_000;
/// Requests that a canary must have ended where all that is to come stays inside the exposure bound.
const MIN_LIGHT_CANARY_REQUESTS: u64 = 3;
/// ms. A step's share must have been in force so long, and ended so many requests, before the next.
const MIN_STEP_TIME: Ms = 900;
/// ms. A step's share must have been in force so long, and ended so many requests, before the next.
const MIN_STEP_REQUESTS: u64 = 6;
/// ms. A step waits so long for requests that do not come.
const MAX_STEP_WAIT: Ms = 5_000;
/// ms. A withdrawn replica has ended when no edge had a stream there for so long: a poll, a hello and the way.
const DRAINED_AFTER: Ms = 700;
/// ms. Least time that a step waits for streams that do not end, however late the plan.
const MIN_STREAM_WAIT: Ms = 3_000;
/// Percent of its places that a side of a rollout may have taken before it is to carry no more.
const MAX_SIDE_LOAD_PERCENT: u64 = 70;
/// ms. A version that is ordered again waits so long for its former replicas to leave the list.
const REPLICA_REMOVAL_TIME: Ms = 10_000;

/// What the loop remembers of the platform's replicas, lost with its duty.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    /// Since when each listed replica has been on the list without a break; nought if ever since the day began.
    came: BTreeMap<String, Ms>,
    /// The last order, as this daemon came to know it; kept when the duty goes.
    taken: Option<AcceptedPlan>,
    /// Orders have been followed here for a while, so the next one is as new as it looks.
    heeds: bool,
    /// When the share last changed, and since when the canary is as warm as the baseline.
    step_at: Ms,
    even: Option<Ms>,
    /// The record that moved the share last, by its version.
    moved_by: u64,
    /// When a withdrawn replica last had a stream, or may have had one that edges had not told of, and the record
    /// that withdrew it.
    busy: BTreeMap<String, (Ms, u64)>,
    /// Since when nothing but doubt keeps the target from being completed.
    ripe: Option<Ms>,
    /// When the flag was first seen to stand.
    flagged_at: Option<Ms>,
}

impl Memory {
    /// What is kept when the duty goes: the order, whose time and counts no other can tell.
    pub(super) fn without_duty(&mut self) -> Memory {
        Memory {
            taken: self.taken.take(),
            heeds: self.heeds,
            ..Memory::default()
        }
    }
    /// Notes who came and who went. A replica that went dark and came back begins anew: what it kept is gone.
    fn note(&mut self, listed: &[&PlatformReplica], old: &RolloutRecord, now: Ms) {
        let first = self.came.is_empty();
        let came = |p: &PlatformReplica| {
            let known = old.replicas.iter().find(|o| o.id == p.id);
            // A new holder takes the record's word for who is warm; with no record yet, the platform's.
            match (first, known) {
                (true, Some(o)) if !o.cold => 0,
                (true, None) if old.replicas.is_empty() => 0,
                _ => now,
            }
        };
        self.came = listed
            .iter()
            .map(|p| {
                (
                    p.id.clone(),
                    self.came.get(&p.id).copied().unwrap_or_else(|| came(p)),
                )
            })
            .collect();
    }
    fn cold(&self, p: &PlatformReplica, cold_ms: Ms, now: Ms) -> bool {
        let came = self.came.get(&p.id).copied().unwrap_or(now);
        p.cold_ms > 0 || came > 0 && now.saturating_sub(came) < cold_ms
    }
    /// Whether a replica without a share has had no stream for long enough, by what edges tell.
    fn dry(&mut self, id: &str, s: &Sides) -> bool {
        let (at, by) = self
            .busy
            .entry(id.into())
            .or_insert((s.i.now, self.moved_by));
        // An edge that has not seen the withdrawal yet may still begin one there.
        if s.seen < *by || s.open(id) > 0 {
            *at = s.i.now;
        }
        s.i.now.saturating_sub(*at) >= DRAINED_AFTER
    }
}

fn ids(of: &[&PlatformReplica]) -> Vec<String> {
    of.iter().map(|p| p.id.clone()).collect()
}
fn slots(of: &[&PlatformReplica]) -> u64 {
    of.iter().map(|p| u64::from(p.slots.max(1))).sum()
}
fn flags<'a>(r: &'a RolloutRecord, v: &'a str) -> impl Iterator<Item = &'a GroupRecord> {
    r.groups
        .iter()
        .filter(move |g| g.allow_unload && g.version == v)
}
fn share(r: &RolloutRecord, v: &str) -> u32 {
    r.groups
        .iter()
        .filter(|g| g.version == v)
        .map(|g| g.share_percent)
        .sum()
}
fn at_work(p: RolloutPhase) -> bool {
    matches!(
        p,
        RolloutPhase::Canary | RolloutPhase::Shifting | RolloutPhase::Baking
    )
}

/// Both sides of a rollout, and the record that it starts from.
struct Sides<'a> {
    i: &'a RolloutInputs<'a>,
    before: &'a RolloutRecord,
    target: String,
    new: Vec<&'a PlatformReplica>,
    old: Vec<&'a PlatformReplica>,
    cold: BTreeSet<&'a str>,
    /// The newest record that all edges have seen.
    seen: u64,
}

impl<'a> Sides<'a> {
    fn open(&self, id: &str) -> u64 {
        (self.i.open_streams)(id, "")
    }
    fn warm(&self) -> Vec<&'a PlatformReplica> {
        self.new
            .iter()
            .filter(|p| p.loaded && !self.cold.contains(p.id.as_str()))
            .copied()
            .collect()
    }
    /// How long streams on what retires may still run: the longest lane's time and a little more.
    fn drain_limit(&self) -> Ms {
        let s = &self.i.service;
        let paths = self
            .i
            .spec
            .paths
            .iter()
            .filter(|p| p.split.iter().any(|x| x.service == s.name));
        let limits = paths
            .map(|p| p.time_limit_ms)
            .chain(s.lanes.iter().map(|l| l.time_limit_ms));
        limits.max().unwrap_or(0) + DRAIN_MARGIN
    }
    /// Replicas that one step withdraws.
    fn step(&self) -> usize {
        MIN_STEP_REPLICAS.max(self.old.len() * STEP_PERCENT / 100)
    }
    /// Whether a version may have a replica's place without trial: it is the one that stands.
    fn proven(&self) -> bool {
        self.target == self.before.stable
    }
    /// Percent that the new side can carry: as much as its part of the old one's places, or what leaves it room.
    fn carries(&self, warm: &[&PlatformReplica]) -> u32 {
        let zones: BTreeSet<&str> = self.old.iter().map(|p| p.zone.as_str()).collect();
        // Zone by zone: homes may keep a zone's requests in it. One where none is started is served by others.
        let zones: Vec<&str> = zones
            .into_iter()
            .filter(|z| self.new.iter().any(|p| p.zone == *z))
            .collect();
        let part = |zone: Option<&str>| {
            let of = |all: &[&'a PlatformReplica]| -> Vec<&'a PlatformReplica> {
                all.iter()
                    .filter(|p| zone.is_none_or(|z| p.zone == z))
                    .copied()
                    .collect()
            };
            let (old, new) = (of(&self.old), of(&self.new));
            let able = warm
                .iter()
                .filter(|w| new.iter().any(|n| n.id == w.id))
                .copied()
                .collect::<Vec<_>>();
            if able.is_empty() {
                return 0;
            }
            let open: u64 = old.iter().chain(&new).map(|p| self.open(&p.id)).sum();
            let able = slots(&able);
            (able * 100 / slots(&old).max(1))
                .max(
                    (able * MAX_SIDE_LOAD_PERCENT)
                        .checked_div(open)
                        .unwrap_or(100),
                )
                .min(100) as u32
        };
        zones
            .into_iter()
            .map(|z| part(Some(z)))
            .chain([part(None)])
            .min()
            .unwrap_or(0)
    }
}

impl RolloutLoop {
    /// Takes note of an order, whoever holds the duty: its time and counts run by this daemon's own clock, and
    /// evidence from before it is about other replicas.
    pub fn observe_plan(&mut self, plan: Option<(u64, &ReleasePlan)>, now: Ms, wall: u64) {
        // What is there at the first look may have been ordered long ago.
        let fresh = std::mem::replace(&mut self.placed.heeds, true);
        let old = self.placed.taken.as_ref();
        let Some((n, p)) = plan else {
            return self.placed.taken = None;
        };
        if old.is_some_and(|o| o.plan == n) {
            return;
        }
        // A process that has just started was told of the last half minute, which is of the order's own replicas.
        if fresh && old.is_none_or(|o| o.target != p.target) {
            self.health.restart(now);
        }
        self.placed.taken = Some(AcceptedPlan::new(n, p, &self.health, fresh, now, wall));
    }

    /// Percent that the target may have: none without an order, all if it is no trial.
    fn cap(&self, s: &Sides) -> u32 {
        let cap = |t: &AcceptedPlan| t.max_share_percent(s.i.bounds, &self.health, s.i.now);
        if s.proven() {
            100
        } else {
            self.placed.taken.as_ref().map_or(0, cap)
        }
    }
    fn term(&self) -> Ms {
        self.placed.taken.as_ref().map_or(0, |t| t.deadline)
    }

    /// One pass: the next record. There are no orders, as daemons cannot load or unload here.
    pub(super) fn placed(&mut self, old: &RolloutRecord, i: &RolloutInputs) -> RolloutStep {
        let now = i.now;
        self.observe_plan(i.plan, now, i.wall_clock_s);
        // A list from before the duty was held may be older than the one the last holder wrote by.
        if i.list_requested_at < self.lease_since {
            return (old.clone(), vec![]);
        }
        // The list alone tells all there is to hear.
        self.has_all_reports = true;
        let mine: Vec<&PlatformReplica> = i
            .replica_list
            .iter()
            .filter(|p| p.service == i.service.name)
            .collect();
        if self.placed.came.is_empty() {
            // The record does not tell when the last step began: for a new holder it began with the duty.
            (self.placed.moved_by, self.placed.step_at) = (i.record_version, self.lease_since);
        }
        self.placed.note(&mine, old, now);
        let mut r = old.clone();
        r.alerts.clear();
        let retired = self.retired(&r, &mine, i);
        let stays = |p: &&PlatformReplica| {
            p.state == PlatformReplicaState::Running
                && p.left_ms == 0
                && !i.draining.contains(&p.id)
                && !retired.iter().any(|g| g.replicas.contains(&p.id))
        };
        let up: Vec<&PlatformReplica> = mine.into_iter().filter(stays).collect();
        let cold_ms = i.service.engine.as_ref().map_or(0, |e| e.cold_ms);
        let cold: BTreeSet<&str> = up
            .iter()
            .filter(|p| self.placed.cold(p, cold_ms, now))
            .map(|p| p.id.as_str())
            .collect();
        self.take_up(&mut r, old, &up, &retired, i);
        let target = r.target.clone().unwrap_or_default();
        // What an order names is on trial until it is completed, before it is taken up and after it failed too.
        let waits = i
            .plan
            .filter(|(n, _)| !at_work(r.phase) && (*n != r.plan_version || *n == r.failed_plan));
        let trial = |p: &&PlatformReplica| {
            (r.target.is_some() && p.version == target)
                || waits.is_some_and(|(_, w)| p.version == w.target && p.version != r.stable)
        };
        let (new, rest): (Vec<_>, Vec<_>) = up.into_iter().partition(trial);
        let new = new.into_iter().filter(|p| p.version == target).collect();
        let seen = if r.phase == RolloutPhase::Steady {
            0
        } else {
            (i.oldest_seen_record)()
        };
        let s = Sides {
            i,
            before: old,
            target,
            new,
            old: rest,
            cold,
            seen,
        };
        match r.phase {
            RolloutPhase::Steady | RolloutPhase::Unloading => {
                self.stand(&mut r, &s, retired.is_empty())
            }
            RolloutPhase::Canary => self.try_out(&mut r, &s),
            RolloutPhase::Shifting => self.shift(&mut r, &s),
            RolloutPhase::Baking => self.bake(&mut r, &s),
            RolloutPhase::Reverting => self.turn_back(&mut r, &s),
        }
        let all = s.old.iter().chain(&s.new);
        r.replicas = all
            .map(|p| PlacedReplica {
                cold: s.cold.contains(p.id.as_str()),
                ..told(p)
            })
            .collect();
        // Kept in the list's order, so that a replica's change of side alone is no change here.
        r.replicas.sort_by(|a, b| a.id.cmp(&b.id));
        r.groups.extend(retired);
        self.tell_operators(&mut r, &s);
        (r, vec![])
    }

    /// Flagged groups whose replicas are still listed; they stay out whatever comes.
    fn retired(
        &self,
        r: &RolloutRecord,
        mine: &[&PlatformReplica],
        i: &RolloutInputs,
    ) -> Vec<GroupRecord> {
        // A flag of a rollout that is not completed yet may have to be taken back.
        if r.phase == RolloutPhase::Baking {
            return vec![];
        }
        let again = |v: &str| {
            i.plan
                .is_some_and(|(n, p)| n != r.failed_plan && p.target == v)
        };
        let waited = self
            .placed
            .taken
            .as_ref()
            .is_some_and(|t| i.now.saturating_sub(t.accepted_at) >= REPLICA_REMOVAL_TIME);
        let mut all: Vec<GroupRecord> = r
            .groups
            .iter()
            .filter(|g| g.allow_unload)
            .cloned()
            .collect();
        // Ordered again, a version's new replicas are others than those that were to go.
        all.retain(|g| !(again(&g.version) && waited));
        for g in &mut all {
            if again(&g.version) {
                g.replicas.retain(|id| mine.iter().any(|p| p.id == *id));
            } else {
                g.replicas = mine
                    .iter()
                    .filter(|p| p.version == g.version)
                    .map(|p| p.id.clone())
                    .collect();
            }
        }
        all.retain(|g| !g.replicas.is_empty());
        all
    }

    /// Takes up a new order, or turns back from one that was replaced.
    fn take_up(
        &mut self,
        r: &mut RolloutRecord,
        old: &RolloutRecord,
        up: &[&PlatformReplica],
        retired: &[GroupRecord],
        i: &RolloutInputs,
    ) {
        let now = i.now;
        if at_work(r.phase) {
            let same = i.plan.filter(|(_, p)| Some(&p.target) == r.target.as_ref());
            // The accepted order stands, and what the other began is taken back first.
            match same {
                Some((n, _)) => r.plan_version = n,
                None => {
                    self.enter(r, RolloutPhase::Reverting, now);
                    self.placed.moved_by = i.record_version + 1;
                }
            }
            return;
        }
        let Some((n, p)) = i.plan.filter(|(n, _)| *n != r.plan_version) else {
            return;
        };
        let back = r.phase != RolloutPhase::Reverting
            || r.target
                .as_ref()
                .is_none_or(|t| flags(old, t).next().is_some());
        // Replicas that were to go for good must not pass for those of the new order.
        if !back || up.is_empty() || retired.iter().any(|g| g.version == p.target) {
            return;
        }
        (r.target, r.plan_version) = (Some(p.target.clone()), n);
        self.placed.busy.clear();
        let there = up
            .iter()
            .filter(|u| u.version == p.target && u.loaded)
            .count();
        if there == up.len() {
            // Everything is on it already: there is nothing to move.
            (r.stable, r.target) = (p.target.clone(), None);
            return self.enter(r, RolloutPhase::Steady, now);
        }
        let proven = r.stable == p.target && there > 0;
        self.enter(
            r,
            if proven {
                RolloutPhase::Shifting
            } else {
                RolloutPhase::Canary
            },
            now,
        );
        if proven {
            let part = (there * 100 / up.len()) as u32;
            r.groups = vec![group(GroupRole::Stable, &p.target, part, vec![])];
        }
    }

    /// No rollout is at work: all that stay are one group. Releases of the platform's own replace replicas one by
    /// one, so versions may differ without any order.
    fn stand(&mut self, r: &mut RolloutRecord, s: &Sides, clear: bool) {
        if !s.old.iter().any(|p| p.version == r.stable) {
            let mut n: BTreeMap<&str, usize> = BTreeMap::new();
            s.old
                .iter()
                .for_each(|p| *n.entry(&p.version).or_default() += 1);
            if let Some((v, _)) = n.into_iter().max_by_key(|(_, n)| *n) {
                r.stable = v.into();
            }
        }
        r.retiring.clear();
        r.groups = vec![group(GroupRole::Stable, &r.stable, 100, ids(&s.old))];
        if r.phase != RolloutPhase::Steady && clear {
            self.enter(r, RolloutPhase::Steady, s.i.now);
        }
    }

    /// Turns back at once if the target is the worse one.
    fn falls(&mut self, r: &mut RolloutRecord, s: &Sides) -> bool {
        if s.proven()
            || self
                .health
                .judge_placed(&s.target, self.placed.even, s.i.now)
                == Verdict::Fine
        {
            return false;
        }
        self.bad_version = Some(s.target.clone());
        r.failed_plan = r.plan_version;
        self.enter(r, RolloutPhase::Reverting, s.i.now);
        self.placed.moved_by = s.i.record_version + 1;
        self.turn_back(r, s);
        true
    }

    fn try_out(&mut self, r: &mut RolloutRecord, s: &Sides) {
        let now = s.i.now;
        if self.falls(r, s) {
            return;
        }
        let percent = s.i.spec.canary_percent.min(MAX_SHORT_CANARY_PERCENT);
        let zones: BTreeSet<&str> = s.old.iter().map(|p| p.zone.as_str()).collect();
        let (mut picks, mut base) = (vec![], vec![]);
        // A canary in each zone: homes keep callers inside theirs, so one zone's canary never meets the others'.
        for z in zones {
            let old: Vec<_> = s.old.iter().filter(|p| p.zone == z).copied().collect();
            let n = (old.len() * percent as usize / 100).max(1);
            let pick = |from: Vec<&'_ PlatformReplica>,
                        role: GroupRole,
                        v: &str,
                        n: usize|
             -> Vec<String> {
                let stood = group_replicas(s.before, role, v);
                let mut from = from;
                // Those that are it stay it; then warm ones, so that caches say little.
                from.sort_by_key(|p| {
                    (
                        !stood.contains(&p.id),
                        s.cold.contains(p.id.as_str()),
                        p.id.clone(),
                    )
                });
                from.into_iter().take(n).map(|p| p.id.clone()).collect()
            };
            let new = s
                .new
                .iter()
                .filter(|p| p.zone == z && p.loaded)
                .copied()
                .collect();
            let found = pick(new, GroupRole::Canary, &s.target, n);
            base.extend(pick(old, GroupRole::Baseline, &r.stable, found.len()));
            picks.extend(found);
        }
        if picks.is_empty() {
            // Replicas that report late are waited for.
            (self.canary_at, self.placed.even) = (None, None);
            r.groups = vec![group(GroupRole::Stable, &r.stable, 100, ids(&s.old))];
            return;
        }
        if self.canary_at.is_none() {
            // Canary and baseline start in the same record, so that they meet the same traffic.
            (self.canary_at, self.placed.step_at) = (Some(now), now);
            // A canary that the last holder began goes on, and with it what it showed.
            if share(s.before, &s.target) == 0 {
                self.health.restart(now);
            }
        }
        let warm = !picks.iter().any(|id| s.cold.contains(id.as_str()));
        self.placed.even = warm.then(|| self.placed.even.unwrap_or(now));
        let (cap, had) = (self.cap(s), share(s.before, &s.target));
        let c = if had > 0 && had <= cap + cap / 5 {
            had
        } else {
            cap
        }
        .min(percent);
        let rest: Vec<String> = ids(&s.old)
            .into_iter()
            .filter(|id| !base.contains(id))
            .collect();
        // The baseline keeps its replicas' part of what the old version has: their caches stay in use.
        let b = if rest.is_empty() {
            100 - c
        } else {
            (100 - c) * base.len() as u32 / s.old.len().max(1) as u32
        };
        r.groups = vec![
            group(GroupRole::Canary, &s.target, c, picks),
            group(GroupRole::Baseline, &r.stable, b, base),
            group(GroupRole::Stable, &r.stable, 100 - c - b, rest),
        ];
        if warm && self.passed_trial(&s.target, cap, now) {
            self.enter(r, RolloutPhase::Shifting, now);
            (self.placed.step_at, self.placed.moved_by) = (now, s.i.record_version + 1);
        }
    }

    /// Whether a canary has shown enough, or there is nothing that it could be shown by.
    fn passed_trial(&self, t: &str, cap: u32, now: Ms) -> bool {
        let (h, age) = (
            &self.health,
            self.canary_at.map_or(0, |a| now.saturating_sub(a)),
        );
        let lanes = h.has_tried_all_lanes(t, MIN_CANARY_REQUESTS_PER_LANE, now);
        if !h.has_sources() || age < MIN_CANARY_TIME || h.is_suspicious_placed(t, now) {
            return false;
        }
        let enough = h.ended(t, now) >= MIN_CANARY_REQUESTS && lanes;
        // Where all that is to come stays inside the bound, or the plan's time is over, less will do.
        let light = cap == 100
            && (h.ended(t, now) >= MIN_LIGHT_CANARY_REQUESTS
                || h.request_rate(REQUEST_RATE_WINDOW, now) < 1.0);
        enough
            || h.failed(t, now) == 0
                && (light || age >= QUIET_CANARY_TIME && lanes || age >= RARE_LANE_CANARY_TIME)
    }

    /// Whether the last step has been in force for long enough to show what it does.
    fn calm(&self, s: &Sides) -> bool {
        let age = s.i.now.saturating_sub(self.placed.step_at);
        let shown = age >= MAX_STEP_WAIT
            || self.health.ended_in(&s.target, age, s.i.now) >= MIN_STEP_REQUESTS;
        // A process that has just started knows of no failures and of no requests until edges tell.
        s.seen >= self.placed.moved_by
            && self.health.has_sources()
            && age >= MIN_STEP_TIME
            && shown
            && (s.proven() || !self.health.is_suspicious_placed(&s.target, s.i.now))
    }

    fn shift(&mut self, r: &mut RolloutRecord, s: &Sides) {
        let now = s.i.now;
        if self.falls(r, s) {
            return;
        }
        // Only warm replicas take part from here on.
        self.placed.even.get_or_insert(now);
        let (n, step, warm) = (s.old.len(), s.step(), s.warm());
        let had = share(s.before, &s.target);
        r.retiring.retain(|id| s.old.iter().any(|p| p.id == *id));
        // Streams of what was withdrawn: each step waits for them, as long as the plan's time and the lanes' allow.
        let left = (n - r.retiring.len()).div_ceil(step).max(1) as Ms;
        let limit = s.drain_limit();
        let spare = self.term().saturating_sub(now);
        // A plan that is late already is not hurried: nothing is to be won by it.
        let each = if spare == 0 {
            limit
        } else {
            (spare / left).clamp(MIN_STREAM_WAIT.min(limit), limit)
        };
        let mut waits = false;
        for id in &r.retiring {
            let at = *self.retire_at.entry(id.clone()).or_insert(now);
            waits |= !self.placed.dry(id, s) && now.saturating_sub(at) <= each;
        }

        // The share comes first, never more than the new side can carry or may be exposed to.
        let (cap, able) = (self.cap(s), s.carries(&warm));
        let most = cap.min(able);
        let ramp = n.div_ceil(step) as Ms * DEFAULT_SHIFT_TIME;
        let begins = cap == 100 || now + ramp >= self.term();
        let hold =
            ((f64::from(cap) * EXPOSURE_WHILE_WAITING) as u32).clamp(1, MAX_SHORT_CANARY_PERCENT);
        let next = if had > cap + cap / 5 || had > able {
            // Fewer are there than were, or traffic ebbs: back to what fits.
            most
        } else if !begins && r.retiring.is_empty() {
            // A good one that is early spends little of what it may have, so that more is left for the steps.
            self.progressed_at = now;
            had.min(hold + 1)
        } else if !waits && self.calm(s) {
            let to = (had + (100 * step).div_ceil(n.max(1)) as u32)
                .min(most)
                .min(100);
            if to > had + 1 || to == 100 { to } else { had }
        } else {
            had
        };
        let seen = s.seen >= self.placed.moved_by;
        if next != had {
            (self.placed.step_at, self.placed.moved_by) = (now, s.i.record_version + 1);
        }

        // Replicas are withdrawn only after all edges have moved the share that they carried.
        let keep = n - n * had.min(next) as usize / 100;
        while n - r.retiring.len() < keep {
            if let Some(id) = r.retiring.pop() {
                self.retire_at.remove(&id);
            }
        }
        if seen && !waits {
            self.withdraw(r, s, keep, had == 100);
        }
        let serving: Vec<_> = s
            .old
            .iter()
            .filter(|p| !r.retiring.contains(&p.id))
            .copied()
            .collect();
        let done = had == 100 && next == 100 && seen && !waits && serving.is_empty();
        r.groups = vec![
            group(GroupRole::Stable, &r.stable, 100 - next, ids(&serving)),
            group(GroupRole::Stable, &s.target, next, ids(&warm)),
        ];
        if done {
            self.enter(r, RolloutPhase::Baking, now);
            self.bake(r, s);
        }
    }

    /// Withdraws a step of old replicas, evenly over the zones, until `keep` are left. A zone keeps one while the
    /// old version has any share: homes may send it there.
    fn withdraw(&mut self, r: &mut RolloutRecord, s: &Sides, keep: usize, last: bool) {
        let mut left = s.step();
        while left > 0 && s.old.len() - r.retiring.len() > keep {
            let mut by: BTreeMap<&str, (usize, Vec<&str>)> = BTreeMap::new();
            for p in &s.old {
                let z = by.entry(&p.zone).or_default();
                z.0 += 1;
                if !r.retiring.contains(&p.id) {
                    z.1.push(&p.id);
                }
            }
            by.retain(|_, z| z.1.len() > usize::from(!last));
            let Some((_, (_, of))) = by.into_iter().max_by_key(|(_, z)| z.1.len() * 1_000 / z.0)
            else {
                return;
            };
            let Some(id) = of.last() else { return };
            r.retiring.push(id.to_string());
            self.retire_at.insert(id.to_string(), s.i.now);
            self.placed
                .busy
                .insert(id.to_string(), (s.i.now, s.i.record_version + 1));
            left -= 1;
        }
    }

    /// The target carries everything. The flag is set once the old side has no share and no stream, and the
    /// rollout is completed only after that stands: the platform stops the old replicas at once then.
    fn bake(&mut self, r: &mut RolloutRecord, s: &Sides) {
        let now = s.i.now;
        if self.falls(r, s) {
            return;
        }
        let warm = s.warm();
        if warm.is_empty() {
            // Nobody is left to carry it: the old side does again.
            r.retiring.clear();
            self.enter(r, RolloutPhase::Shifting, now);
            return self.shift(r, s);
        }
        let limit = s.drain_limit();
        let versions: BTreeSet<&str> = s.old.iter().map(|p| p.version.as_str()).collect();
        let flagged = s.before.phase == RolloutPhase::Baking
            && versions.iter().all(|v| flags(s.before, v).next().is_some());
        let first = flagged && self.placed.flagged_at.is_none();
        self.placed.flagged_at = flagged.then(|| self.placed.flagged_at.unwrap_or(now));
        let mut dry = true;
        for p in &s.old {
            let of = self.placed.dry(&p.id, s);
            dry &= of;
            // An edge that suspects the target sends to the old side until it sees the flag: streams there end from
            // when all have seen it.
            if first && !of {
                self.placed
                    .busy
                    .insert(p.id.clone(), (now, s.i.record_version));
            }
        }
        let late = |t: Ms| now.saturating_sub(t) > limit;
        let ripe = (flagged || dry || late(self.phase_at))
            && now.saturating_sub(self.phase_at) >= s.i.spec.bake_ms;
        self.placed.ripe = ripe.then(|| self.placed.ripe.unwrap_or(now));
        // The platform stops the old replicas on this word, and nothing is left to turn back to: a version that has
        // just begun to fail is looked at a little longer.
        let waited = self
            .placed
            .ripe
            .is_some_and(|t| now.saturating_sub(t) >= MAX_COMPLETION_DELAY);
        let ready = ripe && (waited || s.proven() || !self.health.just_failed(&s.target, now));
        r.groups = vec![group(GroupRole::Stable, &s.target, 100, ids(&warm))];
        for v in versions {
            let of: Vec<_> = s.old.iter().filter(|p| p.version == v).copied().collect();
            let mut g = group(GroupRole::Stable, v, 0, ids(&of));
            g.allow_unload = ready;
            r.groups.push(g);
        }
        // A flag that was forced stops what the old side still gets. One edge that never tells cannot hold this for ever.
        let through = dry || self.placed.flagged_at.is_some_and(late);
        if flagged && ready && through {
            r.stable = s.target.clone();
            (r.target, r.retiring) = (None, vec![]);
            self.enter(r, RolloutPhase::Unloading, now);
        }
    }

    /// The old side carries everything again, what was withdrawn too. The flag tells that the target has neither
    /// share nor stream.
    fn turn_back(&mut self, r: &mut RolloutRecord, s: &Sides) {
        let now = s.i.now;
        r.retiring.clear();
        r.groups = vec![group(GroupRole::Stable, &r.stable, 100, ids(&s.old))];
        let late = now.saturating_sub(self.phase_at) > s.drain_limit();
        let mut dry = s.before.phase == RolloutPhase::Reverting && s.seen >= self.placed.moved_by;
        for p in &s.new {
            dry &= self.placed.dry(&p.id, s) || late;
        }
        if !s.new.is_empty() {
            let mut g = group(GroupRole::Stable, &s.target, 0, ids(&s.new));
            g.allow_unload = dry;
            r.groups.push(g);
        } else if dry {
            r.target = None;
            self.enter(r, RolloutPhase::Steady, now);
        }
    }

    fn tell_operators(&mut self, r: &mut RolloutRecord, s: &Sides) {
        let now = s.i.now;
        let shape = Some((r.phase, r.retiring.len(), share(r, &s.target) as usize));
        // A canary that waits for requests is not stuck; one that waits for its weights is.
        if shape != self.shape || !at_work(r.phase) || self.canary_at.is_some() {
            (self.shape, self.progressed_at) = (shape, now);
        }
        if now.saturating_sub(self.progressed_at) > STUCK_ALERT_AFTER {
            r.alerts.push("stuck".into());
        }
        let steps = s
            .old
            .len()
            .saturating_sub(r.retiring.len())
            .div_ceil(s.step()) as Ms;
        let end = now + steps * DEFAULT_SHIFT_TIME;
        let at = if at_work(r.phase) {
            s.i.wall_clock_s + (end - now) / 1_000
        } else {
            0
        };
        if at == 0 || at.abs_diff(r.forecast) > FORECAST_MIN_CHANGE_S {
            r.forecast = at;
        }
        if at_work(r.phase) && now > self.term() {
            r.alerts.push("plan_late".into());
        } else if at_work(r.phase) && end > self.term() {
            r.alerts.push("plan_at_risk".into());
        }
        // Nothing is there to turn to: operators must know at once.
        if self.health.fails(&r.stable, now) {
            r.alerts.push("stable_fails".into());
        }
        r.since_ms = 0;
    }
}
