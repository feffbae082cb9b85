//! A bounded exhaustive explorer of one key's register: every order in which messages arrive, late, twice or never,
//! disks sync, voters crash, owners take the key and operators write, read and repeat, up to a depth. The registers are
//! the production ones; what is modelled is the network, the disks and the operators.
//!
//! States are told apart by a digest of all they hold that has a say in what follows, and each is gone through once, the
//! nearest first. `EXPLORE_STATES=n` goes further than CI does; `--nocapture` prints how far.

use std::{collections::HashSet, sync::Arc};

use googletest::prelude::*;
use wire_messages::Message;
use xxhash_rust::xxh3::xxh3_128;

use super::*;
use crate::{WriteOutcome, timing::LEASE_DURATION};

const KEY: &str = "spec";

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Request {
    /// A value on top of this version.
    Put {
        value: u8,
        on: u64,
    },
    Read,
}
use Request::*;

/// A request at one voter, when it came and how it ended: steps of the history.
#[derive(Clone, Debug)]
struct Call {
    at: usize,
    request: Request,
    began: Option<u64>,
    ended: Option<(u64, WriteOutcome)>,
}

/// A mechanism that is left out, to see that it is needed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    /// A disk confirms before it has synced.
    SyncBeforeAnswer,
    /// An owner tells what stands without asking whether it still is the owner.
    ConfirmedRead,
    /// A new owner does not take over what voters accepted.
    AcceptedInPromise,
    /// A voter takes what an owner offers that it has promised to leave.
    PromiseKept,
    /// What replaced values were is not known.
    Memory,
    /// Each voter is a majority of its own.
    Majority,
}

#[derive(Clone)]
struct Node {
    regs: Registers,
    disk: BTreeMap<String, Row>,
    /// What waits for the disk, and what is sent once it is synced.
    unsynced: VecDeque<(Vec<Row>, Effects)>,
    /// Of all the above that has a say in what follows.
    digest: u128,
}

impl Node {
    fn seal(&mut self) {
        let (r, key) = (&self.regs, KEY);
        let text = format!(
            "{:?} {:?} {} {:?} {:?}",
            r.slots.get(key),
            r.ownerships.get(key),
            r.epochs.highest(),
            self.disk,
            self.unsynced
        );
        self.digest = xxh3_128(text.as_bytes());
    }
}

/// A message under way. Messages are in the order of their digests: that in which they were sent says nothing of when they
/// arrive.
#[derive(Clone)]
struct Sent {
    digest: u128,
    from: usize,
    to: usize,
    msg: Arc<Message>,
}

#[derive(Clone)]
struct World {
    without: Without,
    /// Steps of the history: each beginning and end of a call is one. It is the voters' clock as well.
    step: u64,
    nodes: Vec<Arc<Node>>,
    wire: Vec<Sent>,
    calls: Vec<Call>,
    crashes: u32,
    copies: u32,
}

/// One thing that may happen next.
#[derive(Clone, Copy, Debug)]
enum Action {
    Call(usize),
    Deliver(usize),
    /// Delivers a message and keeps a copy of it on its way.
    DeliverCopy(usize),
    Sync(usize),
    Crash(usize),
}

impl World {
    fn new(without: Without, crashes: u32, copies: u32, calls: &[(usize, Request)]) -> Self {
        let node = |i| {
            let mut regs = voter(i);
            regs.skip_lease_wait();
            if without == Without::Majority {
                regs.members.voters.retain(|v| v.name == name(i));
            }
            let row = regs.members_row();
            Arc::new(Node {
                regs,
                disk: [("members".to_string(), row)].into(),
                unsynced: VecDeque::new(),
                digest: 0,
            })
        };
        let call = |(at, request): &(usize, Request)| Call {
            at: *at,
            request: *request,
            began: None,
            ended: None,
        };
        let calls = calls.iter().map(call).collect();
        World {
            without,
            step: 1,
            nodes: (0..NODES).map(node).collect(),
            wire: vec![],
            calls,
            crashes,
            copies,
        }
    }

