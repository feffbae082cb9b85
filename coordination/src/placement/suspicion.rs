//! Estimates how likely a replica is to fail requests, even if it passes its health checks.
//!
//! There are two sources: failures reported by the proxies of the region, including this one, and the outcomes of this
//! proxy's own attempts. Both decay, so that the replica is tried again.

use crate::Ms;

/// Maximum number of reporters that count: at this level all requests that can use another replica do so.
const REPORTERS_MAX: f64 = 4.0;
/// Time constant with which the suspicion decays, in ms.
const SUSPICION_DECAY_MS: f64 = 1_500.0;
/// Fraction of the suspicion that remains after a success: a replica that fails half of its requests stays suspected.
const SUSPICION_FACTOR_ON_SUCCESS: f64 = 0.5;
/// Suspicion level from which a replica gets no requests by named service while other replicas have free slots.
pub(crate) const SUSPICION_AVOID_THRESHOLD: f64 = 0.5;
/// Weight of the newest attempt in this proxy's own failure rate: three consecutive failures raise it above one half,
/// one does not.
const FAILURE_RATE_WEIGHT: f64 = 0.25;
/// Time constant with which the own failure rate decays while nothing is sent, in ms.
const FAILURE_RATE_DECAY_MS: f64 = 1_500.0;

/// Evidence that a replica fails requests.
#[derive(Clone, Debug, Default)]
pub struct Suspicion {
    /// Number of proxies of the region for which the replica recently failed, decayed as of `reported_at`.
    reporters: f64,
    reported_at: Ms,
    last_reporter: String,
    /// Fraction of this proxy's recent attempts that failed, decayed as of `attempted_at`.
    own_failure_rate: f64,
    attempted_at: Ms,
}

fn decayed(value: f64, elapsed: Ms, decay_ms: f64) -> f64 {
    value * (-(elapsed as f64) / decay_ms).exp()
}

impl Suspicion {
    /// Returns the number of proxies of the region for which the replica recently failed, decayed as of `now`.
    pub fn level(&self, now: Ms) -> f64 {
        decayed(
            self.reporters,
            now.saturating_sub(self.reported_at),
            SUSPICION_DECAY_MS,
        )
    }

    fn own_failure_rate(&self, now: Ms) -> f64 {
        decayed(
            self.own_failure_rate,
            now.saturating_sub(self.attempted_at),
            FAILURE_RATE_DECAY_MS,
        )
    }

    /// Returns the probability that an attempt fails, beyond what a fault local to one proxy explains: based on this
    /// proxy's own attempts, and on the reporters beyond the first.
    pub fn failure_probability(&self, now: Ms) -> f64 {
        let other_reporters = (self.level(now) - 1.0).max(0.0);
        1.0 - (1.0 - self.own_failure_rate(now)) / (1.0 + other_reporters)
    }

    /// Records that the replica failed a request of a proxy in the region. Repeated reports of one proxy count once,
    /// because its own link may be faulty.
    pub fn on_failure_report(&mut self, reporter: &str, now: Ms) {
        let level = self.level(now);
        self.reporters = if self.last_reporter == reporter {
            level.max(1.0)
        } else {
            (level + 1.0).min(REPORTERS_MAX)
        };
        self.reported_at = now;
        self.last_reporter = reporter.into();
    }

    /// Records the outcome of an attempt of this proxy.
    pub fn on_own_attempt(&mut self, failed: bool, now: Ms) {
        let rate = self.own_failure_rate(now);
        self.own_failure_rate = rate + (f64::from(u8::from(failed)) - rate) * FAILURE_RATE_WEIGHT;
        self.attempted_at = now;
    }

    /// Keeps the replica suspected for as long as its last failure took to detect, for example by a timeout: until then
    /// the next request would wait as long.
    pub fn extend_for(&mut self, took: Ms) {
        self.reporters = self
            .reporters
            .max(SUSPICION_AVOID_THRESHOLD * (took as f64 / SUSPICION_DECAY_MS).exp())
            .min(REPORTERS_MAX);
    }

    /// Records that the replica completed a request.
    pub fn on_success(&mut self) {
        self.reporters *= SUSPICION_FACTOR_ON_SUCCESS;
    }
}
