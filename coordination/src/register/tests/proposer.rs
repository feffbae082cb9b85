//! Tests of the proposer role of an owner, one per rule.

use std::collections::VecDeque;

use googletest::prelude::*;
use wire_messages::{Blob, LeasesRenewed, Message, OwnedKey, Promise};

use super::*;
use crate::{WriteOutcome, register::ownership::OwnershipPhase};

const KEY: &str = "k";

/// Voters whose messages are delivered one at a time by the test.
struct Cluster {
    voters: Vec<Registers>,
    disks: Vec<Vec<Row>>,
}

impl Cluster {
    fn new() -> Self {
        Cluster {
            voters: (0..VOTER_COUNT).map(voter).collect(),
            disks: vec![vec![voting_row()]; VOTER_COUNT],
        }
    }

    /// Restarts a voter from its disk.
    fn restart(&mut self, index: usize) {
        let rows = self.disks[index].clone();
        self.voters[index] = Registers::new(name(index), index as u64 + 1, rows, LEASE_DURATION, 1);
    }

    /// Delivers a message and returns the messages that the receiver sends after syncing.
    fn deliver(&mut self, to: usize, from: usize, message: Message) -> Sends {
        let (registers, from_addr) = (&mut self.voters[to], name(from));
        let mut out = vec![];
        match message {
            Message::Prepare(prepare) => registers.on_prepare(&from_addr, prepare, 1, &mut out),
            Message::Promise(promise) => registers.on_promise(&from_addr, promise, 1, &mut out),
            Message::Accept(accept) => registers.on_accept(&from_addr, accept, &mut out),
            Message::Accepted(reply) => registers.on_accepted(&from_addr, reply, 1, &mut out),
            _ => {}
        }
        sync(&mut self.disks[to], out)
    }

    /// Acquires the key at `owner` with the promises of two voters and writes `value`, which reaches only `reached`.
    fn write(&mut self, owner: usize, value: &str, promised_by: [usize; 2], reached: &[usize]) {
        let mut out = vec![];
        self.voters[owner].propose(7, &KEY.into(), None, Blob(value.into()), 1, &mut out);
        let prepares = sync(&mut self.disks[owner], out);
        let mut accepts = vec![];
        for voter in promised_by {
            let promises = self.deliver(voter, owner, message_to(&prepares, voter));
            accepts.extend(self.deliver(owner, voter, message_to(&promises, owner)));
        }
        for voter in reached {
            let replies = self.deliver(*voter, owner, message_to(&accepts, *voter));
            self.deliver(owner, *voter, message_to(&replies, owner));
        }
    }
}

/// Returns the first message to a voter.
fn message_to(sends: &Sends, index: usize) -> Message {
    sends
        .iter()
        .find(|(to, _)| *to == name(index))
        .map(|(_, message)| message.clone())
        .unwrap()
}

/// An owner crashes before its own promise is synced and restarts at once. If its second ownership reused the epoch of
/// the first, an accepted value could be replaced by one that was never accepted.
#[gtest]
fn a_crashed_owner_never_reuses_an_epoch() {
    let mut cluster = Cluster::new();
    cluster.write(0, "never", [1, 2], &[1]);
    cluster.restart(0);
    cluster.write(0, "accepted", [0, 2], &[0, 2]);
    expect_that!(slot(&cluster.voters[0], KEY).committed_version, eq(1));
    // Voter 2 acquires the key with the promise of voter 1, which arrives first, and its own.
    cluster.write(2, "next", [1, 2], &[1, 2]);
    expect_that!(
        String::from_utf8_lossy(&slot(&cluster.voters[2], KEY).value.0),
        eq("accepted")
    );
}

/// The release of a document is read from the current value, not from a value of another key with the same version and
/// not from a value that a later owner has replaced.
#[gtest]
fn a_release_is_read_from_the_current_value() {
    let document = |release: u64| {
        let document = serde_json::json!({"zones": [], "tiers": [], "services": [], "canary_percent": 10, "bake_ms": 1, "release": release});
        Blob(serde_json::to_vec(&document).unwrap())
    };
    let mut registers = voter(0);
    let commit = |registers: &mut Registers, key: &str, epoch, version, release| {
        let change = Change {
            key: key.into(),
            epoch,
            version,
            value: document(release),
        };
        registers.on_commit(&change, &[], &mut vec![]);
    };
    let (first_key, second_key): (Name, Name) = ("a".into(), "b".into());
    commit(&mut registers, "a", 5, 1, 10);
    commit(&mut registers, "b", 5, 1, 20);
    expect_that!(
        [
            registers.release_at(&first_key, 1),
            registers.release_at(&second_key, 1),
            registers.release_at(&first_key, 0)
        ],
        each(some(anything()))
    );
    expect_that!(
        (
            registers.release_at(&first_key, 1),
            registers.release_at(&second_key, 1)
        ),
        eq((Some(10), Some(20)))
    );
    commit(&mut registers, "a", 6, 1, 11);
    expect_that!(registers.release_at(&first_key, 1), some(eq(11)));
    commit(&mut registers, "a", 6, 2, 12);
    expect_that!(
        (
            registers.release_at(&first_key, 1),
            registers.release_at(&first_key, 2)
        ),
        eq((None, Some(12)))
    );
}

