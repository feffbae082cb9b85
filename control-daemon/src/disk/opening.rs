//! Opening the database: each step either leaves it as later steps need it, or names what failed.

use std::path::Path;

use error_stack::{Report, ResultExt};
use rusqlite::{Connection, OpenFlags, OptionalExtension};

use super::{DiskError, DiskResult, DiskState, Storage, rows::read_rows};

/// The file under the data folder.
pub(super) const FILE: &str = "control.sqlite";
/// Version of the database's layout. Layout 1 was written without a number and is the same; a newer one is not
/// touched, as a daemon that guesses could lose what it confirmed.
pub(super) const LAYOUT: i64 = 5;
/// The first layout whose replaced values are stored with their releases. What a former one holds of them says too
/// little.
const LAYOUT_OF_RELEASES: i64 = 5;
/// The files beside the database, in the order in which they outrank it: what they hold is taken over into it.
const COMPANION_SUFFIXES: [&str; 2] = ["-journal", "-wal"];

const SETUP: &str = "PRAGMA synchronous=FULL;
    PRAGMA wal_autocheckpoint=256; PRAGMA cache_size=-256; PRAGMA temp_store=MEMORY;
    CREATE TABLE IF NOT EXISTS disk (id INTEGER NOT NULL);
    CREATE TABLE IF NOT EXISTS members (one INTEGER PRIMARY KEY CHECK (one = 1), me INTEGER NOT NULL, voters TEXT NOT NULL, voting INTEGER NOT NULL,
        before INTEGER NOT NULL DEFAULT 0);
    CREATE TABLE IF NOT EXISTS slots (key TEXT PRIMARY KEY, promised INTEGER NOT NULL, epoch INTEGER NOT NULL,
        version INTEGER NOT NULL, committed INTEGER NOT NULL, value BLOB NOT NULL, past BLOB NOT NULL DEFAULT x'') WITHOUT ROWID;";

/// A column that former layouts lack.
struct AddedColumn {
    table: &'static str,
    column: &'static str,
    definition: &'static str,
}

const ADDED_COLUMNS: [AddedColumn; 2] = [
    AddedColumn {
        table: "members",
        column: "before",
        definition: "INTEGER NOT NULL DEFAULT 0",
    },
    AddedColumn {
        table: "slots",
        column: "past",
        definition: "BLOB NOT NULL DEFAULT x''",
    },
];

/// A database that was opened, and what it holds.
pub(super) struct OpenDatabase {
    pub(super) connection: Connection,
    pub(super) state: DiskState,
}

pub(super) fn open(storage: Storage, folder: &Path, max_bytes: u64) -> DiskResult<OpenDatabase> {
    (storage.create_folder)(folder).change_context(DiskError::CreateFolder)?;
    rewrite_files(storage, folder)?;
    let connection = connect(storage, folder)?;
    let found_layout = read_layout(&connection)?;
    set_journal_mode(&connection)?;
    connection
        .execute_batch(SETUP)
        .change_context(DiskError::CreateTables)?;
    migrate_layout(&connection, found_layout)?;
    check_integrity(&connection)?;
    limit_size(&connection, max_bytes)?;
    let stored_id = read_disk_id(&connection)?;
    let disk_id = stored_id.unwrap_or_else(|| fastrand::u64(1..i64::MAX as u64));
    write_disk_id(&connection, disk_id)?;
    // The log is made anew at each opening: its name must last as long as what is written to it.
    (storage.sync_folder)(folder).change_context(DiskError::SyncFolder)?;
    let rows = read_rows(&connection).change_context(DiskError::ReadRows)?;
    Ok(OpenDatabase {
        connection,
        state: DiskState {
            disk_id,
            is_blank: stored_id.is_none(),
            rows,
        },
    })
}

/// After a sync that failed, files read as if it had not: the machine holds those bytes for written and no later sync
/// sees to them. What is read here is sent to others, so it must be on the disk. Companions first: a torn database
/// is repaired from them.
fn rewrite_files(storage: Storage, folder: &Path) -> DiskResult<()> {
    for suffix in COMPANION_SUFFIXES.into_iter().chain([""]) {
        (storage.rewrite_file)(&folder.join(format!("{FILE}{suffix}")))
            .change_context(DiskError::RewriteFile)?;
    }
    Ok(())
}

