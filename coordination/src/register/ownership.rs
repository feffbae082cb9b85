//! Ownership of one key by this daemon: the proposer's state and the requests that it serves.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use wire_messages::{Accept, Blob, Change, List, Name, OwnedKey, ReplacedValue, Slot};

use super::{Expect, slots::AcceptedStamp};
use crate::Ms;

/// Interval after which unanswered prepares, accepts and confirmation requests are sent again, in ms.
pub(super) const RESEND_INTERVAL: Ms = 400;

/// A request that waits until this daemon owns its key and earlier requests have finished.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) token: u64,
    pub(super) expect: Expect,
    /// `None` for a read of the newest version.
    pub(super) value: Option<Blob>,
    pub(super) received_at: Ms,
}

impl PendingRequest {
    pub(super) fn into_displaced(self, key: &Name) -> DisplacedRequest {
        DisplacedRequest {
            token: self.token,
            key: key.clone(),
            expect: self.expect,
            value: self.value,
            received_at: self.received_at,
            proposed_version: None,
        }
    }
}

/// The write in flight for a key; there is at most one.
#[derive(Clone, Debug)]
pub(super) struct InFlightWrite {
    pub(super) version: u64,
    pub(super) value: Blob,
    pub(super) replaced: List<ReplacedValue>,
    /// Voters that have synced it.
    pub(super) accepted_by: BTreeSet<Name>,
    /// Token of the waiting request. `None` if the value is only being written again, or the request was answered.
    pub(super) token: Option<u64>,
    pub(super) expect: Expect,
    pub(super) received_at: Ms,
    pub(super) sent_at: Ms,
}

impl InFlightWrite {
    /// Turns a pending write into the key's next version.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "the request is consumed by the write built from it"
    )]
    pub(super) fn new(
        request: PendingRequest,
        value: Blob,
        version: u64,
        replaced: List<ReplacedValue>,
        now: Ms,
    ) -> Self {
        InFlightWrite {
            version,
            value,
            replaced,
            accepted_by: BTreeSet::new(),
            token: Some(request.token),
            expect: request.expect,
            received_at: request.received_at,
            sent_at: now,
        }
    }

    /// Writes an accepted value, which may already be committed, again under the owner's own epoch.
    pub(super) fn rewrite(slot: &Slot, now: Ms) -> Self {
        InFlightWrite {
            version: slot.version,
            value: slot.value.clone(),
            replaced: slot.replaced.clone(),
            accepted_by: BTreeSet::new(),
            token: None,
            expect: Expect::Any,
            received_at: now,
            sent_at: now,
        }
    }

    pub(super) fn accept_message(&self, key: &Name, epoch: u64, member_epoch: u32) -> Accept {
        Accept {
            key: key.clone(),
            epoch,
            version: self.version,
            value: self.value.clone(),
            replaced: self.replaced.clone(),
            member_epoch,
        }
    }

    pub(super) fn committed_change(&self, key: &Name, epoch: u64) -> Change {
        Change {
            key: key.clone(),
            epoch,
            version: self.version,
            value: self.value.clone(),
        }
    }

    /// Returns the request that still waits for this write, if any.
    pub(super) fn into_displaced(self, key: &Name) -> Option<DisplacedRequest> {
        Some(DisplacedRequest {
            token: self.token?,
            key: key.clone(),
            expect: self.expect,
            value: Some(self.value),
            received_at: self.received_at,
            proposed_version: Some(self.version),
        })
    }
}

/// A request whose key this daemon no longer owns: a write, or a read if `value` is `None`.
#[derive(Clone, Debug)]
pub struct DisplacedRequest {
    /// Token that matches the outcome to the request.
    pub token: u64,
    /// The key.
    pub key: Name,
    /// What must be current for the write to be accepted.
    pub expect: Expect,
    /// The value to write; `None` for a read.
    pub value: Option<Blob>,
    /// When this daemon received the request, in ms.
    pub received_at: Ms,
    /// The version under which the write was proposed to voters. It may be committed, now or later.
    pub proposed_version: Option<u64>,
}

/// The phases of ownership of a key.
#[derive(Clone, Debug)]
pub(super) enum OwnershipPhase {
    /// Waiting for voters to promise the epoch.
    Preparing {
        promised_by: BTreeSet<Name>,
        /// The newest accepted value among the promises.
        newest: Slot,
        sent_at: Ms,
    },
    /// A majority has promised, so values may be proposed.
    Owning {
        /// The newest version that this owner knows to be committed or is writing again.
        version: u64,
    },
}

/// Ownership of one key by this daemon.
#[derive(Clone, Debug)]
pub(super) struct Ownership {
    pub(super) epoch: u64,
    pub(super) phase: OwnershipPhase,
    pub(super) in_flight: Option<InFlightWrite>,
    pub(super) pending: VecDeque<PendingRequest>,
    /// No prepare is sent before this time: another daemon's lease still runs, or a voter has promised a higher epoch.
    pub(super) not_before: Ms,
    /// A voter has promised a higher epoch, so this one can no longer win a majority.
    pub(super) superseded: bool,
    /// When the request for each voter's latest confirmation was sent.
    pub(super) confirmed_by: BTreeMap<Name, Ms>,
    /// When the voters were last asked to confirm the ownership.
    pub(super) confirmation_sent_at: Ms,
}

impl Ownership {
    /// Returns an ownership whose epoch the voters have not promised yet.
    pub(super) fn preparing(
        epoch: u64,
        pending: VecDeque<PendingRequest>,
        not_before: Ms,
        now: Ms,
    ) -> Self {
        Ownership {
            epoch,
            phase: OwnershipPhase::Preparing {
                promised_by: BTreeSet::new(),
                newest: Slot::default(),
                sent_at: now,
            },
            in_flight: None,
            pending,
            not_before,
            superseded: false,
            confirmed_by: BTreeMap::new(),
            confirmation_sent_at: 0,
        }
    }

    pub(super) fn is_owning(&self) -> bool {
        matches!(self.phase, OwnershipPhase::Owning { .. })
    }

    /// Returns whether the ownership waits for voters.
    pub(super) fn is_busy(&self) -> bool {
        self.has_requests() || !self.is_owning()
    }

    pub(super) fn has_requests(&self) -> bool {
        self.in_flight.is_some() || !self.pending.is_empty()
    }

    /// Returns when a majority last confirmed this ownership: the latest time at or after which the requests for that
    /// many voters' latest confirmations were sent.
    pub(super) fn confirmed_at(&self, majority: usize) -> Option<Ms> {
        let mut requested_at: Vec<Ms> = self.confirmed_by.values().copied().collect();
        requested_at.sort_unstable_by(|earlier, later| later.cmp(earlier));
        requested_at.get(majority.wrapping_sub(1)).copied()
    }

    /// Returns the key with this ownership's epoch, as sent in renewals and releases.
    pub(super) fn owned_key(&self, key: &Name) -> OwnedKey {
        OwnedKey {
            key: key.clone(),
            epoch: self.epoch,
        }
    }
}

/// Orders the slots in promises by epoch and version; if these are equal, by the version known to be committed.
pub(super) fn promise_order(slot: &Slot) -> (AcceptedStamp, u64) {
    (AcceptedStamp::of(slot), slot.committed_version)
}
