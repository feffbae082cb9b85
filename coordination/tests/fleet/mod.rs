//! Simulates control daemons without edges in virtual time: a network that delays and drops messages and can be
//! partitioned, disks that sync, hang and are lost, and processes that are killed.
#![allow(dead_code, reason = "each test file uses only part of this module")]

pub mod platform;
pub mod usage_edges;

use std::collections::{BTreeMap, BTreeSet};

use coordination::{
    Effect, Effects, Ms, Row, WriteOutcome,
    bounds::Bounds,
    control::{Control, ControlConfig},
    platform_call::{CallOutcome, LeasedCall},
    timing::{DISK_SYNC_TIMEOUT, TICK_INTERVAL},
};
use platform::{CALL_LIMIT, Platform};
use wire_messages::{Message, Name};

/// Unix time at the start of a fleet, in ms.
pub const WALL_START: u64 = 1_767_225_601_234;
/// Interval between checks of an awaited condition.
const CHECK_INTERVAL: Ms = 10;
/// Time that an operator waits for the outcome of a write, and the delay before the next attempt.
const WRITE_TIMEOUT: Ms = 1_000;
const WRITE_RETRY_DELAY: Ms = 100;

/// Rows to sync, and the effects to carry out once they are synced.
struct UnsyncedRows {
    rows: Vec<Row>,
    then: Effects,
}

pub struct Daemon {
    pub config: ControlConfig,
    /// `None` while the process is stopped.
    pub control: Option<Control>,
    pub disk: BTreeMap<String, Row>,
    pub disk_id: u64,
    pub incarnation: u64,
    /// Time until which no sync of the disk finishes.
    pub disk_hung_until: Ms,
    /// Time until which the process is suspended; events that reach it wait.
    pub suspended_until: Ms,
    /// Rows that wait for the disk; all are synced together, as in the runtime.
    unsynced: Vec<UnsyncedRows>,
    is_disk_busy: bool,
    disk_busy_since: Ms,
    next_tick: Ms,
    pub sync_duration: Ms,
    /// Logged events: time and name.
    pub logged: Vec<(Ms, &'static str)>,
    /// Whether the daemon makes the calls of singleton roles, which do not remember what they have reported.
    pub runs_platform_roles: bool,
}

impl Daemon {
    fn new(config: ControlConfig, disk_id: u64) -> Self {
        Daemon {
            config,
            control: None,
            disk: BTreeMap::new(),
            disk_id,
            incarnation: 0,
            disk_hung_until: 0,
            suspended_until: 0,
            unsynced: vec![],
            is_disk_busy: false,
            disk_busy_since: 0,
            next_tick: 0,
            sync_duration: 5,
            logged: vec![],
            runs_platform_roles: true,
        }
    }

    fn kill(&mut self) {
        self.incarnation += 1;
        self.control = None;
        self.unsynced.clear();
        self.is_disk_busy = false;
    }

