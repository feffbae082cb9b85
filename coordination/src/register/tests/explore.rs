//! A bounded exhaustive model checker of one key's register: every order in which messages arrive, late, twice or never,
//! disks sync, voters crash, owners acquire the key and operators write, read and repeat, up to a depth. The registers
//! are the production ones; what is modelled is the network, the disks and the operators.
//!
//! States are told apart by a digest of all they hold that affects what follows, and each is visited once, breadth
//! first. `EXPLORE_STATES=n` goes further than CI does; `--nocapture` prints how far.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    sync::Arc,
};

use googletest::prelude::*;
use wire_messages::{Blob, Message};
use xxhash_rust::xxh3::xxh3_128;

use super::*;
use crate::WriteOutcome;

const KEY: &str = "spec";

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Request {
    Put {
        value: u8,
        /// The version that it expects.
        on: u64,
    },
    Read,
}
use Request::{Put, Read};

/// An outcome, and the step of the history at which it was reported.
#[derive(Clone, Copy, Debug)]
struct CallEnd {
    step: u64,
    outcome: WriteOutcome,
}

/// A request at one voter, and the steps of the history at which it began and ended.
#[derive(Clone, Debug)]
struct Call {
    at: usize,
    request: Request,
    began: Option<u64>,
    end: Option<CallEnd>,
}

/// A mechanism that is taken away, to see that it is needed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ablation {
    Nothing,
    /// A disk confirms before it has synced.
    SyncBeforeAnswer,
    /// An owner answers reads without asking whether it still is the owner.
    ConfirmedRead,
    /// A new owner does not learn what voters accepted.
    AcceptedInPromise,
    /// A voter accepts what an owner offers below its promise.
    PromiseKept,
    /// Which values were replaced is not known.
    History,
    /// Each voter is a majority of its own.
    Majority,
}

/// Rows that wait for the disk, and the effects that follow once they are synced.
#[derive(Clone, Debug)]
struct UnsyncedRows {
    rows: Vec<Row>,
    then: Effects,
}

#[derive(Clone)]
struct Node {
    registers: Registers,
    disk: BTreeMap<String, Row>,
    unsynced: VecDeque<UnsyncedRows>,
    /// Of all the above that affects what follows.
    digest: u128,
}

impl Node {
    fn update_digest(&mut self) {
        let registers = &self.registers;
        let text = format!(
            "{:?} {:?} {} {:?} {:?}",
            registers.slots.get(KEY),
            registers.ownerships.get(KEY),
            registers.epochs.highest(),
            self.disk,
            self.unsynced
        );
        self.digest = xxh3_128(text.as_bytes());
    }
}

/// A message in flight. Messages are in the order of their digests: that in which they were sent says nothing of when
/// they arrive.
#[derive(Clone)]
struct SentMessage {
    digest: u128,
    from: usize,
    to: usize,
    message: Arc<Message>,
}

