//! One-way partitions: a daemon whose messages arrive but that receives messages from none or too few of the others
//! owns nothing and occupies no voter's place.

mod fleet;

use coordination::{Ms, WriteOutcome};
use fleet::{Fleet, addr};
use googletest::prelude::*;

const LEASED_KEY: &str = "rollout/s";
/// Time in ms without a message after which a daemon counts as unreachable.
const PEER_TIMEOUT: Ms = 1_100;
/// Time in ms after its start in which an empty machine replaces a lost one sooner than a learner does.
const JOINER_WINDOW: Ms = 20_000;
/// Absence of a voter in ms after which a learner replaces it.
const REPLACE_AFTER: Ms = 3_000;

/// Creates a fleet with one daemon per region, in which `voter_count` daemons vote.
fn settled_daemons(seed: u64, daemon_count: usize, voter_count: usize) -> Fleet {
    let mut fleet = Fleet::bootstrapped(seed, daemon_count, |daemon| format!("r{daemon}"));
    fleet
        .run_until(10_000, |fleet| fleet.voting().len() == voter_count)
        .unwrap();
    // Voters wait until the leases of earlier incarnations have expired.
    fleet.run(4_000);
    fleet
}

/// Returns a fleet with five voters, and the index of the daemon that remains a learner.
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

/// Writes a key and returns its only owner, once there is one.
fn written_key_owner(fleet: &mut Fleet, key: &str) -> usize {
    fleet.write_until_accepted(key, b"one", 5_000).unwrap();
    fleet
        .run_until(5_000, |fleet| !owners(fleet, key).is_empty())
        .unwrap();
    fleet.run(1_000);
    owners(fleet, key)[0]
}

/// Drops all messages from others to a daemon from now on; messages that it sends arrive.
fn block_incoming(fleet: &mut Fleet, daemon: usize) {
    let blocked_addr = addr(daemon);
    fleet.delivers = Box::new(move |_, to, _| *to != blocked_addr);
}

fn heal(fleet: &mut Fleet) {
    fleet.delivers = Box::new(|_, _, _| true);
}

/// Runs until a daemon other than the former owner owns the leased key and checks that it never has two owners; returns
/// the time that this took.
fn time_until_moved(fleet: &mut Fleet, former_owner: usize, limit: Ms) -> Option<Ms> {
    let started_at = fleet.now;
    while fleet.now < started_at + limit {
        let holders = owners(fleet, LEASED_KEY);
        expect_that!(holders.len(), le(1), "two holders: {holders:?}");
        if holders.iter().any(|holder| *holder != former_owner) {
            return Some(fleet.now - started_at);
        }
        fleet.run(10);
    }
    None
}

/// An owner does not relinquish a key with a write in flight, and an owner that receives nothing never gets the outcome
/// of the write. It must not renew the lease for that time.
#[gtest]
fn a_lease_moves_from_a_holder_that_receives_nothing_despite_its_write_in_flight() {
    for seed in 0..20 {
        let mut fleet = settled_daemons(seed, 3, 3);
        let former_owner = written_key_owner(&mut fleet, LEASED_KEY);
        block_incoming(&mut fleet, former_owner);
        fleet.write(former_owner, LEASED_KEY, None, b"two").unwrap();
        let duration = time_until_moved(&mut fleet, former_owner, 12_000);
        expect_that!(duration, some(le(4_500)), "seed {seed}");
    }
}

