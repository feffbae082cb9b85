//! Control daemons alone, in virtual time: a network that delays, loses and is cut, disks that sync, hang and are
//! lost, processes that die.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet};

use coordination::{
    Effect, Effects, Ms, Row, WriteOutcome,
    control::{Control, ControlConfig},
    timing::{DISK_SYNC_TIMEOUT, TICK_INTERVAL},
};
use wire_messages::{Message, Name};

pub struct Daemon {
    pub p: ControlConfig,
    pub brain: Option<Control>,
    pub disk: BTreeMap<String, Row>,
    pub disk_id: u64,
    pub life: u64,
    /// Until when its disk ends nothing.
    pub hung: Ms,
    /// Until when it stands still; what reaches it waits in its sockets.
    pub frozen: Ms,
    /// What waits for its disk: it is synced together, as the shell does.
    buffer: Vec<(Vec<Row>, Effects)>,
    working: bool,
    /// When its disk began what it is at.
    since: Ms,
    next_tick: Ms,
    /// ms of one sync.
    pub sync: Ms,
    /// Notes it made, by name of the event.
    pub notes: Vec<(Ms, &'static str)>,
}

enum Ev {
    Deliver {
        to: Name,
        from: Name,
        addr: Name,
        msg: Box<Message>,
    },
    Synced {
        at: usize,
        life: u64,
        rows: Vec<Row>,
        then: Effects,
    },
}

/// Decides a message's fate: `false` loses it.
type Sieve = Box<dyn Fn(&Name, &Name, &Message) -> bool>;
/// Changes a message before a daemon of this member epoch reads it.
type Change = Box<dyn Fn(u32, &mut Message)>;

pub struct Fleet {
    pub now: Ms,
    pub all: Vec<Daemon>,
    queue: BTreeMap<(Ms, u64), Ev>,
    seq: u64,
    pub rng: fastrand::Rng,
    /// Addresses that neither send nor are reached.
    pub cut: BTreeSet<Name>,
    pub sieve: Sieve,
    pub change: Option<Change>,
    /// Ends of writes, by daemon and token: when, and how.
    pub ends: BTreeMap<(usize, u64), (Ms, WriteOutcome)>,
    /// ms of a message's way, at most; and how much longer each takes that is sent now.
    pub way: Ms,
    pub late: Ms,
    tokens: u64,
    /// When a write is first confirmed at this daemon its disk is lost.
    pub wipe_after_ack: Option<usize>,
}

fn key(r: &Row) -> String {
    match r {
        Row::Slot(s) => s.key.to_string(),
        Row::Members { .. } => "\0members".into(),
    }
}

pub fn addr(i: usize) -> Name {
    format!("10.0.0.{}:7000", i + 1).into()
}

impl Fleet {
    /// `seeds`: by number. Daemons are added by `add`.
    pub fn new(seed: u64) -> Self {
        Fleet {
            now: 0,
            all: vec![],
            queue: BTreeMap::new(),
            seq: 0,
            rng: fastrand::Rng::with_seed(seed),
            cut: BTreeSet::new(),
            sieve: Box::new(|_, _, _| true),
            change: None,
            ends: BTreeMap::new(),
            way: 40,
            late: 0,
            tokens: 0,
            wipe_after_ack: None,
        }
    }

    /// A fleet of `n` in as many zones, whose first three found it.
    pub fn founded(seed: u64, n: usize, region: impl Fn(usize) -> String) -> Self {
        let mut f = Fleet::new(seed);
        let regions: BTreeMap<String, String> =
            (0..n + 4).map(|i| (format!("z{i}"), region(i))).collect();
        for i in 0..n {
            f.add(i, &[0, 1, 2], true, &regions);
        }
        f
    }

