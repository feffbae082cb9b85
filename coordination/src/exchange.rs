//! An exchange: a request that comes by host and path, and the attempts that are made for it, without any wire format.
//! How it is spelled on a wire is a protocol adapter's business; what it may do is decided by the proxy's state machine.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use remote_calls::{AccessKey, PathSpec};

use crate::Ms;

/// A block of a prompt: its id and its size in tokens. A block is cached only behind all blocks before it.
pub type PrefixBlock = (u64, u32);

/// What a request's head says of the request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Host that the client named.
    pub host: String,
    /// Path of the request, without its query.
    pub path: String,
    /// The caller's name for this attempt of its own; it comes to one edge only.
    pub attempt_id: String,
    /// ms that the caller will wait, if it says so.
    pub time_left_ms: Option<Ms>,
    /// Id of the last event that the caller already has, if it resumes.
    pub last_event_id: Option<String>,
    /// Model that the client asks for.
    pub model: String,
    /// Tokens of the prompt, and most output tokens.
    pub tokens: (u32, u32),
    /// The blocks of its prompt in order; the last is its own or its session's.
    pub prefix_blocks: Vec<PrefixBlock>,
    /// Key of a tenant that it bears, if it bears one.
    pub access_key: Option<AccessKey>,
    /// Tenant that sent it; empty where that is nobody's.
    pub tenant: String,
}

/// Whose request it is, by the spec in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The spec knows no tenants.
    Untenanted,
    /// It bears no tenant's key, and its lane asks for none.
    Anonymous,
    /// The tenant whose key it bears.
    Tenant(Arc<str>),
}

/// What a response's head says of its replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseSignals {
    /// The caller's name of the attempt that is answered.
    pub attempt_id: Option<String>,
    /// The replica says that it did not run the request.
    pub not_run: bool,
    /// Another replica, or another version, is at this address.
    pub is_other_replica: bool,
    /// Requests that run and that wait, and slots.
    pub load: Option<(u32, u32, u32)>,
    /// ms for which it stays cold.
    pub warmup_left_ms: Option<Ms>,
    /// Versions of weights that it ran, as it spells them.
    pub weights_versions: Option<String>,
}

/// How an attempt at a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The response came to its end.
    Completed,
    /// The response's time ran out while it came.
    BodyTimedOut,
    /// It may have run: a reset, a garbled response, an early end, the replica's own failure.
    Failed,
    /// No connection: nothing was sent.
    ConnectRefused,
    /// A connection did not open in time: the machine is off, or the network to it is partitioned. Nothing was sent.
    ConnectTimedOut,
    /// Its time ran out before a response's head came.
    ResponseTimedOut,
    /// The replica says that it did not run it and is full.
    AtCapacity,
    /// Another replica or version is at the address.
    WrongReplica,
    /// The client left.
    ClientGone,
}

impl AttemptOutcome {
    /// Whether the replica counts as failing: it could not be reached, did not answer or answered wrongly.
    pub fn is_replica_fault(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Failed
                | AttemptOutcome::ConnectRefused
                | AttemptOutcome::ConnectTimedOut
                | AttemptOutcome::ResponseTimedOut
        )
    }
}

/// A host as lanes name it: a port in it names the edge, not the lane.
pub fn host_name(host: &str) -> &str {
    host.rsplit_once(':')
        .filter(|(_, port)| port.bytes().all(|byte| byte.is_ascii_digit()))
        .map_or(host, |(name, _)| name)
}

/// Index of a spec's lanes: the lane with the longest prefix of a path wins.
#[derive(Clone, Debug, Default)]
pub struct LaneIndex {
    /// Lanes of each host, those with the longest prefix first.
    lanes_by_host: BTreeMap<String, Vec<Arc<PathSpec>>>,
}

impl LaneIndex {
    /// Indexes all lanes of a spec.
    pub fn new(lanes: Vec<PathSpec>) -> Self {
        let mut lanes_by_host: BTreeMap<String, Vec<Arc<PathSpec>>> = BTreeMap::new();
        for lane in lanes {
            lanes_by_host
                .entry(lane.host.to_ascii_lowercase())
                .or_default()
                .push(Arc::new(lane));
        }
        for lanes in lanes_by_host.values_mut() {
            lanes.sort_by_key(|lane| Reverse(lane.prefix.len()));
            lanes.shrink_to_fit();
        }
        LaneIndex { lanes_by_host }
    }

    /// The lane of a request, if there is one.
    pub fn find(&self, host: &str, path: &str) -> Option<Arc<PathSpec>> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        let lanes = self
            .lanes_by_host
            .get(&host_name(host).to_ascii_lowercase())?;
        lanes
            .iter()
            .find(|lane| path.starts_with(lane.prefix.as_str()))
            .cloned()
    }
}
