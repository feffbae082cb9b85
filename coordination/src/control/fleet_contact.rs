//! Whether this daemon is in touch with the fleet, so that what it does not hear of is gone and not merely out of its reach.

use super::*;
use crate::{control::writes::SUSPENSION_THRESHOLD, timing::PEER_TIMEOUT};

/// ms. A control daemon that has run and heard a majority of the voters for so long without a break is in touch: every live
/// edge has polled it, also one that has just learned of it.
const CONTACT_ESTABLISHED_AFTER: Ms = 3_000;
/// ms. Until it is in touch a daemon tells edges of itself this often, where gossip knows them and they have not polled it:
/// those that know it have done so twice by then.
const INTRODUCTION_INTERVAL: Ms = 1_000;

/// Since when a daemon has run and heard a majority of the voters without a break, and when it next tells edges of itself
/// until that has lasted.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetContact {
    in_touch_since: Option<Ms>,
    next_introduction: Ms,
}

impl FleetContact {
    /// Of a daemon that starts.
    pub(super) fn new(now: Ms) -> Self {
        FleetContact {
            in_touch_since: None,
            next_introduction: now + INTRODUCTION_INTERVAL,
        }
    }

    /// Takes what was seen at a tick.
    pub(super) fn observe(&mut self, hears_voters: bool, now: Ms) {
        self.in_touch_since = hears_voters.then(|| self.in_touch_since.unwrap_or(now));
    }

    fn is_established(&self, now: Ms) -> bool {
        self.in_touch_since
            .is_some_and(|since| now.saturating_sub(since) >= CONTACT_ESTABLISHED_AFTER)
    }
}

impl Control {
    /// Whether a majority of the voters was heard lately, this daemon itself counting as one of them. Unlike for their
    /// votes it matters neither what state they are in nor which member epoch they follow.
    pub(super) fn hears_voter_majority(&self, now: Ms) -> bool {
        let hears = |name: &Name| {
            *name == self.config.name
                || self
                    .peers
                    .get(name)
                    .is_some_and(|p| now.saturating_sub(p.heard_at) <= PEER_TIMEOUT)
        };
        let heard = self
            .registers
            .members
            .voters
            .iter()
            .filter(|v| hears(&v.name))
            .count();
        self.registers.is_majority(heard)
    }

    /// Whether this daemon is in touch. One that has just woken is not, though it has not ticked since.
    pub(super) fn in_touch(&self, now: Ms) -> bool {
        now.saturating_sub(self.last_tick) <= SUSPENSION_THRESHOLD
            && self.fleet_contact.is_established(now)
    }

    /// Tells edges that have not polled this daemon of it: gossip would take long to bring a newcomer round a large fleet.
    pub(super) fn introduce(&mut self, now: Ms, out: &mut Effects) {
        if now < self.fleet_contact.next_introduction || self.in_touch(now) {
            return;
        }
        self.fleet_contact.next_introduction = now + INTRODUCTION_INTERVAL;
        let strangers = self
            .membership
            .live(NodeRole::Edge)
            .filter(|n| !self.followers.contains_key(&n.name));
        out.extend(strangers.map(|n| send(&n.addr, self.membership.introduction())));
    }
}
