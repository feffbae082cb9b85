//! Tracks whether this daemon is in contact with the fleet. Only then does a silent edge count as unreachable;
//! otherwise this daemon may be the one that is cut off.

use wire_messages::Name;

use super::Control;
use crate::{Effects, Ms, effect::send, membership::NodeRole, timing::PEER_TIMEOUT};

/// Time in ms without interruption that a control daemon must run and receive heartbeats from a majority of the voters
/// to be in contact. By then every live edge has polled it, including edges that have just discovered it.
const CONTACT_ESTABLISHED_AFTER: Ms = 3_000;
/// Interval in ms at which a daemon that is not yet in contact introduces itself to edges that are known by gossip but
/// have not polled it. Edges that know the daemon poll it twice in this time.
const INTRODUCTION_INTERVAL: Ms = 1_000;

/// How long a majority of the voters has been reachable without interruption, and the schedule of introductions to
/// edges.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetContact {
    majority_reachable_since: Option<Ms>,
    next_introduction: Ms,
}

impl FleetContact {
    /// Creates the state of a daemon that starts at `now`.
    pub(super) fn new(now: Ms) -> Self {
        FleetContact {
            majority_reachable_since: None,
            next_introduction: now + INTRODUCTION_INTERVAL,
        }
    }

    /// Records at a tick whether this daemon ran and a majority of the voters was reachable.
    pub(super) fn observe(&mut self, is_majority_reachable: bool, now: Ms) {
        self.majority_reachable_since =
            is_majority_reachable.then(|| self.majority_reachable_since.unwrap_or(now));
    }

    fn is_established(&self, now: Ms) -> bool {
        self.majority_reachable_since
            .is_some_and(|since| now.saturating_sub(since) >= CONTACT_ESTABLISHED_AFTER)
    }
}

impl Control {
    /// Returns whether heartbeats were recently received from a majority of the voters, including this daemon itself.
    /// Unlike for votes, neither the state nor the member epoch of the voters matters.
    pub(super) fn is_voter_majority_reachable(&self, now: Ms) -> bool {
        let is_reachable = |name: &Name| {
            *name == self.config.name || self.peers.is_reachable_within(name, PEER_TIMEOUT, now)
        };
        let reachable = self
            .registers
            .members
            .voters
            .iter()
            .filter(|voter| is_reachable(&voter.name))
            .count();
        self.registers.is_majority(reachable)
    }

    /// Returns whether this daemon is in contact. A daemon that has just resumed is not, even before its first tick.
    pub(super) fn is_in_contact(&self, now: Ms) -> bool {
        self.suspension.ticked_recently(now) && self.fleet_contact.is_established(now)
    }

    /// Introduces this daemon to edges that have not polled it, because gossip takes long to spread a new daemon
    /// through a large fleet.
    pub(super) fn introduce(&mut self, now: Ms, out: &mut Effects) {
        if now < self.fleet_contact.next_introduction || self.is_in_contact(now) {
            return;
        }
        self.fleet_contact.next_introduction = now + INTRODUCTION_INTERVAL;
        let non_followers = self
            .membership
            .live(NodeRole::Edge)
            .filter(|node| !self.followers.contains(&node.name));
        out.extend(non_followers.map(|node| send(&node.addr, self.membership.introduction())));
    }
}
