//! The two clocks of a machine. Leases count on one that also runs while the machine is suspended.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coordination::Ms;

/// ms since the machine's start, suspension included; the same for all processes of a machine.
pub fn now() -> Ms {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `time` is a valid timespec for the call to fill.
    let filled = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut time) } == 0;
    assert!(filled, "CLOCK_BOOTTIME is part of every Linux this runs on");
    time.tv_sec as Ms * 1_000 + time.tv_nsec as Ms / 1_000_000
}

fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Seconds since 1970, for completion times only.
pub fn wall_s() -> u64 {
    since_epoch().as_secs()
}

/// ms since 1970, by a time of day that may step.
pub fn wall_ms() -> u64 {
    since_epoch().as_millis() as u64
}

/// The incarnation of a process that starts now.
pub fn new_incarnation() -> u64 {
    wall_ms()
}
