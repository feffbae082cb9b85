//! Large bodies that go to a replica while they come, and whose clients stop sending.

mod support;

use coordination::Ms;
use daemon_parts::limits::MAX_RETAINED_BODY_BYTES;
use googletest::prelude::*;
use support::*;

/// Time that runs out in a test, and is enough to reach a replica on a machine that is busy.
const RUNS_OUT: Ms = 1_500;
fn run(future: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(future);
}

/// A client that stops right before the end of a body that is too large to be buffered.
async fn stopped_upload(edge: &Edge, round: &str) -> Downstream {
    let bytes = MAX_RETAINED_BODY_BYTES + 64_000;
    let mut client = Downstream::to(edge.addr).await;
    let head = format!(
        "POST /p/x HTTP/1.1\r\nHost: h\r\nRound: {round}\r\nContent-Length: {bytes}\r\n\r\n"
    );
    client.send(head).await;
    client.send(vec![b'y'; bytes - 1]).await;
    client
}

// The replica was blamed for the time that its client took: 504, and a failure on its account.
#[gtest]
fn an_upload_that_stops_is_not_held_against_its_replica() {
    run(async {
        let replica = Replica::plain("x").await;
        let lane = Lane {
            time_limit: RUNS_OUT,
            ..Lane::of("once", 1)
        };
        let edge = Edge::start(lane, &[replica.addr]).await;
        let answer = stopped_upload(&edge, "a").await.answer().await;
        expect_that!(
            (answer.status, answer.header("retry-after").is_some()),
            eq((408, true))
        );
        expect_that!(answer.body, contains_substring("not_run"));
        edge.until(|_| replica.cut.lock().unwrap().len() == 1).await;
        expect_that!(
            (replica.count(), edge.open(), edge.tallies().2),
            eq((0, 0, 0))
        );
        expect_that!(ask(&edge, request("b", "q")).await.status, eq(200));
    });
}
