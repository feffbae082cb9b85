//! What the platform and the replicas tell.

use super::*;

/// ms. A list of replicas that has not changed for so long is calm: nothing is being placed, drained or taken away.
const LIST_STABLE_AFTER: Ms = 5_000;

/// What one of `voters` may call for a second so that all who may hold one of `duties`, or held it last, stay within
/// `rate` in any second: each may have one call in hand besides.
pub fn call_rate_share(rate: f64, voters: usize, duties: usize) -> f64 {
    let part = rate / voters.min(2 * duties).max(1) as f64;
    // Below two calls a second the one in hand is half of it.
    (part - 1.0).max(part / 2.0)
}

impl Control {
    /// `asked`: when the platform was asked for it; an answer that was overtaken is dropped.
    pub fn on_replica_list(&mut self, l: PlatformList, asked: Ms) {
        if self.list_requested_at > asked {
            return;
        }
        self.list_requested_at = asked;
        self.reports
            .retain(|id, _| l.replicas.iter().any(|r| r.id == *id));
        if self.replica_list.as_ref() != Some(&l) {
            self.list_changed_at = asked;
        }
        self.replica_list = Some(l);
    }

    /// Whether the list has not changed for a while, so that it may be asked for less often.
    pub fn is_list_stable(&self, now: Ms) -> bool {
        self.replica_list.is_some() && now.saturating_sub(self.list_changed_at) > LIST_STABLE_AFTER
    }

    pub fn on_report(&mut self, r: ReplicaReport, now: Ms) {
        self.reports.insert(r.replica.clone(), (r, now));
    }

    /// Replicas to ask for their reports: id and address.
    pub fn replicas_to_poll(&self) -> Vec<(String, String)> {
        let Some(l) = &self.replica_list else {
            return vec![];
        };
        let placed = |r: &PlatformReplica| {
            let services = self.spec.iter().flat_map(|s| &s.services);
            services
                .into_iter()
                .any(|s| s.name == r.service && s.mode == ServiceMode::Placed)
        };
        // The list tells all of a replica that the platform placed.
        l.replicas
            .iter()
            .filter(|r| !placed(r))
            .map(|r| (r.id.clone(), r.addr.clone()))
            .collect()
    }

    /// Whether any duty is held here, so that back ends need asking.
    pub fn holds_any_role(&self, now: Ms) -> bool {
        self.state_table.entries().any(|c| {
            c.key.starts_with(ROLLOUT_PREFIX) && self.registers.held_until(&c.key, now).is_some()
        }) || self.spec.as_ref().is_some_and(|s| {
            s.services.iter().any(|v| {
                self.registers
                    .held_until(&format!("{ROLLOUT_PREFIX}{}", v.name), now)
                    .is_some()
            })
        })
    }

    /// This daemon's part of what may be called for a second by all: the holder of each duty calls, a former one may
    /// not have noticed yet that another holds it, and no more daemons hold duties than there are voters.
    pub fn call_rate_share(&self, rate: f64) -> f64 {
        let duties = self.spec.as_ref().map_or(1, |s| s.services.len().max(1));
        call_rate_share(rate, self.registers.members.voters.len(), duties)
    }

    /// Whether the platform has this replica, as far as this daemon or the records tell.
    pub fn knows_replica(&self, id: &str) -> bool {
        let listed = self
            .replica_list
            .as_ref()
            .is_some_and(|l| l.replicas.iter().any(|r| r.id == id));
        let mut rows = self
            .state_table
            .with_prefix(ROLLOUT_PREFIX)
            .filter_map(|(_, c)| compressed::decode::<RolloutRecord>(&c.value.0));
        listed || rows.any(|r| r.replicas.iter().any(|p| p.id == id))
    }
}
