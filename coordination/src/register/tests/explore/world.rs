//! The modelled system: voters and joiners with their disks, the network, the operators, and the possible next actions.

use super::{
    history::{Call, CallEnd, Request, find_returned_order, find_violation},
    *,
};
use crate::voter_placement;

pub(super) const KEY: &str = "spec";

/// A mechanism that is left out, to show that it is necessary.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Ablation {
    Nothing,
    /// A disk confirms a write before it has synced.
    SyncBeforeAnswer,
    /// An owner answers reads without confirming its ownership with a majority.
    ConfirmedRead,
    /// Promises do not carry the value that the voter accepted.
    AcceptedInPromise,
    /// A voter accepts values with an epoch below its promise.
    PromiseKept,
    /// Voters do not know which values were replaced.
    History,
    /// Each voter alone counts as a majority.
    Majority,
    /// A joiner votes as soon as it is listed as a voter.
    CatchUpBeforeVote,
    /// Votes of any member epoch count, including those of a removed voter.
    MemberEpochInVote,
    /// A joiner votes after reading a single former voter.
    MajorityOfFormerVoters,
    /// A joiner reads voters that have not closed the former member epoch.
    ClosedMemberEpoch,
}

/// A step before the exploration, with messages delivered and disks synced immediately.
#[derive(Clone, Copy, Debug)]
pub(super) enum Setup {
    /// Sends a request to a daemon.
    Call(usize, Request),
    /// Sends a request to a daemon; the resulting commits do not reach the other voters.
    CallWithLostCommits(usize, Request),
    /// A joiner reads the slots of all other daemons.
    Join(usize),
    /// Drops all messages from and to this daemon until the exploration begins.
    Partition(usize),
}

/// Initial state, faults and calls of an exploration.
#[derive(Clone, Copy)]
pub(super) struct Scenario {
    pub(super) name: &'static str,
    pub(super) voters: usize,
    /// Further daemons, with blank disks.
    pub(super) joiners: usize,
    pub(super) crashes: u32,
    /// Number of messages that may be delivered twice.
    pub(super) copies: u32,
    /// A voter that may restart with a blank disk at any time.
    pub(super) wiped: Option<usize>,
    /// Number of slot requests of joiners, each to one other daemon.
    pub(super) slots_requests: u32,
    /// Steps before the exploration.
    pub(super) prologue: &'static [Setup],
    /// The called daemon and the request of each call, in the order in which the calls begin.
    pub(super) calls: &'static [(usize, Request)],
}

/// Three voters without faults and calls: the base of other scenarios.
pub(super) const NO_FAULTS: Scenario = Scenario {
    name: "",
    voters: 3,
    joiners: 0,
    crashes: 0,
    copies: 0,
    wiped: None,
    slots_requests: 0,
    prologue: &[],
    calls: &[],
};

/// Rows not yet synced to disk, and the effects to execute once they are.
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
    /// Digest of the parts of the fields above that affect later steps.
    digest: u128,
}

impl Node {
    fn new(index: usize, disk_id: u64, rows: Vec<Row>) -> Self {
        let disk = rows.iter().map(|row| (row_key(row), row.clone())).collect();
        let mut registers = Registers::new(name(index), disk_id, rows, LEASE_DURATION, 0);
        registers.skip_lease_wait();
        Node {
            registers,
            disk,
            unsynced: VecDeque::new(),
            digest: 0,
        }
    }

    fn update_digest(&mut self) {
        let registers = &self.registers;
        let text = format!(
            "{:?} {:?} {} {:?} {:?} {:?} {:?}",
            registers.slots,
            registers.ownerships,
            registers.epochs.highest(),
            registers.members,
            registers.catch_up,
            self.disk,
            self.unsynced
        );
        self.digest = xxh3_128(text.as_bytes());
    }

    fn is_voting(&self) -> bool {
        self.registers.members.voting
    }
}

/// A message in flight. Messages are ordered by digest, since the order in which they were sent does not determine the
/// order of delivery.
#[derive(Clone)]
struct SentMessage {
    digest: u128,
    from: usize,
    to: usize,
    message: Arc<Message>,
}

/// Remaining number of each bounded action.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Budget {
    crashes: u32,
    copies: u32,
    slots_requests: u32,
    wiped: Option<usize>,
}

