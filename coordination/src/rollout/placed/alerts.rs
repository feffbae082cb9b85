//! Forecast and alerts of services whose versions the platform places.

use remote_calls::RolloutRecord;

use super::{
    super::{
        RolloutLoop,
        alerts::ProgressSnapshot,
        forecast::FORECAST_MIN_CHANGE_S,
        groups::{is_in_progress, version_share},
    },
    Sides,
    shifting::DEFAULT_SHIFT_TIME,
};
use crate::Ms;

impl RolloutLoop {
    pub(super) fn raise_placed_alerts(&mut self, record: &mut RolloutRecord, sides: &Sides) {
        let now = sides.inputs.now;
        let is_in_progress = is_in_progress(record.phase);
        let snapshot = ProgressSnapshot {
            phase: record.phase,
            retiring: record.retiring.len(),
            target: version_share(record, &sides.target) as usize,
        };
        // A canary that waits for requests is not stuck; one that waits for its weights to load is.
        let may_wait = !is_in_progress || self.canary_since.is_some();
        if self.stall_detector.is_stuck(snapshot, may_wait, now) {
            record.alerts.push("stuck".into());
        }
        let time_left = placed_time_left(record, sides);
        update_placed_forecast(record, sides, time_left);
        let deadline = self.placed.deadline();
        if is_in_progress && now > deadline {
            record.alerts.push("plan_late".into());
        } else if is_in_progress && now + time_left > deadline {
            record.alerts.push("plan_at_risk".into());
        }
        self.raise_stable_fails(record, now);
        record.since_ms = 0;
    }
}

/// Estimates the duration of the remaining steps, in ms.
fn placed_time_left(record: &RolloutRecord, sides: &Sides) -> Ms {
    let remaining = sides.old.len().saturating_sub(record.retiring.len());
    remaining.div_ceil(sides.step_size()) as Ms * DEFAULT_SHIFT_TIME
}

/// Records when the rollout will be complete, in seconds since 1970; 0 if none is in progress.
fn update_placed_forecast(record: &mut RolloutRecord, sides: &Sides, time_left: Ms) {
    let forecast = if is_in_progress(record.phase) {
        sides.inputs.wall_clock_s + time_left / 1_000
    } else {
        0
    };
    if forecast == 0 || forecast.abs_diff(record.forecast) > FORECAST_MIN_CHANGE_S {
        record.forecast = forecast;
    }
}
