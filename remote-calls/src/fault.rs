//! Builders for [`Fault`], the one shape in which every call reports an error.

use crate::{Fault, Outcome};

impl Fault {
    /// A fault with a stable `code`, the `step` that failed, and a message for people.
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

    /// Names the field of the request or document that is at fault.
    pub fn field(mut self, field: impl Into<String>) -> Self {
        self.field = Some(field.into());
        self
    }

    /// Names the process that was called.
    pub fn peer(mut self, peer: impl Into<String>) -> Self {
        self.peer = Some(peer.into());
        self
    }

    /// Says whether the request has run.
    pub fn outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = Some(outcome);
        self
    }

    /// Asks the caller to retry after so many ms.
    pub fn retry(mut self, after_ms: u64) -> Self {
        self.retry_after_ms = Some(after_ms);
        self
    }

    /// Names the version that is current.
    pub fn version(mut self, version: u64) -> Self {
        self.version = Some(version);
        self
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            formatter,
            "{} at {}: {}",
            self.code, self.step, self.message
        )?;
        if let Some(field) = &self.field {
            write!(formatter, " (field {field})")?;
        }
        if let Some(peer) = &self.peer {
            write!(formatter, " (peer {peer})")?;
        }
        Ok(())
    }
}

impl std::error::Error for Fault {}
