//! One rule of voters and owners each: what single-line mutants of the register left alive.

use crate::timing::LEASE_DURATION;
use googletest::prelude::*;
use wire_messages::{Message, OwnedKey, Prepare, Promise, ReleaseLeases, RenewLeases};

use super::*;

const KEY: &str = "k";

fn prepare(epoch: u64) -> Prepare {
    Prepare {
        key: KEY.into(),
        epoch,
        member_epoch: 1,
    }
}
fn held(key: &str, epoch: u64) -> List<OwnedKey> {
    List(vec![OwnedKey {
        key: key.into(),
        epoch,
    }])
}
/// What a voter says to the promise that another asks for: whether it promises, and for how long it keeps it out.
fn promise(n: &mut Registers, from: usize, key: &str, epoch: u64, now: Ms) -> Option<(u8, u32)> {
    let mut out = vec![];
    n.on_prepare(
        &name(from),
        Prepare {
            key: key.into(),
            ..prepare(epoch)
        },
        now,
        &mut out,
    );
    let sends = synced(&mut vec![], out);
    sends.into_iter().find_map(|(_, m)| {
        if let Message::Promise(p) = m {
            Some((p.granted, p.retry_after_ms))
        } else {
            None
        }
    })
}

#[gtest]
fn a_promise_is_kept_on_disk_and_against_lower_epochs() {
    let mut n = voter(0);
    let (mut out, mut disk) = (vec![], vec![]);
    n.on_prepare(&name(1), prepare(7), 1, &mut out);
    synced(&mut disk, out);
    expect_that!(
        disk,
        contains(matches_pattern!(Row::Slot(matches_pattern!(Slot {
            promised_epoch: &7,
            ..
        }))))
    );
    expect_that!(promise(&mut n, 2, KEY, 6, 1), some(eq((0, 0))));
    expect_that!(
        promise(&mut n, 1, KEY, 7, 1),
        some(eq((1, 0))),
        "the same epoch is its own"
    );
    let mut out = vec![];
    n.on_accept(&name(2), accept(KEY, 6, 1, "late"), &mut out);
    expect_that!(
        accepted(&out).map(|a| (a.accepted, a.promised_epoch)),
        some(eq((0, 7)))
    );
    expect_that!(slot(&n, KEY).version, eq(0));
}

/// An owner that was made without this voter's word counts on it once it has confirmed: earlier ones are refused then.
#[gtest]
fn a_confirmation_is_a_promise() {
    let mut n = voter(0);
    let (mut out, mut disk) = (vec![], vec![]);
    n.on_renew(
        &name(1),
        RenewLeases {
            keys: held(KEY, 7),
            sent_at: 5,
            member_epoch: 1,
        },
        1,
        &mut out,
    );
    let sends = synced(&mut disk, out);
    expect_that!(sends.len(), eq(1));
    expect_that!(
        disk,
        contains(matches_pattern!(Row::Slot(matches_pattern!(Slot {
            promised_epoch: &7,
            ..
        }))))
    );
    expect_that!(promise(&mut n, 2, KEY, 6, 1), some(eq((0, 0))));
}

/// Only its holder gives a duty up, and only the ownership that it means.
#[gtest]
fn a_lease_ends_by_its_own_holders_word_alone() {
    let key = format!("{ROLLOUT_PREFIX}s");
    let fresh = || {
        let mut n = voter(0);
        n.skip_lease_wait();
        n.on_renew(
            &name(1),
            RenewLeases {
                keys: held(&key, 7),
                sent_at: 5,
                member_epoch: 1,
            },
            1,
            &mut vec![],
        );
        n
    };
    for (from, epoch, ends) in [(2, 7, false), (1, 6, false), (1, 7, true), (1, 8, true)] {
        let mut n = fresh();
        n.on_release(
            &name(from),
            ReleaseLeases {
                keys: held(&key, epoch),
            },
        );
        let free = promise(&mut n, 2, &key, 9, 2).map(|p| p.0);
        expect_that!(free, some(eq(u8::from(ends))), "of {from} for {epoch}");
    }
}

