//! Checks of a soak's whole history. Those of the simulator that read what is known here are asked too.

use std::collections::{BTreeMap, BTreeSet};

use fleet_simulator::{
    checkers,
    history::{History, Run, Told as ToldCaller},
    register_history::{self, Call, Order, Told},
};
use platform_stand::deployment::Kind;
use serde::Serialize;

use super::history::{
    Answered, Arrived, End, Event, Ms, Observed, Read, ReleaseEnd, Tried, Trouble, Usage,
};

/// Checkers of the simulator that are asked.
const SHARED: [&str; 3] = ["run_once", "not_run", "homes"];
/// ms. An edge that was in unplanned trouble is not held to what it took within this.
const CONTACT: Ms = 4_000;
/// ms. The harness and the processes see one moment at different times.
const SLACK: Ms = 300;
/// ms. A leaving replica gets nothing new after so long.
const DRAIN: Ms = 4_000;
/// ms. The directory names no machine that ended so long ago: a daemon out of touch leaves out what it has not heard of for the
/// contact bound, one in touch sooner; an answer is read a moment after it was made.
const NAMED: Ms = CONTACT + 1_000;
/// Of all requests a bad version may get this share, and so many besides.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: usize = 50;
/// ms from SIGTERM within which a request may be taken that then outlasts the grace.
const TAKEN_EARLY: Ms = 3_000;
/// ms. A process that was started so lately may have no port yet.
const STARTING: Ms = 1_000;
/// A process may use so much more in the end than in the beginning.
const MEMORY_FACTOR: u64 = 2;
const MEMORY_KB: u64 = 16 << 10;
const DESCRIPTORS: u64 = 64;
const DISK: u64 = 8 << 20;

/// What rests on what happened alone, and what rests on how long it took by the wall clock as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Basis {
    Order,
    Timing,
}

/// Something that must not happen and did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    pub check: &'static str,
    pub basis: Basis,
    pub text: String,
}

type Check = fn(&Observed) -> Vec<String>;

const ORDER: [(&str, Check); 14] = [
    ("shared", shared),
    ("own_answer", own_answer),
    ("lost", lost_in_order),
    ("directory_homes", directory_homes),
    ("one_winner", one_winner),
    ("repeats", repeats),
    ("older_read", older_read),
    ("stale_read_while_cut", stale_read_while_cut),
    ("one_register", one_register),
    ("bad_release", bad_release),
    ("kept", |o| o.lost_changes.clone()),
    ("service_returns", |o| o.not_back.clone()),
    ("exit", exit),
    ("resources", resources),
];
const TIMING: [(&str, Check); 7] = [
    ("lost_by_kill", lost_by_kill),
    ("ends_in_grace", ends_in_grace),
    ("drained", drained),
    ("directory_gone", directory_gone),
    ("hung", hung),
    ("exposure", exposure),
    ("release_ends", release_ends),
];

/// All findings.
pub fn check(o: &Observed) -> Vec<Finding> {
    let of = |basis: Basis, all: &[(&'static str, Check)]| {
        let rows = all.iter().flat_map(|(check, f)| {
            f(o).into_iter()
                .map(move |text| Finding { check, basis, text })
        });
        rows.collect::<Vec<_>>()
    };
    [of(Basis::Order, &ORDER), of(Basis::Timing, &TIMING)].concat()
}

fn may_repeat(k: Kind) -> bool {
    matches!(k, Kind::Repeatable | Kind::Resumable)
}

/// Statuses that promise that a request has not run and never will.
fn is_promise(e: End) -> bool {
    matches!(
        e,
        End::Whole {
            status: 408 | 421 | 429 | 503
        }
    )
}

/// The same history as the simulator's checkers read it.
pub fn translate(o: &Observed) -> History {
    let kinds: BTreeMap<&str, Kind> = o.tried.iter().map(|t| (t.id.as_str(), t.kind)).collect();
    let all: Vec<String> = o.regions.iter().map(|r| r.0.clone()).collect();
    let homes = |k: Option<&Kind>| match k {
        Some(Kind::Once) => all
            .iter()
            .filter(|z| o.region(z) == o.home)
            .cloned()
            .collect(),
        _ => all.clone(),
    };
    let run = |a: &Arrived| Run {
        run: a.seal.clone(),
        request: a.id.clone(),
        replica: a.replica.clone(),
        zone: a.zone.clone(),
        version: a.version.clone(),
        homes: homes(kinds.get(a.id.as_str())),
        done: true,
        at_ms: a.at,
        ..Run::default()
    };
    let told = |t: &Tried| ToldCaller {
        request: t.id.clone(),
        run_once: !may_repeat(t.kind),
        outcome: if is_promise(t.end) {
            "not_run".into()
        } else {
            "unknown".into()
        },
        at_ms: t.sent,
        ms: t.ended - t.sent,
        ..ToldCaller::default()
    };
    let runs = o.arrived.iter().filter(|a| a.ran).map(run).collect();
    History {
        told: o.tried.iter().map(told).collect(),
        runs,
        ..History::default()
    }
}

fn shared(o: &Observed) -> Vec<String> {
    let h = translate(o);
    let asked = checkers::ALL
        .iter()
        .filter(|(name, _)| SHARED.contains(name));
    asked
        .flat_map(|(name, f)| f(&h).into_iter().map(move |v| format!("{name}: {v}")))
        .collect()
}

fn own_answer(o: &Observed) -> Vec<String> {
    let wrong = o.tried.iter().filter(|t| !t.own_body);
    wrong
        .map(|t| {
            format!(
                "{} ({:?}) at {} ms got what is not its answer: {:?}",
                t.id, t.kind, t.sent, t.end
            )
        })
        .collect()
}

/// A request that its edge may have lost, the stop of that edge if there is one near, and whether it had been passed on.
struct Lost<'a> {
    tried: &'a Tried,
    stop: Option<&'a Event>,
    passed_on: bool,
}

