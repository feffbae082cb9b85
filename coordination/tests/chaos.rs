//! Whatever is killed, wiped, replaced, partitioned and late, as long as no more disks are lost at
//! once than a majority survives: what was accepted remains, a version has one value, a singleton
//! role has one holder.

mod fleet;

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    ops::Range,
};

use coordination::{Ms, WriteOutcome};
use fleet::Fleet;
use googletest::prelude::*;

/// Between two losses of disks: the daemon that is back has caught up by then.
const CATCH_UP_TIME: Ms = 4_000;
/// Between two checks of what the daemons have.
const CHECK_INTERVAL: Ms = 10;
/// Faults in one run.
const FAULT_COUNT: u64 = 25;
/// Added to a fault's number: values of a second write during it, and of the write before it.
const SECOND_WRITE: u64 = 1_000_000;
const WRITE_BEFORE_FAULT: u64 = 2_000_000;

/// An operator's write.
struct SubmittedWrite {
    expected_version: u64,
    value: Vec<u8>,
}

struct Run {
    fleet: Fleet,
    submitted: BTreeMap<(usize, u64), SubmittedWrite>,
    accepted: BTreeMap<u64, Vec<u8>>,
    /// Every value that any daemon took for committed under a version.
    committed: BTreeMap<u64, BTreeSet<Vec<u8>>>,
    violations: Vec<String>,
    regions: BTreeMap<String, String>,
}

impl Run {
    fn new(seed: u64, daemon_count: usize) -> Self {
        let region = |index: usize| format!("r{}", index % 3);
        Run {
            fleet: Fleet::bootstrapped(seed, daemon_count, region),
            submitted: BTreeMap::new(),
            accepted: BTreeMap::new(),
            committed: BTreeMap::new(),
            violations: vec![],
            regions: (0..200)
                .map(|index| (format!("z{index}"), region(index)))
                .collect(),
        }
    }

    fn check(&mut self) {
        self.check_accepted_writes();
        for index in 0..self.fleet.daemons.len() {
            if let Some((version, value)) = self.fleet.value(index, "spec") {
                self.committed.entry(version).or_default().insert(value);
            }
        }
        self.check_role_holders();
    }

    fn check_accepted_writes(&mut self) {
        let now = self.fleet.now;
        for (write, submitted) in &self.submitted {
            let outcome = self.fleet.write_outcomes.get(write);
            let Some((_, WriteOutcome::Accepted(version))) = outcome else {
                continue;
            };
            let expected = submitted.expected_version;
            let former = self.accepted.insert(*version, submitted.value.clone());
            if *version != expected + 1 || former.is_some_and(|value| value != submitted.value) {
                self.violations.push(format!(
                    "{write:?} accepted as {version} over {expected} at {now}"
                ));
            }
        }
    }

    fn check_role_holders(&mut self) {
        let now = self.fleet.now;
        let holds_role = |index: &usize| {
            self.fleet
                .control(*index)
                .is_some_and(|control| control.registers.held_until("rollout/s", now).is_some())
        };
        let holders: Vec<usize> = (0..self.fleet.daemons.len()).filter(holds_role).collect();
        if holders.len() > 1 {
            self.violations
                .push(format!("{holders:?} hold one role at {now}"));
        }
    }

    fn run(&mut self, duration: Ms) {
        for _ in 0..duration / CHECK_INTERVAL {
            self.fleet.run(CHECK_INTERVAL);
            self.check();
        }
    }

    /// Runs for a random time of that range.
    fn run_some(&mut self, duration: Range<Ms>) {
        let duration = self.fleet.rng.u64(duration);
        self.run(duration);
    }

    /// All voters are up and vote: the losses before are made up for.
    fn has_caught_up(&self) -> bool {
        let voting = self.fleet.voting();
        let newest_epoch = voting
            .iter()
            .filter_map(|index| self.fleet.control(*index))
            .map(|control| control.registers.members.member_epoch)
            .max();
        let agrees = |index: &usize| {
            self.fleet.control(*index).is_some_and(|control| {
                Some(control.registers.members.member_epoch) == newest_epoch
                    && control.registers.members.voters.len() == voting.len()
            })
        };
        !voting.is_empty() && voting.iter().all(agrees)
    }

