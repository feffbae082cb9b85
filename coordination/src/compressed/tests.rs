use crate::compressed::{COMPRESSION_THRESHOLD_BYTES, DECOMPRESSED_MAX_BYTES};
use googletest::prelude::*;
use remote_calls::{GroupRecord, GroupRole, PlacedReplica, RolloutRecord};

use super::*;

fn record(replicas: usize) -> RolloutRecord {
    let bare = serde_json::json!({"service": "model", "phase": "steady", "stable": "v1", "plan_version": 1, "failed_plan": 0,
        "since_ms": 0, "groups": [], "replicas": [], "retiring": [], "alerts": []});
    let mut r: RolloutRecord = serde_json::from_value(bare).unwrap();
    let id = |i: usize| format!("model-zone-{}-{i}", i % 10);
    r.replicas = (0..replicas)
        .map(|i| PlacedReplica {
            id: id(i),
            zone: format!("zone-{}", i % 10),
            addr: format!("10.3.{}.{}:9000", i / 250, i % 250),
            version: "v1".into(),
            slots: 24,
            cold: i % 7 == 0,
        })
        .collect();
    let replicas = (0..replicas).map(id).collect();
    r.groups = vec![GroupRecord {
        role: GroupRole::Stable,
        version: "v1".into(),
        share_percent: 100,
        replicas,
        allow_unload: false,
    }];
    r
}

#[gtest]
fn what_is_packed_is_read_as_it_was_and_short_values_stay_json() {
    for n in [0, 1, 30, 3_000] {
        let r = record(n);
        let b = encode(&r).unwrap();
        expect_that!(decode::<RolloutRecord>(&b), some(eq(&r)));
        expect_that!(
            b[0] == COMPRESSED_MARK,
            eq(serde_json::to_vec(&r).unwrap().len() >= COMPRESSION_THRESHOLD_BYTES)
        );
    }
    // What an earlier build wrote is read too.
    let long = serde_json::to_vec(&record(3_000)).unwrap();
    expect_true!(decode::<RolloutRecord>(&long).is_some());
}

// At 299 machines and 3,000 replicas a record of 600 KB could not be sent to an edge in the time that a frame has: no
// edge was ever told anything.
#[gtest]
fn a_record_of_three_thousand_replicas_reaches_an_edge_in_a_tenth_of_the_time_that_a_frame_has() {
    // Bytes that a link of 10 Mbit/s carries in 100 ms.
    const TENTH: usize = 125_000;
    expect_that!(
        serde_json::to_vec(&record(3_000)).unwrap().len(),
        gt(3 * TENTH)
    );
    expect_that!(encode(&record(3_000)).unwrap().len(), lt(TENTH));
}

#[gtest]
fn bytes_that_are_no_value_or_unpack_to_too_much_are_none() {
    expect_that!(decode::<RolloutRecord>(&[COMPRESSED_MARK, 7, 7, 7]), none());
    expect_that!(decode::<RolloutRecord>(b""), none());
    let text = encode(&"a".repeat(DECOMPRESSED_MAX_BYTES)).unwrap();
    expect_that!(text.len(), lt(DECOMPRESSED_MAX_BYTES / 100));
    expect_that!(decode::<String>(&text), none());
}
