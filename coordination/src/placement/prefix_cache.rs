//! Tracks which prefix blocks were recently sent to which replica and are therefore likely in its KV cache. Memory is
//! bounded: the least recently sent blocks are evicted first.

use std::collections::BTreeMap;

use crate::Ms;

/// Time for which a prefix is assumed to remain in a replica's cache, in ms.
pub(crate) const PREFIX_CACHE_TTL: Ms = 120_000;
/// Maximum number of tracked blocks; at some hundred bytes each, more would take too much memory.
const CACHED_BLOCKS_MAX: usize = 8_000;

/// A block in the cache of one incarnation of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CachedBlock {
    replica_number: u64,
    block: u64,
}

/// What a proxy assumes to be in the replicas' caches.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    last_sent_at: BTreeMap<CachedBlock, Ms>,
}

impl PrefixCache {
    /// Records that a block was sent to a replica. Returns whether it was not assumed to be cached there.
    pub fn insert(&mut self, replica_number: u64, block: u64, now: Ms) -> bool {
        let key = CachedBlock {
            replica_number,
            block,
        };
        let is_new = self
            .last_sent_at
            .insert(key, now)
            .is_none_or(|sent_at| now.saturating_sub(sent_at) >= PREFIX_CACHE_TTL);
        if self.last_sent_at.len() > CACHED_BLOCKS_MAX {
            self.evict_oldest_quarter();
        }
        is_new
    }

    /// Evicts many blocks at once, so that evictions are rare and their amortized cost per request is low.
    fn evict_oldest_quarter(&mut self) {
        let mut sent_times: Vec<Ms> = self.last_sent_at.values().copied().collect();
        sent_times.sort_unstable();
        let cutoff = sent_times[sent_times.len() / 4];
        self.last_sent_at.retain(|_, sent_at| *sent_at > cutoff);
    }

    /// Returns whether a block is assumed to be cached on a replica.
    pub fn contains(&self, replica_number: u64, block: u64, now: Ms) -> bool {
        let key = CachedBlock {
            replica_number,
            block,
        };
        self.last_sent_at
            .get(&key)
            .is_some_and(|sent_at| now.saturating_sub(*sent_at) < PREFIX_CACHE_TTL)
    }

    /// Removes a block that turned out not to be cached.
    pub fn remove_block(&mut self, replica_number: u64, block: u64) {
        self.last_sent_at.remove(&CachedBlock {
            replica_number,
            block,
        });
    }

    /// Removes all blocks of a replica that is gone or runs another version of the weights.
    pub fn remove_replica(&mut self, replica_number: u64) {
        self.last_sent_at
            .retain(|cached, _| cached.replica_number != replica_number);
    }
}
