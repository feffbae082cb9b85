//! Counts over time: sums since this process started counting, since the last restart, and within windows.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use wire_messages::{Name, OutcomeCounters};

use super::counts::OutcomeCounts;
use crate::Ms;

/// Windows over which failure rates are computed, in ms: short ones detect a version that has just become unhealthy,
/// long ones an unhealthy version of a service with little traffic.
pub(crate) const HEALTH_WINDOWS: [Ms; 6] = [1_000, 2_000, 4_000, 8_000, 16_000, 30_000];
/// Longest window, in ms.
pub(super) const LONG_WINDOW: Ms = HEALTH_WINDOWS[HEALTH_WINDOWS.len() - 1];
/// No window: everything since the last restart. Failures on a rarely used lane are too far apart for any window.
pub(super) const SINCE_RESTART: Ms = Ms::MAX;
/// Minimum time between the ends of stored windows, in ms.
const WINDOW_SPACING: Ms = 250;

/// Key by which requests are counted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CounterKey {
    pub(super) version: Name,
    pub(super) lane: Name,
    pub(super) cached: bool,
}

impl CounterKey {
    pub(super) fn new(counters: &OutcomeCounters) -> Self {
        CounterKey {
            version: counters.version.clone(),
            lane: counters.lane.clone(),
            cached: counters.cached != 0,
        }
    }

    pub(super) fn has_version(&self, version: &str) -> bool {
        &*self.version == version
    }
}

/// Index of a key, used in its place because there are many keys and their names are long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct KeyIndex(u32);

impl KeyIndex {
    fn position(self) -> usize {
        self.0 as usize
    }
}

/// Counts added to one key.
#[derive(Clone, Copy, Debug)]
struct Addition {
    key: KeyIndex,
    counts: OutcomeCounts,
}

/// Counts added between the end of the previous window and the end of this one. Keys without additions are not stored:
/// most lanes are idle most of the time.
#[derive(Clone, Debug)]
struct EndedWindow {
    ended_at: Ms,
    /// Sorted by key.
    additions: Vec<Addition>,
}

impl EndedWindow {
    fn of_key(&self, key: KeyIndex) -> OutcomeCounts {
        self.additions
            .binary_search_by_key(&key, |addition| addition.key)
            .map_or(OutcomeCounts::default(), |i| self.additions[i].counts)
    }
}

/// Counts by key over time.
#[derive(Clone, Debug, Default)]
pub(super) struct CounterWindows {
    keys: BTreeMap<CounterKey, KeyIndex>,
    /// Sums over all sources, by key.
    totals: Vec<OutcomeCounts>,
    /// Totals at the last restart, to subtract from `totals`.
    restart_totals: Vec<OutcomeCounts>,
    ended: VecDeque<EndedWindow>,
    /// Number of `ended` windows from before the last restart, including the one that the restart ended.
    ended_before_restart: usize,
    /// Counts added since the last window ended.
    current: BTreeMap<KeyIndex, OutcomeCounts>,
}

impl CounterWindows {
    /// Returns a key's index; adds the key if it is new.
    pub(super) fn index_or_insert(&mut self, key: CounterKey) -> KeyIndex {
        let next = KeyIndex(self.totals.len() as u32);
        let index = *self.keys.entry(key).or_insert(next);
        if index == next {
            self.totals.push(OutcomeCounts::default());
        }
        index
    }

    pub(super) fn add(&mut self, key: KeyIndex, added: OutcomeCounts) {
        if added == OutcomeCounts::default() {
            return;
        }
        let total = &mut self.totals[key.position()];
        *total = total.plus(added);
        let current = self.current.entry(key).or_default();
        *current = current.plus(added);
    }

    pub(super) fn tick(&mut self, now: Ms) {
        let is_recent = |window: &EndedWindow| now.saturating_sub(window.ended_at) < WINDOW_SPACING;
        if self.ended.back().is_some_and(is_recent) {
            return;
        }
        self.end_window(now);
        // One window older than the longest window stays, as it marks where that window starts.
        let is_old = |window: &EndedWindow| now.saturating_sub(window.ended_at) > LONG_WINDOW;
        while self.ended.get(1).is_some_and(is_old) {
            self.ended.pop_front();
            self.ended_before_restart = self.ended_before_restart.saturating_sub(1);
        }
    }

