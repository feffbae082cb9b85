//! A token bucket: it fills at a fixed rate up to its depth.

use crate::Ms;

/// A token bucket whose callers pass in the current time.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens_per_second: f64,
    depth: f64,
    available: f64,
    filled_at: Ms,
}

impl TokenBucket {
    /// Creates an empty bucket, because a process that has just started does not know what was drawn before. `rate` is
    /// in tokens per second, `depth` is the maximum number of saved tokens.
    pub fn new(rate: f64, depth: f64, now: Ms) -> Self {
        TokenBucket {
            tokens_per_second: rate,
            depth,
            available: 0.0,
            filled_at: now,
        }
    }

    /// Creates a bucket that holds a part of its depth.
    pub fn partly_filled(rate: f64, depth: f64, filled_fraction: f64, now: Ms) -> Self {
        TokenBucket {
            available: depth * filled_fraction,
            ..TokenBucket::new(rate, depth, now)
        }
    }

    /// Changes the rate, in tokens per second, from now on.
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

    /// Returns whether a token is available.
    pub fn has_token(&mut self, now: Ms) -> bool {
        self.refill(now);
        self.available >= 1.0
    }

    /// Draws one token if available, and returns whether it did.
    pub fn try_draw(&mut self, now: Ms) -> bool {
        let has_token = self.has_token(now);
        if has_token {
            self.available -= 1.0;
        }
        has_token
    }
}
