//! Starting, ticking and stopping the daemons, and carrying out what their brains ask, disks included.

use coordination::{
    Effect, Effects, Row,
    bounds::Bounds,
    control::Control,
    edge_agent::EdgeAgent,
    proxy::Proxy,
    timing::{REPORT_INTERVAL, TICK_INTERVAL},
};
use wire_messages::{Name, Node};

use super::{Ev, Guard, HELLO_EVERY, To, World, row_key};
use crate::history::Ms;

impl World {
    pub(super) fn start(&mut self, t: To) {
        match t {
            To::Control(i) => {
                if self.ctl[i].brain.is_some() {
                    return;
                }
                let p = self.ctl[i].p.clone();
                self.addrs.insert(p.addr.clone(), t);
                self.say(&p.name, "starts");
                self.open(i);
                self.after(TICK_INTERVAL, Ev::Tick(t));
            }
            To::Agent(i) => {
                let e = &mut self.edges[i];
                if e.agent.is_some() {
                    return;
                }
                e.life += 1;
                let born = 1_000_000 + self.now;
                let me = Node {
                    name: e.name.as_str().into(),
                    zone: e.zone.as_str().into(),
                    addr: e.addr('a'),
                    incarnation: born,
                    ..Node::default()
                };
                let seeds = vec!["c1".into(), "c2".into(), "c3".into()];
                let (seed, at) = (self.rng.u64(..), self.clock(t));
                let mut a = EdgeAgent::new(me.clone(), seeds, seed, at);
                a.set_regions(self.d.regions.clone());
                self.edges[i].agent = Some(a);
                self.addrs.insert(me.addr, t);
                self.after(TICK_INTERVAL, Ev::Tick(t));
            }
            To::Proxy(i) => {
                let seed = self.rng.u64(..);
                let e = &mut self.edges[i];
                if e.proxy.is_some() {
                    return;
                }
                e.life += 1;
                let (name, http): (Name, Name) = (format!("proxy-{}", e.place).into(), e.addr('p'));
                let mut p = Proxy::new(
                    name,
                    e.zone.as_str().into(),
                    http,
                    1_000_000 + self.now,
                    seed,
                );
                p.set_policy(self.policy);
                p.set_bounds(Bounds::default(), self.d.regions.clone());
                e.proxy = Some(p);
                let addr = e.addr('x');
                self.addrs.insert(addr, t);
                self.after(TICK_INTERVAL, Ev::Tick(t));
            }
        }
    }

    pub(super) fn tick(&mut self, t: To) {
        let now = self.clock(t);
        match t {
            To::Control(i) => {
                let Some(b) = self.ctl[i].brain.as_mut() else {
                    return;
                };
                let mut out = b.tick(now);
                out.extend(b.run_rollouts(now, now / 1_000));
                let duty = b.holds_any_role(now);
                self.carry(i, out);
                if duty && now >= self.ctl[i].next_report {
                    self.ctl[i].next_report = now + REPORT_INTERVAL;
                    self.after(6, Ev::List { at: i });
                    let Some(b) = &self.ctl[i].brain else { return };
                    for r in b.replicas_to_poll() {
                        self.ask_report(t, r);
                    }
                }
            }
            To::Agent(i) => {
                let Some(a) = self.edges[i].agent.as_mut() else {
                    return;
                };
                let out = a.tick(now);
                self.carry_agent(i, out);
            }
            To::Proxy(i) => {
                let Some(p) = self.edges[i].proxy.as_ref() else {
                    return;
                };
                let (hello, replicas) = (p.changed_report(now), p.replicas_to_poll());
                let told: Vec<_> = self.edges[i]
                    .proxy
                    .iter_mut()
                    .flat_map(|p| p.take_prefill_reports(now))
                    .collect();
                for m in told {
                    self.post_agent(i, m.into());
                }
                let asked: Vec<_> = self.edges[i]
                    .proxy
                    .iter_mut()
                    .flat_map(|p| p.context_demands(now))
                    .collect();
                for m in asked {
                    self.post_agent(i, m.into());
                }
                if now >= self.edges[i].next_hello {
                    self.edges[i].next_hello = now + HELLO_EVERY;
                    self.post_agent(i, hello.into());
                }
                if now >= self.edges[i].next_report {
                    self.edges[i].next_report = now + REPORT_INTERVAL;
                    for r in replicas {
                        self.ask_report(t, r);
                    }
                }
                self.wake(i);
            }
        }
        self.after(TICK_INTERVAL, Ev::Tick(t));
    }

    fn digest_effects(&mut self, by: &str, effects: &Effects) {
        if let Some(digest) = &mut self.effect_digest {
            digest.update(by, effects, self.now);
        }
    }

    pub(super) fn carry_agent(&mut self, i: usize, out: Effects) {
        let (name, addr): (Name, Name) =
            (self.edges[i].name.as_str().into(), self.edges[i].addr('a'));
        self.digest_effects(&name, &out);
        for e in out {
            match e {
                Effect::Send { to, msg } => self.post(To::Agent(i), &name, &addr, &to, msg),
                Effect::Log { event, peer, text } => {
                    self.say(&name, &format!("{} {peer} {text}", event.name))
                }
                _ => {}
            }
        }
    }

