//! How much of a service a version on trial may get while nobody knows whether it is bad: a part of all
//! requests between the order and its time, and some besides, whenever it turns.

use remote_calls::ReleasePlan;

use crate::{Ms, bounds::Bounds, version_health::VersionHealth};

/// Part of the exposure bound that is used; the rest is for what edges do until they hear of a cut.
const EXPOSURE_BUDGET_USED: f64 = 0.8;
/// ms. Window over which the pace of requests is taken, and part of it that is counted on to go on.
pub(crate) const REQUEST_RATE_WINDOW: Ms = 4_000;
/// ms. Window over which the pace of requests is taken, and part of it that is counted on to go on.
const PESSIMISTIC_RATE_FACTOR: f64 = 0.7;
/// ms. A plan's time is told in whole seconds and held against another clock.
const DEADLINE_SKEW: Ms = 1_000;

/// An order as this daemon came to know it. Every daemon notes it, whoever holds the duty.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedPlan {
    pub plan: u64,
    pub target: String,
    /// By this daemon's own clock: the wall's may step.
    pub accepted_at: Ms,
    pub deadline: Ms,
    /// Counts at that time: sent to all versions and to the target.
    base: (u64, u64),
}

impl AcceptedPlan {
    /// `fresh`: the order has only just come, so that what was left then is left now, whatever the wall's clock says.
    pub fn new(
        plan: u64,
        p: &ReleasePlan,
        h: &VersionHealth,
        fresh: bool,
        now: Ms,
        wall: u64,
    ) -> Self {
        let by_wall = p.complete_by.saturating_sub(wall);
        let left = p.within_s.filter(|_| fresh).unwrap_or(by_wall);
        let term = now + left * 1_000;
        AcceptedPlan {
            plan,
            target: p.target.clone(),
            accepted_at: now,
            deadline: term,
            base: h.sent(&p.target),
        }
    }

    /// Percent of the requests that the target may have from now to its time, so that the whole stays inside the
    /// bound even if it was bad all along. Once its time is over nothing is counted any more.
    pub fn max_share_percent(&self, b: &Bounds, h: &VersionHealth, now: Ms) -> u32 {
        // The time comes in whole seconds, and another clock ends it.
        let left = (self.deadline + DEADLINE_SKEW).saturating_sub(now) as f64 / 1_000.0;
        let pace = h.request_rate(REQUEST_RATE_WINDOW, now);
        let to_come = pace * left;
        if left <= 0.0 || to_come < 1.0 {
            return 100;
        }
        let (all, new) = h.sent(&self.target);
        let (all, new) = (
            all.saturating_sub(self.base.0) as f64,
            new.saturating_sub(self.base.1) as f64,
        );
        // Traffic may ebb: only a part of what is to come is counted on.
        let may = EXPOSURE_BUDGET_USED
            * (b.canary_share * (all + PESSIMISTIC_RATE_FACTOR * to_come) + b.canary_slack);
        ((may - new) * 100.0 / to_come).clamp(0.0, 100.0) as u32
    }
}
