//! Epochs (proposal numbers): they order the owners of a key.
//!
//! An epoch is made of a round, the member epoch and the rank of the voter that takes it. Two voters never make the same
//! one: within a member epoch their ranks differ, and across member epochs the middle part does.

use wire_messages::Slot;

use crate::Row;

/// The row that keeps the highest epoch under which this daemon may have proposed anything; it is no key.
pub(super) const EPOCHS_KEY: &str = "epochs";

/// The round is above these bits.
const ROUND_SHIFT: u32 = 24;
/// The member epoch is above these bits, below the round.
const MEMBER_EPOCH_SHIFT: u32 = 8;
/// The bits of a member epoch that fit between rank and round.
const MEMBER_EPOCH_MASK: u32 = 0xffff;
/// The rank of a daemon that is none of the voters.
pub(super) const NON_VOTER_RANK: u64 = 0xff;

/// Makes epochs above all that this daemon has seen.
#[derive(Clone, Debug, Default)]
pub(super) struct EpochGenerator {
    highest: u64,
}

impl EpochGenerator {
    /// Takes note of an epoch, so that the next one is above it.
    pub(super) fn observe(&mut self, epoch: u64) {
        self.highest = self.highest.max(epoch);
    }

    pub(super) fn highest(&self) -> u64 {
        self.highest
    }

    /// The next epoch: its round is above that of every epoch seen, and nobody else makes the same number.
    pub(super) fn next(&mut self, member_epoch: u32, rank: u64) -> u64 {
        let round = (self.highest >> ROUND_SHIFT) + 1;
        let member_part = u64::from(member_epoch & MEMBER_EPOCH_MASK) << MEMBER_EPOCH_SHIFT;
        self.highest = (round << ROUND_SHIFT) | member_part | rank;
        self.highest
    }

    /// The row that is synced before anything is proposed under the highest epoch: after a crash it is not made again.
    pub(super) fn row(&self) -> Row {
        Row::Slot(Slot {
            key: EPOCHS_KEY.into(),
            promised_epoch: self.highest(),
            ..Slot::default()
        })
    }
}
