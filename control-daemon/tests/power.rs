//! The disk under every loss of power: a stand-in records what is written, synced, made and removed, and at each step
//! the folder is opened as a loss of power there might have left it. And a disk that refuses, fills up or hangs.

mod stand_in;

use std::{collections::BTreeMap, path::PathBuf};

use control_daemon::disk::{Disk, DiskState};
use coordination::Row;
use futures_util::FutureExt;
use googletest::prelude::*;
use stand_in::{FaultKind, Folder, InjectedFault, Op, heal, put, storage, with};
use wire_messages::{Blob, List, ReplacedValue, Slot};

/// Bytes that a disk writes whole.
const SECTOR: usize = 512;
/// How often a failed disk is opened again before the test gives up: no fault lasts as many steps.
const TRIES: usize = 200;

type Files = BTreeMap<String, Vec<u8>>;

fn slot(key: &str, version: u64, bytes: usize) -> Row {
    let (value, past) = (
        Blob(vec![version as u8; bytes]),
        List(vec![
            ReplacedValue {
                release: version,
                digest: version.into()
            };
            3
        ]),
    );
    Row::Slot(Slot {
        key: key.into(),
        version,
        value,
        replaced: past,
        ..Slot::default()
    })
}
/// Versions of the two keys; both of one sync are there, or neither.
fn version(rows: &[Row]) -> Option<u64> {
    let of = |key: &str| {
        let all = rows
            .iter()
            .filter_map(|r| if let Row::Slot(s) = r { Some(s) } else { None });
        all.filter(|s| &*s.key == key)
            .map(|s| s.version)
            .next()
            .unwrap_or(0)
    };
    (of("a") == of("b")).then(|| of("a"))
}
fn block<T>(f: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap()
        .block_on(f)
}
fn disk(folder: &str) -> Disk {
    Disk::start_on(storage(), PathBuf::from(folder), 0)
}
fn acknowledge(folder: &str, v: u64) {
    with(folder, |f| f.log.push(Op::Acknowledged(v)));
}

/// What is on a file's way to the disk, in order.
#[derive(Clone)]
struct Change {
    op: Op,
    synced: bool,
    /// A sync of it failed: no later one counts for it.
    doubtful: bool,
}

/// The disk itself: what is sure to be on it, and what may be.
#[derive(Clone, Default)]
struct Platter {
    files: Vec<(Vec<u8>, Vec<Change>)>,
    names: BTreeMap<String, usize>,
    synced: BTreeMap<String, usize>,
}

impl Platter {
    fn of(files: &Files) -> Self {
        let names: BTreeMap<String, usize> = files
            .keys()
            .enumerate()
            .map(|(i, n)| (n.clone(), i))
            .collect();
        let files = files.values().map(|b| (b.clone(), vec![])).collect();
        Platter {
            files,
            synced: names.clone(),
            names,
        }
    }
    fn step(&mut self, op: &Op) {
        match op {
            Op::Create(i, n) => {
                self.files.resize(i + 1, Default::default());
                self.names.insert(n.clone(), *i);
            }
            Op::Remove(n) => drop(self.names.remove(n)),
            Op::Write(i, ..) | Op::Length(i, _) => {
                self.files[*i].1.push(Change {
                    op: op.clone(),
                    synced: false,
                    doubtful: false,
                });
            }
            Op::Sync(i) => {
                let (bytes, changes) = &mut self.files[*i];
                changes
                    .iter_mut()
                    .filter(|c| !c.doubtful)
                    .for_each(|c| c.synced = true);
                let sure = changes.iter().take_while(|c| c.synced).count();
                changes
                    .drain(..sure)
                    .for_each(|c| apply(bytes, &c.op, usize::MAX));
            }
            Op::SyncLost(i) => self.files[*i]
                .1
                .iter_mut()
                .filter(|c| !c.synced)
                .for_each(|c| c.doubtful = true),
            Op::SyncNames => self.synced = self.names.clone(),
            Op::Acknowledged(_) => {}
        }
    }
    /// What a loss of power leaves.
    fn lost(&self, rng: &mut fastrand::Rng) -> Files {
        // All that is not sure is gone, or there, or each by chance; and names likewise.
        let (keep, keep_names) = (
            [0, 100, rng.u8(..101)][rng.usize(..3)],
            [0, 100, 50][rng.usize(..3)],
        );
        let mut files = Files::new();
        for n in self.names.keys().chain(self.synced.keys()) {
            let from = if rng.u8(..100) < keep_names {
                &self.names
            } else {
                &self.synced
            };
            let Some(i) = from.get(n) else { continue };
            let (bytes, changes) = &self.files[*i];
            let mut bytes = bytes.clone();
            for c in changes {
                let there = c.synced || rng.u8(..100) < keep;
                let torn = !c.synced && keep < 100 && rng.u8(..8) == 0;
                let most = if torn {
                    rng.usize(..9) * SECTOR / 2
                } else {
                    usize::MAX
                };
                if there {
                    apply(&mut bytes, &c.op, most);
                }
            }
            files.insert(n.clone(), bytes);
        }
        files
    }
}

