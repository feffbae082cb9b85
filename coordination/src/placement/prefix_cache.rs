//! Which prefix blocks were lately sent to which replica, so that they are likely in its KV cache.
//! Memory is bounded: blocks unused for longest are forgotten first.

use std::collections::BTreeMap;

use crate::Ms;

/// How long a prefix is assumed to stay in a replica's cache.
pub(crate) const PREFIX_CACHE_TTL: Ms = 120_000;
/// Cached blocks remembered; at some hundred bytes each, more would be too dear.
const CACHED_BLOCKS_MAX: usize = 8_000;

/// One block in the cache of one incarnation of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CachedBlock {
    replica_number: u64,
    block: u64,
}

/// A proxy's assumption of what replicas have cached.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    last_sent_at: BTreeMap<CachedBlock, Ms>,
}

impl PrefixCache {
    /// Records that a block was sent to a replica. Says whether it was not known to be cached there.
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

    /// Evicts many blocks at once, so that it is seldom done and each request pays little for it.
    fn evict_oldest_quarter(&mut self) {
        let mut sent_times: Vec<Ms> = self.last_sent_at.values().copied().collect();
        sent_times.sort_unstable();
        let cutoff = sent_times[sent_times.len() / 4];
        self.last_sent_at.retain(|_, sent_at| *sent_at > cutoff);
    }

    /// Whether a block is assumed to be cached at a replica.
    pub fn contains(&self, replica_number: u64, block: u64, now: Ms) -> bool {
        let key = CachedBlock {
            replica_number,
            block,
        };
        self.last_sent_at
            .get(&key)
            .is_some_and(|sent_at| now.saturating_sub(*sent_at) < PREFIX_CACHE_TTL)
    }

    /// A block turned out not to be cached.
    pub fn remove_block(&mut self, replica_number: u64, block: u64) {
        self.last_sent_at.remove(&CachedBlock {
            replica_number,
            block,
        });
    }

    /// A replica is gone or runs other weights: nothing of before is cached there.
    pub fn remove_replica(&mut self, replica_number: u64) {
        self.last_sent_at
            .retain(|cached, _| cached.replica_number != replica_number);
    }
}
