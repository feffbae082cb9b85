//! The two clocks. Leases count on one that also runs while the machine sleeps.

use std::time::{SystemTime, UNIX_EPOCH};

use coordination::Ms;

/// ms since the machine's start, sleep included; the same for all processes of a machine.
pub fn now() -> Ms {
    let mut t = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `t` is a valid timespec for the call to fill.
    let ok = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut t) } == 0;
    assert!(ok, "CLOCK_BOOTTIME is part of every Linux this runs on");
    t.tv_sec as Ms * 1_000 + t.tv_nsec as Ms / 1_000_000
}

fn wall() -> std::time::Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
/// Seconds since 1970, for completion times only.
pub fn wall_s() -> u64 {
    wall().as_secs()
}
/// ms since 1970: tells one life of a process from the next.
pub fn born() -> u64 {
    wall().as_millis() as u64
}
