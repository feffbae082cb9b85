//! Which shared parts lately went to which replica. Bounded: the longest unused are forgotten first.

use std::collections::BTreeMap;

use crate::Ms;

/// ms. How long a prefix is taken to stay in a replica's cache.
pub(crate) const PREFIX_CACHE_TTL: Ms = 120_000;
/// Shared parts remembered; some hundred bytes each would be too dear for more.
const KEPT_PARTS: usize = 8_000;

#[derive(Clone, Debug, Default)]
pub struct Kept {
    at: BTreeMap<(u64, u64), Ms>,
}

impl Kept {
    /// `site`: the replica's life, as a number. Says whether the part was not known to be there.
    pub fn put(&mut self, site: u64, part: u64, now: Ms) -> bool {
        let new = self
            .at
            .insert((site, part), now)
            .is_none_or(|t| now.saturating_sub(t) >= PREFIX_CACHE_TTL);
        if self.at.len() <= KEPT_PARTS {
            return new;
        }
        // Half of the age that the oldest half has: seldom done, so that each request pays little for it.
        let mut ages: Vec<Ms> = self.at.values().copied().collect();
        ages.sort_unstable();
        let cut = ages[ages.len() / 4];
        self.at.retain(|_, t| *t > cut);
        new
    }
    pub fn has(&self, site: u64, part: u64, now: Ms) -> bool {
        self.at
            .get(&(site, part))
            .is_some_and(|t| now.saturating_sub(*t) < PREFIX_CACHE_TTL)
    }
    /// One part is not there after all.
    pub fn drop_part(&mut self, site: u64, part: u64) {
        self.at.remove(&(site, part));
    }
    pub fn forget(&mut self, site: u64) {
        self.at.retain(|(s, _), _| *s != site);
    }
}
