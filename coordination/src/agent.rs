//! An edge agent's brain: membership, the feeds of the control daemons merged into one board, mending
//! with neighbours, leases, the rule its proxy serves under, and claims.

use std::collections::{BTreeMap, BTreeSet};

use wire_messages::{
    Change, ClaimRequest, ClaimResult, ContextDemand, Lease, List, Message, Name, Node, OpenStreams, OutcomeCounters, Poll,
    PrefillReport, ProxyLease, ProxyReport, Repair, TableDigests, TableUpdate as BoardMsg, Update,
};

use crate::{
    Effects, Ms,
    board::{Board, stamp},
    claims::{self, Claimer, Holding},
    effect::{note, send},
    events,
    limits::{
        COUNTS_KEPT, HEALTH_WINDOWS, KNOWS_EDGES, LEASE, MET, MISSED, NODE_GONE, POLL_EVERY, REPAIR_EVERY, RULE_LIFE,
        STABLE_BOUND, START_POLL, TICK,
    },
    membership::{CONTROL, EDGE, Membership},
    regions::{Regions, region},
};

/// What a proxy may do: reject everything, stable versions only, or all that leases allow.
pub const RULE_NONE: u8 = 0;
pub const RULE_STABLE: u8 = 1;
pub const RULE_ALL: u8 = 2;

/// What a mending message brings, as on the wire.
const PLACES: u8 = 0;
const VALUES: u8 = 1;
const WANTS: u8 = 2;

/// A key's place without its value.
fn bare(c: Change) -> Change {
    Change { value: Default::default(), ..c }
}

/// One control daemon as this agent follows it.
#[derive(Clone, Debug, Default)]
struct Source {
    run: u64,
    upto: u64,
    /// Newest question of ours that it answered.
    sent: Ms,
    /// It sent a settled frame in this agent's life.
    framed: bool,
    /// Digest of the places that it was last told, when, and of those that it answered to.
    told: (Ms, u64),
    /// When it was last asked, and when it last answered with a lease: it holds a duty.
    asked: Ms,
    leases: Ms,
    knows: Option<u64>,
    /// Up to which count it has this agent's counts, by its own word; and to what it last answered.
    has: u64,
    answered: Ms,
    /// The services whose tallies it keeps, by its newest word, and the number of that choice.
    choice: u32,
    counts: Vec<Name>,
}

/// Service, version, lane, warm, group.
type TallyKey = (Name, Name, Name, u8, u8);

#[derive(Clone, Debug, Default)]
struct Proxy {
    addr: Name,
    life: u64,
    at: Ms,
    /// Up to which of its changes this agent has its counts, and those, each with its place among the agent's own
    /// changes and when it came.
    heard: u64,
    tallies: BTreeMap<TallyKey, (OutcomeCounters, u64, Ms)>,
    opens: BTreeMap<(Name, Name), (OpenStreams, u64, Ms)>,
    /// Whether it has had a full board.
    full: bool,
}

impl Proxy {
    /// Takes its counts, whole or what changed. A gap is not taken: the proxy tells all again when it hears that
    /// nothing was.
    fn count(&mut self, m: ProxyReport, change: u64, now: Ms) {
        // One that comes late is told again in what came since.
        if m.through_change < self.heard {
            return;
        }
        if m.after_change > self.heard {
            return self.heard = 0;
        }
        if m.after_change == 0 {
            // What is not told any more has ended.
            self.opens.values_mut().filter(|o| o.0.streams > 0).for_each(|o| (o.0.streams, o.1, o.2) = (0, change, now));
        }
        self.heard = m.through_change;
        for t in m.counters.0 {
            let k = (t.service.clone(), t.version.clone(), t.lane.clone(), t.cached, t.group);
            self.tallies.insert(k, (t, change, now));
        }
        for o in m.open_streams.0 {
            self.opens.insert((o.replica.clone(), o.version.clone()), (o, change, now));
        }
    }
    /// Counts after an own change, of some services; all of them after none, without those that have ended.
    fn since(&self, change: u64, of: &[Name], now: Ms) -> (List<OutcomeCounters>, List<OpenStreams>) {
        let old = |at: Ms| now.saturating_sub(at) > HEALTH_WINDOWS[HEALTH_WINDOWS.len() - 1];
        let tallies =
            self.tallies.values().filter(|t| t.1 > change && of.contains(&t.0.service)).map(|(t, _, at)| match old(*at) {
                // What was recent when it came is so no more.
                true => OutcomeCounters { recent_ended: 0, recent_failed: 0, recent_slow: 0, ..t.clone() },
                false => t.clone(),
            });
        let opens = self.opens.values().filter(|o| o.1 > change && (change > 0 || o.0.streams > 0)).map(|o| o.0.clone());
        (tallies.collect(), opens.collect())
    }
}

