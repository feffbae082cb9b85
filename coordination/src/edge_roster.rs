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

    /// Returns the number of edges that precede the named one in the agreed order for a replica.
    pub fn edges_ahead(&self, name: &str, replica_id: &str) -> usize {
        let own_weight = rendezvous_weight(replica_id, name);
        self.names()
            .filter(|other| *other != name && rendezvous_weight(replica_id, other) > own_weight)
            .count()
    }
}

#[cfg(test)]
mod tests;
