//! Heartbeats between control daemons: their content, their receivers and the handling of received heartbeats.

use std::collections::BTreeSet;

use wire_messages::{Bootstrap, Heartbeat, List, Name, PeerState};

use super::{Control, state_comparison::Digests, voters::JOINER_WINDOW};
use crate::{
    Effects, Ms,
    effect::send,
    membership::NodeRole,
    timing::{NODE_TIMEOUT, PEER_TIMEOUT},
};

impl Control {
    pub(super) fn on_heartbeat(
        &mut self,
        from: &Name,
        addr: &Name,
        heartbeat: Heartbeat,
        now: Ms,
        out: &mut Effects,
    ) {
        self.registers.set_addr(from, addr);
        // A voter that receives heartbeats neither from this daemon nor from a majority counts as absent.
        if heartbeat.hears_receiver != 0 || heartbeat.quorum_connected != 0 {
            self.peers.record_disk(heartbeat.disk_id, now);
        }
        let is_blank = matches!(heartbeat.state, PeerState::Blank | PeerState::Bootstrapping);
        let is_voter = heartbeat.state == PeerState::Voter;
        let digests = Digests {
            theirs: heartbeat.committed_digest,
            own: self.registers.committed_digest(),
        };
        let votes_in_same_epoch = self.votes_in_same_epoch(&heartbeat);
        let missed_change = self
            .comparison
            .observe(from, digests, votes_in_same_epoch, now);
        let is_lagging = heartbeat.member_epoch > self.registers.members.member_epoch
            || (is_voter && missed_change);
        if is_lagging && !is_blank && self.comparison.try_acquire_slots_request(now) {
            out.push(send(addr, self.registers.slots_request()));
        }
        if is_blank {
            self.offer_first_voters(addr, heartbeat.disk_id, out);
        }
        self.peers.record(from, addr, heartbeat, now);
    }

    /// Sends the first voters again to a member that is listed among them but has not stored them.
    fn offer_first_voters(&self, addr: &Name, disk_id: u64, out: &mut Effects) {
        let voters = &self.registers.members.voters;
        if self.registers.members.member_epoch == 1
            && voters.iter().any(|voter| voter.disk_id == disk_id)
        {
            let voters = List(voters.clone());
            out.push(send(addr, Bootstrap { voters }));
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: Ms, out: &mut Effects) {
        if !self.peers.take_due_heartbeat(now) {
            return;
        }
        let heartbeat = Heartbeat {
            member_epoch: self.registers.members.member_epoch,
            disk_id: self.registers.disk_id(),
            zone: self.config.zone.clone(),
            state: self.own_state(now),
            committed_digest: self.registers.committed_digest(),
            hears_receiver: 0,
            quorum_connected: self.is_quorum_connected(now).into(),
        };
        let reachable: BTreeSet<&Name> = self
            .peers
            .reachable_within(PEER_TIMEOUT, now)
            .map(|(_, peer)| &peer.addr)
            .collect();
        out.extend(self.heartbeat_receivers(now).iter().map(|addr| {
            let heartbeat = Heartbeat {
                hears_receiver: reachable.contains(addr).into(),
                ..heartbeat.clone()
            };
            send(addr, heartbeat)
        }));
        let votes = |name: &Name| {
            self.registers
                .members
                .voters
                .iter()
                .any(|voter| voter.name == *name)
        };
        let followers = self
            .peers
            .reachable_within(NODE_TIMEOUT, now)
            .filter(|(name, _)| !votes(name))
            .map(|(_, peer)| peer.addr.clone())
            .collect();
        self.registers.followers = followers;
    }

    fn own_state(&self, now: Ms) -> PeerState {
        if self.stopping {
            return PeerState::Stopping;
        }
        if self.registers.members.member_epoch == 0 {
            return if self.registers.members.voters.is_empty() {
                PeerState::Blank
            } else {
                PeerState::Bootstrapping
            };
        }
        if self.registers.members.voting && self.disk_healthy {
            return PeerState::Voter;
        }
        let is_new = now.saturating_sub(self.started_at) < JOINER_WINDOW;
        if self.registers.is_listed_voter() {
            PeerState::CatchingUp
        } else if self.voter_membership.started_blank() && is_new {
            PeerState::Joiner
        } else {
            PeerState::Learner
        }
    }

    fn heartbeat_receivers(&self, now: Ms) -> BTreeSet<Name> {
        let voters = self.registers.members.voters.iter();
        let mut receivers: BTreeSet<Name> =
            voters.map(|voter| self.registers.addr(voter)).collect();
        // Learners do not need each other's heartbeats.
        if self.registers.members.voting || self.registers.members.member_epoch == 0 {
            let live = self.membership.live(NodeRole::Control);
            receivers.extend(live.map(|node| node.addr.clone()));
            let reachable = self.peers.reachable_within(NODE_TIMEOUT, now);
            receivers.extend(reachable.map(|(_, peer)| peer.addr.clone()));
        }
        // Until the voters are known, they can be reached only through the seeds.
        if self.registers.members.member_epoch == 0 {
            receivers.extend(self.config.seeds.iter().cloned());
        }
        receivers.remove(&self.config.addr);
        receivers
    }
}
