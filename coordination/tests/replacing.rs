//! Lost disks, lost machines and new ones: who votes, how soon, and that nothing that was accepted is lost.

mod fleet;

use std::collections::BTreeMap;

use coordination::{Ms, WriteOutcome, control::COUNTER_RETENTION};
use fleet::{Fleet, addr};
use googletest::prelude::*;
use wire_messages::Message;

/// ms. A daemon that came back with a lost disk has caught up after so long (`Bounds::sync`).
const CATCH_UP_TIME: Ms = 4_000;

fn three_daemons(seed: u64) -> Fleet {
    let mut fleet = Fleet::bootstrapped(seed, 3, |daemon| format!("r{daemon}"));
    fleet
        .run_until(4_000, |fleet| fleet.voting().len() == 3)
        .unwrap();
    fleet
}

/// Six daemons in as many zones of three regions.
fn six_daemons(seed: u64) -> Fleet {
    let mut fleet = Fleet::bootstrapped(seed, 6, |daemon| format!("r{}", daemon / 2));
    fleet
        .run_until(10_000, |fleet| fleet.voting().len() == 5)
        .unwrap();
    fleet.run(1_000);
    fleet
}

/// Eight zones, a region each.
fn eight_regions() -> BTreeMap<String, String> {
    (0..8)
        .map(|zone| (format!("z{zone}"), format!("r{zone}")))
        .collect()
}

/// The outcome of a write, if it has ended.
fn outcome(fleet: &Fleet, write: (usize, u64)) -> Option<WriteOutcome> {
    fleet
        .write_outcomes
        .get(&write)
        .map(|(_, outcome)| *outcome)
}

/// Whether a daemon owns a key.
fn owns(fleet: &Fleet, daemon: usize, key: &str) -> bool {
    fleet
        .control(daemon)
        .is_some_and(|control| control.registers.held_until(key, fleet.now).is_some())
}

/// The first daemon that owns a key.
fn owner_of(fleet: &Fleet, key: &str) -> Option<usize> {
    (0..fleet.daemons.len()).find(|daemon| owns(fleet, *daemon, key))
}

/// The daemons on which a key has this value as the newest committed one.
fn daemons_with(fleet: &Fleet, key: &str, value: &[u8]) -> Vec<usize> {
    (0..fleet.daemons.len())
        .filter(|daemon| {
            fleet
                .value(*daemon, key)
                .is_some_and(|(_, held)| held == value)
        })
        .collect()
}

#[gtest]
fn a_lost_disk_votes_again_well_within_the_catch_up_time() {
    // With the last of these the lease's holder had been made one by itself and the daemon that is killed.
    for seed in (0..30).chain([1_190]) {
        let mut fleet = three_daemons(seed);
        expect_that!(
            fleet.write_until_accepted("spec", b"one", 5_000),
            some(anything())
        );
        let replaced = seed as usize % 3;
        fleet.wipe(replaced);
        fleet.run(600);
        fleet.start(replaced);
        let duration = fleet.run_until(CATCH_UP_TIME, |fleet| fleet.voting().len() == 3);
        expect_that!(duration, some(le(2_500)), "seed {seed}");
        expect_that!(
            daemons_with(&fleet, "spec", b"one"),
            len(eq(3)),
            "seed {seed}"
        );
        // It votes for leased keys too before its time is over: with another gone a lease is acquired.
        fleet.write_until_accepted("rollout/s", b"duty", 5_000);
        fleet.kill((replaced + 1) % 3);
        let time_left = CATCH_UP_TIME - duration.unwrap_or(0);
        expect_that!(
            fleet.run_until(time_left + 1_000, |fleet| owner_of(fleet, "rollout/s")
                .is_some()),
            some(anything()),
            "seed {seed}"
        );
    }
}

