//! Service bounds that operators guarantee to their callers, as times, shares and rates. Runtimes read them from the
//! settings; state machines derive lease durations, expiries, drain times and budgets from them.

use serde::Deserialize;

use crate::{Ms, timing::LEASE_DURATION};

/// Leases per contact bound. A singleton role is taken over one lease after its holder died, well within the bound.
const LEASES_PER_CONTACT_BOUND: Ms = 2;

/// The bounds of one deployment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Time without disturbance, in ms, after which a daemon must meet all bounds below.
    pub contact: Ms,
    /// Time limit for answering an operator's request, in ms.
    pub answer: Ms,
    /// Time limit for a daemon that restarted with a lost disk to catch up, in ms.
    pub sync: Ms,
    /// Time after which a draining replica gets no new requests, in ms.
    pub drain: Ms,
    /// Time from SIGTERM to SIGKILL, in ms.
    pub grace: Ms,
    /// Time after which a new spec is in effect everywhere, in ms.
    pub apply: Ms,
    /// Time after which an evacuated zone gets no requests, in ms.
    pub evacuate: Ms,
    /// Time after which an unhealthy version gets no requests, in ms.
    pub rollback: Ms,
    /// Fraction of a service's requests that a canary version may get.
    pub canary_share: f64,
    /// Requests that a canary version may get on top of that fraction.
    pub canary_slack: f64,
    /// Allowed retries over the retry window, as a fraction of first attempts.
    pub retry_share: f64,
    /// Length of the retry window, in ms.
    pub retry_window: Ms,
    /// Retries allowed per window on top of that fraction.
    pub retry_slack: f64,
    /// Factor by which the rate of a replica that is warming up may be exceeded.
    pub cold_over: f64,
    /// Requests that such a replica may get on top of that rate.
    pub cold_slack: f64,
    /// Longest time for which callers may cache a directory answer, in seconds.
    pub directory_s: u64,
    /// Time for which a new holder of a singleton role makes no platform calls, in ms.
    pub role_pause: Ms,
    /// Number of daemons with a disk that may be lost at once.
    pub lost_disks: u32,
    /// Number of zones that may be lost at once.
    pub lost_zones: u32,
    /// Number of regions that may be lost at once.
    pub lost_regions: u32,
    /// Length of the usage windows, in ms; 0 disables counting usage.
    pub usage_window: Ms,
    /// Time from the end of a usage window until its report is due, in ms.
    pub usage_delay: Ms,
}

impl Bounds {
    /// Returns the duration of a lease, in ms.
    pub fn lease(&self) -> Ms {
        LEASE_DURATION.min(self.contact / LEASES_PER_CONTACT_BOUND)
    }
}

impl Default for Bounds {
    /// Returns the bounds that the requirements set.
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