    fn end_window(&mut self, now: Ms) {
        let additions = std::mem::take(&mut self.current)
            .into_iter()
            .map(|(key, counts)| Addition { key, counts })
            .collect();
        self.ended.push_back(EndedWindow {
            ended_at: now,
            additions,
        });
    }

    /// Excludes earlier counts from all sums but `total` and `sum_across_restarts`.
    pub(super) fn restart(&mut self, now: Ms) {
        self.end_window(now);
        self.ended_before_restart = self.ended.len();
        self.restart_totals = self.totals.clone();
    }

    /// Returns the position of the oldest relevant window: the one that the last restart ended, while it is stored.
    fn first_position(&self) -> usize {
        self.ended_before_restart.saturating_sub(1)
    }

    /// Returns the time since the oldest relevant window ended, in ms; 0 if there is none.
    pub(super) fn age(&self, now: Ms) -> Ms {
        self.ended
            .get(self.first_position())
            .map_or(0, |window| now.saturating_sub(window.ended_at))
    }

    /// Returns the lanes on which a version has counts.
    pub(super) fn lanes_of(&self, version: &str) -> Vec<&Name> {
        let keys = self.keys.keys().filter(|key| key.has_version(version));
        let mut lanes: Vec<&Name> = keys.map(|key| &key.lane).collect();
        lanes.dedup();
        lanes
    }

    /// Returns the lanes on which any version has counts.
    pub(super) fn all_lanes(&self) -> BTreeSet<&Name> {
        self.keys.keys().map(|key| &key.lane).collect()
    }

    /// Sums the selected keys' counts since this process started counting.
    pub(super) fn total(&self, selects: impl Fn(&CounterKey) -> bool) -> OutcomeCounts {
        self.keys
            .iter()
            .filter(|(key, _)| selects(key))
            .map(|(_, index)| self.totals[index.position()])
            .fold(OutcomeCounts::default(), OutcomeCounts::plus)
    }

    /// Sums the selected keys' counts within the last `window` ms.
    pub(super) fn sum(
        &self,
        now: Ms,
        window: Ms,
        selects: impl Fn(&CounterKey) -> bool,
    ) -> OutcomeCounts {
        let is_selected = self.selection(selects);
        let mut sum = OutcomeCounts::default();
        self.visit(now, window, |key, counts| {
            if is_selected[key.position()] {
                sum = sum.plus(counts);
            }
        });
        sum
    }

    /// Sums the selected keys' counts within the last `window` ms, including counts from before the last restart.
    pub(super) fn sum_across_restarts(
        &self,
        now: Ms,
        window: Ms,
        selects: impl Fn(&CounterKey) -> bool,
    ) -> OutcomeCounts {
        let is_selected = self.selection(selects);
        let first = self
            .last_ended_before(now, window)
            .map_or(0, |before| before + 1);
        let ended = self.ended.iter().skip(first);
        ended
            .flat_map(|window| &window.additions)
            .map(|addition| (addition.key, addition.counts))
            .chain(self.current.iter().map(|(key, counts)| (*key, *counts)))
            .filter(|(key, _)| is_selected[key.position()])
            .fold(OutcomeCounts::default(), |sum, (_, counts)| {
                sum.plus(counts)
            })
    }

    /// Returns for each key index whether the key is selected.
    fn selection(&self, selects: impl Fn(&CounterKey) -> bool) -> Vec<bool> {
        let mut is_selected = vec![false; self.totals.len()];
        for (key, index) in &self.keys {
            is_selected[index.position()] = selects(key);
        }
        is_selected
    }

    /// Sums a version's counts on each lane within the last `window` ms, in one pass over all counts because there are
    /// many lanes.
    pub(super) fn sums_by_lane(
        &self,
        now: Ms,
        window: Ms,
        version: &str,
    ) -> BTreeMap<&Name, OutcomeCounts> {
        let mut lanes: Vec<Option<&Name>> = vec![None; self.totals.len()];
        for (key, index) in &self.keys {
            if key.has_version(version) {
                lanes[index.position()] = Some(&key.lane);
            }
        }
        let mut sums: BTreeMap<&Name, OutcomeCounts> = BTreeMap::new();
        self.visit(now, window, |key, counts| {
            if let Some(lane) = lanes[key.position()] {
                let sum = sums.entry(lane).or_default();
                *sum = sum.plus(counts);
            }
        });
        sums
    }

