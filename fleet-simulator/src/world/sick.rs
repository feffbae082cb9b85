//! Replicas that are ill and say otherwise, and specs that grow long.

use remote_calls::LaneSpec;
use wire_messages::{Envelope, Message, encode};

use super::{Ev, To, World};
use crate::history::{Ms, Sick};

impl World {
    fn sick(&mut self, id: &str, percent: u32, ms: Ms) {
        let Some(r) = self.reps.get(id) else { return };
        let s = Sick {
            replica: id.into(),
            zone: r.r.zone.clone(),
            from: self.now,
            to: self.now + ms,
            percent: percent.into(),
            silent: r.dark > self.now,
        };
        self.h.sick.push(s);
        self.h.well_again.push((self.now + ms, id.into()));
    }

    pub(super) fn grey(&mut self, nth: usize, percent: u32, ms: Ms) {
        let now = self.now;
        let Some(id) = self.nth(nth) else { return };
        let Some(r) = self.reps.get_mut(&id).filter(|r| r.up) else {
            return;
        };
        r.grey = (percent, now + ms);
        self.sick(&id, percent, ms);
    }

    pub(super) fn lie(&mut self, nth: usize, well: bool, ms: Ms) {
        let now = self.now;
        let Some(id) = self.nth(nth) else { return };
        let Some(r) = self.reps.get_mut(&id).filter(|r| r.up) else {
            return;
        };
        if well {
            (r.says_well, r.dark) = (now + ms, now + ms);
            return self.sick(&id, 100, ms);
        }
        r.says_ill = now + ms;
        self.h.well_again.push((now + ms, id));
    }

    pub(super) fn flap(&mut self, id: &str, down: Ms, up: Ms, until: Ms) {
        self.replica_down(id, Some(down));
        if self.now + down + up < until {
            self.after(
                down + up,
                Ev::Flap {
                    id: id.into(),
                    down,
                    up,
                    until,
                },
            );
        } else {
            self.h.well_again.push((self.now + down, id.into()));
        }
    }

    /// Whether a grey replica spoils this request.
    pub(super) fn spoils(&mut self, id: &str) -> bool {
        let now = self.now;
        let Some((percent, _)) = self.reps.get(id).map(|r| r.grey).filter(|g| g.1 > now) else {
            return false;
        };
        let spoils = self.rng.u32(..100) < percent;
        if spoils {
            self.h.spoiled.push((now, id.into()));
        }
        spoils
    }

    pub(super) fn long_spec(&mut self, lanes: usize, links: (u64, u64)) {
        self.links = Some(links);
        let more = (0..lanes).map(|i| LaneSpec {
            name: format!("lane-{i:05}"),
            time_limit_ms: 2_000,
            expected_ms: 400,
        });
        self.spec.services[0].lanes.extend(more);
        if let Some(i) = self.any() {
            self.put_spec(i);
        }
    }

    /// ms that a message waits for its machine's link and takes on it.
    pub(super) fn on_link(&mut self, from: To, machine: &str, msg: &Message) -> Ms {
        let Some((edge, control)) = self.links else {
            return 0;
        };
        let each = if matches!(from, To::Control(_)) {
            control
        } else {
            edge
        };
        let e = Envelope {
            from: machine.into(),
            addr: machine.into(),
            msg: msg.clone(),
        };
        // Times are whole: what goes out in under one takes none.
        let ms = encode(&e).map_or(0, |b| b.len() as u64) / each.max(1);
        let free = self.link_free.entry(machine.into()).or_default();
        *free = (*free).max(self.now) + ms;
        *free - self.now
    }
}
