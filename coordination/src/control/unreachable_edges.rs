//! Report of the unreachable edges to the agents. All live edges poll this daemon, while gossip takes longer to detect
//! a lost edge the larger the fleet is.

use wire_messages::{List, UnreachableEdges};

use super::{Control, followers::Follower};
use crate::{
    Ms,
    membership::{NodeRole, name_digest},
    timing::NODE_TIMEOUT,
};

/// Interval between checks for unreachable edges, in ms.
const CHECK_INTERVAL: Ms = 100;

/// The current report, and when it is checked next.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreachableEdgeReport {
    /// Number of times the report has changed; used as the version of the report.
    change_count: u64,
    /// Digests of the edges' names, in the order of the names; `None` while this daemon cannot know them.
    edges: Option<Vec<u32>>,
    next_check: Ms,
}

impl UnreachableEdgeReport {
    fn set(&mut self, edges: Option<Vec<u32>>) {
        if edges != self.edges {
            self.change_count += 1;
            self.edges = edges;
        }
    }

    /// Returns the version of the report as it is sent; 0 if this daemon has nothing to report.
    fn version(&self) -> u64 {
        self.edges.as_ref().map_or(0, |_| self.change_count)
    }

    fn message(&self) -> UnreachableEdges {
        UnreachableEdges {
            version: self.version(),
            edges: List(self.edges.clone().unwrap_or_default()),
        }
    }

    /// Returns the report if its version differs from the version that a follower has.
    pub(super) fn changed_since(&self, version: u64) -> List<UnreachableEdges> {
        if version == self.version() {
            return List::default();
        }
        List(vec![self.message()])
    }
}

impl Control {
    /// Updates the report if a check is due. A daemon that is not in contact reports no edges, because it may be the
    /// one that is cut off.
    pub(super) fn check_unreachable_edges(&mut self, now: Ms) {
        if now < self.unreachable_edges.next_check {
            return;
        }
        self.unreachable_edges.next_check = now + CHECK_INTERVAL;
        let edges = self
            .is_in_contact(now)
            .then(|| self.unreachable_edges_now(now));
        self.unreachable_edges.set(edges);
    }

    fn unreachable_edges_now(&self, now: Ms) -> Vec<u32> {
        self.membership
            .known(NodeRole::Edge)
            .filter(|edge| self.time_since_received(edge, now) > NODE_TIMEOUT)
            .map(|edge| name_digest(&edge.name))
            .collect()
    }

    /// Returns the report if a follower lacks the newest one.
    pub(super) fn unreachable_edges_update(&self, follower: &Follower) -> List<UnreachableEdges> {
        self.unreachable_edges
            .changed_since(follower.unreachable_edges_version)
    }
}
