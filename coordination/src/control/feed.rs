//! The feed: what was committed, on its way to the agents.

use super::*;

/// A key's newest place in the feed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Fed {
    place: u64,
    /// When its changes of late began, which version stood then, and which where those before them began: an agent that
    /// has not even that one is not told by the daemon that pushes to it.
    began: Ms,
    stood: u64,
    before: u64,
}

impl Fed {
    fn moves(self, place: u64, stood: u64, now: Ms) -> Fed {
        match now.saturating_sub(self.began) < PUSH_TAKES {
            true => Fed { place, ..self },
            false => Fed { place, began: now, stood, before: self.stood },
        }
    }
}

impl Control {
    /// Puts what is newly committed on the board and the feed, and pushes it to the agents.
    pub(super) fn publish(&mut self, now: Ms, out: &mut Effects) {
        let fresh = std::mem::take(&mut self.regs.fresh);
        let (mut new, mut read) = (false, false);
        for c in fresh {
            let stood = self.board.get(&c.key).map_or(0, |o| o.version);
            if self.board.merge(&c) {
                read |= &*c.key == SPEC;
                self.read_rollout(&c);
                if let Some(r) = c.key.strip_prefix(LEAVING).filter(|_| !c.value.0.is_empty()) {
                    out.push(note(events::LEAVING, r, ""));
                }
                self.seq += 1;
                let fed = self.feed.entry(c.key.clone()).or_default();
                *fed = fed.moves(self.seq, stood, now);
                new = true;
            }
        }
        if read {
            self.read_spec();
        }
        if !new {
            return;
        }
        let tellers = self.tellers(now);
        let mut agents = std::mem::take(&mut self.agents);
        for a in agents.values_mut().filter(|a| now.saturating_sub(a.at) <= PUSHED_TO && self.pushes(&a.node, &tellers)) {
            let to = a.node.addr.clone();
            self.tell(&to, a, self.seq, false, now, out);
            // Taken for arrived; where it is not, the agent's next question says so.
            a.after = a.told.0;
        }
        self.agents = agents;
    }

    /// Whether this daemon pushes news to an agent: to those of its zone, and to those that come to it in the agreed order
    /// of the live daemons of their region, or of all where their region has none. All others have it from other daemons,
    /// or ask.
    fn pushes(&self, a: &Node, live: &[Name]) -> bool {
        let region = |zone| regions::region(&self.p.regions, zone);
        // The way between regions is dear.
        let near = |n: &&Name| {
            let zone = self.peers.get(*n).map_or(&self.p.zone, |p| &p.beat.zone);
            region(zone) == region(&a.zone)
        };
        let by = |n: &&Name| weight(&a.name, n);
        let first = live.iter().filter(near).max_by_key(by).or_else(|| live.iter().max_by_key(by));
        a.zone == self.p.zone || first.is_none_or(|n| *n == self.p.name)
    }

    /// Daemons that news may be had from.
    fn tellers(&self, now: Ms) -> Vec<Name> {
        let live = self.live(now);
        self.peers.keys().chain([&self.p.name]).filter(|n| live(n)).cloned().collect()
    }

    /// Sends an agent its news, and keeps in mind how long they may take.
    pub(super) fn tell(&self, to: &Name, a: &mut Agent, upto: u64, full: bool, now: Ms, out: &mut Effects) {
        let mut m = self.news(a, full, now);
        let bytes: usize = m.changes.iter().map(|c| c.value.0.len()).sum();
        // Behind what is still on its way.
        a.told = (m.through_position, now.max(a.told.1) + bytes as Ms / NEWS_PACE);
        m.through_position = m.through_position.min(upto);
        out.push(send(to, m));
    }

    /// Whether this daemon is the one that tells an agent long values: one of its zone, else of its region, else any; of
    /// several the first in the agreed order.
    fn first_for(&self, a: &Node, now: Ms) -> bool {
        let zone = |n: &Name| self.peers.get(n).map_or(&self.p.zone, |p| &p.beat.zone);
        let home = regions::region(&self.p.regions, &a.zone);
        let near = |n: &Name| (*zone(n) == a.zone, regions::region(&self.p.regions, zone(n)) == home);
        let tellers = self.tellers(now);
        tellers.iter().max_by_key(|n| (near(n), weight(&a.name, n))).is_none_or(|n| *n == self.p.name)
    }

    fn news(&self, a: &Agent, full: bool, now: Ms) -> Update {
        let new = self.feed.iter().filter(|(_, f)| f.place > a.after).filter_map(|(k, f)| Some((self.board.get(k)?, *f)));
        // What it has by other ways is not sent again.
        let has = |c: &Change| a.seen.iter().find(|s| s.key == c.key);
        let lacks = |c: &Change| has(c).is_none_or(|s| stamp(s) < stamp(c));
        // Nor what is long and most likely on its way: as an answer to an earlier question, or from a daemon nearby, which
        // may have been cut off with the agent until just now.
        let far = regions::region(&self.p.regions, &a.node.zone) != regions::region(&self.p.regions, &self.p.zone);
        let lately = |at: Ms| now.saturating_sub(at) < PUSH_TAKES;
        let waits = !full && (a.waited || (far && lately(a.since)));
        let first = OnceCell::new();
        let others = || !full && !*first.get_or_init(|| self.first_for(&a.node, now));
        let served = |c: &Change, f: Fed| lately(f.began) && has(c).map_or(0, |s| s.version) >= f.before;
        let comes = |c: &Change, f: Fed| c.value.0.len() > LONG_VALUE && (waits || (served(c, f) && others()));
        let (mut upto, mut changes) = (self.seq, vec![]);
        for (c, f) in new.filter(|(c, _)| lacks(c)) {
            if comes(c, f) {
                upto = upto.min(f.place - 1);
            } else {
                changes.push(c.clone());
            }
        }
        Update {
            poll_sent_at: a.sent,
            source_incarnation: self.run,
            through_position: upto,
            counters_through: a.count,
            selection: self.choice,
            selected_services: self.counts.keys().cloned().collect(),
            is_snapshot: full.into(),
            is_settled: self.settled.into(),
            voter_count: self.regs.voters.len() as u32,
            changes: List(changes),
            leases: self.leases(now),
        }
    }

    /// Leases under the duties held here. They end no later than the duty's own lease, because an
    /// agent counts `ttl` from before its question was even sent.
    fn leases(&self, now: Ms) -> List<Lease> {
        if !self.settled || self.killed() {
            return List::default();
        }
        let rows = self.board.under(DUTY).filter_map(|(s, c)| {
            let (epoch, until) = self.regs.holds(&c.key, now)?;
            let r = self.records.get(s)?;
            let canary = |g: &&GroupRecord| g.role == GroupRole::Canary && Some(&g.version) == r.target.as_ref();
            let group = r.groups.iter().find(canary).filter(|g| !g.replicas.is_empty());
            // A holder that does not know the replicas yet has no ground to let a canary have anything.
            let heard = self.loops.get(s).is_some_and(|l| l.heard);
            let most = self.spec.as_ref().map_or(0, |s| s.canary_percent);
            let share = group.filter(|_| heard).map_or(0, |g| g.share_percent.min(most));
            let ttl = (until - now).min(self.p.bounds.lease()) as u32;
            Some(Lease { service: s.into(), epoch, record_version: c.version, canary_share_percent: share, ttl_ms: ttl })
        });
        rows.collect()
    }
}
