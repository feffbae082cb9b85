//! What a daemon that is given a place among the voters reads before it votes, and what those that are read say of
//! themselves: one rule each.

use coordination::{Effect, Effects, Row, control::Control, control::ControlConfig};
use googletest::prelude::*;
use wire_messages::{Bootstrap, List, Message, Name, SlotsReply, SlotsRequest, Voter};

const DISK: u64 = 9;
/// How a daemon stands to its member epoch, as `Slots` tells.
const NEITHER: u8 = 0;
const VOTES: u8 = 1;
const LEFT: u8 = 2;

fn voter(name: &str, disk: u64, since: u32) -> Voter {
    Voter {
        name: name.into(),
        disk_id: disk,
        addr: format!("{name}:1").into(),
        zone: "z".into(),
        since_epoch: since,
    }
}
fn params() -> ControlConfig {
    ControlConfig {
        name: "n".into(),
        zone: "z".into(),
        addr: "n:1".into(),
        http_addr: "n:2".into(),
        members: vec![],
        seeds: vec![],
        regions: Default::default(),
        spec_parser: coordination::state_table::parse_own_spec,
        bootstrap: false,
        bounds: Default::default(),
    }
}
/// A daemon whose disk knows these voters.
fn daemon(member_epoch: u32, voters: Vec<Voter>, voting: bool) -> Control {
    let row = Row::Members {
        member_epoch,
        before: 3,
        voters,
        voting,
        left: false,
    };
    Control::new(params(), DISK, vec![row], 1, 0)
}
fn with_place(since: u32) -> Vec<Voter> {
    vec![voter("a", 1, 1), voter("b", 2, 1), voter("n", DISK, since)]
}
fn without_place() -> Vec<Voter> {
    vec![voter("a", 1, 1), voter("b", 2, 1), voter("c", 3, 1)]
}
fn tells(c: &mut Control, from: &str, member_epoch: u32, voting: u8, voters: Vec<Voter>) -> bool {
    let m = SlotsReply {
        member_epoch,
        voting,
        previous_voter_count: 3,
        voters: List(voters),
        slots: List::default(),
    };
    c.on_message(
        &from.into(),
        &format!("{from}:1").into(),
        Message::SlotsReply(m),
        5_000,
    );
    c.registers.members.voting
}
/// What a daemon says of itself to one that asks.
fn says(c: &mut Control) -> Option<(u32, u8)> {
    let ask = SlotsRequest {
        member_epoch: c.registers.members.member_epoch,
        known: List::default(),
    };
    let out: Effects = c.on_message(
        &Name::from("x"),
        &Name::from("x:1"),
        Message::SlotsRequest(ask),
        6_000,
    );
    out.iter().find_map(|e| match e {
        // Only once all that it has voted is on its disk.
        Effect::Persist { then, .. } => then.iter().find_map(|e| match e {
            Effect::Send {
                msg: Message::SlotsReply(s),
                ..
            } => Some((s.member_epoch, s.voting)),
            _ => None,
        }),
        _ => None,
    })
}

#[gtest]
fn a_newcomer_votes_once_it_has_read_a_majority_of_those_that_closed_the_former_epoch() {
    let fresh = || daemon(2, with_place(2), false);
    // Two of the three former voters.
    for second in [VOTES, LEFT] {
        let mut c = fresh();
        expect_false!(tells(&mut c, "a", 2, VOTES, with_place(2)));
        expect_true!(tells(&mut c, "b", 2, second, with_place(2)));
    }
    let mut c = fresh();
    tells(&mut c, "a", 2, VOTES, with_place(2));
    expect_false!(
        tells(&mut c, "a", 2, VOTES, with_place(2)),
        "the same one again"
    );
    expect_false!(
        tells(&mut c, "s", 2, NEITHER, with_place(2)),
        "one that stands by, or reads itself"
    );
    expect_false!(
        tells(&mut c, "b", 1, VOTES, without_place()),
        "one that has not closed it"
    );
    expect_true!(tells(&mut c, "b", 2, VOTES, with_place(2)));
    // One that has no place reads nothing.
    let mut c = daemon(2, without_place(), false);
    tells(&mut c, "a", 2, VOTES, without_place());
    expect_false!(tells(&mut c, "b", 2, VOTES, without_place()));
}

