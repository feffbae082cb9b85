//! Tests that voters that missed changes catch up quickly, however many they missed and while more are written, and
//! that they never report an older version again.

mod fleet;

use coordination::{Ms, control::SPEC_KEY};
use fleet::Fleet;
use googletest::prelude::*;
use wire_messages::Message;

const ZONE: &str = "zone/z1";
/// Interval between two changes, in ms: the shortest ever observed.
const CHANGE_INTERVAL: Ms = 80;

fn settled_fleet(seed: u64, daemons: usize) -> Fleet {
    let mut fleet = Fleet::bootstrapped(seed, daemons, |i| format!("r{}", i % 3));
    fleet
        .run_until(10_000, |fleet| {
            (0..3).all(|i| fleet.control(i).is_some_and(|control| control.is_settled()))
        })
        .expect("the fleet settles");
    fleet
}

/// Changes the spec every `CHANGE_INTERVAL` for `ms`, calling `after_each` after each change. Returns the number of
/// finished changes.
fn change_repeatedly(
    fleet: &mut Fleet,
    at: usize,
    ms: Ms,
    after_each: impl Fn(&mut Fleet),
) -> usize {
    let end = fleet.now + ms;
    let before = fleet.write_outcomes.len();
    while fleet.now < end {
        let version = fleet.value(at, SPEC_KEY).map_or(0, |value| value.0);
        let value = format!("at {}", fleet.now).into_bytes();
        fleet.write(at, SPEC_KEY, Some(version), &value);
        fleet.run(CHANGE_INTERVAL);
        after_each(fleet);
    }
    fleet.write_outcomes.len() - before
}

/// A voter misses a change of one key while another key changes so fast that no two digest comparisons with the other
/// voters give the same result. The missed change must still arrive.
#[gtest]
fn missed_change_arrives_while_other_keys_change() {
    for seed in 0..20 {
        let fleet = &mut settled_fleet(seed, 3);
        let owner = |fleet: &Fleet, key| {
            (0..3).find(|i| {
                fleet
                    .control(*i)
                    .is_some_and(|control| control.registers.held_until(key, fleet.now).is_some())
            })
        };
        fleet
            .write_until_accepted(ZONE, b"before", 5_000)
            .expect("the write is accepted");
        fleet.run(1_000);
        let zone_owner = owner(fleet, ZONE).unwrap();
        let spec_owner = owner(fleet, SPEC_KEY).unwrap_or(0);
        let lagging = (0..3)
            .find(|i| ![zone_owner, spec_owner].contains(i))
            .unwrap();
        let addr = fleet::addr(lagging);
        fleet.delivers = Box::new(move |_, to, message| {
            let key = match message {
                Message::Accept(accept) => &accept.key,
                Message::Commit(commit) => &commit.change.key,
                _ => return true,
            };
            *to != addr || **key != *ZONE
        });
        fleet
            .write_until_accepted(ZONE, b"after", 5_000)
            .expect("the write is accepted");
        let value = |fleet: &Fleet| fleet.value(lagging, ZONE).map(|value| value.1);
        expect_that!(
            value(fleet),
            some(eq(b"before")),
            "seed {seed}: the voter did not miss the change"
        );
        let changes = change_repeatedly(fleet, spec_owner, 4_000, |_| ());
        expect_that!(changes, gt(20), "seed {seed}: too few changes");
        expect_that!(
            value(fleet),
            some(eq(b"after")),
            "seed {seed}, daemon {lagging}"
        );
    }
}

/// A voter is down or partitioned for hundreds of changes and returns while more are written. The version that it
/// reports must never decrease, and it must settle with the newest value while the changes continue.
#[gtest]
fn voter_that_missed_hundreds_of_changes_catches_up_quickly() {
    for seed in 0..12u64 {
        let daemons = if seed % 3 == 2 { 6 } else { 3 };
        let fleet = &mut settled_fleet(seed, daemons);
        let lagging = (seed as usize) % 3;
        let at = (lagging + 1) % 3;
        if seed % 2 == 0 {
            fleet.kill(lagging);
        } else {
            fleet.partitioned.insert(fleet::addr(lagging));
        }
        let missed = change_repeatedly(fleet, at, 24_000, |_| ());
        expect_that!(missed, ge(200), "seed {seed}");
        let newest = fleet.value(at, SPEC_KEY).unwrap().0;
        if seed % 2 == 0 {
            fleet.start(lagging);
        } else {
            fleet.partitioned.clear();
        }
        let returned_at = fleet.now;
        let highest_seen = std::cell::Cell::new(0);
        let caught_up_after = std::cell::Cell::new(None);
        change_repeatedly(fleet, at, 6_000, |fleet| {
            let version = fleet.value(lagging, SPEC_KEY).map_or(0, |value| value.0);
            expect_that!(
                version,
                ge(highest_seen.get()),
                "seed {seed}: the version decreased"
            );
            highest_seen.set(version);
            // With spare daemons, another one has replaced it as voter by then, and it is a learner.
            let votes = fleet.voters(lagging).contains(&format!("c{lagging}"));
            let is_caught_up = version >= newest
                && (!votes
                    || fleet
                        .control(lagging)
                        .is_some_and(|control| control.is_settled()));
            let elapsed = is_caught_up.then_some(fleet.now - returned_at);
            caught_up_after.set(caught_up_after.get().or(elapsed));
        });
        expect_that!(
            caught_up_after.get(),
            some(le(3_000)),
            "seed {seed}, {daemons} daemons, daemon {lagging} returned"
        );
    }
}