#[derive(Clone)]
struct World {
    ablation: Ablation,
    /// Steps of the history: each beginning and end of a call is one. It is the voters' clock as well.
    step: u64,
    nodes: Vec<Arc<Node>>,
    in_flight: Vec<SentMessage>,
    calls: Vec<Call>,
    /// How many crashes and duplicated messages are still to come.
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
    fn new(ablation: Ablation, crashes: u32, copies: u32, calls: &[(usize, Request)]) -> Self {
        let node = |index| {
            let mut registers = voter(index);
            registers.skip_lease_wait();
            if ablation == Ablation::Majority {
                registers
                    .members
                    .voters
                    .retain(|voter| voter.name == name(index));
            }
            let row = registers.members_row();
            Arc::new(Node {
                registers,
                disk: [("members".to_string(), row)].into(),
                unsynced: VecDeque::new(),
                digest: 0,
            })
        };
        let call = |(at, request): &(usize, Request)| Call {
            at: *at,
            request: *request,
            began: None,
            end: None,
        };
        let calls = calls.iter().map(call).collect();
        World {
            ablation,
            step: 1,
            nodes: (0..VOTER_COUNT).map(node).collect(),
            in_flight: vec![],
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
        let messages = (0..self.in_flight.len())
            .filter(|i| *i == 0 || self.in_flight[*i].digest != self.in_flight[*i - 1].digest);
        let syncs = (0..VOTER_COUNT)
            .filter(|i| !self.nodes[*i].unsynced.is_empty())
            .map(Action::Sync);
        let crashes = (0..VOTER_COUNT)
            .filter(|_| self.crashes > 0)
            .map(Action::Crash);
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

    fn apply(&mut self, action: Action) {
        match action {
            Action::Call(call) => self.call(call),
            Action::Deliver(index) => {
                let sent = self.in_flight.remove(index);
                self.deliver(sent.from, sent.to, &sent.message);
            }
            Action::DeliverCopy(index) => {
                self.copies -= 1;
                let sent = self.in_flight[index].clone();
                self.deliver(sent.from, sent.to, &sent.message);
            }
            Action::Sync(at) => self.sync(at),
            Action::Crash(at) => self.crash(at),
        }
    }

    fn node(&mut self, at: usize) -> &mut Node {
        Arc::make_mut(&mut self.nodes[at])
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let digest = xxh3_128(format!("{from} {to} {message:?}").as_bytes());
        let index = self.in_flight.partition_point(|sent| sent.digest < digest);
        let sent = SentMessage {
            digest,
            from,
            to,
            message: Arc::new(message),
        };
        self.in_flight.insert(index, sent);
    }

    fn call(&mut self, index: usize) {
        self.step += 1;
        let Call { at, request, .. } = self.calls[index];
        let (step, token) = (self.step, index as u64 + 1);
        self.calls[index].began = Some(step);
        let mut out = vec![];
        let registers = &mut self.node(at).registers;
        match request {
            Put { value, on } => registers.propose(
                token,
                &KEY.into(),
                Some(on),
                Blob(vec![value]),
                step,
                &mut out,
            ),
            Read => registers.read(token, &KEY.into(), step, &mut out),
        }
        self.carry_out(at, out);
    }

    fn deliver(&mut self, from: usize, to: usize, message: &Message) {
        let (ablation, step, from) = (self.ablation, self.step, name(from));
        let registers = &mut self.node(to).registers;
        let mut out = vec![];
        match message.clone() {
            Message::Prepare(prepare) => registers.on_prepare(&from, prepare, step, &mut out),
            Message::Promise(mut promise) => {
                if ablation == Ablation::AcceptedInPromise && from != name(to) {
                    promise.slot = Slot {
                        key: promise.slot.key,
                        promised_epoch: promise.slot.promised_epoch,
                        ..Slot::default()
                    };
                }
                registers.on_promise(&from, promise, step, &mut out);
            }
            Message::Accept(accept) => {
                if ablation == Ablation::PromiseKept {
                    let slot = registers.slots.entry(&accept.key);
                    slot.promised_epoch = slot.promised_epoch.min(accept.epoch);
                    slot.accepted_epoch = slot.accepted_epoch.min(accept.epoch);
                }
                registers.on_accept(&from, accept, &mut out);
            }
            Message::Accepted(reply) => registers.on_accepted(&from, reply, step, &mut out),
            Message::Commit(commit) => {
                registers.on_commit(&commit.change, &commit.replaced, &mut out)
            }
            Message::RenewLeases(renewal) => registers.on_renew(&from, renewal, step, &mut out),
            Message::LeasesRenewed(renewed) => registers.on_renewed(&from, renewed, step, &mut out),
            _ => {}
        }
        self.carry_out(to, out);
    }

    fn carry_out(&mut self, at: usize, out: Effects) {
        for effect in out {
            match effect {
                // What a voter says to itself does not cross the network.
                Effect::Send { to, msg } if to == name(at) => self.deliver(at, at, &msg),
                Effect::Send { to, msg } => {
                    let to = (0..VOTER_COUNT).find(|index| name(*index) == to).unwrap();
                    self.send(at, to, msg);
                }
                Effect::Persist { rows, then } => self.persist(at, UnsyncedRows { rows, then }),
                Effect::WriteFinished { token, outcome } => {
                    self.step += 1;
                    let step = self.step;
                    self.calls[token as usize - 1].end = Some(CallEnd { step, outcome });
                }
                _ => {}
            }
        }
        self.ablate(at);
        let node = self.node(at);
        node.registers.newly_committed.clear();
        node.update_digest();
    }

    /// Takes away what a voter needs for the mechanism that is left out.
    fn ablate(&mut self, at: usize) {
        let ablation = self.ablation;
        let registers = &mut self.node(at).registers;
        match (
            ablation,
            registers.ownerships.get_mut(KEY),
            registers.slots.by_key.get_mut(KEY),
        ) {
            (Ablation::ConfirmedRead, Some(ownership), _) => {
                ownership.confirmed_by = (0..VOTER_COUNT)
                    .map(|index| (name(index), Ms::MAX / 2))
                    .collect();
            }
            (Ablation::History, _, Some(slot)) => {
                for replaced in &mut slot.replaced.0 {
                    replaced.digest = 0;
                }
            }
            _ => {}
        }
    }

    fn persist(&mut self, at: usize, mut unsynced: UnsyncedRows) {
        let early = match self.ablation {
            Ablation::SyncBeforeAnswer => std::mem::take(&mut unsynced.then),
            _ => vec![],
        };
        self.node(at).unsynced.push_back(unsynced);
        self.carry_out(at, early);
        self.sync_if_no_crash_is_left(at);
    }

    /// Without crashes to come a sync is nothing but another delay of what is sent after it.
    fn sync_if_no_crash_is_left(&mut self, at: usize) {
        while self.crashes == 0 && !self.nodes[at].unsynced.is_empty() {
            self.sync(at);
        }
    }

    fn sync(&mut self, at: usize) {
        let node = self.node(at);
        let Some(UnsyncedRows { rows, then }) = node.unsynced.pop_front() else {
            return;
        };
        for row in rows {
            node.disk.insert(row_key(&row), row);
        }
        self.carry_out(at, then);
    }

    /// Loses what is not synced and all that is not on the disk, and starts again.
    fn crash(&mut self, at: usize) {
        self.crashes -= 1;
        let step = self.step;
        let node = self.node(at);
        node.unsynced.clear();
        node.registers = Registers::new(
            name(at),
            at as u64 + 1,
            node.disk.values().cloned().collect(),
            LEASE_DURATION,
            step,
        );
        node.registers.skip_lease_wait();
        node.registers.newly_committed.clear();
        node.update_digest();
        for index in 0..VOTER_COUNT {
            self.sync_if_no_crash_is_left(index);
        }
    }

    /// What the history holds that no register could have done; none if it is linearizable as far as it was reported.
    fn violation(&self) -> Option<String> {
        let done: Vec<DoneCall> = self.calls.iter().filter_map(DoneCall::of).collect();
        done.iter()
            .find_map(|call| call.contradiction(&done))
            .or_else(|| lost_update(&done))
            .or_else(|| self.ambiguous_version())
    }

    /// A version that is known to be committed has one value, wherever it is known, and never that of a write which was
    /// rejected.
    fn ambiguous_version(&self) -> Option<String> {
        let committed: Vec<&Slot> = self
            .nodes
            .iter()
            .filter_map(|node| node.registers.slots.get(KEY))
            .filter(|slot| slot.version > 0 && slot.committed_version == slot.version)
            .collect();
        if let Some(ambiguous) = committed.iter().find(|slot| {
            committed
                .iter()
                .any(|other| slot.version == other.version && slot.value != other.value)
        }) {
            return Some(format!("version {} has two values", ambiguous.version));
        }
        let is_committed_though_rejected = |call: &&Call| match (call.request, call.end) {
            (
                Put { value, on },
                Some(CallEnd {
                    outcome: WriteOutcome::Conflict(_),
                    ..
                }),
            ) => committed
                .iter()
                .any(|slot| slot.version == on + 1 && slot.value.0 == [value]),
            _ => false,
        };
        self.calls
            .iter()
            .find(is_committed_though_rejected)
            .map(|call| format!("{call:?} was rejected and is committed"))
    }

    fn digest(&self) -> u128 {
        let history =
            xxh3_128(format!("{:?} {} {}", self.calls, self.crashes, self.copies).as_bytes());
        let all = self
            .nodes
            .iter()
            .map(|node| node.digest)
            .chain(self.in_flight.iter().map(|sent| sent.digest))
            .chain([history]);
        xxh3_128(&all.flat_map(u128::to_be_bytes).collect::<Vec<u8>>())
    }

    /// Whether a step has made no difference but that a message is gone: it might as well have been lost.
    fn changed_nothing_since(&self, before: &World) -> bool {
        let is_same = |(node, before): (&Arc<Node>, &Arc<Node>)| {
            Arc::ptr_eq(node, before) || node.digest == before.digest
        };
        self.step == before.step
            && self.crashes == before.crashes
            && self.in_flight.len() <= before.in_flight.len()
            && self.nodes.iter().zip(&before.nodes).all(is_same)
    }
}

/// A call that has ended with a clear outcome.
#[derive(Clone, Copy)]
struct DoneCall<'a> {
    call: &'a Call,
    end: CallEnd,
}

impl<'a> DoneCall<'a> {
    fn of(call: &'a Call) -> Option<Self> {
        let end = call.end.filter(|end| {
            !matches!(
                end.outcome,
                WriteOutcome::Unknown | WriteOutcome::NotAccepted(_)
            )
        })?;
        Some(DoneCall { call, end })
    }

