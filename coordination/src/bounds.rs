//! What operators promise their callers, as times, shares and rates. Runtimes read them from their settings;
//! state machines derive leases, expiries, drains and budgets from them.

use serde::Deserialize;

use crate::{Ms, timing::LEASE_DURATION};

/// Leases in a contact bound: a singleton role whose holder died is taken over, one lease later, well within it.
const LEASES_PER_CONTACT_BOUND: Ms = 2;

/// The bounds of one deployment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// ms. A daemon undisturbed for so long must keep all bounds below.
    pub contact: Ms,
    /// ms. An operator's order is answered by then.
    pub answer: Ms,
    /// ms. A daemon that came back with a lost disk has caught up after so long.
    pub sync: Ms,
    /// ms. A draining replica gets nothing new after so long.
    pub drain: Ms,
    /// ms. From SIGTERM to SIGKILL.
    pub grace: Ms,
    /// ms. A new spec is honoured everywhere after so long.
    pub apply: Ms,
    /// ms. An evacuated zone gets nothing after so long.
    pub evacuate: Ms,
    /// ms. A bad version gets nothing after so long.
    pub rollback: Ms,
    /// Part of a service's requests that a version on trial may take.
    pub canary_share: f64,
    /// Requests that it may take besides.
    pub canary_slack: f64,
    /// Retries, as a part of first attempts over the window.
    pub retry_share: f64,
    /// ms. That window.
    pub retry_window: Ms,
    /// Retries that are allowed besides.
    pub retry_slack: f64,
    /// Factor by which the rate of a replica that is warming up may be exceeded.
    pub cold_over: f64,
    /// Requests that it may get besides.
    pub cold_slack: f64,
    /// s. Longest that callers may keep an answer on where to go.
    pub directory_s: u64,
    /// ms. A new holder of a singleton role makes no call to the platform for so long.
    pub role_pause: Ms,
    /// Daemons with a disk that may be lost at once.
    pub lost_disks: u32,
    /// Zones that may be lost at once.
    pub lost_zones: u32,
    /// Regions that may be lost at once.
    pub lost_regions: u32,
    /// ms. Length of the windows by which usage is counted; 0: usage is not counted.
    pub usage_window: Ms,
    /// ms. The usage report of a window is due so long after the window's end.
    pub usage_delay: Ms,
}

impl Bounds {
    /// ms. How long a lease lasts.
    pub fn lease(&self) -> Ms {
        LEASE_DURATION.min(self.contact / LEASES_PER_CONTACT_BOUND)
    }
}

impl Default for Bounds {
    /// The brief's own bounds.
    fn default() -> Self {
        Bounds {
            contact: 5_000,
            answer: 5_000,
            sync: 4_000,
            drain: 5_000,
            grace: 30_000,
            apply: 3_000,
            evacuate: 5_000,
            rollback: 5_000,
            canary_share: 0.1,
            canary_slack: 50.0,
            retry_share: 0.05,
            retry_window: 10_000,
            retry_slack: 2.0,
            cold_over: 1.5,
            cold_slack: 5.0,
            directory_s: 5,
            role_pause: 3_000,
            lost_disks: 1,
            lost_zones: 1,
            lost_regions: 1,
            usage_window: 0,
            usage_delay: 0,
        }
    }
}
