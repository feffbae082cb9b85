//! Membership of the voters: bootstrap, catching up before the first vote, and changes of who votes.

use std::collections::{BTreeMap, BTreeSet};

use wire_messages::{Bootstrap, List, Name, PeerState, Slot, SlotsReply, SlotsRequest, Voter};

use super::{Control, NO_CALLER, peers::Peer};
use crate::{
    Effect, Effects, Ms,
    effect::{log_event, send},
    events,
    register::{Expect, MEMBERS_KEY},
    timing::{HEARTBEAT_INTERVAL, PEER_TIMEOUT},
    voter_placement::{self, Candidate, VoterChange},
};

/// ms. An empty machine that came so lately replaces a lost one.
pub(super) const JOINER_WINDOW: Ms = 20_000;
/// ms. A new voter reads the others' disks in this time; longer, and its place may be given away again.
const CATCH_UP_TIMEOUT: Ms = 3_000;

/// `SlotsReply::voting`: the sender does not vote in its member epoch.
const REPLY_NOT_VOTING: u8 = 0;
/// `SlotsReply::voting`: the sender votes.
const REPLY_VOTING: u8 = 1;
/// `SlotsReply::voting`: the sender voted until the member epoch that gave its place away.
const REPLY_RETIRED: u8 = 2;

/// This daemon's own part in the membership of voters, and when it next acts on it.
#[derive(Clone, Debug)]
pub(super) struct VoterMembership {
    disk_id: u64,
    /// This process started without a member epoch on disk.
    started_blank: bool,
    /// The row of the bootstrap is not on disk yet.
    bootstrap_unsaved: bool,
    /// Daemons whose slots were read in order to catch up in this member epoch.
    caught_up_from: BTreeSet<Name>,
    next_join: Ms,
    next_voter_change: Ms,
    voters_changed_at: Ms,
}

impl VoterMembership {
    pub(super) fn new(disk_id: u64, started_blank: bool, bootstrap_unsaved: bool, now: Ms) -> Self {
        VoterMembership {
            disk_id,
            started_blank,
            bootstrap_unsaved,
            caught_up_from: BTreeSet::new(),
            next_join: 0,
            next_voter_change: 0,
            voters_changed_at: now,
        }
    }

    pub(super) fn disk_id(&self) -> u64 {
        self.disk_id
    }

    pub(super) fn started_blank(&self) -> bool {
        self.started_blank
    }

    fn is_among(&self, voters: &[Voter]) -> bool {
        voters.iter().any(|voter| voter.disk_id == self.disk_id)
    }

    /// Begins anew with voters that were adopted at `now`.
    fn on_voters_changed(&mut self, now: Ms) {
        self.caught_up_from.clear();
        self.next_join = 0;
        self.voters_changed_at = now;
    }
}

/// Where the first voters must be: names of members where these are configured, else the addresses of the seeds.
struct BootstrapPlaces<'a> {
    all: Vec<&'a Name>,
    /// This daemon's own place, whether or not it is among them.
    own: &'a Name,
    are_names: bool,
    /// The state in which daemons wait for the bootstrap.
    state: PeerState,
}

impl BootstrapPlaces<'_> {
    /// Whether a peer waits for the bootstrap at a place.
    fn is_at(&self, place: &Name, name: &Name, peer: &Peer) -> bool {
        let peer_place = if self.are_names { name } else { &peer.addr };
        peer.heartbeat.state == self.state && peer_place == place
    }
}

impl Control {
    /// Whether this very disk is a voter's.
    pub(super) fn is_listed_voter(&self) -> bool {
        self.voter_membership
            .is_among(&self.registers.members.voters)
    }

    fn persist_members(&self) -> Effect {
        Effect::Persist {
            rows: vec![self.registers.members_row()],
            then: vec![],
        }
    }

    /// Puts the row of the bootstrap on disk, once.
    pub(super) fn save_bootstrap(&mut self, out: &mut Effects) {
        if std::mem::take(&mut self.voter_membership.bootstrap_unsaved) {
            out.push(self.persist_members());
        }
    }

