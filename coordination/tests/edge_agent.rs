//! Messages that an edge agent sends: repairs to neighbours, polls to control daemons, updates to
//! its proxy.

mod support;

use coordination::{
    Effect, Ms,
    edge_agent::{EdgeAgent, MAJORITY_TIMEOUT, POLL_INTERVAL, ServingRule},
    membership::NodeRole,
    timing::TICK_INTERVAL,
    wire::{
        Change, Lease, List, Message, Name, Node, OutcomeCounters, Poll, Prefill, PrefillReport,
        ProxyReport, TableDigests, Update,
    },
};
use googletest::prelude::*;
use support::agents::{change, deliver, descriptions, node, sends};

/// Size of a long spec, in bytes.
const LONG_VALUE_BYTES: usize = 30_000;

/// Returns a settled snapshot in response to the poll sent at `poll_sent_at`.
fn update(changes: Vec<Change>, poll_sent_at: Ms) -> Update {
    Update {
        poll_sent_at,
        source_incarnation: 1,
        through_position: 9,
        is_snapshot: 1,
        is_settled: 1,
        voter_count: 3,
        changes: List(changes),
        ..Update::default()
    }
}

/// Returns an agent that has received these values from all three control daemons.
fn agent(name: &str, changes: Vec<Change>) -> EdgeAgent {
    let me = node(name, NodeRole::Edge);
    let mut agent = EdgeAgent::new(me, vec!["c1".into()], 7, 0);
    agent.set_serve_when_partitioned(true);
    for daemon in ["c1", "c2", "c3"] {
        deliver(&mut agent, daemon, update(changes.clone(), 1), 10);
    }
    agent
}

fn set_regions(agent: &mut EdgeAgent, regions: &[(&str, &str)]) {
    let regions = regions
        .iter()
        .map(|(zone, region)| (zone.to_string(), region.to_string()));
    agent.set_regions(regions.collect());
}

fn node_in(name: &str, role: NodeRole, zone: &str) -> Node {
    Node {
        zone: zone.into(),
        ..node(name, role)
    }
}

/// Returns the polls among the effects, with the daemons that they are sent to.
fn polls(effects: Vec<Effect>) -> Vec<(Name, Poll)> {
    sends(effects)
        .into_iter()
        .filter_map(|(to, message)| match message {
            Message::Poll(poll) => Some((to, poll)),
            _ => None,
        })
        .collect()
}

/// Returns the polls that the agent sends in a time range.
fn polls_between(agent: &mut EdgeAgent, from: Ms, to: Ms) -> Vec<Poll> {
    (from..to)
        .step_by(TICK_INTERVAL as usize)
        .flat_map(|now| polls(agent.tick(now)))
        .map(|(_, poll)| poll)
        .collect()
}

fn value_bytes(message: &Message) -> usize {
    let Message::Repair(repair) = message else {
        return 0;
    };
    repair
        .changes
        .iter()
        .map(|change| change.value.0.len())
        .sum()
}

/// Delivers repair messages between `a` and `b` until none are left. Returns the bytes of values
/// that were sent.
fn repair(a: &mut EdgeAgent, b: &mut EdgeAgent) -> usize {
    let digests = TableDigests {
        sent_at: 20,
        ranges: List(b.state_table().range_digests()),
    };
    let mut pending: Vec<(Name, Message)> = vec![("a".into(), digests.into())];
    let mut sent_bytes = 0;
    while let Some((to, message)) = pending.pop() {
        sent_bytes += value_bytes(&message);
        let (receiver, from) = if &*to == "a" {
            (&mut *a, "b")
        } else {
            (&mut *b, "a")
        };
        let answers = sends(deliver(receiver, from, message, 30));
        pending.extend(answers.into_iter().filter(|(to, message)| {
            // Skips messages to the proxy and to control daemons, whose names are longer.
            to.len() == 1 && matches!(message, Message::Repair(_))
        }));
    }
    sent_bytes
}

