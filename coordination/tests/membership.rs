//! Membership: live nodes find each other and go on to see each other, and the gone are noticed, at
//! any size.

mod support;

use std::collections::BTreeSet;

use coordination::{
    Effect, Ms,
    membership::{
        MAX_SHUFFLE_INTERVAL, Membership, NODE_TIMEOUT_PER_NODE, NodeRole, SHUFFLE_INTERVAL,
        VIEW_SIZE,
    },
    timing::{NODE_TIMEOUT, TICK_INTERVAL},
};
use googletest::prelude::*;
use support::gossip::{Network, Sent, edge};
use wire_messages::{Envelope, Message, Name, Node, encode};

/// A fleet of edges `n0`, `n1` and so on, of which the first three are seeds.
fn fleet(node_count: usize, seed: u64) -> Network {
    let mut network = Network::new(seed);
    for index in 0..node_count {
        add(&mut network, index, &["n0", "n1", "n2"]);
    }
    network
}

fn add(network: &mut Network, index: usize, seeds: &[&str]) {
    let me = Node {
        incarnation: network.now + 1,
        ..edge(&format!("n{index}"))
    };
    let seeds = seeds.iter().map(|seed| (*seed).into()).collect();
    let random_seed = network.rng.u64(..);
    network
        .nodes
        .insert(me.name.clone(), Membership::new(me, seeds, random_seed));
}

/// Whether any node takes this one for live.
fn is_seen(network: &Network, name: &str) -> bool {
    network
        .nodes
        .values()
        .any(|membership| sees(membership, name))
}

fn sees(membership: &Membership, name: &str) -> bool {
    membership
        .live(NodeRole::Edge)
        .any(|node| &*node.name == name)
}

/// Nodes that do not take exactly the others for live, and whom they take.
fn wrong_views(network: &Network) -> Vec<(&Name, BTreeSet<&Name>)> {
    let all: BTreeSet<&Name> = network.nodes.keys().collect();
    let live = |membership| {
        Membership::live(membership, NodeRole::Edge)
            .map(|node| &node.name)
            .chain([&membership.me().name])
            .collect::<BTreeSet<&Name>>()
    };
    network
        .nodes
        .iter()
        .map(|(name, membership)| (name, live(membership)))
        .filter(|(_, live)| *live != all)
        .collect()
}

#[gtest]
fn a_node_that_starts_asks_all_its_seeds_at_once_and_later_one() {
    let seeds: Vec<Name> = ["s1", "s2", "s3"].map(Into::into).into();
    let me = Node {
        name: "n".into(),
        addr: "s2".into(),
        ..Node::default()
    };
    let mut membership = Membership::new(me, seeds, 1);
    let mut ask = |now| {
        let mut effects = vec![];
        membership.tick(now, &mut effects);
        effects.len()
    };
    expect_that!(ask(10), eq(2), "all but itself");
    expect_that!(
        (0..8)
            .map(|turn| ask(20 + (turn + 1) * SHUFFLE_INTERVAL))
            .max(),
        some(eq(1))
    );
}

#[gtest]
fn a_large_fleet_suspects_no_live_node_and_detects_failures() {
    let mut network = fleet(120, 1);
    network.run(20_000);
    let mut false_suspicion_count = 0;
    for _ in 0..40 {
        network.run(500);
        false_suspicion_count += network.false_suspicion_count();
    }
    // Of 571,200 looks of one node at another, one in ten thousand.
    expect_that!(false_suspicion_count, le(57));
    network.remove("n100");
    network.run(2 * 120 * NODE_TIMEOUT_PER_NODE);
    expect_false!(is_seen(&network, "n100"));
}

#[gtest]
fn all_find_each_other_detect_failures_and_survive_their_seeds() {
    for seed in 0..30 {
        let mut network = fleet(11, seed);
        network.run(5_000);
        expect_that!(wrong_views(&network), is_empty(), "seed {seed}: found");
        // Four of eleven go at once, the seeds among them: the others' views stay connected.
        for index in 0..4 {
            network.remove(&format!("n{index}"));
        }
        // Gossip of them goes round for a while after they went.
        network.run(3 * NODE_TIMEOUT);
        expect_that!(wrong_views(&network), is_empty(), "seed {seed}: gone");
        // Every machine is replaced, one after the other; each new one knows only some that are
        // there.
        for index in 4..11 {
            network.remove(&format!("n{index}"));
            let present: Vec<String> = network.nodes.keys().take(3).map(Name::to_string).collect();
            let seeds: Vec<&str> = present.iter().map(String::as_str).collect();
            add(&mut network, index + 100, &seeds);
            network.run(3 * NODE_TIMEOUT);
        }
        expect_that!(wrong_views(&network), is_empty(), "seed {seed}: replaced");
        expect_true!(
            network
                .nodes
                .values()
                .all(|membership| membership.view().len() <= VIEW_SIZE)
        );
    }
}

