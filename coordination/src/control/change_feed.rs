//! The feed: what was committed, on its way to the agents.

use super::*;

/// Bytes a ms. News to an agent are taken to arrive at this pace: an edge's link of 10 Mbit/s, shared by the daemons that
/// send it news. What is short, as nearly all is, arrives at once.
pub const ASSUMED_BYTES_PER_MS: Ms = 256;
/// ms. They are pushed to if they polled within this, two questions' time: who is cut off asks when it is back, and what
/// was pushed meanwhile would come then as a flood.
pub const PUSH_ELIGIBILITY: Ms = 1_000;
/// Bytes. A longer value is let come to an agent from one daemon: to send it is dearer than to wait.
const LONG_VALUE_BYTES: usize = 1_000;
/// ms. News is pushed to an agent within this, also a long spec over a slow link and by a busy daemon; after it whichever
/// daemon is asked tells, well before a change must be in force.
pub const PUSH_TIMEOUT: Ms = 1_000;

/// A key's newest place in the feed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FeedEntry {
    position: u64,
    /// When its changes of late began, which version stood then, and which where those before them began: an agent that
    /// has not even that one is not told by the daemon that pushes to it.
    burst_started_at: Ms,
    version_before: u64,
    version_before_last_burst: u64,
}

impl FeedEntry {
    fn advance(self, place: u64, stood: u64, now: Ms) -> FeedEntry {
        match now.saturating_sub(self.burst_started_at) < PUSH_TIMEOUT {
            true => FeedEntry {
                position: place,
                ..self
            },
            false => FeedEntry {
                position: place,
                burst_started_at: now,
                version_before: stood,
                version_before_last_burst: self.version_before,
            },
        }
    }
}

impl Control {
    /// Puts what is newly committed on the board and the feed, and pushes it to the agents.
    pub(super) fn publish(&mut self, now: Ms, out: &mut Effects) {
        let fresh = std::mem::take(&mut self.registers.newly_committed);
        let (mut new, mut read) = (false, false);
        for c in fresh {
            let stood = self.state_table.get(&c.key).map_or(0, |o| o.version);
            if self.state_table.merge(&c) {
                read |= &*c.key == SPEC_KEY;
                self.parse_rollout(&c);
                if let Some(r) = c
                    .key
                    .strip_prefix(DRAINING_PREFIX)
                    .filter(|_| !c.value.0.is_empty())
                {
                    out.push(log_event(events::REPLICA_DRAINING, r, ""));
                }
                self.feed_position += 1;
                let fed = self.feed.entry(c.key.clone()).or_default();
                *fed = fed.advance(self.feed_position, stood, now);
                new = true;
            }
        }
        if read {
            self.read_spec();
        }
        if !new {
            return;
        }
        let tellers = self.update_sources(now);
        let mut agents = std::mem::take(&mut self.followers);
        for a in agents.values_mut().filter(|a| {
            now.saturating_sub(a.polled_at) <= PUSH_ELIGIBILITY && self.pushes_to(&a.node, &tellers)
        }) {
            let to = a.node.addr.clone();
            self.send_update(&to, a, self.feed_position, false, now, out);
            // Taken for arrived; where it is not, the agent's next question says so.
            a.after_position = a.in_flight.0;
        }
        self.followers = agents;
    }

    /// Whether this daemon pushes news to an agent: to those of its zone, and to those that come to it in the agreed order
    /// of the live daemons of their region, or of all where their region has none. All others have it from other daemons,
    /// or ask.
    fn pushes_to(&self, a: &Node, live: &[Name]) -> bool {
        let region = |zone| regions::region_of(&self.config.regions, zone);
        // The way between regions is dear.
        let near = |n: &&Name| {
            let zone = self
                .peers
                .get(*n)
                .map_or(&self.config.zone, |p| &p.heartbeat.zone);
            region(zone) == region(&a.zone)
        };
        let by = |n: &&Name| rendezvous_weight(&a.name, n);
        let first = live
            .iter()
            .filter(near)
            .max_by_key(by)
            .or_else(|| live.iter().max_by_key(by));
        a.zone == self.config.zone || first.is_none_or(|n| *n == self.config.name)
    }

    /// Daemons that news may be had from.
    fn update_sources(&self, now: Ms) -> Vec<Name> {
        let live = self.live_voters(now);
        self.peers
            .keys()
            .chain([&self.config.name])
            .filter(|n| live(n))
            .cloned()
            .collect()
    }

