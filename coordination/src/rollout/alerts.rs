//! Alerts of a rollout for its operators.

use remote_calls::{RolloutPhase, RolloutRecord};

use super::{RolloutLoop, RolloutView, VersionedPlan};
use crate::Ms;

/// Time without progress after which the stuck alert is raised, in ms.
const STUCK_ALERT_AFTER: Ms = 60_000;

/// Values that change while a rollout progresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProgressSnapshot {
    pub(super) phase: RolloutPhase,
    pub(super) retiring: usize,
    /// Replicas of the target, or its share in percent.
    pub(super) target: usize,
}

/// Detects that a rollout makes no progress.
#[derive(Clone, Debug, Default)]
pub(super) struct StallDetector {
    last: Option<ProgressSnapshot>,
    progressed_at: Ms,
}

impl StallDetector {
    pub(super) fn new(now: Ms) -> Self {
        StallDetector {
            last: None,
            progressed_at: now,
        }
    }

    /// Records progress although nothing changed, because the rollout waits on purpose.
    pub(super) fn mark_progress(&mut self, now: Ms) {
        self.progressed_at = now;
    }

    /// Records the snapshot and returns whether it has not changed for too long. `may_wait`: no change is expected.
    pub(super) fn is_stuck(&mut self, snapshot: ProgressSnapshot, may_wait: bool, now: Ms) -> bool {
        if self.last != Some(snapshot) || may_wait {
            self.last = Some(snapshot);
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
        let snapshot = ProgressSnapshot {
            phase: record.phase,
            retiring: record.retiring.len(),
            target: record.groups.last().map_or(0, |group| group.replicas.len()),
        };
        // A canary that waits for requests is not stuck; one that waits for its weights to load is.
        let may_wait = record.phase == RolloutPhase::Steady || self.canary_since.is_some();
        if self.stall_detector.is_stuck(snapshot, may_wait, now) {
            record.alerts.push("stuck".into());
        }
        if plan.is_some_and(|plan| view.inputs.wall_clock_s > plan.plan.complete_by) {
            record.alerts.push("plan_late".into());
        } else if plan.is_some_and(|plan| record.forecast > plan.plan.complete_by) {
            // Raised before the deadline so that operators can still decide; no step is sped up for it.
            record.alerts.push("plan_at_risk".into());
        }
        self.raise_stable_fails(record, now);
        if has_stray_version(record, view) {
            record.alerts.push("unload_waits".into());
        }
        record.since_ms = 0;
    }

    /// Raises an alert if the stable version fails: either there is no version to revert to, or operators must decide.
    pub(super) fn raise_stable_fails(&self, record: &mut RolloutRecord, now: Ms) {
        if self.health.is_failing(&record.stable, now) {
            record.alerts.push("stable_fails".into());
        }
    }
}

/// Whether a replica has loaded a version that is neither stable nor the target: it stays until a flag allows its
/// unload.
fn has_stray_version(record: &RolloutRecord, view: &RolloutView) -> bool {
    let is_wanted =
        |version: &str| version == record.stable || Some(version) == record.target.as_deref();
    view.usable
        .iter()
        .filter_map(|replica| view.report(&replica.id))
        .flat_map(|report| &report.loaded)
        .any(|loaded| !is_wanted(&loaded.version))
}
