//! Intervals and timeouts shared by several state machines.

use crate::Ms;

/// Interval between ticks of a state machine, in ms: a fifth of the shortest interval that it times.
pub const TICK_INTERVAL: Ms = 50;
/// Interval between heartbeats of control daemons, in ms. Five may be lost before a peer counts as unreachable.
pub const HEARTBEAT_INTERVAL: Ms = 200;
/// Time without a heartbeat after which a control daemon is unreachable, in ms. It is longer than five heartbeats, so
/// that one slow disk sync does not count as a failure.
pub(crate) const PEER_TIMEOUT: Ms = 1_100;
/// Longest duration of a lease, in ms. Evacuation and rollback are bounded by 5 s, so 2 s remain after an expiry.
pub(crate) const LEASE_DURATION: Ms = 3_000;
/// Longest duration of a disk sync, in ms. After that the disk counts as failed, and other daemons take over the keys
/// that this daemon owns.
pub const DISK_SYNC_TIMEOUT: Ms = 1_000;
/// Time without a new heartbeat after which a node is unreachable, in ms. Gossip needs a few rounds to reach all nodes.
pub const NODE_TIMEOUT: Ms = 2_000;
/// Time after which an unreachable node is removed, in ms: longer than any suspension that is expected to end.
pub(crate) const NODE_RETENTION: Ms = 600_000;
/// Interval between polls of the replicas and of the platform, in ms.
pub const REPORT_INTERVAL: Ms = 300;
/// Age of a replica's load report beyond which the replica is not used, in ms. Three reports may be lost.
pub(crate) const REPORT_MAX_AGE: Ms = 1_200;
/// Time in which slow start raises a replica's usable slots from one to all, in ms.
pub const SLOW_START_DURATION: Ms = 4_000;
