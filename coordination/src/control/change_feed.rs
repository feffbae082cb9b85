//! Change feed: committed values in the order in which they became known to this daemon, for delivery to the edge
//! agents.

use std::{cell::OnceCell, collections::BTreeMap};

use wire_messages::{Change, List, Name, Node, Update};

use super::{
    Control, DRAINING_PREFIX, SPEC_KEY,
    followers::{Follower, InFlight},
};
use crate::{
    Effects, Ms,
    effect::{log_event, send},
    events, regions,
    register::is_sent_to_edges,
    rendezvous::rendezvous_weight,
    state_table::version_stamp,
};

/// Assumed rate in bytes per ms at which updates arrive at an agent: an edge's link of 10 Mbit/s, shared by the daemons
/// that send to it. Short updates, which are nearly all, count as arriving at once.
pub const ASSUMED_BYTES_PER_MS: Ms = 256;
/// Changes are pushed only to agents that polled within this time in ms, which is two poll intervals. An agent that was
/// cut off polls again when it reconnects; changes pushed in the meantime would then all arrive at once.
pub const PUSH_ELIGIBILITY: Ms = 1_000;
/// Length in bytes above which a value is sent to an agent by one daemon only: sending it again costs more than
/// waiting.
const LONG_VALUE_BYTES: usize = 1_000;
/// Time in ms within which changes are pushed to an agent, even a long spec over a slow link by a busy daemon. After
/// it, any daemon that is polled sends them, well before a change must take effect.
pub const PUSH_TIMEOUT: Ms = 1_000;

/// A key's newest position in the change feed.
#[derive(Clone, Copy, Debug, Default)]
struct FeedEntry {
    position: u64,
    /// When the current burst of changes to the key began.
    burst_started_at: Ms,
    /// Version before the current burst.
    version_before_burst: u64,
    /// Version before the previous burst. An agent with an older version did not receive this one from the daemon that
    /// pushes to it.
    version_before_previous_burst: u64,
}

impl FeedEntry {
    fn advance(&mut self, position: u64, previous_version: u64, now: Ms) {
        self.position = position;
        if !self.is_in_burst(now) {
            self.burst_started_at = now;
            self.version_before_previous_burst = self.version_before_burst;
            self.version_before_burst = previous_version;
        }
    }

    fn is_in_burst(&self, now: Ms) -> bool {
        now.saturating_sub(self.burst_started_at) < PUSH_TIMEOUT
    }
}

/// Positions of all keys. Only the newest position of each key is kept, because followers merge values by version and
/// never need an older one.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeFeed {
    position: u64,
    entries: BTreeMap<Name, FeedEntry>,
}

impl ChangeFeed {
    /// Returns the newest position.
    pub(super) fn position(&self) -> u64 {
        self.position
    }

    fn append(&mut self, key: &Name, previous_version: u64, now: Ms) {
        self.position += 1;
        let entry = self.entries.entry(key.clone()).or_default();
        entry.advance(self.position, previous_version, now);
    }

    fn entries_after(&self, position: u64) -> impl Iterator<Item = (&Name, &FeedEntry)> {
        self.entries
            .iter()
            .filter(move |(_, entry)| entry.position > position)
    }
}

/// Changes to send to a follower.
struct PendingChanges {
    changes: Vec<Change>,
    /// Position that the follower reaches with these changes.
    through_position: u64,
}

impl Control {
    /// Merges newly committed values into the state table and the change feed, and pushes them to the agents.
    pub(super) fn publish(&mut self, now: Ms, out: &mut Effects) {
        if self.merge_committed(now, out) {
            self.push_updates(now, out);
        }
    }

