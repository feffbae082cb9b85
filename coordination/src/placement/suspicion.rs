//! How far a replica is suspected of failing what it is sent, although it may pass its health checks.
//!
//! There are two sources: failures that proxies of the region report, this one among them, and the outcomes of this
//! proxy's own attempts. Both decay, so that somebody tries the replica again.

use crate::Ms;

/// Reporters that count at most: by then all requests that have another replica go there.
const REPORTERS_MAX: f64 = 4.0;
/// ms in which the suspicion decays by e.
const SUSPICION_DECAY_MS: f64 = 1_500.0;
/// Fraction of the suspicion that remains after a success: a replica that fails half of its requests stays suspected.
const SUSPICION_LEFT_AFTER_SUCCESS: f64 = 0.5;
/// Suspicion from which on a replica gets no requests by named service while other replicas have free slots.
pub(crate) const SUSPICION_AVOID_THRESHOLD: f64 = 0.5;
/// Weight of the newest attempt in this proxy's own failure rate: three failures in a row take it above one half, one
/// does not.
const FAILURE_RATE_WEIGHT: f64 = 0.25;
/// ms in which the own failure rate decays by e while nothing is sent.
const FAILURE_RATE_DECAY_MS: f64 = 1_500.0;

/// What speaks against a replica.
#[derive(Clone, Debug, Default)]
pub struct Suspicion {
    /// Proxies of the region that the replica lately failed, decayed as of `reported_at`.
    reporters: f64,
    reported_at: Ms,
    last_reporter: String,
    /// Fraction of this proxy's latest attempts that failed, decayed as of `attempted_at`.
    own_failure_rate: f64,
    attempted_at: Ms,
}

fn decayed(value: f64, elapsed: Ms, decay_ms: f64) -> f64 {
    value * (-(elapsed as f64) / decay_ms).exp()
}

impl Suspicion {
    /// Proxies of the region that the replica lately failed.
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

    /// Probability that an attempt fails, as far as it is more than one proxy's bad luck: by this proxy's own attempts,
    /// and by the reporters beyond the first.
    pub fn failure_probability(&self, now: Ms) -> f64 {
        let other_reporters = (self.level(now) - 1.0).max(0.0);
        1.0 - (1.0 - self.own_failure_rate(now)) / (1.0 + other_reporters)
    }

    /// The replica failed a proxy of the region. A proxy that reports again still counts once: its own link may be bad.
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

    /// An attempt of this proxy failed, or succeeded.
    pub fn on_own_attempt(&mut self, failed: bool, now: Ms) {
        let rate = self.own_failure_rate(now);
        self.own_failure_rate = rate + (f64::from(u8::from(failed)) - rate) * FAILURE_RATE_WEIGHT;
        self.attempted_at = now;
    }

    /// A failure that took long to show, as a timeout does, is remembered as long: until then the next request would
    /// wait like this one.
    pub fn extend_for(&mut self, took: Ms) {
        self.reporters = self
            .reporters
            .max(SUSPICION_AVOID_THRESHOLD * (took as f64 / SUSPICION_DECAY_MS).exp())
            .min(REPORTERS_MAX);
    }

    /// The replica completed a request.
    pub fn on_success(&mut self) {
        self.reporters *= SUSPICION_LEFT_AFTER_SUCCESS;
    }
}
