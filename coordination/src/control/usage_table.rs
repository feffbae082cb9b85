//! Usage by tenant and window, as the edges report it.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::RangeInclusive,
};

use wire_messages::{Name, ProxyUsage, TenantUsage};

use super::Control;
use crate::{Ms, membership::NodeRole, usage::kept_windows};

/// ms. Longest time that a report of a proxy and the poll that carries it are assumed to be on their way, besides the time
/// that the report waits for the poll.
pub const USAGE_LATENCY: Ms = 250;

/// One incarnation of a proxy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct UsageSource {
    agent: Name,
    proxy_incarnation: u64,
}

/// What a source counted in one cell.
#[derive(Clone, Copy, Debug)]
struct SourceCount {
    source_number: u32,
    count: u64,
}

/// Counts of one window by tenant. Few sources serve one tenant in one window, so that a list of them is searched.
type WindowCounts = BTreeMap<Name, Vec<SourceCount>>;

/// Requests that began to run, by window, tenant and source. Of each source the largest count is kept, so that a resend
/// counts nothing twice; a proxy that restarts is another source, whose counts add up with those before.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    windows: BTreeMap<u64, WindowCounts>,
    /// Names of sources are kept once, as each has many counts.
    source_numbers: BTreeMap<UsageSource, u32>,
    last_source_number: u32,
}

impl UsageTable {
    /// Takes cumulative counts of one incarnation of the proxy beside an agent.
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

    /// Requests that began to run in a window, by tenant.
    pub fn counts(&self, window: u64) -> BTreeMap<Name, u64> {
        let tenants = self.windows.get(&window).into_iter().flatten();
        tenants
            .map(|(tenant, counts)| {
                let sum = counts.iter().map(|counted| counted.count).sum();
                (tenant.clone(), sum)
            })
            .collect()
    }

    /// Windows in which something was counted, oldest first.
    pub fn windows(&self) -> impl Iterator<Item = u64> {
        self.windows.keys().copied()
    }

    /// Forgets windows before this one.
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
    /// Observes the time of day, in ms since 1970; to be called at least once a second.
    pub fn observe_wall_clock(&mut self, now: Ms, wall_ms: u64) {
        self.wall_clock.observe(now, wall_ms);
        if let Some(windows) = self.kept_usage_windows(now) {
            self.usage.drop_before(*windows.start());
        }
    }

    /// The time of day in ms since 1970, without steps that are taken back; none before it was observed.
    pub fn wall_ms(&self, now: Ms) -> Option<u64> {
        self.wall_clock.wall_ms(now)
    }

    /// Usage as far as this daemon has heard; it hears of usage only where it holds the role of reporting it, or is next
    /// to acquire it.
    pub fn usage(&self) -> &UsageTable {
        &self.usage
    }

    /// Whether this daemon keeps usage counts.
    pub fn keeps_usage(&self) -> bool {
        self.counters.keeps_usage()
    }

    /// The time up to which every live edge's usage is here, 0 if nothing is known of one of them.
    ///
    /// An edge that was heard from within the delay of usage reports, or that gossip has for live, is waited for: it may be
    /// back before the report is due. An edge that falls silent so stops this time from rising until then.
    pub fn usage_received_through(&self, now: Ms) -> Ms {
        let received_until = |name: &Name| {
            let follower = self.followers.get(name);
            follower
                .and_then(|follower| follower.counters_heard_until)
                .unwrap_or(0)
        };
        let heard = self
            .followers
            .polled_within(self.config.bounds.usage_delay, now)
            .chain(self.followers.live(now))
            .map(|follower| &follower.node.name);
        let live = self.membership.live(NodeRole::Edge).map(|edge| &edge.name);
        let earliest = heard.chain(live).map(received_until).min();
        earliest.unwrap_or(0).saturating_sub(USAGE_LATENCY)
    }

    /// Accepts usage from an agent, whether or not what it follows is complete: of each count the largest is kept.
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

    /// Windows whose counts are kept; none before the time of day was observed.
    fn kept_usage_windows(&self, now: Ms) -> Option<RangeInclusive<u64>> {
        kept_windows(&self.config.bounds, self.wall_clock.wall_ms(now)?)
    }
}
