//! The disk under power loss: synced writes are read back, whether or not later writes reached the disk.

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

/// Bytes that a disk writes atomically.
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
/// Opens a folder with these files; returns whether it was blank, and its rows.
fn opened(name: &str, n: usize, files: &Files) -> (bool, Vec<Row>) {
    // Each call uses a folder of its own: the thread of an earlier call may still be closing its files.
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

/// Returns a file as a power loss between two states may leave it: each sector of the later state is written, torn or
/// missing, and the length is that of either state.
fn torn_file(a: &[u8], b: &[u8], rng: &mut fastrand::Rng) -> Vec<u8> {
    let len = if rng.bool() { a.len() } else { b.len() };
    let written_percent = rng.u8(..101);
    let mut v = a.to_vec();
    v.resize(len, 0);
    for at in (0..len.min(b.len())).step_by(SECTOR) {
        let end = (at + SECTOR).min(len).min(b.len());
        let part = match rng.u8(..100) {
            n if n >= written_percent => 0,
            n if n % 10 == 0 => rng.usize(..=end - at),
            _ => end - at,
        };
        v[at..at + part].copy_from_slice(&b[at..at + part]);
    }
    v
}

#[gtest]
fn synced_rows_survive_torn_and_missing_writes() {
    let dir = folder("power");
    let disk = Disk::start(dir.clone(), 0);
    block(disk.open()).unwrap();
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut older_states, mut newer_states, mut trial) = (0, 0, 0);
    let mut before = files(&dir);
    // Enough for the log to be checkpointed and restarted several times.
    for v in 1..=60u64 {
        let bytes = rng.usize(1..60_000);
        block(disk.sync(vec![slot("a", v, bytes), slot("b", v, bytes / 2)])).unwrap();
        let after = files(&dir);
        for _ in 0..6 {
            // The log is synced before a checkpoint: either it is complete, or nothing was checkpointed yet.
            let is_log_complete = rng.bool();
            let mut all = Files::new();
            for (n, b) in &after {
                let a = before.get(n).map_or(&[][..], |a| a);
                let takes_new = if *n == LOG { is_log_complete } else { false };
                let keeps_old = *n != LOG && !is_log_complete;
                let bytes = if takes_new {
                    b.clone()
                } else if keeps_old {
                    a.to_vec()
                } else {
                    torn_file(a, b, &mut rng)
                };
                all.insert(n.clone(), bytes);
            }
            trial += 1;
            let (blank, rows) = opened("power-lost", trial, &all);
            expect_false!(blank);
            let versions_read = versions(&rows);
            // Both keys of a sync are stored, or neither.
            let (a, b) = (
                versions_read.get("a").copied().unwrap_or(0),
                versions_read.get("b").copied().unwrap_or(0),
            );
            expect_that!(a, eq(b), "at {v}");
            expect_that!(a, any!(eq(v - 1), eq(v)), "at {v}");
            if is_log_complete {
                expect_that!(a, eq(v), "at {v}: the log was complete");
            }
            older_states += u64::from(a < v);
            newer_states += u64::from(a == v);
        }
        before = after;
    }
    // Both outcomes must occur, or the test tears no writes.
    expect_that!((older_states, newer_states), (gt(50), gt(50)));
    let _ = fs::remove_dir_all(&dir);
}

/// A power loss may drop all writes since the last sync; the state is then that of the sync.
#[gtest]
fn the_files_after_a_sync_hold_its_state() {
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

/// The log's index is not a file, so no other process can share it.
#[gtest]
fn the_log_index_is_not_a_shared_file() {
    let dir = folder("shared");
    let disk = Disk::start(dir.clone(), 0);
    block(disk.open()).unwrap();
    block(disk.sync(vec![slot("a", 1, 10)])).unwrap();
    let names = || files(&dir).into_keys().collect::<Vec<String>>();
    let expected = ["control.sqlite".to_string(), LOG.to_string()];
    expect_that!(names(), container_eq(expected.clone()));
    // The same holds when a folder that contains a log is opened.
    let stored_files = files(&dir);
    let dir = folder("shared-again");
    fs::create_dir_all(&dir).unwrap();
    stored_files
        .iter()
        .for_each(|(n, b)| fs::write(dir.join(n), b).unwrap());
    let disk = Disk::start(dir.clone(), 0);
    block(disk.open()).unwrap();
    block(disk.sync(vec![slot("a", 2, 10)])).unwrap();
    let names: Vec<String> = files(&dir).into_keys().collect();
    expect_that!(names, container_eq(expected));
    let _ = fs::remove_dir_all(&dir);
}

/// Commands are processed in the order of their calls, whichever is awaited first.
#[gtest]
fn rows_are_written_in_the_order_of_the_calls() {
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

/// A folder with a layout that lacks the zones of voters and the replaced values of keys keeps its members and values.
#[gtest]
fn an_older_layout_keeps_its_members_and_values() {
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
    // Rows written after the migration are read back unchanged.
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

/// An older layout stored digests of replaced values without their releases. Such digests are as good as none, so the
/// migration drops them, and writes from that time get no definite answer.
#[gtest]
fn digests_without_releases_are_dropped() {
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
