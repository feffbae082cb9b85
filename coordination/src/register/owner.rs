//! What an owner does with a key: takes it, writes and tells one by one, and gives it up.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use wire_messages::{
    Accept, Accepted, Blob, Change, Commit, LeasesRenewed, List, Name, OwnedKey, Prepare, Promise,
    ReleaseLeases, RenewLeases, Slot,
};

use super::{
    DisplacedRequest, EPOCHS_KEY, Expect, InFlightWrite, Ownership, OwnershipPhase, PendingRequest,
    Registers, change, is_leased, prior_writes::PriorOutcome,
};
use crate::{
    Effect, Effects, Ms, NotAcceptedReason, Row, WriteOutcome,
    effect::{log_event, send},
    events,
};

/// ms. Resend of prepares and accepts that were not answered.
pub(crate) const RESEND_INTERVAL: Ms = 400;
/// Writes that may wait for one key; operators racing are a handful.
const MAX_PENDING_REQUESTS: usize = 32;

impl InFlightWrite {
    /// A value that may stand already, and that nobody waits for.
    fn rewrite(s: &Slot, now: Ms) -> Self {
        let (acks, token, expect) = (BTreeSet::new(), None, Expect::Any);
        InFlightWrite {
            version: s.version,
            value: s.value.clone(),
            replaced: s.replaced.clone(),
            acks,
            token,
            expect,
            received_at: now,
            sent_at: now,
        }
    }
}

impl Registers {
    pub(super) fn broadcast(&self, m: impl Into<wire_messages::Message>, out: &mut Effects) {
        let m = m.into();
        out.extend(self.voters.iter().map(|v| send(&self.addr(v), m.clone())));
    }

    /// Starts to take a key.
    pub(super) fn acquire(&mut self, key: &Name, now: Ms, out: &mut Effects) {
        let epoch = self.next_epoch();
        let old = self.ownerships.remove(key);
        let (waiting, not_before) = old.map_or((VecDeque::new(), 0), |o| (o.pending, o.not_before));
        let phase = OwnershipPhase::Preparing {
            promises: BTreeSet::new(),
            best: Slot::default(),
            sent: now,
        };
        let o = Ownership {
            epoch,
            phase,
            in_flight: None,
            pending: waiting,
            not_before,
            superseded: false,
            confirmed_by: BTreeMap::new(),
            confirmation_sent_at: 0,
        };
        self.ownerships.insert(key.clone(), o);
        if now >= not_before {
            self.prepare(key, epoch, out);
        }
    }

    /// Asks for promises once the epoch is on this daemon's own disk: after a crash it would take the same one
    /// again, and two writes under one epoch and version could not be told apart.
    pub(super) fn prepare(&self, key: &Name, epoch: u64, out: &mut Effects) {
        let row = Slot {
            key: EPOCHS_KEY.into(),
            promised_epoch: self.highest_epoch,
            ..Slot::default()
        };
        let mut then = vec![];
        self.broadcast(
            Prepare {
                key: key.clone(),
                epoch,
                member_epoch: self.member_epoch,
            },
            &mut then,
        );
        out.push(Effect::Persist {
            rows: vec![Row::Slot(row)],
            then,
        });
    }

    /// Gives up a key: what was offered and what waited goes to the next owner. What was offered may stand by then; it
    /// is not left to what the next owner commits, who may never see it and have nothing to write.
    pub(super) fn relinquish(&mut self, key: &Name, out: &mut Effects) {
        let Some(o) = self.ownerships.remove(key) else {
            return;
        };
        if let Some(w) = o.in_flight
            && let Some(token) = w.token
        {
            let (value, offered) = (Some(w.value), Some(w.version));
            self.displaced.push(DisplacedRequest {
                token,
                key: key.clone(),
                expect: w.expect,
                value,
                received_at: w.received_at,
                offered_version: offered,
            });
        }
        if let (OwnershipPhase::Owning { .. }, true) = (&o.phase, is_leased(key)) {
            self.broadcast(
                ReleaseLeases {
                    keys: List(vec![OwnedKey {
                        key: key.clone(),
                        epoch: o.epoch,
                    }]),
                },
                out,
            );
        }
        let moved = |a: PendingRequest| DisplacedRequest {
            token: a.token,
            key: key.clone(),
            expect: a.expect,
            value: a.value,
            received_at: a.received_at,
            offered_version: None,
        };
        self.displaced.extend(o.pending.into_iter().map(moved));
    }

