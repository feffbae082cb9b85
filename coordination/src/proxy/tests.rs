use googletest::prelude::*;

use super::*;

#[gtest]
fn proxies_started_in_the_same_instant_mint_different_ids() {
    let p = |n: &str| {
        Proxy::new(n.into(), "z".into(), "".into(), 7, 7)
            .rng
            .u64(..)
    };
    expect_that!(p("proxy-1"), not(eq(p("proxy-2"))));
}
