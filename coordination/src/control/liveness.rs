//! Which voters can own keys, and which of them this daemon is connected to: messages pass in both directions.
//!
//! A partition may be in one direction only. A daemon that others hear, and that hears none of them, can confirm nothing
//! and must own no key; so heartbeats say whether their sender is connected to a majority of the voters.

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
    /// Names of the voters that can own keys, as a predicate: those that were heard from lately, vote in this daemon's
    /// member epoch and are connected to a majority of the voters.
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

    /// Names of the voters whose votes this daemon can ask for and get, as a predicate: those that it is connected to and
    /// that vote in its member epoch.
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

    /// Whether the sender of a heartbeat votes in this daemon's member epoch.
    pub(super) fn votes_in_same_epoch(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.state == PeerState::Voter
            && heartbeat.member_epoch == self.registers.members.member_epoch
    }

    /// Whether it goes on running and its disk takes writes.
    pub(super) fn is_operational(&self) -> bool {
        !self.stopping && self.disk_healthy
    }

    /// Whether this daemon and a majority of the voters have heard each other lately, this daemon itself counting as one
    /// of them. One that has just started is given the time to find out.
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

    /// Notices that a voter's connection to a majority of them was lost or is back, and has others know it at once.
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