#[gtest]
fn a_repair_sends_only_missing_values() {
    // With 16 ranges and 40 keys, the long value shares its range with values that differ.
    let short_values = |version: u64| {
        (0..40)
            .map(|index| change(&format!("k{index}"), version, 10))
            .collect::<Vec<_>>()
    };
    let all_values = |version: u64| {
        short_values(version)
            .into_iter()
            .chain([change("spec", 5, LONG_VALUE_BYTES)])
            .collect::<Vec<_>>()
    };
    let (mut a, mut b) = (agent("a", all_values(1)), agent("b", all_values(2)));
    expect_that!(repair(&mut a, &mut b), le(40 * 10));
    expect_that!(a.state_table().digest(), eq(b.state_table().digest()));
    // The long value is sent once, to the agent that lacks it.
    let (mut a, mut b) = (agent("a", short_values(2)), agent("b", all_values(2)));
    expect_that!(repair(&mut a, &mut b), eq(LONG_VALUE_BYTES));
    expect_that!(a.state_table().digest(), eq(b.state_table().digest()));
}

#[gtest]
fn an_agent_that_serves_when_partitioned_does_not_compare_tables_with_every_edge() {
    let mut agent = agent("a", vec![change("spec", 1, 10)]);
    let edges = (0..87).map(|index| node(&format!("e{index}"), NodeRole::Edge));
    deliver(&mut agent, "e0", descriptions(edges), 10);
    let mut digests_count = 0;
    for now in (20..2 * MAJORITY_TIMEOUT + 3_000).step_by(TICK_INTERVAL as usize) {
        digests_count += sends(agent.tick(now))
            .iter()
            .filter(|(_, message)| matches!(message, Message::TableDigests(_)))
            .count();
    }
    expect_that!(digests_count, le(12));
}

#[gtest]
fn versions_are_sent_to_a_daemon_until_it_acknowledges_them() {
    let mut agent = agent("a", vec![change("spec", 1, 10)]);
    let daemon = node("c1", NodeRole::Control);
    deliver(&mut agent, "c1", descriptions([daemon]), 10);
    let first = polls_between(&mut agent, 20, 1_500);
    expect_that!(first.len(), ge(2));
    expect_true!(
        first
            .iter()
            .all(|poll| poll.has_versions == 1 && poll.versions.len() == 1),
        "no poll was answered yet"
    );
    let last_sent_at = first.last().map_or(0, |poll| poll.sent_at);
    deliver(&mut agent, "c1", update(vec![], last_sent_at), 1_510);
    expect_true!(
        polls_between(&mut agent, 1_520, 2_600)
            .iter()
            .all(|poll| poll.has_versions == 0 && poll.versions.is_empty())
    );
    let newer = update(vec![change("spec", 2, 10)], last_sent_at);
    deliver(&mut agent, "c1", newer, 2_610);
    expect_true!(
        polls_between(&mut agent, 2_620, 3_600)
            .iter()
            .any(|poll| poll.has_versions == 1 && poll.versions.len() == 1)
    );
}

/// Returns the numbers of polls to c1, c2 and c3 in a time range. Each is answered at once, and c2
/// holds a singleton role.
fn answer_polls(agent: &mut EdgeAgent, from: Ms, to: Ms) -> [usize; 3] {
    let lease = Lease {
        service: "s".into(),
        epoch: 1,
        record_version: 1,
        canary_share_percent: 0,
        ttl_ms: 2_000,
    };
    let mut poll_counts = [0; 3];
    for now in (from..to).step_by(TICK_INTERVAL as usize) {
        for (daemon, poll) in polls(agent.tick(now)) {
            poll_counts[usize::from(daemon.as_bytes()[1] - b'1')] += 1;
            let leases = if &*daemon == "c2" {
                vec![lease.clone()]
            } else {
                vec![]
            };
            let answer = Update {
                leases: List(leases),
                ..update(vec![], poll.sent_at)
            };
            deliver(agent, &daemon, answer, now);
        }
    }
    poll_counts
}

#[gtest]
fn remote_daemons_without_a_role_are_polled_half_as_often_unless_versions_changed() {
    let mut agent = agent("a", vec![change("spec", 1, 10)]);
    set_regions(&mut agent, &[("z", "r1"), ("y", "r2")]);
    let daemons = [("c1", "z"), ("c2", "y"), ("c3", "y")]
        .map(|(name, zone)| node_in(name, NodeRole::Control, zone));
    deliver(&mut agent, "c1", descriptions(daemons), 10);
    answer_polls(&mut agent, 50, 2_050);
    let [local, holder, remote] = answer_polls(&mut agent, 2_050, 18_050);
    expect_that!(local, all!(ge(35), eq(holder)));
    expect_that!(remote * 2, all!(ge(local - 2), le(local + 2)));
    expect_that!(agent.serving_rule(), eq(ServingRule::ServeAll));
    for index in 0..10 {
        let version = index + 2;
        let start = 18_050 + index * 1_000;
        let newer = update(vec![change("spec", version, 10)], start - 10);
        deliver(&mut agent, "c1", newer, start);
        let next_poll_by = start + POLL_INTERVAL + TICK_INTERVAL;
        expect_that!(
            answer_polls(&mut agent, start, next_poll_by)[2],
            ge(1),
            "update {index}"
        );
        answer_polls(&mut agent, next_poll_by, start + 1_000);
    }
}

