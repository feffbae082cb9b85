//! How current this proxy's view of the replicas is: since when it hears the control plane without interruption, and
//! when operators restored zones.

use std::collections::BTreeMap;

use super::WarmupEvidence;
use crate::Ms;

/// Reason to assume that a replica is warming up although this proxy has no sign of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Doubt {
    pub evidence: WarmupEvidence,
    /// When a warm-up that this proxy may have missed is complete.
    pub until: Ms,
}

/// What this proxy may have missed about the replicas.
#[derive(Clone, Debug, Default)]
pub(super) struct ViewFreshness {
    /// When the current contact with the control plane began.
    contact_since: Ms,
    /// When contact ends unless it is renewed; 0 before the first contact.
    contact_until: Ms,
    /// When this proxy learned that the evacuation of a zone had ended, by zone.
    restored_at: BTreeMap<String, Ms>,
    /// When this proxy received the current record of a service.
    record_received_at: BTreeMap<String, Ms>,
}

impl ViewFreshness {
    /// Records contact with the control plane that lasts until `until`. Contact that had lapsed begins anew.
    pub fn renew_contact(&mut self, until: Ms, now: Ms) {
        if now >= self.contact_until {
            self.contact_since = now;
        }
        self.contact_until = until;
    }

    /// Records that contact with the control plane is lost.
    pub fn lose_contact(&mut self, now: Ms) {
        self.contact_until = self.contact_until.min(now);
    }

    /// Records that the evacuation of a zone has ended.
    pub fn on_zone_restored(&mut self, zone: &str, now: Ms) {
        self.restored_at.insert(zone.into(), now);
    }

    /// Records that a new record of a service was received.
    pub fn on_record(&mut self, service: &str, now: Ms) {
        self.record_received_at.insert(service.into(), now);
    }

    /// Returns the duration of the current contact with the control plane; `None` without contact.
    pub fn contact_ms(&self, now: Ms) -> Option<Ms> {
        (now < self.contact_until).then(|| now.saturating_sub(self.contact_since))
    }

    /// Returns whether no replica of any zone is in doubt. `warmup_time`: how long a replica stays cold.
    pub fn is_confirmed(&self, warmup_time: Ms, now: Ms) -> bool {
        self.restored_at.values().all(|at| now >= at + warmup_time)
    }

    /// Returns the reason to assume that the replicas of a zone are warming up, if there is one. A replica that turned
    /// cold before the event in question is warm again one warm-up later.
    pub fn doubt(&self, zone: &str, warmup_time: Ms, now: Ms) -> Option<Doubt> {
        let until = self.restored_at.get(zone)? + warmup_time;
        (now < until).then_some(Doubt {
            evidence: WarmupEvidence::ZoneRestored,
            until,
        })
    }

    /// Returns the time since this proxy learned that the zone's evacuation had ended, if it did.
    pub fn restored_ms(&self, zone: &str, now: Ms) -> Option<Ms> {
        let restored_at = self.restored_at.get(zone)?;
        Some(now.saturating_sub(*restored_at))
    }

    /// Returns the time since the current record of a service was received, if there is one.
    pub fn record_age_ms(&self, service: &str, now: Ms) -> Option<Ms> {
        let received_at = self.record_received_at.get(service)?;
        Some(now.saturating_sub(*received_at))
    }
}