/// Keys without a lease also stayed with an owner that received nothing: requests forwarded to it were never answered.
#[gtest]
fn writes_are_accepted_while_the_owner_of_their_key_receives_nothing() {
    for key in ["spec", "plan/s", LEASED_KEY] {
        for seed in 0..20 {
            let mut fleet = settled_daemons(seed, 3, 3);
            let owner = written_key_owner(&mut fleet, key);
            block_incoming(&mut fleet, owner);
            fleet.run(seed * 200);
            let forwarder = (owner + 1) % 3;
            let write = fleet.write(forwarder, key, Some(1), b"two").unwrap();
            // A lease must expire first.
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

/// Receiving messages from a majority is not enough: the same voters must receive the holder's messages.
#[gtest]
fn a_lease_moves_when_no_majority_is_connected_to_its_holder_in_both_directions() {
    for seed in 0..20 {
        let mut fleet = settled_daemons(seed, 5, 5);
        let former_owner = written_key_owner(&mut fleet, LEASED_KEY);
        let others: Vec<String> = (0..5)
            .filter(|daemon| *daemon != former_owner)
            .map(|daemon| addr(daemon).to_string())
            .collect();
        let (senders, receivers) = (others[..2].to_vec(), others[2..].to_vec());
        let holder = addr(former_owner);
        fleet.delivers = Box::new(move |from, to, _| {
            let is_lost_to_holder = *to == holder && receivers.contains(&from.to_string());
            let is_lost_from_holder = *from == holder && senders.contains(&to.to_string());
            !(is_lost_to_holder || is_lost_from_holder)
        });
        let duration = time_until_moved(&mut fleet, former_owner, 15_000);
        // The voters' time-out for the holder elapses first, then the holder's own time-out.
        expect_that!(duration, some(le(4_500 + PEER_TIMEOUT)), "seed {seed}");
    }
}

/// A holder that is connected to a majority in both directions keeps its lease when one link fails.
#[gtest]
fn a_lease_stays_while_its_holder_receives_nothing_from_one_voter_of_three() {
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

/// The daemon that receives nothing may be the owner of the voters' key: a lost machine is replaced nevertheless.
#[gtest]
fn a_lost_voter_is_replaced_while_the_owner_of_the_members_key_receives_nothing() {
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
        block_incoming(&mut fleet, owner);
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

/// A voter that receives nothing cannot vote: it is replaced like an unreachable one, and not sooner.
#[gtest]
fn a_voter_that_receives_nothing_is_replaced_like_an_unreachable_one() {
    for seed in 0..10 {
        let (mut fleet, _) = five_voters_and_a_learner(seed);
        let voters = fleet.voting();
        let blocked = voters[seed as usize % 5];
        let observer = voters[(seed as usize + 1) % 5];
        let lists_blocked =
            move |fleet: &Fleet| fleet.voters(observer).contains(&format!("c{blocked}"));
        block_incoming(&mut fleet, blocked);
        fleet.run(REPLACE_AFTER);
        expect_true!(lists_blocked(&fleet), "seed {seed}: replaced too early");
        let duration = fleet.run_until(15_000, |fleet| !lists_blocked(fleet));
        expect_that!(duration, some(le(4_000)), "seed {seed}");
        // It detects that it lost its place and continues as a learner.
        heal(&mut fleet);
        fleet.run(2_000);
        expect_that!(fleet.voting(), not(contains(eq(&blocked))), "seed {seed}");
        expect_that!(
            fleet.write_until_accepted("spec", b"two", 6_000),
            some(anything()),
            "seed {seed}"
        );
        fleet.run(500);
        let value = fleet.value(blocked, "spec").map(|(_, value)| value);
        expect_that!(value, some(eq(&b"two".to_vec())), "seed {seed}");
    }
}

/// A learner that receives nothing could not catch up: as a voter it would occupy the place of a working one.
#[gtest]
fn a_learner_that_receives_nothing_does_not_become_a_voter() {
    for seed in 0..10 {
        let (mut fleet, learner) = five_voters_and_a_learner(seed);
        let voters = fleet.voting();
        block_incoming(&mut fleet, learner);
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

/// Operators can see the fault: the daemon reports that it lost the majority, and the others report that it is not
/// live.
#[gtest]
fn a_daemon_that_receives_nothing_is_reported_as_not_live() {
    let mut fleet = settled_daemons(0, 3, 3);
    let blocked = 1;
    block_incoming(&mut fleet, blocked);
    fleet.run(3 * PEER_TIMEOUT);
    let has_logged = |fleet: &Fleet, name| {
        let logged = &fleet.daemons[blocked].logged;
        logged.iter().filter(|(_, event)| *event == name).count()
    };
    let has_quorum =
        |fleet: &Fleet, daemon| fleet.control(daemon).unwrap().status(fleet.now).quorum;
    let blocked_is_live = |fleet: &Fleet, daemon| {
        let status = fleet.control(daemon).unwrap().status(fleet.now);
        let mut members = status.members.into_iter();
        members.any(|member| member.name == format!("c{blocked}") && member.live)
    };
    expect_that!(has_logged(&fleet, "QUORUM_CONNECTION_LOST"), eq(1));
    expect_that!(has_quorum(&fleet, blocked), some(eq(false)));
    for other in [0, 2] {
        expect_that!(has_quorum(&fleet, other), some(eq(true)));
        expect_false!(blocked_is_live(&fleet, other));
    }
    heal(&mut fleet);
    fleet.run(1_000);
    expect_that!(has_logged(&fleet, "QUORUM_CONNECTED"), eq(1));
    expect_that!(has_quorum(&fleet, blocked), some(eq(true)));
    expect_true!(blocked_is_live(&fleet, 0));
}

/// Operators' writes at a daemon that is briefly cut off wait for its connection and are not rejected at once.
#[gtest]
fn a_write_at_a_daemon_that_reconnects_in_time_is_accepted() {
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
