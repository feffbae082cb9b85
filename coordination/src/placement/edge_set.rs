//! The edges of the fleet, among which fleet-wide limits are divided.

use crate::edge_roster::{EdgePlace, EdgeRoster};

/// This proxy's edge among all edges.
#[derive(Clone, Debug, Default)]
pub struct EdgeSet {
    own_name: String,
    /// Live edges that the agent knows, including this one.
    live_count: usize,
    roster: EdgeRoster,
}

impl EdgeSet {
    /// Creates a set of which only this proxy's edge is known.
    pub fn new(own_name: &str) -> Self {
        EdgeSet {
            own_name: own_name.into(),
            ..EdgeSet::default()
        }
    }

    /// Sets the number of live edges that the agent knows, and the name of this proxy's edge.
    pub fn set_live(&mut self, count: usize, own_name: &str) {
        self.live_count = count;
        self.own_name = own_name.into();
    }

    /// Replaces the committed roster.
    pub fn set_roster(&mut self, roster: EdgeRoster) {
        self.roster = roster;
    }

    /// Returns the number of edges for pacing messages and weighing costs, at least one. A hard limit is divided by
    /// [`EdgeSet::sharing_edges`] instead.
    pub fn count(&self) -> usize {
        self.roster.len().max(self.live_count).max(1)
    }

    /// Returns the number of edges that share fleet-wide limits; `None` if this edge is not known to be one of them
    /// and so has no share.
    pub fn sharing_edges(&self) -> Option<usize> {
        self.roster
            .contains(&self.own_name)
            .then(|| self.roster.len())
    }

    /// Returns whether no roster has been received, or one that lists no edge.
    pub fn has_no_roster(&self) -> bool {
        self.roster.is_empty()
    }

    /// Returns the name of this proxy's edge.
    pub fn own_name(&self) -> &str {
        &self.own_name
    }

    /// Returns this edge's place in the agreed order for a replica; `None` if it is not listed. `is_near` tells whether a
    /// zone is in the replica's region.
    pub fn place(&self, replica_id: &str, is_near: impl Fn(&str) -> bool) -> Option<EdgePlace> {
        self.roster.place(&self.own_name, replica_id, is_near)
    }
}
