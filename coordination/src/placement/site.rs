//! One replica as a proxy sees it: what is open there, what its answers told, whether it answers at all.

use std::collections::VecDeque;

use crate::{
    Ms,
    pass::ResponseSignals,
    placement::{Averages, TokenBucket},
};

/// ms. A replica that waits for nobody's first piece longer than this is quiet: new requests go elsewhere.
const QUIET: Ms = 900;
/// ms. A replica that failed is left alone for so long, doubled each time, at most so long.
const DOWN_FIRST: Ms = 250;
/// ms. A replica that failed is left alone for so long, doubled each time, at most so long.
const DOWN_MOST: Ms = 2_000;
/// ms. A channel that rested for longer is taken to be no longer of use: what may run once takes none.
pub const IDLE_CONNECTION_MAX_AGE: Ms = 900;
/// Proxies whose word counts: by then all requests that have another replica go there.
const DOUBT_MOST: f64 = 4.0;
/// ms. Doubt fades by e in this time: then somebody tries it again.
const DOUBT_FADES: f64 = 1_500.0;
/// Part of the doubt that stays when it answers well: one that fails half of what it gets stays in doubt.
const DOUBT_KEPT: f64 = 0.5;
/// Weight of a proxy's newest round at a replica in the part of them that it takes to fail: by three in a row it is
/// taken to fail more often than not, by one it is not.
const RISK_WEIGHT: f64 = 0.25;
/// ms. That part fades by e in this time while nothing is sent there: then somebody tries it again.
const RISK_FADES: f64 = 1_500.0;
/// Doubt from which on a replica gets none of the requests that are nominated, while others have places.
pub(crate) const DOUBT_SHUNS: f64 = 0.5;
/// ms. What an answer told of its replica's load counts for so long.
const LOAD_OLD: Ms = 1_500;
/// Weight of a new lag of first pieces against all before, and the most ms that it counts.
const LAG_WEIGHT: f64 = 0.2;
/// Weight of a new lag of first pieces against all before, and the most ms that it counts.
pub(crate) const LAG_MOST: f64 = 400.0;
/// ms. A replica's lag fades towards the average of its service by e in this time: what made it late is over by then.
const LAG_FADES: f64 = 5_000.0;
/// ms. Most that prompts of other proxies count for: beyond it they have most likely gone elsewhere or failed.
const OTHERS_MOST: f64 = 4_000.0;

#[derive(Clone, Debug)]
pub struct ReplicaView {
    /// Number of this life of the replica, for tables keyed by it.
    pub number: u64,
    pub zone: String,
    pub slots: u32,
    /// Rounds of ours that are open there, and those of them that have not had a first piece.
    pub open: u32,
    pub unheard: u32,
    /// ms of reading that our unheard rounds still need there.
    pub reading: f64,
    /// Until when prompts that other proxies sent are read there, in ms with their parts.
    others: f64,
    /// What an answer last told: running, waiting; how many of ours were open then; when.
    told: Option<(u32, u32, u32, Ms)>,
    /// When answers of ours ended whose channels rest since, oldest first.
    rests: VecDeque<Ms>,
    /// Recent rounds of ours, decaying over a second.
    rate: f64,
    rate_at: Ms,
    /// ms by which first pieces came later than expected, and when the newest of them came.
    lag: f64,
    lag_at: Option<Ms>,
    /// Failures in a row, and until when it is left alone.
    fails: u32,
    down_until: Ms,
    down_since: Option<Ms>,
    /// Proxies of the region that it lately failed, fading; since when, and who said so last.
    doubt: f64,
    doubt_at: Ms,
    doubter: String,
    /// Part of my own latest rounds there that failed, fading, and since when.
    risk: f64,
    risk_at: Ms,
    /// Since when somebody waits there, and when it was last heard.
    waits_since: Option<Ms>,
    heard_at: Ms,
    /// It bears little until then.
    cold_until: Ms,
    cold: Option<TokenBucket>,
}