#[derive(Clone)]
pub(super) struct World {
    ablation: Ablation,
    /// Current step of the history, which counts each beginning and end of a call. Serves as the voters' clock as well.
    step: u64,
    nodes: Vec<Arc<Node>>,
    in_flight: Vec<SentMessage>,
    calls: Vec<Call>,
    budget: Budget,
}

/// A possible next action.
#[derive(Clone, Copy, Debug)]
pub(super) enum Action {
    Call(usize),
    Deliver(usize),
    /// Delivers a message and keeps a copy in flight.
    DeliverCopy(usize),
    Sync(usize),
    Crash(usize),
    /// A joiner requests the slots of a daemon. The request arrives immediately: a delayed arrival is equivalent to a
    /// later request.
    RequestSlots {
        at: usize,
        from: usize,
    },
    Wipe(usize),
}

fn voter_row(voter_count: usize, ablation: Ablation, index: usize) -> Row {
    let mut voters = voters_of(voter_count);
    if ablation == Ablation::Majority {
        voters.retain(|voter| voter.name == name(index));
    }
    Row::Members {
        member_epoch: 1,
        before: 0,
        voters,
        voting: true,
        left: false,
    }
}

impl World {
    pub(super) fn new(ablation: Ablation, scenario: &Scenario) -> Self {
        let node = |index| {
            let rows = match index < scenario.voters {
                true => vec![voter_row(scenario.voters, ablation, index)],
                false => vec![],
            };
            Arc::new(Node::new(index, index as u64 + 1, rows))
        };
        let mut world = World {
            ablation,
            step: 1,
            nodes: (0..scenario.voters + scenario.joiners).map(node).collect(),
            in_flight: vec![],
            calls: vec![],
            // Without crashes in the budget, the steps of the prologue are synced immediately.
            budget: Budget::default(),
        };
        world.run_prologue(scenario.prologue);
        world.calls.extend(scenario.calls.iter().map(Call::new));
        world.budget = Budget {
            crashes: scenario.crashes,
            copies: scenario.copies,
            slots_requests: scenario.slots_requests,
            wiped: scenario.wiped,
        };
        world
    }

    fn run_prologue(&mut self, prologue: &[Setup]) {
        let mut partitioned = vec![];
        for setup in prologue {
            match *setup {
                Setup::Call(at, request) | Setup::CallWithLostCommits(at, request) => {
                    self.calls.push(Call::new(&(at, request)));
                    self.call(self.calls.len() - 1);
                }
                Setup::Join(at) => {
                    let others: Vec<usize> = self.indices().filter(|from| *from != at).collect();
                    self.budget.slots_requests = others.len() as u32;
                    for from in others {
                        self.request_slots(at, from);
                    }
                }
                Setup::Partition(at) => partitioned.push(at),
            }
            let drops_commits = matches!(setup, Setup::CallWithLostCommits(..));
            self.deliver_all(&partitioned, drops_commits);
        }
    }

    fn deliver_all(&mut self, partitioned: &[usize], drops_commits: bool) {
        while let Some(sent) = self.in_flight.pop() {
            let is_lost_commit = drops_commits
                && matches!(&*sent.message, Message::Commit(_))
                && self.nodes[sent.to].is_voting();
            let is_partitioned = partitioned.contains(&sent.from) || partitioned.contains(&sent.to);
            if !is_lost_commit && !is_partitioned {
                self.deliver(sent.from, sent.to, &sent.message);
            }
        }
    }

    /// Returns whether a call has not ended, so that its outcome may still be reported.
    pub(super) fn has_open_calls(&self) -> bool {
        self.calls.iter().any(|call| call.end.is_none())
    }

    pub(super) fn calls(&self) -> &[Call] {
        &self.calls
    }

    fn indices(&self) -> std::ops::Range<usize> {
        0..self.nodes.len()
    }

    pub(super) fn actions(&self) -> Vec<Action> {
        // Calls begin in order, so that only the first that has not begun is a choice. A non-voter would reject it.
        let calls = (0..self.calls.len())
            .filter(|i| self.calls[*i].began.is_none())
            .take(1)
            .filter(|i| self.nodes[self.calls[*i].at].is_voting())
            .map(Action::Call);
        let messages = (0..self.in_flight.len())
            .filter(|i| *i == 0 || self.in_flight[*i].digest != self.in_flight[*i - 1].digest);
        let syncs = self
            .indices()
            .filter(|i| !self.nodes[*i].unsynced.is_empty())
            .map(Action::Sync);
        let crashes = self
            .indices()
            .filter(|_| self.budget.crashes > 0)
            .map(Action::Crash);
        let copies = messages
            .clone()
            .filter(|_| self.budget.copies > 0)
            .map(Action::DeliverCopy);
        calls
            .chain(messages.map(Action::Deliver))
            .chain(syncs)
            .chain(crashes)
            .chain(copies)
            .chain(self.budget.wiped.map(Action::Wipe))
            .chain(self.slots_requests())
            .collect()
    }

