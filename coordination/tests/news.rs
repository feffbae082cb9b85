//! What news costs: a long value travels to those that lack it, once, and nobody asks all others for it.

use coordination::{
    Effect, Ms,
    control::{Control, ControlConfig, PUSH_TIMEOUT},
    edge_agent::{EdgeAgent, MAJORITY_MISSED_AFTER, POLL_INTERVAL, ServingRule},
    register::Expect,
    timing::TICK_INTERVAL,
    wire::{
        Blob, Change, Heartbeat, Lease, List, Message, Name, Node, OutcomeCounters, Poll, Prefill,
        PrefillReport, ProxyReport, Shuffle, TableDigests, Update,
    },
};
use googletest::prelude::*;

/// Bytes of a long spec.
const LONG: usize = 30_000;

fn node(name: &str, role: u8) -> Node {
    Node {
        name: name.into(),
        addr: name.into(),
        role,
        zone: "z".into(),
        http_addr: "h".into(),
        incarnation: 1,
        heartbeat: 1,
        heartbeat_age: 0,
    }
}
fn change(key: &str, version: u64, bytes: usize) -> Change {
    Change {
        key: key.into(),
        epoch: 1,
        version,
        value: Blob(vec![7; bytes]),
    }
}
fn news(changes: Vec<Change>, sent: u64) -> Message {
    let (run, upto, voters) = (1, 9, 3);
    Update {
        poll_sent_at: sent,
        source_incarnation: run,
        through_position: upto,
        is_snapshot: 1,
        is_settled: 1,
        voter_count: voters,
        changes: List(changes),
        ..Update::default()
    }
    .into()
}
fn agent(name: &str, changes: Vec<Change>) -> EdgeAgent {
    let mut a = EdgeAgent::new(node(name, 2), vec!["c1".into()], 7, 0);
    a.set_serve_when_partitioned(true);
    for c in ["c1", "c2", "c3"] {
        a.on_message(&c.into(), &c.into(), news(changes.clone(), 1), 10);
    }
    a
}
fn sends(out: Vec<Effect>) -> Vec<(Name, Message)> {
    out.into_iter()
        .filter_map(|e| {
            if let Effect::Send { to, msg } = e {
                Some((to, msg))
            } else {
                None
            }
        })
        .collect()
}
fn bytes(m: &Message) -> usize {
    let Message::Repair(m) = m else { return 0 };
    m.changes.iter().map(|c| c.value.0.len()).sum()
}

/// Passes mending messages to and fro until nothing is left; gives the bytes of values that travelled.
fn mend(a: &mut EdgeAgent, b: &mut EdgeAgent) -> usize {
    let ranges = List(b.state_table().range_digests());
    let mut box_of: Vec<(Name, Message)> = vec![(
        "a".into(),
        TableDigests {
            sent_at: 20,
            ranges,
        }
        .into(),
    )];
    let mut sum = 0;
    while let Some((to, m)) = box_of.pop() {
        sum += bytes(&m);
        let (at, from) = if &*to == "a" {
            (&mut *a, "b")
        } else {
            (&mut *b, "a")
        };
        let out = sends(at.on_message(&from.into(), &from.into(), m, 30));
        box_of.extend(
            out.into_iter()
                .filter(|(t, m)| t.len() == 1 && matches!(m, Message::Repair(_))),
        );
    }
    sum
}

/// Keys that fall into one range of the digests, the first of them a long one's.
#[gtest]
fn only_what_is_lacking_travels() {
    // Sixteen ranges and forty keys: the long one shares its range with some that differ.
    let same = |v: u64| {
        (0..40)
            .map(|i| change(&format!("k{i}"), v, 10))
            .collect::<Vec<_>>()
    };
    let with = |v: u64| {
        same(v)
            .into_iter()
            .chain([change("spec", 5, LONG)])
            .collect::<Vec<_>>()
    };
    let (mut a, mut b) = (agent("a", with(1)), agent("b", with(2)));
    expect_that!(mend(&mut a, &mut b), le(40 * 10));
    expect_that!(a.state_table().digest(), eq(b.state_table().digest()));
    // The long one goes where it is lacking, once.
    let (mut a, mut b) = (agent("a", same(2)), agent("b", with(2)));
    expect_that!(mend(&mut a, &mut b), eq(LONG));
    expect_that!(a.state_table().digest(), eq(b.state_table().digest()));
}

