//! The table of a proxy while messages between it and its agent are lost, doubled or late, and while either of the two
//! restarts: soon after messages arrive again, both have the same table.

mod support;

use std::collections::BTreeMap;

use coordination::{
    Effect, Ms,
    control::SPEC_KEY,
    edge_agent::{EdgeAgent, REJECT_ALL, RULE_DURATION, SERVE_ALL},
    membership::NodeRole,
    proxy::Proxy,
    state_table::StateTable,
    timing::TICK_INTERVAL,
    wire::{Blob, Change, List, Message, Node, TableUpdate, Update},
};
use googletest::prelude::*;
use support::agents::{change, deliver, descriptions, node};

/// Interval between two reports of the proxy, in ms.
const REPORT_INTERVAL: Ms = 200;
/// Time in which a message arrives that is neither lost nor late, in ms.
const LATENCY: Ms = 2;
/// Time by which a late message is late, in ms.
const LATE_BY: Ms = 350;
/// Interval between two changes of the agent's table, in ms.
const CHANGE_INTERVAL: Ms = 170;
/// Time after which both tables are equal once all messages arrive, in ms.
const CONVERGENCE_TIME: Ms = RULE_DURATION;
/// Names of the processes, which are also their addresses.
const AGENT: &str = "a";
const PROXY: &str = "p";
/// The control daemons whose updates the agent follows.
const DAEMONS: [&str; 3] = ["c1", "c2", "c3"];

/// What becomes of a message.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Arrives,
    Lost,
    Doubled,
    Late,
}

/// A message in flight between agent and proxy.
struct InFlight {
    arrives_at: Ms,
    to: &'static str,
    message: Message,
}

/// An agent and its proxy, and the messages between them.
struct Edge {
    now: Ms,
    agent: EdgeAgent,
    proxy: Proxy,
    /// Committed values, which the agent receives from the control daemons.
    committed: BTreeMap<String, u64>,
    in_flight: Vec<InFlight>,
    sent_count: usize,
    /// Decides what becomes of the message with this number.
    fate_of: Box<dyn FnMut(usize) -> Fate>,
    /// All messages arrive.
    is_calm: bool,
    last_incarnation: u64,
}

impl Edge {
    fn new(fate_of: impl FnMut(usize) -> Fate + 'static) -> Self {
        let mut edge = Edge {
            now: 0,
            agent: new_agent(1, 0),
            proxy: new_proxy(2),
            committed: BTreeMap::new(),
            in_flight: vec![],
            sent_count: 0,
            fate_of: Box::new(fate_of),
            is_calm: false,
            last_incarnation: 2,
        };
        edge.commit("spec");
        edge
    }

    fn next_incarnation(&mut self) -> u64 {
        self.last_incarnation += 1;
        self.last_incarnation
    }

    fn restart_agent(&mut self) {
        let incarnation = self.next_incarnation();
        self.agent = new_agent(incarnation, self.now);
        let keys: Vec<String> = self.committed.keys().cloned().collect();
        self.update_agent(&keys);
    }

    fn restart_proxy(&mut self) {
        let incarnation = self.next_incarnation();
        self.proxy = new_proxy(incarnation);
    }

    /// Commits the next version of a key.
    fn commit(&mut self, key: &str) {
        *self.committed.entry(key.into()).or_insert(0) += 1;
        self.update_agent(&[key.into()]);
    }