    /// Runs a tick if one is due.
    fn tick(&mut self, now: Ms) -> Effects {
        if self.next_tick > now || self.suspended_until > now {
            return vec![];
        }
        self.next_tick = now + TICK_INTERVAL;
        let Some(control) = self.control.as_mut() else {
            return vec![];
        };
        // As in the runtime.
        control.disk_healthy =
            !self.is_disk_busy || now - self.disk_busy_since <= DISK_SYNC_TIMEOUT;
        let mut effects = control.tick(now);
        if self.runs_platform_roles {
            effects.extend(control.run_platform_roles(now, WALL_START + now));
        }
        effects
    }
}

enum Event {
    Deliver {
        to: Name,
        from: Name,
        addr: Name,
        message: Box<Message>,
    },
    Synced {
        index: usize,
        incarnation: u64,
        synced: UnsyncedRows,
    },
    /// A call of a daemon to the platform is due to be sent.
    SendCall {
        index: usize,
        incarnation: u64,
        leased: LeasedCall,
    },
    CallArrives {
        index: usize,
        incarnation: u64,
        leased: LeasedCall,
    },
    CallFinished {
        index: usize,
        incarnation: u64,
        id: u64,
        outcome: CallOutcome,
    },
}

/// Whether a message from one address to another is delivered.
type Filter = Box<dyn Fn(&Name, &Name, &Message) -> bool>;
/// Changes a message before a daemon at the given member epoch receives it.
type Rewrite = Box<dyn Fn(u32, &mut Message)>;

pub struct Fleet {
    pub now: Ms,
    pub daemons: Vec<Daemon>,
    /// Events by time, then by scheduling order.
    queue: BTreeMap<(Ms, u64), Event>,
    last_event_number: u64,
    pub rng: fastrand::Rng,
    /// Addresses that can neither send nor receive messages.
    pub partitioned: BTreeSet<Name>,
    pub delivers: Filter,
    pub rewrite: Option<Rewrite>,
    /// Time and outcome of each finished write, by daemon and token.
    pub write_outcomes: BTreeMap<(usize, u64), (Ms, WriteOutcome)>,
    /// Maximum network latency, and extra latency of messages sent from now on.
    pub max_latency: Ms,
    pub extra_latency: Ms,
    /// Daemon whose disk is lost as soon as it acknowledges its next write.
    pub wipe_after_ack: Option<usize>,
    pub platform: Platform,
    /// Bounds of the daemons added from now on.
    pub bounds: Bounds,
}

fn row_key(row: &Row) -> String {
    match row {
        Row::Slot(slot) => slot.key.to_string(),
        Row::Members { .. } => "\0members".into(),
    }
}

pub fn addr(index: usize) -> Name {
    format!("10.0.0.{}:7000", index + 1).into()
}

impl Fleet {
    /// Creates a fleet without daemons; `add` adds them.
    pub fn new(seed: u64) -> Self {
        Fleet {
            now: 0,
            daemons: vec![],
            queue: BTreeMap::new(),
            last_event_number: 0,
            rng: fastrand::Rng::with_seed(seed),
            partitioned: BTreeSet::new(),
            delivers: Box::new(|_, _, _| true),
            rewrite: None,
            write_outcomes: BTreeMap::new(),
            max_latency: 40,
            extra_latency: 0,
            wipe_after_ack: None,
            platform: Platform::default(),
            bounds: Bounds::default(),
        }
    }

    /// Creates a fleet of `daemon_count` daemons, each in its own zone. The first three are the seeds and
    /// bootstrap the fleet.
    pub fn bootstrapped(seed: u64, daemon_count: usize, region: impl Fn(usize) -> String) -> Self {
        Fleet::bootstrapped_with(Bounds::default(), seed, daemon_count, region)
    }

    /// Does the same as `bootstrapped`, with the given bounds.
    pub fn bootstrapped_with(
        bounds: Bounds,
        seed: u64,
        daemon_count: usize,
        region: impl Fn(usize) -> String,
    ) -> Self {
        let mut fleet = Fleet::new(seed);
        fleet.bounds = bounds;
        let regions: BTreeMap<String, String> = (0..daemon_count + 4)
            .map(|index| (format!("z{index}"), region(index)))
            .collect();
        for index in 0..daemon_count {
            fleet.add(index, &[0, 1, 2], true, &regions);
        }
        fleet
    }

    /// Adds and starts a daemon. `seeds` are indices of daemons.
    pub fn add(
        &mut self,
        index: usize,
        seeds: &[usize],
        bootstrap: bool,
        regions: &BTreeMap<String, String>,
    ) {
        let config = ControlConfig {
            name: format!("c{index}").into(),
            zone: format!("z{index}").into(),
            addr: addr(index),
            http_addr: format!("h{index}").into(),
            members: vec![],
            seeds: seeds.iter().map(|seed| addr(*seed)).collect(),
            bootstrap,
            regions: regions.clone(),
            spec_parser: coordination::state_table::parse_native_spec,
            bounds: self.bounds.clone(),
        };
        let disk_id = self.random_disk_id();
        self.daemons.push(Daemon::new(config, disk_id));
        self.start(self.daemons.len() - 1);
    }

