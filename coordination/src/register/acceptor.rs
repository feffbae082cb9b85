//! What a voter does with a key: promises, accepts, learns what is committed, and lets a holder keep a duty.

use wire_messages::{
    Accept, Accepted, Change, LeasesRenewed, List, Name, Prepare, Promise, ReleaseLeases,
    RenewLeases, ReplacedValue, Slot,
};

use super::{Registers, change, is_leased};
use crate::{Effect, Effects, Ms, Row, effect::send};

impl Registers {
    pub fn on_prepare(&mut self, to: &Name, m: Prepare, now: Ms, out: &mut Effects) {
        let member_epoch = self.member_epoch;
        self.highest_epoch = self.highest_epoch.max(m.epoch);
        // A disk that may lack what it once confirmed must not vote, and other member epochs count other votes.
        if !self.voting || m.member_epoch != member_epoch {
            if m.member_epoch < member_epoch {
                out.push(send(
                    to,
                    Promise {
                        epoch: m.epoch,
                        member_epoch,
                        granted: 0,
                        retry_after_ms: 0,
                        slot: Slot {
                            key: m.key,
                            ..Slot::default()
                        },
                    },
                ));
            }
            return;
        }
        let wait = self.lease_wait(&m.key, to, now);
        let s = self.slot_mut(&m.key);
        if wait > 0 || m.epoch < s.promised_epoch {
            let slot = s.clone();
            out.push(send(
                to,
                Promise {
                    epoch: m.epoch,
                    member_epoch,
                    granted: 0,
                    retry_after_ms: wait as u32,
                    slot,
                },
            ));
            return;
        }
        s.promised_epoch = m.epoch;
        let slot = s.clone();
        // Its own promise tells this daemon that the key is no longer its own.
        if self
            .ownerships
            .get(&m.key)
            .is_some_and(|o| o.epoch < m.epoch)
        {
            self.relinquish(&m.key, out);
        }
        let then = vec![send(
            to,
            Promise {
                epoch: m.epoch,
                member_epoch,
                granted: 1,
                retry_after_ms: 0,
                slot: slot.clone(),
            },
        )];
        out.push(Effect::Persist {
            rows: vec![Row::Slot(slot)],
            then,
        });
    }

    /// ms. For how long nobody but the holder may take the key, as this voter let it keep a duty or may have.
    fn lease_wait(&self, key: &Name, from: &Name, now: Ms) -> Ms {
        if !is_leased(key) {
            return 0;
        }
        let granted = self
            .grants
            .get(key)
            .filter(|g| g.0 != *from)
            .map_or(0, |g| g.2);
        granted.max(self.abstain_until).saturating_sub(now)
    }

    pub fn on_accept(&mut self, to: &Name, m: Accept, out: &mut Effects) {
        let member_epoch = self.member_epoch;
        self.highest_epoch = self.highest_epoch.max(m.epoch);
        if !self.voting || m.member_epoch != member_epoch {
            return;
        }
        let s = self.slot_mut(&m.key);
        let mut a = Accepted {
            key: m.key.clone(),
            epoch: m.epoch,
            version: m.version,
            promised_epoch: s.promised_epoch,
            member_epoch,
            accepted: 0,
        };
        // A value of a later epoch may be known here without a promise: what is not stored is not acknowledged.
        if m.epoch < s.promised_epoch.max(s.accepted_epoch) {
            a.promised_epoch = s.promised_epoch.max(s.accepted_epoch);
            out.push(send(to, a));
            return;
        }
        a.accepted = 1;
        // A delayed copy of an older write of the same owner must not put the newer one back.
        if (m.epoch, m.version) >= (s.accepted_epoch, s.version) {
            (
                s.promised_epoch,
                s.accepted_epoch,
                s.version,
                s.value,
                s.replaced,
            ) = (m.epoch, m.epoch, m.version, m.value, m.replaced);
        }
        let slot = s.clone();
        // This version was known to be committed before something newer, which no majority took, stood in its place.
        if slot.committed_version == slot.version && slot.accepted_epoch == m.epoch {
            self.newly_committed.push(change(&slot));
        }
        out.push(Effect::Persist {
            rows: vec![Row::Slot(slot)],
            then: vec![send(to, a)],
        });
    }

    /// Learns a committed value.
    pub fn on_commit(&mut self, c: &Change, past: &[ReplacedValue], out: &mut Effects) {
        self.highest_epoch = self.highest_epoch.max(c.epoch);
        let s = self.slot_mut(&c.key);
        if (c.epoch, c.version) < (s.accepted_epoch, s.version)
            || (s.accepted_epoch, s.version, s.committed_version) == (c.epoch, c.version, c.version)
        {
            return;
        }
        (s.accepted_epoch, s.version, s.committed_version, s.value) =
            (c.epoch, c.version, c.version, c.value.clone());
        s.replaced = List(past.to_vec());
        let slot = s.clone();
        out.push(Effect::Persist {
            rows: vec![Row::Slot(slot)],
            then: vec![],
        });
        self.newly_committed.push(c.clone());
    }

    pub fn on_renew(&mut self, to: &Name, m: RenewLeases, now: Ms, out: &mut Effects) {
        if !self.voting || m.member_epoch != self.member_epoch {
            return;
        }
        let (mut keys, mut rows) = (List::default(), vec![]);
        for h in m.keys {
            let promised = self.slots.get(&h.key).map_or(0, |s| s.promised_epoch);
            // Told at once: a holder whom nobody renews any more must not rest on a key that nobody else takes.
            if promised > h.epoch {
                out.push(send(
                    to,
                    Accepted {
                        key: h.key,
                        epoch: h.epoch,
                        version: 0,
                        promised_epoch: promised,
                        member_epoch: self.member_epoch,
                        accepted: 0,
                    },
                ));
                continue;
            }
            // An owner that others made one without this voter: it may need its word once one of those is gone.
            if promised < h.epoch {
                if self.lease_wait(&h.key, to, now) > 0 {
                    continue;
                }
                self.highest_epoch = self.highest_epoch.max(h.epoch);
                if self
                    .ownerships
                    .get(&h.key)
                    .is_some_and(|o| o.epoch < h.epoch)
                {
                    self.relinquish(&h.key, out);
                }
                let s = self.slot_mut(&h.key);
                s.promised_epoch = h.epoch;
                rows.push(Row::Slot(s.clone()));
            }
            self.grants.insert(
                h.key.clone(),
                (to.clone(), h.epoch, now + self.lease_duration),
            );
            keys.0.push(h);
        }
        let told = send(
            to,
            LeasesRenewed {
                keys,
                request_sent_at: m.sent_at,
                member_epoch: self.member_epoch,
            },
        );
        if rows.is_empty() {
            return out.push(told);
        }
        out.push(Effect::Persist {
            rows,
            then: vec![told],
        });
    }

    /// A holder has given its duties up: nobody need wait its leases out.
    pub fn on_release(&mut self, from: &Name, m: ReleaseLeases) {
        for h in m.keys {
            // A renewal of a later ownership stands.
            if self
                .grants
                .get(&h.key)
                .is_some_and(|g| g.0 == *from && g.1 <= h.epoch)
            {
                self.grants.remove(&h.key);
            }
        }
    }
}