    /// Delivers values from all control daemons to the agent.
    fn update_agent(&mut self, keys: &[String]) {
        let changes: Vec<Change> = keys
            .iter()
            .map(|key| change(key, self.committed[key], 10))
            .collect();
        for daemon in DAEMONS {
            let update = Update {
                poll_sent_at: self.now,
                source_incarnation: 1,
                through_position: self.now,
                is_snapshot: 1,
                is_settled: 1,
                voter_count: 3,
                changes: List(changes.clone()),
                ..Update::default()
            };
            let effects = deliver(&mut self.agent, daemon, update, self.now);
            self.carry_out(effects);
        }
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            if let Effect::Send { to, msg } = effect
                && &*to == PROXY
            {
                self.send(PROXY, msg);
            }
        }
    }

    fn send(&mut self, to: &'static str, message: Message) {
        let fate = if self.is_calm {
            Fate::Arrives
        } else {
            (self.fate_of)(self.sent_count)
        };
        self.sent_count += 1;
        let delays: &[Ms] = match fate {
            Fate::Arrives => &[LATENCY],
            Fate::Lost => &[],
            Fate::Doubled => &[LATENCY, LATE_BY],
            Fate::Late => &[LATE_BY],
        };
        for delay in delays {
            self.in_flight.push(InFlight {
                arrives_at: self.now + delay,
                to,
                message: message.clone(),
            });
        }
    }

    fn deliver_arrived(&mut self) {
        let now = self.now;
        let (arrived, in_flight) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|sent| sent.arrives_at <= now);
        self.in_flight = in_flight;
        let arrived: Vec<InFlight> = arrived;
        for InFlight { to, message, .. } in arrived {
            if to == AGENT {
                let effects = deliver(&mut self.agent, PROXY, message, now);
                self.carry_out(effects);
            } else if let Message::TableUpdate(update) = message {
                self.proxy.on_table_update(update, now);
            }
        }
    }

    fn run(&mut self, duration: Ms) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 1;
            self.deliver_arrived();
            if self.now.is_multiple_of(TICK_INTERVAL) {
                let effects = self.agent.tick(self.now);
                self.carry_out(effects);
            }
            if self.now.is_multiple_of(REPORT_INTERVAL) {
                let report = self.proxy.changed_report(self.now);
                self.send(AGENT, report.into());
            }
        }
    }

    /// Runs for `duration` while values change.
    fn run_with_changes(&mut self, duration: Ms) {
        let end = self.now + duration;
        while self.now < end {
            let key = format!("k{}", self.now % 5);
            self.commit(&key);
            self.run(CHANGE_INTERVAL);
        }
    }

    /// Lets all messages arrive. Returns whether the tables are equal soon after.
    fn converges(&mut self) -> bool {
        self.is_calm = true;
        self.run(CONVERGENCE_TIME);
        self.have_same_table()
    }

    fn have_same_table(&self) -> bool {
        versions(self.agent.state_table()) == self.committed
            && versions(self.proxy.state_table()) == self.committed
    }
}

fn new_agent(incarnation: u64, now: Ms) -> EdgeAgent {
    let me = Node {
        incarnation,
        ..node(AGENT, NodeRole::Edge)
    };
    let mut agent = EdgeAgent::new(me, vec!["c1".into()], incarnation, now);
    let daemons = DAEMONS.map(|name| node(name, NodeRole::Control));
    deliver(&mut agent, "c1", descriptions(daemons), now);
    agent
}

fn new_proxy(incarnation: u64) -> Proxy {
    Proxy::new(
        PROXY.into(),
        "z".into(),
        "h".into(),
        incarnation,
        incarnation,
    )
}

fn versions(table: &StateTable) -> BTreeMap<String, u64> {
    table
        .entries()
        .map(|change| (change.key.to_string(), change.version))
        .collect()
}

/// Lets messages meet their fates for two seconds of changes, and then arrive. Returns whether the tables are equal soon
/// after.
fn converges(fate_of: impl Fn(usize) -> Fate + 'static) -> bool {
    let mut edge = Edge::new(fate_of);
    edge.run_with_changes(2_000);
    edge.converges()
}

/// Guards against a change or snapshot that is sent to the proxy once and lost: the edge would go on by an older
/// configuration until the same key changes again.
#[gtest]
fn a_proxy_has_its_agents_table_soon_after_messages_were_lost_doubled_or_late() {
    for fate in [Fate::Lost, Fate::Doubled, Fate::Late] {
        for first in 0..40 {
            for length in [1, 2, 3, 5, 8, 40] {
                let is_met = converges(move |number| {
                    if (first..first + length).contains(&number) {
                        fate
                    } else {
                        Fate::Arrives
                    }
                });
                expect_true!(
                    is_met,
                    "messages {first} to {}: {fate:?}",
                    first + length - 1
                );
            }
        }
    }
}

