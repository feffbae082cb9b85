//! What a voter follows: changes of the member configuration, and slots that it takes over from other voters.

use wire_messages::{Name, Slot, Voter};

use super::{
    MemberConfig, Registers,
    slots::{AcceptedStamp, committed_change, is_committed},
};
use crate::{Effects, Row, effect::log_event, events};

impl Registers {
    /// Notes the addresses of the daemons that bootstrap the system, on a disk that is blank.
    pub fn set_bootstrap_addrs(&mut self, addrs: &[Name]) {
        self.members.set_bootstrap_addrs(addrs);
    }

    /// Follows a later member epoch. Everything owned is relinquished: its votes were counted over other voters.
    pub fn adopt_members(
        &mut self,
        member_epoch: u32,
        previous_voter_count: u32,
        voters: Vec<Voter>,
        out: &mut Effects,
    ) {
        if member_epoch <= self.members.member_epoch {
            return;
        }
        self.relinquish_all(out);
        self.members = MemberConfig {
            member_epoch,
            voters,
            previous_voter_count,
            ..self.members
        };
        out.push(log_event(
            events::MEMBER_EPOCH,
            &self.name,
            format!("epoch {member_epoch}"),
        ));
    }

    /// The row that keeps the member configuration on disk.
    pub fn members_row(&self) -> Row {
        self.members.row()
    }

    /// Takes over another voter's slots: of each key the newest accepted value and the highest promise. Once that is
    /// done with a majority, this disk refuses whatever that majority would have refused. Returns the rows to sync.
    pub fn catch_up(&mut self, voter_slots: &[Slot]) -> Vec<Row> {
        for voter_slot in voter_slots {
            self.epochs.observe(voter_slot.promised_epoch);
            let slot = self.slots.entry(&voter_slot.key);
            slot.promised_epoch = slot.promised_epoch.max(voter_slot.promised_epoch);
            if AcceptedStamp::of(voter_slot) <= AcceptedStamp::of(slot) {
                continue;
            }
            *slot = Slot {
                promised_epoch: slot.promised_epoch,
                ..voter_slot.clone()
            };
            if voter_slot.committed_version == voter_slot.version {
                self.newly_committed.push(committed_change(voter_slot));
            }
        }
        self.slots.iter().cloned().map(Row::Slot).collect()
    }

    /// Learns what another daemon knows to be committed.
    pub fn repair(&mut self, slots: &[Slot], out: &mut Effects) {
        for slot in slots.iter().filter(|slot| is_committed(slot)) {
            self.on_commit(&committed_change(slot), &slot.replaced, out);
        }
    }
}
