//! Runs the steps of a runbook, one after the other, and stops at the first that fails.

use coordination::events;
use daemon_parts::{clock, limits::CONDITION_CHECK_INTERVAL, logging, operator::Operator};
use remote_calls::Status;

use crate::{
    conditions::{observe, stopping_alert},
    runbook::{Call, Condition, Runbook, Step},
};

/// A runbook stopped at a step that failed; what was seen has been printed and logged.
pub struct Stopped;

/// Runs all steps.
///
/// # Errors
/// [`Stopped`] at the first step that fails, once its way back was taken.
pub async fn run(operator: &Operator, runbook: &Runbook) -> Result<(), Stopped> {
    let status = operator.status().await;
    let initial_epoch = status.map(|status| status.member_epoch).unwrap_or(0);
    for (index, step) in runbook.steps.iter().enumerate() {
        let number = index + 1;
        match run_step(operator, step, initial_epoch).await {
            Ok(seen) => {
                println!("{number}. {}: {seen}", step.name);
                logging::event(events::RUNBOOK_STEP, &step.name, &seen);
            }
            Err(seen) => {
                println!("{number}. {}: FAILED: {seen}", step.name);
                take_way_back(operator, step).await;
                logging::event(events::RUNBOOK_STOPPED, &step.name, &seen);
                return Err(Stopped);
            }
        }
    }
    Ok(())
}

/// What a step does, for people.
pub fn describe(step: &Step) -> String {
    match (&step.call, &step.wait) {
        (Some(call), _) => format!("call {call:?}"),
        (_, Some(condition)) => format!("wait up to {} s for {condition:?}", step.within_s),
        _ => String::new(),
    }
}

async fn take_way_back(operator: &Operator, step: &Step) {
    let Some(call) = &step.otherwise else {
        return;
    };
    let outcome = make_call(operator, call)
        .await
        .unwrap_or_else(|error| format!("failed as well: {error}"));
    println!("   otherwise {call:?}: {outcome}");
}

async fn run_step(operator: &Operator, step: &Step, initial_epoch: u64) -> Result<String, String> {
    if let Some(call) = &step.call {
        return make_call(operator, call).await;
    }
    let Some(condition) = &step.wait else {
        return Ok("nothing to do".into());
    };
    wait(operator, condition, step.within_s, initial_epoch).await
}

async fn wait(
    operator: &Operator,
    condition: &Condition,
    within_s: u64,
    initial_epoch: u64,
) -> Result<String, String> {
    let deadline = clock::now() + within_s * 1_000;
    loop {
        let seen = match operator.status().await {
            Ok(status) => {
                if let Some(alert) = stopping_alert(condition, &status) {
                    return Err(alert);
                }
                match check(operator, condition, &status, initial_epoch).await {
                    Ok(seen) => return Ok(seen),
                    Err(seen) => seen,
                }
            }
            Err(fault) => fault.to_string(),
        };
        if clock::now() >= deadline {
            return Err(format!("not within {within_s} s; last seen: {seen}"));
        }
        tokio::time::sleep(CONDITION_CHECK_INTERVAL).await;
    }
}

/// What was seen; an error where the condition does not hold.
async fn check(
    operator: &Operator,
    condition: &Condition,
    status: &Status,
    initial_epoch: u64,
) -> Result<String, String> {
    let observation = observe(operator, condition, status, initial_epoch).await?;
    if observation.holds {
        Ok(observation.seen)
    } else {
        Err(observation.seen)
    }
}

async fn make_call(operator: &Operator, call: &Call) -> Result<String, String> {
    let answer = match call {
        Call::Evacuate { zone } => operator.put_zone(zone, true).await,
        Call::Restore { zone } => operator.put_zone(zone, false).await,
        Call::KillSwitch { on } => operator.kill_switch(*on).await,
        Call::TouchSpec {} => {
            let state = operator.spec().await.map_err(|fault| fault.to_string())?;
            let Some(spec) = state.spec else {
                return Err("no spec has been accepted yet".into());
            };
            operator.put_spec(spec, Some(state.version)).await
        }
        Call::Plan {
            service,
            target,
            complete_within_s,
        } => return put_plan(operator, service, target, *complete_within_s).await,
    };
    answer
        .map(|accepted| format!("accepted as version {}", accepted.version))
        .map_err(|fault| fault.to_string())
}

/// Puts a plan, unless it is in force already: the runbook may be run again.
async fn put_plan(
    operator: &Operator,
    service: &str,
    target: &str,
    complete_within_s: u64,
) -> Result<String, String> {
    let current = operator
        .plan(service)
        .await
        .map_err(|fault| fault.to_string())?;
    let is_in_force = current
        .plan
        .as_ref()
        .is_some_and(|plan| plan.target == *target && plan.complete_by > clock::wall_s());
    if is_in_force {
        return Ok(format!("already accepted as version {}", current.version));
    }
    operator
        .put_plan(service, target, complete_within_s, Some(current.version))
        .await
        .map(|accepted| format!("accepted as version {}", accepted.version))
        .map_err(|fault| fault.to_string())
}
