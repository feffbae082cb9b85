//! Partial-view membership: each node keeps a few neighbours, shuffles views with them, and spreads
//! rising beats by which every node judges every other.

use std::collections::BTreeMap;

use wire_messages::{List, Name, Node, Shuffle};

use crate::{
    Effects, Ms,
    effect::{note, send},
    events,
    limits::{FAR_SHUFFLE, GONE_A_NODE, NODE_FORGOTTEN, NODE_GONE, SHUFFLE_EVERY, SHUFFLE_SAMPLE, VIEW},
    regions::{Regions, region},
};

/// Roles of nodes, as on the wire.
pub const CONTROL: u8 = 1;
pub const EDGE: u8 = 2;

#[derive(Clone, Debug)]
struct Known {
    node: Node,
    /// When its beat last rose here.
    at: Ms,
    live: bool,
}

#[derive(Clone, Debug)]
pub struct Membership {
    me: Node,
    seeds: Vec<Name>,
    known: BTreeMap<Name, Known>,
    view: Vec<Name>,
    next: Ms,
    rng: fastrand::Rng,
    regions: Regions,
}

impl Membership {
    pub fn new(me: Node, seeds: Vec<Name>, seed: u64) -> Self {
        Membership {
            me,
            seeds,
            known: BTreeMap::new(),
            view: Vec::new(),
            next: 0,
            rng: fastrand::Rng::with_seed(seed),
            regions: Regions::new(),
        }
    }
    pub fn me(&self) -> &Node {
        &self.me
    }
    pub fn set_regions(&mut self, regions: Regions) {
        self.regions = regions;
    }
    /// Whether a node stands in this one's region.
    pub fn near(&self, n: &Node) -> bool {
        region(&self.regions, &n.zone) == region(&self.regions, &self.me.zone)
    }
    /// Changes what this node says of itself.
    pub fn set_http(&mut self, http: &str) {
        self.me.http = http.into();
    }
    pub fn view(&self) -> Vec<Node> {
        self.view.iter().filter_map(|n| self.known.get(n)).map(|k| k.node.clone()).collect()
    }
    pub fn live(&self, role: u8) -> impl Iterator<Item = &Node> {
        self.known.values().filter(move |k| k.live && k.node.role == role).map(|k| &k.node)
    }
    pub fn known(&self, role: u8) -> impl Iterator<Item = &Node> {
        self.known.values().filter(move |k| k.node.role == role).map(|k| &k.node)
    }
    pub fn get(&self, name: &str) -> Option<&Node> {
        self.known.get(name).map(|k| &k.node)
    }

    /// What a node says of itself.
    pub fn hear(&mut self, n: &Node, now: Ms, out: &mut Effects) {
        self.take(n, now, out);
    }

    fn take(&mut self, n: &Node, now: Ms, out: &mut Effects) {
        if n.name == self.me.name {
            return;
        }
        let Some(k) = self.known.get_mut(&n.name) else {
            out.push(note(events::NODE_FOUND, &n.name, n.addr.to_string()));
            self.known.insert(n.name.clone(), Known { node: n.clone(), at: now, live: true });
            return;
        };
        // A later life beats an earlier one's beats; within a life only a risen beat is news.
        // A life that seems earlier counts only once the later one is silent: a machine's clock was put back.
        let earlier = n.born < k.node.born && !k.live;
        if (n.born, n.beat) <= (k.node.born, k.node.beat) && !earlier {
            return;
        }
        if !k.live {
            out.push(note(events::NODE_FOUND, &n.name, "came back"));
        }
        *k = Known { node: n.clone(), at: now, live: true };
    }

    fn sample(&mut self) -> List<Node> {
        let live = self.known.values().filter(|k| k.live);
        let mut v: Vec<Node> = self.rng.choose_multiple(live, SHUFFLE_SAMPLE).into_iter().map(|k| k.node.clone()).collect();
        v.push(self.me.clone());
        List(v)
    }

