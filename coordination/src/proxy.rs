//! A proxy's brain: what it may do, where a request goes, who waits and who is rejected, and what is
//! counted. It nominates for callers that ask where to go, and places requests that have come.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use remote_calls::{
    ContextRecord, DownstreamLimits, Fault, GroupRole, LaneSpec, NominateRequest, Nomination, Outcome, PathSpec, ReplicaReport,
    RolloutRecord, RunRequest, ServiceMode, ServiceSpec, Spec,
};
use wire_messages::{Board as BoardMsg, Demand as DemandMsg, Lent, List, Name, Node, Open, ProxyHello, Readings, Tally};

use crate::{
    Ms,
    agent::{RULE_ALL, RULE_NONE, RULE_STABLE},
    board::{Board, SpecReader, own_spec, stamp},
    bounds::Bounds,
    claims,
    context::{Chain, Demand, homes, number},
    control::{LEAVING, SPEC, evacuated},
    health::{Health, Verdict, failing, log_ms},
    limits::{
        AFFINITY_BUSY, COLD_PLACES, CONTEXT_TOKENS, KV_FULL, MISSED_PART, PLACE_OLD, PREFIX_KEPT, PREFIXES, PRESS_EBB,
        PRESS_MOST, PRESS_STEP, REPORT_OLD, RETRY_AFTER, SECOND_ROUNDS, SECOND_ROUNDS_FREE, SLOW_FACTOR, SUSPECT_FOR, WAIT_MAX,
        WAIT_PERCENT, WAITING, WARM_UP,
    },
    order::weight,
    pass::{Ask, PassEnd, Paths, Told},
    placement::{Budget, Nominee, Placement, Want, chain, read_ms, shared, tokens},
    register::{CONTEXT, DUTY},
};

/// Where a round goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    pub service: String,
    pub lane: String,
    pub version: String,
    pub replica: String,
    pub addr: String,
    pub role: GroupRole,
    pub warm: bool,
    pub at: Ms,
    /// Number of a round that came by host and path; 0 for others.
    pub flight: u64,
}

impl Placed {
    /// Whether it was chosen so long ago that the process must have slept since.
    pub fn stale(&self, now: Ms) -> bool {
        now.saturating_sub(self.at) > PLACE_OLD
    }
}

/// How a round ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Answered,
    /// Slower than the lane's expected time by far.
    Slow,
    /// The replica or its version is at fault.
    Failed,
    /// The caller went away: no verdict on the version.
    Dropped,
    /// The replica had no place: it ran nothing.
    Busy,
}

/// What to do with a request that wants a place.
#[derive(Clone, Debug)]
pub enum Admit {
    Go(Placed),
    /// Every place is taken; wait for one if the buffer has room.
    Full,
    Reject(Fault),
}

#[derive(Clone, Debug)]
struct Seen {
    report: ReplicaReport,
    at: Ms,
    /// Rounds of ours that this report cannot know of yet.
    since: u32,
    /// When each version was first seen ready in this life of the replica.
    ready: BTreeMap<String, Ms>,
}

/// A round under way that came by host and path.
#[derive(Clone, Debug)]
struct Flight {
    /// ms of reading, until its first piece has come.
    read_ms: Option<f64>,
    expected: f64,
    at: Ms,
    slow_ms: f64,
    slow: bool,
    /// Its shared context, where that was taken for ready.
    ready: Option<Ready>,
}

/// Shared context that a replica was taken to keep.
#[derive(Clone, Debug)]
struct Ready {
    chain: Chain,
    parts: Vec<u64>,
}

/// A request in the buffer.
#[derive(Clone, Debug)]
struct Waiting {
    token: u64,
    rank: u32,
    until: Ms,
}

/// A prefix's place: which replica was last sent it.
type Prefix = (String, String);

/// A request's service and prefixes.
type What<'a> = (&'a str, &'a [String]);

/// Service, version, lane, whether the cache was warm, group.
type TallyKey = (String, String, String, bool, u8);

/// Role, version and replicas of a group.
type Group = (GroupRole, String, Vec<String>);

pub struct Proxy {
    name: Name,
    zone: Name,
    http: Name,
    born: u64,
    board: Board,
    spec: Option<Arc<Spec>>,
    records: BTreeMap<String, (u64, u64, RolloutRecord)>,
    leaving: BTreeSet<String>,
    evacuated: BTreeSet<String>,
    rule: u8,
    until: Ms,
    /// It has had its agent's whole board in this life; what changed since is not enough to serve by.
    whole: bool,
    permits: BTreeMap<String, Lent>,
    nodes: Vec<Node>,
    seen: BTreeMap<String, Seen>,
    open: BTreeMap<(String, String), u32>,
    tallies: BTreeMap<TallyKey, [u64; 7]>,
    /// Counts changes of tallies and opens; the newest change that the agent has of them; and what changed since.
    change: u64,
    heard: u64,
    changed: BTreeMap<TallyKey, u64>,
    moved: BTreeMap<(String, String), u64>,
    /// Tallies that changed since this proxy last judged by them.
    unjudged: BTreeMap<String, BTreeSet<TallyKey>>,
    /// What a service's canary may take next, in hundredths of a request.
    shares: BTreeMap<String, u32>,
    /// Versions whose failures show here, and until when they are capped.
    suspects: BTreeMap<String, Ms>,
    health: BTreeMap<String, Health>,
    warm: BTreeMap<Prefix, Ms>,
    waiting: VecDeque<Waiting>,
    /// By rank: percent of each replica's places kept from tiers behind it, and when that was last raised.
    pressed: BTreeMap<u32, (u32, Ms)>,
    /// What is left for second rounds, in hundredths of one.
    budget: u64,
    rng: fastrand::Rng,
    pub counters: BTreeMap<&'static str, u64>,
    reader: SpecReader,
    /// Place of the spec on the board that was read last, and the index of its paths.
    read: (u64, u64),
    paths: Paths,
    placement: Placement,
    budgets: BTreeMap<String, Budget>,
    flights: BTreeMap<u64, Flight>,
    flight: u64,
    /// Places of the records of copies of shared context that were read last, and how often shared context is asked
    /// for; by service, and only where copies are kept.
    contexts: BTreeMap<String, (u64, u64)>,
    demand: BTreeMap<String, Demand>,
}