/// Returns a voter that is acquiring the key and holds its own promise: one more promise makes a majority.
fn acquiring_with_own_promise() -> (Registers, Promise) {
    let mut registers = voter(0);
    let mut out = vec![];
    registers.propose(7, &KEY.into(), None, Blob("value".into()), 1, &mut out);
    let prepares = sync(&mut vec![], out);
    let mut out = vec![];
    if let Message::Prepare(prepare) = message_to(&prepares, 0) {
        registers.on_prepare(&name(0), prepare, 1, &mut out);
    }
    let Message::Promise(promise) = sync(&mut vec![], out)[0].1.clone() else {
        unreachable!()
    };
    registers.on_promise(&name(0), promise.clone(), 1, &mut vec![]);
    (registers, promise)
}

fn owns_key(registers: &Registers) -> bool {
    matches!(
        registers
            .ownerships
            .get(KEY)
            .map(|ownership| &ownership.phase),
        Some(OwnershipPhase::Owning { .. })
    )
}

/// A promise recorded on a disk that was lost since must not count together with promises of the current voters: the
/// joiner that replaced it has read the other voters and lacks the writes that were in flight.
#[gtest]
fn only_promises_of_this_member_epoch_and_ownership_are_counted() {
    let (registers, promise) = acquiring_with_own_promise();
    for (member_epoch, from, counts) in [
        (1, 1, true),
        (0, 1, false),
        (2, 1, false),
        (1, 0, false),
        (1, 9, false),
    ] {
        let mut registers = registers.clone();
        let promise = Promise {
            member_epoch,
            ..promise.clone()
        };
        registers.on_promise(&name(from), promise, 1, &mut vec![]);
        expect_that!(
            owns_key(&registers),
            eq(counts),
            "promise of member epoch {member_epoch} by {from}"
        );
    }
    let mut registers = registers.clone();
    let earlier = Promise {
        epoch: promise.epoch - 1,
        ..promise.clone()
    };
    registers.on_promise(&name(1), earlier, 1, &mut vec![]);
    expect_that!(
        owns_key(&registers),
        eq(false),
        "promise of an earlier ownership"
    );
}

/// An acceptance counts only if its voter, version, epoch and member epoch match the write, as with promises.
#[gtest]
fn only_acceptances_of_this_member_epoch_and_write_are_counted() {
    let (mut registers, promise) = acquiring_with_own_promise();
    registers.on_promise(&name(1), promise.clone(), 1, &mut vec![]);
    let reply = |member_epoch, epoch, version| Accepted {
        key: KEY.into(),
        epoch,
        version,
        promised_epoch: 0,
        member_epoch,
        accepted: 1,
    };
    registers.on_accepted(&name(0), reply(1, promise.epoch, 1), 1, &mut vec![]);
    for (member_epoch, epoch, version, from, counts) in [
        (1, promise.epoch, 1, 1, true),
        (0, promise.epoch, 1, 1, false),
        (2, promise.epoch, 1, 1, false),
        (1, promise.epoch - 1, 1, 1, false),
        (1, promise.epoch, 2, 1, false),
        (1, promise.epoch, 1, 9, false),
    ] {
        let (mut registers, mut out) = (registers.clone(), vec![]);
        registers.on_accepted(
            &name(from),
            reply(member_epoch, epoch, version),
            1,
            &mut out,
        );
        let is_committed = out.iter().any(|effect| {
            matches!(
                effect,
                Effect::WriteFinished {
                    outcome: WriteOutcome::Accepted(1),
                    ..
                }
            )
        });
        expect_that!(
            is_committed,
            eq(counts),
            "version {version} under {epoch} in member epoch {member_epoch} by {from}"
        );
    }
}

/// Returns an owner under epoch 7 of a value that was committed as version 3 under `accepted_epoch`.
fn owner_of_committed_value(accepted_epoch: u64) -> Registers {
    let key: Name = KEY.into();
    let mut registers = voter(0);
    let committed = Change {
        key: key.clone(),
        epoch: accepted_epoch,
        version: 3,
        value: Blob("value".into()),
    };
    registers.on_commit(&committed, &[], &mut vec![]);
    let ownership = Ownership {
        phase: OwnershipPhase::Owning { version: 3 },
        ..Ownership::preparing(7, VecDeque::new(), 0, 0)
    };
    registers.ownerships.insert(key, ownership);
    registers
}

