//! Everything that a run may do to its fleet, by name.

use serde::{Deserialize, Serialize};

use crate::history::Ms;

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
    /// The platform warns of a replica and takes it away.
    Warn {
        nth: usize,
        leaves_in: Ms,
    },
    /// Every daemon is killed together and started again.
    TotalLoss {
        down: Ms,
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
    /// A version fails from now on, on one lane or all.
    Bad {
        version: String,
        lane: Option<String>,
        percent: u32,
    },
    /// Callers come so many times as often.
    Crowd {
        times: u32,
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
