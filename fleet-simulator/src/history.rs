//! What callers, replicas and operators observed. Checkers read nothing else.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub type Ms = u64;

/// What a caller saw of one try of a request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Told {
    pub request: String,
    pub lane: String,
    pub tier: String,
    pub homes: Vec<String>,
    pub proxy_zone: String,
    pub replica: String,
    pub run: String,
    pub version: String,
    pub warm: bool,
    pub run_once: bool,
    /// The caller's own key, if it gave one.
    #[serde(default)]
    pub key: String,
    /// answered, not_run, unknown, or rejected when nothing was nominated.
    pub outcome: String,
    pub code: String,
    pub retry_after_ms: Option<u64>,
    /// Numbers of the pieces, in the order they came.
    pub pieces: Vec<u64>,
    pub digest: String,
    /// Replica runs whose pieces came in this stream.
    pub runs: Vec<String>,
    pub at_ms: Ms,
    pub ms: Ms,
    pub first_ms: Ms,
    pub in_time: bool,
    /// A repeat of a request that was sent before.
    #[serde(default)]
    pub repeat: bool,
    /// The run of the fleet ended before the caller heard anything.
    #[serde(default)]
    pub cut_short: bool,
}

/// A request that came by host and path, as its caller saw it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Pass {
    pub lane: String,
    /// Where its caller is, whether the last replica stood in its edge's zone, and which that was.
    pub zone: String,
    pub near: bool,
    pub replica: String,
    pub at: Ms,
    /// ms to its first event, when it was wanted by, and when all was over.
    pub first: Option<Ms>,
    pub aim: Ms,
    pub end: Ms,
    /// answered, late, full, or why not.
    pub how: String,
    pub tokens: u32,
    pub shared_tokens: u32,
}

/// A replica's record of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Run {
    pub run: String,
    pub request: String,
    pub replica: String,
    pub zone: String,
    pub lane: String,
    pub version: String,
    pub homes: Vec<String>,
    pub done: bool,
    pub failed: bool,
    /// It took far longer than its lane is expected to.
    #[serde(default)]
    pub slow: bool,
    pub digest: String,
    pub at_ms: Ms,
    pub end_ms: Ms,
}

/// A version that fails, or is far too slow, from some time on: where.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Bad {
    pub at: Ms,
    pub version: String,
    /// Every lane, or every zone, if none is named.
    pub lane: Option<String>,
    pub zone: Option<String>,
}

/// Daemons that were lost together, and when they were started again.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Loss {
    pub from: Ms,
    pub up: Ms,
}

/// An operator's word on a zone. An evacuation counts from its acceptance, a restoring from its asking, as
/// the answer to that may be lost.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ZoneWord {
    pub at: Ms,
    pub zone: String,
    pub evacuated: bool,
    /// The version it was accepted as; none while that is not known.
    pub version: Option<u64>,
}

/// A replica began to serve a version with cold caches.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Cold {
    pub at: Ms,
    pub replica: String,
    /// Every version, or only the one that was newly loaded beside another.
    pub version: Option<String>,
    pub places: u32,
    /// Requests a second that it bears, where that is what counts.
    #[serde(default)]
    pub per_s: Option<f64>,
}

/// A prefix that a replica put into its cache, with the homes of the request that brought it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Cached {
    pub zone: String,
    pub prefix: String,
    pub homes: Vec<String>,
}

/// A replica was sick and said that it was well: from, to, and percent of requests that it spoiled.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Sick {
    pub replica: String,
    pub zone: String,
    pub from: Ms,
    pub to: Ms,
    pub percent: u64,
    /// It answers nothing at all.
    pub silent: bool,
}

/// What a fleet could hold when a crowd came, as its operators know it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Capacity {
    /// Places by zone, and ms that a request of each lane takes with a cold cache.
    pub places: Vec<(String, u64)>,
    pub lanes: Vec<(String, u64)>,
    pub best_tier: String,
    pub short_lane: String,
}

