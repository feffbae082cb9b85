//! Releases that were accepted and then replaced are sent again: they are acknowledged as the version that they were,
//! whatever became of the daemons that saw them stand.

mod fleet;

use coordination::{
    WriteOutcome,
    control::SPEC_KEY,
    register::{Expect, REPLACED_VALUES_KEPT},
};
use fleet::Fleet;
use googletest::prelude::*;

/// How many releases are put, each on top of the one before.
const RELEASES: u64 = 6;

/// A document of a release, in the product's own spelling; `mark` tells two of one release apart.
fn document(release: u64, mark: u64) -> Vec<u8> {
    let s = serde_json::json!({"zones": [], "tiers": [], "services": [], "canary_percent": 10, "bake_ms": mark,
        "release": release});
    serde_json::to_vec(&s).unwrap()
}
fn put(f: &mut Fleet, i: usize, release: u64, mark: u64) -> Option<WriteOutcome> {
    let now = f.now;
    let e = Expect::Release(release - 1);
    let (t, out) =
        f.daemons[i]
            .control
            .as_mut()
            .unwrap()
            .write(SPEC_KEY, e, document(release, mark), now);
    f.carry_out(i, out);
    f.run_until(4_000, |f| f.write_outcomes.contains_key(&(i, t)));
    f.write_outcomes.get(&(i, t)).map(|e| e.1)
}
/// Sends it until it has a clear answer.
fn clear(f: &mut Fleet, i: usize, release: u64, mark: u64) -> Option<WriteOutcome> {
    for _ in 0..20 {
        match put(f, i, release, mark) {
            Some(e @ (WriteOutcome::Accepted(_) | WriteOutcome::Conflict(_))) => return Some(e),
            _ => f.run(200),
        }
    }
    None
}
fn settle(f: &mut Fleet) {
    let all = |f: &Fleet| (0..3).all(|i| f.control(i).is_some_and(|b| b.is_settled()));
    f.run_until(20_000, all).expect("the fleet settles");
}

#[derive(Clone, Copy, Debug)]
enum Trouble {
    Calm,
    AllKilled,
    OwnerKilled,
    /// One hears nothing while the later releases are accepted.
    OneCutOff,
    /// Each disk is lost, one after the other.
    DisksLost,
}
use Trouble::*;

#[gtest]
fn a_release_that_was_accepted_and_replaced_is_acknowledged_again() {
    for seed in 0..25u64 {
        let f = &mut Fleet::bootstrapped(seed, 3, |i| format!("r{i}"));
        settle(f);
        let t = [Calm, AllKilled, OwnerKilled, OneCutOff, DisksLost][seed as usize % 5];
        let cut = f.rng.usize(..3);
        let mut at = f.rng.usize(..3);
        for r in 1..=RELEASES {
            if r == 3 && matches!(t, OneCutOff) {
                f.partitioned.insert(fleet::addr(cut));
                f.run(2_000);
                at = (cut + 1) % 3;
            }
            expect_that!(
                clear(f, at, r, 0),
                some(eq(WriteOutcome::Accepted(r))),
                "seed {seed}, {t:?}"
            );
            // The loser of a race under the same number.
            expect_that!(
                clear(f, at, r, 1),
                some(eq(WriteOutcome::Conflict(r))),
                "seed {seed}, {t:?}"
            );
        }
        f.partitioned.clear();
        let owner = (0..3).find(|i| {
            f.control(*i)
                .unwrap()
                .registers
                .held_until(SPEC_KEY, f.now)
                .is_some()
        });
        let gone = match t {
            AllKilled => vec![0, 1, 2],
            OwnerKilled => owner.into_iter().collect(),
            _ => vec![],
        };
        gone.iter().for_each(|i| f.kill(*i));
        f.run(300);
        gone.iter().for_each(|i| f.start(*i));
        for i in (0..3).filter(|_| matches!(t, DisksLost)) {
            f.wipe(i);
            f.run(600);
            f.start(i);
            f.run_until(10_000, |f| f.voting().len() == 3)
                .expect("it votes again");
            settle(f);
        }
        settle(f);
        for (r, i) in (1..=RELEASES).flat_map(|r| (0..3).map(move |i| (r, i))) {
            let told = format!("seed {seed}, {t:?}: release {r} at {i}");
            expect_that!(
                clear(f, i, r, 0),
                some(eq(WriteOutcome::Accepted(r))),
                "{told}"
            );
            expect_that!(
                clear(f, i, r, 1),
                some(eq(WriteOutcome::Conflict(RELEASES))),
                "{told}, the loser"
            );
        }
    }
}

/// What is remembered has a bound; within it the oldest is known as well as the newest, and who lost a race is told so.
/// What is older is neither accepted nor refused, as it may have stood: nobody can tell it from one that never did.
#[gtest]
fn as_many_releases_are_remembered_as_the_bound_says_and_older_ones_get_no_clear_answer() {
    let f = &mut Fleet::bootstrapped(1, 3, |i| format!("r{i}"));
    settle(f);
    let most = REPLACED_VALUES_KEPT as u64;
    for r in 1..=most + 4 {
        expect_that!(clear(f, 0, r, 0), some(eq(WriteOutcome::Accepted(r))));
    }
    for at in 0..3 {
        for (r, mark) in [(1, 0), (3, 0), (1, 1), (3, 1)] {
            expect_that!(
                put(f, at, r, mark),
                some(eq(WriteOutcome::Unknown)),
                "release {r} of mark {mark} at {at}"
            );
        }
        for r in [4, 5, most, most + 3, most + 4] {
            expect_that!(
                clear(f, at, r, 0),
                some(eq(WriteOutcome::Accepted(r))),
                "release {r} at {at}"
            );
            expect_that!(
                clear(f, at, r, 1),
                some(eq(WriteOutcome::Conflict(most + 4))),
                "the loser of {r} at {at}"
            );
        }
    }
    // Edges have no use for it: what goes to them is the value alone.
    let slot = f
        .control(0)
        .unwrap()
        .registers
        .slots()
        .find(|s| &*s.key == SPEC_KEY)
        .unwrap();
    expect_that!(slot.replaced.len(), eq(REPLACED_VALUES_KEPT));
}

