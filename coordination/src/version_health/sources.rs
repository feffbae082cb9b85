//! Edges that report counters: what each reported last, so that only the difference is added.

use std::collections::BTreeMap;

use wire_messages::OutcomeCounters;

use super::{counts::OutcomeCounts, windows::KeyIndex};

/// Counters of one key are reported by group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GroupKey {
    key: KeyIndex,
    group: u8,
}

/// What one edge reported last.
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

    /// Whether this is the same incarnation of the source. A later one counts from nought.
    pub(super) fn is_of(&self, incarnation: u64) -> bool {
        self.incarnation == incarnation
    }

    /// Takes a key's cumulative counters over; what they add, unless they are older than those that are known. Of what
    /// a source counted before its first report only its last half minute is evidence.
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
        // Counts only rise in an incarnation: lower ones are late.
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

/// Counts since the edge's start.
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

/// Counts of the edge's last half minute.
fn recent_counts(reported: &OutcomeCounters) -> OutcomeCounts {
    // Which replicas failed is reported since the edge's start only; without them what comes in one report is one
    // crash.
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
