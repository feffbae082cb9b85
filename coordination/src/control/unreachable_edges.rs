//! The edges that this daemon does not hear from, as it reports them to the agents: all live edges poll it, while gossip
//! takes the longer to notice a lost edge the larger the fleet is.

use wire_messages::{List, UnreachableEdges};

use super::{Control, followers::Follower};
use crate::{
    Ms,
    membership::{NodeRole, name_digest},
    timing::NODE_TIMEOUT,
};

/// ms. How often it is looked up which edges are unreachable.
const CHECK_INTERVAL: Ms = 100;

/// The present report, and when it is checked next.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreachableEdgeReport {
    /// How often the report has changed; the version of a report.
    changes: u64,
    /// Digests of the edges' names in their order; none while this daemon cannot know.
    edges: Option<Vec<u32>>,
    next_check: Ms,
}

impl UnreachableEdgeReport {
    fn set(&mut self, edges: Option<Vec<u32>>) {
        if edges != self.edges {
            self.changes += 1;
            self.edges = edges;
        }
    }

    /// The version of the report as it is sent; 0 where this daemon has nothing to report.
    fn version(&self) -> u64 {
        self.edges.as_ref().map_or(0, |_| self.changes)
    }

    fn message(&self) -> UnreachableEdges {
        UnreachableEdges {
            version: self.version(),
            edges: List(self.edges.clone().unwrap_or_default()),
        }
    }

    /// What a follower lacks that has the report of this version.
    pub(super) fn after_version(&self, version: u64) -> List<UnreachableEdges> {
        if version == self.version() {
            return List::default();
        }
        List(vec![self.message()])
    }
}

impl Control {
    /// Looks up which edges are unreachable, where that is due. A daemon that is not in contact reports none: it may be
    /// the one that is cut off.
    pub(super) fn check_unreachable_edges(&mut self, now: Ms) {
        if now < self.unreachable_edges.next_check {
            return;
        }
        self.unreachable_edges.next_check = now + CHECK_INTERVAL;
        let edges = self.in_touch(now).then(|| self.unreachable_edges_now(now));
        self.unreachable_edges.set(edges);
    }

    fn unreachable_edges_now(&self, now: Ms) -> Vec<u32> {
        self.membership
            .known(NodeRole::Edge)
            .filter(|edge| self.time_since_received(edge, now) > NODE_TIMEOUT)
            .map(|edge| name_digest(&edge.name))
            .collect()
    }

    /// The report, where a follower lacks the newest.
    pub(super) fn lacking_unreachable_edges(&self, follower: &Follower) -> List<UnreachableEdges> {
        self.unreachable_edges
            .after_version(follower.unreachable_edges_version)
    }
}
