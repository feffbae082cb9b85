//! An edge agent's brain: membership, the feeds of the control daemons merged into one board, mending
//! with neighbours, leases, the rule its proxy serves under, and claims.

use std::collections::{BTreeMap, BTreeSet};

use wire_messages::{
    Change, ClaimRequest, ClaimResult, ContextDemand, Lease, List, Message, Name, Node,
    OpenStreams, OutcomeCounters, Poll, PrefillReport, ProxyLease, ProxyReport, Repair,
    TableDigests, TableUpdate as BoardMsg, Update,
};

use crate::{
    Effects, Ms,
    claims::{self, ClaimGrants, Claimer},
    effect::{log_event, send},
    events,
    membership::{CONTROL_ROLE, EDGE_ROLE, Membership},
    regions::{Regions, region_of},
    state_table::{StateTable, version_stamp},
    timing::{LEASE_DURATION, NODE_TIMEOUT, TICK_INTERVAL},
    version_health::HEALTH_WINDOWS,
};

/// ms. Agents ask each control daemon for news this often; news is also pushed.
pub const POLL_INTERVAL: Ms = 400;
/// ms. An agent remembers streams that have ended for so long: control daemons are back sooner, after most cuts.
const ENDED_STREAM_RETENTION: Ms = 60_000;
/// ms for each edge that is known. An agent that has just started asks again so soon, while it may serve nobody.
const STARTUP_POLL_INTERVAL_PER_EDGE: Ms = 20;
/// ms. Range digests between neighbouring agents.
const REPAIR_INTERVAL: Ms = 500;
/// ms. A comparison of boards counts as lately made; three are tried within it.
const COMPARISON_MAX_AGE: Ms = 900;
/// ms. Without a control majority for so long an agent compares boards with every edge, well before its rule lapses.
pub const MAJORITY_MISSED_AFTER: Ms = 1_200;
/// ms. How long an edge that hears no control majority goes on with stable versions while it hears most edges.
const STABLE_ONLY_MAX: Ms = 60_000;
/// ms. A rule handed to a proxy holds this long; an agent that died is noticed by then.
pub const RULE_DURATION: Ms = 1_500;
/// ms. An agent knows all edges after so long; before that its majority of them could be another's minority.
const EDGE_DISCOVERY_TIME: Ms = 3_000;

/// What a proxy may do: reject everything, stable versions only, or all that leases allow.
pub const REJECT_ALL: u8 = 0;
pub const STABLE_ONLY: u8 = 1;
pub const SERVE_ALL: u8 = 2;

/// What a mending message brings, as on the wire.
const REPAIR_METADATA: u8 = 0;
const REPAIR_VALUES: u8 = 1;
const REPAIR_REQUESTS: u8 = 2;

/// A key's place without its value.
fn without_value(c: Change) -> Change {
    Change {
        value: Default::default(),
        ..c
    }
}

/// One control daemon as this agent follows it.
#[derive(Clone, Debug, Default)]
struct ControlSource {
    incarnation: u64,
    position: u64,
    /// Newest question of ours that it answered.
    settled_poll_sent_at: Ms,
    /// It sent a settled frame in this agent's life.
    sent_settled_update: bool,
    /// Digest of the places that it was last told, when, and of those that it answered to.
    versions_sent: (Ms, u64),
    /// When it was last asked, and when it last answered with a lease: it holds a duty.
    polled_at: Ms,
    lease_received_at: Ms,
    acknowledged_digest: Option<u64>,
    /// Up to which count it has this agent's counts, by its own word; and to what it last answered.
    counters_through: u64,
    answered_poll_sent_at: Ms,
    /// The services whose tallies it keeps, by its newest word, and the number of that choice.
    selection: u32,
    selected_services: Vec<Name>,
}

/// Service, version, lane, warm, group.
type CountersKey = (Name, Name, Name, u8, u8);

#[derive(Clone, Debug, Default)]
struct LocalProxy {
    addr: Name,
    incarnation: u64,
    heard_at: Ms,
    /// Up to which of its changes this agent has its counts, and those, each with its place among the agent's own
    /// changes and when it came.
    counters_through: u64,
    counters: BTreeMap<CountersKey, (OutcomeCounters, u64, Ms)>,
    open_streams: BTreeMap<(Name, Name), (OpenStreams, u64, Ms)>,
    /// Whether it has had a full board.
    has_snapshot: bool,
}

