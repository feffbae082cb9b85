//! Members that missed changes: however many there were, and though more come all the time, they hold the newest soon and
//! never go back.

mod fleet;

use coordination::{Ms, control::SPEC_KEY};
use fleet::Fleet;
use googletest::prelude::*;
use wire_messages::Message;

const ZONE: &str = "zone/z1";
/// ms. Between two changes of the quickest storm that was met.
const STORM: Ms = 80;

fn settled(seed: u64, n: usize) -> Fleet {
    let mut f = Fleet::bootstrapped(seed, n, |i| format!("r{}", i % 3));
    f.run_until(10_000, |f| {
        (0..3).all(|i| f.control(i).is_some_and(|b| b.is_settled()))
    })
    .expect("the fleet settles");
    f
}
/// Changes the spec every so often for a while; gives how many changes were accepted.
fn storm(f: &mut Fleet, at: usize, ms: Ms, each: impl Fn(&mut Fleet)) -> usize {
    let end = f.now + ms;
    let before = f.write_outcomes.len();
    while f.now < end {
        let on = f.value(at, SPEC_KEY).map_or(0, |h| h.0);
        let value = format!("at {}", f.now).into_bytes();
        f.write(at, SPEC_KEY, Some(on), &value);
        f.run(STORM);
        each(f);
    }
    f.write_outcomes.len() - before
}

/// One member misses a change of a key; other keys go on changing so fast that no two of its comparisons with the others
/// come out the same.
#[gtest]
fn what_a_member_missed_comes_though_other_keys_keep_changing() {
    for seed in 0..20 {
        let f = &mut settled(seed, 3);
        let owner = |f: &Fleet, key| {
            (0..3).find(|i| {
                f.control(*i)
                    .is_some_and(|b| b.registers.held_until(key, f.now).is_some())
            })
        };
        f.write_until_accepted(ZONE, b"before", 5_000)
            .expect("it is accepted");
        f.run(1_000);
        let (zones, specs) = (owner(f, ZONE).unwrap(), owner(f, SPEC_KEY).unwrap_or(0));
        let behind = (0..3).find(|i| ![zones, specs].contains(i)).unwrap();
        let addr = fleet::addr(behind);
        f.delivers = Box::new(move |_, to, m| {
            let key = match m {
                Message::Accept(a) => &a.key,
                Message::Commit(c) => &c.change.key,
                _ => return true,
            };
            *to != addr || **key != *ZONE
        });
        f.write_until_accepted(ZONE, b"after", 5_000)
            .expect("it is accepted");
        let value = |f: &Fleet| f.value(behind, ZONE).map(|h| h.1);
        expect_that!(
            value(f),
            some(eq(b"before")),
            "seed {seed}: it missed nothing"
        );
        let changes = storm(f, specs, 4_000, |_| ());
        expect_that!(changes, gt(20), "seed {seed}: a storm");
        expect_that!(value(f), some(eq(b"after")), "seed {seed}, daemon {behind}");
    }
}

/// One is down, or cut off, for hundreds of changes, and is restarted in the middle of the storm. What it tells from then
/// on never goes back, and it is settled and has the newest while the storm goes on.
#[gtest]
fn a_member_that_missed_hundreds_of_changes_has_the_newest_soon() {
    for seed in 0..12u64 {
        let n = if seed % 3 == 2 { 6 } else { 3 };
        let f = &mut settled(seed, n);
        let behind = (seed as usize) % 3;
        let at = (behind + 1) % 3;
        if seed % 2 == 0 {
            f.kill(behind);
        } else {
            f.partitioned.insert(fleet::addr(behind));
        }
        let missed = storm(f, at, 24_000, |_| ());
        expect_that!(missed, ge(200), "seed {seed}");
        let newest = f.value(at, SPEC_KEY).unwrap().0;
        if seed % 2 == 0 {
            f.start(behind);
        } else {
            f.partitioned.clear();
        }
        let back = f.now;
        let told = std::cell::Cell::new(0);
        let whole = std::cell::Cell::new(None);
        storm(f, at, 6_000, |f| {
            let has = f.value(behind, SPEC_KEY).map_or(0, |h| h.0);
            expect_that!(has, ge(told.get()), "seed {seed}: it goes back");
            told.set(has);
            // With daemons to spare another has its vote by then, and it stands by.
            let votes = f.voters(behind).contains(&format!("c{behind}"));
            let is_whole =
                has >= newest && (!votes || f.control(behind).is_some_and(|b| b.is_settled()));
            whole.set(whole.get().or(is_whole.then_some(f.now - back)));
        });
        expect_that!(
            whole.get(),
            some(le(3_000)),
            "seed {seed}, {n} daemons, {behind} was away"
        );
    }
}

