//! Voter membership: bootstrap, catching up before the first vote, and reconfiguration.

use std::collections::BTreeMap;

use wire_messages::{Bootstrap, Name, PeerState, SlotsReply, Voter};

use super::{Control, NO_CALLER, peers::Peer};
use crate::{
    Effects, Ms,
    effect::{log_event, send},
    events,
    register::{Expect, MEMBERS_KEY},
    timing::{HEARTBEAT_INTERVAL, PEER_TIMEOUT},
    voter_placement::{self, Candidate, ChangeInputs},
};

/// Time in ms after its start during which a daemon with a blank disk is a joiner, which replaces a lost voter.
pub(super) const JOINER_WINDOW: Ms = 20_000;
/// Time in ms for a new voter to read the others' slots; after that, it may be replaced again.
const CATCH_UP_TIMEOUT: Ms = 3_000;

/// This daemon's own state in the voter membership, and when it next tries to join or to change the voters.
#[derive(Clone, Debug)]
pub(super) struct VoterMembership {
    /// This process started without a member epoch on disk.
    started_blank: bool,
    /// The row of the bootstrap is not persisted yet.
    bootstrap_unpersisted: bool,
    next_join_at: Ms,
    next_voter_change_at: Ms,
    voters_changed_at: Ms,
}

impl VoterMembership {
    pub(super) fn new(started_blank: bool, bootstrap_unpersisted: bool, now: Ms) -> Self {
        VoterMembership {
            started_blank,
            bootstrap_unpersisted,
            next_join_at: 0,
            next_voter_change_at: 0,
            voters_changed_at: now,
        }
    }

    pub(super) fn started_blank(&self) -> bool {
        self.started_blank
    }

    /// Resets the timers for voters that were adopted at `now`.
    fn on_voters_changed(&mut self, now: Ms) {
        self.next_join_at = 0;
        self.voters_changed_at = now;
    }
}

/// Identifies the first voters: by the names of the members where these are configured, else by the addresses of the
/// seeds.
struct InitialVoterIds<'a> {
    all: Vec<&'a Name>,
    /// This daemon's own id, whether or not it is among them.
    own: &'a Name,
    are_names: bool,
    /// The state of daemons that wait for the bootstrap.
    state: PeerState,
}

impl InitialVoterIds<'_> {
    /// Returns whether a peer has this id and waits for the bootstrap.
    fn is_waiting(&self, id: &Name, name: &Name, peer: &Peer) -> bool {
        let peer_id = if self.are_names { name } else { &peer.addr };
        peer.heartbeat.state == self.state && peer_id == id
    }
}

impl Control {
    /// Persists the row of the bootstrap, once.
    pub(super) fn persist_bootstrap(&mut self, out: &mut Effects) {
        if std::mem::take(&mut self.voter_membership.bootstrap_unpersisted) {
            out.push(self.registers.persist_members());
        }
    }

    pub(super) fn on_bootstrap(&mut self, bootstrap: Bootstrap, out: &mut Effects) {
        // Only a blank disk that is listed accepts it; a disk that becomes blank later has another id.
        if self.registers.members.member_epoch == 0 && self.registers.is_among(&bootstrap.voters) {
            self.begin_as_voter(bootstrap.voters.0, out);
        }
    }

