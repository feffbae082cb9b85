//! Records which prefixes, by the names that clients give them, were recently sent to which replica.

use std::collections::BTreeMap;

use crate::{Ms, placement::prefix_cache::PREFIX_CACHE_TTL};

/// Maximum number of entries; above it, entries older than half the cache lifetime are dropped.
const NAMED_PREFIXES_MAX: usize = 20_000;

/// A prefix in the cache of a replica, computed with the weights of one version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CachedPrefix {
    replica: String,
    /// Version and prefix, separated by a space.
    versioned_prefix: String,
}

impl CachedPrefix {
    fn new(replica: &str, version: &str, prefix: &str) -> Self {
        CachedPrefix {
            replica: replica.into(),
            versioned_prefix: format!("{version} {prefix}"),
        }
    }
}

/// Time at which each prefix was last sent to each replica.
#[derive(Clone, Debug, Default)]
pub(super) struct NamedPrefixCache {
    last_sent_at: BTreeMap<CachedPrefix, Ms>,
}

impl NamedPrefixCache {
    /// Records that a prompt with these prefixes is sent; returns whether any of them was cached.
    pub fn insert(&mut self, replica: &str, version: &str, prefixes: &[String], now: Ms) -> bool {
        let mut is_cached = false;
        for prefix in prefixes {
            let key = CachedPrefix::new(replica, version, prefix);
            is_cached |= self
                .last_sent_at
                .insert(key, now)
                .is_some_and(|sent_at| now.saturating_sub(sent_at) < PREFIX_CACHE_TTL);
        }
        if self.last_sent_at.len() > NAMED_PREFIXES_MAX {
            let cutoff = now.saturating_sub(PREFIX_CACHE_TTL / 2);
            self.last_sent_at.retain(|_, sent_at| *sent_at > cutoff);
        }
        is_cached
    }

    /// Returns whether a prefix was sent to a replica so recently that it should still be cached there.
    pub fn contains(&self, replica: &str, version: &str, prefix: &str, now: Ms) -> bool {
        self.last_sent_at
            .get(&CachedPrefix::new(replica, version, prefix))
            .is_some_and(|sent_at| now.saturating_sub(*sent_at) < PREFIX_CACHE_TTL)
    }

    /// Drops the prefixes of a replica that restarted, because its cache is empty.
    pub fn remove_replica(&mut self, replica: &str) {
        self.last_sent_at
            .retain(|cached, _| cached.replica != replica);
    }
}