#[gtest]
fn what_was_read_under_one_member_epoch_does_not_count_under_the_next() {
    let mut c = daemon(2, with_place(2), false);
    expect_false!(tells(&mut c, "a", 2, VOTES, with_place(2)));
    // The place is given anew; whoever tells of it is read at once.
    expect_false!(tells(&mut c, "b", 3, VOTES, with_place(3)));
    expect_that!(c.registers.members.member_epoch, eq(3));
    expect_true!(tells(&mut c, "a", 3, VOTES, with_place(3)));
}

/// Newcomers count those that have left as former voters: only who voted until that very epoch may say so.
#[gtest]
fn only_a_voter_of_the_epoch_before_says_that_it_has_left() {
    let mut voted = daemon(2, with_place(1), true);
    expect_that!(says(&mut voted), some(eq((2, VOTES))));
    tells(&mut voted, "a", 3, VOTES, without_place());
    expect_that!(says(&mut voted), some(eq((3, LEFT))));
    tells(&mut voted, "a", 4, VOTES, without_place());
    expect_that!(
        says(&mut voted),
        some(eq((4, NEITHER))),
        "it has not voted in the epoch before"
    );
    let mut stands_by = daemon(2, without_place(), false);
    tells(&mut stands_by, "a", 3, VOTES, without_place());
    expect_that!(says(&mut stands_by), some(eq((3, NEITHER))));
    let mut missed = daemon(2, with_place(1), true);
    tells(&mut missed, "a", 4, VOTES, without_place());
    expect_that!(
        says(&mut missed),
        some(eq((4, NEITHER))),
        "it knows nothing of the epoch before"
    );
    let mut reads = daemon(2, with_place(2), false);
    tells(&mut reads, "a", 3, VOTES, without_place());
    expect_that!(says(&mut reads), some(eq((3, NEITHER))), "it never voted");
    // A voter that keeps its place goes on, but not through a change that gave it away in between.
    let mut kept = daemon(2, with_place(1), true);
    tells(&mut kept, "a", 3, VOTES, with_place(1));
    expect_that!(says(&mut kept), some(eq((3, VOTES))));
    tells(&mut kept, "a", 5, VOTES, with_place(5));
    expect_that!(says(&mut kept), some(eq((5, NEITHER))));
}

/// The first voters are told to their own disks only: a blank one that comes later is not among them, whatever its name.
#[gtest]
fn only_a_disk_among_the_first_voters_takes_their_list() {
    let told = |voters: Vec<Voter>| {
        let mut c = Control::new(params(), DISK, vec![], 1, 0);
        c.on_message(
            &"a".into(),
            &"a:1".into(),
            Message::Bootstrap(Bootstrap {
                voters: List(voters),
            }),
            5_000,
        );
        (c.registers.members.voting, c.registers.members.member_epoch)
    };
    expect_that!(told(with_place(1)), eq((true, 1)));
    expect_that!(told(without_place()), eq((false, 0)));
    expect_that!(
        told(vec![
            voter("a", 1, 1),
            voter("b", 2, 1),
            voter("n", DISK + 1, 1)
        ]),
        eq((false, 0))
    );
    // Nor does one that knows voters already.
    let mut c = daemon(2, without_place(), false);
    c.on_message(
        &"a".into(),
        &"a:1".into(),
        Message::Bootstrap(Bootstrap {
            voters: List(with_place(1)),
        }),
        5_000,
    );
    expect_that!(
        (c.registers.members.voting, c.registers.members.member_epoch),
        eq((false, 2))
    );
}
