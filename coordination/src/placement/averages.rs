//! What the replicas of one service are like on the whole, for those of which too little is known.

use super::site::LAG_MOST;

/// Weight of one replica's newest load or lag in the average of its service: some twenty of the last count.
const MEAN_WEIGHT: f64 = 0.05;

/// Running averages over the replicas of a service, as one proxy sees them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Averages {
    /// Requests that a replica runs and waits for, over what they lately told.
    pub load: f64,
    /// ms by which first pieces come later than expected.
    pub lag: f64,
}

impl Averages {
    pub fn saw_load(&mut self, running_and_waiting: u32) {
        self.load += (f64::from(running_and_waiting) - self.load) * MEAN_WEIGHT;
    }
    pub fn saw_lag(&mut self, late_ms: f64) {
        self.lag += (late_ms.clamp(0.0, LAG_MOST) - self.lag) * MEAN_WEIGHT;
    }
}
