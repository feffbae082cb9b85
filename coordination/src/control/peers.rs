//! The other control daemons: their last heartbeats, and when each was last connected to this daemon.

use std::collections::BTreeMap;

use wire_messages::{Heartbeat, Name, Voter};

use crate::{
    Ms,
    timing::{HEARTBEAT_INTERVAL, NODE_RETENTION, PEER_TIMEOUT},
};

/// Another control daemon as described by its last heartbeat.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) last_received_at: Ms,
    /// When it last reported that it receives this daemon's heartbeats; messages pass in both directions then.
    connected_at: Option<Ms>,
    pub(super) heartbeat: Heartbeat,
    pub(super) addr: Name,
}

impl Peer {
    /// Returns this peer as a voter from `since_epoch` on.
    pub(super) fn as_voter(&self, name: &Name, since_epoch: u32) -> Voter {
        Voter {
            name: name.clone(),
            disk_id: self.heartbeat.disk_id,
            addr: self.addr.clone(),
            zone: self.heartbeat.zone.clone(),
            since_epoch,
        }
    }
}

/// Peers by name, and when this daemon's next heartbeat is due.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    by_name: BTreeMap<Name, Peer>,
    /// When a daemon with this disk last reported that it receives this daemon's heartbeats or is quorum-connected.
    disk_connected_at: BTreeMap<u64, Ms>,
    next_heartbeat: Ms,
}

impl Peers {
    pub(super) fn get(&self, name: &Name) -> Option<&Peer> {
        self.by_name.get(name)
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &Name> {
        self.by_name.keys()
    }

    /// Returns the peers from which a heartbeat was received within `window`.
    pub(super) fn reachable_within(
        &self,
        window: Ms,
        now: Ms,
    ) -> impl Iterator<Item = (&Name, &Peer)> + Clone {
        self.by_name
            .iter()
            .filter(move |(_, peer)| now.saturating_sub(peer.last_received_at) <= window)
    }

    pub(super) fn is_reachable_within(&self, name: &Name, window: Ms, now: Ms) -> bool {
        self.by_name
            .get(name)
            .is_some_and(|peer| now.saturating_sub(peer.last_received_at) <= window)
    }

    /// Returns the peers that were connected to this daemon within `window`: messages passed in both directions.
    pub(super) fn connected_within(
        &self,
        window: Ms,
        now: Ms,
    ) -> impl Iterator<Item = (&Name, &Peer)> + Clone {
        self.by_name.iter().filter(move |(_, peer)| {
            peer.connected_at
                .is_some_and(|connected_at| now.saturating_sub(connected_at) <= window)
        })
    }

    /// Returns when a peer and this daemon were last connected, if ever.
    pub(super) fn connected_at(&self, name: &Name) -> Option<Ms> {
        self.by_name.get(name)?.connected_at
    }

    pub(super) fn record(&mut self, from: &Name, addr: &Name, heartbeat: Heartbeat, now: Ms) {
        // Sends a heartbeat at the next tick if the peer is new, was unreachable or has another disk.
        let is_known = self.by_name.get(from).is_some_and(|peer| {
            now.saturating_sub(peer.last_received_at) <= PEER_TIMEOUT
                && peer.heartbeat.disk_id == heartbeat.disk_id
        });
        if !is_known {
            self.next_heartbeat = now;
        }
        let connected_at = if heartbeat.hears_receiver != 0 {
            Some(now)
        } else {
            self.connected_at(from)
        };
        let peer = Peer {
            last_received_at: now,
            connected_at,
            heartbeat,
            addr: addr.clone(),
        };
        self.by_name.insert(from.clone(), peer);
    }

    pub(super) fn record_disk(&mut self, disk_id: u64, now: Ms) {
        self.disk_connected_at.insert(disk_id, now);
    }

    /// Returns how long a disk has been absent, counted from `started_at` if it was never connected.
    pub(super) fn disk_absent_for(&self, disk_id: u64, started_at: Ms, now: Ms) -> Ms {
        let connected_at = self.disk_connected_at.get(&disk_id).copied();
        now.saturating_sub(connected_at.unwrap_or(started_at))
    }

    pub(super) fn prune_old_disks(&mut self, now: Ms) {
        self.disk_connected_at
            .retain(|_, connected_at| now.saturating_sub(*connected_at) < NODE_RETENTION);
    }

    /// Returns whether this daemon's own heartbeat is due; if so, schedules the next one an interval later.
    pub(super) fn take_due_heartbeat(&mut self, now: Ms) -> bool {
        if now < self.next_heartbeat {
            return false;
        }
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        true
    }

    /// Makes this daemon's heartbeat due at its next tick.
    pub(super) fn make_heartbeat_due(&mut self) {
        self.next_heartbeat = 0;
    }
}