    /// Merges newly committed values; returns whether any of them is sent to edges.
    fn merge_committed(&mut self, now: Ms, out: &mut Effects) -> bool {
        let (mut is_any_new, mut is_spec_new) = (false, false);
        for change in std::mem::take(&mut self.registers.newly_committed) {
            let previous_version = self.local_version(&change.key);
            if !self.state_table.merge(&change) || !is_sent_to_edges(&change.key) {
                continue;
            }
            is_any_new = true;
            is_spec_new |= &*change.key == SPEC_KEY;
            self.parsed.parse_rollout(&change);
            if let Some(replica) = change.key.strip_prefix(DRAINING_PREFIX)
                && !change.value.0.is_empty()
            {
                out.push(log_event(events::REPLICA_DRAINING, replica, ""));
            }
            self.change_feed.append(&change.key, previous_version, now);
        }
        if is_spec_new && let Some(document) = self.state_table.get(SPEC_KEY) {
            self.parsed.parse_spec(document);
        }
        is_any_new
    }

    fn push_updates(&mut self, now: Ms, out: &mut Effects) {
        let sources = self.update_sources(now);
        let through_position = self.change_feed.position();
        let mut followers = std::mem::take(&mut self.followers);
        for follower in followers.iter_mut() {
            let polled_lately = now.saturating_sub(follower.polled_at) <= PUSH_ELIGIBILITY;
            if polled_lately && self.pushes_to(&follower.node, &sources) {
                let addr = follower.node.addr.clone();
                self.send_update(&addr, follower, through_position, false, now, out);
                // The push is assumed to arrive; otherwise the agent's next poll shows that it is missing.
                follower.after_position = follower.in_flight.through_position;
            }
        }
        self.followers = followers;
    }

    /// Returns whether this daemon pushes changes to an agent: to agents in its zone, and to those for which it is
    /// first in rendezvous order among the live daemons of their region, or among all live daemons if their region has
    /// none. Other agents receive changes from other daemons or by polling.
    fn pushes_to(&self, agent: &Node, sources: &[Name]) -> bool {
        let region_of = |zone| regions::region_of(&self.config.regions, zone);
        // Traffic between regions is expensive.
        let is_same_region =
            |source: &&Name| region_of(self.zone_of_daemon(source)) == region_of(&agent.zone);
        let weight = |source: &&Name| rendezvous_weight(&agent.name, source);
        let first = sources
            .iter()
            .filter(is_same_region)
            .max_by_key(weight)
            .or_else(|| sources.iter().max_by_key(weight));
        agent.zone == self.config.zone || first.is_none_or(|name| *name == self.config.name)
    }

    /// Returns the zone of a control daemon, which may be this daemon.
    fn zone_of_daemon(&self, name: &Name) -> &Name {
        self.peers
            .get(name)
            .map_or(&self.config.zone, |peer| &peer.heartbeat.zone)
    }

    /// Returns the names of the daemons that can send changes.
    fn update_sources(&self, now: Ms) -> Vec<Name> {
        let is_live = self.live_voters(now);
        self.peers
            .names()
            .chain([&self.config.name])
            .filter(|name| is_live(name))
            .cloned()
            .collect()
    }

    /// Sends a follower the changes it lacks and records when they are assumed to arrive. The update names no position
    /// beyond `through_limit`.
    pub(super) fn send_update(
        &self,
        addr: &Name,
        follower: &mut Follower,
        through_limit: u64,
        is_snapshot: bool,
        now: Ms,
        out: &mut Effects,
    ) {
        let update = self.build_update(follower, is_snapshot, now);
        Self::deliver_update(addr, follower, update, through_limit, now, out);
    }

    /// Answers a poll like a push, and adds the report of unreachable edges if the agent lacks the newest.
    pub(super) fn send_poll_answer(
        &self,
        addr: &Name,
        follower: &mut Follower,
        through_limit: u64,
        is_snapshot: bool,
        now: Ms,
        out: &mut Effects,
    ) {
        let update = Update {
            unreachable_edges: self.unreachable_edges_update(follower),
            ..self.build_update(follower, is_snapshot, now)
        };
        Self::deliver_update(addr, follower, update, through_limit, now, out);
    }

