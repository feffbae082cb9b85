//! A token bucket: it fills at a rate and saves up no more than its depth.

use crate::Ms;

/// A token bucket whose clock is passed in.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens_per_second: f64,
    depth: f64,
    available: f64,
    filled_at: Ms,
}

impl TokenBucket {
    /// An empty bucket: a process that has just started does not know what was drawn before.
    /// `rate` is in tokens a second, `depth` is the most tokens that are saved up.
    pub fn new(rate: f64, depth: f64, now: Ms) -> Self {
        TokenBucket {
            tokens_per_second: rate,
            depth,
            available: 0.0,
            filled_at: now,
        }
    }

    /// Changes the rate, in tokens a second, from now on.
    pub fn set_rate(&mut self, rate: f64, now: Ms) {
        self.refill(now);
        self.tokens_per_second = rate;
    }

    fn refill(&mut self, now: Ms) {
        let elapsed_seconds = now.saturating_sub(self.filled_at) as f64 / 1_000.0;
        self.available =
            (self.available + elapsed_seconds * self.tokens_per_second).min(self.depth);
        self.filled_at = self.filled_at.max(now);
    }

    /// Whether a token could be drawn now.
    pub fn has_token(&mut self, now: Ms) -> bool {
        self.refill(now);
        self.available >= 1.0
    }

    /// Draws one token if there is one, and says whether it did.
    pub fn try_draw(&mut self, now: Ms) -> bool {
        let has_token = self.has_token(now);
        if has_token {
            self.available -= 1.0;
        }
        has_token
    }
}