impl LocalProxy {
    /// Takes its counts, whole or what changed. A gap is not taken: the proxy tells all again when it hears that
    /// nothing was.
    fn take_report(&mut self, m: ProxyReport, change: u64, now: Ms) {
        // One that comes late is told again in what came since.
        if m.through_change < self.counters_through {
            return;
        }
        if m.after_change > self.counters_through {
            return self.counters_through = 0;
        }
        if m.after_change == 0 {
            // What is not told any more has ended.
            self.open_streams
                .values_mut()
                .filter(|o| o.0.streams > 0)
                .for_each(|o| (o.0.streams, o.1, o.2) = (0, change, now));
        }
        self.counters_through = m.through_change;
        for t in m.counters.0 {
            let k = (
                t.service.clone(),
                t.version.clone(),
                t.lane.clone(),
                t.cached,
                t.group,
            );
            self.counters.insert(k, (t, change, now));
        }
        for o in m.open_streams.0 {
            self.open_streams
                .insert((o.replica.clone(), o.version.clone()), (o, change, now));
        }
    }
    /// Counts after an own change, of some services; all of them after none, without those that have ended.
    fn counters_since(
        &self,
        change: u64,
        of: &[Name],
        now: Ms,
    ) -> (List<OutcomeCounters>, List<OpenStreams>) {
        let old = |at: Ms| now.saturating_sub(at) > HEALTH_WINDOWS[HEALTH_WINDOWS.len() - 1];
        let tallies = self
            .counters
            .values()
            .filter(|t| t.1 > change && of.contains(&t.0.service))
            .map(|(t, _, at)| match old(*at) {
                // What was recent when it came is so no more.
                true => OutcomeCounters {
                    recent_ended: 0,
                    recent_failed: 0,
                    recent_slow: 0,
                    ..t.clone()
                },
                false => t.clone(),
            });
        let opens = self
            .open_streams
            .values()
            .filter(|o| o.1 > change && (change > 0 || o.0.streams > 0))
            .map(|o| o.0.clone());
        (tallies.collect(), opens.collect())
    }
}

#[derive(Clone, Debug)]
pub struct EdgeAgent {
    pub membership: Membership,
    state_table: StateTable,
    sources: BTreeMap<Name, ControlSource>,
    voter_count: usize,
    leases: BTreeMap<Name, (Lease, Ms)>,
    /// By service: the daemon that last lent a lease under its duty.
    lease_holders: BTreeMap<Name, Name>,
    proxy: Option<LocalProxy>,
    /// Counts the hellos; and the last count that brought an end which is forgotten here.
    last_report: u64,
    forgotten_through: u64,
    claim_grants: ClaimGrants,
    started_at: Ms,
    claimer: Claimer,
    is_ready: bool,
    serving_rule: u8,
    /// When a control majority was last heard.
    majority_heard_at: Ms,
    next_poll: Ms,
    next_repair: Ms,
    next_proxy_update: Ms,
    unsent_changes: Vec<Change>,
    resumed_at: Ms,
    /// When each edge was last asked for a comparison of boards that it answered.
    compared_at: BTreeMap<Name, Ms>,
    /// Cut off from the control plane it serves stable versions on by what it knew last.
    serve_when_partitioned: bool,
    regions: Regions,
}

