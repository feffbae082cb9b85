//! What soaks play is drawn by their seed alone, and CI's seed has the actions that are drawn seldom.

use fleet_tools::soak::plan::{Action, Size, Step, draw};
use googletest::prelude::*;

/// As in the soak that CI plays (`soak.rs`).
const SEED: u64 = 55;
const LONG: u64 = 40_000;
const SIZE: Size = Size {
    edges: 6,
    core: 3,
    zones: 3,
};

fn plays(plan: &[Step], action: impl Fn(&Action) -> bool) -> bool {
    plan.iter().any(|step| action(&step.1))
}

#[gtest]
fn a_seed_draws_the_same_steps() {
    expect_that!(draw(SEED, LONG, SIZE), eq(&draw(SEED, LONG, SIZE)));
    expect_that!(draw(SEED + 1, LONG, SIZE), not(eq(&draw(SEED, LONG, SIZE))));
}

#[gtest]
fn the_seed_of_ci_plays_a_long_outage_with_a_restart_of_control_and_releases_of_both_kinds() {
    let plan = draw(SEED, LONG, SIZE);
    expect_true!(plays(
        &plan,
        |a| matches!(a, Action::Outage { edges, core: Some(_), .. } if edges.len() * 2 > SIZE.edges)
    ));
    expect_true!(plays(&plan, |a| matches!(a, Action::Release { bad: true })));
    expect_true!(plays(&plan, |a| matches!(
        a,
        Action::Release { bad: false }
    )));
}
