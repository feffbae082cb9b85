use googletest::prelude::*;

use super::*;

/// Every way but going on after the end spoils the answer itself.
#[gtest]
fn each_way_sends_something_else_than_the_run() {
    let run = |wrong| {
        let mut s = Spoiler::new(wrong, 4);
        let mut sent: Vec<StreamLine> = (1..=4)
            .flat_map(|n| s.lines(n, false, piece_line(n, "x")))
            .collect();
        sent.extend(s.lines(4, true, end_line(4)));
        sent
    };
    let whole = run(None);
    expect_that!(whole.len(), eq(5));
    for w in WRONGS.into_iter().filter(|w| *w != Wrong::Joins) {
        expect_that!(run(Some(w)), not(eq(&whole)), "{w:?}");
    }
}
