//! What a daemon that is given a place among the voters reads before it votes, and what those that
//! are read report of themselves: one rule each.

use coordination::{Effect, Effects, Row, control::Control, control::ControlConfig};
use googletest::prelude::*;
use wire_messages::{Bootstrap, List, Message, Name, SlotsReply, SlotsRequest, Voter};

/// Of the daemon under test.
const DISK_ID: u64 = 9;
/// How a daemon relates to its member epoch, as `SlotsReply` reports it.
const NO_VOTER: u8 = 0;
const VOTES: u8 = 1;
const LEFT: u8 = 2;

fn voter(name: &str, disk_id: u64, since_epoch: u32) -> Voter {
    Voter {
        name: name.into(),
        disk_id,
        addr: format!("{name}:1").into(),
        zone: "z".into(),
        since_epoch,
    }
}

fn config() -> ControlConfig {
    ControlConfig {
        name: "n".into(),
        zone: "z".into(),
        addr: "n:1".into(),
        http_addr: "n:2".into(),
        members: vec![],
        seeds: vec![],
        regions: Default::default(),
        spec_parser: coordination::state_table::parse_native_spec,
        bootstrap: false,
        bounds: Default::default(),
    }
}

/// A daemon with these rows on its disk.
fn start(rows: Vec<Row>) -> Control {
    Control::new(config(), DISK_ID, rows, 1, 0)
}

/// A daemon whose disk has these voters.
fn daemon(member_epoch: u32, voters: Vec<Voter>, voting: bool) -> Control {
    start(vec![Row::Members {
        member_epoch,
        before: 3,
        voters,
        voting,
        left: false,
    }])
}

/// Voters among which the daemon has a place.
fn with_place(since_epoch: u32) -> Vec<Voter> {
    vec![
        voter("a", 1, 1),
        voter("b", 2, 1),
        voter("n", DISK_ID, since_epoch),
    ]
}

fn without_place() -> Vec<Voter> {
    vec![voter("a", 1, 1), voter("b", 2, 1), voter("c", 3, 1)]
}

/// Another daemon reports its slots; gives whether the daemon then votes.
fn votes_after_reply(
    control: &mut Control,
    from: &str,
    member_epoch: u32,
    voting: u8,
    voters: Vec<Voter>,
) -> bool {
    let reply = SlotsReply {
        member_epoch,
        voting,
        previous_voter_count: 3,
        voters: List(voters),
        slots: List::default(),
    };
    control.on_message(
        &from.into(),
        &format!("{from}:1").into(),
        Message::SlotsReply(reply),
        5_000,
    );
    control.registers.members.voting
}

/// The member epoch and the relation to it that a daemon reports to one that asks.
fn reported(control: &mut Control) -> Option<(u32, u8)> {
    let request = SlotsRequest {
        member_epoch: control.registers.members.member_epoch,
        known: List::default(),
    };
    let effects: Effects = control.on_message(
        &Name::from("x"),
        &Name::from("x:1"),
        Message::SlotsRequest(request),
        6_000,
    );
    // Only once all that it has voted is on its disk.
    effects.iter().find_map(|effect| match effect {
        Effect::Persist { then, .. } => then.iter().find_map(reply),
        _ => None,
    })
}

fn reply(effect: &Effect) -> Option<(u32, u8)> {
    match effect {
        Effect::Send {
            msg: Message::SlotsReply(reply),
            ..
        } => Some((reply.member_epoch, reply.voting)),
        _ => None,
    }
}

fn bootstrap(control: &mut Control, voters: Vec<Voter>) {
    let bootstrap = Bootstrap {
        voters: List(voters),
    };
    control.on_message(
        &"a".into(),
        &"a:1".into(),
        Message::Bootstrap(bootstrap),
        5_000,
    );
}

