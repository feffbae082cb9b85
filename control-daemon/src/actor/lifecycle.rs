//! Lifecycle of the state machine: created from the rows on disk when the disk is opened, dropped when a sync fails.

use std::collections::BTreeMap;

use actix::prelude::*;
use coordination::{Ms, WriteOutcome, control::Control, events, timing::DISK_SYNC_TIMEOUT};
use daemon_parts::{clock, limits::DISK_RETRY_INTERVAL, logging::event};

use super::ControlActor;
use crate::disk::DiskState;

/// Identifies a sync that was queued on the disk.
#[derive(Clone, Copy, Debug)]
pub(super) struct SyncId {
    number: u64,
    /// The generation of the state machine that requested it.
    generation: u64,
}

/// Tracks attempts to open the disk, and syncs in flight.
#[derive(Debug, Default)]
pub(super) struct Lifecycle {
    /// Number of state machines so far: each successful opening of the disk creates a new one.
    generation: u64,
    is_opening: bool,
    next_open_at: Ms,
    last_sync: u64,
    /// Start times of the syncs in flight, by number.
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

    /// Ends a sync; returns whether the state machine that requested it is the current one.
    pub(super) fn end_sync(&mut self, sync: SyncId) -> bool {
        self.pending_syncs.remove(&sync.number);
        sync.generation == self.generation
    }

    /// Marks the disk unhealthy while a sync exceeds its time-out. A disk that hangs reports no error; other daemons
    /// must not wait for it, but acquire the keys that this daemon owns.
    pub(super) fn check_syncs(&self, control: &mut Control, name: &str, now: Ms) {
        let oldest = self.pending_syncs.values().next();
        let is_healthy = oldest.is_none_or(|began| now.saturating_sub(*began) <= DISK_SYNC_TIMEOUT);
        if control.disk_healthy == is_healthy {
            return;
        }
        control.disk_healthy = is_healthy;
        if is_healthy {
            event(events::DISK_RECOVERED, name, "syncs complete again");
        } else {
            event(events::DISK_FAILED, name, "a sync exceeded its time-out");
        }
    }

    fn retry_later(&mut self, now: Ms) {
        self.next_open_at = now + DISK_RETRY_INTERVAL;
    }
}

impl ControlActor {
    /// Drops the state machine, as the content of the disk is no longer known. A new one starts once the disk can be
    /// read.
    pub(super) fn on_disk_failed(&mut self, cause: &str) {
        if self.control.take().is_some() {
            self.log_disk_failure(cause);
        }
        // Writes in flight may be stored on other disks.
        for (_, caller) in self.pending_calls.drain() {
            // The caller may have stopped waiting.
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

    /// Opens the disk, unless it is being opened or failed only just now.
    pub(super) fn reopen(&mut self, ctx: &mut Context<Self>) {
        if self.lifecycle.is_opening || clock::now() < self.lifecycle.next_open_at {
            return;
        }
        self.lifecycle.is_opening = true;
        let opened = self.disk.open().into_actor(self);
        ctx.spawn(opened.map(|result, actor, _| {
            actor.lifecycle.is_opening = false;
            match result {
                Ok(state) => actor.start_control(state),
                Err(report) => {
                    actor.log_disk_failure(&format!("{report:?}"));
                    actor.lifecycle.retry_later(clock::now());
                }
            }
        }));
    }

    fn start_control(&mut self, state: DiskState) {
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