    fn any_running(&mut self) -> Option<usize> {
        let running = self.fleet.running();
        self.fleet.rng.choice(&running).copied()
    }

    fn newest_version(&self, index: usize) -> u64 {
        self.fleet
            .value(index, "spec")
            .map_or(0, |(version, _)| version)
    }

    /// Submits a write of a value with this number to any daemon.
    fn write(&mut self, number: u64) {
        let Some(index) = self.any_running() else {
            return;
        };
        let expected_version = self.newest_version(index);
        let value = format!("value {number}").into_bytes();
        let write = self
            .fleet
            .write(index, "spec", Some(expected_version), &value);
        if let Some(write) = write {
            let submitted = SubmittedWrite {
                expected_version,
                value,
            };
            self.submitted.insert(write, submitted);
        }
    }

    /// Sends an accepted write again until it has a clear outcome.
    fn write_again(&mut self, version: u64, value: &[u8]) -> Option<WriteOutcome> {
        for _ in 0..20 {
            let index = self.any_running()?;
            let write = self.fleet.write(index, "spec", Some(version - 1), value)?;
            self.fleet
                .run_until(4_000, |fleet| fleet.write_outcomes.contains_key(&write));
            match self.fleet.write_outcomes.get(&write) {
                Some((_, outcome @ (WriteOutcome::Accepted(_) | WriteOutcome::Conflict(_)))) => {
                    return Some(*outcome);
                }
                _ => self.fleet.run(200),
            }
        }
        None
    }

    /// Injects a random fault, and submits writes of values with this number meanwhile.
    fn inject_fault(&mut self, number: u64, disks_lost: usize) {
        let running = self.fleet.running();
        match self.fleet.rng.u8(..10) {
            0 | 1 => self.kill_one(number),
            2 | 3 => self.lose_disks(running, disks_lost, number),
            4 => self.kill_all(running),
            5 | 6 => self.partition_one(number),
            7 => self.slow_disk(),
            8 => self.lose_messages(),
            _ => {
                self.write(number);
                self.write(number + SECOND_WRITE);
            }
        }
    }

    /// Its disk remains.
    fn kill_one(&mut self, number: u64) {
        let Some(index) = self.any_running() else {
            return;
        };
        self.fleet.kill(index);
        let duration = self.fleet.rng.u64(50..2_000);
        self.write(number);
        self.run(duration);
        self.fleet.start(index);
    }

    /// As many disks as may be lost go at once, and come back blank, or as other machines.
    fn lose_disks(&mut self, running: Vec<usize>, disks_lost: usize, number: u64) {
        if !self.has_caught_up() {
            return;
        }
        let mut lost = running;
        self.fleet.rng.shuffle(&mut lost);
        lost.truncate(disks_lost);
        for index in &lost {
            self.fleet.wipe(*index);
        }
        self.run_some(50..3_000);
        self.write(number);
        for index in lost {
            if self.fleet.rng.bool() {
                self.fleet.start(index);
                continue;
            }
            let (next, seeds) = (self.fleet.daemons.len(), self.fleet.running());
            self.fleet.add(next, &seeds, false, &self.regions);
        }
        self.run(CATCH_UP_TIME);
    }

    /// All at once; their disks remain.
    fn kill_all(&mut self, running: Vec<usize>) {
        for index in &running {
            self.fleet.kill(*index);
        }
        self.run(300);
        for index in running {
            self.run_some(0..400);
            self.fleet.start(index);
        }
    }

    fn partition_one(&mut self, number: u64) {
        let Some(index) = self.any_running() else {
            return;
        };
        let addr = self.fleet.daemons[index].config.addr.clone();
        self.fleet.partitioned.insert(addr.clone());
        let duration = self.fleet.rng.u64(200..4_000);
        self.write(number);
        self.run(duration / 2);
        self.write(number + SECOND_WRITE);
        self.run(duration / 2);
        self.fleet.partitioned.remove(&addr);
    }

