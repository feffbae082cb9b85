//! Requests that began to run, by tenant and window, as the edges have reported them.

use std::collections::BTreeMap;

use wire_messages::Name;

use super::Control;
use crate::Ms;

/// How many requests of a tenant an edge has seen begin to run in one window, so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantUsage {
    /// The window's number.
    pub window: u64,
    /// The tenant's name.
    pub tenant: Name,
    /// Its requests.
    pub count: u64,
}

/// Counts of one incarnation of an agent, by window and tenant.
type UsageCells = BTreeMap<(u64, Name), u64>;

/// The largest count of each cell that each incarnation of an agent has reported.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageTable {
    sources: BTreeMap<(Name, u64), UsageCells>,
}

impl UsageTable {
    /// Takes an agent's counts; what it sends again counts once.
    pub(super) fn record(&mut self, agent: &Name, agent_incarnation: u64, cells: Vec<TenantUsage>) {
        let source = (agent.clone(), agent_incarnation);
        let known = self.sources.entry(source).or_default();
        for TenantUsage {
            window,
            tenant,
            count,
        } in cells
        {
            let largest = known.entry((window, tenant)).or_default();
            *largest = count.max(*largest);
        }
    }

    /// Requests of each tenant in a window.
    pub(super) fn counts(&self, window: u64) -> BTreeMap<Name, u64> {
        let mut counts = BTreeMap::new();
        for ((counted_in, tenant), count) in self.sources.values().flatten() {
            if *counted_in == window {
                *counts.entry(tenant.clone()).or_default() += count;
            }
        }
        counts
    }

    /// Forgets all windows before this one.
    pub(super) fn forget_before(&mut self, window: u64) {
        for cells in self.sources.values_mut() {
            cells.retain(|(counted_in, _), _| *counted_in >= window);
        }
        self.sources.retain(|_, cells| !cells.is_empty());
    }
}

impl Control {
    /// Takes an agent's counts of requests that began to run.
    pub fn record_usage(&mut self, agent: &Name, agent_incarnation: u64, cells: Vec<TenantUsage>) {
        self.usage_table.record(agent, agent_incarnation, cells);
    }

    /// The earliest time at which any live follower's counters were last accepted here; 0 where there is no follower.
    pub(super) fn usage_heard_through(&self, now: Ms) -> Ms {
        let heard = self.followers.live(now).map(|follower| follower.polled_at);
        heard.min().unwrap_or(0)
    }
}
