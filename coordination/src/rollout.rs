//! The rollout loop of one service: a reconciler that reads what is desired and what is reported, computes the next
//! rollout record and orders only the difference. It is a function of its inputs and a little memory of timing;
//! whatever must outlive the lease is in the record.
//!
//! Two variants share the record and its phases. Where the product starts and loads replicas itself, the phases
//! `canary`, `shifting` and `unloading` below apply; where the platform places versions, `placed` does.

use std::collections::BTreeMap;

use remote_calls::{RolloutPhase, RolloutRecord, ServiceMode, ServiceSpec};

use crate::{
    Ms,
    version_health::{Verdict, VersionHealth},
};

mod alerts;
mod canary;
mod exposure;
mod forecast;
mod groups;
mod inputs;
mod orders;
mod placed;
mod reconciliation;
mod shifting;
mod unloading;
mod view;

pub use groups::group_replicas;
pub use inputs::{RolloutInputs, VersionedPlan};
pub use orders::Order;

use alerts::ProgressWatch;
use groups::{is_in_progress, placed_replica};
use orders::OrderLimiter;
use placed::PlacementState;
use view::RolloutView;

/// ms. A new lease holder waits so long for the reports of all replicas; some may be unreachable.
const REPORT_COLLECTION_TIME: Ms = 2_000;
/// Replicas that retire in one step, at least; the source's value.
const MIN_STEP_REPLICAS: usize = 3;
/// Percent of a service that retires in one step when that is more; the source's value.
const STEP_PERCENT: usize = 5;
/// ms. Streams that are draining may end for this long after the longest time limit.
const DRAIN_MARGIN: Ms = 2_000;

/// Memory of one loop, lost with its lease; everything that must last is in the record.
#[derive(Clone, Debug, Default)]
pub struct RolloutLoop {
    /// What edges counted of the service's versions. Kept when the lease is lost.
    pub health: VersionHealth,
    /// Every replica reported or was given up: decisions of this loop rest on complete inputs.
    pub has_all_reports: bool,
    /// A version that was judged bad since this was last taken.
    pub bad_version: Option<String>,
    lease_since: Ms,
    phase_since: Ms,
    /// Since when a canary and its baseline both get requests.
    canary_since: Option<Ms>,
    /// When each replica's new version was first seen ready.
    ready_since: BTreeMap<String, Ms>,
    /// When each retiring replica's retirement began.
    retiring_since: BTreeMap<String, Ms>,
    progress: ProgressWatch,
    orders: OrderLimiter,
    placed: PlacementState,
}

/// The outcome of one pass of the loop.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStep {
    /// The record to write, where it differs from the one that was read.
    pub record: RolloutRecord,
    /// What to order once the record is committed.
    pub orders: Vec<Order>,
}

impl RolloutStep {
    fn without_orders(record: RolloutRecord) -> Self {
        RolloutStep {
            record,
            orders: vec![],
        }
    }
}

/// The record of a service that has none yet.
pub fn initial_record(service: &ServiceSpec) -> RolloutRecord {
    RolloutRecord {
        service: service.name.clone(),
        phase: RolloutPhase::Steady,
        stable: service.version.clone(),
        target: None,
        plan_version: 0,
        failed_plan: 0,
        since_ms: 0,
        forecast: 0,
        groups: vec![],
        replicas: vec![],
        retiring: vec![],
        alerts: vec![],
    }
}

impl RolloutLoop {
    /// A loop whose lease begins at `now`.
    pub fn new(now: Ms) -> Self {
        let mut health = VersionHealth::default();
        health.restart(now);
        RolloutLoop {
            health,
            ..RolloutLoop::with_lease_since(now)
        }
    }

    fn with_lease_since(now: Ms) -> Self {
        RolloutLoop {
            lease_since: now,
            phase_since: now,
            progress: ProgressWatch::new(now),
            ..RolloutLoop::default()
        }
    }

    /// The lease is not held here: all timing is forgotten, the evidence is kept.
    pub fn on_lease_lost(&mut self, now: Ms) {
        *self = RolloutLoop {
            health: std::mem::take(&mut self.health),
            placed: self.placed.without_lease(),
            ..RolloutLoop::with_lease_since(now)
        };
    }

    /// One pass of the loop.
    pub fn step(&mut self, previous: &RolloutRecord, inputs: &RolloutInputs) -> RolloutStep {
        self.health.tick(inputs.now);
        match inputs.service.mode {
            ServiceMode::Ignore => RolloutStep::without_orders(previous.clone()),
            ServiceMode::Placed => self.step_placed(previous, inputs),
            _ => self.step_managed(previous, inputs),
        }
    }

