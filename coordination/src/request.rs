//! One request's way through a proxy: checked, claimed, placed, called, and an outcome that stays true.
//! The shell does what each step says and tells what came of it.

use remote_calls::{Fault, Outcome, RunRequest};

use crate::{
    claims::{self, GRANTED, HELD_BY_OTHER, VOIDED},
    proxy::{Ended, Placed},
};

/// Why a round was not begun.
#[derive(Clone, Debug, PartialEq)]
pub enum NotBegun {
    /// The replica said that it runs nothing of it, or no connection was opened: certainly not run.
    NotRun(Fault),
    /// A byte may have reached the replica.
    Unknown(Fault),
    /// The process slept between choosing the place and calling it: what it chose by may have lapsed.
    Stale,
}

impl std::fmt::Display for NotBegun {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            NotBegun::NotRun(x) | NotBegun::Unknown(x) => x.fmt(f),
            NotBegun::Stale => f.write_str("the place was stale"),
        }
    }
}

impl NotBegun {
    pub fn ended(&self) -> Ended {
        match self {
            NotBegun::NotRun(f) if f.code == "busy" => Ended::Busy,
            NotBegun::NotRun(_) | NotBegun::Stale => Ended::Dropped,
            NotBegun::Unknown(_) => Ended::Failed,
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
    Place,
    Call(Placed),
    /// Ask the budget for a second round.
    Budget,
    /// The round has begun: pass its lines on.
    Stream(Placed),
    /// The final answer, at once.
    Reply(Fault),
}

/// What came of a step.
#[derive(Clone, Debug)]
pub enum Got {
    Checked(Result<u32, Fault>),
    Claimed(u8),
    Placed(Result<Placed, Fault>),
    Begun(Result<(), NotBegun>),
    /// The budget's word; without one, the rejection to give.
    Budget(Result<(), Fault>),
}

#[derive(Clone, Debug)]
pub struct Request {
    pub q: RunRequest,
    /// Tells this try of the request from every other.
    pub round: u64,
    pub rank: u32,
    pub tried: Vec<String>,
    placed: Option<Placed>,
    /// A rejection that waits for its void.
    pending: Option<Fault>,
    /// A round was tried of which nobody knows whether it ran.
    perhaps: bool,
}

impl Request {
    pub fn new(q: RunRequest, round: u64) -> Self {
        Request {
            q,
            round,
            rank: 0,
            tried: vec![],
            placed: None,
            pending: None,
            perhaps: false,
        }
    }

    /// What a claim is made on, and how long ago it was first used: the caller's own key, or the id.
    pub fn claimed_name(&self) -> (String, u64) {
        match &self.q.key {
            Some(k) => (
                format!("{}{}", claims::CALLER_KEY_PREFIX, k.value.as_str()),
                k.first_used_ms_ago,
            ),
            None => (self.q.request.clone(), 0),
        }
    }

    fn claims(&self) -> bool {
        // A resume reads on in a run that was claimed when it began.
        self.q.run_once && self.q.resume.is_none()
    }

    /// "Not run" must stay true: a majority voids a run-once id before it is said.
    fn give_up(&mut self, mut f: Fault) -> Step {
        if self.perhaps || self.q.resume.is_some() || f.outcome == Some(Outcome::Unknown) {
            f.outcome = Some(Outcome::Unknown);
            return Step::Reply(f);
        }
        f.outcome = Some(Outcome::NotRun);
        if !self.claims() || (self.q.key.is_none() && claims::holders(&self.q.request).is_none()) {
            return Step::Reply(f);
        }
        self.pending = Some(f);
        Step::Claim { void: true }
    }

    pub fn next(&mut self, got: Got) -> Step {
        match got {
            Got::Checked(Ok(rank)) => {
                self.rank = rank;
                if self.claims() {
                    Step::Claim { void: false }
                } else {
                    Step::Place
                }
            }
            Got::Checked(Err(f)) => self.give_up(f),
            Got::Claimed(state) => self.claimed(state),
            Got::Placed(Ok(p)) => {
                self.placed = Some(p.clone());
                Step::Call(p)
            }
            Got::Placed(Err(f)) => self.give_up(f),
            Got::Begun(Ok(())) => match self.placed.clone() {
                Some(p) => Step::Stream(p),
                None => Step::Place,
            },
            Got::Begun(Err(NotBegun::Unknown(f))) => {
                self.perhaps = true;
                // What may run only once is never tried again after a byte may have reached a replica.
                if self.q.run_once || self.q.resume.is_some() {
                    return Step::Reply(f.outcome(Outcome::Unknown));
                }
                self.again()
            }
            Got::Begun(Err(NotBegun::Stale)) => Step::Place,
            Got::Begun(Err(NotBegun::NotRun(f))) if self.q.resume.is_some() => {
                Step::Reply(f.outcome(Outcome::Unknown))
            }
            Got::Begun(Err(NotBegun::NotRun(_))) => self.again(),
            Got::Budget(Ok(())) => Step::Place,
            Got::Budget(Err(f)) => self.give_up(f),
        }
    }

    fn again(&mut self) -> Step {
        self.tried.extend(self.placed.take().map(|p| p.replica));
        Step::Budget
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
            GRANTED => Step::Place,
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
