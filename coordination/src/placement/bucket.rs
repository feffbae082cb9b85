//! A bucket of tokens that fills at a rate and saves up no more than its depth.

use crate::Ms;

#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens a second, and most that are saved up.
    rate: f64,
    depth: f64,
    left: f64,
    at: Ms,
}

impl TokenBucket {
    /// Begins empty: whoever has just started does not know what was drawn before.
    pub fn new(rate: f64, depth: f64, now: Ms) -> Self {
        TokenBucket {
            rate,
            depth,
            left: 0.0,
            at: now,
        }
    }
    pub fn set_rate(&mut self, rate: f64, now: Ms) {
        self.fill(now);
        self.rate = rate;
    }
    fn fill(&mut self, now: Ms) {
        let gone = now.saturating_sub(self.at) as f64 / 1_000.0;
        self.left = (self.left + gone * self.rate).min(self.depth);
        self.at = self.at.max(now);
    }
    pub fn has_token(&mut self, now: Ms) -> bool {
        self.fill(now);
        self.left >= 1.0
    }
    pub fn try_draw(&mut self, now: Ms) -> bool {
        let has = self.has_token(now);
        if has {
            self.left -= 1.0;
        }
        has
    }
}
