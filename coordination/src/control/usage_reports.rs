//! Usage reports to the platform, sent by the holder of the singleton role `usage`.
//!
//! A window's report is committed to the role's key before it is sent, and every holder sends it exactly as committed.
//! Writes of the key are conditional on its version, so there is one report per window whoever holds the role, and
//! sending it again is harmless. Windows are closed and reported oldest first. Windows during which no daemon held the
//! role are reported late, from the counts that the edges still have.

use wire_messages::{Blob, Name};

use super::{
    Control,
    usage_log::{LATE_WINDOWS_MAX, UsageLog},
};
use crate::{
    Effect, Effects, Ms, compressed,
    effect::log_event,
    events,
    platform_call::{CallOutcome, LeasedCall, PlatformCall, UsageReport},
    register::USAGE_KEY,
    state_table::{VersionStamp, version_stamp},
};

/// Time before a report is due at which its window is closed even if counts of some edges are missing, in ms: enough
/// for a commit, a call and one retry.
pub const CLOSING_MARGIN: Ms = 3_000;
/// Time after a window's end within which its counts arrive, in ms: proxies report to their agents, agents poll, and
/// the wall clocks of machines differ a little.
const COUNT_DELAY: Ms = 1_000;
/// Backoff after the first of several failed calls, in ms.
pub const MIN_RETRY_BACKOFF: Ms = 500;
/// Maximum backoff after a failed call, in ms.
pub const MAX_RETRY_BACKOFF: Ms = 8_000;
/// Time after the end of a call's lease, in ms, after which a call without an outcome counts as lost by the runtime.
const LOST_CALL_TIMEOUT: Ms = 1_000;

/// The period during which this daemon holds the role under one epoch.
#[derive(Clone, Copy, Debug)]
struct Term {
    epoch: u64,
    /// When this daemon first observed that it holds the role under this epoch.
    began_at: Ms,
}

/// A report whose call to the platform is in flight.
#[derive(Clone, Copy, Debug)]
struct CallInFlight {
    id: u64,
    epoch: u64,
    window: u64,
    lease_until: Ms,
}

/// The committed log, decoded once per change.
#[derive(Clone, Debug, Default)]
struct DecodedLog {
    stamp: VersionStamp,
    log: UsageLog,
}

/// State of usage reporting at this daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageReports {
    term: Option<Term>,
    committed: DecodedLog,
    /// Token of the log write in progress.
    log_write: Option<u64>,
    call: Option<CallInFlight>,
    /// The newest window whose report the platform has accepted from this daemon: reports are sent oldest first.
    accepted_through: Option<u64>,
    /// Backoff after the last failed call, in ms; 0 after a success.
    retry_backoff: Ms,
    next_call_at: Ms,
}

impl UsageReports {
    /// Returns whether the write with this token writes the log.
    pub(super) fn is_log_write(&self, token: u64) -> bool {
        self.log_write == Some(token)
    }

    pub(super) fn on_write_finished(&mut self, token: u64) {
        if self.is_log_write(token) {
            self.log_write = None;
        }
    }

    /// Returns when the current term began; starts a new term now if the epoch is new.
    fn term_began_at(&mut self, epoch: u64, now: Ms) -> Ms {
        match self.term {
            Some(term) if term.epoch == epoch => term.began_at,
            _ => {
                self.term = Some(Term {
                    epoch,
                    began_at: now,
                });
                now
            }
        }
    }

    /// Returns whether a call may be made now: one at a time, and only after the backoff if the last one failed.
    fn may_call(&mut self, now: Ms) -> bool {
        let is_lost = |call: &CallInFlight| now >= call.lease_until + LOST_CALL_TIMEOUT;
        if self.call.as_ref().is_some_and(is_lost) {
            self.call = None;
            self.back_off(now);
        }
        self.call.is_none() && now >= self.next_call_at
    }

    /// Delays the next call after a failure, doubling the backoff up to its maximum.
    fn back_off(&mut self, now: Ms) {
        self.retry_backoff = (self.retry_backoff * 2).clamp(MIN_RETRY_BACKOFF, MAX_RETRY_BACKOFF);
        self.next_call_at = now + self.retry_backoff;
    }

    /// Returns the oldest committed report that the platform has not accepted.
    fn oldest_unaccepted(&self) -> Option<&UsageReport> {
        let reports = &self.committed.log.unaccepted;
        reports
            .iter()
            .find(|report| self.accepted_through < Some(report.window))
    }

    /// Removes and returns the call in flight if it has this id.
    fn take_call(&mut self, id: u64) -> Option<CallInFlight> {
        self.call.take_if(|call| call.id == id)
    }
}

impl Control {
    /// Makes the platform calls of the singleton roles held by this daemon. `wall_ms`: wall-clock time, in ms since
    /// 1970.
    pub fn run_platform_roles(&mut self, now: Ms, wall_ms: u64) -> Effects {
        if !self.is_settled || self.kill_switch_on() || self.was_suspended(now) {
            return vec![];
        }
        let mut out = Vec::new();
        if self.config.bounds.usage_window > 0 {
            self.run_usage_reports(now, wall_ms, &mut out);
        }
        self.finish(now, out)
    }

    /// Handles the outcome of a call to the platform.
    pub fn on_platform_call_finished(&mut self, id: u64, outcome: CallOutcome, now: Ms) -> Effects {
        let mut out = Vec::new();
        if let Some(call) = self.usage_reports.take_call(id) {
            self.on_usage_call_finished(call, outcome, now, &mut out);
        }
        self.finish(now, out)
    }