    fn slots_requests(&self) -> Vec<Action> {
        if self.budget.slots_requests == 0 {
            return vec![];
        }
        let is_catching_up = |at: &usize| {
            let registers = &self.nodes[*at].registers;
            registers.is_listed_voter() && !registers.members.voting
        };
        let sources = |at: usize| {
            let registers = &self.nodes[at].registers;
            self.indices()
                .filter(move |from| *from != at && !registers.has_caught_up_from(&name(*from)))
                .map(move |from| Action::RequestSlots { at, from })
        };
        self.indices()
            .filter(is_catching_up)
            .flat_map(sources)
            .collect()
    }

    pub(super) fn apply(&mut self, action: Action) {
        match action {
            Action::Call(call) => self.call(call),
            Action::Deliver(index) => {
                let sent = self.in_flight.remove(index);
                self.deliver(sent.from, sent.to, &sent.message);
            }
            Action::DeliverCopy(index) => {
                self.budget.copies -= 1;
                let sent = self.in_flight[index].clone();
                self.deliver(sent.from, sent.to, &sent.message);
            }
            Action::Sync(at) => self.sync(at),
            Action::Crash(at) => self.crash(at),
            Action::RequestSlots { at, from } => self.request_slots(at, from),
            Action::Wipe(at) => self.wipe(at),
        }
    }

    fn node(&mut self, at: usize) -> &mut Node {
        Arc::make_mut(&mut self.nodes[at])
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_commit_of_key =
            matches!(&message, Message::Commit(commit) if &*commit.change.key == KEY);
        // A joiner receives the key's value with the slots that it reads, so this message is treated as lost.
        if is_commit_of_key && !self.nodes[to].registers.is_listed_voter() {
            return;
        }
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
        let next_voters = match request {
            Request::ChangeVoters(indices) => self.voters_at(at, indices),
            _ => vec![],
        };
        let mut out = vec![];
        let registers = &mut self.node(at).registers;
        match request {
            Request::Put { value, on } => {
                let value = Blob(vec![value]);
                registers.propose(token, &KEY.into(), Some(on), value, step, &mut out);
            }
            Request::Overwrite { value } => {
                let known = registers
                    .slots
                    .get(KEY)
                    .map_or(0, |slot| slot.committed_version);
                let expect = Expect::UnchangedSince(known);
                let value = Blob(vec![value]);
                registers.propose(token, &KEY.into(), expect, value, step, &mut out);
            }
            Request::Read => registers.read(token, &KEY.into(), step, &mut out),
            Request::ReadMembers => registers.read(token, &MEMBERS_KEY.into(), step, &mut out),
            Request::ChangeVoters(_) => {
                let members = &registers.members;
                let on = u64::from(members.member_epoch) - 1;
                let value = voter_placement::encode(members.voters.len() as u32, &next_voters);
                registers.propose(token, &MEMBERS_KEY.into(), Some(on), value, step, &mut out);
            }
        }
        self.execute(at, out);
    }

    /// Returns the daemons with these indices as the next voters, based on the voters known to daemon `at`.
    fn voters_at(&self, at: usize, indices: &[usize]) -> Vec<Voter> {
        let members = &self.nodes[at].registers.members;
        let voter = |index: &usize| {
            let disk_id = self.nodes[*index].registers.disk_id();
            let mut present = members.voters.iter();
            let kept = present.find(|voter| voter.disk_id == disk_id).cloned();
            kept.unwrap_or(Voter {
                name: name(*index),
                disk_id,
                addr: name(*index),
                since_epoch: members.member_epoch + 1,
                ..Voter::default()
            })
        };
        indices.iter().map(voter).collect()
    }

