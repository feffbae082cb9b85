//! The disk's thread: batches queued syncs, and closes the database after a failed one.

use std::{path::PathBuf, sync::mpsc};

use coordination::Row;
use error_stack::Report;
use rusqlite::Connection;
use tokio::sync::oneshot;

use super::{
    DiskError, DiskResult, DiskState, Storage,
    opening::{OpenDatabase, open},
    rows::write_rows,
};

/// Receives the outcome of a command.
type Reply<T> = oneshot::Sender<DiskResult<T>>;

pub(super) enum Command {
    Sync(Vec<Row>, Reply<()>),
    Open(Reply<DiskState>),
}

/// Syncs that were queued together and are written in one transaction.
#[derive(Default)]
struct Batch {
    rows: Vec<Row>,
    replies: Vec<Reply<()>>,
}

pub(super) struct Worker {
    storage: Storage,
    folder: PathBuf,
    max_bytes: u64,
    /// None before the database is opened and after a failure.
    connection: Option<Connection>,
}

impl Worker {
    pub(super) fn new(storage: Storage, folder: PathBuf, max_bytes: u64) -> Self {
        Worker {
            storage,
            folder,
            max_bytes,
            connection: None,
        }
    }

    /// Processes commands until all senders are dropped.
    pub(super) fn run(mut self, commands: &mpsc::Receiver<Command>) {
        while let Ok(first) = commands.recv() {
            let mut batch = Batch::default();
            let mut next = Some(first);
            while let Some(command) = next.take() {
                match command {
                    Command::Sync(rows, reply) => {
                        batch.rows.extend(rows);
                        batch.replies.push(reply);
                        next = commands.try_recv().ok();
                    }
                    Command::Open(reply) => self.open(reply),
                }
            }
            if !batch.replies.is_empty() {
                self.sync(batch);
            }
        }
    }

    fn open(&mut self, reply: Reply<DiskState>) {
        // Closed first: the exclusive lock on the database permits only one connection, even in this process.
        self.connection = None;
        let opened = open(self.storage, &self.folder, self.max_bytes);
        let state = opened.map(|OpenDatabase { connection, state }| {
            self.connection = Some(connection);
            state
        });
        // The caller may have stopped waiting.
        let _ = reply.send(state);
    }

    fn sync(&mut self, batch: Batch) {
        let synced = match self.connection.as_mut() {
            Some(connection) => {
                write_rows(connection, &batch.rows).map_err(|error| format!("{error:?}"))
            }
            None => Err("the database is not open".into()),
        };
        if synced.is_err() {
            // After a failed sync the state on disk is unknown: nothing is written until the database is read again.
            self.connection = None;
        }
        for reply in batch.replies {
            let outcome = synced
                .clone()
                .map_err(|cause| Report::new(DiskError::Sync).attach(cause));
            // The caller may have stopped waiting.
            let _ = reply.send(outcome);
        }
    }
}
