use googletest::prelude::*;
use remote_calls::{GroupRecord, GroupRole, PlacedReplica, RolloutRecord};

use super::*;

fn record(replica_count: usize) -> RolloutRecord {
    let empty = serde_json::json!({"service": "model", "phase": "steady", "stable": "v1", "plan_version": 1, "failed_plan": 0,
        "since_ms": 0, "groups": [], "replicas": [], "retiring": [], "alerts": []});
    let mut record: RolloutRecord = serde_json::from_value(empty).unwrap();
    let id = |index: usize| format!("model-zone-{}-{index}", index % 10);
    record.replicas = (0..replica_count)
        .map(|index| PlacedReplica {
            id: id(index),
            zone: format!("zone-{}", index % 10),
            addr: format!("10.3.{}.{}:9000", index / 250, index % 250),
            version: "v1".into(),
            slots: 24,
            cold: index % 7 == 0,
        })
        .collect();
    record.groups = vec![GroupRecord {
        role: GroupRole::Stable,
        version: "v1".into(),
        share_percent: 100,
        replicas: (0..replica_count).map(id).collect(),
        allow_unload: false,
    }];
    record
}

#[gtest]
fn long_values_are_compressed_and_all_values_round_trip() {
    for replica_count in [0, 1, 30, 3_000] {
        let record = record(replica_count);
        let bytes = encode(&record).unwrap();
        expect_that!(decode::<RolloutRecord>(&bytes), some(eq(&record)));
        expect_that!(
            bytes[0] == COMPRESSED_MARK,
            eq(serde_json::to_vec(&record).unwrap().len() >= COMPRESSION_THRESHOLD_BYTES)
        );
    }
    // Builds before compression wrote long values uncompressed.
    let uncompressed = serde_json::to_vec(&record(3_000)).unwrap();
    expect_true!(decode::<RolloutRecord>(&uncompressed).is_some());
}

// Guards against a record too long to be sent within a frame's time limit: with 299 machines and 3,000 replicas the
// uncompressed record had 600 KB, and no edge ever received anything.
#[gtest]
fn a_record_of_three_thousand_replicas_is_sent_in_a_tenth_of_a_frames_time_limit() {
    // Bytes that a link of 10 Mbit/s transfers in 100 ms.
    const BYTES_IN_A_TENTH: usize = 125_000;
    expect_that!(
        serde_json::to_vec(&record(3_000)).unwrap().len(),
        gt(3 * BYTES_IN_A_TENTH)
    );
    expect_that!(encode(&record(3_000)).unwrap().len(), lt(BYTES_IN_A_TENTH));
}

#[gtest]
fn invalid_bytes_and_values_over_the_limit_are_not_decoded() {
    expect_that!(decode::<RolloutRecord>(&[COMPRESSED_MARK, 7, 7, 7]), none());
    expect_that!(decode::<RolloutRecord>(b""), none());
    let bytes = encode(&"a".repeat(DECOMPRESSED_MAX_BYTES)).unwrap();
    expect_that!(bytes.len(), lt(DECOMPRESSED_MAX_BYTES / 100));
    expect_that!(decode::<String>(&bytes), none());
}
