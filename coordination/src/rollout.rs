//! The rollout loop of one service: a reconciler that reads the desired and the reported state, computes the next
//! rollout record and orders only the difference. Its result depends only on its inputs and some timing state; state
//! that must outlive the lease is in the record.
//!
//! Two variants share the record and its phases. If the product starts and loads replicas itself, the modules
//! `canary`, `shifting` and `unloading` implement the phases; if the platform places versions, `placed` does.

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

use alerts::StallDetector;
use groups::{is_in_progress, placed_replica};
use orders::OrderLimiter;
use placed::PlacementState;
use view::RolloutView;

/// Time that a new lease holder waits for the reports of all replicas, in ms; some may be unreachable.
const REPORT_COLLECTION_TIME: Ms = 2_000;
/// Minimum number of replicas that retire in one step; value from the source.
const MIN_STEP_REPLICAS: usize = 3;
/// Percentage of a service's replicas that retires in one step if that is more; value from the source.
const STEP_PERCENT: usize = 5;
/// Time added to the longest time limit for draining streams to end, in ms.
const DRAIN_MARGIN: Ms = 2_000;

/// In-memory state of one loop, lost with its lease; durable state is in the record.
#[derive(Clone, Debug, Default)]
pub struct RolloutLoop {
    /// Request counts of the service's versions, reported by edges. Kept when the lease is lost.
    pub health: VersionHealth,
    /// Whether every replica has reported or its wait has timed out, so that decisions rest on complete inputs.
    pub has_all_reports: bool,
    /// A version judged bad since this field was last taken.
    pub bad_version: Option<String>,
    lease_since: Ms,
    phase_since: Ms,
    /// When the canary and its baseline both began to receive requests.
    canary_since: Option<Ms>,
    /// When each replica's new version was first reported as ready.
    ready_since: BTreeMap<String, Ms>,
    /// When each retiring replica began to retire.
    retiring_since: BTreeMap<String, Ms>,
    stall_detector: StallDetector,
    orders: OrderLimiter,
    placed: PlacementState,
}

/// The outcome of one pass of the loop.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStep {
    /// The next record, to be written if it differs from the previous one.
    pub record: RolloutRecord,
    /// Orders to send once the record is committed.
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

/// Returns the first record of a service.
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
    /// Creates a loop whose lease begins at `now`.
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
            stall_detector: StallDetector::new(now),
            ..RolloutLoop::default()
        }
    }

    /// Resets all timing when the lease is lost, and keeps the health counts.
    pub fn on_lease_lost(&mut self, now: Ms) {
        *self = RolloutLoop {
            health: std::mem::take(&mut self.health),
            placed: self.placed.without_lease(),
            ..RolloutLoop::with_lease_since(now)
        };
    }

    /// Runs one pass of the loop.
    pub fn step(&mut self, previous: &RolloutRecord, inputs: &RolloutInputs) -> RolloutStep {
        self.health.tick(inputs.now);
        match inputs.service.mode {
            ServiceMode::Ignore => RolloutStep::without_orders(previous.clone()),
            ServiceMode::Placed => self.step_placed(previous, inputs),
            _ => self.step_managed(previous, inputs),
        }
    }

    /// Runs one pass for a service whose replicas the product starts and loads itself.
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
        // Read-only mode computes everything and applies nothing.
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

    /// Whether some replicas may not have reported yet only because the lease is new; acting now would treat them as
    /// lost.
    fn awaits_reports(&self, view: &RolloutView) -> bool {
        view.inputs.now.saturating_sub(self.lease_since) < REPORT_COLLECTION_TIME
            && view
                .usable
                .iter()
                .any(|replica| view.report(&replica.id).is_none())
    }

    /// Removes the share of a bad version at once: the edges' counts arrive before the replicas' reports.
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

    /// Starts a new plan, or reverts the rollout of a replaced one.
    fn adopt_plan(&mut self, record: &mut RolloutRecord, plan: Option<VersionedPlan>, now: Ms) {
        let is_same_target =
            plan.is_some_and(|plan| Some(&plan.plan.target) == record.target.as_ref());
        // Another plan was accepted for this service: the rollout of the replaced one is reverted first.
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
        // The counts of the canary phase still apply while the version shifts and bakes.
        if !matches!(phase, RolloutPhase::Shifting | RolloutPhase::Baking) {
            self.health.restart(now);
        }
    }

    /// Reverts at once if the target is worse than the stable version. Returns whether the caller must stop: after a
    /// revert, and without a target.
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
