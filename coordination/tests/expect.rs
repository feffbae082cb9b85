//! Writes that compare the operator's release, and readings by a majority.

mod fleet;

use coordination::{Ms, WriteOutcome, control::SPEC_KEY, register::Expect};
use fleet::{Fleet, addr};
use googletest::prelude::*;
use wire_messages::Message;

/// A document of a release, in the product's own spelling; `mark` tells two of one release apart.
fn document(release: u64, mark: u64) -> Vec<u8> {
    let s = serde_json::json!({"zones": [{"name": "z0"}], "tiers": [], "services": [], "canary_percent": 10, "bake_ms": mark,
        "release": release});
    serde_json::to_vec(&s).unwrap()
}

fn settled(seed: u64) -> Fleet {
    let mut f = Fleet::bootstrapped(seed, 3, |i| format!("r{i}"));
    f.run_until(10_000, |f| {
        (0..3).all(|i| f.control(i).is_some_and(|b| b.is_settled()))
    })
    .expect("the fleet settles");
    f
}

/// Takes a write to a daemon; the end is looked for later.
fn send(f: &mut Fleet, i: usize, e: Expect, v: &[u8]) -> (usize, u64) {
    let now = f.now;
    let (t, out) = f.daemons[i]
        .control
        .as_mut()
        .unwrap()
        .write(SPEC_KEY, e, v.to_vec(), now);
    f.carry_out(i, out);
    (i, t)
}
fn end(f: &mut Fleet, w: (usize, u64)) -> Option<WriteOutcome> {
    f.run_until(4_000, |f| f.write_outcomes.contains_key(&w));
    f.write_outcomes.get(&w).map(|e| e.1)
}
fn put(f: &mut Fleet, i: usize, e: Expect, v: &[u8]) -> Option<WriteOutcome> {
    let w = send(f, i, e, v);
    end(f, w)
}
fn newest(f: &mut Fleet, i: usize) -> Option<WriteOutcome> {
    let now = f.now;
    let (t, out) = f.daemons[i]
        .control
        .as_mut()
        .unwrap()
        .read_newest(SPEC_KEY, now);
    f.carry_out(i, out);
    end(f, (i, t))
}

#[gtest]
fn a_release_builds_on_the_one_that_stands_and_its_repeat_is_accepted() {
    let f = &mut settled(1);
    expect_that!(newest(f, 1), some(eq(WriteOutcome::Accepted(0))));
    expect_that!(
        put(f, 0, Expect::Release(0), &document(3, 1)),
        some(eq(WriteOutcome::Accepted(1)))
    );
    // The same document again, at any daemon: nothing is written anew.
    for i in 0..3 {
        expect_that!(
            put(f, i, Expect::Release(0), &document(3, 1)),
            some(eq(WriteOutcome::Accepted(1)))
        );
    }
    // Another one on top of the same release lost.
    expect_that!(
        put(f, 1, Expect::Release(0), &document(3, 2)),
        some(eq(WriteOutcome::Conflict(1)))
    );
    expect_that!(
        put(f, 2, Expect::Release(2), &document(8, 1)),
        some(eq(WriteOutcome::Conflict(1)))
    );
    expect_that!(
        put(f, 2, Expect::Release(3), &document(8, 1)),
        some(eq(WriteOutcome::Accepted(2)))
    );
    for i in 0..3 {
        expect_that!(newest(f, i), some(eq(WriteOutcome::Accepted(2))));
    }
    f.run(1_000);
    for i in 0..3 {
        expect_that!(f.control(i).unwrap().spec().map(|s| s.release), some(eq(8)));
        // A repeat that comes after its successor is accepted as the version that it was; what lost is refused again.
        expect_that!(
            put(f, i, Expect::Release(0), &document(3, 1)),
            some(eq(WriteOutcome::Accepted(1)))
        );
        expect_that!(
            put(f, i, Expect::Release(0), &document(3, 2)),
            some(eq(WriteOutcome::Conflict(2)))
        );
    }
}

#[gtest]
fn of_two_that_build_on_one_release_one_wins() {
    for seed in 0..1_000 {
        let f = &mut settled(seed);
        expect_that!(
            put(f, 0, Expect::Release(0), &document(1, 0)),
            some(eq(WriteOutcome::Accepted(1)))
        );
        let (a, b) = (f.rng.usize(..3), f.rng.usize(..3));
        let one = send(f, a, Expect::Release(1), &document(5, 1));
        let wait = f.rng.u64(..60);
        f.run(wait);
        let two = send(f, b, Expect::Release(1), &document(6, 2));
        let mut ends = [end(f, one), end(f, two)];
        ends.sort_by_key(|e| matches!(e, Some(WriteOutcome::Conflict(_))));
        expect_that!(
            ends,
            eq([
                Some(WriteOutcome::Accepted(2)),
                Some(WriteOutcome::Conflict(2))
            ]),
            "seed {seed}"
        );
    }
}

