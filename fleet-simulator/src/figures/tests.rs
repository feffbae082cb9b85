use googletest::prelude::*;

use super::*;

#[gtest]
fn a_figure_over_no_samples_is_rejected() {
    let mut f = Figures::default();
    f.share("nothing", 0, 0);
    expect_that!(f.of("nothing"), err(eq("nothing: no samples")));
    f.share("half", 1, 2);
    f.share("half", 2, 2);
    expect_that!(f.of("half"), ok(eq(&(75.0, 50.0, 100.0, 2))));
}
