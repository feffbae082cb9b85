use googletest::prelude::*;

use super::{Mechanism, Policy};

#[gtest]
fn all_mechanisms_are_enabled_by_default_and_each_can_be_disabled_alone() {
    let all = Policy::default();
    for mechanism in Mechanism::ALL {
        expect_true!(all.is_enabled(*mechanism));
        let policy = Policy::without([*mechanism]);
        let others = Mechanism::ALL.iter().filter(|other| *other != mechanism);
        expect_that!(
            (
                policy.is_enabled(*mechanism),
                others.clone().all(|other| policy.is_enabled(*other))
            ),
            eq((false, true)),
            "{}",
            mechanism.name()
        );
        expect_that!(mechanism.name().parse::<Mechanism>(), ok(eq(mechanism)));
    }
}

#[gtest]
fn an_unknown_mechanism_is_rejected_with_its_line_and_all_names() {
    let text = "{\n  \"without\": [\n    \"doubt\",\n    \"luck\"]\n}";
    let error = serde_json::from_str::<Policy>(text)
        .unwrap_err()
        .to_string();
    expect_that!(
        error,
        all!(
            contains_substring("\"luck\""),
            contains_substring("line 4"),
            contains_substring("agreed_order")
        )
    );
    expect_that!(
        serde_json::from_str::<Policy>("{\"with\": []}"),
        err(anything())
    );
    let policy: Policy = serde_json::from_str("{\"without\": [\"doubt\", \"lag\"]}").unwrap();
    expect_that!(
        policy,
        eq(Policy::without([Mechanism::Doubt, Mechanism::Lag]))
    );
}