/// A machine is lost for good, an empty one of another name comes at another address; then another machine is lost.
#[gtest]
fn an_empty_machine_replaces_a_lost_one_and_the_next_loss_is_tolerated() {
    for seed in 0..30 {
        let mut fleet = three_daemons(seed);
        expect_that!(
            fleet.write_until_accepted("spec", b"one", 5_000),
            some(anything())
        );
        let lost = seed as usize % 3;
        fleet.wipe(lost);
        fleet.run(seed * 100);
        let remaining: Vec<usize> = (0..3).filter(|daemon| *daemon != lost).collect();
        fleet.add(3, &remaining, false, &eight_regions());
        expect_that!(
            fleet.run_until(CATCH_UP_TIME, |fleet| fleet.voting().contains(&3)),
            some(le(3_000)),
            "seed {seed}"
        );
        expect_that!(fleet.voters(3).contains(&format!("c{lost}")), eq(false));
        fleet.run(CATCH_UP_TIME);
        let next_lost = remaining[seed as usize % 2];
        fleet.wipe(next_lost);
        expect_that!(
            fleet.write_until_accepted("spec", b"two", 6_000),
            some(anything()),
            "seed {seed}"
        );
        expect_that!(daemons_with(&fleet, "spec", b"two").len(), ge(1));
        // All machines are replaced in the end.
        for joiner in 4..6 {
            fleet.add(joiner, &[3], false, &eight_regions());
            fleet.run(CATCH_UP_TIME);
            if let Some(former) = (0..3).find(|daemon| fleet.control(*daemon).is_some()) {
                fleet.wipe(former);
            }
            fleet.run(500);
        }
        expect_that!(
            fleet.write_until_accepted("spec", b"three", 6_000),
            some(anything()),
            "seed {seed}"
        );
    }
}

/// A daemon acknowledges and loses its disk in the same instant, while all others lose power.
#[gtest]
fn an_accepted_write_outlives_the_disk_that_acknowledged_it() {
    for seed in 0..40 {
        let mut fleet = three_daemons(seed);
        fleet.write_until_accepted("spec", b"one", 5_000);
        fleet.run(1_000);
        let acknowledging = seed as usize % 3;
        fleet.wipe_after_ack = Some(acknowledging);
        let (version, _) = fleet.value(acknowledging, "spec").unwrap();
        let write = fleet
            .write(acknowledging, "spec", Some(version), b"two")
            .unwrap();
        fleet.run_until(5_000, |fleet| fleet.write_outcomes.contains_key(&write));
        expect_that!(
            outcome(&fleet, write).unwrap(),
            eq(WriteOutcome::Accepted(version + 1)),
            "seed {seed}"
        );
        for daemon in (0..3).filter(|daemon| *daemon != acknowledging) {
            fleet.kill(daemon);
        }
        fleet.run(500);
        // The blank one starts first and knows nothing; it must not commit anything alone.
        fleet.start(acknowledging);
        fleet.run(300);
        for daemon in (0..3).filter(|daemon| *daemon != acknowledging) {
            fleet.start(daemon);
        }
        expect_that!(
            fleet.run_until(CATCH_UP_TIME + 2_000, |fleet| fleet.voting().len() == 3),
            some(anything()),
            "seed {seed}"
        );
        fleet.run(1_000);
        expect_that!(
            daemons_with(&fleet, "spec", b"two"),
            len(eq(3)),
            "seed {seed}"
        );
        expect_that!(
            fleet.write_until_accepted("spec", b"three", 5_000),
            some(anything()),
            "seed {seed}"
        );
    }
}

#[gtest]
fn writes_are_accepted_again_in_time_after_all_daemons_were_killed() {
    for seed in 0..30 {
        for mut fleet in [three_daemons(seed), six_daemons(seed)] {
            fleet.write_until_accepted("rollout/s", b"duty", 5_000);
            fleet.write_until_accepted("spec", b"one", 5_000);
            let daemon_count = fleet.daemons.len();
            for daemon in 0..daemon_count {
                fleet.kill(daemon);
            }
            for daemon in 0..daemon_count {
                fleet.run(1_000 / daemon_count as Ms);
                fleet.start(daemon);
            }
            let duration = fleet.write_until_accepted("spec", b"two", 12_000);
            expect_that!(
                duration,
                some(le(4_000)),
                "seed {seed}, {daemon_count} daemons"
            );
            expect_that!(
                fleet.run_until(5_000, |fleet| owner_of(fleet, "rollout/s").is_some()),
                some(anything()),
                "seed {seed}, {daemon_count} daemons"
            );
        }
    }
}

