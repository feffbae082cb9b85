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
    /// accepted on top of any version.
    UnchangedSince(u64),
}

impl Expect {
    /// Returns whether the write states nothing about the current value. Such a write always becomes a new version, also
    /// if its value is current already: an older write that waits somewhere conflicts with the new version.
    pub(super) fn is_unconditional(self) -> bool {
        matches!(self, Expect::Any | Expect::UnchangedSince(_))
    }

    /// Returns whether a write whose value is current as `version` is recognized as accepted: an operator repeats a write
    /// whose outcome was unknown, and a daemon repeats one whose owner failed.
    pub(super) fn recognizes_repeat_at(self, version: u64) -> bool {
        match self {
            Expect::Version(expected) => expected + 1 == version,
            Expect::Release(_) => true,
            Expect::Any | Expect::UnchangedSince(_) => false,
        }
    }
}

impl From<Option<u64>> for Expect {
    fn from(version: Option<u64>) -> Self {
        version.map_or(Expect::Any, Expect::Version)
    }
}
