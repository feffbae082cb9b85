//! Errors of the disk, by the step that failed.

use std::fmt;

/// The step of a disk operation that failed; the report carries the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskError {
    /// The command queue is full.
    QueueFull,
    /// The disk's thread ended before it completed the command.
    WorkerEnded,
    /// Rows could not be written and synced.
    Sync,
    /// The data folder could not be created.
    CreateFolder,
    /// A file could not be rewritten.
    RewriteFile,
    /// The database could not be opened.
    OpenDatabase,
    /// The database could not be locked for this process.
    LockDatabase,
    /// The database's layout version could not be read.
    ReadLayout,
    /// The database has a newer layout than this daemon supports.
    UnknownLayout {
        /// The layout version of the database.
        found: i64,
        /// The newest layout version that this daemon supports.
        known: i64,
    },
    /// The journal mode could not be set.
    SetJournalMode,
    /// The database does not use a write-ahead log.
    NoWriteAheadLog,
    /// The tables could not be created.
    CreateTables,
    /// An older layout could not be migrated.
    MigrateLayout,
    /// The layout version could not be written.
    WriteLayout,
    /// The database's integrity could not be checked.
    CheckIntegrity,
    /// The database is damaged.
    Damaged,
    /// The database's size could not be limited.
    LimitSize,
    /// The disk id could not be read.
    ReadDiskId,
    /// The disk id could not be written.
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
            DiskError::QueueFull => "the command queue is full",
            DiskError::WorkerEnded => "the disk's thread ended before it completed the command",
            DiskError::Sync => "could not sync rows",
            DiskError::CreateFolder => "could not create the data folder",
            DiskError::RewriteFile => "could not rewrite a file",
            DiskError::OpenDatabase => "could not open the database",
            DiskError::LockDatabase => "could not lock the database",
            DiskError::ReadLayout => "could not read the layout version",
            DiskError::UnknownLayout { found, known } => {
                return write!(
                    f,
                    "the database has layout {found}; the newest supported layout is {known}"
                );
            }
            DiskError::SetJournalMode => "could not set the journal mode",
            DiskError::NoWriteAheadLog => "the database does not use a write-ahead log",
            DiskError::CreateTables => "could not create the tables",
            DiskError::MigrateLayout => "could not migrate an older layout",
            DiskError::WriteLayout => "could not write the layout version",
            DiskError::CheckIntegrity => "could not check the database's integrity",
            DiskError::Damaged => "the database is damaged",
            DiskError::LimitSize => "could not limit the database's size",
            DiskError::ReadDiskId => "could not read the disk id",
            DiskError::WriteDiskId => "could not write the disk id",
            DiskError::SyncFolder => "could not sync the data folder",
            DiskError::ReadRows => "could not read the rows",
        })
    }
}

impl std::error::Error for DiskError {}
