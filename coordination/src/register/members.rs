//! Who votes, and what a voter takes over from others.

use wire_messages::{Name, Slot, Voter};

use super::{Registers, change};
use crate::{Effects, Row, effect::note, events};

impl Registers {
    /// Marks a blank disk as one of those that found the system: under member epoch 0 the voters are the places of
    /// those who will, with disks that nobody knows yet.
    pub fn found_with(&mut self, places: &[Name]) {
        let mut places = places.to_vec();
        places.sort();
        places.dedup();
        self.voters = places.into_iter().map(|addr| Voter { addr, ..Voter::default() }).collect();
    }

    /// Follows a member epoch. Everything owned is given up: its votes were counted over other voters.
    pub fn follow(&mut self, member_epoch: u32, before: u32, voters: Vec<Voter>, out: &mut Effects) {
        if member_epoch <= self.member_epoch {
            return;
        }
        let keys: Vec<Name> = self.own.keys().cloned().collect();
        keys.iter().for_each(|k| self.give_up(k, out));
        (self.member_epoch, self.before, self.voters) = (member_epoch, before, voters);
        out.push(note(events::MEMBERS, &self.name, format!("epoch {member_epoch}")));
    }
    pub fn members_row(&self) -> Row {
        Row::Members {
            member_epoch: self.member_epoch,
            before: self.before,
            voters: self.voters.clone(),
            voting: self.voting,
            left: self.left,
        }
    }
    /// Takes over another voter's slots: the newest accepted value and the highest promise of each key.
    pub fn catch_up(&mut self, slots: &[Slot]) -> Vec<Row> {
        for s in slots {
            self.highest = self.highest.max(s.promised_epoch);
            let m = self.slot(&s.key);
            m.promised_epoch = m.promised_epoch.max(s.promised_epoch);
            if (s.accepted_epoch, s.version) > (m.accepted_epoch, m.version) {
                (m.accepted_epoch, m.version, m.value, m.committed_version) =
                    (s.accepted_epoch, s.version, s.value.clone(), s.committed_version);
                m.replaced = s.replaced.clone();
                if s.committed_version == s.version {
                    let c = change(s);
                    self.fresh.push(c);
                }
            }
        }
        self.slots.values().cloned().map(Row::Slot).collect()
    }
    /// Learns what another daemon knows to be committed.
    pub fn mend(&mut self, slots: &[Slot], out: &mut Effects) {
        for s in slots.iter().filter(|s| s.committed_version == s.version && s.version > 0) {
            self.on_commit(&change(s), &s.replaced, out);
        }
    }
}
