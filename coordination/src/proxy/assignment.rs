//! Where an attempt goes, and how it is counted once it is over.

use remote_calls::{Fault, GroupRole};

use crate::Ms;

/// An assignment older than this is made again before a call: the process was suspended, leases may have lapsed.
const ASSIGNMENT_MAX_AGE: Ms = 300;

/// The replica to which an attempt goes.
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
    /// The prompt's prefix is assumed to be in the replica's cache.
    pub cached: bool,
    /// When it was made.
    pub assigned_at: Ms,
    /// Number of an attempt that came by host and path; 0 for others.
    pub attempt: u64,
}

impl Assignment {
    /// Whether it was made so long ago that the process must have been suspended since.
    pub fn is_stale(&self, now: Ms) -> bool {
        now.saturating_sub(self.assigned_at) > ASSIGNMENT_MAX_AGE
    }
}

/// The class in which an attempt is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeClass {
    /// It succeeded in time.
    Succeeded,
    /// Slower than the lane's expected time by far.
    Slow,
    /// The replica or its version is at fault.
    Failed,
    /// The client went away: this says nothing about the version.
    ClientGone,
    /// The replica ran nothing, for example because it had no free slot.
    NotRun,
}

/// The answer to a request that wants to be assigned.
#[derive(Clone, Debug)]
pub enum Admission {
    /// A replica is assigned.
    Assigned(Assignment),
    /// Every slot is taken; the request may wait for one if the queue has room.
    NoFreeSlot,
    /// It is rejected at once, with this fault.
    Rejected(Fault),
}
