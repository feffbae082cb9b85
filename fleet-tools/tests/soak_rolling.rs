//! The order in which machines are moved between two programs.

use fleet_tools::soak::rolling::{Build, Move, moves};
use googletest::prelude::*;

const MACHINES: usize = 11;
const SEED: u64 = 1;

/// The machines of some moves, sorted.
fn machines_of(moves: &[Move]) -> Vec<usize> {
    let mut machines: Vec<usize> = moves.iter().map(|step| step.machine).collect();
    machines.sort_unstable();
    machines
}

#[gtest]
fn every_machine_moves_once_to_the_usual_program_and_then_once_back() {
    let all = moves(MACHINES, SEED);
    expect_that!(all.len(), eq(2 * MACHINES));
    let (there, back) = all.split_at(MACHINES);
    let each_once: Vec<usize> = (0..MACHINES).collect();
    expect_that!(machines_of(there), eq(&each_once));
    expect_that!(machines_of(back), eq(&each_once));
    expect_true!(there.iter().all(|step| step.to == Build::Usual));
    expect_true!(back.iter().all(|step| step.to == Build::Former));
}

#[gtest]
fn a_seed_draws_the_same_order_and_another_seed_another() {
    expect_that!(moves(MACHINES, SEED), eq(&moves(MACHINES, SEED)));
    expect_that!(moves(MACHINES, SEED), not(eq(&moves(MACHINES, SEED + 1))));
}
