//! A proxy's view of one replica: open attempts, idle connections, reported load, and whether it responds.

use std::collections::VecDeque;

use super::{
    ServiceAverages, WarmupShare,
    slow_start::{Warmup, WarmupSign},
    suspicion::Suspicion,
};
use crate::{Ms, exchange::ResponseSignals};

/// Time without any data from a replica, while attempts wait for their first chunk, after which it counts as
/// unresponsive and gets no new requests, in ms.
const UNRESPONSIVE_AFTER: Ms = 900;
/// Backoff after the first failure, in ms; it doubles with each consecutive failure.
const FAILURE_BACKOFF_MIN: Ms = 250;
/// Maximum backoff after consecutive failures, in ms.
const FAILURE_BACKOFF_MAX: Ms = 2_000;
/// Maximum number of doublings, at which the backoff has reached its maximum; bounds the shift.
const BACKOFF_DOUBLINGS_MAX: u32 = 8;
/// Maximum age of an idle connection, in ms: after that its peer may have closed it, so requests that run at most once
/// do not use it.
pub const IDLE_CONNECTION_MAX_AGE: Ms = 900;
/// Time constant with which a replica's reported load decays towards the average of its service, in ms.
const LOAD_DECAY_MS: f64 = 1_500.0;
/// Weight of a new first-chunk lag in the estimate.
const FIRST_CHUNK_LAG_WEIGHT: f64 = 0.2;
/// Maximum first-chunk lag that is recorded, in ms.
pub(crate) const FIRST_CHUNK_LAG_MAX_MS: f64 = 400.0;
/// Time constant with which a replica's lag decays towards the average of its service, in ms: the cause of the lag is
/// over by then.
const FIRST_CHUNK_LAG_DECAY_MS: f64 = 5_000.0;
/// Maximum pending prefill that is assumed for prompts of other proxies, in ms: beyond it these have most likely failed
/// or been sent to other replicas.
const PEER_PREFILL_MAX_MS: f64 = 4_000.0;
/// Time constant with which the rate of this proxy's own attempts decays, in ms; with this value the decayed sum of
/// recent attempts is a rate per second.
const ATTEMPT_RATE_DECAY_MS: f64 = 1_000.0;
/// Age up to which attempts are remembered one by one, in ms: the window in which a replica's warm-up limit counts.
const RECENT_ATTEMPT_MAX_AGE: Ms = 1_000;
/// Maximum number of attempts that are remembered one by one.
const RECENT_ATTEMPTS_MAX: usize = 32;

/// Load reported in a response.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    running: u32,
    waiting: u32,
    /// This proxy's open attempts when the report arrived.
    open_attempts: u32,
    at: Ms,
}

/// State of one incarnation of a replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicaView {
    /// Number of this incarnation, used as a table key.
    pub number: u64,
    /// Zone of the replica.
    pub zone: String,
    /// Number of requests that the replica runs concurrently.
    pub slots: u32,
    /// How strongly the replica is suspected of failing.
    pub suspicion: Suspicion,
    /// This proxy's open attempts, and how many of them wait for their first chunk.
    open_attempts: u32,
    awaiting_first_chunk: u32,
    /// Pending prefill of the waiting attempts, in ms.
    own_prefill_ms: f64,
    /// Time until which prompts of other proxies are prefilled, in ms with fractions.
    peer_prefill_until_ms: f64,
    reported_load: Option<ReportedLoad>,
    /// Times at which connections became idle, oldest first.
    idle_since: VecDeque<Ms>,
    /// Recent attempts of this proxy, decayed as of `sent_at`.
    attempt_rate: f64,
    sent_at: Ms,
    /// Times of the newest attempts of this proxy that were sent as to a warm replica, oldest first.
    full_rate_attempts: VecDeque<Ms>,
    /// Delay of first chunks relative to the expected time, in ms, and the time of the newest first chunk.
    first_chunk_lag_ms: f64,
    first_chunk_at: Option<Ms>,
    /// Consecutive failures, the end of the backoff after them, and the time of the first of them.
    failures: u32,
    backoff_until: Ms,
    failing_since: Option<Ms>,
    /// Time since which some attempt has waited without any data, and the time of the last data from the replica.
    waiting_since: Option<Ms>,
    last_response_at: Ms,
    /// The newest warm-up, which may be complete.
    warmup: Option<Warmup>,
}

impl ReplicaView {
    /// Creates the view of a replica of which only the zone and the number of slots are known.
    pub fn new(number: u64, zone: &str, slots: u32) -> Self {
        ReplicaView {
            number,
            zone: zone.into(),
            slots,
            ..ReplicaView::default()
        }
    }

