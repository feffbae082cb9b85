//! How often one shared part is asked for in this region, as far as is heard.

/// Weight of a long prompt in how often shared parts are asked for again: some two thousand of the last count.
const REUSE_WEIGHT: f64 = 0.0005;

#[derive(Clone, Debug, Default)]
pub struct Reuse {
    /// Prompts with shared parts, and those of them whose parts had not been asked for before; both fade.
    all: f64,
    new: f64,
}

impl Reuse {
    pub fn saw(&mut self, new: bool) {
        self.all += 1.0 - self.all * REUSE_WEIGHT;
        self.new += f64::from(u8::from(new)) - self.new * REUSE_WEIGHT;
    }
    /// Times that each part was asked for: most likely it will be as often again.
    pub fn times(&self) -> f64 {
        (self.all + 1.0) / (self.new + 1.0)
    }
}
