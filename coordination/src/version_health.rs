//! Health of versions: counts of ended and failed requests by version, lane and cache warmth, summed over edges, and
//! the verdict on one version against others.

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

/// The verdict on a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it yet.
    Healthy,
    /// It is worse than what it was compared with.
    Unhealthy,
}

/// What edges counted of one service's versions.
#[derive(Clone, Debug, Default)]
pub struct VersionHealth {
    sources: BTreeMap<Name, CounterSource>,
    windows: CounterWindows,
}

impl VersionHealth {
    /// Adds a source's cumulative counters of one service: all of them, or those that have changed.
    pub fn add_counters(&mut self, source: &Name, incarnation: u64, counters: &[OutcomeCounters]) {
        let is_first_report = !self.sources.contains_key(source);
        let mut known = self
            .sources
            .remove(source)
            .filter(|known| known.is_of(incarnation))
            .unwrap_or_else(|| CounterSource::new(incarnation));
        for reported in counters {
            let key = self.windows.index_of(CounterKey::new(reported));
            if let Some(added) = known.advance(key, reported, is_first_report) {
                self.windows.add(key, added);
            }
        }
        self.sources.insert(source.clone(), known);
    }

    /// Lets time pass: windows end and old ones are forgotten.
    pub fn tick(&mut self, now: Ms) {
        self.windows.tick(now);
    }

    /// Forgets the past, so that a new phase is judged by what happens in it.
    pub fn restart(&mut self, now: Ms) {
        self.windows.restart(now);
    }

    /// Whether any edge has reported its counters, even if they are empty.
    pub fn has_sources(&self) -> bool {
        !self.sources.is_empty()
    }

    /// What a version's requests on one lane and with one cache warmth counted in the longest window.
    pub fn recent_counts(&self, version: &str, lane: &str, cached: bool, now: Ms) -> OutcomeCounts {
        let key = CounterKey {
            version: version.into(),
            lane: lane.into(),
            cached,
        };
        self.windows.sum_of_key(&key, now, LONG_WINDOW)
    }

    /// Requests of a version that ended since the last restart, within the longest window.
    pub fn ended(&self, version: &str, now: Ms) -> u64 {
        self.ended_in(version, LONG_WINDOW, now)
    }

    /// Requests of a version that ended since the last restart, within the last `window` ms.
    pub fn ended_in(&self, version: &str, window: Ms, now: Ms) -> u64 {
        self.windows
            .sum(now, window, |key| key.is_of(version))
            .ended
    }

    /// Requests of a version that failed since the last restart.
    pub fn failed(&self, version: &str, now: Ms) -> u64 {
        self.windows
            .sum(now, SINCE_RESTART, |key| key.is_of(version))
            .failed
    }

    /// Requests of a version that ended on a lane since the last restart.
    pub fn ended_on(&self, version: &str, lane: &str, now: Ms) -> u64 {
        self.windows
            .sum(now, SINCE_RESTART, |key| {
                key.is_of(version) && &*key.lane == lane
            })
            .ended
    }

    /// Requests sent since this daemon counts.
    pub fn sent(&self, version: &str) -> SentCounts {
        SentCounts {
            all: self.windows.total(|_| true).sent,
            version: self.windows.total(|key| key.is_of(version)).sent,
        }
    }

    /// Requests a second that were sent to all versions within the last `window` ms.
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
