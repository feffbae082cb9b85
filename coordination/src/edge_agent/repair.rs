//! Repair of the state table between agents (anti-entropy): neighbours compare digests of key
//! ranges and exchange the entries that differ.

use std::collections::BTreeMap;

use wire_messages::{Change, List, Name, Node, Repair, TableDigests};

use super::without_value;
use crate::{
    Effects, Ms,
    effect::send,
    membership::{Membership, NodeRole},
    state_table::{StateTable, version_stamp},
};

/// Interval between comparisons with a neighbour, in ms.
const REPAIR_INTERVAL: Ms = 500;
/// Age up to which a comparison of tables counts as recent, in ms.
const COMPARISON_MAX_AGE: Ms = 900;
/// Comparisons attempted with each edge within [`COMPARISON_MAX_AGE`] while there is no contact with
/// a control majority.
const COMPARISON_ATTEMPTS: Ms = 3;

/// Content of a repair message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RepairKind {
    /// Epochs and versions, without values, of all keys in ranges that differ.
    Metadata,
    /// Changes that the receiver lacks.
    Values,
    /// Keys whose values the sender lacks.
    Requests,
}

impl RepairKind {
    const fn to_byte(self) -> u8 {
        match self {
            RepairKind::Metadata => 0,
            RepairKind::Values => 1,
            RepairKind::Requests => 2,
        }
    }

    /// Decodes the byte on the wire. An unknown byte is treated as a request, which does not change
    /// the table.
    pub const fn from_byte(byte: u8) -> Self {
        match byte {
            0 => RepairKind::Metadata,
            1 => RepairKind::Values,
            _ => RepairKind::Requests,
        }
    }

    fn message(self, changes: List<Change>) -> Repair {
        Repair {
            kind: self.to_byte(),
            changes,
            ..Repair::default()
        }
    }
}

/// Schedule of comparisons and the times of those completed with each edge.
#[derive(Clone, Debug, Default)]
pub(super) struct Comparisons {
    next_comparison: Ms,
    /// Send time of the newest digests to which each edge responded.
    compared_at: BTreeMap<Name, Ms>,
}

impl Comparisons {
    /// Records a response to digests; `request_sent_at` is 0 in other repair messages.
    pub fn on_repair(&mut self, from: &Name, request_sent_at: Ms) {
        let compared_at = self.compared_at.entry(from.clone()).or_insert(0);
        *compared_at = (*compared_at).max(request_sent_at);
    }

    /// Whether most edges have recently compared tables with this one. Gossip is not sufficient: a
    /// relayed heartbeat may be seconds old, while after a comparison a value that most edges have
    /// must have arrived here.
    pub fn includes_most_edges(&self, membership: &Membership, now: Ms) -> bool {
        let is_recent = |edge: &&Node| {
            self.compared_at
                .get(&edge.name)
                .is_some_and(|at| now.saturating_sub(*at) <= COMPARISON_MAX_AGE)
        };
        // Includes this edge.
        let edge_count = membership.known(NodeRole::Edge).count() + 1;
        let compared_count = membership.known(NodeRole::Edge).filter(is_recent).count() + 1;
        compared_count * 2 > edge_count
    }

    /// Starts a comparison, if due, with one neighbour, or with every edge while contact with the
    /// control majority is lost.
    pub fn tick(
        &mut self,
        membership: &Membership,
        table: &StateTable,
        lost_majority: bool,
        now: Ms,
        out: &mut Effects,
    ) {
        if now < self.next_comparison {
            return;
        }
        let send_digests = |edge: &Node| {
            let digests = TableDigests {
                sent_at: now,
                ranges: List(table.range_digests()),
            };
            send(&edge.addr, digests)
        };
        if lost_majority {
            self.next_comparison = now + COMPARISON_MAX_AGE / COMPARISON_ATTEMPTS;
            out.extend(membership.known(NodeRole::Edge).map(send_digests));
            return;
        }
        self.next_comparison = now + REPAIR_INTERVAL;
        let mut neighbours = membership.view();
        neighbours.retain(|node| NodeRole::Edge.is_role_of(node));
        let turn = (now / REPAIR_INTERVAL) as usize % neighbours.len().max(1);
        out.extend(neighbours.get(turn).map(send_digests));
    }
}

/// Responds to a neighbour's digests with the metadata of the ranges that differ. Omits values
/// because they are long and usually the neighbour is the one that lags.
pub(super) fn respond_to_digests(table: &StateTable, digests: &TableDigests) -> Repair {
    let ranges = table.differing_ranges(&digests.ranges);
    let changes = table
        .entries_in(&ranges)
        .into_iter()
        .map(without_value)
        .collect();
    Repair {
        request_sent_at: digests.sent_at,
        ranges: List(ranges),
        ..RepairKind::Metadata.message(changes)
    }
}

/// Responds to a neighbour's metadata: sends values that are newer locally and requests those that
/// are newer at the neighbour.
pub(super) fn respond_to_metadata(
    table: &StateTable,
    metadata: &Repair,
) -> impl Iterator<Item = Repair> {
    let remote_changes: BTreeMap<&Name, &Change> = metadata
        .changes
        .iter()
        .map(|change| (&change.key, change))
        .collect();
    let is_newer_locally = |local: &Change| {
        remote_changes
            .get(&local.key)
            .is_none_or(|remote| version_stamp(local) > version_stamp(remote))
    };
    let is_newer_remotely = |remote: &&Change| {
        table
            .get(&remote.key)
            .is_none_or(|local| version_stamp(local) < version_stamp(remote))
    };
    let newer_local = table
        .entries_in(&metadata.ranges)
        .into_iter()
        .filter(is_newer_locally)
        .collect();
    let newer_remote = metadata
        .changes
        .iter()
        .filter(is_newer_remotely)
        .cloned()
        .collect();
    [
        RepairKind::Values.message(newer_local),
        RepairKind::Requests.message(newer_remote),
    ]
    .into_iter()
    .filter(|repair| !repair.changes.is_empty())
}

/// Returns the values that a neighbour requests.
pub(super) fn requested_values(table: &StateTable, request: &Repair) -> Repair {
    let values = request
        .changes
        .iter()
        .filter_map(|change| table.get(&change.key))
        .cloned()
        .collect();
    RepairKind::Values.message(values)
}