    fn actions(&self) -> Vec<Action> {
        // A call that is the same as one before it and has not begun is the same choice.
        let calls = (0..self.calls.len())
            .filter(|i| self.calls[*i].began.is_none())
            .map(Action::Call)
            .take(1);
        let messages = (0..self.wire.len())
            .filter(|i| *i == 0 || self.wire[*i].digest != self.wire[*i - 1].digest);
        let syncs = (0..NODES)
            .filter(|i| !self.nodes[*i].unsynced.is_empty())
            .map(Action::Sync);
        let crashes = (0..NODES).filter(|_| self.crashes > 0).map(Action::Crash);
        let copies = messages
            .clone()
            .filter(|_| self.copies > 0)
            .map(Action::DeliverCopy);
        calls
            .chain(messages.map(Action::Deliver))
            .chain(syncs)
            .chain(crashes)
            .chain(copies)
            .collect()
    }

    fn take(&mut self, a: Action) {
        match a {
            Action::Call(i) => self.call(i),
            Action::Deliver(i) => {
                let Sent { from, to, msg, .. } = self.wire.remove(i);
                self.deliver(from, to, &msg);
            }
            Action::DeliverCopy(i) => {
                self.copies -= 1;
                let Sent { from, to, msg, .. } = self.wire[i].clone();
                self.deliver(from, to, &msg);
            }
            Action::Sync(i) => self.sync(i),
            Action::Crash(i) => self.crash(i),
        }
    }

    fn node(&mut self, at: usize) -> &mut Node {
        Arc::make_mut(&mut self.nodes[at])
    }

    fn send(&mut self, from: usize, to: usize, msg: Message) {
        let digest = xxh3_128(format!("{from} {to} {msg:?}").as_bytes());
        let at = self.wire.partition_point(|s| s.digest < digest);
        self.wire.insert(
            at,
            Sent {
                digest,
                from,
                to,
                msg: Arc::new(msg),
            },
        );
    }

    fn call(&mut self, i: usize) {
        self.step += 1;
        let (step, at, request) = (self.step, self.calls[i].at, self.calls[i].request);
        self.calls[i].began = Some(step);
        let mut out = vec![];
        let regs = &mut self.node(at).regs;
        match request {
            Put { value, on } => regs.propose(
                i as u64 + 1,
                &KEY.into(),
                Some(on),
                Blob(vec![value]),
                step,
                &mut out,
            ),
            Read => regs.read(i as u64 + 1, &KEY.into(), step, &mut out),
        }
        self.carry(at, out);
    }

    fn deliver(&mut self, from: usize, to: usize, m: &Message) {
        let (without, step, from) = (self.without, self.step, name(from));
        let regs = &mut self.node(to).regs;
        let mut out = vec![];
        match m.clone() {
            Message::Prepare(m) => regs.on_prepare(&from, m, step, &mut out),
            Message::Promise(mut m) => {
                if without == Without::AcceptedInPromise && from != name(to) {
                    m.slot = Slot {
                        key: m.slot.key,
                        promised_epoch: m.slot.promised_epoch,
                        ..Slot::default()
                    };
                }
                regs.on_promise(&from, m, step, &mut out);
            }
            Message::Accept(m) => {
                if without == Without::PromiseKept {
                    let slot = regs.slots.entry(&m.key);
                    (slot.promised_epoch, slot.accepted_epoch) = (
                        slot.promised_epoch.min(m.epoch),
                        slot.accepted_epoch.min(m.epoch),
                    );
                }
                regs.on_accept(&from, m, &mut out);
            }
            Message::Accepted(m) => regs.on_accepted(&from, m, step, &mut out),
            Message::Commit(m) => regs.on_commit(&m.change, &m.replaced, &mut out),
            Message::RenewLeases(m) => regs.on_renew(&from, m, step, &mut out),
            Message::LeasesRenewed(m) => regs.on_renewed(&from, m, step, &mut out),
            _ => {}
        }
        self.carry(to, out);
    }

