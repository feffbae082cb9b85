//! Lost disks, lost machines and new ones: who votes, how soon, and that nothing that was accepted goes.

mod fleet;

use std::collections::BTreeMap;

use coordination::{Ms, WriteOutcome, control::COUNTER_RETENTION};
use fleet::Fleet;
use googletest::prelude::*;
use wire_messages::Message;

/// ms. A daemon that came back with a lost disk counts as whole after so long (`Bounds::sync`).
const SYNC: Ms = 4_000;

fn three(seed: u64) -> Fleet {
    let mut f = Fleet::bootstrapped(seed, 3, |i| format!("r{i}"));
    f.run_until(4_000, |f| f.voting().len() == 3).unwrap();
    f
}

/// Six daemons in as many zones of three regions.
fn six(seed: u64) -> Fleet {
    let mut f = Fleet::bootstrapped(seed, 6, |i| format!("r{}", i / 2));
    f.run_until(10_000, |f| f.voting().len() == 5).unwrap();
    f.run(1_000);
    f
}

fn regions(n: usize, of: usize) -> BTreeMap<String, String> {
    (0..n)
        .map(|i| (format!("z{i}"), format!("r{}", i / of)))
        .collect()
}

/// Whoever answers reads at least what was accepted.
fn holds(f: &Fleet, key: &str, value: &[u8]) -> Vec<usize> {
    (0..f.daemons.len())
        .filter(|i| f.value(*i, key).is_some_and(|h| h.1 == value))
        .collect()
}

#[gtest]
fn a_lost_disk_votes_again_well_inside_its_time() {
    // At the last of these the duty's owner had been made one by itself and the daemon that is killed.
    for seed in (0..30).chain([1_190]) {
        let mut f = three(seed);
        expect_that!(
            f.write_until_accepted("spec", b"one", 5_000),
            some(anything())
        );
        let i = seed as usize % 3;
        f.wipe(i);
        f.run(600);
        f.start(i);
        let took = f.run_until(SYNC, |f| f.voting().len() == 3);
        expect_that!(took, some(le(2_500)), "seed {seed}");
        expect_that!(holds(&f, "spec", b"one"), len(eq(3)), "seed {seed}");
        // It votes for duties too before its time is over: with another gone a duty is taken.
        f.write_until_accepted("rollout/s", b"duty", 5_000);
        f.kill((i + 1) % 3);
        let left = SYNC - took.unwrap_or(0);
        let held = |f: &Fleet| {
            (0..3).any(|j| {
                f.control(j)
                    .is_some_and(|b| b.registers.held_until("rollout/s", f.now).is_some())
            })
        };
        expect_that!(
            f.run_until(left + 1_000, held),
            some(anything()),
            "seed {seed}"
        );
    }
}

/// A machine is gone for good, an empty one of another name comes at another address; then another machine goes.
#[gtest]
fn an_empty_machine_takes_a_lost_ones_place_and_bears_the_next_loss() {
    for seed in 0..30 {
        let mut f = three(seed);
        expect_that!(
            f.write_until_accepted("spec", b"one", 5_000),
            some(anything())
        );
        let gone = seed as usize % 3;
        f.wipe(gone);
        f.run(seed * 100);
        let stand: Vec<usize> = (0..3).filter(|i| *i != gone).collect();
        f.add(3, &stand, false, &regions(8, 1));
        expect_that!(
            f.run_until(SYNC, |f| f.voting().contains(&3)),
            some(le(3_000)),
            "seed {seed}"
        );
        expect_that!(f.voters(3).contains(&format!("c{gone}")), eq(false));
        f.run(SYNC);
        let next = stand[seed as usize % 2];
        f.wipe(next);
        expect_that!(
            f.write_until_accepted("spec", b"two", 6_000),
            some(anything()),
            "seed {seed}"
        );
        expect_that!(holds(&f, "spec", b"two").len(), ge(1));
        // All machines are replaced in the end.
        for n in 4..6 {
            f.add(n, &[3], false, &regions(8, 1));
            f.run(SYNC);
            let old = (0..3).find(|i| f.control(*i).is_some());
            old.into_iter().for_each(|o| f.wipe(o));
            f.run(500);
        }
        expect_that!(
            f.write_until_accepted("spec", b"three", 6_000),
            some(anything()),
            "seed {seed}"
        );
    }
}

