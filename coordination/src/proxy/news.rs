//! What the agent beside a proxy says, and what it is told.

use std::{collections::BTreeSet, sync::Arc};

use remote_calls::{ContextRecord, PathSpec, RolloutRecord};
use wire_messages::{
    ContextDemand as DemandMsg, List, Name, OpenStreams, OutcomeCounters, PrefillReport,
    ProxyReport, TableUpdate as BoardMsg,
};

use super::{Placed, Proxy, Ready, TallyKey};
use crate::{
    Ms,
    context::{Chain, homes, number},
    control::{DRAINING_PREFIX, SPEC_KEY, evacuated},
    pass::{Ask, Paths},
    placement::{Needed, Nominee, chain, shared, tokens},
    register::{CONTEXT_PREFIX, ROLLOUT_PREFIX},
    state_table::version_stamp,
    version_health::OutcomeCounts,
};

/// Chains of fewer tokens are read sooner than a message crosses a region: they are not counted.
const CONTEXT_TOKENS: u32 = 1_000;

impl Proxy {
    pub fn on_board(&mut self, m: BoardMsg, now: Ms) {
        (self.rule, self.until, self.nodes) = (m.serving_rule, m.valid_until, m.nodes.0);
        self.heard = if m.proxy_incarnation == self.born {
            m.counters_through.min(self.change)
        } else {
            0
        };
        let heard = self.heard;
        self.changed.retain(|_, n| *n > heard);
        self.moved.retain(|_, n| *n > heard);
        let edges = self.nodes.iter().filter(|n| !n.http_addr.is_empty());
        // An edge goes by its agent's name: a proxy knows its own by where it answers callers.
        let me = edges
            .clone()
            .find(|n| n.http_addr == self.http)
            .map_or(&self.name, |n| &n.name);
        self.placement
            .set_edges(edges.map(|n| n.name.to_string()).collect(), me, now);
        self.whole |= m.is_snapshot != 0;
        let mut new = false;
        for c in &m.changes.0 {
            new |= self.state_table.merge(c);
        }
        for p in m.leases.0 {
            let k = p.lease.service.to_string();
            if self
                .leases
                .get(&k)
                .is_none_or(|o| (o.lease.epoch, o.expires_at) <= (p.lease.epoch, p.expires_at))
            {
                self.leases.insert(k, p);
            }
        }
        if new {
            self.read_board(now);
        }
    }

    fn read_board(&mut self, now: Ms) {
        let spec = self
            .state_table
            .get(SPEC_KEY)
            .filter(|c| !c.value.0.is_empty());
        // Documents grow long and records change often: each is read once per change of its own.
        if let Some(c) = spec.filter(|c| version_stamp(c) != self.read) {
            let mut s = (self.reader)(&c.value.0);
            self.read = version_stamp(c);
            // Tenants bring paths by the ten thousand: the index alone has them.
            self.placement.needed = Needed::new(s.as_ref().map_or(&[], |s| &s.paths));
            self.paths = Paths::new(s.as_mut().map_or(vec![], |s| std::mem::take(&mut s.paths)));
            for v in s.iter().flat_map(|s| &s.services) {
                v.engine
                    .iter()
                    .for_each(|e| self.placement.set_engine(&v.name, e));
            }
            self.spec = s.map(Arc::new);
        }
        self.leaving = self
            .state_table
            .with_prefix(DRAINING_PREFIX)
            .map(|(r, _)| r.to_string())
            .collect();
        let changed: Vec<(String, (u64, u64))> = self
            .state_table
            .with_prefix(ROLLOUT_PREFIX)
            .map(|(s, c)| (s.to_string(), version_stamp(c)))
            .filter(|(s, at)| self.records.get(s).is_none_or(|r| (r.0, r.1) != *at))
            .collect();
        for (s, at) in changed {
            let Some(r) = self
                .state_table
                .read::<RolloutRecord>(&format!("{ROLLOUT_PREFIX}{s}"))
            else {
                continue;
            };
            let old = self.records.get(&s).map_or(BTreeSet::new(), |o| {
                o.2.replicas.iter().map(|p| p.id.clone()).collect()
            });
            self.placement.set_service(&s, &r.replicas, &old, now);
            self.records.insert(s, (at.0, at.1, r));
        }
        self.read_contexts();
        let zones = self.spec.as_ref().map_or(&[][..], |s| &s.zones);
        self.evacuated = zones
            .iter()
            .filter(|z| evacuated(&self.state_table, &z.name))
            .map(|z| z.name.clone())
            .collect();
    }

    /// Takes copies of shared context as their records have them.
    fn read_contexts(&mut self) {
        let all = self
            .state_table
            .with_prefix(CONTEXT_PREFIX)
            .map(|(s, c)| (s.to_string(), version_stamp(c)));
        let changed: Vec<(String, (u64, u64))> = all
            .filter(|(s, at)| self.contexts.get(s) != Some(at))
            .collect();
        for (s, at) in changed {
            // Nothing stands under the key where copies are switched off.
            let r = self
                .state_table
                .read::<ContextRecord>(&format!("{CONTEXT_PREFIX}{s}"));
            self.placement.set_context(&s, r.as_ref());
            if r.is_none() {
                self.demand.remove(&s);
            }
            self.contexts.insert(s, at);
        }
    }

