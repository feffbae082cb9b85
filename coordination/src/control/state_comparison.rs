//! Tracks by digest which peers hold the same state as this daemon, and which differ for so long that slots must be
//! exchanged.

use std::collections::{BTreeMap, BTreeSet};

use wire_messages::Name;

use crate::{Ms, timing::HEARTBEAT_INTERVAL};

/// Time in ms after which two daemons with different states compare them, even if both keep changing.
const DIVERGENCE_TIMEOUT: Ms = 1_000;
/// Time in ms after which a voter whose state differs from this daemon's counts as lagging.
const LAGGING_AFTER: Ms = 500;

/// Digests of the committed state of a peer and of this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Digests {
    pub(super) theirs: u64,
    pub(super) own: u64,
}

/// A difference between a peer's state and this daemon's.
#[derive(Clone, Copy, Debug)]
struct Difference {
    /// The last digests that differed. An update in flight makes two states differ in one heartbeat only.
    digests: Digests,
    /// Start of the uninterrupted difference.
    since: Ms,
    /// When the states were last compared, or began to differ. While both states keep changing, no two differences have
    /// the same digests, and one of the daemons may still lack an earlier change.
    compared_at: Ms,
}

/// Outcomes of state comparisons with peers since this daemon started.
#[derive(Clone, Debug, Default)]
pub(super) struct StateComparison {
    compared_with: BTreeSet<Name>,
    differences: BTreeMap<Name, Difference>,
    next_slots_request: Ms,
}

impl StateComparison {
    /// Records the digest of a peer's heartbeat and returns whether a change was missed that is not in flight to either
    /// daemon. `votes_in_same_epoch`: whether the peer votes in this daemon's member epoch.
    pub(super) fn observe(
        &mut self,
        peer: &Name,
        digests: Digests,
        votes_in_same_epoch: bool,
        now: Ms,
    ) -> bool {
        if digests.theirs != digests.own {
            return !self.compared_with.contains(peer) || self.still_differs(peer, digests, now);
        }
        if votes_in_same_epoch {
            self.compared_with.insert(peer.clone());
        }
        self.differences.remove(peer);
        false
    }

    /// Returns whether a difference outlasts the updates in flight. Those cause a difference in one heartbeat, while a
    /// missed change causes one in the next heartbeat too, or for long.
    fn still_differs(&mut self, peer: &Name, digests: Digests, now: Ms) -> bool {
        let Some(difference) = self.differences.get_mut(peer) else {
            let difference = Difference {
                digests,
                since: now,
                compared_at: now,
            };
            self.differences.insert(peer.clone(), difference);
            return false;
        };
        let missed = difference.digests == digests
            || now.saturating_sub(difference.compared_at) >= DIVERGENCE_TIMEOUT;
        difference.digests = digests;
        if missed {
            difference.compared_at = now;
        }
        missed
    }

    /// Records that this daemon has compared its slots with a voter's.
    pub(super) fn record_compared(&mut self, voter: &Name) {
        self.compared_with.insert(voter.clone());
    }

    /// Returns the number of peers that this daemon has compared its slots with since it started.
    pub(super) fn compared_count(&self) -> usize {
        self.compared_with.len()
    }

    pub(super) fn is_lagging(&self, peer: &Name, now: Ms) -> bool {
        self.differences
            .get(peer)
            .is_some_and(|difference| now.saturating_sub(difference.since) >= LAGGING_AFTER)
    }

    /// Returns whether slots may be requested again; if so, the next request must wait a quarter of a heartbeat
    /// interval.
    pub(super) fn try_acquire_slots_request(&mut self, now: Ms) -> bool {
        if now < self.next_slots_request {
            return false;
        }
        self.next_slots_request = now + HEARTBEAT_INTERVAL / 4;
        true
    }
}
