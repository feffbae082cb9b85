//! The roster of the fleet's edges: the committed list among whose edges fleet-wide limits are divided.
//!
//! A limit that each edge divides by the edges it has found itself is exceeded as soon as edges know only some of the
//! others: after a start or during a partition. All edges read the same roster before they serve, and one that is not
//! listed has no share. The roster changes only when edges join or are gone for good, so that the rosters of edges that
//! have not received the newest one differ little from it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

pub use crate::register::EDGE_ROSTER_KEY;
use crate::rendezvous::rendezvous_weight;

/// Names of all edges, by zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EdgeRoster {
    edges_by_zone: BTreeMap<String, BTreeSet<String>>,
}

impl EdgeRoster {
    /// Adds an edge. One that moved to another zone must be removed first.
    pub fn insert(&mut self, name: &str, zone: &str) {
        self.edges_by_zone
            .entry(zone.into())
            .or_default()
            .insert(name.into());
    }

    /// Retains the edges that satisfy the condition.
    pub fn retain(&mut self, condition: impl Fn(&str) -> bool) {
        for names in self.edges_by_zone.values_mut() {
            names.retain(|name| condition(name));
        }
        self.edges_by_zone.retain(|_, names| !names.is_empty());
    }

    /// Iterates over the names of all edges.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.edges_by_zone.values().flatten().map(String::as_str)
    }

    /// Returns the number of edges.
    pub fn len(&self) -> usize {
        self.edges_by_zone.values().map(BTreeSet::len).sum()
    }

    /// Returns whether no edge is listed.
    pub fn is_empty(&self) -> bool {
        self.edges_by_zone.is_empty()
    }

    /// Returns whether an edge is listed.
    pub fn contains(&self, name: &str) -> bool {
        self.edges_by_zone
            .values()
            .any(|names| names.contains(name))
    }

    /// Returns the place of an edge in the agreed order for a replica; `None` if the edge is not listed. `is_near` tells
    /// whether a zone is in the replica's region. Near and far edges have an order of their own, so that a roster that
    /// lacks a region changes the order of no other.
    pub fn place(
        &self,
        name: &str,
        replica_id: &str,
        is_near: impl Fn(&str) -> bool,
    ) -> Option<EdgePlace> {
        let own_zone = self
            .edges_by_zone
            .iter()
            .find(|(_, names)| names.contains(name))
            .map(|(zone, _)| zone)?;
        let own_weight = rendezvous_weight(replica_id, name);
        let mut place = EdgePlace {
            is_near: is_near(own_zone),
            ..EdgePlace::default()
        };
        for (zone, names) in &self.edges_by_zone {
            let is_zone_near = is_near(zone);
            if is_zone_near {
                place.near_edges += names.len();
            } else {
                place.far_edges += names.len();
            }
            if is_zone_near == place.is_near {
                let precedes = |other: &&String| rendezvous_weight(replica_id, other) > own_weight;
                place.edges_ahead += names.iter().filter(precedes).count();
            }
        }
        Some(place)
    }
}

/// The place of an edge in the agreed order in which edges use a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EdgePlace {
    /// Whether the edge is in the replica's region.
    pub is_near: bool,
    /// Number of edges in the replica's region.
    pub near_edges: usize,
    /// Number of edges in other regions.
    pub far_edges: usize,
    /// Edges that precede this one among the near or the far ones, whichever it belongs to.
    pub edges_ahead: usize,
}

#[cfg(test)]
mod tests;