impl EdgeAgent {
    pub fn new(me: Node, seeds: Vec<Name>, seed: u64, now: Ms) -> Self {
        EdgeAgent {
            membership: Membership::new(
                Node {
                    role: EDGE_ROLE,
                    ..me
                },
                seeds,
                seed,
            ),
            state_table: StateTable::default(),
            sources: BTreeMap::new(),
            voter_count: 0,
            leases: BTreeMap::new(),
            lease_holders: BTreeMap::new(),
            proxy: None,
            last_report: 0,
            forgotten_through: 0,
            claim_grants: ClaimGrants::new(now),
            started_at: now,
            claimer: Claimer::default(),
            is_ready: false,
            serving_rule: REJECT_ALL,
            majority_heard_at: 0,
            next_poll: 0,
            next_repair: 0,
            next_proxy_update: 0,
            unsent_changes: Vec::new(),
            resumed_at: 0,
            compared_at: BTreeMap::new(),
            serve_when_partitioned: false,
            regions: Regions::new(),
        }
    }
    /// Whether the proxy beside this agent still speaks but sends callers elsewhere: the whole machine stops.
    pub fn proxy_is_draining(&self, now: Ms) -> bool {
        self.membership.me().http_addr.is_empty()
            && self
                .proxy
                .as_ref()
                .is_some_and(|p| now.saturating_sub(p.heard_at) < RULE_DURATION)
    }
    /// Operators who would rather serve by old news than reject, where bounds hold only for daemons in touch.
    pub fn set_serve_when_partitioned(&mut self, on: bool) {
        self.serve_when_partitioned = on;
    }
    pub fn set_regions(&mut self, regions: Regions) {
        self.membership.set_regions(regions.clone());
        self.regions = regions;
    }
    pub fn state_table(&self) -> &StateTable {
        &self.state_table
    }
    pub fn serving_rule(&self) -> u8 {
        self.serving_rule
    }

    fn majority(&self) -> usize {
        self.voter_count / 2 + 1
    }

    pub fn on_message(&mut self, from: &Name, addr: &Name, msg: Message, now: Ms) -> Effects {
        let mut out = Vec::new();
        match msg {
            Message::Shuffle(m) => {
                self.membership.on_shuffle(addr, m, now, &mut out);
                // One that has just started asks each control daemon as soon as it knows of it.
                if !self.is_ready
                    && self
                        .membership
                        .known(CONTROL_ROLE)
                        .any(|n| !self.sources.contains_key(&n.name))
                {
                    self.next_poll = now;
                }
            }
            Message::Update(m) => self.on_update(from, m, now, &mut out),
            Message::TableDigests(m) => {
                let ranges = self.state_table.differing_ranges(&m.ranges);
                // Places only: values are long, and most often it is the other that lags.
                let changes = self
                    .state_table
                    .entries_in(&ranges)
                    .into_iter()
                    .map(without_value)
                    .collect();
                out.push(send(
                    addr,
                    Repair {
                        request_sent_at: m.sent_at,
                        changes,
                        kind: REPAIR_METADATA,
                        ranges: List(ranges),
                    },
                ));
            }
            Message::Repair(m) => {
                let at = self.compared_at.entry(from.clone()).or_insert(0);
                *at = (*at).max(m.request_sent_at);
                self.on_repair(addr, m, &mut out);
            }
            Message::Claim(m) => {
                self.claim_grants
                    .on_claim(self.membership.me(), addr, m, now, &mut out)
            }
            Message::ClaimReply(m) => {
                let ended = self.claimer.on_reply(from, m);
                self.send_claim_results(ended, &mut out);
            }
            Message::ProxyReport(m) => self.on_proxy_report(addr, m, now),
            Message::ClaimRequest(m) => self.on_claim_request(addr, m, now, &mut out),
            Message::PrefillReport(m) => self.on_prefill_report(addr, m, &mut out),
            Message::ContextDemand(m) => self.on_context_demand(addr, m, &mut out),
            _ => {}
        }
        // News goes to the proxy as it comes, not at the next tick.
        if !self.unsent_changes.is_empty() {
            self.update_proxy(now, &mut out);
        }
        out
    }

    fn send_claim_results(
        &self,
        ended: impl IntoIterator<Item = crate::claims::ClaimEnded>,
        out: &mut Effects,
    ) {
        out.extend(
            ended
                .into_iter()
                .map(|(to, token, state)| send(&to, ClaimResult { token, state })),
        );
    }

