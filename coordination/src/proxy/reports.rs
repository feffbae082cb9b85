//! Reports to the colocated agent, and reports exchanged with other proxies.

use wire_messages::{List, Name, OpenStreams, OutcomeCounters, PrefillReport, ProxyReport};

use super::Proxy;
use crate::Ms;

impl Proxy {
    /// Returns a report of all counters and open streams.
    pub fn full_report(&self, now: Ms) -> ProxyReport {
        let counters = self.outcome_counters(self.attempt_counters.keys(), now);
        let open_streams = self.attempt_counters.open_streams().collect();
        self.report(0, counters, open_streams, now)
    }

    /// Returns a report of the changes that the agent has not acknowledged: of many cells, most do not change.
    pub fn changed_report(&self, now: Ms) -> ProxyReport {
        let after_change = self.attempt_counters.acknowledged_change();
        if after_change == 0 {
            return self.full_report(now);
        }
        let counters = self.outcome_counters(self.attempt_counters.changed_keys(), now);
        let open_streams = self.attempt_counters.changed_open_streams().collect();
        self.report(after_change, counters, open_streams, now)
    }

    fn report(
        &self,
        after_change: u64,
        counters: List<OutcomeCounters>,
        open_streams: List<OpenStreams>,
        now: Ms,
    ) -> ProxyReport {
        let unreported = self.attempt_counters.usage.changed_after(after_change);
        let through_change = unreported
            .through_change
            .unwrap_or(self.attempt_counters.last_change());
        ProxyReport {
            incarnation: self.incarnation,
            http_addr: self.http_addr.clone(),
            after_change,
            through_change,
            counters,
            open_streams,
            oldest_usage_window: self.oldest_usage_window(now),
            usage: unreported.usage,
            table_source: self.table_position.source,
            table_position: self.table_position.through,
        }
    }

    /// Returns reports for other proxies: long prompts sent since the last call, by the region of their replicas, and
    /// replicas that failed here. Failures go only to proxies of this region, because they share its network.
    pub fn take_prefill_reports(&mut self, now: Ms) -> impl Iterator<Item = PrefillReport> {
        let mut prefills_by_region = self.placement.take_prefills(now);
        let failing_replicas = self.placement.take_failing(now);
        let own_region: Name = self.placement.latency.own_region().into();
        if !failing_replicas.is_empty() {
            prefills_by_region.entry(own_region.clone()).or_default();
        }
        let (proxy, zone) = (self.name.clone(), self.zone.clone());
        prefills_by_region
            .into_iter()
            .map(move |(region, prefills)| {
                let failing_replicas = if region == own_region {
                    failing_replicas.clone()
                } else {
                    vec![]
                };
                PrefillReport {
                    proxy: proxy.clone(),
                    zone: zone.clone(),
                    region,
                    prefills: List(prefills),
                    failing_replicas: List(failing_replicas),
                }
            })
    }

    /// Applies another proxy's report of sent prompts and failed replicas.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "message handlers take ownership of the message"
    )]
    pub fn on_prefill_report(&mut self, report: PrefillReport, now: Ms) {
        for prefill in report.prefills.iter() {
            self.placement.on_peer_prefill(prefill, now);
        }
        for number in report.failing_replicas.iter() {
            self.placement
                .on_peer_failure(*number, &report.proxy, &report.zone, now);
        }
    }
}
