//! All replicas that a proxy knows, and the nomination of one of them.

use std::collections::{BTreeMap, BTreeSet};

use remote_calls::{ContextRecord, EngineSpec, PathKind, PathSpec, PlacedReplica};
use wire_messages::{List, Name, Prefill};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Averages, HomeBoundDemand, Kept, NetworkLatency, Reach, ReplicaView, Reuse,
    cross_region_cost_ms, prefill_ms, prefix_chain, repeated_prefill_cost_ms, shared_prefix,
    token_count,
};
use crate::{
    Ms,
    bounds::Bounds,
    context::PlacedContext,
    pass::{RequestHead, ResponseSignals},
    placement::site::DOUBT_SHUNS,
    policy::{Mechanism, Policy},
    rendezvous::{rendezvous_weight, rendezvous_weight_of},
};

/// ms. What each request that runs or waits on a replica costs the next.
const LOAD_MS: f64 = 4.0;
/// ms. What a full replica costs: more than any way.
const FULL_MS: f64 = 600.0;
/// ms. What the last place of a replica costs; half of its places cost a sixteenth of it.
const FILLING_MS: f64 = 300.0;
/// ms. What it costs to exceed the rate that the replica would bear if it turned cold now.
const RATE_MS: f64 = 60.0;
/// How many times rather a prompt that is long to read is placed on a replica that no more urgent, home-bound requests
/// depend on: these wait behind it elsewhere, and have nowhere else to go.
const NOT_NEEDED_WEIGHT: f64 = 2.0;
/// ms. A step down a prompt's agreed order of replicas, so that all proxies overflow to the same one.
const ORDER_MS: f64 = 3.0;
/// ms. What opening a channel costs besides the way there and back: the replica's work and a price.
pub const CONNECT_COST_MS: f64 = 2.0;
/// ms. What it costs that one proxy of the region was lately failed by a replica: more than another replica beside it.
const DOUBT_MS: f64 = 80.0;
/// Doubt from which on a failure is no news: others were told.
const DOUBT_NEWS: f64 = 1.5;
/// ms for each edge between two tellings of failures; they are few, and each that is not told costs another request.
const FAILING_EVERY: Ms = 2;
/// ms. A replica that was down for so long has started anew and is cold.
const DOWN_COLD: Ms = 400;
/// Part of a cold replica's rate that all proxies together use: the rest covers their not knowing of each other.
const COLD_PART: f64 = 0.9;
/// Part of what a cold replica bears over its rate that proxies' first rounds may use up together.
const COLD_BURST_PART: f64 = 0.7;
/// ms. A count of edges that falls is believed after so long: those that went may only have been cut off.
const EDGES_FALL: Ms = 15_000;
/// Shared parts smaller than this are not worth remembering, in tokens.
const KEPT_TOKENS: u32 = 200;
/// ms. Other proxies are told of prompts that take so long to read: a shorter one makes nobody late.
const READING_TOLD: f64 = 30.0;
/// ms for each edge between two tellings of what was sent: each agent then passes on the same, however large its fleet.
const READINGS_EVERY: Ms = 8;
/// Prompts in one telling; a second of a proxy's share of long ones is a tenth of it.
const READINGS_MOST: usize = 64;
/// Part of a replica's places that may be taken while a copy is made on it: reading ahead takes no places from callers.
const READ_AHEAD_LOAD: f64 = 0.5;

/// In place of a replica's number.
const ANYWHERE: u64 = 0;

/// A replica that was nominated.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
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
pub struct PlacementRequest<'a> {
    pub lane: &'a PathSpec,
    pub head: &'a RequestHead,
    pub tried: &'a [String],
    pub evacuated_zones: &'a BTreeSet<String>,
}

/// ms. What a failed round costs its request: where another may follow, a whole one elsewhere that reads the prompt
/// from its beginning; where none may, no less than the time in
/// which it earns its worth.
fn loss_ms(w: &PlacementRequest) -> f64 {
    let again = repeated_prefill_cost_ms(w.head.tokens.0) + CONNECT_COST_MS;
    let repeated = matches!(
        w.lane.kind,
        PathKind::Repeatable | PathKind::StreamResumable
    ) && w.tried.len() + 1 < w.lane.rounds as usize;
    if repeated {
        again
    } else {
        again.max(w.lane.expected_ms as f64)
    }
}