    /// Offers a write to a key that this daemon owns or is taking.
    pub fn propose(
        &mut self,
        token: u64,
        key: &Name,
        expect: impl Into<Expect>,
        value: Blob,
        now: Ms,
        out: &mut Effects,
    ) {
        self.enqueue(
            PendingRequest {
                token,
                expect: expect.into(),
                value: Some(value),
                received_at: now,
            },
            key,
            now,
            out,
        );
    }
    /// Asks for the newest version of a key that this daemon owns or is taking.
    pub fn read(&mut self, token: u64, key: &Name, now: Ms, out: &mut Effects) {
        self.enqueue(
            PendingRequest {
                token,
                expect: Expect::Any,
                value: None,
                received_at: now,
            },
            key,
            now,
            out,
        );
    }

    fn enqueue(&mut self, a: PendingRequest, key: &Name, now: Ms, out: &mut Effects) {
        let token = a.token;
        if !self.voting {
            out.push(Effect::WriteFinished {
                token,
                outcome: WriteOutcome::NotAccepted(NotAcceptedReason::NotVoting),
            });
            return;
        }
        if !self.ownerships.contains_key(key) {
            self.acquire(key, now, out);
        }
        let Some(o) = self.ownerships.get_mut(key) else {
            return;
        };
        if o.pending.len() >= MAX_PENDING_REQUESTS {
            out.push(Effect::WriteFinished {
                token,
                outcome: WriteOutcome::NotAccepted(NotAcceptedReason::TooManyPending),
            });
            return;
        }
        o.pending.push_back(a);
        self.advance(key, now, out);
    }

    /// Writes again what stands where another daemon has something newer that no majority took: an owner that died
    /// left it there, and the daemon takes nothing older in its stead.
    pub fn rewrite_uncommitted(&mut self, have: &[Slot], now: Ms, out: &mut Effects) {
        for h in have.iter().filter(|h| h.committed_version != h.version) {
            let Some(s) = self
                .slots
                .get(&h.key)
                .filter(|s| (h.accepted_epoch, h.version) > (s.accepted_epoch, s.version))
                .cloned()
            else {
                continue;
            };
            let member_epoch = self.member_epoch;
            let Some(o) = self
                .ownerships
                .get_mut(&h.key)
                .filter(|o| o.in_flight.is_none() && o.epoch > h.accepted_epoch)
            else {
                continue;
            };
            let OwnershipPhase::Owning { version } = o.phase else {
                continue;
            };
            if s.version != version || version == 0 {
                continue;
            }
            let epoch = o.epoch;
            o.in_flight = Some(InFlightWrite::rewrite(&s, now));
            self.broadcast(
                Accept {
                    key: s.key,
                    epoch,
                    version,
                    value: s.value,
                    replaced: s.replaced,
                    member_epoch,
                },
                out,
            );
        }
    }

    /// Works through what waits for a key, until a write is under way or the voters must be asked first.
    pub(super) fn advance(&mut self, key: &Name, now: Ms, out: &mut Effects) {
        loop {
            let Some(o) = self.ownerships.get(key).filter(|o| o.in_flight.is_none()) else {
                return;
            };
            let (OwnershipPhase::Owning { version }, Some(a)) = (&o.phase, o.pending.front())
            else {
                return;
            };
            let (version, at, expect) = (*version, a.received_at, a.expect);
            let repeats = a
                .value
                .as_ref()
                .is_some_and(|v| self.is_already_written(key, version, expect, v));
            let reads = a.value.is_none();
            if !reads && !repeats && self.matches_expectation(key, version, expect) {
                return self.write_next(key, version, now, out);
            }
            // What stands is told only by an owner that a majority confirmed since it was asked: one that was deposed
            // without having heard of it would tell of an older value.
            let Some(o) = self.ownerships.get(key) else {
                return;
            };
            if self.majority_confirmed_at(o).is_none_or(|t| t < at) {
                return self.confirm_ownership(key, at, now, out);
            }
            let Some(a) = self
                .ownerships
                .get_mut(key)
                .and_then(|o| o.pending.pop_front())
            else {
                return;
            };
            let outcome = match a.value {
                Some(v) if !repeats => match self.prior_outcome(key, version, expect, &v) {
                    PriorOutcome::Accepted(was) => WriteOutcome::Accepted(was),
                    PriorOutcome::Never => WriteOutcome::Conflict(version),
                    PriorOutcome::Forgotten => WriteOutcome::Unknown,
                },
                _ => WriteOutcome::Accepted(version),
            };
            out.push(Effect::WriteFinished {
                token: a.token,
                outcome,
            });
        }
    }

