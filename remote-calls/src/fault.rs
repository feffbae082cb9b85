//! Short ways to build the one error shape of every call.

use crate::{Fault, Outcome};

impl Fault {
    pub fn new(code: &str, step: &str, message: impl Into<String>) -> Self {
        Fault {
            code: code.into(),
            step: step.into(),
            message: message.into(),
            field: None,
            peer: None,
            outcome: None,
            retry_after_ms: None,
            version: None,
        }
    }
    pub fn field(mut self, f: impl Into<String>) -> Self {
        self.field = Some(f.into());
        self
    }
    pub fn peer(mut self, p: impl Into<String>) -> Self {
        self.peer = Some(p.into());
        self
    }
    pub fn outcome(mut self, o: Outcome) -> Self {
        self.outcome = Some(o);
        self
    }
    pub fn retry(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
    pub fn version(mut self, v: u64) -> Self {
        self.version = Some(v);
        self
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} at {}: {}", self.code, self.step, self.message)?;
        if let Some(p) = &self.field {
            write!(f, " (field {p})")?;
        }
        if let Some(p) = &self.peer {
            write!(f, " (peer {p})")?;
        }
        Ok(())
    }
}
impl std::error::Error for Fault {}