#[gtest]
fn prefill_reports_are_forwarded_once_to_the_edges_that_share_the_replica() {
    let mut agent = agent("a", vec![change("spec", 1, 10)]);
    let regions = [("z", "r1"), ("z2", "r1"), ("y", "r2"), ("x", "r3")];
    set_regions(&mut agent, &regions);
    let report = |region: &str| PrefillReport {
        proxy: "p".into(),
        zone: "z".into(),
        region: region.into(),
        prefills: List(vec![Prefill {
            replica_number: 7,
            duration_ms: 400,
            blocks: List(vec![1, 2]),
        }]),
        failing_replicas: List(vec![9]),
    };
    let nodes = [
        node_in("e1", NodeRole::Edge, "z"),
        node_in("e2", NodeRole::Edge, "z2"),
        node_in("e3", NodeRole::Edge, "y"),
        node_in("e4", NodeRole::Edge, "x"),
        node_in("c1", NodeRole::Control, "z"),
    ];
    deliver(&mut agent, "e1", descriptions(nodes), 10);
    expect_that!(
        sends(deliver(&mut agent, "e1", report("r1"), 20)),
        is_empty(),
        "there is no proxy yet"
    );
    let first_report = ProxyReport {
        incarnation: 1,
        http_addr: "h".into(),
        ..ProxyReport::default()
    };
    deliver(&mut agent, "p", first_report, 30);
    let receivers = |effects: Vec<Effect>| {
        sends(effects)
            .into_iter()
            .filter(|(_, message)| matches!(message, Message::PrefillReport(_)))
            .map(|(to, _)| to.to_string())
            .collect::<Vec<_>>()
    };
    expect_that!(
        receivers(deliver(&mut agent, "p", report("r1"), 40)),
        unordered_elements_are![eq("e1"), eq("e2")]
    );
    // A prefill in another region also delays requests from that region.
    expect_that!(
        receivers(deliver(&mut agent, "p", report("r2"), 45)),
        unordered_elements_are![eq("e1"), eq("e2"), eq("e3")]
    );
    expect_that!(
        receivers(deliver(&mut agent, "e1", report("r1"), 50)),
        elements_are![eq("p")]
    );
}

