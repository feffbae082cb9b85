//! Followers: the edge agents that poll this daemon, and what each last said.

use std::collections::BTreeMap;

use wire_messages::{Change, Name, Node, OpenStreams, Poll};

use super::Control;
use crate::{Effects, Ms, usage::MAX_COUNTS_PER_MESSAGE};

/// ms. Agents that polled within this are counted as followers.
const FOLLOWER_TIMEOUT: Ms = 3_000;

/// Streams by replica and version.
pub(super) type OpenStreamCounts = BTreeMap<(Name, Name), u32>;

/// Changes on their way to a follower.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InFlight {
    /// Up to which position of the change stream.
    pub(super) through_position: u64,
    /// Until when they may take to arrive.
    pub(super) until: Ms,
}

/// An edge agent, as its last poll described it.
#[derive(Clone, Debug)]
pub(super) struct Follower {
    pub(super) node: Node,
    pub(super) polled_at: Ms,
    /// Since when it has polled without a gap.
    pub(super) polling_since: Ms,
    /// Whether its last poll came right behind the one before, though it had been sent long after it: both were delayed
    /// on the way, and what the first asked for is in flight.
    pub(super) was_delayed: bool,
    pub(super) poll_sent_at: u64,
    pub(super) after_position: u64,
    /// Its outcome counters have arrived up to this one.
    pub(super) counters_through: u64,
    /// Up to when its counters are here; none since the selection of counters changed.
    pub(super) counters_received_until: Option<Ms>,
    pub(super) open_streams: OpenStreamCounts,
    versions: Vec<Change>,
    pub(super) in_flight: InFlight,
    /// Version of the report of unreachable edges that it has from this daemon's incarnation.
    pub(super) unreachable_edges_version: u64,
}

impl Follower {
    /// The follower that polls now, with what carries over from its last poll. The versions are moved out of the poll.
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

    /// Key, epoch and version of the value that it has for a key.
    pub(super) fn seen(&self, key: &str) -> Option<&Change> {
        self.versions.iter().find(|change| *change.key == *key)
    }

    pub(super) fn seen_version(&self, key: &str) -> u64 {
        self.seen(key).map_or(0, |change| change.version)
    }

    /// What it has, by key.
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

    /// Followers that polled lately.
    pub(super) fn live(&self, now: Ms) -> impl Iterator<Item = &Follower> {
        self.polled_within(FOLLOWER_TIMEOUT, now)
    }

    pub(super) fn polled_within(&self, window: Ms, now: Ms) -> impl Iterator<Item = &Follower> {
        self.iter()
            .filter(move |follower| now.saturating_sub(follower.polled_at) <= window)
    }

    /// Has every follower send all its counters again, as the selection of counters that are kept has changed.
    pub(super) fn restart_counters(&mut self) {
        for follower in self.0.values_mut() {
            follower.counters_through = 0;
            follower.counters_received_until = None;
        }
    }
}

impl Control {
    /// Answers an agent's poll with what it lacks, and accepts its counters.
    pub(super) fn on_poll(&mut self, addr: &Name, mut poll: Poll, now: Ms, out: &mut Effects) {
        let previous = self.followers.0.remove(&poll.node.name);
        let mut follower = Follower::from_poll(previous, &mut poll, now);
        if poll.source_incarnation == self.incarnation {
            follower.unreachable_edges_version = poll.unreachable_edges_version;
        }
        self.accept_poll_counters(&mut follower, &mut poll, now);
        // This is first hand: gossip in a large fleet takes longer.
        self.membership.on_description(&follower.node, now, out);
        self.answer_poll(addr, &mut follower, &poll, now, out);
        self.followers
            .0
            .insert(follower.node.name.clone(), follower);
    }

    /// Accepts the counters and open streams of a poll, unless they changed since a counter that an earlier incarnation
    /// of this daemon had, which is not enough to know anything by; nor does an agent's word count before its proxy has
    /// reported.
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
        // A message that is full need not be the last one.
        if usage_count < MAX_COUNTS_PER_MESSAGE {
            follower.counters_received_until = Some(now.saturating_sub(poll.report_age_ms));
        }
    }

    /// Sends a follower what it lacks. What takes long to arrive is not sent again behind itself: an edge that polls more
    /// often than its link carries the answers would never complete one.
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
            // Its position stays where it says that it is.
            self.send_poll_answer(addr, follower, acknowledged, needs_snapshot, now, out);
        }
    }
}