    fn carry(&mut self, at: usize, out: Effects) {
        for e in out {
            match e {
                // What a voter says to itself does not cross the network.
                Effect::Send { to, msg } if to == name(at) => self.deliver(at, at, &msg),
                Effect::Send { to, msg } => {
                    let to = (0..NODES).find(|i| name(*i) == to).unwrap();
                    self.send(at, to, msg);
                }
                Effect::Persist { rows, then } => self.persist(at, rows, then),
                Effect::WriteFinished { token, outcome } => {
                    self.step += 1;
                    self.calls[token as usize - 1].ended = Some((self.step, outcome));
                }
                _ => {}
            }
        }
        self.leave_out(at);
        let node = self.node(at);
        node.regs.newly_committed.clear();
        node.seal();
    }

    /// Takes away what a voter needs for the mechanism that is left out.
    fn leave_out(&mut self, at: usize) {
        let without = self.without;
        let regs = &mut self.node(at).regs;
        match (
            without,
            regs.ownerships.get_mut(KEY),
            regs.slots.by_key.get_mut(KEY),
        ) {
            (Without::ConfirmedRead, Some(own), _) => {
                own.confirmed_by = (0..NODES).map(|i| (name(i), Ms::MAX / 2)).collect()
            }
            (Without::Memory, _, Some(slot)) => {
                slot.replaced.0.iter_mut().for_each(|p| p.digest = 0)
            }
            _ => {}
        }
    }

    fn persist(&mut self, at: usize, rows: Vec<Row>, then: Effects) {
        let early = match self.without {
            Without::SyncBeforeAnswer => then.clone(),
            _ => vec![],
        };
        let then = if early.is_empty() { then } else { vec![] };
        self.node(at).unsynced.push_back((rows, then));
        self.carry(at, early);
        // Without crashes to come a sync is nothing but another delay of what is sent after it.
        while self.crashes == 0 && !self.nodes[at].unsynced.is_empty() {
            self.sync(at);
        }
    }

    fn sync(&mut self, at: usize) {
        let node = self.node(at);
        let Some((rows, then)) = node.unsynced.pop_front() else {
            return;
        };
        for r in rows {
            let k = if let Row::Slot(s) = &r {
                s.key.to_string()
            } else {
                "members".into()
            };
            node.disk.insert(k, r);
        }
        self.carry(at, then);
    }

    /// Loses what is not synced and all that is not on the disk, and starts again.
    fn crash(&mut self, at: usize) {
        self.crashes -= 1;
        let step = self.step;
        let node = self.node(at);
        node.unsynced.clear();
        node.regs = Registers::new(
            name(at),
            node.disk.values().cloned().collect(),
            LEASE_DURATION,
            step,
        );
        node.regs.skip_lease_wait();
        node.regs.newly_committed.clear();
        node.seal();
        for i in 0..NODES {
            while self.crashes == 0 && !self.nodes[i].unsynced.is_empty() {
                self.sync(i);
            }
        }
    }

    /// What the history says that no register could: none if it is linearizable as far as told.
    fn wrong(&self) -> Option<String> {
        let told = |c: &Call| {
            c.ended
                .filter(|e| !matches!(e.1, WriteOutcome::Unknown | WriteOutcome::NotAccepted(_)))
        };
        let done: Vec<(&Call, u64, WriteOutcome)> = self
            .calls
            .iter()
            .filter_map(|c| told(c).map(|e| (c, e.0, e.1)))
            .collect();
        let version = |o: &WriteOutcome| match o {
            WriteOutcome::Accepted(v) | WriteOutcome::Conflict(v) => *v,
            _ => 0,
        };
        for (c, _, o) in &done {
            if let (Put { value, on }, WriteOutcome::Accepted(v)) = (c.request, o) {
                if *v != on + 1 {
                    return Some(format!("{c:?} is accepted as {v}"));
                }
                let twin = |d: &&(&Call, u64, WriteOutcome)| matches!((d.0.request, &d.2), (Put { value: x, .. }, WriteOutcome::Accepted(w)) if w == v && x != value);
                if let Some(d) = done.iter().find(twin) {
                    return Some(format!("{c:?} and {:?} are both accepted", d.0));
                }
                // The same order again is never refused once it was accepted.
                let again = |d: &&(&Call, u64, WriteOutcome)| {
                    d.0.request == c.request && matches!(d.2, WriteOutcome::Conflict(_))
                };
                if let Some(d) = done.iter().find(again) {
                    return Some(format!("{c:?} is accepted and {:?} is refused", d.0));
                }
            }
            if let (Put { on, .. }, WriteOutcome::Conflict(v)) = (c.request, o)
                && *v == on
            {
                return Some(format!("{c:?} is refused though what it names stands"));
            }
        }
        // What ended before another call began is seen by that one. An order that is told again keeps its version.
        for (a, ended, told) in &done {
            for (b, _, later) in done
                .iter()
                .filter(|(b, ..)| b.began.is_some_and(|t| t > *ended))
            {
                let repeats = a.request != Read
                    && matches!((b.request, later), (Put { .. }, WriteOutcome::Accepted(_)));
                if version(later) < version(told) && !repeats {
                    return Some(format!("{a:?} ended before {b:?} began"));
                }
            }
        }
        self.two_values()
    }

