//! Which prefixes, by the names that callers give them, lately went to which replica.

use std::collections::BTreeMap;

use crate::{Ms, placement::prefix_cache::PREFIX_CACHE_TTL};

/// Prefixes remembered; when there are more, the older half of what may still be cached is forgotten.
const NAMED_PREFIXES_MAX: usize = 20_000;

/// A prefix in the cache of a replica, for one version of weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CachedPrefix {
    replica: String,
    /// The version and the prefix, apart by a space.
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

/// When each prefix was last sent to each replica.
#[derive(Clone, Debug, Default)]
pub(super) struct NamedPrefixCache {
    last_sent_at: BTreeMap<CachedPrefix, Ms>,
}

impl NamedPrefixCache {
    /// Records that a prompt with these prefixes is sent; says whether any of them was cached.
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

    /// Whether a prefix was lately sent to a replica, so that it should be in its cache.
    pub fn contains(&self, replica: &str, version: &str, prefix: &str, now: Ms) -> bool {
        self.last_sent_at
            .get(&CachedPrefix::new(replica, version, prefix))
            .is_some_and(|sent_at| now.saturating_sub(*sent_at) < PREFIX_CACHE_TTL)
    }

    /// The replica has restarted: its cache is empty.
    pub fn remove_replica(&mut self, replica: &str) {
        self.last_sent_at
            .retain(|cached, _| cached.replica != replica);
    }
}
