//! Tier pressure: when a request finds no free slot, less urgent tiers lose some of their slots for a while.

use std::collections::BTreeMap;

use super::Proxy;
use crate::{Ms, policy::Mechanism};

/// Percentage of a replica's slots that less urgent tiers lose each time a request finds no free slot.
const PRESSURE_STEP_PERCENT: u32 = 5;
/// Maximum percentage of slots lost: all of them.
const PRESSURE_MAX_PERCENT: u32 = 100;
/// Percentage points of slots regained per second.
const PRESSURE_DECAY_PERCENT_PER_SECOND: u64 = 20;

/// Percentage of each replica's slots withheld from less urgent tiers at the time of the last raise.
#[derive(Clone, Copy, Debug)]
struct RaisedPressure {
    percent: u32,
    raised_at: Ms,
}

impl RaisedPressure {
    fn percent_at(&self, now: Ms) -> u32 {
        let decayed =
            now.saturating_sub(self.raised_at) * PRESSURE_DECAY_PERCENT_PER_SECOND / 1_000;
        self.percent.saturating_sub(decayed as u32)
    }
}

/// Pressure of each rank on less urgent ranks.
#[derive(Clone, Debug, Default)]
pub(super) struct TierPressure {
    by_rank: BTreeMap<u32, RaisedPressure>,
}

impl TierPressure {
    /// Returns the percentage of each replica's slots that a rank must leave to more urgent ones.
    fn percent(&self, rank: u32, now: Ms) -> u32 {
        self.by_rank
            .range(..rank)
            .map(|(_, pressure)| pressure.percent_at(now))
            .max()
            .unwrap_or(0)
    }

    fn set(&mut self, rank: u32, percent: u32, now: Ms) {
        let pressure = RaisedPressure {
            percent,
            raised_at: now,
        };
        self.by_rank.insert(rank, pressure);
    }
}

impl Proxy {
    /// Returns the percentage of each replica's slots that a rank must leave to more urgent ones; 0 if tier pressure is
    /// disabled.
    pub(super) fn tier_pressure_percent(&self, rank: u32, now: Ms) -> u32 {
        if self.is_enabled(Mechanism::TierPressure) {
            self.tier_pressure.percent(rank, now)
        } else {
            0
        }
    }

    /// Raises the pressure on less urgent tiers after a request of this rank found no free slot.
    pub(super) fn raise_tier_pressure(&mut self, rank: u32, now: Ms) {
        let percent = self.tier_pressure_percent(rank + 1, now) + PRESSURE_STEP_PERCENT;
        self.tier_pressure
            .set(rank, percent.min(PRESSURE_MAX_PERCENT), now);
    }
}