impl Lost<'_> {
    fn text(&self) -> String {
        let t = self.tried;
        let stop = self
            .stop
            .map_or("no SIGTERM".into(), |s| format!("SIGTERM at {}", s.from));
        let kept = if t.kept { "kept" } else { "new" };
        let Tried {
            id,
            kind,
            edge,
            sent,
            ended,
            end,
            ..
        } = t;
        format!(
            "{id} ({kind:?}, {kept} connection) sent at {sent} to edge {edge}, {end:?} at {ended}; {stop}; passed on: {}",
            self.passed_on
        )
    }
}

fn lost(o: &Observed) -> Vec<Lost<'_>> {
    let mut arrivals: BTreeMap<&str, Vec<&Arrived>> = BTreeMap::new();
    o.arrived
        .iter()
        .for_each(|a| arrivals.entry(&a.id).or_default().push(a));
    let replica_ends: BTreeMap<&str, Ms> = o
        .replica_ends
        .iter()
        .map(|r| (r.id.as_str(), r.at))
        .collect();
    let candidates = o
        .tried
        .iter()
        .filter(|t| matches!(t.end, End::NoAnswer | End::Cut { .. }));
    candidates
        .filter_map(|t| {
            let runs: Vec<&&Arrived> = arrivals
                .get(t.id.as_str())
                .into_iter()
                .flatten()
                .filter(|a| a.ran)
                .collect();
            let replica_failed = runs.iter().any(|a| {
                let ended = replica_ends.get(a.replica.as_str());
                a.breaks || ended.is_some_and(|at| *at + SLACK >= t.sent && *at <= t.ended + SLACK)
            });
            let here = || o.events.iter().filter(|e| e.edge == Some(t.edge));
            let unplanned = here().any(|e| {
                let sudden = matches!(e.trouble, Trouble::Killed | Trouble::Frozen);
                sudden && e.from <= t.ended + SLACK && e.until.saturating_add(CONTACT) >= t.sent
            });
            let near = |e: &&Event| {
                e.trouble == Trouble::Stopped
                    && e.from <= t.ended + SLACK
                    && e.until.saturating_add(SLACK) >= t.sent
            };
            let stop = here().find(near);
            // A connection may also be of a former life of its edge, which its caller notices only now.
            let former = here().any(|e| {
                !matches!(e.trouble, Trouble::Hangup | Trouble::Cut)
                    && e.from + SLACK >= t.opened
                    && e.from <= t.ended + SLACK
            });
            let crossed = runs.is_empty() && (stop.is_some() || former);
            let outlasted = stop.is_some_and(|s| {
                t.sent <= s.from + TAKEN_EARLY && t.ended + SLACK >= s.from + o.grace - o.grace / 6
            });
            let excused = replica_failed || unplanned || crossed || outlasted;
            (!excused).then_some(Lost {
                tried: t,
                stop,
                passed_on: !runs.is_empty(),
            })
        })
        .collect()
}

/// A process that had to be killed at the end of its grace had too little of the machine, or hung.
fn by_kill(l: &Lost) -> bool {
    l.stop.is_some_and(|s| s.ended_well.is_none())
}

fn lost_in_order(o: &Observed) -> Vec<String> {
    lost(o)
        .iter()
        .filter(|l| !by_kill(l))
        .map(Lost::text)
        .collect()
}

fn lost_by_kill(o: &Observed) -> Vec<String> {
    lost(o)
        .iter()
        .filter(|l| by_kill(l))
        .map(Lost::text)
        .collect()
}