fn connect(storage: Storage, folder: &Path) -> DiskResult<Connection> {
    let (file, flags) = (folder.join(FILE), OpenFlags::default());
    let opened = match storage.vfs {
        Some(vfs) => Connection::open_with_flags_and_vfs(file, flags, vfs),
        None => Connection::open_with_flags(file, flags),
    };
    let connection = opened.change_context(DiskError::OpenDatabase)?;
    // Before anything is read and before the journal mode is set: the log's index then stays in this process and is no
    // shared memory, also where the log is there already.
    connection
        .execute_batch("PRAGMA locking_mode=EXCLUSIVE")
        .change_context(DiskError::LockDatabase)?;
    Ok(connection)
}

fn read_layout(connection: &Connection) -> DiskResult<i64> {
    let found = connection
        .query_row("PRAGMA user_version", [], |row| row.get(0))
        .change_context(DiskError::ReadLayout)?;
    if found > LAYOUT {
        return Err(Report::new(DiskError::UnknownLayout {
            found,
            known: LAYOUT,
        }));
    }
    Ok(found)
}

/// Has the database keep a write-ahead log. SQLite answers with the mode before it has written it, so the statement is run to
/// its end: with a fault behind its answer the database would go on with a journal whose removal nobody syncs, and which
/// may come back after a loss of power and undo what was confirmed.
fn set_journal_mode(connection: &Connection) -> DiskResult<()> {
    let answers = || -> rusqlite::Result<Vec<String>> {
        connection
            .prepare("PRAGMA journal_mode=WAL")?
            .query_map([], |row| row.get(0))?
            .collect()
    };
    let modes = answers().change_context(DiskError::SetJournalMode)?;
    if modes != ["wal"] {
        let answer = format!("its journal mode would be {modes:?}");
        return Err(Report::new(DiskError::NoWriteAheadLog).attach(answer));
    }
    Ok(())
}

/// Adds what former layouts lack; each part may be there already where an earlier opening ended midway.
fn migrate_layout(connection: &Connection, found_layout: i64) -> DiskResult<()> {
    for AddedColumn {
        table,
        column,
        definition,
    } in ADDED_COLUMNS
    {
        let query = "SELECT count(*) FROM pragma_table_info(?1) WHERE name = ?2";
        let count: i64 = connection
            .query_row(query, [table, column], |row| row.get(0))
            .change_context(DiskError::ReadLayout)?;
        if count == 0 {
            let statement = format!("ALTER TABLE {table} ADD COLUMN {column} {definition}");
            connection
                .execute_batch(&statement)
                .change_context(DiskError::MigrateLayout)?;
        }
    }
    if found_layout < LAYOUT_OF_RELEASES {
        connection
            .execute_batch("UPDATE slots SET past = x''")
            .change_context(DiskError::MigrateLayout)?;
    }
    connection
        .pragma_update(None, "user_version", LAYOUT)
        .change_context(DiskError::WriteLayout)
}

fn check_integrity(connection: &Connection) -> DiskResult<()> {
    let answer: String = connection
        .query_row("PRAGMA quick_check", [], |row| row.get(0))
        .change_context(DiskError::CheckIntegrity)?;
    if answer != "ok" {
        return Err(Report::new(DiskError::Damaged).attach(answer));
    }
    Ok(())
}

fn limit_size(connection: &Connection, max_bytes: u64) -> DiskResult<()> {
    if max_bytes == 0 {
        return Ok(());
    }
    let page_bytes: u64 = connection
        .query_row("PRAGMA page_size", [], |row| row.get(0))
        .change_context(DiskError::LimitSize)?;
    let max_pages = max_bytes / page_bytes.max(1);
    connection
        .execute_batch(&format!("PRAGMA max_page_count={max_pages}"))
        .change_context(DiskError::LimitSize)
}

/// The disk's own number; none on a blank disk.
fn read_disk_id(connection: &Connection) -> DiskResult<Option<u64>> {
    connection
        .query_row("SELECT id FROM disk", [], |row| row.get(0))
        .optional()
        .change_context(DiskError::ReadDiskId)
}

/// Written at every opening: a disk that takes no writes is found out here.
fn write_disk_id(connection: &Connection, disk_id: u64) -> DiskResult<()> {
    let statement = format!("BEGIN; DELETE FROM disk; INSERT INTO disk VALUES ({disk_id}); COMMIT");
    connection
        .execute_batch(&statement)
        .change_context(DiskError::WriteDiskId)
}
