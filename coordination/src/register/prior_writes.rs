//! Orders that are sent again: whether one was accepted before, though something else stands by now.
//!
//! Each accepted value of an operator's key carries what it replaced, up to [`REPLACED_VALUES_KEPT`] of them, under the same
//! majority as the value itself. An order that is older than that memory is neither accepted nor refused.

use sha2::{Digest, Sha256};
use wire_messages::{Blob, List, Name, ReplacedValue};

use super::{Expect, Registers, keeps_history};

/// Accepted values of an operator's key whose digests are kept beside the one that replaced them: an order that is
/// repeated late is known to have stood. Some 18 bytes each; at the quickest storm that was met, a change each 80 ms, it
/// reaches back twenty seconds, as long as a machine is cut off. What is older gets no clear answer.
pub const REPLACED_VALUES_KEPT: usize = 256;

/// What is known of an order that does not fit what stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PriorOutcome {
    /// It was accepted as this version, which has been replaced since.
    Accepted(u64),
    /// It was never accepted.
    Never,
    /// It may have been accepted: it is older than what is remembered.
    Forgotten,
}

/// The first half of a value's SHA-256. Two documents that share it would be taken for one order, so it must be out of
/// reach of whoever writes documents.
fn digest(value: &[u8]) -> u128 {
    let mut half = [0; 16];
    half.copy_from_slice(&Sha256::digest(value)[..16]);
    u128::from_be_bytes(half)
}

impl Registers {
    /// Whether an order was accepted before. It has lost no race then: whoever sends it again did not hear of it.
    pub(super) fn prior_outcome(
        &self,
        key: &Name,
        version: u64,
        expect: Expect,
        value: &Blob,
    ) -> PriorOutcome {
        if version == 0 {
            return PriorOutcome::Never;
        }
        // The slot is a later owner's already: nothing is told from it.
        let Some(slot) = self.slots.get(key).filter(|s| s.version == version) else {
            return PriorOutcome::Forgotten;
        };
        let oldest = version - slot.replaced.len() as u64;
        match expect {
            Expect::Any | Expect::UnchangedSince(_) => PriorOutcome::Never,
            Expect::Version(on) => match on + 1 {
                was if was >= version => PriorOutcome::Never,
                was if was < oldest => PriorOutcome::Forgotten,
                was if slot.replaced[(was - oldest) as usize].digest == digest(&value.0) => {
                    PriorOutcome::Accepted(was)
                }
                _ => PriorOutcome::Never,
            },
            Expect::Release(_) => {
                let wanted = digest(&value.0);
                if let Some(i) = slot.replaced.iter().rposition(|p| p.digest == wanted) {
                    return PriorOutcome::Accepted(oldest + i as u64);
                }
                // Releases rise with each accepted document: what was forgotten is below all that is remembered.
                let release = |value: &Blob| (self.spec_parser)(&value.0).map_or(0, |s| s.release);
                let lowest = slot
                    .replaced
                    .first()
                    .map_or_else(|| release(&slot.value), |p| p.release);
                match oldest > 1 && release(value) < lowest {
                    true => PriorOutcome::Forgotten,
                    false => PriorOutcome::Never,
                }
            }
        }
    }

    /// What stood before the version after the one that stands. It goes with the value itself, under the same majority:
    /// a record of its own could be there without the value, or lack it.
    pub(super) fn replaced_by_next(&mut self, key: &Name, version: u64) -> List<ReplacedValue> {
        let release = self.release(key, version).unwrap_or(0);
        let kept = self
            .slots
            .get(key)
            .filter(|s| keeps_history(key) && s.version == version && version > 0);
        let Some(slot) = kept else {
            return List::default();
        };
        let mut past = slot.replaced.0.clone();
        past.push(ReplacedValue {
            release,
            digest: digest(&slot.value.0),
        });
        past.drain(..past.len().saturating_sub(REPLACED_VALUES_KEPT));
        List(past)
    }

    /// The release of the document that stands as a version; none where this daemon holds another version already.
    pub(super) fn release(&mut self, key: &Name, version: u64) -> Option<u64> {
        if version == 0 {
            return Some(0);
        }
        let slot = self.slots.get(key).filter(|s| s.version == version)?;
        // Documents grow long: each is read once.
        let stamp = (slot.accepted_epoch, slot.version);
        if let Some(read) = self.releases.get(key).filter(|r| r.0 == stamp) {
            return Some(read.1);
        }
        let release = (self.spec_parser)(&slot.value.0).map_or(0, |s| s.release);
        self.releases.insert(key.clone(), (stamp, release));
        Some(release)
    }
}
