//! What soaks play is drawn by their seed alone, and CI's seed has the actions that are drawn seldom.

use fleet_tools::soak::plan::{Action, Direction, Size, Step, draw};
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

#[gtest]
fn partitions_of_each_kind_and_direction_are_drawn_and_the_seed_of_ci_plays_one_of_control() {
    let cuts_core = |a: &Action| matches!(a, Action::CutCore { .. } | Action::CutZone { .. });
    expect_true!(plays(&draw(SEED, LONG, SIZE), cuts_core));
    let plans: Vec<Vec<Step>> = (0..20).map(|seed| draw(seed, LONG, SIZE)).collect();
    let is_drawn = |action: fn(&Action) -> bool| plans.iter().any(|plan| plays(plan, action));
    expect_true!(is_drawn(|a| matches!(a, Action::CutCore { .. })));
    expect_true!(is_drawn(|a| matches!(a, Action::CutEdges { .. })));
    expect_true!(is_drawn(|a| matches!(a, Action::CutZone { .. })));
    for wanted in [Direction::Both, Direction::Outbound, Direction::Inbound] {
        expect_true!(plans.iter().any(|plan| plays(
            plan,
            |a| matches!(a, Action::CutCore { direction, .. } if *direction == wanted)
        )));
    }
}