/// The same for a write that names the version it replaces.
#[gtest]
fn a_write_on_a_version_that_is_forgotten_gets_no_clear_answer() {
    let f = &mut Fleet::bootstrapped(2, 3, |i| format!("r{i}"));
    settle(f);
    let ask = |f: &mut Fleet, on: u64, value: u64| {
        let w = f
            .write(1, "plan/s", Some(on), &value.to_be_bytes())
            .unwrap();
        f.run_until(4_000, |f| f.write_outcomes.contains_key(&w));
        f.write_outcomes.get(&w).map(|e| e.1)
    };
    let newest = REPLACED_VALUES_KEPT as u64 + 3;
    for on in 0..newest {
        expect_that!(ask(f, on, on), some(eq(WriteOutcome::Accepted(on + 1))));
    }
    for (on, value) in [(0, 0), (1, 1), (1, 7)] {
        expect_that!(
            ask(f, on, value),
            some(eq(WriteOutcome::Unknown)),
            "on {on}"
        );
    }
    expect_that!(ask(f, 2, 2), some(eq(WriteOutcome::Accepted(3))));
    expect_that!(ask(f, 2, 7), some(eq(WriteOutcome::Conflict(newest))));
}

/// As long as every accepted value is remembered, what is not among them was never accepted.
#[gtest]
fn the_loser_of_the_first_race_is_refused_while_all_is_remembered() {
    let f = &mut Fleet::bootstrapped(3, 3, |i| format!("r{i}"));
    settle(f);
    for r in 1..=5 {
        expect_that!(clear(f, 0, r, 0), some(eq(WriteOutcome::Accepted(r))));
    }
    expect_that!(clear(f, 1, 1, 9), some(eq(WriteOutcome::Conflict(5))));
    // Also where its number is below that of the first that was accepted.
    let f = &mut Fleet::bootstrapped(4, 3, |i| format!("r{i}"));
    settle(f);
    let ask = |f: &mut Fleet, release| {
        let now = f.now;
        let (t, out) = f.daemons[0].control.as_mut().unwrap().write(
            SPEC_KEY,
            Expect::Release(0),
            document(release, 0),
            now,
        );
        f.carry_out(0, out);
        f.run_until(4_000, |f| f.write_outcomes.contains_key(&(0, t)));
        f.write_outcomes.get(&(0, t)).map(|e| e.1)
    };
    expect_that!(ask(f, 5), some(eq(WriteOutcome::Accepted(1))));
    expect_that!(ask(f, 3), some(eq(WriteOutcome::Conflict(1))));
}

/// What is compared with nothing is a new order each time, also where its value stood once: a zone that was given back
/// is evacuated again.
#[gtest]
fn an_order_that_is_compared_with_nothing_is_never_taken_for_a_former_one() {
    let f = &mut Fleet::bootstrapped(1, 3, |i| format!("r{i}"));
    settle(f);
    for n in 1..=6u64 {
        let w = f
            .write(n as usize % 3, "zone/z1", None, &[n as u8 % 2])
            .unwrap();
        f.run_until(4_000, |f| f.write_outcomes.contains_key(&w));
        expect_that!(
            f.write_outcomes.get(&w).map(|e| e.1),
            some(eq(WriteOutcome::Accepted(n)))
        );
    }
}

/// A write that names the version it replaces is known again as just the one after it.
#[gtest]
fn a_write_on_a_version_is_acknowledged_again_as_the_one_after_it() {
    let f = &mut Fleet::bootstrapped(1, 3, |i| format!("r{i}"));
    settle(f);
    let ask = |f: &mut Fleet, on: u64, value: u8| {
        let w = f
            .write(on as usize % 3, "plan/s", Some(on), &[value])
            .unwrap();
        f.run_until(4_000, |f| f.write_outcomes.contains_key(&w));
        f.write_outcomes.get(&w).map(|e| e.1)
    };
    for on in 0..4 {
        expect_that!(
            ask(f, on, on as u8),
            some(eq(WriteOutcome::Accepted(on + 1)))
        );
    }
    for on in 0..4 {
        expect_that!(
            ask(f, on, on as u8),
            some(eq(WriteOutcome::Accepted(on + 1)))
        );
    }
    // The value stood, but not as this version.
    expect_that!(ask(f, 2, 0), some(eq(WriteOutcome::Conflict(4))));
    // Nor is it taken for one of before where it stands again by now.
    expect_that!(ask(f, 4, 0), some(eq(WriteOutcome::Accepted(5))));
    expect_that!(ask(f, 2, 0), some(eq(WriteOutcome::Conflict(5))));
}