#[derive(Clone, Debug)]
pub struct Agent {
    pub membership: Membership,
    board: Board,
    sources: BTreeMap<Name, Source>,
    voters: usize,
    leases: BTreeMap<Name, (Lease, Ms)>,
    /// By service: the daemon that last lent a lease under its duty.
    holders: BTreeMap<Name, Name>,
    proxy: Option<Proxy>,
    /// Counts the hellos; and the last count that brought an end which is forgotten here.
    change: u64,
    forgot: u64,
    holding: Holding,
    began: Ms,
    claimer: Claimer,
    ready: bool,
    rule: u8,
    /// When a control majority was last heard.
    heard: Ms,
    next_poll: Ms,
    next_repair: Ms,
    next_board: Ms,
    fresh: Vec<Change>,
    woke: Ms,
    /// When each edge was last asked for a comparison of boards that it answered.
    met: BTreeMap<Name, Ms>,
    /// Cut off from the control plane it serves stable versions on by what it knew last.
    serve_on: bool,
    regions: Regions,
}

impl Agent {
    pub fn new(me: Node, seeds: Vec<Name>, seed: u64, now: Ms) -> Self {
        Agent {
            membership: Membership::new(Node { role: EDGE, ..me }, seeds, seed),
            board: Board::default(),
            sources: BTreeMap::new(),
            voters: 0,
            leases: BTreeMap::new(),
            holders: BTreeMap::new(),
            proxy: None,
            change: 0,
            forgot: 0,
            holding: Holding::new(now),
            began: now,
            claimer: Claimer::default(),
            ready: false,
            rule: RULE_NONE,
            heard: 0,
            next_poll: 0,
            next_repair: 0,
            next_board: 0,
            fresh: Vec::new(),
            woke: 0,
            met: BTreeMap::new(),
            serve_on: false,
            regions: Regions::new(),
        }
    }
    /// Whether the proxy beside this agent still speaks but sends callers elsewhere: the whole machine stops.
    pub fn proxy_goes(&self, now: Ms) -> bool {
        self.membership.me().http_addr.is_empty() && self.proxy.as_ref().is_some_and(|p| now.saturating_sub(p.at) < RULE_LIFE)
    }
    /// Operators who would rather serve by old news than reject, where bounds hold only for daemons in touch.
    pub fn set_serve_on(&mut self, on: bool) {
        self.serve_on = on;
    }
    pub fn set_regions(&mut self, regions: Regions) {
        self.membership.set_regions(regions.clone());
        self.regions = regions;
    }
    pub fn board(&self) -> &Board {
        &self.board
    }
    pub fn rule(&self) -> u8 {
        self.rule
    }

    fn majority(&self) -> usize {
        self.voters / 2 + 1
    }

