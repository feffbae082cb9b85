//! Resubmission of releases that were accepted and then replaced: each is acknowledged with its original version,
//! whatever faults occurred at the daemons that accepted it.

mod fleet;

use coordination::{
    WriteOutcome,
    control::SPEC_KEY,
    register::{Expect, REPLACED_VALUES_KEPT},
};
use fleet::{Fleet, addr};
use googletest::prelude::*;

/// Number of releases that are submitted, each based on the previous one.
const RELEASES: u64 = 6;

/// Returns the document of a release in the native format; `mark` distinguishes two documents of one release.
fn document(release: u64, mark: u64) -> Vec<u8> {
    let document = serde_json::json!({"zones": [], "tiers": [], "services": [], "canary_percent": 10, "bake_ms": mark,
        "release": release});
    serde_json::to_vec(&document).unwrap()
}

/// Submits a document to a daemon and returns the outcome, or `None` after a timeout.
fn submit(
    fleet: &mut Fleet,
    daemon: usize,
    expect: Expect,
    document: Vec<u8>,
) -> Option<WriteOutcome> {
    let now = fleet.now;
    let control = fleet.daemons[daemon].control.as_mut().unwrap();
    let (token, out) = control.write(SPEC_KEY, expect, document, now);
    fleet.carry_out(daemon, out);
    outcome(fleet, (daemon, token))
}

fn outcome(fleet: &mut Fleet, submitted: (usize, u64)) -> Option<WriteOutcome> {
    fleet.run_until(4_000, |fleet| fleet.write_outcomes.contains_key(&submitted));
    fleet
        .write_outcomes
        .get(&submitted)
        .map(|(_, outcome)| *outcome)
}

/// Submits a release based on the previous one.
fn submit_release(
    fleet: &mut Fleet,
    daemon: usize,
    release: u64,
    mark: u64,
) -> Option<WriteOutcome> {
    let expect = Expect::Release(release - 1);
    submit(fleet, daemon, expect, document(release, mark))
}

/// Submits a release until it is accepted or rejected with a conflict.
fn submit_until_decided(
    fleet: &mut Fleet,
    daemon: usize,
    release: u64,
    mark: u64,
) -> Option<WriteOutcome> {
    for _ in 0..20 {
        match submit_release(fleet, daemon, release, mark) {
            Some(outcome @ (WriteOutcome::Accepted(_) | WriteOutcome::Conflict(_))) => {
                return Some(outcome);
            }
            _ => fleet.run(200),
        }
    }
    None
}

fn wait_until_settled(fleet: &mut Fleet) {
    let all_settled = |fleet: &Fleet| {
        (0..3).all(|daemon| {
            fleet
                .control(daemon)
                .is_some_and(|control| control.is_settled())
        })
    };
    fleet
        .run_until(20_000, all_settled)
        .expect("the fleet settles");
}

fn settled_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::bootstrapped(seed, 3, |daemon| format!("r{daemon}"));
    wait_until_settled(&mut fleet);
    fleet
}

fn spec_owner(fleet: &Fleet) -> Option<usize> {
    (0..3).find(|daemon| {
        let registers = &fleet.control(*daemon).unwrap().registers;
        registers.held_until(SPEC_KEY, fleet.now).is_some()
    })
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    AllKilled,
    OwnerKilled,
    /// One daemon is partitioned while the later releases are accepted.
    OnePartitioned,
    /// Every disk is lost, one after another.
    DisksLost,
}

const FAULTS: [Fault; 5] = [
    Fault::None,
    Fault::AllKilled,
    Fault::OwnerKilled,
    Fault::OnePartitioned,
    Fault::DisksLost,
];