/// A voter that has just started, or begun to vote, has forgotten or never heard whom others let keep a duty.
#[gtest]
fn a_voter_that_has_just_begun_waits_a_lease_out() {
    let key = format!("{ROLLOUT_PREFIX}s");
    let rows = vec![voter(0).members_row()];
    let started = Registers::new(name(0), rows, LEASE_DURATION, 1_000);
    let mut votes = voter(0);
    votes.skip_lease_wait();
    votes.start_voting(1_000);
    for n in [started, votes] {
        expect_that!(
            promise(&mut n.clone(), 2, &key, 9, 1_001),
            some(eq((0, LEASE_DURATION as u32 - 1)))
        );
        expect_that!(
            promise(&mut n.clone(), 2, &key, 9, 1_000 + LEASE_DURATION),
            some(eq((1, 0)))
        );
        expect_that!(
            promise(&mut n.clone(), 2, KEY, 9, 1_001),
            some(eq((1, 0))),
            "no duty"
        );
    }
}

#[gtest]
fn voters_are_not_changed_back() {
    let mut n = voter(0);
    let mut out = vec![];
    n.adopt_members(3, 3, voters()[..2].to_vec(), &mut out);
    expect_that!((n.members.member_epoch, n.members.voters.len()), eq((3, 2)));
    for old in [1, 2, 3] {
        n.adopt_members(old, 3, voters(), &mut out);
        expect_that!(
            (n.members.member_epoch, n.members.voters.len()),
            eq((3, 2)),
            "member epoch {old}"
        );
    }
}

/// A version that was known to be committed, then hidden by a newer one that no majority took, is news again when a later
/// owner writes it in that one's place.
#[gtest]
fn what_stands_again_is_told_again() {
    let mut n = voter(0);
    n.on_commit(
        &Change {
            key: KEY.into(),
            epoch: 5,
            version: 3,
            value: Blob("stands".into()),
        },
        &[],
        &mut vec![],
    );
    n.on_accept(&name(1), accept(KEY, 6, 4, "never"), &mut vec![]);
    n.newly_committed.clear();
    n.on_accept(&name(2), accept(KEY, 8, 3, "stands"), &mut vec![]);
    expect_that!(
        n.newly_committed
            .iter()
            .map(|c| (c.epoch, c.version))
            .collect::<Vec<_>>(),
        elements_are![eq(&(8, 3))]
    );
}

/// A new owner goes by the epoch under which a value was accepted, and by what it has accepted itself.
#[gtest]
fn a_new_owner_takes_over_the_value_of_the_highest_epoch() {
    let slot = |epoch, version, value: &str| Slot {
        key: KEY.into(),
        promised_epoch: epoch,
        accepted_epoch: epoch,
        version,
        value: Blob(value.into()),
        ..Slot::default()
    };
    let older = slot(5, 3, "older epoch");
    let newer = slot(6, 2, "newer epoch");
    // Told by others, in either order, or known to the owner itself alone.
    for (own, first, second) in [
        (None, &older, &newer),
        (None, &newer, &older),
        (Some(&newer), &older, &older),
        (Some(&older), &newer, &older),
    ] {
        let mut n = voter(0);
        if let Some(s) = own {
            n.on_accept(
                &name(1),
                accept(
                    KEY,
                    s.accepted_epoch,
                    s.version,
                    &String::from_utf8_lossy(&s.value.0),
                ),
                &mut vec![],
            );
        }
        n.epochs.observe(1 << 30);
        n.acquire(&KEY.into(), 1, &mut vec![]);
        let epoch = n.ownerships[KEY].epoch;
        let mut out = vec![];
        for (from, s) in [(1, first), (2, second)] {
            let m = Promise {
                epoch,
                member_epoch: 1,
                granted: 1,
                retry_after_ms: 0,
                slot: s.clone(),
            };
            n.on_promise(&name(from), m, 1, &mut out);
        }
        let sends = synced(&mut vec![], out);
        let written = sends.iter().find_map(|(_, m)| {
            if let Message::Accept(a) = m {
                Some((a.version, a.value.clone()))
            } else {
                None
            }
        });
        expect_that!(written, some(eq(&(2, newer.value.clone()))), "own {own:?}");
    }
}
