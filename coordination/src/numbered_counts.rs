//! Cumulative counts whose changes are numbered, so that a receiver can say which of them it has.

use std::collections::BTreeMap;

/// A count and the number of its newest change.
#[derive(Clone, Copy, Debug)]
struct NumberedCount {
    count: u64,
    change: u64,
}

/// Counts that changed, oldest change first.
pub(crate) struct ChangedCounts<'a, Key> {
    /// Each key with its count.
    pub counts: Vec<(&'a Key, u64)>,
    /// The change up to which these are all, where they are not all that changed.
    pub through_change: Option<u64>,
}

/// Cumulative counts by key.
#[derive(Clone, Debug)]
pub(crate) struct NumberedCounts<Key> {
    counts: BTreeMap<Key, NumberedCount>,
    /// Each key once, by its newest change.
    by_change: BTreeMap<u64, Key>,
}

impl<Key> Default for NumberedCounts<Key> {
    fn default() -> Self {
        NumberedCounts {
            counts: BTreeMap::new(),
            by_change: BTreeMap::new(),
        }
    }
}

impl<Key: Ord + Clone> NumberedCounts<Key> {
    /// The count of a key; 0 where there is none.
    pub fn get(&self, key: &Key) -> u64 {
        self.counts.get(key).map_or(0, |numbered| numbered.count)
    }

    /// Raises the count of a key under the number of the change, which must be above all numbers before. A count that is
    /// no larger than the known one changes nothing; returns whether it was.
    pub fn raise(&mut self, key: Key, count: u64, change: u64) -> bool {
        if count <= self.get(&key) {
            return false;
        }
        let numbered = NumberedCount { count, change };
        if let Some(former) = self.counts.insert(key.clone(), numbered) {
            self.by_change.remove(&former.change);
        }
        self.by_change.insert(change, key);
        true
    }

    /// Up to `limit` counts that changed after a change.
    pub fn changed_after(&self, change: u64, limit: usize) -> ChangedCounts<'_, Key> {
        let mut changes = self.by_change.range(change.saturating_add(1)..);
        let page: Vec<(&u64, &Key)> = changes.by_ref().take(limit).collect();
        let last_change = page.last().map(|(change, _)| **change);
        ChangedCounts {
            counts: page
                .into_iter()
                .map(|(_, key)| (key, self.get(key)))
                .collect(),
            through_change: changes.next().and(last_change),
        }
    }

    /// Keeps the counts of these keys alone.
    pub fn retain(&mut self, is_kept: impl Fn(&Key) -> bool) {
        self.counts.retain(|key, _| is_kept(key));
        self.by_change.retain(|_, key| is_kept(key));
    }
}