    /// Fills the view from live nodes; the dead leave it.
    fn refill(&mut self) {
        let known = &self.known;
        self.view.retain(|n| known.get(n).is_some_and(|k| k.live));
        let more = known.values().filter(|k| k.live && !self.view.contains(&k.node.name)).map(|k| &k.node.name);
        let more: Vec<Name> = self.rng.choose_multiple(more, VIEW).into_iter().cloned().collect();
        // A random newcomer takes the oldest neighbour's place, so that views keep mixing.
        if self.view.len() >= VIEW && !more.is_empty() {
            self.view.remove(0);
        }
        self.view.extend(more.into_iter().take(VIEW.saturating_sub(self.view.len())));
    }

    pub fn on_shuffle(&mut self, from: &Name, m: Shuffle, now: Ms, out: &mut Effects) {
        for n in m.nodes.iter() {
            self.take(n, now, out);
        }
        if m.answer == 0 {
            let nodes = self.sample();
            out.push(send(from, Shuffle { nodes, answer: 1 }));
        }
    }

    /// The neighbour to shuffle with.
    fn partner(&mut self) -> Option<Name> {
        let mut view = self.view();
        // Bytes to other regions are dear. Where this region alone has more than a view holds, beats go round inside it,
        // and every third shuffle is enough to have them cross.
        let crowd = self.known.values().filter(|k| k.live && self.near(&k.node)).count() > VIEW;
        if crowd && !self.me.beat.is_multiple_of(FAR_SHUFFLE) && view.iter().any(|n| self.near(n)) {
            view.retain(|n| self.near(n));
        }
        self.rng.choice(view).map(|n| n.addr)
    }