#[gtest]
fn one_that_serves_on_does_not_ask_every_edge_while_it_is_cut_off() {
    let mut a = agent("a", vec![change("spec", 1, 10)]);
    let nodes: List<Node> = (0..87).map(|i| node(&format!("e{i}"), 2)).collect();
    a.on_message(
        &"e0".into(),
        &"e0".into(),
        Shuffle {
            nodes,
            step: 1,
            ..Shuffle::default()
        }
        .into(),
        10,
    );
    let mut asked = 0;
    for now in (20..2 * MAJORITY_MISSED_AFTER + 3_000).step_by(TICK_INTERVAL as usize) {
        asked += sends(a.tick(now))
            .iter()
            .filter(|(_, m)| matches!(m, Message::TableDigests(_)))
            .count();
    }
    expect_that!(asked, le(12));
}

#[gtest]
fn places_are_told_to_a_daemon_until_it_has_answered_to_them() {
    let mut a = agent("a", vec![change("spec", 1, 10)]);
    a.on_message(
        &"c1".into(),
        &"c1".into(),
        Shuffle {
            nodes: List(vec![node("c1", 1)]),
            step: 1,
            ..Shuffle::default()
        }
        .into(),
        10,
    );
    let polls = |a: &mut EdgeAgent, from: u64, to: u64| -> Vec<Poll> {
        let out = (from..to)
            .step_by(TICK_INTERVAL as usize)
            .flat_map(|t| sends(a.tick(t)))
            .collect::<Vec<_>>();
        out.into_iter()
            .filter_map(|(_, m)| {
                if let Message::Poll(p) = m {
                    Some(p)
                } else {
                    None
                }
            })
            .collect()
    };
    let first = polls(&mut a, 20, 1_500);
    expect_that!(first.len(), ge(2));
    expect_true!(
        first
            .iter()
            .all(|p| p.has_versions == 1 && p.versions.len() == 1),
        "nothing was answered yet"
    );
    let last = first.last().map_or(0, |p| p.sent_at);
    a.on_message(&"c1".into(), &"c1".into(), news(vec![], last), 1_510);
    expect_true!(
        polls(&mut a, 1_520, 2_600)
            .iter()
            .all(|p| p.has_versions == 0 && p.versions.is_empty())
    );
    a.on_message(
        &"c1".into(),
        &"c1".into(),
        news(vec![change("spec", 2, 10)], last),
        2_610,
    );
    expect_true!(
        polls(&mut a, 2_620, 3_600)
            .iter()
            .any(|p| p.has_versions == 1 && p.versions.len() == 1)
    );
}