#[gtest]
fn six_daemons_have_five_voters_spread_over_the_regions_and_a_learner() {
    for seed in 0..10 {
        let mut fleet = six_daemons(seed);
        let mut voters_by_region: BTreeMap<usize, usize> = BTreeMap::new();
        for daemon in fleet.voting() {
            *voters_by_region.entry(daemon / 2).or_default() += 1;
        }
        expect_true!(
            voters_by_region.values().all(|count| *count <= 2),
            "seed {seed}: {voters_by_region:?}"
        );
        // The learner learns what is committed at once, and forwards writes to the others.
        let learner = (0..6)
            .find(|daemon| !fleet.voting().contains(daemon))
            .unwrap();
        let write = fleet.write(learner, "spec", None, b"one").unwrap();
        fleet.run_until(2_000, |fleet| fleet.write_outcomes.contains_key(&write));
        expect_that!(
            outcome(&fleet, write).unwrap(),
            eq(WriteOutcome::Accepted(1)),
            "seed {seed}"
        );
        expect_that!(
            fleet.run_until(200, |fleet| daemons_with(fleet, "spec", b"one").len() == 6),
            some(anything()),
            "seed {seed}"
        );
        expect_true!(
            fleet
                .control(learner)
                .is_some_and(|control| control.health().ok
                    && control.registers.held_until("spec", fleet.now).is_none())
        );
        // Two are lost for good at once, also a whole region: it replaces one and the next loss is tolerated again.
        let region = seed as usize % 3;
        for daemon in 2 * region..2 * region + 2 {
            fleet.wipe(daemon);
        }
        expect_that!(
            fleet.write_until_accepted("spec", b"two", 6_000),
            some(anything()),
            "seed {seed}"
        );
        fleet.run(2 * CATCH_UP_TIME);
        let voter = fleet.voting()[0];
        fleet.wipe(voter);
        expect_that!(
            fleet.write_until_accepted("spec", b"three", 6_000),
            some(anything()),
            "seed {seed}"
        );
    }
}

/// The lease of a daemon that dies is acquired well before the contact bound; one that shuts down hands it over at once.
#[gtest]
fn a_lease_moves_well_within_the_contact_bound() {
    for seed in 0..20 {
        for is_stopping in [false, true] {
            let mut fleet = three_daemons(seed);
            fleet.write_until_accepted("rollout/s", b"duty", 5_000);
            fleet.run_until(5_000, |fleet| owner_of(fleet, "rollout/s").is_some());
            // The voters have waited out the leases of earlier incarnations.
            fleet.run(4_000);
            let former = owner_of(&fleet, "rollout/s").unwrap();
            if is_stopping {
                fleet.daemons[former].control.as_mut().unwrap().stopping = true;
            } else {
                fleet.kill(former);
            }
            let duration = fleet.run_until(5_000, |fleet| {
                owner_of(fleet, "rollout/s").is_some_and(|holder| holder != former)
            });
            expect_that!(
                duration,
                some(le(if is_stopping { 600 } else { 3_200 })),
                "seed {seed}, stopping: {is_stopping}"
            );
        }
    }
}

/// A partition may be in one direction only: a holder whose messages arrive and that hears nobody can confirm nothing.
#[gtest]
fn a_lease_moves_when_its_holder_hears_nobody() {
    for seed in 0..20 {
        let mut fleet = three_daemons(seed);
        fleet.write_until_accepted("rollout/s", b"duty", 5_000);
        fleet.run_until(5_000, |fleet| owner_of(fleet, "rollout/s").is_some());
        fleet.run(4_000);
        let former = owner_of(&fleet, "rollout/s").unwrap();
        let unheard = addr(former);
        fleet.delivers = Box::new(move |_, to, _| *to != unheard);
        let duration = fleet.run_until(12_000, |fleet| {
            (0..3).any(|index| index != former && owns(fleet, index, "rollout/s"))
        });
        // As after its end, and what it takes to notice.
        expect_that!(duration, some(le(4_500)), "seed {seed}");
    }
}

