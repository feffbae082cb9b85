//! History of operator calls, and the check that it is linearizable.

use crate::WriteOutcome;

/// A request of an operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Request {
    Put {
        value: u8,
        /// Version that the write expects to be current.
        on: u64,
    },
    /// Replaces any value: conditional on the version that the called daemon knows to be committed, as control daemons
    /// submit orders without a precondition.
    Overwrite {
        value: u8,
    },
    Read,
    /// Makes the daemons with these indices, with their current disks, the voters.
    ChangeVoters(&'static [usize]),
    /// Reads the members key to acquire it, so that a later change of voters needs no acquisition.
    ReadMembers,
}
use Request::{Overwrite, Put, Read};

impl Request {
    /// Returns the value that the request writes to the checked key, if it writes one.
    fn written_value(self) -> Option<u8> {
        match self {
            Overwrite { value } | Put { value, .. } => Some(value),
            _ => None,
        }
    }

    /// Returns whether the request concerns the key whose history is checked.
    fn is_for_checked_key(self) -> bool {
        matches!(self, Overwrite { .. } | Put { .. } | Read)
    }
}

/// The outcome of a call and the history step at which it was reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallEnd {
    pub(super) step: u64,
    pub(super) outcome: WriteOutcome,
}

/// A request to one voter, with the history steps at which it began and ended.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) at: usize,
    pub(super) request: Request,
    pub(super) began: Option<u64>,
    pub(super) end: Option<CallEnd>,
}

impl Call {
    /// Creates a call that has not begun.
    pub(super) fn new((at, request): &(usize, Request)) -> Self {
        Call {
            at: *at,
            request: *request,
            began: None,
            end: None,
        }
    }
}

/// Describes the first violation of linearizability among the calls with a reported outcome, if any.
pub(super) fn find_violation(calls: &[Call]) -> Option<String> {
    let completed: Vec<CompletedCall> = calls.iter().filter_map(CompletedCall::from_call).collect();
    completed
        .iter()
        .find_map(|call| call.find_contradiction(&completed))
        .or_else(|| find_stale_result(&completed))
}

/// Describes an order that took effect although a later order with another value was acknowledged: its value is
/// committed as `version`, above the acknowledged one, and no order since then wrote it. Linearizability allows this for
/// an order without an answer; an operator who went on to the opposite order does not.
pub(super) fn find_returned_order(calls: &[Call], version: u64, value: u8) -> Option<String> {
    let completed: Vec<CompletedCall> = calls.iter().filter_map(CompletedCall::from_call).collect();
    let was_sent_after = |began: Option<u64>| {
        calls
            .iter()
            .any(|call| call.request.written_value() == Some(value) && call.began > began)
    };
    completed
        .iter()
        .find(|later| {
            let is_acknowledged_overwrite =
                matches!(later.call.request, Overwrite { value: acknowledged } if acknowledged != value)
                    && matches!(later.end.outcome, WriteOutcome::Accepted(_));
            is_acknowledged_overwrite
                && version > later.version()
                && !was_sent_after(later.call.began)
        })
        .map(|later| {
            let acknowledged = later.call;
            format!("value {value} is committed as version {version}, after {acknowledged:?}")
        })
}

/// A call on the checked key that has ended with a definite outcome.
#[derive(Clone, Copy)]
struct CompletedCall<'a> {
    call: &'a Call,
    end: CallEnd,
}

impl<'a> CompletedCall<'a> {
    fn from_call(call: &'a Call) -> Option<Self> {
        let end = call.end.filter(|end| {
            call.request.is_for_checked_key()
                && !matches!(
                    end.outcome,
                    WriteOutcome::Unknown | WriteOutcome::NotAccepted(_)
                )
        })?;
        Some(CompletedCall { call, end })
    }

    /// Returns the version reported as current or as written.
    fn version(&self) -> u64 {
        match self.end.outcome {
            WriteOutcome::Accepted(version) | WriteOutcome::Conflict(version) => version,
            WriteOutcome::NotAccepted(_) | WriteOutcome::Unknown => 0,
        }
    }

    /// Describes why the outcome of a write is impossible, on its own or together with the outcome of another write.
    fn find_contradiction(&self, completed: &[CompletedCall]) -> Option<String> {
        let call = self.call;
        let Put { value, on } = call.request else {
            return None;
        };
        match self.end.outcome {
            WriteOutcome::Accepted(version) if version != on + 1 => {
                Some(format!("{call:?} is accepted as version {version}"))
            }
            WriteOutcome::Accepted(version) => {
                let is_rival = |other: &&CompletedCall| matches!((other.call.request, other.end.outcome), (Put { value: other_value, .. }, WriteOutcome::Accepted(other_version)) if other_version == version && other_value != value);
                if let Some(rival) = completed.iter().find(is_rival) {
                    return Some(format!("{call:?} and {:?} are both accepted", rival.call));
                }
                // A repeated write is never rejected once the write was accepted.
                let is_rejected_repeat = |other: &&CompletedCall| {
                    other.call.request == call.request
                        && matches!(other.end.outcome, WriteOutcome::Conflict(_))
                };
                completed
                    .iter()
                    .find(is_rejected_repeat)
                    .map(|repeat| format!("{call:?} is accepted and {:?} is rejected", repeat.call))
            }
            WriteOutcome::Conflict(version) if version == on => Some(format!(
                "{call:?} is rejected although the version that it expects is current"
            )),
            _ => None,
        }
    }
}

/// Describes a call that began after another had ended but reports an older version. Only a repeated write may do so:
/// it is reported with the version under which it was first accepted.
fn find_stale_result(completed: &[CompletedCall]) -> Option<String> {
    for earlier in completed {
        let began_later = |call: &&CompletedCall| {
            call.call
                .began
                .is_some_and(|began| began > earlier.end.step)
        };
        for later in completed.iter().filter(began_later) {
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
