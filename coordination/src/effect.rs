//! Effects: the actions that a state machine requests. Runtimes execute them; state machines do no I/O themselves.

use std::fmt;

use wire_messages::{Message, Name, Slot, Voter};

use crate::{events::Event, platform_call::LeasedCall, rollout::Order};

/// Milliseconds of a clock that also advances while the machine sleeps.
pub type Ms = u64;
/// Effects to execute, in this order.
pub type Effects = Vec<Effect>;

/// A row of the durable state on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Row {
    /// The acceptor's state for one key.
    Slot(Slot),
    /// The member configuration; a disk stores only one.
    Members {
        /// The member epoch, which rises with each change of the voters.
        member_epoch: u32,
        /// Number of voters in the previous member epoch.
        before: u32,
        /// The voters of this epoch.
        voters: Vec<Voter>,
        /// Whether this daemon has caught up and votes.
        voting: bool,
        /// Whether this daemon was a voter until this member epoch replaced it.
        left: bool,
    },
}

/// Why a write was rejected before it was sent to any acceptor. The texts are shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAcceptedReason {
    /// This daemon was suspended until just now, and the write may have been queued meanwhile.
    Suspended,
    /// Other writes of the key were accepted first until the retries of this unconditional write ran out.
    Overtaken,
    /// No voter that could own the key is live.
    NoLiveVoter,
    /// The key has moved to another owner.
    KeyMoved,
    /// The key's owner rejected it.
    RejectedByOwner,
    /// No majority of disks answered in time.
    NoMajority,
    /// This daemon does not vote.
    NotVoting,
    /// Too many writes of this key are pending.
    TooManyPending,
    /// This daemon's disk does not work.
    DiskFailed,
}

impl NotAcceptedReason {
    /// Returns the text for operators, which is also sent over the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            NotAcceptedReason::Suspended => "this daemon stood still until just now; ask again",
            NotAcceptedReason::Overtaken => "other orders came first; ask again",
            NotAcceptedReason::NoLiveVoter => "no voter is live",
            NotAcceptedReason::KeyMoved => "the key has moved",
            NotAcceptedReason::RejectedByOwner => "the key's owner did not take it; ask again",
            NotAcceptedReason::NoMajority => "no majority of disks answered in time",
            NotAcceptedReason::NotVoting => "this daemon does not vote",
            NotAcceptedReason::TooManyPending => "too many writes wait for this key",
            NotAcceptedReason::DiskFailed => "this daemon's disk does not work",
        }
    }
}

impl fmt::Display for NotAcceptedReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was synced on a majority as this version.
    Accepted(u64),
    /// Another write was accepted first; this version is current.
    Conflict(u64),
    /// The write was not and never will be sent to an acceptor.
    NotAccepted(NotAcceptedReason),
    /// The write may or may not be committed; read the key to find out.
    Unknown,
}

/// An action that a state machine requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to another process. The message may be lost.
    Send {
        /// The receiver.
        to: Name,
        /// The message.
        msg: Message,
    },
    /// Sync the rows, then execute `then`. If the sync fails, `then` is dropped and the state machine restarts from
    /// disk.
    Persist {
        /// The rows to store.
        rows: Vec<Row>,
        /// Effects that must not be executed before the rows are durable.
        then: Effects,
    },
    /// Report the outcome of a local caller's write.
    WriteFinished {
        /// The token that was returned when the write was submitted.
        token: u64,
        /// The outcome.
        outcome: WriteOutcome,
    },
    /// An order under the lease of a service's rollout. The runtime must check `until` again before it executes the
    /// order, as the process may have been suspended.
    Order {
        /// The service.
        service: String,
        /// Orders under a lower epoch are rejected.
        epoch: u64,
        /// When the lease expires, by this daemon's monotonic clock.
        until: Ms,
        /// The order.
        order: Order,
    },
    /// A call to the platform under the lease of a singleton role. The runtime must check the lease again right before
    /// sending, abort the call when the lease expires, and report the outcome to
    /// [`crate::control::Control::on_platform_call_finished`].
    PlatformCall(LeasedCall),
    /// Log an event.
    Log {
        /// The event.
        event: Event,
        /// The process, service or key concerned; may be empty.
        peer: Name,
        /// Details.
        text: String,
    },
}

/// Returns the effect that sends a message.
pub fn send(to: &Name, msg: impl Into<Message>) -> Effect {
    Effect::Send {
        to: to.clone(),
        msg: msg.into(),
    }
}

/// Returns the effect that logs an event.
pub fn log_event(event: Event, peer: &str, text: impl Into<String>) -> Effect {
    Effect::Log {
        event,
        peer: peer.into(),
        text: text.into(),
    }
}

#[cfg(test)]
mod tests;
