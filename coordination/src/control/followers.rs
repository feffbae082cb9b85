//! What agents tell: their counts, and whose tallies are kept here.

use super::*;

/// Daemons that keep a service's tallies: who holds its duty, and who would take it next.
const COUNTER_SUBSCRIBERS: usize = 2;
/// ms. A daemon that is neither any more keeps them for so long: voters come and go for a moment.
pub const COUNTER_RETENTION: Ms = 10_000;
/// ms. Agents that polled within this are counted as followers.
pub(crate) const FOLLOWER_TIMEOUT: Ms = 3_000;

impl Control {
    pub(super) fn on_poll(&mut self, addr: &Name, m: Poll, now: Ms, out: &mut Effects) {
        let name = m.node.name.clone();
        let mut old = self.followers.remove(&name);
        let same = old
            .as_ref()
            .filter(|a| a.node.incarnation == m.node.incarnation);
        let (count, told) = same.map_or((0, (0, 0)), |a| (a.counters_through, a.in_flight));
        let since = same
            .filter(|a| now.saturating_sub(a.polled_at) <= FOLLOWER_TIMEOUT)
            .map_or(now, |a| a.in_touch_since);
        let waited = same.is_some_and(|a| {
            m.sent_at.saturating_sub(a.poll_sent_at) > 2 * now.saturating_sub(a.polled_at)
        });
        // What changed since a count that an earlier life of this daemon had is not enough to know anything by; nor is
        // an agent's word before its proxy has spoken.
        let tells = m.proxy_incarnation > 0
            && (m.source_incarnation, m.selection) == (self.incarnation, self.selection)
            && m.counters_since <= count
            && count <= m.counters_through;
        let mut opens = old.as_mut().map_or_else(OpenStreamCounts::new, |a| {
            std::mem::take(&mut a.open_streams)
        });
        if tells {
            self.take_counters(&name, m.proxy_incarnation, m.counters, now);
            if m.counters_since == 0 {
                opens.clear();
            }
            for o in m.open_streams.0 {
                let at = (o.replica, o.version);
                if o.streams > 0 {
                    opens.insert(at, o.streams)
                } else {
                    opens.remove(&at)
                };
            }
        }
        // Told first hand: rumours of a large fleet take longer.
        self.membership.on_description(&m.node, now, out);
        let full = m.source_incarnation != self.incarnation;
        let after = if full { 0 } else { m.after_position };
        // What takes long to arrive is not sent again behind itself: an edge that asks more often than its link carries
        // the answers would never be told anything.
        let under_way = now < told.1 && after < told.0;
        let count = if tells { m.counters_through } else { count };
        let seen = match old {
            Some(a) if m.has_versions == 0 && a.node.incarnation == m.node.incarnation => {
                a.versions
            }
            _ => m.versions.0,
        };
        // Its place in the feed stays where it says that it is.
        let (after, upto) = if under_way {
            (told.0, after)
        } else {
            (after, self.feed_position)
        };
        let mut a = Follower {
            node: m.node,
            polled_at: now,
            in_touch_since: since,
            was_delayed: waited,
            poll_sent_at: m.sent_at,
            after_position: after,
            counters_through: count,
            open_streams: opens,
            versions: seen,
            in_flight: told,
        };
        if !(under_way && full) {
            self.send_update(addr, &mut a, upto, full, now, out);
        }
        self.followers.insert(name, a);
    }

    /// Chooses whose tallies are kept: of services whose duty this daemon holds or is the next to take. Whoever takes a
    /// duty over so judges by evidence at once, and all others need not hear every edge's every count.
    pub(super) fn select_services(&mut self, now: Ms, live: &dyn Fn(&str) -> bool) {
        let Some(spec) = self.spec() else { return };
        let me = &self.config.name;
        let mut changed = false;
        for s in &spec.services {
            let key = format!("{ROLLOUT_PREFIX}{}", s.name);
            // One that stands by may step in as a voter before the duty is free to take.
            let others = self
                .registers
                .voters
                .iter()
                .filter(|v| v.name != *me && live(&v.name));
            let next = others
                .filter(|v| rendezvous_weight(&key, &v.name) > rendezvous_weight(&key, me))
                .count()
                < COUNTER_SUBSCRIBERS;
            if next || self.registers.held_until(&key, now).is_some() {
                changed |= self
                    .selected_services
                    .insert(s.name.as_str().into(), now)
                    .is_none();
            }
        }
        // A voter that is silent for a moment changes nothing: a choice costs every edge's every count.
        let loops = &mut self.loops;
        self.selected_services.retain(|s, at| {
            let keep = now.saturating_sub(*at) < COUNTER_RETENTION;
            if !keep {
                // What came in the meantime would seem to have come at once.
                loops
                    .get_mut(&**s)
                    .into_iter()
                    .for_each(|l| l.health = VersionHealth::default());
            }
            changed |= !keep;
            keep
        });
        if changed {
            self.selection += 1;
            self.followers
                .values_mut()
                .for_each(|a| a.counters_through = 0);
        }
    }

    fn take_counters(&mut self, source: &Name, life: u64, tallies: List<OutcomeCounters>, now: Ms) {
        let mut by: BTreeMap<Name, Vec<OutcomeCounters>> = BTreeMap::new();
        // Services without a count yet are told too: a source is known from its first word on.
        for s in self.selected_services.keys() {
            by.insert(s.clone(), vec![]);
        }
        let kept = tallies
            .0
            .into_iter()
            .filter(|t| self.selected_services.contains_key(&t.service));
        kept.for_each(|t| by.entry(t.service.clone()).or_default().push(t));
        for (s, v) in by {
            self.loops
                .entry(s.to_string())
                .or_insert_with(|| RolloutLoop::new(now))
                .health
                .add_counters(source, life, &v);
        }
    }

    /// Services whose tallies this daemon keeps.
    pub fn selected_services(&self) -> impl Iterator<Item = &str> {
        self.selected_services.keys().map(|s| &**s)
    }

    /// Requests sent that this daemon has counted: of a service, and of one of its versions.
    pub fn requests_counted(&self, service: &str, version: &str) -> (u64, u64) {
        self.loops.get(service).map_or((0, 0), |l| {
            let sent = l.health.sent(version);
            (sent.all, sent.version)
        })
    }
}
