//! The rollout loop of a service whose versions the platform places: the platform starts new replicas next to old ones
//! and stops replicas; the loop moves shares and withdraws replicas. It reads the platform's list instead of replica
//! reports, and sends no orders, as daemons cannot load or unload weights here.

use std::collections::BTreeSet;

use remote_calls::{
    GroupRecord, PlacedReplica, PlatformReplica, PlatformReplicaState, RolloutPhase, RolloutRecord,
};

use super::{
    RolloutInputs, RolloutLoop, RolloutStep,
    groups::{is_in_progress, placed_replica},
};

mod adoption;
mod alerts;
mod baking;
mod canary;
mod reverting;
mod shifting;
mod sides;
mod state;
mod steady;
mod withdrawal;

pub(super) use state::PlacementState;

use sides::Sides;

impl RolloutLoop {
    /// Runs one pass and returns the next record.
    pub(super) fn step_placed(
        &mut self,
        previous: &RolloutRecord,
        inputs: &RolloutInputs,
    ) -> RolloutStep {
        self.observe_plan(inputs.plan, inputs.now, inputs.wall_clock_s);
        // A list from before the lease was acquired may be older than the one behind the last holder's record.
        if inputs.list_requested_at < self.lease_since {
            return RolloutStep::without_orders(previous.clone());
        }
        // The list is the only input that this loop waits for.
        self.has_all_reports = true;
        let listed: Vec<&PlatformReplica> = inputs
            .replica_list
            .iter()
            .filter(|replica| replica.service == inputs.service.name)
            .collect();
        self.placed
            .observe_list(&listed, previous, inputs, self.lease_since);
        let mut record = previous.clone();
        record.alerts.clear();
        let retired = self.retired_groups(&record, &listed, inputs);
        let usable = usable_replicas(listed, &retired, inputs);
        self.adopt_placed_plan(&mut record, previous, &usable, &retired, inputs);
        let sides = self.split_sides(&record, previous, usable, inputs);
        match record.phase {
            RolloutPhase::Steady | RolloutPhase::Unloading => {
                self.step_placed_steady(&mut record, &sides, retired.is_empty());
            }
            RolloutPhase::Canary => self.step_placed_canary(&mut record, &sides),
            RolloutPhase::Shifting => self.step_placed_shifting(&mut record, &sides),
            RolloutPhase::Baking => self.step_placed_baking(&mut record, &sides),
            RolloutPhase::Reverting => self.step_placed_reverting(&mut record, &sides),
        }
        record.replicas = record_replicas(&sides);
        record.groups.extend(retired);
        self.raise_placed_alerts(&mut record, &sides);
        RolloutStep::without_orders(record)
    }

    /// Returns usable replicas that were first listed less than the engine's warm-up time ago, or that the platform
    /// reports as warming up.
    fn warming_up_replicas<'a>(
        &self,
        usable: &[&'a PlatformReplica],
        inputs: &RolloutInputs,
    ) -> BTreeSet<&'a str> {
        let engine = inputs.service.engine.as_ref();
        let warmup_time = engine.map_or(0, |engine| engine.cold_ms);
        usable
            .iter()
            .filter(|replica| self.placed.is_warming_up(replica, warmup_time, inputs.now))
            .map(|replica| replica.id.as_str())
            .collect()
    }

    /// Assigns the usable replicas to the sides. Replicas of a pending plan are on neither.
    fn split_sides<'a>(
        &self,
        record: &RolloutRecord,
        previous: &'a RolloutRecord,
        usable: Vec<&'a PlatformReplica>,
        inputs: &'a RolloutInputs<'a>,
    ) -> Sides<'a> {
        let warming_up = self.warming_up_replicas(&usable, inputs);
        let target = record.target.clone().unwrap_or_default();
        // A plan's target is a candidate until the plan is completed, also before its adoption and after its failure.
        let pending_plan = inputs.plan.filter(|plan| {
            !is_in_progress(record.phase)
                && (plan.version != record.plan_version || plan.version == record.failed_plan)
        });
        let is_candidate = |replica: &&PlatformReplica| {
            (record.target.is_some() && replica.version == target)
                || pending_plan.is_some_and(|pending| {
                    replica.version == pending.plan.target && replica.version != record.stable
                })
        };
        let (candidates, old): (Vec<_>, Vec<_>) = usable.into_iter().partition(is_candidate);
        let new = candidates
            .into_iter()
            .filter(|replica| replica.version == target)
            .collect();
        let oldest_seen_record = if record.phase == RolloutPhase::Steady {
            0
        } else {
            (inputs.oldest_seen_record)()
        };
        Sides {
            inputs,
            previous,
            target,
            new,
            old,
            warming_up,
            oldest_seen_record,
        }
    }
}

/// Returns running replicas that are not about to stop and belong to no retired version.
fn usable_replicas<'a>(
    listed: Vec<&'a PlatformReplica>,
    retired: &[GroupRecord],
    inputs: &RolloutInputs,
) -> Vec<&'a PlatformReplica> {
    let is_retired = |id: &String| retired.iter().any(|group| group.replicas.contains(id));
    listed
        .into_iter()
        .filter(|replica| {
            replica.state == PlatformReplicaState::Running
                && replica.left_ms == 0
                && !inputs.draining.contains(&replica.id)
                && !is_retired(&replica.id)
        })
        .collect()
}

/// Returns both sides' replicas for the record, sorted by id so that a mere change of side does not change the list.
fn record_replicas(sides: &Sides) -> Vec<PlacedReplica> {
    let mut replicas: Vec<PlacedReplica> = sides
        .old
        .iter()
        .chain(&sides.new)
        .map(|replica| PlacedReplica {
            cold: sides.is_warming_up(&replica.id),
            ..placed_replica(replica)
        })
        .collect();
    replicas.sort_by(|a, b| a.id.cmp(&b.id));
    replicas
}
