//! The canary's share of requests: each request earns the canary its percent of one.

use std::collections::BTreeMap;

use remote_calls::GroupRole;

/// Hundredths of a request in a whole one.
const HUNDREDTHS_PER_REQUEST: u32 = 100;

/// What a service's canary may take next, in hundredths of a request.
#[derive(Clone, Debug, Default)]
pub(super) struct CanaryCredits {
    by_service: BTreeMap<String, u32>,
}

impl CanaryCredits {
    /// Whether the canary may take the next request.
    pub fn has_request(&self, service: &str) -> bool {
        self.by_service
            .get(service)
            .is_some_and(|hundredths| *hundredths >= HUNDREDTHS_PER_REQUEST)
    }

    /// Counts an attempt of a service towards its canary's share, or out of it. Nothing is saved up beyond one request,
    /// nor from before there was a canary.
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
