//! Tests of joiners: which daemons a joiner must read before it votes, and how those daemons report
//! their own state, one test per rule.

use coordination::{Effect, Effects, Row, control::Control, control::ControlConfig};
use googletest::prelude::*;
use wire_messages::{Bootstrap, List, Message, Name, SlotsReply, SlotsRequest, Voter};

/// Disk id of the daemon under test.
const DISK_ID: u64 = 9;
/// Values of `SlotsReply::voting`: whether a daemon votes in its member epoch.
const NOT_VOTING: u8 = 0;
const VOTING: u8 = 1;
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

/// Starts a daemon with these rows on its disk.
fn start(rows: Vec<Row>) -> Control {
    Control::new(config(), DISK_ID, rows, 1, 0)
}

/// Starts a daemon with this member configuration on its disk.
fn daemon(member_epoch: u32, voters: Vec<Voter>, voting: bool) -> Control {
    start(vec![Row::Members {
        member_epoch,
        before: 3,
        voters,
        voting,
        left: false,
    }])
}

/// Returns voters that include the daemon under test.
fn voters_with_daemon(since_epoch: u32) -> Vec<Voter> {
    vec![
        voter("a", 1, 1),
        voter("b", 2, 1),
        voter("n", DISK_ID, since_epoch),
    ]
}

/// Returns voters that do not include the daemon under test.
fn voters_without_daemon() -> Vec<Voter> {
    vec![voter("a", 1, 1), voter("b", 2, 1), voter("c", 3, 1)]
}

/// Delivers a slots reply of another daemon and returns whether the daemon votes afterwards.
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

/// Returns the member epoch and the voting state that a daemon reports in its slots reply.
fn reported_state(control: &mut Control) -> Option<(u32, u8)> {
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
    // The reply is sent only once all votes of the daemon are synced to its disk.
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
fn a_joiner_votes_once_it_has_read_a_majority_of_the_former_voters() {
    let start_joiner = || daemon(2, voters_with_daemon(2), false);
    // Two of the three former voters are a majority.
    for second in [VOTING, LEFT] {
        let mut control = start_joiner();
        expect_false!(votes_after_reply(
            &mut control,
            "a",
            2,
            VOTING,
            voters_with_daemon(2)
        ));
        expect_true!(votes_after_reply(
            &mut control,
            "b",
            2,
            second,
            voters_with_daemon(2)
        ));
    }
    let mut control = start_joiner();
    votes_after_reply(&mut control, "a", 2, VOTING, voters_with_daemon(2));
    expect_false!(
        votes_after_reply(&mut control, "a", 2, VOTING, voters_with_daemon(2)),
        "the same voter again"
    );
    expect_false!(
        votes_after_reply(&mut control, "s", 2, NOT_VOTING, voters_with_daemon(2)),
        "a learner, or a joiner that is still catching up"
    );
    expect_false!(
        votes_after_reply(&mut control, "b", 1, VOTING, voters_without_daemon()),
        "a voter that has not closed the former epoch"
    );
    expect_true!(votes_after_reply(
        &mut control,
        "b",
        2,
        VOTING,
        voters_with_daemon(2)
    ));
    // A daemon that is not listed as a voter never starts to vote.
    let mut control = daemon(2, voters_without_daemon(), false);
    votes_after_reply(&mut control, "a", 2, VOTING, voters_without_daemon());
    expect_false!(votes_after_reply(
        &mut control,
        "b",
        2,
        VOTING,
        voters_without_daemon()
    ));
}

#[gtest]
fn replies_of_one_member_epoch_do_not_count_in_the_next() {
    let mut control = daemon(2, voters_with_daemon(2), false);
    expect_false!(votes_after_reply(
        &mut control,
        "a",
        2,
        VOTING,
        voters_with_daemon(2)
    ));
    // A later epoch lists the daemon anew; the reply that reports that epoch counts as read under it.
    expect_false!(votes_after_reply(
        &mut control,
        "b",
        3,
        VOTING,
        voters_with_daemon(3)
    ));
    expect_that!(control.registers.members.member_epoch, eq(3));
    expect_true!(votes_after_reply(
        &mut control,
        "a",
        3,
        VOTING,
        voters_with_daemon(3)
    ));
}

/// Joiners count daemons that report `LEFT` as former voters, so only a daemon that voted in the
/// epoch directly before may report it.
#[gtest]
fn only_a_voter_of_the_previous_epoch_reports_that_it_left() {
    let mut former_voter = daemon(2, voters_with_daemon(1), true);
    expect_that!(reported_state(&mut former_voter), some(eq((2, VOTING))));
    votes_after_reply(&mut former_voter, "a", 3, VOTING, voters_without_daemon());
    expect_that!(reported_state(&mut former_voter), some(eq((3, LEFT))));
    votes_after_reply(&mut former_voter, "a", 4, VOTING, voters_without_daemon());
    expect_that!(
        reported_state(&mut former_voter),
        some(eq((4, NOT_VOTING))),
        "it did not vote in the epoch before"
    );
    let mut learner = daemon(2, voters_without_daemon(), false);
    votes_after_reply(&mut learner, "a", 3, VOTING, voters_without_daemon());
    expect_that!(reported_state(&mut learner), some(eq((3, NOT_VOTING))));
    let mut lagging = daemon(2, voters_with_daemon(1), true);
    votes_after_reply(&mut lagging, "a", 4, VOTING, voters_without_daemon());
    expect_that!(
        reported_state(&mut lagging),
        some(eq((4, NOT_VOTING))),
        "it missed the epoch before"
    );
    let mut catching_up = daemon(2, voters_with_daemon(2), false);
    votes_after_reply(&mut catching_up, "a", 3, VOTING, voters_without_daemon());
    expect_that!(
        reported_state(&mut catching_up),
        some(eq((3, NOT_VOTING))),
        "it never voted"
    );
    // A voter that remains listed continues to vote, unless it was removed and listed again in between.
    let mut remaining = daemon(2, voters_with_daemon(1), true);
    votes_after_reply(&mut remaining, "a", 3, VOTING, voters_with_daemon(1));
    expect_that!(reported_state(&mut remaining), some(eq((3, VOTING))));
    votes_after_reply(&mut remaining, "a", 5, VOTING, voters_with_daemon(5));
    expect_that!(reported_state(&mut remaining), some(eq((5, NOT_VOTING))));
}

/// The first voters are written only to their own disks: a blank disk added later is not one of
/// them, even under the same name.
#[gtest]
fn only_disks_of_the_first_voters_adopt_the_bootstrap_list() {
    let started_with = |voters: Vec<Voter>| {
        let mut control = start(vec![]);
        bootstrap(&mut control, voters);
        (
            control.registers.members.voting,
            control.registers.members.member_epoch,
        )
    };
    expect_that!(started_with(voters_with_daemon(1)), eq((true, 1)));
    expect_that!(started_with(voters_without_daemon()), eq((false, 0)));
    let with_other_disk = vec![
        voter("a", 1, 1),
        voter("b", 2, 1),
        voter("n", DISK_ID + 1, 1),
    ];
    expect_that!(started_with(with_other_disk), eq((false, 0)));
    // A daemon that already knows voters ignores the list as well.
    let mut control = daemon(2, voters_without_daemon(), false);
    bootstrap(&mut control, voters_with_daemon(1));
    expect_that!(
        (
            control.registers.members.voting,
            control.registers.members.member_epoch
        ),
        eq((false, 2))
    );
}
