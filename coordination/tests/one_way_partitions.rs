//! Partitions in one direction: a daemon that others hear, and that hears none of them or too few, owns nothing and keeps
//! nobody's place.

mod fleet;

use coordination::{Ms, WriteOutcome};
use fleet::{Fleet, addr};
use googletest::prelude::*;

const LEASED_KEY: &str = "rollout/s";
/// ms. After so long without a message a daemon counts as gone.
const PEER_TIMEOUT: Ms = 1_100;
/// ms. An empty machine that came so lately replaces a lost one sooner than a learner does.
const JOINER_WINDOW: Ms = 20_000;
/// ms. A learner takes the place of a voter that was absent for so long.
const REPLACE_AFTER: Ms = 3_000;

/// Daemons in a region each, of which all that may vote do.
fn settled_daemons(seed: u64, daemon_count: usize, voter_count: usize) -> Fleet {
    let mut fleet = Fleet::bootstrapped(seed, daemon_count, |daemon| format!("r{daemon}"));
    fleet
        .run_until(10_000, |fleet| fleet.voting().len() == voter_count)
        .unwrap();
    // Voters have waited out the leases of earlier incarnations.
    fleet.run(4_000);
    fleet
}

/// Five voters, and the number of the daemon that is a learner for good.
fn five_voters_and_a_learner(seed: u64) -> (Fleet, usize) {
    let mut fleet = settled_daemons(seed, 6, 5);
    fleet.run(JOINER_WINDOW);
    let voters = fleet.voting();
    let learner = (0..6).find(|daemon| !voters.contains(daemon)).unwrap();
    (fleet, learner)
}

fn owns(fleet: &Fleet, daemon: usize, key: &str) -> bool {
    fleet
        .control(daemon)
        .is_some_and(|control| control.registers.held_until(key, fleet.now).is_some())
}

fn owners(fleet: &Fleet, key: &str) -> Vec<usize> {
    (0..fleet.daemons.len())
        .filter(|daemon| owns(fleet, *daemon, key))
        .collect()
}

/// The one owner of a key, once it is written and its owner is settled.
fn written_key_owner(fleet: &mut Fleet, key: &str) -> usize {
    fleet.write_until_accepted(key, b"one", 5_000).unwrap();
    fleet
        .run_until(5_000, |fleet| !owners(fleet, key).is_empty())
        .unwrap();
    fleet.run(1_000);
    owners(fleet, key)[0]
}

/// From now on nothing that others send reaches a daemon; what it sends arrives.
fn deafen(fleet: &mut Fleet, daemon: usize) {
    let deaf = addr(daemon);
    fleet.delivers = Box::new(move |_, to, _| *to != deaf);
}

fn heal(fleet: &mut Fleet) {
    fleet.delivers = Box::new(|_, _, _| true);
}

/// Runs until another daemon than the former owner owns a leased key, and checks that no two ever do; gives how long that
/// took.
fn time_until_moved(fleet: &mut Fleet, former: usize, most: Ms) -> Option<Ms> {
    let started_at = fleet.now;
    while fleet.now < started_at + most {
        let holders = owners(fleet, LEASED_KEY);
        expect_that!(holders.len(), le(1), "two holders: {holders:?}");
        if holders.iter().any(|holder| *holder != former) {
            return Some(fleet.now - started_at);
        }
        fleet.run(10);
    }
    None
}

/// A write in flight keeps its owner from relinquishing its key, and one that hears nobody never learns how the write
/// ended: it must not renew the lease for as long.
#[gtest]
fn a_lease_moves_though_its_deaf_holder_has_a_write_in_flight() {
    for seed in 0..20 {
        let mut fleet = settled_daemons(seed, 3, 3);
        let former = written_key_owner(&mut fleet, LEASED_KEY);
        deafen(&mut fleet, former);
        fleet.write(former, LEASED_KEY, None, b"two").unwrap();
        let duration = time_until_moved(&mut fleet, former, 12_000);
        expect_that!(duration, some(le(4_500)), "seed {seed}");
    }
}

