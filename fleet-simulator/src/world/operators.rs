//! Operators' calls and what they were answered.

use std::collections::BTreeSet;

use coordination::{
    WriteOutcome,
    control::{DRAINING_PREFIX, PLAN_PREFIX, SPEC_KEY, ZONE_PREFIX},
    register::ROLLOUT_PREFIX,
    state_table::version_stamp,
};
use remote_calls::{ReleasePlan, Spec, ZoneState};

use super::{Ctl, Ev, Guard, Op, PLACED_IN, READ_AFTER, SAMPLE, To, WARN_AGAIN, What, World};
use crate::history::{Ms, ZoneWord};

impl World {
    pub(super) fn write(
        &mut self,
        at: usize,
        key: &str,
        expect: Option<u64>,
        v: Vec<u8>,
        what: What,
    ) {
        let (now, local) = (self.now, self.clock(To::Control(at)));
        let c = &mut self.ctl[at];
        let Some(b) = c.brain.as_mut().filter(|_| c.frozen <= now) else {
            return;
        };
        let (token, out) = b.write(key, expect, v, local);
        self.ops.insert(
            (at, token),
            Op {
                key: key.into(),
                what,
            },
        );
        self.carry(at, out);
    }
    /// A control daemon that answers operators.
    pub(super) fn any(&mut self) -> Option<usize> {
        let up: Vec<usize> = (0..self.ctl.len())
            .filter(|i| self.ctl[*i].brain.is_some() && self.ctl[*i].frozen <= self.now)
            .collect();
        self.rng.choice(&up).copied()
    }

    pub(super) fn answered(&mut self, at: usize, token: u64, o: WriteOutcome) {
        let Some(op) = self.ops.remove(&(at, token)) else {
            return;
        };
        let name = self.ctl[at].p.name.clone();
        self.say(&name, &format!("answers an operator {o:?}"));
        if let WriteOutcome::Accepted(v) = o {
            self.h.accepted.push((self.now, op.key.clone(), v));
        }
        match (op.what, o) {
            (What::Spec(m), WriteOutcome::Accepted(v)) => {
                self.h.specs.push((self.now, v, m));
                if let Some(down) = self.ctl[at].wipe.take() {
                    self.wipe(at);
                    self.after(down, Ev::Start(To::Control(at)));
                }
            }
            (What::Spec(m), WriteOutcome::Conflict(_) | WriteOutcome::NotAccepted(_)) => {
                self.h.refused.push(m)
            }
            // What became of an unknown write is read once the key's owner must have settled it.
            (What::Spec(m), WriteOutcome::Unknown) => self.after(READ_AFTER, Ev::Read { mark: m }),
            (What::Zone(i), WriteOutcome::Accepted(v)) => {
                let (now, z) = (self.now, &mut self.h.zones[i]);
                z.version = Some(v);
                z.at = if z.evacuated { now } else { z.at };
            }
            (What::Zone(i), WriteOutcome::NotAccepted(_)) => self.h.zones[i].at = Ms::MAX / 2,
            (What::Warned(r), WriteOutcome::Accepted(_)) => self.h.leaving.push((self.now, r)),
            (What::Plan(target, term), WriteOutcome::Accepted(v)) if self.places => {
                self.ordered(v, target, term)
            }
            (What::Warned(r), _) => self.after(WARN_AGAIN, Ev::Warn { id: r }),
            _ => {}
        }
    }

    pub(super) fn put_spec(&mut self, at: usize) {
        self.mark += 1;
        let m = self.mark;
        let mut spec = self.spec.clone();
        spec.bake_ms += m;
        if self.off == Some(Guard::Press) {
            spec.tiers
                .iter_mut()
                .for_each(|t| (t.rank, t.keep_free) = (0, 0));
        }
        let Some(v) = self.ctl[at]
            .brain
            .as_ref()
            .map(|b| b.state_table().get(SPEC_KEY).map_or(0, |c| c.version))
        else {
            return;
        };
        let bytes = serde_json::to_vec(&spec).unwrap_or_default();
        self.write(at, SPEC_KEY, Some(v), bytes, What::Spec(m));
    }

    /// An operator that was told "unknown" reads the spec at a daemon that has settled.
    pub(super) fn read(&mut self, mark: u64) {
        let settled: Vec<usize> = (0..self.ctl.len())
            .filter(|i| self.ctl[*i].brain.as_ref().is_some_and(|b| b.is_settled()))
            .collect();
        let Some(i) = self.rng.choice(&settled).copied() else {
            return self.after(READ_AFTER, Ev::Read { mark });
        };
        let Some(c) = self.ctl[i]
            .brain
            .as_ref()
            .and_then(|b| b.state_table().get(SPEC_KEY))
        else {
            return;
        };
        let s: Option<Spec> = serde_json::from_slice(&c.value.0).ok();
        if s.is_some_and(|s| s.bake_ms == self.d.spec.bake_ms + mark) {
            self.h.specs.push((self.now, c.version, mark));
        }
    }

