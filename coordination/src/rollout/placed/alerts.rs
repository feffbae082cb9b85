//! Forecast and alerts where the platform places versions.

use remote_calls::RolloutRecord;

use super::{
    super::{
        RolloutLoop,
        alerts::RolloutShape,
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
        let shape = RolloutShape {
            phase: record.phase,
            retiring: record.retiring.len(),
            target: version_share(record, &sides.target) as usize,
        };
        // A canary that waits for requests is not stuck; one that waits for its weights is.
        let may_rest = !is_in_progress || self.canary_since.is_some();
        if self.progress.is_stuck(shape, may_rest, now) {
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

/// ms. Time that the steps still take.
fn placed_time_left(record: &RolloutRecord, sides: &Sides) -> Ms {
    let remaining = sides.old.len().saturating_sub(record.retiring.len());
    remaining.div_ceil(sides.step_size()) as Ms * DEFAULT_SHIFT_TIME
}

/// Writes when the rollout will be complete, in seconds since 1970; 0 where none is in progress.
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
