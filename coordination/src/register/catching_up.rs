//! Adoption of state from other daemons: changes of the member configuration, and the slots of other voters.

use wire_messages::{Name, Slot, Voter};

use super::{
    MemberConfig, Registers,
    slots::{AcceptedStamp, committed_change, is_committed},
};
use crate::{Effects, Row, effect::log_event, events};

impl Registers {
    /// Sets the addresses of the daemons that bootstrap the system; called for a blank disk.
    pub fn set_bootstrap_addrs(&mut self, addrs: &[Name]) {
        self.members.set_bootstrap_addrs(addrs);
    }

    /// Adopts a later member epoch. Relinquishes all keys, as their promises came from another set of voters.
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

    /// Returns the row that stores the member configuration.
    pub fn members_row(&self) -> Row {
        self.members.row()
    }

    /// Merges another voter's slots: for each key the newest accepted value and the highest promise. Once the slots of
    /// a majority are merged, this disk refuses everything that this majority would have refused. Returns the rows to
    /// sync.
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

    /// Stores the values that another daemon knows to be committed.
    pub fn repair(&mut self, slots: &[Slot], out: &mut Effects) {
        for slot in slots.iter().filter(|slot| is_committed(slot)) {
            self.on_commit(&committed_change(slot), &slot.replaced, out);
        }
    }
}
