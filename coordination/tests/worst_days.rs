//! Days of operators who write, read and send again while control machines are cut off for up to 20 s, split, frozen,
//! killed, replaced and wiped, and that end with a loss of disks in which all other machines lose power. Each history is
//! that of a single register, nothing that was acknowledged is missing afterwards, and the next order is accepted.

mod fleet;

use std::{cell::RefCell, collections::BTreeMap, collections::BTreeSet, rc::Rc};

use coordination::{Ms, WriteOutcome, control::SPEC_KEY, register::Expect};
use fleet::Fleet;
use fleet_simulator::register_history::{Call, History, Order, Told};
use googletest::prelude::*;
use wire_messages::{Message, Name};

const ZONE: &str = "zone/z1";
/// ms. After so long without an answer an operator goes to another daemon.
const CLIENT_TIMEOUT: Ms = 1_000;
/// ms. A machine whose disk was lost counts as recovered after so long.
const RECOVERY_TIME: Ms = 4_000;
/// Percent of responses that are lost.
const LOST_RESPONSES_PERCENT: u8 = 25;
/// ms. A step of the day.
const STEP_TIME: Ms = 10;

/// A mechanism that is left out, to see that a day of this kind needs it.
#[derive(Clone, Copy, PartialEq)]
enum Omitted {
    Nothing,
    /// A joiner takes itself for caught up though it has read nothing.
    CatchingUp,
}

/// What an operator waits for.
struct Pending {
    key: &'static str,
    order: Option<usize>,
    began: Ms,
    /// The daemon's token; none while it is suspended and has not read the call.
    sent: Option<(usize, u64)>,
    at: usize,
    /// The response will be lost.
    response_lost: bool,
}