    fn on_claim_request(&mut self, proxy: &Name, m: ClaimRequest, now: Ms, out: &mut Effects) {
        // A young agent may know few edges, and a majority of few is no majority.
        if m.request.starts_with(claims::CALLER_KEY_PREFIX)
            && now.saturating_sub(self.started_at) < EDGE_DISCOVERY_TIME
        {
            out.push(send(
                proxy,
                ClaimResult {
                    token: m.token,
                    state: claims::ABSTAINED,
                },
            ));
            return;
        }
        let edges: Vec<Node> = self
            .membership
            .known(EDGE_ROLE)
            .chain([self.membership.me()])
            .cloned()
            .collect();
        self.claimer.request(proxy, &m, &edges, now, out);
    }

    /// What its proxy lately sent goes to the edges of its region, and of that where it was sent: those share replicas
    /// with it. What others sent goes to its proxy.
    fn on_prefill_report(&self, from: &Name, m: PrefillReport, out: &mut Effects) {
        let Some(p) = &self.proxy else { return };
        if p.addr != *from {
            return out.push(send(&p.addr, m));
        }
        let me = self.membership.me();
        let near = |n: &&Node| {
            self.membership.is_same_region(n) || region_of(&self.regions, &n.zone) == &*m.region
        };
        out.extend(
            self.membership
                .live(EDGE_ROLE)
                .filter(|n| n.name != me.name)
                .filter(near)
                .map(|n| send(&n.addr, m.clone())),
        );
    }

    /// What its proxy's callers often ask for goes to the holder of the service's duty and nobody else.
    fn on_context_demand(&self, from: &Name, m: ContextDemand, out: &mut Effects) {
        let own = self.proxy.as_ref().is_some_and(|p| p.addr == *from);
        let holder = self.lease_holders.get(&m.service).filter(|_| own);
        out.extend(
            self.membership
                .known(CONTROL_ROLE)
                .filter(|n| Some(&n.name) == holder)
                .map(|n| send(&n.addr, m.clone())),
        );
    }

    fn on_proxy_report(&mut self, addr: &Name, m: ProxyReport, now: Ms) {
        self.membership.set_http_addr(&m.http_addr);
        // Another life of the proxy has nothing, however soon it came back.
        let same = |p: &LocalProxy| {
            p.addr == *addr
                && p.incarnation == m.incarnation
                && now.saturating_sub(p.heard_at) < RULE_DURATION
        };
        let mut p = match self.proxy.take() {
            Some(p) if p.addr == *addr && p.incarnation == m.incarnation => LocalProxy {
                has_snapshot: p.has_snapshot && same(&p),
                ..p
            },
            // Its former life's streams have ended, which whoever knew of them is told.
            old => LocalProxy {
                addr: addr.clone(),
                incarnation: m.incarnation,
                open_streams: old.map_or_else(BTreeMap::new, |p| p.open_streams),
                ..LocalProxy::default()
            },
        };
        p.heard_at = now;
        self.last_report += 1;
        p.take_report(m, self.last_report, now);
        // Whoever did not hear in time that these streams have ended is told everything again.
        let forgot = &mut self.forgotten_through;
        p.open_streams.retain(|_, o| {
            let keep = o.0.streams > 0 || now.saturating_sub(o.2) < ENDED_STREAM_RETENTION;
            *forgot = (*forgot).max(if keep { 0 } else { o.1 });
            keep
        });
        // A proxy that has nothing yet is not let wait for the next turn.
        if !p.has_snapshot {
            self.next_proxy_update = now;
        }
        self.proxy = Some(p);
    }

