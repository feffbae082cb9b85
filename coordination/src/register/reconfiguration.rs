//! Reconfiguration: how this daemon follows a change of the voters, and catches up before it votes.
//!
//! The voters are the value of a key. A change takes effect at each daemon once that knows it to be committed, and ends
//! the former member epoch there. A new voter reads voters that have ended the former member epoch on their disks, until
//! these were a majority of it: nothing more can be accepted under that epoch then, and whatever was accepted is on the
//! disk of one of them.

use std::collections::BTreeSet;

use wire_messages::{List, Name, Slot, SlotsReply, SlotsRequest, Voter};

use super::{MEMBERS_KEY, Registers};
use crate::{
    Effect, Effects, Ms,
    effect::{log_event, send},
    events, voter_placement,
};

/// `SlotsReply::voting`: the sender does not vote in its member epoch.
const REPLY_NOT_VOTING: u8 = 0;
/// `SlotsReply::voting`: the sender votes.
const REPLY_VOTING: u8 = 1;
/// `SlotsReply::voting`: the sender voted until the member epoch that gave its place away.
const REPLY_RETIRED: u8 = 2;

/// What catching up has come to in this member epoch, and which disk it is for.
#[derive(Clone, Debug)]
pub(super) struct CatchUp {
    /// The data folder's own number: voters are listed by it, as a process may come back with another disk.
    disk_id: u64,
    /// Daemons whose slots were taken over in this member epoch.
    sources: BTreeSet<Name>,
}

impl CatchUp {
    pub(super) fn new(disk_id: u64) -> Self {
        CatchUp {
            disk_id,
            sources: BTreeSet::new(),
        }
    }
}

/// What another daemon's slots have changed here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotsReplyOutcome {
    /// A later member epoch was adopted.
    pub voters_changed: bool,
    /// This daemon votes from now on.
    pub voting_started: bool,
    /// The slots were a voter's of this member epoch.
    pub compared_with_voter: bool,
}

impl Registers {
    /// The data folder's own number.
    pub fn disk_id(&self) -> u64 {
        self.catch_up.disk_id
    }

    /// Whether these voters include this very disk.
    pub fn is_among(&self, voters: &[Voter]) -> bool {
        voters
            .iter()
            .any(|voter| voter.disk_id == self.catch_up.disk_id)
    }

    /// Whether this very disk is a voter's.
    pub fn is_listed_voter(&self) -> bool {
        self.is_among(&self.members.voters)
    }

    /// Whether a daemon's slots were taken over in this member epoch.
    pub fn has_caught_up_from(&self, daemon: &Name) -> bool {
        self.catch_up.sources.contains(daemon)
    }

    /// The first voters: nobody ever voted before, so that there is no lease to wait out.
    pub fn bootstrap_as_voter(&mut self, voters: Vec<Voter>, out: &mut Effects) {
        self.adopt_members(1, 0, voters, out);
        self.skip_lease_wait();
        self.members.voting = true;
        out.push(log_event(events::BOOTSTRAPPED, &self.name, ""));
        out.push(self.persist_members());
    }

    /// Puts the member configuration on disk.
    pub fn persist_members(&self) -> Effect {
        Effect::Persist {
            rows: vec![self.members_row()],
            then: vec![],
        }
    }

    /// Adopts voters that were committed under the members' key; `true` if there are any.
    pub fn adopt_committed_voters(&mut self, out: &mut Effects) -> bool {
        let newest = self
            .newly_committed
            .iter()
            .filter(|change| &*change.key == MEMBERS_KEY)
            .max_by_key(|change| change.version);
        let Some(newest) = newest else {
            return false;
        };
        let member_epoch = newest.version as u32 + 1;
        let Some(stored) = voter_placement::decode(&newest.value.0) else {
            return false;
        };
        let previous = stored.previous_voter_count;
        self.adopt_voters(member_epoch, previous, stored.voters, out)
    }

