//! Each check of a soak is seen failing on a history with one fault put in, and content with the same history without.

use fleet_tools::soak::{
    checks::{Basis, check},
    history::{
        Answered, Arrived, Change, Directed, End, Event, Observed, Read, Release, ReleaseEnd,
        ReplicaEnd, Tried, Trouble, Usage,
    },
};
use googletest::prelude::*;
use platform_stand::deployment::Kind;

const GRACE: u64 = 8_000;
const STOP: u64 = 10_000;

fn tried(id: &str, kind: Kind, sent: u64, ended: u64, end: End) -> Tried {
    Tried {
        id: id.into(),
        kind,
        edge: 0,
        sent,
        ended,
        kept: true,
        opened: 500,
        end,
        own_body: true,
    }
}

fn arrived(id: &str, seal: &str, at: u64) -> Arrived {
    Arrived {
        id: id.into(),
        replica: "i-1".into(),
        zone: "a-1".into(),
        version: "v1".into(),
        seal: seal.into(),
        at,
        ran: true,
        breaks: false,
    }
}

fn event(trouble: Trouble, from: u64, until: u64) -> Event {
    let ended_well = (trouble == Trouble::Stopped).then_some(true);
    Event {
        machine: "edge-1".into(),
        edge: Some(0),
        trouble,
        from,
        until,
        ended_well,
        statuses: String::new(),
    }
}

fn usage(memory_kb: u64, descriptors: u64, disk: u64) -> Usage {
    Usage {
        process: "core-1/control".into(),
        memory_kb,
        descriptors,
        disk,
    }
}

fn document(release: u64) -> String {
    format!("document {release}")
}

fn change(release: u64, on: u64, sent: u64, answered: u64, answer: Answered) -> Change {
    Change {
        release,
        on,
        document: document(release),
        sent,
        answered,
        answer,
        repeated: false,
    }
}

fn read(release: u64, sent: u64) -> Read {
    Read {
        sent,
        at: sent + 10,
        machine: "core-1".into(),
        release,
        document: document(release),
    }
}

/// A history in which all is well: an edge is stopped at 10 s and back at 14 s.
fn good() -> Observed {
    Observed {
        grace: GRACE,
        regions: vec![
            ("a-1".into(), "a".into()),
            ("b-1".into(), "b".into()),
            ("c-1".into(), "c".into()),
        ],
        edge_zones: vec!["a-1".into(), "b-1".into(), "c-1".into()],
        home: "a".into(),
        tried: vec![
            tried(
                "once",
                Kind::Once,
                11_000,
                11_500,
                End::Whole { status: 200 },
            ),
            // It crossed the end of its connection, and nobody has seen it.
            tried("crossed", Kind::Once, 13_000, 13_010, End::NoAnswer),
            // Taken early, and at work for as long as the grace.
            tried(
                "long",
                Kind::Stream,
                12_000,
                17_500,
                End::Cut { status: 200 },
            ),
            tried(
                "refused",
                Kind::Once,
                13_500,
                13_510,
                End::Whole { status: 503 },
            ),
        ],
        arrived: vec![
            arrived("once", "s-1", 11_100),
            arrived("long", "s-2", 12_100),
        ],
        events: vec![event(Trouble::Stopped, STOP, 14_000)],
        directed: vec![Directed {
            at: 12_000,
            zone: "b-1".into(),
            edges: vec![0, 1],
        }],
        changes: vec![
            change(1, 0, 100, 200, Answered::Accepted),
            change(3, 1, 1_000, 1_100, Answered::Accepted),
            Change {
                repeated: true,
                ..change(3, 1, 1_500, 1_600, Answered::Accepted)
            },
            change(4, 1, 1_050, 1_200, Answered::Refused),
            change(5, 3, 2_500, 9_000, Answered::Unclear),
        ],
        reads: vec![read(1, 1_050), read(3, 2_000), read(5, 8_000)],
        releases: vec![
            Release {
                version: "v2".into(),
                bad: false,
                ordered: 1_000,
                ended: 9_000,
                end: ReleaseEnd::Completed,
            },
            Release {
                version: "v3".into(),
                bad: true,
                ordered: 9_500,
                ended: 12_000,
                end: ReleaseEnd::Reverted,
            },
        ],
        usage_before: vec![usage(10_000, 40, 1_000)],
        usage_after: vec![usage(12_000, 44, 50_000)],
        ..Observed::default()
    }
}

