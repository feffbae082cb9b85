//! All replicas that a proxy knows, and the nomination of one of them.

use std::collections::{BTreeMap, BTreeSet};

use remote_calls::{ContextRecord, EngineSpec, PathKind, PathSpec, PlacedReplica};
use wire_messages::{List, Name, Reading};
use xxhash_rust::xxh3::xxh3_64;

use super::{Averages, Kept, Reach, Reuse, Site, Travel, again_ms, carry_ms, chain, read_ms, shared, tokens};
use crate::{
    Ms,
    bounds::Bounds,
    context::Standing,
    limits::{
        COLD_BURST_PART, COLD_PART, DOUBT_MS, DOUBT_NEWS, DOUBT_SHUNS, DOWN_COLD, EDGES_FALL, FAILING_EVERY, FILLING_MS, FULL_MS,
        KEPT_TOKENS, LOAD_MS, OPENING_MS, ORDER_MS, RATE_MS, READ_AHEAD_LOAD, READING_TOLD, READINGS_EVERY, READINGS_MOST,
    },
    order::{weight, weight_of},
    pass::{Ask, Told},
};

/// In place of a replica's number.
const ANYWHERE: u64 = 0;

/// A replica that was nominated.
#[derive(Clone, Debug, PartialEq)]
pub struct Nominee {
    pub id: String,
    pub addr: String,
    pub version: String,
    /// Its shared parts should lie in the replica's cache.
    pub warm: bool,
    /// ms that its prompt takes to read there.
    pub read_ms: f64,
    /// ms to the first piece as expected.
    pub expected: f64,
}

/// What a nomination is for.
pub struct Want<'a> {
    pub lane: &'a PathSpec,
    pub ask: &'a Ask,
    pub tried: &'a [String],
    pub evacuated: &'a BTreeSet<String>,
}

/// ms. What a failed round costs its request: where another may follow, a whole one elsewhere that reads the prompt
/// from its beginning; where none may, no less than the time in
/// which it earns its worth.
fn loss_ms(w: &Want) -> f64 {
    let again = again_ms(w.ask.tokens.0) + OPENING_MS;
    let repeated =
        matches!(w.lane.kind, PathKind::Repeatable | PathKind::StreamResumable) && w.tried.len() + 1 < w.lane.rounds as usize;
    if repeated { again } else { again.max(w.lane.expected_ms as f64) }
}

#[derive(Clone, Debug)]
struct Row {
    service: String,
    addr: String,
    version: String,
    site: Site,
}

#[derive(Clone, Debug, Default)]
pub struct Placement {
    rows: BTreeMap<String, Row>,
    kept: Kept,
    reuse: Reuse,
    reach: Reach,
    pub travel: Travel,
    pub bounds: Bounds,
    engines: BTreeMap<String, EngineSpec>,
    /// By service.
    averages: BTreeMap<String, Averages>,
    /// Names of edges, mine among them, and the most there were lately.
    edges: Vec<String>,
    me: String,
    most: (usize, Ms),
    /// Long prompts that went out and that others have not been told of, and when they were last told.
    untold: Vec<Reading>,
    told_at: Ms,
    /// Replicas that failed here and that others have not been told of, and when they were last told.
    failing: BTreeSet<u64>,
    failing_at: Ms,
    /// Ids of replicas by the numbers of their lives.
    ids: BTreeMap<u64, String>,
    /// Copies of popular shared context that stand ready in this region.
    standing: Standing,
}

impl Placement {
    pub fn new(me: &str, zone: &str, regions: BTreeMap<String, String>, bounds: Bounds) -> Self {
        Placement { me: me.into(), travel: Travel::new(zone, regions), bounds, ..Placement::default() }
    }

    // ---- what is known ----

