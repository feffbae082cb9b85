//! What time brings: keys are taken and handed over, messages sent again, leases renewed and writes given up.

use std::collections::BTreeSet;

use wire_messages::{Accept, List, Name, OwnedKey, RenewLeases};

use super::{Ownership, OwnershipPhase, Registers, is_leased};
use crate::{
    Effect, Effects, Ms, NotAcceptedReason, WriteOutcome, effect::log_event, events,
    register::owner::RESEND_INTERVAL, timing::HEARTBEAT_INTERVAL,
};

/// ms. Duty holders renew three times within a lease's life.
const RENEW_INTERVAL: Ms = 700;
/// ms. An operator's write is answered by then: accepted, not accepted or unknown.
const WRITE_TIMEOUT: Ms = 2_000;

impl Registers {
    /// Takes, hands over, resends, renews and times out. `wanted`: keys that must have an owner.
    pub fn tick(
        &mut self,
        now: Ms,
        live: &dyn Fn(&str) -> bool,
        wanted: &[Name],
        out: &mut Effects,
    ) {
        if !self.voting {
            return;
        }
        // Whose a key is changes with the voters that live, which beats tell; what is owned here is seen to each time.
        let look = now >= self.next_ownership_check;
        let keys: BTreeSet<Name> = if look {
            self.next_ownership_check = now + HEARTBEAT_INTERVAL / 2;
            self.slots
                .keys()
                .chain(wanted)
                .chain(self.ownerships.keys())
                .cloned()
                .collect()
        } else {
            let at_work = |o: &Ownership| {
                o.in_flight.is_some()
                    || !o.pending.is_empty()
                    || matches!(o.phase, OwnershipPhase::Preparing { .. })
            };
            self.ownerships
                .iter()
                .filter(|(k, o)| is_leased(k) || at_work(o))
                .map(|(k, _)| k.clone())
                .collect()
        };
        let mut renew = List::default();
        for key in keys {
            let mine = self
                .preferred_owner(&key, live)
                .is_some_and(|v| v.name == self.name);
            let Some(o) = self.ownerships.get_mut(&key) else {
                if mine {
                    self.acquire(&key, now, out);
                }
                continue;
            };
            if !mine && o.in_flight.is_none() {
                self.relinquish(&key, out);
                continue;
            }
            self.time_out(&key, now, out);
            self.resend(&key, now, out);
            if let Some(o) = self.ownerships.get(&key)
                && let OwnershipPhase::Owning { .. } = o.phase
                && is_leased(&key)
            {
                renew.0.push(OwnedKey {
                    key,
                    epoch: o.epoch,
                });
            }
        }
        if now >= self.next_renew && !renew.is_empty() {
            self.next_renew = now + RENEW_INTERVAL;
            self.broadcast(
                RenewLeases {
                    keys: renew,
                    sent_at: now,
                    member_epoch: self.member_epoch,
                },
                out,
            );
        }
    }

    fn time_out(&mut self, key: &Name, now: Ms, out: &mut Effects) {
        let Some(o) = self.ownerships.get_mut(key) else {
            return;
        };
        if let Some(w) = o
            .in_flight
            .as_mut()
            .filter(|w| now.saturating_sub(w.received_at) > WRITE_TIMEOUT)
            && let Some(token) = w.token.take()
        {
            out.push(log_event(
                events::WRITE_UNKNOWN,
                &self.name,
                format!("{key} version {}", w.version),
            ));
            out.push(Effect::WriteFinished {
                token,
                outcome: WriteOutcome::Unknown,
            });
        }
        let no = WriteOutcome::NotAccepted(NotAcceptedReason::NoMajority);
        o.pending.retain(|a| {
            let keep = now.saturating_sub(a.received_at) <= WRITE_TIMEOUT;
            if !keep {
                out.push(Effect::WriteFinished {
                    token: a.token,
                    outcome: no,
                });
            }
            keep
        });
    }

    fn resend(&mut self, key: &Name, now: Ms, out: &mut Effects) {
        let member_epoch = self.member_epoch;
        let Some(o) = self.ownerships.get_mut(key) else {
            return;
        };
        if let OwnershipPhase::Preparing { sent, .. } = &o.phase {
            if now < o.not_before || now.saturating_sub(*sent) < RESEND_INTERVAL {
                return;
            }
            if o.superseded {
                return self.acquire(key, now, out);
            }
            let epoch = o.epoch;
            if let OwnershipPhase::Preparing { sent, .. } = &mut o.phase {
                *sent = now;
            }
            return self.prepare(key, epoch, out);
        }
        if o.in_flight.is_none() && !o.pending.is_empty() {
            return self.advance(key, now, out);
        }
        let Some(w) = o
            .in_flight
            .as_mut()
            .filter(|w| now.saturating_sub(w.sent_at) >= RESEND_INTERVAL)
        else {
            return;
        };
        w.sent_at = now;
        let (value, past) = (w.value.clone(), w.replaced.clone());
        let m = Accept {
            key: key.clone(),
            epoch: o.epoch,
            version: w.version,
            value,
            replaced: past,
            member_epoch,
        };
        self.broadcast(m, out);
    }
}