    fn deliver(&mut self, from: usize, to: usize, message: &Message) {
        let (ablation, step, from_name) = (self.ablation, self.step, name(from));
        let registers = &mut self.node(to).registers;
        let mut out = vec![];
        match ablated(message.clone(), ablation, registers, from == to) {
            Message::Prepare(prepare) => registers.on_prepare(&from_name, prepare, step, &mut out),
            Message::Promise(promise) => registers.on_promise(&from_name, promise, step, &mut out),
            Message::Accept(accept) => {
                if ablation == Ablation::PromiseKept {
                    let slot = registers.slots.entry(&accept.key);
                    slot.promised_epoch = slot.promised_epoch.min(accept.epoch);
                    slot.accepted_epoch = slot.accepted_epoch.min(accept.epoch);
                }
                registers.on_accept(&from_name, accept, &mut out);
            }
            Message::Accepted(reply) => registers.on_accepted(&from_name, reply, step, &mut out),
            Message::Commit(commit) => {
                registers.on_commit(&commit.change, &commit.replaced, &mut out);
            }
            Message::RenewLeases(renewal) => {
                registers.on_renew(&from_name, renewal, step, &mut out);
            }
            Message::LeasesRenewed(renewed) => {
                registers.on_renewed(&from_name, renewed, step, &mut out);
            }
            Message::SlotsReply(reply) => {
                registers.on_slots_reply(&from_name, reply, step, &mut out);
            }
            _ => {}
        }
        self.execute(to, out);
    }

    fn request_slots(&mut self, at: usize, from: usize) {
        self.budget.slots_requests -= 1;
        let request = self.nodes[at].registers.slots_request();
        let (step, mut out) = (self.step, vec![]);
        let registers = &mut self.node(from).registers;
        registers.on_slots_request(&name(at), request, step, &mut out);
        self.execute(from, out);
    }

