//! Constants of the shells, with unit and reason.

use std::time::Duration;

use coordination::Ms;

/// Messages that wait for one peer; a second of the busiest pair's traffic.
pub const CHANNEL_QUEUE_CAPACITY: usize = 512;
/// Opening a channel; a peer in the same country answers in a tenth of it.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Writing one frame; a peer that reads nothing for so long is cut off.
pub const FRAME_WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A channel that carried nothing for so long is closed by its writer, and by its reader some time after: nothing is
/// under way then, and no message is lost on it.
pub const WRITER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A channel that carried nothing for so long is closed by its reader.
pub const READER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// A writer that was quiet for so long is probed, every `KEEPALIVE_INTERVAL`, and after so many probes it is gone.
pub const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
/// Probes without an answer after which a quiet writer is gone.
pub const KEEPALIVE_RETRIES: u32 = 3;
/// Channels a process accepts at once: twice the processes of a fleet of 400, as after a cut each opens another before
/// the old one ends.
pub const MAX_CHANNELS: usize = 1_024;
/// Bytes of a JSON body: a practice's whole schedule and history fit several times.
pub const MAX_BODY_BYTES: usize = 2 << 20;
/// A whole call to an operator's, platform's or replica's short endpoint.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A whole operator call as a tool makes it; above the daemon's own limit on writes.
pub const OPERATOR_CALL_TIMEOUT: Duration = Duration::from_millis(5_000);
/// An actor's mailbox: commands that wait for the owner of a table.
pub const MAILBOX_CAPACITY: usize = 4_096;
/// Commands that may wait for the disk; far above what one round of all keys makes.
pub const DISK_QUEUE_CAPACITY: usize = 1_024;
/// ms. A failed disk is tried again this often.
pub const DISK_RETRY_INTERVAL: Ms = 1_000;
/// A daemon that asked for a key's newest version looks for it on its own board this often, so many times: two of
/// the mendings between control daemons.
pub const NEWEST_VERSION_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// So many times.
pub const MAX_NEWEST_VERSION_POLLS: u32 = 32;
/// Open calls are let end for so long when a control daemon stops; the longest write takes so long.
pub const CONTROL_STOP_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest name of a version.
pub const MAX_VERSION_BYTES: usize = 64;
/// HTTP threads of a daemon; its brain has one owner, so more would only wait for it.
pub const HTTP_WORKERS: usize = 2;
/// Longest line a replica may send, in bytes.
pub const MAX_LINE_BYTES: usize = 256 << 10;
/// ms. Opening a connection to a replica.
pub const REPLICA_CONNECT_TIMEOUT: Ms = 300;
/// ms. Counts go to the agent this often.
pub const PROXY_REPORT_INTERVAL: Ms = 200;
/// Lines that wait for a slow caller before its replica is slowed too.
pub const LINE_QUEUE_CAPACITY: usize = 32;
/// How often a call that waits for its turn looks whether that has come; a tenth of the time between two calls.
pub const PACE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// s. Longest that one step may wait.
pub const MAX_WITHIN_S: u64 = 3_600;
/// How often a condition is looked at.
pub const CONDITION_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// ms. An edge heard longer ago is out of reach.
pub const EDGE_UNREACHABLE_AFTER: u64 = 3_000;
/// An agent that was asked to stop hears by then that its proxy was too: two of the proxy's hellos.
pub const PROXY_STOP_CHECK_INTERVAL: Duration = Duration::from_millis(2 * PROXY_REPORT_INTERVAL);
/// ms. An agent ends so long before its grace does: it looks every farewell whether its proxy still speaks.
pub const AGENT_STOP_MARGIN: Ms = 1_000;
/// Bytes of a request's body that are kept so that a further round can send them again.
pub const MAX_RETAINED_BODY_BYTES: usize = 256 << 10;
/// ms. A channel to a replica that was idle for longer is not used for what may run only once: it could have been
/// dropped without notice, and opening another costs little.
pub const RUN_ONCE_MAX_IDLE: Ms = 1_000;
/// ms. A channel is dropped so long before its replica would close it: a request and a close must not cross.
pub const IDLE_CLOSE_MARGIN: Ms = 300;
/// ms. Longest that a channel is kept idle: its buffers cost more than another opening, and what may run once does
/// not use it for so long anyway.
pub const MAX_IDLE: Ms = 1_500;
/// ms. Idle channels are looked over this often.
pub const IDLE_SWEEP_INTERVAL: Ms = 1_000;
/// What was sent on a channel is acknowledged by then, or the channel is lost: a machine without power says nothing.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_800);
/// A silent channel is probed this often, so that a cut shows on streams that only come in.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// ms. Opening a channel may take this and so many times the way there and back, or what it took of late if that is
/// more: a replica that is up answers at once, and who waits for one that is gone is late.
pub const CONNECT_TIME_BASE: Ms = 150;
/// So many round trips in addition to `CONNECT_TIME_BASE`.
pub const CONNECT_ROUND_TRIPS: u64 = 2;
/// Weight of a new opening time against all before, in percent.
pub const CONNECT_TIME_WEIGHT: u64 = 25;
/// Replicas that a request may find out of reach, or another in their place, before it is rejected.
pub const MAX_UNREACHED_REPLICAS: u32 = 3;
/// Bytes of a channel's buffers; heads are a hundredth of it.
pub const CONNECTION_BUFFER_BYTES: usize = 64 << 10;
/// ms. An answer that has begun is ended so long after its time: its replica stops at the very end by itself.
pub const LATE_RESPONSE_SLACK: Ms = 100;
/// Bytes of a rejection that are read so that its channel can be used on; more, and it is closed.
pub const MAX_REJECTION_BYTES: u64 = 16 << 10;
/// ms. A downstream's channel that is idle for longer is closed, where the spec does not say.
pub const CLIENT_IDLE_TIMEOUT: Ms = 20_000;
/// ms. A downstream's head comes by then, where the spec does not say.
pub const CLIENT_HEAD_TIMEOUT: Ms = 20_000;
/// ms. Downstreams' channels are looked over this often: with the slack of an answer that is late it stays below the
/// quarter of a second that users grant.
pub const CLIENT_CHECK_INTERVAL: Ms = 100;
/// ms. A look at downstreams' channels that comes so late was kept from running: what they sent meanwhile is still to
/// be read.
pub const CLIENT_CHECK_SUSPENDED: Ms = 5 * CLIENT_CHECK_INTERVAL;
/// ms. A look that comes so long after the one before was late by a quarter: timers of requests that were due since
/// have had no turn either.
pub const CLIENT_CHECK_LATE: Ms = CLIENT_CHECK_INTERVAL * 5 / 4;
/// Parts of its longest rest, of five, after which a downstream still takes its channel up.
pub const CLIENT_REUSE_FIFTHS: Ms = 4;
/// What a stopping proxy said last is given so long to go out: a few turns of its own.
pub const STOP_FLUSH_TIME: Duration = Duration::from_millis(100);
/// How often a stopping proxy looks whether anything is open.
pub const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// ms. A request that no lane takes is read for so long: as long as its head may take where the spec does not say.
pub const NO_LANE_TIMEOUT: Ms = CLIENT_HEAD_TIMEOUT;
/// ms. What a stopping proxy tells those who come too late: another edge takes them at once.
pub const STOP_RETRY_AFTER: Ms = 50;
/// New connections that wait to be taken; a burst of all downstreams.
pub const LISTEN_BACKLOG: i32 = 1_024;
/// ms. A request that comes before a proxy may serve waits so long for it: a sixth of the shortest time within which
/// users want an answer to begin.
pub const STARTUP_WAIT: Ms = 100;
/// How often it looks.
pub const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
