//! Membership: that the live find each other and keep each other, that the gone are noticed, at any size.

use std::collections::{BTreeMap, BTreeSet};

use coordination::{
    Effect, Effects, Ms,
    membership::{
        MAX_SHUFFLE_INTERVAL, Membership, NODE_TIMEOUT_PER_NODE, NodeRole, SHUFFLE_INTERVAL,
        VIEW_SIZE,
    },
    timing::{NODE_TIMEOUT, TICK_INTERVAL},
};
use googletest::prelude::*;
use wire_messages::{Envelope, Message, Name, Node, encode};

/// Nodes that shuffle over a network that loses every tenth message.
struct Bench {
    now: Ms,
    nodes: BTreeMap<Name, Membership>,
    rng: fastrand::Rng,
    /// Of all shuffles, where they are counted.
    bytes: Option<usize>,
}

impl Bench {
    fn new(n: usize, seed: u64) -> Self {
        let mut b = Bench {
            now: 0,
            nodes: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            bytes: None,
        };
        (0..n).for_each(|i| b.add(i, &["n0", "n1", "n2"]));
        b
    }
    fn add(&mut self, i: usize, seeds: &[&str]) {
        let name: Name = format!("n{i}").into();
        let me = Node {
            name: name.clone(),
            addr: name.clone(),
            role: NodeRole::Edge.to_byte(),
            incarnation: self.now + 1,
            ..Node::default()
        };
        let seeds = seeds.iter().map(|s| (*s).into()).collect();
        self.nodes
            .insert(name, Membership::new(me, seeds, self.rng.u64(..)));
    }
    fn run(&mut self, ms: Ms) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK_INTERVAL;
            let mut out: Vec<(Name, Effects)> = vec![];
            for (n, m) in &mut self.nodes {
                let mut o = vec![];
                m.tick(self.now, &mut o);
                out.push((n.clone(), o));
            }
            while let Some((from, o)) = out.pop() {
                for e in o {
                    let Effect::Send {
                        to,
                        msg: Message::Shuffle(m),
                    } = e
                    else {
                        continue;
                    };
                    if let Some(b) = &mut self.bytes {
                        let e = Envelope {
                            from: from.clone(),
                            addr: from.clone(),
                            msg: m.clone().into(),
                        };
                        *b += encode(&e).map_or(0, |b| b.len());
                    }
                    let Some(n) = self.nodes.get_mut(&to).filter(|_| self.rng.u8(..10) > 0) else {
                        continue;
                    };
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
            .map(|(n, m)| {
                (
                    n,
                    m.live(NodeRole::Edge)
                        .map(|x| &x.name)
                        .chain([n])
                        .collect::<BTreeSet<&Name>>(),
                )
            })
            .filter(|(_, live)| *live != all)
            .collect()
    }
}

#[gtest]
fn one_that_starts_asks_all_its_seeds_at_once_and_later_one() {
    let seeds: Vec<Name> = ["s1", "s2", "s3"].map(Into::into).into();
    let mut m = Membership::new(
        Node {
            name: "n".into(),
            addr: "s2".into(),
            ..Node::default()
        },
        seeds,
        1,
    );
    let mut asked = |now| {
        let mut out = vec![];
        m.tick(now, &mut out);
        out.len()
    };
    expect_that!(asked(10), eq(2), "all but itself");
    expect_that!(
        (0..8).map(|i| asked(20 + (i + 1) * SHUFFLE_INTERVAL)).max(),
        some(eq(1))
    );
}

#[gtest]
fn a_large_fleet_takes_no_live_node_for_gone_and_notices_the_gone() {
    let mut b = Bench::new(120, 1);
    b.run(20_000);
    let missing = |b: &Bench| -> usize {
        b.nodes
            .values()
            .map(|m| b.nodes.len() - 1 - m.live(NodeRole::Edge).count())
            .sum()
    };
    let mut all = 0;
    for _ in 0..40 {
        b.run(500);
        all += missing(&b);
    }
    // Of 571,200 looks of one node at another, one in ten thousand.
    expect_that!(all, le(57));
    let gone = Name::from("n100");
    drop(b.nodes.remove(&gone));
    b.run(2 * 120 * NODE_TIMEOUT_PER_NODE);
    expect_false!(
        b.nodes
            .values()
            .any(|m| m.live(NodeRole::Edge).any(|n| n.name == gone))
    );
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
        b.run(3 * NODE_TIMEOUT);
        expect_that!(b.wrong(), is_empty(), "seed {seed}: gone");
        // Every machine is replaced, one after the other; each newcomer knows only those that stand.
        for i in 4..11 {
            b.nodes.remove(&Name::from(format!("n{i}").as_str()));
            let stand: Vec<String> = b.nodes.keys().take(3).map(|n| n.to_string()).collect();
            b.add(
                i + 100,
                &stand.iter().map(String::as_str).collect::<Vec<_>>(),
            );
            b.run(3 * NODE_TIMEOUT);
        }
        expect_that!(b.wrong(), is_empty(), "seed {seed}: replaced");
        expect_true!(b.nodes.values().all(|m| m.view().len() <= VIEW_SIZE));
    }
}