/// A write whose owner dies with it ends well within the answer bound, and the same write again is no conflict.
#[gtest]
fn a_write_forwarded_to_an_owner_that_dies_reaches_the_next_owner() {
    let mut accepted = 0;
    for seed in 0..300 {
        let mut fleet = three_daemons(seed);
        fleet.write_until_accepted("spec", b"one", 5_000);
        fleet.run_until(2_000, |fleet| owner_of(fleet, "spec").is_some());
        let owner = owner_of(&fleet, "spec").unwrap();
        let forwarder = (owner + 1) % 3;
        fleet.run(seed * 10);
        let (version, _) = fleet.value(owner, "spec").unwrap();
        let write = fleet
            .write(forwarder, "spec", Some(version), b"two")
            .unwrap();
        fleet.run(seed % 60);
        fleet.kill(owner);
        let duration = fleet.run_until(5_000, |fleet| fleet.write_outcomes.contains_key(&write));
        expect_that!(duration, some(le(3_000)), "seed {seed}");
        let write_outcome = outcome(&fleet, write);
        expect_that!(
            write_outcome,
            some(any!(
                eq(WriteOutcome::Accepted(version + 1)),
                eq(WriteOutcome::Unknown)
            )),
            "seed {seed}"
        );
        accepted += usize::from(write_outcome == Some(WriteOutcome::Accepted(version + 1)));
    }
    // An unknown outcome is rare: the next owner is asked.
    expect_that!(accepted, eq(300));
}

/// A disk that hangs: others take over, nothing is acknowledged there, and it takes part again when it works.
#[gtest]
fn a_hung_disk_acknowledges_nothing_and_delays_nobody() {
    for seed in 0..20 {
        let mut fleet = three_daemons(seed);
        fleet.write_until_accepted("spec", b"one", 5_000);
        fleet.run_until(2_000, |fleet| owner_of(fleet, "spec").is_some());
        let hung = owner_of(&fleet, "spec").unwrap();
        fleet.daemons[hung].disk_hung_until = fleet.now + 8_000;
        expect_that!(
            fleet.write_until_accepted("spec", b"two", 4_000),
            some(anything()),
            "seed {seed}"
        );
        fleet.run(8_000);
        expect_that!(
            fleet.write_until_accepted("spec", b"three", 4_000),
            some(anything()),
            "seed {seed}"
        );
        fleet.run(1_000);
        expect_that!(
            daemons_with(&fleet, "spec", b"three"),
            len(eq(3)),
            "seed {seed}"
        );
    }
}

/// A change of voters goes wrong in the middle: its messages are lost for a while, and another voter dies.
#[gtest]
fn an_interrupted_change_of_voters_loses_nothing() {
    for seed in 0..60 {
        let mut fleet = three_daemons(seed);
        fleet.write_until_accepted("spec", b"one", 5_000);
        let lost = seed as usize % 3;
        // The last write reaches only one of the others, besides the one that goes.
        let reached_addr = addr((lost + 1) % 3);
        let missed_addr = addr((lost + 2) % 3);
        fleet.delivers = Box::new(move |_, to, message| {
            *to != missed_addr
                || !matches!(
                    message,
                    Message::Accept(_) | Message::Commit(_) | Message::SlotsReply(_)
                )
        });
        let write = fleet
            .write((lost + 1) % 3, "spec", Some(1), b"two")
            .unwrap();
        fleet.run_until(3_000, |fleet| fleet.write_outcomes.contains_key(&write));
        let accepted = outcome(&fleet, write) == Some(WriteOutcome::Accepted(2));
        fleet.wipe(lost);
        fleet.delivers = Box::new(|_, _, _| true);
        fleet.start(lost);
        fleet.run(seed * 50);
        let reached = fleet
            .daemons
            .iter()
            .position(|daemon| daemon.config.addr == reached_addr)
            .unwrap();
        fleet.kill(reached);
        fleet.run(1_500);
        fleet.start(reached);
        fleet.run_until(3 * CATCH_UP_TIME, |fleet| fleet.voting().len() == 3);
        fleet.run(1_000);
        if accepted {
            expect_that!(
                daemons_with(&fleet, "spec", b"two"),
                len(eq(3)),
                "seed {seed}"
            );
        }
        expect_that!(
            fleet.write_until_accepted("spec", b"three", 6_000),
            some(anything()),
            "seed {seed}"
        );
    }
}

