//! The edges of the fleet, over which proxies share what is bounded for all of them together.

use crate::{Ms, rendezvous::rendezvous_weight};

/// A count of edges that falls is believed after this long: those that left may only have been cut off, and may still
/// draw their shares.
const SMALLER_COUNT_DELAY: Ms = 15_000;

/// Names of all edges, and how many of them share a bound.
#[derive(Clone, Debug, Default)]
pub struct EdgeSet {
    names: Vec<String>,
    own_name: String,
    /// The most edges there lately were, and when there were that many.
    count: usize,
    counted_at: Ms,
}

impl EdgeSet {
    /// A set of which only the own name is known.
    pub fn new(own_name: &str) -> Self {
        EdgeSet {
            own_name: own_name.into(),
            ..EdgeSet::default()
        }
    }

    /// Takes the current names.
    pub fn set(&mut self, names: Vec<String>, own_name: &str, now: Ms) {
        let count = names.len().max(1);
        if count >= self.count || now.saturating_sub(self.counted_at) > SMALLER_COUNT_DELAY {
            self.count = count;
            self.counted_at = now;
        }
        self.names = names;
        self.own_name = own_name.into();
    }

    /// Edges among which bounds are shared; at least one.
    pub fn count(&self) -> usize {
        self.count.max(1)
    }

    /// The name of this proxy's edge.
    pub fn own_name(&self) -> &str {
        &self.own_name
    }

    /// Edges that go before this one in the agreed order for a replica.
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
