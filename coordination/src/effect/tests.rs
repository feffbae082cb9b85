use googletest::prelude::*;

use super::NotAcceptedReason::{self, *};

/// Operators and their tools match these texts, and daemons of other releases send them.
#[gtest]
fn texts_of_rejected_writes_do_not_change() {
    let texts: [(NotAcceptedReason, &str); 9] = [
        (
            Suspended,
            "this daemon stood still until just now; ask again",
        ),
        (Overtaken, "other orders came first; ask again"),
        (NoLiveVoter, "no voter is live"),
        (KeyMoved, "the key has moved"),
        (
            RejectedByOwner,
            "the key's owner did not take it; ask again",
        ),
        (NoMajority, "no majority of disks answered in time"),
        (NotVoting, "this daemon does not vote"),
        (TooManyPending, "too many writes wait for this key"),
        (DiskFailed, "this daemon's disk does not work"),
    ];
    for (reason, text) in texts {
        expect_that!(reason.to_string(), eq(text));
    }
}