#[gtest]
fn daemons_of_other_regions_that_hold_no_duty_are_asked_half_as_often_but_told_at_once_what_is_new()
{
    let mut a = agent("a", vec![change("spec", 1, 10)]);
    a.set_regions(
        [("z", "r1"), ("y", "r2")]
            .map(|(z, r)| (z.to_string(), r.to_string()))
            .into(),
    );
    let at = |n: &str, zone: &str| Node {
        zone: zone.into(),
        ..node(n, 1)
    };
    let nodes = List(vec![at("c1", "z"), at("c2", "y"), at("c3", "y")]);
    a.on_message(
        &"c1".into(),
        &"c1".into(),
        Shuffle {
            nodes,
            step: 1,
            ..Shuffle::default()
        }
        .into(),
        10,
    );
    // Answers every question at once; c2 holds a duty.
    let mut version = 1;
    let asked = |a: &mut EdgeAgent, from: u64, to: u64| -> [usize; 3] {
        let mut n = [0; 3];
        for now in (from..to).step_by(TICK_INTERVAL as usize) {
            for (to, m) in sends(a.tick(now)) {
                let Message::Poll(p) = m else { continue };
                n[usize::from(to.as_bytes()[1] - b'1')] += 1;
                let lease = Lease {
                    service: "s".into(),
                    epoch: 1,
                    record_version: 1,
                    canary_share_percent: 0,
                    ttl_ms: 2_000,
                };
                let leases = if &*to == "c2" { vec![lease] } else { vec![] };
                let Message::Update(news) = news(vec![], p.sent_at) else {
                    continue;
                };
                a.on_message(
                    &to,
                    &to,
                    Update {
                        leases: List(leases),
                        ..news
                    }
                    .into(),
                    now,
                );
            }
        }
        n
    };
    asked(&mut a, 50, 2_050);
    let [near, holder, far] = asked(&mut a, 2_050, 18_050);
    expect_that!(near, all!(ge(35), eq(holder)));
    expect_that!(far * 2, all!(ge(near - 2), le(near + 2)));
    expect_that!(a.serving_rule(), eq(ServingRule::ServeAll));
    for t in 0..10 {
        version += 1;
        let start = 18_050 + t * 1_000;
        a.on_message(
            &"c1".into(),
            &"c1".into(),
            news(vec![change("spec", version, 10)], start - 10),
            start,
        );
        expect_that!(
            asked(&mut a, start, start + POLL_INTERVAL + TICK_INTERVAL)[2],
            ge(1),
            "news {t}"
        );
        asked(&mut a, start + POLL_INTERVAL + TICK_INTERVAL, start + 1_000);
    }
}

#[gtest]
fn what_a_proxy_sent_comes_once_to_those_that_share_the_replica_with_it() {
    let mut a = agent("a", vec![change("spec", 1, 10)]);
    a.set_regions(
        [("z", "r1"), ("z2", "r1"), ("y", "r2"), ("x", "r3")]
            .map(|(z, r)| (z.to_string(), r.to_string()))
            .into(),
    );
    let in_region = |r: &str| -> Message {
        let all = List(vec![Prefill {
            replica_number: 7,
            duration_ms: 400,
            blocks: List(vec![1, 2]),
        }]);
        PrefillReport {
            proxy: "p".into(),
            zone: "z".into(),
            region: r.into(),
            prefills: all,
            failing_replicas: List(vec![9]),
        }
        .into()
    };
    let m = || in_region("r1");
    let at = |n: &str, role, zone: &str| Node {
        zone: zone.into(),
        ..node(n, role)
    };
    let nodes: List<Node> = [
        at("e1", 2, "z"),
        at("e2", 2, "z2"),
        at("e3", 2, "y"),
        at("e4", 2, "x"),
        at("c1", 1, "z"),
    ]
    .into_iter()
    .collect();
    a.on_message(
        &"e1".into(),
        &"e1".into(),
        Shuffle {
            nodes,
            step: 1,
            ..Shuffle::default()
        }
        .into(),
        10,
    );
    expect_that!(
        sends(a.on_message(&"e1".into(), &"e1".into(), m(), 20)),
        is_empty(),
        "there is no proxy yet"
    );
    let hello = ProxyReport {
        incarnation: 1,
        http_addr: "h".into(),
        ..ProxyReport::default()
    };
    a.on_message(&"p".into(), &"p".into(), hello.into(), 30);
    let to = |out: Vec<Effect>| {
        let readings = sends(out)
            .into_iter()
            .filter(|(_, o)| matches!(o, Message::PrefillReport(_)));
        readings.map(|(n, _)| n.to_string()).collect::<Vec<_>>()
    };
    expect_that!(
        to(a.on_message(&"p".into(), &"p".into(), m(), 40)),
        unordered_elements_are![eq("e1"), eq("e2")]
    );
    // Read in another region it delays those there too.
    expect_that!(
        to(a.on_message(&"p".into(), &"p".into(), in_region("r2"), 45)),
        unordered_elements_are![eq("e1"), eq("e2"), eq("e3")]
    );
    expect_that!(
        to(a.on_message(&"e1".into(), &"e1".into(), m(), 50)),
        elements_are![eq("p")]
    );
}