/// Carries a change out, up to so many bytes of it.
fn apply(bytes: &mut Vec<u8>, op: &Op, most: usize) {
    match op {
        Op::Write(_, at, b) => put(bytes, *at, &b[..b.len().min(most)]),
        Op::Length(_, n) => bytes.resize(*n, 0),
        _ => {}
    }
}

/// Opens a folder with these files; gives what it held and what the opening did to it.
fn opened(name: &str, files: &Files) -> (std::result::Result<DiskState, String>, Vec<Op>) {
    with(name, |f| *f = Folder::of(files));
    let d = disk(name);
    let held = block(d.open()).map_err(|e| format!("{e:?}"));
    // A folder that could not be opened has no file open any more.
    let log = with(name, |f| {
        f.passing = true;
        std::mem::take(&mut f.log)
    });
    (held, log)
}

/// What was acknowledged by then, and what was given to the disk.
struct Known {
    id: Option<u64>,
    acknowledged: u64,
    /// Highest version that may be met.
    most: u64,
}

fn check(held: &std::result::Result<DiskState, String>, k: &Known, at: &str) {
    let Ok(DiskState {
        disk_id: id,
        is_blank: blank,
        rows,
    }) = held
    else {
        return expect_that!(held, ok(anything()), "{at}: it cannot be opened");
    };
    if let Some(was) = k.id {
        expect_that!((*id, *blank), eq((was, false)), "{at}: another disk");
    }
    expect_that!(
        version(rows),
        some(all!(ge(k.acknowledged), le(k.most))),
        "{at}"
    );
}

/// Loses power at each step of a log, in some ways each; and again while the folder is opened.
fn lose_power(name: &str, log: &[Op], id: u64, ways: usize, rng: &mut fastrand::Rng) {
    let (mut p, mut k) = (
        Platter::default(),
        Known {
            id: None,
            acknowledged: 0,
            most: 1,
        },
    );
    for (n, op) in log.iter().enumerate() {
        p.step(op);
        if let Op::Acknowledged(v) = op {
            k = Known {
                id: Some(id),
                acknowledged: *v,
                most: v + 1,
            };
        }
        for way in 0..ways {
            let at = format!("{name}: step {n} of {} {way}", log.len());
            let files = p.lost(rng);
            let (held, again) = opened(&format!("/{name}-{n}-{way}"), &files);
            check(&held, &k, &at);
            if rng.u8(..4) > 0 || again.is_empty() {
                continue;
            }
            let mut p = Platter::of(&files);
            let upto = rng.usize(..again.len());
            again[..upto].iter().for_each(|op| p.step(op));
            let (held, _) = opened(&format!("/{name}-{n}-{way}-again"), &p.lost(rng));
            check(&held, &k, &format!("{at}, and again at {upto}"));
        }
    }
}

#[gtest]
fn power_is_lost_at_every_step() {
    let mut rng = fastrand::Rng::with_seed(11);
    let (name, folder) = ("power", "/power");
    let d = disk(folder);
    let DiskState {
        disk_id: id,
        is_blank: blank,
        ..
    } = block(d.open()).unwrap();
    expect_true!(blank);
    acknowledge(folder, 0);
    // Enough for the log to be folded in and begun anew; in between the folder is opened anew, as after a failed sync.
    for v in 1..=45u64 {
        let bytes = rng.usize(1..60_000);
        block(d.sync(vec![slot("a", v, bytes), slot("b", v, bytes / 2)])).unwrap();
        acknowledge(folder, v);
        if v % 20 == 0 {
            expect_that!(
                block(d.open()).map(|state| (state.disk_id, state.is_blank)),
                ok(eq(&(id, false)))
            );
        }
    }
    let log = with(folder, |f| f.log.clone());
    let syncs = log.iter().filter(|o| matches!(o, Op::Sync(_))).count();
    let folded = log.iter().filter(|o| matches!(o, Op::Write(0, ..))).count();
    expect_that!((syncs, folded, log.len()), (gt(60), gt(100), gt(1_500)));
    lose_power(name, &log, id, 2, &mut rng);
}

