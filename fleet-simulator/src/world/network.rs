//! The network between machines, and what each process does when a message reaches it.

use coordination::{control::ZONE_PREFIX, request::StepResult, timing::SLOW_START_DURATION};
use remote_calls::{LoadedWeights, PlatformList, ReplicaReport};
use wire_messages::{Message, Name};

use super::{CACHE, Ev, Guard, LONG, SLOTS, To, World};
use crate::history::Ms;

impl World {
    pub(super) fn machine(&self, t: To) -> (String, String) {
        match t {
            To::Control(i) => (self.ctl[i].p.name.to_string(), self.ctl[i].zone.clone()),
            To::Agent(i) | To::Proxy(i) => (self.edges[i].name.clone(), self.edges[i].zone.clone()),
        }
    }
    pub(super) fn cut(&self, a: &(String, String), b: &(String, String)) -> bool {
        let on = |v: &[String], m: &(String, String)| v.contains(&m.0) || v.contains(&m.1);
        self.cuts.iter().filter(|c| c.until > self.now).any(|c| {
            (on(&c.a, a) && on(&c.b, b) && a.0 != b.0)
                || (!c.one_way && on(&c.b, a) && on(&c.a, b) && a.0 != b.0)
        })
    }
    pub(super) fn latency(&mut self, a: &str, b: &str) -> Ms {
        let far = self.d.engine.as_ref().map_or(4, |e| e.region_ms);
        let near = a != b && self.d.region(a) == self.d.region(b);
        let ms = match () {
            () if a == b => self.rng.u64(1..4),
            () if near => self.rng.u64(1..6),
            () => self.rng.u64(far..far + 9),
        };
        ms + if self.net.until > self.now && self.net.extra > 0 {
            self.rng.u64(..self.net.extra)
        } else {
            0
        }
    }
    /// Whether the network loses this.
    pub(super) fn loses(&mut self) -> bool {
        self.net.until > self.now && self.rng.u32(..100) < self.net.lost
    }
    /// A machine's own clock.
    pub(super) fn clock(&self, t: To) -> Ms {
        let name = match t {
            To::Control(i) => &*self.ctl[i].p.name,
            To::Agent(i) | To::Proxy(i) => &self.edges[i].name,
        };
        let Some((since, off, k)) = self.clocks.get(name) else {
            return self.now;
        };
        self.now
            .saturating_add_signed(off + (self.now - since) as i64 * k / 1_000)
    }
    pub(super) fn frozen(&self, t: To) -> Ms {
        match t {
            To::Control(i) => self.ctl[i].frozen,
            To::Agent(i) | To::Proxy(i) => self.edges[i].frozen,
        }
    }

    pub(super) fn post(&mut self, from: To, name: &Name, addr: &Name, to: &Name, msg: Message) {
        let (to, from_name, addr) = (to.clone(), name.clone(), addr.clone());
        let Some(t) = self.addrs.get(&to).copied() else {
            return;
        };
        let (a, b) = (self.machine(from), self.machine(t));
        if a.0 != b.0 && self.cut(&a, &b) {
            return;
        }
        if a.0 == b.0 {
            return self.after(
                0,
                Ev::Deliver {
                    to,
                    from: from_name,
                    addr,
                    msg,
                },
            );
        }
        *self.h.messages.entry(msg.name().to_string()).or_default() += 1;
        if self.loses() {
            return;
        }
        let ms = self.latency(&a.1, &b.1) + self.on_link(from, &a.0, &msg);
        if self.net.until > self.now && self.rng.u32(..100) < self.net.twice {
            let late = ms + self.rng.u64(..500);
            self.after(
                late,
                Ev::Deliver {
                    to: to.clone(),
                    from: from_name.clone(),
                    addr: addr.clone(),
                    msg: msg.clone(),
                },
            );
        }
        self.after(
            ms,
            Ev::Deliver {
                to,
                from: from_name,
                addr,
                msg,
            },
        );
    }

    pub(super) fn ask_report(&mut self, to: To, (replica, addr): (String, String)) {
        let (m, Some(r)) = (self.machine(to), self.reps.get(&replica)) else {
            return;
        };
        let rep = (replica.clone(), r.r.zone.clone());
        let there = r.up && r.r.addr == addr;
        let mute = r.dark > self.now && r.says_well <= self.now;
        if self.off == Some(Guard::LookAgain) && r.says_ill > 0 {
            return;
        }
        if !there || mute || self.cut(&m, &rep) || self.cut(&rep, &m) || self.loses() {
            return;
        }
        let ms = 2 * self.latency(&m.1, &rep.1);
        let asked = self.clock(to);
        self.after(
            ms,
            Ev::Report {
                to,
                replica,
                addr,
                asked,
            },
        );
    }

