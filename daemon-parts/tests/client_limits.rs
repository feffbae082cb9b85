//! What clients may take of a process, by its limits.

use daemon_parts::process_limits::{CONNECTION_BYTES, ProcessLimits};
use googletest::prelude::*;

const MIB: u64 = 1 << 20;

/// What clients can hold altogether, in bytes.
fn most_held(limits: ProcessLimits) -> u64 {
    limits.client_connections() as u64 * CONNECTION_BYTES
        + limits.request_bytes()
        + limits.frame_bytes()
}

#[gtest]
fn all_that_clients_can_hold_leaves_room_for_the_program() {
    for memory_mib in [48, 64, 160, 256, 260, 4_096] {
        let limits = ProcessLimits::new(memory_mib * MIB, 1 << 20);
        let left = (memory_mib * MIB).checked_sub(most_held(limits));
        expect_that!(left, some(ge(16 * MIB)), "{memory_mib}");
    }
}

#[gtest]
fn clients_and_channels_leave_descriptors_to_replicas_and_files() {
    for descriptors in [400, 1_000, 4_096, 100_000] {
        let limits = ProcessLimits::new(1 << 40, descriptors);
        let taken = (limits.client_connections() + limits.channels()) as u64;
        // 200 for files, and a tenth of the others.
        let sockets = descriptors - 200;
        expect_that!(taken, le(sockets - sockets / 10), "{descriptors}");
    }
}

#[gtest]
fn limits_that_settings_leave_out_have_a_default() {
    expect_that!(
        ProcessLimits::new(0, 0),
        eq(ProcessLimits::new(256 * MIB, 1_024))
    );
}

#[gtest]
fn a_request_of_the_largest_size_fits_on_the_smallest_machine() {
    // A body is buffered up to twice 256 KiB, or streamed; of a call to a control daemon all is buffered.
    let limits = ProcessLimits::new(64 * MIB, 1_000);
    expect_that!(limits.request_bytes() * 3 / 4, ge(8 * MIB));
}
