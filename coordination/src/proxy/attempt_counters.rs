//! Cumulative counts of attempts and open streams, and which changes the agent has not acknowledged yet.

use std::collections::{BTreeMap, BTreeSet};

use remote_calls::GroupRole;
use wire_messages::OpenStreams;

use super::{
    Assignment,
    usage::{UsageCell, UsageCounters},
};

/// Key of the counter cell in which an attempt is counted.
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

/// Cumulative counts of one counter cell.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AttemptCounts {
    pub sent: u64,
    pub succeeded: u64,
    pub failed: u64,
    pub slow: u64,
    pub first_chunks: u64,
    /// Sum of the logarithms of the times to the first chunk.
    pub first_chunk_log_sum: u64,
    /// Bit set of replicas that failed; several replicas may share a bit.
    pub failed_replicas: u64,
}

/// Key under which open streams are counted.
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

/// All counters. Changes are numbered so that the agent can acknowledge those that it has received.
#[derive(Clone, Debug)]
pub(super) struct AttemptCounters {
    counts: BTreeMap<CounterKey, AttemptCounts>,
    open: BTreeMap<StreamKey, u32>,
    last_change: u64,
    /// Newest change that the agent has acknowledged; 0 if it has none of this incarnation.
    acknowledged_change: u64,
    /// Newest change of each cell with unacknowledged changes.
    changed_counts: BTreeMap<CounterKey, u64>,
    changed_open: BTreeMap<StreamKey, u64>,
    /// Cells changed since the versions of their service were last judged, by service.
    unjudged: BTreeMap<String, BTreeSet<CounterKey>>,
    /// Requests that started to run, by tenant.
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
    /// Applies a change to the counts of the attempt's cell.
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

    /// Counts a request that started to run.
    pub fn count_usage(&mut self, cell: UsageCell) {
        self.last_change += 1;
        self.usage.count(cell, self.last_change);
    }

    /// Records that an attempt starts.
    pub fn open(&mut self, assignment: &Assignment) {
        let key = StreamKey::new(assignment);
        self.last_change += 1;
        self.changed_open.insert(key.clone(), self.last_change);
        *self.open.entry(key).or_default() += 1;
    }

    /// Records that an attempt ended.
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

    /// Returns the counts of a cell.
    pub fn counts(&self, key: &CounterKey) -> Option<&AttemptCounts> {
        self.counts.get(key)
    }

    /// Returns the keys of all cells.
    pub fn keys(&self) -> impl Iterator<Item = &CounterKey> {
        self.counts.keys()
    }

    /// Returns the number of open streams of each replica and version.
    pub fn open_streams(&self) -> impl Iterator<Item = OpenStreams> {
        self.open
            .iter()
            .filter(|(_, streams)| **streams > 0)
            .map(|(key, streams)| key.open_streams(*streams))
    }

    // ---- acknowledged by the agent ----

    /// Records that the agent has received all changes up to this one; 0 if it has none of this incarnation.
    pub fn acknowledge(&mut self, through_change: u64) {
        let acknowledged = through_change.min(self.last_change);
        self.acknowledged_change = acknowledged;
        self.changed_counts
            .retain(|_, change| *change > acknowledged);
        self.changed_open.retain(|_, change| *change > acknowledged);
    }

    /// Returns the newest change that the agent has acknowledged.
    pub fn acknowledged_change(&self) -> u64 {
        self.acknowledged_change
    }

    /// Returns the newest change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the keys of cells with changes that the agent has not acknowledged.
    pub fn changed_keys(&self) -> impl Iterator<Item = &CounterKey> {
        self.changed_counts.keys()
    }

    /// Returns open stream counts with changes that the agent has not acknowledged.
    pub fn changed_open_streams(&self) -> impl Iterator<Item = OpenStreams> {
        self.changed_open
            .keys()
            .map(|key| key.open_streams(self.open.get(key).copied().unwrap_or(0)))
    }

    /// Returns the cells of a service that changed since the last call.
    pub fn take_unjudged(&mut self, service: &str) -> BTreeSet<CounterKey> {
        self.unjudged.remove(service).unwrap_or_default()
    }
}
