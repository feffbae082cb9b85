//! Changes of the agent's state table on their way to its proxy. Each has a position; the proxy reports the position up
//! to which it has all changes, and what it has not confirmed in time is sent again.

use std::collections::BTreeMap;

use wire_messages::{Change, List, Name};

use super::serving_rule::RULE_DURATION;
use crate::{Ms, state_table::StateTable};

/// Time in ms after which sent changes are sent again unless the proxy has confirmed them: two of its reports. Changes
/// that are lost arrive before the proxy's rule expires.
const RESEND_AFTER: Ms = RULE_DURATION / 3;

/// Positions of the changes that the proxy was sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    /// Position of the snapshot, whose changes are not kept: an earlier position confirms nothing.
    snapshot: u64,
    /// Position of the newest change that was sent.
    through: u64,
    /// Position up to which the proxy has confirmed all changes; `None` until it has confirmed a snapshot.
    confirmed: Option<u64>,
    /// When the oldest unconfirmed change was sent last.
    unconfirmed_since: Ms,
}

impl Sent {
    fn is_confirmed(&self) -> bool {
        self.confirmed == Some(self.through)
    }

    fn is_overdue(&self, now: Ms) -> bool {
        !self.is_confirmed() && now.saturating_sub(self.unconfirmed_since) >= RESEND_AFTER
    }
}

/// The changes in one update to the proxy.
#[derive(Debug)]
pub(super) struct FeedUpdate {
    /// Whether `changes` has all keys.
    pub is_snapshot: bool,
    /// The changes follow this position.
    pub after_position: u64,
    /// Position of the newest change.
    pub through_position: u64,
    pub changes: List<Change>,
}

/// The feed of state table changes to the proxy.
#[derive(Clone, Debug, Default)]
pub(super) struct TableFeed {
    /// Position of the newest change of the table.
    newest: u64,
    /// What this incarnation of the proxy was sent; `None` before its first snapshot.
    sent: Option<Sent>,
    /// Unconfirmed changes by position: the newest of each key.
    unconfirmed: BTreeMap<u64, Change>,
    /// Position of each unconfirmed key.
    positions: BTreeMap<Name, u64>,
}

impl TableFeed {
    /// Adds a changed value. A proxy that was sent no snapshot yet will receive it in one.
    pub fn push(&mut self, change: Change) {
        self.newest += 1;
        if self.sent.is_none() {
            return;
        }
        if let Some(position) = self.positions.insert(change.key.clone(), self.newest) {
            self.unconfirmed.remove(&position);
        }
        self.unconfirmed.insert(self.newest, change);
    }

    /// Starts over with a snapshot, for a proxy of which nothing is known.
    pub fn restart(&mut self) {
        self.sent = None;
        self.unconfirmed.clear();
        self.positions.clear();
    }

    /// Handles the position that the proxy reports; `None` if it has no snapshot of this agent.
    pub fn on_position(&mut self, position: Option<u64>, now: Ms) {
        let Some(sent) = &mut self.sent else {
            return;
        };
        let first_unconfirmed = sent
            .confirmed
            .map_or(sent.snapshot, |confirmed| confirmed + 1);
        let Some(position) =
            position.filter(|position| (first_unconfirmed..=sent.through).contains(position))
        else {
            return;
        };
        sent.confirmed = Some(position);
        sent.unconfirmed_since = now;
        self.unconfirmed = self.unconfirmed.split_off(&(position + 1));
        self.positions
            .retain(|_, changed_at| *changed_at > position);
    }

    /// Returns whether changes wait to be sent for the first time.
    pub fn has_unsent(&self) -> bool {
        self.sent.is_some_and(|sent| sent.through < self.newest)
    }

    /// Returns whether the proxy must be sent something again, or its first snapshot.
    pub fn is_resend_due(&self, now: Ms) -> bool {
        self.sent.is_none_or(|sent| sent.is_overdue(now))
    }

    /// Returns what to send next: new changes, or if `may_resend` and earlier ones are overdue, all unconfirmed changes
    /// or a snapshot of the table. The first update is a snapshot.
    pub fn next_update(&mut self, table: &StateTable, may_resend: bool, now: Ms) -> FeedUpdate {
        let Some(sent) = self.sent else {
            return self.snapshot(table, now);
        };
        let is_resent = may_resend && sent.is_overdue(now);
        let after_position = match sent.confirmed {
            _ if !is_resent => sent.through,
            Some(confirmed) => confirmed,
            None => return self.snapshot(table, now),
        };
        let is_oldest_sent_now = is_resent || sent.is_confirmed();
        self.sent = Some(Sent {
            through: self.newest,
            unconfirmed_since: if is_oldest_sent_now {
                now
            } else {
                sent.unconfirmed_since
            },
            ..sent
        });
        let changes = self.unconfirmed.range(after_position + 1..);
        FeedUpdate {
            is_snapshot: false,
            after_position,
            through_position: self.newest,
            changes: changes.map(|(_, change)| change.clone()).collect(),
        }
    }

    fn snapshot(&mut self, table: &StateTable, now: Ms) -> FeedUpdate {
        self.restart();
        self.sent = Some(Sent {
            snapshot: self.newest,
            through: self.newest,
            confirmed: None,
            unconfirmed_since: now,
        });
        FeedUpdate {
            is_snapshot: true,
            after_position: 0,
            through_position: self.newest,
            changes: table.entries().cloned().collect(),
        }
    }
}
