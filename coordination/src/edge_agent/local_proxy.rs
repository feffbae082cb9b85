//! The colocated proxy: its outcome counters and open streams, which are forwarded to the control
//! daemons, and the table updates sent to it.

use std::collections::BTreeMap;

use wire_messages::{
    Change, List, Name, Node, OpenStreams, OutcomeCounters, ProxyLease, ProxyReport, ProxyUsage,
    TableUpdate,
};

use super::{
    serving_rule::{Decision, RULE_DURATION},
    table_feed::TableFeed,
    usage::{ReportedUsage, UnsentUsage},
};
use crate::{
    Effects, Ms, effect::send, state_table::StateTable, usage::MAX_COUNTS_PER_MESSAGE,
    version_health::HEALTH_WINDOWS,
};

/// Retention of ended streams, in ms: longer than control daemons are out of contact in most
/// partitions.
const ENDED_STREAM_RETENTION: Ms = 60_000;
/// Interval between updates to the proxy, in ms. Several would have to be lost before its rule
/// expires.
const PROXY_UPDATE_INTERVAL: Ms = RULE_DURATION / 5;
/// Time for which counters of recent outcomes are reported, in ms: the longest window of version
/// health.
const RECENT_OUTCOME_DURATION: Ms = HEALTH_WINDOWS[HEALTH_WINDOWS.len() - 1];

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CountersKey {
    service: Name,
    version: Name,
    lane: Name,
    cached: u8,
    group: u8,
}

impl CountersKey {
    fn of(counters: &OutcomeCounters) -> Self {
        CountersKey {
            service: counters.service.clone(),
            version: counters.version.clone(),
            lane: counters.lane.clone(),
            cached: counters.cached,
            group: counters.group,
        }
    }
}

/// Counters last reported by the proxy.
#[derive(Clone, Debug)]
struct ReportedCounters {
    counters: OutcomeCounters,
    /// Number of the report that contained them, as assigned by the agent.
    report: u64,
    received_at: Ms,
}