/// Any replica may turn cold unseen: what it would then bear is not exceeded while others can take it.
fn rate_ms(s: &ReplicaView, bears: f64, now: Ms) -> f64 {
    let next = s.rate_now(now) + 1.0;
    if bears > 0.0 && next > bears {
        RATE_MS * next / bears
    } else {
        0.0
    }
}

#[derive(Clone, Debug)]
struct Row {
    service: String,
    addr: String,
    version: String,
    site: ReplicaView,
}

/// A zone as it is for one request.
#[derive(Clone, Copy, Debug)]
struct ZoneView<'a> {
    name: &'a str,
    /// ms there and back.
    way: f64,
    /// It is in another region.
    far: bool,
    /// Homes and evacuations let the request go there.
    allowed: bool,
    /// More urgent, home-bound requests depend on it.
    needed: bool,
    /// It gives signs of life, or it is time to look again.
    reached: bool,
}

/// A replica that may take a request, and what it would cost.
#[derive(Clone, Copy, Debug)]
struct ScoredReplica<'a> {
    id: &'a str,
    row: &'a Row,
    zone: ZoneView<'a>,
    /// It is taken to keep the prompt's shared parts.
    keeps: bool,
    /// A copy of them is to stand ready there.
    stands: bool,
    /// ms of waiting, or what is worth as much.
    cost: f64,
}

/// Keeps those that pass, if there are any.
fn retain_if_any<'a>(all: &mut Vec<ScoredReplica<'a>>, pass: impl Fn(&ScoredReplica<'a>) -> bool) {
    if all.iter().any(&pass) {
        all.retain(pass);
    }
}

/// Places in the list, in the order that all proxies agree on for a prompt: copies that stand ready first, then, where
/// each region has its own, replicas of this one. A prompt that is long to read comes first on a replica that is not
/// needed so many times as often as on one that is.
fn agreed_order(all: &[ScoredReplica], key: Option<u64>, regional: bool) -> Vec<usize> {
    let weight = |c: &ScoredReplica| {
        let hash = key.map_or(0, |k| rendezvous_weight_of(k, c.row.site.number));
        if regional || c.zone.needed {
            hash
        } else {
            raised(hash, NOT_NEEDED_WEIGHT)
        }
    };
    let rank = |c: &ScoredReplica| (c.stands, !(regional && c.zone.far), weight(c));
    let mut order: Vec<((bool, bool, u64), usize)> = all.iter().map(rank).zip(0..).collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    order.into_iter().map(|o| o.1).collect()
}

/// A hash that is drawn so many times and of which the highest counts: what it would be, with no further draws.
fn raised(hash: u64, times: f64) -> u64 {
    let part = (hash as f64 / u64::MAX as f64).powf(1.0 / times);
    (part * u64::MAX as f64) as u64
}

#[derive(Clone, Debug, Default)]
pub struct Placement {
    rows: BTreeMap<String, Row>,
    kept: Kept,
    reuse: Reuse,
    reach: Reach,
    pub travel: NetworkLatency,
    pub bounds: Bounds,
    pub policy: Policy,
    /// Regions that home-bound requests depend on.
    pub needed: HomeBoundDemand,
    engines: BTreeMap<String, EngineSpec>,
    /// By service.
    averages: BTreeMap<String, Averages>,
    /// Names of edges, mine among them, and the most there were lately.
    edges: Vec<String>,
    me: String,
    most: (usize, Ms),
    /// Long prompts that went out and that others have not been told of, and when they were last told.
    untold: Vec<Prefill>,
    told_at: Ms,
    /// Replicas that failed here and that others have not been told of, and when they were last told.
    failing: BTreeSet<u64>,
    failing_at: Ms,
    /// Ids of replicas by the numbers of their lives.
    ids: BTreeMap<u64, String>,
    /// Copies of popular shared context that stand ready in this region.
    standing: PlacedContext,
}