#[gtest]
fn an_agent_that_starts_asks_a_control_daemon_as_soon_as_it_knows_of_it() {
    let shuffle = |names: &[&str]| -> Message {
        Shuffle {
            nodes: names
                .iter()
                .map(|n| node(n, if n.starts_with('c') { 1 } else { 2 }))
                .collect(),
            step: 1,
            ..Shuffle::default()
        }
        .into()
    };
    let polls = |out: Vec<Effect>| {
        sends(out)
            .into_iter()
            .filter(|(_, m)| matches!(m, Message::Poll(_)))
            .count()
    };
    let mut a = EdgeAgent::new(node("a", 2), vec!["c1".into()], 7, 0);
    a.tick(TICK_INTERVAL);
    a.on_message(&"c1".into(), &"c1".into(), shuffle(&["c1"]), 60);
    expect_that!(polls(a.tick(2 * TICK_INTERVAL)), eq(1));
    a.on_message(
        &"c1".into(),
        &"c1".into(),
        shuffle(&["c1", "c2", "c3"]),
        110,
    );
    expect_that!(polls(a.tick(3 * TICK_INTERVAL)), eq(3));
    // From then on as often as its fleet bears, until a majority has answered.
    let often = |a: &mut EdgeAgent, from: u64| {
        (from..from + 2_000)
            .step_by(TICK_INTERVAL as usize)
            .map(|t| polls(a.tick(t)))
            .sum::<usize>()
    };
    expect_that!(often(&mut a, 200), all!(ge(45), le(63)));
    let many: Vec<String> = (0..60).map(|i| format!("e{i}")).collect();
    a.on_message(
        &"c1".into(),
        &"c1".into(),
        shuffle(&many.iter().map(String::as_str).collect::<Vec<_>>()),
        2_200,
    );
    expect_that!(often(&mut a, 2_250), le(18), "a large fleet");
}

#[gtest]
fn a_proxy_that_starts_beside_its_agent_gets_the_board_at_once() {
    let mut a = agent("a", vec![change("spec", 1, 10)]);
    let boards = |out: Vec<Effect>| {
        sends(out)
            .into_iter()
            .filter(|(_, m)| matches!(m, Message::TableUpdate(b) if b.is_snapshot == 1))
            .count()
    };
    for (life, now) in [(1, 30), (2, 100)] {
        let hello = ProxyReport {
            incarnation: life,
            http_addr: "h".into(),
            ..ProxyReport::default()
        };
        a.on_message(&"p".into(), &"p".into(), hello.into(), now);
        expect_that!(boards(a.tick(now + 1)), eq(1), "life {life}");
    }
}

#[gtest]
fn tallies_go_to_the_daemons_that_keep_them_and_all_again_when_they_choose_anew() {
    let mut a = agent("e1", vec![]);
    let nodes = ["c1", "c2", "c3"].iter().map(|n| node(n, 1)).collect();
    a.on_message(
        &"c1".into(),
        &"c1".into(),
        Shuffle {
            nodes,
            step: 1,
            ..Shuffle::default()
        }
        .into(),
        10,
    );
    let tally = |s: &str| OutcomeCounters {
        service: s.into(),
        version: "v".into(),
        lane: "l".into(),
        sent: 1,
        ..OutcomeCounters::default()
    };
    let hello = ProxyReport {
        incarnation: 1,
        through_change: 1,
        counters: List(vec![tally("s1"), tally("s2")]),
        ..ProxyReport::default()
    };
    let told = |a: &mut EdgeAgent, now| -> Vec<(Name, u32, Vec<Name>)> {
        a.on_message(
            &"p".into(),
            &"p".into(),
            ProxyReport {
                after_change: 1,
                counters: List::default(),
                ..hello.clone()
            }
            .into(),
            now,
        );
        let polls = sends(a.tick(now)).into_iter().filter_map(|(to, m)| {
            if let Message::Poll(p) = m {
                Some((to, p))
            } else {
                None
            }
        });
        polls
            .map(|(to, p)| {
                (
                    to,
                    p.selection,
                    p.counters.iter().map(|t| t.service.clone()).collect(),
                )
            })
            .collect()
    };
    a.on_message(&"p".into(), &"p".into(), hello.clone().into(), 20);
    let says = |a: &mut EdgeAgent, c: &str, choice, counts: &[&str], sent| {
        let counts = counts.iter().map(|s| (*s).into()).collect();
        let m = Update {
            poll_sent_at: sent,
            source_incarnation: 1,
            through_position: 9,
            is_settled: 1,
            voter_count: 3,
            selection: choice,
            selected_services: counts,
            ..Update::default()
        };
        a.on_message(&c.into(), &c.into(), m.into(), sent + 5);
    };
    says(&mut a, "c1", 1, &["s1"], 30);
    says(&mut a, "c2", 4, &["s1", "s2"], 30);
    says(&mut a, "c3", 0, &[], 30);
    let name = |v: &[&str]| -> Vec<Name> { v.iter().map(|n| (*n).into()).collect() };
    let want = vec![
        ("c1".into(), 1, name(&["s1"])),
        ("c2".into(), 4, name(&["s1", "s2"])),
        ("c3".into(), 0, vec![]),
    ];
    expect_that!(told(&mut a, 50), eq(&want));
    says(&mut a, "c1", 2, &["s2"], 50);
    expect_that!(told(&mut a, 500)[0], eq(&("c1".into(), 2, name(&["s2"]))));
}

