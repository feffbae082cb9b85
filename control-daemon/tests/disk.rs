//! The disk under loss of power: what was synced is there, whatever became of what was not.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use control_daemon::disk::{Disk, DiskState};
use coordination::Row;
use googletest::prelude::*;
use rusqlite::Connection;
use wire_messages::{Blob, List, ReplacedValue, Slot, Voter};

/// Bytes that a disk writes whole.
const SECTOR: usize = 512;
const LOG: &str = "control.sqlite-wal";

type Files = BTreeMap<String, Vec<u8>>;

fn folder(name: &str) -> PathBuf {
    let d = std::env::temp_dir().join(format!("landingslip-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&d);
    d
}
fn slot(key: &str, version: u64, bytes: usize) -> Row {
    Row::Slot(Slot {
        key: key.into(),
        version,
        value: Blob(vec![version as u8; bytes]),
        ..Slot::default()
    })
}
fn files(dir: &Path) -> Files {
    let all = fs::read_dir(dir).unwrap().map(|e| e.unwrap());
    all.map(|e| {
        (
            e.file_name().to_string_lossy().into_owned(),
            fs::read(e.path()).unwrap(),
        )
    })
    .collect()
}
/// Opens a folder with these files and gives whether it was blank, and its rows.
fn opened(name: &str, n: usize, files: &Files) -> (bool, Vec<Row>) {
    // Each in a folder of its own: the thread of one before may still be closing its files.
    let dir = folder(&format!("{name}-{n}"));
    fs::create_dir_all(&dir).unwrap();
    files
        .iter()
        .for_each(|(n, b)| fs::write(dir.join(n), b).unwrap());
    let DiskState {
        is_blank: blank,
        rows,
        ..
    } = block(Disk::start(dir.clone(), 0).open()).unwrap();
    let _ = fs::remove_dir_all(&dir);
    (blank, rows)
}
fn block<T>(f: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap()
        .block_on(f)
}
fn versions(rows: &[Row]) -> BTreeMap<String, u64> {
    let slots = rows.iter().filter_map(|r| match r {
        Row::Slot(s) => Some((s.key.to_string(), s.version)),
        Row::Members { .. } => None,
    });
    slots.collect()
}

/// What a file may be after a loss of power between two states: each sector of the later one is there, torn or
/// missing, and the length is either's.
fn torn(a: &[u8], b: &[u8], rng: &mut fastrand::Rng) -> Vec<u8> {
    let len = if rng.bool() { a.len() } else { b.len() };
    let kept = rng.u8(..101);
    let mut v = a.to_vec();
    v.resize(len, 0);
    for at in (0..len.min(b.len())).step_by(SECTOR) {
        let end = (at + SECTOR).min(len).min(b.len());
        let part = match rng.u8(..100) {
            n if n >= kept => 0,
            n if n % 10 == 0 => rng.usize(..=end - at),
            _ => end - at,
        };
        v[at..at + part].copy_from_slice(&b[at..at + part]);
    }
    v
}

#[gtest]
fn what_was_synced_outlives_torn_and_missing_writes() {
    let dir = folder("power");
    let disk = Disk::start(dir.clone(), 0);
    block(disk.open()).unwrap();
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut older, mut newer, mut trial) = (0, 0, 0);
    let mut before = files(&dir);
    // Enough for the log to be folded in and begun anew several times.
    for v in 1..=60u64 {
        let bytes = rng.usize(1..60_000);
        block(disk.sync(vec![slot("a", v, bytes), slot("b", v, bytes / 2)])).unwrap();
        let after = files(&dir);
        for _ in 0..6 {
            // The log is synced before anything is folded in from it: either it is whole, or nothing was yet.
            let folds = rng.bool();
            let mut all = Files::new();
            for (n, b) in &after {
                let a = before.get(n).map_or(&[][..], |a| a);
                let whole = if *n == LOG { folds } else { false };
                let still = *n != LOG && !folds;
                let bytes = if whole {
                    b.clone()
                } else if still {
                    a.to_vec()
                } else {
                    torn(a, b, &mut rng)
                };
                all.insert(n.clone(), bytes);
            }
            trial += 1;
            let (blank, rows) = opened("power-lost", trial, &all);
            expect_false!(blank);
            let held = versions(&rows);
            // Both keys of one sync, or neither.
            let (a, b) = (
                held.get("a").copied().unwrap_or(0),
                held.get("b").copied().unwrap_or(0),
            );
            expect_that!(a, eq(b), "at {v}");
            expect_that!(a, any!(eq(v - 1), eq(v)), "at {v}");
            if folds {
                expect_that!(a, eq(v), "at {v}: the log was whole");
            }
            older += u64::from(a < v);
            newer += u64::from(a == v);
        }
        before = after;
    }
    // Both outcomes were met, or the tearing tears nothing.
    expect_that!((older, newer), (gt(50), gt(50)));
    let _ = fs::remove_dir_all(&dir);
}

/// At some losses of power everything since the last sync is gone; the state then is that of the sync.
#[gtest]
fn the_files_of_a_sync_are_its_state() {
    let dir = folder("sync");
    let disk = Disk::start(dir.clone(), 0);
    block(disk.open()).unwrap();
    for v in 1..=40u64 {
        block(disk.sync(vec![slot("a", v, 30_000)])).unwrap();
        let (_, rows) = opened("sync-lost", v as usize, &files(&dir));
        expect_that!(versions(&rows).get("a"), some(eq(&v)));
    }
    let _ = fs::remove_dir_all(&dir);
}

/// The log's index is no file: there is nothing for another process to share.
#[gtest]
fn there_is_no_shared_memory() {
    let dir = folder("shared");
    let disk = Disk::start(dir.clone(), 0);
    block(disk.open()).unwrap();
    block(disk.sync(vec![slot("a", 1, 10)])).unwrap();
    let names = || files(&dir).into_keys().collect::<Vec<String>>();
    let wanted = ["control.sqlite".to_string(), LOG.to_string()];
    expect_that!(names(), container_eq(wanted.clone()));
    // Nor is there once the folder is opened again, with a log in it.
    let left = files(&dir);
    let dir = folder("shared-again");
    fs::create_dir_all(&dir).unwrap();
    left.iter()
        .for_each(|(n, b)| fs::write(dir.join(n), b).unwrap());
    let disk = Disk::start(dir.clone(), 0);
    block(disk.open()).unwrap();
    block(disk.sync(vec![slot("a", 2, 10)])).unwrap();
    let names: Vec<String> = files(&dir).into_keys().collect();
    expect_that!(names, container_eq(wanted));
    let _ = fs::remove_dir_all(&dir);
}

/// Commands are worked through as they were given, whichever is awaited first.
#[gtest]
fn a_newer_row_never_goes_before_an_older_one() {
    let dir = folder("order");
    let disk = Disk::start(dir.clone(), 0);
    block(disk.open()).unwrap();
    for v in 0..50 {
        let first = disk.sync(vec![slot("a", 2 * v + 1, 10)]);
        let second = disk.sync(vec![slot("a", 2 * v + 2, 10)]);
        block(async { (second.await.unwrap(), first.await.unwrap()) });
    }
    let DiskState { rows, .. } = block(disk.open()).unwrap();
    expect_that!(versions(&rows).get("a"), some(eq(&100)));
    let _ = fs::remove_dir_all(&dir);
}

/// A folder of the layout before voters had zones and keys a past is taken over with its members and values.
#[gtest]
fn what_a_former_layout_held_is_taken_over() {
    let dir = folder("former");
    fs::create_dir_all(&dir).unwrap();
    let c = Connection::open(dir.join("control.sqlite")).unwrap();
    let old = r#"CREATE TABLE disk (id INTEGER NOT NULL); INSERT INTO disk VALUES (9);
        CREATE TABLE members (one INTEGER PRIMARY KEY CHECK (one = 1), me INTEGER NOT NULL, voters TEXT NOT NULL, voting INTEGER NOT NULL);
        INSERT INTO members VALUES (1, 2, '[["c1",9,"127.0.0.1:1"]]', 1); PRAGMA user_version = 2;
        CREATE TABLE slots (key TEXT PRIMARY KEY, promised INTEGER NOT NULL, epoch INTEGER NOT NULL, version INTEGER NOT NULL,
            committed INTEGER NOT NULL, value BLOB NOT NULL) WITHOUT ROWID;
        INSERT INTO slots VALUES ('a', 0, 0, 1, 0, x'01');"#;
    c.execute_batch(old).unwrap();
    drop(c);
    let disk = Disk::start(dir.clone(), 0);
    let DiskState {
        disk_id: id,
        is_blank: blank,
        rows,
    } = block(disk.open()).unwrap();
    expect_that!((id, blank), eq((9, false)));
    let voter = Voter {
        name: "c1".into(),
        disk_id: 9,
        addr: "127.0.0.1:1".into(),
        ..Voter::default()
    };
    let row = |before, voter: &Voter| Row::Members {
        member_epoch: 2,
        before,
        voters: vec![voter.clone()],
        voting: true,
        left: false,
    };
    expect_that!(rows, container_eq([row(0, &voter), slot("a", 1, 1)]));
    // What is written now comes back whole.
    let now = row(
        3,
        &Voter {
            zone: "z".into(),
            since_epoch: 2,
            ..voter
        },
    );
    let Row::Slot(s) = slot("a", 2, 1) else {
        return;
    };
    let next = Row::Slot(Slot {
        replaced: List(vec![
            ReplacedValue {
                release: 7,
                digest: 1,
            },
            ReplacedValue {
                release: u64::MAX,
                digest: u128::MAX,
            },
        ]),
        ..s
    });
    block(disk.sync(vec![now.clone(), next.clone()])).unwrap();
    let DiskState { rows, .. } = block(disk.open()).unwrap();
    expect_that!(rows, container_eq([now, next]));
    let _ = fs::remove_dir_all(&dir);
}

/// The layout before releases were kept beside digests: what it remembers of replaced values cannot be told from
/// nothing, so it is left out, and orders of then get no clear answer.
#[gtest]
fn digests_without_releases_are_left_out() {
    let dir = folder("digests");
    fs::create_dir_all(&dir).unwrap();
    let disk = Disk::start(dir.clone(), 0);
    block(disk.open()).unwrap();
    block(disk.sync(vec![slot("a", 3, 1)])).unwrap();
    drop(disk);
    let c = Connection::open(dir.join("control.sqlite")).unwrap();
    let old = "UPDATE slots SET past = x'00112233445566778899aabbccddeeff0011223344556677'; PRAGMA user_version = 4;";
    c.execute_batch(old).unwrap();
    drop(c);
    let DiskState { rows, .. } = block(Disk::start(dir.clone(), 0).open()).unwrap();
    expect_that!(rows, container_eq([slot("a", 3, 1)]));
    let _ = fs::remove_dir_all(&dir);
}