/// What was accepted is on the lost disk and one other. The joiner reads the one that lacks it first, and the one that
/// has it dies: nothing is committed without it.
#[gtest]
fn a_joiner_reads_every_voter_that_may_have_an_accepted_write() {
    let mut seeds_reached = 0;
    for seed in 0..30 {
        let mut fleet = three_daemons(seed);
        fleet.write_until_accepted("spec", b"one", 5_000);
        fleet.run(1_000);
        let Some(with_write) = owner_of(&fleet, "spec") else {
            continue;
        };
        let (lost, without_write) = ((with_write + 1) % 3, (with_write + 2) % 3);
        let (with_addr, without_addr, lost_addr) =
            (addr(with_write), addr(without_write), addr(lost));
        fleet.delivers = Box::new(move |from, to, message| match message {
            Message::Accept(accept) if *to == without_addr => &*accept.key != "spec",
            Message::Commit(commit) if *to == without_addr => &*commit.change.key != "spec",
            Message::SlotsReply(_) => {
                *to != without_addr && !(*from == with_addr && *to == lost_addr)
            }
            // It must not learn of the write by acquiring the key.
            Message::Promise(promise) if *to == without_addr => &*promise.slot.key != "spec",
            _ => true,
        });
        let write = fleet.write(with_write, "spec", Some(1), b"two").unwrap();
        fleet.run_until(2_000, |fleet| fleet.write_outcomes.contains_key(&write));
        if outcome(&fleet, write) != Some(WriteOutcome::Accepted(2)) {
            continue;
        }
        fleet.wipe(lost);
        fleet.run(700);
        fleet.start(lost);
        fleet.run(3_000);
        fleet.kill(with_write);
        fleet.delivers = Box::new(|_, _, _| true);
        fleet.run(3_000);
        let new_write = fleet.write(without_write, "spec", None, b"three");
        fleet.run(2_000);
        seeds_reached += 1;
        let new_outcome = new_write.and_then(|write| outcome(&fleet, write));
        expect_that!(
            new_outcome,
            not(some(matches_pattern!(WriteOutcome::Accepted(_)))),
            "seed {seed}"
        );
        fleet.start(with_write);
        fleet.run(6_000);
        expect_that!(
            fleet
                .value(without_write, "spec")
                .map_or(0, |(version, _)| version),
            ge(2),
            "seed {seed}"
        );
        let is_kept = (0..3)
            .find_map(|daemon| fleet.value(daemon, "spec"))
            .is_some_and(|(version, value)| version > 2 || value == b"two");
        expect_true!(is_kept, "seed {seed}");
    }
    expect_that!(seeds_reached, gt(5));
}

/// A voter loses its place and is listed again, but dies before that is on its disk: it starts as the voter that it was,
/// and must not take itself for one.
#[gtest]
fn a_voter_that_is_listed_again_catches_up_again() {
    let mut seeds_reached = 0;
    for seed in 0..30 {
        let mut fleet = three_daemons(seed);
        fleet.write_until_accepted("spec", b"one", 5_000);
        fleet.run(1_000);
        // Partitioned off: another machine takes its place.
        let (returning, with_write, without_write) = (
            seed as usize % 3,
            (seed as usize + 1) % 3,
            (seed as usize + 2) % 3,
        );
        let returning_addr = fleet.daemons[returning].config.addr.clone();
        fleet.partitioned.insert(returning_addr.clone());
        fleet.add(3, &[with_write, without_write], false, &eight_regions());
        if fleet
            .run_until(6_000, |fleet| fleet.voting().contains(&3))
            .is_none()
        {
            continue;
        }
        fleet.run(1_000);
        // What is accepted now is on the new machine and one other.
        let without_addr = addr(without_write);
        fleet.delivers = Box::new(move |_, to, message| match message {
            Message::Accept(accept) if *to == without_addr => &*accept.key != "spec",
            Message::Commit(commit) if *to == without_addr => &*commit.change.key != "spec",
            Message::Promise(promise) if *to == without_addr => &*promise.slot.key != "spec",
            Message::SlotsReply(_) => *to != without_addr,
            _ => true,
        });
        let write = fleet.write(with_write, "spec", Some(1), b"two").unwrap();
        fleet.run_until(3_000, |fleet| fleet.write_outcomes.contains_key(&write));
        if outcome(&fleet, write) != Some(WriteOutcome::Accepted(2)) {
            continue;
        }
        // The first returns with a disk that hangs, as a learner, and takes the place of the new one, which is lost.
        fleet.daemons[returning].disk_hung_until = fleet.now + 60_000;
        fleet.partitioned.remove(&returning_addr);
        fleet.run(1_000);
        fleet.wipe(3);
        if fleet
            .run_until(12_000, |fleet| {
                fleet.voters(with_write).contains(&format!("c{returning}"))
            })
            .is_none()
        {
            continue;
        }
        fleet.kill(returning);
        fleet.kill(with_write);
        fleet.daemons[returning].disk_hung_until = 0;
        fleet.start(returning);
        fleet.delivers = Box::new(|_, _, _| true);
        fleet.run(4_000);
        let new_write = fleet.write(without_write, "spec", None, b"three");
        fleet.run(3_000);
        seeds_reached += 1;
        let new_outcome = new_write.and_then(|write| outcome(&fleet, write));
        expect_that!(
            new_outcome,
            not(some(matches_pattern!(WriteOutcome::Accepted(_)))),
            "seed {seed}"
        );
        fleet.start(with_write);
        fleet.run(6_000);
        let is_kept = fleet
            .value(without_write, "spec")
            .is_some_and(|(version, value)| version > 2 || value == b"two");
        expect_true!(
            is_kept,
            "seed {seed}: {:?}",
            fleet.value(without_write, "spec")
        );
    }
    expect_that!(seeds_reached, gt(5));
}