    /// Adds and starts a daemon.
    pub fn add(
        &mut self,
        i: usize,
        seeds: &[usize],
        founding: bool,
        regions: &BTreeMap<String, String>,
    ) {
        let p = ControlConfig {
            name: format!("c{i}").into(),
            zone: format!("z{i}").into(),
            addr: addr(i),
            http_addr: format!("h{i}").into(),
            members: vec![],
            seeds: seeds.iter().map(|s| addr(*s)).collect(),
            bootstrap: founding,
            regions: regions.clone(),
            spec_parser: coordination::state_table::parse_own_spec,
            bounds: Default::default(),
        };
        let disk_id = self.rng.u64(1..1 << 60);
        let d = Daemon {
            p,
            brain: None,
            disk: BTreeMap::new(),
            disk_id,
            life: 0,
            hung: 0,
            frozen: 0,
            buffer: vec![],
            working: false,
            since: 0,
            next_tick: 0,
            sync: 5,
            notes: vec![],
        };
        self.all.push(d);
        self.start(self.all.len() - 1);
    }

    pub fn start(&mut self, i: usize) {
        let now = self.now;
        let d = &mut self.all[i];
        d.life += 1;
        let rows = d.disk.values().cloned().collect();
        d.brain = Some(Control::new(
            d.p.clone(),
            d.disk_id,
            rows,
            1_000 + now * 10 + d.life,
            now,
        ));
        d.next_tick = now + 1 + self.rng.u64(..TICK_INTERVAL);
    }
    pub fn kill(&mut self, i: usize) {
        let d = &mut self.all[i];
        d.life += 1;
        d.brain = None;
        d.buffer.clear();
        d.working = false;
    }
    /// Kills it and loses its disk; it is no founder any more.
    pub fn wipe(&mut self, i: usize) {
        self.kill(i);
        let id = self.rng.u64(1..1 << 60);
        let d = &mut self.all[i];
        d.disk.clear();
        d.disk_id = id;
        d.p.bootstrap = false;
    }

    fn at(&mut self, ms: Ms, ev: Ev) {
        self.seq += 1;
        self.queue.insert((self.now + ms, self.seq), ev);
    }

    pub fn carry(&mut self, i: usize, out: Effects) {
        for e in out {
            match e {
                Effect::Send { to, msg } => {
                    let (from, addr) = (self.all[i].p.name.clone(), self.all[i].p.addr.clone());
                    let own = to == addr;
                    if !own
                        && (self.cut.contains(&to)
                            || self.cut.contains(&addr)
                            || !(self.sieve)(&addr, &to, &msg))
                    {
                        continue;
                    }
                    let ms = if own {
                        0
                    } else {
                        1 + self.late + self.rng.u64(..self.way)
                    };
                    self.at(
                        ms,
                        Ev::Deliver {
                            to,
                            from,
                            addr,
                            msg: Box::new(msg),
                        },
                    );
                }
                Effect::Persist { rows, then } => {
                    self.all[i].buffer.push((rows, then));
                    self.disk_work(i);
                }
                Effect::WriteFinished { token, outcome } => {
                    self.ends.insert((i, token), (self.now, outcome));
                    if self.wipe_after_ack == Some(i)
                        && matches!(outcome, WriteOutcome::Accepted(_))
                    {
                        self.wipe_after_ack = None;
                        self.wipe(i);
                        return;
                    }
                }
                Effect::Log { event, .. } => {
                    let now = self.now;
                    self.all[i].notes.push((now, event.name));
                }
                Effect::Order { .. } => {}
            }
        }
    }

    fn disk_work(&mut self, i: usize) {
        let now = self.now;
        let d = &mut self.all[i];
        if d.working || d.buffer.is_empty() {
            return;
        }
        (d.working, d.since) = (true, now);
        let (mut rows, mut then) = (vec![], vec![]);
        for (r, t) in std::mem::take(&mut d.buffer) {
            rows.extend(r);
            then.extend(t);
        }
        let (wait, life) = (d.hung.saturating_sub(now) + d.sync, d.life);
        self.at(
            wait,
            Ev::Synced {
                at: i,
                life,
                rows,
                then,
            },
        );
    }

