//! Followers: the edge agents that poll this daemon, as described by their last polls.

use std::collections::BTreeMap;

use wire_messages::{Change, Name, Node, OpenStreams, Poll};

use super::Control;
use crate::{Effects, Ms, usage::MAX_COUNTS_PER_MESSAGE};

/// Time in ms for which an agent counts as a live follower after a poll.
const FOLLOWER_TIMEOUT: Ms = 3_000;

/// Number of open streams by replica and version.
pub(super) type OpenStreamCounts = BTreeMap<(Name, Name), u32>;

/// Changes in flight to a follower.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InFlight {
    /// Position in the change feed that the follower reaches with them.
    pub(super) through_position: u64,
    /// Time by which they are assumed to have arrived.
    pub(super) until: Ms,
}

/// An edge agent as described by its last poll.
#[derive(Clone, Debug)]
pub(super) struct Follower {
    pub(super) node: Node,
    pub(super) polled_at: Ms,
    /// Start of the current period of polls without a gap.
    pub(super) polling_since: Ms,
    /// Whether the last poll arrived right after the previous one although it was sent long after it. In that case both
    /// were delayed in transit, and the answer to the previous poll is in flight.
    pub(super) was_delayed: bool,
    pub(super) poll_sent_at: u64,
    pub(super) after_position: u64,
    /// Newest report of outcome counters that was received.
    pub(super) counters_through: u64,
    /// Time up to which the agent's counters were received; `None` if none were since the selection of counters
    /// changed.
    pub(super) counters_received_until: Option<Ms>,
    pub(super) open_streams: OpenStreamCounts,
    versions: Vec<Change>,
    pub(super) in_flight: InFlight,
    /// Version of the report of unreachable edges that the agent has from this incarnation of the daemon.
    pub(super) unreachable_edges_version: u64,
}

impl Follower {
    /// Creates the follower for a poll and keeps the state that carries over from its previous poll. Moves the versions
    /// out of the poll.
    fn from_poll(previous: Option<Follower>, poll: &mut Poll, now: Ms) -> Self {
        let mut follower = Follower {
            node: poll.node.clone(),
            polled_at: now,
            polling_since: now,
            was_delayed: false,
            poll_sent_at: poll.sent_at,
            after_position: poll.after_position,
            counters_through: 0,
            counters_received_until: None,
            open_streams: OpenStreamCounts::new(),
            versions: std::mem::take(&mut poll.versions.0),
            in_flight: InFlight::default(),
            unreachable_edges_version: 0,
        };
        let Some(previous) = previous else {
            return follower;
        };
        follower.open_streams = previous.open_streams;
        if previous.node.incarnation == poll.node.incarnation {
            let since_last_poll = now.saturating_sub(previous.polled_at);
            if since_last_poll <= FOLLOWER_TIMEOUT {
                follower.polling_since = previous.polling_since;
            }
            follower.was_delayed =
                poll.sent_at.saturating_sub(previous.poll_sent_at) > 2 * since_last_poll;
            follower.counters_through = previous.counters_through;
            follower.counters_received_until = previous.counters_received_until;
            follower.in_flight = previous.in_flight;
            if poll.has_versions == 0 {
                follower.versions = previous.versions;
            }
        }
        follower
    }

    /// Returns the metadata of the value that the follower has for a key.
    pub(super) fn seen(&self, key: &str) -> Option<&Change> {
        self.versions.iter().find(|change| *change.key == *key)
    }

    pub(super) fn seen_version(&self, key: &str) -> u64 {
        self.seen(key).map_or(0, |change| change.version)
    }

    /// Returns the metadata of all values that the follower has.
    pub(super) fn versions(&self) -> &[Change] {
        &self.versions
    }

    fn update_open_streams(&mut self, changed: Vec<OpenStreams>) {
        for open in changed {
            let replica_version = (open.replica, open.version);
            if open.streams > 0 {
                self.open_streams.insert(replica_version, open.streams);
            } else {
                self.open_streams.remove(&replica_version);
            }
        }
    }
}

/// All followers by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Followers(BTreeMap<Name, Follower>);

impl Followers {
    pub(super) fn get(&self, name: &Name) -> Option<&Follower> {
        self.0.get(name)
    }

