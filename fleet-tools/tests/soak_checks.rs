//! Each check of a soak is seen failing on a history with one fault put in, and content with the same history without.

use fleet_tools::soak::{
    checks::{Basis, check},
    history::{Arrived, Change, Directed, End, Event, Observed, Read, ReplicaEnd, Tried, Trouble, Usage},
};
use googletest::prelude::*;
use platform_stand::deployment::Kind;

const GRACE: u64 = 8_000;
const STOP: u64 = 10_000;

fn tried(id: &str, kind: Kind, sent: u64, ended: u64, end: End) -> Tried {
    Tried { id: id.into(), kind, edge: 0, sent, ended, kept: true, opened: 500, end, own_body: true }
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
    Event { machine: "edge-1".into(), edge: Some(0), trouble, from, until, ended_well, statuses: String::new() }
}

fn usage(memory_kb: u64, descriptors: u64, disk: u64) -> Usage {
    Usage { process: "core-1/control".into(), memory_kb, descriptors, disk }
}

/// A history in which all is well: an edge is stopped at 10 s and back at 14 s.
fn good() -> Observed {
    Observed {
        grace: GRACE,
        regions: vec![("a-1".into(), "a".into()), ("b-1".into(), "b".into()), ("c-1".into(), "c".into())],
        edge_zones: vec!["a-1".into(), "b-1".into(), "c-1".into()],
        home: "a".into(),
        tried: vec![
            tried("once", Kind::Once, 11_000, 11_500, End::Whole { status: 200 }),
            // It crossed the end of its connection, and nobody has seen it.
            tried("crossed", Kind::Once, 13_000, 13_010, End::NoAnswer),
            // Taken early, and at work for as long as the grace.
            tried("long", Kind::Stream, 12_000, 17_500, End::Cut { status: 200 }),
            tried("refused", Kind::Once, 13_500, 13_510, End::Whole { status: 503 }),
        ],
        arrived: vec![arrived("once", "s-1", 11_100), arrived("long", "s-2", 12_100)],
        events: vec![event(Trouble::Stopped, STOP, 14_000)],
        directed: vec![Directed { at: 12_000, zone: "b-1".into(), edges: vec![0, 1] }],
        changes: vec![
            Change { release: 3, on: 1, sent: 1_000, answered: 1_100, accepted: true, repeated: false },
            Change { release: 3, on: 1, sent: 1_500, answered: 1_600, accepted: true, repeated: true },
            Change { release: 4, on: 1, sent: 1_050, answered: 1_200, accepted: false, repeated: false },
        ],
        reads: vec![
            Read { sent: 1_050, machine: "core-1".into(), release: 1 },
            Read { sent: 2_000, machine: "core-1".into(), release: 3 },
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
    expect_that!(found(|o| o.arrived.push(arrived("once", "s-9", 11_200))), eq(&order("shared")));
    expect_that!(found(|o| o.arrived.push(arrived("refused", "s-9", 13_500))), eq(&order("shared")));
    expect_that!(found(|o| o.arrived[0].zone = "b-1".into()), eq(&order("shared")));
    expect_that!(found(|o| o.tried[0].own_body = false), eq(&order("own_answer")));
    expect_that!(found(|o| o.directed[0].edges.push(2)), eq(&order("directory_homes")));
    let second = Change { release: 4, on: 1, sent: 1_050, answered: 1_200, accepted: true, repeated: false };
    expect_that!(found(|o| o.changes[2] = second), contains(eq(&("one_winner", Basis::Order))));
    expect_that!(found(|o| o.changes[1].accepted = false), eq(&order("repeats")));
    expect_that!(found(|o| o.reads[1].release = 1), eq(&order("older_read")));
    expect_that!(found(|o| o.lost_changes.push("x".into())), eq(&order("kept")));
    expect_that!(found(|o| o.not_back.push("x".into())), eq(&order("service_returns")));
    expect_that!(found(|o| o.events[0].ended_well = Some(false)), eq(&order("exit")));
    for grown in [usage(50_000, 44, 50_000), usage(12_000, 200, 50_000), usage(12_000, 44, 20 << 20)] {
        expect_that!(found(|o| o.usage_after = vec![grown]), eq(&order("resources")));
    }
}

#[gtest]
fn a_request_is_lost_unless_something_but_the_stop_ended_it() {
    let lost = vec![("lost", Basis::Order)];
    let cut = |at| move |o: &mut Observed| o.tried[0] = tried("once", Kind::Once, 11_000, at, End::Cut { status: 200 });
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
        |o| o.replica_ends.push(ReplicaEnd { id: "i-1".into(), draining: None, at: 11_900 }),
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
    expect_that!(hung, unordered_elements_are![eq(&("lost_by_kill", Basis::Timing)), eq(&("ends_in_grace", Basis::Timing))]);
}

#[gtest]
fn what_rests_on_time_is_found_and_told_apart() {
    let timing = |check| vec![(check, Basis::Timing)];
    expect_that!(found(|o| o.events[0].ended_well = None), eq(&timing("ends_in_grace")));
    expect_that!(found(|o| o.tried[0].end = End::Hung), eq(&timing("hung")));
    let gone = ReplicaEnd { id: "i-1".into(), draining: Some(5_000), at: 30_000 };
    expect_that!(found(|o| o.replica_ends.push(gone)), each(eq(&("drained", Basis::Timing))));
    let killed = |o: &mut Observed| {
        o.events.push(Event { edge: Some(1), machine: "edge-2".into(), ..event(Trouble::Killed, 3_000, 13_000) });
    };
    expect_that!(found(killed), eq(&timing("directory_gone")));
}