    fn handle(&mut self, ev: Ev) {
        let at = match &ev {
            Ev::Deliver { to, .. } => self.all.iter().position(|d| d.p.addr == *to),
            Ev::Synced { at, .. } => Some(*at),
        };
        if let Some(ms) = at
            .map(|i| self.all[i].frozen.saturating_sub(self.now))
            .filter(|ms| *ms > 0)
        {
            return self.at(ms, ev);
        }
        match ev {
            Ev::Deliver {
                to,
                from,
                addr,
                mut msg,
            } => {
                let Some(i) = self
                    .all
                    .iter()
                    .position(|d| d.p.addr == to && d.brain.is_some())
                else {
                    return;
                };
                let now = self.now;
                let Some(b) = self.all[i].brain.as_mut() else {
                    return;
                };
                if let Some(change) = &self.change {
                    change(b.registers.members.member_epoch, &mut msg);
                }
                let out = b.on_message(&from, &addr, *msg, now);
                self.carry(i, out);
            }
            Ev::Synced {
                at,
                life,
                rows,
                then,
            } => {
                if self.all[at].life != life {
                    return;
                }
                self.all[at].working = false;
                for r in rows {
                    self.all[at].disk.insert(key(&r), r);
                }
                self.carry(at, then);
                if self.all[at].life == life {
                    self.disk_work(at);
                }
            }
        }
    }

    pub fn run(&mut self, ms: Ms) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 1;
            while let Some(e) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
                let ev = e.remove();
                self.handle(ev);
            }
            for i in 0..self.all.len() {
                let now = self.now;
                let d = &mut self.all[i];
                if d.next_tick > now || d.frozen > now {
                    continue;
                }
                d.next_tick = now + TICK_INTERVAL;
                let Some(b) = d.brain.as_mut() else { continue };
                // As the shell tells it.
                b.disk_healthy = !d.working || now - d.since <= DISK_SYNC_TIMEOUT;
                let out = b.tick(now);
                self.carry(i, out);
            }
        }
    }
    /// Runs until it is so; says whether it came in time, and after how long.
    pub fn until(&mut self, most: Ms, done: impl Fn(&Fleet) -> bool) -> Option<Ms> {
        let from = self.now;
        while self.now < from + most {
            if done(self) {
                return Some(self.now - from);
            }
            self.run(10);
        }
        done(self).then_some(most)
    }

    pub fn brain(&self, i: usize) -> Option<&Control> {
        self.all[i].brain.as_ref()
    }
    /// Daemons that vote.
    pub fn voting(&self) -> Vec<usize> {
        (0..self.all.len())
            .filter(|i| self.brain(*i).is_some_and(|b| b.registers.members.voting))
            .collect()
    }
    /// Names of the voters as the daemon knows them.
    pub fn voters(&self, i: usize) -> BTreeSet<String> {
        self.brain(i).map_or(BTreeSet::new(), |b| {
            b.registers
                .members
                .voters
                .iter()
                .map(|v| v.name.to_string())
                .collect()
        })
    }
    pub fn held(&self, i: usize, key: &str) -> Option<(u64, Vec<u8>)> {
        self.brain(i)?
            .state_table()
            .get(key)
            .map(|c| (c.version, c.value.0.clone()))
    }

    pub fn write(
        &mut self,
        i: usize,
        key: &str,
        expect: Option<u64>,
        value: &[u8],
    ) -> Option<(usize, u64)> {
        let now = self.now;
        let (token, out) = self.all[i]
            .brain
            .as_mut()?
            .write(key, expect, value.to_vec(), now);
        self.carry(i, out);
        Some((i, token))
    }
    /// Writes as an operator does: again and again at any daemon until it is accepted; gives how long that took.
    pub fn put(&mut self, key: &str, value: &[u8], most: Ms) -> Option<Ms> {
        let from = self.now;
        while self.now < from + most {
            self.tokens += 1;
            let up: Vec<usize> = (0..self.all.len())
                .filter(|i| self.brain(*i).is_some())
                .collect();
            let i = *self.rng.choice(&up)?;
            let w = self.write(i, key, None, value)?;
            self.until(1_000, |f| f.ends.contains_key(&w) || f.brain(i).is_none());
            if let Some((at, WriteOutcome::Accepted(_))) = self.ends.get(&w) {
                return Some(at - from);
            }
            self.run(100);
        }
        None
    }
    /// Every voter list ever stored under member epoch 1, on any disk.
    pub fn first_voters(&self) -> BTreeSet<Vec<u64>> {
        let lists = self
            .all
            .iter()
            .filter_map(|d| match d.disk.get("\0members") {
                Some(Row::Members {
                    member_epoch: 1,
                    voters,
                    ..
                }) => Some(voters.iter().map(|v| v.disk_id).collect()),
                _ => None,
            });
        lists.collect()
    }
}