impl ReportedCounters {
    /// Returns the counters, without recent outcomes once these are too old to count as recent.
    fn current(&self, now: Ms) -> OutcomeCounters {
        if now.saturating_sub(self.received_at) <= RECENT_OUTCOME_DURATION {
            return self.counters.clone();
        }
        OutcomeCounters {
            recent_ended: 0,
            recent_failed: 0,
            recent_slow: 0,
            ..self.counters.clone()
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StreamsKey {
    replica: Name,
    version: Name,
}

impl StreamsKey {
    fn of(streams: &OpenStreams) -> Self {
        StreamsKey {
            replica: streams.replica.clone(),
            version: streams.version.clone(),
        }
    }
}

/// Open streams last reported by the proxy; the count is 0 once they have ended.
#[derive(Clone, Debug)]
struct ReportedStreams {
    streams: OpenStreams,
    /// Number of the report that contained them, as assigned by the agent.
    report: u64,
    received_at: Ms,
}

impl ReportedStreams {
    fn are_open(&self) -> bool {
        self.streams.streams > 0
    }

    fn is_expired(&self, now: Ms) -> bool {
        !self.are_open() && now.saturating_sub(self.received_at) >= ENDED_STREAM_RETENTION
    }
}

/// State of one incarnation of the proxy.
#[derive(Clone, Debug, Default)]
struct LocalProxy {
    addr: Name,
    incarnation: u64,
    last_report_at: Ms,
    /// The proxy's change up to which this agent has its counters and streams.
    counters_through: u64,
    /// When the newest report arrived that completed them.
    complete_at: Option<Ms>,
    counters: BTreeMap<CountersKey, ReportedCounters>,
    open_streams: BTreeMap<StreamsKey, ReportedStreams>,
}

impl LocalProxy {
    fn is_unresponsive(&self, now: Ms) -> bool {
        now.saturating_sub(self.last_report_at) >= RULE_DURATION
    }

    /// Applies a report, which is a snapshot or a list of changes. Ignores it after a gap: the next
    /// update then acknowledges nothing, and the proxy reports everything again.
    fn apply_report(&mut self, message: ProxyReport, report: u64, now: Ms) {
        let usage_follows = message.usage.len() >= MAX_COUNTS_PER_MESSAGE;
        // The content of a late report was reported again since.
        if message.through_change < self.counters_through {
            return;
        }
        if message.after_change > self.counters_through {
            self.counters_through = 0;
            return;
        }
        if message.after_change == 0 {
            self.end_open_streams(report, now);
        }
        self.counters_through = message.through_change;
        if !usage_follows {
            self.complete_at = Some(now);
        }
        for counters in message.counters.0 {
            let reported = ReportedCounters {
                report,
                received_at: now,
                counters,
            };
            self.counters
                .insert(CountersKey::of(&reported.counters), reported);
        }
        for streams in message.open_streams.0 {
            let reported = ReportedStreams {
                report,
                received_at: now,
                streams,
            };
            self.open_streams
                .insert(StreamsKey::of(&reported.streams), reported);
        }
    }

    /// Marks all streams as ended before a snapshot is applied, which reopens those that it lists.
    fn end_open_streams(&mut self, report: u64, now: Ms) {
        for reported in self.open_streams.values_mut() {
            if reported.are_open() {
                reported.streams.streams = 0;
                reported.report = report;
                reported.received_at = now;
            }
        }
    }

    /// Removes streams that ended long ago. Returns the newest report that contained the end of one
    /// of them.
    fn remove_expired_streams(&mut self, now: Ms) -> Option<u64> {
        let removed_through = self
            .open_streams
            .values()
            .filter(|reported| reported.is_expired(now))
            .map(|reported| reported.report)
            .max();
        if removed_through.is_some() {
            self.open_streams
                .retain(|_, reported| !reported.is_expired(now));
        }
        removed_through
    }
}

/// The part of the proxy's counters that a poll sends to a control daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct CountersSince {
    /// The incarnation of the proxy that counted them; 0 if nothing is reported.
    pub proxy_incarnation: u64,
    /// The report up to which the daemon has everything once it has received these.
    pub through_report: u64,
    /// Time since the newest report that completed the agent's counters, in ms.
    pub report_age: Ms,
    pub counters: List<OutcomeCounters>,
    pub open_streams: List<OpenStreams>,
    pub usage: List<ProxyUsage>,
}

/// The counters that a control daemon keeps.
#[derive(Clone, Debug, Default)]
pub(super) struct SelectedCounters {
    /// Services whose outcome counters it keeps.
    pub services: Vec<Name>,
    /// Whether it keeps usage.
    pub wants_usage: bool,
}

/// Content of an update to the proxy other than changed values.
pub(super) struct ProxyUpdate {
    pub decision: Decision,
    pub leases: List<ProxyLease>,
    pub nodes: List<Node>,
}

/// The link between the agent and its proxy.
#[derive(Clone, Debug)]
pub(super) struct ProxyLink {
    /// Incarnation of this agent, whose positions the proxy reports.
    agent_incarnation: u64,
    proxy: Option<LocalProxy>,
    /// Number of the newest report or usage change of any incarnation of the proxy.
    last_report: u64,
    usage: ReportedUsage,
    /// The newest report that contained the end of a stream that has been removed here.
    removed_through: u64,
    next_update: Ms,
    feed: TableFeed,
}

impl ProxyLink {
    /// Creates the link of an agent that knows no proxy yet.
    pub fn new(agent_incarnation: u64) -> Self {
        ProxyLink {
            agent_incarnation,
            proxy: None,
            last_report: 0,
            usage: ReportedUsage::default(),
            removed_through: 0,
            next_update: 0,
            feed: TableFeed::default(),
        }
    }

    /// Returns the proxy's address.
    pub fn addr(&self) -> Option<&Name> {
        self.proxy.as_ref().map(|proxy| &proxy.addr)
    }

    /// Whether there is a proxy that reported recently.
    pub fn is_reporting(&self, now: Ms) -> bool {
        self.proxy
            .as_ref()
            .is_some_and(|proxy| !proxy.is_unresponsive(now))
    }

    /// Whether there is a proxy that has stopped reporting.
    pub fn is_unresponsive(&self, now: Ms) -> bool {
        self.proxy
            .as_ref()
            .is_some_and(|proxy| proxy.is_unresponsive(now))
    }

    /// Handles the proxy's report of its counters and streams.
    pub fn on_report(&mut self, addr: &Name, message: ProxyReport, now: Ms) {
        let mut proxy = self.reporting_proxy(addr, message.incarnation, now);
        proxy.last_report_at = now;
        let is_fed_by_this_agent = message.table_source == self.agent_incarnation;
        let position = is_fed_by_this_agent.then_some(message.table_position);
        self.feed.on_position(position, now);
        self.usage.forget_before(message.oldest_usage_window);
        self.usage
            .merge(message.incarnation, &message.usage, &mut self.last_report);
        self.last_report += 1;
        proxy.apply_report(message, self.last_report, now);
        // A control daemon that was not sent the end of these streams in time is sent everything
        // again.
        if let Some(report) = proxy.remove_expired_streams(now) {
            self.removed_through = self.removed_through.max(report);
        }
        if self.feed.is_resend_due(now) {
            self.next_update = now;
        }
        self.proxy = Some(proxy);
    }

    /// Returns the known proxy, or a new one for another incarnation. That one gets a snapshot however quickly it
    /// restarted, as does one that was not heard from for long.
    fn reporting_proxy(&mut self, addr: &Name, incarnation: u64, now: Ms) -> LocalProxy {
        match self.proxy.take() {
            Some(proxy) if proxy.addr == *addr && proxy.incarnation == incarnation => {
                if proxy.is_unresponsive(now) {
                    self.feed.restart();
                }
                proxy
            }
            // The streams of the former incarnation have ended; they are kept so that control daemons
            // that know them are notified.
            former => {
                self.feed.restart();
                LocalProxy {
                    addr: addr.clone(),
                    incarnation,
                    open_streams: former.map_or_else(BTreeMap::new, |proxy| proxy.open_streams),
                    ..LocalProxy::default()
                }
            }
        }
    }

    /// Returns the report after which to resume for a control daemon that has counters up to
    /// `counters_through`: 0, which resends everything, if it may have missed the end of a stream.
    pub fn report_to_resume_after(&self, counters_through: u64) -> u64 {
        if counters_through < self.removed_through {
            0
        } else {
            counters_through
        }
    }

    /// Returns the selected counters and open streams that changed after a report; after 0, all of
    /// them except ended streams. If more usage changed than fits into one message, the rest is sent
    /// in the next one.
    pub fn counters_since(
        &self,
        report: u64,
        selected: &SelectedCounters,
        now: Ms,
    ) -> Option<CountersSince> {
        let proxy = self.proxy.as_ref()?;
        let counters = proxy
            .counters
            .values()
            .filter(|reported| {
                reported.report > report && selected.services.contains(&reported.counters.service)
            })
            .map(|reported| reported.current(now))
            .collect();
        let open_streams = proxy
            .open_streams
            .values()
            .filter(|reported| reported.report > report && (report > 0 || reported.are_open()))
            .map(|reported| reported.streams.clone())
            .collect();
        let unsent = if selected.wants_usage {
            self.usage.changed_after(report)
        } else {
            UnsentUsage::default()
        };
        Some(CountersSince {
            proxy_incarnation: proxy.incarnation,
            through_report: unsent.through_change.unwrap_or(self.last_report),
            report_age: now.saturating_sub(proxy.complete_at.unwrap_or(0)),
            counters,
            open_streams,
            usage: unsent.usage,
        })
    }

    /// Queues a changed value.
    pub fn push_change(&mut self, change: Change) {
        self.feed.push(change);
    }

    /// Whether changed values are queued.
    pub fn has_unsent_changes(&self) -> bool {
        self.feed.has_unsent()
    }

    /// Schedules an update for the next tick.
    pub fn expedite_update(&mut self) {
        self.next_update = 0;
    }

    /// Whether the next update is due.
    pub fn is_update_due(&self, now: Ms) -> bool {
        now >= self.next_update
    }

    /// Sends the proxy the changes that it lacks, or the complete table if it has none of this agent.
    pub fn send_update(
        &mut self,
        table: &StateTable,
        update: ProxyUpdate,
        now: Ms,
        out: &mut Effects,
    ) {
        let Some(proxy) = &self.proxy else {
            return;
        };
        self.next_update = now + PROXY_UPDATE_INTERVAL;
        // A proxy that does not report may be gone; once it reports again it is sent a snapshot.
        let may_resend = !proxy.is_unresponsive(now);
        let fed = self.feed.next_update(table, may_resend, now);
        let message = TableUpdate {
            proxy_incarnation: proxy.incarnation,
            counters_through: proxy.counters_through,
            serving_rule: update.decision.rule.to_byte(),
            valid_until: update.decision.valid_until,
            is_snapshot: fed.is_snapshot.into(),
            changes: fed.changes,
            leases: update.leases,
            nodes: update.nodes,
            agent_incarnation: self.agent_incarnation,
            after_position: fed.after_position,
            through_position: fed.through_position,
        };
        out.push(send(&proxy.addr, message));
    }
}