/// It crashes again and again while it catches up: what it has synced by then is kept, and nothing older comes back.
#[gtest]
fn a_member_that_crashes_while_it_catches_up_never_goes_back() {
    for seed in 0..12u64 {
        let f = &mut settled(seed, 3);
        let behind = (seed as usize) % 3;
        let at = (behind + 1) % 3;
        f.kill(behind);
        storm(f, at, 8_000, |_| ());
        let mut synced = 0;
        for _ in 0..6 {
            f.start(behind);
            let ms = f.rng.u64(20..500);
            storm(f, at, ms, |_| ());
            let has = f.value(behind, SPEC_KEY).map_or(0, |h| h.0);
            expect_that!(has, ge(synced), "seed {seed}: it goes back");
            let on_disk = f.daemons[behind].disk.get(SPEC_KEY).cloned();
            if let Some(coordination::Row::Slot(s)) = on_disk {
                synced = s.committed_version;
            }
            f.kill(behind);
        }
        f.start(behind);
        f.run(4_000);
        let newest = f.value(at, SPEC_KEY).unwrap().0;
        expect_that!(
            f.value(behind, SPEC_KEY).map(|h| h.0),
            some(eq(newest)),
            "seed {seed}"
        );
        expect_true!(f.control(behind).is_some_and(|b| b.is_settled()));
    }
}

/// Operators see of each daemon whether it hears a majority, and of each voter whether it has what the others have.
#[gtest]
fn status_tells_who_is_cut_off_and_who_is_behind() {
    let f = &mut settled(1, 3);
    f.run(2_000);
    let told = |f: &Fleet, i: usize| f.control(i).unwrap().status(f.now);
    let counter = |f: &Fleet, i: usize, name| {
        f.control(i)
            .unwrap()
            .counters(f.now)
            .into_iter()
            .find(|c| c.0 == name)
            .map(|c| c.1)
    };
    let whole = |f: &Fleet, i: usize| {
        let s = told(f, i);
        s.quorum == Some(true)
            && s.members
                .iter()
                .all(|m| m.live && m.same == Some(true) && m.member_epoch == Some(s.member_epoch))
    };
    expect_that!((0..3).filter(|i| whole(f, *i)).count(), eq(3));
    f.partitioned.insert(fleet::addr(2));
    storm(f, 0, 3_000, |_| ());
    for i in 0..3 {
        let s = told(f, i);
        expect_that!(s.quorum, some(eq(i != 2)), "daemon {i}");
        expect_that!(counter(f, i, "quorum"), some(eq(u64::from(i != 2))));
        expect_that!(
            counter(f, i, "voters_live"),
            some(eq(if i == 2 { 1 } else { 2 }))
        );
        let silent: Vec<&str> = s
            .members
            .iter()
            .filter(|m| m.heard_ms_ago.is_some_and(|ms| ms >= 2_500))
            .map(|m| m.name.as_str())
            .collect();
        expect_that!(
            silent,
            eq(&if i == 2 { vec!["c0", "c1"] } else { vec!["c2"] }),
            "daemon {i}"
        );
    }
    // It is heard again and what it holds is older, until it has caught up.
    f.partitioned.clear();
    f.delivers = Box::new(|_, to, m| {
        *to != fleet::addr(2)
            || !matches!(
                m,
                Message::SlotsReply(_) | Message::Commit(_) | Message::Accept(_)
            )
    });
    f.run(2_000);
    let behind = |f: &Fleet| {
        told(f, 0)
            .members
            .iter()
            .filter(|m| m.same == Some(false))
            .map(|m| m.name.clone())
            .collect::<Vec<_>>()
    };
    expect_that!(behind(f), elements_are![eq("c2")]);
    expect_that!(counter(f, 0, "voters_behind"), some(eq(1)));
    f.delivers = Box::new(|_, _, _| true);
    f.run(3_000);
    expect_that!((0..3).filter(|i| whole(f, *i)).count(), eq(3));
    expect_that!(counter(f, 0, "voters_behind"), some(eq(0)));
}
