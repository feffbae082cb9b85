//! How often a shared part that a replica has read is asked for there, as far as is heard.

use crate::limits::REUSE_WEIGHT;

#[derive(Clone, Debug, Default)]
pub struct Reuse {
    /// Prompts with shared parts, and those of them whose parts were not known to be kept where they went; both fade.
    all: f64,
    new: f64,
}

impl Reuse {
    pub fn saw(&mut self, new: bool) {
        self.all += 1.0 - self.all * REUSE_WEIGHT;
        self.new += f64::from(u8::from(new)) - self.new * REUSE_WEIGHT;
    }
    /// Times that what is read now will be asked for, if it is like what was read before. One that has heard of
    /// little thinks of this prompt alone.
    pub fn times(&self) -> f64 {
        (self.all + 1.0) / (self.new + 1.0)
    }
}
