//! Averages over the replicas of one service, used for replicas with too little data of their own.

use super::replica_view::FIRST_CHUNK_LAG_MAX_MS;

/// Weight of one replica's newest load or lag in the average of its service, which covers about the last twenty values.
const AVERAGE_WEIGHT: f64 = 0.05;

/// Moving averages over the replicas of a service, as seen by one proxy.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceAverages {
    /// Running and waiting requests per replica, according to the replicas' latest responses.
    pub load: f64,
    /// Delay of first chunks relative to the expected time, in ms.
    pub first_chunk_lag_ms: f64,
}

impl ServiceAverages {
    /// Records the load that a replica's response reported.
    pub fn record_load(&mut self, running_and_waiting: u32) {
        self.load += (f64::from(running_and_waiting) - self.load) * AVERAGE_WEIGHT;
    }

    /// Records how much later than expected a first chunk arrived.
    pub fn record_first_chunk_lag(&mut self, late_ms: f64) {
        self.first_chunk_lag_ms +=
            (late_ms.clamp(0.0, FIRST_CHUNK_LAG_MAX_MS) - self.first_chunk_lag_ms) * AVERAGE_WEIGHT;
    }
}