    /// A version that is known to be committed has one value, wherever it is known, and never that of a write which was
    /// refused.
    fn two_values(&self) -> Option<String> {
        let known = |n: &Arc<Node>| {
            n.regs
                .slots
                .get(KEY)
                .filter(|s| s.version > 0 && s.committed_version == s.version)
                .cloned()
        };
        let all: Vec<Slot> = self.nodes.iter().filter_map(known).collect();
        if let Some(two) = all.iter().find(|a| {
            all.iter()
                .any(|b| a.version == b.version && a.value != b.value)
        }) {
            return Some(format!("version {} has two values", two.version));
        }
        let stands = |c: &&Call| match (c.request, c.ended) {
            (Put { value, on }, Some((_, WriteOutcome::Conflict(_)))) => all
                .iter()
                .any(|s| s.version == on + 1 && s.value.0 == [value]),
            _ => false,
        };
        self.calls
            .iter()
            .find(stands)
            .map(|c| format!("{c:?} was refused and stands"))
    }

    fn digest(&self) -> u128 {
        let history =
            xxh3_128(format!("{:?} {} {}", self.calls, self.crashes, self.copies).as_bytes());
        let all = self
            .nodes
            .iter()
            .map(|n| n.digest)
            .chain(self.wire.iter().map(|s| s.digest))
            .chain([history]);
        xxh3_128(&all.flat_map(u128::to_be_bytes).collect::<Vec<u8>>())
    }

    /// Whether a step has made no difference but that a message is gone: it might as well have been lost.
    fn idles_after(&self, before: &World) -> bool {
        let same = |(a, b): (&Arc<Node>, &Arc<Node>)| Arc::ptr_eq(a, b) || a.digest == b.digest;
        self.step == before.step
            && self.crashes == before.crashes
            && self.wire.len() <= before.wire.len()
            && self.nodes.iter().zip(&before.nodes).all(same)
    }
}

/// How a state came about, newest step first.
type Trace = Option<Arc<Step>>;
struct Step {
    action: Action,
    before: Trace,
}

fn steps(mut trace: &Trace) -> Vec<Action> {
    let mut all = vec![];
    while let Some(step) = trace {
        all.push(step.action);
        trace = &step.before;
    }
    all.reverse();
    all
}

/// What was gone through: all orders of so many steps, the states they led to, and what was wrong in the first that was.
struct Explored {
    depth: u32,
    states: usize,
    wrong: Option<String>,
}

/// Goes through all orders, the shortest first, until something is wrong, none is left, or a bound is met.
fn explore(w: World, most_depth: u32, most_states: usize) -> Explored {
    let mut seen = HashSet::from([w.digest()]);
    let mut states: Vec<(World, Trace)> = vec![(w, None)];
    for depth in 0..most_depth {
        let mut next = vec![];
        for (w, trace) in &states {
            for action in w.actions() {
                let mut after = w.clone();
                after.take(action);
                if after.idles_after(w) || !seen.insert(after.digest()) {
                    continue;
                }
                let trace = Some(Arc::new(Step {
                    action,
                    before: trace.clone(),
                }));
                if let Some(wrong) = after.wrong() {
                    let wrong = Some(format!("{wrong}\n{:#?}\n{:#?}", steps(&trace), after.calls));
                    return Explored {
                        depth: depth + 1,
                        states: seen.len(),
                        wrong,
                    };
                }
                // Nothing more can be told once all calls have ended.
                if after.calls.iter().any(|c| c.ended.is_none()) {
                    next.push((after, trace));
                }
            }
            if seen.len() >= most_states {
                return Explored {
                    depth,
                    states: seen.len(),
                    wrong: None,
                };
            }
        }
        states = next;
    }
    Explored {
        depth: most_depth,
        states: seen.len(),
        wrong: None,
    }
}

