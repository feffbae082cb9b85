//! Whether this daemon is in contact with the fleet, so that an edge it does not hear from is gone and not merely out of
//! its reach.

use wire_messages::Name;

use super::Control;
use crate::{Effects, Ms, effect::send, membership::NodeRole, timing::PEER_TIMEOUT};

/// ms. A control daemon that has run and heard a majority of the voters for so long without a break is in contact: every
/// live edge has polled it, also one that has just learned of it.
const CONTACT_ESTABLISHED_AFTER: Ms = 3_000;
/// ms. Until it is in contact a daemon introduces itself this often to edges that gossip knows and that have not polled
/// it: those that know it have done so twice by then.
const INTRODUCTION_INTERVAL: Ms = 1_000;

/// Since when a daemon has run and heard a majority of the voters without a break, and when it next introduces itself to
/// edges until that has lasted.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetContact {
    in_touch_since: Option<Ms>,
    next_introduction: Ms,
}

impl FleetContact {
    /// The contact of a daemon that starts.
    pub(super) fn new(now: Ms) -> Self {
        FleetContact {
            in_touch_since: None,
            next_introduction: now + INTRODUCTION_INTERVAL,
        }
    }

    /// Takes what was observed at a tick.
    pub(super) fn observe(&mut self, hears_voters: bool, now: Ms) {
        self.in_touch_since = hears_voters.then(|| self.in_touch_since.unwrap_or(now));
    }

    fn is_established(&self, now: Ms) -> bool {
        self.in_touch_since
            .is_some_and(|since| now.saturating_sub(since) >= CONTACT_ESTABLISHED_AFTER)
    }
}

impl Control {
    /// Whether a majority of the voters was heard from lately, this daemon itself counting as one of them. Unlike for
    /// their votes it matters neither what state they are in nor which member epoch they follow.
    pub(super) fn hears_voter_majority(&self, now: Ms) -> bool {
        let is_heard = |name: &Name| {
            *name == self.config.name || self.peers.is_heard_within(name, PEER_TIMEOUT, now)
        };
        let heard = self
            .registers
            .members
            .voters
            .iter()
            .filter(|voter| is_heard(&voter.name))
            .count();
        self.registers.is_majority(heard)
    }

    /// Whether this daemon is in contact. One that has just resumed is not, though it has not ticked since.
    pub(super) fn in_touch(&self, now: Ms) -> bool {
        self.suspension.ticked_lately(now) && self.fleet_contact.is_established(now)
    }

    /// Introduces this daemon to edges that have not polled it: gossip would take long to spread a new daemon through a
    /// large fleet.
    pub(super) fn introduce(&mut self, now: Ms, out: &mut Effects) {
        if now < self.fleet_contact.next_introduction || self.in_touch(now) {
            return;
        }
        self.fleet_contact.next_introduction = now + INTRODUCTION_INTERVAL;
        let strangers = self
            .membership
            .live(NodeRole::Edge)
            .filter(|node| !self.followers.contains(&node.name));
        out.extend(strangers.map(|node| send(&node.addr, self.membership.introduction())));
    }
}
