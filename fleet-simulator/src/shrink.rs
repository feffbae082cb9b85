//! Shrinks a failing run's schedule to a smallest one that still fails in the same checker.

use coordination::policy::Policy;

use crate::{
    checkers,
    deployment::Deployment,
    effect_digest::EffectDigest,
    history::Ms,
    schedule::Schedule,
    world::{Guard, World},
};

/// What a run is but for its schedule.
pub struct Case<'a> {
    pub d: &'a Deployment,
    pub seed: u64,
    pub length: Ms,
    pub off: Option<Guard>,
    pub policy: Policy,
    /// Whether a digest of all effects is made.
    pub with_effect_digest: bool,
}

impl Case<'_> {
    pub fn world(&self, s: &Schedule) -> World {
        let mut w = World::new(self.d.clone(), self.seed, self.length, s.clone());
        w.off = self.off;
        w.policy = self.policy;
        w.effect_digest = self.with_effect_digest.then(EffectDigest::default);
        w.run();
        w
    }
    fn fails(&self, s: &Schedule, checker: &str) -> bool {
        checkers::check(&self.world(s).h)
            .iter()
            .any(|f| f.starts_with(checker))
    }

    /// The smallest schedule that this checker still fails, found by leaving out ever smaller parts of one that
    /// it fails.
    pub fn shrink(&self, s: &Schedule, checker: &str) -> Schedule {
        let mut s = s.clone();
        let mut part = s.len().div_ceil(2).max(1);
        while !s.is_empty() {
            let mut left_out = false;
            let mut i = 0;
            while i < s.len() {
                let mut less = s.clone();
                less.drain(i..(i + part).min(s.len()));
                if self.fails(&less, checker) {
                    (s, left_out) = (less, true);
                } else {
                    i += part;
                }
            }
            if part == 1 && !left_out {
                break;
            }
            part = (part / 2).max(1);
        }
        s
    }
}

#[cfg(test)]
mod tests;
