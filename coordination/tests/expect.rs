//! Writes conditional on an operator's release, and majority reads.

mod fleet;

use coordination::{Ms, WriteOutcome, control::SPEC_KEY, register::Expect};
use fleet::{Fleet, addr};
use googletest::prelude::*;
use wire_messages::Message;

/// Returns a spec document of a release, in the product's own format; `variant` distinguishes two documents of one
/// release.
fn document(release: u64, variant: u64) -> Vec<u8> {
    let document = serde_json::json!({"zones": [{"name": "z0"}], "tiers": [], "services": [], "canary_percent": 10, "bake_ms": variant,
        "release": release});
    serde_json::to_vec(&document).unwrap()
}

fn settled_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::bootstrapped(seed, 3, |daemon| format!("r{daemon}"));
    let all_settled = |fleet: &Fleet| {
        (0..3).all(|daemon| {
            fleet
                .control(daemon)
                .is_some_and(|control| control.is_settled())
        })
    };
    fleet
        .run_until(10_000, all_settled)
        .expect("the fleet settles");
    fleet
}

/// A submitted request: the daemon, and the token that it returned.
type Submitted = (usize, u64);

/// Submits a write to a daemon without waiting for its outcome.
fn submit(fleet: &mut Fleet, daemon: usize, expect: Expect, value: &[u8]) -> Submitted {
    let now = fleet.now;
    let control = fleet.daemons[daemon].control.as_mut().unwrap();
    let (token, out) = control.write(SPEC_KEY, expect, value.to_vec(), now);
    fleet.carry_out(daemon, out);
    (daemon, token)
}

fn outcome(fleet: &mut Fleet, submitted: Submitted) -> Option<WriteOutcome> {
    fleet.run_until(4_000, |fleet| fleet.write_outcomes.contains_key(&submitted));
    fleet
        .write_outcomes
        .get(&submitted)
        .map(|(_, outcome)| *outcome)
}

fn write(fleet: &mut Fleet, daemon: usize, expect: Expect, value: &[u8]) -> Option<WriteOutcome> {
    let submitted = submit(fleet, daemon, expect, value);
    outcome(fleet, submitted)
}

fn read_newest(fleet: &mut Fleet, daemon: usize) -> Option<WriteOutcome> {
    let now = fleet.now;
    let control = fleet.daemons[daemon].control.as_mut().unwrap();
    let (token, out) = control.read_newest(SPEC_KEY, now);
    fleet.carry_out(daemon, out);
    outcome(fleet, (daemon, token))
}

/// Returns the daemon that owns the spec's key.
fn spec_owner(fleet: &Fleet) -> usize {
    (0..3)
        .find(|daemon| owns_spec(fleet, *daemon))
        .expect("an owner")
}

fn owns_spec(fleet: &Fleet, daemon: usize) -> bool {
    let registers = &fleet.control(daemon).unwrap().registers;
    registers.held_until(SPEC_KEY, fleet.now).is_some()
}

#[gtest]
fn a_write_on_the_current_release_is_accepted_and_so_is_its_repeat() {
    let fleet = &mut settled_fleet(1);
    expect_that!(read_newest(fleet, 1), some(eq(WriteOutcome::Accepted(0))));
    expect_that!(
        write(fleet, 0, Expect::Release(0), &document(3, 1)),
        some(eq(WriteOutcome::Accepted(1)))
    );
    // Repeats of the same document at any daemon write nothing.
    for daemon in 0..3 {
        expect_that!(
            write(fleet, daemon, Expect::Release(0), &document(3, 1)),
            some(eq(WriteOutcome::Accepted(1)))
        );
    }
    // Another document on top of the same release is a conflict.
    expect_that!(
        write(fleet, 1, Expect::Release(0), &document(3, 2)),
        some(eq(WriteOutcome::Conflict(1)))
    );
    expect_that!(
        write(fleet, 2, Expect::Release(2), &document(8, 1)),
        some(eq(WriteOutcome::Conflict(1)))
    );
    expect_that!(
        write(fleet, 2, Expect::Release(3), &document(8, 1)),
        some(eq(WriteOutcome::Accepted(2)))
    );
    for daemon in 0..3 {
        expect_that!(
            read_newest(fleet, daemon),
            some(eq(WriteOutcome::Accepted(2)))
        );
    }
    fleet.run(1_000);
    for daemon in 0..3 {
        expect_that!(
            fleet
                .control(daemon)
                .unwrap()
                .spec()
                .map(|spec| spec.release),
            some(eq(8))
        );
        // A repeat after its successor is accepted as its original version; a rejected document is rejected again.
        expect_that!(
            write(fleet, daemon, Expect::Release(0), &document(3, 1)),
            some(eq(WriteOutcome::Accepted(1)))
        );
        expect_that!(
            write(fleet, daemon, Expect::Release(0), &document(3, 2)),
            some(eq(WriteOutcome::Conflict(2)))
        );
    }
}

#[gtest]
fn one_of_two_racing_writes_on_a_release_is_accepted() {
    for seed in 0..1_000 {
        let fleet = &mut settled_fleet(seed);
        expect_that!(
            write(fleet, 0, Expect::Release(0), &document(1, 0)),
            some(eq(WriteOutcome::Accepted(1)))
        );
        let (first_daemon, second_daemon) = (fleet.rng.usize(..3), fleet.rng.usize(..3));
        let first = submit(fleet, first_daemon, Expect::Release(1), &document(5, 1));
        let wait = fleet.rng.u64(..60);
        fleet.run(wait);
        let second = submit(fleet, second_daemon, Expect::Release(1), &document(6, 2));
        let mut outcomes = [outcome(fleet, first), outcome(fleet, second)];
        outcomes.sort_by_key(|outcome| matches!(outcome, Some(WriteOutcome::Conflict(_))));
        expect_that!(
            outcomes,
            eq([
                Some(WriteOutcome::Accepted(2)),
                Some(WriteOutcome::Conflict(2))
            ]),
            "seed {seed}"
        );
    }
}

