//! Tests of the acceptor role of a voter, one per rule.

use googletest::prelude::*;
use wire_messages::{
    Blob, Message, OwnedKey, Prepare, Promise, ReleaseLeases, RenewLeases, ReplacedValue,
};

use super::*;

const KEY: &str = "k";

fn prepare(epoch: u64) -> Prepare {
    Prepare {
        key: KEY.into(),
        epoch,
        member_epoch: 1,
    }
}

fn owned(key: &str, epoch: u64) -> List<OwnedKey> {
    List(vec![OwnedKey {
        key: key.into(),
        epoch,
    }])
}

fn renewal(key: &str, epoch: u64) -> RenewLeases {
    RenewLeases {
        keys: owned(key, epoch),
        sent_at: 5,
        member_epoch: 1,
    }
}

/// Returns a voter's reply to a prepare: whether it promises, and the retry delay in ms.
fn reply_to_prepare(
    registers: &mut Registers,
    from: usize,
    key: &str,
    epoch: u64,
    now: Ms,
) -> Option<(u8, u32)> {
    let mut out = vec![];
    let prepare = Prepare {
        key: key.into(),
        ..prepare(epoch)
    };
    registers.on_prepare(&name(from), prepare, now, &mut out);
    sync(&mut vec![], out)
        .into_iter()
        .find_map(|(_, message)| match message {
            Message::Promise(promise) => Some((promise.granted, promise.retry_after_ms)),
            _ => None,
        })
}

#[gtest]
fn a_promise_is_synced_and_refuses_lower_epochs() {
    let mut registers = voter(0);
    let (mut out, mut disk) = (vec![], vec![]);
    registers.on_prepare(&name(1), prepare(7), 1, &mut out);
    sync(&mut disk, out);
    expect_that!(
        disk,
        contains(matches_pattern!(Row::Slot(matches_pattern!(Slot {
            promised_epoch: &7,
            ..
        }))))
    );
    expect_that!(
        reply_to_prepare(&mut registers, 2, KEY, 6, 1),
        some(eq((0, 0)))
    );
    expect_that!(
        reply_to_prepare(&mut registers, 1, KEY, 7, 1),
        some(eq((1, 0))),
        "the same epoch belongs to the same proposer"
    );
    let mut out = vec![];
    registers.on_accept(&name(2), accept(KEY, 6, 1, "late"), &mut out);
    expect_that!(
        accepted_reply(&out).map(|reply| (reply.accepted, reply.promised_epoch)),
        some(eq((0, 7)))
    );
    expect_that!(slot(&registers, KEY).version, eq(0));
}

/// A voter that received a commit without having promised its epoch stores a value whose epoch exceeds its promise. It
/// does not store the value of an earlier owner, so it must not acknowledge it.
#[gtest]
fn a_voter_acknowledges_only_values_that_it_stores() {
    let mut registers = voter(0);
    let newer = Change {
        key: KEY.into(),
        epoch: 9,
        version: 3,
        value: Blob("newer".into()),
    };
    registers.on_commit(&newer, &[], &mut vec![]);
    let mut out = vec![];
    registers.on_accept(&name(1), accept(KEY, 5, 4, "older"), &mut out);
    let reply = accepted_reply(&out);
    expect_that!(
        reply
            .as_ref()
            .map(|reply| (reply.accepted, reply.promised_epoch)),
        some(eq((0, 9)))
    );
    expect_that!(slot(&registers, KEY).value.0, eq(b"newer"));
    // Values of the stored epoch and of later epochs are stored.
    for (epoch, version) in [(9, 4), (11, 5)] {
        let mut out = vec![];
        registers.on_accept(&name(1), accept(KEY, epoch, version, "next"), &mut out);
        expect_that!(
            accepted_reply(&out).map(|reply| reply.accepted),
            some(eq(1))
        );
        expect_that!(slot(&registers, KEY).version, eq(version));
    }
}

/// A delayed copy of an older write of the same owner was stored earlier, so it is acknowledged and changes nothing.
#[gtest]
fn a_delayed_accept_does_not_overwrite_a_newer_version() {
    let mut registers = voter(0);
    for (version, value) in [(1, "a"), (2, "b"), (1, "a")] {
        let mut out = vec![];
        registers.on_accept(&name(1), accept(KEY, 5, version, value), &mut out);
        expect_that!(
            accepted_reply(&out).map(|reply| (reply.accepted, reply.version)),
            some(eq((1, version)))
        );
    }
    expect_that!(slot(&registers, KEY).value.0, eq(b"b"));
}

