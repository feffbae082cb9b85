//! Members that missed changes: however many there were, and though more come all the time, they hold the newest soon and
//! never go back.

mod fleet;

use coordination::{Ms, control::SPEC};
use fleet::Fleet;
use googletest::prelude::*;
use wire_messages::Msg;

const ZONE: &str = "zone/z1";
/// ms. Between two changes of the quickest storm that was met.
const STORM: Ms = 80;

fn settled(seed: u64, n: usize) -> Fleet {
    let mut f = Fleet::founded(seed, n, |i| format!("r{}", i % 3));
    f.until(10_000, |f| (0..3).all(|i| f.brain(i).is_some_and(|b| b.settled()))).expect("the fleet settles");
    f
}
/// Changes the spec every so often for a while; gives how many changes were accepted.
fn storm(f: &mut Fleet, at: usize, ms: Ms, each: impl Fn(&mut Fleet)) -> usize {
    let end = f.now + ms;
    let before = f.ends.len();
    while f.now < end {
        let on = f.held(at, SPEC).map_or(0, |h| h.0);
        let value = format!("at {}", f.now).into_bytes();
        f.write(at, SPEC, Some(on), &value);
        f.run(STORM);
        each(f);
    }
    f.ends.len() - before
}

/// One member misses a change of a key; other keys go on changing so fast that no two of its comparisons with the others
/// come out the same.
#[gtest]
fn what_a_member_missed_comes_though_other_keys_keep_changing() {
    for seed in 0..20 {
        let f = &mut settled(seed, 3);
        let owner = |f: &Fleet, key| (0..3).find(|i| f.brain(*i).is_some_and(|b| b.regs.holds(key, f.now).is_some()));
        f.put(ZONE, b"before", 5_000).expect("it is accepted");
        f.run(1_000);
        let (zones, specs) = (owner(f, ZONE).unwrap(), owner(f, SPEC).unwrap_or(0));
        let behind = (0..3).find(|i| ![zones, specs].contains(i)).unwrap();
        let addr = fleet::addr(behind);
        f.sieve = Box::new(move |_, to, m| {
            let key = match m {
                Msg::Accept(a) => &a.key,
                Msg::Commit(c) => &c.change.key,
                _ => return true,
            };
            *to != addr || **key != *ZONE
        });
        f.put(ZONE, b"after", 5_000).expect("it is accepted");
        let value = |f: &Fleet| f.held(behind, ZONE).map(|h| h.1);
        expect_that!(value(f), some(eq(b"before")), "seed {seed}: it missed nothing");
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
            f.cut.insert(fleet::addr(behind));
        }
        let missed = storm(f, at, 24_000, |_| ());
        expect_that!(missed, ge(200), "seed {seed}");
        let newest = f.held(at, SPEC).unwrap().0;
        if seed % 2 == 0 {
            f.start(behind);
        } else {
            f.cut.clear();
        }
        let back = f.now;
        let told = std::cell::Cell::new(0);
        let whole = std::cell::Cell::new(None);
        storm(f, at, 6_000, |f| {
            let has = f.held(behind, SPEC).map_or(0, |h| h.0);
            expect_that!(has, ge(told.get()), "seed {seed}: it goes back");
            told.set(has);
            // With daemons to spare another has its vote by then, and it stands by.
            let votes = f.voters(behind).contains(&format!("c{behind}"));
            let is_whole = has >= newest && (!votes || f.brain(behind).is_some_and(|b| b.settled()));
            whole.set(whole.get().or(is_whole.then_some(f.now - back)));
        });
        expect_that!(whole.get(), some(le(3_000)), "seed {seed}, {n} daemons, {behind} was away");
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
            let has = f.held(behind, SPEC).map_or(0, |h| h.0);
            expect_that!(has, ge(synced), "seed {seed}: it goes back");
            let on_disk = f.all[behind].disk.get(SPEC).cloned();
            if let Some(coordination::Row::Slot(s)) = on_disk {
                synced = s.committed;
            }
            f.kill(behind);
        }
        f.start(behind);
        f.run(4_000);
        let newest = f.held(at, SPEC).unwrap().0;
        expect_that!(f.held(behind, SPEC).map(|h| h.0), some(eq(newest)), "seed {seed}");
        expect_true!(f.brain(behind).is_some_and(|b| b.settled()));
    }
}