    pub fn set_edges(&mut self, names: Vec<String>, me: &str, now: Ms) {
        let n = names.len().max(1);
        // A smaller count would give each a larger part while those that were counted may still draw theirs.
        if n >= self.most.0 || now.saturating_sub(self.most.1) > EDGES_FALL {
            self.most = (n, now);
        }
        (self.edges, self.me) = (names, me.into());
    }
    pub fn edges(&self) -> usize {
        self.most.0.max(1)
    }
    pub fn set_engine(&mut self, service: &str, e: &EngineSpec) {
        self.engines.insert(service.into(), e.clone());
    }
    /// Takes the replicas of a service as its record has them.
    pub fn set_service(&mut self, service: &str, all: &[PlacedReplica], old: &BTreeSet<String>, now: Ms) {
        let (cold_ms, slots) = self.engines.get(service).map_or((0, 0), |e| (e.cold_ms, e.slots));
        let listed: BTreeSet<&String> = all.iter().map(|r| &r.id).collect();
        for id in old.iter().filter(|id| !listed.contains(id)) {
            self.forget(id);
        }
        for r in all {
            let number = xxh3_64(r.id.as_bytes());
            let row = self.rows.entry(r.id.clone()).or_insert_with(|| Row {
                service: service.into(),
                addr: r.addr.clone(),
                version: r.version.clone(),
                // One that nobody told the places of is like its service's others, not full.
                site: Site::new(number, &r.zone, if r.slots > 0 { r.slots } else { slots }),
            });
            // What was kept by other weights is kept no more.
            if row.version != r.version {
                self.kept.forget(number);
            }
            (row.addr, row.version) = (r.addr.clone(), r.version.clone());
            self.ids.insert(number, r.id.clone());
            if r.cold {
                row.site.set_cold(now + cold_ms.max(1));
            }
        }
    }
    /// Takes a service's copies of shared context; none where they are switched off.
    pub fn set_context(&mut self, service: &str, r: Option<&ContextRecord>) {
        match r {
            Some(r) => self.standing.set(r, self.travel.home()),
            None => self.standing.unset(service),
        }
    }
    /// Whether a service's popular shared context stands ready in regions that ask for it.
    pub fn has_context(&self, service: &str) -> bool {
        self.standing.on(service)
    }
    fn averages(&self, service: &str) -> Averages {
        self.averages.get(service).copied().unwrap_or_default()
    }
    /// ms by which a replica's first pieces lately come late.
    pub fn lag(&self, id: &str, now: Ms) -> f64 {
        self.rows.get(id).map_or(0.0, |r| r.site.lag(&self.averages(&r.service), now))
    }
    /// A replica read shared parts that were taken for kept there: they are not, or were put out meanwhile.
    pub fn missed(&mut self, id: &str, parts: &[u64]) {
        let Some(r) = self.rows.get(id) else { return };
        parts.iter().for_each(|p| self.kept.drop_part(r.site.number, *p));
    }
    fn forget(&mut self, id: &str) {
        if let Some(r) = self.rows.remove(id) {
            self.kept.forget(r.site.number);
            self.ids.remove(&r.site.number);
        }
    }
    pub fn zone(&self, id: &str) -> Option<&str> {
        self.rows.get(id).map(|r| r.site.zone.as_str())
    }
    /// Channels that this proxy may hold to one replica: its part of what the replica accepts from all.
    pub fn channels(&self, service: &str) -> usize {
        let all = self.engines.get(service).map_or(0, |e| e.channels as usize);
        if all == 0 { usize::MAX } else { (all * 4 / 5 / self.edges()).max(2) }
    }

    /// This proxy's part of a cold replica's rate: none if others are to warm it.
    fn cold_rate(&self, service: &str, id: &str) -> f64 {
        let Some(rate) = self.engines.get(service).and_then(|e| e.cold_rate).filter(|r| *r > 0.0) else { return f64::MAX };
        // Each of those who warm it may send one at the same moment: no more of them than what it bears besides.
        let spare = rate * (self.bounds.cold_over - 1.0).max(0.0) + self.bounds.cold_slack;
        let all = self.edges().min((spare * COLD_BURST_PART).max(1.0) as usize).max(1);
        let before = self.edges.iter().filter(|n| **n != self.me && weight(id, n) > weight(id, &self.me)).count();
        if before >= all { 0.0 } else { rate * COLD_PART / all as f64 }
    }

    // ---- nominating ----