/// A voter tells a joiner that the former member epoch is over, and dies before that is on its disk: it must not come
/// back to vote with those that do not know.
#[gtest]
fn a_member_epoch_ends_only_once_the_next_is_on_disk() {
    let mut seeds_reached = 0;
    for seed in 0..40 {
        let mut fleet = three_daemons(seed);
        fleet.write_until_accepted("spec", b"one", 5_000);
        fleet.run(1_000);
        let (partitioned, adopted, restarted) = (
            seed as usize % 3,
            (seed as usize + 1) % 3,
            (seed as usize + 2) % 3,
        );
        let partitioned_addr = fleet.daemons[partitioned].config.addr.clone();
        fleet.partitioned.insert(partitioned_addr.clone());
        let restarted_addr = addr(restarted);
        let unreached_addr = restarted_addr.clone();
        fleet.delivers = Box::new(move |_, to, message| {
            *to != unreached_addr || !matches!(message, Message::Commit(_) | Message::SlotsReply(_))
        });
        fleet.add(3, &[adopted, restarted], false, &eight_regions());
        if fleet
            .run_until(6_000, |fleet| {
                fleet
                    .control(adopted)
                    .is_some_and(|control| control.registers.members.member_epoch == 2)
            })
            .is_none()
            || fleet
                .control(restarted)
                .unwrap()
                .registers
                .members
                .member_epoch
                != 1
        {
            continue;
        }
        fleet.daemons[restarted].disk_hung_until = fleet.now + 60_000;
        fleet.delivers = Box::new(|_, _, _| true);
        fleet.run(3_000);
        // Two partitions: the former voters that do not know, and those that do. What was in flight arrives before.
        let former_voters = [partitioned_addr.clone(), restarted_addr];
        fleet.delivers =
            Box::new(move |from, to, _| former_voters.contains(from) == former_voters.contains(to));
        fleet.run(100);
        fleet.kill(restarted);
        fleet.daemons[restarted].disk_hung_until = 0;
        fleet.start(restarted);
        fleet.partitioned.remove(&partitioned_addr);
        fleet.run(4_000);
        let writes = [
            fleet.write(adopted, "spec", Some(1), b"two"),
            fleet.write(restarted, "spec", Some(1), b"other"),
        ];
        fleet.run(4_000);
        seeds_reached += 1;
        let accepted_count = writes
            .iter()
            .flatten()
            .filter(|write| {
                matches!(
                    fleet.write_outcomes.get(*write),
                    Some((_, WriteOutcome::Accepted(_)))
                )
            })
            .count();
        expect_that!(accepted_count, le(1), "seed {seed}: both halves accepted");
        fleet.delivers = Box::new(|_, _, _| true);
        fleet.run(8_000);
        expect_that!(
            fleet.write_until_accepted("spec", b"three", 6_000),
            some(anything()),
            "seed {seed}"
        );
    }
    expect_that!(seeds_reached, gt(5));
}

