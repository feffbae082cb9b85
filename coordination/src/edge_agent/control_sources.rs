//! The control daemons that this agent follows: what each has sent and acknowledged, and when it is
//! polled.

use std::collections::{BTreeMap, BTreeSet};

use wire_messages::{Change, List, Name, Node, Poll, UnreachableEdges, Update};

use super::{
    local_proxy::{CountersSince, ProxyLink, SelectedCounters},
    serving_rule::RULE_DURATION,
    without_value,
};
use crate::{
    Effects, Ms,
    effect::send,
    membership::{Membership, NodeRole, name_digest},
    state_table::StateTable,
    timing::{LEASE_DURATION, TICK_INTERVAL},
};

/// Interval between polls of a control daemon, in ms. Daemons also push updates.
pub const POLL_INTERVAL: Ms = 400;
/// Interval between polls of an agent that has just started and may not serve yet, in ms for each
/// known edge.
const STARTUP_POLL_INTERVAL_PER_EDGE: Ms = 20;
/// Minimum interval between polls of an agent that starts in a small fleet, in ms.
const MIN_POLL_INTERVAL: Ms = 2 * TICK_INTERVAL;
/// Interval between polls of a daemon in another region that holds no role and has this agent's
/// versions, in ms.
const REMOTE_POLL_INTERVAL: Ms = 2 * POLL_INTERVAL;
/// A poll that is overdue by more than this shows that the process was suspended; far longer than
/// the tick interval.
const SUSPENSION_MIN_GAP: Ms = 20 * TICK_INTERVAL;

/// The versions of all keys that were last sent to a control daemon.
#[derive(Clone, Copy, Debug, Default)]
struct SentVersions {
    sent_at: Ms,
    digest: u64,
}

impl SentVersions {
    /// No versions sent: no update acknowledges this.
    const NONE: SentVersions = SentVersions {
        sent_at: Ms::MAX,
        digest: 0,
    };
}

/// State of one followed control daemon.
#[derive(Clone, Debug, Default)]
struct ControlSource {
    incarnation: u64,
    /// Position in its change feed up to which this agent has all changes.
    position: u64,
    /// Send time of the newest poll to which it responded with a settled update.
    settled_poll_sent_at: Ms,
    /// Whether it has sent a settled update to this incarnation of the agent.
    sent_settled_update: bool,
    versions_sent: SentVersions,
    /// Digest of the versions that it has acknowledged.
    acknowledged_digest: Option<u64>,
    polled_at: Ms,
    /// When it last sent a lease, which shows that it holds a singleton role.
    lease_received_at: Ms,
    /// Send time of the newest poll to which it responded.
    acknowledged_poll_sent_at: Ms,
    /// The agent's report up to which it has the proxy's counters, according to its newest response.
    counters_through: u64,
    /// The counters that it keeps, according to its newest response, and the number of that
    /// selection.
    selected: SelectedCounters,
    selection: u64,
    /// The edges that it cannot reach, according to its newest report.
    unreachable_edges: UnreachableEdges,
}

impl ControlSource {
    /// Follows a new incarnation of the daemon from the start of its feed. Versions sent to the
    /// former incarnation do not count for this one, whichever of them received the poll.
    fn restart(&mut self, incarnation: u64) {
        *self = ControlSource {
            incarnation,
            versions_sent: SentVersions::NONE,
            settled_poll_sent_at: self.settled_poll_sent_at,
            sent_settled_update: self.sent_settled_update,
            ..ControlSource::default()
        };
    }

    /// Records what an update reports about the daemon itself.
    fn on_update(&mut self, update: &Update, now: Ms) {
        // Behind a lost update the position stays, so that the next poll asks for what is missing.
        if update.is_snapshot != 0 || update.after_position <= self.position {
            self.position = self.position.max(update.through_position);
        }
        if update.poll_sent_at >= self.versions_sent.sent_at {
            self.acknowledged_digest = Some(self.versions_sent.digest);
        }
        if update.poll_sent_at >= self.acknowledged_poll_sent_at {
            self.acknowledged_poll_sent_at = update.poll_sent_at;
            self.counters_through = update.counters_through;
            self.selection = update.selection;
            self.selected = SelectedCounters {
                services: update.selected_services.0.clone(),
                wants_usage: update.wants_usage != 0,
            };
        }
        // Only a settled voter counts towards a majority: others may lack values that a majority has
        // accepted.
        if update.is_settled != 0 {
            self.settled_poll_sent_at = self.settled_poll_sent_at.max(update.poll_sent_at);
            self.sent_settled_update = true;
        }
        if !update.leases.is_empty() {
            self.lease_received_at = now;
        }
        if let Some(report) = update.unreachable_edges.last() {
            self.unreachable_edges = report.clone();
        }
    }

