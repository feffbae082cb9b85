//! The partial view: the neighbours with which a node shuffles.

use wire_messages::Name;

use super::known_nodes::KnownNodes;

/// Number of neighbours in a partial view. With 5, a fleet of 11 stays connected when four nodes
/// fail.
pub const VIEW_SIZE: usize = 5;

/// Names of the neighbours, the oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct PartialView {
    neighbours: Vec<Name>,
}

impl PartialView {
    pub fn len(&self) -> usize {
        self.neighbours.len()
    }

    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.neighbours.iter()
    }

    /// Drops unreachable neighbours and fills the view with random live nodes. In a full view a random
    /// node replaces the oldest neighbour, so that views keep mixing.
    pub fn refill(&mut self, known: &KnownNodes, rng: &mut fastrand::Rng) {
        self.neighbours
            .retain(|name| known.get(name).is_some_and(|known| known.is_live));
        let others = known
            .live()
            .map(|known| &known.node.name)
            .filter(|name| !self.neighbours.contains(name));
        let candidates: Vec<Name> = rng
            .choose_multiple(others, VIEW_SIZE)
            .into_iter()
            .cloned()
            .collect();
        if self.len() >= VIEW_SIZE && !candidates.is_empty() {
            self.neighbours.remove(0);
        }
        let free = VIEW_SIZE.saturating_sub(self.len());
        self.neighbours.extend(candidates.into_iter().take(free));
    }
}
