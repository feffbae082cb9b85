//! Cumulative counts of attempts and of open streams, and which of them the agent has not been told.

use std::collections::{BTreeMap, BTreeSet};

use remote_calls::GroupRole;
use wire_messages::OpenStreams;

use super::{
    Assignment,
    usage::{UsageCell, UsageCounters},
};

/// The cell in which an attempt is counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CounterKey {
    pub service: String,
    pub version: String,
    pub lane: String,
    pub cached: bool,
    pub role: GroupRole,
}

impl CounterKey {
    fn new(assignment: &Assignment) -> Self {
        CounterKey {
            service: assignment.service.clone(),
            version: assignment.version.clone(),
            lane: assignment.lane.clone(),
            cached: assignment.cached,
            role: assignment.role,
        }
    }
}

/// Cumulative counts of one cell.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AttemptCounts {
    pub sent: u64,
    pub succeeded: u64,
    pub failed: u64,
    pub slow: u64,
    pub first_chunks: u64,
    /// Sum of the logarithms of the times to first chunks.
    pub first_chunk_log_sum: u64,
    /// Replicas that failed, one or a few to a bit.
    pub failed_replicas: u64,
}

/// Streams that are counted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StreamKey {
    replica: String,
    version: String,
}

impl StreamKey {
    fn new(assignment: &Assignment) -> Self {
        StreamKey {
            replica: assignment.replica.clone(),
            version: assignment.version.clone(),
        }
    }

    fn open_streams(&self, streams: u32) -> OpenStreams {
        OpenStreams {
            replica: self.replica.as_str().into(),
            version: self.version.as_str().into(),
            streams,
        }
    }
}

/// All counts. Each change has a number, so that the agent can acknowledge what it has.
#[derive(Clone, Debug)]
pub(super) struct AttemptCounters {
    counts: BTreeMap<CounterKey, AttemptCounts>,
    open: BTreeMap<StreamKey, u32>,
    last_change: u64,
    /// Newest change that the agent has; 0 where it has nothing of this incarnation.
    acknowledged_change: u64,
    /// Newest change of each cell that the agent has not acknowledged.
    changed_counts: BTreeMap<CounterKey, u64>,
    changed_open: BTreeMap<StreamKey, u64>,
    /// Cells that changed since the versions of their service were last judged.
    unjudged: BTreeMap<String, BTreeSet<CounterKey>>,
    /// Requests that began to run, by tenant.
    pub usage: UsageCounters,
}

impl Default for AttemptCounters {
    fn default() -> Self {
        AttemptCounters {
            counts: BTreeMap::new(),
            open: BTreeMap::new(),
            // 0 means that nothing is acknowledged.
            last_change: 1,
            acknowledged_change: 0,
            changed_counts: BTreeMap::new(),
            changed_open: BTreeMap::new(),
            unjudged: BTreeMap::new(),
            usage: UsageCounters::default(),
        }
    }
}

impl AttemptCounters {
    /// Changes the counts of the attempt's cell.
    pub fn count(&mut self, assignment: &Assignment, change: impl FnOnce(&mut AttemptCounts)) {
        let key = CounterKey::new(assignment);
        self.last_change += 1;
        self.changed_counts.insert(key.clone(), self.last_change);
        self.unjudged
            .entry(assignment.service.clone())
            .or_default()
            .insert(key.clone());
        change(self.counts.entry(key).or_default());
    }

    /// Counts a request that began to run.
    pub fn count_usage(&mut self, cell: UsageCell) {
        self.last_change += 1;
        self.usage.count(cell, self.last_change);
    }

    /// An attempt begins.
    pub fn open(&mut self, assignment: &Assignment) {
        let key = StreamKey::new(assignment);
        self.last_change += 1;
        self.changed_open.insert(key.clone(), self.last_change);
        *self.open.entry(key).or_default() += 1;
    }

    /// An attempt is over.
    pub fn close(&mut self, assignment: &Assignment) {
        let key = StreamKey::new(assignment);
        if let Some(streams) = self.open.get_mut(&key) {
            *streams = streams.saturating_sub(1);
            if *streams == 0 {
                self.open.remove(&key);
            }
        }
        self.last_change += 1;
        self.changed_open.insert(key, self.last_change);
    }

    /// Counts of a cell.
    pub fn counts(&self, key: &CounterKey) -> Option<&AttemptCounts> {
        self.counts.get(key)
    }

    /// All cells.
    pub fn keys(&self) -> impl Iterator<Item = &CounterKey> {
        self.counts.keys()
    }

    /// Streams that are open now.
    pub fn open_streams(&self) -> impl Iterator<Item = OpenStreams> {
        self.open
            .iter()
            .filter(|(_, streams)| **streams > 0)
            .map(|(key, streams)| key.open_streams(*streams))
    }

    // ---- what the agent has ----

    /// The agent has all changes up to this one; 0 if it has none of this incarnation.
    pub fn acknowledge(&mut self, through_change: u64) {
        let acknowledged = through_change.min(self.last_change);
        self.acknowledged_change = acknowledged;
        self.changed_counts
            .retain(|_, change| *change > acknowledged);
        self.changed_open.retain(|_, change| *change > acknowledged);
    }

    /// Newest change that the agent has acknowledged.
    pub fn acknowledged_change(&self) -> u64 {
        self.acknowledged_change
    }

    /// Newest change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Cells with changes that the agent has not acknowledged.
    pub fn changed_keys(&self) -> impl Iterator<Item = &CounterKey> {
        self.changed_counts.keys()
    }

    /// Streams whose number changed since the agent acknowledged it.
    pub fn changed_open_streams(&self) -> impl Iterator<Item = OpenStreams> {
        self.changed_open
            .keys()
            .map(|key| key.open_streams(self.open.get(key).copied().unwrap_or(0)))
    }

    /// Cells of a service that changed since this was last called.
    pub fn take_unjudged(&mut self, service: &str) -> BTreeSet<CounterKey> {
        self.unjudged.remove(service).unwrap_or_default()
    }
}
