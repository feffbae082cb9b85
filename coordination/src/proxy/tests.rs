use googletest::prelude::*;

use super::Proxy;

#[gtest]
fn proxies_started_in_the_same_instant_mint_different_ids() {
    let first_id = |name: &str| {
        Proxy::new(name.into(), "z".into(), "".into(), 7, 7)
            .rng
            .u64(..)
    };
    expect_that!(first_id("proxy-1"), not(eq(first_id("proxy-2"))));
}