struct Operator {
    pending: Option<Pending>,
    /// The order whose outcome is not known yet.
    order: Option<(&'static str, usize)>,
    rests_until: Ms,
    number: u64,
}

struct Day {
    fleet: Fleet,
    operators: Vec<Operator>,
    expects: BTreeMap<(&'static str, usize), Expect>,
    histories: BTreeMap<&'static str, History>,
    /// Calls that nobody waits for any more and that a suspended daemon has not read.
    unread: Vec<(usize, &'static str, Option<usize>)>,
    /// Pairs of addresses between which nothing passes, in that direction.
    cut: Rc<RefCell<BTreeSet<(Name, Name)>>>,
    disks_to_lose: usize,
    regions: BTreeMap<String, String>,
    orders: u64,
}

fn document(release: u64, bake_ms: u64) -> Vec<u8> {
    let document = serde_json::json!({"zones": [], "tiers": [], "services": [], "canary_percent": 10, "bake_ms": bake_ms,
        "release": release});
    serde_json::to_vec(&document).unwrap()
}

impl Day {
    fn new(seed: u64, machines: usize, disks_to_lose: usize, omitted: Omitted) -> Self {
        let regions: BTreeMap<String, String> = (0..200)
            .map(|i| (format!("z{i}"), format!("r{}", i % 3)))
            .collect();
        let mut fleet = Fleet::bootstrapped(seed, machines, |i| format!("r{}", i % 3));
        let cut: Rc<RefCell<BTreeSet<(Name, Name)>>> = Rc::default();
        let passes = cut.clone();
        fleet.delivers =
            Box::new(move |from, to, _| !passes.borrow().contains(&(from.clone(), to.clone())));
        fleet.rewrite = match omitted {
            Omitted::Nothing => None,
            Omitted::CatchingUp => Some(Box::new(|_, message| {
                if let Message::SlotsReply(reply) = message {
                    reply.slots.0.clear();
                }
            })),
        };
        let operator = |i| Operator {
            pending: None,
            order: None,
            rests_until: 0,
            number: i,
        };
        let operators = (0..4).map(operator).collect();
        let histories =
            BTreeMap::from([(SPEC_KEY, History::default()), (ZONE, History::default())]);
        let (expects, unread) = Default::default();
        Day {
            fleet,
            operators,
            expects,
            histories,
            unread,
            cut,
            disks_to_lose,
            regions,
            orders: 0,
        }
    }

    fn running(&self) -> Vec<usize> {
        (0..self.fleet.daemons.len())
            .filter(|i| self.fleet.control(*i).is_some())
            .collect()
    }
    fn addr(&self, i: usize) -> Name {
        self.fleet.daemons[i].config.addr.clone()
    }
    fn is_suspended(&self, i: usize) -> bool {
        self.fleet.daemons[i].suspended_until > self.fleet.now
    }

    fn run(&mut self, ms: Ms) {
        let end = self.fleet.now + ms;
        while self.fleet.now < end {
            self.fleet.run(STEP_TIME);
            self.read_late();
            for i in 0..self.operators.len() {
                self.operate(i);
            }
            for i in self.running() {
                for key in [SPEC_KEY, ZONE] {
                    if let Some((version, value)) = self.fleet.value(i, key) {
                        self.histories
                            .get_mut(key)
                            .unwrap()
                            .see(version, &value, self.fleet.now);
                    }
                }
            }
        }
    }

    /// Has a daemon that resumed read what waited in its sockets.
    fn read_late(&mut self) {
        for (at, key, order) in std::mem::take(&mut self.unread) {
            if self.is_suspended(at) {
                self.unread.push((at, key, order));
            } else if self.fleet.control(at).is_some() {
                self.submit(at, key, order);
            }
        }
        for i in 0..self.operators.len() {
            let Some(pending) = self.operators[i]
                .pending
                .as_ref()
                .filter(|p| p.sent.is_none())
            else {
                continue;
            };
            let (at, key, order) = (pending.at, pending.key, pending.order);
            if !self.is_suspended(at) && self.fleet.control(at).is_some() {
                let sent = self.submit(at, key, order);
                self.operators[i].pending.as_mut().unwrap().sent = sent;
            }
        }
    }

    /// Submits a call to a daemon.
    fn submit(
        &mut self,
        at: usize,
        key: &'static str,
        order: Option<usize>,
    ) -> Option<(usize, u64)> {
        let now = self.fleet.now;
        let value = order.map(|o| self.histories[key].orders[o].value.clone());
        let expect = order.map(|o| self.expects[&(key, o)]);
        let brain = self.fleet.daemons[at].control.as_mut()?;
        let (token, out) = match (expect, value) {
            (Some(expect), Some(value)) => brain.write(key, expect, value, now),
            _ => brain.read_newest(key, now),
        };
        self.fleet.carry_out(at, out);
        Some((at, token))
    }

    fn operate(&mut self, i: usize) {
        let now = self.fleet.now;
        if let Some(pending) = &self.operators[i].pending {
            let end = pending
                .sent
                .and_then(|s| self.fleet.write_outcomes.get(&s))
                .filter(|_| !pending.response_lost)
                .map(|e| e.1);
            if end.is_none() && now < pending.began + CLIENT_TIMEOUT {
                return;
            }
            self.finish_call(i, end.map_or(Told::Unclear, Told::from));
            return;
        }
        if now < self.operators[i].rests_until {
            return;
        }
        let running = self.running();
        let Some(&at) = self.fleet.rng.choice(&running) else {
            return;
        };
        let (key, order) = match self.operators[i].order {
            Some((key, order)) => (key, Some(order)),
            None => self.choose_call(i, at),
        };
        let sent = if self.is_suspended(at) {
            None
        } else {
            self.submit(at, key, order)
        };
        let response_lost = self.fleet.rng.u8(..100) < LOST_RESPONSES_PERCENT;
        self.operators[i].pending = Some(Pending {
            key,
            order,
            began: now,
            sent,
            at,
            response_lost,
        });
    }

    fn finish_call(&mut self, i: usize, told: Told) {
        let now = self.fleet.now;
        let Some(pending) = self.operators[i].pending.take() else {
            return;
        };
        if pending.sent.is_none() {
            self.unread.push((pending.at, pending.key, pending.order));
        }
        let call = Call {
            order: pending.order,
            began: pending.began,
            ended: now,
            told,
        };
        self.histories
            .get_mut(pending.key)
            .unwrap()
            .calls
            .push(call);
        let clear = told != Told::Unclear;
        self.operators[i].order = pending
            .order
            .filter(|_| !clear)
            .map(|order| (pending.key, order));
        self.operators[i].rests_until = now + self.fleet.rng.u64(20..if clear { 400 } else { 120 });
    }

    /// What an operator does next, by what it sees at a daemon: one in three reads, two pick the same number at times.
    fn choose_call(&mut self, i: usize, at: usize) -> (&'static str, Option<usize>) {
        let key = if self.fleet.rng.u8(..3) == 0 {
            ZONE
        } else {
            SPEC_KEY
        };
        if self.fleet.rng.u8(..3) == 0 {
            return (key, None);
        }
        self.orders += 1;
        let (value, expect) = if key == ZONE {
            // Zones are ordered by one operator each, as an order by two has no meaning of its own.
            (
                if self.fleet.rng.bool() {
                    b"on".to_vec()
                } else {
                    b"off".to_vec()
                },
                Expect::Any,
            )
        } else {
            let from = self
                .fleet
                .control(at)
                .and_then(|b| b.spec())
                .map_or(0, |s| s.release);
            let release = from + 1 + self.fleet.rng.u64(..2);
            (
                document(release, self.orders * 10 + self.operators[i].number),
                Expect::Release(from),
            )
        };
        let history = self.histories.get_mut(key).unwrap();
        history.orders.push(Order {
            value,
            unconditional: expect == Expect::Any,
        });
        let order = history.orders.len() - 1;
        self.expects.insert((key, order), expect);
        self.operators[i].order = Some((key, order));
        (key, Some(order))
    }

    /// All voters are running, vote and hear each other: the losses before are made up for.
    fn is_recovered(&self) -> bool {
        let voting = self.fleet.voting();
        let member_epoch = voting
            .iter()
            .filter_map(|i| self.fleet.control(*i))
            .map(|b| b.registers.members.member_epoch)
            .max();
        let all = |i: &usize| {
            self.fleet.control(*i).is_some_and(|b| {
                Some(b.registers.members.member_epoch) == member_epoch
                    && b.registers.members.voters.len() == voting.len()
            })
        };
        !voting.is_empty() && voting.iter().all(all) && self.cut.borrow().is_empty()
    }

    fn block(&mut self, from: usize, both: bool) {
        let here = self.addr(from);
        let all: Vec<Name> = (0..self.fleet.daemons.len())
            .filter(|i| *i != from)
            .map(|i| self.addr(i))
            .collect();
        let mut cut = self.cut.borrow_mut();
        for other in all {
            cut.insert((here.clone(), other.clone()));
            if both {
                cut.insert((other, here.clone()));
            }
        }
    }

    fn owner(&self, key: &str) -> Option<usize> {
        (0..self.fleet.daemons.len()).find(|i| {
            self.fleet
                .control(*i)
                .is_some_and(|b| b.registers.held_until(key, self.fleet.now).is_some())
        })
    }

    /// Injects one fault.
    fn inject_fault(&mut self) {
        let running = self.running();
        let Some(&any) = self.fleet.rng.choice(&running) else {
            return;
        };
        let one = if self.fleet.rng.bool() {
            self.owner(SPEC_KEY).unwrap_or(any)
        } else {
            any
        };
        match self.fleet.rng.u8(..11) {
            // Cut off, at times in one direction only.
            0 | 1 => {
                let both = self.fleet.rng.u8(..4) > 0;
                self.block(one, both);
                let ms = self.fleet.rng.u64(1_000..20_000);
                self.run(ms);
                self.cut.borrow_mut().clear();
            }
            // Split in two.
            2 => {
                let half: Vec<usize> = running
                    .iter()
                    .copied()
                    .filter(|_| self.fleet.rng.bool())
                    .collect();
                for (a, b) in half
                    .iter()
                    .flat_map(|a| running.iter().map(move |b| (*a, *b)))
                    .filter(|(_, b)| !half.contains(b))
                {
                    let (a, b) = (self.addr(a), self.addr(b));
                    self.cut
                        .borrow_mut()
                        .extend([(a.clone(), b.clone()), (b, a)]);
                }
                let ms = self.fleet.rng.u64(1_000..9_000);
                self.run(ms);
                self.cut.borrow_mut().clear();
            }
            3 => {
                let ms = self.fleet.rng.u64(500..9_000);
                self.fleet.daemons[one].suspended_until = self.fleet.now + ms;
                self.run(ms);
            }
            4 => {
                self.fleet.kill(one);
                let ms = self.fleet.rng.u64(50..6_000);
                self.run(ms);
                self.fleet.start(one);
            }
            // All at once, disks kept.
            5 => {
                for i in &running {
                    self.fleet.kill(*i);
                }
                self.run(300);
                for i in &running {
                    self.fleet.start(*i);
                }
            }
            6 => self.fleet.daemons[one].sync_duration = self.fleet.rng.u64(1..300),
            // As many disks as may be lost, and others in their places or they themselves blank.
            7 | 8 => self.lose_disks(one),
            _ => self.lose_a_disk_beside_a_lagging_one(one),
        }
    }

    fn lose_disks(&mut self, first: usize) {
        if !self.is_recovered() {
            return;
        }
        let mut gone = self.running();
        self.fleet.rng.shuffle(&mut gone);
        gone.retain(|i| *i != first);
        gone.insert(0, first);
        gone.truncate(self.disks_to_lose);
        // Planned: it announces to the others that it stops.
        if self.fleet.rng.bool() {
            let brain = self.fleet.daemons[first].control.as_mut();
            if let Some(brain) = brain {
                brain.stopping = true;
            }
            let ms = self.fleet.rng.u64(..600);
            self.run(ms);
        }
        for i in &gone {
            self.fleet.wipe(*i);
        }
        let ms = self.fleet.rng.u64(50..3_000);
        self.run(ms);
        for i in gone {
            if self.fleet.rng.bool() {
                self.fleet.start(i);
            } else {
                let (next, seeds, regions) = (
                    self.fleet.daemons.len(),
                    self.running(),
                    self.regions.clone(),
                );
                self.fleet.add(next, &seeds, false, &regions);
            }
        }
        self.run(RECOVERY_TIME);
    }

    /// One that was cut off comes back in the moment in which another has lost its disk, and a third that has what was
    /// accepted meanwhile is cut off in turn: those that are left lack it, and are as many as a majority.
    fn lose_a_disk_beside_a_lagging_one(&mut self, victim: usize) {
        if !self.is_recovered() {
            return;
        }
        let mut others: Vec<usize> = self
            .fleet
            .voting()
            .into_iter()
            .filter(|i| *i != victim)
            .collect();
        self.fleet.rng.shuffle(&mut others);
        let [lagging, up_to_date] = others[..2] else {
            return;
        };
        self.block(lagging, true);
        let ms = self.fleet.rng.u64(1_500..9_000);
        self.run(ms);
        self.fleet.wipe(victim);
        let ms = self.fleet.rng.u64(..1_500);
        self.run(ms);
        self.cut.borrow_mut().clear();
        let ms = self.fleet.rng.u64(..800);
        if self.fleet.rng.bool() {
            self.run(ms);
            self.fleet.start(victim);
        } else {
            self.fleet.start(victim);
            self.run(ms);
        }
        let ms = self.fleet.rng.u64(..1_500);
        self.run(ms);
        self.block(up_to_date, true);
        let ms = self.fleet.rng.u64(2_000..9_000);
        self.run(ms);
        self.cut.borrow_mut().clear();
        self.run(RECOVERY_TIME);
    }

    /// Right after a response disks are lost, the oldest first, and all other machines lose power in the same moment.
    fn end_with_disk_loss(&mut self) {
        for daemon in &mut self.fleet.daemons {
            daemon.suspended_until = 0;
            daemon.sync_duration = 5;
        }
        // Losses before are over by then.
        for _ in 0..40 {
            if self.is_recovered() {
                break;
            }
            self.run(500);
        }
        self.run(RECOVERY_TIME);
        let calls = self.histories[SPEC_KEY].calls.len();
        for _ in 0..1_000 {
            let told = self.histories[SPEC_KEY].calls[calls..].iter();
            if told
                .filter(|c| c.order.is_some())
                .any(|c| matches!(c.told, Told::Version(_)))
            {
                break;
            }
            self.run(STEP_TIME);
        }
        let mut gone = self.running();
        if self.fleet.rng.bool() {
            self.fleet.rng.shuffle(&mut gone);
        }
        for i in &gone {
            self.fleet.kill(*i);
        }
        for i in &gone[..self.disks_to_lose] {
            self.fleet.wipe(*i);
        }
        for i in 0..self.operators.len() {
            self.finish_call(i, Told::Unclear);
            // It will not be sent again.
            self.operators[i].order = None;
            self.operators[i].rests_until = Ms::MAX;
        }
        self.fleet.run(1_000);
        for i in gone {
            self.fleet.start(i);
        }
    }

    /// Reads a key until a daemon is sure of the newest.
    fn read_back(&mut self, key: &'static str) -> bool {
        let until = self.fleet.now + 12_000;
        while self.fleet.now < until {
            let running = self.running();
            let Some(&at) = self.fleet.rng.choice(&running) else {
                return false;
            };
            let began = self.fleet.now;
            let Some(sent) = self.submit(at, key, None) else {
                continue;
            };
            self.fleet.run_until(CLIENT_TIMEOUT, |fleet| {
                fleet.write_outcomes.contains_key(&sent)
            });
            if let Some((_, WriteOutcome::Accepted(version))) = self.fleet.write_outcomes.get(&sent)
            {
                let call = Call {
                    order: None,
                    began,
                    ended: self.fleet.now,
                    told: Told::Version(*version),
                };
                self.histories.get_mut(key).unwrap().calls.push(call);
                return true;
            }
            self.fleet.run(100);
        }
        false
    }
}

/// How many calls were acknowledged in all, and what was wrong on which seed.
fn play_days(
    seeds: std::ops::Range<u64>,
    machines: usize,
    disks_to_lose: usize,
    omitted: Omitted,
) -> (usize, Vec<String>) {
    let asked = std::env::var("WORST_DAYS").ok();
    let asked = asked
        .as_deref()
        .and_then(|s| s.split_once('-'))
        .and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    let (mut acknowledged, mut wrong) = (0, vec![]);
    for seed in asked.unwrap_or(seeds) {
        let mut day = Day::new(seed, machines, disks_to_lose, omitted);
        day.run(6_000);
        for _ in 0..6 {
            day.inject_fault();
            let ms = day.fleet.rng.u64(200..5_000);
            day.run(ms);
        }
        day.end_with_disk_loss();
        for key in [SPEC_KEY, ZONE] {
            if !day.read_back(key) {
                wrong.push(format!("seed {seed}: {key} cannot be read back"));
            }
        }
        if day
            .fleet
            .write_until_accepted("plan/s", b"next", 12_000)
            .is_none()
        {
            wrong.push(format!("seed {seed}: no order is taken any more"));
        }
        for (key, history) in &day.histories {
            wrong.extend(
                history
                    .faults()
                    .into_iter()
                    .map(|w| format!("seed {seed}, {key}: {w}")),
            );
            acknowledged += history
                .calls
                .iter()
                .filter(|c| matches!(c.told, Told::Version(_)))
                .count();
        }
    }
    (acknowledged, wrong)
}

#[gtest]
fn three_machines_survive_the_loss_of_one_disk() {
    let (acknowledged, wrong) = play_days(0..80, 3, 1, Omitted::Nothing);
    expect_that!(wrong, is_empty());
    expect_that!(acknowledged, gt(3_000));
}

#[gtest]
fn six_machines_survive_the_loss_of_two_disks() {
    let (acknowledged, wrong) = play_days(0..40, 6, 2, Omitted::Nothing);
    expect_that!(wrong, is_empty());
    expect_that!(acknowledged, gt(1_500));
}

#[gtest]
fn without_catching_up_of_joiners_such_days_lose_writes() {
    expect_that!(
        play_days(0..40, 3, 1, Omitted::CatchingUp).1,
        not(is_empty())
    );
}