    fn holds_role(&self, now: Ms) -> bool {
        now.saturating_sub(self.lease_received_at) <= LEASE_DURATION
    }

    fn is_responding(&self, now: Ms) -> bool {
        now.saturating_sub(self.acknowledged_poll_sent_at) <= RULE_DURATION
    }
}

/// Unreachable edges, identified by the digests of their names.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreachableEdgeSet(BTreeSet<u32>);

impl UnreachableEdgeSet {
    pub fn contains(&self, edge: &Node) -> bool {
        !self.0.is_empty() && self.0.contains(&name_digest(&edge.name))
    }
}

/// Inputs common to the polls to all daemons.
pub(super) struct PollContext<'a> {
    pub membership: &'a Membership,
    pub table: &'a StateTable,
    pub proxy: &'a ProxyLink,
    /// Whether a majority has sent settled updates to this incarnation of the agent.
    pub is_ready: bool,
}

/// All control daemons that this agent follows, by name.
#[derive(Clone, Debug, Default)]
pub(super) struct ControlSources {
    by_name: BTreeMap<Name, ControlSource>,
    /// The largest number of voters that any daemon reported. Reports differ only during a
    /// reconfiguration, and the largest requires the largest majority.
    voter_count: usize,
    next_poll: Ms,
}

impl ControlSources {
    fn majority(&self) -> usize {
        self.voter_count / 2 + 1
    }

    pub fn knows_voters(&self) -> bool {
        self.voter_count > 0
    }

    pub fn is_followed(&self, name: &Name) -> bool {
        self.by_name.contains_key(name)
    }

    /// Whether a majority has sent settled updates to this incarnation of the agent.
    pub fn has_settled_majority(&self) -> bool {
        let settled = self
            .by_name
            .values()
            .filter(|source| source.sent_settled_update);
        settled.count() >= self.majority()
    }

    /// Returns the latest time such that a majority of settled daemons has responded to a poll that
    /// was sent then or later; 0 if there is none.
    pub fn majority_poll_sent_at(&self) -> Ms {
        let mut sent_at: Vec<Ms> = self
            .by_name
            .values()
            .map(|source| source.settled_poll_sent_at)
            .collect();
        sent_at.sort_unstable_by_key(|at| std::cmp::Reverse(*at));
        sent_at.get(self.majority() - 1).copied().unwrap_or(0)
    }

    /// Records what an update reports about its sender. Returns false if the update must not be
    /// applied: it continues the change feed of an incarnation whose start this agent lacks.
    pub fn on_update(&mut self, from: &Name, update: &Update, now: Ms) -> bool {
        self.voter_count = self.voter_count.max(update.voter_count as usize);
        let source = self.by_name.entry(from.clone()).or_default();
        if update.source_incarnation != source.incarnation {
            if update.is_snapshot == 0 {
                return false;
            }
            source.restart(update.source_incarnation);
        }
        source.on_update(update, now);
        true
    }

    /// Returns the edges that are unreachable according to most of the responding control daemons that have a report.
    /// Gossip detects them too, but takes longer the larger the fleet is.
    pub fn unreachable_edges(&self, now: Ms) -> UnreachableEdgeSet {
        let reports: Vec<&UnreachableEdges> = self
            .by_name
            .values()
            .filter(|source| source.is_responding(now))
            .map(|source| &source.unreachable_edges)
            .filter(|report| report.version > 0)
            .collect();
        let mut report_counts: BTreeMap<u32, usize> = BTreeMap::new();
        for digest in reports.iter().flat_map(|report| report.edges.iter()) {
            *report_counts.entry(*digest).or_default() += 1;
        }
        report_counts.retain(|_, count| *count * 2 > reports.len());
        UnreachableEdgeSet(report_counts.into_keys().collect())
    }

