//! What a state machine wants done. Runtimes carry effects out; nothing else touches the world.

use std::fmt;

use wire_messages::{Message, Name, Slot, Voter};

use crate::{events::Event, platform_call::LeasedCall, rollout::Order};

/// Milliseconds of a clock that also runs while the machine sleeps.
pub type Ms = u64;
/// What a state machine wants done, in this order.
pub type Effects = Vec<Effect>;

/// What the disk stores.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Row {
    /// The acceptor's state for one key.
    Slot(Slot),
    /// The membership; there is one.
    Members {
        /// Rises with each change of the voters.
        member_epoch: u32,
        /// How many voters there were in the epoch before.
        before: u32,
        /// The voters of this epoch.
        voters: Vec<Voter>,
        /// Whether this disk has caught up and votes.
        voting: bool,
        /// Whether it voted until this member epoch, which gave its place away.
        left: bool,
    },
}

/// Why a write was never offered to a disk. Operators see the texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAcceptedReason {
    /// This daemon was suspended until just now, and the write may have waited for it.
    Suspended,
    /// Other writes of the key came first, for as long as an unconditional write is tried again.
    Overtaken,
    /// No voter is live that could own the key.
    NoLiveVoter,
    /// The key has moved to another owner.
    KeyMoved,
    /// The key's owner rejected it.
    RejectedByOwner,
    /// No majority of disks answered in time.
    NoMajority,
    /// This daemon does not vote.
    NotVoting,
    /// Too many writes wait for this key.
    TooManyPending,
    /// This daemon's disk does not work.
    DiskFailed,
}

impl NotAcceptedReason {
    /// The text for operators, which also goes over the wire.
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

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Synced on a majority as this version.
    Accepted(u64),
    /// Another write came first; this version is current.
    Conflict(u64),
    /// It was never offered to a disk and never will be.
    NotAccepted(NotAcceptedReason),
    /// It may or may not become the value; read the key to find out.
    Unknown,
}

/// One thing that a state machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to another process; it may get lost.
    Send {
        /// The receiver.
        to: Name,
        /// What to send.
        msg: Message,
    },
    /// Sync the rows, then do `then`. If syncing fails `then` is dropped and the machine restarts from disk.
    Persist {
        /// What to store.
        rows: Vec<Row>,
        /// What must not happen before the rows are durable.
        then: Effects,
    },
    /// A local caller's write ended.
    WriteFinished {
        /// The token that the write got when it was submitted.
        token: u64,
        /// What became of it.
        outcome: WriteOutcome,
    },
    /// An order under the lease of a service's rollout. Whoever carries it out checks `until` again first: the process
    /// may have been suspended.
    Order {
        /// The service.
        service: String,
        /// Orders under a lower epoch are rejected.
        epoch: u64,
        /// When the lease ends, by this daemon's monotonic clock.
        until: Ms,
        /// What to order.
        order: Order,
    },
    /// A call to the platform under the lease of a singleton role. Whoever carries it out checks the lease again at the
    /// moment of sending, ends the call with the lease at the latest, and hands the outcome back: see
    /// [`crate::control::Control::on_platform_call_finished`].
    PlatformCall(LeasedCall),
    /// Log an event.
    Log {
        /// Which.
        event: Event,
        /// The process, service or key that it is about; may be empty.
        peer: Name,
        /// Details.
        text: String,
    },
}

/// The effect that sends a message.
pub fn send(to: &Name, msg: impl Into<Message>) -> Effect {
    Effect::Send {
        to: to.clone(),
        msg: msg.into(),
    }
}

/// The effect that logs an event.
pub fn log_event(event: Event, peer: &str, text: impl Into<String>) -> Effect {
    Effect::Log {
        event,
        peer: peer.into(),
        text: text.into(),
    }
}

#[cfg(test)]
mod tests;
