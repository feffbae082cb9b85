//! The canary's share of requests: each request adds that percentage of one request to the canary's credit.

use std::collections::BTreeMap;

use remote_calls::GroupRole;

/// Credit that one request costs, in hundredths.
const HUNDREDTHS_PER_REQUEST: u32 = 100;

/// Credit of each service's canary, in hundredths of a request.
#[derive(Clone, Debug, Default)]
pub(super) struct CanaryCredits {
    by_service: BTreeMap<String, u32>,
}

impl CanaryCredits {
    /// Returns whether the canary has enough credit for a request.
    pub fn has_request(&self, service: &str) -> bool {
        self.by_service
            .get(service)
            .is_some_and(|hundredths| *hundredths >= HUNDREDTHS_PER_REQUEST)
    }

    /// Adds the share of an attempt to the canary's credit, and deducts one request if the attempt goes to the canary.
    /// Credit is capped at one request, and none accrues while there is no canary.
    pub fn count(&mut self, service: &str, role: GroupRole, canary_share_percent: u32) {
        let hundredths = self.by_service.entry(service.into()).or_default();
        *hundredths = if canary_share_percent == 0 {
            0
        } else {
            (*hundredths + canary_share_percent).min(HUNDREDTHS_PER_REQUEST)
        };
        if role == GroupRole::Canary {
            *hundredths = hundredths.saturating_sub(HUNDREDTHS_PER_REQUEST);
        }
    }
}