/// A voter crashes repeatedly while it catches up. It must keep the version that it has synced and never report an
/// older one.
#[gtest]
fn version_never_decreases_when_a_voter_crashes_while_catching_up() {
    for seed in 0..12u64 {
        let fleet = &mut settled_fleet(seed, 3);
        let lagging = (seed as usize) % 3;
        let at = (lagging + 1) % 3;
        fleet.kill(lagging);
        change_repeatedly(fleet, at, 8_000, |_| ());
        let mut synced = 0;
        for _ in 0..6 {
            fleet.start(lagging);
            let ms = fleet.rng.u64(20..500);
            change_repeatedly(fleet, at, ms, |_| ());
            let version = fleet.value(lagging, SPEC_KEY).map_or(0, |value| value.0);
            expect_that!(version, ge(synced), "seed {seed}: the version decreased");
            let on_disk = fleet.daemons[lagging].disk.get(SPEC_KEY).cloned();
            if let Some(coordination::Row::Slot(slot)) = on_disk {
                synced = slot.committed_version;
            }
            fleet.kill(lagging);
        }
        fleet.start(lagging);
        fleet.run(4_000);
        let newest = fleet.value(at, SPEC_KEY).unwrap().0;
        expect_that!(
            fleet.value(lagging, SPEC_KEY).map(|value| value.0),
            some(eq(newest)),
            "seed {seed}"
        );
        expect_true!(
            fleet
                .control(lagging)
                .is_some_and(|control| control.is_settled())
        );
    }
}

/// The status shows operators whether each daemon is in contact with a majority, and whether each voter has the same
/// state as the others.
#[gtest]
fn status_shows_which_voters_are_partitioned_and_which_are_lagging() {
    let fleet = &mut settled_fleet(1, 3);
    fleet.run(2_000);
    let status_of = |fleet: &Fleet, i: usize| fleet.control(i).unwrap().status(fleet.now);
    let counter = |fleet: &Fleet, i: usize, name| {
        fleet
            .control(i)
            .unwrap()
            .counters(fleet.now)
            .into_iter()
            .find(|c| c.0 == name)
            .map(|c| c.1)
    };
    let is_complete = |fleet: &Fleet, i: usize| {
        let status = status_of(fleet, i);
        status.quorum == Some(true)
            && status.members.iter().all(|member| {
                member.live
                    && member.same == Some(true)
                    && member.member_epoch == Some(status.member_epoch)
            })
    };
    expect_that!((0..3).filter(|i| is_complete(fleet, *i)).count(), eq(3));
    fleet.partitioned.insert(fleet::addr(2));
    change_repeatedly(fleet, 0, 3_000, |_| ());
    for i in 0..3 {
        let status = status_of(fleet, i);
        expect_that!(status.quorum, some(eq(i != 2)), "daemon {i}");
        expect_that!(counter(fleet, i, "quorum"), some(eq(u64::from(i != 2))));
        expect_that!(
            counter(fleet, i, "voters_live"),
            some(eq(if i == 2 { 1 } else { 2 }))
        );
        let unreachable: Vec<&str> = status
            .members
            .iter()
            .filter(|member| member.heard_ms_ago.is_some_and(|ms| ms >= 2_500))
            .map(|member| member.name.as_str())
            .collect();
        expect_that!(
            unreachable,
            eq(&if i == 2 { vec!["c0", "c1"] } else { vec!["c2"] }),
            "daemon {i}"
        );
    }
    // The voter is reachable again, but its state is older until it has caught up.
    fleet.partitioned.clear();
    fleet.delivers = Box::new(|_, to, message| {
        *to != fleet::addr(2)
            || !matches!(
                message,
                Message::SlotsReply(_) | Message::Commit(_) | Message::Accept(_)
            )
    });
    fleet.run(2_000);
    let lagging = |fleet: &Fleet| {
        status_of(fleet, 0)
            .members
            .iter()
            .filter(|member| member.same == Some(false))
            .map(|member| member.name.clone())
            .collect::<Vec<_>>()
    };
    expect_that!(lagging(fleet), elements_are![eq("c2")]);
    expect_that!(counter(fleet, 0, "voters_behind"), some(eq(1)));
    fleet.delivers = Box::new(|_, _, _| true);
    fleet.run(3_000);
    expect_that!((0..3).filter(|i| is_complete(fleet, *i)).count(), eq(3));
    expect_that!(counter(fleet, 0, "voters_behind"), some(eq(0)));
}
