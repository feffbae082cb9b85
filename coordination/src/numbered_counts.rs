//! Cumulative counts with numbered changes, so that a receiver can acknowledge the changes that it has received.

use std::collections::BTreeMap;

/// A count and the number of its latest change.
#[derive(Clone, Copy, Debug)]
struct NumberedCount {
    count: u64,
    change: u64,
}

/// Changed counts, oldest change first.
pub(crate) struct ChangedCounts<'a, Key> {
    /// Each key with its count.
    pub counts: Vec<(&'a Key, u64)>,
    /// The last change covered by `counts` if the limit cut off later changes; otherwise none.
    pub through_change: Option<u64>,
}

/// Cumulative counts by key.
#[derive(Clone, Debug)]
pub(crate) struct NumberedCounts<Key> {
    counts: BTreeMap<Key, NumberedCount>,
    /// Each key once, under the number of its latest change.
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
    /// Returns the count of a key, or 0 if there is none.
    pub fn get(&self, key: &Key) -> u64 {
        self.counts.get(key).map_or(0, |numbered| numbered.count)
    }

    /// Raises the count of a key under the number of the change, which must exceed all earlier ones. Ignores a count
    /// that does not exceed the current one. Returns whether the count was raised.
    pub fn raise(&mut self, key: Key, count: u64, change: u64) -> bool {
        if count <= self.get(&key) {
            return false;
        }
        let numbered = NumberedCount { count, change };
        if let Some(previous) = self.counts.insert(key.clone(), numbered) {
            self.by_change.remove(&previous.change);
        }
        self.by_change.insert(change, key);
        true
    }

    /// Returns up to `limit` counts that changed after the given change.
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

    /// Retains only the counts whose key satisfies the predicate.
    pub fn retain(&mut self, is_kept: impl Fn(&Key) -> bool) {
        self.counts.retain(|key, _| is_kept(key));
        self.by_change.retain(|_, key| is_kept(key));
    }
}
