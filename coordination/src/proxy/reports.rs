//! What replicas say of themselves, and which of them may take a request.

use std::collections::{BTreeMap, BTreeSet};

use remote_calls::{GroupRole, NominateRequest, ReplicaReport};

use super::{Group, Proxy, Seen, What};
use crate::{
    Ms,
    edge_agent::SERVE_ALL,
    placement::prefix_cache::PREFIX_CACHE_TTL,
    policy::Mechanism,
    proxy::buffer::WAITING,
    rendezvous::rendezvous_weight,
    timing::{REPORT_MAX_AGE, SLOW_START_DURATION},
};

/// Places a cold replica starts with.
const COLD_PLACES: u32 = 1;
/// Percent of a replica's places that a prefix's first pick may hold before others are tried.
const AFFINITY_BUSY: u32 = 75;
/// Percent. KV cache fuller than this takes a replica out for requests without a prefix there.
const KV_FULL: u32 = 95;
/// Percent of a replica's places that tiers behind lose each time a request ahead of them finds none.
const PRESS_STEP: u32 = 5;
/// Percent they lose at most: all of them.
const PRESS_MOST: u32 = 100;
/// Percent they get back a second.
const PRESS_EBB: u64 = 20;

impl Proxy {
    /// Replicas to ask for their reports: id and address.
    pub fn replicas_to_poll(&self) -> Vec<(String, String)> {
        let all = self.records.values().flat_map(|r| &r.2.replicas);
        // What the record tells of a replica needs no asking.
        let all = all.filter(|p| p.slots == 0);
        all.map(|p| (p.id.clone(), p.addr.clone())).collect()
    }

    pub fn on_report(&mut self, r: ReplicaReport, now: Ms) {
        let old = self.seen.remove(&r.replica);
        let mut ready = match old {
            // Another life of the replica, or one that went dark for long, starts cold again.
            Some(o) if o.report.born == r.born && now.saturating_sub(o.at) < 5 * REPORT_MAX_AGE => {
                o.ready
            }
            Some(_) => {
                self.warm.retain(|(id, _), _| *id != r.replica);
                BTreeMap::new()
            }
            None => BTreeMap::new(),
        };
        ready.retain(|v, _| r.loaded.iter().any(|l| l.ready && l.version == *v));
        for l in r.loaded.iter().filter(|l| l.ready) {
            ready.entry(l.version.clone()).or_insert(now);
        }
        self.seen.insert(
            r.replica.clone(),
            Seen {
                report: r,
                at: now,
                since: 0,
                ready,
            },
        );
    }

    fn places(&self, s: &Seen, version: &str, now: Ms) -> u32 {
        let slots = s.report.slots;
        let Some(t) = s.ready.get(version) else {
            return 0;
        };
        let age = now.saturating_sub(*t);
        // A cold replica starts with one place and gains the rest as it warms.
        let ramp = COLD_PLACES as u64
            + u64::from(slots.saturating_sub(COLD_PLACES)) * age.min(SLOW_START_DURATION)
                / SLOW_START_DURATION;
        (ramp as u32).min(slots)
    }

    /// Whether this proxy is one of those that may use a replica that is still warming: as many as it has
    /// places, in the agreed order of the edges of its zone. Otherwise every proxy would give it one at once.
    fn may_warm(&self, s: &Seen, version: &str, places: u32, now: Ms) -> bool {
        if s.ready
            .get(version)
            .is_none_or(|t| now.saturating_sub(*t) >= SLOW_START_DURATION)
        {
            return true;
        }
        let id = &s.report.replica;
        let near = || {
            self.nodes
                .iter()
                .filter(|n| *n.zone == s.report.zone && !n.http_addr.is_empty())
        };
        let Some(me) = near().find(|n| n.http_addr == self.http) else {
            return near().next().is_none();
        };
        let before = near()
            .filter(|n| rendezvous_weight(id, &n.name) > rendezvous_weight(id, &me.name))
            .count() as u32;
        // What the others have sent since the last report is not known here: each keeps to its part of what
        // that report left, and those in front have the odd ones.
        let (left, all) = (places.saturating_sub(s.report.busy), near().count() as u32);
        s.since < left / all + u32::from(before < left % all)
    }

