//! State machine of a request that names a service: the proxy checks, claims, assigns and calls it, and the outcome it
//! reports is final. The runtime executes each step and reports its result.

use remote_calls::{Fault, Outcome, RunRequest};

use crate::{
    claims::{self, GRANTED, HELD_BY_OTHER, VOIDED},
    proxy::{Assignment, OutcomeClass},
};

/// Why an attempt did not start.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptError {
    /// The request certainly did not run: the replica reported so, or no connection was opened.
    NotRun(Fault),
    /// A byte may have reached the replica, so the request may have run.
    Unknown(Fault),
    /// The process was suspended between the assignment and the call, so the assignment may be outdated.
    StaleAssignment,
}

impl std::fmt::Display for AttemptError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            AttemptError::NotRun(fault) | AttemptError::Unknown(fault) => fault.fmt(formatter),
            AttemptError::StaleAssignment => formatter.write_str("the assignment was stale"),
        }
    }
}

impl AttemptError {
    /// Returns the class in which the attempt is counted.
    pub fn outcome_class(&self) -> OutcomeClass {
        match self {
            AttemptError::NotRun(fault) if fault.code == "busy" => OutcomeClass::NotRun,
            AttemptError::NotRun(_) | AttemptError::StaleAssignment => OutcomeClass::ClientGone,
            AttemptError::Unknown(_) => OutcomeClass::Failed,
        }
    }
}

/// The next step that the runtime executes.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Check the request.
    Check,
    /// Claim the request's single run.
    Claim {
        /// Void the claim instead, so that the request never runs.
        void: bool,
    },
    /// Assign a replica.
    Assign,
    /// Call the replica.
    Call(Assignment),
    /// Draw a retry from the retry budget.
    DrawRetry,
    /// Forward the lines of the attempt, which has started.
    Stream(Assignment),
    /// Send the final response at once.
    Reply(Fault),
}

/// The result of a step.
#[derive(Clone, Debug)]
pub enum StepResult {
    /// The rank of the request's tier.
    Checked(Result<u32, Fault>),
    /// The claim's state as encoded on the wire.
    Claimed(u8),
    /// The assignment, or the rejection to send.
    Assigned(Result<Assignment, Fault>),
    /// Whether the attempt has started.
    Started(Result<(), AttemptError>),
    /// Whether the budget allowed a retry; if not, the rejection to send.
    RetryDrawn(Result<(), Fault>),
}

/// The state machine of one request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request.
    pub run_request: RunRequest,
    /// Distinguishes this call of the request from every other one.
    pub attempt_seed: u64,
    /// Rank of the request's tier.
    pub rank: u32,
    /// Replicas at which an attempt failed.
    pub tried: Vec<String>,
    assignment: Option<Assignment>,
    /// A rejection to send once the claim is voided.
    pending_rejection: Option<Fault>,
    /// Whether an attempt may have run.
    may_have_run: bool,
}

impl Request {
    /// Creates the state machine of a newly received request.
    pub fn new(run_request: RunRequest, attempt_seed: u64) -> Self {
        Request {
            run_request,
            attempt_seed,
            rank: 0,
            tried: vec![],
            assignment: None,
            pending_rejection: None,
            may_have_run: false,
        }
    }

    /// Returns the name to claim, which is the caller's own key or the request id, and the ms since its first use.
    pub fn claimed_name(&self) -> (String, u64) {
        match &self.run_request.key {
            Some(key) => (
                format!("{}{}", claims::CALLER_KEY_PREFIX, key.value.as_str()),
                key.first_used_ms_ago,
            ),
            None => (self.run_request.request.clone(), 0),
        }
    }

    fn is_resumed(&self) -> bool {
        self.run_request.resume.is_some()
    }

    /// Whether the request must be claimed. A resumed run was claimed when it started.
    fn needs_claim(&self) -> bool {
        self.run_request.run_once && !self.is_resumed()
    }

    /// Processes the result of the last step and returns the next one.
    pub fn next(&mut self, result: StepResult) -> Step {
        match result {
            StepResult::Checked(Ok(rank)) => {
                self.rank = rank;
                if self.needs_claim() {
                    Step::Claim { void: false }
                } else {
                    Step::Assign
                }
            }
            StepResult::Claimed(state) => self.on_claimed(state),
            StepResult::Assigned(Ok(assignment)) => {
                self.assignment = Some(assignment.clone());
                Step::Call(assignment)
            }
            StepResult::Started(Ok(())) => match self.assignment.clone() {
                Some(assignment) => Step::Stream(assignment),
                None => Step::Assign,
            },
            StepResult::Started(Err(error)) => self.on_attempt_error(error),
            StepResult::RetryDrawn(Ok(())) => Step::Assign,
            StepResult::Checked(Err(fault))
            | StepResult::Assigned(Err(fault))
            | StepResult::RetryDrawn(Err(fault)) => self.reject(fault),
        }
    }

    fn on_attempt_error(&mut self, error: AttemptError) -> Step {
        match error {
            AttemptError::StaleAssignment => Step::Assign,
            AttemptError::Unknown(fault) => {
                self.may_have_run = true;
                // A run-once request is never retried after a byte may have reached a replica.
                if self.run_request.run_once || self.is_resumed() {
                    return Step::Reply(fault.outcome(Outcome::Unknown));
                }
                self.retry()
            }
            AttemptError::NotRun(fault) if self.is_resumed() => {
                Step::Reply(fault.outcome(Outcome::Unknown))
            }
            AttemptError::NotRun(_) => self.retry(),
        }
    }

    fn retry(&mut self) -> Step {
        let failed = self.assignment.take();
        self.tried
            .extend(failed.map(|assignment| assignment.replica));
        Step::DrawRetry
    }

    /// Rejects the request. "Not run" must be final, so a majority voids a run-once id before it is reported.
    fn reject(&mut self, mut fault: Fault) -> Step {
        if self.may_have_run || self.is_resumed() || fault.outcome == Some(Outcome::Unknown) {
            fault.outcome = Some(Outcome::Unknown);
            return Step::Reply(fault);
        }
        fault.outcome = Some(Outcome::NotRun);
        let has_claimable_name =
            self.run_request.key.is_some() || claims::holders(&self.run_request.request).is_some();
        if !self.needs_claim() || !has_claimable_name {
            return Step::Reply(fault);
        }
        self.pending_rejection = Some(fault);
        Step::Claim { void: true }
    }

    fn on_claimed(&mut self, state: u8) -> Step {
        if let Some(fault) = self.pending_rejection.take() {
            let is_voided = state == GRANTED || state == VOIDED;
            return Step::Reply(fault.outcome(if is_voided {
                Outcome::NotRun
            } else {
                Outcome::Unknown
            }));
        }
        let fault = |code: &str, message: &str| Fault::new(code, "claim", message);
        match state {
            GRANTED => Step::Assign,
            VOIDED => Step::Reply(
                fault("voided", "the request was voided earlier and never runs")
                    .outcome(Outcome::NotRun),
            ),
            HELD_BY_OTHER => Step::Reply(
                fault(
                    "claimed",
                    "another attempt of this request may have run or may be running",
                )
                .outcome(Outcome::Unknown),
            ),
            _ => {
                let message = "no majority of the claim's holders responded";
                self.reject(fault("no_claim", message).retry(1_000))
            }
        }
    }
}

#[cfg(test)]
mod tests;
