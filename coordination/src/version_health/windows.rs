//! Counts over time: sums since this process counts, since the last restart, and within windows.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use wire_messages::{Name, OutcomeCounters};

use super::counts::OutcomeCounts;
use crate::Ms;

/// ms. Windows that failure rates are taken over: short ones show a version that has just turned, long ones
/// a quiet service's.
pub(crate) const HEALTH_WINDOWS: [Ms; 6] = [1_000, 2_000, 4_000, 8_000, 16_000, 30_000];
/// ms. The longest window.
pub(super) const LONG_WINDOW: Ms = HEALTH_WINDOWS[HEALTH_WINDOWS.len() - 1];
/// No window: all since the last restart. A rare lane's failures come too far apart for any window.
pub(super) const SINCE_RESTART: Ms = Ms::MAX;
/// ms. Spacing of remembered sums.
const WINDOW_SPACING: Ms = 250;

/// What requests are counted by.
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

    pub(super) fn is_of(&self, version: &str) -> bool {
        &*self.version == version
    }
}

/// A key by its number: keys are many and their names long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct KeyIndex(u32);

impl KeyIndex {
    fn position(self) -> usize {
        self.0 as usize
    }
}

/// What was added to one key.
#[derive(Clone, Copy, Debug)]
struct Addition {
    key: KeyIndex,
    counts: OutcomeCounts,
}

/// What was added between the end of the window before and this one's. Nothing is kept of a key that nothing was
/// added to: most lanes rest most of the time.
#[derive(Clone, Debug)]
struct EndedWindow {
    ended_at: Ms,
    /// By key, in order.
    additions: Vec<Addition>,
}

impl EndedWindow {
    fn of_key(&self, key: KeyIndex) -> OutcomeCounts {
        self.additions
            .binary_search_by_key(&key, |addition| addition.key)
            .map_or(OutcomeCounts::default(), |i| self.additions[i].counts)
    }
}

/// Counts by key, over time.
#[derive(Clone, Debug, Default)]
pub(super) struct CounterWindows {
    keys: BTreeMap<CounterKey, KeyIndex>,
    /// Sums over all sources, by key.
    totals: Vec<OutcomeCounts>,
    /// Totals at the last restart: nothing before it counts.
    restart_totals: Vec<OutcomeCounts>,
    ended: VecDeque<EndedWindow>,
    /// How many of these had ended at the last restart, the one that it ended last.
    ended_before_restart: usize,
    /// Added since the last window ended.
    current: BTreeMap<KeyIndex, OutcomeCounts>,
}

