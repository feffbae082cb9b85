//! The log of usage reports. The role's holder commits a report to it before sending the report.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wire_messages::Name;

use crate::platform_call::{TenantCount, UsageReport};

/// Maximum number of unaccepted reports in the log. Later windows are closed once the platform accepts reports again.
pub const UNACCEPTED_REPORTS_MAX: usize = 32;
/// Maximum age of a window that is still reported, in windows before the current one: ten minutes at 5 s per window.
pub const LATE_WINDOWS_MAX: u64 = 120;

/// The usage reports that are committed and not known to be accepted, and the next window to report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageLog {
    /// The first window without a report; 0 before the first report.
    pub next_window: u64,
    /// Reports that the platform has not accepted as far as the log knows, oldest first. They are final: every sender
    /// sends them unchanged.
    pub unaccepted: Vec<UsageReport>,
}

impl UsageLog {
    /// Returns whether another report may be added.
    pub fn has_room(&self) -> bool {
        self.unaccepted.len() < UNACCEPTED_REPORTS_MAX
    }

    /// Adds a window's report and moves on to the next window.
    pub(super) fn add(&mut self, window: u64, counts: BTreeMap<Name, u64>) {
        let counts = counts
            .into_iter()
            .map(|(tenant, count)| TenantCount {
                tenant: tenant.to_string(),
                count,
            })
            .collect();
        self.unaccepted.push(UsageReport { window, counts });
        self.next_window = window + 1;
    }

    /// Drops the reports of windows up to and including this one, which the platform has accepted.
    pub(super) fn drop_accepted(&mut self, through_window: u64) {
        self.unaccepted
            .retain(|report| report.window > through_window);
    }
}
