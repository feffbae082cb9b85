//! Structures and states that stand inside messages.

use binrw::binrw;

use crate::{Blob, List, Name, Varint};

/// Declares structures with one binary layout: fields in their order, big-endian. A number `as Varint` takes one byte
/// where it is small.
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
    /// One process as the others know it.
    Node {
        /// Lasting name of the process.
        name: Name,
        /// What it is: 1 a control daemon, 2 an edge agent.
        role: u8,
        /// Zone that its machine stands in.
        zone: Name,
        /// IP:port at which other processes of the system reach it.
        addr: Name,
        /// IP:port of its HTTP interface; of an edge, of the proxy beside it, and empty while that serves nobody.
        http_addr: Name,
        /// Rises with each start of the process.
        incarnation: u64,
        /// Rises while the process lives.
        heartbeat: u32,
        /// How long ago the heartbeat was made, in hundredths of a second; added to wherever it is passed on.
        heartbeat_age: u16,
    }

    /// The edges that a control daemon does not hear from.
    UnreachableEdges {
        /// Rises with each change of the report within an incarnation of the daemon; 0: it cannot know which they are.
        version: u64 as Varint,
        /// Digests of their names.
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

    /// A committed value of a key, or its metadata alone where the value is left empty.
    Change {
        /// The key.
        key: Name,
        /// Epoch of the owner that wrote it; orders owners.
        epoch: u64,
        /// Number of the value; orders values.
        version: u64,
        /// The value; empty for a key that was cleared.
        value: Blob,
    }

    /// A value that was accepted and then replaced by a newer one.
    ReplacedValue {
        /// Release that the document told, 0 if it told none.
        release: u64 as Varint,
        /// First half of the value's SHA-256.
        digest: u128,
    }

    /// All that a voter knows of a key.
    Slot {
        /// The key.
        key: Name,
        /// Highest epoch that this voter has promised to.
        promised_epoch: u64,
        /// Epoch under which the value was accepted.
        accepted_epoch: u64,
        /// Version of the value.
        version: u64,
        /// Newest version that is known to be committed.
        committed_version: u64,
        /// The newest accepted value.
        value: Blob,
        /// The accepted values that this one replaced, newest last.
        replaced: List<ReplacedValue>,
    }

    /// What the lease holder of a service's rollout lets an edge do for a while.
    Lease {
        /// The service.
        service: Name,
        /// Epoch of the lease holder.
        epoch: u64,
        /// Version of the rollout record that the edge may follow.
        record_version: u64,
        /// Percent of the service's requests that the canary may get.
        canary_share_percent: u32,
        /// ms that it lasts, counted from the sending of the poll that it answers.
        ttl_ms: u32,
    }

    /// A lease as an agent hands it to the proxy beside it: both read the same machine's clock.
    ProxyLease {
        /// The lease.
        lease: Lease,
        /// ms of the machine's clock at which it ends.
        expires_at: u64,
    }

    /// A digest over the keys whose hash falls into one range.
    RangeDigest {
        /// Number of the range.
        index: u16,
        /// Digest over the metadata of its keys.
        digest: u64,
    }

    /// Cumulative outcome counters of a proxy since its start, for one kind of attempt.
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
        /// Attempts that succeeded, but took far longer than expected.
        slow: u64 as Varint,
        /// First chunks received.
        first_chunks: u64 as Varint,
        /// Sum of the logarithms of the times to the first chunk.
        first_chunk_log_sum: u64 as Varint,
        /// Set of the replicas that failed, one or a few to a bit.
        failed_replicas: u64 as Varint,
        /// Attempts of the last half minute that ended, for a daemon that hears from this proxy for the first time.
        recent_ended: u64 as Varint,
        /// Of these, those that failed.
        recent_failed: u64 as Varint,
        /// Of these, those that were slow.
        recent_slow: u64 as Varint,
    }

    /// Streams that a proxy has open on a version of a replica.
    OpenStreams {
        /// Id of the replica.
        replica: Name,
        /// The version.
        version: Name,
        /// How many; 0 tells that the last one has ended.
        streams: u32,
    }

    /// Cumulative usage of one tenant in one window, as one incarnation of a proxy counts it.
    TenantUsage {
        /// Number of the window: the time of day in ms since 1970, divided by the windows' length.
        window: u64 as Varint,
        /// The tenant.
        tenant: Name,
        /// Requests that began to run.
        count: u64 as Varint,
    }

    /// Usage that one incarnation of a proxy counted.
    ProxyUsage {
        /// Incarnation of the proxy.
        proxy_incarnation: u64,
        /// What it counted.
        usage: List<TenantUsage>,
    }

    /// A voter.
    Voter {
        /// Lasting name of the daemon.
        name: Name,
        /// Number of its disk.
        disk_id: u64,
        /// IP:port at which other processes reach it.
        addr: Name,
        /// Zone that its machine stands in.
        zone: Name,
        /// Member epoch since which it is a voter without a break.
        since_epoch: u32,
    }

    /// A long prompt that a proxy sent to a replica.
    Prefill {
        /// Number of the replica's incarnation.
        replica_number: u64,
        /// ms that its prefill takes there.
        duration_ms: u32,
        /// Ids of the prompt's shared blocks.
        blocks: List<u64>,
    }

    /// Demand for one chain of shared prefix blocks, over a decaying window. Counts are in parts of one request.
    ChainDemand {
        /// Digest of the version of the weights.
        weights_version: u64,
        /// Digest of the regions that may serve it.
        homes_digest: u64,
        /// Digest of the chain.
        chain: u64,
        /// Tokens of the chain.
        tokens: u32,
        /// Requests for it.
        requests: u32,
        /// By how much `requests` may be too high.
        overcount: u32,
        /// Requests that found it missing where it was expected in the cache.
        cache_misses: u32,
    }

    /// A key and the epoch under which a daemon owns it.
    OwnedKey {
        /// The key.
        key: Name,
        /// Epoch of its owner.
        epoch: u64,
    }
}

/// How a control daemon relates to the set of voters.
#[binrw]
#[brw(repr = u8)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PeerState {
    /// It votes.
    #[default]
    Voter,
    /// Its disk is blank.
    Blank,
    /// It is listed as a voter and has not caught up.
    CatchingUp,
    /// It is about to stop.
    Stopping,
    /// Its disk is blank and it takes part in the bootstrap of the system.
    Bootstrapping,
    /// It is not listed as a voter: an empty machine that has just come.
    Joiner,
    /// It is not listed as a voter and follows what is committed.
    Learner,
}

/// What must hold for a forwarded write to be taken.
#[binrw]
#[brw(repr = u8)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Precondition {
    /// The current version equals the expected one.
    #[default]
    Version,
    /// The version that was current when the write was submitted still is; a value that is current already is accepted
    /// under any version.
    UnchangedSince,
    /// The release of the current document equals the expected one.
    Release,
    /// Nothing is written: the newest version is asked for.
    Read,
}

/// What became of a forwarded write or read.
#[binrw]
#[brw(repr = u8)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// It is committed, or the newest version was read.
    #[default]
    Accepted,
    /// Another value stands.
    Conflict,
    /// It was not offered to any disk and never will be.
    NotAccepted,
    /// It may or may not be committed.
    Unknown,
    /// Not accepted, as the daemon that was asked is not the key's owner.
    NotOwner,
    /// Offered to disks as the version named, by an owner that then lost the key.
    Deposed,
}