impl ReplicaView {
    pub fn new(number: u64, zone: &str, slots: u32) -> Self {
        ReplicaView {
            number,
            zone: zone.into(),
            slots,
            open: 0,
            unheard: 0,
            reading: 0.0,
            others: 0.0,
            told: None,
            rests: VecDeque::new(),
            rate: 0.0,
            rate_at: 0,
            lag: 0.0,
            lag_at: None,
            fails: 0,
            down_until: 0,
            down_since: None,
            doubt: 0.0,
            doubt_at: 0,
            doubter: String::new(),
            risk: 0.0,
            risk_at: 0,
            waits_since: None,
            heard_at: 0,
            cold_until: 0,
            cold: None,
        }
    }

    // ---- what is sent ----

    pub fn send(&mut self, read_ms: f64, now: Ms) {
        self.rests.pop_back();
        self.open += 1;
        self.unheard += 1;
        self.reading += read_ms;
        self.rate = self.rate_now(now) + 1.0;
        self.rate_at = now;
        self.waits_since.get_or_insert(now);
    }
    /// An answer came whole, and its channel rests from now on.
    pub fn rested(&mut self, now: Ms) {
        self.rests.push_back(now);
        while self
            .rests
            .front()
            .is_some_and(|t| now.saturating_sub(*t) > IDLE_CONNECTION_MAX_AGE)
        {
            self.rests.pop_front();
        }
    }
    /// Whether a channel should be at hand.
    pub fn at_hand(&self, now: Ms) -> bool {
        self.rests
            .back()
            .is_some_and(|t| now.saturating_sub(*t) <= IDLE_CONNECTION_MAX_AGE)
    }
    /// Another proxy sent a prompt that takes so long to read.
    pub fn others_read(&mut self, ms: f64, now: Ms) {
        // One is read after the other, and no news is worth more than the longest that any can take.
        let now = now as f64;
        self.others = (self.others.max(now) + ms).min(now + OTHERS_MOST);
    }
    /// ms of reading that are still to be done there, as far as is known.
    pub fn reads(&self, now: Ms) -> f64 {
        self.reading + (self.others - now as f64).max(0.0)
    }
    pub fn first_piece(&mut self, read_ms: f64, late_ms: f64, averages: &Averages, now: Ms) {
        self.unheard = self.unheard.saturating_sub(1);
        self.reading = (self.reading - read_ms).max(0.0);
        let old = self.lag(averages, now);
        self.lag = (old + (late_ms - old) * LAG_WEIGHT).clamp(0.0, LAG_MOST);
        self.lag_at = Some(now);
        self.sign(now);
    }
    pub fn end(&mut self, read_ms: Option<f64>) {
        self.open = self.open.saturating_sub(1);
        if let Some(ms) = read_ms {
            self.unheard = self.unheard.saturating_sub(1);
            self.reading = (self.reading - ms).max(0.0);
        }
        if self.unheard == 0 {
            self.waits_since = None;
        }
    }

    // ---- what is heard ----

    /// Any sign of life.
    pub fn sign(&mut self, now: Ms) {
        self.heard_at = now;
        self.waits_since = (self.unheard > 0).then_some(now);
    }
    pub fn heard(&mut self, t: &ResponseSignals, now: Ms) {
        self.sign(now);
        if let Some((running, waiting, slots)) = t.load {
            self.told = Some((running, waiting, self.open, now));
            if slots > 0 {
                self.slots = slots;
            }
        }
    }
    /// Gives how long it had been down.
    pub fn well(&mut self, now: Ms) -> Option<Ms> {
        (self.fails, self.down_until) = (0, 0);
        self.down_since.take().map(|t| now.saturating_sub(t))
    }
    pub fn fail(&mut self, now: Ms) {
        // Rounds that were under way together fail together: they are one failure.
        if now < self.down_until {
            return;
        }
        self.fails += 1;
        self.down_since.get_or_insert(now);
        self.down_until = now + (DOWN_FIRST << (self.fails - 1).min(8)).min(DOWN_MOST);
    }

