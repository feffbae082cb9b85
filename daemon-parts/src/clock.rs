//! Clocks of the machine. Leases use the boot-time clock, which also advances while the machine is suspended.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coordination::Ms;

/// Returns the time in ms since the machine booted, including suspension; the same for all processes of a machine.
pub fn now() -> Ms {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `time` is a valid timespec that the call may write to.
    let succeeded = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut time) } == 0;
    assert!(succeeded, "CLOCK_BOOTTIME exists on every supported Linux");
    time.tv_sec as Ms * 1_000 + time.tv_nsec as Ms / 1_000_000
}

fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Returns the Unix time (since 1970) in seconds, for completion times only.
pub fn wall_s() -> u64 {
    since_epoch().as_secs()
}

/// Returns the Unix time (since 1970) in ms, by the wall clock, which may step.
pub fn wall_ms() -> u64 {
    since_epoch().as_millis() as u64
}

/// Returns the incarnation of a process that starts now.
pub fn new_incarnation() -> u64 {
    wall_ms()
}
