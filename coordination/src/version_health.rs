//! Health of versions: counts of ended and failed requests by version, lane and cached or uncached prompt, summed over
//! edges, and the verdict on one version against others.

use std::collections::BTreeMap;

use wire_messages::{Name, OutcomeCounters};

use crate::Ms;

mod baseline_verdict;
mod counts;
mod placed_verdict;
mod significance;
mod sources;
mod windows;

pub use counts::{OutcomeCounts, SentCounts, log_ms, replica_bit};
pub(crate) use windows::HEALTH_WINDOWS;

use sources::CounterSource;
use windows::{CounterKey, CounterWindows, LONG_WINDOW, SINCE_RESTART};

/// Verdict on a version's outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No evidence against the version so far.
    Healthy,
    /// The version is worse than the versions or the limit it was compared with.
    Unhealthy,
}

/// Outcome counters of one service's versions, collected from all edges.
#[derive(Clone, Debug, Default)]
pub struct VersionHealth {
    sources: BTreeMap<Name, CounterSource>,
    windows: CounterWindows,
}

impl VersionHealth {
    /// Adds a source's cumulative counters of one service: all of them, or only the changed ones.
    pub fn add_counters(&mut self, source: &Name, incarnation: u64, counters: &[OutcomeCounters]) {
        let is_first_report = !self.sources.contains_key(source);
        let mut known = self
            .sources
            .remove(source)
            .filter(|known| known.has_incarnation(incarnation))
            .unwrap_or_else(|| CounterSource::new(incarnation));
        for reported in counters {
            let key = self.windows.index_or_insert(CounterKey::new(reported));
            if let Some(added) = known.advance(key, reported, is_first_report) {
                self.windows.add(key, added);
            }
        }
        self.sources.insert(source.clone(), known);
    }

    /// Closes the current window when it is due and drops expired windows.
    pub fn tick(&mut self, now: Ms) {
        self.windows.tick(now);
    }

    /// Excludes earlier counts, so that a new phase is judged only by its own requests.
    pub fn restart(&mut self, now: Ms) {
        self.windows.restart(now);
    }

    /// Returns whether any edge has reported its counters, even if they are empty.
    pub fn has_sources(&self) -> bool {
        !self.sources.is_empty()
    }

    /// Counts a version's requests on one lane, cached or uncached, within the longest window.
    pub fn recent_counts(&self, version: &str, lane: &str, cached: bool, now: Ms) -> OutcomeCounts {
        let key = CounterKey {
            version: version.into(),
            lane: lane.into(),
            cached,
        };
        self.windows.sum_of_key(&key, now, LONG_WINDOW)
    }

    /// Counts requests of a version that ended since the last restart, within the longest window.
    pub fn ended(&self, version: &str, now: Ms) -> u64 {
        self.ended_in(version, LONG_WINDOW, now)
    }

    /// Counts requests of a version that ended since the last restart, within the last `window` ms.
    pub fn ended_in(&self, version: &str, window: Ms, now: Ms) -> u64 {
        self.windows
            .sum(now, window, |key| key.has_version(version))
            .ended
    }

    /// Counts requests of a version that failed since the last restart.
    pub fn failed(&self, version: &str, now: Ms) -> u64 {
        self.windows
            .sum(now, SINCE_RESTART, |key| key.has_version(version))
            .failed
    }

    /// Counts requests of a version that ended on a lane since the last restart.
    pub fn ended_on(&self, version: &str, lane: &str, now: Ms) -> u64 {
        self.windows
            .sum(now, SINCE_RESTART, |key| {
                key.has_version(version) && &*key.lane == lane
            })
            .ended
    }

    /// Counts requests sent since this process started counting.
    pub fn sent(&self, version: &str) -> SentCounts {
        SentCounts {
            all: self.windows.total(|_| true).sent,
            version: self.windows.total(|key| key.has_version(version)).sent,
        }
    }

    /// Returns the requests per second sent to all versions within the last `window` ms.
    pub fn request_rate(&self, window: Ms, now: Ms) -> f64 {
        let covered = self.windows.age(now).min(window);
        if covered == 0 {
            return 0.0;
        }
        let sent = self.windows.sum(now, window, |_| true).sent;
        sent as f64 * 1_000.0 / covered as f64
    }
}

#[cfg(test)]
mod tests;
