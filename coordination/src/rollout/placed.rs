//! The loop of a service whose versions the platform places: it starts new replicas beside old ones and stops
//! them, this loop moves shares and withdraws replicas. The platform's list is all it reads of replicas.

use super::*;

/// What the loop remembers of the platform's replicas, lost with its duty.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    /// Since when each listed replica has been on the list without a break; nought if ever since the day began.
    came: BTreeMap<String, Ms>,
}

impl Memory {
    /// Notes who came and who went. A replica that went dark and came back begins anew: what it kept is gone.
    fn note(&mut self, listed: &[&PlatformReplica], old: &RolloutRecord, now: Ms) {
        let first = self.came.is_empty();
        let came = |p: &PlatformReplica| {
            let known = old.replicas.iter().find(|o| o.id == p.id);
            // A new holder takes the record's word for who is warm; with no record yet, the platform's.
            match (first, known) {
                (true, Some(o)) if !o.cold => 0,
                (true, None) if old.replicas.is_empty() => 0,
                _ => now,
            }
        };
        self.came = listed.iter().map(|p| (p.id.clone(), self.came.get(&p.id).copied().unwrap_or_else(|| came(p)))).collect();
    }
    fn cold(&self, p: &PlatformReplica, cold_ms: Ms, now: Ms) -> bool {
        let came = self.came.get(&p.id).copied().unwrap_or(now);
        p.cold_ms > 0 || came > 0 && now.saturating_sub(came) < cold_ms
    }
}

impl Loop {
    /// One pass: the next record. There are no orders, as daemons cannot load or unload here.
    pub(super) fn placed(&mut self, old: &RolloutRecord, i: &Inputs) -> Step {
        let now = i.now;
        // A list from before the duty was held may be older than the one the last holder wrote by.
        if i.listed < self.held_at {
            return (old.clone(), vec![]);
        }
        // The list alone tells all there is to hear.
        self.heard = true;
        let mine: Vec<&PlatformReplica> = i.platform.iter().filter(|p| p.service == i.service.name).collect();
        self.placed.note(&mine, old, now);
        let stays =
            |p: &&PlatformReplica| p.state == PlatformReplicaState::Running && p.left_ms == 0 && !i.leaving.contains(&p.id);
        let up: Vec<&PlatformReplica> = mine.into_iter().filter(stays).collect();
        let cold_ms = i.service.engine.as_ref().map_or(0, |e| e.cold_ms);
        let mut r = old.clone();
        r.replicas = up.iter().map(|p| PlacedReplica { cold: self.placed.cold(p, cold_ms, now), ..told(p) }).collect();
        // Releases of the platform's own replace replicas one by one, so versions may differ without any plan.
        r.groups = vec![group(GroupRole::Stable, &r.stable, 100, up.iter().map(|p| p.id.clone()).collect())];
        (r, vec![])
    }
}
