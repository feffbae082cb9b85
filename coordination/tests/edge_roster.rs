//! The roster among whose edges fleet-wide limits are divided: who is listed, and for how long.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use coordination::{
    Effect, Ms, Row,
    control::{Control, ROSTER_UPDATE_INTERVAL, SPEC_KEY},
    edge_roster::{EDGE_ROSTER_KEY, EdgeRoster},
    membership::NodeRole,
    register::Expect,
    timing::TICK_INTERVAL,
    wire::{Node, Poll},
};
use googletest::prelude::*;
use serde_json::json;
use support::{
    agents::node,
    lone_control::{self, DISK_ID, NAME},
};

/// Time in which a daemon settles and acquires its roles, in ms.
const START_TIME: Ms = 10_000;
/// Time between polls of an edge, in ms.
const POLL_INTERVAL: Ms = 500;
/// Time in which a committed change to the roster is due, in ms.
const UPDATE_TIME: Ms = ROSTER_UPDATE_INTERVAL + POLL_INTERVAL;
/// Length of an outage after which edges return, in ms.
const OUTAGE: Ms = 60_000;
/// Time after which an edge that is gone is removed, in ms, with a margin.
const REMOVAL_TIME: Ms = 610_000;

fn row_key(row: &Row) -> String {
    match row {
        Row::Slot(slot) => slot.key.to_string(),
        Row::Members { .. } => "\0members".into(),
    }
}

/// A control daemon that is the only voter and is polled by edges; it receives its own messages at once.
struct PolledControl {
    control: Control,
    disk: BTreeMap<String, Row>,
    now: Ms,
    edges: BTreeSet<String>,
    roster_writes: usize,
}

impl PolledControl {
    fn new(edges: &[&str]) -> Self {
        let mut polled = PolledControl {
            control: Control::new(lone_control::config(), DISK_ID, vec![], 1, 0),
            disk: BTreeMap::new(),
            now: 0,
            edges: edges.iter().map(ToString::to_string).collect(),
            roster_writes: 0,
        };
        polled.run(START_TIME);
        polled
    }

    fn write_spec(&mut self) {
        let spec = json!({"zones": [{"name": "z"}], "tiers": [], "canary_percent": 8, "bake_ms": 0, "paths": [],
            "services": [{"name": "s", "version": "v1", "mode": "placed", "lanes": [], "zones": []}]});
        let value = spec.to_string().into_bytes();
        let (_, effects) = self.control.write(SPEC_KEY, Expect::Any, value, self.now);
        self.carry_out(effects);
    }

    /// Restarts the daemon from its disk.
    fn restart(&mut self) {
        let rows = self.disk.values().cloned().collect();
        self.control = Control::new(lone_control::config(), DISK_ID, rows, self.now, self.now);
    }

    fn carry_out(&mut self, mut effects: Vec<Effect>) {
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Send { to, msg } if &*to == NAME => {
                    effects.extend(self.control.on_message(&to, &to, msg, self.now));
                }
                Effect::Persist { rows, then } => {
                    for row in rows {
                        self.disk.insert(row_key(&row), row);
                    }
                    effects.extend(then);
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, duration: Ms) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK_INTERVAL;
            if self.now.is_multiple_of(POLL_INTERVAL) {
                self.poll();
            }
            let before = self.roster_version();
            let effects = self.control.tick(self.now);
            self.carry_out(effects);
            self.roster_writes += usize::from(self.roster_version() != before);
        }
    }

    fn poll(&mut self) {
        for name in self.edges.clone() {
            let poll = Poll {
                node: Node {
                    zone: "z".into(),
                    ..node(&name, NodeRole::Edge)
                },
                sent_at: self.now,
                ..Poll::default()
            };
            let from = name.as_str().into();
            let effects = self.control.on_message(&from, &from, poll.into(), self.now);
            self.carry_out(effects);
        }
    }

    fn roster_version(&self) -> u64 {
        let committed = self.control.state_table().get(EDGE_ROSTER_KEY);
        committed.map_or(0, |change| change.version)
    }

    fn listed(&self) -> BTreeSet<String> {
        let roster: EdgeRoster = self
            .control
            .state_table()
            .read(EDGE_ROSTER_KEY)
            .unwrap_or_default();
        roster.names().map(str::to_string).collect()
    }
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(ToString::to_string).collect()
}

#[gtest]
fn edges_that_poll_are_listed_by_a_single_write() {
    let mut control = PolledControl::new(&["e1", "e2", "e3"]);
    expect_that!(control.listed(), is_empty(), "without services");
    control.write_spec();
    control.run(START_TIME);
    expect_that!(control.listed(), eq(&names(&["e1", "e2", "e3"])));
    expect_that!(control.roster_writes, eq(1));
}

#[gtest]
fn edge_that_joins_is_listed_soon() {
    let mut control = PolledControl::new(&["e1"]);
    control.write_spec();
    control.run(START_TIME);
    control.edges.insert("e2".into());
    control.run(UPDATE_TIME);
    expect_that!(control.listed(), eq(&names(&["e1", "e2"])));
}

// Guards against edges that are only unreachable losing their share to others while they still use it.
#[gtest]
fn edges_stay_listed_through_an_outage_and_a_restart_of_the_daemon() {
    let mut control = PolledControl::new(&["e1", "e2"]);
    control.write_spec();
    control.run(START_TIME);
    control.edges.clear();
    control.run(OUTAGE);
    expect_that!(control.listed(), eq(&names(&["e1", "e2"])), "outage");
    control.restart();
    control.run(OUTAGE);
    expect_that!(control.listed(), eq(&names(&["e1", "e2"])), "restart");
    expect_that!(control.roster_writes, eq(1));
}

#[gtest]
fn edge_that_is_gone_for_good_is_removed() {
    let mut control = PolledControl::new(&["e1", "e2"]);
    control.write_spec();
    control.run(START_TIME);
    control.edges.remove("e1");
    control.run(REMOVAL_TIME);
    expect_that!(control.listed(), eq(&names(&["e2"])));
}
