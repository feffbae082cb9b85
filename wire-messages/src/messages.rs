//! Every message between the system's processes: a structure each and one tagged enum over them.

use binrw::binrw;

use crate::{
    Blob, ChainDemand, Change, ForwardOutcome, Lease, List, Name, Node, NodeHeartbeat, OpenStreams,
    OutcomeCounters, OwnedKey, PeerState, Precondition, Prefill, ProxyLease, ProxyUsage,
    RangeDigest, ReplacedValue, Slot, TenantUsage, UnreachableEdges, Varint, Voter, parts::parts,
};

/// Declares messages: structures as `parts!` makes them, and [`Message`] over them, each behind a tag of one byte.
macro_rules! messages {
    ($(
        $(#[$struct_doc:meta])*
        $tag:literal $name:ident {
            $( $(#[$field_doc:meta])* $field:ident: $type:ty $(as $encoding:ident)? ),* $(,)?
        }
    )*) => {
        parts! { $( $(#[$struct_doc])* $name { $( $(#[$field_doc])* $field: $type $(as $encoding)? ),* } )* }

        /// Any message that one process may send to another.
        #[binrw]
        #[brw(big)]
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub enum Message {
            $( $(#[$struct_doc])* #[brw(magic($tag))] $name($name) ),*
        }

        impl Message {
            /// Name of the kind of message, for counters and logs.
            pub fn name(&self) -> &'static str {
                match self { $(Message::$name(_) => stringify!($name)),* }
            }
        }

        $(impl From<$name> for Message {
            fn from(message: $name) -> Message {
                Message::$name(message)
            }
        })*
    };
}

messages! {
    /// Control daemon to control daemon: liveness, and a digest of what it has committed, so that a missed commit is
    /// found and repaired.
    1u8 Heartbeat {
        /// Member epoch that the sender follows.
        member_epoch: u32,
        /// Number of its disk.
        disk_id: u64,
        /// Zone of its machine.
        zone: Name,
        /// How it relates to the voters.
        state: PeerState,
        /// Digest over its committed values.
        committed_digest: u64,
        /// 1 if it has heard from the receiver lately.
        hears_receiver: u8,
        /// 1 if it and a majority of the voters hear each other: it can own keys.
        quorum_connected: u8,
    }

    /// First phase of owning a key: asks voters to promise an epoch.
    2u8 Prepare {
        /// The key.
        key: Name,
        /// Epoch of the new owner.
        epoch: u64,
        /// Member epoch whose voters are asked.
        member_epoch: u32,
    }

    /// A voter's answer to [`Prepare`].
    3u8 Promise {
        /// Epoch that was asked for.
        epoch: u64,
        /// Member epoch of the voter.
        member_epoch: u32,
        /// 1: promised; 0: refused.
        granted: u8,
        /// ms after which asking again makes sense, as another daemon's lease runs.
        retry_after_ms: u32,
        /// What the voter knows of the key.
        slot: Slot,
    }

    /// Second phase: offers a value to voters.
    4u8 Accept {
        /// The key.
        key: Name,
        /// Epoch of the owner.
        epoch: u64,
        /// Version of the value.
        version: u64,
        /// The value.
        value: Blob,
        /// The accepted values that it replaces, newest last.
        replaced: List<ReplacedValue>,
        /// Member epoch whose voters are asked.
        member_epoch: u32,
    }

    /// A voter's answer to [`Accept`], sent once the value is synced to its disk.
    5u8 Accepted {
        /// The key.
        key: Name,
        /// Epoch of the owner that offered it.
        epoch: u64,
        /// Version that was offered.
        version: u64,
        /// Highest epoch that the voter has promised.
        promised_epoch: u64,
        /// Member epoch of the voter.
        member_epoch: u32,
        /// 1: stored; 0: refused.
        accepted: u8,
    }

    /// Tells voters and followers that a value is on a majority of disks.
    6u8 Commit {
        /// The value.
        change: Change,
        /// The accepted values that it replaced, newest last.
        replaced: List<ReplacedValue>,
    }

    /// An owner asks voters whether keys are still its own; where they carry a lease this renews it.
    7u8 RenewLeases {
        /// The keys and the owner's epochs.
        keys: List<OwnedKey>,
        /// ms of the owner's clock at the sending; leases count from it.
        sent_at: u64,
        /// Member epoch whose voters are asked.
        member_epoch: u32,
    }

    /// A voter's answer to [`RenewLeases`].
    8u8 LeasesRenewed {
        /// The keys that the owner still has.
        keys: List<OwnedKey>,
        /// `sent_at` of the request.
        request_sent_at: u64,
        /// Member epoch of the voter.
        member_epoch: u32,
    }

    /// A write or read on its way to the key's owner.
    9u8 ForwardRequest {
        /// Matches the reply to the request; an owner takes none twice.
        token: u64,
        /// The key.
        key: Name,
        /// Version or release that `precondition` compares with.
        expected: u64,
        /// What must hold.
        precondition: Precondition,
        /// The value to write.
        value: Blob,
    }

    /// The owner's answer to [`ForwardRequest`].
    10u8 ForwardReply {
        /// Token of the request.
        token: u64,
        /// What became of it.
        outcome: ForwardOutcome,
        /// Version that it became, that stands instead, or that it was offered as.
        version: u64,
        /// Why it was not accepted.
        reason: Name,
    }

    /// The first voters, offered once while every disk is blank.
    11u8 Bootstrap {
        /// The voters.
        voters: List<Voter>,
    }

    /// A daemon that starts or joins asks for the slots in which a voter differs from it.
    14u8 SlotsRequest {
        /// Member epoch of the sender.
        member_epoch: u32,
        /// What it has of each key, without the values.
        known: List<Slot>,
    }

    /// Answer to [`SlotsRequest`].
    15u8 SlotsReply {
        /// Member epoch of the sender.
        member_epoch: u32,
        /// 1: it votes under `member_epoch`; 2: it voted until then and is no voter any more; 0: neither.
        voting: u8,
        /// How many voters there were under the member epoch before.
        previous_voter_count: u32,
        /// The voters of `member_epoch`.
        voters: List<Voter>,
        /// Slots in which the two differ, as the sender has them.
        slots: List<Slot>,
    }

    /// A lease holder gives leases up: voters need not wait for them to expire.
    16u8 ReleaseLeases {
        /// The keys and the holder's epochs.
        keys: List<OwnedKey>,
    }

    /// An edge agent asks a control daemon for updates and reports its proxy's counters.
    20u8 Poll {
        /// The agent.
        node: Node,
        /// Incarnation of the proxy whose counters are reported; 0 before it has spoken.
        proxy_incarnation: u64,
        /// ms of the agent's clock at the sending; leases in the answer count from it.
        sent_at: u64 as Varint,
        /// Incarnation of the control daemon that the agent last heard from.
        source_incarnation: u64,
        /// Position in that daemon's change stream that the agent has reached.
        after_position: u64 as Varint,
        /// Counters that changed after this report are in the message; 0: all.
        counters_since: u64 as Varint,
        /// The newest report that the message covers.
        counters_through: u64 as Varint,
        /// Selection of services by the daemon that the counters follow.
        selection: u64 as Varint,
        /// Counters of the selected services.
        counters: List<OutcomeCounters>,
        /// Streams that are open or have ended.
        open_streams: List<OpenStreams>,
        /// 1: `versions` is new; 0: it is as the daemon last received it.
        has_versions: u8,
        /// Metadata of every key that the agent has.
        versions: List<Change>,
        /// Version of the newest [`UnreachableEdges`] that the agent has from that incarnation; 0: none.
        unreachable_edges_version: u64 as Varint,
        /// ms since the agent received the newest report by which it has all counters of its proxy.
        report_age_ms: u64 as Varint,
        /// Usage that changed, where the daemon wants it.
        usage: List<ProxyUsage>,
    }

    /// A control daemon's answer to [`Poll`], or a push of what was just committed.
    21u8 Update {
        /// `sent_at` of the newest poll that was received.
        poll_sent_at: u64,
        /// Incarnation of the sender; positions are its own.
        source_incarnation: u64,
        /// Position in the change stream that the agent has reached with this update.
        through_position: u64,
        /// The newest report of counters that the sender has.
        counters_through: u64,
        /// Number of the sender's selection of services.
        selection: u64 as Varint,
        /// Services whose counters the sender keeps.
        selected_services: List<Name>,
        /// 1: it holds every key, not only what changed.
        is_snapshot: u8,
        /// 1: everything that the sender has is known to be committed.
        is_settled: u8,
        /// How many voters there are.
        voter_count: u64 as Varint,
        /// Committed values.
        changes: List<Change>,
        /// Leases under the roles that the sender holds.
        leases: List<Lease>,
        /// The edges that the sender does not hear from; empty where the agent has the newest report already.
        unreachable_edges: List<UnreachableEdges>,
        /// 1: the sender keeps usage.
        wants_usage: u8,
    }

    /// Gossip of membership between neighbours. One exchange has up to four messages, two in each direction.
    30u8 Shuffle {
        /// Descriptions, the sender's own last.
        nodes: List<Node>,
        /// Heartbeats of nodes that the receiver most likely knows.
        heartbeats: List<NodeHeartbeat>,
        /// Digests of descriptions that the sender lacks.
        wanted: List<u32>,
        /// Number of the message in the exchange: 0 opens it, 1 answers, 2 and 3 only bring what was wanted.
        step: u8,
    }

    /// Anti-entropy between edge agents: digests of the sender's state table.
    31u8 TableDigests {
        /// ms of the sender's clock; returned in the answer.
        sent_at: u64,
        /// A digest for each range of keys.
        ranges: List<RangeDigest>,
    }

    /// Anti-entropy between edge agents: metadata, values or requests for values.
    32u8 Repair {
        /// `sent_at` of the digests that it answers, 0 if none.
        request_sent_at: u64,
        /// Keys with or without their values, by `kind`.
        changes: List<Change>,
        /// 0: metadata of all keys in the ranges that differ; 1: values that the receiver lacks; 2: metadata of keys
        /// whose values are wanted.
        kind: u8,
        /// The ranges that differ.
        ranges: List<RangeDigest>,
    }

    /// Asks an edge to grant the single run of a request, or to void it so that it can never run.
    33u8 Claim {
        /// Matches the reply to the claim.
        token: u64,
        /// Id of the request, or the caller's key.
        request: Name,
        /// Number of the attempt.
        attempt: u64,
        /// 1: void it.
        void: u8,
        /// ms since the caller first used its key.
        key_age_ms: u64,
    }

    /// Answer to [`Claim`].
    34u8 ClaimReply {
        /// Token of the claim.
        token: u64,
        /// 0: granted; 1: another attempt has it; 2: voided; 3: abstained.
        state: u8,
    }

    /// A proxy reports to the agent beside it.
    40u8 ProxyReport {
        /// Incarnation of the proxy.
        incarnation: u64,
        /// IP:port at which it serves; empty while it stops.
        http_addr: Name,
        /// Counters that changed after this change are in the report; 0: all.
        after_change: u64,
        /// The newest change that the report covers.
        through_change: u64,
        /// Counters that changed.
        counters: List<OutcomeCounters>,
        /// Open streams that changed.
        open_streams: List<OpenStreams>,
        /// The oldest window whose usage is kept.
        oldest_usage_window: u64 as Varint,
        /// Usage that changed.
        usage: List<TenantUsage>,
    }

    /// An agent updates the proxy beside it.
    41u8 TableUpdate {
        /// Incarnation of the proxy that it is meant for.
        proxy_incarnation: u64,
        /// The newest change of counters that the agent has of that incarnation.
        counters_through: u64,
        /// What the edge may serve. 0: nothing; 1: stable versions only; 2: all versions that leases allow.
        serving_rule: u8,
        /// ms of the machine's clock at which the rule ends.
        valid_until: u64,
        /// 1: it holds every key, not only what changed.
        is_snapshot: u8,
        /// Committed values.
        changes: List<Change>,
        /// Leases that run.
        leases: List<ProxyLease>,
        /// Live edges.
        nodes: List<Node>,
    }

    /// A proxy asks its agent for a claim.
    42u8 ClaimRequest {
        /// Matches the result to the request.
        token: u64,
        /// Id of the request, or the caller's key.
        request: Name,
        /// Number of the attempt.
        attempt: u64,
        /// 1: void it.
        void: u8,
        /// ms since the caller first used its key.
        key_age_ms: u64,
    }

    /// Answer to [`ClaimRequest`].
    43u8 ClaimResult {
        /// Token of the request.
        token: u64,
        /// 0: granted; 1: another attempt has it; 2: voided; 3: no majority.
        state: u8,
    }

    /// A proxy tells the proxies that share replicas with it of long prompts and failures, by way of the agents of its own
    /// region and of `region`.
    44u8 PrefillReport {
        /// The proxy.
        proxy: Name,
        /// Its zone.
        zone: Name,
        /// Region of the replicas that got the prompts.
        region: Name,
        /// The prompts.
        prefills: List<Prefill>,
        /// Numbers of the incarnations of replicas that lately failed this proxy.
        failing_replicas: List<u64>,
    }

    /// A proxy reports demand for shared context to the lease holder of the service's rollout, by way of its agent. It
    /// replaces the report before.
    45u8 ContextDemand {
        /// The service.
        service: Name,
        /// Demand by chain.
        chains: List<ChainDemand>,
    }
}

/// What travels in a frame: the sender, where it listens, and one message.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Name of the sender.
    pub from: Name,
    /// IP:port at which the sender listens.
    pub addr: Name,
    /// The message.
    pub msg: Message,
}
