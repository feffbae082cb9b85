//! Forecast of a rollout's completion time.

use remote_calls::{GroupRole, RolloutPhase, RolloutRecord};

use super::{RolloutLoop, RolloutView, canary::QUIET_CANARY_TIME, groups::group_replicas};
use crate::Ms;

/// Assumed duration of one step of loading, warming up and retiring before any has completed, in ms: half of what
/// either deployment took in its first rollouts, and more than a warm-up.
const DEFAULT_STEP_TIME: Ms = 8_000;
/// Assumed duration of unloading and clearing its flag, in ms.
const DEFAULT_UNLOAD_TIME: Ms = 2_000;
/// Change above which a forecast is written again, in s: each write is a sync on a majority of disks.
pub(super) const FORECAST_MIN_CHANGE_S: u64 = 10;

impl RolloutLoop {
    /// Records when the rollout will be complete, in seconds since 1970; 0 if none is in progress.
    pub(super) fn update_forecast(&self, record: &mut RolloutRecord, view: &RolloutView) {
        let Some(left) = self.time_left(record, view) else {
            record.forecast = 0;
            return;
        };
        let forecast = if record.target.is_none() {
            0
        } else {
            view.inputs.wall_clock_s + left.div_ceil(1_000)
        };
        if forecast.abs_diff(record.forecast) > FORECAST_MIN_CHANGE_S {
            record.forecast = forecast;
        }
    }

    /// Estimates the time to the rollout's completion from this phase's steps so far, in ms; `None` if no rollout is
    /// to be completed.
    fn time_left(&self, record: &RolloutRecord, view: &RolloutView) -> Option<Ms> {
        let now = view.inputs.now;
        let phase_age = now.saturating_sub(self.phase_since);
        let steps = |replicas: usize| replicas.div_ceil(view.step_size()) as Ms;
        let total = view.usable.len();
        let after_shift = view.inputs.spec.bake_ms + DEFAULT_UNLOAD_TIME;
        match record.phase {
            RolloutPhase::Steady | RolloutPhase::Reverting => None,
            RolloutPhase::Canary => {
                let canary_age = self
                    .canary_since
                    .map_or(0, |since| now.saturating_sub(since));
                let shift = steps(total) * DEFAULT_STEP_TIME;
                Some(QUIET_CANARY_TIME.saturating_sub(canary_age) + shift + after_shift)
            }
            RolloutPhase::Shifting => {
                let stable = group_replicas(record, GroupRole::Stable, &record.stable).len();
                let remaining = stable + record.retiring.len();
                let steps_done = steps(total.saturating_sub(remaining));
                let step_time = phase_age
                    .checked_div(steps_done)
                    .unwrap_or(DEFAULT_STEP_TIME.max(phase_age));
                Some(steps(remaining) * step_time + after_shift)
            }
            RolloutPhase::Baking => Some(after_shift.saturating_sub(phase_age)),
            RolloutPhase::Unloading => Some(DEFAULT_UNLOAD_TIME),
        }
    }
}