    /// Whether what a write expects stands.
    fn matches_expectation(&mut self, key: &Name, version: u64, expect: Expect) -> bool {
        match expect {
            Expect::Any => true,
            Expect::Version(v) | Expect::UnchangedSince(v) => v == version,
            Expect::Release(r) => self.release(key, version) == Some(r),
        }
    }

    /// Whether a write's value stands already, as what the write would have made of it. An operator that got no clear
    /// answer repeats its order, and a daemon a write whose owner went.
    fn is_already_written(&self, key: &Name, version: u64, expect: Expect, value: &Blob) -> bool {
        let same = self
            .slots
            .get(key)
            .is_some_and(|s| s.version == version && version > 0 && s.value == *value);
        same && if let Expect::Version(v) = expect {
            v + 1 == version
        } else {
            true
        }
    }

    /// Offers the first write that waits to the voters' disks.
    fn write_next(&mut self, key: &Name, version: u64, now: Ms, out: &mut Effects) {
        let past = self.replaced_by_next(key, version);
        let member_epoch = self.member_epoch;
        let Some(o) = self.ownerships.get_mut(key) else {
            return;
        };
        let Some(PendingRequest {
            token,
            expect,
            value: Some(value),
            received_at: at,
        }) = o.pending.pop_front()
        else {
            return;
        };
        let (acks, token) = (BTreeSet::new(), Some(token));
        let w = InFlightWrite {
            version: version + 1,
            value,
            replaced: past,
            acks,
            token,
            expect,
            received_at: at,
            sent_at: now,
        };
        let (value, past) = (w.value.clone(), w.replaced.clone());
        let m = Accept {
            key: key.clone(),
            epoch: o.epoch,
            version: w.version,
            value,
            replaced: past,
            member_epoch,
        };
        o.in_flight = Some(w);
        self.broadcast(m, out);
    }

    /// Asks the voters whether a key is still this daemon's own.
    fn confirm_ownership(&mut self, key: &Name, since: Ms, now: Ms, out: &mut Effects) {
        let Some(o) = self.ownerships.get_mut(key) else {
            return;
        };
        if o.confirmation_sent_at >= since
            && now.saturating_sub(o.confirmation_sent_at) < RESEND_INTERVAL
        {
            return;
        }
        o.confirmation_sent_at = now;
        let keys = List(vec![OwnedKey {
            key: key.clone(),
            epoch: o.epoch,
        }]);
        self.broadcast(
            RenewLeases {
                keys,
                sent_at: now,
                member_epoch: self.member_epoch,
            },
            out,
        );
    }

