//! Windows of usage counts: requests that began to run, by tenant and window of wall-clock time.
//!
//! A proxy counts an attempt when its first chunk arrives. Counts are cumulative: each message carries the newest value
//! of each count that changed, and each receiver keeps the largest by incarnation of the proxy, so that nothing is
//! counted twice. A proxy reports to its agent every 200 ms, and the agent reports with every poll
//! ([`POLL_INTERVAL`](crate::edge_agent::POLL_INTERVAL)), or every other one if the control daemon is in another
//! region. A killed proxy loses at most the counts of one report interval. If its agent is killed with it, the counts
//! of one report interval and one poll interval are lost: 0.6 s, or 1 s if all control daemons that keep usage are in
//! other regions.

use std::ops::RangeInclusive;

use crate::{Ms, bounds::Bounds};

pub use crate::register::USAGE_KEY;

/// Time for which counts are kept after their window's report was due, in ms. Counts of windows further than this in
/// the future are not accepted.
pub const USAGE_RETENTION: Ms = 60_000;
/// Maximum number of counts in one message. The others wait for the next message, so that no message approaches the
/// maximum frame size.
pub(crate) const MAX_COUNTS_PER_MESSAGE: usize = 4_096;

/// Returns the number of the window that contains a wall-clock time; `None` if usage is not counted.
pub fn window_at(bounds: &Bounds, wall_ms: u64) -> Option<u64> {
    wall_ms.checked_div(bounds.usage_window)
}

/// Returns the windows whose counts are kept at a wall-clock time; `None` if usage is not counted.
pub fn kept_windows(bounds: &Bounds, wall_ms: u64) -> Option<RangeInclusive<u64>> {
    let oldest_end = wall_ms.saturating_sub(bounds.usage_delay + USAGE_RETENTION);
    let newest_start = wall_ms.saturating_add(USAGE_RETENTION);
    Some(window_at(bounds, oldest_end)?..=window_at(bounds, newest_start)?)
}
