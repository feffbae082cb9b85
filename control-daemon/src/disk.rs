//! The disk: one thread owns the database and works through a queue of commands. Commands that wait together are
//! synced together.

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

/// What the database holds when it is opened.
#[derive(Debug)]
pub struct DiskState {
    /// The disk's own number, drawn when it was first opened.
    pub disk_id: u64,
    /// Whether it was never opened before.
    pub is_blank: bool,
    /// All rows.
    pub rows: Vec<Row>,
}

/// Hands commands to the disk's thread.
#[derive(Clone)]
pub struct Disk(mpsc::SyncSender<Command>);

impl Disk {
    /// Starts the thread. `max_bytes`: what the database may grow to; 0: as far as there is room.
    pub fn start(folder: PathBuf, max_bytes: u64) -> Self {
        Self::start_on(Storage::default(), folder, max_bytes)
    }

    /// The same on a storage of the caller's.
    pub fn start_on(storage: Storage, folder: PathBuf, max_bytes: u64) -> Self {
        let (commands, receiver) = mpsc::sync_channel(DISK_QUEUE_CAPACITY);
        thread::spawn(move || Worker::new(storage, folder, max_bytes).run(&receiver));
        Disk(commands)
    }

    /// Writes rows and syncs them.
    ///
    /// # Errors
    /// If the queue is full, or any step of the write failed: the database is closed then.
    pub fn sync(&self, rows: Vec<Row>) -> impl Future<Output = DiskResult<()>> + use<> {
        self.request(|reply| Command::Sync(rows, reply))
    }

    /// Opens the database, anew if it was open, and reads everything.
    ///
    /// # Errors
    /// If the queue is full, or any step of the opening failed.
    pub fn open(&self) -> impl Future<Output = DiskResult<DiskState>> + use<> {
        self.request(Command::Open)
    }

    fn request<T, C: FnOnce(oneshot::Sender<DiskResult<T>>) -> Command>(
        &self,
        command: C,
    ) -> impl Future<Output = DiskResult<T>> + use<T, C> {
        let (sender, reply) = oneshot::channel();
        // Handed over here and not when first awaited: a newer row of a key must not go before an older one.
        // A full queue is a disk that does not keep up: the same as one that fails.
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
