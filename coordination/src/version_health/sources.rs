//! Sources of counters: the last report of each edge, so that only the difference is added.

use std::collections::BTreeMap;

use wire_messages::OutcomeCounters;

use super::{counts::OutcomeCounts, windows::KeyIndex};

/// Counters of one key are reported separately for each group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GroupKey {
    key: KeyIndex,
    group: u8,
}

/// Last report of one edge.
#[derive(Clone, Debug)]
pub(super) struct CounterSource {
    incarnation: u64,
    /// Cumulative counts of this incarnation.
    last: BTreeMap<GroupKey, OutcomeCounts>,
}

impl CounterSource {
    pub(super) fn new(incarnation: u64) -> Self {
        CounterSource {
            incarnation,
            last: BTreeMap::new(),
        }
    }

    /// Returns whether the source still runs in this incarnation. A new incarnation counts from 0.
    pub(super) fn has_incarnation(&self, incarnation: u64) -> bool {
        self.incarnation == incarnation
    }

    /// Stores a key's cumulative counters and returns the difference to the stored ones; none if the report is older.
    /// Of the counts before a source's first report, only its last 30 s are used as evidence.
    pub(super) fn advance(
        &mut self,
        key: KeyIndex,
        reported: &OutcomeCounters,
        is_first_report: bool,
    ) -> Option<OutcomeCounts> {
        let group_key = GroupKey {
            key,
            group: reported.group,
        };
        let counts = cumulative_counts(reported);
        let known = self.last.get(&group_key).copied().unwrap_or_default();
        // Counts only rise within an incarnation: lower ones belong to an older report.
        if counts.sent + counts.ended < known.sent + known.ended {
            return None;
        }
        self.last.insert(group_key, counts);
        Some(if is_first_report {
            recent_counts(reported)
        } else {
            counts.minus(known).as_report()
        })
    }
}

/// Returns the counts since the edge started.
fn cumulative_counts(reported: &OutcomeCounters) -> OutcomeCounts {
    OutcomeCounts {
        sent: reported.sent,
        ended: reported.succeeded + reported.failed,
        failed: reported.failed,
        slow: reported.slow,
        first_chunks: reported.first_chunks,
        first_chunk_log_sum: reported.first_chunk_log_sum,
        failed_replicas: reported.failed_replicas,
        ..OutcomeCounts::default()
    }
}

/// Returns the counts of the edge's last 30 s.
fn recent_counts(reported: &OutcomeCounters) -> OutcomeCounts {
    // Failed replicas are reported only since the edge's start. Without them all failures of one report would look
    // like one crash.
    let failed_replicas = if reported.recent_failed > 0 {
        reported.failed_replicas
    } else {
        0
    };
    OutcomeCounts {
        sent: reported.recent_ended,
        ended: reported.recent_ended,
        failed: reported.recent_failed,
        slow: reported.recent_slow,
        failed_replicas,
        ..OutcomeCounts::default()
    }
}