fn directory_homes(o: &Observed) -> Vec<String> {
    let far = o.directed.iter().filter_map(|d| {
        let own = o.region(&d.zone);
        let region = |e: &usize| o.region(&o.edge_zones[*e]);
        let out: Vec<usize> = d
            .edges
            .iter()
            .copied()
            .filter(|e| ![own, o.home.as_str()].contains(&region(e)))
            .collect();
        (!out.is_empty()).then(|| {
            format!(
                "at {} ms callers of {} were told of edges {out:?}",
                d.at, d.zone
            )
        })
    });
    far.collect()
}

fn one_winner(o: &Observed) -> Vec<String> {
    let mut on: BTreeMap<u64, BTreeSet<(Ms, u64)>> = BTreeMap::new();
    for c in o.changes.iter().filter(|c| c.is_accepted() && !c.repeated) {
        on.entry(c.on).or_default().insert((c.sent, c.release));
    }
    let both = on.iter().filter(|(_, v)| v.len() > 1);
    both.map(|(on, v)| format!("changes {v:?} on release {on} were all acknowledged"))
        .collect()
}

fn repeats(o: &Observed) -> Vec<String> {
    let refused = o
        .changes
        .iter()
        .filter(|c| c.repeated && c.answer == Answered::Refused);
    refused
        .map(|c| {
            format!(
                "release {} was acknowledged, sent again at {} ms and refused",
                c.release, c.sent
            )
        })
        .collect()
}

/// What is wrong with a read, if it told an older configuration than was acknowledged before it was sent.
fn older_than_acknowledged(o: &Observed, r: &Read) -> Option<String> {
    let acked = o
        .changes
        .iter()
        .filter(|c| c.is_accepted() && c.answered < r.sent)
        .map(|c| c.release)
        .max()?;
    (r.release < acked).then(|| {
        format!(
            "{} told release {} at {} ms, {acked} had been acknowledged",
            r.machine, r.release, r.sent
        )
    })
}

fn older_read(o: &Observed) -> Vec<String> {
    o.reads
        .iter()
        .filter_map(|r| older_than_acknowledged(o, r))
        .collect()
}

/// Whether a read was under way while its control daemon was cut off from the others.
pub fn is_read_while_cut(o: &Observed, r: &Read) -> bool {
    o.events.iter().any(|e| {
        e.trouble == Trouble::Cut && e.machine == r.machine && e.from <= r.at && e.until >= r.sent
    })
}

/// A control daemon that is cut off does not know what the others accept: it may be silent, and never tell what is older.
fn stale_read_while_cut(o: &Observed) -> Vec<String> {
    o.reads
        .iter()
        .filter(|r| is_read_while_cut(o, r))
        .filter_map(|r| older_than_acknowledged(o, r))
        .collect()
}

/// Whether the configurations that were told, to operators and readers, could be those of a single register.
fn one_register(o: &Observed) -> Vec<String> {
    let mut history = register_history::History::default();
    let mut number: BTreeMap<&str, usize> = BTreeMap::new();
    for c in &o.changes {
        let order = *number.entry(&c.document).or_insert_with(|| {
            let value = c.document.clone().into_bytes();
            history.orders.push(Order {
                value,
                unconditional: false,
            });
            history.orders.len() - 1
        });
        let told = match c.answer {
            Answered::Accepted => Told::Version(c.release),
            Answered::Refused => Told::Refused(None),
            Answered::Unclear => Told::Unclear,
        };
        if c.is_accepted() {
            history.see(c.release, c.document.as_bytes(), c.answered);
        }
        history.calls.push(Call {
            order: Some(order),
            began: c.sent,
            ended: c.answered,
            told,
        });
    }
    for r in &o.reads {
        history.see(r.release, r.document.as_bytes(), r.at);
        history.calls.push(Call {
            order: None,
            began: r.sent,
            ended: r.at,
            told: Told::Version(r.release),
        });
    }
    history.faults()
}

fn bad_release(o: &Observed) -> Vec<String> {
    let told = o
        .releases
        .iter()
        .filter(|r| r.bad && r.end == ReleaseEnd::Completed);
    told.map(|r| {
        format!(
            "{} fails every request and was told to be completed at {} ms",
            r.version, r.ended
        )
    })
    .collect()
}

fn exposure(o: &Observed) -> Vec<String> {
    let over = o.releases.iter().filter(|r| r.bad).filter_map(|r| {
        let during = || {
            o.arrived
                .iter()
                .filter(|a| a.at >= r.ordered && a.at <= r.ended)
        };
        let (all, got) = (
            during().count(),
            during().filter(|a| a.version == r.version).count(),
        );
        let most = (all as f64 * EXPOSURE_SHARE) as usize + EXPOSURE_SLACK;
        (got > most).then(|| {
            format!(
                "{} got {got} of {all} requests from {} to {} ms",
                r.version, r.ordered, r.ended
            )
        })
    });
    over.collect()
}