/// A daemon confirms and loses its disk in the same instant, while all others lose power.
#[gtest]
fn what_was_accepted_outlives_the_disk_that_confirmed_it() {
    for seed in 0..40 {
        let mut f = three(seed);
        f.write_until_accepted("spec", b"one", 5_000);
        f.run(1_000);
        let at = seed as usize % 3;
        f.wipe_after_ack = Some(at);
        let w = f.write(at, "spec", Some(1), b"two").unwrap();
        f.run_until(5_000, |f| f.write_outcomes.contains_key(&w));
        expect_that!(
            f.write_outcomes[&w].1,
            eq(WriteOutcome::Accepted(2)),
            "seed {seed}"
        );
        (0..3).filter(|i| *i != at).for_each(|i| f.kill(i));
        f.run(500);
        // The blank one is first up and knows nothing; it must not settle anything alone.
        f.start(at);
        f.run(300);
        (0..3).filter(|i| *i != at).for_each(|i| f.start(i));
        expect_that!(
            f.run_until(SYNC + 2_000, |f| f.voting().len() == 3),
            some(anything()),
            "seed {seed}"
        );
        f.run(1_000);
        expect_that!(holds(&f, "spec", b"two"), len(eq(3)), "seed {seed}");
        expect_that!(
            f.write_until_accepted("spec", b"three", 5_000),
            some(anything()),
            "seed {seed}"
        );
    }
}

#[gtest]
fn all_killed_at_once_take_writes_again_in_time() {
    for seed in 0..30 {
        for mut f in [three(seed), six(seed)] {
            f.write_until_accepted("rollout/s", b"duty", 5_000);
            f.write_until_accepted("spec", b"one", 5_000);
            let n = f.daemons.len();
            (0..n).for_each(|i| f.kill(i));
            for i in 0..n {
                f.run(1_000 / n as Ms);
                f.start(i);
            }
            let took = f.write_until_accepted("spec", b"two", 12_000);
            expect_that!(took, some(le(4_000)), "seed {seed}, {n} daemons");
            let held = |f: &Fleet| {
                (0..n).any(|j| {
                    f.control(j)
                        .is_some_and(|b| b.registers.held_until("rollout/s", f.now).is_some())
                })
            };
            expect_that!(
                f.run_until(5_000, held),
                some(anything()),
                "seed {seed}, {n} daemons"
            );
        }
    }
}

#[gtest]
fn six_daemons_have_five_voters_spread_over_the_regions_and_one_that_follows() {
    for seed in 0..10 {
        let mut f = six(seed);
        let mut by: BTreeMap<usize, usize> = BTreeMap::new();
        f.voting()
            .iter()
            .for_each(|i| *by.entry(i / 2).or_default() += 1);
        expect_true!(by.values().all(|n| *n <= 2), "seed {seed}: {by:?}");
        // The one that stands by learns what is accepted at once, and takes writes for the others.
        let spare = (0..6).find(|i| !f.voting().contains(i)).unwrap();
        let w = f.write(spare, "spec", None, b"one").unwrap();
        f.run_until(2_000, |f| f.write_outcomes.contains_key(&w));
        expect_that!(
            f.write_outcomes[&w].1,
            eq(WriteOutcome::Accepted(1)),
            "seed {seed}"
        );
        expect_that!(
            f.run_until(200, |f| holds(f, "spec", b"one").len() == 6),
            some(anything()),
            "seed {seed}"
        );
        expect_true!(
            f.control(spare)
                .is_some_and(|b| b.health().ok && b.registers.held_until("spec", f.now).is_none())
        );
        // Two lost for good at once, also a whole region: it steps in and the next loss is borne again.
        let region = seed as usize % 3;
        (2 * region..2 * region + 2).for_each(|i| f.wipe(i));
        expect_that!(
            f.write_until_accepted("spec", b"two", 6_000),
            some(anything()),
            "seed {seed}"
        );
        f.run(2 * SYNC);
        let next = f.voting()[0];
        f.wipe(next);
        expect_that!(
            f.write_until_accepted("spec", b"three", 6_000),
            some(anything()),
            "seed {seed}"
        );
    }
}

