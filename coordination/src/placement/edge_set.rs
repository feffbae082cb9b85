//! The edges of the fleet, among which fleet-wide limits are divided.

use crate::{Ms, rendezvous::rendezvous_weight};

/// Delay before a lower edge count takes effect: the missing edges may only be partitioned and still use their shares.
const SMALLER_COUNT_DELAY: Ms = 15_000;

/// Names of all edges, and the number of edges that share a limit.
#[derive(Clone, Debug, Default)]
pub struct EdgeSet {
    names: Vec<String>,
    own_name: String,
    /// Highest recent number of edges, and when it was last observed.
    count: usize,
    counted_at: Ms,
}

impl EdgeSet {
    /// Creates a set that contains only this proxy's edge.
    pub fn new(own_name: &str) -> Self {
        EdgeSet {
            own_name: own_name.into(),
            ..EdgeSet::default()
        }
    }

    /// Replaces the names of all edges.
    pub fn set(&mut self, names: Vec<String>, own_name: &str, now: Ms) {
        let count = names.len().max(1);
        if count >= self.count || now.saturating_sub(self.counted_at) > SMALLER_COUNT_DELAY {
            self.count = count;
            self.counted_at = now;
        }
        self.names = names;
        self.own_name = own_name.into();
    }

    /// Returns the number of edges that share the limits; at least one.
    pub fn count(&self) -> usize {
        self.count.max(1)
    }

    /// Returns the name of this proxy's edge.
    pub fn own_name(&self) -> &str {
        &self.own_name
    }

    /// Returns the number of edges that precede this one in the agreed order for a replica.
    pub fn edges_ahead(&self, replica_id: &str) -> usize {
        let own_weight = rendezvous_weight(replica_id, &self.own_name);
        self.names
            .iter()
            .filter(|name| {
                **name != self.own_name && rendezvous_weight(replica_id, name) > own_weight
            })
            .count()
    }
}