    /// Whether the process was suspended, judged by a long overdue poll.
    pub fn was_suspended(&self, now: Ms) -> bool {
        self.next_poll > 0 && now > self.next_poll + SUSPENSION_MIN_GAP
    }

    /// Schedules a poll for the next tick.
    pub fn expedite_poll(&mut self, now: Ms) {
        self.next_poll = now;
    }

    /// Polls the control daemons if a poll is due.
    pub fn tick(&mut self, context: &PollContext, now: Ms, out: &mut Effects) {
        if now < self.next_poll {
            return;
        }
        self.next_poll = now + poll_interval(context);
        self.remove_unknown(context.membership);
        let digest = context.table.digest();
        let versions: List<Change> = context
            .table
            .entries()
            .cloned()
            .map(without_value)
            .collect();
        for daemon in context.membership.known(NodeRole::Control) {
            let source = self.by_name.entry(daemon.name.clone()).or_default();
            // The list of all versions is omitted for a daemon that has acknowledged the same
            // list.
            let has_versions = source.acknowledged_digest != Some(digest);
            if !has_versions && can_skip_poll(source, daemon, context, now) {
                continue;
            }
            source.polled_at = now;
            if has_versions {
                source.versions_sent = SentVersions {
                    sent_at: now,
                    digest,
                };
            }
            let poll = Poll {
                has_versions: has_versions.into(),
                versions: if has_versions {
                    versions.clone()
                } else {
                    List::default()
                },
                ..poll_with_counters(source, context, now)
            };
            out.push(send(&daemon.addr, poll));
        }
    }

    fn remove_unknown(&mut self, membership: &Membership) {
        let known: BTreeSet<&Name> = membership
            .known(NodeRole::Control)
            .map(|node| &node.name)
            .collect();
        self.by_name.retain(|name, _| known.contains(name));
    }
}

/// Returns the interval until the next poll. A large fleet that starts at once does not poll more
/// often than one that serves.
fn poll_interval(context: &PollContext) -> Ms {
    if context.is_ready {
        return POLL_INTERVAL;
    }
    let edge_count = context.membership.known(NodeRole::Edge).count() as Ms + 1;
    (edge_count * STARTUP_POLL_INTERVAL_PER_EDGE).clamp(MIN_POLL_INTERVAL, POLL_INTERVAL)
}

/// Whether the poll of a daemon that has all versions can be skipped. Cross-region traffic is
/// expensive and only the holder of a role uses counters, so other remote daemons are polled half as
/// often.
fn can_skip_poll(source: &ControlSource, daemon: &Node, context: &PollContext, now: Ms) -> bool {
    context.is_ready
        && !context.membership.is_same_region(daemon)
        && !source.holds_role(now)
        && now < source.polled_at + REMOTE_POLL_INTERVAL
}

/// Builds a poll with the counters that the daemon lacks. Counters for a daemon that does not
/// respond would accumulate from poll to poll, so it is sent none until it responds.
fn poll_with_counters(source: &ControlSource, context: &PollContext, now: Ms) -> Poll {
    let counters_since = context
        .proxy
        .report_to_resume_after(source.counters_through);
    let reported = if source.is_responding(now) {
        context
            .proxy
            .counters_since(counters_since, &source.selected, now)
    } else {
        None
    };
    let reported = reported.unwrap_or_else(|| CountersSince {
        through_report: counters_since,
        ..CountersSince::default()
    });
    Poll {
        node: context.membership.me().clone(),
        proxy_incarnation: reported.proxy_incarnation,
        sent_at: now,
        source_incarnation: source.incarnation,
        after_position: source.position,
        counters_since,
        counters_through: reported.through_report,
        selection: source.selection,
        unreachable_edges_version: source.unreachable_edges.version,
        counters: reported.counters,
        open_streams: reported.open_streams,
        report_age_ms: reported.report_age,
        usage: reported.usage,
        ..Poll::default()
    }
}