#[gtest]
fn a_joiner_votes_once_it_has_read_a_majority_of_those_that_closed_the_former_epoch() {
    let start_joiner = || daemon(2, with_place(2), false);
    // Two of the three former voters.
    for second in [VOTES, LEFT] {
        let mut control = start_joiner();
        expect_false!(votes_after_reply(
            &mut control,
            "a",
            2,
            VOTES,
            with_place(2)
        ));
        expect_true!(votes_after_reply(
            &mut control,
            "b",
            2,
            second,
            with_place(2)
        ));
    }
    let mut control = start_joiner();
    votes_after_reply(&mut control, "a", 2, VOTES, with_place(2));
    expect_false!(
        votes_after_reply(&mut control, "a", 2, VOTES, with_place(2)),
        "the same one again"
    );
    expect_false!(
        votes_after_reply(&mut control, "s", 2, NO_VOTER, with_place(2)),
        "a learner, or one that reads itself"
    );
    expect_false!(
        votes_after_reply(&mut control, "b", 1, VOTES, without_place()),
        "one that has not closed it"
    );
    expect_true!(votes_after_reply(
        &mut control,
        "b",
        2,
        VOTES,
        with_place(2)
    ));
    // One that has no place reads nothing.
    let mut control = daemon(2, without_place(), false);
    votes_after_reply(&mut control, "a", 2, VOTES, without_place());
    expect_false!(votes_after_reply(
        &mut control,
        "b",
        2,
        VOTES,
        without_place()
    ));
}

#[gtest]
fn what_was_read_under_one_member_epoch_does_not_count_under_the_next() {
    let mut control = daemon(2, with_place(2), false);
    expect_false!(votes_after_reply(
        &mut control,
        "a",
        2,
        VOTES,
        with_place(2)
    ));
    // The place is given anew; whoever reports it is read at once.
    expect_false!(votes_after_reply(
        &mut control,
        "b",
        3,
        VOTES,
        with_place(3)
    ));
    expect_that!(control.registers.members.member_epoch, eq(3));
    expect_true!(votes_after_reply(
        &mut control,
        "a",
        3,
        VOTES,
        with_place(3)
    ));
}

/// Joiners count those that have left as former voters: only who voted until that very epoch may
/// say so.
#[gtest]
fn only_a_voter_of_the_epoch_before_says_that_it_has_left() {
    let mut former_voter = daemon(2, with_place(1), true);
    expect_that!(reported(&mut former_voter), some(eq((2, VOTES))));
    votes_after_reply(&mut former_voter, "a", 3, VOTES, without_place());
    expect_that!(reported(&mut former_voter), some(eq((3, LEFT))));
    votes_after_reply(&mut former_voter, "a", 4, VOTES, without_place());
    expect_that!(
        reported(&mut former_voter),
        some(eq((4, NO_VOTER))),
        "it has not voted in the epoch before"
    );
    let mut learner = daemon(2, without_place(), false);
    votes_after_reply(&mut learner, "a", 3, VOTES, without_place());
    expect_that!(reported(&mut learner), some(eq((3, NO_VOTER))));
    let mut lagging = daemon(2, with_place(1), true);
    votes_after_reply(&mut lagging, "a", 4, VOTES, without_place());
    expect_that!(
        reported(&mut lagging),
        some(eq((4, NO_VOTER))),
        "it knows nothing of the epoch before"
    );
    let mut reading = daemon(2, with_place(2), false);
    votes_after_reply(&mut reading, "a", 3, VOTES, without_place());
    expect_that!(
        reported(&mut reading),
        some(eq((3, NO_VOTER))),
        "it never voted"
    );
    // A voter that keeps its place goes on, but not through a change that gave it away in between.
    let mut remaining = daemon(2, with_place(1), true);
    votes_after_reply(&mut remaining, "a", 3, VOTES, with_place(1));
    expect_that!(reported(&mut remaining), some(eq((3, VOTES))));
    votes_after_reply(&mut remaining, "a", 5, VOTES, with_place(5));
    expect_that!(reported(&mut remaining), some(eq((5, NO_VOTER))));
}

/// The first voters are written to their own disks only: a blank one that comes later is not among
/// them, whatever its name.
#[gtest]
fn only_a_disk_among_the_first_voters_takes_their_list() {
    let started_with = |voters: Vec<Voter>| {
        let mut control = start(vec![]);
        bootstrap(&mut control, voters);
        (
            control.registers.members.voting,
            control.registers.members.member_epoch,
        )
    };
    expect_that!(started_with(with_place(1)), eq((true, 1)));
    expect_that!(started_with(without_place()), eq((false, 0)));
    let with_other_disk = vec![
        voter("a", 1, 1),
        voter("b", 2, 1),
        voter("n", DISK_ID + 1, 1),
    ];
    expect_that!(started_with(with_other_disk), eq((false, 0)));
    // Nor does one that knows voters already.
    let mut control = daemon(2, without_place(), false);
    bootstrap(&mut control, with_place(1));
    expect_that!(
        (
            control.registers.members.voting,
            control.registers.members.member_epoch
        ),
        eq((false, 2))
    );
}