/// A read is confirmed only by a majority of replies to requests sent since the read arrived.
#[gtest]
fn a_read_waits_for_a_majority_of_replies_to_later_requests() {
    let key: Name = KEY.into();
    let mut registers = owner_of_committed_value(7);
    registers.read(9, &key, 100, &mut vec![]);
    let mut finishes_read = |from: usize, epoch, request_sent_at, member_epoch| {
        let renewed = LeasesRenewed {
            keys: List(vec![OwnedKey {
                key: key.clone(),
                epoch,
            }]),
            request_sent_at,
            member_epoch,
        };
        let mut out = vec![];
        registers.on_renewed(&name(from), renewed, 101, &mut out);
        out.iter().any(|effect| {
            matches!(
                effect,
                Effect::WriteFinished {
                    token: 9,
                    outcome: WriteOutcome::Accepted(3)
                }
            )
        })
    };
    expect_that!(
        finishes_read(0, 7, 100, 1),
        eq(false),
        "one voter is not a majority"
    );
    expect_that!(
        finishes_read(1, 7, 99, 1),
        eq(false),
        "request sent before the read arrived"
    );
    expect_that!(finishes_read(1, 6, 100, 1), eq(false), "another ownership");
    expect_that!(
        finishes_read(1, 7, 100, 2),
        eq(false),
        "another member epoch"
    );
    expect_that!(finishes_read(9, 7, 100, 1), eq(false), "not a voter");
    expect_that!(finishes_read(2, 7, 100, 1), eq(true));
}

/// Guards against a read or a repeated write that is answered while a voter may hold a newer value of the former owner:
/// the value is first written again under the owner's epoch.
#[gtest]
fn an_owner_writes_the_value_of_an_earlier_epoch_again_before_it_answers() {
    let key: Name = KEY.into();
    for is_read in [true, false] {
        let mut registers = owner_of_committed_value(5);
        let mut out = vec![];
        if is_read {
            registers.read(9, &key, 100, &mut out);
        } else {
            registers.propose(9, &key, Some(2), Blob("value".into()), 100, &mut out);
        }
        let sends = sync(&mut vec![], out);
        let rewrite = accept(KEY, 7, 3, "value");
        expect_that!(
            sends,
            each((anything(), eq(&Message::Accept(rewrite.clone()))))
        );
        expect_that!(sends, len(eq(VOTER_COUNT)));
        // Once a majority has accepted it, the voters are asked to confirm the owner.
        let mut out = vec![];
        for voter in [0, 1] {
            let reply = Accepted {
                key: key.clone(),
                epoch: 7,
                version: 3,
                promised_epoch: 7,
                member_epoch: 1,
                accepted: 1,
            };
            registers.on_accepted(&name(voter), reply, 101, &mut out);
        }
        expect_that!(slot(&registers, KEY).accepted_epoch, eq(7));
        let sends = sync(&mut vec![], out);
        expect_true!(
            sends
                .iter()
                .any(|(_, message)| matches!(message, Message::RenewLeases(_)))
        );
    }
}

/// A new owner compares values by the epoch in which they were accepted, and includes the value in its own slot.
#[gtest]
fn a_new_owner_adopts_the_value_of_the_highest_epoch() {
    let voter_slot = |epoch, version, value: &str| Slot {
        key: KEY.into(),
        promised_epoch: epoch,
        accepted_epoch: epoch,
        version,
        value: Blob(value.into()),
        ..Slot::default()
    };
    let older = voter_slot(5, 3, "older epoch");
    let newer = voter_slot(6, 2, "newer epoch");
    // The values come with promises of other voters, in either order, or from the owner's own slot.
    for (own, first, second) in [
        (None, &older, &newer),
        (None, &newer, &older),
        (Some(&newer), &older, &older),
        (Some(&older), &newer, &older),
    ] {
        let mut registers = voter(0);
        if let Some(slot) = own {
            let value = String::from_utf8_lossy(&slot.value.0);
            let accept = accept(KEY, slot.accepted_epoch, slot.version, &value);
            registers.on_accept(&name(1), accept, &mut vec![]);
        }
        registers.epochs.observe(1 << 30);
        registers.acquire(&KEY.into(), 1, &mut vec![]);
        let epoch = registers.ownerships[KEY].epoch;
        let mut out = vec![];
        for (from, slot) in [(1, first), (2, second)] {
            let promise = Promise {
                epoch,
                member_epoch: 1,
                granted: 1,
                retry_after_ms: 0,
                slot: slot.clone(),
            };
            registers.on_promise(&name(from), promise, 1, &mut out);
        }
        let written = sync(&mut vec![], out)
            .into_iter()
            .find_map(|(_, message)| match message {
                Message::Accept(accept) => Some((accept.version, accept.value)),
                _ => None,
            });
        expect_that!(
            written,
            some(eq(&(2, newer.value.clone()))),
            "own slot: {own:?}"
        );
    }
}