/// A version known to be committed may be overwritten by a newer version that no majority accepted. When a later owner
/// writes the committed version again in its place, it is reported again.
#[gtest]
fn a_committed_value_that_is_written_again_is_reported_again() {
    let mut registers = voter(0);
    let committed = Change {
        key: KEY.into(),
        epoch: 5,
        version: 3,
        value: Blob("stands".into()),
    };
    registers.on_commit(&committed, &[], &mut vec![]);
    registers.on_accept(&name(1), accept(KEY, 6, 4, "never"), &mut vec![]);
    registers.newly_committed.clear();
    registers.on_accept(&name(2), accept(KEY, 8, 3, "stands"), &mut vec![]);
    expect_that!(
        registers
            .newly_committed
            .iter()
            .map(|change| (change.epoch, change.version))
            .collect::<Vec<_>>(),
        elements_are![eq(&(8, 3))]
    );
}

/// An owner elected without this voter's promise relies on the voter once the voter has confirmed a renewal: from then
/// on the voter refuses earlier owners.
#[gtest]
fn a_confirmed_renewal_counts_as_a_promise() {
    let mut registers = voter(0);
    let (mut out, mut disk) = (vec![], vec![]);
    registers.on_renew(&name(1), renewal(KEY, 7), 1, &mut out);
    let sends = sync(&mut disk, out);
    expect_that!(sends.len(), eq(1));
    expect_that!(
        disk,
        contains(matches_pattern!(Row::Slot(matches_pattern!(Slot {
            promised_epoch: &7,
            ..
        }))))
    );
    expect_that!(
        reply_to_prepare(&mut registers, 2, KEY, 6, 1),
        some(eq((0, 0)))
    );
}

/// Only the holder can release a lease, and only with an epoch that is not older than the lease's.
#[gtest]
fn only_the_holder_releases_a_lease() {
    let key = format!("{ROLLOUT_PREFIX}s");
    let with_lease = || {
        let mut registers = voter(0);
        registers.skip_lease_wait();
        registers.on_renew(&name(1), renewal(&key, 7), 1, &mut vec![]);
        registers
    };
    for (from, epoch, releases) in [(2, 7, false), (1, 6, false), (1, 7, true), (1, 8, true)] {
        let mut registers = with_lease();
        let release = ReleaseLeases {
            keys: owned(&key, epoch),
        };
        registers.on_release(&name(from), release);
        let granted = reply_to_prepare(&mut registers, 2, &key, 9, 2).map(|reply| reply.0);
        expect_that!(
            granted,
            some(eq(u8::from(releases))),
            "release by {from} under epoch {epoch}"
        );
    }
}

/// A voter that has just started has lost its record of running leases, and one that has just begun to vote never had
/// one. Both must wait for a full lease duration.
#[gtest]
fn a_voter_that_starts_or_begins_to_vote_waits_for_a_lease_duration() {
    let key = format!("{ROLLOUT_PREFIX}s");
    let rows = vec![voter(0).members_row()];
    let started = Registers::new(name(0), 1, rows, LEASE_DURATION, 1_000);
    let mut new_voter = voter(0);
    new_voter.skip_lease_wait();
    new_voter.start_voting(1_000);
    for registers in [started, new_voter] {
        expect_that!(
            reply_to_prepare(&mut registers.clone(), 2, &key, 9, 1_001),
            some(eq((0, LEASE_DURATION as u32 - 1)))
        );
        expect_that!(
            reply_to_prepare(&mut registers.clone(), 2, &key, 9, 1_000 + LEASE_DURATION),
            some(eq((1, 0)))
        );
        expect_that!(
            reply_to_prepare(&mut registers.clone(), 2, KEY, 9, 1_001),
            some(eq((1, 0))),
            "not leased"
        );
    }
}

#[gtest]
fn an_earlier_member_epoch_is_not_adopted() {
    let mut registers = voter(0);
    let mut out = vec![];
    registers.adopt_members(3, 3, voters()[..2].to_vec(), &mut out);
    expect_that!(
        (
            registers.members.member_epoch,
            registers.members.voters.len()
        ),
        eq((3, 2))
    );
    for member_epoch in [1, 2, 3] {
        registers.adopt_members(member_epoch, 3, voters(), &mut out);
        expect_that!(
            (
                registers.members.member_epoch,
                registers.members.voters.len()
            ),
            eq((3, 2)),
            "member epoch {member_epoch}"
        );
    }
}

