//! The disk under power loss and injected faults. A stand-in records each write, sync, creation and removal; for each
//! step, the folder is opened in a state that a power loss there might have left. Other tests make the disk fail, fill
//! up or hang.

mod stand_in;

use std::{collections::BTreeMap, path::PathBuf};

use control_daemon::disk::{Disk, DiskState};
use coordination::Row;
use futures_util::FutureExt;
use googletest::prelude::*;
use stand_in::{FaultKind, Folder, InjectedFault, Op, clear_fault, storage, with_folder, write_at};
use wire_messages::{Blob, List, ReplacedValue, Slot};

/// Bytes that a disk writes atomically.
const SECTOR: usize = 512;
/// Attempts to reopen a failed disk before the test fails: no fault lasts that many steps.
const MAX_OPEN_ATTEMPTS: usize = 200;

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
/// Returns the version of both keys; none if they differ, as a sync must store both or neither.
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
    with_folder(folder, |f| f.log.push(Op::Acknowledged(v)));
}

/// A change to a file that is not yet durable. Changes are kept in order.
#[derive(Clone)]
struct Change {
    op: Op,
    synced: bool,
    /// A sync of it failed: later syncs do not make it durable.
    sync_failed: bool,
}

/// A simulated disk: its durable state, and the changes that may or may not be on it.
#[derive(Clone, Default)]
struct SimulatedDisk {
    files: Vec<(Vec<u8>, Vec<Change>)>,
    names: BTreeMap<String, usize>,
    synced: BTreeMap<String, usize>,
}

impl SimulatedDisk {
    fn of(files: &Files) -> Self {
        let names: BTreeMap<String, usize> = files
            .keys()
            .enumerate()
            .map(|(i, n)| (n.clone(), i))
            .collect();
        let files = files.values().map(|b| (b.clone(), vec![])).collect();
        SimulatedDisk {
            files,
            synced: names.clone(),
            names,
        }
    }
    fn apply_op(&mut self, op: &Op) {
        match op {
            Op::Create(i, n) => {
                self.files.resize(i + 1, Default::default());
                self.names.insert(n.clone(), *i);
            }
            Op::Remove(n) => drop(self.names.remove(n)),
            Op::Write(i, ..) | Op::Truncate(i, _) => {
                self.files[*i].1.push(Change {
                    op: op.clone(),
                    synced: false,
                    sync_failed: false,
                });
            }
            Op::Sync(i) => {
                let (bytes, changes) = &mut self.files[*i];
                changes
                    .iter_mut()
                    .filter(|c| !c.sync_failed)
                    .for_each(|c| c.synced = true);
                let durable = changes.iter().take_while(|c| c.synced).count();
                changes
                    .drain(..durable)
                    .for_each(|c| apply(bytes, &c.op, usize::MAX));
            }
            Op::SyncFailed(i) => self.files[*i]
                .1
                .iter_mut()
                .filter(|c| !c.synced)
                .for_each(|c| c.sync_failed = true),
            Op::SyncDirectory => self.synced = self.names.clone(),
            Op::Acknowledged(_) => {}
        }
    }
    /// Returns the files that a power loss leaves.
    fn files_after_power_loss(&self, rng: &mut fastrand::Rng) -> Files {
        // Changes that are not durable are all lost, all kept, or each kept by chance; directory entries likewise.
        let (kept_percent, kept_names_percent) = (
            [0, 100, rng.u8(..101)][rng.usize(..3)],
            [0, 100, 50][rng.usize(..3)],
        );
        let mut files = Files::new();
        for n in self.names.keys().chain(self.synced.keys()) {
            let from = if rng.u8(..100) < kept_names_percent {
                &self.names
            } else {
                &self.synced
            };
            let Some(i) = from.get(n) else { continue };
            let (bytes, changes) = &self.files[*i];
            let mut bytes = bytes.clone();
            for c in changes {
                let is_kept = c.synced || rng.u8(..100) < kept_percent;
                let is_torn = !c.synced && kept_percent < 100 && rng.u8(..8) == 0;
                let max_bytes = if is_torn {
                    rng.usize(..9) * SECTOR / 2
                } else {
                    usize::MAX
                };
                if is_kept {
                    apply(&mut bytes, &c.op, max_bytes);
                }
            }
            files.insert(n.clone(), bytes);
        }
        files
    }
}