/// The duty of a daemon that dies is taken over well before the contact bound; one that goes hands it over at once.
#[gtest]
fn a_duty_moves_well_inside_the_contact_bound() {
    for seed in 0..20 {
        for goes in [false, true] {
            let mut f = three(seed);
            f.write_until_accepted("rollout/s", b"duty", 5_000);
            let holder = |f: &Fleet| {
                (0..3).find(|j| {
                    f.control(*j)
                        .is_some_and(|b| b.registers.held_until("rollout/s", f.now).is_some())
                })
            };
            f.run_until(5_000, |f| holder(f).is_some());
            // The voters have waited out the leases of lives before this one.
            f.run(4_000);
            let old = holder(&f).unwrap();
            if goes {
                f.daemons[old].control.as_mut().unwrap().stopping = true;
            } else {
                f.kill(old);
            }
            let took = f.run_until(5_000, |f| holder(f).is_some_and(|h| h != old));
            expect_that!(
                took,
                some(le(if goes { 600 } else { 3_200 })),
                "seed {seed}, goes: {goes}"
            );
        }
    }
}

/// A write whose owner dies with it ends well within the answer bound, and the same write again is no conflict.
#[gtest]
fn a_write_passed_on_to_an_owner_that_dies_finds_the_next_one() {
    let mut accepted = 0;
    for seed in 0..300 {
        let mut f = three(seed);
        f.write_until_accepted("spec", b"one", 5_000);
        let owner_of = |f: &Fleet| {
            (0..3).find(|i| {
                f.control(*i)
                    .is_some_and(|b| b.registers.held_until("spec", f.now).is_some())
            })
        };
        f.run_until(2_000, |f| owner_of(f).is_some());
        let owner = owner_of(&f).unwrap();
        let at = (owner + 1) % 3;
        f.run(seed * 10);
        let w = f.write(at, "spec", Some(1), b"two").unwrap();
        f.run(seed % 60);
        f.kill(owner);
        let took = f.run_until(5_000, |f| f.write_outcomes.contains_key(&w));
        expect_that!(took, some(le(3_000)), "seed {seed}");
        let end = f.write_outcomes.get(&w).map(|e| e.1);
        expect_that!(
            end,
            some(any!(
                eq(WriteOutcome::Accepted(2)),
                eq(WriteOutcome::Unknown)
            )),
            "seed {seed}"
        );
        accepted += usize::from(end == Some(WriteOutcome::Accepted(2)));
    }
    // Not knowing is rare: the next owner is asked.
    expect_that!(accepted, eq(300));
}

/// A disk that hangs: others take over, nothing is confirmed there, and it takes part again when it works.
#[gtest]
fn a_hung_disk_confirms_nothing_and_holds_nobody_up() {
    for seed in 0..20 {
        let mut f = three(seed);
        f.write_until_accepted("spec", b"one", 5_000);
        let owner_of = |f: &Fleet| {
            (0..3).find(|i| {
                f.control(*i)
                    .is_some_and(|b| b.registers.held_until("spec", f.now).is_some())
            })
        };
        f.run_until(2_000, |f| owner_of(f).is_some());
        let i = owner_of(&f).unwrap();
        f.daemons[i].disk_hung_until = f.now + 8_000;
        expect_that!(
            f.write_until_accepted("spec", b"two", 4_000),
            some(anything()),
            "seed {seed}"
        );
        f.run(8_000);
        expect_that!(
            f.write_until_accepted("spec", b"three", 4_000),
            some(anything()),
            "seed {seed}"
        );
        f.run(1_000);
        expect_that!(holds(&f, "spec", b"three"), len(eq(3)), "seed {seed}");
    }
}