    fn on_update(&mut self, from: &Name, m: Update, now: Ms, out: &mut Effects) {
        // Daemons disagree on the count only while voters change; the largest asks for most.
        let voters = m.voter_count as usize;
        if voters > 0 {
            self.voter_count = self.voter_count.max(voters);
        }
        let s = self.sources.entry(from.clone()).or_default();
        if m.source_incarnation != s.incarnation {
            if m.is_snapshot == 0 {
                return;
            }
            // What was told to its former run is nothing to this one, whichever of them the question reached.
            *s = ControlSource {
                incarnation: m.source_incarnation,
                versions_sent: (Ms::MAX, 0),
                settled_poll_sent_at: s.settled_poll_sent_at,
                sent_settled_update: s.sent_settled_update,
                ..ControlSource::default()
            };
        }
        s.position = s.position.max(m.through_position);
        if m.poll_sent_at >= s.versions_sent.0 {
            s.acknowledged_digest = Some(s.versions_sent.1);
        }
        if m.poll_sent_at >= s.answered_poll_sent_at {
            (s.answered_poll_sent_at, s.counters_through) = (m.poll_sent_at, m.counters_through);
            (s.selection, s.selected_services) = (m.selection, m.selected_services.0);
        }
        // Only a settled voter counts as heard: others may lack what a majority has accepted.
        if m.is_settled != 0 {
            (s.settled_poll_sent_at, s.sent_settled_update) =
                (s.settled_poll_sent_at.max(m.poll_sent_at), true);
        }
        for c in m.changes.0 {
            if self.state_table.merge(&c) {
                self.unsent_changes.push(c);
            }
        }
        if !m.leases.is_empty() {
            s.lease_received_at = now;
        }
        for p in m.leases.0 {
            let until = m.poll_sent_at + Ms::from(p.ttl_ms);
            let newer = self
                .leases
                .get(&p.service)
                .is_none_or(|(o, u)| (o.epoch, *u) <= (p.epoch, until));
            // A lease of a lower epoch is a former holder's: it grants nothing any more.
            if newer {
                self.lease_holders.insert(p.service.clone(), from.clone());
                self.leases.insert(p.service.clone(), (p, until));
            }
        }
        if !self.is_ready
            && voters > 0
            && self
                .sources
                .values()
                .filter(|s| s.sent_settled_update)
                .count()
                >= self.majority()
        {
            self.is_ready = true;
            out.push(log_event(
                events::EDGE_READY,
                &self.membership.me().name,
                "",
            ));
        }
        self.update_serving_rule(now, out);
    }

    fn on_repair(&mut self, addr: &Name, m: Repair, out: &mut Effects) {
        match m.kind {
            REPAIR_METADATA => self.repair_from_metadata(addr, &m, out),
            REPAIR_VALUES => self.merge_repaired(addr, m, out),
            _ => {
                let changes = m
                    .changes
                    .iter()
                    .filter_map(|c| self.state_table.get(&c.key))
                    .cloned()
                    .collect();
                out.push(send(
                    addr,
                    Repair {
                        request_sent_at: 0,
                        changes,
                        kind: REPAIR_VALUES,
                        ranges: List::default(),
                    },
                ));
            }
        }
    }
    /// Sends what is newer here, asks for what is newer there.
    fn repair_from_metadata(&self, addr: &Name, m: &Repair, out: &mut Effects) {
        let theirs: BTreeMap<&Name, &Change> = m.changes.iter().map(|c| (&c.key, c)).collect();
        let newer = |c: &Change| {
            theirs
                .get(&c.key)
                .is_none_or(|o| version_stamp(c) > version_stamp(o))
        };
        let give: Vec<Change> = self
            .state_table
            .entries_in(&m.ranges)
            .into_iter()
            .filter(newer)
            .collect();
        let lacks = |c: &&Change| {
            self.state_table
                .get(&c.key)
                .is_none_or(|o| version_stamp(o) < version_stamp(c))
        };
        let want: List<Change> = m.changes.iter().filter(lacks).cloned().collect();
        if !give.is_empty() {
            out.push(send(
                addr,
                Repair {
                    request_sent_at: 0,
                    changes: List(give),
                    kind: REPAIR_VALUES,
                    ranges: List::default(),
                },
            ));
        }
        if !want.is_empty() {
            out.push(send(
                addr,
                Repair {
                    request_sent_at: 0,
                    changes: want,
                    kind: REPAIR_REQUESTS,
                    ranges: List::default(),
                },
            ));
        }
    }
    /// Before this life has read a majority's frames a neighbour's copy is still good news: it merges.
    fn merge_repaired(&mut self, addr: &Name, m: Repair, out: &mut Effects) {
        let mut got = 0;
        for c in m.changes.0 {
            if self.state_table.merge(&c) {
                self.unsent_changes.push(c);
                got += 1;
            }
        }
        if got > 0 {
            out.push(log_event(
                events::STATE_REPAIRED,
                addr,
                format!("{got} keys"),
            ));
        }
    }

