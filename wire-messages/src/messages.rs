//! All messages between the system's processes: one struct per message and a tagged enum over them.

use binrw::binrw;

use crate::{
    Blob, ChainDemand, Change, ForwardOutcome, Lease, List, Name, Node, NodeHeartbeat, OpenStreams,
    OutcomeCounters, OwnedKey, PeerState, Precondition, Prefill, ProxyLease, ProxyUsage,
    RangeDigest, ReplacedValue, Slot, TenantUsage, UnreachableEdges, Varint, Voter, parts::parts,
};

/// Declares message structs with `parts!`, and the enum [`Message`], which writes a one-byte tag before each.
macro_rules! messages {
    ($(
        $(#[$struct_doc:meta])*
        $tag:literal $name:ident {
            $( $(#[$field_doc:meta])* $field:ident: $type:ty $(as $encoding:ident)? ),* $(,)?
        }
    )*) => {
        parts! { $( $(#[$struct_doc])* $name { $( $(#[$field_doc])* $field: $type $(as $encoding)? ),* } )* }

        /// Any message between two processes.
        #[binrw]
        #[brw(big)]
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub enum Message {
            $( $(#[$struct_doc])* #[brw(magic($tag))] $name($name) ),*
        }

        impl Message {
            /// Returns the name of the message type, for counters and logs.
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
    /// Sent between control daemons: signals liveness and carries a digest of the committed values, by which a missed
    /// commit is detected and repaired.
    1u8 Heartbeat {
        /// Member epoch of the sender.
        member_epoch: u32,
/// Id of the sender's disk.
        disk_id: u64,
        /// Zone of the sender's machine.
        zone: Name,
        /// State of the sender relative to the voters.
        state: PeerState,
        /// Digest of the sender's committed values.
        committed_digest: u64,
        /// 1 if the sender recently received a heartbeat from the receiver.
        hears_receiver: u8,
        /// 1 if the sender and a majority of the voters receive each other's heartbeats, so that it can own keys.
        quorum_connected: u8,
    }

    /// First phase of acquiring a key: asks voters to promise an epoch.
    2u8 Prepare {
        /// The key.
        key: Name,
        /// Epoch of the new owner.
        epoch: u64,
        /// Member epoch whose voters the request addresses.
        member_epoch: u32,
    }

    /// A voter's reply to [`Prepare`].
    3u8 Promise {
        /// Epoch of the request.
        epoch: u64,
        /// Member epoch of the voter.
        member_epoch: u32,
        /// 1: promised; 0: rejected.
        granted: u8,
        /// Time in ms after which to retry, because another daemon holds a lease.
        retry_after_ms: u32,
        /// The voter's slot of the key.
        slot: Slot,
    }

    /// Second phase: proposes a value to voters.
    4u8 Accept {
        /// The key.
        key: Name,
        /// Epoch of the owner.
        epoch: u64,
        /// Version of the value.
        version: u64,
        /// The value.
        value: Blob,
        /// Accepted values that this value replaces, newest last.
        replaced: List<ReplacedValue>,
        /// Member epoch whose voters the request addresses.
        member_epoch: u32,
    }

    /// A voter's reply to [`Accept`], sent once the value is synced to its disk.
    5u8 Accepted {
        /// The key.
        key: Name,
        /// Epoch of the owner that proposed the value.
        epoch: u64,
        /// Proposed version.
        version: u64,
        /// Highest epoch that the voter has promised.
        promised_epoch: u64,
        /// Member epoch of the voter.
        member_epoch: u32,
        /// 1: stored; 0: rejected.
        accepted: u8,
    }

    /// Informs voters and followers that a majority of voters has stored a value on disk.
    6u8 Commit {
        /// The value.
        change: Change,
        /// Accepted values that this value replaced, newest last.
        replaced: List<ReplacedValue>,
    }

    /// An owner asks voters to confirm that it still owns keys; this renews the leases of keys that have one.
    7u8 RenewLeases {
        /// Keys and the owner's epochs.
        keys: List<OwnedKey>,
        /// Send time on the owner's clock, in ms; leases run from this time.
        sent_at: u64,
        /// Member epoch whose voters the request addresses.
        member_epoch: u32,
    }

    /// A voter's reply to [`RenewLeases`].
    8u8 LeasesRenewed {
        /// Keys that the owner still owns.
        keys: List<OwnedKey>,
        /// `sent_at` of the request.
        request_sent_at: u64,
        /// Member epoch of the voter.
        member_epoch: u32,
    }

    /// A write or read that is forwarded to the key's owner.
    9u8 ForwardRequest {
        /// Matches the reply to the request; an owner processes each token at most once.
        token: u64,
        /// The key.
        key: Name,
        /// Version or release that `precondition` compares against.
        expected: u64,
        /// Condition for accepting the write.
        precondition: Precondition,
        /// The value to write.
        value: Blob,
    }

    /// The owner's reply to [`ForwardRequest`].
    10u8 ForwardReply {
        /// Token of the request.
        token: u64,
        /// Outcome of the request.
        outcome: ForwardOutcome,
        /// Version of the written value, of the conflicting current value, or under which the value was proposed.
        version: u64,
        /// Reason why the request was not accepted.
        reason: Name,
    }

    /// The first voters, proposed once while every disk is blank.
    11u8 Bootstrap {
        /// The voters.
        voters: List<Voter>,
    }

    /// A daemon that starts or joins requests the slots in which a voter differs from it.
    14u8 SlotsRequest {
        /// Member epoch of the sender.
        member_epoch: u32,
        /// The sender's slots, without their values.
        known: List<Slot>,
    }

    /// Reply to [`SlotsRequest`].
    15u8 SlotsReply {
        /// Member epoch of the sender.
        member_epoch: u32,
        /// 1: the sender is a voter in `member_epoch`; 2: it was a voter until that epoch; 0: neither.
        voting: u8,
        /// Number of voters in the previous member epoch.
        previous_voter_count: u32,
        /// Voters of `member_epoch`.
        voters: List<Voter>,
        /// The sender's slots that differ from the receiver's.
        slots: List<Slot>,
    }

    /// A lease holder releases leases, so that voters need not wait for them to expire.
    16u8 ReleaseLeases {
        /// Keys and the holder's epochs.
        keys: List<OwnedKey>,
    }

    /// An edge agent requests updates from a control daemon and reports its proxy's counters.
    20u8 Poll {
        /// The agent.
        node: Node,
        /// Incarnation of the proxy whose counters are reported; 0 before the first report of the proxy.
        proxy_incarnation: u64,
        /// Send time on the agent's clock, in ms; leases in the reply run from this time.
        sent_at: u64 as Varint,
        /// Incarnation of the control daemon whose update the agent received last.
        source_incarnation: u64,
        /// Position in that daemon's change feed that the agent has reached.
        after_position: u64 as Varint,
        /// The message has the counters that changed after this report; 0: all counters.
        counters_since: u64 as Varint,
        /// Newest report that the message covers.
        counters_through: u64 as Varint,
        /// The daemon's selection of services to which the counters belong.
        selection: u64 as Varint,
        /// Counters of the selected services.
        counters: List<OutcomeCounters>,
        /// Streams that are open or have ended.
        open_streams: List<OpenStreams>,
        /// 1: `versions` is new; 0: unchanged since the daemon last received it.
        has_versions: u8,
        /// Metadata of all keys that the agent stores.
        versions: List<Change>,
        /// Version of the newest [`UnreachableEdges`] received from that incarnation; 0: none.
        unreachable_edges_version: u64 as Varint,
        /// Time in ms since the agent received the newest report that completes its proxy's counters.
        report_age_ms: u64 as Varint,
        /// Usage that changed, if the daemon requests usage.
        usage: List<ProxyUsage>,
    }

    /// A control daemon's reply to [`Poll`], or a push of newly committed values.
    21u8 Update {
        /// `sent_at` of the newest poll received.
        poll_sent_at: u64,
        /// Incarnation of the sender; positions are valid only within it.
        source_incarnation: u64,
        /// Position in the change feed that the agent reaches with this update.
        through_position: u64,
        /// Newest report of counters that the sender has received.
        counters_through: u64,
        /// Number of the sender's selection of services.
        selection: u64 as Varint,
        /// Services whose counters the sender stores.
        selected_services: List<Name>,
        /// 1: the message has all keys, not only changed ones.
        is_snapshot: u8,
        /// 1: the sender knows all that it stores to be committed.
        is_settled: u8,
        /// Number of voters.
        voter_count: u64 as Varint,
        /// Committed values.
        changes: List<Change>,
        /// Leases for the singleton roles that the sender holds.
        leases: List<Lease>,
        /// Edges that are unreachable for the sender; empty if the agent already has the newest report.
        unreachable_edges: List<UnreachableEdges>,
        /// 1: the sender stores usage.
        wants_usage: u8,
        /// The message has all changes after this position, except values that the agent has according to its polls;
        /// of a snapshot: 0.
        after_position: u64,
    }

    /// Membership gossip between neighbours. An exchange has up to four messages, two in each direction.
    30u8 Shuffle {
        /// Node descriptions; the sender's own is last.
        nodes: List<Node>,
        /// Heartbeats of nodes whose descriptions the receiver most likely has.
        heartbeats: List<NodeHeartbeat>,
        /// Digests of descriptions that the sender is missing.
        wanted: List<u32>,
        /// Index of the message in the exchange: 0 is the request, 1 the reply, 2 and 3 carry the wanted descriptions.
        step: u8,
    }

    /// Anti-entropy between edge agents: digests of the sender's state table.
    31u8 TableDigests {
        /// Send time on the sender's clock, in ms; returned in the reply.
        sent_at: u64,
        /// One digest per range of keys.
        ranges: List<RangeDigest>,
    }

    /// Anti-entropy between edge agents: metadata, values or requests for values.
    32u8 Repair {
        /// `sent_at` of the digests that this message answers; 0: none.
        request_sent_at: u64,
        /// Keys, with or without values depending on `kind`.
        changes: List<Change>,
        /// 0: metadata of all keys in the differing ranges; 1: values that the receiver lacks; 2: metadata of keys
        /// whose values the sender requests.
        kind: u8,
        /// Ranges that differ.
        ranges: List<RangeDigest>,
    }

    /// Asks an edge to grant the run-once claim of a request, or to void the request so that it can never run.
    33u8 Claim {
        /// Matches the reply to the claim.
        token: u64,
        /// Request id, or the client's idempotency key.
        request: Name,
        /// Number of the attempt.
        attempt: u64,
        /// 1: void the request.
        void: u8,
        /// Time in ms since the client first used its key.
        key_age_ms: u64,
    }

    /// Reply to [`Claim`].
    34u8 ClaimReply {
        /// Token of the claim.
        token: u64,
        /// 0: granted; 1: granted to another attempt; 2: voided; 3: abstained.
        state: u8,
    }

    /// A proxy reports to its colocated agent.
    40u8 ProxyReport {
        /// Incarnation of the proxy.
        incarnation: u64,
        /// IP:port on which the proxy serves; empty while it stops.
        http_addr: Name,
        /// The report has the counters that changed after this change; 0: all counters.
        after_change: u64,
        /// Newest change that the report covers.
        through_change: u64,
        /// Counters that changed.
        counters: List<OutcomeCounters>,
        /// Open streams that changed.
        open_streams: List<OpenStreams>,
        /// Oldest window whose usage is retained.
        oldest_usage_window: u64 as Varint,
        /// Usage that changed.
        usage: List<TenantUsage>,
        /// Incarnation of the agent whose snapshot the proxy has; 0: none.
        table_source: u64,
        /// Position in that agent's changes up to which the proxy has all of them.
        table_position: u64,
    }

    /// An agent updates its colocated proxy.
    41u8 TableUpdate {
        /// Incarnation of the receiving proxy.
        proxy_incarnation: u64,
        /// Newest change of counters that the agent received from that incarnation.
        counters_through: u64,
        /// Versions that the edge may serve. 0: none; 1: stable versions only; 2: all versions that leases allow.
        serving_rule: u8,
        /// Time on the machine's clock at which the rule expires, in ms.
        valid_until: u64,
        /// 1: the message has all keys, not only changed ones.
        is_snapshot: u8,
        /// Committed values.
        changes: List<Change>,
        /// Unexpired leases.
        leases: List<ProxyLease>,
        /// Live edges.
        nodes: List<Node>,
        /// Incarnation of the agent, which numbers the changes of its table by position.
        agent_incarnation: u64,
        /// The message has all changes after this position; of a snapshot: 0.
        after_position: u64,
        /// Position of the newest change in the message.
        through_position: u64,
    }

    /// A proxy requests a run-once claim from its agent.
    42u8 ClaimRequest {
        /// Matches the result to the request.
        token: u64,
        /// Request id, or the client's idempotency key.
        request: Name,
        /// Number of the attempt.
        attempt: u64,
        /// 1: void the request.
        void: u8,
        /// Time in ms since the client first used its key.
        key_age_ms: u64,
    }

    /// Reply to [`ClaimRequest`].
    43u8 ClaimResult {
        /// Token of the request.
        token: u64,
        /// 0: granted; 1: granted to another attempt; 2: voided; 3: no majority.
        state: u8,
    }

    /// A proxy reports long prompts and failures to the proxies that share replicas with it, via the agents of its
    /// own region and of `region`.
    44u8 PrefillReport {
        /// The proxy.
        proxy: Name,
        /// Its zone.
        zone: Name,
        /// Region of the replicas that received the prompts.
        region: Name,
        /// Long prompts.
        prefills: List<Prefill>,
        /// Incarnation numbers of replicas on which requests of this proxy recently failed.
        failing_replicas: List<u64>,
    }

    /// A proxy reports demand for shared context to the lease holder of the service's rollout, via its agent. Each
    /// report replaces the previous one.
    45u8 ContextDemand {
        /// The service.
        service: Name,
        /// Demand per chain of prefix blocks.
        chains: List<ChainDemand>,
    }
}

/// Content of a frame: the sender, its address and one message.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Name of the sender.
    pub from: Name,
    /// IP:port on which the sender listens.
    pub addr: Name,
    /// The message.
    pub msg: Message,
}