/// Everything observed in one run of a fleet.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct History {
    pub told: Vec<Told>,
    pub runs: Vec<Run>,
    pub cached: Vec<Cached>,
    /// Calls to replicas, taken or not, and those that were a request's first.
    pub calls: u64,
    pub firsts: u64,
    /// Requests that were to run: one each, however many rounds.
    pub asked: u64,
    /// Each call to a replica: when, by which proxy, whether it was its request's first.
    pub rounds: Vec<(Ms, String, bool)>,
    pub cold: Vec<Cold>,
    /// A replica was marked as leaving: its warning was accepted, it said so itself, or its drain was ordered.
    pub leaving: Vec<(Ms, String)>,
    pub zones: Vec<ZoneWord>,
    /// A spec was accepted: when, its version, its mark.
    pub specs: Vec<(Ms, u64, u64)>,
    /// A spec was rejected for good: its mark.
    pub refused: Vec<u64>,
    /// Any write that was accepted: when, its key, its version.
    pub accepted: Vec<(Ms, String, u64)>,
    /// A serving edge honours: when, edge, version, mark.
    pub seen: Vec<(Ms, String, u64, u64)>,
    /// A serving edge was first seen to hold another version of a key: when, edge, key, version.
    pub held: Vec<(Ms, String, String, u64)>,
    pub bad: Vec<Bad>,
    /// An order where the platform places versions: when, its time, its version.
    #[serde(default)]
    pub orders: Vec<(Ms, Ms, String)>,
    /// What a platform that places versions was told of an order: when, and whether it was completed.
    #[serde(default)]
    pub standings: Vec<(Ms, bool)>,
    /// Replicas that it stopped at once while callers were reading from them.
    #[serde(default)]
    pub stopped: Vec<(Ms, String)>,
    /// Orders to load, start or drain that came though the platform places versions.
    #[serde(default)]
    pub misplaced: u64,
    /// From then on one version alone was loaded anywhere.
    pub only: Vec<(Ms, String)>,
    /// More than one daemon said that it held a service's duty: when, who.
    pub holders: Vec<(Ms, Vec<String>)>,
    /// Alerts that operators saw: when, name.
    pub alerts: Vec<(Ms, String)>,
    pub losses: Vec<Loss>,
    /// Something else was wrong with the fleet from, to, so that its rate says nothing.
    pub disturbed: Vec<(Ms, Ms)>,
    /// Replicas that were killed together with their records.
    #[serde(default)]
    pub gone: Vec<String>,
    /// A machine of an edge stood still from, to: nobody there could answer.
    pub stalls: Vec<(Ms, Ms)>,
    #[serde(default)]
    pub sick: Vec<Sick>,
    /// Requests that sick replicas spoiled: when, which replica.
    #[serde(default)]
    pub spoiled: Vec<(Ms, String)>,
    /// Replicas that were sick, or called so, or away, and are well again from then on.
    #[serde(default)]
    pub well_again: Vec<(Ms, String)>,
    /// No edge could reach any control daemon from, to. What was accepted then can reach nobody.
    pub apart: Vec<(Ms, Ms)>,
    /// Messages between processes on different machines, by kind.
    #[serde(default)]
    pub messages: BTreeMap<String, u64>,
    /// Processes that send them.
    #[serde(default)]
    pub processes: u64,
    /// Lanes by host and path whose requests may not be repeated.
    #[serde(default)]
    pub once_lanes: Vec<String>,
    /// Requests that came by host and path; shared tokens that engines read first and again, kept in the end by each
    /// engine, and requests that they put back.
    #[serde(default)]
    pub passes: Vec<Pass>,
    #[serde(default)]
    pub shared_read: u64,
    /// Channels that proxies opened to engines.
    #[serde(default)]
    pub opened: u64,
    #[serde(default)]
    pub shared_again: u64,
    #[serde(default)]
    pub kept_tokens: Vec<u64>,
    #[serde(default)]
    pub put_back: u64,
    pub crowds: Vec<(Ms, Ms)>,
    pub capacity: Capacity,
    pub end_ms: Ms,
}

impl History {
    /// When what was accepted at a time is due within a bound: while every edge is out of reach of all
    /// control daemons nothing can become due.
    pub fn due(&self, at: Ms, bound: Ms) -> Ms {
        self.apart
            .iter()
            .filter(|a| a.0 <= at + bound && a.1 > at)
            .map(|a| a.1)
            .max()
            .unwrap_or(at)
            + bound
    }
}
