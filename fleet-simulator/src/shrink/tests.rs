use googletest::prelude::*;

use super::*;
use crate::faults::Fault;

/// Of eight faults only the evacuation that is not passed on matters.
#[gtest]
fn what_does_not_matter_is_left_out() {
    let d = Deployment::named("registry").unwrap();
    let mut s: Schedule = (0..7).map(|i| (12_000 + i * 500, Fault::PutSpec)).collect();
    s.insert(3, (13_000, Fault::Evacuate { zone: 0 }));
    let c = Case {
        d: &d,
        seed: 1,
        length: 25_000,
        off: Some(Guard::Evacuation),
        with_effect_digest: false,
        policy: Policy::default(),
    };
    expect_true!(c.fails(&s, "evacuated"));
    let least = c.shrink(&s, "evacuated");
    expect_that!(
        least,
        elements_are![eq(&(13_000, Fault::Evacuate { zone: 0 }))]
    );
    expect_true!(checkers::check(&Case { off: None, ..c }.world(&s).h).is_empty());
}
