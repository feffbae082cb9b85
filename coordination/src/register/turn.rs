//! What time brings: keys are taken and handed over, messages sent again, leases renewed and writes given up.

use std::collections::BTreeSet;

use wire_messages::{Accept, List, Name, OwnedKey, RenewLeases};

use super::{Ownership, Phase, Registers, leased};
use crate::{
    Effect, Effects, Ms, WriteOutcome,
    effect::note,
    events,
    limits::{HEARTBEAT_EVERY, RENEW_EVERY, RESEND, WRITE_LIMIT},
};

impl Registers {
    /// Takes, hands over, resends, renews and times out. `wanted`: keys that must have an owner.
    pub fn tick(&mut self, now: Ms, live: &dyn Fn(&str) -> bool, wanted: &[Name], out: &mut Effects) {
        if !self.voting {
            return;
        }
        // Whose a key is changes with the voters that live, which beats tell; what is owned here is seen to each time.
        let look = now >= self.next_look;
        let keys: BTreeSet<Name> = if look {
            self.next_look = now + HEARTBEAT_EVERY / 2;
            self.slots.keys().chain(wanted).chain(self.own.keys()).cloned().collect()
        } else {
            let at_work = |o: &Ownership| o.write.is_some() || !o.waiting.is_empty() || matches!(o.phase, Phase::Asking { .. });
            self.own.iter().filter(|(k, o)| leased(k) || at_work(o)).map(|(k, _)| k.clone()).collect()
        };
        let mut renew = List::default();
        for key in keys {
            let mine = self.first(&key, live).is_some_and(|v| v.name == self.name);
            let Some(o) = self.own.get_mut(&key) else {
                if mine {
                    self.take(&key, now, out);
                }
                continue;
            };
            if !mine && o.write.is_none() {
                self.give_up(&key, out);
                continue;
            }
            self.time_out(&key, now, out);
            self.resend(&key, now, out);
            if let Some(o) = self.own.get(&key)
                && let Phase::Holding { .. } = o.phase
                && leased(&key)
            {
                renew.0.push(OwnedKey { key, epoch: o.epoch });
            }
        }
        if now >= self.next_renew && !renew.is_empty() {
            self.next_renew = now + RENEW_EVERY;
            self.spread(RenewLeases { keys: renew, sent_at: now, member_epoch: self.member_epoch }, out);
        }
    }

    fn time_out(&mut self, key: &Name, now: Ms, out: &mut Effects) {
        let Some(o) = self.own.get_mut(key) else { return };
        if let Some(w) = o.write.as_mut().filter(|w| now.saturating_sub(w.at) > WRITE_LIMIT)
            && let Some(token) = w.token.take()
        {
            out.push(note(events::WRITE_UNKNOWN, &self.name, format!("{key} version {}", w.version)));
            out.push(Effect::Answer { token, outcome: WriteOutcome::Unknown });
        }
        let no = WriteOutcome::NotAccepted("no majority of disks answered in time");
        o.waiting.retain(|a| {
            let keep = now.saturating_sub(a.at) <= WRITE_LIMIT;
            if !keep {
                out.push(Effect::Answer { token: a.token, outcome: no });
            }
            keep
        });
    }

    fn resend(&mut self, key: &Name, now: Ms, out: &mut Effects) {
        let member_epoch = self.member_epoch;
        let Some(o) = self.own.get_mut(key) else { return };
        if let Phase::Asking { sent, .. } = &o.phase {
            if now < o.not_before || now.saturating_sub(*sent) < RESEND {
                return;
            }
            if o.outbid {
                return self.take(key, now, out);
            }
            let epoch = o.epoch;
            if let Phase::Asking { sent, .. } = &mut o.phase {
                *sent = now;
            }
            return self.prepare(key, epoch, out);
        }
        if o.write.is_none() && !o.waiting.is_empty() {
            return self.advance(key, now, out);
        }
        let Some(w) = o.write.as_mut().filter(|w| now.saturating_sub(w.sent) >= RESEND) else { return };
        w.sent = now;
        let (value, past) = (w.value.clone(), w.past.clone());
        let m = Accept { key: key.clone(), epoch: o.epoch, version: w.version, value, replaced: past, member_epoch };
        self.spread(m, out);
    }
}
