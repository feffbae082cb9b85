//! Windows of usage counts: requests that began to run, by tenant and window of the time of day.
//!
//! A proxy counts an attempt when its first chunk comes. Counts are cumulative: each message carries the newest value of
//! each count that changed, and each receiver keeps the largest, by incarnation of the proxy, so that nothing is counted
//! twice. A proxy reports to its agent every 200 ms, and the agent reports with every poll
//! ([`POLL_INTERVAL`](crate::edge_agent::POLL_INTERVAL)), or every other one where the control daemon is in another
//! region. A proxy that is killed loses at most what it counted in one report interval. If its agent is killed with it,
//! what was counted within one report interval and one poll interval is lost: 0.6 s, or 1 s where all control daemons that
//! keep usage are in other regions.

use std::ops::RangeInclusive;

use crate::{Ms, bounds::Bounds};

pub use crate::register::USAGE_KEY;

/// ms. Counts are kept for so long after the report of their window was due, and counts of windows that are further in the
/// future are not accepted.
pub const USAGE_RETENTION: Ms = 60_000;
/// Counts in one message. More wait for the next one, so that no message comes near the largest frame.
pub(crate) const MAX_COUNTS_PER_MESSAGE: usize = 4_096;

/// Number of the window that contains a time of day; none where usage is not counted.
pub fn window_at(bounds: &Bounds, wall_ms: u64) -> Option<u64> {
    wall_ms.checked_div(bounds.usage_window)
}

/// Windows whose counts are kept at a time of day; none where usage is not counted.
pub fn kept_windows(bounds: &Bounds, wall_ms: u64) -> Option<RangeInclusive<u64>> {
    let oldest_end = wall_ms.saturating_sub(bounds.usage_delay + USAGE_RETENTION);
    let newest_start = wall_ms.saturating_add(USAGE_RETENTION);
    Some(window_at(bounds, oldest_end)?..=window_at(bounds, newest_start)?)
}