    pub(super) fn contains(&self, name: &Name) -> bool {
        self.0.contains_key(name)
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Follower> {
        self.0.values()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Follower> {
        self.0.values_mut()
    }

    /// Returns the followers that polled recently.
    pub(super) fn live(&self, now: Ms) -> impl Iterator<Item = &Follower> {
        self.polled_within(FOLLOWER_TIMEOUT, now)
    }

    pub(super) fn polled_within(&self, window: Ms, now: Ms) -> impl Iterator<Item = &Follower> {
        self.iter()
            .filter(move |follower| now.saturating_sub(follower.polled_at) <= window)
    }

    /// Makes every follower send all its counters again, because the selection of kept counters has changed.
    pub(super) fn restart_counters(&mut self) {
        for follower in self.0.values_mut() {
            follower.counters_through = 0;
            follower.counters_received_until = None;
        }
    }
}

impl Control {
    /// Answers an agent's poll with the changes that it lacks, and accepts its counters.
    pub(super) fn on_poll(&mut self, addr: &Name, mut poll: Poll, now: Ms, out: &mut Effects) {
        let previous = self.followers.0.remove(&poll.node.name);
        let mut follower = Follower::from_poll(previous, &mut poll, now);
        if poll.source_incarnation == self.incarnation {
            follower.unreachable_edges_version = poll.unreachable_edges_version;
        }
        self.accept_poll_counters(&mut follower, &mut poll, now);
        // The poll is direct information; gossip takes longer in a large fleet.
        self.membership.on_description(&follower.node, now, out);
        self.answer_poll(addr, &mut follower, &poll, now, out);
        self.followers
            .0
            .insert(follower.node.name.clone(), follower);
    }

    /// Accepts the counters and open streams of a poll if the agent's proxy has reported and this incarnation of the
    /// daemon received the report that they build on. Changes since a report to an earlier incarnation do not suffice
    /// to know the current counters.
    fn accept_poll_counters(&mut self, follower: &mut Follower, poll: &mut Poll, now: Ms) {
        let usage = std::mem::take(&mut poll.usage.0);
        let usage_count: usize = usage.iter().map(|report| report.usage.len()).sum();
        self.accept_usage(&follower.node.name, usage, now);
        let known = follower.counters_through;
        let is_complete = poll.proxy_incarnation > 0
            && poll.source_incarnation == self.incarnation
            && poll.selection == self.counters.selection()
            && poll.counters_since <= known
            && known <= poll.counters_through;
        if !is_complete {
            return;
        }
        let counters = std::mem::take(&mut poll.counters.0);
        let proxy = poll.proxy_incarnation;
        self.add_counters(&follower.node.name, proxy, counters, now);
        if poll.counters_since == 0 {
            follower.open_streams.clear();
        }
        follower.update_open_streams(std::mem::take(&mut poll.open_streams.0));
        follower.counters_through = poll.counters_through;
        // A full message is not necessarily the last one.
        if usage_count < MAX_COUNTS_PER_MESSAGE {
            follower.counters_received_until = Some(now.saturating_sub(poll.report_age_ms));
        }
    }

    /// Sends a follower the changes it lacks. Changes that take long to arrive are not sent again while they are in
    /// flight: an edge that polls faster than its link delivers the answers would never receive a complete one.
    fn answer_poll(
        &self,
        addr: &Name,
        follower: &mut Follower,
        poll: &Poll,
        now: Ms,
        out: &mut Effects,
    ) {
        let needs_snapshot = poll.source_incarnation != self.incarnation;
        let acknowledged = if needs_snapshot {
            0
        } else {
            poll.after_position
        };
        let in_flight = follower.in_flight;
        if now >= in_flight.until || acknowledged >= in_flight.through_position {
            follower.after_position = acknowledged;
            let through_position = self.change_feed.position();
            self.send_poll_answer(addr, follower, through_position, needs_snapshot, now, out);
            return;
        }
        follower.after_position = in_flight.through_position;
        if !needs_snapshot {
            // The position remains at the one that the follower acknowledged.
            self.send_poll_answer(addr, follower, acknowledged, needs_snapshot, now, out);
        }
    }
}
