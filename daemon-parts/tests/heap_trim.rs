//! When free memory is returned to the system.

use daemon_parts::heap_trim::HeapTrimmer;
use googletest::prelude::*;

const MIB: u64 = 1 << 20;

#[gtest]
fn the_heap_is_trimmed_once_after_a_peak() {
    let mut trimmer = HeapTrimmer::new(8 * MIB);
    for (held_mib, is_due) in [
        (7, false),
        (0, false),
        (9, false),
        (3, false),
        (2, true),
        (0, false),
    ] {
        expect_that!(trimmer.is_due(held_mib * MIB), eq(is_due), "{held_mib}");
    }
}
