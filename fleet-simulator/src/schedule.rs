//! Named schedules of faults; times and victims come from the seed.

use crate::{deployment::Deployment, faults::Fault, history::Ms};

mod builder;
mod daemons;
mod machines;
mod mixed;
mod placed;
mod registry;
mod replicas;
mod rollouts;
mod traffic;

pub use registry::{NamedSchedule, SCHEDULES};

use builder::{ScheduleBuilder, edge_count};

/// Faults, each with the time at which it happens.
pub type Schedule = Vec<(Ms, Fault)>;

/// ms. Faults begin when the fleet has served for a while.
const FROM: Ms = 12_000;
/// ms. How long a run lasts.
pub const LENGTH: Ms = 60_000;

/// How long a run of a schedule lasts: rollouts take their time.
pub fn length(name: &str) -> Ms {
    if name.starts_with("rollout") || name.starts_with("placed") {
        3 * LENGTH
    } else {
        LENGTH
    }
}

/// A schedule by name; none if there is no such name.
pub fn named(name: &str, seed: u64, deployment: &Deployment) -> Option<Schedule> {
    let schedule = SCHEDULES.iter().find(|schedule| schedule.name == name)?;
    Some(build(schedule, seed, deployment))
}

fn build(schedule: &NamedSchedule, seed: u64, deployment: &Deployment) -> Schedule {
    let mut builder = ScheduleBuilder::new(seed, deployment);
    (schedule.build)(&mut builder);
    builder.faults
}

/// A schedule as JSON, for this deployment; the reason if it is none, or names what the fleet does not have.
pub fn read(text: &str, deployment: &Deployment) -> Result<Schedule, String> {
    let schedule: Schedule =
        serde_json::from_str(text).map_err(|error| format!("no schedule: {error}"))?;
    let (controls, edges) = (deployment.control.len(), edge_count(deployment));
    schedule.iter().try_for_each(|(time, fault)| {
        fault
            .fits(controls, edges)
            .map_err(|error| format!("{time}: {error}"))
    })?;
    Ok(schedule)
}