fn release_ends(o: &Observed) -> Vec<String> {
    let open = o.releases.iter().filter(|r| r.end == ReleaseEnd::GivenUp);
    open.map(|r| {
        format!(
            "{} was ordered at {} ms and had no end at {} ms",
            r.version, r.ordered, r.ended
        )
    })
    .collect()
}

fn exit(o: &Observed) -> Vec<String> {
    // Before it has a port a process has taken nothing, and SIGTERM ends it at once.
    let starting = |e: &Event| {
        o.events
            .iter()
            .any(|p| p.machine == e.machine && p.until <= e.from && p.until + STARTING > e.from)
    };
    let bad = o
        .events
        .iter()
        .filter(|e| e.ended_well == Some(false) && !starting(e));
    bad.map(|e| {
        format!(
            "{} ended with a failure after SIGTERM at {} ms: {}",
            e.machine, e.from, e.statuses
        )
    })
    .collect()
}

fn ends_in_grace(o: &Observed) -> Vec<String> {
    let stops = o
        .events
        .iter()
        .filter(|e| e.trouble == Trouble::Stopped && e.until < Ms::MAX);
    let killed = stops.filter(|e| e.ended_well.is_none());
    killed
        .map(|e| {
            format!(
                "{} was still there {} ms after SIGTERM at {} ms",
                e.machine, o.grace, e.from
            )
        })
        .collect()
}

fn drained(o: &Observed) -> Vec<String> {
    let told: BTreeMap<&str, Ms> = o
        .replica_ends
        .iter()
        .filter_map(|r| Some((r.id.as_str(), r.draining?)))
        .collect();
    let edges: BTreeMap<&str, usize> = o.tried.iter().map(|t| (t.id.as_str(), t.edge)).collect();
    // An edge that is cut off is not told; it is held to it once it is in touch again.
    let was_cut = |a: &Arrived, since: Ms| {
        let edge = edges.get(a.id.as_str()).copied();
        o.events.iter().any(|e| {
            e.trouble == Trouble::Cut
                && e.edge == edge
                && e.from <= a.at
                && e.until.saturating_add(CONTACT) >= a.at - since
        })
    };
    let late = o.arrived.iter().filter_map(|a| {
        let since = a.at.checked_sub(*told.get(a.replica.as_str())?)?;
        (a.ran && since > DRAIN + SLACK && !was_cut(a, since)).then(|| {
            format!(
                "{} came to {} {since} ms after it began to drain",
                a.id, a.replica
            )
        })
    });
    late.collect()
}

fn directory_gone(o: &Observed) -> Vec<String> {
    let named = o
        .directed
        .iter()
        .flat_map(|d| d.edges.iter().map(move |e| (d, *e)))
        .filter_map(|(d, edge)| {
            let down = o.events.iter().find(|e| {
                let dead = matches!(e.trouble, Trouble::Killed | Trouble::Frozen);
                dead && e.edge == Some(edge) && e.from + NAMED < d.at && d.at < e.until
            })?;
            Some(format!(
                "edge {edge}, {:?} at {} ms, was named at {} ms",
                down.trouble, down.from, d.at
            ))
        });
    named.collect()
}

fn hung(o: &Observed) -> Vec<String> {
    let frozen = |t: &Tried| {
        o.events.iter().any(|e| {
            e.edge == Some(t.edge)
                && e.trouble == Trouble::Frozen
                && e.from <= t.ended
                && e.until >= t.sent
        })
    };
    let all = o.tried.iter().filter(|t| t.end == End::Hung && !frozen(t));
    all.map(|t| {
        format!(
            "{} ({:?}) sent at {} ms to edge {} had no end",
            t.id, t.kind, t.sent, t.edge
        )
    })
    .collect()
}

fn resources(o: &Observed) -> Vec<String> {
    let before: BTreeMap<&str, &Usage> = o
        .usage_before
        .iter()
        .map(|u| (u.process.as_str(), u))
        .collect();
    let grown = o.usage_after.iter().filter_map(|a| {
        let b = before.get(a.process.as_str())?;
        let memory = a.memory_kb > b.memory_kb * MEMORY_FACTOR + MEMORY_KB;
        let descriptors = a.descriptors > b.descriptors + DESCRIPTORS;
        let disk = a.disk > b.disk + DISK;
        (memory || descriptors || disk).then(|| format!("{} grew from {b:?} to {a:?}", a.process))
    });
    grown.collect()
}
