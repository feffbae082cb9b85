//! The canary phase if the platform places versions: a few replicas of the target receive a share within the exposure
//! bound, next to a baseline of as many old replicas.

use std::collections::BTreeSet;

use remote_calls::{GroupRole, PlatformReplica, RolloutPhase, RolloutRecord};

use super::{
    super::{
        RolloutLoop,
        canary::{
            CanaryReplicas, MIN_CANARY_REQUESTS, MIN_CANARY_REQUESTS_PER_LANE, MIN_CANARY_TIME,
            QUIET_CANARY_TIME, RARE_LANE_CANARY_TIME,
        },
        exposure::REQUEST_RATE_WINDOW,
        groups::{group, group_replicas, version_share},
    },
    Sides,
    sides::replica_ids,
};
use crate::version_health::Verdict;

/// Maximum percentage of a service that a canary may receive if time is short.
pub(super) const MAX_SHORT_CANARY_PERCENT: u32 = 8;
/// Requests that must have ended on a canary if all requests to come are within the exposure bound.
const MIN_BOUNDED_CANARY_REQUESTS: u64 = 3;

impl RolloutLoop {
    pub(super) fn step_placed_canary(&mut self, record: &mut RolloutRecord, sides: &Sides) {
        let now = sides.inputs.now;
        if self.reverts_bad_placed_target(record, sides) {
            return;
        }
        let max_percent = sides
            .inputs
            .spec
            .canary_percent
            .min(MAX_SHORT_CANARY_PERCENT);
        let chosen = choose_placed_canary(sides, &record.stable, max_percent);
        if chosen.canary.is_empty() {
            // Waits until replicas of the target are listed as loaded.
            self.canary_since = None;
            self.placed.comparable_since = None;
            let old = replica_ids(&sides.old);
            record.groups = vec![group(GroupRole::Stable, &record.stable, 100, old)];
            return;
        }
        let previous_share = version_share(sides.previous, &sides.target);
        self.begin_placed_canary(previous_share, sides);
        let is_warm = !chosen.canary.iter().any(|id| sides.is_warming_up(id));
        self.placed.comparable_since = is_warm.then(|| self.placed.comparable_since.unwrap_or(now));
        let exposure_limit = self.exposure_limit(sides);
        let is_within_limit = previous_share <= exposure_limit + exposure_limit / 5;
        let share = if previous_share > 0 && is_within_limit {
            previous_share
        } else {
            exposure_limit
        };
        assign_placed_canary_share(record, sides, chosen, share.min(max_percent));
        if is_warm && self.has_placed_canary_passed(sides, exposure_limit) {
            self.enter_phase(record, RolloutPhase::Shifting, now);
            self.placed.share_changed_at = now;
            self.placed.share_changed_in = sides.inputs.record_version + 1;
        }
    }

    /// Starts canary and baseline in the same record so that they receive the same traffic.
    fn begin_placed_canary(&mut self, previous_share: u32, sides: &Sides) {
        if self.canary_since.is_some() {
            return;
        }
        let now = sides.inputs.now;
        self.canary_since = Some(now);
        self.placed.share_changed_at = now;
        // A canary that the previous lease holder began continues, and its counts are kept.
        if previous_share == 0 {
            self.health.restart(now);
        }
    }

    /// Returns the maximum share of the target in percent: 0 without a plan, 100 if the target is proven.
    pub(super) fn exposure_limit(&self, sides: &Sides) -> u32 {
        if sides.is_proven() {
            return 100;
        }
        let inputs = sides.inputs;
        self.placed.accepted_plan.as_ref().map_or(0, |plan| {
            plan.max_share_percent(inputs.bounds, &self.health, inputs.now)
        })
    }

