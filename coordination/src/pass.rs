//! A request that comes by host and path, as the proxy's brain sees it. How it is spelled on a wire is a
//! dialect's business; what it may do is decided by the same brain as all others.

use std::collections::BTreeMap;

use remote_calls::PathSpec;

use crate::Ms;

/// A part of a prompt: its id and its size in tokens. A part is kept only behind all parts before it.
pub type PrefixBlock = (u64, u32);

/// What a request tells of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    pub host: String,
    pub path: String,
    /// The caller's name for this try; it comes to one edge only.
    pub attempt_id: String,
    /// ms that the caller will wait, if it tells.
    pub time_left_ms: Option<Ms>,
    /// Last piece the caller already has, if it resumes.
    pub last_event_id: Option<String>,
    pub model: String,
    /// Tokens of the prompt, and most tokens out.
    pub tokens: (u32, u32),
    /// The parts of its prompt in order; the last is its own or its session's.
    pub prefix_blocks: Vec<PrefixBlock>,
}

/// What an answer tells of its replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseSignals {
    /// The caller's name of the round that it answers.
    pub attempt_id: Option<String>,
    /// The replica says that it did not run the request.
    pub not_run: bool,
    /// Another replica, or another version, stands at this address.
    pub is_other_replica: bool,
    /// Requests running, waiting, and places.
    pub load: Option<(u32, u32, u32)>,
    /// ms that it stays cold.
    pub warmup_left_ms: Option<Ms>,
    /// Weights' versions that it ran, as it spells them.
    pub weights_versions: Option<String>,
}

/// How a round ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Completed,
    Slow,
    /// It may have run: a reset, a garbled answer, an early end, the replica's own failure.
    Failed,
    /// No channel: nothing was sent.
    ConnectRefused,
    /// Nothing came of opening a channel: its machine is off, or the way there is cut. Nothing was sent.
    ConnectTimedOut,
    /// Its time ran out without a head.
    ResponseTimedOut,
    /// The replica says that it did not run it and is full.
    AtCapacity,
    /// Another replica or version stands at the address.
    WrongReplica,
    /// The downstream left.
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
        .filter(|(_, p)| p.bytes().all(|b| b.is_ascii_digit()))
        .map_or(host, |(h, _)| h)
}

/// Index of a spec's paths: the longest prefix that begins a path wins.
#[derive(Clone, Debug, Default)]
pub struct LaneIndex {
    hosts: BTreeMap<String, Vec<std::sync::Arc<PathSpec>>>,
}

impl LaneIndex {
    pub fn new(all: Vec<PathSpec>) -> Self {
        let mut hosts: BTreeMap<String, Vec<std::sync::Arc<PathSpec>>> = BTreeMap::new();
        for p in all {
            hosts
                .entry(p.host.to_ascii_lowercase())
                .or_default()
                .push(std::sync::Arc::new(p));
        }
        // Longest first: the first that fits wins.
        hosts.values_mut().for_each(|v| {
            v.sort_by_key(|p| std::cmp::Reverse(p.prefix.len()));
            v.shrink_to_fit();
        });
        LaneIndex { hosts }
    }
    pub fn find(&self, host: &str, path: &str) -> Option<std::sync::Arc<PathSpec>> {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        let v = self.hosts.get(&host_name(host).to_ascii_lowercase())?;
        v.iter()
            .find(|p| path.starts_with(p.prefix.as_str()))
            .cloned()
    }
}
