//! Everything that a run may do to its fleet, by name.

use remote_calls::RolloutPhase;
use serde::{Deserialize, Serialize};

use crate::{history::Ms, wrong::Wrong};

/// How a version is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
    /// It gives up somewhere in its answer.
    Fails,
    /// It gives up at the end of its answer.
    FailsLate,
    /// It takes many times as long.
    Slow,
    /// It fails where at least half of the replica's places are taken.
    FailsBusy,
}

/// A fault or an act of operators, callers or the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Kill a control daemon; it starts again after so long.
    KillControl {
        at: usize,
        down: Ms,
    },
    /// Kill it and lose its disk.
    WipeControl {
        at: usize,
        down: Ms,
    },
    /// An empty machine takes its place at a new address.
    ReplaceControl {
        at: usize,
        down: Ms,
    },
    /// A spec is put at this daemon, and its disk is lost as soon as the write is confirmed.
    WipeAfterAccept {
        at: usize,
        down: Ms,
    },
    KillAgent {
        at: usize,
        down: Ms,
    },
    KillProxy {
        at: usize,
        down: Ms,
    },
    KillEdge {
        at: usize,
        down: Ms,
    },
    /// A machine stops and goes on.
    FreezeControl {
        at: usize,
        ms: Ms,
    },
    FreezeEdge {
        at: usize,
        ms: Ms,
    },
    /// Nothing passes from the first to the second; both ways unless `one_way`. Names of machines or zones.
    Cut {
        a: Vec<String>,
        b: Vec<String>,
        ms: Ms,
        one_way: bool,
    },
    DiskSlow {
        at: usize,
        sync: Ms,
        ms: Ms,
    },
    DiskFull {
        at: usize,
        ms: Ms,
    },
    ReplicaCrash {
        nth: usize,
        down: Ms,
    },
    ReplicaDark {
        nth: usize,
        ms: Ms,
    },
    /// A replica fails some percent of what it is sent, and reports that it is well.
    ReplicaGrey {
        nth: usize,
        percent: u32,
        ms: Ms,
    },
    /// A replica's health answers are false: it serves nothing and says that it is well, or serves and says that it is not.
    HealthLies {
        nth: usize,
        well: bool,
        ms: Ms,
    },
    /// A replica goes down and comes back cold by turns.
    ReplicaFlaps {
        nth: usize,
        down: Ms,
        up: Ms,
        ms: Ms,
    },
    /// The spec grows by so many lanes, and from then on a long message takes its time: bytes a ms of an edge's link
    /// and of a control machine's.
    LongSpec {
        lanes: usize,
        links: (u64, u64),
    },
    /// The platform warns of a replica and takes it away.
    Warn {
        nth: usize,
        leaves_in: Ms,
    },
    /// Every daemon is killed together and started again.
    TotalLoss {
        down: Ms,
    },
    /// Every control daemon, or every edge.
    LoseControl {
        down: Ms,
    },
    LoseEdges {
        down: Ms,
    },
    /// A region with all that is in it; for good if no time is given.
    LoseRegion {
        zone: usize,
        ms: Option<Ms>,
    },
    /// Every process and replica of a zone's region stops, and starts again; its replicas keep their ids and are cold.
    RestartRegion {
        zone: usize,
        down: Ms,
    },
    /// An edge machine is replaced by an empty one of another name at a new address.
    ReplaceEdge {
        at: usize,
        down: Ms,
    },
    /// Messages take up to so much longer, and some percent are lost or come twice.
    Network {
        extra: Ms,
        lost: u32,
        twice: u32,
        ms: Ms,
    },
    /// A machine's clock runs so many thousandths fast, or slow.
    Clock {
        name: String,
        thousandths: i64,
    },
    /// The daemon that holds the service's duty is cut off from all other control daemons. From then on its clock runs
    /// so many thousandths slow, and theirs as many fast: its lease lasts it longest, and them shortest.
    CutHolder {
        ms: Ms,
        thousandths: i64,
    },
    /// Some percent of the replicas' streams come wrong.
    Misbehave {
        wrong: Wrong,
        percent: u32,
        ms: Ms,
    },
    /// A replica says by itself that it leaves, and goes.
    ReplicaLeaves {
        nth: usize,
        gone_in: Ms,
    },
    /// A replica comes back at another address.
    ReplicaMoves {
        nth: usize,
        down: Ms,
    },
    /// The platform answers nothing; or with the list as it is now.
    PlatformSilent {
        ms: Ms,
    },
    PlatformStale {
        ms: Ms,
    },
    /// Some percent of the duty's orders are lost, and the rest come late.
    Orders {
        lost: u32,
        late: Ms,
        ms: Ms,
    },
    /// Versions take so long to load.
    LoadSlow {
        load: Ms,
        ms: Ms,
    },
    /// A spec that wants so many replicas fewer in a zone, so that some are drained.
    Shrink {
        zone: usize,
        by: u32,
    },
    /// Two operators at different daemons ask for different versions at once.
    RacePlans {
        targets: [String; 2],
    },
    /// Two operators evacuate and restore a zone at once.
    RaceZone {
        zone: usize,
    },
    KillSwitch {
        on: bool,
    },
    /// A fault that waits until the rollout is in a phase, and so long beyond.
    When {
        phase: RolloutPhase,
        wait: Ms,
        then: Box<Fault>,
    },
    Evacuate {
        zone: usize,
    },
    Restore {
        zone: usize,
    },
    PutSpec,
    /// Two specs at once, at different daemons, against the same version.
    RaceSpecs,
    Plan {
        target: String,
    },
    /// From the start of the day the platform places versions: at an order it starts new replicas beside the old
    /// ones, stops the old ones at once when it is completed, and takes the new ones away when it is reverted.
    Places,
    /// One replica is replaced by a new one of another release, which starts first.
    Release {
        nth: usize,
        version: String,
    },
    /// A version is bad from now on, on one lane or all, in one zone or all.
    Bad {
        version: String,
        lane: Option<String>,
        zone: Option<String>,
        percent: u32,
        how: How,
    },
    /// Callers come so many times as often.
    Crowd {
        times: u32,
        ms: Ms,
    },
    /// Callers that are rejected come back when they were told to, up to three times.
    ComeBack {
        ms: Ms,
    },
    /// Callers of the short lane turn to the long one.
    Swing {
        ms: Ms,
    },
    /// Callers of a zone come to another's edges.
    Move {
        from: usize,
        to: usize,
        ms: Ms,
    },
}