/// Looks of one node at another that miss it.
fn missing(b: &Bench) -> usize {
    b.nodes
        .values()
        .map(|m| b.nodes.len() - 1 - m.live(NodeRole::Edge).count())
        .sum()
}

#[gtest]
fn fleets_of_any_size_keep_the_live_and_notice_the_gone_in_the_time_that_they_are_given() {
    for n in [5, 30, 90, 400] {
        let mut b = Bench::new(n, 7);
        b.run(30_000);
        let (mut missed, mut looks) = (0, 0);
        for _ in 0..40 {
            b.run(500);
            (missed, looks) = (missed + missing(&b), looks + n * (n - 1));
        }
        expect_that!(missed * 100_000, le(looks), "{n}: live ones taken for gone");
        let gone = [Name::from("n3"), Name::from("n4")];
        gone.iter().for_each(|g| drop(b.nodes.remove(g)));
        let sees = |b: &Bench| {
            b.nodes
                .values()
                .any(|m| m.live(NodeRole::Edge).any(|x| gone.contains(&x.name)))
        };
        // A beat's age rises by nothing on the way, here as long as a tick.
        b.run(NODE_TIMEOUT.max(NODE_TIMEOUT_PER_NODE * n as Ms) + 2 * MAX_SHUFFLE_INTERVAL);
        expect_false!(sees(&b), "{n}: gone ones taken for live");
        for _ in 0..20 {
            b.run(500);
            expect_false!(sees(&b), "{n}: rumours brought one back");
        }
    }
}

/// One node's turn, all of it to the other, which also hears that the first lives.
fn turn(from: &mut Membership, to: &mut Membership, name: &str, now: Ms) {
    let mut out = vec![];
    from.tick(now, &mut out);
    let me = Node {
        name: name.into(),
        addr: name.into(),
        role: NodeRole::Edge.to_byte(),
        incarnation: 1,
        heartbeat: now as u32,
        ..Node::default()
    };
    to.on_description(&me, now, &mut vec![]);
    for e in out {
        let Effect::Send {
            msg: Message::Shuffle(m),
            ..
        } = e
        else {
            continue;
        };
        to.on_shuffle(&name.into(), m, now, &mut vec![]);
    }
}

#[gtest]
fn a_beat_that_is_passed_to_and_fro_gets_no_younger() {
    let node = |n: &str| Node {
        name: n.into(),
        addr: n.into(),
        role: NodeRole::Edge.to_byte(),
        incarnation: 1,
        ..Node::default()
    };
    let new = |n: &str| Membership::new(node(n), vec![], 1);
    let (mut a, mut b, mut out) = (new("a"), new("b"), vec![]);
    a.on_description(
        &Node {
            heartbeat: 9,
            ..node("c")
        },
        10_000,
        &mut out,
    );
    for now in (10_000..14_000).step_by(TICK_INTERVAL as usize) {
        turn(&mut a, &mut b, "a", now);
        turn(&mut b, &mut a, "b", now);
        let knows = |m: &Membership| m.live(NodeRole::Edge).any(|n| &*n.name == "c");
        if now > 10_000 + NODE_TIMEOUT + 2 * SHUFFLE_INTERVAL {
            expect_false!(knows(&a) || knows(&b), "{now}");
        }
    }
}

#[gtest]
fn what_a_node_says_anew_of_itself_comes_round() {
    let mut b = Bench::new(60, 3);
    b.run(10_000);
    let who = Name::from("n7");
    b.nodes
        .entry(who.clone())
        .and_modify(|m| m.set_http_addr("10.0.0.7:80"));
    b.run(6_000);
    let lacks =
        |m: &&Membership| m.me().name != who && m.get(&who).is_none_or(|n| n.http_addr.is_empty());
    expect_that!(b.nodes.values().filter(lacks).count(), eq(0));
}

#[gtest]
fn a_large_fleet_says_no_more_to_neighbours_than_a_small_one() {
    let rate = |n: usize| {
        let mut b = Bench::new(n, 5);
        b.run(40_000);
        b.bytes = Some(0);
        b.run(20_000);
        b.bytes.unwrap_or_default() / 20 / n
    };
    let (small, large) = (rate(60), rate(400));
    expect_that!(small, le(3_600), "bytes a second of each");
    expect_that!(large, le(1_500), "bytes a second of each");
}