/// Applies a change, up to `max_bytes` of it.
fn apply(bytes: &mut Vec<u8>, op: &Op, max_bytes: usize) {
    match op {
        Op::Write(_, at, b) => write_at(bytes, *at, &b[..b.len().min(max_bytes)]),
        Op::Truncate(_, n) => bytes.resize(*n, 0),
        _ => {}
    }
}

/// Opens a folder with these files; returns its state and the operations of the opening.
fn opened(name: &str, files: &Files) -> (std::result::Result<DiskState, String>, Vec<Op>) {
    with_folder(name, |f| *f = Folder::of(files));
    let d = disk(name);
    let opened_state = block(d.open()).map_err(|e| format!("{e:?}"));
    // A folder that failed to open has no open files left.
    let log = with_folder(name, |f| {
        f.is_temporary = true;
        std::mem::take(&mut f.log)
    });
    (opened_state, log)
}

/// The acknowledged state at a step, and the bound on what the disk may hold.
struct Expectation {
    id: Option<u64>,
    acknowledged: u64,
    /// Highest version that may be read.
    max_version: u64,
}

fn check(opened_state: &std::result::Result<DiskState, String>, k: &Expectation, at: &str) {
    let Ok(DiskState {
        disk_id: id,
        is_blank: blank,
        rows,
    }) = opened_state
    else {
        return expect_that!(opened_state, ok(anything()), "{at}: cannot be opened");
    };
    if let Some(was) = k.id {
        expect_that!(
            (*id, *blank),
            eq((was, false)),
            "{at}: differs in disk id or is blank"
        );
    }
    expect_that!(
        version(rows),
        some(all!(ge(k.acknowledged), le(k.max_version))),
        "{at}"
    );
}

/// Simulates power losses at each step of a log, several per step, and further ones while the folder is opened.
fn simulate_power_losses(
    name: &str,
    log: &[Op],
    id: u64,
    variants: usize,
    rng: &mut fastrand::Rng,
) {
    let (mut p, mut k) = (
        SimulatedDisk::default(),
        Expectation {
            id: None,
            acknowledged: 0,
            max_version: 1,
        },
    );
    for (n, op) in log.iter().enumerate() {
        p.apply_op(op);
        if let Op::Acknowledged(v) = op {
            k = Expectation {
                id: Some(id),
                acknowledged: *v,
                max_version: v + 1,
            };
        }
        for variant in 0..variants {
            let at = format!("{name}: step {n} of {} {variant}", log.len());
            let files = p.files_after_power_loss(rng);
            let (opened_state, again) = opened(&format!("/{name}-{n}-{variant}"), &files);
            check(&opened_state, &k, &at);
            if rng.u8(..4) > 0 || again.is_empty() {
                continue;
            }
            let mut p = SimulatedDisk::of(&files);
            let reopen_step = rng.usize(..again.len());
            again[..reopen_step].iter().for_each(|op| p.apply_op(op));
            let (opened_state, _) = opened(
                &format!("/{name}-{n}-{variant}-again"),
                &p.files_after_power_loss(rng),
            );
            check(
                &opened_state,
                &k,
                &format!("{at}, and again at {reopen_step}"),
            );
        }
    }
}

#[gtest]
fn acknowledged_writes_survive_power_loss_at_every_step() {
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
    // Enough for the log to be checkpointed and restarted; the folder is reopened in between, as after a failed sync.
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
    let log = with_folder(folder, |f| f.log.clone());
    let syncs = log.iter().filter(|o| matches!(o, Op::Sync(_))).count();
    let checkpointed = log.iter().filter(|o| matches!(o, Op::Write(0, ..))).count();
    expect_that!(
        (syncs, checkpointed, log.len()),
        (gt(60), gt(100), gt(1_500))
    );
    simulate_power_losses(name, &log, id, 2, &mut rng);
}