    /// Sums one key's counts within the last `window` ms.
    pub(super) fn sum_of_key(&self, key: &CounterKey, now: Ms, window: Ms) -> OutcomeCounts {
        let Some(key) = self.keys.get(key).copied() else {
            return OutcomeCounts::default();
        };
        let Some(start) = self.window_start(now, window) else {
            return self.since_restart(key);
        };
        let ended = self.ended.iter().skip(start + 1);
        ended
            .map(|window| window.of_key(key))
            .chain(self.current.get(&key).copied())
            .fold(OutcomeCounts::default(), OutcomeCounts::plus)
    }

    /// Returns the position of the last stored window that ended before the last `window` ms; all later additions lie
    /// within them. None if the last restart was later.
    fn window_start(&self, now: Ms, window: Ms) -> Option<usize> {
        self.last_ended_before(now, window)
            .filter(|position| *position >= self.first_position())
    }

    fn last_ended_before(&self, now: Ms, window: Ms) -> Option<usize> {
        self.ended
            .iter()
            .rposition(|ended| now.saturating_sub(ended.ended_at) >= window)
    }

    fn since_restart(&self, key: KeyIndex) -> OutcomeCounts {
        let position = key.position();
        let before = self.restart_totals.get(position).copied();
        self.totals[position].minus(before.unwrap_or_default())
    }

    /// Passes all counts within the last `window` ms to the visitor.
    fn visit(&self, now: Ms, window: Ms, mut visitor: impl FnMut(KeyIndex, OutcomeCounts)) {
        let Some(start) = self.window_start(now, window) else {
            for index in 0..self.totals.len() as u32 {
                visitor(KeyIndex(index), self.since_restart(KeyIndex(index)));
            }
            return;
        };
        for ended in self.ended.iter().skip(start + 1) {
            for addition in &ended.additions {
                visitor(addition.key, addition.counts);
            }
        }
        for (key, counts) in &self.current {
            visitor(*key, *counts);
        }
    }

    /// Returns the largest number of the selected keys' failures within `burst` ms of each other in the last `window`
    /// ms.
    pub(super) fn largest_burst(
        &self,
        now: Ms,
        window: Ms,
        burst: Ms,
        selects: impl Fn(&CounterKey) -> bool,
    ) -> u64 {
        let failures = self.cumulative_failures(now, window, selects);
        let bursts = failures.iter().enumerate().map(|(i, first)| {
            let last = failures[i..]
                .iter()
                .take_while(|later| later.at - first.at <= burst)
                .last()
                .map_or(first.sum, |later| later.sum);
            last - first.sum
        });
        bursts.max().unwrap_or(0)
    }

    fn selected_keys(&self, selects: impl Fn(&CounterKey) -> bool) -> BTreeSet<KeyIndex> {
        self.keys
            .iter()
            .filter(|(key, _)| selects(key))
            .map(|(_, index)| *index)
            .collect()
    }

    /// Returns the failures from the start of the last `window` ms to the end of each stored window in it, and to now.
    fn cumulative_failures(
        &self,
        now: Ms,
        window: Ms,
        selects: impl Fn(&CounterKey) -> bool,
    ) -> Vec<FailuresUntil> {
        let selected = self.selected_keys(selects);
        let failed = |key: &KeyIndex, counts: &OutcomeCounts| {
            if selected.contains(key) {
                counts.failed
            } else {
                0
            }
        };
        let start = self
            .window_start(now, window)
            .unwrap_or_else(|| self.first_position());
        let mut sum = 0;
        let mut failures: Vec<FailuresUntil> = vec![];
        for ended in self.ended.iter().skip(start) {
            // Additions of the first window precede the compared time.
            if !failures.is_empty() {
                let additions = ended.additions.iter();
                sum += additions
                    .map(|addition| failed(&addition.key, &addition.counts))
                    .sum::<u64>();
            }
            failures.push(FailuresUntil {
                at: ended.ended_at,
                sum,
            });
        }
        let current = self.current.iter();
        sum += current
            .map(|(key, counts)| failed(key, counts))
            .sum::<u64>();
        failures.push(FailuresUntil { at: now, sum });
        failures
    }
}

/// Failures counted up to a time.
struct FailuresUntil {
    at: Ms,
    sum: u64,
}
