//! What is counted of rounds, and the verdict on a version that follows from it.

use remote_calls::{GroupRole, RolloutRecord, ServiceMode, ServiceSpec};

use super::{Assignment, OutcomeClass, Proxy};
use crate::{
    Ms,
    version_health::{Verdict, VersionHealth, replica_bit},
};

/// ms. A version that was capped stays so until it has shown nothing for this long.
const SUSPECT_FOR: Ms = 15_000;

impl Proxy {
    pub(super) fn opens(&mut self, at: (String, String)) {
        self.change += 1;
        self.moved.insert(at.clone(), self.change);
        *self.open.entry(at).or_default() += 1;
    }

    /// Counts a round of a service towards its canary's share, or out of it.
    pub(super) fn share_out(&mut self, service: &str, role: GroupRole) {
        let canary = |r: &RolloutRecord| r.groups.iter().any(|g| g.role == GroupRole::Canary);
        let share = match self.records.get(service) {
            Some((.., r)) if canary(r) => self
                .leases
                .get(service)
                .map_or(0, |p| p.lease.canary_share_percent),
            _ => 0,
        };
        // Each request lets the canary have its percent of one; nothing is saved up beyond one, nor from before
        // there was a canary.
        let n = self.shares.entry(service.into()).or_default();
        *n = if share == 0 { 0 } else { (*n + share).min(100) };
        if role == GroupRole::Canary {
            *n = n.saturating_sub(100);
        }
    }

    pub(super) fn tally(&mut self, p: &Assignment, i: usize) {
        self.add(p, i, 1);
    }

    pub(super) fn add(&mut self, p: &Assignment, i: usize, n: u64) {
        let k = (
            p.service.clone(),
            p.version.clone(),
            p.lane.clone(),
            p.cached,
            p.role as u8,
        );
        self.change += 1;
        self.changed.insert(k.clone(), self.change);
        self.unjudged
            .entry(p.service.clone())
            .or_default()
            .insert(k.clone());
        self.tallies.entry(k).or_default()[i] += n;
    }

    /// A round ended. Gives the version that this proxy begins to cap, if it does.
    pub fn record_outcome(&mut self, p: &Assignment, e: OutcomeClass, now: Ms) -> Option<String> {
        let k = (p.replica.clone(), p.version.clone());
        if let Some(n) = self.open.get_mut(&k) {
            *n = n.saturating_sub(1);
            if *n == 0 {
                self.open.remove(&k);
            }
        }
        self.change += 1;
        self.moved.insert(k, self.change);
        if let Some(s) = self.seen.get_mut(&p.replica) {
            s.since = s.since.saturating_sub(1);
        }
        // What came by host and path has told its replica's row already.
        match e {
            OutcomeClass::Succeeded if p.attempt == 0 => self.placement.on_success(&p.replica),
            OutcomeClass::Failed if p.attempt == 0 => {
                self.placement
                    .suspect(&p.replica, now.saturating_sub(p.assigned_at), now)
            }
            _ => {}
        }
        match e {
            OutcomeClass::Succeeded => self.tally(p, 1),
            OutcomeClass::Slow => {
                self.tally(p, 1);
                self.tally(p, 3);
            }
            OutcomeClass::Failed => {
                self.tally(p, 2);
                let k = (
                    p.service.clone(),
                    p.version.clone(),
                    p.lane.clone(),
                    p.cached,
                    p.role as u8,
                );
                self.tallies.entry(k).or_default()[6] |= replica_bit(&p.replica);
            }
            OutcomeClass::ClientGone | OutcomeClass::NotRun => {}
        }
        // This proxy caps a version as soon as its own counts show failures; the control plane's cut follows.
        let stable = self.records.get(&p.service).map(|r| r.2.stable.clone())?;
        let unjudged = self.unjudged.remove(&p.service).unwrap_or_default();
        let rows = self.told(unjudged.iter(), now).0;
        let h = self.health.entry(p.service.clone()).or_insert_with(|| {
            // This proxy has counted everything itself: nothing came before.
            let mut h = VersionHealth::default();
            h.add_counters(&self.name, self.born, &[]);
            h
        });
        h.add_counters(&self.name, self.born, &rows);
        h.tick(now);
        if p.version == stable {
            return None;
        }
        // Where the platform places versions few replicas have the new one: one that crashes is no version's fault.
        let placed = |s: &ServiceSpec| s.name == p.service && s.mode == ServiceMode::Placed;
        let beside = self
            .spec
            .as_ref()
            .is_some_and(|s| s.services.iter().any(placed));
        let verdict = if beside {
            h.judge_placed(&p.version, None, now)
        } else {
            h.judge(&p.version, &stable, now)
        };
        if verdict == Verdict::Fine {
            return None;
        }
        let old = self.suspects.insert(p.version.clone(), now + SUSPECT_FOR);
        old.is_none_or(|t| t <= now).then(|| p.version.clone())
    }
}