    /// The version that was reported as current, or as written.
    fn version(&self) -> u64 {
        match self.end.outcome {
            WriteOutcome::Accepted(version) | WriteOutcome::Conflict(version) => version,
            WriteOutcome::NotAccepted(_) | WriteOutcome::Unknown => 0,
        }
    }

    /// What is wrong with the outcome of a write, by itself or next to that of another.
    fn contradiction(&self, done: &[DoneCall]) -> Option<String> {
        let call = self.call;
        let Put { value, on } = call.request else {
            return None;
        };
        match self.end.outcome {
            WriteOutcome::Accepted(version) if version != on + 1 => {
                Some(format!("{call:?} is accepted as {version}"))
            }
            WriteOutcome::Accepted(version) => {
                let is_rival = |other: &&DoneCall| matches!((other.call.request, other.end.outcome), (Put { value: other_value, .. }, WriteOutcome::Accepted(other_version)) if other_version == version && other_value != value);
                if let Some(rival) = done.iter().find(is_rival) {
                    return Some(format!("{call:?} and {:?} are both accepted", rival.call));
                }
                // The same order again is never rejected once it was accepted.
                let is_rejected_repeat = |other: &&DoneCall| {
                    other.call.request == call.request
                        && matches!(other.end.outcome, WriteOutcome::Conflict(_))
                };
                done.iter()
                    .find(is_rejected_repeat)
                    .map(|repeat| format!("{call:?} is accepted and {:?} is rejected", repeat.call))
            }
            WriteOutcome::Conflict(version) if version == on => Some(format!(
                "{call:?} is rejected though the version that it expects is current"
            )),
            _ => None,
        }
    }
}

/// A call that began after another had ended, and does not see what that one saw. A repeated order may: it is reported
/// with the version as which it was accepted.
fn lost_update(done: &[DoneCall]) -> Option<String> {
    for earlier in done {
        let began_later = |call: &&DoneCall| {
            call.call
                .began
                .is_some_and(|began| began > earlier.end.step)
        };
        for later in done.iter().filter(began_later) {
            let may_be_repeat = earlier.call.request != Read
                && matches!(
                    (later.call.request, later.end.outcome),
                    (Put { .. }, WriteOutcome::Accepted(_))
                );
            if later.version() < earlier.version() && !may_be_repeat {
                return Some(format!(
                    "{:?} ended before {:?} began",
                    earlier.call, later.call
                ));
            }
        }
    }
    None
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

/// What was visited: all orders of so many steps, the states that they led to, and the first violation.
struct Explored {
    depth: u32,
    states: usize,
    violation: Option<String>,
}

/// Visits all orders, the shortest first, until something is violated, none is left, or a bound is reached.
fn explore(world: World, max_depth: u32, max_states: usize) -> Explored {
    let mut seen = HashSet::from([world.digest()]);
    let mut states: Vec<(World, Trace)> = vec![(world, None)];
    for depth in 0..max_depth {
        let mut next = vec![];
        for (world, trace) in &states {
            for action in world.actions() {
                let mut after = world.clone();
                after.apply(action);
                if after.changed_nothing_since(world) || !seen.insert(after.digest()) {
                    continue;
                }
                let trace = Some(Arc::new(Step {
                    action,
                    before: trace.clone(),
                }));
                if let Some(violation) = after.violation() {
                    return Explored {
                        depth: depth + 1,
                        states: seen.len(),
                        violation: Some(format!(
                            "{violation}\n{:#?}\n{:#?}",
                            steps(&trace),
                            after.calls
                        )),
                    };
                }
                // Nothing more can be reported once all calls have ended.
                if after.calls.iter().any(|call| call.end.is_none()) {
                    next.push((after, trace));
                }
            }
            if seen.len() >= max_states {
                return Explored {
                    depth,
                    states: seen.len(),
                    violation: None,
                };
            }
        }
        states = next;
    }
    Explored {
        depth: max_depth,
        states: seen.len(),
        violation: None,
    }
}

/// States that a run in CI visits at most, for each scenario: some ten seconds.
const MAX_STATES: usize = 150_000;

const FIRST_WRITE: Request = Put { value: 1, on: 0 };
const RIVAL_WRITE: Request = Put { value: 2, on: 0 };
const NEXT_WRITE: Request = Put { value: 3, on: 1 };

/// What is explored.
struct Scenario {
    name: &'static str,
    crashes: u32,
    /// Messages that arrive twice.
    copies: u32,
    /// Which voter is asked for what, in the order in which the calls begin.
    calls: &'static [(usize, Request)],
}

const SCENARIOS: [Scenario; 6] = [
    Scenario {
        name: "two owners write on one version, and one reads",
        crashes: 0,
        copies: 0,
        calls: &[(0, FIRST_WRITE), (1, RIVAL_WRITE), (2, Read)],
    },
    Scenario {
        name: "an owner writes, is replaced, and both read",
        crashes: 0,
        copies: 0,
        calls: &[(0, FIRST_WRITE), (1, Read), (0, Read)],
    },
    Scenario {
        name: "a write is repeated elsewhere after another replaced it",
        crashes: 0,
        copies: 0,
        calls: &[(0, FIRST_WRITE), (0, NEXT_WRITE), (1, FIRST_WRITE)],
    },
    Scenario {
        name: "one crashes while two owners write",
        crashes: 1,
        copies: 0,
        calls: &[(0, FIRST_WRITE), (1, RIVAL_WRITE)],
    },
    Scenario {
        name: "one crashes around a write and a read",
        crashes: 1,
        copies: 0,
        calls: &[(0, FIRST_WRITE), (1, Read)],
    },
    Scenario {
        name: "a message arrives twice while two owners write",
        crashes: 0,
        copies: 1,
        calls: &[(0, FIRST_WRITE), (1, RIVAL_WRITE)],
    },
];

/// No order of events is longer: each scenario ends before.
const MAX_DEPTH: u32 = 64;

#[gtest]
fn no_order_of_messages_syncs_and_crashes_violates_linearizability() {
    let max_states = std::env::var("EXPLORE_STATES")
        .ok()
        .and_then(|states| states.parse().ok())
        .unwrap_or(MAX_STATES);
    let run = |scenario: Scenario| {
        let started = std::time::Instant::now();
        let world = World::new(
            Ablation::Nothing,
            scenario.crashes,
            scenario.copies,
            scenario.calls,
        );
        let explored = explore(world, MAX_DEPTH, max_states);
        println!(
            "{}: all orders of {} steps, {} states, {:.1} s",
            scenario.name,
            explored.depth,
            explored.states,
            started.elapsed().as_secs_f64()
        );
        (scenario.name, explored.violation)
    };
    let violations: Vec<_> = std::thread::scope(|scope| {
        let threads = SCENARIOS.map(|scenario| scope.spawn(move || run(scenario)));
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    for (name, violation) in violations {
        expect_that!(violation, none(), "{name}");
    }
}

/// Each mechanism is needed: once it is taken away the explorer finds the violation that it prevents.
#[gtest]
fn each_mechanism_taken_away_violates_linearizability_in_some_order() {
    type Case = (Ablation, u32, &'static [(usize, Request)]);
    let cases: [Case; 6] = [
        (
            Ablation::SyncBeforeAnswer,
            2,
            &[(0, FIRST_WRITE), (1, RIVAL_WRITE)],
        ),
        (
            Ablation::ConfirmedRead,
            0,
            &[(0, FIRST_WRITE), (1, NEXT_WRITE), (0, Read)],
        ),
        (
            Ablation::AcceptedInPromise,
            0,
            &[(0, FIRST_WRITE), (1, RIVAL_WRITE)],
        ),
        (
            Ablation::PromiseKept,
            0,
            &[(0, FIRST_WRITE), (1, RIVAL_WRITE)],
        ),
        (
            Ablation::History,
            0,
            &[(0, FIRST_WRITE), (0, NEXT_WRITE), (1, FIRST_WRITE)],
        ),
        (Ablation::Majority, 0, &[(0, FIRST_WRITE), (1, RIVAL_WRITE)]),
    ];
    let explored: Vec<_> = std::thread::scope(|scope| {
        let run = |(ablation, crashes, calls): Case| {
            let world = World::new(ablation, crashes, 0, calls);
            (ablation, explore(world, MAX_DEPTH, 10 * MAX_STATES))
        };
        let threads = cases.map(|case| scope.spawn(move || run(case)));
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    for (ablation, explored) in explored {
        println!(
            "{ablation:?}: violated after {} steps, {} states",
            explored.depth, explored.states
        );
        expect_that!(
            explored.violation,
            some(anything()),
            "{ablation:?} is not seen to be needed in {} steps",
            explored.depth
        );
    }
}