impl CounterWindows {
    /// A key's number, new if the key is.
    pub(super) fn index_of(&mut self, key: CounterKey) -> KeyIndex {
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
        // One that is older than the longest window stays: it is that window's beginning.
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

    /// Begins anew. What was counted before stays known to `sum_across_restarts` alone.
    pub(super) fn restart(&mut self, now: Ms) {
        self.end_window(now);
        self.ended_before_restart = self.ended.len();
        self.restart_totals = self.totals.clone();
    }

    /// The oldest window that matters after the last restart: the one that the restart ended, while it is remembered.
    fn first_position(&self) -> usize {
        self.ended_before_restart.saturating_sub(1)
    }

    /// ms since the oldest window that matters ended; 0 without any.
    pub(super) fn age(&self, now: Ms) -> Ms {
        self.ended
            .get(self.first_position())
            .map_or(0, |window| now.saturating_sub(window.ended_at))
    }

    /// Lanes on which a version was counted.
    pub(super) fn lanes_of(&self, version: &str) -> Vec<&Name> {
        let keys = self.keys.keys().filter(|key| key.is_of(version));
        let mut lanes: Vec<&Name> = keys.map(|key| &key.lane).collect();
        lanes.dedup();
        lanes
    }

    /// Lanes on which any version was counted.
    pub(super) fn all_lanes(&self) -> BTreeSet<&Name> {
        self.keys.keys().map(|key| &key.lane).collect()
    }

    /// Counts since this process counts, of keys that are picked.
    pub(super) fn total(&self, picks: impl Fn(&CounterKey) -> bool) -> OutcomeCounts {
        self.keys
            .iter()
            .filter(|(key, _)| picks(key))
            .map(|(_, index)| self.totals[index.position()])
            .fold(OutcomeCounts::default(), OutcomeCounts::plus)
    }

    /// Counts within the last `window` ms, of keys that are picked.
    pub(super) fn sum(
        &self,
        now: Ms,
        window: Ms,
        picks: impl Fn(&CounterKey) -> bool,
    ) -> OutcomeCounts {
        let is_picked = self.are_picked(picks);
        let mut sum = OutcomeCounts::default();
        self.visit(now, window, |key, counts| {
            if is_picked[key.position()] {
                sum = sum.plus(counts);
            }
        });
        sum
    }

    /// Counts within the last `window` ms, of keys that are picked, those from before the last restart too.
    pub(super) fn sum_across_restarts(
        &self,
        now: Ms,
        window: Ms,
        picks: impl Fn(&CounterKey) -> bool,
    ) -> OutcomeCounts {
        let is_picked = self.are_picked(picks);
        let first = self
            .last_ended_before(now, window)
            .map_or(0, |before| before + 1);
        let ended = self.ended.iter().skip(first);
        ended
            .flat_map(|window| &window.additions)
            .map(|addition| (addition.key, addition.counts))
            .chain(self.current.iter().map(|(key, counts)| (*key, *counts)))
            .filter(|(key, _)| is_picked[key.position()])
            .fold(OutcomeCounts::default(), |sum, (_, counts)| {
                sum.plus(counts)
            })
    }

    /// Of each key, by its number, whether it is picked.
    fn are_picked(&self, picks: impl Fn(&CounterKey) -> bool) -> Vec<bool> {
        let mut is_picked = vec![false; self.totals.len()];
        for (key, index) in &self.keys {
            is_picked[index.position()] = picks(key);
        }
        is_picked
    }

    /// What a version counted on each lane within the last `window` ms, in one go over all that was counted: lanes are
    /// many.
    pub(super) fn sums_by_lane(
        &self,
        now: Ms,
        window: Ms,
        version: &str,
    ) -> BTreeMap<&Name, OutcomeCounts> {
        let mut lanes: Vec<Option<&Name>> = vec![None; self.totals.len()];
        for (key, index) in &self.keys {
            if key.is_of(version) {
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

    /// What one key counted within the last `window` ms.
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

    /// The last window that had ended when the given one began: what came after it lies in the given one. None if the
    /// last restart came later.
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

    /// Gives all that was counted within the last `window` ms.
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

    /// Most failures that came within `burst` ms of each other in the last `window` ms, of keys that are picked.
    pub(super) fn worst_burst(
        &self,
        now: Ms,
        window: Ms,
        burst: Ms,
        picks: impl Fn(&CounterKey) -> bool,
    ) -> u64 {
        let failures = self.cumulative_failures(now, window, picks);
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

    fn pick_keys(&self, picks: impl Fn(&CounterKey) -> bool) -> BTreeSet<KeyIndex> {
        self.keys
            .iter()
            .filter(|(key, _)| picks(key))
            .map(|(_, index)| *index)
            .collect()
    }

    /// Failures from the window's beginning to the end of each remembered window in it, and to now.
    fn cumulative_failures(
        &self,
        now: Ms,
        window: Ms,
        picks: impl Fn(&CounterKey) -> bool,
    ) -> Vec<FailuresUntil> {
        let picked = self.pick_keys(picks);
        let failed = |key: &KeyIndex, counts: &OutcomeCounts| {
            if picked.contains(key) {
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
            // What the first window brought lies before all that is compared.
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

/// Failures that were counted until a time.
struct FailuresUntil {
    at: Ms,
    sum: u64,
}