/// Who owned the key is cut off and another takes it: the first may neither call a right write a conflict nor tell
/// the older version as the newest.
#[gtest]
fn an_owner_that_was_deposed_without_hearing_of_it_tells_nothing_older() {
    for seed in 0..20 {
        let f = &mut settled(seed);
        expect_that!(
            put(f, 0, Expect::Release(0), &document(1, 0)),
            some(eq(WriteOutcome::Accepted(1)))
        );
        let owner = (0..3)
            .find(|i| {
                f.control(*i)
                    .unwrap()
                    .registers
                    .held_until(SPEC_KEY, f.now)
                    .is_some()
            })
            .expect("an owner");
        let other = (owner + 1) % 3;
        f.partitioned.insert(addr(owner));
        // Until the others gave it up for dead they keep asking it, and are told that it is not known.
        let mut done = None;
        for _ in 0..8 {
            done = put(f, other, Expect::Release(1), &document(2, 0));
            if done == Some(WriteOutcome::Accepted(2)) {
                break;
            }
            f.run(300);
        }
        expect_that!(done, some(eq(WriteOutcome::Accepted(2))), "seed {seed}");
        // It still holds the key in its own eyes, and is asked while it hears nobody.
        let told = [
            put(f, owner, Expect::Release(2), &document(3, 0)),
            newest(f, owner),
        ];
        for t in told {
            let clear = matches!(
                t,
                Some(WriteOutcome::Conflict(_) | WriteOutcome::Accepted(_))
            );
            expect_false!(clear, "seed {seed}: {t:?}");
        }
        f.partitioned.clear();
        let back: Option<Ms> = f.run_until(6_000, |f| {
            f.value(owner, SPEC_KEY).is_some_and(|h| h.0 == 2)
        });
        expect_that!(back, some(anything()), "seed {seed}");
        expect_that!(
            newest(f, owner),
            some(eq(WriteOutcome::Accepted(2))),
            "seed {seed}"
        );
    }
}

/// All processes are killed right after a release was accepted: what is read then is never older.
#[gtest]
fn after_a_total_kill_no_older_release_is_read() {
    for seed in 0..20 {
        let f = &mut settled(seed);
        expect_that!(
            put(f, 0, Expect::Release(0), &document(1, 0)),
            some(eq(WriteOutcome::Accepted(1)))
        );
        expect_that!(
            put(f, 1, Expect::Release(1), &document(2, 0)),
            some(eq(WriteOutcome::Accepted(2)))
        );
        (0..3).for_each(|i| f.kill(i));
        f.run(300);
        (0..3).for_each(|i| f.start(i));
        let mut told = vec![];
        for _ in 0..30 {
            let i = f.rng.usize(..3);
            told.extend(newest(f, i));
            f.run(50);
        }
        let clear: Vec<_> = told
            .iter()
            .filter(|t| matches!(t, WriteOutcome::Accepted(_)))
            .collect();
        expect_that!(clear, not(is_empty()), "seed {seed}");
        expect_that!(clear, each(eq(&&WriteOutcome::Accepted(2))), "seed {seed}");
    }
}

/// An owner's own disk has a newer document that no majority took, and is slower than the others with its word for the
/// key: the document is what is compared with from then on, or is gone, but no right write is refused for it.
#[gtest]
fn an_owner_compares_with_what_stands_and_not_with_what_it_once_offered() {
    let mut met = 0;
    for seed in 0..20 {
        let f = &mut settled(seed);
        f.max_latency = 1;
        expect_that!(
            put(f, 0, Expect::Release(0), &document(1, 0)),
            some(eq(WriteOutcome::Accepted(1)))
        );
        f.run(1_000);
        let owner = (0..3)
            .find(|i| {
                f.control(*i)
                    .unwrap()
                    .registers
                    .held_until(SPEC_KEY, f.now)
                    .is_some()
            })
            .expect("an owner");
        let (own, other) = (addr(owner), (owner + 1) % 3);
        // Offered to its own disk only; then another owns the key.
        f.delivers = Box::new(move |from, to, m| {
            *from != own || from == to || !matches!(m, Message::Accept(_))
        });
        send(f, owner, Expect::Release(1), &document(9, 0));
        f.run(50);
        f.kill(owner);
        f.delivers = Box::new(|_, _, m| !matches!(m, Message::SlotsRequest(_)));
        f.run(2_500);
        f.daemons[owner].sync_duration = 100;
        f.start(owner);
        let back = |f: &Fleet| {
            f.control(owner)
                .unwrap()
                .registers
                .held_until(SPEC_KEY, f.now)
                .is_some()
        };
        if f.run_until(2_000, back).is_none() {
            continue;
        }
        met += 1;
        // An operator that reads the newest and builds on it is not refused.
        let Some(WriteOutcome::Accepted(v)) = newest(f, other) else {
            continue;
        };
        f.delivers = Box::new(|_, _, _| true);
        let on = if v == 1 { 1 } else { 9 };
        expect_that!(
            put(f, other, Expect::Release(on), &document(12, 0)),
            some(eq(WriteOutcome::Accepted(v + 1))),
            "seed {seed}"
        );
    }
    expect_that!(met, gt(10));
}