#[gtest]
fn a_replaced_release_is_acknowledged_again_after_any_fault() {
    for seed in 0..25u64 {
        let fleet = &mut settled_fleet(seed);
        let fault = FAULTS[seed as usize % FAULTS.len()];
        let partitioned = fleet.rng.usize(..3);
        let mut daemon = fleet.rng.usize(..3);
        for release in 1..=RELEASES {
            if release == 3 && matches!(fault, Fault::OnePartitioned) {
                fleet.partitioned.insert(addr(partitioned));
                fleet.run(2_000);
                daemon = (partitioned + 1) % 3;
            }
            expect_that!(
                submit_until_decided(fleet, daemon, release, 0),
                some(eq(WriteOutcome::Accepted(release))),
                "seed {seed}, {fault:?}"
            );
            // A competing document of the same release loses.
            expect_that!(
                submit_until_decided(fleet, daemon, release, 1),
                some(eq(WriteOutcome::Conflict(release))),
                "seed {seed}, {fault:?}"
            );
        }
        fleet.partitioned.clear();
        inject(fleet, fault);
        wait_until_settled(fleet);
        for (release, daemon) in
            (1..=RELEASES).flat_map(|release| (0..3).map(move |daemon| (release, daemon)))
        {
            let case = format!("seed {seed}, {fault:?}: release {release} at {daemon}");
            expect_that!(
                submit_until_decided(fleet, daemon, release, 0),
                some(eq(WriteOutcome::Accepted(release))),
                "{case}"
            );
            expect_that!(
                submit_until_decided(fleet, daemon, release, 1),
                some(eq(WriteOutcome::Conflict(RELEASES))),
                "{case}, competing document"
            );
        }
    }
}

/// Kills daemons or wipes disks, and restarts the daemons.
fn inject(fleet: &mut Fleet, fault: Fault) {
    let killed = match fault {
        Fault::AllKilled => vec![0, 1, 2],
        Fault::OwnerKilled => spec_owner(fleet).into_iter().collect(),
        _ => vec![],
    };
    for daemon in &killed {
        fleet.kill(*daemon);
    }
    fleet.run(300);
    for daemon in &killed {
        fleet.start(*daemon);
    }
    for daemon in (0..3).filter(|_| matches!(fault, Fault::DisksLost)) {
        fleet.wipe(daemon);
        fleet.run(600);
        fleet.start(daemon);
        fleet
            .run_until(10_000, |fleet| fleet.voting().len() == 3)
            .expect("the daemon is a voter again");
        wait_until_settled(fleet);
    }
}

/// The history is bounded: every release in it, from oldest to newest, is recognized, and a competing document is
/// rejected. An older release is neither accepted nor rejected, because no daemon knows whether it was ever current.
#[gtest]
fn releases_beyond_the_kept_history_get_no_clear_answer() {
    let fleet = &mut settled_fleet(1);
    let kept = REPLACED_VALUES_KEPT as u64;
    for release in 1..=kept + 4 {
        expect_that!(
            submit_until_decided(fleet, 0, release, 0),
            some(eq(WriteOutcome::Accepted(release)))
        );
    }
    for daemon in 0..3 {
        for (release, mark) in [(1, 0), (3, 0), (1, 1), (3, 1)] {
            expect_that!(
                submit_release(fleet, daemon, release, mark),
                some(eq(WriteOutcome::Unknown)),
                "release {release} with mark {mark} at {daemon}"
            );
        }
        for release in [4, 5, kept, kept + 3, kept + 4] {
            expect_that!(
                submit_until_decided(fleet, daemon, release, 0),
                some(eq(WriteOutcome::Accepted(release))),
                "release {release} at {daemon}"
            );
            expect_that!(
                submit_until_decided(fleet, daemon, release, 1),
                some(eq(WriteOutcome::Conflict(kept + 4))),
                "competing document of release {release} at {daemon}"
            );
        }
    }
    // Edges have no use for the history and receive only the value.
    let slot = fleet
        .control(0)
        .unwrap()
        .registers
        .slots()
        .find(|slot| &*slot.key == SPEC_KEY)
        .unwrap();
    expect_that!(slot.replaced.len(), eq(REPLACED_VALUES_KEPT));
}

