//! Bootstrap: the daemons at the seeds write the first voters exactly once, despite crashes and delays.

mod fleet;

use coordination::WriteOutcome;
use fleet::{Fleet, addr};
use googletest::prelude::*;
use wire_messages::Message;

fn one_region(_: usize) -> String {
    "r".into()
}

fn three_daemons(seed: u64) -> Fleet {
    Fleet::bootstrapped(seed, 3, one_region)
}

#[gtest]
fn the_seeds_bootstrap_and_accept_writes_at_once() {
    for seed in 0..20 {
        let mut fleet = three_daemons(seed);
        let duration = fleet.run_until(4_000, |fleet| fleet.voting().len() == 3);
        expect_that!(duration, some(le(1_500)), "seed {seed}");
        expect_that!(
            fleet.write_until_accepted("spec", b"one", 5_000),
            some(le(1_500)),
            "seed {seed}"
        );
        expect_that!(fleet.first_voters(), len(eq(1)), "seed {seed}");
    }
}

/// Daemons that are no seeds have blank disks as well, but never bootstrap by themselves.
#[gtest]
fn only_the_seeds_are_the_first_voters() {
    let mut fleet = Fleet::bootstrapped(1, 4, one_region);
    fleet.run_until(4_000, |fleet| fleet.voting().len() == 3);
    expect_that!(
        fleet.voters(0),
        eq(&["c0", "c1", "c2"].map(String::from).into())
    );
}

/// Without the bootstrap setting, a daemon with a blank disk waits, whichever other daemons are present.
#[gtest]
fn a_blank_disk_without_the_bootstrap_setting_never_votes() {
    let mut fleet = Fleet::new(1);
    for daemon in 0..3 {
        fleet.add(daemon, &[0, 1, 2], daemon != 2, &Default::default());
    }
    fleet.run(20_000);
    expect_that!(fleet.voting(), is_empty());
    expect_that!(fleet.first_voters(), is_empty());
}

/// A seed is killed at any point and restarts, with or without the bootstrap setting.
#[gtest]
fn a_seed_killed_at_any_point_bootstraps_once() {
    for keeps_setting in [true, false] {
        for killed_at in (30..900).step_by(7) {
            for victim in 0..3 {
                let mut fleet = three_daemons(killed_at);
                fleet.run(killed_at);
                fleet.kill(victim);
                // A daemon that was killed before it stored the setting never had it.
                if !keeps_setting && fleet.daemons[victim].disk.is_empty() {
                    expect_that!(killed_at, lt(100), "the setting is stored at once");
                    continue;
                }
                fleet.run(300);
                fleet.daemons[victim].config.bootstrap = keeps_setting;
                fleet.start(victim);
                let duration = fleet.run_until(6_000, |fleet| fleet.voting().len() == 3);
                expect_that!(
                    duration,
                    some(anything()),
                    "killed {victim} at {killed_at}, with the setting: {keeps_setting}"
                );
                fleet.run(2_000);
                expect_that!(
                    fleet.first_voters(),
                    len(eq(1)),
                    "killed {victim} at {killed_at}, with the setting: {keeps_setting}"
                );
                expect_that!(
                    fleet.write_until_accepted("spec", b"one", 5_000),
                    some(anything()),
                    "killed {victim} at {killed_at}"
                );
            }
        }
    }
}

/// Messages that contain the first voters are lost for a while, and one seed starts late.
#[gtest]
fn lost_messages_and_a_slow_seed_only_delay_the_bootstrap() {
    for slow in 0..3 {
        let mut fleet = Fleet::new(slow as u64);
        for daemon in (0..3).filter(|daemon| *daemon != slow) {
            fleet.add(daemon, &[0, 1, 2], true, &Default::default());
        }
        fleet.delivers = Box::new(|_, _, message| {
            !matches!(message, Message::Bootstrap(_) | Message::SlotsReply(_))
        });
        fleet.run(3_000);
        expect_that!(fleet.voting(), is_empty());
        fleet.add(slow, &[0, 1, 2], true, &Default::default());
        fleet.run(3_000);
        // Only the first seed has the first voters, which is no majority.
        expect_that!(fleet.voting(), len(le(1)));
        fleet.delivers = Box::new(|_, _, _| true);
        expect_that!(
            fleet.run_until(2_000, |fleet| fleet.voting().len() == 3),
            some(anything())
        );
        expect_that!(fleet.first_voters(), len(eq(1)));
    }
}

/// A disk is lost during the bootstrap: the new disk causes no second bootstrap.
#[gtest]
fn a_disk_lost_during_the_bootstrap_causes_no_second_one() {
    for lost_at in (30..900).step_by(7) {
        let mut fleet = three_daemons(lost_at);
        fleet.run(lost_at);
        fleet.wipe(1);
        fleet.run(200);
        fleet.start(1);
        fleet.run(6_000);
        expect_that!(fleet.first_voters(), len(le(1)), "lost at {lost_at}");
    }
}

/// The settings may list the seeds in any order, and a small system has fewer of them.
#[gtest]
fn fewer_seeds_in_any_order_bootstrap() {
    let mut fleet = Fleet::new(3);
    fleet.add(0, &[1, 0], true, &Default::default());
    fleet.add(1, &[0, 1], true, &Default::default());
    expect_that!(
        fleet.run_until(4_000, |fleet| fleet.voting().len() == 2),
        some(anything())
    );
    let mut fleet = Fleet::new(4);
    fleet.add(0, &[0], true, &Default::default());
    expect_that!(
        fleet.run_until(4_000, |fleet| fleet.voting().len() == 1),
        some(anything())
    );
    expect_that!(fleet.daemons[0].config.seeds, container_eq([addr(0)]));
}

/// A daemon that starts to vote reports it at once. Until the others know, two daemons acquire the same key, and the
/// first writes are forwarded back and forth.
#[gtest]
fn the_first_writes_are_accepted_without_a_rival_owner() {
    let (mut deposed, mut late) = (0, 0);
    for seed in 0..200 {
        let mut fleet = Fleet::bootstrapped(seed, 3, |daemon| format!("r{daemon}"));
        fleet
            .run_until(4_000, |fleet| fleet.voting().len() == 3)
            .expect("all vote");
        // All daemons have received the heartbeats that report it.
        fleet.run(100);
        let daemon = fleet.rng.usize(..3);
        let write = fleet.write(daemon, "spec", Some(0), b"one").unwrap();
        let duration = fleet.run_until(2_500, |fleet| fleet.write_outcomes.contains_key(&write));
        expect_that!(
            fleet
                .write_outcomes
                .get(&write)
                .map(|(_, outcome)| *outcome),
            some(eq(WriteOutcome::Accepted(1))),
            "seed {seed}"
        );
        late += usize::from(duration.is_none_or(|ms| ms > 500));
        deposed += fleet
            .daemons
            .iter()
            .flat_map(|daemon| &daemon.logged)
            .filter(|(_, event)| *event == "OWNERSHIP_LOST")
            .count();
    }
    expect_that!((deposed, late), eq((0, 0)));
}