    pub(super) fn report(&mut self, to: To, replica: &str, addr: &str, asked: Ms) {
        let Some(r) = self.reps.get(replica).filter(|r| r.up && r.r.addr == addr) else {
            return;
        };
        let loaded = r.loaded.iter().map(|(v, at)| LoadedWeights {
            service: r.r.service.clone(),
            version: v.clone(),
            ready: *at <= self.now && r.says_ill <= self.now,
            streams: r.busy.get(v).copied().unwrap_or(0),
        });
        let report = ReplicaReport {
            replica: replica.into(),
            zone: r.r.zone.clone(),
            born: r.born,
            loaded: loaded.collect(),
            busy: r.busy.values().sum(),
            slots: SLOTS,
            kv_fill: r.cache.len() as f64 / CACHE as f64 * 0.5,
            leaving: r.leaving,
        };
        match to {
            To::Control(i) => {
                if let Some(b) = &mut self.ctl[i].brain {
                    b.on_report(report, asked);
                }
            }
            To::Proxy(i) => {
                if let Some(p) = &mut self.edges[i].proxy {
                    if self.off == Some(Guard::Ramp) {
                        p.on_report(report.clone(), asked.saturating_sub(SLOW_START_DURATION));
                    }
                    p.on_report(report, asked);
                    self.wake(i);
                }
            }
            To::Agent(_) => {}
        }
    }

    pub(super) fn list(&mut self, at: usize) {
        let m = self.machine(To::Control(at));
        if self.silent > self.now || self.cut(&m, &("platform".into(), "platform".into())) {
            return;
        }
        let replicas = if self.stale.0 > self.now {
            self.stale.1.clone()
        } else {
            self.listed()
        };
        let now = self.clock(To::Control(at));
        if let Some(b) = &mut self.ctl[at].brain {
            b.on_replica_list(PlatformList { replicas }, now);
        }
    }

    pub(super) fn deliver(&mut self, to: Name, from: Name, addr: Name, msg: Message) {
        let Some(t) = self.addrs.get(&to).copied() else {
            return;
        };
        let now = self.clock(t);
        match t {
            To::Control(i) => {
                let Some(b) = self.ctl[i].brain.as_mut() else {
                    return;
                };
                let out = b.on_message(&from, &addr, msg, now);
                self.carry(i, out);
            }
            To::Agent(i) => {
                let Some(a) = self.edges[i].agent.as_mut() else {
                    return;
                };
                let out = a.on_message(&from, &addr, msg, now);
                self.carry_agent(i, out);
            }
            To::Proxy(i) => match msg {
                Message::TableUpdate(mut b) => {
                    // The guard is off: the news never arrives.
                    b.changes.0.retain(|c| {
                        self.off != Some(Guard::Evacuation) || !c.key.starts_with(ZONE_PREFIX)
                    });
                    b.changes
                        .0
                        .retain(|c| self.off != Some(Guard::LongNews) || c.value.0.len() < LONG);
                    if self.off == Some(Guard::Rule) {
                        (b.serving_rule, b.valid_until) = (2, Ms::MAX);
                    }
                    if let Some(p) = &mut self.edges[i].proxy {
                        p.on_table_update(b, now);
                    }
                }
                Message::PrefillReport(r) => {
                    if let Some(p) = &mut self.edges[i].proxy {
                        p.on_prefill_report(r, now);
                    }
                }
                Message::ClaimResult(c) => {
                    if let Some(f) = self.claims.remove(&c.token) {
                        self.drive(f, StepResult::Claimed(c.state));
                    }
                }
                _ => {}
            },
        }
    }

    pub(super) fn post_agent(&mut self, i: usize, msg: Message) {
        let (name, addr, to): (Name, Name, Name) = (
            format!("proxy-{}", self.edges[i].place).into(),
            self.edges[i].addr('x'),
            self.edges[i].addr('a'),
        );
        if let Some(digest) = &mut self.effect_digest {
            digest.message(&name, &msg);
        }
        self.post(To::Proxy(i), &name, &addr, &to, msg);
    }
}
