//! The condition under which a write is accepted.

/// What must be current for a write to be accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Expect {
    /// The write is accepted on top of any value.
    #[default]
    Any,
    /// This version of the key; 0: no value yet.
    Version(u64),
    /// A spec of this release of the operator's; 0: none yet.
    Release(u64),
    /// This version was current when the order was given. The same value is accepted under any version.
    UnchangedSince(u64),
}

impl From<Option<u64>> for Expect {
    fn from(version: Option<u64>) -> Self {
        version.map_or(Expect::Any, Expect::Version)
    }
}