    /// Follows a later member epoch, and stops voting unless this disk keeps its place; `false` for an earlier one.
    fn adopt_voters(
        &mut self,
        member_epoch: u32,
        previous_voter_count: u32,
        voters: Vec<Voter>,
        out: &mut Effects,
    ) -> bool {
        let current_epoch = self.members.member_epoch;
        if member_epoch <= current_epoch {
            return false;
        }
        // Whoever lost its place and was given one again may lack what was accepted in between.
        let disk_id = self.catch_up.disk_id;
        let remains_voter = voters
            .iter()
            .any(|voter| voter.disk_id == disk_id && voter.since_epoch <= current_epoch);
        let is_retired = !remains_voter && self.members.voting && member_epoch == current_epoch + 1;
        self.adopt_members(member_epoch, previous_voter_count, voters, out);
        self.members.voting &= remains_voter;
        self.members.retired = is_retired;
        self.catch_up.sources.clear();
        out.push(self.persist_members());
        true
    }

    /// Asks another daemon for the slots that differ from this one's.
    pub fn slots_request(&self) -> SlotsRequest {
        SlotsRequest {
            member_epoch: self.members.member_epoch,
            known: self.slot_metadata(),
        }
    }

    /// Answers with this daemon's slots once all its votes are on its disk: an earlier member epoch must not come back
    /// here after a new voter has relied on its end.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "handlers take the message that they were sent"
    )]
    pub fn on_slots_request(
        &mut self,
        addr: &Name,
        request: SlotsRequest,
        now: Ms,
        out: &mut Effects,
    ) {
        self.rewrite_uncommitted(&request.known, now, out);
        let voting = if self.members.voting {
            REPLY_VOTING
        } else if self.members.retired {
            REPLY_RETIRED
        } else {
            REPLY_NOT_VOTING
        };
        let reply = SlotsReply {
            member_epoch: self.members.member_epoch,
            voting,
            previous_voter_count: self.members.previous_voter_count,
            voters: List(self.members.voters.clone()),
            slots: self.slots_differing_from(&request.known),
        };
        out.push(Effect::Persist {
            rows: vec![],
            then: vec![send(addr, reply)],
        });
    }

    /// Learns from another daemon's slots: committed values, later voters, and, while this daemon is a voter that
    /// does not vote yet, what it has to know before it does.
    pub fn on_slots_reply(
        &mut self,
        from: &Name,
        reply: SlotsReply,
        now: Ms,
        out: &mut Effects,
    ) -> SlotsReplyOutcome {
        let mut outcome = SlotsReplyOutcome::default();
        self.repair(&reply.slots, out);
        outcome.voters_changed = self.adopt_committed_voters(out);
        // The first voters are under no key.
        let is_bootstrap = self.members.member_epoch == 0
            && reply.member_epoch == 1
            && self.is_among(&reply.voters);
        if is_bootstrap {
            self.bootstrap_as_voter(reply.voters.0, out);
            outcome.voting_started = true;
        } else if reply.member_epoch > self.members.member_epoch {
            let previous = reply.previous_voter_count;
            self.adopt_voters(reply.member_epoch, previous, reply.voters.0, out);
            outcome.voters_changed = true;
        }
        if reply.member_epoch != self.members.member_epoch {
            return outcome;
        }
        outcome.compared_with_voter = reply.voting == REPLY_VOTING;
        let ended_previous_epoch = reply.voting != REPLY_NOT_VOTING;
        if !self.members.voting && self.is_listed_voter() && ended_previous_epoch {
            outcome.voting_started = self.catch_up_from(from, &reply.slots, now, out);
        }
        outcome
    }

    /// Takes over the slots of a daemon that has closed the former member epoch, and votes once enough were read; `true`
    /// if it votes from now on.
    fn catch_up_from(&mut self, from: &Name, slots: &[Slot], now: Ms, out: &mut Effects) -> bool {
        let mut rows = self.catch_up(slots);
        self.catch_up.sources.insert(from.clone());
        let has_caught_up = self.catch_up.sources.len() >= self.voters_to_read();
        if has_caught_up {
            self.start_voting(now);
            let text = format!("member epoch {}", self.members.member_epoch);
            out.push(log_event(events::VOTING, &self.name, text));
        }
        rows.push(self.members_row());
        out.push(Effect::Persist { rows, then: vec![] });
        has_caught_up
    }

    /// How many voters that have closed the former member epoch must be read: a majority of its voters. Who voted in it
    /// or has itself read so many counts. Where their number is not known, all others.
    fn voters_to_read(&self) -> usize {
        match self.members.previous_voter_count {
            0 => self.members.voters.len() - 1,
            previous => previous as usize / 2 + 1,
        }
    }
}