    pub fn on_msg(&mut self, from: &Name, addr: &Name, msg: Message, now: Ms) -> Effects {
        let mut out = Vec::new();
        match msg {
            Message::Shuffle(m) => {
                self.membership.on_shuffle(addr, m, now, &mut out);
                // One that has just started asks each control daemon as soon as it knows of it.
                if !self.ready && self.membership.known(CONTROL).any(|n| !self.sources.contains_key(&n.name)) {
                    self.next_poll = now;
                }
            }
            Message::Update(m) => self.on_news(from, m, now, &mut out),
            Message::TableDigests(m) => {
                let ranges = self.board.differ(&m.ranges);
                // Places only: values are long, and most often it is the other that lags.
                let changes = self.board.within(&ranges).into_iter().map(bare).collect();
                out.push(send(addr, Repair { request_sent_at: m.sent_at, changes, kind: PLACES, ranges: List(ranges) }));
            }
            Message::Repair(m) => {
                let at = self.met.entry(from.clone()).or_insert(0);
                *at = (*at).max(m.request_sent_at);
                self.on_mend(addr, m, &mut out);
            }
            Message::Claim(m) => self.holding.on_claim(self.membership.me(), addr, m, now, &mut out),
            Message::ClaimReply(m) => {
                let ended = self.claimer.on_claimed(from, m);
                self.tell(ended, &mut out);
            }
            Message::ProxyReport(m) => self.on_hello(addr, m, now),
            Message::ClaimRequest(m) => self.on_claim_ask(addr, m, now, &mut out),
            Message::PrefillReport(m) => self.on_readings(addr, m, &mut out),
            Message::ContextDemand(m) => self.on_demand(addr, m, &mut out),
            _ => {}
        }
        // News goes to the proxy as it comes, not at the next tick.
        if !self.fresh.is_empty() {
            self.push(now, &mut out);
        }
        out
    }

    fn tell(&self, ended: impl IntoIterator<Item = crate::claims::Ended>, out: &mut Effects) {
        out.extend(ended.into_iter().map(|(to, token, state)| send(&to, ClaimResult { token, state })));
    }

    fn on_claim_ask(&mut self, proxy: &Name, m: ClaimRequest, now: Ms, out: &mut Effects) {
        // A young agent may know few edges, and a majority of few is no majority.
        if m.request.starts_with(claims::KEY) && now.saturating_sub(self.began) < KNOWS_EDGES {
            out.push(send(proxy, ClaimResult { token: m.token, state: claims::ABSTAINS }));
            return;
        }
        let edges: Vec<Node> = self.membership.known(EDGE).chain([self.membership.me()]).cloned().collect();
        self.claimer.ask(proxy, &m, &edges, now, out);
    }

    /// What its proxy lately sent goes to the edges of its region, and of that where it was sent: those share replicas
    /// with it. What others sent goes to its proxy.
    fn on_readings(&self, from: &Name, m: PrefillReport, out: &mut Effects) {
        let Some(p) = &self.proxy else { return };
        if p.addr != *from {
            return out.push(send(&p.addr, m));
        }
        let me = self.membership.me();
        let near = |n: &&Node| self.membership.near(n) || region(&self.regions, &n.zone) == &*m.region;
        out.extend(self.membership.live(EDGE).filter(|n| n.name != me.name).filter(near).map(|n| send(&n.addr, m.clone())));
    }

    /// What its proxy's callers often ask for goes to the holder of the service's duty and nobody else.
    fn on_demand(&self, from: &Name, m: ContextDemand, out: &mut Effects) {
        let own = self.proxy.as_ref().is_some_and(|p| p.addr == *from);
        let holder = self.holders.get(&m.service).filter(|_| own);
        out.extend(self.membership.known(CONTROL).filter(|n| Some(&n.name) == holder).map(|n| send(&n.addr, m.clone())));
    }

