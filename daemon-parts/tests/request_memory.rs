//! The budget of memory for requests: who gets what is left, and who has to go.

use std::{future::poll_fn, time::Duration};

use coordination::Ms;
use daemon_parts::request_memory::{
    OutOfMemory, RequestLease, RequestMemory, SMALL_REQUEST_BYTES, STALLED_AFTER,
};
use googletest::prelude::*;

/// Bytes of a budget of which large requests may have three quarters.
const CAPACITY: u64 = 16 * SMALL_REQUEST_BYTES;
const LARGE: u64 = 4 * SMALL_REQUEST_BYTES;

fn run(future: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(future);
}

async fn held(memory: &RequestMemory, bytes: u64) -> RequestLease {
    let mut lease = memory.lease();
    lease.hold(bytes).await.expect("there is memory left");
    lease
}

async fn stall() {
    let stalled: Ms = STALLED_AFTER + 50;
    tokio::time::sleep(Duration::from_millis(stalled)).await;
}

#[gtest]
fn what_a_request_held_is_there_for_the_next() {
    run(async {
        let memory = RequestMemory::with_capacity(CAPACITY);
        for _ in 0..100 {
            let lease = held(&memory, LARGE).await;
            expect_that!(memory.figures().drawn, eq(LARGE));
            drop(lease);
        }
        expect_that!(memory.figures().drawn, eq(0));
        expect_that!(memory.figures().refused, eq(0));
    });
}

#[gtest]
fn a_peak_is_told_once() {
    run(async {
        let memory = RequestMemory::with_capacity(CAPACITY);
        drop(held(&memory, LARGE).await);
        let lease = held(&memory, 1).await;
        expect_that!(memory.take_peak(), eq(LARGE));
        expect_that!(memory.take_peak(), eq(1));
        drop(lease);
    });
}

#[gtest]
fn large_requests_leave_a_part_to_small_ones() {
    run(async {
        let memory = RequestMemory::with_capacity(CAPACITY);
        let mut large = vec![];
        for _ in 0..3 {
            large.push(held(&memory, LARGE).await);
        }
        let mut refused = memory.lease();
        expect_that!(refused.hold(LARGE).await, err(eq(OutOfMemory)));
        let small = held(&memory, SMALL_REQUEST_BYTES).await;
        expect_that!(memory.figures().drawn, eq(3 * LARGE + SMALL_REQUEST_BYTES));
        drop(small);
    });
}

#[gtest]
fn a_refused_request_keeps_what_it_held() {
    run(async {
        let memory = RequestMemory::with_capacity(CAPACITY);
        let mut lease = held(&memory, LARGE).await;
        expect_that!(lease.hold(2 * CAPACITY).await, err(eq(OutOfMemory)));
        expect_that!(memory.figures().drawn, eq(LARGE));
        drop(lease);
        expect_that!(memory.figures().drawn, eq(0));
    });
}

#[gtest]
fn a_stalled_request_gives_way_and_one_that_moves_does_not() {
    run(async {
        let memory = RequestMemory::with_capacity(CAPACITY);
        let moving = held(&memory, LARGE).await;
        let complete = held(&memory, LARGE).await;
        complete.complete();
        let stalled = held(&memory, LARGE).await;
        let waiter = actix_rt::spawn(async move {
            poll_fn(|context| stalled.poll_shed(context)).await;
        });
        stall().await;
        moving.on_received(LARGE);
        let next = held(&memory, LARGE).await;
        waiter.await.expect("the stalled request was told");
        expect_that!(memory.figures().shed, eq(1));
        expect_that!(memory.figures().drawn, eq(3 * LARGE));
        drop((moving, complete, next));
    });
}

#[gtest]
fn a_client_that_sends_a_byte_now_and_then_makes_no_progress() {
    run(async {
        let memory = RequestMemory::with_capacity(CAPACITY);
        let slow = held(&memory, 3 * LARGE).await;
        stall().await;
        slow.on_received(1);
        let mut next = memory.lease();
        // It is told, but has not returned its memory.
        expect_that!(next.hold(LARGE).await, err(eq(OutOfMemory)));
        expect_that!(memory.figures().shed, eq(1));
        drop(slow);
        expect_that!(next.hold(LARGE).await, ok(eq(())));
    });
}

#[gtest]
fn what_a_replica_lends_is_taken_from_a_stalled_stream_only() {
    run(async {
        let memory = RequestMemory::with_capacity(CAPACITY);
        let buffered = held(&memory, LARGE).await;
        let stream = held(&memory, LARGE).await;
        stream.set_streaming();
        memory.shed_stalled_stream();
        expect_that!(memory.figures().shed, eq(0));
        stall().await;
        memory.shed_stalled_stream();
        memory.shed_stalled_stream();
        expect_that!(memory.figures().shed, eq(1));
        drop((buffered, stream));
    });
}
