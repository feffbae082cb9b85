//! The other control daemons: their last heartbeats, and when each last heard this daemon.

use std::collections::BTreeMap;

use wire_messages::{Heartbeat, Name, Voter};

use crate::{
    Ms,
    timing::{HEARTBEAT_INTERVAL, NODE_RETENTION, PEER_TIMEOUT},
};

/// Another control daemon, as its last heartbeat described it.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) last_received_at: Ms,
    /// When it last said that it hears this daemon; messages pass in both directions then.
    connected_at: Option<Ms>,
    pub(super) heartbeat: Heartbeat,
    pub(super) addr: Name,
}

impl Peer {
    /// This peer as a voter from `since_epoch` on.
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

/// Peers by name, and when this daemon sends them its own next heartbeat.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    by_name: BTreeMap<Name, Peer>,
    /// When a daemon with this disk last heard this daemon or a majority of the voters.
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

    /// Peers that were heard from within `window`.
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

    /// Peers that were connected to this daemon within `window`: both hear each other.
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

    /// When a peer and this daemon last heard each other, if they ever did.
    pub(super) fn connected_at(&self, name: &Name) -> Option<Ms> {
        self.by_name.get(name)?.connected_at
    }

    pub(super) fn record(&mut self, from: &Name, addr: &Name, heartbeat: Heartbeat, now: Ms) {
        // A peer that is new, was unreachable or has another disk learns of this daemon at once.
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

    /// How long a disk has been absent; `started_at` counts for one that was never here.
    pub(super) fn disk_absent_for(&self, disk_id: u64, started_at: Ms, now: Ms) -> Ms {
        let connected_at = self.disk_connected_at.get(&disk_id).copied();
        now.saturating_sub(connected_at.unwrap_or(started_at))
    }

    pub(super) fn prune_old_disks(&mut self, now: Ms) {
        self.disk_connected_at
            .retain(|_, connected_at| now.saturating_sub(*connected_at) < NODE_RETENTION);
    }

    /// Whether this daemon's own heartbeat is due; if so, the next one is due an interval later.
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
