//! Durable storage: one thread owns the database and processes a queue of commands. Writes that are queued together
//! are synced together.

use std::{path::PathBuf, sync::mpsc, thread};

use coordination::Row;
use daemon_parts::limits::DISK_QUEUE_CAPACITY;
use error_stack::{Report, ResultExt};
use tokio::sync::oneshot;

mod error;
mod opening;
mod rows;
mod storage;
mod worker;

pub use error::DiskError;
pub use storage::Storage;

use worker::{Command, Worker};

type DiskResult<T> = Result<T, Report<DiskError>>;

/// The content of the database when it is opened.
#[derive(Debug)]
pub struct DiskState {
    /// The id of the disk, drawn at random when it was first opened.
    pub disk_id: u64,
    /// Whether the disk was never opened before.
    pub is_blank: bool,
    /// All rows.
    pub rows: Vec<Row>,
}

/// Queues commands for the disk's thread.
#[derive(Clone)]
pub struct Disk(mpsc::SyncSender<Command>);

impl Disk {
    /// Starts the thread. `max_bytes` is the size limit of the database; 0: no limit.
    pub fn start(folder: PathBuf, max_bytes: u64) -> Self {
        Self::start_on(Storage::default(), folder, max_bytes)
    }

    /// Starts the thread on the given storage.
    pub fn start_on(storage: Storage, folder: PathBuf, max_bytes: u64) -> Self {
        let (commands, receiver) = mpsc::sync_channel(DISK_QUEUE_CAPACITY);
        thread::spawn(move || Worker::new(storage, folder, max_bytes).run(&receiver));
        Disk(commands)
    }

    /// Writes rows and syncs them.
    ///
    /// # Errors
    /// If the queue is full, or any step of the write fails, which also closes the database.
    pub fn sync(&self, rows: Vec<Row>) -> impl Future<Output = DiskResult<()>> + use<> {
        self.request(|reply| Command::Sync(rows, reply))
    }

    /// Opens the database, or reopens it if it was open, and reads all rows.
    ///
    /// # Errors
    /// If the queue is full, or any step of the opening fails.
    pub fn open(&self) -> impl Future<Output = DiskResult<DiskState>> + use<> {
        self.request(Command::Open)
    }

    fn request<T, C: FnOnce(oneshot::Sender<DiskResult<T>>) -> Command>(
        &self,
        command: C,
    ) -> impl Future<Output = DiskResult<T>> + use<T, C> {
        let (sender, reply) = oneshot::channel();
        // Queued here and not when first awaited: a newer row of a key must not be written before an older one.
        // A full queue means that the disk does not keep up; it is handled like a failed disk.
        let is_queued = self.0.try_send(command(sender)).is_ok();
        async move {
            if !is_queued {
                return Err(Report::new(DiskError::QueueFull));
            }
            reply.await.change_context(DiskError::WorkerEnded)?
        }
    }
}

#[cfg(test)]
mod tests;