#[gtest]
fn a_starting_agent_polls_a_control_daemon_as_soon_as_it_discovers_it() {
    let describe = |agent: &mut EdgeAgent, names: &[&str], now: Ms| {
        let nodes = names.iter().map(|name| {
            let role = if name.starts_with('c') {
                NodeRole::Control
            } else {
                NodeRole::Edge
            };
            node(name, role)
        });
        deliver(agent, "c1", descriptions(nodes), now);
    };
    let me = node("a", NodeRole::Edge);
    let mut agent = EdgeAgent::new(me, vec!["c1".into()], 7, 0);
    agent.tick(TICK_INTERVAL);
    describe(&mut agent, &["c1"], 60);
    expect_that!(polls(agent.tick(2 * TICK_INTERVAL)).len(), eq(1));
    describe(&mut agent, &["c1", "c2", "c3"], 110);
    expect_that!(polls(agent.tick(3 * TICK_INTERVAL)).len(), eq(3));
    // Until a majority has answered, the poll interval depends on the size of the fleet.
    expect_that!(
        polls_between(&mut agent, 200, 2_200).len(),
        all!(ge(45), le(63))
    );
    let names: Vec<String> = (0..60).map(|index| format!("e{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    describe(&mut agent, &names, 2_200);
    expect_that!(
        polls_between(&mut agent, 2_250, 4_250).len(),
        le(18),
        "a large fleet"
    );
}

#[gtest]
fn a_new_proxy_incarnation_gets_a_snapshot_at_once() {
    let mut agent = agent("a", vec![change("spec", 1, 10)]);
    let snapshot_count = |effects: Vec<Effect>| {
        sends(effects)
            .into_iter()
            .filter(|(_, message)| {
                matches!(message, Message::TableUpdate(update) if update.is_snapshot == 1)
            })
            .count()
    };
    for (incarnation, now) in [(1, 30), (2, 100)] {
        let report = ProxyReport {
            incarnation,
            http_addr: "h".into(),
            ..ProxyReport::default()
        };
        deliver(&mut agent, "p", report, now);
        expect_that!(
            snapshot_count(agent.tick(now + 1)),
            eq(1),
            "incarnation {incarnation}"
        );
    }
}

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Returns a settled update with a daemon's selection of services.
fn selection(selection: u64, services: &[&str], poll_sent_at: Ms) -> Update {
    Update {
        poll_sent_at,
        source_incarnation: 1,
        through_position: 9,
        is_settled: 1,
        voter_count: 3,
        selection,
        selected_services: List(names(services)),
        ..Update::default()
    }
}

#[gtest]
fn counters_are_sent_to_daemons_that_select_them_and_all_again_after_a_new_selection() {
    let mut agent = agent("e1", vec![]);
    let daemons = ["c1", "c2", "c3"].map(|name| node(name, NodeRole::Control));
    deliver(&mut agent, "c1", descriptions(daemons), 10);
    let counters = |service: &str| OutcomeCounters {
        service: service.into(),
        version: "v".into(),
        lane: "l".into(),
        sent: 1,
        ..OutcomeCounters::default()
    };
    let first_report = ProxyReport {
        incarnation: 1,
        through_change: 1,
        counters: List(vec![counters("s1"), counters("s2")]),
        ..ProxyReport::default()
    };
    // Delivers a proxy report without changes and returns the agent's polls: daemon, selection and
    // services.
    let reported = |agent: &mut EdgeAgent, now: Ms| -> Vec<(Name, u64, Vec<Name>)> {
        let unchanged = ProxyReport {
            after_change: 1,
            counters: List::default(),
            ..first_report.clone()
        };
        deliver(agent, "p", unchanged, now);
        let services = |poll: &Poll| poll.counters.iter().map(|c| c.service.clone()).collect();
        polls(agent.tick(now))
            .into_iter()
            .map(|(daemon, poll)| (daemon, poll.selection, services(&poll)))
            .collect()
    };
    deliver(&mut agent, "p", first_report.clone(), 20);
    deliver(&mut agent, "c1", selection(1, &["s1"], 30), 35);
    deliver(&mut agent, "c2", selection(4, &["s1", "s2"], 30), 35);
    deliver(&mut agent, "c3", selection(0, &[], 30), 35);
    let expected = vec![
        ("c1".into(), 1, names(&["s1"])),
        ("c2".into(), 4, names(&["s1", "s2"])),
        ("c3".into(), 0, vec![]),
    ];
    expect_that!(reported(&mut agent, 50), eq(&expected));
    deliver(&mut agent, "c1", selection(2, &["s2"], 50), 55);
    expect_that!(
        reported(&mut agent, 500)[0],
        eq(&("c1".into(), 2, names(&["s2"])))
    );
}

/// Guards against a pushed change that is lost and hidden by the next push: the agent would acknowledge both, and no
/// daemon would send it the first again.
#[gtest]
fn an_agent_acknowledges_no_push_behind_a_lost_one() {
    let mut agent = agent("e1", vec![]);
    deliver(
        &mut agent,
        "c1",
        descriptions([node("c1", NodeRole::Control)]),
        10,
    );
    let push = |after_position: u64, through_position: u64, key: &str| Update {
        poll_sent_at: 1,
        source_incarnation: 1,
        after_position,
        through_position,
        is_settled: 1,
        voter_count: 3,
        changes: List(vec![change(key, 1, 10)]),
        ..Update::default()
    };
    let acknowledged = |agent: &mut EdgeAgent, now: Ms| {
        let polls = polls(agent.tick(now));
        let to_c1 = polls.into_iter().find(|(daemon, _)| &**daemon == "c1");
        to_c1.map(|(_, poll)| poll.after_position)
    };
    // The snapshot reached position 9; the push of change 10 is lost.
    deliver(&mut agent, "c1", push(10, 11, "second"), 20);
    expect_that!(agent.state_table().get("second"), some(anything()));
    expect_that!(acknowledged(&mut agent, 3_000), some(eq(9)));
    deliver(&mut agent, "c1", push(9, 11, "first"), 3_010);
    expect_that!(acknowledged(&mut agent, 6_000), some(eq(11)));
}