    /// Whether most edges have lately compared boards with this one. Rumours would not do: a beat that is
    /// passed on may be seconds old, and news that most edges have must have come here by now.
    fn compared_with_most_edges(&self, now: Ms) -> bool {
        let all = self.membership.known(EDGE_ROLE).count() + 1;
        let met = self
            .membership
            .known(EDGE_ROLE)
            .filter(|n| {
                self.compared_at
                    .get(&n.name)
                    .is_some_and(|t| now.saturating_sub(*t) <= COMPARISON_MAX_AGE)
            })
            .count()
            + 1;
        met * 2 > all
    }

    /// Works out the rule and until when it holds.
    fn update_serving_rule(&mut self, now: Ms, out: &mut Effects) -> Ms {
        let mut sent: Vec<Ms> = self
            .sources
            .values()
            .map(|s| s.settled_poll_sent_at)
            .collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        let at = sent.get(self.majority() - 1).copied().unwrap_or(0);
        let until = at + LEASE_DURATION;
        let hears = self.is_ready && self.voter_count > 0 && at > 0 && until > now;
        if hears {
            self.majority_heard_at = at;
        }
        // An agent that was cut off or asleep may hold old news: from then on only a control majority lets it
        // serve again. The stable rule is for those that went on hearing the others all along.
        let awake =
            self.serving_rule != REJECT_ALL && now.saturating_sub(self.resumed_at) > NODE_TIMEOUT;
        let alone = now.saturating_sub(self.majority_heard_at) > STABLE_ONLY_MAX;
        let (rule, until) = if hears {
            (SERVE_ALL, until)
        } else if self.serve_when_partitioned && self.is_ready {
            // Bounds bind daemons in touch; what always binds is kept by each edge's own part of it.
            (STABLE_ONLY, now + RULE_DURATION)
        } else if self.is_ready && awake && !alone && self.compared_with_most_edges(now) {
            (STABLE_ONLY, now + RULE_DURATION)
        } else {
            (REJECT_ALL, 0)
        };
        if rule != self.serving_rule {
            out.push(log_event(
                events::SERVING_RULE_CHANGED,
                &self.membership.me().name,
                format!("{} to {rule}", self.serving_rule),
            ));
            self.serving_rule = rule;
            self.next_proxy_update = 0;
        }
        until
    }

