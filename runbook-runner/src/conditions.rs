//! Whether the condition of a step holds, by the status of the fleet.

use daemon_parts::{limits::EDGE_UNREACHABLE_AFTER, operator::Operator};
use remote_calls::{EdgeStatus, MemberStatus, RolloutPhase, Status};

use crate::runbook::Condition;

/// What was seen of a condition.
pub struct Observation {
    /// Whether the condition holds.
    pub holds: bool,
    /// What was seen, for people.
    pub seen: String,
}

impl Observation {
    fn new(holds: bool, seen: String) -> Self {
        Observation { holds, seen }
    }
}

/// The alert that ends a wait for a service, if there is one.
pub fn stopping_alert(condition: &Condition, status: &Status) -> Option<String> {
    let Condition::Stable {
        service, stop_on, ..
    } = condition
    else {
        return None;
    };
    let record = status
        .rollouts
        .iter()
        .find(|record| record.service == *service)?;
    let alert = record.alerts.iter().find(|alert| stop_on.contains(alert))?;
    Some(format!(
        "alert {alert} in {:?} on {}",
        record.phase, record.stable
    ))
}

/// Looks at a condition. `initial_epoch`: the member epoch when the runbook began.
///
/// # Errors
/// Why the accepted spec could not be read, where the condition depends on it.
pub async fn observe(
    operator: &Operator,
    condition: &Condition,
    status: &Status,
    initial_epoch: u64,
) -> Result<Observation, String> {
    let observation = match condition {
        Condition::Members { live } => members(status, *live),
        Condition::CaughtUp { members } => caught_up(status, *members),
        Condition::Honoured { edges } => honoured(status, spec_version(operator).await?, *edges),
        Condition::Zone { zone, evacuated } => zone_state(status, zone, *evacuated),
        Condition::Empty { zone } => zone_is_empty(status, zone),
        Condition::Edge { edge } => edge_honours(status, spec_version(operator).await?, edge),
        Condition::Stable {
            service, version, ..
        } => is_stable(status, service, version),
        Condition::Copies { service, most } => context_copies(status, service, *most),
        Condition::MembersChanged {} => Observation::new(
            status.member_epoch > initial_epoch,
            format!("member epoch {} was {initial_epoch}", status.member_epoch),
        ),
    };
    Ok(observation)
}

async fn spec_version(operator: &Operator) -> Result<u64, String> {
    let state = operator.spec().await.map_err(|fault| fault.to_string())?;
    Ok(state.version)
}

fn members(status: &Status, wanted: usize) -> Observation {
    let live = status.members.iter().filter(|member| member.live).count();
    Observation::new(
        status.settled && status.disk_ok && live >= wanted,
        format!(
            "{live} members live, settled {}, disk ok {}",
            status.settled, status.disk_ok
        ),
    )
}

fn caught_up(status: &Status, wanted: usize) -> Observation {
    let has_caught_up = |member: &&MemberStatus| {
        member.live && member.same == Some(true) && member.member_epoch == Some(status.member_epoch)
    };
    let count = status.members.iter().filter(has_caught_up).count();
    let quorum = status.quorum == Some(true);
    Observation::new(
        quorum && count >= wanted,
        format!(
            "{count} of {} members have caught up, majority heard {quorum}",
            status.members.len()
        ),
    )
}

fn is_heard(edge: &EdgeStatus) -> bool {
    edge.heard_ms_ago <= EDGE_UNREACHABLE_AFTER
}

fn honoured(status: &Status, spec: u64, wanted: usize) -> Observation {
    let heard: Vec<&EdgeStatus> = status.edges.iter().filter(|edge| is_heard(edge)).collect();
    let all = heard.len();
    let honouring = heard
        .iter()
        .filter(|edge| edge.spec_version == spec)
        .count();
    Observation::new(
        honouring == all && honouring >= wanted,
        format!("spec {spec} honoured at {honouring} of {all} edges"),
    )
}

fn zone_state(status: &Status, name: &str, evacuated: bool) -> Observation {
    let zone = status.zones.iter().find(|zone| zone.zone == *name);
    let state = zone.map(|zone| zone.evacuated);
    Observation::new(state == Some(evacuated), format!("{name}: {state:?}"))
}

fn zone_is_empty(status: &Status, name: &str) -> Observation {
    let zone = status.streams.iter().find(|zone| zone.zone == *name);
    let streams = zone.map(|zone| zone.streams);
    Observation::new(
        streams == Some(0),
        format!("{name}: {streams:?} streams open"),
    )
}

fn edge_honours(status: &Status, spec: u64, name: &str) -> Observation {
    let edge = status
        .edges
        .iter()
        .find(|edge| edge.edge == *name && is_heard(edge));
    let version = edge.map(|edge| edge.spec_version);
    Observation::new(
        version == Some(spec),
        format!("{name}: {version:?}, spec {spec}"),
    )
}

fn is_stable(status: &Status, service: &str, version: &str) -> Observation {
    let record = status
        .rollouts
        .iter()
        .find(|record| record.service == *service);
    let Some(record) = record else {
        return Observation::new(false, "no rollout record".into());
    };
    Observation::new(
        record.phase == RolloutPhase::Steady && record.stable == *version,
        format!(
            "{:?} on {} alerts {:?}",
            record.phase, record.stable, record.alerts
        ),
    )
}

fn context_copies(status: &Status, service: &str, most: usize) -> Observation {
    let copies = status
        .contexts
        .iter()
        .find(|record| record.service == *service)
        .map_or(0, |record| record.parts.len());
    Observation::new(
        copies <= most,
        format!("{copies} copies of shared context of {service}"),
    )
}