    /// One pass where the product starts and loads replicas itself.
    fn step_managed(&mut self, previous: &RolloutRecord, inputs: &RolloutInputs) -> RolloutStep {
        let view = RolloutView::new(inputs);
        let mut record = previous.clone();
        if self.awaits_reports(&view) {
            self.revert_before_reports(&mut record, inputs.now);
            return RolloutStep::without_orders(record);
        }
        self.has_all_reports = true;
        record.replicas = view
            .usable
            .iter()
            .map(|replica| placed_replica(replica))
            .collect();
        record.alerts.clear();

        let plan = inputs
            .plan
            .filter(|plan| plan.version != record.failed_plan && plan.plan.target != record.stable);
        self.adopt_plan(&mut record, plan, inputs.now);
        let mut orders = Vec::new();
        self.step_phase(&mut record, &view, &mut orders);
        self.reconcile_replicas(&record, &view, &mut orders);
        self.update_forecast(&mut record, &view);
        self.raise_alerts(&mut record, plan, &view);
        // Read only: everything is computed and nothing is done.
        if inputs.service.mode == ServiceMode::ReadOnly {
            return RolloutStep::without_orders(previous.clone());
        }
        RolloutStep { record, orders }
    }

    fn step_phase(
        &mut self,
        record: &mut RolloutRecord,
        view: &RolloutView,
        orders: &mut Vec<Order>,
    ) {
        match record.phase {
            RolloutPhase::Steady => view.assign_all_to_stable(record),
            RolloutPhase::Canary => self.step_canary(record, view, orders),
            RolloutPhase::Shifting => self.step_shifting(record, view, orders),
            RolloutPhase::Baking => self.step_baking(record, view),
            RolloutPhase::Unloading | RolloutPhase::Reverting => {
                self.step_unloading(record, view, orders);
            }
        }
    }

    /// Whether replicas may not have reported yet only because the lease is new: a holder that acted now would take
    /// those for lost.
    fn awaits_reports(&self, view: &RolloutView) -> bool {
        view.inputs.now.saturating_sub(self.lease_since) < REPORT_COLLECTION_TIME
            && view
                .usable
                .iter()
                .any(|replica| view.report(&replica.id).is_none())
    }

    /// Takes the share from a bad version at once. What the edges counted is known before replicas report.
    fn revert_before_reports(&mut self, record: &mut RolloutRecord, now: Ms) {
        if !is_in_progress(record.phase) || !self.reverts_bad_target(record, now) {
            return;
        }
        for group in &mut record.groups {
            if group.version != record.stable {
                group.share_percent = 0;
            }
        }
    }

    /// Begins a new plan, or reverts what a replaced one began.
    fn adopt_plan(&mut self, record: &mut RolloutRecord, plan: Option<VersionedPlan>, now: Ms) {
        let is_same_target =
            plan.is_some_and(|plan| Some(&plan.plan.target) == record.target.as_ref());
        // Two plans for one service: the accepted one is current, and what the other began is reverted first.
        if is_in_progress(record.phase) && !is_same_target {
            return self.enter_phase(record, RolloutPhase::Reverting, now);
        }
        if let (RolloutPhase::Steady, Some(VersionedPlan { version, plan })) = (record.phase, plan)
        {
            record.target = Some(plan.target.clone());
            record.plan_version = version;
            self.enter_phase(record, RolloutPhase::Canary, now);
        }
    }

    fn enter_phase(&mut self, record: &mut RolloutRecord, phase: RolloutPhase, now: Ms) {
        record.phase = phase;
        self.phase_since = now;
        self.canary_since = None;
        self.ready_since.clear();
        self.retiring_since.clear();
        // What the canary showed still counts while the version shifts and bakes.
        if !matches!(phase, RolloutPhase::Shifting | RolloutPhase::Baking) {
            self.health.restart(now);
        }
    }

    /// Reverts at once if the target is worse than the stable version; whether it did. Without a target there is
    /// nothing to go on with either.
    fn reverts_bad_target(&mut self, record: &mut RolloutRecord, now: Ms) -> bool {
        let Some(target) = record.target.clone() else {
            return true;
        };
        if self
            .health
            .judge_since_restart(&target, &record.stable, now)
            == Verdict::Healthy
        {
            return false;
        }
        self.bad_version = Some(target);
        record.failed_plan = record.plan_version;
        self.enter_phase(record, RolloutPhase::Reverting, now);
        true
    }
}

#[cfg(test)]
mod tests;
