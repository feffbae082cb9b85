//! Time-outs, intervals and size limits of the daemons and tools.

use std::time::Duration;

use coordination::Ms;

/// Messages queued for one peer: one second of the busiest pair's traffic.
pub const CHANNEL_QUEUE_CAPACITY: usize = 512;
/// Time-out for opening a channel; a peer in the same country answers in a tenth of it.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time-out for writing or reading one frame; a peer that reads nothing for this long is disconnected.
pub const FRAME_WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle time after which the writer closes a channel. The reader closes it only some time later, so that no message is
/// in flight on the channel then and none is lost.
pub const WRITER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle time after which the reader closes a channel.
pub const READER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Idle time after which the peer of a channel is probed, every `KEEPALIVE_INTERVAL`; after `KEEPALIVE_RETRIES`
/// unanswered probes the channel is closed.
pub const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
/// Unanswered keepalive probes after which a channel is closed.
pub const KEEPALIVE_RETRIES: u32 = 3;
/// Maximum number of incoming channels: twice the processes of a fleet of 400, because after a network partition each
/// process opens another channel before the old one ends.
pub const MAX_CHANNELS: usize = 1_024;
/// Maximum size of a JSON body, in bytes: several times a practice's whole schedule and history.
pub const MAX_BODY_BYTES: usize = 2 << 20;
/// Time-out for a whole call to a short endpoint of an operator, the platform or a replica.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time-out for a whole operator call by a tool; longer than the daemon's own time-out for writes.
pub const OPERATOR_CALL_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Capacity of an actor's mailbox: commands queued for the owner of a table.
pub const MAILBOX_CAPACITY: usize = 4_096;
/// Commands that may be queued for the disk; far more than one round over all keys creates.
pub const DISK_QUEUE_CAPACITY: usize = 1_024;
/// Interval between attempts to use a failed disk, in ms.
pub const DISK_RETRY_INTERVAL: Ms = 1_000;
/// Interval at which a daemon that requested a key's newest version checks its own state table for it. With
/// `MAX_NEWEST_VERSION_POLLS` checks it waits for two repair intervals between control daemons.
pub const NEWEST_VERSION_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Number of checks at `NEWEST_VERSION_POLL_INTERVAL`.
pub const MAX_NEWEST_VERSION_POLLS: u32 = 32;
/// Time that a stopping control daemon allows calls in flight to complete; the longest write takes this long.
pub const CONTROL_STOP_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum length of a version name, in bytes.
pub const MAX_VERSION_BYTES: usize = 64;
/// HTTP threads of a daemon; its state has a single owner, for which more threads would only wait.
pub const HTTP_WORKERS: usize = 2;
/// Maximum length of a line from a replica, in bytes.
pub const MAX_LINE_BYTES: usize = 256 << 10;
/// Time-out for opening a connection to a replica, in ms.
pub const REPLICA_CONNECT_TIMEOUT: Ms = 300;
/// Interval between a proxy's reports of counters to its agent, in ms.
pub const PROXY_REPORT_INTERVAL: Ms = 200;
/// Lines queued for a slow client before backpressure slows the replica too.
pub const LINE_QUEUE_CAPACITY: usize = 32;
/// Interval at which a paced call checks whether it may proceed; a tenth of the time between two calls.
pub const PACE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum time limit of one step, in s.
pub const MAX_WITHIN_S: u64 = 3_600;
/// Interval at which a condition is checked.
pub const CONDITION_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a heartbeat after which an edge counts as unreachable, in ms.
pub const EDGE_UNREACHABLE_AFTER: u64 = 3_000;
/// Time after a stop request by which an agent knows whether its proxy stops too, and interval at which it then checks
/// the proxy: two of the proxy's report intervals.
pub const PROXY_STOP_CHECK_INTERVAL: Duration = Duration::from_millis(2 * PROXY_REPORT_INTERVAL);
/// Time before the end of its grace period at which an agent stops, in ms. Every `PROXY_STOP_CHECK_INTERVAL` it checks
/// whether its proxy still sends reports.
pub const AGENT_STOP_MARGIN: Ms = 1_000;
/// Bytes of a request body that are retained so that a further attempt can send them again.
pub const MAX_RETAINED_BODY_BYTES: usize = 256 << 10;
/// Maximum idle time of a replica connection that is used for run-once requests, in ms: after a longer time it could
/// have been dropped without notice, and opening another costs little.
pub const RUN_ONCE_MAX_IDLE: Ms = 1_000;
/// Time before the replica's keep-alive time-out at which a connection is dropped, in ms: a request and a close must
/// not cross.
pub const IDLE_CLOSE_MARGIN: Ms = 300;
/// Maximum time that an idle connection is kept, in ms: its buffers cost more than opening another, and run-once
/// requests do not use a connection that was idle for this long.
pub const MAX_IDLE: Ms = 1_500;
/// Interval between sweeps over idle connections, in ms.
pub const IDLE_SWEEP_INTERVAL: Ms = 1_000;
/// Time within which sent data must be acknowledged before the connection is lost: a machine without power does not
/// close its connections.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Interval between probes of a silent connection, so that a network partition is detected on streams that only
/// receive.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Base of the time-out for opening a replica connection, in ms. The time-out is the base plus `CONNECT_ROUND_TRIPS`
/// round trips, or the recent opening time if that is longer: a live replica answers at once, and waiting for a dead
/// one delays the request.
pub const CONNECT_TIME_BASE: Ms = 150;
/// Number of round trips in addition to `CONNECT_TIME_BASE`.
pub const CONNECT_ROUND_TRIPS: u64 = 2;
/// Weight of a new opening time in the moving average, in percent.
pub const CONNECT_TIME_WEIGHT: u64 = 25;
/// Number of replicas that a request may find unreachable, or replaced by another, before it is rejected.
pub const MAX_UNREACHED_REPLICAS: u32 = 3;
/// Buffer size of a connection, in bytes; heads are a hundredth of it.
pub const CONNECTION_BUFFER_BYTES: usize = 64 << 10;
/// Time after its deadline at which a started response is aborted, in ms: the replica stops by itself at the deadline.
pub const LATE_RESPONSE_SLACK: Ms = 100;
/// Bytes of a rejection that are read so that its connection can be reused; a connection with more is closed.
pub const MAX_REJECTION_BYTES: u64 = 16 << 10;
/// Idle time after which a client connection is closed, in ms, if the spec has no value.
pub const CLIENT_IDLE_TIMEOUT: Ms = 20_000;
/// Time-out for receiving a client's request head, in ms, if the spec has no value.
pub const CLIENT_HEAD_TIMEOUT: Ms = 20_000;
/// Maximum size of a request head, in bytes, if the spec has no value.
pub const MAX_HEAD_BYTES: usize = 32 << 10;
/// Time for which a connection stays open after a response to a body that is still being sent, in ms.
pub const CLIENT_DISCARD_TIME: Ms = 1_000;
/// Maximum size of the head of a call to a control daemon, in bytes.
pub const MAX_CALL_HEAD_BYTES: u64 = 16 << 10;
/// Time-out for receiving the first head on a connection to a control daemon.
pub const CALL_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a control daemon keeps an idle connection.
pub const CALL_KEEP_ALIVE: Duration = Duration::from_secs(5);
/// Time-out for receiving the body of a call that has no deadline of its own.
pub const CALL_BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Retry time that is returned to a request for which there is no memory, in ms: a client that stopped sending holds
/// memory no longer than twice that.
pub const NO_MEMORY_RETRY_AFTER: Ms = 500;
/// Size of the kernel's receive buffer of a client connection, in bytes: what it holds is the process's memory too.
pub const CLIENT_RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Interval between checks of client connections, in ms: with `LATE_RESPONSE_SLACK` it stays below the quarter of a
/// second that users allow.
pub const CLIENT_CHECK_INTERVAL: Ms = 100;
/// Time between two checks of client connections above which the process was suspended, in ms: data that clients sent
/// meanwhile is still unread.
pub const CLIENT_CHECK_SUSPENDED: Ms = 5 * CLIENT_CHECK_INTERVAL;
/// Time between two checks of client connections above which a check is late, in ms, by a quarter of the interval:
/// request timers that became due since then have not run either.
pub const CLIENT_CHECK_LATE: Ms = CLIENT_CHECK_INTERVAL * 5 / 4;
/// Fifths of its longest idle time after which a client may still reuse its connection.
pub const CLIENT_REUSE_FIFTHS: Ms = 4;
/// Time for the last messages of a stopping proxy to be sent: a few rounds of its event loop.
pub const STOP_FLUSH_TIME: Duration = Duration::from_millis(100);
/// Interval at which a stopping proxy checks for open connections.
pub const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time-out for reading a request that matches no lane, in ms: as long as its head may take if the spec has no value.
pub const NO_LANE_TIMEOUT: Ms = CLIENT_HEAD_TIMEOUT;
/// Retry time that a stopping proxy returns for new requests, in ms: another edge accepts them at once.
pub const STOP_RETRY_AFTER: Ms = 50;
/// Backlog of unaccepted connections: a burst of all clients.
pub const LISTEN_BACKLOG: i32 = 1_024;
/// Time that a request waits for a proxy that may not serve yet, in ms: a sixth of the shortest time to the first chunk
/// that users require.
pub const STARTUP_WAIT: Ms = 100;
/// Interval at which such a request checks whether the proxy may serve.
pub const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