/// Groups of one version as one pool: a baseline is told apart for counting, and a prompt that lies in its cache
/// is not to be read again elsewhere for it.
fn pools(groups: Vec<Group>) -> Vec<Group> {
    let mut all: Vec<Group> = vec![];
    for g in groups {
        match all.iter_mut().find(|a| a.1 == g.1) {
            Some(a) => a.2.extend(g.2),
            None => all.push(g),
        }
    }
    all
}

impl Proxy {
    /// `seed` is random from outside: two proxies of one fleet must never mint the same ids.
    pub fn new(name: Name, zone: Name, http: Name, born: u64, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(weight(&name, &seed.to_string()));
        let (me, at) = (name.clone(), zone.clone());
        Proxy {
            name,
            zone,
            http,
            born,
            board: Board::default(),
            spec: None,
            records: BTreeMap::new(),
            leaving: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            rule: RULE_NONE,
            until: 0,
            whole: false,
            permits: BTreeMap::new(),
            nodes: Vec::new(),
            seen: BTreeMap::new(),
            open: BTreeMap::new(),
            tallies: BTreeMap::new(),
            change: 1,
            heard: 0,
            changed: BTreeMap::new(),
            moved: BTreeMap::new(),
            unjudged: BTreeMap::new(),
            shares: BTreeMap::new(),
            suspects: BTreeMap::new(),
            health: BTreeMap::new(),
            warm: BTreeMap::new(),
            waiting: VecDeque::new(),
            pressed: BTreeMap::new(),
            budget: SECOND_ROUNDS_FREE * 100,
            rng,
            counters: BTreeMap::new(),
            reader: own_spec,
            read: (0, 0),
            paths: Paths::default(),
            placement: Placement::new(&me, &at, BTreeMap::new(), Bounds::default()),
            budgets: BTreeMap::new(),
            flights: BTreeMap::new(),
            flight: 0,
            contexts: BTreeMap::new(),
            demand: BTreeMap::new(),
        }
    }
    /// Another spelling of the operator's document than the product's own.
    pub fn set_reader(&mut self, r: SpecReader) {
        self.reader = r;
    }
    /// Bounds to keep and the region of each zone.
    pub fn set_bounds(&mut self, b: Bounds, regions: BTreeMap<String, String>) {
        self.placement = Placement::new(&self.name, &self.zone, regions, b);
    }

    fn count(&mut self, what: &'static str) {
        *self.counters.entry(what).or_default() += 1;
    }

    // ---- what the agent says ----

    pub fn on_board(&mut self, m: BoardMsg, now: Ms) {
        (self.rule, self.until, self.nodes) = (m.rule, m.until, m.nodes.0);
        self.heard = if m.life == self.born { m.heard.min(self.change) } else { 0 };
        let heard = self.heard;
        self.changed.retain(|_, n| *n > heard);
        self.moved.retain(|_, n| *n > heard);
        let edges = self.nodes.iter().filter(|n| !n.http.is_empty());
        // An edge goes by its agent's name: a proxy knows its own by where it answers callers.
        let me = edges.clone().find(|n| n.http == self.http).map_or(&self.name, |n| &n.name);
        self.placement.set_edges(edges.map(|n| n.name.to_string()).collect(), me, now);
        self.whole |= m.full != 0;
        let mut new = false;
        for c in &m.changes.0 {
            new |= self.board.merge(c);
        }
        for p in m.permits.0 {
            let k = p.permit.service.to_string();
            if self.permits.get(&k).is_none_or(|o| (o.permit.epoch, o.until) <= (p.permit.epoch, p.until)) {
                self.permits.insert(k, p);
            }
        }
        if new {
            self.read_board(now);
        }
    }

    fn read_board(&mut self, now: Ms) {
        let spec = self.board.get(SPEC).filter(|c| !c.value.0.is_empty());
        // Documents grow long and records change often: each is read once per change of its own.
        if let Some(c) = spec.filter(|c| stamp(c) != self.read) {
            let mut s = (self.reader)(&c.value.0);
            self.read = stamp(c);
            // Tenants bring paths by the ten thousand: the index alone has them.
            self.paths = Paths::new(s.as_mut().map_or(vec![], |s| std::mem::take(&mut s.paths)));
            for v in s.iter().flat_map(|s| &s.services) {
                v.engine.iter().for_each(|e| self.placement.set_engine(&v.name, e));
            }
            self.spec = s.map(Arc::new);
        }
        self.leaving = self.board.under(LEAVING).map(|(r, _)| r.to_string()).collect();
        let changed: Vec<(String, (u64, u64))> = self
            .board
            .under(DUTY)
            .map(|(s, c)| (s.to_string(), stamp(c)))
            .filter(|(s, at)| self.records.get(s).is_none_or(|r| (r.0, r.1) != *at))
            .collect();
        for (s, at) in changed {
            let Some(r) = self.board.read::<RolloutRecord>(&format!("{DUTY}{s}")) else { continue };
            let old = self.records.get(&s).map_or(BTreeSet::new(), |o| o.2.replicas.iter().map(|p| p.id.clone()).collect());
            self.placement.set_service(&s, &r.replicas, &old, now);
            self.records.insert(s, (at.0, at.1, r));
        }
        self.read_contexts();
        let zones = self.spec.as_ref().map_or(&[][..], |s| &s.zones);
        self.evacuated = zones.iter().filter(|z| evacuated(&self.board, &z.name)).map(|z| z.name.clone()).collect();
    }