/// A control daemon that is the only voter, and what it sends to others than itself.
struct Alone {
    c: Control,
    now: Ms,
    /// Of the agent that asks it.
    zone: &'static str,
}

impl Alone {
    fn new() -> Self {
        let p = ControlConfig {
            name: "c".into(),
            zone: "z".into(),
            addr: "c".into(),
            http_addr: "".into(),
            members: vec!["c".into()],
            seeds: vec![],
            regions: Default::default(),
            spec_parser: coordination::state_table::parse_own_spec,
            bootstrap: false,
            bounds: Default::default(),
        };
        let mut a = Alone {
            c: Control::new(p, 7, vec![], 1, 0),
            now: 0,
            zone: "z",
        };
        (0..200).for_each(|_| drop(a.tick()));
        a
    }
    fn carry(&mut self, mut out: Vec<Effect>) -> Vec<Update> {
        let mut news = vec![];
        while let Some(e) = out.pop() {
            match e {
                Effect::Send { to, msg } if &*to == "c" => {
                    out.extend(self.c.on_message(&to, &to, msg, self.now))
                }
                Effect::Send {
                    msg: Message::Update(m),
                    ..
                } => news.push(m),
                Effect::Persist { then, .. } => out.extend(then),
                _ => {}
            }
        }
        news
    }
    fn tick(&mut self) -> Vec<Update> {
        self.now += TICK_INTERVAL;
        let out = self.c.tick(self.now);
        self.carry(out)
    }
    fn write(&mut self, key: &str, bytes: usize) -> Vec<Update> {
        let (_, out) = self.c.write(key, Expect::Any, vec![7; bytes], self.now);
        self.carry(out)
    }
    /// The answers to an agent's question, which has the feed of `run` up to a place.
    fn poll(&mut self, run: u64, after: u64) -> Vec<Update> {
        let node = Node {
            zone: self.zone.into(),
            ..node("e", 2)
        };
        let m = Poll {
            node,
            sent_at: self.now,
            source_incarnation: run,
            after_position: after,
            ..Poll::default()
        };
        let out = self
            .c
            .on_message(&"e".into(), &"e".into(), m.into(), self.now);
        self.carry(out)
    }
}
fn values(all: &[Update]) -> usize {
    all.iter()
        .flat_map(|m| m.changes.iter())
        .map(|c| c.value.0.len())
        .sum()
}

