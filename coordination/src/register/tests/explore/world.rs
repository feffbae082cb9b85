//! The modelled world: voters and joiners with their disks, the network, the operators, and what may happen next.

use super::{
    history::{Call, CallEnd, Request, contradiction_among},
    *,
};
use crate::voter_placement;

pub(super) const KEY: &str = "spec";

/// A mechanism that is taken away, to see that it is needed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Ablation {
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
    /// A new voter votes as soon as it is listed.
    CatchUpBeforeVote,
    /// Votes count whatever member epoch they are of, also those of a voter that has lost its place.
    MemberEpochInVote,
    /// A new voter votes once it has read one former voter.
    MajorityOfFormerVoters,
    /// A new voter reads voters that have not ended the former member epoch.
    ClosedMemberEpoch,
}

/// A step before the exploration: its messages are delivered at once, and all disks are synced.
#[derive(Clone, Copy, Debug)]
pub(super) enum Setup {
    /// A daemon is asked for something.
    Call(usize, Request),
    /// The same, but no other voter learns of what it commits.
    CallWithLostCommits(usize, Request),
    /// A new voter reads all others.
    Join(usize),
    /// Messages from and to this daemon are lost until the exploration begins.
    CutOff(usize),
}

/// What is explored.
#[derive(Clone, Copy)]
pub(super) struct Scenario {
    pub(super) name: &'static str,
    pub(super) voters: usize,
    /// Further daemons, with blank disks.
    pub(super) joiners: usize,
    pub(super) crashes: u32,
    /// Messages that arrive twice.
    pub(super) copies: u32,
    /// A voter that comes back with a blank disk, at any time.
    pub(super) wiped: Option<usize>,
    /// How often new voters ask one other daemon for its slots.
    pub(super) slots_requests: u32,
    /// Done before anything else.
    pub(super) prologue: &'static [Setup],
    /// Which daemon is asked for what, in the order in which the calls begin.
    pub(super) calls: &'static [(usize, Request)],
}

/// Three voters that nothing happens to.
pub(super) const CALM: Scenario = Scenario {
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

/// A message in flight. Messages are in the order of their digests: that in which they were sent says nothing of when
/// they arrive.
#[derive(Clone)]
struct SentMessage {
    digest: u128,
    from: usize,
    to: usize,
    message: Arc<Message>,
}

/// What is still to come, as far as it is bounded.
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
    /// Steps of the history: each beginning and end of a call is one. It is the voters' clock as well.
    step: u64,
    nodes: Vec<Arc<Node>>,
    in_flight: Vec<SentMessage>,
    calls: Vec<Call>,
    budget: Budget,
}