/// What is found in the history with one fault put in.
fn found(plant: impl FnOnce(&mut Observed)) -> Vec<(&'static str, Basis)> {
    let mut o = good();
    plant(&mut o);
    check(&o).into_iter().map(|f| (f.check, f.basis)).collect()
}

#[gtest]
fn a_good_history_has_no_findings() {
    expect_that!(check(&good()), is_empty());
}

#[gtest]
fn what_rests_on_order_alone_is_found() {
    let order = |check| vec![(check, Basis::Order)];
    // What the simulator's checkers see: run twice, run though refused, run outside its home.
    expect_that!(
        found(|o| o.arrived.push(arrived("once", "s-9", 11_200))),
        eq(&order("shared"))
    );
    expect_that!(
        found(|o| o.arrived.push(arrived("refused", "s-9", 13_500))),
        eq(&order("shared"))
    );
    expect_that!(
        found(|o| o.arrived[0].zone = "b-1".into()),
        eq(&order("shared"))
    );
    expect_that!(
        found(|o| o.tried[0].own_body = false),
        eq(&order("own_answer"))
    );
    expect_that!(
        found(|o| o.directed[0].edges.push(2)),
        eq(&order("directory_homes"))
    );
    expect_that!(
        found(|o| o.changes[3].answer = Answered::Accepted),
        contains(eq(&("one_winner", Basis::Order)))
    );
    expect_that!(
        found(|o| o.changes[2].answer = Answered::Refused),
        contains(eq(&("repeats", Basis::Order)))
    );
    expect_that!(
        found(|o| o.reads[1] = read(1, 2_000)),
        contains(eq(&("older_read", Basis::Order)))
    );
    expect_that!(
        found(|o| o.releases[1].end = ReleaseEnd::Completed),
        eq(&order("bad_release"))
    );
    expect_that!(
        found(|o| o.lost_changes.push("x".into())),
        eq(&order("kept"))
    );
    expect_that!(
        found(|o| o.not_back.push("x".into())),
        eq(&order("service_returns"))
    );
    expect_that!(
        found(|o| o.events[0].ended_well = Some(false)),
        eq(&order("exit"))
    );
    for grown in [
        usage(50_000, 44, 50_000),
        usage(12_000, 200, 50_000),
        usage(12_000, 44, 20 << 20),
    ] {
        expect_that!(
            found(|o| o.usage_after = vec![grown]),
            eq(&order("resources"))
        );
    }
}

#[gtest]
fn a_cut_off_daemon_that_tells_an_older_configuration_is_found() {
    let cut = |from, until| Event {
        machine: "core-1".into(),
        edge: None,
        ..event(Trouble::Cut, from, until)
    };
    let stale = ("stale_read_while_cut", Basis::Order);
    // Release 3 was acknowledged at 1.1 s.
    let plant = |from, until| {
        move |o: &mut Observed| {
            o.events.push(cut(from, until));
            o.reads[1] = read(1, 2_000);
        }
    };
    expect_that!(found(plant(1_500, 3_000)), contains(eq(&stale)));
    expect_that!(found(plant(1_500, 1_900)), not(contains(eq(&stale))));
    // It may tell what is newest, or nothing.
    expect_that!(found(|o| o.events.push(cut(1_500, 3_000))), is_empty());
}

#[gtest]
fn an_edge_that_is_cut_off_is_no_excuse_for_a_lost_request_and_one_for_a_late_drain() {
    let cut = |o: &mut Observed| o.events.push(event(Trouble::Cut, 5_000, 30_000));
    let lost = |o: &mut Observed| {
        o.events.clear();
        o.tried.truncate(1);
        o.tried[0].end = End::NoAnswer;
        cut(o);
    };
    expect_that!(found(lost), eq(&vec![("lost", Basis::Order)]));
    let drained = |o: &mut Observed| {
        o.replica_ends.push(ReplicaEnd {
            id: "i-1".into(),
            draining: Some(5_000),
            at: 30_000,
        });
        cut(o);
    };
    expect_that!(found(drained), is_empty());
}

