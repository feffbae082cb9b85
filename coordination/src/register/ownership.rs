//! This daemon's ownership of one key: the proposer's state, and the requests that it serves.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use wire_messages::{Accept, Blob, Change, List, Name, OwnedKey, ReplacedValue, Slot};

use super::{Expect, slots::AcceptedStamp};
use crate::Ms;

/// ms. Prepares, accepts and questions to voters are sent again when they were not answered for this long.
pub(super) const RESEND_INTERVAL: Ms = 400;

/// A request that waits until this daemon owns its key and earlier requests are done.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) token: u64,
    pub(super) expect: Expect,
    /// None: a read of the newest version.
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

/// The one value of a key that the voters are asked to accept now.
#[derive(Clone, Debug)]
pub(super) struct InFlightWrite {
    pub(super) version: u64,
    pub(super) value: Blob,
    pub(super) replaced: List<ReplacedValue>,
    /// Voters that have it on disk.
    pub(super) accepted_by: BTreeSet<Name>,
    /// The request that waits for it; none where the value is only written again, or its request was answered.
    pub(super) token: Option<u64>,
    pub(super) expect: Expect,
    pub(super) received_at: Ms,
    pub(super) sent_at: Ms,
}

impl InFlightWrite {
    /// A pending write as the key's next version.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "a request is consumed by the write that it becomes"
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

    /// An accepted value that may be committed already, written again under the owner's own epoch.
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

    /// The request that waited for this write, if one still does.
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

/// A write, or a read where there is no value, whose key is no longer owned here.
#[derive(Clone, Debug)]
pub struct DisplacedRequest {
    /// Matches the outcome to the request.
    pub token: u64,
    /// The key.
    pub key: Name,
    /// What must hold for it to be written.
    pub expect: Expect,
    /// The value to write; none for a read.
    pub value: Option<Blob>,
    /// ms. When it was received here.
    pub received_at: Ms,
    /// The version as which it was offered to disks: it may be committed, or come to be.
    pub proposed_version: Option<u64>,
}

/// The two phases of a write to a register.
#[derive(Clone, Debug)]
pub(super) enum OwnershipPhase {
    /// Voters are asked to promise the epoch.
    Preparing {
        promised_by: BTreeSet<Name>,
        /// The newest accepted value among the promises.
        newest: Slot,
        sent_at: Ms,
    },
    /// A majority has promised: values may be proposed.
    Owning {
        /// The newest version that this owner knows to be committed, or is writing again.
        version: u64,
    },
}

/// This daemon's ownership of one key.
#[derive(Clone, Debug)]
pub(super) struct Ownership {
    pub(super) epoch: u64,
    pub(super) phase: OwnershipPhase,
    pub(super) in_flight: Option<InFlightWrite>,
    pub(super) pending: VecDeque<PendingRequest>,
    /// No prepare is sent before then: another daemon's lease still runs, or a rival was ahead.
    pub(super) not_before: Ms,
    /// A voter has promised a higher epoch: this one cannot win any more.
    pub(super) superseded: bool,
    /// When each voter's latest confirmation was asked for.
    pub(super) confirmed_by: BTreeMap<Name, Ms>,
    /// When the voters were last asked whether the key is still this daemon's own.
    pub(super) confirmation_sent_at: Ms,
}

impl Ownership {
    /// An ownership whose epoch the voters are yet to promise.
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

    /// Whether anything here waits for voters.
    pub(super) fn is_busy(&self) -> bool {
        self.has_requests() || !self.is_owning()
    }

    pub(super) fn has_requests(&self) -> bool {
        self.in_flight.is_some() || !self.pending.is_empty()
    }

    /// When the majority was asked that has confirmed this ownership since: the time at which so many voters' latest
    /// confirmations had all been asked for.
    pub(super) fn confirmed_at(&self, majority: usize) -> Option<Ms> {
        let mut requested_at: Vec<Ms> = self.confirmed_by.values().copied().collect();
        requested_at.sort_unstable_by(|earlier, later| later.cmp(earlier));
        requested_at.get(majority.wrapping_sub(1)).copied()
    }

    /// The key with this ownership's epoch, as it is renewed and released.
    pub(super) fn owned_key(&self, key: &Name) -> OwnedKey {
        OwnedKey {
            key: key.clone(),
            epoch: self.epoch,
        }
    }
}

/// Orders what promises bring: by the epoch and version under which it was accepted; of equal ones that which is known
/// to be committed.
pub(super) fn promise_order(slot: &Slot) -> (AcceptedStamp, u64) {
    (AcceptedStamp::of(slot), slot.committed_version)
}