/// States that a run in CI goes through at most, for each scenario: some ten seconds.
const STATES: usize = 150_000;

const A: Request = Put { value: 1, on: 0 };
const B: Request = Put { value: 2, on: 0 };
const NEXT: Request = Put { value: 3, on: 1 };

/// What is gone through: a name, crashes, messages that come twice, and calls in the order in which they begin.
type Scenario = (&'static str, u32, u32, &'static [(usize, Request)]);
const SCENARIOS: [Scenario; 6] = [
    (
        "two owners write on one version, and one reads",
        0,
        0,
        &[(0, A), (1, B), (2, Read)],
    ),
    (
        "an owner writes, is replaced, and both read",
        0,
        0,
        &[(0, A), (1, Read), (0, Read)],
    ),
    (
        "a write is repeated elsewhere after another replaced it",
        0,
        0,
        &[(0, A), (0, NEXT), (1, A)],
    ),
    (
        "one crashes while two owners write",
        1,
        0,
        &[(0, A), (1, B)],
    ),
    (
        "one crashes around a write and a reading",
        1,
        0,
        &[(0, A), (1, Read)],
    ),
    (
        "a message comes twice while two owners write",
        0,
        1,
        &[(0, A), (1, B)],
    ),
];

/// No order of events is longer: each scenario ends before.
const DEPTH: u32 = 64;

#[gtest]
fn no_order_of_messages_syncs_and_crashes_breaks_a_register() {
    let states = std::env::var("EXPLORE_STATES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(STATES);
    let run = |(name, crashes, copies, calls): Scenario| {
        let from = std::time::Instant::now();
        let e = explore(
            World::new(Without::Nothing, crashes, copies, calls),
            DEPTH,
            states,
        );
        println!(
            "{name}: all orders of {} steps, {} states, {:.1} s",
            e.depth,
            e.states,
            from.elapsed().as_secs_f64()
        );
        (name, e.wrong)
    };
    let told: Vec<_> = std::thread::scope(|s| {
        let all = SCENARIOS.map(|one| s.spawn(move || run(one)));
        all.into_iter().map(|t| t.join().unwrap()).collect()
    });
    for (name, wrong) in told {
        expect_that!(wrong, none(), "{name}");
    }
}

/// Each mechanism is needed: without it the explorer comes upon what it is there for.
#[gtest]
fn without_one_mechanism_some_order_breaks_a_register() {
    type Case = (Without, u32, &'static [(usize, Request)]);
    let cases: [Case; 6] = [
        (Without::SyncBeforeAnswer, 2, &[(0, A), (1, B)]),
        (Without::ConfirmedRead, 0, &[(0, A), (1, NEXT), (0, Read)]),
        (Without::AcceptedInPromise, 0, &[(0, A), (1, B)]),
        (Without::PromiseKept, 0, &[(0, A), (1, B)]),
        (Without::Memory, 0, &[(0, A), (0, NEXT), (1, A)]),
        (Without::Majority, 0, &[(0, A), (1, B)]),
    ];
    let told: Vec<_> = std::thread::scope(|s| {
        let run = |(without, crashes, calls): Case| {
            (
                without,
                explore(World::new(without, crashes, 0, calls), DEPTH, 10 * STATES),
            )
        };
        let all = cases.map(|one| s.spawn(move || run(one)));
        all.into_iter().map(|t| t.join().unwrap()).collect()
    });
    for (without, e) in told {
        println!(
            "{without:?}: broken after {} steps, {} states",
            e.depth, e.states
        );
        expect_that!(
            e.wrong,
            some(anything()),
            "{without:?} is not seen to be needed in {} steps",
            e.depth
        );
    }
}
