use googletest::prelude::*;

use super::*;

#[gtest]
fn nothing_is_left_out_by_default_and_each_mechanism_alone_can_be() {
    let all = Policy::default();
    for m in Mechanism::ALL {
        expect_true!(all.is_enabled(*m));
        let p = Policy::without([*m]);
        let others = Mechanism::ALL.iter().filter(|o| *o != m);
        expect_that!(
            (p.is_enabled(*m), others.clone().all(|o| p.is_enabled(*o))),
            eq((false, true)),
            "{}",
            m.name()
        );
        expect_that!(m.name().parse::<Mechanism>(), ok(eq(m)));
    }
}

#[gtest]
fn a_name_that_is_none_is_refused_with_its_line_and_all_names() {
    let text = "{\n  \"without\": [\n    \"doubt\",\n    \"luck\"]\n}";
    let e = serde_json::from_str::<Policy>(text)
        .unwrap_err()
        .to_string();
    expect_that!(
        e,
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
    let p: Policy = serde_json::from_str("{\"without\": [\"doubt\", \"lag\"]}").unwrap();
    expect_that!(p, eq(Policy::without([Mechanism::Doubt, Mechanism::Lag])));
}