    fn on_hello(&mut self, addr: &Name, m: ProxyReport, now: Ms) {
        self.membership.set_http(&m.http_addr);
        // Another life of the proxy has nothing, however soon it came back.
        let same = |p: &Proxy| p.addr == *addr && p.life == m.incarnation && now.saturating_sub(p.at) < RULE_LIFE;
        let mut p = match self.proxy.take() {
            Some(p) if p.addr == *addr && p.life == m.incarnation => Proxy { full: p.full && same(&p), ..p },
            // Its former life's streams have ended, which whoever knew of them is told.
            old => Proxy {
                addr: addr.clone(),
                life: m.incarnation,
                opens: old.map_or_else(BTreeMap::new, |p| p.opens),
                ..Proxy::default()
            },
        };
        p.at = now;
        self.change += 1;
        p.count(m, self.change, now);
        // Whoever did not hear in time that these streams have ended is told everything again.
        let forgot = &mut self.forgot;
        p.opens.retain(|_, o| {
            let keep = o.0.streams > 0 || now.saturating_sub(o.2) < COUNTS_KEPT;
            *forgot = (*forgot).max(if keep { 0 } else { o.1 });
            keep
        });
        // A proxy that has nothing yet is not let wait for the next turn.
        if !p.full {
            self.next_board = now;
        }
        self.proxy = Some(p);
    }

    fn on_news(&mut self, from: &Name, m: Update, now: Ms, out: &mut Effects) {
        // Daemons disagree on the count only while voters change; the largest asks for most.
        let voters = m.voter_count as usize;
        if voters > 0 {
            self.voters = self.voters.max(voters);
        }
        let s = self.sources.entry(from.clone()).or_default();
        if m.source_incarnation != s.run {
            if m.is_snapshot == 0 {
                return;
            }
            // What was told to its former run is nothing to this one, whichever of them the question reached.
            *s = Source { run: m.source_incarnation, told: (Ms::MAX, 0), sent: s.sent, framed: s.framed, ..Source::default() };
        }
        s.upto = s.upto.max(m.through_position);
        if m.poll_sent_at >= s.told.0 {
            s.knows = Some(s.told.1);
        }
        if m.poll_sent_at >= s.answered {
            (s.answered, s.has) = (m.poll_sent_at, m.counters_through);
            (s.choice, s.counts) = (m.selection, m.selected_services.0);
        }
        // Only a settled voter counts as heard: others may lack what a majority has accepted.
        if m.is_settled != 0 {
            (s.sent, s.framed) = (s.sent.max(m.poll_sent_at), true);
        }
        for c in m.changes.0 {
            if self.board.merge(&c) {
                self.fresh.push(c);
            }
        }
        if !m.leases.is_empty() {
            s.leases = now;
        }
        for p in m.leases.0 {
            let until = m.poll_sent_at + Ms::from(p.ttl_ms);
            let newer = self.leases.get(&p.service).is_none_or(|(o, u)| (o.epoch, *u) <= (p.epoch, until));
            // A lease of a lower epoch is a former holder's: it grants nothing any more.
            if newer {
                self.holders.insert(p.service.clone(), from.clone());
                self.leases.insert(p.service.clone(), (p, until));
            }
        }
        if !self.ready && voters > 0 && self.sources.values().filter(|s| s.framed).count() >= self.majority() {
            self.ready = true;
            out.push(note(events::STARTER_READY, &self.membership.me().name, ""));
        }
        self.judge(now, out);
    }

    fn on_mend(&mut self, addr: &Name, m: Repair, out: &mut Effects) {
        match m.kind {
            PLACES => self.compare(addr, &m, out),
            VALUES => self.take_values(addr, m, out),
            _ => {
                let changes = m.changes.iter().filter_map(|c| self.board.get(&c.key)).cloned().collect();
                out.push(send(addr, Repair { request_sent_at: 0, changes, kind: VALUES, ranges: List::default() }));
            }
        }
    }
    /// Sends what is newer here, asks for what is newer there.
    fn compare(&self, addr: &Name, m: &Repair, out: &mut Effects) {
        let theirs: BTreeMap<&Name, &Change> = m.changes.iter().map(|c| (&c.key, c)).collect();
        let newer = |c: &Change| theirs.get(&c.key).is_none_or(|o| stamp(c) > stamp(o));
        let give: Vec<Change> = self.board.within(&m.ranges).into_iter().filter(newer).collect();
        let lacks = |c: &&Change| self.board.get(&c.key).is_none_or(|o| stamp(o) < stamp(c));
        let want: List<Change> = m.changes.iter().filter(lacks).cloned().collect();
        if !give.is_empty() {
            out.push(send(addr, Repair { request_sent_at: 0, changes: List(give), kind: VALUES, ranges: List::default() }));
        }
        if !want.is_empty() {
            out.push(send(addr, Repair { request_sent_at: 0, changes: want, kind: WANTS, ranges: List::default() }));
        }
    }
    /// Before this life has read a majority's frames a neighbour's copy is still good news: it merges.
    fn take_values(&mut self, addr: &Name, m: Repair, out: &mut Effects) {
        let mut got = 0;
        for c in m.changes.0 {
            if self.board.merge(&c) {
                self.fresh.push(c);
                got += 1;
            }
        }
        if got > 0 {
            out.push(note(events::MENDED, addr, format!("{got} keys")));
        }
    }