/// ms. After a fault has ended its victims come back: loading, warming, being heard of again.
const AFTER: Ms = 8_000;

impl Fault {
    /// How long it leaves the fleet less than whole, so that its rate says nothing; none if it does not, or
    /// if the return itself is what is looked at.
    pub fn disturbs(&self) -> Option<Ms> {
        let ms = match self {
            Fault::KillAgent { down, .. }
            | Fault::KillProxy { down, .. }
            | Fault::KillEdge { down, .. } => *down,
            Fault::FreezeEdge { ms, .. }
            | Fault::Cut { ms, .. }
            | Fault::CutHolder { ms, .. }
            | Fault::ReplicaDark { ms, .. } => *ms,
            Fault::ReplicaCrash { down, .. } => *down,
            Fault::ReplicaGrey { ms, .. }
            | Fault::HealthLies { ms, .. }
            | Fault::ReplicaFlaps { ms, .. } => *ms,
            Fault::Warn { leaves_in, .. } => *leaves_in,
            Fault::Crowd { ms, .. } | Fault::Swing { ms } => *ms,
            Fault::Evacuate { .. }
            | Fault::RaceZone { .. }
            | Fault::LoseRegion { ms: None, .. }
            | Fault::Shrink { .. } => {
                return Some(Ms::MAX);
            }
            Fault::LoseRegion { ms: Some(ms), .. }
            | Fault::Network { ms, .. }
            | Fault::Misbehave { ms, .. } => *ms,
            Fault::RestartRegion { down, .. }
            | Fault::ReplaceEdge { down, .. }
            | Fault::ReplicaMoves { down, .. } => *down,
            Fault::ReplicaLeaves { gone_in, .. } => *gone_in,
            Fault::When { then, .. } => return then.disturbs(),
            Fault::LoadSlow { load, ms } => load + ms,
            Fault::Release { .. } => AFTER,
            Fault::Bad { .. } | Fault::Plan { .. } | Fault::RacePlans { .. } => {
                return Some(Ms::MAX);
            }
            _ => return None,
        };
        Some(ms + AFTER)
    }

    /// Whether a fleet of so many control daemons and edges has what this is done to.
    pub fn fits(&self, controls: usize, edges: usize) -> Result<(), String> {
        let (of, at, what) = match self {
            Fault::KillControl { at, .. }
            | Fault::WipeControl { at, .. }
            | Fault::ReplaceControl { at, .. }
            | Fault::WipeAfterAccept { at, .. }
            | Fault::FreezeControl { at, .. }
            | Fault::DiskSlow { at, .. }
            | Fault::DiskFull { at, .. } => (controls, at, "control daemons"),
            Fault::KillAgent { at, .. }
            | Fault::KillProxy { at, .. }
            | Fault::KillEdge { at, .. }
            | Fault::FreezeEdge { at, .. }
            | Fault::ReplaceEdge { at, .. } => (edges, at, "edges"),
            Fault::When { then, .. } => return then.fits(controls, edges),
            _ => return Ok(()),
        };
        if *at < of {
            Ok(())
        } else {
            Err(format!("{self:?}: there are {of} {what}, counted from 0"))
        }
    }
}
