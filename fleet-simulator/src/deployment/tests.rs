use googletest::prelude::*;

use super::*;

#[gtest]
fn both_deployments_have_the_briefs_sizes_and_pass_the_check() {
    for (n, edges, replicas) in [
        ("dentaplan", 6, vec![7, 6, 5]),
        ("registry", 8, vec![4, 3, 2]),
    ] {
        let d = Deployment::named(n).unwrap();
        expect_that!(d.edges.iter().map(|e| e.count).sum::<usize>(), eq(edges));
        expect_that!(
            d.spec.services[0]
                .zones
                .iter()
                .map(|z| z.replicas)
                .collect::<Vec<_>>(),
            eq(&replicas)
        );
        expect_that!(remote_calls::spec_check::check(&d.spec), ok(anything()));
    }
}