/// Keys without a lease stayed with a deaf owner too: whatever was forwarded to it got no answer.
#[gtest]
fn writes_are_accepted_while_the_owner_of_their_key_hears_nobody() {
    for key in ["spec", "plan/s", LEASED_KEY] {
        for seed in 0..20 {
            let mut fleet = settled_daemons(seed, 3, 3);
            let owner = written_key_owner(&mut fleet, key);
            deafen(&mut fleet, owner);
            fleet.run(seed * 200);
            let forwarder = (owner + 1) % 3;
            let write = fleet.write(forwarder, key, Some(1), b"two").unwrap();
            // A lease has to end first.
            fleet.run(3_000);
            let outcome = fleet.write_outcomes.get(&write);
            expect_that!(
                outcome.map(|(_, outcome)| *outcome),
                some(eq(WriteOutcome::Accepted(2))),
                "seed {seed}, {key}"
            );
        }
    }
}

/// Hearing a majority is not enough: it must be heard by the same voters.
#[gtest]
fn a_lease_moves_when_those_that_its_holder_hears_do_not_hear_it() {
    for seed in 0..20 {
        let mut fleet = settled_daemons(seed, 5, 5);
        let former = written_key_owner(&mut fleet, LEASED_KEY);
        let others: Vec<String> = (0..5)
            .filter(|daemon| *daemon != former)
            .map(|daemon| addr(daemon).to_string())
            .collect();
        let (heard, hearing) = (others[..2].to_vec(), others[2..].to_vec());
        let holder = addr(former);
        fleet.delivers = Box::new(move |from, to, _| {
            let is_lost_to_holder = *to == holder && hearing.contains(&from.to_string());
            let is_lost_from_holder = *from == holder && heard.contains(&to.to_string());
            !(is_lost_to_holder || is_lost_from_holder)
        });
        let duration = time_until_moved(&mut fleet, former, 15_000);
        // What the others count as hearing it ends first, then what it counts.
        expect_that!(duration, some(le(4_500 + PEER_TIMEOUT)), "seed {seed}");
    }
}

/// A holder that a majority hears, and that hears them, is not deposed by one link that fails.
#[gtest]
fn a_lease_stays_where_it_is_while_its_holder_misses_one_voter_of_three() {
    for seed in 0..20 {
        let mut fleet = settled_daemons(seed, 3, 3);
        let holder = written_key_owner(&mut fleet, LEASED_KEY);
        let (holder_addr, other_addr) = (addr(holder), addr((holder + 1 + seed as usize % 2) % 3));
        fleet.delivers = Box::new(move |from, to, _| !(*from == other_addr && *to == holder_addr));
        for _ in 0..800 {
            fleet.run(10);
            expect_that!(
                owners(&fleet, LEASED_KEY),
                elements_are![eq(&holder)],
                "seed {seed} at {}",
                fleet.now
            );
        }
    }
}

/// The owner of the voters' key may be the deaf one: a machine that is lost meanwhile is replaced all the same.
#[gtest]
fn a_lost_voter_is_replaced_while_the_owner_of_the_members_key_hears_nobody() {
    for seed in 0..10 {
        let (mut fleet, learner) = five_voters_and_a_learner(seed);
        let owner = fleet
            .control(learner)
            .unwrap()
            .registers
            .preferred_owner("members", &|_| true)
            .unwrap()
            .name
            .to_string();
        let owner = (0..6).find(|daemon| format!("c{daemon}") == owner).unwrap();
        let lost = fleet
            .voting()
            .into_iter()
            .find(|daemon| *daemon != owner)
            .unwrap();
        deafen(&mut fleet, owner);
        fleet.wipe(lost);
        let duration = fleet.run_until(15_000, |fleet| fleet.voting().contains(&learner));
        expect_that!(duration, some(le(6_000)), "seed {seed}");
        expect_that!(
            fleet.voters(learner).contains(&format!("c{lost}")),
            eq(false),
            "seed {seed}"
        );
    }
}

