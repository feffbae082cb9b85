//! Constants of the shells, with unit and reason.

use std::time::Duration;

/// Messages that wait for one peer; a second of the busiest pair's traffic.
pub const CHANNEL_BUFFER: usize = 512;
/// Opening a channel; a peer in the same country answers in a tenth of it.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Writing one frame; a peer that reads nothing for so long is cut off.
pub const WRITE_LIMIT: Duration = Duration::from_millis(1_000);
/// A channel that carried nothing for so long is closed by its reader: its machine may be gone.
pub const IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Channels a process accepts at once: several times a fleet's processes.
pub const CHANNELS: usize = 256;
/// Bytes of a JSON body: a practice's whole schedule and history fit several times.
pub const BODY_MAX: usize = 2 << 20;
/// A whole call to an operator's, platform's or replica's short endpoint.
pub const CALL_LIMIT: Duration = Duration::from_millis(1_000);
/// A whole operator call as a tool makes it; above the daemon's own limit on writes.
pub const OPERATOR_LIMIT: Duration = Duration::from_millis(5_000);
/// Open streams are let end for so long after SIGTERM; the longest lane's time and a little more.
pub const STOP_LIMIT: Duration = Duration::from_secs(27);
/// An actor's mailbox: commands that wait for the owner of a table.
pub const MAILBOX: usize = 4_096;