    fn load(s: &Seen) -> u32 {
        s.report.busy + s.since
    }

    /// How much of each replica's places better tiers press for, now: it ebbs from when it was last raised.
    pub(super) fn pressing(&self, rank: u32, now: Ms) -> u32 {
        let ebb = |(p, t): &(u32, Ms)| {
            p.saturating_sub((now.saturating_sub(*t) * PRESS_EBB / 1_000) as u32)
        };
        if !self.has(Mechanism::TierPressure) {
            return 0;
        }
        self.pressed
            .range(..rank)
            .map(|(_, x)| ebb(x))
            .max()
            .unwrap_or(0)
    }

    /// A request of this rank found no place: the tiers behind it get fewer.
    pub(super) fn press(&mut self, rank: u32, now: Ms) {
        let p = self.pressing(rank + 1, now);
        self.pressed
            .insert(rank, ((p + PRESS_STEP).min(PRESS_MOST), now));
    }

    /// Replicas of a group that may take the request, with all their places by now.
    fn usable(
        &self,
        (service, prefixes): What,
        (version, ids): (&str, &[String]),
        zones: &BTreeSet<String>,
        now: Ms,
    ) -> Vec<(&Seen, u32)> {
        let ok = |id: &String| {
            let s = self.seen.get(id)?;
            let usable = now.saturating_sub(s.at) <= REPORT_MAX_AGE
                && !s.report.leaving
                && !self.leaving.contains(id)
                && zones.contains(&s.report.zone)
                && s.report.loaded.iter().any(|l| l.ready && l.version == version && l.service == service)
                // A full cache has no room for another prefix; one that lies there needs none.
                && (s.report.kv_fill * 100.0 < f64::from(KV_FULL) || prefixes.iter().any(|p| self.known(id, version, p, now)));
            let all = self.places(s, version, now);
            (usable && self.may_warm(s, version, all, now)).then_some((s, all))
        };
        ids.iter().filter_map(ok).collect()
    }

    /// Those that have places free at the tier's limit: its rank, and the percent it leaves to better ones.
    pub(super) fn fit(
        &self,
        what: What,
        g: (&str, &[String]),
        zones: &BTreeSet<String>,
        (rank, keep): (u32, u32),
        now: Ms,
    ) -> Vec<(&Seen, u32)> {
        let pressed = self.pressing(rank, now);
        let free = |s: &Seen, all: u32| {
            // A tier's own limit leaves it one place even on a small replica; better tiers that press do not.
            let own = (all * (100 - keep.min(99)) / 100).max(1);
            own.min(all * (100 - pressed) / 100)
                .saturating_sub(Self::load(s))
        };
        let all = self.usable(what, g, zones, now).into_iter();
        let fit: Vec<(&Seen, u32)> = all
            .map(|(s, all)| (s, free(s, all)))
            .filter(|(_, f)| *f > 0)
            .collect();
        // One may say that it is well and fail what it is sent: it is left alone while others have places.
        let sure: Vec<_> = fit
            .iter()
            .filter(|(s, _)| !self.placement.is_suspected(&s.report.replica, now))
            .copied()
            .collect();
        if sure.is_empty() { fit } else { sure }
    }

    /// A zone where a request that finds no place may wait for one: only for tiers that have others behind
    /// them, which are pressed back meanwhile, and while few wait here.
    pub(super) fn wait_zone(
        &mut self,
        q: &NominateRequest,
        rank: u32,
        zones: &BTreeSet<String>,
        now: Ms,
    ) -> Option<String> {
        let behind = self
            .spec
            .as_ref()
            .is_some_and(|s| s.tiers.iter().any(|t| t.rank > rank));
        if !behind || self.waiting.iter().filter(|w| w.rank <= rank).count() >= WAITING / 4 {
            return None;
        }
        let mut all: Vec<String> = vec![];
        for (_, v, ids) in self.groups(&q.service, now) {
            let open = self.usable((&q.service, &q.prefixes), (&v, &ids), zones, now);
            let open = open.into_iter().map(|(s, _)| s.report.zone.clone());
            all.extend(open.filter(|z| {
                self.nodes
                    .iter()
                    .any(|n| *n.zone == **z && !n.http_addr.is_empty())
            }));
        }
        // A zone comes up as often as it has replicas.
        self.rng.choice(&all).cloned()
    }

