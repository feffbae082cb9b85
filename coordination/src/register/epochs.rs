//! Epochs (proposal numbers), which order the owners of a key.
//!
//! An epoch consists of a round, the member epoch and the rank of the voter that generates it. Two voters never
//! generate the same epoch: within a member epoch their ranks differ, and across member epochs the middle part differs.

use wire_messages::Slot;

use crate::Row;

/// Row that stores the highest epoch under which this daemon may have proposed a value; it is not a key.
pub(super) const EPOCHS_KEY: &str = "epochs";

/// The round occupies the bits from this one up.
const ROUND_SHIFT: u32 = 24;
/// The member epoch occupies the bits from this one up to the round.
const MEMBER_EPOCH_SHIFT: u32 = 8;
/// Bits of the member epoch that fit between rank and round.
const MEMBER_EPOCH_MASK: u32 = 0xffff;
/// Rank of a daemon that is not a voter.
pub(super) const NON_VOTER_RANK: u64 = 0xff;

/// Generates epochs above all that this daemon has seen.
#[derive(Clone, Debug, Default)]
pub(super) struct EpochGenerator {
    highest: u64,
}

impl EpochGenerator {
    /// Records an epoch, so that the next one is above it.
    pub(super) fn observe(&mut self, epoch: u64) {
        self.highest = self.highest.max(epoch);
    }

    pub(super) fn highest(&self) -> u64 {
        self.highest
    }

    /// Returns the next epoch. Its round is above that of every epoch seen, and no other daemon generates the same
    /// number.
    pub(super) fn next(&mut self, member_epoch: u32, rank: u64) -> u64 {
        let round = (self.highest >> ROUND_SHIFT) + 1;
        let member_part = u64::from(member_epoch & MEMBER_EPOCH_MASK) << MEMBER_EPOCH_SHIFT;
        self.highest = (round << ROUND_SHIFT) | member_part | rank;
        self.highest
    }

    /// Returns the row to sync before anything is proposed under the highest epoch, so that the epoch is not reused
    /// after a crash.
    pub(super) fn row(&self) -> Row {
        Row::Slot(Slot {
            key: EPOCHS_KEY.into(),
            promised_epoch: self.highest(),
            ..Slot::default()
        })
    }
}
