//! One replica as a proxy sees it: what is open there, what its responses reported, whether it responds at all.

use std::collections::VecDeque;

use super::{ServiceAverages, TokenBucket, suspicion::Suspicion};
use crate::{Ms, exchange::ResponseSignals};

/// A replica on which attempts wait for their first chunk and which sends nothing for longer is unresponsive: new
/// requests go elsewhere.
const UNRESPONSIVE_AFTER: Ms = 900;
/// Backoff after a first failure; it doubles with each further one in a row.
const FAILURE_BACKOFF_MIN: Ms = 250;
/// Longest backoff after failures in a row.
const FAILURE_BACKOFF_MAX: Ms = 2_000;
/// Doublings after which the backoff is at its longest for certain; bounds the shift.
const BACKOFF_DOUBLINGS_MAX: u32 = 8;
/// A connection that was idle for longer may have been closed by its peer: requests that run at most once take none.
pub const IDLE_CONNECTION_MAX_AGE: Ms = 900;
/// ms in which a replica's reported load decays by e towards the average of its service.
const LOAD_DECAY_MS: f64 = 1_500.0;
/// Weight of a new first-chunk lag against all before.
const FIRST_CHUNK_LAG_WEIGHT: f64 = 0.2;
/// Most ms that a first-chunk lag counts.
pub(crate) const FIRST_CHUNK_LAG_MAX_MS: f64 = 400.0;
/// ms in which a replica's lag decays by e towards the average of its service: what made it late is over by then.
const FIRST_CHUNK_LAG_DECAY_MS: f64 = 5_000.0;
/// Most ms of prefill that count for prompts of other proxies: beyond it they have most likely gone elsewhere or failed.
const PEER_PREFILL_MAX_MS: f64 = 4_000.0;
/// ms in which the rate of this proxy's own attempts decays by e, so that the sum of recent attempts is a rate a second.
const ATTEMPT_RATE_DECAY_MS: f64 = 1_000.0;
/// Tokens that the slow start bucket saves up: attempts at a cold replica never come in bursts.
const SLOW_START_BUCKET_DEPTH: f64 = 1.0;

/// Load that a response reported.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    running: u32,
    waiting: u32,
    /// Attempts of this proxy that were open then.
    open_attempts: u32,
    at: Ms,
}

/// One incarnation of a replica.
#[derive(Clone, Debug, Default)]
pub struct ReplicaView {
    /// Number of this incarnation, for tables keyed by it.
    pub number: u64,
    /// Zone that the replica runs in.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How far its failures are known.
    pub suspicion: Suspicion,
    /// Attempts of this proxy that are open there, and those of them that wait for their first chunk.
    open_attempts: u32,
    awaiting_first_chunk: u32,
    /// ms of prefill that the waiting attempts still need.
    own_prefill_ms: f64,
    /// Time in ms, with fractions, until which prompts of other proxies are prefilled there.
    peer_prefill_until_ms: f64,
    reported_load: Option<ReportedLoad>,
    /// When connections became idle, oldest first.
    idle_since: VecDeque<Ms>,
    /// Recent attempts of this proxy, decayed as of `sent_at`.
    attempt_rate: f64,
    sent_at: Ms,
    /// ms by which first chunks arrived later than expected, and when the newest of them came.
    first_chunk_lag_ms: f64,
    first_chunk_at: Option<Ms>,
    /// Failures in a row, until when nothing is sent after them, and when the first of them was.
    failures: u32,
    backoff_until: Ms,
    failing_since: Option<Ms>,
    /// Since when some attempt waits without a sign of life, and when the replica last gave one.
    waiting_since: Option<Ms>,
    last_response_at: Ms,
    slow_start_until: Ms,
    slow_start_bucket: Option<TokenBucket>,
}

impl ReplicaView {
    /// A replica of which nothing is known but its zone and number of slots.
    pub fn new(number: u64, zone: &str, slots: u32) -> Self {
        ReplicaView {
            number,
            zone: zone.into(),
            slots,
            ..ReplicaView::default()
        }
    }

    // ---- attempts of this proxy ----

    /// An attempt goes to the replica; its prompt takes `prefill_ms` to prefill.
    pub fn on_sent(&mut self, prefill_ms: f64, now: Ms) {
        self.idle_since.pop_back();
        self.open_attempts += 1;
        self.awaiting_first_chunk += 1;
        self.own_prefill_ms += prefill_ms;
        self.attempt_rate = self.attempts_per_second(now) + 1.0;
        self.sent_at = now;
        self.waiting_since.get_or_insert(now);
        self.draw_slow_start(now);
    }