    pub fn nominate<'a>(&mut self, service: &str, ids: impl Iterator<Item = &'a String>, w: &Want, now: Ms) -> Option<Nominee> {
        let mut all: Vec<(&'a String, f64)> = vec![];
        for id in ids.filter(|id| !w.tried.contains(id)) {
            let rate = self.cold_rate(service, id);
            let Some(r) = self.rows.get_mut(id.as_str()) else { continue };
            let zone = r.site.zone.as_str();
            let home = w.lane.homes.is_empty() || w.lane.homes.iter().any(|h| *h == self.travel.region(zone));
            if home && !w.evacuated.contains(zone) && r.site.may_warm(rate, now) {
                all.push((id, 0.0));
            }
        }
        // Those that fail are left alone while there are others; where there are none they are better than nobody.
        if all.iter().any(|(id, _)| self.rows[*id].site.answers(now)) {
            all.retain(|(id, _)| self.rows[*id].site.answers(now));
        }
        // A region or zone that is cut off is looked at now and then, not at each of its replicas.
        let reached = |id: &str| {
            let zone = &self.rows[id].site.zone;
            self.reach.may_try_zone(zone, now) && (!self.travel.far(zone) || self.reach.may_try(self.travel.region(zone), now))
        };
        if all.iter().any(|(id, _)| reached(id)) {
            all.retain(|(id, _)| reached(id));
        }
        self.weigh(service, &mut all, w, now);
        let (id, _) = all.iter().min_by(|a, b| a.1.total_cmp(&b.1))?;
        Some(self.nominee(id, w.ask, now))
    }

    fn weigh(&self, service: &str, all: &mut [(&String, f64)], w: &Want, now: Ms) {
        let parts = shared(&w.ask.parts);
        let again = again_ms(tokens(parts));
        let carry = carry_ms(w.ask);
        let key = chain(&w.ask.parts);
        let failing = loss_ms(w);
        let near = all.iter().map(|(id, _)| self.travel.ms(&self.rows[*id].site.zone)).fold(f64::MAX, f64::min);
        // A prompt whose shared parts are dear to read again has one place among all; of others each region has one.
        let region = again < carry + near;
        // A popular one has copies besides, which stand before all others for the requests of their region.
        let copies = key.and_then(|k| self.standing.stands(service, k));
        let stands_at = |id: &str| {
            let r = &self.rows[id];
            copies.is_some_and(|(v, on)| r.version == v && on.contains(&r.site.number) && !self.travel.far(&r.site.zone))
        };
        let place = |id: &String| {
            let s = &self.rows[id].site;
            let far = region && self.travel.far(&s.zone);
            (stands_at(id), !far, key.map_or(0, |k| weight_of(k, s.number)))
        };
        let mut order: Vec<((bool, bool, u64), usize)> = all.iter().enumerate().map(|(i, (id, _))| (place(id), i)).collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        let keeps: Vec<bool> = all.iter().map(|(id, _)| self.keeps(self.rows[*id].site.number, parts, now)).collect();
        let kept = keeps.contains(&true);
        // Where parts are asked for so often that carrying them away each time costs more than reading them once, this
        // region has a copy of its own. Where copies are decided for all, that decision counts.
        let copy = !region
            && !self.standing.on(service)
            && !all.iter().zip(&keeps).any(|((id, _), k)| *k && !self.travel.far(&self.rows[*id].site.zone))
            && {
                let far = all
                    .iter()
                    .map(|(id, _)| self.travel.ms(&self.rows[*id].site.zone))
                    .filter(|ms| *ms > near)
                    .fold(0.0, f64::max);
                again < (carry + far - near) * self.reuse.times()
            };
        let mine = order.iter().map(|o| o.1).find(|i| copy && !self.travel.far(&self.rows[all[*i].0].site.zone));
        let averages = self.averages(service);
        let edges = self.edges();
        let bears = self.engines.get(service).and_then(|e| e.cold_rate).unwrap_or(0.0) * self.bounds.cold_over / edges as f64;
        for (step, (_, i)) in order.into_iter().enumerate() {
            let s = &self.rows[all[i].0].site;
            let load = s.load(&averages, now);
            let mut c = self.travel.ms(&s.zone)
                + s.lag(&averages, now)
                + s.reads(now)
                + load * LOAD_MS
                + s.doubt(now) * DOUBT_MS
                + s.risk(now) * failing;
            if self.travel.far(&s.zone) {
                c += carry;
            }
            // Opening a channel takes the way there and back once more.
            if !s.at_hand(now) {
                c += self.travel.ms(&s.zone) + OPENING_MS;
            }
            if key.is_some() {
                c += step.min(8) as f64 * ORDER_MS;
                // The first caller has a copy that is to stand here made, as long as that takes no places from others.
                let makes = stands_at(all[i].0) && load <= f64::from(s.slots) * READ_AHEAD_LOAD;
                // Where nobody is known to keep the parts, the first in order is taken to: somebody has read them
                // there or will.
                if !keeps[i] && (kept || step > 0) && mine != Some(i) && !makes {
                    c += again;
                }
            }
            // Waiting for a place begins well before all are taken: requests come in clumps, and batches slow down.
            let taken = load / f64::from(s.slots.max(1));
            c += if taken > 1.0 { FULL_MS * taken } else { FILLING_MS * taken.powi(4) };
            // Any replica may turn cold unseen: what it would then bear is not exceeded while others can take it.
            if bears > 0.0 && s.rate_now(now) + 1.0 > bears {
                c += RATE_MS * (s.rate_now(now) + 1.0) / bears;
            }
            all[i].1 = c;
        }
    }

    fn keeps(&self, site: u64, parts: &[(u64, u32)], now: Ms) -> bool {
        parts.iter().filter(|p| p.1 >= KEPT_TOKENS).all(|p| self.kept.has(site, p.0, now))
            && parts.iter().any(|p| p.1 >= KEPT_TOKENS)
    }

    fn nominee(&self, id: &str, ask: &Ask, now: Ms) -> Nominee {
        let r = &self.rows[id];
        let warm = self.keeps(r.site.number, shared(&ask.parts), now);
        let read = read_ms(ask.tokens.0.saturating_sub(if warm { tokens(shared(&ask.parts)) } else { 0 }));
        let expected = self.travel.ms(&r.site.zone) + r.site.reads(now) + read;
        Nominee { id: id.into(), addr: r.addr.clone(), version: r.version.clone(), warm, read_ms: read, expected }
    }

    // ---- what becomes of it ----

    pub fn send(&mut self, n: &Nominee, ask: &Ask, now: Ms) {
        let Some(r) = self.rows.get_mut(&n.id) else { return };
        r.site.send(n.read_ms, now);
        r.site.warm_one(now);
        let number = r.site.number;
        self.reach.looked(&r.site.zone, now);
        if self.travel.far(&r.site.zone) {
            self.reach.tried(self.travel.region(&r.site.zone), now);
        }
        let parts: Vec<u64> = shared(&ask.parts).iter().filter(|p| p.1 >= KEPT_TOKENS).map(|p| p.0).collect();
        self.keep(number, &parts, now);
        // What is read in no time delays nobody, and its parts are sent again soon or do not matter.
        if n.read_ms >= READING_TOLD && self.untold.len() < READINGS_MOST {
            self.untold.push(Reading { replica: number, ms: n.read_ms as u32, parts: List(parts) });
        }
    }
    /// What others are to be told, by the region of the replicas, not more often than the fleet can bear.
    pub fn readings(&mut self, now: Ms) -> BTreeMap<Name, Vec<Reading>> {
        let mut all: BTreeMap<Name, Vec<Reading>> = BTreeMap::new();
        if now < self.told_at + READINGS_EVERY * self.edges() as Ms {
            return all;
        }
        self.told_at = now;
        for r in std::mem::take(&mut self.untold) {
            let zone = self.ids.get(&r.replica).and_then(|id| self.zone(id)).unwrap_or_default();
            all.entry(self.travel.region(zone).into()).or_default().push(r);
        }
        all
    }
    /// Replicas that failed here, for the other proxies of the region: the way there is theirs too.
    pub fn failing(&mut self, now: Ms) -> Vec<u64> {
        if now < self.failing_at + FAILING_EVERY * self.edges() as Ms {
            return vec![];
        }
        self.failing_at = now;
        std::mem::take(&mut self.failing).into_iter().collect()
    }
    /// A replica failed another proxy, which stands in `zone`.
    pub fn on_failing(&mut self, number: u64, by: &str, zone: &str, now: Ms) {
        // From another region the way may be what fails.
        if self.travel.far(zone) {
            return;
        }
        if let Some(r) = self.ids.get(&number).and_then(|id| self.rows.get_mut(id)) {
            r.site.doubted(by, now);
        }
    }
    /// A long prompt that another proxy sent.
    pub fn on_reading(&mut self, m: &Reading, now: Ms) {
        let Some(r) = self.ids.get(&m.replica).and_then(|id| self.rows.get_mut(id)) else { return };
        r.site.others_read(f64::from(m.ms), now);
        self.keep(m.replica, &m.parts, now);
    }
    fn keep(&mut self, site: u64, parts: &[u64], now: Ms) {
        for p in parts {
            self.kept.put(site, *p, now);
        }
        // The last of them stands for the chain; wherever it is kept.
        let new = parts.last().map(|p| self.kept.put(ANYWHERE, *p, now));
        new.into_iter().for_each(|new| self.reuse.saw(new));
    }
    /// ms there and back to a replica, as far as is known.
    pub fn way(&self, id: &str) -> Ms {
        self.zone(id).map_or(0, |z| self.travel.ms(z).ceil() as Ms)
    }
    pub fn opened(&mut self, id: &str, took: Ms) {
        let Some(r) = self.rows.get(id) else { return };
        let zone = r.site.zone.clone();
        self.travel.took(&zone, took as f64);
        self.reach.sign(self.travel.region(&zone), &zone);
    }
    pub fn heard(&mut self, service: &str, id: &str, t: &Told, now: Ms) {
        let cold_ms = self.engines.get(service).map_or(0, |e| e.cold_ms);
        let Some(r) = self.rows.get_mut(id) else { return };
        r.site.heard(t, now);
        self.reach.sign(self.travel.region(&r.site.zone), &r.site.zone);
        if let Some((running, waiting, _)) = t.load {
            self.averages.entry(service.into()).or_default().saw_load(running + waiting);
        }
        if let Some(ms) = t.cold.filter(|m| *m > 0) {
            r.site.set_cold(now + ms);
        }
        if t.other {
            return;
        }
        // What did not answer for a while has most likely started anew, and bears little yet.
        if r.site.well(now).is_some_and(|d| d >= DOWN_COLD) {
            r.site.set_cold(now + cold_ms);
        }
    }
    pub fn first_piece(&mut self, id: &str, read_ms: f64, late: f64, now: Ms) {
        let Some(r) = self.rows.get_mut(id) else { return };
        let averages = self.averages.entry(r.service.clone()).or_default();
        averages.saw_lag(late);
        r.site.first_piece(read_ms, late, averages, now);
    }
    /// `unheard`: ms of reading, if no first piece has come. `failed`: the replica is at fault.
    pub fn end(&mut self, id: &str, unheard: Option<f64>, failed: bool, now: Ms) {
        let Some(r) = self.rows.get_mut(id) else { return };
        r.site.end(unheard);
        if failed {
            r.site.fail(now);
            self.doubt(id, 0, now);
        } else if unheard.is_none() {
            r.site.trusted();
            r.site.ended(false, now);
            r.site.rested(now);
        }
    }
    /// It failed a request here that took so long: this proxy doubts it, and its region is told.
    pub fn doubt(&mut self, id: &str, took: Ms, now: Ms) {
        let Some(r) = self.rows.get_mut(id) else { return };
        if r.site.doubt(now) < DOUBT_NEWS {
            self.failing.insert(r.site.number);
        }
        r.site.doubted(&self.me, now);
        r.site.ended(true, now);
        r.site.doubted_for(took);
    }
    /// Nothing came of opening a channel to it.
    pub fn dark(&mut self, id: &str, now: Ms) {
        if let Some(r) = self.rows.get(id) {
            self.reach.failed(&r.site.zone, r.site.number, now);
        }
    }
    /// It answered a request here.
    pub fn trust(&mut self, id: &str) {
        if let Some(r) = self.rows.get_mut(id) {
            r.site.trusted();
        }
    }
    /// Whether it lately failed requests of the region.
    pub fn shuns(&self, id: &str, now: Ms) -> bool {
        self.rows.get(id).is_some_and(|r| r.site.doubt(now) >= DOUBT_SHUNS)
    }
    /// Another life stands at the address: the replica is gone, whatever the record still says.
    pub fn gone(&mut self, id: &str) {
        // Others would ask there for it too until the record says so.
        if let Some(r) = self.rows.get(id) {
            self.failing.insert(r.site.number);
        }
        self.forget(id);
    }
}
