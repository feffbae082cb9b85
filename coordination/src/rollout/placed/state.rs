//! In-memory state of the loop about plans and the platform's replicas.

use std::collections::BTreeMap;

use remote_calls::{PlatformReplica, RolloutRecord};

use super::{
    super::{RolloutInputs, exposure::AcceptedPlan},
    Sides,
};
use crate::Ms;

/// Time without a stream from any edge after which a withdrawn replica is drained, in ms: a poll, a proxy's report and
/// the network latency.
const DRAINED_AFTER: Ms = 700;

/// Drain state of a replica that no longer has a share.
#[derive(Clone, Copy, Debug)]
struct ReplicaDrain {
    /// When the replica last had a stream, or may have had one that edges had not reported.
    last_stream_at: Ms,
    /// Version of the record that withdrew the replica.
    withdrawn_in: u64,
}

/// In-memory state about plans and the platform's replicas, mostly lost with the lease.
#[derive(Clone, Debug, Default)]
pub(in crate::rollout) struct PlacementState {
    /// The newest plan as observed by this daemon; kept when the lease is lost.
    pub(super) accepted_plan: Option<AcceptedPlan>,
    /// Whether plans were observed before, so that the next change is a fresh plan; kept when the lease is lost.
    pub(super) has_observed_plans: bool,
    /// When the target's share last changed.
    pub(super) share_changed_at: Ms,
    /// Version of the record that last moved the share.
    pub(super) share_changed_in: u64,
    /// When the canary had warmed up like the baseline, so that response times are comparable.
    pub(super) comparable_since: Option<Ms>,
    /// Since when only recent failures may delay the target's completion.
    pub(super) completable_since: Option<Ms>,
    /// When the flag that allows the old versions' unload was first seen committed.
    pub(super) unload_allowed_since: Option<Ms>,
    /// Since when each listed replica has been on the list without interruption; 0 if since before the lease began.
    listed_since: BTreeMap<String, Ms>,
    drains: BTreeMap<String, ReplicaDrain>,
}

impl PlacementState {
    /// Returns the state that is kept when the lease is lost: the plan, whose deadline and counts only this daemon has.
    pub(in crate::rollout) fn without_lease(&mut self) -> PlacementState {
        PlacementState {
            accepted_plan: self.accepted_plan.take(),
            has_observed_plans: self.has_observed_plans,
            ..PlacementState::default()
        }
    }

    /// Records which replicas were added and removed. A replica that was unreachable and is listed again warms up
    /// again: its cache is lost.
    pub(super) fn observe_list(
        &mut self,
        listed: &[&PlatformReplica],
        previous: &RolloutRecord,
        inputs: &RolloutInputs,
        lease_since: Ms,
    ) {
        let is_first_list = self.listed_since.is_empty();
        if is_first_list {
            // The record does not contain the start of the last step: for a new holder it is the start of the lease.
            self.share_changed_in = inputs.record_version;
            self.share_changed_at = lease_since;
        }
        let since = |replica: &PlatformReplica| {
            let recorded = previous.replicas.iter().find(|old| old.id == replica.id);
            // A new holder reads from the record which replicas are warmed up; without a record, from the platform.
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

    /// Whether a replica is warming up, as reported by the platform or because it was first listed less than
    /// `warmup_time` ago.
    pub(super) fn is_warming_up(
        &self,
        replica: &PlatformReplica,
        warmup_time: Ms,
        now: Ms,
    ) -> bool {
        let since = self.listed_since.get(&replica.id).copied().unwrap_or(now);
        replica.cold_ms > 0 || since > 0 && now.saturating_sub(since) < warmup_time
    }

    /// Whether a replica without a share has had no stream for long enough, according to the edges' reports.
    pub(super) fn is_drained(&mut self, id: &str, sides: &Sides) -> bool {
        let now = sides.inputs.now;
        let drain = self.drains.entry(id.into()).or_insert(ReplicaDrain {
            last_stream_at: now,
            withdrawn_in: self.share_changed_in,
        });
        // An edge that has not seen the withdrawal yet may still open a stream on the replica.
        if sides.oldest_seen_record < drain.withdrawn_in || sides.open_streams(id) > 0 {
            drain.last_stream_at = now;
        }
        now.saturating_sub(drain.last_stream_at) >= DRAINED_AFTER
    }

    /// Starts or restarts a replica's drain with the record of this version.
    pub(super) fn begin_drain(&mut self, id: &str, withdrawn_in: u64, now: Ms) {
        let drain = ReplicaDrain {
            last_stream_at: now,
            withdrawn_in,
        };
        self.drains.insert(id.into(), drain);
    }

    /// Clears the drains of a former rollout.
    pub(super) fn clear_drains(&mut self) {
        self.drains.clear();
    }

    /// Returns the newest plan's deadline by this daemon's clock; 0 without a plan.
    pub(super) fn deadline(&self) -> Ms {
        self.accepted_plan.as_ref().map_or(0, |plan| plan.deadline)
    }
}
