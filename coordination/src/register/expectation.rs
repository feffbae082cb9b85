//! The condition under which a write is accepted.

/// What must be current for a write to be accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Expect {
    /// The write is accepted on top of any value.
    #[default]
    Any,
    /// This version of the key; 0: no value.
    Version(u64),
    /// A spec with this release number; 0: no spec.
    Release(u64),
    /// The version that was current when the write was submitted. If the key already has the same value, the write is
    /// accepted under any version.
    UnchangedSince(u64),
}

impl From<Option<u64>> for Expect {
    fn from(version: Option<u64>) -> Self {
        version.map_or(Expect::Any, Expect::Version)
    }
}