// At 299 machines and 3,000 replicas each question of an edge that was still to be told anything was answered by a frame
// of all that there is, behind those that were on their way: 278 MB stood in control daemons' buffers.
#[gtest]
fn a_frame_that_takes_long_is_not_sent_again_behind_itself() {
    const FRAME: usize = 600_000;
    let mut a = Alone::new();
    a.write("plan/s", FRAME);
    let (began, mut sent) = (a.now, 0);
    while a.now < began + 10_000 {
        sent += values(&a.poll(0, 0));
        a.tick();
    }
    let pace = 10_000 * coordination::control::ASSUMED_BYTES_PER_MS as usize;
    // One that was lost is sent again.
    expect_that!(sent, all![ge(2 * FRAME), le(pace + FRAME)]);
}

#[gtest]
fn short_news_do_not_wait_behind_long_ones_and_its_place_in_the_feed_is_never_ahead_of_what_came() {
    let mut a = Alone::new();
    let first = a.poll(0, 0);
    let (run, place) = (first[0].source_incarnation, first[0].through_position);
    expect_that!(values(&a.write("plan/s", 600_000)), eq(600_000));
    let mut sent = 0;
    for i in 0..10 {
        a.tick();
        let all = a.poll(run, place);
        sent += values(&all);
        // It hears its leases all the same, and is not told that it has what may still be lost.
        expect_that!(all.len(), eq(1));
        expect_that!(all[0].through_position, eq(place), "at {i}");
    }
    expect_that!(sent, eq(0));
    expect_that!(values(&a.write("zone/z", 5)), eq(5));
    // What was lost comes once more, after the time that it would have taken.
    a.now += 3_000;
    let again = a.poll(run, place);
    expect_that!(values(&again), eq(600_005));
    expect_that!(values(&a.poll(run, again[0].through_position)), eq(0));
}

/// Another control daemon lives in the zone `y`.
fn beside(a: &mut Alone) {
    let m = Heartbeat {
        member_epoch: 1,
        disk_id: 8,
        zone: "y".into(),
        ..Heartbeat::default()
    };
    let out = a.c.on_message(&"d".into(), &"d".into(), m.into(), a.now);
    a.carry(out);
}

#[gtest]
fn a_long_value_is_pushed_by_the_nearest_daemon_and_by_others_only_if_that_does_not_tell_it() {
    for (zone, near) in [("z", true), ("y", false)] {
        let mut a = Alone::new();
        a.zone = zone;
        let first = a.poll(0, 0);
        let (run, place) = (first[0].source_incarnation, first[0].through_position);
        beside(&mut a);
        let pushed = values(&a.write("plan/s", LONG));
        expect_that!(pushed, eq(if near { LONG } else { 0 }), "zone {zone}");
        // A short value goes to whom it went to before, and is not taken for all that there is.
        let (began, mut sent, mut at) = (a.now, pushed, place);
        while sent == 0 && a.now < began + 5_000 {
            beside(&mut a);
            a.tick();
            let all = a.poll(run, at);
            expect_that!(all.len(), eq(1));
            at = all[0].through_position;
            sent += values(&all);
        }
        expect_that!(sent, eq(LONG));
        expect_that!(
            a.now - began,
            le(if near {
                0
            } else {
                PUSH_TIMEOUT + TICK_INTERVAL
            })
        );
    }
}

// A record that changes all the time must not be left to a daemon that does not reach the edge.
#[gtest]
fn a_long_value_that_never_rests_reaches_an_edge_that_its_nearest_daemon_does_not() {
    let mut a = Alone::new();
    a.zone = "y";
    let first = a.poll(0, 0);
    let (run, mut at) = (first[0].source_incarnation, first[0].through_position);
    let (mut last, mut longest) = (a.now, 0);
    for turn in 0..200 {
        beside(&mut a);
        let mut all = if turn % 4 == 0 {
            a.write("plan/s", LONG + turn)
        } else {
            vec![]
        };
        a.tick();
        at = all.last().map_or(at, |m| m.through_position);
        all.extend(a.poll(run, at));
        at = at.max(all[all.len() - 1].through_position);
        if values(&all) > 0 {
            longest = longest.max(a.now - last);
            last = a.now;
        }
    }
    expect_that!(longest, le(3 * PUSH_TIMEOUT));
    expect_that!(last, ge(a.now - 3 * PUSH_TIMEOUT));
}