    fn slow_disk(&mut self) {
        let Some(index) = self.any_running() else {
            return;
        };
        self.fleet.daemons[index].sync_duration = self.fleet.rng.u64(1..400);
    }

    /// Some in a hundred, until the next fault of this kind.
    fn lose_messages(&mut self) {
        let loss_percent = self.fleet.rng.u64(..30);
        let state = Cell::new(self.fleet.rng.u64(..));
        self.fleet.delivers = Box::new(move |_, _, _| {
            let next = state
                .get()
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            state.set(next);
            (next >> 33) % 100 >= loss_percent
        });
    }

    fn end_faults(&mut self) {
        self.fleet.delivers = Box::new(|_, _, _| true);
        for daemon in &mut self.fleet.daemons {
            daemon.sync_duration = 5;
        }
        self.run(12_000);
    }

    /// Each version has one value, the accepted one, and every daemon has the newest.
    fn expect_one_history(&self, seed: u64) {
        expect_that!(self.violations, is_empty(), "seed {seed}");
        let ambiguous: Vec<_> = self
            .committed
            .iter()
            .filter(|(_, values)| values.len() > 1)
            .collect();
        expect_that!(ambiguous, is_empty(), "seed {seed}");
        for (version, value) in &self.accepted {
            let is_other = self
                .committed
                .get(version)
                .is_some_and(|values| !values.contains(value));
            expect_that!(
                is_other,
                eq(false),
                "seed {seed}: version {version} has another value than was accepted"
            );
        }
        for index in self.fleet.running() {
            expect_that!(
                self.newest_version(index),
                ge(self.newest_accepted()),
                "seed {seed}: daemon {index} lacks the newest"
            );
        }
    }

    fn newest_accepted(&self) -> u64 {
        self.accepted.keys().max().copied().unwrap_or(0)
    }

    /// Whoever sends an accepted write again is told so, whatever has replaced it and whoever
    /// remembers it.
    fn expect_accepted_again(&mut self, seed: u64) {
        for (version, value) in self.accepted.clone() {
            let again = self.write_again(version, &value);
            expect_that!(
                again,
                some(eq(WriteOutcome::Accepted(version))),
                "seed {seed}: version {version} sent again"
            );
        }
    }
}

/// Seeds of a longer sweep: `CHAOS_SEEDS=1000-4000`.
fn seeds_from_environment() -> Option<Range<u64>> {
    let seeds = std::env::var("CHAOS_SEEDS").ok()?;
    let (first, end) = seeds.split_once('-')?;
    Some(first.parse().ok()?..end.parse().ok()?)
}

fn sweep(seeds: Range<u64>, once_failed: &[u64], daemon_count: usize, disks_lost: usize) {
    let (mut accepted_count, mut longest_write) = (0, 0);
    let seeds = seeds_from_environment().unwrap_or(seeds);
    for seed in seeds.chain(once_failed.iter().copied()) {
        let mut run = Run::new(seed, daemon_count);
        run.run(8_000);
        run.fleet.write_until_accepted("rollout/s", b"duty", 5_000);
        for number in 0..FAULT_COUNT {
            run.write(WRITE_BEFORE_FAULT + number);
            run.run_some(0..1_500);
            run.inject_fault(number, disks_lost);
        }
        run.end_faults();
        let newest = run.newest_accepted();
        run.expect_one_history(seed);
        // It still takes writes.
        let last_write = run.fleet.write_until_accepted("spec", b"last", 8_000);
        expect_that!(
            last_write,
            some(anything()),
            "seed {seed}: no write is taken any more"
        );
        run.expect_accepted_again(seed);
        longest_write = longest_write.max(last_write.unwrap_or(0));
        accepted_count += newest;
    }
    println!("{accepted_count} accepted, last write within {longest_write} ms");
    expect_that!(accepted_count, gt(100));
}

#[gtest]
fn three_voters_of_which_one_disk_is_lost_at_a_time() {
    sweep(0..150, &[1_467, 1_828, 2_808], 3, 1);
}

#[gtest]
fn five_voters_of_which_two_disks_are_lost_at_once() {
    sweep(0..60, &[], 6, 2);
}