#[gtest]
fn configurations_that_no_single_register_could_tell_are_found() {
    let order = vec![("one_register", Basis::Order)];
    // A reader is told what was in force before what another was told, though nothing newer was acknowledged.
    expect_that!(found(|o| o.reads.push(read(3, 8_500))), eq(&order));
    // One release with two documents.
    expect_that!(
        found(|o| o.reads[2].document = "another".into()),
        contains(eq(&order[0]))
    );
    // In force before anybody asked for it, or though it was refused.
    expect_that!(found(|o| o.reads.push(read(5, 2_300))), eq(&order));
    expect_that!(found(|o| o.reads.insert(2, read(4, 2_400))), eq(&order));
    // An order that got no clear answer may be in force or not.
    expect_that!(found(|o| drop(o.reads.pop())), is_empty());
}

#[gtest]
fn a_request_is_lost_unless_something_but_the_stop_ended_it() {
    let lost = vec![("lost", Basis::Order)];
    let cut = |at| {
        move |o: &mut Observed| {
            o.tried[0] = tried("once", Kind::Once, 11_000, at, End::Cut { status: 200 })
        }
    };
    expect_that!(found(cut(12_000)), eq(&lost));
    // Taken late and cut by the end, as at the incident.
    expect_that!(
        found(|o| {
            o.events[0].until = 18_500;
            o.tried[0] = tried("once", Kind::Once, 14_000, 17_900, End::Cut { status: 200 });
        }),
        eq(&lost)
    );
    expect_that!(found(|o| o.tried[0].end = End::NoAnswer), eq(&lost));
    // Closed without a word by an edge to which nothing was done.
    expect_that!(
        found(|o| {
            o.events.clear();
            o.tried.remove(2);
        }),
        eq(&lost)
    );
    // The replica broke off or ended; the edge was killed.
    let excuses: [fn(&mut Observed); 3] = [
        |o| o.arrived[0].breaks = true,
        |o| {
            o.replica_ends.push(ReplicaEnd {
                id: "i-1".into(),
                draining: None,
                at: 11_900,
            })
        },
        |o| o.events.push(event(Trouble::Killed, 11_900, 13_000)),
    ];
    for excuse in excuses {
        expect_that!(
            found(|o| {
                cut(12_000)(o);
                excuse(o);
            }),
            is_empty()
        );
    }
    // A process that hung until it was killed had too little of the machine, or a fault.
    let hung = found(|o| {
        cut(12_000)(o);
        o.events[0].ended_well = None;
    });
    expect_that!(
        hung,
        unordered_elements_are![
            eq(&("lost_by_kill", Basis::Timing)),
            eq(&("ends_in_grace", Basis::Timing))
        ]
    );
}

#[gtest]
fn what_rests_on_time_is_found_and_told_apart() {
    let timing = |check| vec![(check, Basis::Timing)];
    expect_that!(
        found(|o| o.events[0].ended_well = None),
        eq(&timing("ends_in_grace"))
    );
    expect_that!(found(|o| o.tried[0].end = End::Hung), eq(&timing("hung")));
    let gone = ReplicaEnd {
        id: "i-1".into(),
        draining: Some(5_000),
        at: 30_000,
    };
    expect_that!(
        found(|o| o.replica_ends.push(gone)),
        each(eq(&("drained", Basis::Timing)))
    );
    let killed = |o: &mut Observed| {
        o.events.push(Event {
            edge: Some(1),
            machine: "edge-2".into(),
            ..event(Trouble::Killed, 3_000, 13_000)
        });
    };
    expect_that!(found(killed), eq(&timing("directory_gone")));
    // Off for longer than the contact bound, and for less.
    let named_at = |at| {
        move |o: &mut Observed| {
            killed(o);
            o.directed[0].at = at;
        }
    };
    expect_that!(found(named_at(8_100)), eq(&timing("directory_gone")));
    expect_that!(found(named_at(7_900)), is_empty());
    expect_that!(
        found(|o| o.releases[0].end = ReleaseEnd::GivenUp),
        eq(&timing("release_ends"))
    );
    let exposed = |o: &mut Observed| {
        let bad = |n: u64| Arrived {
            version: "v3".into(),
            ran: false,
            ..arrived("once", "", 9_600 + n)
        };
        o.arrived.extend((0..60).map(bad));
    };
    expect_that!(found(exposed), eq(&timing("exposure")));
}