/// A change of voters goes wrong in the middle: its messages are lost for a while, and another voter dies.
#[gtest]
fn a_change_of_voters_that_is_cut_short_loses_nothing() {
    for seed in 0..60 {
        let mut f = three(seed);
        f.write_until_accepted("spec", b"one", 5_000);
        let gone = seed as usize % 3;
        // The last write reaches only one of the others, besides the one that goes.
        let kept = fleet::addr((gone + 1) % 3);
        let lag = fleet::addr((gone + 2) % 3);
        let l = lag.clone();
        f.delivers = Box::new(move |_, to, m| {
            *to != l
                || !matches!(
                    m,
                    Message::Accept(_) | Message::Commit(_) | Message::SlotsReply(_)
                )
        });
        let w = f.write((gone + 1) % 3, "spec", Some(1), b"two").unwrap();
        f.run_until(3_000, |f| f.write_outcomes.contains_key(&w));
        let accepted = f
            .write_outcomes
            .get(&w)
            .is_some_and(|e| e.1 == WriteOutcome::Accepted(2));
        f.wipe(gone);
        f.delivers = Box::new(|_, _, _| true);
        f.start(gone);
        f.run(seed * 50);
        let k = f
            .daemons
            .iter()
            .position(|d| d.config.addr == kept)
            .unwrap();
        f.kill(k);
        f.run(1_500);
        f.start(k);
        f.run_until(3 * SYNC, |f| f.voting().len() == 3);
        f.run(1_000);
        if accepted {
            expect_that!(holds(&f, "spec", b"two"), len(eq(3)), "seed {seed}");
        }
        expect_that!(
            f.write_until_accepted("spec", b"three", 6_000),
            some(anything()),
            "seed {seed}"
        );
    }
}

/// What was accepted stands on the lost disk and one other. The newcomer reads the one that lacks it first, and the one
/// that has it dies: nothing is settled without it.
#[gtest]
fn a_newcomer_reads_all_that_may_hold_what_was_accepted() {
    let mut met = 0;
    for seed in 0..30 {
        let mut f = three(seed);
        f.write_until_accepted("spec", b"one", 5_000);
        f.run(1_000);
        let Some(has) = (0..3).find(|i| {
            f.control(*i)
                .is_some_and(|b| b.registers.held_until("spec", f.now).is_some())
        }) else {
            continue;
        };
        let (lost, lacks) = ((has + 1) % 3, (has + 2) % 3);
        let (h, l, n) = (fleet::addr(has), fleet::addr(lacks), fleet::addr(lost));
        f.delivers = Box::new(move |from, to, m| match m {
            Message::Accept(a) if *to == l => &*a.key != "spec",
            Message::Commit(c) if *to == l => &*c.change.key != "spec",
            Message::SlotsReply(_) => *to != l && !(*from == h && *to == n),
            // It must not learn of it by taking the key over.
            Message::Promise(p) if *to == l => &*p.slot.key != "spec",
            _ => true,
        });
        let w = f.write(has, "spec", Some(1), b"two").unwrap();
        f.run_until(2_000, |f| f.write_outcomes.contains_key(&w));
        if f.write_outcomes.get(&w).map(|e| e.1) != Some(WriteOutcome::Accepted(2)) {
            continue;
        }
        f.wipe(lost);
        f.run(700);
        f.start(lost);
        f.run(3_000);
        f.kill(has);
        f.delivers = Box::new(|_, _, _| true);
        f.run(3_000);
        let new = f.write(lacks, "spec", None, b"three");
        f.run(2_000);
        met += 1;
        let told = new.and_then(|w| f.write_outcomes.get(&w)).map(|e| e.1);
        expect_that!(
            told,
            not(some(matches_pattern!(WriteOutcome::Accepted(_)))),
            "seed {seed}"
        );
        f.start(has);
        f.run(6_000);
        expect_that!(
            f.value(lacks, "spec").map_or(0, |h| h.0),
            ge(2),
            "seed {seed}"
        );
        let two = (0..3)
            .find_map(|i| f.value(i, "spec"))
            .is_some_and(|h| h.0 > 2 || h.1 == b"two");
        expect_true!(two, "seed {seed}");
    }
    expect_that!(met, gt(5));
}