/// A joiner among the voters does not know which leases the others have granted.
#[gtest]
fn a_joiner_lets_nobody_acquire_a_lease_that_still_runs() {
    let mut seeds_reached = 0;
    for seed in 0..40 {
        let mut fleet = six_daemons(seed);
        fleet.write_until_accepted("rollout/s", b"duty", 5_000);
        fleet.run(4_000);
        let voting = fleet.voting();
        let Some(&holder) = voting
            .iter()
            .find(|daemon| owns(&fleet, **daemon, "rollout/s"))
        else {
            continue;
        };
        let others: Vec<usize> = voting
            .iter()
            .copied()
            .filter(|daemon| *daemon != holder)
            .collect();
        // Two of the four others never receive its renewals.
        let unreached_addrs = [
            addr(others[seed as usize % 4]),
            addr(others[(seed as usize + 1) % 4]),
        ];
        let lost = others[(seed as usize + 2) % 4];
        let holder_addr = addr(holder);
        fleet.delivers = Box::new(move |from, to, message| {
            !(matches!(message, Message::RenewLeases(_))
                && *from == holder_addr
                && unreached_addrs.contains(to))
        });
        fleet.run(4_000);
        if !owns(&fleet, holder, "rollout/s") {
            continue;
        }
        fleet.partitioned.insert(addr(holder));
        fleet.wipe(lost);
        fleet.run(500);
        fleet.start(lost);
        seeds_reached += 1;
        for _ in 0..600 {
            fleet.run(10);
            let holders: Vec<usize> = (0..6)
                .filter(|daemon| owns(&fleet, *daemon, "rollout/s"))
                .collect();
            expect_that!(
                holders.len(),
                le(1),
                "seed {seed} at {}: {holders:?}",
                fleet.now
            );
        }
        expect_true!(
            (0..6).any(|daemon| daemon != holder && owns(&fleet, daemon, "rollout/s")),
            "seed {seed}: nobody duration it"
        );
    }
    expect_that!(seeds_reached, gt(10));
}

/// Whoever acquires a lease judges by evidence at once, and no others receive it.
#[gtest]
fn outcome_counters_are_kept_by_the_lease_holder_and_its_successor() {
    let spec = br#"{"zones": [], "tiers": [], "canary_percent": 8, "bake_ms": 0, "release": 1, "paths": [], "services":
        [{"name": "s", "version": "", "mode": "placed", "lanes": [], "zones": [], "engine": {"slots": 64, "channels": 400}}]}"#;
    for seed in 0..10 {
        let mut fleet = six_daemons(seed);
        expect_that!(
            fleet.write_until_accepted("spec", spec, 5_000),
            some(anything())
        );
        fleet.write_until_accepted("rollout/s", b"duty", 5_000);
        fleet.run(1_000);
        let daemons_with_counters = |fleet: &Fleet| -> Vec<usize> {
            (0..6)
                .filter(|daemon| {
                    fleet
                        .control(*daemon)
                        .is_some_and(|control| control.selected_services().any(|s| s == "s"))
                })
                .collect()
        };
        let (before, former) = (
            daemons_with_counters(&fleet),
            owner_of(&fleet, "rollout/s").unwrap(),
        );
        // A learner may be the next as well.
        expect_that!(
            before,
            all!(len(le(3)), contains(eq(&former))),
            "seed {seed}"
        );
        fleet.kill(former);
        fleet
            .run_until(8_000, |fleet| {
                owner_of(fleet, "rollout/s").is_some_and(|holder| holder != former)
            })
            .unwrap();
        expect_that!(
            before,
            contains(eq(&owner_of(&fleet, "rollout/s").unwrap())),
            "seed {seed}: the counters were there before"
        );
        fleet.run(COUNTER_RETENTION + 2_000);
        expect_that!(
            daemons_with_counters(&fleet),
            all!(
                len(le(3)),
                contains(eq(&owner_of(&fleet, "rollout/s").unwrap()))
            ),
            "seed {seed}"
        );
    }
}