    fn random_disk_id(&mut self) -> u64 {
        self.rng.u64(1..1 << 60)
    }

    pub fn start(&mut self, index: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        daemon.incarnation += 1;
        let rows = daemon.disk.values().cloned().collect();
        daemon.control = Some(Control::new(
            daemon.config.clone(),
            daemon.disk_id,
            rows,
            1_000 + now * 10 + daemon.incarnation,
            now,
        ));
        daemon.next_tick = now + 1 + self.rng.u64(..TICK_INTERVAL);
    }

    pub fn kill(&mut self, index: usize) {
        self.daemons[index].kill();
    }

    /// Kills a daemon and clears its disk; the daemon no longer bootstraps.
    pub fn wipe(&mut self, index: usize) {
        self.kill(index);
        let disk_id = self.random_disk_id();
        let daemon = &mut self.daemons[index];
        daemon.disk.clear();
        daemon.disk_id = disk_id;
        daemon.config.bootstrap = false;
    }

    fn schedule(&mut self, delay: Ms, event: Event) {
        self.last_event_number += 1;
        self.queue
            .insert((self.now + delay, self.last_event_number), event);
    }

    pub fn carry_out(&mut self, index: usize, effects: Effects) {
        for effect in effects {
            match effect {
                Effect::Send { to, msg } => self.send(index, to, msg),
                Effect::Persist { rows, then } => {
                    let unsynced = &mut self.daemons[index].unsynced;
                    unsynced.push(UnsyncedRows { rows, then });
                    self.start_sync(index);
                }
                Effect::WriteFinished { token, outcome } => {
                    self.write_outcomes
                        .insert((index, token), (self.now, outcome));
                    if self.wipe_after_ack == Some(index)
                        && matches!(outcome, WriteOutcome::Accepted(_))
                    {
                        self.wipe_after_ack = None;
                        self.wipe(index);
                        return;
                    }
                }
                Effect::Log { event, .. } => {
                    self.daemons[index].logged.push((self.now, event.name));
                }
                Effect::PlatformCall(leased) => {
                    self.platform.waiting += 1;
                    let incarnation = self.daemons[index].incarnation;
                    let event = Event::SendCall {
                        index,
                        incarnation,
                        leased,
                    };
                    self.schedule(self.platform.pacing, event);
                }
                Effect::Order { .. } => {}
            }
        }
    }

    fn send(&mut self, index: usize, to: Name, message: Message) {
        let config = &self.daemons[index].config;
        let (from, addr) = (config.name.clone(), config.addr.clone());
        let is_to_self = to == addr;
        if !is_to_self {
            let is_partitioned = self.partitioned.contains(&to) || self.partitioned.contains(&addr);
            if is_partitioned || !(self.delivers)(&addr, &to, &message) {
                return;
            }
        }
        let delay = if is_to_self {
            0
        } else {
            1 + self.extra_latency + self.rng.u64(..self.max_latency)
        };
        let delivery = Event::Deliver {
            to,
            from,
            addr,
            message: Box::new(message),
        };
        self.schedule(delay, delivery);
    }

    /// Starts to sync a daemon's waiting rows unless its disk is busy.
    fn start_sync(&mut self, index: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        if daemon.is_disk_busy || daemon.unsynced.is_empty() {
            return;
        }
        daemon.is_disk_busy = true;
        daemon.disk_busy_since = now;
        let mut synced = UnsyncedRows {
            rows: vec![],
            then: vec![],
        };
        for unsynced in daemon.unsynced.drain(..) {
            synced.rows.extend(unsynced.rows);
            synced.then.extend(unsynced.then);
        }
        let delay = daemon.disk_hung_until.saturating_sub(now) + daemon.sync_duration;
        let incarnation = daemon.incarnation;
        let event = Event::Synced {
            index,
            incarnation,
            synced,
        };
        self.schedule(delay, event);
    }