/// What the daemon does: after a failed sync nothing is written before the folder was read anew.
fn work(folder: &str, syncs: u64, rng: &mut fastrand::Rng) -> (Option<u64>, u64) {
    let d = disk(folder);
    let (mut id, mut last, mut at) = (None, 0, 0);
    let reopen = |id: &mut Option<u64>, last: u64, at: u64| {
        let held = (0..TRIES)
            .find_map(|_| block(d.open()).ok())
            .expect("it opens in the end");
        let v = version(&held.rows);
        expect_that!(v, some(all!(ge(last), le(at))), "{folder}");
        if last > 0 {
            expect_that!(Some(held.disk_id), eq(*id), "{folder}");
        }
        *id = Some(held.disk_id);
        v.unwrap_or(0)
    };
    let mut stands = reopen(&mut id, 0, 0);
    acknowledge(folder, stands);
    while stands < syncs {
        at = stands + 1;
        let bytes = rng.usize(1..90_000);
        if block(d.sync(vec![slot("a", at, bytes), slot("b", at, bytes / 2)])).is_ok() {
            last = at;
            stands = at;
        } else {
            stands = reopen(&mut id, last, at);
            last = stands;
        }
        acknowledge(folder, last);
    }
    (id, at)
}

/// A disk that refuses, or has no room, from any step on for some steps: what was acknowledged is stored, stays so, and is
/// found after a loss of power.
#[gtest]
fn a_disk_that_fails_for_a_while_loses_nothing_that_was_acknowledged() {
    let mut rng = fastrand::Rng::with_seed(12);
    let all = {
        work("/well", 24, &mut rng.clone());
        with("/well", |f| f.steps)
    };
    expect_that!(all, gt(600));
    let mut met = 0;
    for from in (1..all).step_by(4) {
        for (long, how) in [
            (1, FaultKind::Refuses),
            (7, FaultKind::Full),
            (40, FaultKind::Refuses),
        ] {
            let folder = format!("/fault-{from}-{long}");
            with(&folder, |f| {
                f.fault = Some(InjectedFault {
                    steps: from..from + long,
                    kind: how,
                });
            });
            let (id, most) = work(&folder, 24, &mut rng.clone());
            let log = with(&folder, |f| {
                f.passing = true;
                std::mem::take(&mut f.log)
            });
            met += u64::from(log.iter().any(|o| matches!(o, Op::SyncLost(_))));
            let mut p = Platter::default();
            log.iter().for_each(|o| p.step(o));
            let (held, _) = opened(&format!("{folder}-lost"), &p.lost(&mut rng));
            check(
                &held,
                &Known {
                    id,
                    acknowledged: most,
                    most,
                },
                &folder,
            );
        }
    }
    // Syncs were among what failed.
    expect_that!(met, gt(20));
}

/// While a disk hangs nothing is acknowledged; who gives it more than it can queue is rejected at once; and when it goes on all that it
/// took is there.
#[gtest]
fn a_disk_that_hangs_acknowledges_nothing_and_loses_nothing() {
    let folder = "/hangs";
    let d = disk(folder);
    block(d.open()).unwrap();
    with(folder, |f| {
        f.fault = Some(InjectedFault {
            steps: 0..u64::MAX,
            kind: FaultKind::Hangs,
        });
    });
    let mut first = Box::pin(d.sync(vec![slot("a", 1, 10), slot("b", 1, 10)]));
    let mut taken = vec![];
    let refused = (2..1_000_000).find(|v| {
        let mut s = Box::pin(d.sync(vec![slot("a", *v, 10), slot("b", *v, 10)]));
        match s.as_mut().now_or_never() {
            Some(r) => r.is_err(),
            None => {
                taken.push(s);
                false
            }
        }
    });
    expect_that!(refused, some(gt(1_000)));
    expect_true!(first.as_mut().now_or_never().is_none());
    heal(folder);
    expect_that!(block(first), ok(anything()));
    for s in taken {
        expect_that!(block(s), ok(anything()));
    }
    let DiskState { rows, .. } = block(d.open()).unwrap();
    expect_that!(version(&rows), eq(refused.map(|v| v - 1)));
}
