//! Repair of the state table between agents (anti-entropy): neighbours compare digests of key
//! ranges and exchange what differs.

use std::collections::BTreeMap;

use wire_messages::{Change, List, Name, Node, Repair, TableDigests};

use super::without_value;
use crate::{
    Effects, Ms,
    effect::send,
    membership::{Membership, NodeRole},
    state_table::{StateTable, version_stamp},
};

/// Between two comparisons with a neighbour.
const REPAIR_INTERVAL: Ms = 500;
/// A comparison of tables counts as recent for so long.
const COMPARISON_MAX_AGE: Ms = 900;
/// Comparisons with each edge that are tried within [`COMPARISON_MAX_AGE`] while there is no
/// contact with a control majority.
const COMPARISON_ATTEMPTS: Ms = 3;

/// What a repair message brings.
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

    /// Reads the byte on the wire. An unknown one is taken for a request, which changes nothing
    /// here.
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

/// When comparisons are due and with whom they were made.
#[derive(Clone, Debug, Default)]
pub(super) struct Comparisons {
    next_comparison: Ms,
    /// When the newest digests were sent to which each edge responded.
    compared_at: BTreeMap<Name, Ms>,
}

impl Comparisons {
    /// Records a response to digests; other repair messages carry 0.
    pub fn on_repair(&mut self, from: &Name, request_sent_at: Ms) {
        let compared_at = self.compared_at.entry(from.clone()).or_insert(0);
        *compared_at = (*compared_at).max(request_sent_at);
    }

    /// Whether most edges have lately compared tables with this one. Gossip would not do: a
    /// heartbeat that is passed on may be seconds old, while a value that most edges have must have
    /// come here by now.
    pub fn includes_most_edges(&self, membership: &Membership, now: Ms) -> bool {
        let is_recent = |edge: &&Node| {
            self.compared_at
                .get(&edge.name)
                .is_some_and(|at| now.saturating_sub(*at) <= COMPARISON_MAX_AGE)
        };
        // This edge is one of them.
        let edge_count = membership.known(NodeRole::Edge).count() + 1;
        let compared_count = membership.known(NodeRole::Edge).filter(is_recent).count() + 1;
        compared_count * 2 > edge_count
    }

    /// Starts a comparison with one neighbour if it is due, or with every edge while the control
    /// majority is missed.
    pub fn tick(
        &mut self,
        membership: &Membership,
        table: &StateTable,
        misses_majority: bool,
        now: Ms,
        out: &mut Effects,
    ) {
        if now < self.next_comparison {
            return;
        }
        let ask = |edge: &Node| {
            let digests = TableDigests {
                sent_at: now,
                ranges: List(table.range_digests()),
            };
            send(&edge.addr, digests)
        };
        if misses_majority {
            self.next_comparison = now + COMPARISON_MAX_AGE / COMPARISON_ATTEMPTS;
            out.extend(membership.known(NodeRole::Edge).map(ask));
            return;
        }
        self.next_comparison = now + REPAIR_INTERVAL;
        let mut neighbours = membership.view();
        neighbours.retain(|node| NodeRole::Edge.is_role_of(node));
        let turn = (now / REPAIR_INTERVAL) as usize % neighbours.len().max(1);
        out.extend(neighbours.get(turn).map(ask));
    }
}

/// Responds to another's digests with metadata of the ranges that differ: values are long, and most
/// often it is the other that lags.
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

/// Responds to another's metadata: sends what is newer here and requests what is newer there.
pub(super) fn respond_to_metadata(
    table: &StateTable,
    metadata: &Repair,
) -> impl Iterator<Item = Repair> {
    let theirs: BTreeMap<&Name, &Change> = metadata
        .changes
        .iter()
        .map(|change| (&change.key, change))
        .collect();
    let is_newer_here = |ours: &Change| {
        theirs
            .get(&ours.key)
            .is_none_or(|their| version_stamp(ours) > version_stamp(their))
    };
    let is_newer_there = |their: &&Change| {
        table
            .get(&their.key)
            .is_none_or(|ours| version_stamp(ours) < version_stamp(their))
    };
    let newer_here = table
        .entries_in(&metadata.ranges)
        .into_iter()
        .filter(is_newer_here)
        .collect();
    let newer_there = metadata
        .changes
        .iter()
        .filter(is_newer_there)
        .cloned()
        .collect();
    [
        RepairKind::Values.message(newer_here),
        RepairKind::Requests.message(newer_there),
    ]
    .into_iter()
    .filter(|repair| !repair.changes.is_empty())
}

/// The values that another requests.
pub(super) fn requested_values(table: &StateTable, request: &Repair) -> Repair {
    let values = request
        .changes
        .iter()
        .filter_map(|change| table.get(&change.key))
        .cloned()
        .collect();
    RepairKind::Values.message(values)
}
