//! How much of a service a version on trial may get while nobody knows whether it is bad: a part of all
//! requests between the release plan and its deadline, and some besides, whenever the version turns bad.

use super::VersionedPlan;
use crate::{
    Ms,
    bounds::Bounds,
    version_health::{SentCounts, VersionHealth},
};

/// Part of the exposure bound that is used; the rest is for what edges do until they hear of a partition.
const EXPOSURE_BUDGET_USED: f64 = 0.8;
/// ms. Window over which the request rate is taken.
pub(super) const REQUEST_RATE_WINDOW: Ms = 4_000;
/// Part of the request rate that is counted on to go on.
const PESSIMISTIC_RATE_FACTOR: f64 = 0.7;
/// ms. A plan's deadline comes in whole seconds and is compared with another clock.
const DEADLINE_SKEW: Ms = 1_000;

/// A release plan as this daemon came to know it. Every daemon notes it, whoever has the lease.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct AcceptedPlan {
    /// Version under which the plan was committed.
    pub(super) version: u64,
    pub(super) target: String,
    /// When this daemon learned of it.
    pub(super) accepted_at: Ms,
    /// By this daemon's monotonic clock: the wall clock may step.
    pub(super) deadline: Ms,
    sent_before: SentCounts,
}

impl AcceptedPlan {
    /// `is_fresh`: the plan has only just been committed, so that the time it was given then is left now, whatever the
    /// wall clock says.
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

    /// Percent of the requests that the target may have from now to the deadline, so that the whole stays inside the
    /// bound even if it was bad all along. After the deadline nothing is bounded any more.
    pub(super) fn max_share_percent(
        &self,
        bounds: &Bounds,
        health: &VersionHealth,
        now: Ms,
    ) -> u32 {
        // The deadline comes in whole seconds, and another clock ends it.
        let left_s = (self.deadline + DEADLINE_SKEW).saturating_sub(now) as f64 / 1_000.0;
        let expected = health.request_rate(REQUEST_RATE_WINDOW, now) * left_s;
        if left_s <= 0.0 || expected < 1.0 {
            return 100;
        }
        let sent = health.sent(&self.target);
        let sent_to_all = sent.all.saturating_sub(self.sent_before.all) as f64;
        let sent_to_target = sent.version.saturating_sub(self.sent_before.version) as f64;
        // Traffic may ebb: only a part of what is expected is counted on.
        let allowed = EXPOSURE_BUDGET_USED
            * (bounds.canary_share * (sent_to_all + PESSIMISTIC_RATE_FACTOR * expected)
                + bounds.canary_slack);
        ((allowed - sent_to_target) * 100.0 / expected).clamp(0.0, 100.0) as u32
    }
}
