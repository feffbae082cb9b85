//! Large bodies that go to a replica while they come, and whose clients stop sending.

mod support;

use std::time::Duration;

use coordination::Ms;
use daemon_parts::limits::MAX_RETAINED_BODY_BYTES;
use googletest::prelude::*;
use support::*;

/// Time that runs out in a test, and is enough to reach a replica on a machine that is busy.
const RUNS_OUT: Ms = 1_500;
/// Time enough that nothing ends by itself in a test.
const AMPLE: Ms = 3_600_000;
/// A bound on trouble only.
const PATIENCE: Duration = Duration::from_secs(20);
/// Connections that the only replica accepts.
const CHANNELS: u32 = 8;

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

// Uploads that had stopped kept every connection to a replica until their deadlines.
#[gtest]
fn uploads_that_stop_leave_a_connection_to_a_request_that_needs_it() {
    run(async {
        let replica = Replica::plain("x").await;
        let lane = Lane {
            time_limit: AMPLE,
            channels: CHANNELS,
            ..Lane::of("once", 1)
        };
        let edge = Edge::start(lane, &[replica.addr]).await;
        let mut uploads = vec![];
        for number in 0..=CHANNELS {
            uploads.push(stopped_upload(&edge, &format!("u{number}")).await);
        }
        // One too many: it is refused, so that all connections are taken.
        let refused = uploads.iter_mut().map(|upload| Box::pin(upload.answer()));
        let refused = futures_util::future::select_all(refused).await.0.status;
        expect_that!(refused, eq(503));
        let asked = async {
            while ask(&edge, request("b", "q")).await.status != 200 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let served = tokio::time::timeout(PATIENCE, asked).await;
        expect_true!(served.is_ok(), "no connection was given up");
    });
}