    // ---- attempts of this proxy ----

    /// Records that an attempt was sent, whose prompt takes `prefill_ms` to prefill.
    pub fn on_sent(&mut self, prefill_ms: f64, now: Ms) {
        self.idle_since.pop_back();
        self.open_attempts += 1;
        self.awaiting_first_chunk += 1;
        self.own_prefill_ms += prefill_ms;
        self.attempt_rate = self.attempts_per_second(now) + 1.0;
        self.sent_at = now;
        self.waiting_since.get_or_insert(now);
        if let Some(warmup) = self.warmup.as_mut().filter(|warmup| now < warmup.until) {
            warmup.on_sent(now);
        } else {
            self.remember_full_rate_attempt(now);
        }
    }

    fn remember_full_rate_attempt(&mut self, now: Ms) {
        if self.full_rate_attempts.len() >= RECENT_ATTEMPTS_MAX {
            self.full_rate_attempts.pop_front();
        }
        self.full_rate_attempts.push_back(now);
    }

    /// Returns how many attempts this proxy has recently sent as to a warm replica.
    pub fn recent_full_rate_attempts(&self, now: Ms) -> usize {
        let is_recent = |at: &&Ms| now.saturating_sub(**at) < RECENT_ATTEMPT_MAX_AGE;
        self.full_rate_attempts.iter().filter(is_recent).count()
    }

    /// Records that the first chunk of an attempt arrived `late_ms` later than expected.
    pub fn on_first_chunk(
        &mut self,
        prefill_ms: f64,
        late_ms: f64,
        averages: &ServiceAverages,
        now: Ms,
    ) {
        self.remove_waiting_attempt(prefill_ms);
        let lag_ms = self.first_chunk_lag_ms(averages, now);
        self.first_chunk_lag_ms = (lag_ms + (late_ms - lag_ms) * FIRST_CHUNK_LAG_WEIGHT)
            .clamp(0.0, FIRST_CHUNK_LAG_MAX_MS);
        self.first_chunk_at = Some(now);
        self.record_activity(now);
    }

    /// Records that an attempt ended. `unfinished_prefill_ms`: its prefill time, if no first chunk was received.
    pub fn on_attempt_ended(&mut self, unfinished_prefill_ms: Option<f64>) {
        self.open_attempts = self.open_attempts.saturating_sub(1);
        if let Some(prefill_ms) = unfinished_prefill_ms {
            self.remove_waiting_attempt(prefill_ms);
        }
        if self.awaiting_first_chunk == 0 {
            self.waiting_since = None;
        }
    }

    fn remove_waiting_attempt(&mut self, prefill_ms: f64) {
        self.awaiting_first_chunk = self.awaiting_first_chunk.saturating_sub(1);
        self.own_prefill_ms = (self.own_prefill_ms - prefill_ms).max(0.0);
    }

    /// Returns the recent rate of this proxy's attempts, per second.
    pub fn attempts_per_second(&self, now: Ms) -> f64 {
        let elapsed = now.saturating_sub(self.sent_at) as f64;
        self.attempt_rate * (-elapsed / ATTEMPT_RATE_DECAY_MS).exp()
    }

    // ---- idle connections ----

    /// Records that a response is complete and its connection has become idle.
    pub fn on_connection_idle(&mut self, now: Ms) {
        self.idle_since.push_back(now);
        while self
            .idle_since
            .front()
            .is_some_and(|since| now.saturating_sub(*since) > IDLE_CONNECTION_MAX_AGE)
        {
            self.idle_since.pop_front();
        }
    }

    /// Returns whether an idle connection should be available.
    pub fn has_idle_connection(&self, now: Ms) -> bool {
        self.idle_since
            .back()
            .is_some_and(|since| now.saturating_sub(*since) <= IDLE_CONNECTION_MAX_AGE)
    }

    // ---- prefill ----

    /// Records that another proxy sent a prompt that takes this long to prefill.
    pub fn on_peer_prefill(&mut self, prefill_ms: f64, now: Ms) {
        // Prompts are prefilled one after the other. The sum is capped at the longest prefill that may be pending.
        let now = now as f64;
        self.peer_prefill_until_ms =
            (self.peer_prefill_until_ms.max(now) + prefill_ms).min(now + PEER_PREFILL_MAX_MS);
    }

    /// Returns the known pending prefill, in ms.
    pub fn pending_prefill_ms(&self, now: Ms) -> f64 {
        self.own_prefill_ms + (self.peer_prefill_until_ms - now as f64).max(0.0)
    }

