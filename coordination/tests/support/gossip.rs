//! Simulated nodes that gossip over a network that loses one message in ten, in virtual time.

use std::collections::BTreeMap;

use coordination::{
    Effect, Effects, Ms,
    membership::{Membership, NodeRole},
    timing::TICK_INTERVAL,
};
use wire_messages::{Message, Name, Node, Shuffle};

/// One in this many messages is lost on average.
const LOSS_PERIOD: u8 = 10;

/// Returns an edge that has `name` as its name and address.
pub fn edge(name: &str) -> Node {
    Node {
        name: name.into(),
        addr: name.into(),
        role: NodeRole::Edge.to_byte(),
        incarnation: 1,
        ..Node::default()
    }
}

/// A sent message, including one that the network will lose.
pub struct Sent<'a> {
    pub from: &'a Name,
    pub to: &'a Name,
    pub shuffle: &'a Shuffle,
}

pub struct Network {
    pub now: Ms,
    pub nodes: BTreeMap<Name, Membership>,
    pub rng: fastrand::Rng,
}

impl Network {
    pub fn new(seed: u64) -> Self {
        Network {
            now: 0,
            nodes: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    pub fn remove(&mut self, name: &str) {
        self.nodes.remove(name);
    }

    pub fn run(&mut self, duration: Ms) {
        self.run_observed(duration, |_| {});
    }

    /// Runs for `duration` and passes every sent message to `observe`.
    pub fn run_observed(&mut self, duration: Ms, mut observe: impl FnMut(Sent)) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK_INTERVAL;
            let mut pending = self.tick_all();
            while let Some((from, effects)) = pending.pop() {
                for effect in effects {
                    let Effect::Send {
                        to,
                        msg: Message::Shuffle(shuffle),
                    } = effect
                    else {
                        continue;
                    };
                    observe(Sent {
                        from: &from,
                        to: &to,
                        shuffle: &shuffle,
                    });
                    if let Some(answer) = self.deliver(&from, &to, shuffle) {
                        pending.push((to, answer));
                    }
                }
            }
        }
    }

    fn tick_all(&mut self) -> Vec<(Name, Effects)> {
        let mut pending = vec![];
        for (name, membership) in &mut self.nodes {
            let mut effects = vec![];
            membership.tick(self.now, &mut effects);
            pending.push((name.clone(), effects));
        }
        pending
    }

    /// Returns the effects of the receiver, or `None` if it does not exist or the message is lost.
    fn deliver(&mut self, from: &Name, to: &Name, shuffle: Shuffle) -> Option<Effects> {
        let receiver = self.nodes.get_mut(to)?;
        if self.rng.u8(..LOSS_PERIOD) == 0 {
            return None;
        }
        let mut effects = vec![];
        receiver.on_shuffle(from, shuffle, self.now, &mut effects);
        Some(effects)
    }

    /// Returns the number of false suspicions: live nodes that another node does not consider live, summed over all nodes.
    pub fn false_suspicion_count(&self) -> usize {
        self.nodes
            .values()
            .map(|membership| self.nodes.len() - 1 - membership.live(NodeRole::Edge).count())
            .sum()
    }
}