/// Writes as the daemon does: after a failed sync it writes nothing until it has reopened and read the folder.
fn write_as_daemon(folder: &str, syncs: u64, rng: &mut fastrand::Rng) -> (Option<u64>, u64) {
    let d = disk(folder);
    let (mut id, mut last, mut at) = (None, 0, 0);
    let reopen = |id: &mut Option<u64>, last: u64, at: u64| {
        let opened_state = (0..MAX_OPEN_ATTEMPTS)
            .find_map(|_| block(d.open()).ok())
            .expect("the disk opens after the fault");
        let v = version(&opened_state.rows);
        expect_that!(v, some(all!(ge(last), le(at))), "{folder}");
        if last > 0 {
            expect_that!(Some(opened_state.disk_id), eq(*id), "{folder}");
        }
        *id = Some(opened_state.disk_id);
        v.unwrap_or(0)
    };
    let mut current = reopen(&mut id, 0, 0);
    acknowledge(folder, current);
    while current < syncs {
        at = current + 1;
        let bytes = rng.usize(1..90_000);
        if block(d.sync(vec![slot("a", at, bytes), slot("b", at, bytes / 2)])).is_ok() {
            last = at;
            current = at;
        } else {
            current = reopen(&mut id, last, at);
            last = current;
        }
        acknowledge(folder, last);
    }
    (id, at)
}

/// The disk fails or is full for some steps, from any step on: acknowledged writes are stored, stay stored, and are
/// read after a power loss.
#[gtest]
fn a_temporary_disk_failure_loses_no_acknowledged_write() {
    let mut rng = fastrand::Rng::with_seed(12);
    let all = {
        write_as_daemon("/well", 24, &mut rng.clone());
        with_folder("/well", |f| f.steps)
    };
    expect_that!(all, gt(600));
    let mut failed_syncs = 0;
    for from in (1..all).step_by(4) {
        for (duration, fault_kind) in [
            (1, FaultKind::IoError),
            (7, FaultKind::DiskFull),
            (40, FaultKind::IoError),
        ] {
            let folder = format!("/fault-{from}-{duration}");
            with_folder(&folder, |f| {
                f.fault = Some(InjectedFault {
                    steps: from..from + duration,
                    kind: fault_kind,
                });
            });
            let (id, max_version) = write_as_daemon(&folder, 24, &mut rng.clone());
            let log = with_folder(&folder, |f| {
                f.is_temporary = true;
                std::mem::take(&mut f.log)
            });
            failed_syncs += u64::from(log.iter().any(|o| matches!(o, Op::SyncFailed(_))));
            let mut p = SimulatedDisk::default();
            log.iter().for_each(|o| p.apply_op(o));
            let (opened_state, _) = opened(
                &format!("{folder}-lost"),
                &p.files_after_power_loss(&mut rng),
            );
            check(
                &opened_state,
                &Expectation {
                    id,
                    acknowledged: max_version,
                    max_version,
                },
                &folder,
            );
        }
    }
    // Failed steps must include syncs.
    expect_that!(failed_syncs, gt(20));
}

/// While the disk hangs, nothing is acknowledged, and writes that exceed the queue are rejected at once. When the disk
/// resumes, all queued writes are stored.
#[gtest]
fn a_hanging_disk_acknowledges_nothing_and_loses_no_queued_write() {
    let folder = "/hangs";
    let d = disk(folder);
    block(d.open()).unwrap();
    with_folder(folder, |f| {
        f.fault = Some(InjectedFault {
            steps: 0..u64::MAX,
            kind: FaultKind::Hang,
        });
    });
    let mut first = Box::pin(d.sync(vec![slot("a", 1, 10), slot("b", 1, 10)]));
    let mut queued = vec![];
    let rejected = (2..1_000_000).find(|v| {
        let mut s = Box::pin(d.sync(vec![slot("a", *v, 10), slot("b", *v, 10)]));
        match s.as_mut().now_or_never() {
            Some(r) => r.is_err(),
            None => {
                queued.push(s);
                false
            }
        }
    });
    expect_that!(rejected, some(gt(1_000)));
    expect_true!(first.as_mut().now_or_never().is_none());
    clear_fault(folder);
    expect_that!(block(first), ok(anything()));
    for s in queued {
        expect_that!(block(s), ok(anything()));
    }
    let DiskState { rows, .. } = block(d.open()).unwrap();
    expect_that!(version(&rows), eq(rejected.map(|v| v - 1)));
}
