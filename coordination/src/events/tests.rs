use googletest::prelude::*;

#[gtest]
fn numbers_ascend_and_the_document_lists_every_event() {
    expect_true!(super::ALL.windows(2).all(|w| w[0].number < w[1].number));
    let doc = include_str!("../../../docs/events.md");
    for e in super::ALL {
        expect_that!(
            doc,
            contains_substring(format!(
                "| {} | {} | {:?} | {} |",
                e.number, e.name, e.level, e.meaning
            ))
        );
    }
}