#[gtest]
fn fleets_of_any_size_suspect_no_live_node_and_detect_failures_within_their_timeout() {
    for node_count in [5, 30, 90, 400] {
        let mut network = fleet(node_count, 7);
        network.run(30_000);
        let (mut false_suspicion_count, mut look_count) = (0, 0);
        for _ in 0..40 {
            network.run(500);
            false_suspicion_count += network.false_suspicion_count();
            look_count += node_count * (node_count - 1);
        }
        expect_that!(
            false_suspicion_count * 100_000,
            le(look_count),
            "{node_count}: live ones taken for gone"
        );
        network.remove("n3");
        network.remove("n4");
        let sees_gone = |network: &Network| is_seen(network, "n3") || is_seen(network, "n4");
        // A heartbeat's age rises by nothing on the way, here as long as a tick.
        let timeout = NODE_TIMEOUT.max(NODE_TIMEOUT_PER_NODE * node_count as Ms);
        network.run(timeout + 2 * MAX_SHUFFLE_INTERVAL);
        expect_false!(
            sees_gone(&network),
            "{node_count}: gone ones taken for live"
        );
        for _ in 0..20 {
            network.run(500);
            expect_false!(sees_gone(&network), "{node_count}: gossip brought one back");
        }
    }
}

/// One node's tick, all of it to the other, which also hears that the first is alive.
fn tick_to(from: &mut Membership, to: &mut Membership, now: Ms) {
    let mut effects = vec![];
    from.tick(now, &mut effects);
    let name = from.me().name.clone();
    let me = Node {
        heartbeat: now as u32,
        ..edge(&name)
    };
    to.on_description(&me, now, &mut vec![]);
    for effect in effects {
        if let Effect::Send {
            msg: Message::Shuffle(shuffle),
            ..
        } = effect
        {
            to.on_shuffle(&name, shuffle, now, &mut vec![]);
        }
    }
}

#[gtest]
fn a_heartbeat_that_is_passed_to_and_fro_gets_no_younger() {
    let start = |name: &str| Membership::new(edge(name), vec![], 1);
    let (mut first, mut second) = (start("a"), start("b"));
    let gone = Node {
        heartbeat: 9,
        ..edge("c")
    };
    first.on_description(&gone, 10_000, &mut vec![]);
    for now in (10_000..14_000).step_by(TICK_INTERVAL as usize) {
        tick_to(&mut first, &mut second, now);
        tick_to(&mut second, &mut first, now);
        if now > 10_000 + NODE_TIMEOUT + 2 * SHUFFLE_INTERVAL {
            expect_false!(sees(&first, "c") || sees(&second, "c"), "{now}");
        }
    }
}

#[gtest]
fn a_changed_description_reaches_all() {
    let mut network = fleet(60, 3);
    network.run(10_000);
    let changed = Name::from("n7");
    network
        .nodes
        .entry(changed.clone())
        .and_modify(|membership| membership.set_http_addr("10.0.0.7:80"));
    network.run(6_000);
    let lacks_change = |membership: &&Membership| {
        membership.me().name != changed
            && membership
                .get(&changed)
                .is_none_or(|node| node.http_addr.is_empty())
    };
    expect_that!(network.nodes.values().filter(lacks_change).count(), eq(0));
}

fn frame_bytes(sent: &Sent) -> usize {
    let envelope = Envelope {
        from: sent.from.clone(),
        addr: sent.from.clone(),
        msg: sent.shuffle.clone().into(),
    };
    encode(&envelope).map_or(0, |frame| frame.len())
}

#[gtest]
fn a_large_fleet_sends_no_more_to_neighbours_than_a_small_one() {
    let bytes_per_second = |node_count: usize| {
        let mut network = fleet(node_count, 5);
        network.run(40_000);
        let mut bytes = 0;
        network.run_observed(20_000, |sent| bytes += frame_bytes(&sent));
        bytes / 20 / node_count
    };
    let (small, large) = (bytes_per_second(60), bytes_per_second(400));
    expect_that!(small, le(3_600), "bytes a second of each");
    expect_that!(large, le(1_500), "bytes a second of each");
}
