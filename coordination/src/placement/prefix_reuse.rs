//! Estimates how often each shared prefix is requested in this region, as far as this proxy knows.

/// Weight of one long prompt in the reuse estimate, which covers about the last two thousand prompts.
const REUSE_WEIGHT: f64 = 0.0005;

/// Decaying counts of prompts with a shared prefix.
#[derive(Clone, Debug, Default)]
pub struct PrefixReuse {
    prompts: f64,
    /// Prompts whose shared prefix had not been requested before.
    new_prefixes: f64,
}

impl PrefixReuse {
    /// Counts one prompt with a shared prefix.
    pub fn record(&mut self, is_new: bool) {
        self.prompts += 1.0 - self.prompts * REUSE_WEIGHT;
        self.new_prefixes += f64::from(u8::from(is_new)) - self.new_prefixes * REUSE_WEIGHT;
    }

    /// Returns how often each prefix was requested so far, as a prediction of how often it will be requested again.
    pub fn requests_per_prefix(&self) -> f64 {
        (self.prompts + 1.0) / (self.new_prefixes + 1.0)
    }
}
