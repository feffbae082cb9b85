//! Usage counted by the incarnations of the colocated proxy and forwarded to the control daemons.

use std::collections::BTreeMap;

use wire_messages::{List, Name, ProxyUsage, TenantUsage};

use crate::{numbered_counts::NumberedCounts, usage::MAX_COUNTS_PER_MESSAGE};

/// Key of a usage count: one incarnation of the proxy, window and tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProxyUsageKey {
    proxy_incarnation: u64,
    window: u64,
    tenant: Name,
}

/// Usage to send to a control daemon.
#[derive(Debug, Default)]
pub(super) struct UnsentUsage {
    pub usage: List<ProxyUsage>,
    /// The change up to which `usage` is complete; none if it includes all changes.
    pub through_change: Option<u64>,
}

/// Usage reported by the proxy, kept separately by incarnation so that the counts of an ended one remain.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportedUsage {
    counts: NumberedCounts<ProxyUsageKey>,
    /// The oldest window that is kept.
    oldest_window: u64,
}

impl ReportedUsage {
    /// Merges a usage report of an incarnation of the proxy by keeping the largest value of each count, so that earlier
    /// reports may be lost. Numbers the changes after `last_change` and advances it.
    pub fn merge(&mut self, proxy_incarnation: u64, usage: &[TenantUsage], last_change: &mut u64) {
        let oldest_window = self.oldest_window;
        let is_kept = |reported: &&TenantUsage| reported.window >= oldest_window;
        for reported in usage.iter().filter(is_kept) {
            let key = ProxyUsageKey {
                proxy_incarnation,
                window: reported.window,
                tenant: reported.tenant.clone(),
            };
            if self.counts.raise(key, reported.count, *last_change + 1) {
                *last_change += 1;
            }
        }
    }

    /// Drops windows before `window`, which may be earlier than the last one if the wall clock was corrected.
    pub fn forget_before(&mut self, window: u64) {
        if window != self.oldest_window {
            self.oldest_window = window;
            self.counts.retain(|key| key.window >= window);
        }
    }

    /// Returns the usage that changed after `change`, by incarnation of the proxy.
    pub fn changed_after(&self, change: u64) -> UnsentUsage {
        let changed = self.counts.changed_after(change, MAX_COUNTS_PER_MESSAGE);
        let mut by_incarnation: BTreeMap<u64, Vec<TenantUsage>> = BTreeMap::new();
        for (key, count) in changed.counts {
            let usage = TenantUsage {
                window: key.window,
                tenant: key.tenant.clone(),
                count,
            };
            by_incarnation
                .entry(key.proxy_incarnation)
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