    /// Whether a canary has ended enough requests, or waited long enough without traffic, to pass.
    fn has_placed_canary_passed(&self, sides: &Sides, exposure_limit: u32) -> bool {
        let (now, target, health) = (sides.inputs.now, &sides.target, &self.health);
        let age = self
            .canary_since
            .map_or(0, |since| now.saturating_sub(since));
        if !health.has_sources()
            || age < MIN_CANARY_TIME
            || health.is_suspicious_placed(target, now)
        {
            return false;
        }
        let ended = health.ended(target, now);
        let has_tried_lanes = health.has_tried_all_lanes(target, MIN_CANARY_REQUESTS_PER_LANE, now);
        if ended >= MIN_CANARY_REQUESTS && has_tried_lanes {
            return true;
        }
        // Fewer requests suffice if all requests to come are within the bound, or the plan's deadline has passed.
        let is_bounded = exposure_limit == 100
            && (ended >= MIN_BOUNDED_CANARY_REQUESTS
                || health.request_rate(REQUEST_RATE_WINDOW, now) < 1.0);
        let has_waited =
            age >= QUIET_CANARY_TIME && has_tried_lanes || age >= RARE_LANE_CANARY_TIME;
        health.failed(target, now) == 0 && (is_bounded || has_waited)
    }

    /// Reverts at once if the target is worse than the other versions. Returns whether it reverted.
    pub(super) fn reverts_bad_placed_target(
        &mut self,
        record: &mut RolloutRecord,
        sides: &Sides,
    ) -> bool {
        let now = sides.inputs.now;
        let comparable_since = self.placed.comparable_since;
        if sides.is_proven()
            || self
                .health
                .judge_placed(&sides.target, comparable_since, now)
                == Verdict::Healthy
        {
            return false;
        }
        self.bad_version = Some(sides.target.clone());
        record.failed_plan = record.plan_version;
        self.enter_phase(record, RolloutPhase::Reverting, now);
        self.placed.share_changed_in = sides.inputs.record_version + 1;
        self.step_placed_reverting(record, sides);
        true
    }
}

/// Chooses a canary in each zone: home regions keep clients inside their zones, so one zone's canary never serves the
/// clients of others.
fn choose_placed_canary(sides: &Sides, stable: &str, max_percent: u32) -> CanaryReplicas {
    let zones: BTreeSet<&str> = sides.old.iter().map(|old| old.zone.as_str()).collect();
    let mut chosen = CanaryReplicas::default();
    for zone in zones {
        let old = sides.old.iter().filter(|replica| replica.zone == zone);
        let old: Vec<&PlatformReplica> = old.copied().collect();
        let new = sides.new.iter();
        let new = new.filter(|replica| replica.zone == zone && replica.loaded);
        let count = (old.len() * max_percent as usize / 100).max(1);
        let former = group_replicas(sides.previous, GroupRole::Canary, &sides.target);
        let canary = choose_replicas(sides, new.copied().collect(), former, count);
        let former = group_replicas(sides.previous, GroupRole::Baseline, stable);
        let baseline = choose_replicas(sides, old, former, canary.len());
        chosen.canary.extend(canary);
        chosen.baseline.extend(baseline);
    }
    chosen
}

/// Prefers former members of the group, then warmed-up replicas, so that cache state affects the comparison little.
fn choose_replicas(
    sides: &Sides,
    mut candidates: Vec<&PlatformReplica>,
    former: &[String],
    count: usize,
) -> Vec<String> {
    candidates.sort_by_key(|replica| {
        let id = &replica.id;
        (!former.contains(id), sides.is_warming_up(id), id.clone())
    });
    candidates.truncate(count);
    replica_ids(&candidates)
}

fn assign_placed_canary_share(
    record: &mut RolloutRecord,
    sides: &Sides,
    chosen: CanaryReplicas,
    canary_share: u32,
) {
    let mut rest = replica_ids(&sides.old);
    rest.retain(|id| !chosen.baseline.contains(id));
    let old_share = 100 - canary_share;
    // The baseline keeps its replicas' fraction of the old side's share so that their caches stay in use.
    let baseline_share = if rest.is_empty() {
        old_share
    } else {
        old_share * chosen.baseline.len() as u32 / sides.old.len().max(1) as u32
    };
    let stable = &record.stable;
    record.groups = vec![
        group(
            GroupRole::Canary,
            &sides.target,
            canary_share,
            chosen.canary,
        ),
        group(GroupRole::Baseline, stable, baseline_share, chosen.baseline),
        group(GroupRole::Stable, stable, old_share - baseline_share, rest),
    ];
}