    /// Whether most edges have lately compared boards with this one. Rumours would not do: a beat that is
    /// passed on may be seconds old, and news that most edges have must have come here by now.
    fn meets_most_edges(&self, now: Ms) -> bool {
        let all = self.membership.known(EDGE).count() + 1;
        let met =
            self.membership.known(EDGE).filter(|n| self.met.get(&n.name).is_some_and(|t| now.saturating_sub(*t) <= MET)).count()
                + 1;
        met * 2 > all
    }

    /// Works out the rule and until when it holds.
    fn judge(&mut self, now: Ms, out: &mut Effects) -> Ms {
        let mut sent: Vec<Ms> = self.sources.values().map(|s| s.sent).collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        let at = sent.get(self.majority() - 1).copied().unwrap_or(0);
        let until = at + LEASE;
        let hears = self.ready && self.voters > 0 && at > 0 && until > now;
        if hears {
            self.heard = at;
        }
        // An agent that was cut off or asleep may hold old news: from then on only a control majority lets it
        // serve again. The stable rule is for those that went on hearing the others all along.
        let awake = self.rule != RULE_NONE && now.saturating_sub(self.woke) > NODE_GONE;
        let alone = now.saturating_sub(self.heard) > STABLE_BOUND;
        let (rule, until) = if hears {
            (RULE_ALL, until)
        } else if self.serve_on && self.ready {
            // Bounds bind daemons in touch; what always binds is kept by each edge's own part of it.
            (RULE_STABLE, now + RULE_LIFE)
        } else if self.ready && awake && !alone && self.meets_most_edges(now) {
            (RULE_STABLE, now + RULE_LIFE)
        } else {
            (RULE_NONE, 0)
        };
        if rule != self.rule {
            out.push(note(events::RULE, &self.membership.me().name, format!("{} to {rule}", self.rule)));
            self.rule = rule;
            self.next_board = 0;
        }
        until
    }

    /// Feeds the proxy: what changed, or all for a proxy that is new.
    fn push(&mut self, now: Ms, out: &mut Effects) {
        let until = self.judge(now, out);
        let fresh = std::mem::take(&mut self.fresh);
        let nodes = self.membership.live(EDGE).chain([self.membership.me()]).cloned().collect();
        let leases = self
            .leases
            .values()
            .filter(|(_, u)| *u > now)
            .map(|(p, u)| ProxyLease { lease: p.clone(), expires_at: *u })
            .collect();
        let Some(p) = self.proxy.as_mut() else { return };
        let full = !p.full;
        p.full = true;
        let changes = if full { self.board.rows().cloned().collect() } else { List(fresh) };
        self.next_board = now + RULE_LIFE / 5;
        let (life, heard) = (p.life, p.heard);
        out.push(send(
            &p.addr,
            BoardMsg {
                proxy_incarnation: life,
                counters_through: heard,
                serving_rule: self.rule,
                valid_until: until,
                is_snapshot: full.into(),
                changes,
                leases,
                nodes,
            },
        ));
    }