    /// It failed a proxy of the region. One that says so again and again is still one: its own link may be bad.
    pub fn doubted(&mut self, by: &str, now: Ms) {
        let old = self.doubt(now);
        self.doubt = if self.doubter == by {
            old.max(1.0)
        } else {
            (old + 1.0).min(DOUBT_MOST)
        };
        self.doubt_at = now;
        self.doubter = by.into();
    }
    /// A round of mine failed there, or was answered well.
    pub fn ended(&mut self, failed: bool, now: Ms) {
        let old = self.own_risk(now);
        self.risk = old + (f64::from(u8::from(failed)) - old) * RISK_WEIGHT;
        self.risk_at = now;
    }
    /// A failure that took long to show, as silence does, is remembered as long: by then the next would wait like it.
    pub fn doubted_for(&mut self, took: Ms) {
        self.doubt = self
            .doubt
            .max(DOUBT_SHUNS * (took as f64 / DOUBT_FADES).exp())
            .min(DOUBT_MOST);
    }
    /// It answered well.
    pub fn trusted(&mut self) {
        self.doubt *= DOUBT_KEPT;
    }

    // ---- what is thought of it ----

    pub fn doubt(&self, now: Ms) -> f64 {
        self.doubt * (-(now.saturating_sub(self.doubt_at) as f64) / DOUBT_FADES).exp()
    }

    fn own_risk(&self, now: Ms) -> f64 {
        self.risk * (-(now.saturating_sub(self.risk_at) as f64) / RISK_FADES).exp()
    }
    /// Probability that a round there fails, as far as it outlives one proxy's bad luck: by what this proxy saw itself,
    /// and by the word of others beyond the first.
    pub fn risk(&self, now: Ms) -> f64 {
        let others = (self.doubt(now) - 1.0).max(0.0);
        1.0 - (1.0 - self.own_risk(now)) / (1.0 + others)
    }

    /// Whether it may be tried: not lately failed, and after a failure by one round at a time.
    pub fn answers(&self, now: Ms) -> bool {
        let quiet = self
            .waits_since
            .is_some_and(|t| now.saturating_sub(t.max(self.heard_at)) > QUIET);
        now >= self.down_until && !quiet && (self.fails == 0 || self.unheard == 0)
    }
    pub fn rate_now(&self, now: Ms) -> f64 {
        self.rate * (-(now.saturating_sub(self.rate_at) as f64) / 1_000.0).exp()
    }
    /// ms by which a first piece is likely to be late: one that has not been used lately is taken to be like the others,
    /// so that a replica that is new to all proxies draws no crowd.
    pub fn lag(&self, averages: &Averages, now: Ms) -> f64 {
        let Some(at) = self.lag_at else {
            return averages.lag;
        };
        let fresh = (-(now.saturating_sub(at) as f64) / LAG_FADES).exp();
        averages.lag + (self.lag - averages.lag) * fresh
    }
    /// Requests that run or wait there, as far as can be told: the older its own word is, the more it is taken to be like
    /// the others of its service.
    pub fn load(&self, averages: &Averages, now: Ms) -> f64 {
        let mean = averages.load;
        let mine = f64::from(self.open);
        let Some((running, waiting, open, at)) = self.told else {
            return mean + mine;
        };
        let fresh = (-(now.saturating_sub(at) as f64) / LOAD_OLD as f64).exp();
        let told = f64::from(running + waiting);
        (told * fresh + mean * (1.0 - fresh) + mine - f64::from(open)).max(mine)
    }

    // ---- cold ----

    pub fn set_cold(&mut self, until: Ms, now: Ms) {
        if !self.is_cold(now) {
            self.cold = None;
        }
        self.cold_until = self.cold_until.max(until);
    }
    pub fn is_cold(&self, now: Ms) -> bool {
        now < self.cold_until
    }
    /// Whether a cold replica may get one more from this proxy, whose part is `rate` a second.
    pub fn may_warm(&mut self, rate: f64, now: Ms) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let b = self
            .cold
            .get_or_insert_with(|| TokenBucket::new(rate, 1.0, now));
        b.set_rate(rate, now);
        b.has_token(now)
    }
    pub fn warm_one(&mut self, now: Ms) {
        if let Some(b) = self.cold.as_mut().filter(|_| now < self.cold_until) {
            b.try_draw(now);
        }
    }
}