    pub(super) fn told<'a>(
        &self,
        keys: impl Iterator<Item = &'a TallyKey>,
        now: Ms,
    ) -> List<OutcomeCounters> {
        let mut told = BTreeSet::new();
        let tallies =
            keys.filter_map(|k| Some((k, self.tallies.get(k)?)))
                .map(|((s, v, l, warm, g), n)| {
                    // Recent counts are kept over all groups, so they go with the first of a cell's groups only.
                    let first = told.insert((s, v, l, *warm));
                    let h = self.health.get(s).filter(|_| first);
                    let new = h.map_or_else(OutcomeCounts::default, |h| h.recent(v, l, *warm, now));
                    OutcomeCounters {
                        service: s.as_str().into(),
                        version: v.as_str().into(),
                        lane: l.as_str().into(),
                        cached: (*warm).into(),
                        group: *g,
                        sent: n[0],
                        succeeded: n[1],
                        failed: n[2],
                        slow: n[3],
                        recent_ended: new.ended,
                        recent_failed: new.failed,
                        recent_slow: new.slow,
                        first_chunks: n[4],
                        first_chunk_log_sum: n[5],
                        failed_replicas: n[6],
                    }
                });
        tallies.collect()
    }

    /// Everything counted and open.
    pub fn hello(&self, now: Ms) -> ProxyReport {
        let opens = self
            .open
            .iter()
            .filter(|(_, n)| **n > 0)
            .map(|((r, v), n)| OpenStreams {
                replica: r.as_str().into(),
                version: v.as_str().into(),
                streams: *n,
            });
        ProxyReport {
            incarnation: self.born,
            http_addr: self.http.clone(),
            after_change: 0,
            through_change: self.change,
            counters: self.told(self.tallies.keys(), now),
            open_streams: opens.collect::<List<OpenStreams>>(),
        }
    }

    /// What the agent does not have yet: lanes are many, and most rest.
    pub fn news(&self, now: Ms) -> ProxyReport {
        if self.heard == 0 {
            return self.hello(now);
        }
        let opens = self.moved.keys().map(|k| OpenStreams {
            replica: k.0.as_str().into(),
            version: k.1.as_str().into(),
            streams: self.open.get(k).copied().unwrap_or(0),
        });
        ProxyReport {
            incarnation: self.born,
            http_addr: self.http.clone(),
            after_change: self.heard,
            through_change: self.change,
            counters: self.told(self.changed.keys(), now),
            open_streams: opens.collect(),
        }
    }

    /// Long prompts that went out since this was last asked, by the region where they are read, and replicas that failed
    /// here, for other proxies. Who shares this region's ways is told of the failures.
    pub fn readings(&mut self, now: Ms) -> impl Iterator<Item = PrefillReport> {
        let (mut all, failing) = (self.placement.readings(now), self.placement.failing(now));
        let home: Name = self.placement.travel.home().into();
        if !failing.is_empty() {
            all.entry(home.clone()).or_default();
        }
        let (by, zone) = (self.name.clone(), self.zone.clone());
        all.into_iter().map(move |(region, all)| {
            let failing = List(if region == home {
                failing.clone()
            } else {
                vec![]
            });
            PrefillReport {
                proxy: by.clone(),
                zone: zone.clone(),
                region,
                prefills: List(all),
                failing_replicas: failing,
            }
        })
    }

    /// What shared context is often asked for here, for the holders of the services' duties.
    pub fn demands(&mut self, now: Ms) -> Vec<DemandMsg> {
        let edges = self.placement.edges();
        let due = self.demand.iter_mut().filter(|(_, d)| d.due(edges, now));
        due.map(|(s, d)| DemandMsg {
            service: s.as_str().into(),
            chains: List(d.tell(now)),
        })
        .collect()
    }

    /// Counts an ask for shared context, where copies of it may be kept.
    pub(super) fn ask_context(
        &mut self,
        lane: &PathSpec,
        service: &str,
        n: &Nominee,
        ask: &Ask,
        now: Ms,
    ) -> Option<Ready> {
        let (Some(key), parts) = (chain(&ask.parts), shared(&ask.parts)) else {
            return None;
        };
        if tokens(parts) < CONTEXT_TOKENS || !self.placement.has_context(service) {
            return None;
        }
        let c = Chain {
            version: number(&n.version),
            homes: homes(&lane.homes),
            chain: key,
            tokens: tokens(parts),
        };
        self.demand.entry(service.into()).or_default().ask(c, now);
        n.warm.then(|| Ready {
            chain: c,
            parts: parts.iter().map(|p| p.0).collect(),
        })
    }

    /// A first piece came so late that what was taken for ready was read again.
    pub(super) fn miss_context(&mut self, p: &Placed, r: Ready, now: Ms) {
        self.count("context_missed");
        self.placement.missed(&p.replica, &r.parts);
        self.demand
            .entry(p.service.clone())
            .or_default()
            .miss(r.chain, now);
    }

    /// What another proxy sent, and what failed it.
    pub fn on_readings(&mut self, m: PrefillReport, now: Ms) {
        m.prefills
            .iter()
            .for_each(|r| self.placement.on_reading(r, now));
        m.failing_replicas
            .iter()
            .for_each(|n| self.placement.on_failing(*n, &m.proxy, &m.zone, now));
    }
}