    /// The platform warns some daemon of a replica that it will take away, until it is heard.
    pub(super) fn warn(&mut self, id: &str) {
        let Some(at) = self.any().filter(|_| self.reps.contains_key(id)) else {
            return self.after(WARN_AGAIN, Ev::Warn { id: id.into() });
        };
        self.write(
            at,
            &format!("{DRAINING_PREFIX}{id}"),
            None,
            b"true".to_vec(),
            What::Warned(id.into()),
        );
    }

    pub(super) fn first_spec(&mut self) {
        if !self.h.specs.is_empty() {
            return;
        }
        if let Some(i) = self.any() {
            self.put_spec(i);
        }
        self.after(700, Ev::FirstSpec);
    }

    pub(super) fn sample(&mut self) {
        let now = self.now;
        for (i, e) in self
            .edges
            .iter()
            .enumerate()
            .filter(|(_, e)| e.frozen <= now)
        {
            let Some(p) = e
                .proxy
                .as_ref()
                .filter(|p| p.is_ready(self.clock(To::Proxy(i))))
            else {
                continue;
            };
            let at = p.state_table().get(SPEC_KEY).map_or((0, 0), version_stamp);
            // Specs grow long: each is read once by a life of an edge.
            let known = self
                .marks
                .get(&i)
                .filter(|m| (m.0, m.1) == (e.life, at))
                .map(|m| m.2);
            let read = || {
                p.state_table()
                    .read::<Spec>(SPEC_KEY)
                    .map_or(0, |s| s.bake_ms.saturating_sub(self.d.spec.bake_ms))
            };
            let mark = known.unwrap_or_else(read);
            self.marks.insert(i, (e.life, at, mark));
            self.h
                .seen
                .push((now, e.name.clone(), p.spec_version(), mark));
            for c in p.state_table().entries() {
                let old = self.held.insert((e.name.clone(), c.key.clone()), c.version);
                if old != Some(c.version) {
                    self.h
                        .held
                        .push((now, e.name.clone(), c.key.to_string(), c.version));
                }
            }
        }
        let loaded: BTreeSet<&String> = self
            .reps
            .values()
            .filter(|r| r.up)
            .flat_map(|r| r.loaded.iter().filter(|l| *l.1 <= now).map(|l| l.0))
            .collect();
        if let (1, Some(v)) = (loaded.len(), loaded.first())
            && self.h.only.last().is_none_or(|o| o.1 != **v)
        {
            self.h.only.push((now, v.to_string()));
        }
        if loaded.len() > 1 && self.h.only.last().is_some_and(|o| !o.1.is_empty()) {
            self.h.only.push((now, String::new()));
        }
        let holders = self.holders();
        if holders.len() > 1 {
            self.h.holders.push((now, holders));
        }
        let alerts: Vec<String> = self.rollout().map_or(vec![], |r| r.alerts);
        self.h.alerts.extend(alerts.into_iter().map(|a| (now, a)));
        self.after(SAMPLE, Ev::Sample);
    }

    /// Daemons that say by their own clocks that they hold the service's duty.
    pub(super) fn holders(&self) -> Vec<String> {
        let duty = format!("{ROLLOUT_PREFIX}{}", self.d.spec.services[0].name);
        let holds = |(i, c): &(usize, &Ctl)| {
            let at = self.clock(To::Control(*i));
            c.frozen <= self.now
                && c.brain
                    .as_ref()
                    .is_some_and(|b| b.registers.held_until(&duty, at).is_some())
        };
        self.ctl
            .iter()
            .enumerate()
            .filter(holds)
            .map(|(_, c)| c.p.name.to_string())
            .collect()
    }

    pub(super) fn plan(&mut self, at: usize, target: String) {
        let s = self.d.spec.services[0].name.clone();
        let key = format!("{PLAN_PREFIX}{s}");
        let v = self.ctl[at]
            .brain
            .as_ref()
            .and_then(|b| b.state_table().get(&key).map(|c| c.version))
            .unwrap_or(0);
        let complete_by = if self.places {
            self.now / 1_000 + PLACED_IN
        } else {
            3_600
        };
        let what = What::Plan(target.clone(), complete_by * 1_000);
        let plan = ReleasePlan {
            service: s,
            target,
            complete_by,
            within_s: self.places.then_some(PLACED_IN),
        };
        self.write(
            at,
            &key,
            Some(v),
            serde_json::to_vec(&plan).unwrap_or_default(),
            what,
        );
    }

    pub(super) fn zone(&mut self, nth: usize, evacuated: bool) {
        let Some(i) = self.any() else { return };
        let zone = self.d.spec.zones[nth % self.d.spec.zones.len()]
            .name
            .clone();
        // An evacuation whose answer never comes is due at no time.
        let at = if evacuated { Ms::MAX / 2 } else { self.now };
        self.h.zones.push(ZoneWord {
            at,
            zone: zone.clone(),
            evacuated,
            version: None,
        });
        let word = self.h.zones.len() - 1;
        let z = ZoneState {
            zone: zone.clone(),
            evacuated,
        };
        let bytes = serde_json::to_vec(&z).unwrap_or_default();
        self.write(
            i,
            &format!("{ZONE_PREFIX}{zone}"),
            None,
            bytes,
            What::Zone(word),
        );
    }
}
