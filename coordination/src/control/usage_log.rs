//! The log of usage reports, which the holder of the role commits before it sends a report.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wire_messages::Name;

use crate::platform_call::{TenantCount, UsageReport};

/// Reports that the log holds while the platform does not accept them; later windows are closed once it does.
pub const UNACCEPTED_REPORTS_MAX: usize = 32;
/// Windows older than the current one by more than this are not reported any more: ten minutes of windows of 5 s.
pub const LATE_WINDOWS_MAX: u64 = 120;

/// The usage reports that are committed and not known to be accepted, and where to go on behind them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageLog {
    /// The first window that has no report yet; 0 before there was any report.
    pub next_window: u64,
    /// Reports that the platform has not accepted as far as the log knows, oldest first. They are final: each is sent as it
    /// stands here, whoever sends it.
    pub unaccepted: Vec<UsageReport>,
}

impl UsageLog {
    /// Whether another report may be added.
    pub fn has_room(&self) -> bool {
        self.unaccepted.len() < UNACCEPTED_REPORTS_MAX
    }

    /// Adds the report of a window; later ones go on behind it.
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

    /// Drops the reports of windows up to this one, which the platform has accepted.
    pub(super) fn drop_accepted(&mut self, through_window: u64) {
        self.unaccepted
            .retain(|report| report.window > through_window);
    }
}
