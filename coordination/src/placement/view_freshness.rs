//! How current this proxy's view of the replicas is: since when it hears the control plane without interruption, and
//! when operators restored zones.

use std::collections::BTreeMap;

use super::{WarmupEvidence, slow_start::WarmupSign};
use crate::Ms;

/// Contact with the control plane.
#[derive(Clone, Copy, Debug)]
struct Contact {
    since: Ms,
    /// When it ends unless it is renewed.
    until: Ms,
}

/// What this proxy may have missed about the replicas.
#[derive(Clone, Debug, Default)]
pub(super) struct ViewFreshness {
    /// The newest contact with the control plane, which may have ended; `None` until an agent has reported any.
    contact: Option<Contact>,
    /// When this proxy learned that the evacuation of a zone had ended, by zone.
    restored_at: BTreeMap<String, Ms>,
    /// When this proxy received the current record of a service.
    record_received_at: BTreeMap<String, Ms>,
}

impl ViewFreshness {
    /// Records contact with the control plane that lasts until `until`. Contact that had lapsed begins anew.
    pub fn renew_contact(&mut self, until: Ms, now: Ms) {
        let current = self.contact.filter(|contact| now < contact.until);
        let since = current.map_or(now, |contact| contact.since);
        self.contact = Some(Contact { since, until });
    }

    /// Records that contact with the control plane is lost.
    pub fn lose_contact(&mut self, now: Ms) {
        let contact = self.contact.get_or_insert(Contact {
            since: now,
            until: now,
        });
        contact.until = contact.until.min(now);
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
        let contact = self.contact.filter(|contact| now < contact.until)?;
        Some(now.saturating_sub(contact.since))
    }

    /// Returns whether no replica has to be assumed to be warming up. `warmup_time`: how long a replica stays cold.
    pub fn is_confirmed(&self, warmup_time: Ms, now: Ms) -> bool {
        self.without_contact(warmup_time, now).is_none()
            && self
                .restored_at
                .keys()
                .all(|zone| self.after_restoration(zone, warmup_time, now).is_none())
    }

    /// Returns the warm-up that has to be assumed of all replicas of a zone, if any. A replica that turned cold before the
    /// event in question is warm again one warm-up later.
    pub fn assumed_warmup(&self, zone: &str, warmup_time: Ms, now: Ms) -> Option<WarmupSign> {
        self.without_contact(warmup_time, now)
            .or_else(|| self.after_restoration(zone, warmup_time, now))
    }

    fn without_contact(&self, warmup_time: Ms, now: Ms) -> Option<WarmupSign> {
        let contact = self.contact?;
        let (since, until) = if now < contact.until {
            (contact.since, contact.since + warmup_time)
        } else {
            (contact.until, now + warmup_time)
        };
        (now < until).then_some(WarmupSign {
            evidence: WarmupEvidence::NoContact,
            since,
            until,
        })
    }

    fn after_restoration(&self, zone: &str, warmup_time: Ms, now: Ms) -> Option<WarmupSign> {
        let since = *self.restored_at.get(zone)?;
        let until = since + warmup_time;
        (now < until).then_some(WarmupSign {
            evidence: WarmupEvidence::ZoneRestored,
            since,
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
