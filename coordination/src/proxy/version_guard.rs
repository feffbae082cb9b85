//! Caps versions as soon as this proxy's own counts show failures, before the control plane reacts.

use std::collections::BTreeMap;

use wire_messages::{Name, OutcomeCounters};

use crate::{
    Ms,
    version_health::{Verdict, VersionHealth},
};

/// Time without failures after which a version is no longer capped.
const CAP_DURATION: Ms = 15_000;

/// Recent outcomes of one version, lane and cache state.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentOutcomes {
    pub ended: u64,
    pub failed: u64,
    pub slow: u64,
}

/// Health of versions according to this proxy's own counts, and the versions that it caps.
#[derive(Default)]
pub(super) struct VersionGuard {
    health_by_service: BTreeMap<String, VersionHealth>,
    capped_until: BTreeMap<String, Ms>,
}

/// A version to judge, and what the verdict depends on.
pub(super) struct JudgedVersion<'a> {
    pub service: &'a str,
    pub version: &'a str,
    pub stable: &'a str,
    /// Whether the platform places versions: few replicas run the new one, and a crash of one is not attributed to the
    /// version.
    pub is_placed: bool,
}

impl VersionGuard {
    /// Returns whether a version gets no requests because it failed here.
    pub fn is_capped(&self, version: &str, now: Ms) -> bool {
        self.capped_until
            .get(version)
            .is_some_and(|until| *until > now)
    }

    /// Returns the recent outcomes of a cell across all groups.
    pub fn recent(
        &self,
        service: &str,
        version: &str,
        lane: &str,
        cached: bool,
        now: Ms,
    ) -> RecentOutcomes {
        let Some(health) = self.health_by_service.get(service) else {
            return RecentOutcomes::default();
        };
        let counts = health.recent(version, lane, cached, now);
        RecentOutcomes {
            ended: counts.ended,
            failed: counts.failed,
            slow: counts.slow,
        }
    }

    /// Adds changed counters of a service to its version health.
    pub fn add_counters(
        &mut self,
        service: &str,
        source: &Name,
        incarnation: u64,
        counters: &[OutcomeCounters],
        now: Ms,
    ) {
        let health = self
            .health_by_service
            .entry(service.into())
            .or_insert_with(|| {
                // An empty first report sets the base to zero, so that all of this proxy's own counts are added.
                let mut health = VersionHealth::default();
                health.add_counters(source, incarnation, &[]);
                health
            });
        health.add_counters(source, incarnation, counters);
        health.tick(now);
    }

    /// Judges a version and caps it if it fails. Returns whether it was not capped before.
    pub fn judge(&mut self, judged: &JudgedVersion, now: Ms) -> bool {
        let Some(health) = self.health_by_service.get(judged.service) else {
            return false;
        };
        let verdict = if judged.is_placed {
            health.judge_placed(judged.version, None, now)
        } else {
            health.judge(judged.version, judged.stable, now)
        };
        if verdict == Verdict::Fine {
            return false;
        }
        let previous = self
            .capped_until
            .insert(judged.version.into(), now + CAP_DURATION);
        previous.is_none_or(|until| until <= now)
    }
}
