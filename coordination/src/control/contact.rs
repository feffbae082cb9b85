//! Whether this daemon is in touch with the fleet, so that what it does not hear of is gone and not merely out of its reach.

use super::*;

/// Since when a daemon has run and heard a majority of the voters without a break, and when it next tells edges of itself
/// until that has lasted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Contact {
    since: Option<Ms>,
    next_introduction: Ms,
}

impl Contact {
    /// Of a daemon that starts.
    pub(super) fn new(now: Ms) -> Self {
        Contact { since: None, next_introduction: now + INTRODUCE_EVERY }
    }

    /// Takes what was seen at a tick.
    pub(super) fn observe(&mut self, hears_voters: bool, now: Ms) {
        self.since = hears_voters.then(|| self.since.unwrap_or(now));
    }

    fn lasts(&self, now: Ms) -> bool {
        self.since.is_some_and(|since| now.saturating_sub(since) >= IN_TOUCH_AFTER)
    }
}

impl Control {
    /// Whether a majority of the voters was heard lately, this daemon itself counting as one of them. Unlike for their
    /// votes it matters neither what state they are in nor which member epoch they follow.
    pub(super) fn hears_voters(&self, now: Ms) -> bool {
        let hears =
            |name: &Name| *name == self.p.name || self.peers.get(name).is_some_and(|p| now.saturating_sub(p.at) <= PEER_GONE);
        let heard = self.regs.voters.iter().filter(|v| hears(&v.name)).count();
        self.regs.is_majority(heard)
    }

    /// Whether this daemon is in touch. One that has just woken is not, though it has not ticked since.
    pub(super) fn in_touch(&self, now: Ms) -> bool {
        now.saturating_sub(self.ticked) <= STOOD_STILL && self.contact.lasts(now)
    }

    /// Tells edges that have not polled this daemon of it: gossip would take long to bring a newcomer round a large fleet.
    pub(super) fn introduce(&mut self, now: Ms, out: &mut Effects) {
        if now < self.contact.next_introduction || self.in_touch(now) {
            return;
        }
        self.contact.next_introduction = now + INTRODUCE_EVERY;
        let strangers = self.membership.live(EDGE).filter(|n| !self.agents.contains_key(&n.name));
        out.extend(strangers.map(|n| send(&n.addr, self.membership.introduction())));
    }
}
