//! Retry budget of requests that name a service.

use super::Proxy;
use crate::{Ms, policy::Mechanism};

/// Hundredths of a retry earned by each first attempt.
const EARNED_PER_FIRST_ATTEMPT: u64 = 5;
/// Maximum number of saved retries; not 0, so that a fleet with little traffic can retry at all.
const SAVED_RETRIES_MAX: u64 = 2;
/// Budget that one retry costs, in hundredths.
const HUNDREDTHS_PER_RETRY: u64 = 100;

/// Remaining retry budget of this proxy.
#[derive(Clone, Debug)]
pub(super) struct NamedRetryBudget {
    hundredths: u64,
}

impl Default for NamedRetryBudget {
    fn default() -> Self {
        NamedRetryBudget {
            hundredths: SAVED_RETRIES_MAX * HUNDREDTHS_PER_RETRY,
        }
    }
}

impl NamedRetryBudget {
    /// Credits a first attempt. Savings are capped: a quiet hour must not fund a burst of retries when replicas fail.
    fn earn(&mut self) {
        self.hundredths = (self.hundredths + EARNED_PER_FIRST_ATTEMPT)
            .min(SAVED_RETRIES_MAX * HUNDREDTHS_PER_RETRY);
    }

    fn has_retry(&self) -> bool {
        self.hundredths >= HUNDREDTHS_PER_RETRY
    }

    fn spend(&mut self) {
        self.hundredths -= HUNDREDTHS_PER_RETRY;
    }
}

impl Proxy {
    /// Draws a retry from the budget, which is a small share of first attempts plus a small initial credit; returns
    /// whether one was available. A tier under pressure of a more urgent one gets none: the remaining slots are for the
    /// more urgent tier.
    pub fn try_draw_named_retry(&mut self, rank: u32, now: Ms) -> bool {
        if !self.named_retries.has_retry()
            || !self.is_enabled(Mechanism::SecondRounds)
            || self.tier_pressure_percent(rank, now) > 0
        {
            self.count("second_rounds_denied");
            return false;
        }
        self.named_retries.spend();
        self.count("second_rounds");
        true
    }

    /// Counts the first attempt of a request that names a service.
    pub fn count_first_attempt(&mut self) {
        self.named_retries.earn();
        self.count("first_rounds");
    }
}