/// A conditional write based on a version that is older than the kept history gets no clear answer either.
#[gtest]
fn a_write_on_a_version_beyond_the_kept_history_gets_no_clear_answer() {
    let fleet = &mut settled_fleet(2);
    let write_on = |fleet: &mut Fleet, version: u64, value: u64| {
        let write = fleet
            .write(1, "plan/s", Some(version), &value.to_be_bytes())
            .unwrap();
        outcome(fleet, write)
    };
    let newest = REPLACED_VALUES_KEPT as u64 + 3;
    for version in 0..newest {
        expect_that!(
            write_on(fleet, version, version),
            some(eq(WriteOutcome::Accepted(version + 1)))
        );
    }
    for (version, value) in [(0, 0), (1, 1), (1, 7)] {
        expect_that!(
            write_on(fleet, version, value),
            some(eq(WriteOutcome::Unknown)),
            "on {version}"
        );
    }
    expect_that!(write_on(fleet, 2, 2), some(eq(WriteOutcome::Accepted(3))));
    expect_that!(
        write_on(fleet, 2, 7),
        some(eq(WriteOutcome::Conflict(newest)))
    );
}

/// While the history holds every accepted value, a value that is missing from it was never accepted.
#[gtest]
fn a_competing_document_is_rejected_while_the_history_is_complete() {
    let fleet = &mut settled_fleet(3);
    for release in 1..=5 {
        expect_that!(
            submit_until_decided(fleet, 0, release, 0),
            some(eq(WriteOutcome::Accepted(release)))
        );
    }
    expect_that!(
        submit_until_decided(fleet, 1, 1, 9),
        some(eq(WriteOutcome::Conflict(5)))
    );
    // A release number below the first accepted one is rejected too.
    let fleet = &mut settled_fleet(4);
    let write_first =
        |fleet: &mut Fleet, release| submit(fleet, 0, Expect::Release(0), document(release, 0));
    expect_that!(write_first(fleet, 5), some(eq(WriteOutcome::Accepted(1))));
    expect_that!(write_first(fleet, 3), some(eq(WriteOutcome::Conflict(1))));
}

/// Every unconditional write is a new command, even if its value was current before: a restored zone can be
/// evacuated again.
#[gtest]
fn an_unconditional_write_is_never_taken_for_an_earlier_one() {
    let fleet = &mut settled_fleet(1);
    for version in 1..=6u64 {
        let write = fleet
            .write(version as usize % 3, "zone/z1", None, &[version as u8 % 2])
            .unwrap();
        expect_that!(
            outcome(fleet, write),
            some(eq(WriteOutcome::Accepted(version)))
        );
    }
}

/// A conditional write based on a version can only have been accepted as the next version.
#[gtest]
fn a_repeated_write_on_a_version_is_acknowledged_as_the_next_version() {
    let fleet = &mut settled_fleet(1);
    let write_on = |fleet: &mut Fleet, version: u64, value: u8| {
        let write = fleet
            .write(version as usize % 3, "plan/s", Some(version), &[value])
            .unwrap();
        outcome(fleet, write)
    };
    for version in 0..4 {
        expect_that!(
            write_on(fleet, version, version as u8),
            some(eq(WriteOutcome::Accepted(version + 1)))
        );
    }
    for version in 0..4 {
        expect_that!(
            write_on(fleet, version, version as u8),
            some(eq(WriteOutcome::Accepted(version + 1)))
        );
    }
    // The value was current, but not as this version.
    expect_that!(write_on(fleet, 2, 0), some(eq(WriteOutcome::Conflict(4))));
    // The write is not taken for an earlier one either when its value is current again.
    expect_that!(write_on(fleet, 4, 0), some(eq(WriteOutcome::Accepted(5))));
    expect_that!(write_on(fleet, 2, 0), some(eq(WriteOutcome::Conflict(5))));
}
