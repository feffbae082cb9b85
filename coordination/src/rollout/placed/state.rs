//! What the loop remembers of the platform's replicas.

use std::collections::BTreeMap;

use remote_calls::{PlatformReplica, RolloutRecord};

use super::{
    super::{RolloutInputs, exposure::AcceptedPlan},
    Sides,
};
use crate::Ms;

/// ms. A withdrawn replica is drained when no edge had a stream there for so long: a poll, a greeting and the
/// network latency.
const DRAINED_AFTER: Ms = 700;

/// The drain of a replica that has no share any more.
#[derive(Clone, Copy, Debug)]
struct ReplicaDrain {
    /// When it last had a stream, or may have had one that edges had not reported.
    last_stream_at: Ms,
    /// Version of the record that withdrew it.
    withdrawn_in: u64,
}

/// What the loop remembers of the platform's replicas, lost with its lease.
#[derive(Clone, Debug, Default)]
pub(in crate::rollout) struct PlacementState {
    /// The newest plan, as this daemon came to know it; kept when the lease is lost.
    pub(super) accepted_plan: Option<AcceptedPlan>,
    /// Plans have been followed here before, so the next one is as new as it looks; kept when the lease is lost.
    pub(super) has_observed_plans: bool,
    /// When the target's share last changed.
    pub(super) share_changed_at: Ms,
    /// Version of the record that last moved the share.
    pub(super) share_changed_in: u64,
    /// Since when the canary is as warm as the baseline, so that response times compare.
    pub(super) comparable_since: Option<Ms>,
    /// Since when nothing but doubt keeps the target from being completed.
    pub(super) completable_since: Option<Ms>,
    /// When the flag that allows the old versions' unload was first seen committed.
    pub(super) unload_allowed_since: Option<Ms>,
    /// Since when each listed replica has been on the list without a break; 0 if it was before the lease began.
    listed_since: BTreeMap<String, Ms>,
    drains: BTreeMap<String, ReplicaDrain>,
}

impl PlacementState {
    /// What is kept when the lease is lost: the plan, whose deadline and counts no other can tell.
    pub(in crate::rollout) fn without_lease(&mut self) -> PlacementState {
        PlacementState {
            accepted_plan: self.accepted_plan.take(),
            has_observed_plans: self.has_observed_plans,
            ..PlacementState::default()
        }
    }

    /// Takes note of who came and who went. A replica that was unreachable and came back begins anew: what it had
    /// cached is gone.
    pub(super) fn observe_list(
        &mut self,
        listed: &[&PlatformReplica],
        previous: &RolloutRecord,
        inputs: &RolloutInputs,
        lease_since: Ms,
    ) {
        let is_first_list = self.listed_since.is_empty();
        if is_first_list {
            // The record does not tell when the last step began: for a new holder it began with the lease.
            self.share_changed_in = inputs.record_version;
            self.share_changed_at = lease_since;
        }
        let since = |replica: &PlatformReplica| {
            let recorded = previous.replicas.iter().find(|old| old.id == replica.id);
            // A new holder takes the record's word for who is warm; with no record yet, the platform's.
            match recorded {
                Some(old) if is_first_list && !old.cold => 0,
                None if is_first_list && previous.replicas.is_empty() => 0,
                _ => inputs.now,
            }
        };
        self.listed_since = listed
            .iter()
            .map(|replica| {
                let known = self.listed_since.get(&replica.id).copied();
                (replica.id.clone(), known.unwrap_or_else(|| since(replica)))
            })
            .collect();
    }

    /// Whether a replica is warming up, by the platform's word or because it came less than `warmup_time` ago.
    pub(super) fn is_warming_up(
        &self,
        replica: &PlatformReplica,
        warmup_time: Ms,
        now: Ms,
    ) -> bool {
        let since = self.listed_since.get(&replica.id).copied().unwrap_or(now);
        replica.cold_ms > 0 || since > 0 && now.saturating_sub(since) < warmup_time
    }

    /// Whether a replica without a share has had no stream for long enough, as far as edges report.
    pub(super) fn is_drained(&mut self, id: &str, sides: &Sides) -> bool {
        let now = sides.inputs.now;
        let drain = self.drains.entry(id.into()).or_insert(ReplicaDrain {
            last_stream_at: now,
            withdrawn_in: self.share_changed_in,
        });
        // An edge that has not seen the withdrawal yet may still begin a stream there.
        if sides.oldest_seen_record < drain.withdrawn_in || sides.open_streams(id) > 0 {
            drain.last_stream_at = now;
        }
        now.saturating_sub(drain.last_stream_at) >= DRAINED_AFTER
    }

    /// A replica's drain begins, or begins anew, with the record of this version.
    pub(super) fn begin_drain(&mut self, id: &str, withdrawn_in: u64, now: Ms) {
        let drain = ReplicaDrain {
            last_stream_at: now,
            withdrawn_in,
        };
        self.drains.insert(id.into(), drain);
    }

    /// Forgets the drains of a former rollout.
    pub(super) fn forget_drains(&mut self) {
        self.drains.clear();
    }

    /// This daemon's time by which the newest plan is to be completed; 0 without one.
    pub(super) fn deadline(&self) -> Ms {
        self.accepted_plan.as_ref().map_or(0, |plan| plan.deadline)
    }
}