    fn run_usage_reports(&mut self, now: Ms, wall_ms: u64, out: &mut Effects) {
        if !self.decode_usage_log() {
            return;
        }
        let next_window = self.next_usage_window(now, wall_ms);
        self.usage.drop_before(next_window);
        let Some((epoch, until)) = self.registers.held_until(USAGE_KEY, now) else {
            return;
        };
        let began_at = self.usage_reports.term_began_at(epoch, now);
        if now < began_at + self.config.bounds.role_pause {
            return;
        }
        self.write_usage_log(next_window, now, wall_ms, out);
        self.send_usage_report(epoch, until, now, out);
    }

    /// Decodes the committed log if it has changed, and returns whether it is readable. With an unreadable log, a
    /// window that already has a report might get another one.
    fn decode_usage_log(&mut self) -> bool {
        let Some(change) = self.state_table.get(USAGE_KEY) else {
            return true;
        };
        let stamp = version_stamp(change);
        if self.usage_reports.committed.stamp != stamp {
            let Some(log) = compressed::decode(&change.value.0) else {
                return false;
            };
            self.usage_reports.committed = DecodedLog { stamp, log };
        }
        true
    }

    /// Returns the next window to close: the one after the log's last, or without a log the first one that began after
    /// this daemon's start.
    fn next_usage_window(&self, now: Ms, wall_ms: u64) -> u64 {
        let length = self.config.bounds.usage_window;
        let logged = self.usage_reports.committed.log.next_window;
        if logged == 0 {
            let started_at = wall_ms.saturating_sub(now.saturating_sub(self.started_at));
            return started_at.div_ceil(length);
        }
        logged.max((wall_ms / length).saturating_sub(LATE_WINDOWS_MAX))
    }

    /// Returns whether a window's counts are as complete as they will be.
    fn is_usage_complete(&self, window: u64, now: Ms, wall_ms: u64) -> bool {
        let bounds = &self.config.bounds;
        let window_end = (window + 1).saturating_mul(bounds.usage_window);
        let Some(since_end) = wall_ms.checked_sub(window_end) else {
            return false;
        };
        let complete_at = (now + COUNT_DELAY).saturating_sub(since_end);
        let max_wait = bounds.usage_delay.saturating_sub(CLOSING_MARGIN);
        since_end >= max_wait || self.usage_received_through(now) >= complete_at
    }

    /// Commits the reports of windows that can be closed, and drops accepted reports. The write is conditional on the
    /// version from which the log was computed: another holder's reports are never overwritten.
    fn write_usage_log(&mut self, first_window: u64, now: Ms, wall_ms: u64, out: &mut Effects) {
        let key: Name = USAGE_KEY.into();
        if self.usage_reports.log_write.is_some() || self.registers.has_pending_writes(&key) {
            return;
        }
        let committed = &self.usage_reports.committed.log;
        let mut next = committed.clone();
        if let Some(window) = self.usage_reports.accepted_through {
            next.drop_accepted(window);
        }
        let mut window = first_window;
        while next.has_room() && self.is_usage_complete(window, now, wall_ms) {
            next.add(window, self.usage.counts(window));
            window += 1;
        }
        if next == *committed {
            return;
        }
        self.log_skipped_windows(first_window, out);
        let Some(value) = compressed::encode(&next) else {
            return;
        };
        let token = self.writes.next_token();
        self.usage_reports.log_write = Some(token);
        let expect = Some(self.local_version(&key));
        self.registers
            .propose(token, &key, expect, Blob(value), now, out);
    }

    /// Logs the windows between the log and `first_window`, which are too old to be reported.
    fn log_skipped_windows(&self, first_window: u64, out: &mut Effects) {
        let logged = self.usage_reports.committed.log.next_window;
        if logged > 0 && logged < first_window {
            let text = format!("{logged} to {}", first_window - 1);
            out.push(log_event(events::USAGE_WINDOWS_SKIPPED, USAGE_KEY, text));
        }
    }

    /// Sends the oldest committed report that the platform has not accepted, exactly as committed.
    fn send_usage_report(&mut self, epoch: u64, until: Ms, now: Ms, out: &mut Effects) {
        if !self.usage_reports.may_call(now) {
            return;
        }
        let Some(report) = self.usage_reports.oldest_unaccepted().cloned() else {
            return;
        };
        let id = self.writes.next_token();
        self.usage_reports.call = Some(CallInFlight {
            id,
            epoch,
            window: report.window,
            lease_until: until,
        });
        out.push(Effect::PlatformCall(LeasedCall {
            id,
            epoch,
            until,
            call: PlatformCall::ReportUsage(report),
        }));
    }

    fn on_usage_call_finished(
        &mut self,
        call: CallInFlight,
        outcome: CallOutcome,
        now: Ms,
        out: &mut Effects,
    ) {
        let reports = &mut self.usage_reports;
        match outcome {
            CallOutcome::Accepted => {
                reports.accepted_through = reports.accepted_through.max(Some(call.window));
                reports.retry_backoff = 0;
            }
            CallOutcome::RateLimited | CallOutcome::Failed => reports.back_off(now),
            CallOutcome::Superseded => {
                let text = format!("epoch {}", call.epoch);
                out.push(log_event(events::PLATFORM_CALL_SUPERSEDED, USAGE_KEY, text));
                self.registers.end_term(&USAGE_KEY.into(), call.epoch, out);
            }
        }
    }
}
