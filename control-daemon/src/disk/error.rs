//! Steps of the disk that can fail.

use std::fmt;

/// A step of the disk that failed; the report names the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskError {
    /// The queue of commands is full.
    QueueFull,
    /// The disk's thread ended before the command did.
    WorkerEnded,
    /// Rows could not be written and synced.
    Sync,
    /// The data folder could not be made.
    CreateFolder,
    /// A file could not be read and written anew.
    RewriteFile,
    /// The database could not be opened.
    OpenDatabase,
    /// The database could not be locked for this process.
    LockDatabase,
    /// The database's layout could not be read.
    ReadLayout,
    /// The database has a layout that this daemon does not know.
    UnknownLayout {
        /// The layout's version.
        found: i64,
        /// The newest that this daemon knows.
        known: i64,
    },
    /// The journal mode could not be set.
    SetJournalMode,
    /// The database does not keep a write-ahead log.
    NoWriteAheadLog,
    /// The tables could not be created.
    CreateTables,
    /// A former layout could not be migrated.
    MigrateLayout,
    /// The layout's version could not be written.
    WriteLayout,
    /// The database's integrity could not be checked.
    CheckIntegrity,
    /// The database is damaged.
    Damaged,
    /// The database's size could not be limited.
    LimitSize,
    /// The disk's number could not be read.
    ReadDiskId,
    /// The disk's number could not be written.
    WriteDiskId,
    /// The data folder could not be synced.
    SyncFolder,
    /// The stored rows could not be read.
    ReadRows,
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("disk: ")?;
        f.write_str(match self {
            DiskError::QueueFull => "the queue of commands is full",
            DiskError::WorkerEnded => "the disk's thread ended before the command did",
            DiskError::Sync => "could not sync rows",
            DiskError::CreateFolder => "could not create the data folder",
            DiskError::RewriteFile => "could not rewrite a file",
            DiskError::OpenDatabase => "could not open the database",
            DiskError::LockDatabase => "could not lock the database",
            DiskError::ReadLayout => "could not read the layout",
            DiskError::UnknownLayout { found, known } => {
                return write!(
                    f,
                    "it has layout {found}, the newest that this daemon knows is {known}"
                );
            }
            DiskError::SetJournalMode => "could not set the journal mode",
            DiskError::NoWriteAheadLog => "the database keeps no write-ahead log",
            DiskError::CreateTables => "could not create the tables",
            DiskError::MigrateLayout => "could not migrate a former layout",
            DiskError::WriteLayout => "could not write the layout's version",
            DiskError::CheckIntegrity => "could not check the database's integrity",
            DiskError::Damaged => "the database is damaged",
            DiskError::LimitSize => "could not limit the database's size",
            DiskError::ReadDiskId => "could not read the disk's number",
            DiskError::WriteDiskId => "could not write the disk's number",
            DiskError::SyncFolder => "could not sync the data folder",
            DiskError::ReadRows => "could not read the rows",
        })
    }
}

impl std::error::Error for DiskError {}
