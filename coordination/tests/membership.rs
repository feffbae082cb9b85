//! Membership: at any fleet size, live nodes discover each other and stay live to each other, and
//! failed nodes are detected.

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

/// Returns a fleet of edges `n0`, `n1` and so on, of which the first three are seeds.
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

/// Whether any node considers the named one live.
fn is_live_anywhere(network: &Network, name: &str) -> bool {
    network
        .nodes
        .values()
        .any(|membership| considers_live(membership, name))
}

fn considers_live(membership: &Membership, name: &str) -> bool {
    membership
        .live(NodeRole::Edge)
        .any(|node| &*node.name == name)
}

/// Returns the nodes that do not consider exactly all present nodes live, with the set that they do.
fn incorrect_live_sets(network: &Network) -> Vec<(&Name, BTreeSet<&Name>)> {
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
fn a_starting_node_contacts_all_seeds_at_once_and_later_one_at_a_time() {
    let seeds: Vec<Name> = ["s1", "s2", "s3"].map(Into::into).into();
    let me = Node {
        name: "n".into(),
        addr: "s2".into(),
        ..Node::default()
    };
    let mut membership = Membership::new(me, seeds, 1);
    let mut contacted_count = |now| {
        let mut effects = vec![];
        membership.tick(now, &mut effects);
        effects.len()
    };
    expect_that!(contacted_count(10), eq(2), "all but itself");
    expect_that!(
        (0..8)
            .map(|index| contacted_count(20 + (index + 1) * SHUFFLE_INTERVAL))
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
    // One in 10,000 of the 571,200 checks of one node by another.
    expect_that!(false_suspicion_count, le(57));
    network.remove("n100");
    network.run(2 * 120 * NODE_TIMEOUT_PER_NODE);
    expect_false!(is_live_anywhere(&network, "n100"));
}

#[gtest]
fn nodes_discover_each_other_detect_failures_and_survive_the_loss_of_seeds() {
    for seed in 0..30 {
        let mut network = fleet(11, seed);
        network.run(5_000);
        expect_that!(
            incorrect_live_sets(&network),
            is_empty(),
            "seed {seed}: after discovery"
        );
        // Four of eleven fail at once, including the seeds; the views of the others stay connected.
        for index in 0..4 {
            network.remove(&format!("n{index}"));
        }
        // Gossip about failed nodes continues for a while.
        network.run(3 * NODE_TIMEOUT);
        expect_that!(
            incorrect_live_sets(&network),
            is_empty(),
            "seed {seed}: after failures"
        );
        // Replaces every machine, one after the other; each new one knows only three of the present
        // nodes.
        for index in 4..11 {
            network.remove(&format!("n{index}"));
            let present: Vec<String> = network.nodes.keys().take(3).map(Name::to_string).collect();
            let seeds: Vec<&str> = present.iter().map(String::as_str).collect();
            add(&mut network, index + 100, &seeds);
            network.run(3 * NODE_TIMEOUT);
        }
        expect_that!(
            incorrect_live_sets(&network),
            is_empty(),
            "seed {seed}: after replacement"
        );
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
        let (mut false_suspicion_count, mut check_count) = (0, 0);
        for _ in 0..40 {
            network.run(500);
            false_suspicion_count += network.false_suspicion_count();
            check_count += node_count * (node_count - 1);
        }
        expect_that!(
            false_suspicion_count * 100_000,
            le(check_count),
            "{node_count} nodes: too many false suspicions"
        );
        network.remove("n3");
        network.remove("n4");
        let any_considers_removed_live =
            |network: &Network| is_live_anywhere(network, "n3") || is_live_anywhere(network, "n4");
        // The network delay, here one tick, is not added to a heartbeat's age.
        let timeout = NODE_TIMEOUT.max(NODE_TIMEOUT_PER_NODE * node_count as Ms);
        network.run(timeout + 2 * MAX_SHUFFLE_INTERVAL);
        expect_false!(
            any_considers_removed_live(&network),
            "{node_count} nodes: removed nodes are still live"
        );
        for _ in 0..20 {
            network.run(500);
            expect_false!(
                any_considers_removed_live(&network),
                "{node_count} nodes: gossip made a removed node live again"
            );
        }
    }
}

/// Ticks one node and delivers all its messages and its own description to the other.
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
fn a_heartbeat_relayed_back_and_forth_gets_no_newer() {
    let start = |name: &str| Membership::new(edge(name), vec![], 1);
    let (mut first, mut second) = (start("a"), start("b"));
    let removed = Node {
        heartbeat: 9,
        ..edge("c")
    };
    first.on_description(&removed, 10_000, &mut vec![]);
    for now in (10_000..14_000).step_by(TICK_INTERVAL as usize) {
        tick_to(&mut first, &mut second, now);
        tick_to(&mut second, &mut first, now);
        if now > 10_000 + NODE_TIMEOUT + 2 * SHUFFLE_INTERVAL {
            expect_false!(
                considers_live(&first, "c") || considers_live(&second, "c"),
                "{now}"
            );
        }
    }
}

#[gtest]
fn a_changed_description_reaches_all_nodes() {
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
fn a_node_of_a_large_fleet_sends_no_more_to_neighbours_than_one_of_a_small_fleet() {
    let bytes_per_second = |node_count: usize| {
        let mut network = fleet(node_count, 5);
        network.run(40_000);
        let mut bytes = 0;
        network.run_observed(20_000, |sent| bytes += frame_bytes(&sent));
        bytes / 20 / node_count
    };
    let (small, large) = (bytes_per_second(60), bytes_per_second(400));
    expect_that!(small, le(3_600), "bytes per second and node");
    expect_that!(large, le(1_500), "bytes per second and node");
}
