//! The state machine's life: it begins with what the disk holds when it is opened, and ends when a sync fails.

use std::collections::BTreeMap;

use actix::prelude::*;
use coordination::{Ms, WriteOutcome, control::Control, events, timing::DISK_SYNC_TIMEOUT};
use daemon_parts::{clock, limits::DISK_RETRY_INTERVAL, logging::event};

use super::ControlActor;
use crate::disk::DiskState;

/// A sync that was handed to the disk.
#[derive(Clone, Copy, Debug)]
pub(super) struct SyncId {
    number: u64,
    /// The state machine that asked for it.
    generation: u64,
}

/// Openings of the disk, and syncs that have not ended.
#[derive(Debug, Default)]
pub(super) struct Lifecycle {
    /// Counts state machines: each opening of the disk begins another.
    generation: u64,
    is_opening: bool,
    next_open_at: Ms,
    last_sync: u64,
    /// When each sync that has not ended began, by its number.
    pending_syncs: BTreeMap<u64, Ms>,
}

impl Lifecycle {
    pub(super) fn begin_sync(&mut self, now: Ms) -> SyncId {
        self.last_sync += 1;
        self.pending_syncs.insert(self.last_sync, now);
        SyncId {
            number: self.last_sync,
            generation: self.generation,
        }
    }

    /// Whether the state machine that asked for the sync is the current one.
    pub(super) fn end_sync(&mut self, sync: SyncId) -> bool {
        self.pending_syncs.remove(&sync.number);
        sync.generation == self.generation
    }

    /// Tells the state machine whether the disk hangs: such a disk says nothing; others must not wait for it, and take
    /// over what is owned here.
    pub(super) fn check_syncs(&self, control: &mut Control, name: &str, now: Ms) {
        let oldest = self.pending_syncs.values().next();
        let is_healthy = oldest.is_none_or(|began| now.saturating_sub(*began) <= DISK_SYNC_TIMEOUT);
        if control.disk_healthy == is_healthy {
            return;
        }
        control.disk_healthy = is_healthy;
        if is_healthy {
            event(events::DISK_RECOVERED, name, "it syncs again");
        } else {
            event(events::DISK_FAILED, name, "a sync takes too long");
        }
    }

    fn retry_later(&mut self, now: Ms) {
        self.next_open_at = now + DISK_RETRY_INTERVAL;
    }
}

impl ControlActor {
    /// What the disk holds is no longer known: this state machine ends, and another begins when it can be read.
    pub(super) fn on_disk_failed(&mut self, cause: &str) {
        if self.control.take().is_some() {
            self.log_disk_failure(cause);
        }
        // Writes in flight may be on other disks.
        for (_, caller) in self.pending_calls.drain() {
            // The caller may have gone.
            let _ = caller.send(WriteOutcome::Unknown);
        }
        self.lifecycle.retry_later(clock::now());
    }

    fn log_disk_failure(&self, cause: &str) {
        event(
            events::DISK_FAILED,
            &self.config.name,
            &cause.replace('\n', " "),
        );
    }

    /// Opens the disk, unless it is being opened or failed just now.
    pub(super) fn reopen(&mut self, ctx: &mut Context<Self>) {
        if self.lifecycle.is_opening || clock::now() < self.lifecycle.next_open_at {
            return;
        }
        self.lifecycle.is_opening = true;
        let opened = self.disk.open().into_actor(self);
        ctx.spawn(opened.map(|result, actor, _| {
            actor.lifecycle.is_opening = false;
            match result {
                Ok(state) => actor.begin(state),
                Err(report) => {
                    actor.log_disk_failure(&format!("{report:?}"));
                    actor.lifecycle.retry_later(clock::now());
                }
            }
        }));
    }

    fn begin(&mut self, state: DiskState) {
        let name = &self.config.name;
        if state.is_blank {
            event(events::DISK_BLANK, name, "");
        } else {
            let summary = format!("{} rows", state.rows.len());
            event(events::DISK_RECOVERED, name, &summary);
        }
        self.lifecycle.generation += 1;
        self.control = Some(Control::new(
            self.config.clone(),
            state.disk_id,
            state.rows,
            clock::new_incarnation(),
            clock::now(),
        ));
    }
}
