//! What callers, replicas and operators observed. Checkers read nothing else.

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
    pub digest: String,
    pub at_ms: Ms,
    pub end_ms: Ms,
}

/// Everything observed in one run of a fleet.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct History {
    pub told: Vec<Told>,
    pub runs: Vec<Run>,
    /// Calls to replicas, taken or not, and those that were a request's first.
    pub calls: u64,
    pub firsts: u64,
    /// Requests that were to run: one each, however many rounds.
    pub asked: u64,
    /// A replica came back with cold caches: when it was ready, its id, its places.
    pub cold: Vec<(Ms, String, u32)>,
    /// The platform's warning was accepted.
    pub warned: Vec<(Ms, String)>,
    /// A zone's evacuation was accepted (true), or its restoring was asked for: an answer may be lost.
    pub zones: Vec<(Ms, String, bool)>,
    /// A spec was accepted: when, its version, its mark.
    pub specs: Vec<(Ms, u64, u64)>,
    /// A spec was rejected for good: its mark.
    pub refused: Vec<u64>,
    /// A serving edge honours: when, edge, version, mark.
    pub seen: Vec<(Ms, String, u64, u64)>,
    /// A version that fails from then on, and the lane if it is only one.
    pub bad: Vec<(Ms, String, Option<String>)>,
    /// Every daemon was down until then.
    pub losses: Vec<Ms>,
    /// A machine of an edge stood still from, to: nobody there could answer.
    pub stalls: Vec<(Ms, Ms)>,
    /// No edge could reach any control daemon from, to. What was accepted then can reach nobody.
    pub apart: Vec<(Ms, Ms)>,
    pub end_ms: Ms,
}