    /// Takes copies of shared context as their records have them.
    fn read_contexts(&mut self) {
        let all = self.board.under(CONTEXT).map(|(s, c)| (s.to_string(), stamp(c)));
        let changed: Vec<(String, (u64, u64))> = all.filter(|(s, at)| self.contexts.get(s) != Some(at)).collect();
        for (s, at) in changed {
            // Nothing stands under the key where copies are switched off.
            let r = self.board.read::<ContextRecord>(&format!("{CONTEXT}{s}"));
            self.placement.set_context(&s, r.as_ref());
            if r.is_none() {
                self.demand.remove(&s);
            }
            self.contexts.insert(s, at);
        }
    }

    fn told<'a>(&self, keys: impl Iterator<Item = &'a TallyKey>, now: Ms) -> List<Tally> {
        let mut told = BTreeSet::new();
        let tallies = keys.filter_map(|k| Some((k, self.tallies.get(k)?))).map(|((s, v, l, warm, g), n)| {
            // Recent counts are kept over all groups, so they go with the first of a cell's groups only.
            let first = told.insert((s, v, l, *warm));
            let h = self.health.get(s).filter(|_| first);
            let new = h.map_or((0, 0, 0), |h| h.recent(v, l, *warm, now));
            Tally {
                service: s.as_str().into(),
                version: v.as_str().into(),
                lane: l.as_str().into(),
                warm: (*warm).into(),
                group: *g,
                sent: n[0],
                ok: n[1],
                failed: n[2],
                slow: n[3],
                new_ended: new.0,
                new_failed: new.1,
                new_slow: new.2,
                firsts: n[4],
                first_log: n[5],
                failed_on: n[6],
            }
        });
        tallies.collect()
    }
    /// Everything counted and open.
    pub fn hello(&self, now: Ms) -> ProxyHello {
        let opens = self.open.iter().filter(|(_, n)| **n > 0).map(|((r, v), n)| Open {
            replica: r.as_str().into(),
            version: v.as_str().into(),
            streams: *n,
        });
        ProxyHello {
            born: self.born,
            http: self.http.clone(),
            after: 0,
            upto: self.change,
            tallies: self.told(self.tallies.keys(), now),
            opens: opens.collect::<List<Open>>(),
        }
    }
    /// What the agent does not have yet: lanes are many, and most rest.
    pub fn news(&self, now: Ms) -> ProxyHello {
        if self.heard == 0 {
            return self.hello(now);
        }
        let opens = self.moved.keys().map(|k| Open {
            replica: k.0.as_str().into(),
            version: k.1.as_str().into(),
            streams: self.open.get(k).copied().unwrap_or(0),
        });
        ProxyHello {
            born: self.born,
            http: self.http.clone(),
            after: self.heard,
            upto: self.change,
            tallies: self.told(self.changed.keys(), now),
            opens: opens.collect(),
        }
    }

    /// Long prompts that went out since this was last asked, by the region where they are read, and replicas that failed
    /// here, for other proxies. Who shares this region's ways is told of the failures.
    pub fn readings(&mut self, now: Ms) -> impl Iterator<Item = Readings> {
        let (mut all, failing) = (self.placement.readings(now), self.placement.failing(now));
        let home: Name = self.placement.travel.home().into();
        if !failing.is_empty() {
            all.entry(home.clone()).or_default();
        }
        let (by, zone) = (self.name.clone(), self.zone.clone());
        all.into_iter().map(move |(region, all)| {
            let failing = List(if region == home { failing.clone() } else { vec![] });
            Readings { by: by.clone(), zone: zone.clone(), region, all: List(all), failing }
        })
    }
    /// What shared context is often asked for here, for the holders of the services' duties.
    pub fn demands(&mut self, now: Ms) -> Vec<DemandMsg> {
        let edges = self.placement.edges();
        let due = self.demand.iter_mut().filter(|(_, d)| d.due(edges, now));
        due.map(|(s, d)| DemandMsg { service: s.as_str().into(), parts: List(d.tell(now)) }).collect()
    }
    /// Counts an ask for shared context, where copies of it may be kept.
    fn ask_context(&mut self, lane: &PathSpec, service: &str, n: &Nominee, ask: &Ask, now: Ms) -> Option<Ready> {
        let (Some(key), parts) = (chain(&ask.parts), shared(&ask.parts)) else { return None };
        if tokens(parts) < CONTEXT_TOKENS || !self.placement.has_context(service) {
            return None;
        }
        let c = Chain { version: number(&n.version), homes: homes(&lane.homes), chain: key, tokens: tokens(parts) };
        self.demand.entry(service.into()).or_default().ask(c, now);
        n.warm.then(|| Ready { chain: c, parts: parts.iter().map(|p| p.0).collect() })
    }
    /// A first piece came so late that what was taken for ready was read again.
    fn miss_context(&mut self, p: &Placed, r: Ready, now: Ms) {
        self.count("context_missed");
        self.placement.missed(&p.replica, &r.parts);
        self.demand.entry(p.service.clone()).or_default().miss(r.chain, now);
    }
    /// What another proxy sent, and what failed it.
    pub fn on_readings(&mut self, m: Readings, now: Ms) {
        m.all.iter().for_each(|r| self.placement.on_reading(r, now));
        m.failing.iter().for_each(|n| self.placement.on_failing(*n, &m.by, &m.zone, now));
    }

    // ---- what replicas say ----

    /// Replicas to ask for their reports: id and address.
    pub fn replicas(&self) -> Vec<(String, String)> {
        let all = self.records.values().flat_map(|r| &r.2.replicas);
        // What the record tells of a replica needs no asking.
        let all = all.filter(|p| p.slots == 0);
        all.map(|p| (p.id.clone(), p.addr.clone())).collect()
    }

    pub fn on_report(&mut self, r: ReplicaReport, now: Ms) {
        let old = self.seen.remove(&r.replica);
        let mut ready = match old {
            // Another life of the replica, or one that went dark for long, starts cold again.
            Some(o) if o.report.born == r.born && now.saturating_sub(o.at) < 5 * REPORT_OLD => o.ready,
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
        self.seen.insert(r.replica.clone(), Seen { report: r, at: now, since: 0, ready });
    }

    // ---- checks ----

    fn lane<'a>(
        spec: &'a Spec,
        service: &str,
        lane: &str,
        tier: &str,
    ) -> Result<(&'a ServiceSpec, &'a LaneSpec, u32, u32), Fault> {
        let bad = |f: &str, m: String| Fault::new("bad_request", "check_request", m).field(f).outcome(Outcome::NotRun);
        let Some(s) = spec.services.iter().find(|s| s.name == service) else {
            return Err(bad("service", format!("no service {service}")));
        };
        let Some(l) = s.lanes.iter().find(|l| l.name == lane) else {
            return Err(bad("lane", format!("service {service} has no lane {lane}")));
        };
        let Some(t) = spec.tiers.iter().find(|t| t.name == tier) else {
            return Err(bad("tier", format!("no tier {tier}")));
        };
        Ok((s, l, t.rank, t.keep_free))
    }

    /// A rejection with a time to come back, spread so that callers do not return together.
    pub fn reject(&mut self, code: &str, step: &str, message: &str) -> Fault {
        self.count("rejected");
        let ms = self.rng.u64(RETRY_AFTER.0..RETRY_AFTER.1);
        Fault::new(code, step, message).retry(ms).outcome(Outcome::NotRun)
    }

    /// Home zones of a request that take requests now.
    fn homes(&mut self, s: &ServiceSpec, homes: &[String]) -> Result<BTreeSet<String>, Fault> {
        let bad = |m: String| Fault::new("bad_request", "check_request", m).field("homes").outcome(Outcome::NotRun);
        if homes.is_empty() {
            return Err(bad("names no home".into()));
        }
        let zones = self.spec.as_ref().map_or(&[][..], |s| &s.zones);
        if let Some(h) = homes.iter().find(|h| !zones.iter().any(|z| z.name == **h)) {
            return Err(bad(format!("no zone {h}")));
        }
        let served: BTreeSet<&String> = homes.iter().filter(|h| s.zones.iter().any(|z| z.zone == **h)).collect();
        if served.is_empty() {
            return Err(bad(format!("service {} has no replica in these homes", s.name)));
        }
        let open: BTreeSet<String> = served.into_iter().filter(|h| !self.evacuated.contains(*h)).cloned().collect();
        if open.is_empty() {
            return Err(self.reject("evacuated", "filter_homes", "every home is evacuated"));
        }
        Ok(open)
    }

    fn allowed(&mut self, now: Ms) -> Result<Arc<Spec>, Fault> {
        // The rule is read with the clock at hand: a process that slept finds it lapsed.
        if self.rule == RULE_NONE || now >= self.until {
            return Err(self.reject("no_rule", "check_rule", "this edge may not serve now"));
        }
        match self.spec.clone().filter(|_| self.whole) {
            Some(s) => Ok(s),
            None => Err(self.reject("no_spec", "check_rule", "no spec is known yet")),
        }
    }

    // ---- candidates ----

    fn places(&self, s: &Seen, version: &str, now: Ms) -> u32 {
        let slots = s.report.slots;
        let Some(t) = s.ready.get(version) else { return 0 };
        let age = now.saturating_sub(*t);
        // A cold replica starts with one place and gains the rest as it warms.
        let ramp = COLD_PLACES as u64 + u64::from(slots.saturating_sub(COLD_PLACES)) * age.min(WARM_UP) / WARM_UP;
        (ramp as u32).min(slots)
    }
    /// Whether this proxy is one of those that may use a replica that is still warming: as many as it has
    /// places, in the agreed order of the edges of its zone. Otherwise every proxy would give it one at once.
    fn may_warm(&self, s: &Seen, version: &str, places: u32, now: Ms) -> bool {
        if s.ready.get(version).is_none_or(|t| now.saturating_sub(*t) >= WARM_UP) {
            return true;
        }
        let id = &s.report.replica;
        let near = || self.nodes.iter().filter(|n| *n.zone == s.report.zone && !n.http.is_empty());
        let Some(me) = near().find(|n| n.http == self.http) else { return near().next().is_none() };
        let before = near().filter(|n| weight(id, &n.name) > weight(id, &me.name)).count() as u32;
        // What the others have sent since the last report is not known here: each keeps to its part of what
        // that report left, and those in front have the odd ones.
        let (left, all) = (places.saturating_sub(s.report.busy), near().count() as u32);
        s.since < left / all + u32::from(before < left % all)
    }
    fn load(s: &Seen) -> u32 {
        s.report.busy + s.since
    }

    /// How much of each replica's places better tiers press for, now: it ebbs from when it was last raised.
    fn pressing(&self, rank: u32, now: Ms) -> u32 {
        let ebb = |(p, t): &(u32, Ms)| p.saturating_sub((now.saturating_sub(*t) * PRESS_EBB / 1_000) as u32);
        self.pressed.range(..rank).map(|(_, x)| ebb(x)).max().unwrap_or(0)
    }
    /// A request of this rank found no place: the tiers behind it get fewer.
    fn press(&mut self, rank: u32, now: Ms) {
        let p = self.pressing(rank + 1, now);
        self.pressed.insert(rank, ((p + PRESS_STEP).min(PRESS_MOST), now));
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
            let usable = now.saturating_sub(s.at) <= REPORT_OLD
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
    fn fit(
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
            own.min(all * (100 - pressed) / 100).saturating_sub(Self::load(s))
        };
        let all = self.usable(what, g, zones, now).into_iter();
        let fit: Vec<(&Seen, u32)> = all.map(|(s, all)| (s, free(s, all))).filter(|(_, f)| *f > 0).collect();
        // One may say that it is well and fail what it is sent: it is left alone while others have places.
        let sure: Vec<_> = fit.iter().filter(|(s, _)| !self.placement.shuns(&s.report.replica, now)).copied().collect();
        if sure.is_empty() { fit } else { sure }
    }

    /// A zone where a request that finds no place may wait for one: only for tiers that have others behind
    /// them, which are pressed back meanwhile, and while few wait here.
    fn wait_zone(&mut self, q: &NominateRequest, rank: u32, zones: &BTreeSet<String>, now: Ms) -> Option<String> {
        let behind = self.spec.as_ref().is_some_and(|s| s.tiers.iter().any(|t| t.rank > rank));
        if !behind || self.waiting.iter().filter(|w| w.rank <= rank).count() >= WAITING / 4 {
            return None;
        }
        let mut all: Vec<String> = vec![];
        for (_, v, ids) in self.groups(&q.service, now) {
            let open = self.usable((&q.service, &q.prefixes), (&v, &ids), zones, now);
            let open = open.into_iter().map(|(s, _)| s.report.zone.clone());
            all.extend(open.filter(|z| self.nodes.iter().any(|n| *n.zone == **z && !n.http.is_empty())));
        }
        // A zone comes up as often as it has replicas.
        self.rng.choice(&all).cloned()
    }

    /// Whether a prefix was lately sent to a replica, so that it should lie in its cache.
    fn known(&self, id: &str, version: &str, prefix: &str, now: Ms) -> bool {
        let k = (id.to_string(), format!("{version} {prefix}"));
        self.warm.get(&k).is_some_and(|t| now.saturating_sub(*t) < PREFIX_KEPT)
    }

    /// The replica for a prompt: the first in its longest prefix's order that is not too busy, else the freest.
    fn pick<'a>(&self, fit: &[(&'a Seen, u32)], prefixes: &[String], version: &str, now: Ms) -> Option<&'a Seen> {
        for p in prefixes {
            let known = |s: &Seen| self.known(&s.report.replica, version, p, now);
            let room = |s: &Seen, free: u32| {
                let places = self.places(s, version, now);
                free > 0 && (known(s) || Self::load(s) * 100 < places * AFFINITY_BUSY)
            };
            let best = fit.iter().filter(|(s, f)| room(s, *f)).max_by_key(|(s, _)| weight(p, &s.report.replica));
            if let Some((s, _)) = best {
                return Some(s);
            }
        }
        let key = |s: &Seen, free: u32| {
            (u64::from(free) * 1000 / u64::from(s.report.slots.max(1)), weight(&self.name, &s.report.replica))
        };
        fit.iter().max_by_key(|(s, f)| key(s, *f)).map(|(s, _)| *s)
    }

    /// Groups in the order they are tried: by share, within permits.
    fn groups(&mut self, service: &str, now: Ms) -> Vec<Group> {
        let Some((epoch, version, r)) = self.records.get(service) else { return vec![] };
        let permit = self.permits.get(service).filter(|p| p.until > now && self.rule == RULE_ALL);
        // The canary's permit must be for this very record or a later one of the same holder.
        let share =
            permit.filter(|p| p.permit.epoch >= *epoch && p.permit.version >= *version).map_or(0, |p| p.permit.canary_share);
        let under = share > 0 && self.shares.get(service).is_some_and(|s| *s >= 100);
        let new = |v: &str| v != r.stable;
        // A version that is not the stable one needs a permit at all times, and shares only what it may.
        let capped = |v: &str| new(v) && (permit.is_none() || self.suspects.get(v).is_some_and(|t| *t > now));
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
        // While nothing permits more, the stable version goes on wherever it is loaded.
        if rest.is_empty() {
            rest.extend(r.groups.iter().filter(|g| g.version == r.stable));
        }
        first.into_iter().chain(rest).map(|g| (g.role, g.version.clone(), g.replicas.clone())).collect()
    }

    // ---- callers ----

    /// Answers where a request should go.
    pub fn nominate(&mut self, q: &NominateRequest, now: Ms) -> Result<Nomination, Fault> {
        let spec = self.allowed(now)?;
        let (s, l, rank, keep) = Self::lane(&spec, &q.service, &q.lane, &q.tier)?;
        let zones = self.homes(s, &q.homes)?;
        if q.time_left_ms > l.time_limit_ms {
            let m = format!("lane {} grants at most {} ms", l.name, l.time_limit_ms);
            return Err(Fault::new("bad_request", "check_request", m).field("time_left_ms").outcome(Outcome::NotRun));
        }
        if q.time_left_ms < l.expected_ms {
            return Err(self.reject("no_time", "nominate", "it could not end in its time left"));
        }
        let mut best: Option<String> = None;
        // Near first, as in placing: callers with other second homes share a prefix's replica in their first.
        let own: BTreeSet<String> = zones.iter().filter(|z| ***z == *self.zone).cloned().collect();
        'found: for zs in [&own, &zones] {
            for (_, v, ids) in self.groups(&q.service, now) {
                let fit = self.fit((&q.service, &q.prefixes), (&v, &ids), zs, (rank, keep), now);
                let edges = |z: &str| self.nodes.iter().any(|n| &*n.zone == z && !n.http.is_empty());
                // Carried inside its homes: a zone without an edge cannot be gone to.
                let fit: Vec<(&Seen, u32)> = fit.into_iter().filter(|(r, _)| edges(&r.report.zone)).collect();
                if let Some(r) = self.pick(&fit, &q.prefixes, &v, now) {
                    best = Some(r.report.zone.clone());
                    break 'found;
                }
            }
        }
        if best.is_none() {
            self.press(rank, now);
            best = self.wait_zone(q, rank, &zones, now);
        }
        let Some(zone) = best else {
            return Err(self.reject("full", "nominate", "no warm replica in these homes has a place for this tier"));
        };
        let random = self.rng.u64(..);
        let near: Vec<&Node> = self.nodes.iter().filter(|n| *n.zone == *zone && !n.http.is_empty()).collect();
        let edge = match near.iter().find(|n| n.name == self.name) {
            Some(n) => *n,
            None => *near.iter().max_by_key(|n| weight(&format!("{random}"), &n.name)).unwrap_or(&near[0]),
        };
        let (proxy, zone) = (edge.http.to_string(), edge.zone.to_string());
        let request = claims::mint(random, self.nodes.clone());
        self.count("nominated");
        Ok(Nomination { proxy, zone, request })
    }

    /// Checks a request that has come to run, before anything is claimed for it.
    pub fn check(&mut self, q: &RunRequest, now: Ms) -> Result<u32, Fault> {
        let spec = self.allowed(now)?;
        let (s, l, rank, _) = Self::lane(&spec, &q.service, &q.lane, &q.tier)?;
        if claims::holders(&q.request).is_none() {
            return Err(Fault::new("bad_request", "check_request", "is no id that nominate gave")
                .field("request")
                .outcome(Outcome::NotRun));
        }
        if q.key.is_some() && !q.run_once {
            let m = "a key is for what may run only once";
            return Err(Fault::new("bad_request", "check_request", m).field("key").outcome(Outcome::NotRun));
        }
        if !q.homes.iter().any(|h| **h == *self.zone) {
            let m = format!("this edge is in zone {}, outside the request's homes", self.zone);
            return Err(Fault::new("wrong_zone", "check_request", m).field("homes").outcome(Outcome::NotRun));
        }
        self.homes(s, &q.homes)?;
        if q.time_left_ms > l.time_limit_ms {
            let m = format!("lane {} grants at most {} ms", l.name, l.time_limit_ms);
            return Err(Fault::new("bad_request", "check_request", m).field("time_left_ms").outcome(Outcome::NotRun));
        }
        if q.time_left_ms < l.expected_ms {
            return Err(self.reject("no_time", "check_request", "it could not end in its time left"));
        }
        Ok(rank)
    }

    /// Finds a place now. `tried`: replicas that already failed this request.
    pub fn place(&mut self, q: &RunRequest, tried: &[String], now: Ms) -> Admit {
        let spec = match self.allowed(now) {
            Ok(s) => s,
            Err(f) => return Admit::Reject(f),
        };
        let (s, rank, keep) = match Self::lane(&spec, &q.service, &q.lane, &q.tier) {
            Ok((s, _, r, k)) => (s, r, k),
            Err(f) => return Admit::Reject(f),
        };
        let zones = match self.homes(s, &q.homes) {
            Ok(z) => z,
            Err(f) => return Admit::Reject(f),
        };
        // Near first: the edge's own zone, then the other homes.
        let own: BTreeSet<String> = zones.iter().filter(|z| ***z == *self.zone).cloned().collect();
        for zs in [own, zones] {
            for (role, v, mut ids) in self.groups(&q.service, now) {
                ids.retain(|i| !tried.contains(i));
                let fit = self.fit((&q.service, &q.prefixes), (&v, &ids), &zs, (rank, keep), now);
                let Some(r) = self.pick(&fit, &q.prefixes, &v, now) else { continue };
                let id = r.report.replica.clone();
                let addr =
                    self.records.get(&q.service).and_then(|r| r.2.replicas.iter().find(|p| p.id == id)).map(|p| p.addr.clone());
                let Some(addr) = addr else { continue };
                return Admit::Go(self.begin(q, role, v, id, addr, now));
            }
        }
        self.press(rank, now);
        // A second round does not wait again: its answer is due at once.
        if !tried.is_empty() {
            return Admit::Reject(self.reject("full", "place", "no other replica has a place"));
        }
        Admit::Full
    }

    /// The place of a run that a caller goes on with: its own replica and no other.
    pub fn resume(&mut self, q: &RunRequest, id: &str, now: Ms) -> Option<Placed> {
        let r = &self.records.get(&q.service)?.2;
        let addr = r.replicas.iter().find(|p| p.id == id)?.addr.clone();
        if !q.homes.contains(&self.seen.get(id)?.report.zone) {
            return None;
        }
        let version = r.groups.iter().find(|g| g.replicas.iter().any(|i| i == id))?.version.clone();
        Some(self.begin(q, GroupRole::Stable, version, id.into(), addr, now))
    }
    pub fn expected(&self, service: &str, lane: &str) -> Ms {
        let s = self.spec.as_ref().and_then(|s| s.services.iter().find(|s| s.name == service));
        s.and_then(|s| s.lanes.iter().find(|l| l.name == lane)).map_or(0, |l| l.expected_ms)
    }

    fn begin(&mut self, q: &RunRequest, role: GroupRole, version: String, replica: String, addr: String, now: Ms) -> Placed {
        let mut warm = false;
        for p in &q.prefixes {
            let k = (replica.clone(), format!("{version} {p}"));
            warm |= self.warm.insert(k, now).is_some_and(|t| now - t < PREFIX_KEPT);
        }
        if self.warm.len() > PREFIXES {
            let old = now.saturating_sub(PREFIX_KEPT / 2);
            self.warm.retain(|_, t| *t > old);
        }
        if let Some(s) = self.seen.get_mut(&replica) {
            s.since += 1;
        }
        self.opens((replica.clone(), version.clone()));
        self.share_out(&q.service, role);
        let p =
            Placed { service: q.service.clone(), lane: q.lane.clone(), version, replica, addr, role, warm, at: now, flight: 0 };
        self.tally(&p, 0);
        p
    }

    fn opens(&mut self, at: (String, String)) {
        self.change += 1;
        self.moved.insert(at.clone(), self.change);
        *self.open.entry(at).or_default() += 1;
    }

    /// Counts a round of a service towards its canary's share, or out of it.
    fn share_out(&mut self, service: &str, role: GroupRole) {
        let canary = |r: &RolloutRecord| r.groups.iter().any(|g| g.role == GroupRole::Canary);
        let share = match self.records.get(service) {
            Some((.., r)) if canary(r) => self.permits.get(service).map_or(0, |p| p.permit.canary_share),
            _ => 0,
        };
        // Each request lets the canary have its percent of one; nothing is saved up beyond one, nor from before
        // there was a canary.
        let n = self.shares.entry(service.into()).or_default();
        *n = if share == 0 { 0 } else { (*n + share).min(100) };
        if role == GroupRole::Canary {
            *n = n.saturating_sub(100);
        }
    }

    fn tally(&mut self, p: &Placed, i: usize) {
        self.add(p, i, 1);
    }
    fn add(&mut self, p: &Placed, i: usize, n: u64) {
        let k = (p.service.clone(), p.version.clone(), p.lane.clone(), p.warm, p.role as u8);
        self.change += 1;
        self.changed.insert(k.clone(), self.change);
        self.unjudged.entry(p.service.clone()).or_default().insert(k.clone());
        self.tallies.entry(k).or_default()[i] += n;
    }

    /// A round ended. Gives the version that this proxy begins to cap, if it does.
    pub fn done(&mut self, p: &Placed, e: Ended, now: Ms) -> Option<String> {
        let k = (p.replica.clone(), p.version.clone());
        if let Some(n) = self.open.get_mut(&k) {
            *n = n.saturating_sub(1);
            if *n == 0 {
                self.open.remove(&k);
            }
        }
        self.change += 1;
        self.moved.insert(k, self.change);
        if let Some(s) = self.seen.get_mut(&p.replica) {
            s.since = s.since.saturating_sub(1);
        }
        // What came by host and path has told its replica's row already.
        match e {
            Ended::Answered if p.flight == 0 => self.placement.trust(&p.replica),
            Ended::Failed if p.flight == 0 => self.placement.doubt(&p.replica, now.saturating_sub(p.at), now),
            _ => {}
        }
        match e {
            Ended::Answered => self.tally(p, 1),
            Ended::Slow => {
                self.tally(p, 1);
                self.tally(p, 3);
            }
            Ended::Failed => {
                self.tally(p, 2);
                let k = (p.service.clone(), p.version.clone(), p.lane.clone(), p.warm, p.role as u8);
                self.tallies.entry(k).or_default()[6] |= failing(&p.replica);
            }
            Ended::Dropped | Ended::Busy => {}
        }
        // This proxy caps a version as soon as its own counts show failures; the control plane's cut follows.
        let stable = self.records.get(&p.service).map(|r| r.2.stable.clone())?;
        let unjudged = self.unjudged.remove(&p.service).unwrap_or_default();
        let rows = self.told(unjudged.iter(), now).0;
        let h = self.health.entry(p.service.clone()).or_insert_with(|| {
            // This proxy has counted everything itself: nothing came before.
            let mut h = Health::default();
            h.feed(&self.name, self.born, &[]);
            h
        });
        h.feed(&self.name, self.born, &rows);
        h.tick(now);
        if p.version == stable {
            return None;
        }
        // Where the platform places versions few replicas have the new one: one that crashes is no version's fault.
        let placed = |s: &ServiceSpec| s.name == p.service && s.mode == ServiceMode::Placed;
        let beside = self.spec.as_ref().is_some_and(|s| s.services.iter().any(placed));
        let verdict = if beside { h.judge_beside(&p.version, None, now) } else { h.judge(&p.version, &stable, now) };
        if verdict == Verdict::Fine {
            return None;
        }
        let old = self.suspects.insert(p.version.clone(), now + SUSPECT_FOR);
        old.is_none_or(|t| t <= now).then(|| p.version.clone())
    }

    // ---- requests that come by host and path ----

    /// What a caller by host and path may send, and how long it may take or rest.
    pub fn limits(&self) -> Option<&DownstreamLimits> {
        self.spec.as_ref()?.limits.as_ref()
    }

    /// The lane of a request, if this edge may serve at all.
    pub fn path(&mut self, host: &str, path: &str, now: Ms) -> Result<Arc<PathSpec>, Fault> {
        if self.rule == RULE_NONE || now >= self.until {
            return Err(self.reject("no_rule", "check_rule", "this edge may not serve now"));
        }
        if !self.whole || self.spec.is_none() {
            return Err(self.reject("no_spec", "check_rule", "no spec is known yet"));
        }
        let none = || Fault::new("not_found", "find_lane", "no lane has this host and path").outcome(Outcome::NotRun);
        self.paths.find(host, path).ok_or_else(none)
    }

    /// Nominates a replica for a request. `tried`: replicas that it went to before.
    pub fn pass(&mut self, lane: &PathSpec, ask: &Ask, tried: &[String], until: Ms, now: Ms) -> Admit {
        if now >= until {
            return Admit::Reject(self.reject("no_time", "nominate", "it could not end in its time left"));
        }
        for service in self.by_weight(lane) {
            if tried.is_empty() {
                self.budgets.entry(service.clone()).or_default().first(&self.placement.bounds, now);
            }
            for (role, version, ids) in pools(self.groups(&service, now)) {
                let evacuated = std::mem::take(&mut self.evacuated);
                let leaving = &self.leaving;
                let open = ids.iter().filter(|id| !leaving.contains(*id));
                let w = Want { lane, ask, tried, evacuated: &evacuated };
                let n = self.placement.nominate(&service, open, &w, now);
                self.evacuated = evacuated;
                if let Some(n) = n {
                    return Admit::Go(self.fly(lane, service, role, version, n, ask, now));
                }
            }
        }
        Admit::Reject(self.reject("no_replica", "nominate", "no replica may take it now"))
    }

    /// Services of a lane, one drawn by weight first; the others may serve it too if that one has nobody.
    fn by_weight(&mut self, lane: &PathSpec) -> Vec<String> {
        let total: u32 = lane.split.iter().map(|s| s.weight).sum();
        let mut x = if total > 0 { self.rng.u32(..total) } else { 0 };
        let mut names: Vec<String> = vec![];
        for s in lane.split.iter().filter(|s| s.weight > 0) {
            if x < s.weight && !names.contains(&s.service) {
                names.insert(0, s.service.clone());
            } else if !names.contains(&s.service) {
                names.push(s.service.clone());
            }
            x = if x < s.weight { u32::MAX } else { x - s.weight };
        }
        names
    }

    #[expect(clippy::too_many_arguments, reason = "one nomination's parts, put together in one place")]
    fn fly(
        &mut self,
        lane: &PathSpec,
        service: String,
        role: GroupRole,
        version: String,
        n: Nominee,
        ask: &Ask,
        now: Ms,
    ) -> Placed {
        let ready = self.ask_context(lane, &service, &n, ask, now);
        self.placement.send(&n, ask, now);
        self.flight += 1;
        let slow = lane.expected_ms.max(1) as f64 * SLOW_FACTOR as f64;
        self.flights.insert(
            self.flight,
            Flight { read_ms: Some(n.read_ms), expected: n.expected, at: now, slow_ms: slow, slow: false, ready },
        );
        let p = Placed {
            service,
            lane: lane.lane.clone(),
            version,
            replica: n.id,
            addr: n.addr,
            role,
            warm: n.warm,
            at: now,
            flight: self.flight,
        };
        self.opens((p.replica.clone(), p.version.clone()));
        self.share_out(&p.service, role);
        self.tally(&p, 0);
        p
    }

    /// Draws a second round on the budget that holds over all proxies.
    pub fn second_pass(&mut self, service: &str, now: Ms) -> bool {
        let edges = self.placement.edges();
        let b = self.budgets.entry(service.into()).or_default();
        let may = b.second(&self.placement.bounds, edges, now);
        self.count(if may { "second_rounds" } else { "second_rounds_denied" });
        may
    }
    /// Most channels this proxy may hold to each replica of a service.
    pub fn channels(&self, service: &str) -> usize {
        self.placement.channels(service)
    }
    /// ms there and back to a replica, as far as is known.
    pub fn way(&self, p: &Placed) -> Ms {
        self.placement.way(&p.replica)
    }
    /// A channel was opened; it took so long.
    pub fn opened(&mut self, p: &Placed, took: Ms, _now: Ms) {
        self.placement.opened(&p.replica, took);
    }
    /// An answer's head came.
    pub fn heard(&mut self, p: &Placed, t: &Told, now: Ms) {
        self.placement.heard(&p.service, &p.replica, t, now);
    }
    /// The first event or bytes of an answer came.
    pub fn first_piece(&mut self, p: &Placed, now: Ms) {
        let Some(f) = self.flights.get_mut(&p.flight) else { return };
        let Some(read) = f.read_ms.take() else { return };
        let took = now.saturating_sub(f.at) as f64;
        f.slow = took > f.slow_ms;
        let took_ms = now.saturating_sub(f.at);
        let late = (took - f.expected).max(0.0);
        let ready = f.ready.take();
        // Others' prompts make a replica late too: it must be late by most of what reading the shared parts takes, and
        // beyond what it lately was.
        let missed = ready.filter(|r| late - self.placement.lag(&p.replica) > read_ms(r.chain.tokens) * MISSED_PART);
        self.placement.first_piece(&p.replica, read, late, now);
        if let Some(r) = missed {
            self.miss_context(p, r, now);
        }
        self.tally(p, 4);
        self.add(p, 5, log_ms(took_ms));
    }
    /// A round ended; said once for each. Gives the version that this proxy begins to cap, if it does.
    pub fn passed(&mut self, p: &Placed, e: PassEnd, now: Ms) -> Option<String> {
        let f = self.flights.remove(&p.flight)?;
        let failed = matches!(e, PassEnd::Failed | PassEnd::Unreachable | PassEnd::Silent);
        self.placement.end(&p.replica, f.read_ms, failed, now);
        if e == PassEnd::Other {
            self.placement.gone(&p.replica);
        }
        let ended = match e {
            PassEnd::Answered if f.slow => Ended::Slow,
            PassEnd::Answered => Ended::Answered,
            PassEnd::Slow => Ended::Slow,
            PassEnd::Failed | PassEnd::Silent => Ended::Failed,
            PassEnd::Unreachable | PassEnd::Full | PassEnd::Other => Ended::Busy,
            PassEnd::Dropped => Ended::Dropped,
        };
        self.done(p, ended, now)
    }

    // ---- rounds ----

    /// Whether a second round may be made: a small share of first rounds, and a few for free.
    /// None for a tier that a better one presses back: what is left is that one's.
    pub fn second_round(&mut self, rank: u32, now: Ms) -> bool {
        if self.budget < 100 || self.pressing(rank, now) > 0 {
            self.count("second_rounds_denied");
            return false;
        }
        self.budget -= 100;
        self.count("second_rounds");
        true
    }
    pub fn first_round(&mut self) {
        // Nothing is saved up beyond the few: a quiet hour must not pay for a burst when replicas fail.
        self.budget = (self.budget + SECOND_ROUNDS).min(SECOND_ROUNDS_FREE * 100);
        self.count("first_rounds");
    }

    // ---- the buffer ----

    /// Lets a request wait for a place; the worst of a full buffer gives way. Gives tokens to reject.
    pub fn wait(&mut self, token: u64, rank: u32, time_left: Ms, now: Ms) -> Vec<u64> {
        let until = now + (time_left * WAIT_PERCENT / 100).min(WAIT_MAX);
        let at = self.waiting.iter().position(|w| w.rank > rank).unwrap_or(self.waiting.len());
        self.waiting.insert(at, Waiting { token, rank, until });
        if self.waiting.len() <= WAITING {
            return vec![];
        }
        self.waiting.pop_back().map(|w| w.token).into_iter().collect()
    }
    pub fn unwait(&mut self, token: u64) {
        self.waiting.retain(|w| w.token != token);
    }
    /// Tokens to try again, best first, and tokens whose wait is over.
    pub fn waiters(&mut self, now: Ms) -> (Vec<u64>, Vec<u64>) {
        let late: Vec<u64> = self.waiting.iter().filter(|w| w.until <= now).map(|w| w.token).collect();
        self.waiting.retain(|w| w.until > now);
        (self.waiting.iter().map(|w| w.token).collect(), late)
    }

    // ---- looking ----

    pub fn ready(&self, now: Ms) -> bool {
        self.rule >= RULE_STABLE && now < self.until && self.whole && self.spec.is_some()
    }
    pub fn spec_version(&self) -> u64 {
        self.board.get(SPEC).map_or(0, |c| c.version)
    }
    pub fn board(&self) -> &Board {
        &self.board
    }
}

#[cfg(test)]
mod tests;
