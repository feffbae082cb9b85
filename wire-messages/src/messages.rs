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

/// Messages: the parts above plus a tag in `Msg`.
macro_rules! messages {
    ($($(#[$d:meta])* $tag:literal $n:ident { $($f:ident: $t:ty $(as $how:ident)?),* $(,)? })*) => {
        parts! { $($(#[$d])* $n { $($f: $t $(as $how)?),* })* }
        /// All that one process may say to another.
        #[binrw]
        #[brw(big)]
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub enum Msg { $(#[brw(magic($tag))] $n($n)),* }
        impl Msg {
            pub fn name(&self) -> &'static str {
                match self { $(Msg::$n(_) => stringify!($n)),* }
            }
        }
        $(impl From<$n> for Msg { fn from(m: $n) -> Msg { Msg::$n(m) } })*
    };
}

parts! {
    /// One process as the others know it; `beat` rises while it lives, `born` tells its lives apart. `age`: how long ago
    /// that beat was, in hundredths of a second, carried along wherever it is passed on.
    Node { name: Name, role: u8, zone: Name, addr: Name, http: Name, born: u64, beat: u32, age: u16 }
    /// A beat of a node whose description has this digest.
    Heard { node: u32, beat: u32, age: u16 }
    /// A committed value of a key. `epoch` orders owners, `version` orders values.
    Change { key: Name, epoch: u64, version: u64, value: Blob }
    /// A value that was accepted and then replaced: the release that it told, if it told one, and its digest.
    Replaced { release: u64 as Varint, digest: u128 }
    /// A voter's whole knowledge of a key. `past`: the accepted values that this one replaced, newest last.
    Slot { key: Name, promised: u64, epoch: u64, version: u64, committed: u64, value: Blob, past: List<Replaced> }
    /// What a duty holder lets an edge do for a while: the record it may follow and the canary's share.
    Lease { service: Name, epoch: u64, version: u64, canary_share: u32, ttl: u32 }
    /// A lease as an agent hands it to its proxy: both read the same machine's clock, so it ends at `until`.
    Lent { lease: Lease, until: u64 }
    /// A digest over the keys whose hash falls into one range.
    Range { index: u16, digest: u64 }
    /// Cumulative counts since the proxy's start; `new_` ones are of its last half minute, for a daemon that
    /// hears this proxy for the first time. `firsts`: first pieces, `first_log`: the sum of their times' logarithms;
    /// `failed_on`: bits of the replicas that failed.
    Tally { service: Name, version: Name, lane: Name, warm: u8, group: u8, sent: u64 as Varint, ok: u64 as Varint, failed: u64 as Varint, slow: u64 as Varint, firsts: u64 as Varint, first_log: u64 as Varint, failed_on: u64 as Varint, new_ended: u64 as Varint, new_failed: u64 as Varint, new_slow: u64 as Varint }
    /// Streams a proxy still has open on a replica's version.
    Open { replica: Name, version: Name, streams: u32 }
    /// A voter: its name, its disk, where it answers and stands, and the member epoch since which it has its place.
    Voter { name: Name, disk: u64, addr: Name, zone: Name, since: u32 }
    /// A long prompt that a proxy sent to a replica: the number of the replica's life, ms that reading it takes there,
    /// and the prompt's shared parts.
    Reading { replica: u64, ms: u32, parts: List<u64> }
    /// A shared chain that is often asked for: for which version of weights and homes, its size, how often in a decaying
    /// window and by how much that may be too high, and how often it was taken for ready and was not; in parts of one ask.
    Popular { version: u64, homes: u64, chain: u64, tokens: u32, asked: u32, error: u32, missed: u32 }
    /// A key that a duty holder keeps, or a voter lets it keep.
    Held { key: Name, epoch: u64 }
}

/// How a control daemon stands to the voters.
#[binrw]
#[brw(repr = u8)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PeerState {
    /// It votes.
    #[default]
    Votes,
    /// Its disk is blank.
    Blank,
    /// It has a place among the voters and has not caught up.
    Behind,
    /// It is about to stop.
    Going,
    /// Its disk is blank and it takes part in founding the system.
    Founding,
    /// It has no place among the voters: an empty machine that has just come.
    New,
    /// It has no place among the voters and follows what is committed.
    StandsBy,
}

/// What a forwarded write's `expect` is compared with.
#[binrw]
#[brw(repr = u8)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Compare {
    /// The version that stands.
    #[default]
    Version,
    /// The version that stood when the order was given; a value that stands already is accepted under any version.
    Since,
    /// The release of the document that stands.
    Release,
    /// Nothing, and nothing is written: the newest version is asked for.
    Read,
}

/// What became of a forwarded write or reading.
#[binrw]
#[brw(repr = u8)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ForwardEnd {
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
    1u8 Heartbeat { member_epoch: u32, disk: u64, zone: Name, state: PeerState, digest: u64 }
    2u8 Prepare { key: Name, epoch: u64, member_epoch: u32 }
    3u8 Promise { epoch: u64, member_epoch: u32, ok: u8, wait: u32, slot: Slot }
    4u8 Accept { key: Name, epoch: u64, version: u64, value: Blob, past: List<Replaced>, member_epoch: u32 }
    5u8 Accepted { key: Name, epoch: u64, version: u64, promised: u64, member_epoch: u32, ok: u8 }
    6u8 Commit { change: Change, past: List<Replaced> }
    7u8 Renew { keys: List<Held>, sent: u64, member_epoch: u32 }
    8u8 Renewed { keys: List<Held>, sent: u64, member_epoch: u32 }
    /// A write or a reading on its way to the key's owner. `expect` is compared as `compare` says.
    9u8 Forward { token: u64, key: Name, expect: u64, compare: Compare, value: Blob }
    10u8 Forwarded { token: u64, end: ForwardEnd, version: u64, why: Name }
    /// The first voters, offered once while every disk is blank.
    11u8 Genesis { voters: List<Voter> }
    /// A starter or newcomer asks for the slots in which a voter differs from what it has, without their values.
    14u8 SlotsAsk { member_epoch: u32, have: List<Slot> }
    /// `voting`: 1: the sender votes under member epoch `member_epoch`, whose voters these are; 2: it voted until then and has
    /// no place any more. `before`: how many voters there were under the one before.
    15u8 Slots { member_epoch: u32, voting: u8, before: u32, voters: List<Voter>, slots: List<Slot> }
    /// A holder gives up its duties: voters need not wait its leases out.
    16u8 Release { keys: List<Held> }
    /// An agent asks for news. `life`: of the proxy whose tallies it brings. `sent` comes back so that leases count from the asking.
    /// `news`: `seen` is new, else it is as the daemon last heard it. Tallies and opens are those that
    /// changed after the agent's `since`th count, up to its `count`th; all of them after none. Tallies are of the services in
    /// the daemon's `choice`th list of those that it counts.
    20u8 Poll { node: Node, life: u64, sent: u64 as Varint, run: u64, after: u64 as Varint, since: u64 as Varint, count: u64 as Varint, choice: u32, tallies: List<Tally>, opens: List<Open>, news: u8, seen: List<Change> }
    /// `full`: a frame of all keys, not a piece of the feed. `count`: up to which of the agent's counts the sender has them.
    /// `counts`: the services whose tallies the sender keeps, its `choice`th list of them.
    21u8 News { sent: u64, run: u64, upto: u64, count: u64, choice: u32, counts: List<Name>, full: u8, settled: u8, voters: u32, changes: List<Change>, leases: List<Lease> }
    /// `wants`: digests of descriptions that the sender has heard beats of and lacks. `answer` counts the turns of one
    /// exchange: 0 opens it, 1 answers; 2 and 3 only bring what was wanted.
    30u8 Shuffle { nodes: List<Node>, beats: List<Heard>, wants: List<u32>, answer: u8 }
    /// `sent` comes back in the answer: an agent that hears no control daemon counts who answers it.
    31u8 Digests { sent: u64, ranges: List<Range> }
    /// `answer`: 0 places without values of all keys in ranges that differ, 1 values that the other lacks, 2 places
    /// without values of keys whose values are wanted.
    32u8 Mend { sent: u64, changes: List<Change>, answer: u8, indexes: List<Range> }
    /// Take the single run of a request, or void it so that it can never run.
    33u8 Claim { token: u64, request: Name, round: u64, void: u8, age: u64 }
    /// `state`: 0 granted, 1 another round's, 2 voided, 3 abstains.
    34u8 Claimed { token: u64, state: u8 }
    /// Tallies and opens that changed after the proxy's `after`th change, up to its `upto`th; all of them after none.
    40u8 ProxyHello { born: u64, http: Name, after: u64, upto: u64, tallies: List<Tally>, opens: List<Open> }
    /// Agent to its proxy. `rule`: 0 reject all, 1 stable only, 2 all. `heard`: the agent has the tallies and opens of
    /// the proxy's life up to this change of them.
    41u8 Board { life: u64, heard: u64, rule: u8, until: u64, full: u8, changes: List<Change>, leases: List<Lent>, nodes: List<Node> }
    42u8 ClaimAsk { token: u64, request: Name, round: u64, void: u8, age: u64 }
    /// `state`: 0 granted, 1 another round's, 2 voided, 3 no majority.
    43u8 ClaimTold { token: u64, state: u8 }
    /// From a proxy to its agent, from there to the agents of its own region and of `region`, and from each to its proxy.
    /// `failing`: numbers of replicas' lives that lately failed the proxy `by`, which stands in `zone`.
    44u8 Readings { by: Name, zone: Name, region: Name, all: List<Reading>, failing: List<u64> }
    /// From a proxy to its agent, from there to the holder of the service's duty; it replaces what was told before.
    45u8 Demand { service: Name, parts: List<Popular> }
}

/// What travels: the sender, where it listens, and one message.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    pub from: Name,
    pub addr: Name,
    pub msg: Msg,
}
