use std::path::PathBuf;

use coordination::Row;
use googletest::prelude::*;
use rusqlite::{Connection, types::Value};
use wire_messages::{Blob, Slot};

use super::{
    Storage,
    opening::{FILE, LAYOUT, OpenDatabase, open},
    rows::write_rows,
};

fn slot(key: &str, version: u64, bytes: usize) -> Row {
    Row::Slot(Slot {
        key: key.into(),
        version,
        value: Blob(vec![7; bytes]),
        ..Slot::default()
    })
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("landingslip-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

#[gtest]
fn synced_rows_are_read_back_and_a_full_disk_fails_and_recovers() {
    let dir = folder("disk");
    let first = open(Storage::default(), &dir, 0).unwrap().state;
    expect_true!(first.is_blank);
    let OpenDatabase {
        mut connection,
        state,
    } = open(Storage::default(), &dir, 200_000).unwrap();
    expect_that!((state.disk_id, state.is_blank), eq((first.disk_id, false)));
    write_rows(&mut connection, &[slot("a", 1, 10)]).unwrap();
    // The write exceeds the size limit: it fails as a whole and stores nothing.
    expect_that!(
        write_rows(&mut connection, &[slot("a", 2, 10), slot("b", 1, 400_000)]),
        err(anything())
    );
    drop(connection);
    let OpenDatabase {
        mut connection,
        state,
    } = open(Storage::default(), &dir, 200_000).unwrap();
    expect_that!(state.rows, container_eq([slot("a", 1, 10)]));
    // Rewriting a key reuses its pages: many versions do not grow the file.
    for version in 2..500 {
        write_rows(&mut connection, &[slot("a", version, 20_000)]).unwrap();
    }
    let _ = std::fs::remove_dir_all(&dir);
}

/// A commit returns once the log is on the disk, and the log's index is private to this process.
#[gtest]
fn commits_are_synced_and_the_database_is_locked_exclusively() {
    let dir = folder("setup");
    let connection = open(Storage::default(), &dir, 0).unwrap().connection;
    let pragma = |name: &str| {
        connection
            .query_row(&format!("PRAGMA {name}"), [], |row| row.get::<_, Value>(0))
            .unwrap()
    };
    expect_that!(pragma("synchronous"), eq(&Value::Integer(2)));
    expect_that!(pragma("journal_mode"), eq(&Value::Text("wal".into())));
    expect_that!(pragma("locking_mode"), eq(&Value::Text("exclusive".into())));
    let _ = std::fs::remove_dir_all(&dir);
}

/// An older layout is migrated with all its rows; a newer one is rejected unchanged, and the error names its version.
#[gtest]
fn an_older_layout_is_migrated_and_a_newer_one_rejected() {
    let dir = folder("layout");
    let mut connection = open(Storage::default(), &dir, 0).unwrap().connection;
    write_rows(&mut connection, &[slot("a", 1, 10)]).unwrap();
    connection.pragma_update(None, "user_version", 0).unwrap();
    drop(connection);
    let OpenDatabase { connection, state } = open(Storage::default(), &dir, 0).unwrap();
    expect_that!(state.rows, container_eq([slot("a", 1, 10)]));
    connection
        .pragma_update(None, "user_version", LAYOUT + 1)
        .unwrap();
    drop(connection);
    let rejection = format!("{:?}", open(Storage::default(), &dir, 0).err().unwrap());
    expect_that!(
        rejection,
        contains_substring(format!("layout {}", LAYOUT + 1))
    );
    let connection = Connection::open(dir.join(FILE)).unwrap();
    expect_that!(
        connection.query_row("SELECT count(*) FROM slots", [], |row| row.get::<_, i64>(0)),
        ok(eq(&1))
    );
    let _ = std::fs::remove_dir_all(&dir);
}

#[gtest]
fn a_corrupt_database_is_not_opened() {
    let dir = folder("corrupt");
    drop(open(Storage::default(), &dir, 0).unwrap());
    std::fs::write(dir.join(FILE), [0x5a; 8_192]).unwrap();
    expect_true!(open(Storage::default(), &dir, 0).is_err());
    let _ = std::fs::remove_dir_all(&dir);
}
