//! What operators are told, and what of it no register could have told them.

use crate::WriteOutcome;

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Request {
    Put {
        value: u8,
        /// The version that it expects.
        on: u64,
    },
    Read,
    /// The daemons of these indices, with the disks that they have now, are to be the voters.
    ChangeVoters(&'static [usize]),
    /// Acquires the members' key, so that a change of voters costs no acquisition.
    ReadMembers,
}
use Request::{Put, Read};

impl Request {
    /// Whether it is about the key whose history is checked.
    fn is_of_key(self) -> bool {
        matches!(self, Put { .. } | Read)
    }
}

/// An outcome, and the step of the history at which it was reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallEnd {
    pub(super) step: u64,
    pub(super) outcome: WriteOutcome,
}

/// A request at one voter, and the steps of the history at which it began and ended.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) at: usize,
    pub(super) request: Request,
    pub(super) began: Option<u64>,
    pub(super) end: Option<CallEnd>,
}

impl Call {
    /// A request that has not begun.
    pub(super) fn of((at, request): &(usize, Request)) -> Self {
        Call {
            at: *at,
            request: *request,
            began: None,
            end: None,
        }
    }
}

/// What the calls hold that no register could have done; none if they are linearizable as far as they were reported.
pub(super) fn contradiction_among(calls: &[Call]) -> Option<String> {
    let done: Vec<DoneCall> = calls.iter().filter_map(DoneCall::of).collect();
    done.iter()
        .find_map(|call| call.contradiction(&done))
        .or_else(|| lost_update(&done))
}

/// A call that has ended with a clear outcome.
#[derive(Clone, Copy)]
struct DoneCall<'a> {
    call: &'a Call,
    end: CallEnd,
}

impl<'a> DoneCall<'a> {
    fn of(call: &'a Call) -> Option<Self> {
        let end = call.end.filter(|end| {
            call.request.is_of_key()
                && !matches!(
                    end.outcome,
                    WriteOutcome::Unknown | WriteOutcome::NotAccepted(_)
                )
        })?;
        Some(DoneCall { call, end })
    }

    /// The version that was reported as current, or as written.
    fn version(&self) -> u64 {
        match self.end.outcome {
            WriteOutcome::Accepted(version) | WriteOutcome::Conflict(version) => version,
            WriteOutcome::NotAccepted(_) | WriteOutcome::Unknown => 0,
        }
    }

    /// What is wrong with the outcome of a write, by itself or next to that of another.
    fn contradiction(&self, done: &[DoneCall]) -> Option<String> {
        let call = self.call;
        let Put { value, on } = call.request else {
            return None;
        };
        match self.end.outcome {
            WriteOutcome::Accepted(version) if version != on + 1 => {
                Some(format!("{call:?} is accepted as {version}"))
            }
            WriteOutcome::Accepted(version) => {
                let is_rival = |other: &&DoneCall| matches!((other.call.request, other.end.outcome), (Put { value: other_value, .. }, WriteOutcome::Accepted(other_version)) if other_version == version && other_value != value);
                if let Some(rival) = done.iter().find(is_rival) {
                    return Some(format!("{call:?} and {:?} are both accepted", rival.call));
                }
                // The same order again is never rejected once it was accepted.
                let is_rejected_repeat = |other: &&DoneCall| {
                    other.call.request == call.request
                        && matches!(other.end.outcome, WriteOutcome::Conflict(_))
                };
                done.iter()
                    .find(is_rejected_repeat)
                    .map(|repeat| format!("{call:?} is accepted and {:?} is rejected", repeat.call))
            }
            WriteOutcome::Conflict(version) if version == on => Some(format!(
                "{call:?} is rejected though the version that it expects is current"
            )),
            _ => None,
        }
    }
}

/// A call that began after another had ended, and does not see what that one saw. A repeated order may: it is reported
/// with the version as which it was accepted.
fn lost_update(done: &[DoneCall]) -> Option<String> {
    for earlier in done {
        let began_later = |call: &&DoneCall| {
            call.call
                .began
                .is_some_and(|began| began > earlier.end.step)
        };
        for later in done.iter().filter(began_later) {
            let may_be_repeat = earlier.call.request != Read
                && matches!(
                    (later.call.request, later.end.outcome),
                    (Put { .. }, WriteOutcome::Accepted(_))
                );
            if later.version() < earlier.version() && !may_be_repeat {
                return Some(format!(
                    "{:?} ended before {:?} began",
                    earlier.call, later.call
                ));
            }
        }
    }
    None
}
