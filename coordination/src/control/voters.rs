//! Membership of the voters: bootstrap, catching up before the first vote, and changes of who votes.

use std::collections::BTreeMap;

use wire_messages::{Bootstrap, Name, PeerState, SlotsReply, Voter};

use super::{Control, NO_CALLER, peers::Peer};
use crate::{
    Effects, Ms,
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

/// This daemon's own part in the membership of voters, and when it next acts on it.
#[derive(Clone, Debug)]
pub(super) struct VoterMembership {
    /// This process started without a member epoch on disk.
    started_blank: bool,
    /// The row of the bootstrap is not on disk yet.
    bootstrap_unsaved: bool,
    next_join: Ms,
    next_voter_change: Ms,
    voters_changed_at: Ms,
}

impl VoterMembership {
    pub(super) fn new(started_blank: bool, bootstrap_unsaved: bool, now: Ms) -> Self {
        VoterMembership {
            started_blank,
            bootstrap_unsaved,
            next_join: 0,
            next_voter_change: 0,
            voters_changed_at: now,
        }
    }

    pub(super) fn started_blank(&self) -> bool {
        self.started_blank
    }

    /// Begins anew with voters that were adopted at `now`.
    fn on_voters_changed(&mut self, now: Ms) {
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
    /// Puts the row of the bootstrap on disk, once.
    pub(super) fn save_bootstrap(&mut self, out: &mut Effects) {
        if std::mem::take(&mut self.voter_membership.bootstrap_unsaved) {
            out.push(self.registers.persist_members());
        }
    }

    pub(super) fn on_bootstrap(&mut self, bootstrap: Bootstrap, out: &mut Effects) {
        // Only a disk that is blank and named accepts it; a later blank disk has another number.
        if self.registers.members.member_epoch == 0 && self.registers.is_among(&bootstrap.voters) {
            self.begin_as_voter(bootstrap.voters.0, out);
        }
    }

    fn begin_as_voter(&mut self, voters: Vec<Voter>, out: &mut Effects) {
        self.registers.bootstrap_as_voter(voters, out);
        // Until others know that it votes they acquire its keys.
        self.peers.send_heartbeat_soon();
    }

    pub(super) fn on_slots_reply(
        &mut self,
        from: &Name,
        reply: SlotsReply,
        now: Ms,
        out: &mut Effects,
    ) {
        let outcome = self.registers.on_slots_reply(from, reply, now, out);
        if outcome.voters_changed {
            self.begin_member_epoch();
        }
        if outcome.voting_started {
            self.peers.send_heartbeat_soon();
        }
        if outcome.compared_with_voter {
            self.comparison.record_compared(from);
        }
    }

    /// Adopts voters that were committed under the members' key.
    pub(super) fn adopt_committed_voters(&mut self, out: &mut Effects) {
        if self.registers.adopt_committed_voters(out) {
            self.begin_member_epoch();
        }
    }

    fn begin_member_epoch(&mut self) {
        self.voter_membership
            .on_voters_changed(self.suspension.last_tick());
        // Until others know that it counts the same votes it is not live to them.
        self.peers.send_heartbeat_soon();
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
        let Some(next) = self.next_voters(now) else {
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
    fn next_voters(&self, now: Ms) -> Option<Vec<Voter>> {
        let connected = self.connected_voters(now);
        let is_connected = |voter: &Voter| connected(&voter.name);
        let absent_for = |voter: &Voter| match voter.disk_id == self.registers.disk_id() {
            true => 0,
            false => self
                .peers
                .disk_absent_for(voter.disk_id, self.started_at, now),
        };
        voter_placement::next_voters(&VoterChange {
            voters: &self.registers.members.voters,
            absent_for: &absent_for,
            candidates: self.voter_candidates(now),
            regions: &self.config.regions,
            bounds: &self.config.bounds,
            is_connected: &is_connected,
        })
    }

    /// Peers that could become voters. One that does not hear this daemon would not learn that it is one.
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
            .connected_within(PEER_TIMEOUT, now)
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
        if self.registers.is_listed_voter() {
            let request = self.registers.slots_request();
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
        receivers.retain(|name, _| {
            *name != self.config.name && !self.registers.has_caught_up_from(name)
        });
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
            disk_id: self.registers.disk_id(),
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
