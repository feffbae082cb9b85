use googletest::prelude::*;

use super::*;

fn slot(key: &str, version: u64, bytes: usize) -> Row {
    Row::Slot(Slot {
        key: key.into(),
        version,
        value: Blob(vec![7; bytes]),
        ..Slot::default()
    })
}
fn folder(name: &str) -> PathBuf {
    let d = std::env::temp_dir().join(format!("landingslip-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&d);
    d
}

#[gtest]
fn synced_rows_return_and_a_full_disk_says_so_and_recovers() {
    let dir = folder("disk");
    let (c, (id, blank, _)) = open(Storage::default(), &dir, 0).unwrap();
    expect_true!(blank);
    drop(c);
    let (mut c, (again, blank, _)) = open(Storage::default(), &dir, 200_000).unwrap();
    expect_that!((again, blank), eq((id, false)));
    write(&mut c, &[slot("a", 1, 10)]).unwrap();
    // The bound on growth is met: the write fails whole and nothing of it stands.
    expect_that!(
        write(&mut c, &[slot("a", 2, 10), slot("b", 1, 400_000)]),
        err(anything())
    );
    drop(c);
    let (mut c, (_, _, rows)) = open(Storage::default(), &dir, 200_000).unwrap();
    expect_that!(rows, container_eq([slot("a", 1, 10)]));
    // Rewriting a key reuses its room: many versions do not grow the file.
    for v in 2..500 {
        write(&mut c, &[slot("a", v, 20_000)]).unwrap();
    }
    let _ = std::fs::remove_dir_all(&dir);
}

/// A commit returns when the log is on the disk, and the log's index is this process's own.
#[gtest]
fn commits_are_synced_and_nothing_is_shared() {
    let dir = folder("setup");
    let (c, _) = open(Storage::default(), &dir, 0).unwrap();
    let text = |p: &str| {
        c.query_row(&format!("PRAGMA {p}"), [], |r| {
            r.get::<_, rusqlite::types::Value>(0)
        })
        .unwrap()
    };
    expect_that!(text("synchronous"), eq(&rusqlite::types::Value::Integer(2)));
    expect_that!(
        text("journal_mode"),
        eq(&rusqlite::types::Value::Text("wal".into()))
    );
    expect_that!(
        text("locking_mode"),
        eq(&rusqlite::types::Value::Text("exclusive".into()))
    );
    let _ = std::fs::remove_dir_all(&dir);
}

/// An older layout is taken over with all it holds; a newer one is left as it is, and named.
#[gtest]
fn another_layout_is_migrated_or_named() {
    let dir = folder("layout");
    let (mut c, _) = open(Storage::default(), &dir, 0).unwrap();
    write(&mut c, &[slot("a", 1, 10)]).unwrap();
    c.pragma_update(None, "user_version", 0).unwrap();
    drop(c);
    let (c, (.., rows)) = open(Storage::default(), &dir, 0).unwrap();
    expect_that!(rows, container_eq([slot("a", 1, 10)]));
    c.pragma_update(None, "user_version", LAYOUT + 1).unwrap();
    drop(c);
    let told = format!("{:?}", open(Storage::default(), &dir, 0).unwrap_err());
    expect_that!(told, contains_substring(format!("layout {}", LAYOUT + 1)));
    let c = Connection::open(dir.join(FILE)).unwrap();
    expect_that!(
        c.query_row("SELECT count(*) FROM slots", [], |r| r.get::<_, i64>(0)),
        ok(eq(&1))
    );
    let _ = std::fs::remove_dir_all(&dir);
}

#[gtest]
fn a_corrupt_database_is_not_trusted() {
    let dir = folder("corrupt");
    drop(open(Storage::default(), &dir, 0).unwrap());
    std::fs::write(dir.join(FILE), [0x5a; 8_192]).unwrap();
    expect_true!(open(Storage::default(), &dir, 0).is_err());
    let _ = std::fs::remove_dir_all(&dir);
}
