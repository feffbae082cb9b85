//! Every message, written once: a struct each and one tagged enum over them.

use binrw::binrw;

use crate::{Blob, List, Name, Varint};

/// Parts that stand inside messages. Numbers `as Varint` are small most of the time.
macro_rules! parts {
    ($($(#[$d:meta])* $n:ident { $($f:ident: $t:ty $(as $how:ident)?),* $(,)? })*) => { $(
        $(#[$d])*
        #[binrw]
        #[brw(big)]
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct $n { $($(#[br(map = |v: $how| v.0)] #[bw(map = |n: &$t| $how(*n))])? pub $f: $t),* }
    )* };
}

/// Messages: the parts above plus a tag in `Message`.
macro_rules! messages {
    ($($(#[$d:meta])* $tag:literal $n:ident { $($f:ident: $t:ty $(as $how:ident)?),* $(,)? })*) => {
        parts! { $($(#[$d])* $n { $($f: $t $(as $how)?),* })* }
        /// All that one process may say to another.
        #[binrw]
        #[brw(big)]
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub enum Message { $(#[brw(magic($tag))] $n($n)),* }
        impl Message {
            pub fn name(&self) -> &'static str {
                match self { $(Message::$n(_) => stringify!($n)),* }
            }
        }
        $(impl From<$n> for Message { fn from(m: $n) -> Message { Message::$n(m) } })*
    };
}

parts! {
    /// One process as the others know it; `beat` rises while it lives, `born` tells its lives apart. `age`: how long ago
    /// that beat was, in hundredths of a second, carried along wherever it is passed on.
    Node { name: Name, role: u8, zone: Name, addr: Name, http_addr: Name, incarnation: u64, heartbeat: u32, heartbeat_age: u16 }
    /// A beat of a node whose description has this digest.
    NodeHeartbeat { node_digest: u32, heartbeat: u32, heartbeat_age: u16 }
    /// A committed value of a key. `epoch` orders owners, `version` orders values.
    Change { key: Name, epoch: u64, version: u64, value: Blob }
    /// A value that was accepted and then replaced: the release that it told, if it told one, and its digest.
    ReplacedValue { release: u64 as Varint, digest: u128 }
    /// A voter's whole knowledge of a key. `past`: the accepted values that this one replaced, newest last.
    Slot { key: Name, promised_epoch: u64, accepted_epoch: u64, version: u64, committed_version: u64, value: Blob, replaced: List<ReplacedValue> }
    /// What a duty holder lets an edge do for a while: the record it may follow and the canary's share.
    Lease { service: Name, epoch: u64, record_version: u64, canary_share_percent: u32, ttl_ms: u32 }
    /// A lease as an agent hands it to its proxy: both read the same machine's clock, so it ends at `until`.
    ProxyLease { lease: Lease, expires_at: u64 }
    /// A digest over the keys whose hash falls into one range.
    RangeDigest { index: u16, digest: u64 }
    /// Cumulative counts since the proxy's start; `new_` ones are of its last half minute, for a daemon that
    /// hears this proxy for the first time. `firsts`: first pieces, `first_log`: the sum of their times' logarithms;
    /// `failed_on`: bits of the replicas that failed.
    OutcomeCounters { service: Name, version: Name, lane: Name, cached: u8, group: u8, sent: u64 as Varint, succeeded: u64 as Varint, failed: u64 as Varint, slow: u64 as Varint, first_chunks: u64 as Varint, first_chunk_log_sum: u64 as Varint, failed_replicas: u64 as Varint, recent_ended: u64 as Varint, recent_failed: u64 as Varint, recent_slow: u64 as Varint }
    /// Streams a proxy still has open on a replica's version.
    OpenStreams { replica: Name, version: Name, streams: u32 }
    /// A voter: its name, its disk, where it answers and stands, and the member epoch since which it has its place.
    Voter { name: Name, disk_id: u64, addr: Name, zone: Name, since_epoch: u32 }
    /// A long prompt that a proxy sent to a replica: the number of the replica's life, ms that reading it takes there,
    /// and the prompt's shared parts.
    Prefill { replica_number: u64, duration_ms: u32, blocks: List<u64> }
    /// A shared chain that is often asked for: for which version of weights and homes, its size, how often in a decaying
    /// window and by how much that may be too high, and how often it was taken for ready and was not; in parts of one ask.
    ChainDemand { weights_version: u64, homes_digest: u64, chain: u64, tokens: u32, requests: u32, overcount: u32, cache_misses: u32 }
    /// A key that a duty holder keeps, or a voter lets it keep.
    OwnedKey { key: Name, epoch: u64 }
}

/// How a control daemon stands to the voters.
#[binrw]
#[brw(repr = u8)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PeerState {
    /// It votes.
    #[default]
    Voter,
    /// Its disk is blank.
    Blank,
    /// It has a place among the voters and has not caught up.
    CatchingUp,
    /// It is about to stop.
    Stopping,
    /// Its disk is blank and it takes part in founding the system.
    Bootstrapping,
    /// It has no place among the voters: an empty machine that has just come.
    Joiner,
    /// It has no place among the voters and follows what is committed.
    Learner,
}

/// What a forwarded write's `expect` is compared with.
#[binrw]
#[brw(repr = u8)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Precondition {
    /// The version that stands.
    #[default]
    Version,
    /// The version that stood when the order was given; a value that stands already is accepted under any version.
    UnchangedSince,
    /// The release of the document that stands.
    Release,
    /// Nothing, and nothing is written: the newest version is asked for.
    Read,
}

/// What became of a forwarded write or reading.
#[binrw]
#[brw(repr = u8)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ForwardOutcome {
    #[default]
    Accepted,
    Conflict,
    NotAccepted,
    Unknown,
    /// Not accepted, as the daemon is not the key's owner.
    NotOwner,
    /// Offered to disks as the version told, by an owner that then lost the key.
    Deposed,
}

messages! {
    /// Liveness between control daemons; also what each has committed, so that a missed commit is mended.
    1u8 Heartbeat { member_epoch: u32, disk_id: u64, zone: Name, state: PeerState, committed_digest: u64 }
    2u8 Prepare { key: Name, epoch: u64, member_epoch: u32 }
    3u8 Promise { epoch: u64, member_epoch: u32, granted: u8, retry_after_ms: u32, slot: Slot }
    4u8 Accept { key: Name, epoch: u64, version: u64, value: Blob, replaced: List<ReplacedValue>, member_epoch: u32 }
    5u8 Accepted { key: Name, epoch: u64, version: u64, promised_epoch: u64, member_epoch: u32, accepted: u8 }
    6u8 Commit { change: Change, replaced: List<ReplacedValue> }
    7u8 RenewLeases { keys: List<OwnedKey>, sent_at: u64, member_epoch: u32 }
    8u8 LeasesRenewed { keys: List<OwnedKey>, request_sent_at: u64, member_epoch: u32 }
    /// A write or a reading on its way to the key's owner. `expect` is compared as `compare` says.
    9u8 ForwardRequest { token: u64, key: Name, expected: u64, precondition: Precondition, value: Blob }
    10u8 ForwardReply { token: u64, outcome: ForwardOutcome, version: u64, reason: Name }
    /// The first voters, offered once while every disk is blank.
    11u8 Bootstrap { voters: List<Voter> }
    /// A starter or newcomer asks for the slots in which a voter differs from what it has, without their values.
    14u8 SlotsRequest { member_epoch: u32, known: List<Slot> }
    /// `voting`: 1: the sender votes under member epoch `member_epoch`, whose voters these are; 2: it voted until then and has
    /// no place any more. `before`: how many voters there were under the one before.
    15u8 SlotsReply { member_epoch: u32, voting: u8, previous_voter_count: u32, voters: List<Voter>, slots: List<Slot> }
    /// A holder gives up its duties: voters need not wait its leases out.
    16u8 ReleaseLeases { keys: List<OwnedKey> }
    /// An agent asks for news. `life`: of the proxy whose tallies it brings. `sent` comes back so that leases count from the asking.
    /// `news`: `seen` is new, else it is as the daemon last heard it. Tallies and opens are those that
    /// changed after the agent's `since`th count, up to its `count`th; all of them after none. Tallies are of the services in
    /// the daemon's `choice`th list of those that it counts.
    20u8 Poll { node: Node, proxy_incarnation: u64, sent_at: u64 as Varint, source_incarnation: u64, after_position: u64 as Varint, counters_since: u64 as Varint, counters_through: u64 as Varint, selection: u32, counters: List<OutcomeCounters>, open_streams: List<OpenStreams>, has_versions: u8, versions: List<Change> }
    /// `full`: a frame of all keys, not a piece of the feed. `count`: up to which of the agent's counts the sender has them.
    /// `counts`: the services whose tallies the sender keeps, its `choice`th list of them.
    21u8 Update { poll_sent_at: u64, source_incarnation: u64, through_position: u64, counters_through: u64, selection: u32, selected_services: List<Name>, is_snapshot: u8, is_settled: u8, voter_count: u32, changes: List<Change>, leases: List<Lease> }
    /// `wants`: digests of descriptions that the sender has heard beats of and lacks. `answer` counts the turns of one
    /// exchange: 0 opens it, 1 answers; 2 and 3 only bring what was wanted.
    30u8 Shuffle { nodes: List<Node>, heartbeats: List<NodeHeartbeat>, wanted: List<u32>, step: u8 }
    /// `sent` comes back in the answer: an agent that hears no control daemon counts who answers it.
    31u8 TableDigests { sent_at: u64, ranges: List<RangeDigest> }
    /// `answer`: 0 places without values of all keys in ranges that differ, 1 values that the other lacks, 2 places
    /// without values of keys whose values are wanted.
    32u8 Repair { request_sent_at: u64, changes: List<Change>, kind: u8, ranges: List<RangeDigest> }
    /// Take the single run of a request, or void it so that it can never run.
    33u8 Claim { token: u64, request: Name, attempt: u64, void: u8, key_age_ms: u64 }
    /// `state`: 0 granted, 1 another round's, 2 voided, 3 abstains.
    34u8 ClaimReply { token: u64, state: u8 }
    /// Tallies and opens that changed after the proxy's `after`th change, up to its `upto`th; all of them after none.
    40u8 ProxyReport { incarnation: u64, http_addr: Name, after_change: u64, through_change: u64, counters: List<OutcomeCounters>, open_streams: List<OpenStreams> }
    /// Agent to its proxy. `rule`: 0 reject all, 1 stable only, 2 all. `heard`: the agent has the tallies and opens of
    /// the proxy's life up to this change of them.
    41u8 TableUpdate { proxy_incarnation: u64, counters_through: u64, serving_rule: u8, valid_until: u64, is_snapshot: u8, changes: List<Change>, leases: List<ProxyLease>, nodes: List<Node> }
    42u8 ClaimRequest { token: u64, request: Name, attempt: u64, void: u8, key_age_ms: u64 }
    /// `state`: 0 granted, 1 another round's, 2 voided, 3 no majority.
    43u8 ClaimResult { token: u64, state: u8 }
    /// From a proxy to its agent, from there to the agents of its own region and of `region`, and from each to its proxy.
    /// `failing`: numbers of replicas' lives that lately failed the proxy `by`, which stands in `zone`.
    44u8 PrefillReport { proxy: Name, zone: Name, region: Name, prefills: List<Prefill>, failing_replicas: List<u64> }
    /// From a proxy to its agent, from there to the holder of the service's duty; it replaces what was told before.
    45u8 ContextDemand { service: Name, chains: List<ChainDemand> }
}

/// What travels: the sender, where it listens, and one message.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    pub from: Name,
    pub addr: Name,
    pub msg: Message,
}