    /// Whether a prefix was lately sent to a replica, so that it should lie in its cache.
    fn known(&self, id: &str, version: &str, prefix: &str, now: Ms) -> bool {
        let k = (id.to_string(), format!("{version} {prefix}"));
        self.warm
            .get(&k)
            .is_some_and(|t| now.saturating_sub(*t) < PREFIX_CACHE_TTL)
    }

    /// The replica for a prompt: the first in its longest prefix's order that is not too busy, else the freest.
    pub(super) fn pick<'a>(
        &self,
        fit: &[(&'a Seen, u32)],
        prefixes: &[String],
        version: &str,
        now: Ms,
    ) -> Option<&'a Seen> {
        for p in prefixes {
            let known = |s: &Seen| self.known(&s.report.replica, version, p, now);
            let room = |s: &Seen, free: u32| {
                let places = self.places(s, version, now);
                free > 0 && (known(s) || Self::load(s) * 100 < places * AFFINITY_BUSY)
            };
            let best = fit
                .iter()
                .filter(|(s, f)| room(s, *f))
                .max_by_key(|(s, _)| rendezvous_weight(p, &s.report.replica));
            if let Some((s, _)) = best {
                return Some(s);
            }
        }
        let key = |s: &Seen, free: u32| {
            (
                u64::from(free) * 1000 / u64::from(s.report.slots.max(1)),
                rendezvous_weight(&self.name, &s.report.replica),
            )
        };
        fit.iter().max_by_key(|(s, f)| key(s, *f)).map(|(s, _)| *s)
    }

    /// Groups in the order they are tried: by share, within leases.
    pub(super) fn groups(&mut self, service: &str, now: Ms) -> Vec<Group> {
        let Some((epoch, version, r)) = self.records.get(service) else {
            return vec![];
        };
        let lease = self
            .leases
            .get(service)
            .filter(|p| p.expires_at > now && self.rule == SERVE_ALL);
        // The canary's lease must be for this very record or a later one of the same holder.
        let share = lease
            .filter(|p| p.lease.epoch >= *epoch && p.lease.record_version >= *version)
            .map_or(0, |p| p.lease.canary_share_percent);
        let under = share > 0 && self.shares.get(service).is_some_and(|s| *s >= 100);
        let new = |v: &str| v != r.stable;
        // A version that is not the stable one needs a lease at all times, and shares only what it may.
        let capped =
            |v: &str| new(v) && (lease.is_none() || self.suspects.get(v).is_some_and(|t| *t > now));
        let mut first = vec![];
        let mut rest = vec![];
        for g in r.groups.iter().filter(|g| g.share_percent > 0) {
            match g.role {
                GroupRole::Canary if under && !capped(&g.version) => first.push(g),
                GroupRole::Canary => {}
                _ if capped(&g.version) => {}
                _ => rest.push(g),
            }
        }
        let total: u32 = rest.iter().map(|g| g.share_percent).sum();
        let mut x = if total > 0 { self.rng.u32(..total) } else { 0 };
        let pick = rest.iter().position(|g| {
            let hit = x < g.share_percent;
            x = x.saturating_sub(g.share_percent);
            hit
        });
        if let Some(i) = pick {
            let g = rest.remove(i);
            rest.insert(0, g);
        }
        // While nothing leases more, the stable version goes on wherever it is loaded, but for where its replicas may be
        // stopped at any moment: a flag stands only if what has the share was found good.
        if rest.is_empty() {
            rest.extend(
                r.groups
                    .iter()
                    .filter(|g| g.version == r.stable && !g.allow_unload),
            );
        }
        if rest.is_empty() {
            rest.extend(
                r.groups
                    .iter()
                    .filter(|g| g.share_percent > 0 && g.role != GroupRole::Canary),
            );
        }
        first
            .into_iter()
            .chain(rest)
            .map(|g| (g.role, g.version.clone(), g.replicas.clone()))
            .collect()
    }
}