    pub fn tick(&mut self, now: Ms) -> Effects {
        let mut out = Vec::new();
        // A gap between ticks far over their period is a freeze.
        const GAP: Ms = TICK * 20;
        if self.next_poll > 0 && now > self.next_poll + GAP {
            self.woke = now;
        }
        // A proxy that is silent serves nobody: callers are not sent there until it speaks again.
        if self.proxy.as_ref().is_some_and(|p| now.saturating_sub(p.at) >= RULE_LIFE) {
            self.membership.set_http("");
        }
        self.membership.tick(now, &mut out);
        let ended = self.claimer.tick(now);
        self.tell(ended, &mut out);
        if now >= self.next_poll {
            // A large fleet that starts together does not ask more often than one that serves.
            let fleet = self.membership.known(EDGE).count() as Ms + 1;
            self.next_poll = now + if self.ready { POLL_EVERY } else { (fleet * START_POLL).clamp(2 * TICK, POLL_EVERY) };
            self.poll(now, &mut out);
        }
        if now >= self.next_repair {
            self.repair(now, &mut out);
        }
        self.judge(now, &mut out);
        if now >= self.next_board {
            self.push(now, &mut out);
        }
        out
    }

    /// Compares boards with one neighbour, or with every edge while no control majority is heard.
    fn repair(&mut self, now: Ms, out: &mut Effects) {
        let ask = |n: &Node, b: &Board| send(&n.addr, TableDigests { sent_at: now, ranges: List(b.digests()) });
        // One that serves on by old news all the same has no use for a majority of edges.
        if !self.serve_on && now.saturating_sub(self.heard) > MISSED && self.heard > 0 {
            self.next_repair = now + MET / 3;
            out.extend(self.membership.known(EDGE).map(|n| ask(n, &self.board)));
            return;
        }
        self.next_repair = now + REPAIR_EVERY;
        let near: Vec<Node> = self.membership.view().into_iter().filter(|n| n.role == EDGE).collect();
        let i = (now / REPAIR_EVERY) as usize;
        out.extend(near.get(i % near.len().max(1)).map(|n| ask(n, &self.board)));
    }

    fn poll(&mut self, now: Ms, out: &mut Effects) {
        let seen: List<Change> = self.board.rows().cloned().map(bare).collect();
        let digest = self.board.digest();
        let me = self.membership.me();
        let names: BTreeSet<Name> = self.membership.known(CONTROL).map(|n| n.name.clone()).collect();
        self.sources.retain(|n, _| names.contains(n));
        for n in self.membership.known(CONTROL) {
            let s = self.sources.entry(n.name.clone()).or_default();
            // A list of all places goes only to a daemon that has not answered to the same one.
            let news = s.knows != Some(digest);
            // Bytes to other regions are dear, and only a duty's holder acts by counts: the others there are asked half
            // as often, but told at once what is new.
            let near = self.membership.near(n);
            let holds = now.saturating_sub(s.leases) <= LEASE;
            if self.ready && !near && !holds && !news && now < s.asked + 2 * POLL_EVERY {
                continue;
            }
            s.asked = now;
            if news {
                s.told = (now, digest);
            }
            // Of the counts it gets what it does not have. One that does not answer would be told more each time: it is
            // only asked, until it does.
            let since = if s.has < self.forgot { 0 } else { s.has };
            let told = self.proxy.as_ref().filter(|_| now.saturating_sub(s.answered) <= RULE_LIFE);
            let none = || (0, since, Default::default());
            let (life, count, (tallies, opens)) =
                told.map_or_else(none, |p| (p.life, self.change, p.since(since, &s.counts, now)));
            let m = Poll {
                node: me.clone(),
                proxy_incarnation: life,
                sent_at: now,
                source_incarnation: s.run,
                after_position: s.upto,
                counters_since: since,
                counters_through: count,
                selection: s.choice,
                counters: tallies,
                open_streams: opens,
                has_versions: news.into(),
                versions: if news { seen.clone() } else { List::default() },
            };
            out.push(send(&n.addr, m));
        }
    }
}
