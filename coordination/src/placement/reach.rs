//! Which regions give no sign of life: one that is cut off has many replicas, and each would be tried in its turn.

use std::collections::BTreeMap;

use crate::{
    Ms,
    limits::{REGION_QUIET, REGION_TRIES},
};

#[derive(Clone, Debug, Default)]
struct Tries {
    /// Rounds that went there since the last sign of life, the first of them, and the last.
    count: u32,
    since: Ms,
    last: Ms,
}

#[derive(Clone, Debug, Default)]
pub struct Reach {
    tries: BTreeMap<String, Tries>,
}

impl Reach {
    pub fn tried(&mut self, region: &str, now: Ms) {
        let t = self.tries.entry(region.into()).or_default();
        if t.count == 0 {
            t.since = now;
        }
        (t.count, t.last) = (t.count + 1, now);
    }
    pub fn sign(&mut self, region: &str) {
        self.tries.remove(region);
    }
    /// Whether it may be tried: it gives signs of life, or it is time to look again.
    pub fn may_try(&self, region: &str, now: Ms) -> bool {
        let quiet = |t: &Tries| t.count >= REGION_TRIES && now.saturating_sub(t.since) > REGION_QUIET;
        self.tries.get(region).is_none_or(|t| !quiet(t) || now.saturating_sub(t.last) > REGION_QUIET)
    }
}
