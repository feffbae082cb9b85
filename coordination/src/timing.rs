//! Times that several state machines keep to.

use crate::Ms;

/// ms. How often a state machine is ticked; a fifth of the shortest interval it keeps.
pub const TICK_INTERVAL: Ms = 50;
/// ms. Control daemons' beats to each other: five may be lost before a peer counts as gone.
pub const HEARTBEAT_INTERVAL: Ms = 200;
/// ms. Silence after which a control daemon counts as gone; above five beats, so that one slow disk sync is no death.
pub(crate) const PEER_TIMEOUT: Ms = 1_100;
/// ms. Life of a lease at most: the brief's evacuation and canary bounds are 5 s, so a lapse leaves 2 s to act.
pub(crate) const LEASE_DURATION: Ms = 3_000;
/// ms. A sync that takes longer is a disk that does not work: others take over what this daemon owns.
pub const DISK_SYNC_TIMEOUT: Ms = 1_000;
/// ms. A node whose beat has not risen for this long counts as gone; rumours need a few shuffles to cross.
pub const NODE_TIMEOUT: Ms = 2_000;
/// ms. A node gone this long is forgotten: longer than any freeze that is expected to wake again.
pub(crate) const NODE_RETENTION: Ms = 600_000;
/// ms. Replicas and the platform are asked this often.
pub const REPORT_INTERVAL: Ms = 300;
/// ms. A replica whose report is older is not used; three reports may be lost.
pub(crate) const REPORT_MAX_AGE: Ms = 1_200;
/// ms. Ramp of a cold replica from its first place to all of them.
pub const SLOW_START_DURATION: Ms = 4_000;
