//! Structs and enums that messages contain.

use binrw::binrw;

use crate::{Blob, List, Name, Varint};

/// Declares structs with a common binary layout: fields in declaration order, big-endian. A number `as Varint` has a
/// variable length: one byte if it is small.
macro_rules! parts {
    ($(
        $(#[$struct_doc:meta])*
        $name:ident {
            $( $(#[$field_doc:meta])* $field:ident: $type:ty $(as $encoding:ident)? ),* $(,)?
        }
    )*) => { $(
        $(#[$struct_doc])*
        #[binrw]
        #[brw(big)]
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct $name {
            $(
                $(#[br(map = |encoded: $encoding| encoded.0)] #[bw(map = |number: &$type| $encoding(*number))])?
                $(#[$field_doc])*
                pub $field: $type
            ),*
        }
    )* };
}
pub(crate) use parts;

parts! {
    /// Description of a process, as gossip spreads it.
    Node {
        /// Name of the process, which is stable across restarts.
        name: Name,
        /// 1: control daemon; 2: edge agent.
        role: u8,
        /// Zone of its machine.
        zone: Name,
        /// IP:port on which it listens for other processes of the system.
        addr: Name,
        /// IP:port of its HTTP interface; for an edge that of the colocated proxy, empty while that does not serve.
        http_addr: Name,
        /// Increases with each start of the process.
        incarnation: u64,
        /// Increases while the process runs.
        heartbeat: u32,
        /// Age of the heartbeat, in hundredths of a second; a node that forwards it adds the time since it received it.
        heartbeat_age: u16,
    }

    /// Edges that are unreachable for a control daemon.
    UnreachableEdges {
        /// Increases with each change of the report within an incarnation of the daemon; 0: the daemon cannot know
        /// which edges are unreachable.
        version: u64 as Varint,
        /// Digests of the edges' names.
        edges: List<u32>,
    }

    /// A heartbeat of a node whose description the receiver most likely has.
    NodeHeartbeat {
        /// Digest of the node's description.
        node_digest: u32,
        /// As in [`Node`].
        heartbeat: u32,
        /// As in [`Node`], in hundredths of a second.
        heartbeat_age: u16,
    }

    /// A committed value of a key, or only its metadata if the value is left empty.
    Change {
        /// The key.
        key: Name,
        /// Epoch of the owner that wrote the value; orders owners.
        epoch: u64,
        /// Version of the value; orders values.
        version: u64,
        /// The value; empty for a cleared key.
        value: Blob,
    }

    /// An accepted value that a newer one replaced.
    ReplacedValue {
        /// Release named in the document; 0: none.
        release: u64 as Varint,
        /// First half of the value's SHA-256.
        digest: u128,
    }

    /// A voter's stored state of a key.
    Slot {
        /// The key.
        key: Name,
        /// Highest epoch that this voter has promised.
        promised_epoch: u64,
        /// Epoch under which the value was accepted.
        accepted_epoch: u64,
        /// Version of the value.
        version: u64,
        /// Newest version known to be committed.
        committed_version: u64,
        /// Newest accepted value.
        value: Blob,
        /// Accepted values that this value replaced, newest last.
        replaced: List<ReplacedValue>,
    }

    /// Time-limited permission for an edge, granted by the lease holder of a service's rollout.
    Lease {
        /// The service.
        service: Name,
        /// Epoch of the lease holder.
        epoch: u64,
        /// Version of the rollout record that the edge may follow.
        record_version: u64,
        /// Percentage of the service's requests that the canary may receive.
        canary_share_percent: u32,
        /// Duration in ms, from the send time of the poll that it answers.
        ttl_ms: u32,
    }

    /// A lease as an agent sends it to its colocated proxy: both use the same machine's clock.
    ProxyLease {
        /// The lease.
        lease: Lease,
        /// Time on the machine's clock at which the lease expires, in ms.
        expires_at: u64,
    }

    /// Digest of the keys whose hash is in one range.
    RangeDigest {
        /// Number of the range.
        index: u16,
        /// Digest of the metadata of its keys.
        digest: u64,
    }

    /// Cumulative outcome counters of a proxy since its start, for one combination of the labels below.
    OutcomeCounters {
        /// Service that was called.
        service: Name,
        /// Version of the replica that was called.
        version: Name,
        /// Lane of the requests.
        lane: Name,
        /// 1 if the prompt's prefix was expected in the replica's cache.
        cached: u8,
        /// Role of the replica's group in the rollout.
        group: u8,
        /// Attempts sent.
        sent: u64 as Varint,
        /// Attempts that succeeded.
        succeeded: u64 as Varint,
        /// Attempts that failed.
        failed: u64 as Varint,
        /// Attempts that succeeded but took far longer than expected.
        slow: u64 as Varint,
        /// First chunks received.
        first_chunks: u64 as Varint,
        /// Sum of the logarithms of the times to the first chunk.
        first_chunk_log_sum: u64 as Varint,
        /// Set of failed replicas; each bit stands for one or a few replicas.
        failed_replicas: u64 as Varint,
        /// Attempts that ended in the last half minute, for a daemon that receives its first report of this proxy.
        recent_ended: u64 as Varint,
        /// Attempts in `recent_ended` that failed.
        recent_failed: u64 as Varint,
        /// Attempts in `recent_ended` that were slow.
        recent_slow: u64 as Varint,
    }

    /// Number of streams that a proxy has open on a version of a replica.
    OpenStreams {
        /// Id of the replica.
        replica: Name,
        /// The version.
        version: Name,
        /// Number of open streams; 0: the last one has ended.
        streams: u32,
    }

    /// Cumulative usage of one tenant in one window, counted by one incarnation of a proxy.
    TenantUsage {
        /// Number of the window: ms since the Unix epoch (1970), divided by the window length.
        window: u64 as Varint,
        /// The tenant.
        tenant: Name,
        /// Requests that started to run.
        count: u64 as Varint,
    }

    /// Usage that one incarnation of a proxy counted.
    ProxyUsage {
        /// Incarnation of the proxy.
        proxy_incarnation: u64,
        /// Usage per tenant and window.
        usage: List<TenantUsage>,
    }

/// A control daemon that is a voter.
    Voter {
        /// Name of the daemon, which is stable across restarts.
        name: Name,
        /// Id of its disk.
        disk_id: u64,
        /// IP:port on which it listens for other processes.
        addr: Name,
        /// Zone of its machine.
        zone: Name,
        /// Member epoch since which it has been a voter without interruption.
        since_epoch: u32,
    }

    /// A long prompt that a proxy sent to a replica.
    Prefill {
        /// Incarnation number of the replica.
        replica_number: u64,
        /// Duration of the prefill on that replica, in ms.
        duration_ms: u32,
        /// Ids of the prompt's shared prefix blocks.
        blocks: List<u64>,
    }

    /// Demand for one chain of shared prefix blocks, over a decaying window. Counts are in fractions of a request.
    ChainDemand {
        /// Digest of the weights version.
        weights_version: u64,
        /// Digest of the regions that may serve the chain.
        homes_digest: u64,
        /// Digest of the chain.
        chain: u64,
        /// Number of tokens in the chain.
        tokens: u32,
        /// Requests for the chain.
        requests: u32,
        /// Upper bound of the overcount in `requests`.
        overcount: u32,
        /// Requests that missed the cache where the chain was expected.
        cache_misses: u32,
    }

    /// A key and the epoch in which a daemon owns it.
    OwnedKey {
        /// The key.
        key: Name,
        /// Epoch of its owner.
        epoch: u64,
    }
}

/// State of a control daemon relative to the set of voters.
#[binrw]
#[brw(repr = u8)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PeerState {
    /// A voter.
    #[default]
    Voter,
    /// The disk is blank.
    Blank,
    /// Listed as a voter, but not caught up.
    CatchingUp,
    /// About to stop.
    Stopping,
    /// The disk is blank and the daemon takes part in the bootstrap of the system.
    Bootstrapping,
    /// Not listed as a voter: a new machine without state.
    Joiner,
    /// Not listed as a voter; follows committed values.
    Learner,
}

/// Condition for accepting a forwarded write.
#[binrw]
#[brw(repr = u8)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Precondition {
    /// The current version equals the expected one.
    #[default]
    Version,
    /// The version has not changed since the write was submitted; a value equal to the current one is accepted under
    /// any version.
    UnchangedSince,
    /// The release of the current document equals the expected one.
    Release,
    /// Nothing is written: the request reads the newest version.
    Read,
}

/// Outcome of a forwarded write or read.
#[binrw]
#[brw(repr = u8)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The write is committed, or the newest version was read.
    #[default]
    Accepted,
    /// Another value is current.
    Conflict,
    /// The write was not proposed to any voter and never will be.
    NotAccepted,
    /// The write may or may not be committed.
    Unknown,
    /// Not accepted, because the receiving daemon is not the key's owner.
    NotOwner,
    /// Proposed to voters under the returned version, by an owner that then lost the key.
    Deposed,
}
