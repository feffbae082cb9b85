//! Opens the database in steps, each with an error of its own.

use std::path::Path;

use error_stack::{Report, ResultExt};
use rusqlite::{Connection, OpenFlags, OptionalExtension};

use super::{DiskError, DiskResult, DiskState, Storage, rows::read_rows};

/// The database file in the data folder.
pub(super) const FILE: &str = "control.sqlite";
/// Version of the database's layout. Layout 1 was written without a version number and is otherwise the same. A newer
/// layout is rejected untouched, as a daemon that misreads it could lose confirmed writes.
pub(super) const LAYOUT: i64 = 5;
/// The first layout that stores replaced values with their releases. Older layouts lack the release, so their replaced
/// values are discarded.
const FIRST_LAYOUT_WITH_RELEASES: i64 = 5;
/// Suffixes of the journal files beside the database, in order of precedence: SQLite applies their content to the
/// database.
const COMPANION_SUFFIXES: [&str; 2] = ["-journal", "-wal"];

const SETUP: &str = "PRAGMA synchronous=FULL;
    PRAGMA wal_autocheckpoint=256; PRAGMA cache_size=-256; PRAGMA temp_store=MEMORY;
    CREATE TABLE IF NOT EXISTS disk (id INTEGER NOT NULL);
    CREATE TABLE IF NOT EXISTS members (one INTEGER PRIMARY KEY CHECK (one = 1), me INTEGER NOT NULL, voters TEXT NOT NULL, voting INTEGER NOT NULL,
        before INTEGER NOT NULL DEFAULT 0);
    CREATE TABLE IF NOT EXISTS slots (key TEXT PRIMARY KEY, promised INTEGER NOT NULL, epoch INTEGER NOT NULL,
        version INTEGER NOT NULL, committed INTEGER NOT NULL, value BLOB NOT NULL, past BLOB NOT NULL DEFAULT x'') WITHOUT ROWID;";

/// A column that older layouts lack.
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

/// An open database and its content.
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
    // The log file is recreated at each opening: its directory entry must be as durable as its content.
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

/// Rewrites and syncs the files. After a failed sync, reads still return the unsynced bytes: the operating system takes
/// them for written, and no later sync writes them. Other daemons receive what is read here, so it must be on the disk.
/// The journal files come first, as a torn database is repaired from them.
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
    // Set before the first read and before the journal mode: the index of the log is then kept in this process's heap
    // instead of shared memory, even if a log already exists.
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

/// Switches the database to a write-ahead log. SQLite returns the mode before it has written it, so the statement is
/// run to completion. If an error after that row were missed, the database would continue with a rollback journal whose
/// removal is not synced, and which could reappear after a power loss and undo confirmed writes.
fn set_journal_mode(connection: &Connection) -> DiskResult<()> {
    let answers = || -> rusqlite::Result<Vec<String>> {
        connection
            .prepare("PRAGMA journal_mode=WAL")?
            .query_map([], |row| row.get(0))?
            .collect()
    };
    let modes = answers().change_context(DiskError::SetJournalMode)?;
    if modes != ["wal"] {
        let answer = format!("SQLite returned journal mode {modes:?}");
        return Err(Report::new(DiskError::NoWriteAheadLog).attach(answer));
    }
    Ok(())
}

/// Migrates older layouts. Each column may already exist if an earlier opening was interrupted.
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
    if found_layout < FIRST_LAYOUT_WITH_RELEASES {
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

/// Returns the disk id; none on a blank disk.
fn read_disk_id(connection: &Connection) -> DiskResult<Option<u64>> {
    connection
        .query_row("SELECT id FROM disk", [], |row| row.get(0))
        .optional()
        .change_context(DiskError::ReadDiskId)
}

/// Writes the disk id at every opening, so that a disk that accepts no writes is detected here.
fn write_disk_id(connection: &Connection, disk_id: u64) -> DiskResult<()> {
    let statement = format!("BEGIN; DELETE FROM disk; INSERT INTO disk VALUES ({disk_id}); COMMIT");
    connection
        .execute_batch(&statement)
        .change_context(DiskError::WriteDiskId)
}
