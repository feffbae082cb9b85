//! Types of an exchange: a request routed by host and path, and the attempts made for it. They are independent of the
//! wire format, which a protocol adapter defines; the proxy's state machine decides how the exchange proceeds.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use remote_calls::{AccessKey, PathSpec};

use crate::Ms;

/// A block of a prompt: its id and its size in tokens. A block is cached only together with all preceding blocks.
pub type PrefixBlock = (u64, u32);

/// The information in a request's head.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Host that the client requested.
    pub host: String,
    /// Path of the request, without its query.
    pub path: String,
    /// The caller's own id of this attempt, which it sends to one edge only.
    pub attempt_id: String,
    /// Time that the caller will wait, in ms, if it is given.
    pub time_left_ms: Option<Ms>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<String>,
    /// Requested model.
    pub model: String,
    /// Number of prompt tokens and maximum number of output tokens.
    pub tokens: (u32, u32),
    /// The blocks of the prompt in order. The last one is specific to the request or its session.
    pub prefix_blocks: Vec<PrefixBlock>,
    /// The tenant access key in the request, if there is one.
    pub access_key: Option<AccessKey>,
    /// The tenant that sent the request; empty if there is none.
    pub tenant: String,
}

/// The sender of a request according to the current spec.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The spec defines no tenants.
    Untenanted,
    /// The request has no access key, and its lane requires none.
    Anonymous,
    /// The tenant whose access key the request has.
    Tenant(Arc<str>),
}

/// The information about the replica in a response's head.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseSignals {
    /// The caller's id of the attempt that this response answers.
    pub attempt_id: Option<String>,
    /// The replica reports that it did not run the request.
    pub not_run: bool,
    /// The address belongs to another replica or another version.
    pub is_other_replica: bool,
    /// Number of running requests, queued requests and slots.
    pub load: Option<(u32, u32, u32)>,
    /// Time for which the replica continues to warm up, in ms.
    pub warmup_left_ms: Option<Ms>,
    /// Versions of weights with which the replica ran the request, in the replica's notation.
    pub weights_versions: Option<String>,
}

/// How an attempt at a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The response was received completely.
    Completed,
    /// The time limit expired while the response was being received.
    BodyTimedOut,
    /// The attempt failed and may have run: connection reset, invalid or truncated response, or replica failure.
    Failed,
    /// The connection was refused; nothing was sent.
    ConnectRefused,
    /// Connecting timed out, because the machine is off or unreachable; nothing was sent.
    ConnectTimedOut,
    /// The time limit expired before a response head was received.
    ResponseTimedOut,
    /// The replica reports that it did not run the request because it is full.
    AtCapacity,
    /// The address belongs to another replica or version.
    WrongReplica,
    /// The client disconnected.
    ClientGone,
}

impl AttemptOutcome {
    /// Whether the outcome counts as a replica failure: it was unreachable, did not respond or responded wrongly.
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

/// Strips the port from a host, as lanes are defined by host name alone; the port belongs to the edge.
pub fn host_name(host: &str) -> &str {
    host.rsplit_once(':')
        .filter(|(_, port)| port.bytes().all(|byte| byte.is_ascii_digit()))
        .map_or(host, |(name, _)| name)
}

/// Index of a spec's lanes by host. Of several lanes whose prefix matches a path, the one with the longest is used.
#[derive(Clone, Debug, Default)]
pub struct LaneIndex {
    /// Lanes of each host by descending length of their prefix.
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

    /// Returns the lane of a request, if there is one.
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