    pub fn tick(&mut self, now: Ms, out: &mut Effects) {
        if now < self.next {
            return;
        }
        self.next = now + SHUFFLE_EVERY;
        self.me.beat += 1;
        let gone = NODE_GONE.max(GONE_A_NODE * self.known.values().filter(|k| k.live).count() as Ms);
        for k in self.known.values_mut().filter(|k| k.live && now.saturating_sub(k.at) > gone) {
            k.live = false;
            out.push(note(events::NODE_GONE, &k.node.name, ""));
        }
        self.known.retain(|_, k| now.saturating_sub(k.at) < NODE_FORGOTTEN);
        self.refill();
        let mut to: Vec<Name> = Vec::new();
        to.extend(self.partner());
        // Seeds only bring a lonely node in, or join two halves that lost sight of each other. A node that has just
        // started asks them all: it serves nobody until it has heard most control daemons.
        if self.me.beat == 1 {
            to.extend(self.seeds.iter().filter(|s| **s != self.me.addr).cloned());
        } else if (self.view.len() < 2 || self.me.beat.is_multiple_of(16))
            && let Some(s) = self.rng.choice(&self.seeds)
            && *s != self.me.addr
        {
            to.push(s.clone());
        }
        // A node given up for dead is knocked at now and then: after a cut nobody else may know of it.
        if self.me.beat.is_multiple_of(4) {
            let dead: Vec<Name> = self.known.values().filter(|k| !k.live).map(|k| k.node.addr.clone()).collect();
            to.extend(self.rng.choice(&dead).cloned());
        }
        for t in to {
            let nodes = self.sample();
            out.push(send(&t, Shuffle { nodes, answer: 0 }));
        }
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeSet;

    use googletest::prelude::*;
    use wire_messages::Msg;

    use super::*;
    use crate::{Effect, limits::TICK};

    /// Nodes that shuffle over a network that loses every tenth message.
    struct Bench {
        now: Ms,
        nodes: BTreeMap<Name, Membership>,
        rng: fastrand::Rng,
    }

    impl Bench {
        fn new(n: usize, seed: u64) -> Self {
            let mut b = Bench { now: 0, nodes: BTreeMap::new(), rng: fastrand::Rng::with_seed(seed) };
            (0..n).for_each(|i| b.add(i, &["n0", "n1", "n2"]));
            b
        }
        fn add(&mut self, i: usize, seeds: &[&str]) {
            let name: Name = format!("n{i}").into();
            let me = Node { name: name.clone(), addr: name.clone(), role: EDGE, born: self.now + 1, ..Node::default() };
            let seeds = seeds.iter().map(|s| (*s).into()).collect();
            self.nodes.insert(name, Membership::new(me, seeds, self.rng.u64(..)));
        }
        fn run(&mut self, ms: Ms) {
            let end = self.now + ms;
            while self.now < end {
                self.now += TICK;
                let mut out: Vec<(Name, Effects)> = vec![];
                for (n, m) in &mut self.nodes {
                    let mut o = vec![];
                    m.tick(self.now, &mut o);
                    out.push((n.clone(), o));
                }
                while let Some((from, o)) = out.pop() {
                    for e in o {
                        let Effect::Send { to, msg: Msg::Shuffle(m) } = e else { continue };
                        let Some(n) = self.nodes.get_mut(&to).filter(|_| self.rng.u8(..10) > 0) else { continue };
                        let mut o = vec![];
                        n.on_shuffle(&from, m, self.now, &mut o);
                        out.push((to, o));
                    }
                }
            }
        }
        /// Nodes that do not take exactly the others for live, and whom they take.
        fn wrong(&self) -> Vec<(&Name, BTreeSet<&Name>)> {
            let all: BTreeSet<&Name> = self.nodes.keys().collect();
            self.nodes
                .iter()
                .map(|(n, m)| (n, m.live(EDGE).map(|x| &x.name).chain([n]).collect::<BTreeSet<&Name>>()))
                .filter(|(_, live)| *live != all)
                .collect()
        }
    }

    #[gtest]
    fn one_that_starts_asks_all_its_seeds_at_once_and_later_one() {
        let seeds: Vec<Name> = ["s1", "s2", "s3"].map(Into::into).into();
        let mut m = Membership::new(Node { name: "n".into(), addr: "s2".into(), ..Node::default() }, seeds, 1);
        let mut asked = |now| {
            let mut out = vec![];
            m.tick(now, &mut out);
            out.len()
        };
        expect_that!(asked(10), eq(2), "all but itself");
        expect_that!((0..8).map(|i| asked(20 + (i + 1) * SHUFFLE_EVERY)).max(), some(eq(1)));
    }

    #[gtest]
    fn a_large_fleet_takes_no_live_node_for_gone_and_notices_the_gone() {
        let mut b = Bench::new(120, 1);
        b.run(20_000);
        let missing = |b: &Bench| -> usize { b.nodes.values().map(|m| b.nodes.len() - 1 - m.live(EDGE).count()).sum() };
        let mut all = 0;
        for _ in 0..40 {
            b.run(500);
            all += missing(&b);
        }
        // Of 571,200 looks of one node at another, one in ten thousand.
        expect_that!(all, le(57));
        let gone = Name::from("n100");
        drop(b.nodes.remove(&gone));
        b.run(2 * 120 * GONE_A_NODE);
        expect_false!(b.nodes.values().any(|m| m.live(EDGE).any(|n| n.name == gone)));
    }

    #[gtest]
    fn all_find_each_other_notice_the_gone_and_outlive_their_seeds() {
        for seed in 0..30 {
            let mut b = Bench::new(11, seed);
            b.run(5_000);
            expect_that!(b.wrong(), is_empty(), "seed {seed}: found");
            // Four of eleven go at once, the seeds among them: the others' views hold together.
            (0..4).for_each(|i| drop(b.nodes.remove(&Name::from(format!("n{i}").as_str()))));
            // Rumours of them go round for a while after they went.
            b.run(3 * NODE_GONE);
            expect_that!(b.wrong(), is_empty(), "seed {seed}: gone");
            // Every machine is replaced, one after the other; each newcomer knows only those that stand.
            for i in 4..11 {
                b.nodes.remove(&Name::from(format!("n{i}").as_str()));
                let stand: Vec<String> = b.nodes.keys().take(3).map(|n| n.to_string()).collect();
                b.add(i + 100, &stand.iter().map(String::as_str).collect::<Vec<_>>());
                b.run(3 * NODE_GONE);
            }
            expect_that!(b.wrong(), is_empty(), "seed {seed}: replaced");
            expect_true!(b.nodes.values().all(|m| m.view().len() <= VIEW));
        }
    }
}