    fn handle(&mut self, event: Event) {
        let index = match &event {
            Event::Deliver { to, .. } => self
                .daemons
                .iter()
                .position(|daemon| daemon.config.addr == *to),
            Event::Synced { index, .. }
            | Event::SendCall { index, .. }
            | Event::CallFinished { index, .. } => Some(*index),
            Event::CallArrives { .. } => None,
        };
        let suspended_until = index.map_or(0, |index| self.daemons[index].suspended_until);
        if suspended_until > self.now {
            self.schedule(suspended_until - self.now, event);
            return;
        }
        match event {
            Event::Deliver {
                to,
                from,
                addr,
                message,
            } => self.deliver(&to, &from, &addr, *message),
            Event::Synced {
                index,
                incarnation,
                synced,
            } => self.finish_sync(index, incarnation, synced),
            Event::SendCall {
                index,
                incarnation,
                leased,
            } => self.send_call(index, incarnation, leased),
            Event::CallArrives {
                index,
                incarnation,
                leased,
            } => self.receive_call(index, incarnation, leased),
            Event::CallFinished {
                index,
                incarnation,
                id,
                outcome,
            } => self.finish_call(index, incarnation, id, outcome),
        }
    }

    /// Sends a call to the platform as the runtime does: only while its lease is held, and with a time limit.
    fn send_call(&mut self, index: usize, incarnation: u64, leased: LeasedCall) {
        self.platform.waiting -= 1;
        if self.daemons[index].incarnation != incarnation {
            return;
        }
        let time_limit = leased.until.saturating_sub(self.now).min(CALL_LIMIT);
        let timed_out = Event::CallFinished {
            index,
            incarnation,
            id: leased.id,
            outcome: CallOutcome::Failed,
        };
        self.schedule(time_limit, timed_out);
        if time_limit == 0 {
            self.platform.dropped += 1;
        } else if !self.platform.unreachable_from.contains(&index) {
            self.platform.on_their_way += 1;
            let event = Event::CallArrives {
                index,
                incarnation,
                leased,
            };
            self.schedule(self.platform.latency, event);
        }
    }

    fn receive_call(&mut self, index: usize, incarnation: u64, leased: LeasedCall) {
        self.platform.on_their_way -= 1;
        let id = leased.id;
        let answer = self.platform.take(index, leased, self.now);
        if let Some(outcome) = answer.filter(|_| !self.platform.unreachable_from.contains(&index)) {
            let event = Event::CallFinished {
                index,
                incarnation,
                id,
                outcome,
            };
            self.schedule(self.platform.latency, event);
        }
    }

    fn finish_call(&mut self, index: usize, incarnation: u64, id: u64, outcome: CallOutcome) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        if daemon.incarnation != incarnation {
            return;
        }
        if let Some(control) = daemon.control.as_mut() {
            let effects = control.on_platform_call_finished(id, outcome, now);
            self.carry_out(index, effects);
        }
    }

    fn deliver(&mut self, to: &Name, from: &Name, addr: &Name, mut message: Message) {
        let receiver = self
            .daemons
            .iter()
            .position(|daemon| daemon.config.addr == *to && daemon.control.is_some());
        let Some(index) = receiver else {
            return;
        };
        let Some(control) = self.daemons[index].control.as_mut() else {
            return;
        };
        if let Some(rewrite) = &self.rewrite {
            rewrite(control.registers.members.member_epoch, &mut message);
        }
        let effects = control.on_message(from, addr, message, self.now);
        self.carry_out(index, effects);
    }

    fn finish_sync(&mut self, index: usize, incarnation: u64, synced: UnsyncedRows) {
        let daemon = &mut self.daemons[index];
        if daemon.incarnation != incarnation {
            return;
        }
        daemon.is_disk_busy = false;
        for row in synced.rows {
            daemon.disk.insert(row_key(&row), row);
        }
        self.carry_out(index, synced.then);
        if self.daemons[index].incarnation == incarnation {
            self.start_sync(index);
        }
    }

