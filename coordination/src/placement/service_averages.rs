//! Averages over the replicas of one service, used for replicas about which too little is known.

use super::replica_view::FIRST_CHUNK_LAG_MAX_MS;

/// Weight of one replica's newest load or lag in the average of its service: some twenty of the last ones count.
const AVERAGE_WEIGHT: f64 = 0.05;

/// Running averages over the replicas of a service, as one proxy sees them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceAverages {
    /// Requests that run or wait on one replica, by the replicas' latest responses.
    pub load: f64,
    /// ms by which first chunks arrive later than expected.
    pub first_chunk_lag_ms: f64,
}

impl ServiceAverages {
    /// Takes in the load that a replica's response reported.
    pub fn record_load(&mut self, running_and_waiting: u32) {
        self.load += (f64::from(running_and_waiting) - self.load) * AVERAGE_WEIGHT;
    }

    /// Takes in how much later than expected a first chunk arrived.
    pub fn record_first_chunk_lag(&mut self, late_ms: f64) {
        self.first_chunk_lag_ms +=
            (late_ms.clamp(0.0, FIRST_CHUNK_LAG_MAX_MS) - self.first_chunk_lag_ms) * AVERAGE_WEIGHT;
    }
}
