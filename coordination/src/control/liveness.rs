//! Determines which voters can own keys, and which of them this daemon is connected to, that is, exchanges messages
//! with in both directions.
//!
//! A network partition may be one-way. A daemon whose messages arrive but that receives none can confirm nothing and
//! must own no key, so heartbeats state whether their sender is connected to a majority of the voters.

use std::{cmp::Reverse, collections::BTreeSet};

use wire_messages::{Heartbeat, Name, PeerState};

use super::Control;
use crate::{
    Effects, Ms,
    effect::log_event,
    events::{QUORUM_CONNECTED, QUORUM_CONNECTION_LOST},
    timing::PEER_TIMEOUT,
};

impl Control {
    /// Returns a predicate on the names of the voters that can own keys: those that are reachable, vote in this
    /// daemon's member epoch and are quorum-connected.
    pub(super) fn live_voters(&self, now: Ms) -> impl Fn(&str) -> bool + use<> {
        let mut names: BTreeSet<Name> = self
            .peers
            .reachable_within(PEER_TIMEOUT, now)
            .filter(|(_, peer)| {
                self.votes_in_same_epoch(&peer.heartbeat) && peer.heartbeat.quorum_connected != 0
            })
            .map(|(name, _)| name.clone())
            .collect();
        if self.is_operational() && self.is_quorum_connected(now) {
            names.insert(self.config.name.clone());
        }
        move |name| names.contains(name)
    }

    /// Returns a predicate on the names of the voters that can answer this daemon's requests for votes: those that it
    /// is connected to and that vote in its member epoch.
    pub(super) fn connected_voters(&self, now: Ms) -> impl Fn(&str) -> bool + use<> {
        let mut names: BTreeSet<Name> = self
            .peers
            .connected_within(PEER_TIMEOUT, now)
            .filter(|(_, peer)| self.votes_in_same_epoch(&peer.heartbeat))
            .map(|(name, _)| name.clone())
            .collect();
        if self.is_operational() {
            names.insert(self.config.name.clone());
        }
        move |name| names.contains(name)
    }

    /// Returns whether the sender of a heartbeat votes in this daemon's member epoch.
    pub(super) fn votes_in_same_epoch(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.state == PeerState::Voter
            && heartbeat.member_epoch == self.registers.members.member_epoch
    }

    /// Returns whether this daemon is not stopping and its disk accepts writes.
    pub(super) fn is_operational(&self) -> bool {
        !self.stopping && self.disk_healthy
    }

    /// Returns whether this daemon was recently connected to a majority of the voters, counting itself. A daemon that
    /// has just started counts as connected until the time-out.
    pub(super) fn is_quorum_connected(&self, now: Ms) -> bool {
        let voters = &self.registers.members.voters;
        let mut connected_at: Vec<Ms> = voters
            .iter()
            .map(|voter| match voter.name == self.config.name {
                true => now,
                false => {
                    let connected_at = self.peers.connected_at(&voter.name);
                    connected_at.unwrap_or(self.started_at)
                }
            })
            .collect();
        connected_at.sort_unstable_by_key(|at| Reverse(*at));
        connected_at
            .get(voters.len() / 2)
            .is_some_and(|majority_at| now.saturating_sub(*majority_at) <= PEER_TIMEOUT)
    }

    /// Detects that this voter lost or regained its connection to a majority, and makes a heartbeat due to report it.
    pub(super) fn observe_quorum_connection(&mut self, now: Ms, out: &mut Effects) {
        let is_connected = !self.registers.members.voting || self.is_quorum_connected(now);
        if is_connected == self.was_quorum_connected {
            return;
        }
        self.was_quorum_connected = is_connected;
        self.peers.make_heartbeat_due();
        let event = if is_connected {
            QUORUM_CONNECTED
        } else {
            QUORUM_CONNECTION_LOST
        };
        out.push(log_event(event, &self.config.name, ""));
    }
}