    pub fn run(&mut self, duration: Ms) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 1;
            while let Some(next) = self
                .queue
                .first_entry()
                .filter(|next| next.key().0 <= self.now)
            {
                let event = next.remove();
                self.handle(event);
            }
            for index in 0..self.daemons.len() {
                let effects = self.daemons[index].tick(self.now);
                self.carry_out(index, effects);
            }
        }
    }

    /// Runs until a condition holds; returns the time that this took, or `None` after `most` ms.
    pub fn run_until(&mut self, most: Ms, condition: impl Fn(&Fleet) -> bool) -> Option<Ms> {
        let started_at = self.now;
        while self.now < started_at + most {
            if condition(self) {
                return Some(self.now - started_at);
            }
            self.run(CHECK_INTERVAL);
        }
        condition(self).then_some(most)
    }

    /// Returns the state machine of a daemon, or `None` while its process is stopped.
    pub fn control(&self, index: usize) -> Option<&Control> {
        self.daemons[index].control.as_ref()
    }

    /// Returns the daemons whose process is running.
    pub fn running(&self) -> Vec<usize> {
        (0..self.daemons.len())
            .filter(|index| self.control(*index).is_some())
            .collect()
    }

    /// Returns the running daemons that are voters.
    pub fn voting(&self) -> Vec<usize> {
        let votes = |index: &usize| {
            self.control(*index)
                .is_some_and(|control| control.registers.members.voting)
        };
        (0..self.daemons.len()).filter(votes).collect()
    }

    /// Returns the names of the voters in a daemon's member configuration.
    pub fn voters(&self, index: usize) -> BTreeSet<String> {
        self.control(index).map_or(BTreeSet::new(), |control| {
            let voters = control.registers.members.voters.iter();
            voters.map(|voter| voter.name.to_string()).collect()
        })
    }

    /// Returns the version and value of a key in a daemon's state table.
    pub fn value(&self, index: usize, key: &str) -> Option<(u64, Vec<u8>)> {
        self.control(index)?
            .state_table()
            .get(key)
            .map(|change| (change.version, change.value.0.clone()))
    }

    /// Submits a write; returns its key in `write_outcomes`.
    pub fn write(
        &mut self,
        index: usize,
        key: &str,
        expected: Option<u64>,
        value: &[u8],
    ) -> Option<(usize, u64)> {
        let now = self.now;
        let control = self.daemons[index].control.as_mut()?;
        let (token, effects) = control.write(key, expected, value.to_vec(), now);
        self.carry_out(index, effects);
        Some((index, token))
    }

    /// Retries a write at random daemons until it is accepted, as an operator does; returns the time that this took.
    pub fn write_until_accepted(&mut self, key: &str, value: &[u8], most: Ms) -> Option<Ms> {
        let started_at = self.now;
        while self.now < started_at + most {
            let running = self.running();
            let index = *self.rng.choice(&running)?;
            let write = self.write(index, key, None, value)?;
            self.run_until(WRITE_TIMEOUT, |fleet| {
                fleet.write_outcomes.contains_key(&write) || fleet.control(index).is_none()
            });
            if let Some((at, WriteOutcome::Accepted(_))) = self.write_outcomes.get(&write) {
                return Some(at - started_at);
            }
            self.run(WRITE_RETRY_DELAY);
        }
        None
    }

    /// Returns the distinct voter lists (as disk ids) that the disks hold for member epoch 1.
    pub fn first_voters(&self) -> BTreeSet<Vec<u64>> {
        let first_disk_ids = |daemon: &Daemon| match daemon.disk.get("\0members") {
            Some(Row::Members {
                member_epoch: 1,
                voters,
                ..
            }) => Some(voters.iter().map(|voter| voter.disk_id).collect()),
            _ => None,
        };
        self.daemons.iter().filter_map(first_disk_ids).collect()
    }
}
