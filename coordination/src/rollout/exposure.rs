//! Limits the requests that a version may receive before it is proven: a fraction of all requests between the release
//! plan and its deadline plus a fixed slack, no matter when the version begins to fail.

use super::VersionedPlan;
use crate::{
    Ms,
    bounds::Bounds,
    version_health::{SentCounts, VersionHealth},
};

/// Fraction of the exposure bound that is used; the rest covers what edges send until they detect a partition.
const EXPOSURE_BUDGET_USED: f64 = 0.8;
/// Window over which the request rate is computed, in ms.
pub(super) const REQUEST_RATE_WINDOW: Ms = 4_000;
/// Fraction of the current request rate that is assumed to continue.
const PESSIMISTIC_RATE_FACTOR: f64 = 0.7;
/// Tolerance for a plan's deadline, in ms: it is in whole seconds and compared with another clock.
const DEADLINE_SKEW: Ms = 1_000;

/// A release plan as observed by this daemon. Every daemon records it, with or without the lease.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct AcceptedPlan {
    /// Version under which the plan was committed.
    pub(super) version: u64,
    pub(super) target: String,
    /// When this daemon observed the plan.
    pub(super) accepted_at: Ms,
    /// Deadline by this daemon's monotonic clock: the wall clock may step.
    pub(super) deadline: Ms,
    sent_before: SentCounts,
}

impl AcceptedPlan {
    /// Records a plan. `is_fresh`: the plan was committed just now, so all of its time is left, regardless of the wall
    /// clock.
    pub(super) fn new(
        VersionedPlan { version, plan }: VersionedPlan,
        health: &VersionHealth,
        is_fresh: bool,
        now: Ms,
        wall_clock_s: u64,
    ) -> Self {
        let left_by_wall_clock_s = plan.complete_by.saturating_sub(wall_clock_s);
        let left_s = plan
            .within_s
            .filter(|_| is_fresh)
            .unwrap_or(left_by_wall_clock_s);
        AcceptedPlan {
            version,
            target: plan.target.clone(),
            accepted_at: now,
            deadline: now + left_s * 1_000,
            sent_before: health.sent(&plan.target),
        }
    }

    /// Returns the percentage of requests that the target may receive from now to the deadline so that the total stays
    /// within the bound even if it was bad from the start. After the deadline there is no bound.
    pub(super) fn max_share_percent(
        &self,
        bounds: &Bounds,
        health: &VersionHealth,
        now: Ms,
    ) -> u32 {
        // The deadline is in whole seconds and checked against another clock.
        let left_s = (self.deadline + DEADLINE_SKEW).saturating_sub(now) as f64 / 1_000.0;
        let expected = health.request_rate(REQUEST_RATE_WINDOW, now) * left_s;
        if left_s <= 0.0 || expected < 1.0 {
            return 100;
        }
        let sent = health.sent(&self.target);
        let sent_to_all = sent.all.saturating_sub(self.sent_before.all) as f64;
        let sent_to_target = sent.version.saturating_sub(self.sent_before.version) as f64;
        // Traffic may decrease, so only a fraction of the expected requests is assumed.
        let allowed = EXPOSURE_BUDGET_USED
            * (bounds.canary_share * (sent_to_all + PESSIMISTIC_RATE_FACTOR * expected)
                + bounds.canary_slack);
        ((allowed - sent_to_target) * 100.0 / expected).clamp(0.0, 100.0) as u32
    }
}