    // ---- responses ----

    fn record_activity(&mut self, now: Ms) {
        self.last_response_at = now;
        self.waiting_since = (self.awaiting_first_chunk > 0).then_some(now);
    }

    /// Processes the head of a response.
    pub fn on_response_head(&mut self, signals: &ResponseSignals, now: Ms) {
        self.record_activity(now);
        if let Some((running, waiting, slots)) = signals.load {
            self.reported_load = Some(ReportedLoad {
                running,
                waiting,
                open_attempts: self.open_attempts,
                at: now,
            });
            if slots > 0 {
                self.slots = slots;
            }
        }
    }

    /// Returns the expected delay of a first chunk, in ms. A replica that was not used recently is assumed to be like
    /// the others, so that one that is new to all proxies does not attract all requests.
    pub fn first_chunk_lag_ms(&self, averages: &ServiceAverages, now: Ms) -> f64 {
        let Some(at) = self.first_chunk_at else {
            return averages.first_chunk_lag_ms;
        };
        let freshness = (-(now.saturating_sub(at) as f64) / FIRST_CHUNK_LAG_DECAY_MS).exp();
        averages.first_chunk_lag_ms
            + (self.first_chunk_lag_ms - averages.first_chunk_lag_ms) * freshness
    }

    /// Returns the estimated number of running and waiting requests. The older the replica's report, the closer the
    /// estimate is to the average of its service.
    pub fn load(&self, averages: &ServiceAverages, now: Ms) -> f64 {
        let average = averages.load;
        let own = f64::from(self.open_attempts);
        let Some(report) = self.reported_load else {
            return average + own;
        };
        let freshness = (-(now.saturating_sub(report.at) as f64) / LOAD_DECAY_MS).exp();
        let reported = f64::from(report.running + report.waiting);
        (reported * freshness + average * (1.0 - freshness) + own - f64::from(report.open_attempts))
            .max(own)
    }

    // ---- failures ----

    /// Records that the replica responds normally. Returns how long it had been failing, if it had.
    pub fn on_recovered(&mut self, now: Ms) -> Option<Ms> {
        self.failures = 0;
        self.backoff_until = 0;
        self.failing_since
            .take()
            .map(|since| now.saturating_sub(since))
    }

    /// Records an attempt that failed through the replica's fault.
    pub fn on_failure(&mut self, now: Ms) {
        // Attempts that were in flight together fail together and count as one failure.
        if now < self.backoff_until {
            return;
        }
        self.failures += 1;
        self.failing_since.get_or_insert(now);
        let doublings = (self.failures - 1).min(BACKOFF_DOUBLINGS_MAX);
        self.backoff_until = now + (FAILURE_BACKOFF_MIN << doublings).min(FAILURE_BACKOFF_MAX);
    }

    /// Returns whether the replica may be tried: it responds and is not in backoff. After a failure it gets one attempt
    /// at a time.
    pub fn is_available(&self, now: Ms) -> bool {
        let is_unresponsive = self.waiting_since.is_some_and(|since| {
            now.saturating_sub(since.max(self.last_response_at)) > UNRESPONSIVE_AFTER
        });
        now >= self.backoff_until
            && !is_unresponsive
            && (self.failures == 0 || self.awaiting_first_chunk == 0)
    }

    // ---- slow start ----

    /// Marks the replica as warming up; meanwhile it can serve only a low rate.
    pub(super) fn start_slow(&mut self, sign: WarmupSign, now: Ms) {
        if !self.is_warming_up(now) {
            self.warmup = Some(Warmup::new(sign, self.sent_at));
        }
        if let Some(warmup) = &mut self.warmup {
            warmup.until = warmup.until.max(sign.until);
        }
    }

    /// Returns the warm-up that is in progress.
    pub(super) fn warmup(&self, now: Ms) -> Option<&Warmup> {
        self.warmup.as_ref().filter(|warmup| now < warmup.until)
    }

    /// Returns whether the replica is still warming up.
    pub fn is_warming_up(&self, now: Ms) -> bool {
        self.warmup(now).is_some()
    }

    /// Returns whether the replica may get another attempt from this proxy, which has this share during warm-up.
    pub fn slow_start_allows(&mut self, share: &WarmupShare, now: Ms) -> bool {
        let warmup = self.warmup.as_mut().filter(|warmup| now < warmup.until);
        warmup.is_none_or(|warmup| warmup.allows(share, now))
    }
}