/// One thing that may happen next.
#[derive(Clone, Copy, Debug)]
pub(super) enum Action {
    Call(usize),
    Deliver(usize),
    /// Delivers a message and keeps a copy of it on its way.
    DeliverCopy(usize),
    Sync(usize),
    Crash(usize),
    /// A new voter asks a daemon for its slots. The question arrives at once: later is as if it were asked later.
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
            // What happens in the prologue is synced at once.
            budget: Budget::default(),
        };
        world.play(scenario.prologue);
        world.calls.extend(scenario.calls.iter().map(Call::of));
        world.budget = Budget {
            crashes: scenario.crashes,
            copies: scenario.copies,
            slots_requests: scenario.slots_requests,
            wiped: scenario.wiped,
        };
        world
    }

    fn play(&mut self, prologue: &[Setup]) {
        let mut cut_off = vec![];
        for setup in prologue {
            match *setup {
                Setup::Call(at, request) | Setup::CallWithLostCommits(at, request) => {
                    self.calls.push(Call::of(&(at, request)));
                    self.call(self.calls.len() - 1);
                }
                Setup::Join(at) => {
                    let others: Vec<usize> = self.indices().filter(|from| *from != at).collect();
                    self.budget.slots_requests = others.len() as u32;
                    for from in others {
                        self.request_slots(at, from);
                    }
                }
                Setup::CutOff(at) => cut_off.push(at),
            }
            let loses_commits = matches!(setup, Setup::CallWithLostCommits(..));
            self.deliver_all(&cut_off, loses_commits);
        }
    }

    fn deliver_all(&mut self, cut_off: &[usize], loses_commits: bool) {
        while let Some(sent) = self.in_flight.pop() {
            let is_lost_commit = loses_commits
                && matches!(&*sent.message, Message::Commit(_))
                && self.nodes[sent.to].is_voting();
            let is_cut_off = cut_off.contains(&sent.from) || cut_off.contains(&sent.to);
            if !is_lost_commit && !is_cut_off {
                self.deliver(sent.from, sent.to, &sent.message);
            }
        }
    }

    /// Whether calls have not ended yet, so that more can be reported.
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
        // A call that is the same as one before it and has not begun is the same choice. Who does not vote rejects it.
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
        // A joiner learns the key's value with the slots that it reads: as if this message were lost.
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
            Request::Read => registers.read(token, &KEY.into(), step, &mut out),
            Request::ReadMembers => registers.read(token, &MEMBERS_KEY.into(), step, &mut out),
            Request::ChangeVoters(_) => {
                let members = &registers.members;
                let on = u64::from(members.member_epoch) - 1;
                let value = voter_placement::encode(members.voters.len() as u32, &next_voters);
                registers.propose(token, &MEMBERS_KEY.into(), Some(on), value, step, &mut out);
            }
        }
        self.carry_out(at, out);
    }

    /// The daemons of these indices as the voters after those that a daemon knows.
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
        self.carry_out(to, out);
    }

    fn request_slots(&mut self, at: usize, from: usize) {
        self.budget.slots_requests -= 1;
        let request = self.nodes[at].registers.slots_request();
        let (step, mut out) = (self.step, vec![]);
        let registers = &mut self.node(from).registers;
        registers.on_slots_request(&name(at), request, step, &mut out);
        self.carry_out(from, out);
    }

    fn carry_out(&mut self, at: usize, out: Effects) {
        for effect in out {
            match effect {
                // What a voter says to itself does not cross the network.
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
        self.follow_members(at);
        self.ablate(at);
        self.node(at).update_digest();
    }

    /// Adopts committed voters, and has commits sent to those that do not vote.
    fn follow_members(&mut self, at: usize) {
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
            self.carry_out(at, out);
        }
    }

    /// Takes away what a voter needs for the mechanism that is left out.
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
        self.carry_out(at, early);
        self.sync_if_no_crash_is_left(at);
    }

    /// Without crashes to come a sync is nothing but another delay of what is sent after it.
    fn sync_if_no_crash_is_left(&mut self, at: usize) {
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
        self.carry_out(at, then);
    }

    /// Loses what is not synced and all that is not on the disk, and starts again.
    fn crash(&mut self, at: usize) {
        self.budget.crashes -= 1;
        let node = self.node(at);
        let disk_id = node.registers.disk_id();
        let rows = node.disk.values().cloned().collect();
        *node = Node::new(at, disk_id, rows);
        self.start_again(at);
        for index in self.indices() {
            self.sync_if_no_crash_is_left(index);
        }
    }

    /// Comes back with a blank disk, which has another number.
    fn wipe(&mut self, at: usize) {
        self.budget.wiped = None;
        let disk_id = (self.nodes.len() + at) as u64 + 1;
        *self.node(at) = Node::new(at, disk_id, vec![]);
        self.start_again(at);
    }

    fn start_again(&mut self, at: usize) {
        let node = self.node(at);
        node.registers.newly_committed.clear();
        node.update_digest();
        self.follow_members(at);
    }

    /// What the history holds that no register could have done; none if it is linearizable as far as it was reported.
    pub(super) fn violation(&self) -> Option<String> {
        contradiction_among(&self.calls)
            .or_else(|| self.ambiguous_version(KEY))
            .or_else(|| self.ambiguous_version(MEMBERS_KEY))
            .or_else(|| self.committed_rejected_write())
    }

    fn committed_slots(&self, key: &str) -> Vec<&Slot> {
        self.nodes
            .iter()
            .filter_map(|node| node.registers.slots.get(key))
            .filter(|slot| slot.version > 0 && slot.committed_version == slot.version)
            .collect()
    }

    /// A version that is known to be committed has one value, wherever it is known.
    fn ambiguous_version(&self, key: &str) -> Option<String> {
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

    /// A committed value is never that of a write which was rejected.
    fn committed_rejected_write(&self) -> Option<String> {
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
            .map(|call| format!("{call:?} was rejected and is committed"))
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

    /// Whether a step has made no difference but that a message is gone: it might as well have been lost.
    pub(super) fn changed_nothing_since(&self, before: &World) -> bool {
        let is_same = |(node, before): (&Arc<Node>, &Arc<Node>)| {
            Arc::ptr_eq(node, before) || node.digest == before.digest
        };
        self.step == before.step
            && self.budget == before.budget
            && self.in_flight.len() <= before.in_flight.len()
            && self.nodes.iter().zip(&before.nodes).all(is_same)
    }
}

/// A message as it arrives where a mechanism is left out.
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