/// A daemon loses its place and is given one again, but dies before it has kept that: it comes back as the voter that
/// it was, and must not take itself for one.
#[gtest]
fn a_place_given_again_is_read_for_again() {
    let mut met = 0;
    for seed in 0..30 {
        let mut f = three(seed);
        f.write_until_accepted("spec", b"one", 5_000);
        f.run(1_000);
        // Cut off: another machine takes its place.
        let (x, has, lacks) = (
            seed as usize % 3,
            (seed as usize + 1) % 3,
            (seed as usize + 2) % 3,
        );
        let a = f.daemons[x].config.addr.clone();
        f.partitioned.insert(a.clone());
        f.add(3, &[has, lacks], false, &regions(8, 1));
        if f.run_until(6_000, |f| f.voting().contains(&3)).is_none() {
            continue;
        }
        f.run(1_000);
        // What is accepted now stands with the new machine and one other.
        let l = fleet::addr(lacks);
        f.delivers = Box::new(move |_, to, m| match m {
            Message::Accept(a) if *to == l => &*a.key != "spec",
            Message::Commit(c) if *to == l => &*c.change.key != "spec",
            Message::Promise(p) if *to == l => &*p.slot.key != "spec",
            Message::SlotsReply(_) => *to != l,
            _ => true,
        });
        let w = f.write(has, "spec", Some(1), b"two").unwrap();
        f.run_until(3_000, |f| f.write_outcomes.contains_key(&w));
        if f.write_outcomes.get(&w).map(|e| e.1) != Some(WriteOutcome::Accepted(2)) {
            continue;
        }
        // The first comes back with a disk that hangs, stands by, and takes the place of the new one, which is lost.
        f.daemons[x].disk_hung_until = f.now + 60_000;
        f.partitioned.remove(&a);
        f.run(1_000);
        f.wipe(3);
        if f.run_until(12_000, |f| f.voters(has).contains(&format!("c{x}")))
            .is_none()
        {
            continue;
        }
        f.kill(x);
        f.kill(has);
        f.daemons[x].disk_hung_until = 0;
        f.start(x);
        f.delivers = Box::new(|_, _, _| true);
        f.run(4_000);
        let new = f.write(lacks, "spec", None, b"three");
        f.run(3_000);
        met += 1;
        let told = new.and_then(|w| f.write_outcomes.get(&w)).map(|e| e.1);
        expect_that!(
            told,
            not(some(matches_pattern!(WriteOutcome::Accepted(_)))),
            "seed {seed}"
        );
        f.start(has);
        f.run(6_000);
        let two = f
            .value(lacks, "spec")
            .is_some_and(|h| h.0 > 2 || h.1 == b"two");
        expect_true!(two, "seed {seed}: {:?}", f.value(lacks, "spec"));
    }
    expect_that!(met, gt(5));
}

/// A voter tells a newcomer that the former voters' time is over, and dies before it has kept that: it must not come
/// back to serve with those that do not know.
#[gtest]
fn a_member_epoch_is_over_only_once_that_is_on_disk() {
    let mut met = 0;
    for seed in 0..40 {
        let mut f = three(seed);
        f.write_until_accepted("spec", b"one", 5_000);
        f.run(1_000);
        let (c, a, b) = (
            seed as usize % 3,
            (seed as usize + 1) % 3,
            (seed as usize + 2) % 3,
        );
        let cut = f.daemons[c].config.addr.clone();
        f.partitioned.insert(cut.clone());
        let slow = fleet::addr(b);
        let to_b = slow.clone();
        f.delivers = Box::new(move |_, to, m| {
            *to != to_b || !matches!(m, Message::Commit(_) | Message::SlotsReply(_))
        });
        f.add(3, &[a, b], false, &regions(8, 1));
        if f.run_until(6_000, |f| {
            f.control(a).is_some_and(|x| x.registers.member_epoch == 2)
        })
        .is_none()
            || f.control(b).unwrap().registers.member_epoch != 1
        {
            continue;
        }
        f.daemons[b].disk_hung_until = f.now + 60_000;
        f.delivers = Box::new(|_, _, _| true);
        f.run(3_000);
        // Two halves: the former voters that do not know, and those that do. What was under way arrives before.
        let old = [cut.clone(), slow];
        f.delivers = Box::new(move |from, to, _| old.contains(from) == old.contains(to));
        f.run(100);
        f.kill(b);
        f.daemons[b].disk_hung_until = 0;
        f.start(b);
        f.partitioned.remove(&cut);
        f.run(4_000);
        let w = [
            f.write(a, "spec", Some(1), b"two"),
            f.write(b, "spec", Some(1), b"other"),
        ];
        f.run(4_000);
        met += 1;
        let told = w
            .iter()
            .flatten()
            .filter(|w| {
                matches!(
                    f.write_outcomes.get(*w),
                    Some((_, WriteOutcome::Accepted(_)))
                )
            })
            .count();
        expect_that!(told, le(1), "seed {seed}: both halves accepted");
        f.delivers = Box::new(|_, _, _| true);
        f.run(8_000);
        expect_that!(
            f.write_until_accepted("spec", b"three", 6_000),
            some(anything()),
            "seed {seed}"
        );
    }
    expect_that!(met, gt(5));
}