/// A voter that hears nobody votes for nothing: it is replaced like one that is gone, and not sooner.
#[gtest]
fn a_voter_that_hears_nobody_is_replaced_like_one_that_is_gone() {
    for seed in 0..10 {
        let (mut fleet, _) = five_voters_and_a_learner(seed);
        let voters = fleet.voting();
        let deaf = voters[seed as usize % 5];
        let observer = voters[(seed as usize + 1) % 5];
        let names_deaf = move |fleet: &Fleet| fleet.voters(observer).contains(&format!("c{deaf}"));
        deafen(&mut fleet, deaf);
        fleet.run(REPLACE_AFTER);
        expect_true!(names_deaf(&fleet), "seed {seed}: replaced in haste");
        let duration = fleet.run_until(15_000, |fleet| !names_deaf(fleet));
        expect_that!(duration, some(le(4_000)), "seed {seed}");
        // It finds that it lost its place, and takes part as a learner.
        heal(&mut fleet);
        fleet.run(2_000);
        expect_that!(fleet.voting(), not(contains(eq(&deaf))), "seed {seed}");
        expect_that!(
            fleet.write_until_accepted("spec", b"two", 6_000),
            some(anything()),
            "seed {seed}"
        );
        fleet.run(500);
        let value = fleet.value(deaf, "spec").map(|(_, value)| value);
        expect_that!(value, some(eq(&b"two".to_vec())), "seed {seed}");
    }
}

/// A learner that hears nobody could not catch up: as a voter it would take the place of one that works.
#[gtest]
fn a_learner_that_hears_nobody_gets_no_place() {
    for seed in 0..10 {
        let (mut fleet, learner) = five_voters_and_a_learner(seed);
        let voters = fleet.voting();
        deafen(&mut fleet, learner);
        fleet.run(2 * PEER_TIMEOUT);
        let lost = voters[seed as usize % 5];
        let observer = voters[(seed as usize + 1) % 5];
        fleet.wipe(lost);
        fleet.run(8_000);
        expect_that!(
            fleet.voters(observer).contains(&format!("c{learner}")),
            eq(false),
            "seed {seed}"
        );
        heal(&mut fleet);
        let duration = fleet.run_until(8_000, |fleet| fleet.voting().contains(&learner));
        expect_that!(duration, some(le(4_000)), "seed {seed}");
    }
}

/// Operators see it: the daemon says that it has lost the majority, and the others that it is not live.
#[gtest]
fn a_daemon_that_hears_nobody_is_shown_as_such() {
    let mut fleet = settled_daemons(0, 3, 3);
    let deaf = 1;
    deafen(&mut fleet, deaf);
    fleet.run(3 * PEER_TIMEOUT);
    let has_logged = |fleet: &Fleet, name| {
        let logged = &fleet.daemons[deaf].logged;
        logged.iter().filter(|(_, event)| *event == name).count()
    };
    let has_quorum =
        |fleet: &Fleet, daemon| fleet.control(daemon).unwrap().status(fleet.now).quorum;
    let deaf_is_live = |fleet: &Fleet, daemon| {
        let status = fleet.control(daemon).unwrap().status(fleet.now);
        let mut members = status.members.into_iter();
        members.any(|member| member.name == format!("c{deaf}") && member.live)
    };
    expect_that!(has_logged(&fleet, "QUORUM_CONNECTION_LOST"), eq(1));
    expect_that!(has_quorum(&fleet, deaf), some(eq(false)));
    for other in [0, 2] {
        expect_that!(has_quorum(&fleet, other), some(eq(true)));
        expect_false!(deaf_is_live(&fleet, other));
    }
    heal(&mut fleet);
    fleet.run(1_000);
    expect_that!(has_logged(&fleet, "QUORUM_CONNECTED"), eq(1));
    expect_that!(has_quorum(&fleet, deaf), some(eq(true)));
    expect_true!(deaf_is_live(&fleet, 0));
}

/// Operators' writes at a daemon that is cut off for a moment wait for its connection, and are not refused at once.
#[gtest]
fn a_write_at_a_daemon_that_is_connected_again_in_time_is_accepted() {
    for seed in 0..20 {
        let mut fleet = settled_daemons(seed, 3, 3);
        fleet.write_until_accepted("spec", b"one", 5_000).unwrap();
        let cut_off = seed as usize % 3;
        fleet.partitioned.insert(addr(cut_off));
        fleet.run(2 * PEER_TIMEOUT);
        let write = fleet.write(cut_off, "spec", Some(1), b"two").unwrap();
        fleet.run(500);
        fleet.partitioned.clear();
        fleet.run(1_500);
        let outcome = fleet.write_outcomes.get(&write);
        expect_that!(
            outcome.map(|(_, outcome)| *outcome),
            some(eq(WriteOutcome::Accepted(2))),
            "seed {seed}"
        );
    }
}
