//! Usage that the proxies on the agent's machine counted, on its way to the control daemons.

use std::collections::BTreeMap;

use wire_messages::{List, Name, ProxyUsage, TenantUsage};

use crate::{numbered_counts::NumberedCounts, usage::MAX_COUNTS_PER_MESSAGE};

/// The cell in which one incarnation of the proxy counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProxyUsageCell {
    proxy_incarnation: u64,
    window: u64,
    tenant: Name,
}

/// Usage that a control daemon is to be sent.
#[derive(Debug, Default)]
pub(super) struct UnsentUsage {
    pub usage: List<ProxyUsage>,
    /// The change up to which this is all, where it is not all that changed.
    pub through_change: Option<u64>,
}

/// Usage as the incarnations of the proxy reported it, each apart: what one counted before it ended stays.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportedUsage {
    counts: NumberedCounts<ProxyUsageCell>,
    /// The oldest window that is kept.
    oldest_window: u64,
}

impl ReportedUsage {
    /// Takes what an incarnation of the proxy reported, whether or not reports before it were lost: of each count the
    /// largest stays. Changes are numbered from `last_change` on, which is advanced.
    pub fn merge(&mut self, proxy_incarnation: u64, usage: &[TenantUsage], last_change: &mut u64) {
        let oldest_window = self.oldest_window;
        let is_kept = |reported: &&TenantUsage| reported.window >= oldest_window;
        for reported in usage.iter().filter(is_kept) {
            let cell = ProxyUsageCell {
                proxy_incarnation,
                window: reported.window,
                tenant: reported.tenant.clone(),
            };
            if self.counts.raise(cell, reported.count, *last_change + 1) {
                *last_change += 1;
            }
        }
    }

    /// Forgets windows before this one. It may be an earlier one than before: the time of day was set right.
    pub fn forget_before(&mut self, window: u64) {
        if window != self.oldest_window {
            self.oldest_window = window;
            self.counts.retain(|cell| cell.window >= window);
        }
    }

    /// What changed after a change, by incarnation of the proxy.
    pub fn changed_after(&self, change: u64) -> UnsentUsage {
        let changed = self.counts.changed_after(change, MAX_COUNTS_PER_MESSAGE);
        let mut by_incarnation: BTreeMap<u64, Vec<TenantUsage>> = BTreeMap::new();
        for (cell, count) in changed.counts {
            let usage = TenantUsage {
                window: cell.window,
                tenant: cell.tenant.clone(),
                count,
            };
            by_incarnation
                .entry(cell.proxy_incarnation)
                .or_default()
                .push(usage);
        }
        let usage = by_incarnation
            .into_iter()
            .map(|(proxy_incarnation, usage)| ProxyUsage {
                proxy_incarnation,
                usage: List(usage),
            });
        UnsentUsage {
            usage: usage.collect(),
            through_change: changed.through_change,
        }
    }
}
