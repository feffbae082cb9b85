//! Usage by tenant and window, as reported by the edges.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::RangeInclusive,
};

use wire_messages::{Name, ProxyUsage, TenantUsage};

use super::Control;
use crate::{Ms, membership::NodeRole, usage::kept_windows};

/// Maximum time for which a proxy's report and the poll that carries it are assumed to be in flight, in ms, without the
/// time for which the report waits for the poll.
pub const USAGE_LATENCY: Ms = 250;

/// One incarnation of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct UsageSource {
    agent: Name,
    proxy_incarnation: u64,
}

/// The count that a source reported for one tenant and window.
#[derive(Clone, Copy, Debug)]
struct SourceCount {
    source_number: u32,
    count: u64,
}

/// Counts of one window by tenant. A tenant has few sources per window, so a linear search is enough.
type WindowCounts = BTreeMap<Name, Vec<SourceCount>>;

/// Requests that began to run, by window, tenant and source. The largest count of each source is kept, so resent counts
/// are not added twice. A restarted proxy is a new source, whose counts are added to those of the earlier one.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    windows: BTreeMap<u64, WindowCounts>,
    /// The names of a source are stored only once, as each source has many counts.
    source_numbers: BTreeMap<UsageSource, u32>,
    last_source_number: u32,
}

impl UsageTable {
    /// Records cumulative counts of one incarnation of the proxy colocated with an agent.
    pub fn record(&mut self, agent: &Name, proxy_incarnation: u64, usage: Vec<TenantUsage>) {
        if usage.is_empty() {
            return;
        }
        let source_number = self.source_number(agent, proxy_incarnation);
        for reported in usage {
            let counts = self
                .windows
                .entry(reported.window)
                .or_default()
                .entry(reported.tenant)
                .or_default();
            let known = counts
                .iter_mut()
                .find(|known| known.source_number == source_number);
            match known {
                Some(known) => known.count = known.count.max(reported.count),
                None => counts.push(SourceCount {
                    source_number,
                    count: reported.count,
                }),
            }
        }
    }

    fn source_number(&mut self, agent: &Name, proxy_incarnation: u64) -> u32 {
        let source = UsageSource {
            agent: agent.clone(),
            proxy_incarnation,
        };
        let last_source_number = &mut self.last_source_number;
        *self.source_numbers.entry(source).or_insert_with(|| {
            *last_source_number += 1;
            *last_source_number
        })
    }

    /// Returns the requests that began to run in a window, by tenant.
    pub fn counts(&self, window: u64) -> BTreeMap<Name, u64> {
        let tenants = self.windows.get(&window).into_iter().flatten();
        tenants
            .map(|(tenant, counts)| {
                let sum = counts.iter().map(|counted| counted.count).sum();
                (tenant.clone(), sum)
            })
            .collect()
    }

    /// Returns the windows that have counts, oldest first.
    pub fn windows(&self) -> impl Iterator<Item = u64> {
        self.windows.keys().copied()
    }

    /// Drops the windows before this one.
    pub fn drop_before(&mut self, window: u64) {
        let kept = self.windows.split_off(&window);
        let dropped = std::mem::replace(&mut self.windows, kept);
        if !dropped.is_empty() {
            self.drop_unused_sources();
        }
    }

    fn drop_unused_sources(&mut self) {
        let counts = self.windows.values().flat_map(BTreeMap::values).flatten();
        let used: BTreeSet<u32> = counts.map(|counted| counted.source_number).collect();
        self.source_numbers
            .retain(|_, number| used.contains(number));
    }
}

impl Control {
    /// Observes the wall clock, in ms since 1970. Must be called at least once a second.
    pub fn observe_wall_clock(&mut self, now: Ms, wall_ms: u64) {
        self.wall_clock.observe(now, wall_ms);
        if let Some(windows) = self.kept_usage_windows(now) {
            self.usage.drop_before(*windows.start());
        }
    }

    /// Returns the wall-clock time in ms since 1970, without steps that are reverted; `None` before the first
    /// observation.
    pub fn wall_ms(&self, now: Ms) -> Option<u64> {
        self.wall_clock.wall_ms(now)
    }

    /// Returns the usage received so far. Only the daemon that holds the usage reporting role and the one that is next
    /// to acquire it receive usage.
    pub fn usage(&self) -> &UsageTable {
        &self.usage
    }

    /// Returns whether this daemon keeps usage counts.
    pub fn keeps_usage(&self) -> bool {
        self.counters.keeps_usage()
    }

    /// Returns the time up to which usage was received from every live edge, 0 if nothing is known of one of them.
    ///
    /// An edge from which something was received within the delay of usage reports, or that gossip considers live, is
    /// waited for, as it may be back before the report is due. An unreachable edge thus holds this time back until
    /// then.
    pub fn usage_received_through(&self, now: Ms) -> Ms {
        let received_until = |name: &Name| {
            let follower = self.followers.get(name);
            follower
                .and_then(|follower| follower.counters_heard_until)
                .unwrap_or(0)
        };
        let recent = self
            .followers
            .polled_within(self.config.bounds.usage_delay, now)
            .chain(self.followers.live(now))
            .map(|follower| &follower.node.name);
        let live = self.membership.live(NodeRole::Edge).map(|edge| &edge.name);
        let earliest = recent.chain(live).map(received_until).min();
        earliest.unwrap_or(0).saturating_sub(USAGE_LATENCY)
    }

    /// Records usage from an agent, even if earlier usage from it is missing: the largest value of each count is kept.
    pub(super) fn accept_usage(&mut self, agent: &Name, reports: Vec<ProxyUsage>, now: Ms) {
        if !self.keeps_usage() {
            return;
        }
        let kept = self.kept_usage_windows(now);
        let is_kept = |reported: &TenantUsage| {
            kept.as_ref()
                .is_none_or(|windows| windows.contains(&reported.window))
        };
        for report in reports {
            let usage = report.usage.0.into_iter().filter(is_kept).collect();
            self.usage.record(agent, report.proxy_incarnation, usage);
        }
    }

    /// Returns the windows whose counts are kept; `None` before the first observation of the wall clock.
    fn kept_usage_windows(&self, now: Ms) -> Option<RangeInclusive<u64>> {
        kept_windows(&self.config.bounds, self.wall_clock.wall_ms(now)?)
    }
}