/// The same with fates at random, and with restarts of the agent and of the proxy, each of which may come right after
/// the other.
#[gtest]
fn a_proxy_has_its_agents_table_soon_after_random_faults_and_restarts() {
    for seed in 0..400u64 {
        let mut fates = fastrand::Rng::with_seed(seed);
        let loss_percent = fates.u32(5..70);
        let mut edge = Edge::new(move |_| match fates.u32(..100) {
            draw if draw < loss_percent => Fate::Lost,
            draw if draw < loss_percent + 10 => Fate::Doubled,
            draw if draw < loss_percent + 20 => Fate::Late,
            _ => Fate::Arrives,
        });
        let mut rng = fastrand::Rng::with_seed(!seed);
        for _ in 0..6 {
            edge.run_with_changes(rng.u64(1..900));
            match rng.u8(..4) {
                0 => edge.restart_agent(),
                1 => edge.restart_proxy(),
                _ => {}
            }
        }
        expect_true!(edge.converges(), "seed {seed}");
    }
}

/// Returns an update of the agent with incarnation 9 that holds for one rule duration.
fn table_update(after_position: u64, through_position: u64, sent_at: Ms) -> TableUpdate {
    TableUpdate {
        proxy_incarnation: 2,
        serving_rule: SERVE_ALL,
        valid_until: sent_at + RULE_DURATION,
        agent_incarnation: 9,
        after_position,
        through_position,
        ..TableUpdate::default()
    }
}

/// Returns a proxy that serves by a snapshot sent at 0, which has the first three changes of the agent.
fn serving_proxy() -> Proxy {
    let document = br#"{"zones": [], "tiers": [], "services": [], "canary_percent": 10, "bake_ms": 1, "release": 1}"#;
    let spec = Change {
        key: SPEC_KEY.into(),
        epoch: 1,
        version: 1,
        value: Blob(document.to_vec()),
    };
    let snapshot = TableUpdate {
        is_snapshot: 1,
        changes: List(vec![spec]),
        ..table_update(0, 3, 0)
    };
    let mut proxy = new_proxy(2);
    proxy.on_table_update(snapshot, 0);
    proxy
}

/// Guards against an edge that goes on by an old table as its agent tells it that it may serve: updates behind a missing
/// one extend nothing until the missing changes are there.
#[gtest]
fn a_proxy_that_lacks_a_change_serves_no_longer_than_its_rule() {
    let mut proxy = serving_proxy();
    proxy.on_table_update(table_update(3, 3, 300), 300);
    expect_true!(proxy.is_ready(1_700));
    // Change 4 is lost.
    for sent_at in [600, 900, 1_200, 1_500] {
        proxy.on_table_update(table_update(4, 5, sent_at), sent_at);
    }
    expect_true!(proxy.is_ready(1_700));
    expect_false!(proxy.is_ready(300 + RULE_DURATION));
    let report = proxy.changed_report(1_800);
    expect_that!((report.table_source, report.table_position), eq((9, 3)));
    proxy.on_table_update(table_update(3, 5, 1_800), 1_800);
    expect_true!(proxy.is_ready(1_900));
    expect_that!(proxy.changed_report(1_900).table_position, eq(5));
}

/// An update behind a missing one still ends the permission to serve.
#[gtest]
fn a_proxy_that_lacks_a_change_stops_at_once_when_told_to() {
    let mut proxy = serving_proxy();
    let reject = TableUpdate {
        serving_rule: REJECT_ALL,
        ..table_update(4, 5, 300)
    };
    proxy.on_table_update(reject, 300);
    expect_false!(proxy.is_ready(301));
}

/// A proxy that has just started takes no changes of an agent as complete before it has a snapshot of it.
#[gtest]
fn a_proxy_serves_only_behind_a_snapshot_of_its_agent() {
    let mut proxy = new_proxy(2);
    proxy.on_table_update(table_update(3, 4, 0), 0);
    expect_that!(proxy.changed_report(1).table_source, eq(0));
    let mut proxy = serving_proxy();
    let of_another_agent = TableUpdate {
        agent_incarnation: 10,
        ..table_update(0, 1, 1_000)
    };
    proxy.on_table_update(of_another_agent, 1_000);
    expect_false!(proxy.is_ready(RULE_DURATION));
    expect_that!(proxy.changed_report(1_001).table_source, eq(9));
}