    fn begin_as_voter(&mut self, voters: Vec<Voter>, out: &mut Effects) {
        self.registers.bootstrap_as_voter(voters, out);
        // Other daemons acquire its keys until they know that it votes.
        self.peers.make_heartbeat_due();
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
            self.peers.make_heartbeat_due();
        }
        if outcome.compared_with_voter {
            self.comparison.record_compared(from);
        }
    }

    /// Adopts voters that are committed under the members' key.
    pub(super) fn adopt_committed_voters(&mut self, out: &mut Effects) {
        if self.registers.adopt_committed_voters(out) {
            self.begin_member_epoch();
        }
    }

    fn begin_member_epoch(&mut self) {
        self.voter_membership
            .on_voters_changed(self.suspension.last_tick());
        // Other daemons do not consider it live until they know that it has the same member epoch.
        self.peers.make_heartbeat_due();
    }

    /// Replaces lost voters, and adds voters where there are too few, if this daemon owns the members' key.
    pub(super) fn change_voters(
        &mut self,
        now: Ms,
        live: &dyn Fn(&str) -> bool,
        out: &mut Effects,
    ) {
        if now < self.voter_membership.next_voter_change_at || !self.registers.members.voting {
            return;
        }
        self.voter_membership.next_voter_change_at = now + 2 * HEARTBEAT_INTERVAL;
        self.peers.prune_old_disks(now);
        if !self.may_change_voters(now, live) || self.is_new_voter_catching_up(now) {
            return;
        }
        let Some(next) = self.next_voters(now) else {
            return;
        };
        let names: Vec<&str> = next.iter().map(|voter| &*voter.name).collect();
        let text = names.join(" ");
        out.push(log_event(events::VOTERS_CHANGED, &self.config.name, text));
        // The first voters have member epoch 1 and are stored under no key, so the key's version is one below the
        // member epoch.
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
        // A daemon that has just started has not received the others' heartbeats yet.
        let has_received_heartbeats = now.saturating_sub(self.started_at) >= 2 * PEER_TIMEOUT;
        is_owner && has_received_heartbeats && !self.registers.has_pending_writes(MEMBERS_KEY)
    }

    /// Returns whether a new voter is still reading the others' slots; another change would make it start over.
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
            && self
                .peers
                .reachable_within(PEER_TIMEOUT, now)
                .any(|(_, peer)| {
                    peer.heartbeat.state == PeerState::CatchingUp && is_new_voter(peer)
                })
    }

    /// Returns the next voters, if the current ones should change.
    fn next_voters(&self, now: Ms) -> Option<Vec<Voter>> {
        let connected = self.connected_voters(now);
        let is_connected = |voter: &Voter| connected(&voter.name);
        let absent_for = |voter: &Voter| match voter.disk_id == self.registers.disk_id() {
            true => 0,
            false => self
                .peers
                .disk_absent_for(voter.disk_id, self.started_at, now),
        };
        voter_placement::next_voters(&ChangeInputs {
            voters: &self.registers.members.voters,
            absent_for: &absent_for,
            candidates: self.voter_candidates(now),
            regions: &self.config.regions,
            bounds: &self.config.bounds,
            is_connected: &is_connected,
        })
    }

    /// Returns peers that could become voters. A peer that does not receive messages from this daemon would never know
    /// that it is a voter.
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

    /// Advances a daemon that does not vote yet: a listed voter requests slots, any other may bootstrap.
    pub(super) fn request_missing_slots(&mut self, now: Ms, out: &mut Effects) {
        if self.registers.members.voting || now < self.voter_membership.next_join_at {
            return;
        }
        self.voter_membership.next_join_at = now + HEARTBEAT_INTERVAL;
        if self.registers.is_listed_voter() {
            let request = self.registers.slots_request();
            let recipients = self.slots_request_recipients(now);
            out.extend(recipients.values().map(|addr| send(addr, request.clone())));
        } else if let Some(voters) = self.bootstrap_voters(now) {
            // Other daemons store the voters when this daemon's next heartbeats announce them. If it crashes before the
            // voters are synced here, it receives them from the others or writes the same ones again, since it accepts
            // only the same disks.
            self.begin_as_voter(voters, out);
        }
    }

    /// Returns the addresses, by name, of the daemons whose slots were not read yet: voters, and daemons that have just
    /// been replaced, because their votes may be stored on their disks alone.
    fn slots_request_recipients(&self, now: Ms) -> BTreeMap<Name, Name> {
        let voters = self.registers.members.voters.iter();
        let mut recipients: BTreeMap<Name, Name> = voters
            .map(|voter| (voter.name.clone(), self.registers.addr(voter)))
            .collect();
        let recent_peers = self.peers.reachable_within(PEER_TIMEOUT, now);
        recipients.extend(recent_peers.map(|(name, peer)| (name.clone(), peer.addr.clone())));
        recipients.retain(|name, _| {
            *name != self.config.name && !self.registers.has_caught_up_from(name)
        });
        recipients
    }

    /// Returns the first voters, once all of them are present with blank disks and this daemon is the one to write
    /// them: the first by name where names are configured, else the one at the first of the seeds.
    fn bootstrap_voters(&self, now: Ms) -> Option<Vec<Voter>> {
        if self.registers.members.member_epoch > 0 {
            return None;
        }
        let ids = self.initial_voter_ids();
        if ids.all.iter().min() != Some(&ids.own) {
            return None;
        }
        let waiting_peer = |id: &Name| {
            let mut recent_peers = self.peers.reachable_within(PEER_TIMEOUT, now);
            let found = recent_peers.find(|(name, peer)| ids.is_waiting(id, name, peer));
            found.map(|(name, peer)| peer.as_voter(name, 1))
        };
        let others = ids.all.iter().filter(|id| **id != ids.own);
        let mut voters = others
            .map(|id| waiting_peer(id))
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

    fn initial_voter_ids(&self) -> InitialVoterIds<'_> {
        let config = &self.config;
        if config.members.is_empty() {
            InitialVoterIds {
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
            InitialVoterIds {
                all: config.members.iter().collect(),
                own: &config.name,
                are_names: true,
                state: PeerState::Blank,
            }
        }
    }
}
