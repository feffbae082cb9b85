//! What a soak observed. Checks read nothing else.

use platform_stand::deployment::Kind;
use serde::Serialize;

/// ms since the soak's traffic began.
pub type Ms = u64;

/// One request as its caller saw it.
#[derive(Clone, Debug, Serialize)]
pub struct Tried {
    pub id: String,
    #[serde(serialize_with = "kind_name")]
    pub kind: Kind,
    /// Index of the edge that it was sent to.
    pub edge: usize,
    pub sent: Ms,
    pub ended: Ms,
    /// It went on a connection that had carried another, and when that was opened.
    pub kept: bool,
    pub opened: Ms,
    pub end: End,
    /// The body is what its replica said to this very request.
    pub own_body: bool,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum End {
    /// The caller could not connect.
    Unconnected,
    /// The connection ended without a head.
    NoAnswer,
    /// The answer broke off.
    Cut {
        status: u16,
    },
    Whole {
        status: u16,
    },
    /// The caller left.
    Left,
    /// Nothing ended it within the time that the caller had given, and a little more.
    Hung,
}

fn kind_name<S: serde::Serializer>(k: &Kind, s: S) -> Result<S::Ok, S::Error> {
    s.serialize_str(&format!("{k:?}"))
}

/// What was done to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Trouble {
    /// SIGTERM, and a new start once its processes have ended.
    Stopped,
    Killed,
    Frozen,
    Hangup,
    /// Killed, and started again with an empty disk.
    Wiped,
    /// Frames from or to the other machines' processes, or both, are dropped.
    Cut,
}

/// One machine's trouble from its beginning until its processes run again.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    pub machine: String,
    /// The index of an edge; none for a control machine.
    pub edge: Option<usize>,
    pub trouble: Trouble,
    pub from: Ms,
    pub until: Ms,
    /// How its processes ended after SIGTERM: `None` where they had to be killed at the end of their grace.
    pub ended_well: Option<bool>,
    /// Their exit statuses, where not all were well.
    pub statuses: String,
}

/// A machine's processes ran from one program. Noted only where machines are moved between programs.
#[derive(Clone, Debug, Serialize)]
pub struct ProgramRun {
    pub machine: String,
    pub program: String,
    /// When they were started; 0 for the first start.
    pub from: Ms,
    /// When they were told to stop; none for the last run.
    pub until: Option<Ms>,
}

/// A replica's life ended.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaEnd {
    pub id: String,
    /// When the list first said that it leaves; none if it crashed.
    pub draining: Option<Ms>,
    pub at: Ms,
}

/// A request that came to a replica.
#[derive(Clone, Debug, Serialize)]
pub struct Arrived {
    pub id: String,
    pub replica: String,
    pub zone: String,
    pub version: String,
    pub seal: String,
    pub at: Ms,
    pub ran: bool,
    /// The replica was to break its answer off.
    pub breaks: bool,
}

/// What the directory told callers of a zone.
#[derive(Clone, Debug, Serialize)]
pub struct Directed {
    pub at: Ms,
    pub zone: String,
    pub edges: Vec<usize>,
}

/// What an order came to, as its operator was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Answered {
    Accepted,
    Refused,
    /// It was given up without a clear answer, and may be in force or not.
    Unclear,
}

/// A change of the configuration.
#[derive(Clone, Debug, Serialize)]
pub struct Change {
    pub release: u64,
    /// The release that it was made on.
    pub on: u64,
    /// The whole document.
    pub document: String,
    pub sent: Ms,
    pub answered: Ms,
    pub answer: Answered,
    /// The same change had been acknowledged before and no other change was made since.
    pub repeated: bool,
}

impl Change {
    pub fn is_accepted(&self) -> bool {
        self.answer == Answered::Accepted
    }
}

/// A control daemon told its configuration.
#[derive(Clone, Debug, Serialize)]
pub struct Read {
    pub sent: Ms,
    pub at: Ms,
    pub machine: String,
    pub release: u64,
    /// The whole document.
    pub document: String,
}

/// A version of the replicas that was ordered.
#[derive(Clone, Debug, Serialize)]
pub struct Release {
    pub version: String,
    /// It fails every request.
    pub bad: bool,
    /// When its order was first sent, and when it had its end.
    pub ordered: Ms,
    pub ended: Ms,
    pub end: ReleaseEnd,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ReleaseEnd {
    Completed,
    Reverted,
    /// Its order got no answer, or none of the daemons told an end.
    GivenUp,
}

/// What a process uses.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Usage {
    pub process: String,
    pub memory_kb: u64,
    pub descriptors: u64,
    /// Bytes of its data folder.
    pub disk: u64,
}

/// Everything that one soak observed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Observed {
    pub seed: u64,
    pub processes: usize,
    /// ms from SIGTERM to SIGKILL.
    pub grace: Ms,
    /// Regions of zones, zones of edges, and the region in which what runs once is to stay.
    pub regions: Vec<(String, String)>,
    pub edge_zones: Vec<String>,
    pub home: String,
    pub tried: Vec<Tried>,
    pub arrived: Vec<Arrived>,
    pub events: Vec<Event>,
    pub program_runs: Vec<ProgramRun>,
    pub replica_ends: Vec<ReplicaEnd>,
    pub directed: Vec<Directed>,
    pub changes: Vec<Change>,
    pub reads: Vec<Read>,
    pub releases: Vec<Release>,
    /// Service did not come back for these edges and kinds of request.
    pub not_back: Vec<String>,
    /// The configuration that stands at the end is not the newest acknowledged one: what was said.
    pub lost_changes: Vec<String>,
    pub usage_before: Vec<Usage>,
    pub usage_after: Vec<Usage>,
}

impl Observed {
    pub fn region(&self, zone: &str) -> &str {
        self.regions
            .iter()
            .find(|r| r.0 == zone)
            .map_or("", |r| &r.1)
    }
}