/// A newcomer among the voters does not know whom the others let keep a duty.
#[gtest]
fn a_newcomer_lets_nobody_take_a_duty_that_is_still_kept() {
    let mut met = 0;
    for seed in 0..40 {
        let mut f = six(seed);
        f.write_until_accepted("rollout/s", b"duty", 5_000);
        let holder = |f: &Fleet, i: usize| {
            f.control(i)
                .is_some_and(|b| b.registers.held_until("rollout/s", f.now).is_some())
        };
        f.run(4_000);
        let voting = f.voting();
        let Some(&h) = voting.iter().find(|i| holder(&f, **i)) else {
            continue;
        };
        let others: Vec<usize> = voting.iter().copied().filter(|i| *i != h).collect();
        // Two of the four others never hear of its leases.
        let deaf = [
            fleet::addr(others[seed as usize % 4]),
            fleet::addr(others[(seed as usize + 1) % 4]),
        ];
        let lost = others[(seed as usize + 2) % 4];
        let from_h = fleet::addr(h);
        f.delivers = Box::new(move |from, to, m| {
            !(matches!(m, Message::RenewLeases(_)) && *from == from_h && deaf.contains(to))
        });
        f.run(4_000);
        if !holder(&f, h) {
            continue;
        }
        f.partitioned.insert(fleet::addr(h));
        f.wipe(lost);
        f.run(500);
        f.start(lost);
        met += 1;
        for _ in 0..600 {
            f.run(10);
            let two: Vec<usize> = (0..6).filter(|i| holder(&f, *i)).collect();
            expect_that!(two.len(), le(1), "seed {seed} at {}: {two:?}", f.now);
        }
        expect_true!(
            (0..6).any(|i| i != h && holder(&f, i)),
            "seed {seed}: nobody took it"
        );
    }
    expect_that!(met, gt(10));
}

/// Whoever takes a duty over judges by evidence at once, and no others are told it.
#[gtest]
fn tallies_are_kept_by_the_holder_of_a_duty_and_the_next_to_take_it() {
    let spec = br#"{"zones": [], "tiers": [], "canary_percent": 8, "bake_ms": 0, "release": 1, "paths": [], "services":
        [{"name": "s", "version": "", "mode": "placed", "lanes": [], "zones": [], "engine": {"slots": 64, "channels": 400}}]}"#;
    for seed in 0..10 {
        let mut f = six(seed);
        expect_that!(
            f.write_until_accepted("spec", spec, 5_000),
            some(anything())
        );
        f.write_until_accepted("rollout/s", b"duty", 5_000);
        f.run(1_000);
        let keep = |f: &Fleet| -> Vec<usize> {
            (0..6)
                .filter(|i| {
                    f.control(*i)
                        .is_some_and(|b| b.selected_services().any(|s| s == "s"))
                })
                .collect()
        };
        let holder = |f: &Fleet| {
            (0..6).find(|i| {
                f.control(*i)
                    .is_some_and(|b| b.registers.held_until("rollout/s", f.now).is_some())
            })
        };
        let (before, old) = (keep(&f), holder(&f).unwrap());
        // One that stands by may be the next as well.
        expect_that!(before, all!(len(le(3)), contains(eq(&old))), "seed {seed}");
        f.kill(old);
        f.run_until(8_000, |f| holder(f).is_some_and(|h| h != old))
            .unwrap();
        expect_that!(
            before,
            contains(eq(&holder(&f).unwrap())),
            "seed {seed}: the evidence was there before"
        );
        f.run(COUNTER_RETENTION + 2_000);
        expect_that!(
            keep(&f),
            all!(len(le(3)), contains(eq(&holder(&f).unwrap()))),
            "seed {seed}"
        );
    }
}