/// A joiner copies from each former voter the state that may be stored only there: the highest promise, the newest
/// accepted value, whether or not it is known to be committed, and the values that it replaced.
#[gtest]
fn a_joiner_copies_promises_values_and_history() {
    let replaced = List(vec![ReplacedValue {
        release: 1,
        digest: 2,
    }]);
    let voter_slot =
        |promised_epoch, accepted_epoch, version, committed_version, value: &str| Slot {
            key: KEY.into(),
            promised_epoch,
            accepted_epoch,
            version,
            committed_version,
            value: Blob(value.into()),
            replaced: replaced.clone(),
        };
    let mut registers = voter(0);
    // The highest promise and the newest value come from different voters.
    let rows = registers.catch_up(&[
        voter_slot(8, 7, 2, 1, "accepted"),
        voter_slot(12, 6, 3, 3, "older epoch"),
    ]);
    let merged = voter_slot(12, 7, 2, 1, "accepted");
    expect_that!(slot(&registers, KEY), eq(&merged));
    expect_that!(
        rows,
        contains(eq(&Row::Slot(merged.clone()))),
        "the merged slot is persisted before the joiner votes"
    );
    expect_that!(
        registers.newly_committed,
        is_empty(),
        "a value not known to be accepted by a majority is not reported"
    );
    expect_that!(
        registers.epochs.highest(),
        eq(12),
        "the joiner's own epochs exceed every epoch that it read"
    );
    // An older value changes nothing; a newer committed value is reported.
    registers.catch_up(&[voter_slot(3, 7, 1, 1, "old")]);
    expect_that!(slot(&registers, KEY), eq(&merged));
    registers.catch_up(&[voter_slot(9, 8, 3, 3, "newest")]);
    expect_that!(
        slot(&registers, KEY),
        eq(&voter_slot(12, 8, 3, 3, "newest"))
    );
    expect_that!(
        registers
            .newly_committed
            .iter()
            .map(|change| change.version)
            .collect::<Vec<_>>(),
        elements_are![eq(&3)]
    );
    // The joiner refuses epochs below the highest promise of any former voter.
    let mut out = vec![];
    registers.on_prepare(&name(1), prepare(11), 10_000, &mut out);
    expect_that!(
        sync(&mut vec![], out),
        elements_are![(
            eq(&name(1)),
            matches_pattern!(Message::Promise(matches_pattern!(Promise {
                granted: &0,
                ..
            })))
        )]
    );
}

/// Majorities of another member epoch consist of other voters, so a voter must not count in them.
#[gtest]
fn a_voter_does_not_vote_in_another_member_epoch() {
    for member_epoch in [0, 2] {
        let (mut registers, mut out) = (voter(1), vec![]);
        registers.on_accept(
            &name(0),
            Accept {
                member_epoch,
                ..accept(KEY, 5, 1, "value")
            },
            &mut out,
        );
        registers.on_renew(
            &name(0),
            RenewLeases {
                keys: owned(KEY, 5),
                sent_at: 1,
                member_epoch,
            },
            1,
            &mut out,
        );
        registers.on_prepare(
            &name(0),
            Prepare {
                member_epoch,
                ..prepare(5)
            },
            1,
            &mut out,
        );
        let sends = sync(&mut vec![], out);
        let votes = sends
            .iter()
            .any(|(_, message)| !matches!(message, Message::Promise(Promise { granted: 0, .. })));
        expect_that!(votes, eq(false), "member epoch {member_epoch}");
        expect_that!(
            registers
                .slots
                .get(KEY)
                .map_or(0, |slot| slot.accepted_epoch),
            eq(0)
        );
    }
}

/// A voter that has promised a higher epoch to another owner reports this and does not confirm the former owner.
#[gtest]
fn a_voter_denies_an_owner_below_its_promise() {
    let mut registers = voter(1);
    registers.slots.entry(&KEY.into()).promised_epoch = 8;
    let mut out = vec![];
    let renewal = RenewLeases {
        sent_at: 100,
        ..renewal(KEY, 7)
    };
    registers.on_renew(&name(0), renewal, 1, &mut out);
    let sends = sync(&mut vec![], out);
    let denied = sends.iter().any(|(_, message)| {
        matches!(message, Message::Accepted(reply) if reply.accepted == 0 && reply.promised_epoch == 8)
    });
    let confirmed = sends.iter().any(|(_, message)| {
        matches!(message, Message::LeasesRenewed(renewed) if !renewed.keys.is_empty())
    });
    expect_that!((denied, confirmed), eq((true, false)));
}