    /// Sends an agent its news, and keeps in mind how long they may take.
    pub(super) fn send_update(
        &self,
        to: &Name,
        a: &mut Follower,
        upto: u64,
        full: bool,
        now: Ms,
        out: &mut Effects,
    ) {
        let mut m = self.build_update(a, full, now);
        let bytes: usize = m.changes.iter().map(|c| c.value.0.len()).sum();
        // Behind what is still on its way.
        a.in_flight = (
            m.through_position,
            now.max(a.in_flight.1) + bytes as Ms / ASSUMED_BYTES_PER_MS,
        );
        m.through_position = m.through_position.min(upto);
        out.push(send(to, m));
    }

    /// Whether this daemon is the one that tells an agent long values: one of its zone, else of its region, else any; of
    /// several the first in the agreed order.
    fn is_preferred_source(&self, a: &Node, now: Ms) -> bool {
        let zone = |n: &Name| {
            self.peers
                .get(n)
                .map_or(&self.config.zone, |p| &p.heartbeat.zone)
        };
        let home = regions::region_of(&self.config.regions, &a.zone);
        let near = |n: &Name| {
            (
                *zone(n) == a.zone,
                regions::region_of(&self.config.regions, zone(n)) == home,
            )
        };
        let tellers = self.update_sources(now);
        tellers
            .iter()
            .max_by_key(|n| (near(n), rendezvous_weight(&a.name, n)))
            .is_none_or(|n| *n == self.config.name)
    }

    fn build_update(&self, a: &Follower, full: bool, now: Ms) -> Update {
        let new = self
            .feed
            .iter()
            .filter(|(_, f)| f.position > a.after_position)
            .filter_map(|(k, f)| Some((self.state_table.get(k)?, *f)));
        // What it has by other ways is not sent again.
        let has = |c: &Change| a.versions.iter().find(|s| s.key == c.key);
        let lacks = |c: &Change| has(c).is_none_or(|s| version_stamp(s) < version_stamp(c));
        // Nor what is long and most likely on its way: as an answer to an earlier question, or from a daemon nearby, which
        // may have been cut off with the agent until just now.
        let far = regions::region_of(&self.config.regions, &a.node.zone)
            != regions::region_of(&self.config.regions, &self.config.zone);
        let lately = |at: Ms| now.saturating_sub(at) < PUSH_TIMEOUT;
        let waits = !full && (a.was_delayed || (far && lately(a.in_touch_since)));
        let first = OnceCell::new();
        let others = || !full && !*first.get_or_init(|| self.is_preferred_source(&a.node, now));
        let served = |c: &Change, f: FeedEntry| {
            lately(f.burst_started_at)
                && has(c).map_or(0, |s| s.version) >= f.version_before_last_burst
        };
        let comes = |c: &Change, f: FeedEntry| {
            c.value.0.len() > LONG_VALUE_BYTES && (waits || (served(c, f) && others()))
        };
        let (mut upto, mut changes) = (self.feed_position, vec![]);
        for (c, f) in new.filter(|(c, _)| lacks(c)) {
            if comes(c, f) {
                upto = upto.min(f.position - 1);
            } else {
                changes.push(c.clone());
            }
        }
        Update {
            poll_sent_at: a.poll_sent_at,
            source_incarnation: self.incarnation,
            through_position: upto,
            counters_through: a.counters_through,
            selection: self.selection,
            selected_services: self.selected_services.keys().cloned().collect(),
            is_snapshot: full.into(),
            is_settled: self.is_settled.into(),
            voter_count: self.registers.members.voters.len() as u32,
            changes: List(changes),
            leases: self.current_leases(now),
        }
    }

    /// Leases under the duties held here. They end no later than the duty's own lease, because an
    /// agent counts `ttl` from before its question was even sent.
    fn current_leases(&self, now: Ms) -> List<Lease> {
        if !self.is_settled || self.kill_switch_on() {
            return List::default();
        }
        let rows = self
            .state_table
            .with_prefix(ROLLOUT_PREFIX)
            .filter_map(|(s, c)| {
                let (epoch, until) = self.registers.held_until(&c.key, now)?;
                let r = self.records.get(s)?;
                let canary = |g: &&GroupRecord| {
                    g.role == GroupRole::Canary && Some(&g.version) == r.target.as_ref()
                };
                let group = r
                    .groups
                    .iter()
                    .find(canary)
                    .filter(|g| !g.replicas.is_empty());
                // A holder that does not know the replicas yet has no ground to let a canary have anything.
                let heard = self.loops.get(s).is_some_and(|l| l.has_all_reports);
                let most = self.spec.as_ref().map_or(0, |s| s.canary_percent);
                let share = group
                    .filter(|_| heard)
                    .map_or(0, |g| g.share_percent.min(most));
                let ttl = (until - now).min(self.config.bounds.lease()) as u32;
                Some(Lease {
                    service: s.into(),
                    epoch,
                    record_version: c.version,
                    canary_share_percent: share,
                    ttl_ms: ttl,
                })
            });
        rows.collect()
    }
}
