//! Assignment of an attempt to a replica, and the outcome class in which the attempt is counted.

use remote_calls::{Fault, GroupRole};

use crate::{Ms, placement::SlowStartAttempt};

/// Age above which an assignment is renewed before the replica is called: the process must have been suspended, and
/// leases may have expired.
const ASSIGNMENT_MAX_AGE: Ms = 300;

/// Assignment of an attempt to a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Service of the request.
    pub service: String,
    /// Lane of the request.
    pub lane: String,
    /// Version that the replica serves.
    pub version: String,
    /// Id of the replica.
    pub replica: String,
    /// IP:port of the replica.
    pub addr: String,
    /// Role of the replica's group in the rollout.
    pub role: GroupRole,
    /// Whether the prompt's prefix is assumed to be in the replica's prefix cache.
    pub cached: bool,
    /// When the assignment was made.
    pub assigned_at: Ms,
    /// Number of the attempt if the request is routed by host and path, otherwise 0.
    pub attempt: u64,
    /// Set if this is the proxy's first attempt at a replica that warms up.
    pub slow_start: Option<SlowStartAttempt>,
}

impl Assignment {
    /// Returns whether the assignment is so old that the process must have been suspended in the meantime.
    pub fn is_stale(&self, now: Ms) -> bool {
        now.saturating_sub(self.assigned_at) > ASSIGNMENT_MAX_AGE
    }
}

/// Class in which the outcome of an attempt is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeClass {
    /// Succeeded in time.
    Succeeded,
    /// Took much longer than the lane's expected time.
    Slow,
    /// Failed because of the replica or its version.
    Failed,
    /// The client disconnected; does not count for or against the version.
    ClientGone,
    /// The replica did not run the request, for example because it had no free slot.
    NotRun,
}

/// Result of the attempt to assign a replica to a request.
#[derive(Clone, Debug)]
pub enum Admission {
    /// A replica is assigned.
    Assigned(Assignment),
    /// All slots are in use; the request may wait for one if the queue is not full.
    NoFreeSlot,
    /// The request is rejected with this fault.
    Rejected(Fault),
}
