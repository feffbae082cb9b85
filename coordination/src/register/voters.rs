//! Who votes, and what a voter takes over from others.

use wire_messages::{Name, Slot, Voter};

use super::{Registers, change};
use crate::{Effects, Row, effect::log_event, events};

impl Registers {
    /// Marks a blank disk as one of those that found the system: under member epoch 0 the voters are the places of
    /// those who will, with disks that nobody knows yet.
    pub fn bootstrap_with(&mut self, places: &[Name]) {
        let mut places = places.to_vec();
        places.sort();
        places.dedup();
        self.voters = places
            .into_iter()
            .map(|addr| Voter {
                addr,
                ..Voter::default()
            })
            .collect();
    }

    /// Follows a member epoch. Everything owned is given up: its votes were counted over other voters.
    pub fn adopt_members(
        &mut self,
        member_epoch: u32,
        before: u32,
        voters: Vec<Voter>,
        out: &mut Effects,
    ) {
        if member_epoch <= self.member_epoch {
            return;
        }
        let keys: Vec<Name> = self.ownerships.keys().cloned().collect();
        keys.iter().for_each(|k| self.relinquish(k, out));
        (self.member_epoch, self.previous_voter_count, self.voters) =
            (member_epoch, before, voters);
        out.push(log_event(
            events::MEMBER_EPOCH,
            &self.name,
            format!("epoch {member_epoch}"),
        ));
    }
    pub fn members_row(&self) -> Row {
        Row::Members {
            member_epoch: self.member_epoch,
            before: self.previous_voter_count,
            voters: self.voters.clone(),
            voting: self.voting,
            left: self.retired,
        }
    }
    /// Takes over another voter's slots: the newest accepted value and the highest promise of each key.
    pub fn catch_up(&mut self, slots: &[Slot]) -> Vec<Row> {
        for s in slots {
            self.highest_epoch = self.highest_epoch.max(s.promised_epoch);
            let m = self.slot_mut(&s.key);
            m.promised_epoch = m.promised_epoch.max(s.promised_epoch);
            if (s.accepted_epoch, s.version) > (m.accepted_epoch, m.version) {
                (m.accepted_epoch, m.version, m.value, m.committed_version) = (
                    s.accepted_epoch,
                    s.version,
                    s.value.clone(),
                    s.committed_version,
                );
                m.replaced = s.replaced.clone();
                if s.committed_version == s.version {
                    let c = change(s);
                    self.newly_committed.push(c);
                }
            }
        }
        self.slots.values().cloned().map(Row::Slot).collect()
    }
    /// Learns what another daemon knows to be committed.
    pub fn repair(&mut self, slots: &[Slot], out: &mut Effects) {
        for s in slots
            .iter()
            .filter(|s| s.committed_version == s.version && s.version > 0)
        {
            self.on_commit(&change(s), &s.replaced, out);
        }
    }
}