impl Placement {
    pub fn new(me: &str, zone: &str, regions: BTreeMap<String, String>, bounds: Bounds) -> Self {
        Placement {
            me: me.into(),
            travel: NetworkLatency::new(zone, regions),
            bounds,
            ..Placement::default()
        }
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
    pub fn set_service(
        &mut self,
        service: &str,
        all: &[PlacedReplica],
        old: &BTreeSet<String>,
        now: Ms,
    ) {
        let (cold_ms, slots) = self
            .engines
            .get(service)
            .map_or((0, 0), |e| (e.cold_ms, e.slots));
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
                site: ReplicaView::new(number, &r.zone, if r.slots > 0 { r.slots } else { slots }),
            });
            // What was kept by other weights is kept no more.
            if row.version != r.version {
                self.kept.forget(number);
            }
            (row.addr, row.version) = (r.addr.clone(), r.version.clone());
            self.ids.insert(number, r.id.clone());
            if r.cold {
                row.site.set_cold(now + cold_ms.max(1), now);
            }
        }
    }
    /// Takes a service's copies of shared context; none where they are switched off.
    pub fn set_context(&mut self, service: &str, r: Option<&ContextRecord>) {
        match r.filter(|_| self.policy.is_enabled(Mechanism::ContextCopies)) {
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
        self.rows
            .get(id)
            .map_or(0.0, |r| r.site.lag(&self.averages(&r.service), now))
    }
    /// A replica read shared parts that were taken for kept there: they are not, or were put out meanwhile.
    pub fn missed(&mut self, id: &str, parts: &[u64]) {
        let Some(r) = self.rows.get(id) else { return };
        parts
            .iter()
            .for_each(|p| self.kept.drop_part(r.site.number, *p));
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
        if all == 0 {
            usize::MAX
        } else {
            (all * 4 / 5 / self.edges()).max(2)
        }
    }

    /// This proxy's part of a cold replica's rate: none if others are to warm it.
    fn cold_rate(&self, service: &str, id: &str) -> f64 {
        let told = self
            .engines
            .get(service)
            .and_then(|e| e.cold_rate)
            .filter(|_| self.policy.is_enabled(Mechanism::ColdRamp));
        let Some(rate) = told.filter(|r| *r > 0.0) else {
            return f64::MAX;
        };
        // Each of those who warm it may send one at the same moment: no more of them than what it bears besides.
        let spare = rate * (self.bounds.cold_over - 1.0).max(0.0) + self.bounds.cold_slack;
        let all = self
            .edges()
            .min((spare * COLD_BURST_PART).max(1.0) as usize)
            .max(1);
        let before = self
            .edges
            .iter()
            .filter(|n| {
                **n != self.me && rendezvous_weight(id, n) > rendezvous_weight(id, &self.me)
            })
            .count();
        if before >= all {
            0.0
        } else {
            rate * COLD_PART / all as f64
        }
    }

    // ---- nominating ----

    /// The replica with the least expected cost, among those that may take the request.
    pub fn nominate<'a>(
        &mut self,
        service: &str,
        ids: impl Iterator<Item = &'a String>,
        w: &PlacementRequest,
        now: Ms,
    ) -> Option<Candidate> {
        let ids: Vec<&String> = ids.filter(|id| !w.tried.contains(id)).collect();
        let held_back = self.held_back(service, &ids, w, now);
        let mut zones: Vec<ZoneView> = vec![];
        let mut all: Vec<ScoredReplica> = vec![];
        for id in ids.into_iter().filter(|id| !held_back.contains(id)) {
            let Some(row) = self.rows.get(id.as_str()) else {
                continue;
            };
            let zone = self.view(service, &mut zones, &row.site.zone, w, now);
            if zone.allowed {
                all.push(ScoredReplica {
                    id,
                    row,
                    zone,
                    keeps: false,
                    stands: false,
                    cost: 0.0,
                });
            }
        }
        // Those that fail are left alone while there are others; where there are none they are better than nobody.
        retain_if_any(&mut all, |c| c.row.site.answers(now));
        // A region or zone that is cut off is looked at now and then, not at each of its replicas.
        retain_if_any(&mut all, |c| c.zone.reached);
        self.weigh(service, &mut all, w, now);
        let best = all.iter().min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        Some(self.nominee(best, w.head, now))
    }

    /// Cold replicas that have had this proxy's part of what they bear.
    fn held_back<'a>(
        &mut self,
        service: &str,
        ids: &[&'a String],
        w: &PlacementRequest,
        now: Ms,
    ) -> Vec<&'a String> {
        let is_cold = |r: &Row| r.site.is_cold(now) && self.allows(&r.site.zone, w);
        let cold: Vec<&String> = ids
            .iter()
            .filter(|id| self.rows.get(id.as_str()).is_some_and(is_cold))
            .copied()
            .collect();
        let mut held = vec![];
        for id in cold {
            let rate = self.cold_rate(service, id);
            if self
                .rows
                .get_mut(id.as_str())
                .is_some_and(|r| !r.site.may_warm(rate, now))
            {
                held.push(id);
            }
        }
        held
    }

    /// Whether homes and evacuations let a request go to a zone.
    fn allows(&self, zone: &str, w: &PlacementRequest) -> bool {
        let region = self.travel.region(zone);
        let home = w.lane.homes.is_empty() || w.lane.homes.iter().any(|h| h == region);
        home && !w.evacuated_zones.contains(zone)
    }

    /// What a zone is like for this request: worked out once for all its replicas.
    fn view<'a>(
        &'a self,
        service: &str,
        seen: &mut Vec<ZoneView<'a>>,
        zone: &'a str,
        w: &PlacementRequest,
        now: Ms,
    ) -> ZoneView<'a> {
        if let Some(v) = seen.iter().find(|v| v.name == zone) {
            return *v;
        }
        let (region, far) = (self.travel.region(zone), self.travel.far(zone));
        let zone_counts = self.policy.is_enabled(Mechanism::ZoneReach);
        let region_counts = self.policy.is_enabled(Mechanism::RegionReach) && far;
        let reached = (!zone_counts || self.reach.may_try_zone(zone, now))
            && (!region_counts || self.reach.may_try(region, now));
        let allowed = self.allows(zone, w);
        let needed = self.policy.is_enabled(Mechanism::NeededRegions)
            && self.needed.by_more_urgent(service, w.lane.rank, region);
        let v = ZoneView {
            name: zone,
            way: self.travel.ms(zone),
            far,
            allowed,
            needed,
            reached,
        };
        seen.push(v);
        v
    }

    fn weigh(&self, service: &str, all: &mut [ScoredReplica], w: &PlacementRequest, now: Ms) {
        let parts = shared_prefix(&w.head.prefix_blocks);
        let again = repeated_prefill_cost_ms(token_count(parts));
        let carry = if self.policy.is_enabled(Mechanism::CarryCost) {
            cross_region_cost_ms(w.head)
        } else {
            0.0
        };
        let key = prefix_chain(&w.head.prefix_blocks);
        let near = all.iter().map(|c| c.zone.way).fold(f64::MAX, f64::min);
        // A prompt whose shared parts are dear to read again has one place among all; of others each region has one.
        let regional = again < carry + near;
        // A popular one has copies besides, which stand before all others for the requests of their region.
        let copies = key.and_then(|k| self.standing.stands(service, k));
        for c in all.iter_mut() {
            let (version, number) = (&c.row.version, c.row.site.number);
            c.stands =
                copies.is_some_and(|(v, on)| version == v && on.contains(&number) && !c.zone.far);
            c.keeps = self.keeps(number, parts, now);
        }
        let order = agreed_order(all, key, regional);
        let kept = all.iter().any(|c| c.keeps);
        let copy = !regional && self.wants_copy(service, all, again, carry);
        let mine = order.iter().copied().find(|i| copy && !all[*i].zone.far);
        let averages = self.averages(service);
        let (failing, bears) = (loss_ms(w), self.borne(service));
        let agreed = self.policy.is_enabled(Mechanism::AgreedOrder);
        for (step, i) in order.into_iter().enumerate() {
            let c = &all[i];
            let s = &c.row.site;
            let load = s.load(&averages, now);
            let mut cost = self.wait_ms(c, &averages, now)
                + self.failure_ms(s, failing, now)
                + self.fullness_ms(s, load);
            if c.zone.far {
                cost += carry;
            }
            if key.is_some() {
                if agreed {
                    cost += step.min(8) as f64 * ORDER_MS;
                }
                // The first caller has a copy that is to stand here made, as long as that takes no places from others.
                let makes = c.stands && load <= f64::from(s.slots) * READ_AHEAD_LOAD;
                // Where nobody is known to keep the parts, the first in order is taken to: somebody has read them
                // there or will.
                if !c.keeps && (kept || step > 0 || !agreed) && mine != Some(i) && !makes {
                    cost += again;
                }
            }
            all[i].cost = cost + rate_ms(s, bears, now);
        }
    }

    /// Where parts are asked for so often that carrying them away each time costs more than reading them once, this
    /// region has a copy of its own. Where copies are decided for all, that decision counts.
    fn wants_copy(&self, service: &str, all: &[ScoredReplica], again: f64, carry: f64) -> bool {
        if !self.policy.is_enabled(Mechanism::RegionCopy)
            || self.standing.on(service)
            || all.iter().any(|c| c.keeps && !c.zone.far)
        {
            return false;
        }
        let near = all.iter().map(|c| c.zone.way).fold(f64::MAX, f64::min);
        let far = all
            .iter()
            .map(|c| c.zone.way)
            .filter(|ms| *ms > near)
            .fold(0.0, f64::max);
        again < (carry + far - near) * self.reuse.times()
    }

    /// ms until a first piece would come from a replica that had all its places free.
    fn wait_ms(&self, c: &ScoredReplica, averages: &Averages, now: Ms) -> f64 {
        let s = &c.row.site;
        let lag = if self.policy.is_enabled(Mechanism::Lag) {
            s.lag(averages, now)
        } else {
            0.0
        };
        // Opening a channel takes the way there and back once more.
        let opens = self.policy.is_enabled(Mechanism::ChannelsAtHand) && !s.at_hand(now);
        c.zone.way
            + lag
            + s.reads(now)
            + if opens {
                c.zone.way + CONNECT_COST_MS
            } else {
                0.0
            }
    }

    /// ms that failures there are expected to cost. `failing`: what one costs this request.
    fn failure_ms(&self, s: &ReplicaView, failing: f64, now: Ms) -> f64 {
        let doubt = if self.policy.is_enabled(Mechanism::Doubt) {
            s.doubt(now) * DOUBT_MS
        } else {
            0.0
        };
        let risk = if self.policy.is_enabled(Mechanism::Risk) {
            s.risk(now) * failing
        } else {
            0.0
        };
        doubt + risk
    }

    /// ms that the requests there cost the next one.
    fn fullness_ms(&self, s: &ReplicaView, load: f64) -> f64 {
        let each = if self.policy.is_enabled(Mechanism::Load) {
            load * LOAD_MS
        } else {
            0.0
        };
        if !self.policy.is_enabled(Mechanism::Filling) {
            return each;
        }
        // Waiting for a place begins well before all are taken: requests come in clumps, and batches slow down.
        let taken = load / f64::from(s.slots.max(1));
        each + if taken > 1.0 {
            FULL_MS * taken
        } else {
            FILLING_MS * taken.powi(4)
        }
    }

    /// What a proxy may send a replica a second that might be cold; 0 where that is not bounded.
    fn borne(&self, service: &str) -> f64 {
        let rate = self
            .engines
            .get(service)
            .and_then(|e| e.cold_rate)
            .filter(|_| self.policy.is_enabled(Mechanism::RateGuard));
        rate.unwrap_or(0.0) * self.bounds.cold_over / self.edges() as f64
    }

    fn keeps(&self, site: u64, parts: &[(u64, u32)], now: Ms) -> bool {
        self.policy.is_enabled(Mechanism::KeptParts)
            && parts
                .iter()
                .filter(|p| p.1 >= KEPT_TOKENS)
                .all(|p| self.kept.has(site, p.0, now))
            && parts.iter().any(|p| p.1 >= KEPT_TOKENS)
    }

    fn nominee(&self, c: &ScoredReplica, ask: &RequestHead, now: Ms) -> Candidate {
        let r = c.row;
        let kept = if c.keeps {
            token_count(shared_prefix(&ask.prefix_blocks))
        } else {
            0
        };
        let read = prefill_ms(ask.tokens.0.saturating_sub(kept));
        let expected = c.zone.way + r.site.reads(now) + read;
        Candidate {
            id: c.id.into(),
            addr: r.addr.clone(),
            version: r.version.clone(),
            warm: c.keeps,
            read_ms: read,
            expected,
        }
    }

    // ---- what becomes of it ----

    pub fn send(&mut self, n: &Candidate, ask: &RequestHead, now: Ms) {
        let Some(r) = self.rows.get_mut(&n.id) else {
            return;
        };
        r.site.send(n.read_ms, now);
        r.site.warm_one(now);
        let number = r.site.number;
        self.reach.looked(&r.site.zone, now);
        if self.travel.far(&r.site.zone) {
            self.reach.tried(self.travel.region(&r.site.zone), now);
        }
        let parts: Vec<u64> = shared_prefix(&ask.prefix_blocks)
            .iter()
            .filter(|p| p.1 >= KEPT_TOKENS)
            .map(|p| p.0)
            .collect();
        self.keep(number, &parts, now);
        // What is read in no time delays nobody, and its parts are sent again soon or do not matter.
        if n.read_ms >= READING_TOLD && self.untold.len() < READINGS_MOST {
            self.untold.push(Prefill {
                replica_number: number,
                duration_ms: n.read_ms as u32,
                blocks: List(parts),
            });
        }
    }
    /// What others are to be told, by the region of the replicas, not more often than the fleet can bear.
    pub fn readings(&mut self, now: Ms) -> BTreeMap<Name, Vec<Prefill>> {
        let mut all: BTreeMap<Name, Vec<Prefill>> = BTreeMap::new();
        if now < self.told_at + READINGS_EVERY * self.edges() as Ms {
            return all;
        }
        self.told_at = now;
        if !self.policy.is_enabled(Mechanism::ToldReadings) {
            self.untold.clear();
        }
        for r in std::mem::take(&mut self.untold) {
            let zone = self
                .ids
                .get(&r.replica_number)
                .and_then(|id| self.zone(id))
                .unwrap_or_default();
            all.entry(self.travel.region(zone).into())
                .or_default()
                .push(r);
        }
        all
    }
    /// Replicas that failed here, for the other proxies of the region: the way there is theirs too.
    pub fn failing(&mut self, now: Ms) -> Vec<u64> {
        if now < self.failing_at + FAILING_EVERY * self.edges() as Ms {
            return vec![];
        }
        self.failing_at = now;
        if !self.policy.is_enabled(Mechanism::Doubt) {
            self.failing.clear();
        }
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
    pub fn on_reading(&mut self, m: &Prefill, now: Ms) {
        let Some(r) = self
            .ids
            .get(&m.replica_number)
            .and_then(|id| self.rows.get_mut(id))
        else {
            return;
        };
        r.site.others_read(f64::from(m.duration_ms), now);
        self.keep(m.replica_number, &m.blocks, now);
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
    pub fn heard(&mut self, service: &str, id: &str, t: &ResponseSignals, now: Ms) {
        let cold_ms = self.engines.get(service).map_or(0, |e| e.cold_ms);
        let Some(r) = self.rows.get_mut(id) else {
            return;
        };
        r.site.heard(t, now);
        self.reach
            .sign(self.travel.region(&r.site.zone), &r.site.zone);
        if let Some((running, waiting, _)) = t.load {
            self.averages
                .entry(service.into())
                .or_default()
                .saw_load(running + waiting);
        }
        if let Some(ms) = t.warmup_left_ms.filter(|m| *m > 0) {
            r.site.set_cold(now + ms, now);
        }
        if t.is_other_replica {
            return;
        }
        // What did not answer for a while has most likely started anew, and bears little yet.
        if r.site.well(now).is_some_and(|d| d >= DOWN_COLD) {
            r.site.set_cold(now + cold_ms, now);
        }
    }
    pub fn first_piece(&mut self, id: &str, read_ms: f64, late: f64, now: Ms) {
        let Some(r) = self.rows.get_mut(id) else {
            return;
        };
        let averages = self.averages.entry(r.service.clone()).or_default();
        averages.saw_lag(late);
        r.site.first_piece(read_ms, late, averages, now);
    }
    /// `unheard`: ms of reading, if no first piece has come. `failed`: the replica is at fault.
    pub fn end(&mut self, id: &str, unheard: Option<f64>, failed: bool, now: Ms) {
        let Some(r) = self.rows.get_mut(id) else {
            return;
        };
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
        let Some(r) = self.rows.get_mut(id) else {
            return;
        };
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
        self.rows
            .get(id)
            .is_some_and(|r| r.site.doubt(now) >= DOUBT_SHUNS)
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
