//! Maintains the roster of edges, under a singleton role.

use wire_messages::{Blob, Name};

use super::{Control, NO_CALLER};
use crate::{
    Effects, Ms, compressed,
    edge_roster::{EDGE_ROSTER_KEY, EdgeRoster},
    register::Expect,
    timing::NODE_RETENTION,
};

/// Interval between updates of the roster, in ms, so that edges that start together are added in one write: each is
/// synced to disk and sent to every edge.
pub const ROSTER_UPDATE_INTERVAL: Ms = 1_000;

/// State of maintaining the roster, kept while this daemon holds the role.
#[derive(Clone, Copy, Debug)]
pub(super) struct RosterRole {
    held_since: Ms,
    next_update: Ms,
}

impl Control {
    /// Adds edges that poll this daemon to the roster and removes those that have been gone for long, if this daemon
    /// holds the role.
    pub(super) fn maintain_edge_roster(&mut self, now: Ms, out: &mut Effects) {
        if self.registers.held_until(EDGE_ROSTER_KEY, now).is_none() {
            self.roster_role = None;
            return;
        }
        let role = self.roster_role.get_or_insert(RosterRole {
            held_since: now,
            next_update: now,
        });
        if now < role.next_update {
            return;
        }
        role.next_update = now + ROSTER_UPDATE_INTERVAL;
        let held_since = role.held_since;
        // A daemon that is not in contact may not have been polled by every edge yet, and a roster that lacks some is
        // no basis for shares.
        if self.is_settled && self.is_in_contact(now) {
            self.write_edge_roster(held_since, now, out);
        }
    }

    fn write_edge_roster(&mut self, held_since: Ms, now: Ms, out: &mut Effects) {
        if self.registers.has_pending_writes(EDGE_ROSTER_KEY) {
            return;
        }
        let committed: EdgeRoster = self.state_table.read(EDGE_ROSTER_KEY).unwrap_or_default();
        let next = self.next_edge_roster(&committed, held_since, now);
        if next == committed {
            return;
        }
        if let Some(value) = compressed::encode(&next) {
            let key = EDGE_ROSTER_KEY.into();
            let expect = Expect::Version(self.local_version(&key));
            self.registers
                .propose(NO_CALLER, &key, expect, Blob(value), now, out);
        }
    }

    /// Returns the committed roster with the edges that have polled since the role was acquired, and without those that
    /// have not polled for [`NODE_RETENTION`].
    fn next_edge_roster(&self, committed: &EdgeRoster, held_since: Ms, now: Ms) -> EdgeRoster {
        let mut next = committed.clone();
        let is_new_holder = now.saturating_sub(held_since) < NODE_RETENTION;
        let has_polled = |name: &str| {
            let polled_at = self.followers.get(&name.into()).map(|edge| edge.polled_at);
            polled_at.is_some_and(|at| now.saturating_sub(at) < NODE_RETENTION)
        };
        next.retain(|name| is_new_holder || has_polled(name));
        for follower in self.followers.live(now) {
            let Name(name) = &follower.node.name;
            if !next.contains(name) {
                next.insert(name, &follower.node.zone);
            }
        }
        next
    }
}