    /// The first chunk of an attempt came `late_ms` later than expected.
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
        self.record_sign_of_life(now);
    }

    /// An attempt is over. `unfinished_prefill_ms`: its prefill, if no first chunk has come.
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

    /// Attempts a second that this proxy lately sent there.
    pub fn attempts_per_second(&self, now: Ms) -> f64 {
        let elapsed = now.saturating_sub(self.sent_at) as f64;
        self.attempt_rate * (-elapsed / ATTEMPT_RATE_DECAY_MS).exp()
    }

    // ---- idle connections ----

    /// A response is complete, and its connection is idle from now on.
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

    /// Whether an idle connection should be available.
    pub fn has_idle_connection(&self, now: Ms) -> bool {
        self.idle_since
            .back()
            .is_some_and(|since| now.saturating_sub(*since) <= IDLE_CONNECTION_MAX_AGE)
    }

    // ---- prefill ----

    /// Another proxy sent a prompt that takes this long to prefill.
    pub fn on_peer_prefill(&mut self, prefill_ms: f64, now: Ms) {
        // Prompts are prefilled one after the other; no report counts for more than the longest prefill that may be due.
        let now = now as f64;
        self.peer_prefill_until_ms =
            (self.peer_prefill_until_ms.max(now) + prefill_ms).min(now + PEER_PREFILL_MAX_MS);
    }

    /// ms of prefill that are still due there, as far as is known.
    pub fn pending_prefill_ms(&self, now: Ms) -> f64 {
        self.own_prefill_ms + (self.peer_prefill_until_ms - now as f64).max(0.0)
    }

    // ---- responses ----

    fn record_sign_of_life(&mut self, now: Ms) {
        self.last_response_at = now;
        self.waiting_since = (self.awaiting_first_chunk > 0).then_some(now);
    }

    /// A response's head came.
    pub fn on_response_head(&mut self, signals: &ResponseSignals, now: Ms) {
        self.record_sign_of_life(now);
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

    /// ms by which a first chunk is likely to be late. A replica that was not used lately is assumed to be like the
    /// others, so that one that is new to all proxies draws no crowd.
    pub fn first_chunk_lag_ms(&self, averages: &ServiceAverages, now: Ms) -> f64 {
        let Some(at) = self.first_chunk_at else {
            return averages.first_chunk_lag_ms;
        };
        let freshness = (-(now.saturating_sub(at) as f64) / FIRST_CHUNK_LAG_DECAY_MS).exp();
        averages.first_chunk_lag_ms
            + (self.first_chunk_lag_ms - averages.first_chunk_lag_ms) * freshness
    }

    /// Requests that run or wait there, as far as is known: the older its report, the more it is assumed to be like the
    /// others of its service.
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

    /// It responds as it should. Gives how long it had failed before, if it did.
    pub fn on_recovered(&mut self, now: Ms) -> Option<Ms> {
        self.failures = 0;
        self.backoff_until = 0;
        self.failing_since
            .take()
            .map(|since| now.saturating_sub(since))
    }

    /// An attempt failed by the replica's fault.
    pub fn on_failure(&mut self, now: Ms) {
        // Attempts that were in flight together fail together: they are one failure.
        if now < self.backoff_until {
            return;
        }
        self.failures += 1;
        self.failing_since.get_or_insert(now);
        let doublings = (self.failures - 1).min(BACKOFF_DOUBLINGS_MAX);
        self.backoff_until = now + (FAILURE_BACKOFF_MIN << doublings).min(FAILURE_BACKOFF_MAX);
    }

    /// Whether it may be tried: it responds, it is not in backoff, and after a failure one attempt goes at a time.
    pub fn is_available(&self, now: Ms) -> bool {
        let is_unresponsive = self.waiting_since.is_some_and(|since| {
            now.saturating_sub(since.max(self.last_response_at)) > UNRESPONSIVE_AFTER
        });
        now >= self.backoff_until
            && !is_unresponsive
            && (self.failures == 0 || self.awaiting_first_chunk == 0)
    }

    // ---- slow start ----

    /// It is warming up until then, and bears little.
    pub fn start_slow(&mut self, until: Ms, now: Ms) {
        if !self.is_warming_up(now) {
            self.slow_start_bucket = None;
        }
        self.slow_start_until = self.slow_start_until.max(until);
    }

    /// Whether it is still warming up.
    pub fn is_warming_up(&self, now: Ms) -> bool {
        now < self.slow_start_until
    }

    /// Whether it may get one more attempt from this proxy, whose share is `rate` a second while it warms up.
    pub fn slow_start_allows(&mut self, rate: f64, now: Ms) -> bool {
        if !self.is_warming_up(now) {
            return true;
        }
        let bucket = self
            .slow_start_bucket
            .get_or_insert_with(|| TokenBucket::new(rate, SLOW_START_BUCKET_DEPTH, now));
        bucket.set_rate(rate, now);
        bucket.has_token(now)
    }

    fn draw_slow_start(&mut self, now: Ms) {
        if now < self.slow_start_until
            && let Some(bucket) = &mut self.slow_start_bucket
        {
            bucket.try_draw(now);
        }
    }
}
