//! The founding: once, by the daemons at the seeds, whatever dies or is late in its middle.

mod fleet;

use coordination::WriteOutcome;
use fleet::{Fleet, addr};
use googletest::prelude::*;
use wire_messages::Message;

fn one_region(_: usize) -> String {
    "r".into()
}

fn three(seed: u64) -> Fleet {
    Fleet::bootstrapped(seed, 3, one_region)
}

#[gtest]
fn the_seeds_found_it_at_once_and_writes_are_taken() {
    for seed in 0..20 {
        let mut f = three(seed);
        let took = f.run_until(4_000, |f| f.voting().len() == 3);
        expect_that!(took, some(le(1_500)), "seed {seed}");
        expect_that!(
            f.write_until_accepted("spec", b"one", 5_000),
            some(le(1_500)),
            "seed {seed}"
        );
        expect_that!(f.first_voters(), len(eq(1)), "seed {seed}");
    }
}

/// Daemons beyond the seeds have blank disks as well; they never found anything by themselves.
#[gtest]
fn only_the_seeds_are_the_first_voters() {
    let mut f = Fleet::bootstrapped(1, 4, one_region);
    f.run_until(4_000, |f| f.voting().len() == 3);
    expect_that!(
        f.voters(0),
        eq(&["c0", "c1", "c2"].map(String::from).into())
    );
}

/// Without the word that the system starts first, a blank disk waits, whoever else is there.
#[gtest]
fn a_blank_disk_that_was_not_told_never_takes_part() {
    let mut f = Fleet::new(1);
    for i in 0..3 {
        f.add(i, &[0, 1, 2], i != 2, &Default::default());
    }
    f.run(20_000);
    expect_that!(f.voting(), is_empty());
    expect_that!(f.first_voters(), is_empty());
}

/// A founder that dies anywhere in the middle and comes back, told that it founds or not any more.
#[gtest]
fn a_founder_killed_anywhere_in_the_middle_founds_once() {
    for told in [true, false] {
        for t in (30..900).step_by(7) {
            for victim in 0..3 {
                let mut f = three(t);
                f.run(t);
                f.kill(victim);
                // A disk that died before it kept the word has never been told.
                if !told && f.daemons[victim].disk.is_empty() {
                    expect_that!(t, lt(100), "the word is kept at once");
                    continue;
                }
                f.run(300);
                f.daemons[victim].config.bootstrap = told;
                f.start(victim);
                let took = f.run_until(6_000, |f| f.voting().len() == 3);
                expect_that!(
                    took,
                    some(anything()),
                    "killed {victim} at {t}, told again: {told}"
                );
                f.run(2_000);
                expect_that!(
                    f.first_voters(),
                    len(eq(1)),
                    "killed {victim} at {t}, told again: {told}"
                );
                expect_that!(
                    f.write_until_accepted("spec", b"one", 5_000),
                    some(anything()),
                    "killed {victim} at {t}"
                );
            }
        }
    }
}

/// Messages that offer the first voters are lost for a while, and one seed is slow to come.
#[gtest]
fn lost_offers_and_a_slow_seed_only_delay_it() {
    for slow in 0..3 {
        let mut f = Fleet::new(slow as u64);
        for i in (0..3).filter(|i| *i != slow) {
            f.add(i, &[0, 1, 2], true, &Default::default());
        }
        f.delivers =
            Box::new(|_, _, m| !matches!(m, Message::Bootstrap(_) | Message::SlotsReply(_)));
        f.run(3_000);
        expect_that!(f.voting(), is_empty());
        f.add(slow, &[0, 1, 2], true, &Default::default());
        f.run(3_000);
        // The founder alone has them; it is no majority.
        expect_that!(f.voting(), len(le(1)));
        f.delivers = Box::new(|_, _, _| true);
        expect_that!(
            f.run_until(2_000, |f| f.voting().len() == 3),
            some(anything())
        );
        expect_that!(f.first_voters(), len(eq(1)));
    }
}

/// A disk is lost in the middle: nobody founds a second time with the new one.
#[gtest]
fn a_disk_lost_in_the_middle_is_no_second_founding() {
    for t in (30..900).step_by(7) {
        let mut f = three(t);
        f.run(t);
        f.wipe(1);
        f.run(200);
        f.start(1);
        f.run(6_000);
        expect_that!(f.first_voters(), len(le(1)), "lost at {t}");
    }
}

/// The seeds as the settings give them may be in any order, and a small system has fewer.
#[gtest]
fn fewer_seeds_in_any_order_will_do() {
    let mut f = Fleet::new(3);
    f.add(0, &[1, 0], true, &Default::default());
    f.add(1, &[0, 1], true, &Default::default());
    expect_that!(
        f.run_until(4_000, |f| f.voting().len() == 2),
        some(anything())
    );
    let mut f = Fleet::new(4);
    f.add(0, &[0], true, &Default::default());
    expect_that!(
        f.run_until(4_000, |f| f.voting().len() == 1),
        some(anything())
    );
    expect_that!(f.daemons[0].config.seeds, container_eq([addr(0)]));
}

/// Whoever begins to vote says so at once: until the others know, two daemons take the same key, and the first writes
/// are passed to and fro.
#[gtest]
fn the_first_writes_are_taken_without_a_dispute() {
    let (mut deposed, mut late) = (0, 0);
    for seed in 0..200 {
        let mut f = Fleet::bootstrapped(seed, 3, |i| format!("r{i}"));
        f.run_until(4_000, |f| f.voting().len() == 3)
            .expect("all vote");
        // Word of it has come to each.
        f.run(100);
        let at = f.rng.usize(..3);
        let w = f.write(at, "spec", Some(0), b"one").unwrap();
        let took = f.run_until(2_500, |f| f.write_outcomes.contains_key(&w));
        expect_that!(
            f.write_outcomes.get(&w).map(|e| e.1),
            some(eq(WriteOutcome::Accepted(1))),
            "seed {seed}"
        );
        late += usize::from(took.is_none_or(|t| t > 500));
        deposed += f
            .daemons
            .iter()
            .flat_map(|d| &d.logged)
            .filter(|n| n.1 == "OWNERSHIP_LOST")
            .count();
    }
    expect_that!((deposed, late), eq((0, 0)));
}