    pub fn on_promise(&mut self, from: &Name, m: Promise, now: Ms, out: &mut Effects) {
        self.highest_epoch = self.highest_epoch.max(m.slot.promised_epoch);
        let (key, need, member_epoch) = (m.slot.key.clone(), self.majority(), self.member_epoch);
        let known = self.voters.iter().any(|v| v.name == *from);
        let own = self.slots.get(&key);
        let Some(o) = self.ownerships.get_mut(&key) else {
            return;
        };
        if m.epoch != o.epoch || m.member_epoch != member_epoch || !known {
            return;
        }
        let OwnershipPhase::Preparing { promises, best, .. } = &mut o.phase else {
            return;
        };
        if m.granted == 0 {
            o.superseded |= m.slot.promised_epoch > o.epoch;
            o.not_before = o
                .not_before
                .max(now + u64::from(m.retry_after_ms).max(RESEND_INTERVAL / 2));
            return;
        }
        promises.insert(from.clone());
        // What this daemon has itself counts though its own promise may be the last to come: it compares with that.
        let rank = |s: &Slot| (s.accepted_epoch, s.version, s.committed_version);
        if let Some(s) = own
            .into_iter()
            .chain([&m.slot])
            .max_by_key(|s| rank(s))
            .filter(|s| rank(s) > rank(best))
        {
            *best = s.clone();
        }
        if promises.len() < need {
            return;
        }
        let best = best.clone();
        o.phase = OwnershipPhase::Owning {
            version: best.version,
        };
        out.push(log_event(
            events::KEY_OWNED,
            &self.name,
            format!("{key} epoch {} version {}", o.epoch, best.version),
        ));
        // What is known to be committed stands on a majority already; each later owner meets it there.
        if best.committed_version == best.version {
            if best.version > 0 {
                self.on_commit(&change(&best), &best.replaced, out);
            }
            self.advance(&key, now, out);
            return;
        }
        // Whatever a majority may have taken is written again under the new epoch before anything else:
        // a write whose owner died between two disks ends here, one way for everybody.
        let epoch = o.epoch;
        o.in_flight = Some(InFlightWrite::rewrite(&best, now));
        self.broadcast(
            Accept {
                key,
                epoch,
                version: best.version,
                value: best.value,
                replaced: best.replaced,
                member_epoch,
            },
            out,
        );
    }

    pub fn on_accepted(&mut self, from: &Name, m: Accepted, now: Ms, out: &mut Effects) {
        self.highest_epoch = self.highest_epoch.max(m.promised_epoch);
        let need = self.majority();
        let known = self.voters.iter().any(|v| v.name == *from);
        let Some(o) = self.ownerships.get_mut(&m.key) else {
            return;
        };
        if m.epoch != o.epoch || m.member_epoch != self.member_epoch || !known {
            return;
        }
        if m.accepted == 0 {
            if m.promised_epoch > o.epoch {
                out.push(log_event(
                    events::OWNERSHIP_LOST,
                    from,
                    format!("{} epoch {}", m.key, o.epoch),
                ));
                self.relinquish(&m.key, out);
            }
            return;
        }
        let Some(w) = o.in_flight.as_mut().filter(|w| w.version == m.version) else {
            return;
        };
        w.acks.insert(from.clone());
        if w.acks.len() < need {
            return;
        }
        let Some(w) = o.in_flight.take() else { return };
        o.phase = OwnershipPhase::Owning { version: w.version };
        let c = Change {
            key: m.key.clone(),
            epoch: o.epoch,
            version: w.version,
            value: w.value,
        };
        if let Some(token) = w.token {
            out.push(log_event(
                events::WRITE_COMMITTED,
                &self.name,
                format!("{} version {}", m.key, w.version),
            ));
            out.push(Effect::WriteFinished {
                token,
                outcome: WriteOutcome::Accepted(w.version),
            });
        }
        self.on_commit(&c, &w.replaced, out);
        let news = Commit {
            change: c,
            replaced: w.replaced,
        };
        for v in self.voters.iter().filter(|v| v.name != self.name) {
            out.push(send(&self.addr(v), news.clone()));
        }
        out.extend(self.followers.iter().map(|a| send(a, news.clone())));
        self.advance(&m.key, now, out);
    }

    pub fn on_renewed(&mut self, from: &Name, m: LeasesRenewed, now: Ms, out: &mut Effects) {
        if m.member_epoch != self.member_epoch || !self.voters.iter().any(|v| v.name == *from) {
            return;
        }
        for h in m.keys {
            let Some(o) = self
                .ownerships
                .get_mut(&h.key)
                .filter(|o| o.epoch == h.epoch)
            else {
                continue;
            };
            let t = o.confirmed_by.entry(from.clone()).or_insert(0);
            *t = (*t).max(m.request_sent_at);
            self.advance(&h.key, now, out);
        }
    }
}
