//! The retry budget of callers that name a service.

use super::Proxy;
use crate::{Ms, policy::Mechanism};

/// Hundredths of a retry that each first attempt earns.
const EARNED_PER_FIRST_ATTEMPT: u64 = 5;
/// Retries that are saved up at most, so that a fleet with little traffic can retry at all.
const SAVED_RETRIES_MAX: u64 = 2;
/// Hundredths of a retry in a whole one.
const HUNDREDTHS_PER_RETRY: u64 = 100;

/// Retries that this proxy may still make.
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
    /// Nothing is saved up beyond the few: a quiet hour must not pay for a burst when replicas fail.
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
    /// Draws a retry, a small share of first attempts and a few for free, and says whether there was one.
    /// There is none for a tier that a more urgent one presses back: what is left is for that one.
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