    /// Answers with this daemon's slots once all its votes are on its disk: an earlier member epoch must not come back
    /// here after a new voter has relied on its end.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "handlers take the message that they were sent"
    )]
    pub(super) fn on_slots_request(
        &mut self,
        addr: &Name,
        request: SlotsRequest,
        now: Ms,
        out: &mut Effects,
    ) {
        self.registers.rewrite_uncommitted(&request.known, now, out);
        let registers = &self.registers;
        let voting = if registers.members.voting {
            REPLY_VOTING
        } else if registers.members.retired {
            REPLY_RETIRED
        } else {
            REPLY_NOT_VOTING
        };
        let reply = SlotsReply {
            member_epoch: registers.members.member_epoch,
            voting,
            previous_voter_count: registers.members.previous_voter_count,
            voters: List(registers.members.voters.clone()),
            slots: registers.slots_differing_from(&request.known),
        };
        out.push(Effect::Persist {
            rows: vec![],
            then: vec![send(addr, reply)],
        });
    }

    pub(super) fn on_bootstrap(&mut self, bootstrap: Bootstrap, out: &mut Effects) {
        // Only a disk that is blank and named accepts it; a later blank disk has another number.
        if self.registers.members.member_epoch == 0
            && self.voter_membership.is_among(&bootstrap.voters)
        {
            self.begin_as_voter(bootstrap.voters.0, out);
        }
    }

    fn begin_as_voter(&mut self, voters: Vec<Voter>, out: &mut Effects) {
        self.registers.adopt_members(1, 0, voters, out);
        // Nobody ever voted before: there is no lease to wait out.
        self.registers.skip_lease_wait();
        self.registers.members.voting = true;
        // Until others know that it votes they acquire its keys.
        self.peers.send_heartbeat_soon();
        out.push(log_event(events::BOOTSTRAPPED, &self.config.name, ""));
        out.push(self.persist_members());
    }

    pub(super) fn on_slots_reply(
        &mut self,
        from: &Name,
        reply: SlotsReply,
        now: Ms,
        out: &mut Effects,
    ) {
        self.registers.repair(&reply.slots, out);
        self.adopt_committed_voters(out);
        // The first voters are under no key.
        let is_bootstrap = self.registers.members.member_epoch == 0
            && reply.member_epoch == 1
            && self.voter_membership.is_among(&reply.voters);
        if is_bootstrap {
            self.begin_as_voter(reply.voters.0, out);
        } else if reply.member_epoch > self.registers.members.member_epoch {
            let previous = reply.previous_voter_count;
            self.adopt_voters(reply.member_epoch, previous, reply.voters.0, out);
        }
        if reply.member_epoch != self.registers.members.member_epoch {
            return;
        }
        if reply.voting == REPLY_VOTING {
            self.comparison.record_compared(from);
        }
        let is_closed_there = reply.voting != REPLY_NOT_VOTING;
        if !self.registers.members.voting && self.is_listed_voter() && is_closed_there {
            self.catch_up_from(from, &reply.slots, now, out);
        }
    }

    /// Takes over the slots of a daemon that has closed the former member epoch, and votes once enough were read.
    fn catch_up_from(&mut self, from: &Name, slots: &[Slot], now: Ms, out: &mut Effects) {
        let mut rows = self.registers.catch_up(slots);
        self.voter_membership.caught_up_from.insert(from.clone());
        if self.voter_membership.caught_up_from.len() >= self.voters_to_read() {
            self.registers.start_voting(now);
            self.peers.send_heartbeat_soon();
            let text = format!("member epoch {}", self.registers.members.member_epoch);
            out.push(log_event(events::VOTING, &self.config.name, text));
        }
        rows.push(self.registers.members_row());
        out.push(Effect::Persist { rows, then: vec![] });
    }

    /// How many voters that have closed the former member epoch must be read: a majority of its voters, so that nothing
    /// more can be accepted under it, and whatever was accepted is on the disk of one of those. Who voted in it or has
    /// itself read so many counts. Where their number is not known, all others.
    fn voters_to_read(&self) -> usize {
        match self.registers.members.previous_voter_count {
            0 => self.registers.members.voters.len() - 1,
            previous => previous as usize / 2 + 1,
        }
    }

    /// Adopts voters that were committed under the members' key.
    pub(super) fn adopt_committed_voters(&mut self, out: &mut Effects) {
        let newest = self
            .registers
            .newly_committed
            .iter()
            .filter(|change| &*change.key == MEMBERS_KEY)
            .max_by_key(|change| change.version);
        let Some(newest) = newest else {
            return;
        };
        let member_epoch = newest.version as u32 + 1;
        if let Some(stored) = voter_placement::decode(&newest.value.0) {
            self.adopt_voters(
                member_epoch,
                stored.previous_voter_count,
                stored.voters,
                out,
            );
        }
    }

    fn adopt_voters(
        &mut self,
        member_epoch: u32,
        previous_voter_count: u32,
        voters: Vec<Voter>,
        out: &mut Effects,
    ) {
        let current_epoch = self.registers.members.member_epoch;
        if member_epoch <= current_epoch {
            return;
        }
        // Whoever lost its place and was given one again may lack what was accepted in between.
        let disk_id = self.voter_membership.disk_id;
        let keeps_place = voters
            .iter()
            .any(|voter| voter.disk_id == disk_id && voter.since_epoch <= current_epoch);
        let is_retired =
            !keeps_place && self.registers.members.voting && member_epoch == current_epoch + 1;
        self.registers
            .adopt_members(member_epoch, previous_voter_count, voters, out);
        self.registers.members.voting &= keeps_place;
        self.registers.members.retired = is_retired;
        self.voter_membership
            .on_voters_changed(self.suspension.last_tick());
        // Until others know that it counts the same votes it is not live to them.
        self.peers.send_heartbeat_soon();
        out.push(self.persist_members());
    }

    /// Gives lost voters' places to others, and adds voters where there are too few, if this daemon is the one to.
    pub(super) fn change_voters(
        &mut self,
        now: Ms,
        live: &dyn Fn(&str) -> bool,
        out: &mut Effects,
    ) {
        if now < self.voter_membership.next_voter_change || !self.registers.members.voting {
            return;
        }
        self.voter_membership.next_voter_change = now + 2 * HEARTBEAT_INTERVAL;
        self.peers.forget_old_disks(now);
        if !self.may_change_voters(now, live) || self.is_new_voter_catching_up(now) {
            return;
        }
        let Some(next) = self.next_voters(now, live) else {
            return;
        };
        let names: Vec<&str> = next.iter().map(|voter| &*voter.name).collect();
        let text = names.join(" ");
        out.push(log_event(events::VOTERS_CHANGED, &self.config.name, text));
        // The first voters are member epoch 1 and under no key, so that a key's version is one below its epoch.
        let expect = Expect::Version(u64::from(self.registers.members.member_epoch) - 1);
        let value = voter_placement::encode(self.registers.members.voters.len() as u32, &next);
        self.registers
            .propose(NO_CALLER, &MEMBERS_KEY.into(), expect, value, now, out);
    }

    fn may_change_voters(&self, now: Ms, live: &dyn Fn(&str) -> bool) -> bool {
        let is_owner = self
            .registers
            .preferred_owner(MEMBERS_KEY, live)
            .is_some_and(|voter| voter.name == self.config.name);
        // One that has just started has not heard the others yet.
        let has_heard_others = now.saturating_sub(self.started_at) >= 2 * PEER_TIMEOUT;
        is_owner && has_heard_others && !self.registers.has_pending_writes(MEMBERS_KEY)
    }

    /// Whether a new voter is still reading the others' disks: another change would have it begin anew.
    fn is_new_voter_catching_up(&self, now: Ms) -> bool {
        let changed_at = self.voter_membership.voters_changed_at;
        let is_new_voter = |peer: &Peer| {
            let mut voters = self.registers.members.voters.iter();
            voters.any(|voter| {
                voter.disk_id == peer.heartbeat.disk_id
                    && voter.since_epoch == self.registers.members.member_epoch
            })
        };
        now.saturating_sub(changed_at) < CATCH_UP_TIMEOUT
            && self.peers.heard_within(PEER_TIMEOUT, now).any(|(_, peer)| {
                peer.heartbeat.state == PeerState::CatchingUp && is_new_voter(peer)
            })
    }

    /// The voters that should follow the present ones, where they should change.
    fn next_voters(&self, now: Ms, live: &dyn Fn(&str) -> bool) -> Option<Vec<Voter>> {
        let is_live = |voter: &Voter| voter.name == self.config.name || live(&voter.name);
        let unheard_for = |voter: &Voter| match voter.disk_id == self.voter_membership.disk_id {
            true => 0,
            false => self
                .peers
                .disk_unheard_for(voter.disk_id, self.started_at, now),
        };
        voter_placement::next_voters(&VoterChange {
            voters: &self.registers.members.voters,
            unheard_for: &unheard_for,
            candidates: self.voter_candidates(now),
            regions: &self.config.regions,
            bounds: &self.config.bounds,
            is_live: &is_live,
        })
    }

    /// Peers that could become voters.
    fn voter_candidates(&self, now: Ms) -> Vec<Candidate> {
        let is_free = |peer: &Peer| {
            let is_waiting = matches!(
                peer.heartbeat.state,
                PeerState::Blank
                    | PeerState::Bootstrapping
                    | PeerState::Joiner
                    | PeerState::Learner
            );
            let mut voters = self.registers.members.voters.iter();
            is_waiting && !voters.any(|voter| voter.disk_id == peer.heartbeat.disk_id)
        };
        let since_epoch = self.registers.members.member_epoch + 1;
        self.peers
            .heard_within(PEER_TIMEOUT, now)
            .filter(|(_, peer)| is_free(peer))
            .map(|(name, peer)| Candidate {
                voter: peer.as_voter(name, since_epoch),
                started_blank: peer.heartbeat.state != PeerState::Learner,
            })
            .collect()
    }

    /// Advances a daemon that does not vote yet: as a listed voter it requests slots, else it may bootstrap.
    pub(super) fn request_missing_slots(&mut self, now: Ms, out: &mut Effects) {
        if self.registers.members.voting || now < self.voter_membership.next_join {
            return;
        }
        self.voter_membership.next_join = now + HEARTBEAT_INTERVAL;
        if self.is_listed_voter() {
            let request = self.slots_request();
            let receivers = self.slots_request_receivers(now);
            out.extend(receivers.values().map(|addr| send(addr, request.clone())));
        } else if let Some(voters) = self.bootstrap_voters(now) {
            // Others store it when this daemon's next heartbeats announce them. Should it crash before it is synced
            // here, it learns it from them, or writes the same again: it accepts nothing but the same disks.
            self.begin_as_voter(voters, out);
        }
    }

    /// Addresses by name of the daemons that were not read yet: voters, and those that have just lost their places, as
    /// what these voted may be on their disks alone.
    fn slots_request_receivers(&self, now: Ms) -> BTreeMap<Name, Name> {
        let voters = self.registers.members.voters.iter();
        let mut receivers: BTreeMap<Name, Name> = voters
            .map(|voter| (voter.name.clone(), self.registers.addr(voter)))
            .collect();
        let heard = self.peers.heard_within(PEER_TIMEOUT, now);
        receivers.extend(heard.map(|(name, peer)| (name.clone(), peer.addr.clone())));
        let already_read = &self.voter_membership.caught_up_from;
        receivers.retain(|name, _| *name != self.config.name && !already_read.contains(name));
        receivers
    }

    /// The first voters, once all of them are here with blank disks and this daemon is the one to write them down: the
    /// first by name where names are given, else the one at the first of the seeds.
    fn bootstrap_voters(&self, now: Ms) -> Option<Vec<Voter>> {
        if self.registers.members.member_epoch > 0 {
            return None;
        }
        let places = self.bootstrap_places();
        if places.all.iter().min() != Some(&places.own) {
            return None;
        }
        let peer_at = |place: &Name| {
            let mut heard = self.peers.heard_within(PEER_TIMEOUT, now);
            let found = heard.find(|(name, peer)| places.is_at(place, name, peer));
            found.map(|(name, peer)| peer.as_voter(name, 1))
        };
        let others = places.all.iter().filter(|place| **place != places.own);
        let mut voters = others
            .map(|place| peer_at(place))
            .collect::<Option<Vec<Voter>>>()?;
        let own = Voter {
            name: self.config.name.clone(),
            disk_id: self.voter_membership.disk_id,
            addr: self.config.addr.clone(),
            zone: self.config.zone.clone(),
            since_epoch: 1,
        };
        voters.insert(0, own);
        Some(voters)
    }

    fn bootstrap_places(&self) -> BootstrapPlaces<'_> {
        let config = &self.config;
        if config.members.is_empty() {
            BootstrapPlaces {
                all: self
                    .registers
                    .members
                    .voters
                    .iter()
                    .map(|voter| &voter.addr)
                    .collect(),
                own: &config.addr,
                are_names: false,
                state: PeerState::Bootstrapping,
            }
        } else {
            BootstrapPlaces {
                all: config.members.iter().collect(),
                own: &config.name,
                are_names: true,
                state: PeerState::Blank,
            }
        }
    }
}