    /// Feeds the proxy: what changed, or all for a proxy that is new.
    fn update_proxy(&mut self, now: Ms, out: &mut Effects) {
        let until = self.update_serving_rule(now, out);
        let fresh = std::mem::take(&mut self.unsent_changes);
        let nodes = self
            .membership
            .live(EDGE_ROLE)
            .chain([self.membership.me()])
            .cloned()
            .collect();
        let leases = self
            .leases
            .values()
            .filter(|(_, u)| *u > now)
            .map(|(p, u)| ProxyLease {
                lease: p.clone(),
                expires_at: *u,
            })
            .collect();
        let Some(p) = self.proxy.as_mut() else { return };
        let full = !p.has_snapshot;
        p.has_snapshot = true;
        let changes = if full {
            self.state_table.entries().cloned().collect()
        } else {
            List(fresh)
        };
        self.next_proxy_update = now + RULE_DURATION / 5;
        let (life, heard) = (p.incarnation, p.counters_through);
        out.push(send(
            &p.addr,
            BoardMsg {
                proxy_incarnation: life,
                counters_through: heard,
                serving_rule: self.serving_rule,
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
        const GAP: Ms = TICK_INTERVAL * 20;
        if self.next_poll > 0 && now > self.next_poll + GAP {
            self.resumed_at = now;
        }
        // A proxy that is silent serves nobody: callers are not sent there until it speaks again.
        if self
            .proxy
            .as_ref()
            .is_some_and(|p| now.saturating_sub(p.heard_at) >= RULE_DURATION)
        {
            self.membership.set_http_addr("");
        }
        self.membership.tick(now, &mut out);
        let ended = self.claimer.tick(now);
        self.send_claim_results(ended, &mut out);
        if now >= self.next_poll {
            // A large fleet that starts together does not ask more often than one that serves.
            let fleet = self.membership.known(EDGE_ROLE).count() as Ms + 1;
            self.next_poll = now
                + if self.is_ready {
                    POLL_INTERVAL
                } else {
                    (fleet * STARTUP_POLL_INTERVAL_PER_EDGE).clamp(2 * TICK_INTERVAL, POLL_INTERVAL)
                };
            self.poll_control(now, &mut out);
        }
        if now >= self.next_repair {
            self.repair(now, &mut out);
        }
        self.update_serving_rule(now, &mut out);
        if now >= self.next_proxy_update {
            self.update_proxy(now, &mut out);
        }
        out
    }

    /// Compares boards with one neighbour, or with every edge while no control majority is heard.
    fn repair(&mut self, now: Ms, out: &mut Effects) {
        let ask = |n: &Node, b: &StateTable| {
            send(
                &n.addr,
                TableDigests {
                    sent_at: now,
                    ranges: List(b.range_digests()),
                },
            )
        };
        // One that serves on by old news all the same has no use for a majority of edges.
        if !self.serve_when_partitioned
            && now.saturating_sub(self.majority_heard_at) > MAJORITY_MISSED_AFTER
            && self.majority_heard_at > 0
        {
            self.next_repair = now + COMPARISON_MAX_AGE / 3;
            out.extend(
                self.membership
                    .known(EDGE_ROLE)
                    .map(|n| ask(n, &self.state_table)),
            );
            return;
        }
        self.next_repair = now + REPAIR_INTERVAL;
        let near: Vec<Node> = self
            .membership
            .view()
            .into_iter()
            .filter(|n| n.role == EDGE_ROLE)
            .collect();
        let i = (now / REPAIR_INTERVAL) as usize;
        out.extend(
            near.get(i % near.len().max(1))
                .map(|n| ask(n, &self.state_table)),
        );
    }

    fn poll_control(&mut self, now: Ms, out: &mut Effects) {
        let seen: List<Change> = self
            .state_table
            .entries()
            .cloned()
            .map(without_value)
            .collect();
        let digest = self.state_table.digest();
        let me = self.membership.me();
        let names: BTreeSet<Name> = self
            .membership
            .known(CONTROL_ROLE)
            .map(|n| n.name.clone())
            .collect();
        self.sources.retain(|n, _| names.contains(n));
        for n in self.membership.known(CONTROL_ROLE) {
            let s = self.sources.entry(n.name.clone()).or_default();
            // A list of all places goes only to a daemon that has not answered to the same one.
            let news = s.acknowledged_digest != Some(digest);
            // Bytes to other regions are dear, and only a duty's holder acts by counts: the others there are asked half
            // as often, but told at once what is new.
            let near = self.membership.is_same_region(n);
            let holds = now.saturating_sub(s.lease_received_at) <= LEASE_DURATION;
            if self.is_ready && !near && !holds && !news && now < s.polled_at + 2 * POLL_INTERVAL {
                continue;
            }
            s.polled_at = now;
            if news {
                s.versions_sent = (now, digest);
            }
            // Of the counts it gets what it does not have. One that does not answer would be told more each time: it is
            // only asked, until it does.
            let since = if s.counters_through < self.forgotten_through {
                0
            } else {
                s.counters_through
            };
            let told = self
                .proxy
                .as_ref()
                .filter(|_| now.saturating_sub(s.answered_poll_sent_at) <= RULE_DURATION);
            let none = || (0, since, Default::default());
            let (life, count, (tallies, opens)) = told.map_or_else(none, |p| {
                (
                    p.incarnation,
                    self.last_report,
                    p.counters_since(since, &s.selected_services, now),
                )
            });
            let m = Poll {
                node: me.clone(),
                proxy_incarnation: life,
                sent_at: now,
                source_incarnation: s.incarnation,
                after_position: s.position,
                counters_since: since,
                counters_through: count,
                selection: s.selection,
                counters: tallies,
                open_streams: opens,
                has_versions: news.into(),
                versions: if news { seen.clone() } else { List::default() },
            };
            out.push(send(&n.addr, m));
        }
    }
}
