//! Numbered log events. A test checks that `docs/events.md` lists all of them.

/// The severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Level {
    /// Normal operation.
    Info,
    /// Something is degraded; it recovers by itself or may need an operator.
    Warn,
    /// An operator has to act.
    Error,
}

/// A kind of log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Event {
    /// The number of the event, which is never reused for another one.
    pub number: u16,
    /// The name in log lines.
    pub name: &'static str,
    /// The severity.
    pub level: Level,
    /// What happened.
    pub meaning: &'static str,
}

macro_rules! events {
    ($($number:literal $id:ident $level:ident $meaning:literal)*) => {
        $(#[doc = $meaning] pub const $id: Event = Event { number: $number, name: stringify!($id), level: Level::$level, meaning: $meaning };)*
        /// All events, in ascending order of their numbers.
        pub const ALL: &[Event] = &[$($id),*];
    };
}

events! {
    100 STARTED Info "The process serves its ports."
    101 STOPPING Info "SIGTERM or SIGINT was received; the process drains."
    102 STOPPED Info "The process ends."
    103 SETTINGS_INVALID Error "The settings file or the flags are not valid; every error is listed."
    104 SETTINGS_RELOADED Info "Settings that changed while the process runs were read."
    105 REQUESTS_ABORTED Warn "The shutdown grace period ended with open requests; their number and when the last was accepted are logged."
    110 INVALID_FRAME Warn "A peer sent bytes that are not a valid frame; the connection was closed."
    111 CONNECTION_LOST Info "A connection to a peer ended; it is opened again when next needed."
    112 BUFFER_FULL Warn "A buffer was full; its newest message was dropped."
    200 DISK_BLANK Warn "The data folder held no state; this daemon does not vote yet."
    201 DISK_FAILED Error "A sync failed; the daemon acknowledges nothing until the disk works and its state was read again."
    202 DISK_RECOVERED Info "The disk works again and its state was read."
    203 BOOTSTRAPPED Warn "All disks were blank; the first voters were written."
    204 MEMBER_EPOCH Info "A new member epoch was adopted."
    205 VOTING Info "This daemon has caught up with the other voters and votes."
    206 VOTERS_CHANGED Warn "Daemons without a vote become voters; the new voters are listed."
    207 QUORUM_CONNECTION_LOST Warn "This daemon and a majority of the voters no longer hear each other; it can own no key."
    208 QUORUM_CONNECTED Info "This daemon and a majority of the voters hear each other again."
    210 KEY_OWNED Info "This daemon owns a key under a new epoch."
    211 OWNERSHIP_LOST Info "Another daemon owns the key under a higher epoch."
    212 LEASE_EXPIRED Warn "The lease had expired when an order was to be sent; the order was dropped."
    213 STATE_COMMITTED Info "Everything this daemon stores is known to be committed."
    220 WRITE_COMMITTED Info "A write is synced on a majority of disks."
    221 WRITE_UNKNOWN Warn "The outcome of a write could not be determined in time."
    230 REPLICA_LIST_FAILED Warn "The platform gave no list of replicas; the last one stays in use."
    231 CALLERS_ROUTED_REMOTE Warn "The directory names edges outside a region to its callers, or none; the number of serving edges by region is logged."
    232 UNREACHABLE_EDGES_LISTED Warn "The directory names edges that were not heard from for long; their number and the longest such time are logged."
    300 ROLLOUT_PHASE Info "A rollout moved to another phase."
    301 REPLICA_ORDER Info "An order was sent to a replica or the platform."
    302 REPLICA_ORDER_FAILED Warn "An order was rejected or not answered; the control loop orders the difference again."
    303 VERSION_UNHEALTHY Error "A version fails more often than the other; its traffic is cut and the rollout reverts."
    304 ROLLOUT_STUCK Error "The rollout loop has waited on the same step for too long."
    305 UNLOAD_BLOCKED Warn "An unload waits for its flag."
    306 PLAN_OVERDUE Warn "The completion time of a release plan has passed."
    307 ROLLOUT_LOOP_STALLED Warn "The rollout loop of a service has not run for too long at the daemon that should run it."
    308 REPLICA_DRAINING Info "A replica was announced to stop; it gets no new requests."
    309 STABLE_UNHEALTHY Error "The stable version fails and there is no other to fall back to; operators decide."
    310 PLAN_AT_RISK Warn "A release plan is forecast to complete after its time."
    311 CONTEXT_ROLE_ACQUIRED Info "This daemon decides where a service's popular shared context is cached."
    312 CONTEXT_PLACEMENT_CHANGED Info "Cached copies of popular shared context were placed, moved or released."
    313 CONTEXT_DISABLED Warn "Placement of popular shared context was switched off; no copy is kept any more."
    320 PLATFORM_CALL_FAILED Warn "A call to the platform under a singleton role failed or was not made; it is made again after a pause."
    321 PLATFORM_CALL_SUPERSEDED Warn "The platform refused a call, as it has seen a higher epoch; this daemon's term ends."
    322 USAGE_WINDOWS_SKIPPED Warn "Windows of usage are so old that they are not reported any more; the first and the last of them are logged."
    400 NODE_UNREACHABLE Info "A node's heartbeat no longer rises."
    401 NODE_REACHABLE Info "A node was found or came back."
    402 SERVING_RULE_CHANGED Warn "What this edge may serve changed: all versions, stable versions only, or nothing."
    403 EDGE_READY Info "Committed updates from a majority of control daemons were merged; the edge serves."
    404 STATE_REPAIRED Info "Keys were repaired from a neighbour's newer values."
    410 CLAIM_ABSTAINED Info "A claim was made on an id minted before this agent's start."
    500 REJECTED Info "A request was rejected at once, with a time to retry after."
    501 VERSION_SUSPECTED Warn "This proxy caps a version that fails here."
    502 ATTEMPT_FAILED Warn "An attempt at a replica ended without its end marker."
    503 RETRIED Info "A request that had not started anywhere was retried at a second replica."
    504 RETRY_BUDGET_EXHAUSTED Info "A retry was not made: the retry budget is spent."
    505 SLOW_START_ATTEMPT Info "The first attempt at a replica that warms up; how this proxy knows of the warm-up, its share of the replica's rate, and among how many edges, are logged."
    506 UNNOTICED_WARMUP Warn "A replica turned out to be warming up after this proxy had just sent it attempts as to a warm one; how many in the last second, how this proxy learned of it, and how current its view was are logged."
    600 RUNBOOK_STEP Info "A runbook step ended."
    601 RUNBOOK_STOPPED Error "A runbook stopped at a failed step."
}

#[cfg(test)]
mod tests;
