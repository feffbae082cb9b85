//! Reconfiguration: adoption of changes of the voters, and catch-up of new voters.
//!
//! The voters are the value of a key. A change takes effect at each daemon once the daemon knows it to be committed,
//! and ends the previous member epoch there. A new voter reads the slots of daemons that have synced the end of the
//! previous member epoch, until it has read a majority of that epoch's voters. Then no value can be accepted under that
//! epoch any more, and every accepted value is on the disk of one of these daemons.

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
/// `SlotsReply::voting`: the sender voted in the previous member epoch and is no longer a voter.
const REPLY_RETIRED: u8 = 2;

/// Progress of catching up in the current member epoch, and the disk id.
#[derive(Clone, Debug)]
pub(super) struct CatchUp {
    /// Id of the data directory. Voters are listed by it, as a process may restart with another disk.
    disk_id: u64,
    /// Daemons whose slots were merged in this member epoch.
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

/// What a slots reply from another daemon has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotsReplyOutcome {
    /// A later member epoch was adopted.
    pub voters_changed: bool,
    /// This daemon started voting.
    pub voting_started: bool,
    /// The slots came from a voter of this member epoch.
    pub compared_with_voter: bool,
}

impl Registers {
    /// Returns the id of the data directory.
    pub fn disk_id(&self) -> u64 {
        self.catch_up.disk_id
    }

    /// Returns whether these voters include this disk.
    pub fn is_among(&self, voters: &[Voter]) -> bool {
        voters
            .iter()
            .any(|voter| voter.disk_id == self.catch_up.disk_id)
    }

    /// Returns whether this disk is listed as a voter's.
    pub fn is_listed_voter(&self) -> bool {
        self.is_among(&self.members.voters)
    }

    /// Returns whether a daemon's slots were merged in this member epoch.
    pub fn has_caught_up_from(&self, daemon: &Name) -> bool {
        self.catch_up.sources.contains(daemon)
    }

    /// Starts voting as one of the first voters. No daemon has voted before, so there is no lease to wait for.
    pub fn bootstrap_as_voter(&mut self, voters: Vec<Voter>, out: &mut Effects) {
        self.adopt_members(1, 0, voters, out);
        self.skip_lease_wait();
        self.members.voting = true;
        out.push(log_event(events::BOOTSTRAPPED, &self.name, ""));
        out.push(self.persist_members());
    }

    /// Stores the member configuration.
    pub fn persist_members(&self) -> Effect {
        Effect::Persist {
            rows: vec![self.members_row()],
            then: vec![],
        }
    }

    /// Adopts voters committed under [`MEMBERS_KEY`]; returns whether there were newer ones.
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

    /// Adopts a later member epoch, and stops voting unless this disk remains a voter. Returns `false` for an earlier
    /// one.
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
        // A voter that was removed and added again may lack values accepted in between.
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

    /// Returns a request for the slots in which another daemon differs from this one.
    pub fn slots_request(&self) -> SlotsRequest {
        SlotsRequest {
            member_epoch: self.members.member_epoch,
            known: self.slot_metadata(),
        }
    }

    /// Replies with this daemon's slots once all its votes are synced: after a restart it must not return to an earlier
    /// member epoch that a new voter assumes to have ended.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "message handlers take their message by value"
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

    /// Handles another daemon's slots: stores committed values, adopts later voters, and merges the slots that this
    /// daemon needs before it may vote.
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
        // The first voters are not stored under any key.
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

    /// Merges the slots of a daemon that has ended the previous member epoch, and starts voting once enough were read.
    /// Returns whether it started voting.
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

    /// Returns how many daemons that have ended the previous member epoch must be read: a majority of its voters.
    /// Daemons that voted in it, or have read that many themselves, count. If its number of voters is unknown, all
    /// others must be read.
    fn voters_to_read(&self) -> usize {
        match self.members.previous_voter_count {
            0 => self.members.voters.len() - 1,
            previous => previous as usize / 2 + 1,
        }
    }
}
