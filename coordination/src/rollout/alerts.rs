//! Alerts of a rollout for its operators.

use remote_calls::{RolloutPhase, RolloutRecord};

use super::{RolloutLoop, RolloutView, VersionedPlan};
use crate::Ms;

/// ms. A loop step that has not moved for this long raises the stuck alert.
const STUCK_ALERT_AFTER: Ms = 60_000;

/// What changes while a rollout moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RolloutShape {
    pub(super) phase: RolloutPhase,
    pub(super) retiring: usize,
    /// How much the target has: replicas, or percent.
    pub(super) target: usize,
}

/// Notices when a rollout stops moving.
#[derive(Clone, Debug, Default)]
pub(super) struct ProgressWatch {
    shape: Option<RolloutShape>,
    progressed_at: Ms,
}

impl ProgressWatch {
    pub(super) fn new(now: Ms) -> Self {
        ProgressWatch {
            shape: None,
            progressed_at: now,
        }
    }

    /// Counts as progress whatever the shape is: the rollout waits for good reason.
    pub(super) fn touch(&mut self, now: Ms) {
        self.progressed_at = now;
    }

    /// Takes note of the shape; whether it has not moved for too long. `may_rest`: it need not move.
    pub(super) fn is_stuck(&mut self, shape: RolloutShape, may_rest: bool, now: Ms) -> bool {
        if self.shape != Some(shape) || may_rest {
            self.shape = Some(shape);
            self.progressed_at = now;
        }
        now.saturating_sub(self.progressed_at) > STUCK_ALERT_AFTER
    }
}

impl RolloutLoop {
    pub(super) fn raise_alerts(
        &mut self,
        record: &mut RolloutRecord,
        plan: Option<VersionedPlan>,
        view: &RolloutView,
    ) {
        let now = view.inputs.now;
        let shape = RolloutShape {
            phase: record.phase,
            retiring: record.retiring.len(),
            target: record.groups.last().map_or(0, |group| group.replicas.len()),
        };
        // A canary that waits for requests is not stuck; one that waits for its weights is.
        let may_rest = record.phase == RolloutPhase::Steady || self.canary_since.is_some();
        if self.progress.is_stuck(shape, may_rest, now) {
            record.alerts.push("stuck".into());
        }
        if plan.is_some_and(|plan| view.inputs.wall_clock_s > plan.plan.complete_by) {
            record.alerts.push("plan_late".into());
        } else if plan.is_some_and(|plan| record.forecast > plan.plan.complete_by) {
            // Before the time has passed, so that operators can still choose: no step is hurried for it.
            record.alerts.push("plan_at_risk".into());
        }
        self.raise_stable_fails(record, now);
        if has_stray_version(record, view) {
            record.alerts.push("unload_waits".into());
        }
        record.since_ms = 0;
    }

    /// Nothing is there to turn to, or it is for operators to decide: they must know at once.
    pub(super) fn raise_stable_fails(&self, record: &mut RolloutRecord, now: Ms) {
        if self.health.is_failing(&record.stable, now) {
            record.alerts.push("stable_fails".into());
        }
    }
}

/// Whether a replica has a version loaded that nobody wants and no rollout accounts for: it stays until a flag allows
/// its unload.
fn has_stray_version(record: &RolloutRecord, view: &RolloutView) -> bool {
    let is_wanted =
        |version: &str| version == record.stable || Some(version) == record.target.as_deref();
    view.usable
        .iter()
        .filter_map(|replica| view.report(&replica.id))
        .flat_map(|report| &report.loaded)
        .any(|loaded| !is_wanted(&loaded.version))
}
