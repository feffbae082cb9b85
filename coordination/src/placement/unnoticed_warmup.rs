//! Attempts that were sent to a replica as to a warm one while it was most likely warming up.

use std::{fmt, mem};

use super::{Placement, WarmupEvidence};
use crate::Ms;

/// Maximum number of entries that are kept until they are taken.
const UNNOTICED_WARMUPS_MAX: usize = 256;

/// A warm-up that this proxy learned of after it had just sent the replica attempts as to a warm one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnnoticedWarmup {
    /// Id of the replica.
    pub replica: String,
    /// How the proxy learned of the warm-up.
    pub evidence: WarmupEvidence,
    /// Attempts sent within the last second.
    pub attempts: usize,
    /// Time since the previous record of the service was received, in ms.
    pub record_age_ms: Option<Ms>,
    /// Duration of the current contact with the control plane, in ms; `None` without contact.
    pub contact_ms: Option<Ms>,
    /// Time since this proxy learned that the evacuation of the replica's zone had ended, in ms.
    pub zone_restored_ms: Option<Ms>,
}

/// Formats a duration that may be unknown.
fn duration_or_none(duration: Option<Ms>) -> String {
    duration.map_or("none".into(), |duration| duration.to_string())
}

impl fmt::Display for UnnoticedWarmup {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "known_by={} attempts={} record_age_ms={} contact_ms={} zone_restored_ms={}",
            self.evidence,
            self.attempts,
            duration_or_none(self.record_age_ms),
            duration_or_none(self.contact_ms),
            duration_or_none(self.zone_restored_ms),
        )
    }
}

impl Placement {
    /// Notes attempts that were sent to a replica as to a warm one just before this proxy learned that it is warming up.
    pub(super) fn note_unnoticed_warmup(&mut self, id: &str, evidence: WarmupEvidence, now: Ms) {
        let Some(entry) = self.replicas.get(id) else {
            return;
        };
        let attempts = entry.view.recent_full_rate_attempts(now);
        if attempts == 0 || self.unnoticed_warmups.len() >= UNNOTICED_WARMUPS_MAX {
            return;
        }
        self.unnoticed_warmups.push(UnnoticedWarmup {
            replica: id.into(),
            evidence,
            attempts,
            record_age_ms: self.freshness.record_age_ms(&entry.service, now),
            contact_ms: self.freshness.contact_ms(now),
            zone_restored_ms: self.freshness.restored_ms(&entry.view.zone, now),
        });
    }

    /// Returns the warm-ups that this proxy learned of late since the last call.
    pub fn take_unnoticed_warmups(&mut self) -> Vec<UnnoticedWarmup> {
        mem::take(&mut self.unnoticed_warmups)
    }
}
