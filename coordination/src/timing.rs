//! Times that several state machines keep to.

use crate::Ms;

/// ms. How often a state machine is ticked; a fifth of the shortest interval it keeps.
pub const TICK_INTERVAL: Ms = 50;
/// ms. Control daemons' heartbeats to each other: five may be lost before a peer counts as gone.
pub const HEARTBEAT_INTERVAL: Ms = 200;
/// ms. A control daemon that was not heard from for so long is unreachable; above five heartbeats, so that one slow disk
/// sync is no failure.
pub(crate) const PEER_TIMEOUT: Ms = 1_100;
/// ms. The longest that a lease lasts: the brief's evacuation and canary bounds are 5 s, so an expiry leaves 2 s to act.
pub(crate) const LEASE_DURATION: Ms = 3_000;
/// ms. A sync that takes longer is a disk that does not work: others take over what this daemon owns.
pub const DISK_SYNC_TIMEOUT: Ms = 1_000;
/// ms. A node whose heartbeat has not risen for this long is unreachable; rumours need a few shuffles to cross.
pub const NODE_TIMEOUT: Ms = 2_000;
/// ms. A node that is unreachable for so long is forgotten: longer than any suspension that is expected to end.
pub(crate) const NODE_RETENTION: Ms = 600_000;
/// ms. Replicas and the platform are asked this often.
pub const REPORT_INTERVAL: Ms = 300;
/// ms. A replica whose report is older is not used; three reports may be lost.
pub(crate) const REPORT_MAX_AGE: Ms = 1_200;
/// ms. A replica that is warming up gets from one slot to all of them in this time.
pub const SLOW_START_DURATION: Ms = 4_000;
