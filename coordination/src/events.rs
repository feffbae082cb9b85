//! Numbered log events. `docs/events.md` is the catalogue; a test keeps the two equal.

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Level {
    Info,
    Warn,
    Error,
}

/// Number, name and level of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Event {
    pub number: u16,
    pub name: &'static str,
    pub level: Level,
    pub meaning: &'static str,
}

macro_rules! events {
    ($($number:literal $id:ident $level:ident $meaning:literal)*) => {
        $(pub const $id: Event = Event { number: $number, name: stringify!($id), level: Level::$level, meaning: $meaning };)*
        /// All events, by number.
        pub const ALL: &[Event] = &[$($id),*];
    };
}

events! {
    100 STARTED Info "The process serves its ports."
    101 STOPPING Info "SIGTERM or SIGINT came; open streams are let end."
    102 STOPPED Info "The process ends."
    103 PARAMS_BAD Error "The params file or flags are not valid; every fault is named."
    104 PARAMS_READ Info "Params that changed while the process runs were read."
    105 REQUESTS_CUT Warn "The grace after SIGTERM is over while requests are open; how many, and when the last was taken, is told."
    110 CHANNEL_BAD_FRAME Warn "A peer sent bytes that are no frame; the channel was closed."
    111 CHANNEL_LOST Info "A channel to a peer ended; it is opened again when next needed."
    112 BUFFER_FULL Warn "A buffer was full; its newest message was dropped."
    200 DISK_BLANK Warn "The data folder held no state; this daemon does not vote yet."
    201 DISK_FAILED Error "A sync failed; the daemon confirms nothing until the disk works and it has read it again."
    202 DISK_BACK Info "The disk works again and its state was read."
    203 GENESIS Warn "All disks were blank; the first voters were written."
    204 MEMBERS Info "A new member epoch is followed."
    205 VOTING Info "This daemon has caught up from all other voters and votes."
    206 PLACE_GIVEN Warn "Daemons without a vote are given places of voters; the new voters are named."
    210 OWNER Info "This daemon owns a key under a new epoch."
    211 DEPOSED Info "Another daemon owns the key under a higher epoch."
    212 LEASE_LAPSED Warn "A duty's lease had run out when an order was to go; the order was dropped."
    213 SETTLED Info "Everything this daemon holds is known to be committed."
    220 ACCEPTED Info "A write is synced on a majority of disks."
    221 WRITE_UNKNOWN Warn "A write's outcome could not be known in time."
    230 LIST_FAILED Warn "The platform gave no list of replicas; the last one stands."
    231 CALLERS_SENT_FAR Warn "The directory names edges beyond a region to its callers, or none; how many serve in each region is told."
    232 SILENT_EDGES_NAMED Warn "The directory names edges that were not heard of for long; how many, and the longest silence, is told."
    300 PHASE Info "A rollout moved to another phase."
    301 ORDER Info "An order went to a replica or the platform."
    302 ORDER_FAILED Warn "An order was rejected or not answered; the loop orders the difference again."
    303 BAD_VERSION Error "A version fails more than the other; its traffic is cut and the rollout reverts."
    304 STUCK Error "The rollout loop waits on the same step for too long."
    305 UNLOAD_WAITS Warn "An unload waits for its flag."
    306 PLAN_LATE Warn "A release plan's completion time has passed."
    307 LOOP_RESTS Warn "The rollout loop of a service has not run for too long at the daemon that should run it."
    308 LEAVING Info "A replica was warned; it gets no new work."
    309 STABLE_FAILS Error "The version that stands fails and nothing is there to turn to; operators decide."
    310 PLAN_AT_RISK Warn "A release plan is forecast to be completed after its time."
    311 CONTEXT_DUTY Info "This daemon decides where copies of a service's popular shared context stand."
    312 CONTEXT_MOVED Info "Copies of popular shared context were made, moved or given back."
    313 CONTEXT_OFF Warn "Copies of popular shared context were switched off; none stands any more."
    400 NODE_GONE Info "A node's beat no longer rises."
    401 NODE_FOUND Info "A node was found or came back."
    402 RULE Warn "What this edge may do changed: all, stable versions only, or nothing."
    403 STARTER_READY Info "Settled frames of a majority were merged; the edge serves."
    404 MENDED Info "Keys were mended from a neighbour's newer copy."
    410 CLAIM_ABSTAINED Info "A claim was made on an id minted before this agent's start."
    500 REJECTED Info "A request was rejected at once, with when to come back."
    501 SUSPECT Warn "This proxy caps a version whose failures show."
    502 ROUND_FAILED Warn "A round to a replica ended without its end mark."
    503 SECOND_ROUND Info "A request that had not started anywhere went to a second replica."
    504 NO_BUDGET Info "A second round was not made: the budget is spent."
    600 RUNBOOK_STEP Info "A runbook step ended."
    601 RUNBOOK_STOPPED Error "A runbook stopped at a failed step."
}

#[cfg(test)]
mod tests;