    fn deliver_update(
        addr: &Name,
        follower: &mut Follower,
        mut update: Update,
        through_limit: u64,
        now: Ms,
        out: &mut Effects,
    ) {
        let changes = update.changes.iter();
        let bytes: usize = changes.map(|change| change.value.0.len()).sum();
        // Updates that are still in flight arrive first.
        let starts_at = now.max(follower.in_flight.until);
        follower.in_flight = InFlight {
            through_position: update.through_position,
            until: starts_at + bytes as Ms / ASSUMED_BYTES_PER_MS,
        };
        update.through_position = update.through_position.min(through_limit);
        out.push(send(addr, update));
    }

    fn build_update(&self, follower: &Follower, is_snapshot: bool, now: Ms) -> Update {
        let pending = self.pending_changes(follower, is_snapshot, now);
        Update {
            poll_sent_at: follower.poll_sent_at,
            source_incarnation: self.incarnation,
            through_position: pending.through_position,
            counters_through: follower.counters_through,
            selection: self.counters.selection(),
            selected_services: self.counters.services().cloned().collect(),
            wants_usage: self.counters.keeps_usage().into(),
            is_snapshot: is_snapshot.into(),
            is_settled: self.is_settled.into(),
            voter_count: self.registers.members.voters.len() as u64,
            changes: List(pending.changes),
            leases: self.current_leases(now),
            // A push cannot know which report the agent has received in the meantime.
            unreachable_edges: List::default(),
            after_position: follower.after_position,
        }
    }

    /// Returns the changes that a follower lacks, except long values that it most likely receives another way. The
    /// position stays before the first omitted change.
    fn pending_changes(&self, follower: &Follower, is_snapshot: bool, now: Ms) -> PendingChanges {
        let long_values_in_flight = self.long_values_in_flight(follower, now);
        let is_preferred = OnceCell::new();
        let is_preferred =
            || *is_preferred.get_or_init(|| self.is_preferred_source(&follower.node, now));
        let is_left_out = |change: &Change, entry: &FeedEntry| {
            let is_pushed = || {
                entry.is_in_burst(now)
                    && follower.seen_version(&change.key) >= entry.version_before_previous_burst
            };
            !is_snapshot
                && change.value.0.len() > LONG_VALUE_BYTES
                && (long_values_in_flight || (is_pushed() && !is_preferred()))
        };
        let mut pending = PendingChanges {
            changes: vec![],
            through_position: self.change_feed.position(),
        };
        for (key, entry) in self.change_feed.entries_after(follower.after_position) {
            let Some(change) = self.state_table.get(key) else {
                continue;
            };
            // Values received from other sources are not sent again.
            let lacks = follower
                .seen(key)
                .is_none_or(|seen| version_stamp(seen) < version_stamp(change));
            if lacks && is_left_out(change, entry) {
                pending.through_position = pending.through_position.min(entry.position - 1);
            } else if lacks {
                pending.changes.push(change.clone());
            }
        }
        pending
    }

    /// Returns whether long values are most likely in flight to a follower already: in the answer to an earlier poll,
    /// or from a daemon of its region, which may have been cut off together with the follower until just now.
    fn long_values_in_flight(&self, follower: &Follower, now: Ms) -> bool {
        let region_of = |zone| regions::region_of(&self.config.regions, zone);
        let is_remote = region_of(&follower.node.zone) != region_of(&self.config.zone);
        let is_new = now.saturating_sub(follower.polling_since) < PUSH_TIMEOUT;
        follower.was_delayed || (is_remote && is_new)
    }

    /// Returns whether this daemon is the one that sends long values to an agent: a daemon of its zone, else of its
    /// region, else any; among several, the first in rendezvous order.
    fn is_preferred_source(&self, agent: &Node, now: Ms) -> bool {
        let agent_region = regions::region_of(&self.config.regions, &agent.zone);
        let preference = |source: &&Name| {
            let zone = self.zone_of_daemon(source);
            (
                *zone == agent.zone,
                regions::region_of(&self.config.regions, zone) == agent_region,
                rendezvous_weight(&agent.name, source),
            )
        };
        let sources = self.update_sources(now);
        sources
            .iter()
            .max_by_key(preference)
            .is_none_or(|name| *name == self.config.name)
    }
}