    fn execute(&mut self, at: usize, out: Effects) {
        for effect in out {
            match effect {
                // Messages of a voter to itself do not cross the network.
                Effect::Send { to, msg } if to == name(at) => self.deliver(at, at, &msg),
                Effect::Send { to, msg } => {
                    let to = self.indices().find(|index| name(*index) == to).unwrap();
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
        self.adopt_members_and_followers(at);
        self.ablate(at);
        self.node(at).update_digest();
    }

    /// Adopts the committed voters and makes all non-voters followers, which receive commits.
    fn adopt_members_and_followers(&mut self, at: usize) {
        let mut out = vec![];
        let all: Vec<Name> = self.indices().map(name).collect();
        let registers = &mut self.node(at).registers;
        registers.adopt_committed_voters(&mut out);
        registers.newly_committed.clear();
        let members = &registers.members;
        registers.followers = all
            .into_iter()
            .filter(|daemon| !members.has_voter(daemon))
            .collect();
        if !out.is_empty() {
            self.execute(at, out);
        }
    }

    /// Removes the state of a voter that the left-out mechanism depends on.
    fn ablate(&mut self, at: usize) {
        let (ablation, all) = (self.ablation, self.indices());
        let registers = &mut self.node(at).registers;
        let has_read_one = || {
            all.clone()
                .any(|index| registers.has_caught_up_from(&name(index)))
        };
        let votes_early = match ablation {
            Ablation::CatchUpBeforeVote => registers.is_listed_voter(),
            Ablation::MajorityOfFormerVoters => registers.is_listed_voter() && has_read_one(),
            Ablation::MemberEpochInVote => registers.members.retired,
            _ => false,
        };
        registers.members.voting |= votes_early;
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
        self.execute(at, early);
        self.sync_unless_crash_is_possible(at);
    }

    /// Syncs immediately if no crash can follow: a later sync would only delay the messages sent after it.
    fn sync_unless_crash_is_possible(&mut self, at: usize) {
        while self.budget.crashes == 0 && !self.nodes[at].unsynced.is_empty() {
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
        self.execute(at, then);
    }

    /// Drops unsynced rows and all state in memory, and restarts the node from its disk.
    fn crash(&mut self, at: usize) {
        self.budget.crashes -= 1;
        let node = self.node(at);
        let disk_id = node.registers.disk_id();
        let rows = node.disk.values().cloned().collect();
        *node = Node::new(at, disk_id, rows);
        self.restart(at);
        for index in self.indices() {
            self.sync_unless_crash_is_possible(index);
        }
    }

    /// Restarts the node with a blank disk, which has a new disk id.
    fn wipe(&mut self, at: usize) {
        self.budget.wiped = None;
        let disk_id = (self.nodes.len() + at) as u64 + 1;
        *self.node(at) = Node::new(at, disk_id, vec![]);
        self.restart(at);
    }

    fn restart(&mut self, at: usize) {
        let node = self.node(at);
        node.registers.newly_committed.clear();
        node.update_digest();
        self.adopt_members_and_followers(at);
    }

    /// Describes the first violation of linearizability in the reported history or the committed slots, if any.
    pub(super) fn violation(&self) -> Option<String> {
        find_violation(&self.calls)
            .or_else(|| self.find_ambiguous_version(KEY))
            .or_else(|| self.find_ambiguous_version(MEMBERS_KEY))
            .or_else(|| self.find_committed_rejected_write())
            .or_else(|| self.find_returned_order())
    }

    /// Describes a committed order that returned behind a later acknowledged one.
    fn find_returned_order(&self) -> Option<String> {
        self.committed_slots(KEY)
            .into_iter()
            .find_map(|slot| find_returned_order(&self.calls, slot.version, slot.value.0[0]))
    }

    fn committed_slots(&self, key: &str) -> Vec<&Slot> {
        self.nodes
            .iter()
            .filter_map(|node| node.registers.slots.get(key))
            .filter(|slot| slot.version > 0 && slot.committed_version == slot.version)
            .collect()
    }

    /// Describes a version that is known to be committed with two different values.
    fn find_ambiguous_version(&self, key: &str) -> Option<String> {
        let committed = self.committed_slots(key);
        let has_rival = |slot: &&&Slot| {
            committed
                .iter()
                .any(|other| slot.version == other.version && slot.value != other.value)
        };
        let ambiguous = committed.iter().find(has_rival)?;
        Some(format!(
            "version {} of {key} has two values",
            ambiguous.version
        ))
    }

    /// Describes a committed value whose write was rejected.
    fn find_committed_rejected_write(&self) -> Option<String> {
        let committed = self.committed_slots(KEY);
        let is_committed_though_rejected = |call: &&Call| match (call.request, call.end) {
            (
                Request::Put { value, on },
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
            .map(|call| format!("{call:?} was rejected but is committed"))
    }

    pub(super) fn digest(&self) -> u128 {
        let history = xxh3_128(format!("{:?} {:?}", self.calls, self.budget).as_bytes());
        let all = self
            .nodes
            .iter()
            .map(|node| node.digest)
            .chain(self.in_flight.iter().map(|sent| sent.digest))
            .chain([history]);
        xxh3_128(&all.flat_map(u128::to_be_bytes).collect::<Vec<u8>>())
    }

    /// Returns whether a step changed nothing but removed a message, which is equivalent to losing the message. A step
    /// that replaced the message by a reply is no such step.
    pub(super) fn changed_nothing_since(&self, before: &World) -> bool {
        let is_same = |(node, before): (&Arc<Node>, &Arc<Node>)| {
            Arc::ptr_eq(node, before) || node.digest == before.digest
        };
        self.step == before.step
            && self.budget == before.budget
            && self.in_flight.len() < before.in_flight.len()
            && self.nodes.iter().zip(&before.nodes).all(is_same)
    }
}

/// Returns the message as it is delivered when a mechanism is left out.
fn ablated(
    mut message: Message,
    ablation: Ablation,
    registers: &Registers,
    is_own: bool,
) -> Message {
    let member_epoch = registers.members.member_epoch;
    match (ablation, &mut message) {
        (Ablation::AcceptedInPromise, Message::Promise(promise)) if !is_own => {
            promise.slot = Slot {
                key: promise.slot.key.clone(),
                promised_epoch: promise.slot.promised_epoch,
                ..Slot::default()
            };
        }
        (Ablation::MemberEpochInVote, Message::Prepare(vote)) => vote.member_epoch = member_epoch,
        (Ablation::MemberEpochInVote, Message::Promise(vote)) => vote.member_epoch = member_epoch,
        (Ablation::MemberEpochInVote, Message::Accept(vote)) => vote.member_epoch = member_epoch,
        (Ablation::MemberEpochInVote, Message::Accepted(vote)) => vote.member_epoch = member_epoch,
        (Ablation::ClosedMemberEpoch, Message::SlotsReply(reply)) => {
            reply.member_epoch = member_epoch;
        }
        _ => {}
    }
    message
}
