//! One request's way through a proxy: checked, claimed, placed, called, and an outcome that stays true.
//! The shell does what each step says and tells what came of it.

use remote_calls::{Fault, Outcome, RunRequest};

use crate::{
    claims::{self, GRANTED, HELD_BY_OTHER, VOIDED},
    proxy::{Assignment, OutcomeClass},
};

/// Why a round was not begun.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptError {
    /// The replica said that it runs nothing of it, or no connection was opened: certainly not run.
    NotRun(Fault),
    /// A byte may have reached the replica.
    Unknown(Fault),
    /// The process slept between choosing the place and calling it: what it chose by may have lapsed.
    StaleAssignment,
}

impl std::fmt::Display for AttemptError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            AttemptError::NotRun(x) | AttemptError::Unknown(x) => x.fmt(f),
            AttemptError::StaleAssignment => f.write_str("the place was stale"),
        }
    }
}

impl AttemptError {
    pub fn outcome_class(&self) -> OutcomeClass {
        match self {
            AttemptError::NotRun(f) if f.code == "busy" => OutcomeClass::NotRun,
            AttemptError::NotRun(_) | AttemptError::StaleAssignment => OutcomeClass::ClientGone,
            AttemptError::Unknown(_) => OutcomeClass::Failed,
        }
    }
}

/// What the shell does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Check,
    Claim {
        void: bool,
    },
    Assign,
    Call(Assignment),
    /// Ask the budget for a second round.
    DrawRetry,
    /// The round has begun: pass its lines on.
    Stream(Assignment),
    /// The final answer, at once.
    Reply(Fault),
}

/// What came of a step.
#[derive(Clone, Debug)]
pub enum StepResult {
    Checked(Result<u32, Fault>),
    Claimed(u8),
    Assigned(Result<Assignment, Fault>),
    Started(Result<(), AttemptError>),
    /// The budget's word; without one, the rejection to give.
    RetryDrawn(Result<(), Fault>),
}

#[derive(Clone, Debug)]
pub struct Request {
    pub run_request: RunRequest,
    /// Tells this try of the request from every other.
    pub attempt_seed: u64,
    pub rank: u32,
    pub tried: Vec<String>,
    placed: Option<Assignment>,
    /// A rejection that waits for its void.
    pending: Option<Fault>,
    /// A round was tried of which nobody knows whether it ran.
    perhaps: bool,
}

impl Request {
    pub fn new(q: RunRequest, round: u64) -> Self {
        Request {
            run_request: q,
            attempt_seed: round,
            rank: 0,
            tried: vec![],
            placed: None,
            pending: None,
            perhaps: false,
        }
    }

    /// What a claim is made on, and how long ago it was first used: the caller's own key, or the id.
    pub fn claimed_name(&self) -> (String, u64) {
        match &self.run_request.key {
            Some(k) => (
                format!("{}{}", claims::CALLER_KEY_PREFIX, k.value.as_str()),
                k.first_used_ms_ago,
            ),
            None => (self.run_request.request.clone(), 0),
        }
    }

    fn claims(&self) -> bool {
        // A resume reads on in a run that was claimed when it began.
        self.run_request.run_once && self.run_request.resume.is_none()
    }

    /// "Not run" must stay true: a majority voids a run-once id before it is said.
    fn give_up(&mut self, mut f: Fault) -> Step {
        if self.perhaps || self.run_request.resume.is_some() || f.outcome == Some(Outcome::Unknown)
        {
            f.outcome = Some(Outcome::Unknown);
            return Step::Reply(f);
        }
        f.outcome = Some(Outcome::NotRun);
        if !self.claims()
            || (self.run_request.key.is_none()
                && claims::holders(&self.run_request.request).is_none())
        {
            return Step::Reply(f);
        }
        self.pending = Some(f);
        Step::Claim { void: true }
    }

    pub fn next(&mut self, got: StepResult) -> Step {
        match got {
            StepResult::Checked(Ok(rank)) => {
                self.rank = rank;
                if self.claims() {
                    Step::Claim { void: false }
                } else {
                    Step::Assign
                }
            }
            StepResult::Checked(Err(f)) => self.give_up(f),
            StepResult::Claimed(state) => self.claimed(state),
            StepResult::Assigned(Ok(p)) => {
                self.placed = Some(p.clone());
                Step::Call(p)
            }
            StepResult::Assigned(Err(f)) => self.give_up(f),
            StepResult::Started(Ok(())) => match self.placed.clone() {
                Some(p) => Step::Stream(p),
                None => Step::Assign,
            },
            StepResult::Started(Err(AttemptError::Unknown(f))) => {
                self.perhaps = true;
                // What may run only once is never tried again after a byte may have reached a replica.
                if self.run_request.run_once || self.run_request.resume.is_some() {
                    return Step::Reply(f.outcome(Outcome::Unknown));
                }
                self.again()
            }
            StepResult::Started(Err(AttemptError::StaleAssignment)) => Step::Assign,
            StepResult::Started(Err(AttemptError::NotRun(f)))
                if self.run_request.resume.is_some() =>
            {
                Step::Reply(f.outcome(Outcome::Unknown))
            }
            StepResult::Started(Err(AttemptError::NotRun(_))) => self.again(),
            StepResult::RetryDrawn(Ok(())) => Step::Assign,
            StepResult::RetryDrawn(Err(f)) => self.give_up(f),
        }
    }

    fn again(&mut self) -> Step {
        self.tried.extend(self.placed.take().map(|p| p.replica));
        Step::DrawRetry
    }

    fn claimed(&mut self, state: u8) -> Step {
        if let Some(f) = self.pending.take() {
            let known = state == GRANTED || state == VOIDED;
            return Step::Reply(f.outcome(if known {
                Outcome::NotRun
            } else {
                Outcome::Unknown
            }));
        }
        let f = |code: &str, m: &str| Fault::new(code, "claim", m);
        match state {
            GRANTED => Step::Assign,
            VOIDED => Step::Reply(
                f("voided", "the request was given up before and never runs")
                    .outcome(Outcome::NotRun),
            ),
            HELD_BY_OTHER => Step::Reply(
                f(
                    "claimed",
                    "another round of this request may have run or may be running",
                )
                .outcome(Outcome::Unknown),
            ),
            _ => self
                .give_up(f("no_claim", "no majority of the claim's holders answered").retry(1_000)),
        }
    }
}

#[cfg(test)]
mod tests;