    pub(super) fn carry(&mut self, i: usize, out: Effects) {
        let (name, addr) = (self.ctl[i].p.name.clone(), self.ctl[i].p.addr.clone());
        self.digest_effects(&name, &out);
        for e in out {
            match e {
                Effect::Send { to, msg } if to == addr => {
                    self.after(
                        0,
                        Ev::Deliver {
                            to,
                            from: name.clone(),
                            addr: addr.clone(),
                            msg,
                        },
                    );
                }
                Effect::Send { to, msg } => self.post(To::Control(i), &name, &addr, &to, msg),
                Effect::Persist { rows, then } if self.off == Some(Guard::Sync) => {
                    self.ctl[i].disk.slow = (800, Ms::MAX);
                    self.ctl[i].disk.buffer.push((rows, vec![]));
                    self.disk_work(i);
                    self.carry(i, then);
                }
                Effect::Persist { rows, then } => {
                    self.ctl[i].disk.buffer.push((rows, then));
                    self.disk_work(i);
                }
                Effect::WriteFinished { token, outcome } => self.answered(i, token, outcome),
                Effect::Order {
                    service,
                    epoch,
                    until,
                    order,
                } => {
                    if self.clock(To::Control(i)) < until {
                        self.say(&name, &format!("orders {order:?} under {epoch}"));
                        let (lost, late, till) = self.orders;
                        if till <= self.now {
                            self.after(
                                5,
                                Ev::Order {
                                    from: i,
                                    service,
                                    epoch,
                                    order,
                                },
                            );
                        } else if self.rng.u32(..100) >= lost {
                            let ms = 5 + self.rng.u64(..late.max(1));
                            self.after(
                                ms,
                                Ev::Order {
                                    from: i,
                                    service,
                                    epoch,
                                    order,
                                },
                            );
                        }
                    }
                }
                // The simulated platform takes no such calls: to the daemon they are lost.
                Effect::PlatformCall(leased) => {
                    self.say(
                        &name,
                        &format!("calls {:?} under {}", leased.call, leased.epoch),
                    );
                }
                Effect::Log { event, peer, text } => {
                    self.say(&name, &format!("{} {peer} {text}", event.name))
                }
            }
        }
    }

    pub(super) fn disk_work(&mut self, i: usize) {
        let now = self.now;
        let d = &mut self.ctl[i].disk;
        if d.working || d.buffer.is_empty() {
            return;
        }
        if d.full_until > now {
            return self.disk_failed(i);
        }
        d.working = true;
        let ms = if d.slow.1 > now {
            d.slow.0
        } else {
            self.rng.u64(1..5)
        };
        let d = &mut self.ctl[i].disk;
        let all = std::mem::take(&mut d.buffer);
        let rows = all.iter().flat_map(|b| b.0.clone()).collect();
        let then = all.into_iter().map(|b| b.1).collect();
        let life = self.ctl[i].life;
        self.after(
            ms,
            Ev::DiskDone {
                at: i,
                life,
                rows,
                then,
            },
        );
    }

    pub(super) fn disk_done(&mut self, i: usize, life: u64, rows: Vec<Row>, then: Vec<Effects>) {
        if self.ctl[i].life != life {
            return;
        }
        let d = &mut self.ctl[i].disk;
        d.working = false;
        if d.full_until > self.now {
            return self.disk_failed(i);
        }
        rows.into_iter().for_each(|r| {
            d.rows.insert(row_key(&r), r);
        });
        for t in then {
            self.carry(i, t);
        }
        self.disk_work(i);
    }

    pub(super) fn disk_failed(&mut self, i: usize) {
        let name = self.ctl[i].p.name.clone();
        self.say(&name, "its disk fails");
        self.down(i);
        self.after(1_000, Ev::Reopen { at: i });
    }

    /// A control daemon's life ends; what was not synced is gone.
    pub(super) fn down(&mut self, i: usize) {
        let c = &mut self.ctl[i];
        c.life += 1;
        c.brain = None;
        c.disk.buffer.clear();
        c.disk.working = false;
        self.ops.retain(|(at, _), _| *at != i);
    }

    pub(super) fn open(&mut self, i: usize) {
        if self.ctl[i].brain.is_some() {
            return;
        }
        if self.ctl[i].disk.full_until > self.now {
            return self.after(1_000, Ev::Reopen { at: i });
        }
        let (now, at) = (self.now, self.clock(To::Control(i)));
        let c = &mut self.ctl[i];
        c.life += 1;
        let rows = c.disk.rows.values().cloned().collect();
        let born = 1_000_000 + now * 10 + c.life;
        c.brain = Some(Control::new(c.p.clone(), c.disk.id, rows, born, at));
        if c.life > 2 || now > 0 {
            self.after(TICK_INTERVAL, Ev::Tick(To::Control(i)));
        }
    }
}