/// The owner is partitioned and another daemon acquires the key. The deposed owner must neither reject a valid write as
/// a conflict nor report its older version as the newest.
#[gtest]
fn a_deposed_owner_in_a_partition_reports_no_stale_outcome() {
    for seed in 0..20 {
        let fleet = &mut settled_fleet(seed);
        expect_that!(
            write(fleet, 0, Expect::Release(0), &document(1, 0)),
            some(eq(WriteOutcome::Accepted(1)))
        );
        let owner = spec_owner(fleet);
        let other = (owner + 1) % 3;
        fleet.partitioned.insert(addr(owner));
        // Until the owner is unreachable to the others, they forward writes to it and report the outcome as unknown.
        let mut accepted = None;
        for _ in 0..8 {
            accepted = write(fleet, other, Expect::Release(1), &document(2, 0));
            if accepted == Some(WriteOutcome::Accepted(2)) {
                break;
            }
            fleet.run(300);
        }
        expect_that!(accepted, some(eq(WriteOutcome::Accepted(2))), "seed {seed}");
        // The deposed owner still considers itself the owner, and gets requests while it receives no messages.
        let outcomes = [
            write(fleet, owner, Expect::Release(2), &document(3, 0)),
            read_newest(fleet, owner),
        ];
        for outcome in outcomes {
            let is_definite = matches!(
                outcome,
                Some(WriteOutcome::Conflict(_) | WriteOutcome::Accepted(_))
            );
            expect_false!(is_definite, "seed {seed}: {outcome:?}");
        }
        fleet.partitioned.clear();
        let caught_up_after: Option<Ms> = fleet.run_until(6_000, |fleet| {
            fleet
                .value(owner, SPEC_KEY)
                .is_some_and(|(version, _)| version == 2)
        });
        expect_that!(caught_up_after, some(anything()), "seed {seed}");
        expect_that!(
            read_newest(fleet, owner),
            some(eq(WriteOutcome::Accepted(2))),
            "seed {seed}"
        );
    }
}

/// All processes are killed right after a release was accepted: no later read returns an older release.
#[gtest]
fn no_stale_release_is_read_after_all_daemons_were_killed() {
    for seed in 0..20 {
        let fleet = &mut settled_fleet(seed);
        expect_that!(
            write(fleet, 0, Expect::Release(0), &document(1, 0)),
            some(eq(WriteOutcome::Accepted(1)))
        );
        expect_that!(
            write(fleet, 1, Expect::Release(1), &document(2, 0)),
            some(eq(WriteOutcome::Accepted(2)))
        );
        for daemon in 0..3 {
            fleet.kill(daemon);
        }
        fleet.run(300);
        for daemon in 0..3 {
            fleet.start(daemon);
        }
        let mut reads = vec![];
        for _ in 0..30 {
            let daemon = fleet.rng.usize(..3);
            reads.extend(read_newest(fleet, daemon));
            fleet.run(50);
        }
        let versions: Vec<_> = reads
            .iter()
            .filter(|read| matches!(read, WriteOutcome::Accepted(_)))
            .collect();
        expect_that!(versions, not(is_empty()), "seed {seed}");
        expect_that!(
            versions,
            each(eq(&&WriteOutcome::Accepted(2))),
            "seed {seed}"
        );
    }
}

/// An owner's own disk stores a newer document that no majority accepted, and promises more slowly than the others. The
/// document either becomes the current one or is dropped, but no valid write is rejected because of it.
#[gtest]
fn an_owner_compares_with_the_committed_value_not_with_an_uncommitted_one_on_its_disk() {
    let mut seeds_reached = 0;
    for seed in 0..20 {
        let fleet = &mut settled_fleet(seed);
        fleet.max_latency = 1;
        expect_that!(
            write(fleet, 0, Expect::Release(0), &document(1, 0)),
            some(eq(WriteOutcome::Accepted(1)))
        );
        fleet.run(1_000);
        let owner = spec_owner(fleet);
        let (owner_addr, other) = (addr(owner), (owner + 1) % 3);
        // Only the owner's disk accepts the write; then another daemon owns the key.
        fleet.delivers = Box::new(move |from, to, message| {
            *from != owner_addr || from == to || !matches!(message, Message::Accept(_))
        });
        submit(fleet, owner, Expect::Release(1), &document(9, 0));
        fleet.run(50);
        fleet.kill(owner);
        fleet.delivers = Box::new(|_, _, message| !matches!(message, Message::SlotsRequest(_)));
        fleet.run(2_500);
        fleet.daemons[owner].sync_duration = 100;
        fleet.start(owner);
        if fleet
            .run_until(2_000, |fleet| owns_spec(fleet, owner))
            .is_none()
        {
            continue;
        }
        seeds_reached += 1;
        // A write on top of the newest release that an operator has read is not rejected.
        let Some(WriteOutcome::Accepted(version)) = read_newest(fleet, other) else {
            continue;
        };
        fleet.delivers = Box::new(|_, _, _| true);
        let current_release = if version == 1 { 1 } else { 9 };
        expect_that!(
            write(
                fleet,
                other,
                Expect::Release(current_release),
                &document(12, 0)
            ),
            some(eq(WriteOutcome::Accepted(version + 1))),
            "seed {seed}"
        );
    }
    expect_that!(seeds_reached, gt(10));
}
